package medlarworld

import (
	"cmp"
	"slices"

	"medlarfield/internal/core/medlarkey"
)

// maxWarm bounds the entries of the table of cached blocks.
const maxWarm = 1 << 15

// defaultHolders bounds the upstreams that are remembered for one block, where a
// deployment sets no bound.
const defaultHolders = 3

// warmEntry names the upstreams that were last known to cache a block, the last one
// first.
type warmEntry struct {
	holders []*Upstream
}

// Warm remembers which upstreams cache which blocks. It is a hint of bounded
// size: the oldest entries give way to new ones.
type Warm struct {
	most    int // holders of one block
	entries map[medlarkey.Key]*warmEntry
	ring    []medlarkey.Key // keys in the order of arrival
	next    int
}

// NewWarm returns a table of at most size blocks with holders upstreams each; 0 for
// the default.
func NewWarm(size, holders int) *Warm {
	return &Warm{most: cmp.Or(holders, defaultHolders), entries: map[medlarkey.Key]*warmEntry{}, ring: make([]medlarkey.Key, 0, size)}
}

// Len returns the number of blocks in the table.
func (t *Warm) Len() int { return len(t.entries) }

// Add notes that u caches the block k.
func (t *Warm) Add(k medlarkey.Key, u *Upstream) {
	e := t.entries[k]
	if e == nil {
		e = &warmEntry{}
		t.entries[k] = e
		t.push(k)
	}
	if e.has(u) {
		return
	}
	e.holders = slices.Insert(e.holders, 0, u)
	e.holders = e.holders[:min(len(e.holders), t.most)]
}

// Remove notes that u no longer caches the block k.
func (t *Warm) Remove(k medlarkey.Key, u *Upstream) {
	e := t.entries[k]
	if e == nil {
		return
	}
	if i := slices.Index(e.holders, u); i >= 0 {
		e.holders = slices.Delete(e.holders, i, i+1)
	}
}

// RemoveAll forgets what u caches.
func (t *Warm) RemoveAll(u *Upstream) {
	for k := range t.entries {
		t.Remove(k, u)
	}
}

// Depth returns the number of leading blocks of keys that u caches. It looks
// from the end: an engine that caches a block caches those before it.
func (t *Warm) Depth(keys []medlarkey.Key, u *Upstream) int {
	for i := len(keys) - 1; i >= 0; i-- {
		if e := t.entries[keys[i]]; e != nil && e.has(u) {
			return i + 1
		}
	}
	return 0
}

// Has reports whether u caches the block or part k.
func (t *Warm) Has(k medlarkey.Key, u *Upstream) bool {
	e := t.entries[k]
	return e != nil && e.has(u)
}

// push adds a key to the ring and drops the oldest when it is full.
func (t *Warm) push(k medlarkey.Key) {
	if len(t.ring) < cap(t.ring) {
		t.ring = append(t.ring, k)
		return
	}
	delete(t.entries, t.ring[t.next])
	t.ring[t.next] = k
	t.next = (t.next + 1) % len(t.ring)
}

func (e *warmEntry) has(u *Upstream) bool { return slices.Contains(e.holders, u) }

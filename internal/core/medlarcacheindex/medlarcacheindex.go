// Package medlarcacheindex remembers which upstreams cache which blocks and parts of prompts.
package medlarcacheindex

import (
	"cmp"
	"slices"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
)

// defaultHolders bounds the upstreams that are remembered for one block, where a
// deployment sets no bound.
const defaultHolders = 3

// entry names the upstreams that were last known to cache a block, the last one
// first.
type entry struct {
	holders []medlarid.InstanceID
}

// Index remembers which upstreams cache which blocks. It is a hint of bounded
// size: the oldest entries give way to new ones.
type Index struct {
	most    int // holders of one block
	entries map[medlarkey.Key]*entry
	ring    *medlarkey.Ring
}

// New returns a table of at most size blocks with holders upstreams each; 0 for
// the default.
func New(size, holders int) *Index {
	return &Index{most: cmp.Or(holders, defaultHolders), entries: map[medlarkey.Key]*entry{}, ring: medlarkey.NewRing(size)}
}

// Len returns the number of blocks in the table.
func (t *Index) Len() int { return len(t.entries) }

// Add notes that u caches the block k.
func (t *Index) Add(k medlarkey.Key, u medlarid.InstanceID) {
	e := t.entries[k]
	if e == nil {
		e = &entry{}
		t.entries[k] = e
		if oldest, full := t.ring.Push(k); full {
			delete(t.entries, oldest)
		}
	}
	if e.has(u) {
		return
	}
	e.holders = slices.Insert(e.holders, 0, u)
	e.holders = e.holders[:min(len(e.holders), t.most)]
}

// Remove notes that u no longer caches the block k.
func (t *Index) Remove(k medlarkey.Key, u medlarid.InstanceID) {
	e := t.entries[k]
	if e == nil {
		return
	}
	if i := slices.Index(e.holders, u); i >= 0 {
		e.holders = slices.Delete(e.holders, i, i+1)
	}
}

// RemoveUpstream forgets what u caches.
func (t *Index) RemoveUpstream(u medlarid.InstanceID) {
	for k := range t.entries {
		t.Remove(k, u)
	}
}

// Depth returns the number of leading blocks of keys that u caches. It looks
// from the end: an engine that caches a block caches those before it.
func (t *Index) Depth(keys []medlarkey.Key, u medlarid.InstanceID) int {
	for i := len(keys) - 1; i >= 0; i-- {
		if e := t.entries[keys[i]]; e != nil && e.has(u) {
			return i + 1
		}
	}
	return 0
}

// Has reports whether u caches the block or part k.
func (t *Index) Has(k medlarkey.Key, u medlarid.InstanceID) bool {
	e := t.entries[k]
	return e != nil && e.has(u)
}

func (e *entry) has(u medlarid.InstanceID) bool { return slices.Contains(e.holders, u) }

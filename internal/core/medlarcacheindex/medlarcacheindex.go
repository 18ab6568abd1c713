// Package medlarcacheindex indexes which upstreams cache which blocks and parts of
// prompts.
package medlarcacheindex

import (
	"cmp"
	"slices"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
)

// defaultHolders limits the upstreams that are recorded for one block, where a
// deployment sets no limit.
const defaultHolders = 3

// entry lists the upstreams that were last known to cache a block, most recent first.
type entry struct {
	holders []medlarid.InstanceID
}

// Index records which upstreams cache which blocks. It is a hint of bounded size: new
// entries replace the oldest ones.
type Index struct {
	maxHolders int // of one block
	entries    map[medlarkey.Key]*entry
	ring       *medlarkey.Ring
}

// New returns an index of at most size blocks with at most holders upstreams each; 0
// holders is the default.
func New(size, holders int) *Index {
	return &Index{maxHolders: cmp.Or(holders, defaultHolders), entries: map[medlarkey.Key]*entry{}, ring: medlarkey.NewRing(size)}
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int { return len(x.entries) }

// Add records that u caches the block k.
func (x *Index) Add(k medlarkey.Key, u medlarid.InstanceID) {
	e := x.entries[k]
	if e == nil {
		e = &entry{}
		x.entries[k] = e
		if oldest, full := x.ring.Push(k); full {
			delete(x.entries, oldest)
		}
	}
	if e.has(u) {
		return
	}
	e.holders = slices.Insert(e.holders, 0, u)
	e.holders = e.holders[:min(len(e.holders), x.maxHolders)]
}

// Remove records that u no longer caches the block k.
func (x *Index) Remove(k medlarkey.Key, u medlarid.InstanceID) {
	e := x.entries[k]
	if e == nil {
		return
	}
	if i := slices.Index(e.holders, u); i >= 0 {
		e.holders = slices.Delete(e.holders, i, i+1)
	}
}

// RemoveUpstream removes u from all blocks.
func (x *Index) RemoveUpstream(u medlarid.InstanceID) {
	for k := range x.entries {
		x.Remove(k, u)
	}
}

// Depth returns the number of leading blocks of keys that u caches. It searches from the
// end, because an engine that caches a block also caches those before it.
func (x *Index) Depth(keys []medlarkey.Key, u medlarid.InstanceID) int {
	for i := len(keys) - 1; i >= 0; i-- {
		if e := x.entries[keys[i]]; e != nil && e.has(u) {
			return i + 1
		}
	}
	return 0
}

// Has reports whether u is recorded to cache the block or part k.
func (x *Index) Has(k medlarkey.Key, u medlarid.InstanceID) bool {
	e := x.entries[k]
	return e != nil && e.has(u)
}

func (e *entry) has(u medlarid.InstanceID) bool { return slices.Contains(e.holders, u) }

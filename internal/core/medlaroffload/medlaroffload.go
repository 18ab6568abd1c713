// Package medlaroffload offloads the KV blocks of prompts to store instances and
// looks them up there.
//
// Rules:
//
//	R1  The home of a conversation is the live store with the highest rendezvous
//	    rank for the last key of its first segment. Placement is computed and
//	    never looked up. A chain of keys is kept in one store: if it were split, the
//	    loss of one store would make the parts in the others useless (R4).
//	R2  The stores are queried only when no usable replica caches nearly all of the
//	    prompt and enough of it is uncached.
//	R3  A run does not wait for the stores longer than lookupTimeout.
//	R4  Only a contiguous run of blocks that starts with the first is of use.
//	R5  A finished run's blocks are exported once, in the background.
package medlaroffload

import (
	"slices"
	"time"

	"medlarfield/internal/core/medlaradmission"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of lookups and exports.
const (
	minBlocks     = 4
	cachedEnough  = 0.9
	lookupTimeout = 100 * time.Millisecond
)

// System looks up and exports the context of runs.
type System struct{}

// New returns a System.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.Submitted:
			if e.Run.Phase == medlarkind.PhaseNew { // not refused
				Enqueue(w, e.Run)
			}
		case medlarworld.LookedUp:
			applyLookup(w, e)
		}
	}
	expire(w)
}

// Enqueue enqueues a run, after a lookup in the stores if that is worthwhile (R2). It
// is for new runs and for those whose attempt has failed.
func Enqueue(w *medlarworld.World, r *medlarworld.Run) {
	if !worthLookup(w, r) {
		medlaradmission.Enqueue(w, r)
		return
	}
	stores := StoresFor(w, r.Keys)
	if len(stores) == 0 {
		medlaradmission.Enqueue(w, r)
		return
	}
	r.Phase = medlarkind.PhaseLookup
	r.LookupDeadline = w.Now.Add(lookupTimeout)
	w.LookingUp = append(w.LookingUp, r)
	w.Emit(medlarworld.LookUp{Run: r.ID, Stores: stores})
}

func worthLookup(w *medlarworld.World, r *medlarworld.Run) bool {
	if !w.Config.OffloadKV || len(w.StoreList) == 0 || len(r.Keys) < minBlocks || len(r.StoredBlocks) > 0 {
		return false
	}
	for _, u := range w.Engines[r.Model] {
		if !u.Usable(w.Now) || u.Version != r.Version || slices.Contains(r.Tried, u) {
			continue
		}
		if float64(w.Warm.Depth(r.Keys, u.ID)) >= cachedEnough*float64(len(r.Keys)) {
			return false
		}
	}
	return true
}

// StoresFor returns the stores that hold a chain of keys: its home (R1), or none.
func StoresFor(w *medlarworld.World, keys []medlarkey.Key) []medlarworld.StoreKeys {
	s := home(w, medlarkey.Conversation(keys))
	if s == nil {
		return nil
	}
	return []medlarworld.StoreKeys{{Store: s.ID, Address: s.Address, Keys: keys}}
}

// storesForPart returns the stores that hold part of a chain.
func storesForPart(w *medlarworld.World, chain, part []medlarkey.Key) []medlarworld.StoreKeys {
	stores := StoresFor(w, chain)
	if len(stores) == 0 || len(part) == 0 {
		return nil
	}
	stores[0].Keys = part
	return stores
}

// home returns the usable store with the highest rank for k, or nil.
func home(w *medlarworld.World, k medlarkey.Key) *medlarupstream.Store {
	var best *medlarupstream.Store
	var highest uint64
	for _, s := range w.StoreList {
		if !s.Usable(w.Now) {
			continue
		}
		if rank := medlarkey.Rendezvous(k, s.ID); best == nil || rank > highest {
			best, highest = s, rank
		}
	}
	return best
}

// applyLookup records the stores' answer and enqueues the run.
func applyLookup(w *medlarworld.World, e medlarworld.LookedUp) {
	r := w.Runs[e.Run]
	if r == nil || r.Phase != medlarkind.PhaseLookup {
		return
	}
	r.StoredBlocks = contiguousPrefix(r.Keys, e.Handles)
	for _, k := range r.Keys[len(r.StoredBlocks):] {
		w.Exported.Remove(k) // the store never had it, or has evicted it
	}
	medlaradmission.Enqueue(w, r)
}

// contiguousPrefix orders handles by key and drops those after the first missing one
// (R4).
func contiguousPrefix(keys []medlarkey.Key, handles []medlarinventory.Handle) []medlarinventory.Handle {
	byKey := make(map[medlarkey.Key]medlarinventory.Handle, len(handles))
	for _, h := range handles {
		byKey[h.Key] = h
	}
	var out []medlarinventory.Handle
	for _, k := range keys {
		h, ok := byKey[k]
		if !ok {
			break
		}
		out = append(out, h)
	}
	return out
}

// expire enqueues the runs whose stores have not answered in time (R3).
func expire(w *medlarworld.World) {
	n := 0
	for _, r := range w.LookingUp {
		switch {
		case r.Phase != medlarkind.PhaseLookup:
		case w.Now.After(r.LookupDeadline):
			medlaradmission.Enqueue(w, r)
		default:
			w.LookingUp[n] = r
			n++
		}
	}
	clear(w.LookingUp[n:])
	w.LookingUp = w.LookingUp[:n]
}

// Export records that u caches the context of a run that it has finished, and asks to
// export it (R5).
func Export(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream) {
	for _, k := range r.KeysUnder(u.Version) {
		w.Warm.Add(k, u.ID)
	}
	if u.Version != r.Version {
		return
	}
	if !w.Config.OffloadKV || len(r.Keys) < minBlocks || len(r.StoredBlocks) == len(r.Keys) {
		return
	}
	stores := storesForPart(w, r.Keys, takeUnexported(w, r.Keys))
	if len(stores) == 0 {
		return
	}
	w.Emit(medlarworld.Export{Upstream: u.ID, Address: u.Address, Account: r.Account, Stores: stores})
}

// takeUnexported returns the keys of the segments that are not known to be in a store,
// and records them as exported.
func takeUnexported(w *medlarworld.World, keys []medlarkey.Key) []medlarkey.Key {
	var out []medlarkey.Key
	for start := 0; start < len(keys); start += medlarkey.SegmentBlocks {
		segment := keys[start:min(start+medlarkey.SegmentBlocks, len(keys))]
		last := segment[len(segment)-1]
		if !w.Exported.Has(last) {
			w.Exported.Add(last)
			out = append(out, segment...)
		}
	}
	return out
}

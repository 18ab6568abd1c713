// Package medlaroffload finds and keeps the context of prompts in store
// instances.
//
// Rules:
//
//	R1  The home of a conversation is the live store with the highest rendezvous
//	    rank for the last key of its first segment. Placement is computed and
//	    never looked up. A chain is kept whole: cut over several stores, the loss
//	    of one would make what the others keep of it useless (R4).
//	R2  The stores are asked only when no free replica caches nearly all of the
//	    prompt and enough of it is cold.
//	R3  A run does not wait for the stores longer than findTimeout.
//	R4  Only a gapless run of blocks from the first on is of use.
//	R5  A finished run's blocks are exported once, in the background.
package medlaroffload

import (
	"slices"
	"time"

	"medlarfield/internal/core/medlaradmission"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of kept context.
const (
	minColdBlocks = 4
	warmEnough    = 0.9
	findTimeout   = 100 * time.Millisecond
)

// System finds and keeps context.
type System struct{}

// New returns the system.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.Submitted:
			if e.Run.Phase == medlarworld.PhaseNew { // not refused
				Enqueue(w, e.Run)
			}
		case medlarworld.LookedUp:
			found(w, e)
		}
	}
	expire(w)
}

// Enqueue puts a run in the queue, after asking the stores if that is worth while
// (R2). It serves new runs and those whose attempt has failed.
func Enqueue(w *medlarworld.World, r *medlarworld.Run) {
	if !worthFinding(w, r) {
		medlaradmission.Enqueue(w, r)
		return
	}
	asks := StoresFor(w, r.Keys)
	if len(asks) == 0 {
		medlaradmission.Enqueue(w, r)
		return
	}
	r.Phase = medlarworld.PhaseLookup
	r.LookupDeadline = w.Now.Add(findTimeout)
	w.LookingUp = append(w.LookingUp, r)
	w.Emit(medlarworld.LookUp{Run: r.ID, Stores: asks})
}

func worthFinding(w *medlarworld.World, r *medlarworld.Run) bool {
	if !w.Config.OffloadKV || len(w.StoreList) == 0 || len(r.Keys) < minColdBlocks || len(r.StoredBlocks) > 0 {
		return false
	}
	for _, u := range w.Engines[r.Model] {
		if !u.Usable(w.Now) || u.Version != r.Version || slices.Contains(r.Tried, u) {
			continue
		}
		if float64(w.Warm.Depth(r.Keys, u.ID)) >= warmEnough*float64(len(r.Keys)) {
			return false
		}
	}
	return true
}

// StoresFor returns whom to ask for a chain of keys: its home (R1), or nobody.
func StoresFor(w *medlarworld.World, keys []medlarkey.Key) []medlarworld.StoreKeys {
	s := home(w, medlarkey.Conversation(keys))
	if s == nil {
		return nil
	}
	return []medlarworld.StoreKeys{{Store: s.ID, Address: s.Address, Keys: keys}}
}

// asksFor returns the ask for part of a chain.
func asksFor(w *medlarworld.World, chain, part []medlarkey.Key) []medlarworld.StoreKeys {
	asks := StoresFor(w, chain)
	if len(asks) == 0 || len(part) == 0 {
		return nil
	}
	asks[0].Keys = part
	return asks
}

// home returns the usable store with the highest rank, or nil.
func home(w *medlarworld.World, k medlarkey.Key) *medlarworld.Store {
	var best *medlarworld.Store
	var most uint64
	for _, s := range w.StoreList {
		if !s.Usable(w.Now) {
			continue
		}
		if rank := medlarkey.Rendezvous(k, s.ID); best == nil || rank > most {
			best, most = s, rank
		}
	}
	return best
}

// found takes the stores' answer and puts the run in the queue.
func found(w *medlarworld.World, e medlarworld.LookedUp) {
	r := w.Runs[e.Run]
	if r == nil || r.Phase != medlarworld.PhaseLookup {
		return
	}
	r.StoredBlocks = gapless(r.Keys, e.Handles)
	for _, k := range r.Keys[len(r.StoredBlocks):] {
		w.Exported.Remove(k) // the store does not have it, or no longer
	}
	medlaradmission.Enqueue(w, r)
}

// gapless orders handles by key and cuts them at the first one missing (R4).
func gapless(keys []medlarkey.Key, handles []medlarworld.Handle) []medlarworld.Handle {
	byKey := make(map[medlarkey.Key]medlarworld.Handle, len(handles))
	for _, h := range handles {
		byKey[h.Key] = h
	}
	var out []medlarworld.Handle
	for _, k := range keys {
		h, ok := byKey[k]
		if !ok {
			break
		}
		out = append(out, h)
	}
	return out
}

// expire puts runs in the queue whose stores do not answer (R3).
func expire(w *medlarworld.World) {
	n := 0
	for _, r := range w.LookingUp {
		switch {
		case r.Phase != medlarworld.PhaseLookup:
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

// Export asks to export the context of a run that u has finished (R5).
func Export(w *medlarworld.World, r *medlarworld.Run, u *medlarworld.Upstream) {
	for _, k := range r.KeysUnder(u.Version) {
		w.Warm.Add(k, u.ID)
	}
	if u.Version != r.Version {
		return
	}
	if !w.Config.OffloadKV || len(r.Keys) < minColdBlocks || len(r.StoredBlocks) == len(r.Keys) {
		return
	}
	asks := asksFor(w, r.Keys, unkept(w, r.Keys))
	if len(asks) == 0 {
		return
	}
	w.Emit(medlarworld.Export{Upstream: u.ID, Address: u.Address, Account: r.Account, Stores: asks})
}

// unkept returns the keys of the segments that are not known to be in a store,
// and remembers them as exported.
func unkept(w *medlarworld.World, keys []medlarkey.Key) []medlarkey.Key {
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

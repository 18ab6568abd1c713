// Package medlarplacement keeps parts of prompts in stores that drop nothing by
// themselves, and says where to fetch them from. It answers dossiers that return
// when their replica has long given their memory to others.
//
// Rules:
//
//	R1  A part is fetched only from a store that told lately, since its last start,
//	    that it holds the whole part. A belief that is older than freshTime is not
//	    acted on, and a fetch that has not ended fetchTime later is given up.
//	R2  After a store's start nothing is saved there until every instance has
//	    noticed it: a part that is being saved again would be fetched half by those
//	    who believe in the part of before.
//	R3  The home of a part is the best fit among the stores with room, by what all
//	    instances know alike: a store in the availability zone of the conversation's
//	    home replica, since transfers between zones take twice as long; for a part
//	    that can bear a long setup one that has it, so that the room of quick stores
//	    is left to small parts; then the highest weighted rank for the part's key, by
//	    capacity. No message is needed: two instances that differ only save a part
//	    twice.
//	R4  A part is saved once; while that is under way it is not asked for again.
//	R5  The last part of a prompt is its own and is not saved.
//	R6  How late an answer begins is not held against the stores that it fetched from:
//	    the wait is mostly the replica's, and computing the parts again adds to it.
//	R7  Parts of a weight version are fetched until GraceTime after it was replaced, and
//	    only by who knows that it was not: who has heard within HeardTime which versions
//	    are wanted, or got answers under the version within AnswerTime from more than
//	    HeardShare of the model's replicas. So they can be freed once FreeTime has
//	    passed and all but less than that share of the replicas have had a later version
//	    for SwapTime: one of those that answered would have told.
package medlarplacement

import (
	"math"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarworld"
)

// Times of rule R7.
const (
	DesiredVersionTTL = 3 * time.Second
	GracePeriod       = 1500 * time.Millisecond
	FreeDelay         = DesiredVersionTTL + GracePeriod + fetchTime + 500*time.Millisecond

	ConfirmationTTL = 2 * time.Second
	SwapDelay       = ConfirmationTTL + fetchTime + 500*time.Millisecond
)

// Shares of a model's replicas of rule R7. What lies between both is for replicas that
// one instance knows of and another does not.
const (
	ConfirmationShare = 1.0 / 5
	SwappedShare      = 5.0 / 6
)

// Parameters.
const (
	freshTime   = 1500 * time.Millisecond
	fetchTime   = time.Second
	settleTime  = freshTime + fetchTime + 500*time.Millisecond // R2
	savingTime  = 4 * time.Second                              // R4
	fullShare   = 0.97                                         // of the capacity that is filled
	minTokens   = 64                                           // of a part that is worth a transfer
	acrossZones = 2                                            // times that a transfer takes between availability zones
	setupShare  = 0.5                                          // of its time on the link, up to which a part bears a setup (R3)
)

// System keeps what stores are believed to hold.
type System struct{}

// New returns the system.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		if e, ok := e.(medlarworld.Stocked); ok {
			take(w, e)
		}
	}
}

// take takes over what a store said (R1, R2).
func take(w *medlarworld.World, e medlarworld.Stocked) {
	s := w.Stores[e.Store]
	if s == nil {
		return
	}
	st := &s.Stock
	if e.Reset || st.Parts == nil {
		st.Parts = map[medlarkey.Key]medlarid.Tokens{}
		st.Saving = map[medlarkey.Key]medlarworld.Saving{}
		st.Held = 0
	}
	if st.Epoch != e.Epoch {
		st.SaveFrom = e.At.Add(settleTime)
		st.Epoch = e.Epoch
	}
	st.Fresh = e.At.Add(freshTime)
	for _, k := range e.Removed {
		st.Held -= st.Parts[k]
		delete(st.Parts, k)
	}
	for _, p := range e.Added {
		st.Held += p.Tokens - st.Parts[p.Key]
		st.Parts[p.Key] = p.Tokens
		delete(st.Saving, p.Key)
	}
}

// Fetchable reports whether parts of a weight version may be fetched for a run (R7).
func Fetchable(w *medlarworld.World, r *medlarworld.Run, v medlarid.WeightVersion) bool {
	if w.Heard.IsZero() {
		return true // a deployment whose parts are not freed by version
	}
	if w.Now.Sub(w.Heard) > DesiredVersionTTL && !confirmed(w, r.Model, v) {
		return false
	}
	m := w.Models[r.Model]
	at, replaced := m.Named.ReplacedAt(v)
	return !replaced || w.Now.Sub(at) < GracePeriod
}

// confirmed reports whether enough of a model's replicas answered lately under a weight
// version (R7).
func confirmed(w *medlarworld.World, m medlarid.ModelID, v medlarid.WeightVersion) bool {
	n := 0
	for _, u := range w.Engines[m] {
		if u.Version == v && w.Now.Sub(u.Answered) < ConfirmationTTL {
			n++
		}
	}
	return float64(n) > ConfirmationShare*float64(len(w.Engines[m]))
}

// FindStore returns the store that a part can be fetched from, or nil (R1).
func FindStore(w *medlarworld.World, k medlarkey.Key) *medlarworld.Store {
	for _, s := range w.StoreList {
		if _, ok := s.Stock.Parts[k]; ok && usable(w, s) {
			return s
		}
	}
	return nil
}

func usable(w *medlarworld.World, s *medlarworld.Store) bool {
	return s.Usable(w.Now) && w.Now.Before(s.Stock.Fresh)
}

// TransferSeconds returns the time that the transfer of a part takes from a store (R6).
func TransferSeconds(s *medlarworld.Store, u *medlarworld.Upstream, n medlarid.Tokens) float64 {
	transfer := linkSeconds(s, u, n)
	if s.Zone != u.Zone {
		transfer *= acrossZones
	}
	return s.Stock.Setup.Seconds() + transfer
}

// linkSeconds returns the time that a part takes on the link of a store.
func linkSeconds(s *medlarworld.Store, u *medlarworld.Upstream, n medlarid.Tokens) float64 {
	return float64(n) * float64(u.TokenBytes) / max(s.Rate, 1)
}

// Plan says for each part of a run where the upstream fetches it from, and where it
// saves it. Of the parts only the first known ones are worth a fetch.
func Plan(w *medlarworld.World, r *medlarworld.Run, u *medlarworld.Upstream, known int, cmd *medlarworld.Start) {
	keys := r.KeysUnder(u.Version)
	cmd.Fetch = make([]medlarid.Address, len(keys))
	cmd.Save = make([]medlarid.Address, len(keys))
	cmd.Parts = make([]medlarworld.PartState, len(keys))
	cmd.FetchTill = w.Now.Add(fetchTime)
	for i, k := range keys {
		cmd.Parts[i] = planPart(w, r, u, cmd, i, k, i < known)
	}
	if n := len(keys); n > 0 {
		cmd.Parts[n-1] = medlarworld.PartOwn
	}
}

// planPart plans one part and returns what is believed of it. A part that the
// upstream is believed to cache is fetched if it does not.
func planPart(w *medlarworld.World, r *medlarworld.Run, u *medlarworld.Upstream, cmd *medlarworld.Start, i int, k medlarkey.Key, known bool) medlarworld.PartState {
	warm := w.Warm.Has(k, u.ID)
	if i == len(cmd.Parts)-1 || r.Sizes[i] < minTokens { // R5
		return state(warm, medlarworld.PartCold)
	}
	if s := FindStore(w, k); s != nil && Fetchable(w, r, u.Version) {
		if !known {
			return medlarworld.PartLeft
		}
		cmd.Fetch[i] = s.Address
		return state(warm, medlarworld.PartFetched)
	}
	if s := target(w, r, u, i, k); s != nil {
		cmd.Save[i] = s.Address
		return state(warm, medlarworld.PartSaved)
	}
	return state(warm, medlarworld.PartCold)
}

// state returns PartWarm for a part that the upstream caches.
func state(warm bool, otherwise medlarworld.PartState) medlarworld.PartState {
	if warm {
		return medlarworld.PartWarm
	}
	return otherwise
}

// target returns the store that a part of a run is to be saved to, or nil (R2, R3, R4).
func target(w *medlarworld.World, r *medlarworld.Run, u *medlarworld.Upstream, i int, k medlarkey.Key) *medlarworld.Store {
	n := r.Sizes[i]
	var best *medlarworld.Store
	var most fit
	for _, s := range w.StoreList {
		st := &s.Stock
		if st.Capacity == 0 || !usable(w, s) {
			continue
		}
		if _, held := st.Parts[k]; held || w.Now.Before(st.Saving[k].Till) {
			return nil
		}
		if w.Now.Before(st.SaveFrom) || !hasRoom(w, st, n) {
			continue
		}
		if f := fitOf(s, r, u, n, k); best == nil || f.better(most) {
			best, most = s, f
		}
	}
	if best != nil {
		best.Stock.Saving[k] = medlarworld.Saving{Tokens: n, Till: w.Now.Add(savingTime)}
	}
	return best
}

// fit tells how well a store suits a part (R3).
type fit struct {
	bears bool // the part bears the store's setup
	near  bool // in the zone of the conversation's home replica
	setup time.Duration
	rank  float64
}

func fitOf(s *medlarworld.Store, r *medlarworld.Run, u *medlarworld.Upstream, n medlarid.Tokens, k medlarkey.Key) fit {
	return fit{
		bears: s.Stock.Setup.Seconds() <= setupShare*linkSeconds(s, u, n),
		near:  s.Zone == r.HomeZone,
		setup: s.Stock.Setup,
		rank:  weightedRank(k, s),
	}
}

// better reports whether a store suits a part better than another one.
func (f fit) better(g fit) bool {
	switch {
	case f.bears != g.bears:
		return f.bears
	case f.near != g.near:
		return f.near
	case f.setup != g.setup:
		return (f.setup > g.setup) == f.bears
	}
	return f.rank > g.rank
}

// hasRoom reports whether a store has room for n tokens beside what it holds and
// what was asked to be saved.
func hasRoom(w *medlarworld.World, st *medlarworld.Stock, n medlarid.Tokens) bool {
	sum := st.Held + n
	for k, s := range st.Saving {
		if !w.Now.Before(s.Till) {
			delete(st.Saving, k)
			continue
		}
		sum += s.Tokens
	}
	return float64(sum) <= fullShare*float64(st.Capacity)
}

// weightedRank returns a store's rank for a key, by capacity.
func weightedRank(k medlarkey.Key, s *medlarworld.Store) float64 {
	u := (float64(medlarkey.Rendezvous(k, s.ID)>>11) + 0.5) / (1 << 53)
	return float64(s.Stock.Capacity) / -math.Log(u)
}

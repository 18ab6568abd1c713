// Package medlarplacement keeps what stores report of the parts of prompts they hold,
// and plans where each part of a run is fetched from and saved to. The stores evict
// nothing by themselves, so that a part of a prompt that recurs need not be recomputed
// long after the replicas evicted it from their caches.
//
// Rules:
//
//	R1  A part is fetched only from a store that recently reported, since its last
//	    start, that it holds the whole part. A report older than ReportTTL is not used,
//	    and a fetch that has not ended after fetchTimeout is abandoned.
//	R2  After a store has started, nothing is saved there until every instance has
//	    noticed the start: instances that still rely on the earlier copy of a part
//	    would fetch a part that is only half saved again.
//	R3  A part is saved to the best fitting store with room, chosen by data that all
//	    instances have alike: first a store in the availability zone of the
//	    conversation's home replica, since transfers between zones take twice as long;
//	    for a part that tolerates a long setup, a store that has one, to leave the room
//	    of stores with a short setup to small parts; then the highest rank of weighted
//	    rendezvous hashing for the part's key, by capacity. No message is needed: if
//	    two instances choose differently, the part is only saved twice.
//	R4  A part is saved once; while a save is in progress, the part is not requested to
//	    be saved again.
//	R5  The last part of a prompt is specific to that prompt and is not saved.
//	R6  A late answer is not attributed to the stores that its parts were fetched from:
//	    the delay is mostly the replica's, and recomputing the parts would add to it.
//	R7  Parts of a weight version are fetched by an instance that got answers under the
//	    version within ConfirmationTTL from more than ConfirmationShare of the model's
//	    replicas, also after the version was replaced: until the replicas have loaded the
//	    next one they would compute the parts anew. Without such answers, parts are fetched
//	    until GracePeriod after the version was replaced, and only by an instance that
//	    learned within DesiredVersionTTL which versions are desired, and followed them when
//	    it was replaced. Hence the parts can be
//	    freed once FreeDelay has passed and all but less than ConfirmationShare of the
//	    replicas have had a later version for SwapDelay: at least one of the replicas that
//	    answered would then have reported the later version.
//	R8  The shares of R7 have a replica in common only if they are of the same replicas. An
//	    instance counts answers only while it knows the replicas as of ListTTL ago, and only
//	    those of replicas that are listed for longer than UnseenTime. So parts can be freed by
//	    an instance that knows the replicas as of MaxListAge ago, and all that were listed
//	    within DepartedTTL: another one may still use a replica that is no longer listed, and
//	    its list may lack one that has joined or left. So the share that may run an older
//	    version is that of the replicas that were listed all the time. Those that the fetching
//	    instance knows to have left count for UnseenTime more, as the freeing one may not.
package medlarplacement

import (
	"math"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarchoice"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// ReportTTL is the time for which a store's report counts as current (R1).
const ReportTTL = 1500 * time.Millisecond

// Times of R7.
const (
	DesiredVersionTTL = 3 * time.Second
	GracePeriod       = 1500 * time.Millisecond
	FreeDelay         = DesiredVersionTTL + GracePeriod + fetchTimeout + 500*time.Millisecond

	ConfirmationTTL = 2 * time.Second
	SwapDelay       = ConfirmationTTL + fetchTimeout + 500*time.Millisecond
)

// Ages of what instances know of the replicas (R8).
const (
	ListTTL     = 10 * time.Second
	MaxListAge  = 1500 * time.Millisecond
	FreeTimeout = 400 * time.Millisecond   // from the decision to free until the store does
	UnseenTime  = MaxListAge + FreeTimeout // for which an instance that frees may not know of a change
	DepartedTTL = ListTTL + fetchTimeout + 500*time.Millisecond
)

// Shares of a model's replicas (R7). Together they exceed 1; the excess allows for
// replicas that one instance knows of and another does not.
const (
	ConfirmationShare = 1.0 / 5
	SwappedShare      = 5.0 / 6
)

const (
	fetchTimeout    = time.Second                                     // R1
	settleDelay     = ReportTTL + fetchTimeout + 500*time.Millisecond // R2
	saveTimeout     = 4 * time.Second                                 // R4
	maxFill         = 0.97                                            // share of the capacity that is filled
	minTokens       = 64                                              // smallest part that is worth a transfer
	crossZoneFactor = 2                                               // slowdown of transfers between availability zones
	maxSetupShare   = 0.5                                             // longest setup that a part tolerates, as a share of its time on the link (R3)
)

// System maintains what each store is believed to hold.
type System struct{}

// New returns the system.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		if e, ok := e.(medlarworld.InventoryReported); ok {
			applyStocked(w, e)
		}
	}
}

// applyStocked applies a store's report (R1, R2).
func applyStocked(w *medlarworld.World, e medlarworld.InventoryReported) {
	s := w.Stores[e.Store]
	if s == nil {
		return
	}
	st := &s.Stock
	if e.Reset || st.Parts == nil {
		st.Parts = map[medlarkey.Key]medlarid.Tokens{}
		st.PendingSaves = map[medlarkey.Key]medlarinventory.PendingSave{}
		st.HeldTokens = 0
	}
	if st.Epoch != e.Epoch {
		st.SaveFrom = w.Now.Add(settleDelay) // the store may have started long after e.At
		st.Epoch = e.Epoch
	}
	st.FreshUntil = e.At.Add(ReportTTL)
	for _, k := range e.Removed {
		st.HeldTokens -= st.Parts[k]
		delete(st.Parts, k)
	}
	for _, p := range e.Added {
		st.HeldTokens += p.Tokens - st.Parts[p.Key]
		st.Parts[p.Key] = p.Tokens
		delete(st.PendingSaves, p.Key)
	}
}

// Fetchable reports whether parts of a weight version may be fetched for a run (R7).
func Fetchable(w *medlarworld.World, r *medlarworld.Run, v medlarid.WeightVersion) bool {
	if w.RecordsAsOf.IsZero() {
		return true // this deployment does not free parts by version
	}
	if confirmed(w, r.Model, v) {
		return true
	}
	if w.Now.Sub(w.RecordsAsOf) > DesiredVersionTTL {
		return false
	}
	c, replaced := w.Models[r.Model].Versions.ReplacedBy(v)
	return !replaced || !c.Estimated && w.Now.Sub(c.At) < GracePeriod // an estimate may be long after the change
}

// replicasKnown returns the number of a model's replicas, with those that another instance may not know to have left (R8).
func replicasKnown(w *medlarworld.World, m medlarid.ModelID) int {
	n := len(w.Engines[m])
	for _, at := range w.Left[m] {
		if w.Now.Sub(at) < UnseenTime {
			n++
		}
	}
	return n
}

// confirmed reports whether enough of a model's replicas recently answered under a
// weight version (R7, R8).
func confirmed(w *medlarworld.World, m medlarid.ModelID, v medlarid.WeightVersion) bool {
	if !w.ReplicasAsOf.IsZero() && w.Now.Sub(w.ReplicasAsOf) > ListTTL {
		return false
	}
	n := 0
	for _, u := range w.Engines[m] {
		if u.Version == v && w.Now.Sub(u.ConfirmedAt) < ConfirmationTTL && w.Now.Sub(u.ListedAt) > UnseenTime {
			n++
		}
	}
	return float64(n) > ConfirmationShare*float64(replicasKnown(w, m))
}

// FindStore returns a store that a part can be fetched from, or nil (R1).
func FindStore(w *medlarworld.World, k medlarkey.Key) *medlarupstream.Store {
	for _, s := range w.StoreList {
		if _, ok := s.Stock.Parts[k]; ok && usable(w, s) {
			return s
		}
	}
	return nil
}

// usable reports whether a store can be asked and its last report is recent (R1).
func usable(w *medlarworld.World, s *medlarupstream.Store) bool {
	return s.Usable(w.Now) && w.Now.Before(s.Stock.FreshUntil)
}

// TransferSeconds returns the time that the transfer of a part of n tokens from a store
// to an upstream takes (R6).
func TransferSeconds(s *medlarupstream.Store, u *medlarupstream.Upstream, n medlarid.Tokens) float64 {
	transfer := linkSeconds(s, u, n)
	if s.Zone != u.Zone {
		transfer *= crossZoneFactor
	}
	return s.Stock.Setup.Seconds() + transfer
}

// linkSeconds returns the time that a part of n tokens takes on a store's link.
func linkSeconds(s *medlarupstream.Store, u *medlarupstream.Upstream, n medlarid.Tokens) float64 {
	return float64(n) * float64(u.TokenBytes) / max(s.Rate, 1)
}

// Plan sets, for each part of a run, the store that the upstream fetches it from and the
// store that it saves it to. Only the first known parts are worth a fetch.
func Plan(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream, known int, cmd *medlarworld.StartAttempt) {
	keys := r.KeysUnder(u.Version)
	cmd.Fetch = make([]medlarid.Address, len(keys))
	cmd.Save = make([]medlarid.Address, len(keys))
	cmd.Parts = make([]medlarchoice.PartState, len(keys))
	cmd.FetchDeadline = w.Now.Add(fetchTimeout)
	for i, k := range keys {
		cmd.Parts[i] = planPart(w, r, u, cmd, i, k, i < known)
	}
	if n := len(keys); n > 0 {
		cmd.Parts[n-1] = medlarchoice.PartUnshared
	}
}

// planPart plans one part and returns its believed state. For a part that the upstream
// is believed to cache, a store is planned as well, in case it does not.
func planPart(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream, cmd *medlarworld.StartAttempt, i int, k medlarkey.Key, known bool) medlarchoice.PartState {
	warm := w.Warm.Has(k, u.ID)
	if i == len(cmd.Parts)-1 || r.KeyTokens[i] < minTokens { // R5
		return partState(warm, medlarchoice.PartCold)
	}
	if s := FindStore(w, k); s != nil && Fetchable(w, r, u.Version) {
		if !known {
			return medlarchoice.PartSkipped
		}
		cmd.Fetch[i] = s.Address
		return partState(warm, medlarchoice.PartFetched)
	}
	if s := saveTarget(w, r, u, i, k); s != nil {
		cmd.Save[i] = s.Address
		return partState(warm, medlarchoice.PartSaved)
	}
	return partState(warm, medlarchoice.PartCold)
}

// partState returns PartWarm for a part that the upstream caches, and otherwise for any
// other.
func partState(warm bool, otherwise medlarchoice.PartState) medlarchoice.PartState {
	if warm {
		return medlarchoice.PartWarm
	}
	return otherwise
}

// saveTarget returns the store that part i of a run is to be saved to, or nil (R2, R3,
// R4).
func saveTarget(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream, i int, k medlarkey.Key) *medlarupstream.Store {
	n := r.KeyTokens[i]
	var best *medlarupstream.Store
	var bestFit fit
	for _, s := range w.StoreList {
		st := &s.Stock
		if st.Capacity == 0 || !usable(w, s) {
			continue
		}
		if _, held := st.Parts[k]; held || w.Now.Before(st.PendingSaves[k].Until) {
			return nil
		}
		if w.Now.Before(st.SaveFrom) || !hasRoom(w, st, n) {
			continue
		}
		if f := fitOf(s, r, u, n, k); best == nil || f.better(bestFit) {
			best, bestFit = s, f
		}
	}
	if best != nil {
		best.Stock.PendingSaves[k] = medlarinventory.PendingSave{Tokens: n, Until: w.Now.Add(saveTimeout)}
	}
	return best
}

// fit is how well a store fits a part (R3).
type fit struct {
	toleratesSetup bool // the part tolerates the store's setup
	inHomeZone     bool // the store is in the zone of the conversation's home replica
	setup          time.Duration
	rank           float64
}

func fitOf(s *medlarupstream.Store, r *medlarworld.Run, u *medlarupstream.Upstream, n medlarid.Tokens, k medlarkey.Key) fit {
	return fit{
		toleratesSetup: s.Stock.Setup.Seconds() <= maxSetupShare*linkSeconds(s, u, n),
		inHomeZone:     s.Zone == r.HomeZone,
		setup:          s.Stock.Setup,
		rank:           weightedRank(k, s),
	}
}

// better reports whether f is a better fit than g.
func (f fit) better(g fit) bool {
	switch {
	case f.toleratesSetup != g.toleratesSetup:
		return f.toleratesSetup
	case f.inHomeZone != g.inHomeZone:
		return f.inHomeZone
	case f.setup != g.setup:
		return (f.setup > g.setup) == f.toleratesSetup
	}
	return f.rank > g.rank
}

// hasRoom reports whether a store has room for n more tokens, besides those that it
// holds and those that are being saved.
func hasRoom(w *medlarworld.World, st *medlarinventory.Inventory, n medlarid.Tokens) bool {
	sum := st.HeldTokens + n
	for k, s := range st.PendingSaves {
		if !w.Now.Before(s.Until) {
			delete(st.PendingSaves, k)
			continue
		}
		sum += s.Tokens
	}
	return float64(sum) <= maxFill*float64(st.Capacity)
}

// weightedRank returns a store's rank for a key by rendezvous hashing, weighted by
// capacity.
func weightedRank(k medlarkey.Key, s *medlarupstream.Store) float64 {
	u := (float64(medlarkey.Rendezvous(k, s.ID)>>11) + 0.5) / (1 << 53)
	return float64(s.Stock.Capacity) / -math.Log(u)
}

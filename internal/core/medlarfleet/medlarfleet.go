// Package medlarfleet updates the tables of upstreams, stores and models from the
// lists, the platform's instance list and the reports of engines and links.
//
// Rules:
//
//	R1  An instance that the instance list no longer names, or names as leaving, gets
//	    no new work from the tick on in which the list is read.
//	R2  An upstream's own word that it leaves, in a report or a response, counts like the
//	    list's until the upstream starts again. So it does where the list no longer names
//	    the upstream for a while: a store that comes back from a copy names it again.
//	R3  What an engine reports replaces what was assumed since the last report.
//	R4  A cache event is a hint; a reset discards all that was known.
//	R5  With a new version of the lists the replicas that are next to change their weights
//	    are found anew.
//	R6  With many replicas of a model, an instance uses a subset of them. An instance that is one of more than maxFullFleet
//	    that have announced themselves prefers a subset of each service's replicas (medlarsubset).
//	R7  The replicas that are next in the fixed order of a weight change get no work
//	    while others are available: their runs have to end before they change.
//	R8  A store is avoided for a short time after a failed transfer, which may only
//	    be the failure of one connection, and for longer after each further failure in a
//	    row.
//	R9  An upstream that asks for a pause gets no new work in it. The pause is bounded, so
//	    that a wrong value does not keep an upstream out for good.
//	R10 Failures and crashes of an upstream's earlier start do not keep a later one out.
//	R11 An upstream in an availability zone that the operators evacuate gets no new work, be it a first attempt or a
//	    retry. Attempts in flight go on.
package medlarfleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarorder"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of links, replicas and subsets.
const (
	// A link without measurements is assumed to be fast: an import over it has a
	// timeout, and measures the rate.
	defaultLinkRate    = 10e9                   // bytes per second
	rateGain           = 0.3                    // weight of a new measurement
	minStoreBackoff    = 250 * time.Millisecond // after one failed transfer; doubles with each further one (R8)
	maxStoreBackoff    = 2 * time.Second
	defaultPrefillRate = 8000 // prompt tokens per second

	loadBackoff = 500 * time.Millisecond  // a replica that loads weights is avoided for this time
	swapBackoff = 1500 * time.Millisecond // a replica that is next to load weights is avoided for this time

	maxPause    = 5 * time.Minute        // longest pause that an upstream can ask for (R9)
	passedDelay = 200 * time.Millisecond // by which a pause that another instance passes on may end later than it does

	maxFullSet = 16 // up to this many replicas of a model, an instance uses all
	subsetSize = 4  // replicas that an instance uses of a model with more
)

// Kinds of members in the instance list.
const (
	memberEntry   = "entry"
	memberEngine  = "engine"
	memberService = "service"
	memberStore   = "store"
)

// System updates the tables.
type System struct {
	former  map[medlarid.InstanceID]former // upstreams that the list no longer names (R2)
	subsets subsets
}

// New returns a System.
func New() *System { return &System{former: map[medlarid.InstanceID]former{}, subsets: newSubsets()} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.ListsApplied:
			markSwaps(w)
		case medlarworld.InstancesListed:
			s.applyInstances(w, e)
		case medlarworld.ZonesEvacuated:
			evacuate(w, e)
		case medlarworld.ReplicasCurrent:
			if e.At.After(w.ReplicasAsOf) {
				w.ReplicasAsOf = e.At
			}
		case medlarworld.StatusReported:
			applyStatus(w, e)
		case medlarworld.CacheChanged:
			applyCacheChange(w, e)
		case medlarworld.TransferEnded:
			recordTransfer(w, e)
		case medlarworld.WeightsLoading:
			if u := w.Upstreams[e.Upstream]; u != nil {
				u.SwapUntil = w.Now.Add(loadBackoff)
			}
		case medlarworld.UpstreamLeaving:
			applyLeaving(w, e)
		case medlarworld.UpstreamPaused:
			applyPause(w, e)
		case medlarworld.StopRequested:
			w.Draining, w.Ending = true, w.Ending || e.Near
		case medlarworld.Submitted:
			s.subsets.count(e.Run.Service)
		}
	}
	s.subsets.update(w)
}

// markSwaps marks the replicas that are about to load other weights (R7).
func markSwaps(w *medlarworld.World) {
	for m, upstreams := range w.Engines {
		budget := medlarorder.MaxConcurrentLoads(medlarorder.FastSwapOptions(), len(upstreams))
		for _, u := range upstreams { // ordered by ID
			desired := w.Models[m].Version
			outdated := !u.Leaving && !u.Delisted && u.Version != desired && u.Version != "" && !w.IsLater(u.Version, desired)
			if !outdated || budget == 0 {
				u.SwapUntil, u.SwapExpected = time.Time{}, false
				continue
			}
			budget--
			if !u.SwapExpected {
				u.SwapUntil, u.SwapExpected = w.Now.Add(swapBackoff), true
			}
		}
	}
}

// applyInstances updates the tables from the platform's instance list (R1).
func (s *System) applyInstances(w *medlarworld.World, e medlarworld.InstancesListed) {
	for _, u := range w.Upstreams {
		u.Delisted = true
	}
	for _, store := range w.Stores {
		store.Delisted = true
	}
	peers := 0
	for _, m := range e.Members {
		switch m.Kind {
		case memberEntry:
			if !m.Leaving {
				peers++
			}
		case memberEngine, memberService:
			s.updateUpstream(w, m)
		case memberStore:
			updateStore(w, m)
		}
	}
	if e.Peers > 0 {
		peers = e.Peers
	}
	w.Peers = max(peers, 1)
	s.removeDelisted(w)
	rebuildIndex(w)
}

func (s *System) updateUpstream(w *medlarworld.World, m medlarupstream.Member) {
	u := w.Upstreams[m.ID]
	if u == nil {
		u = &medlarupstream.Upstream{ID: m.ID, Model: m.Model, PrefillRate: defaultPrefillRate, ListedAt: w.Now}
		u.Kind = medlarkind.Kind(m.Kind)
		w.Upstreams[m.ID] = u
		s.recall(u)
	}
	if m.Incarnation != u.Incarnation {
		u.Incarnation, u.ReportedLeaving, u.PausedUntil, u.ListedAt = m.Incarnation, false, time.Time{}, w.Now
		u.Limited, u.Limit, u.LimitShare, u.LimitTokens = false, 0, 0, 0
		u.Brittle, u.Pace = medlarupstream.Brittleness{}, medlarupstream.Pacing{}
		readmit(w, u)
	}
	u.Zone, u.Address, u.Service, u.Build = m.Zone, m.Address, m.Service, m.Build
	u.VersionDenied, u.Evacuated = m.VersionDenied, w.Evacuated[m.Zone]
	u.Pace.ColdRate, u.Pace.ColdTime, u.Pace.StatedUntil, u.Pace.Fresh = m.ColdRate, m.ColdTime, m.ColdUntil, m.Fresh
	if m.Slots > 0 {
		u.Load.Slots = m.Slots
	}
	if m.PrefillRate > 0 {
		u.PrefillRate = m.PrefillRate
	}
	if m.TokenBytes > 0 {
		u.TokenBytes, u.KVCapacity = m.TokenBytes, m.KVCapacity
	}
	if m.Version != "" && m.Version != u.Version {
		w.Warm.RemoveUpstream(u.ID)
		u.Version, u.ConfirmedAt = m.Version, time.Time{}
	}
	u.Leaving = m.Leaving || u.ReportedLeaving
	u.Delisted = false
}

// evacuate marks the upstreams of the availability zones that are evacuated (R11).
func evacuate(w *medlarworld.World, e medlarworld.ZonesEvacuated) {
	w.Evacuated = map[medlarid.Zone]bool{}
	for _, z := range e.Zones {
		w.Evacuated[z] = true
	}
	for _, u := range w.Upstreams {
		u.Evacuated = w.Evacuated[u.Zone]
	}
}

// readmit ends the ejection of an upstream that has started anew (R10).
func readmit(w *medlarworld.World, u *medlarupstream.Upstream) {
	if u.Ejections > 0 {
		w.Emit(medlarworld.Ejected{Upstream: u.ID, Readmitted: true})
	}
	u.Failures, u.Ejections, u.EjectedUntil = 0, 0, time.Time{}
}

func updateStore(w *medlarworld.World, m medlarupstream.Member) {
	s := w.Stores[m.ID]
	if s == nil {
		s = &medlarupstream.Store{ID: m.ID, Rate: cmp.Or(m.Rate, defaultLinkRate)}
		w.Stores[m.ID] = s
	}
	s.Stock.Capacity, s.Stock.Setup = m.Capacity, m.Setup
	s.Zone, s.Address = m.Zone, m.Address
	s.Leaving = m.Leaving
	s.Delisted = false
}

// removeDelisted removes delisted stores, and delisted upstreams without an attempt in
// flight.
func (s *System) removeDelisted(w *medlarworld.World) {
	for id, u := range w.Upstreams {
		if u.Delisted && u.Open == 0 {
			s.remember(w.Now, u)
			w.Warm.RemoveUpstream(u.ID)
			delete(w.Upstreams, id)
			recordLeft(w, u)
		}
	}
	for id, s := range w.Stores {
		if s.Delisted {
			delete(w.Stores, id)
		}
	}
}

// recordLeft records when an engine was removed, and forgets what is long ago (R8 of medlarplacement).
func recordLeft(w *medlarworld.World, u *medlarupstream.Upstream) {
	if u.Kind != medlarkind.KindEngine {
		return
	}
	if w.Left == nil {
		w.Left = map[medlarid.ModelID][]time.Time{}
	}
	old := func(at time.Time) bool { return w.Now.Sub(at) >= medlarplacement.UnseenTime }
	w.Left[u.Model] = append(slices.DeleteFunc(w.Left[u.Model], old), w.Now)
}

// Subset returns the replicas of one model that an instance uses: all of them if they
// are few, and otherwise those with the highest rank for the instance, so that each
// instance receives reports from a bounded number and each replica is used by several
// instances (R6).
func Subset(self medlarid.InstanceID, ids []medlarid.InstanceID) []medlarid.InstanceID {
	if len(ids) <= maxFullSet {
		return ids
	}
	ranked := slices.Clone(ids)
	rank := func(id medlarid.InstanceID) uint64 { return xxh3.HashString(string(self) + "\x00" + string(id)) }
	slices.SortFunc(ranked, func(a, b medlarid.InstanceID) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b))
	})
	return ranked[:subsetSize]
}

// markSubset marks the replicas of a model that are in this instance's subset.
func markSubset(w *medlarworld.World, upstreams []*medlarupstream.Upstream) {
	ids := make([]medlarid.InstanceID, len(upstreams))
	for i, u := range upstreams {
		ids[i] = u.ID
		u.InSubset = false
	}
	for _, id := range Subset(w.Config.Self, ids) {
		w.Upstreams[id].InSubset = true
	}
}

// rebuildIndex rebuilds the lists of upstreams by model and service and the list of
// stores, ordered by ID.
func rebuildIndex(w *medlarworld.World) {
	clear(w.Engines)
	clear(w.Services)
	for _, u := range w.Upstreams {
		if u.Service != "" {
			w.Services[u.Service] = append(w.Services[u.Service], u)
		}
		if u.Kind == medlarkind.KindEngine {
			w.Engines[u.Model] = append(w.Engines[u.Model], u)
		}
	}
	for _, upstreams := range w.Engines {
		slices.SortFunc(upstreams, compareUpstreams)
		markSubset(w, upstreams)
	}
	for _, upstreams := range w.Services {
		slices.SortFunc(upstreams, compareUpstreams)
	}
	w.StoreList = w.StoreList[:0]
	for _, s := range w.Stores {
		w.StoreList = append(w.StoreList, s)
	}
	slices.SortFunc(w.StoreList, func(a, b *medlarupstream.Store) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	markSwaps(w)
}

func compareUpstreams(a, b *medlarupstream.Upstream) int {
	return strings.Compare(string(a.ID), string(b.ID))
}

// applyStatus updates an upstream from an engine's status (R2, R3).
func applyStatus(w *medlarworld.World, e medlarworld.StatusReported) {
	u := w.Upstreams[e.Upstream]
	if u == nil {
		return
	}
	if u.Version != e.Version {
		w.Warm.RemoveUpstream(u.ID)
	}
	modelChanged := u.Model != e.Model
	u.Model, u.Version = e.Model, e.Version
	u.Load = e.Load
	u.ReportedAt = w.Now
	u.SentSinceReport = 0
	u.BlockBytes = e.BlockBytes
	if e.PrefillRate > 0 {
		u.PrefillRate = e.PrefillRate
	}
	u.BusyUntil = w.Now.Add(u.PrefillTime(e.Load.Pending))
	if e.Leaving {
		u.Leaving = true
		u.ReportedLeaving = true
	}
	if modelChanged {
		rebuildIndex(w)
	}
}

// applyLeaving stops new work to an upstream that said that it leaves (R2). The word of an
// earlier incarnation has no effect.
func applyLeaving(w *medlarworld.World, e medlarworld.UpstreamLeaving) {
	u := w.Upstreams[e.Upstream]
	if u == nil || u.Incarnation != e.Incarnation {
		return
	}
	known := u.Leaving
	u.Leaving, u.ReportedLeaving = true, true // its entry may be lost
	if known {
		return
	}
	w.Emit(medlarworld.Avoided{Upstream: u.ID, Incarnation: u.Incarnation, Leaving: true, From: e.From})
}

// applyPause stops new work to an upstream for the pause that it asked for (R9).
func applyPause(w *medlarworld.World, e medlarworld.UpstreamPaused) {
	u := w.Upstreams[e.Upstream]
	if u == nil || u.Incarnation != e.Incarnation {
		return
	}
	pause := min(e.For, maxPause)
	until := w.Now.Add(pause)
	known := u.PausedUntil
	if e.From != "" {
		known = known.Add(passedDelay)
	}
	if !until.After(known) {
		return
	}
	u.PausedUntil = until
	w.Emit(medlarworld.Avoided{Upstream: u.ID, Incarnation: u.Incarnation, For: pause, Until: until, From: e.From})
}

// applyCacheChange records an engine's cache events (R4).
func applyCacheChange(w *medlarworld.World, e medlarworld.CacheChanged) {
	u := w.Upstreams[e.Upstream]
	if u == nil {
		return
	}
	if e.Reset {
		w.Warm.RemoveUpstream(u.ID)
	}
	for _, k := range e.Stored {
		w.Warm.Add(k, u.ID)
	}
	for _, k := range e.Evicted {
		w.Warm.Remove(k, u.ID)
	}
}

// storeBackoff returns the time for which a store is avoided after a number of failures in a
// row (R8).
func storeBackoff(failures int) time.Duration {
	const maxDoublings = 3 // from minStoreBackoff to maxStoreBackoff
	return min(minStoreBackoff<<min(failures-1, maxDoublings), maxStoreBackoff)
}

// recordTransfer updates a link's measured rate and availability from a transfer.
func recordTransfer(w *medlarworld.World, e medlarworld.TransferEnded) {
	s := w.Stores[e.Store]
	if s == nil {
		return
	}
	if e.Import {
		s.InFlightBytes = max(s.InFlightBytes-e.Bytes, 0)
	}
	if e.Failed {
		s.Failures++
		s.DownUntil = w.Now.Add(storeBackoff(s.Failures))
		return
	}
	s.Failures = 0
	if e.Bytes > 0 && e.Took > 0 {
		rate := float64(e.Bytes) / e.Took.Seconds()
		s.Rate += rateGain * (rate - s.Rate)
	}
}

// ServingVersion returns the weight version that the cache keys of new requests for a
// model are computed for: the desired one if at least half of the usable replicas have
// it, else the one that most have.
func ServingVersion(w *medlarworld.World, m medlarid.ModelID) medlarid.WeightVersion {
	desired := w.Models[m].Version
	counts := map[medlarid.WeightVersion]int{}
	total := 0
	for _, u := range w.Engines[m] {
		if u.Usable(w.Now) && u.Version != "" {
			counts[u.Version]++
			total++
		}
	}
	if 2*counts[desired] >= total {
		return desired
	}
	best := desired
	for v, n := range counts {
		if n > counts[best] || n == counts[best] && v > best && best != desired {
			best = v
		}
	}
	return best
}

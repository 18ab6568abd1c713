// Package medlarfleet keeps the tables of upstreams, stores and models current
// from what the platform and the lists report.
//
// Rules:
//
//	R1  An instance that the list no longer names, or names as leaving, gets no
//	    new work from the tick on in which that is read.
//	R2  An engine's own report of leaving counts like the list's.
//	R3  What an engine reports replaces what was assumed since the last report.
//	R4  A cache event is a hint; a reset forgets all that was known.
//	R5  A new version of the lists replaces the models at once; an older one has
//	    no effect.
//	R6  At many replicas an instance works with a few of each model.
//	R7  The replicas that come next in the fixed order of a change of weights get no
//	    work while others are there: what they run has to end before they change.
package medlarfleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarhistory"
	"medlarfield/internal/core/medlarorder"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of links.
const (
	// A link that was not measured yet is taken for a fast one: an import over it
	// is bounded in time, and teaches the rate.
	defaultRate    = 10e9 // bytes a second
	rateGain       = 0.3  // weight of a new measurement
	storeDownTime  = 2 * time.Second
	defaultPrefill = 8000 // prompt tokens a second

	maxNamed = 32                      // versions of a model that are remembered
	busyTime = 500 * time.Millisecond  // for which a replica that loads weights is spared
	nextTime = 1500 * time.Millisecond // for which a replica that comes next is spared

	nearAll  = 16 // replicas of a model that an instance works with in full
	nearSome = 4  // replicas of a model with more
)

// Kinds of members in the instance list.
const (
	memberEntry   = "entry"
	memberEngine  = "engine"
	memberService = "service"
	memberStore   = "store"
)

// System keeps the tables current.
type System struct{}

// New returns the system.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.ListsApplied:
			apply(w, e)
		case medlarworld.InstancesListed:
			list(w, e)
		case medlarworld.StatusReported:
			report(w, e)
		case medlarworld.CacheChanged:
			cache(w, e)
		case medlarworld.TransferEnded:
			move(w, e)
		case medlarworld.RecordsCurrent:
			w.RecordsAsOf = e.At
		case medlarworld.WeightsLoading:
			if u := w.Upstreams[e.Upstream]; u != nil {
				u.SwapUntil = w.Now.Add(busyTime)
			}
		case medlarworld.StopRequested:
			w.Draining = true
		}
	}
}

// apply replaces the models; an older version is ignored (R5).
func apply(w *medlarworld.World, e medlarworld.ListsApplied) {
	if w.Ready && e.Version <= w.Version {
		return
	}
	w.Version = e.Version
	w.Ready = true
	old := w.Models
	w.Models = make(map[medlarid.ModelID]medlarworld.Model, len(e.Models))
	for _, m := range e.Models {
		m.Versions = old[m.ID].Versions
		if n := len(m.Versions); n == 0 || m.Versions[n-1].Version != m.Version {
			m.Versions = append(m.Versions[max(n-maxNamed, 0):], medlarhistory.Change{Version: m.Version, At: w.Now})
		}
		w.Models[m.ID] = m
	}
	markNext(w)
}

// markNext marks the replicas that are about to change weights (R7).
func markNext(w *medlarworld.World) {
	for m, us := range w.Engines {
		left := medlarorder.MaxConcurrentLoads(medlarorder.FastSwapOptions(), len(us))
		for _, u := range us { // in the order of ids
			stale := !u.Leaving && !u.Delisted && u.Version != w.Models[m].Version && u.Version != ""
			if !stale || left == 0 {
				u.SwapUntil, u.SwapExpected = time.Time{}, false
				continue
			}
			left--
			if !u.SwapExpected {
				u.SwapUntil, u.SwapExpected = w.Now.Add(nextTime), true
			}
		}
	}
}

// list takes over the platform's instance list (R1).
func list(w *medlarworld.World, e medlarworld.InstancesListed) {
	for _, u := range w.Upstreams {
		u.Delisted = true
	}
	for _, s := range w.Stores {
		s.Delisted = true
	}
	peers := 0
	for _, m := range e.Members {
		switch m.Kind {
		case memberEntry:
			if !m.Leaving {
				peers++
			}
		case memberEngine, memberService:
			listUpstream(w, m)
		case memberStore:
			listStore(w, m)
		}
	}
	if e.Peers > 0 {
		peers = e.Peers
	}
	w.Peers = max(peers, 1)
	forget(w)
	index(w)
}

func listUpstream(w *medlarworld.World, m medlarworld.Member) {
	u := w.Upstreams[m.ID]
	if u == nil {
		u = &medlarworld.Upstream{ID: m.ID, Model: m.Model, PrefillRate: defaultPrefill}
		u.Kind = medlarworld.Kind(m.Kind)
		w.Upstreams[m.ID] = u
	}
	u.Zone, u.Address, u.Service = m.Zone, m.Address, m.Service
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

func listStore(w *medlarworld.World, m medlarworld.Member) {
	s := w.Stores[m.ID]
	if s == nil {
		s = &medlarworld.Store{ID: m.ID, Rate: cmp.Or(m.Rate, defaultRate)}
		w.Stores[m.ID] = s
	}
	s.Stock.Capacity, s.Stock.Setup = m.Capacity, m.Setup
	s.Zone, s.Address = m.Zone, m.Address
	s.Leaving = m.Leaving
	s.Delisted = false
}

// forget drops what is gone and has no attempt in flight.
func forget(w *medlarworld.World) {
	for id, u := range w.Upstreams {
		if u.Delisted && u.Open == 0 {
			w.Warm.RemoveUpstream(u.ID)
			delete(w.Upstreams, id)
		}
	}
	for id, s := range w.Stores {
		if s.Delisted {
			delete(w.Stores, id)
		}
	}
}

// Subset returns the replicas of one model that an instance works with: all of a
// few, and else those of the highest rank for it, so that each instance hears of
// a bounded number and each replica is worked with by several (R6).
func Subset(self medlarid.InstanceID, ids []medlarid.InstanceID) []medlarid.InstanceID {
	if len(ids) <= nearAll {
		return ids
	}
	ranked := slices.Clone(ids)
	rank := func(id medlarid.InstanceID) uint64 { return xxh3.HashString(string(self) + "\x00" + string(id)) }
	slices.SortFunc(ranked, func(a, b medlarid.InstanceID) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b))
	})
	return ranked[:nearSome]
}

// markNear marks the near replicas of a model.
func markNear(w *medlarworld.World, us []*medlarworld.Upstream) {
	ids := make([]medlarid.InstanceID, len(us))
	for i, u := range us {
		ids[i] = u.ID
		u.InSubset = false
	}
	for _, id := range Subset(w.Config.Self, ids) {
		w.Upstreams[id].InSubset = true
	}
}

// index rebuilds the lists of upstreams by model and service, ordered by ID.
func index(w *medlarworld.World) {
	clear(w.Engines)
	clear(w.Services)
	for _, u := range w.Upstreams {
		if u.Service != "" {
			w.Services[u.Service] = append(w.Services[u.Service], u)
		}
		if u.Kind == medlarworld.KindEngine {
			w.Engines[u.Model] = append(w.Engines[u.Model], u)
		}
	}
	for _, us := range w.Engines {
		slices.SortFunc(us, compareUpstreams)
		markNear(w, us)
	}
	for _, us := range w.Services {
		slices.SortFunc(us, compareUpstreams)
	}
	w.StoreList = w.StoreList[:0]
	for _, s := range w.Stores {
		w.StoreList = append(w.StoreList, s)
	}
	slices.SortFunc(w.StoreList, func(a, b *medlarworld.Store) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	markNext(w)
}

func compareUpstreams(a, b *medlarworld.Upstream) int {
	return strings.Compare(string(a.ID), string(b.ID))
}

// report takes over an engine's status (R2, R3).
func report(w *medlarworld.World, e medlarworld.StatusReported) {
	u := w.Upstreams[e.Upstream]
	if u == nil {
		return
	}
	if u.Version != e.Version {
		w.Warm.RemoveUpstream(u.ID)
	}
	moved := u.Model != e.Model
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
	if moved {
		index(w)
	}
}

// cache takes over an engine's cache events (R4).
func cache(w *medlarworld.World, e medlarworld.CacheChanged) {
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

// move learns a link's rate from a transfer.
func move(w *medlarworld.World, e medlarworld.TransferEnded) {
	s := w.Stores[e.Store]
	if s == nil {
		return
	}
	if e.Import {
		s.InFlightBytes = max(s.InFlightBytes-e.Bytes, 0)
	}
	if e.Failed {
		s.DownUntil = w.Now.Add(storeDownTime)
		return
	}
	if e.Bytes > 0 && e.Took > 0 {
		rate := float64(e.Bytes) / e.Took.Seconds()
		s.Rate += rateGain * (rate - s.Rate)
	}
}

// ServingVersion returns the weight version that new requests for a model are keyed
// for: the wanted one if at least half of the usable replicas have it, else the
// one that most have.
func ServingVersion(w *medlarworld.World, m medlarid.ModelID) medlarid.WeightVersion {
	wanted := w.Models[m].Version
	counts := map[medlarid.WeightVersion]int{}
	total := 0
	for _, u := range w.Engines[m] {
		if u.Usable(w.Now) && u.Version != "" {
			counts[u.Version]++
			total++
		}
	}
	if 2*counts[wanted] >= total {
		return wanted
	}
	best := wanted
	for v, n := range counts {
		if n > counts[best] || n == counts[best] && v > best && best != wanted {
			best = v
		}
	}
	return best
}

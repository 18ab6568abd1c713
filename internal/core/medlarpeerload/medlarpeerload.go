// Package medlarpeerload keeps what other instances report of the load that they put on
// upstreams, and reports this instance's to them. Of many instances each sees only its own
// attempts, and without this each would fill the same upstreams while others have free slots.
//
// Rules:
//
//	R1  An instance reports the attempts that it has in flight at each upstream, and their
//	    tokens that are still to be computed. A report replaces the earlier one of its sender.
//	R2  Reports are hints: they get lost, and each expires after reportTTL. Without any, an
//	    instance counts its own attempts alone.
//	R3  A report is sent each tellInterval while the instance has attempts in flight, and once
//	    more when it has none left. It also carries the ages of changes of desired weight
//	    versions (medlardesired R3), and is sent while there are such.
//	R4  A report has a bounded size: beyond maxLoads it names the upstreams with most attempts.
//	R5  In a large fleet reports are added up on the way (medlarsum), and sums of all other instances' load arrive, each
//	    for a range of hashes. A sum replaces the earlier one of its range, and counts until its oldest report is
//	    medlarsum.TotalTTL old. Sums for another number of ranges replace all earlier ones.
//	R6  Sums don't count at plain services. These answer faster than a sum arrives, and all instances of a
//	    large fleet would choose the same upstream by the same sum.
package medlarpeerload

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlardesired"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarload"
	"medlarfield/internal/core/medlarsum"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Times and bounds of the rules.
const (
	tellInterval = 100 * time.Millisecond // R3
	reportTTL    = 600 * time.Millisecond // R2
	maxLoads     = 120                    // R4
	maxPeers     = 1024                   // reports that are kept

	// loadsPerChange is the number of upstreams that take as much room in a report as a change of a desired
	// weight version.
	loadsPerChange = 6
)

// report is the latest report of a peer, or the latest sum of a range.
type report struct {
	at    time.Time
	loads []medlarload.Load
	isSum bool // of all others in a large fleet
}

// System keeps the reports of peers.
type System struct {
	reports  map[medlarid.InstanceID]report
	sums     map[int]report // by range (R5)
	ranges   int            // number of ranges of sums
	byHash   map[medlarid.Hash]*medlarupstream.Upstream
	tellAt   time.Time // next report of this instance
	told     bool      // the last report named an upstream
	expireAt time.Time // next check for expired reports
}

// New returns a System without reports.
func New() *System {
	return &System{reports: map[medlarid.InstanceID]report{}, sums: map[int]report{}, byHash: map[medlarid.Hash]*medlarupstream.Upstream{}}
}

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.InstancesListed:
			s.index(w)
		case medlarworld.PeerLoadReported:
			s.apply(w, e)
		case medlarworld.PeerSumReported:
			s.applySum(w, e)
		}
	}
	s.expire(w)
	if w.Config.TellLoad {
		s.tell(w)
	}
}

// index finds the upstreams by hash, and sums all reports anew.
func (s *System) index(w *medlarworld.World) {
	clear(s.byHash)
	for id, u := range w.Upstreams {
		u.PeerOpen, u.PeerPending = 0, 0
		s.byHash[medlarid.HashOf(id)] = u
	}
	for _, r := range s.reports {
		s.add(r, 1)
	}
	for _, r := range s.sums {
		s.add(r, 1)
	}
}

// add adds a report to its upstreams, or takes it away if sign is -1 (R1, R6).
func (s *System) add(r report, sign int) {
	for _, l := range r.loads {
		if u := s.byHash[l.Upstream]; u != nil && !(r.isSum && u.Kind == medlarkind.KindService) {
			u.PeerOpen += sign * l.Open
			u.PeerPending += medlarid.Tokens(sign) * l.Pending
		}
	}
}

// apply replaces the report of a peer (R1).
func (s *System) apply(w *medlarworld.World, e medlarworld.PeerLoadReported) {
	old, known := s.reports[e.Peer]
	if e.Peer == w.Config.Self || !known && len(s.reports) >= maxPeers {
		return
	}
	s.add(old, -1)
	next := report{at: w.Now, loads: e.Loads}
	s.add(next, 1)
	s.reports[e.Peer] = next
}

// applySum replaces the sum of a range (R5).
func (s *System) applySum(w *medlarworld.World, e medlarworld.PeerSumReported) {
	if e.Ranges != s.ranges {
		for _, r := range s.sums {
			s.add(r, -1)
		}
		clear(s.sums)
		s.ranges = e.Ranges
	}
	s.add(s.sums[e.Range], -1)
	next := report{at: w.Now.Add(-e.Age), loads: e.Loads, isSum: true}
	s.add(next, 1)
	s.sums[e.Range] = next
}

// expire removes the reports that are too old (R2, R5).
func (s *System) expire(w *medlarworld.World) {
	if w.Now.Before(s.expireAt) {
		return
	}
	s.expireAt = w.Now.Add(tellInterval)
	maps.DeleteFunc(s.reports, func(_ medlarid.InstanceID, r report) bool {
		expired := w.Now.Sub(r.at) > reportTTL
		if expired {
			s.add(r, -1)
		}
		return expired
	})
	maps.DeleteFunc(s.sums, func(_ int, r report) bool {
		expired := w.Now.Sub(r.at) > medlarsum.TotalTTL
		if expired {
			s.add(r, -1)
		}
		return expired
	})
}

// tell sends this instance's report if it is due (R3).
func (s *System) tell(w *medlarworld.World) {
	if w.Now.Before(s.tellAt) {
		return
	}
	s.tellAt = w.Now.Add(tellInterval)
	changes := medlardesired.Ages(w)
	loads := ownLoads(w)
	if len(loads) == 0 && len(changes) == 0 && !s.told {
		return
	}
	loads = loads[:min(len(loads), maxLoads-loadsPerChange*len(changes))]
	s.told = len(loads) > 0
	w.Emit(medlarworld.TellLoad{Loads: loads, Changes: changes, Upstreams: len(s.byHash)})
}

// ownLoads returns the load that this instance puts on upstreams, the largest first (R1, R4).
func ownLoads(w *medlarworld.World) []medlarload.Load {
	var out []medlarload.Load
	for id, u := range w.Upstreams {
		if u.Open > 0 {
			pending := medlarid.Tokens(u.Backlog.Pending(len(u.Backlog.Queues) - 1))
			out = append(out, medlarload.Load{Upstream: medlarid.HashOf(id), Open: u.Open, Pending: pending})
		}
	}
	slices.SortFunc(out, func(a, b medlarload.Load) int {
		return cmp.Or(cmp.Compare(b.Open, a.Open), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out
}

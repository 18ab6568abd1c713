// Package medlarreader decides which instances read a KV store's contents themselves, and from which of them each
// other instance gets the contents.
//
// Rules:
//
//	R1  With up to SmallFleet live instances each instance reads each store itself.
//	R2  Otherwise the instances of each availability zone are ranked for each store by rendezvous hashing. The first
//	    two, or one where there are more than four zones, read the store. All others get its contents from one of
//	    these, since traffic between zones is expensive. An instance prefers the same readers for all stores, so that
//	    it needs few connections.
//	R3  A reader from which no message has come for SilentAfter, or whose connection fails, counts as silent. The next one
//	    in rank takes its place. A silent instance is tried again after a time that doubles with each failure up to
//	    retryMax, as it may be listed for an hour after its end. One that has started again is tried at once.
//	R4  An instance that was not scheduled for ownPause or longer does not count that time as silence of its readers.
//	R5  A reader that does not read a store, or has had no recent contents of it for undatedAfter, is set aside for this
//	    store for a while. So the next one in rank starts to read.
//	R6  If more than maxSilent silent instances rank before the first usable one, the instance reads the store itself. It
//	    also does if all of the first maxCandidates that are not silent are set aside, unless the store is unavailable
//	    to one of them: that one stays the source.
//	R7  The source of a store's contents is replaced only when the next one has delivered them all. Until then an
//	    instance that reads the store itself continues to.
package medlarreader

import (
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
)

// SmallFleet is the largest number of live instances with which each reads all stores itself (R1). A store lets as many
// calls wait at once.
const SmallFleet = 12

// SilentAfter is the time without a message after which a reader counts as silent (R3).
const SilentAfter = 400 * time.Millisecond

// Numbers of instances.
const (
	zoneReaders   = 2 // of a store in each availability zone (R2)
	manyZones     = 4 // largest number of zones that have zoneReaders
	maxCandidates = 4 // readers that are considered (R6)
	maxSilent     = 3 // silent instances before them (R6)
)

// Times.
const (
	retryFirst     = time.Second             // until a silent instance is tried again
	retryMax       = 30 * time.Second        // maximum of that time
	ownPause       = 200 * time.Millisecond  // between two calls of Plan; a longer time shows that the instance was not scheduled (R4)
	undatedAfter   = 1200 * time.Millisecond // without recent contents, after which a reader is set aside (R5); contents count as current for 1.5 s
	absentFor      = time.Second             // for which a reader that does not read the store is set aside
	unavailableFor = 3 * time.Second         // for which a reader to which the store is unavailable is set aside
)

// Instance is another live instance.
type Instance struct {
	ID    medlarid.InstanceID
	Zone  medlarid.Zone
	Start uint64 // differs with each start of the instance
}

// Plan is what an instance reads, and from where, until the next plan.
type Plan struct {
	Direct map[medlarid.InstanceID]bool // stores that it reads itself
	// Subscribe has the instances that it gets contents from, with the stores. One without a store is only tried again (R3).
	Subscribe map[medlarid.InstanceID][]medlarid.InstanceID
}

// Table is what an instance knows of readers. It is not safe for concurrent use.
type Table struct {
	self   medlarid.InstanceID
	zone   medlarid.Zone
	others []Instance
	stores map[medlarid.InstanceID]*store
	peers  map[medlarid.InstanceID]*peer
	asOf   time.Time // last call of Plan
}

// store is the state of one store.
type store struct {
	ranking []medlarid.InstanceID // of the zone's instances, without limit
	source  medlarid.InstanceID   // of the contents at present; empty for none
	target  medlarid.InstanceID   // the next source; equal to source if that is to stay
	datedAt time.Time             // when the target was chosen, or last had recent contents
	down    bool                  // the target states that the store is unavailable
	aside   map[medlarid.InstanceID]aside
}

// aside is a reader that is set aside for a store (R5).
type aside struct {
	until time.Time
	down  bool // the store is unavailable to it
}

// peer is the state of another instance of the zone.
type peer struct {
	start   uint64
	heard   time.Time // of its last message, or when it was first in a plan; zero if it is not in the plan
	silent  bool
	retryAt time.Time
	backoff time.Duration
}

// New returns a table that knows no other instances and no stores.
func New(self medlarid.InstanceID, zone medlarid.Zone) *Table {
	return &Table{self: self, zone: zone, stores: map[medlarid.InstanceID]*store{}, peers: map[medlarid.InstanceID]*peer{}}
}

// SetFleet records the other live instances, sorted by id.
func (t *Table) SetFleet(others []Instance) {
	if slices.Equal(others, t.others) {
		return
	}
	t.others = slices.Clone(others)
	known := map[medlarid.InstanceID]bool{}
	for _, o := range others {
		if o.Zone != t.zone {
			continue
		}
		known[o.ID] = true
		if p := t.peers[o.ID]; p == nil || p.start != o.Start {
			t.peers[o.ID] = &peer{start: o.Start}
		}
	}
	for id := range t.peers {
		if !known[id] {
			delete(t.peers, id)
		}
	}
	for id, s := range t.stores {
		s.ranking = t.rank(id)
	}
}

// SetStores records the stores.
func (t *Table) SetStores(ids []medlarid.InstanceID) {
	for _, id := range ids {
		if t.stores[id] == nil {
			t.stores[id] = &store{ranking: t.rank(id), aside: map[medlarid.InstanceID]aside{}}
		}
	}
	for id := range t.stores {
		if !slices.Contains(ids, id) {
			delete(t.stores, id)
		}
	}
}

// rank returns the ranking of the zone's instances for a store (R2).
func (t *Table) rank(id medlarid.InstanceID) []medlarid.InstanceID {
	out := []medlarid.InstanceID{t.self}
	for _, o := range t.others {
		if o.Zone == t.zone {
			out = append(out, o.ID)
		}
	}
	sortByWeight(out, id)
	return out
}

// sortByWeight sorts instances by rendezvous hashing for a name, the highest weight first.
func sortByWeight(ids []medlarid.InstanceID, name medlarid.InstanceID) {
	k := medlarkey.Part("readers", "", string(name))
	slices.SortFunc(ids, func(a, b medlarid.InstanceID) int {
		wa, wb := medlarkey.Rendezvous(k, a), medlarkey.Rendezvous(k, b)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
}

// Few reports whether few instances read each store (R1).
func (t *Table) Few() bool { return len(t.others)+1 > SmallFleet }

// readers returns the number of readers of a store in each zone (R2).
func (t *Table) readers() int {
	zones := map[medlarid.Zone]bool{t.zone: true}
	for _, o := range t.others {
		zones[o.Zone] = true
	}
	if len(zones) > manyZones {
		return 1
	}
	return zoneReaders
}

// Plan returns what the instance does from now on. Where few instances read each store it is called more often than each
// ownPause.
func (t *Table) Plan(now time.Time) Plan {
	t.markSilent(now)
	out := Plan{Direct: map[medlarid.InstanceID]bool{}, Subscribe: map[medlarid.InstanceID][]medlarid.InstanceID{}}
	n := t.readers()
	for id, s := range t.stores {
		t.checkTarget(now, s)
		next := t.self
		if t.Few() {
			next = t.choose(now, s, n, out.Subscribe)
		}
		if next != s.target {
			s.target, s.datedAt, s.down = next, now, false
		}
		if s.target == t.self || s.source == t.self {
			out.Direct[id] = true
		}
		if s.target != t.self {
			out.Subscribe[s.target] = append(out.Subscribe[s.target], id)
		}
		if p := t.peers[s.source]; s.source != s.target && p != nil && !p.silent && t.Few() {
			out.Subscribe[s.source] = append(out.Subscribe[s.source], id)
		}
	}
	for id, p := range t.peers {
		if _, wanted := out.Subscribe[id]; !wanted {
			p.heard = time.Time{}
		} else if p.heard.IsZero() {
			p.heard = now
		}
	}
	return out
}

// markSilent marks the peers that are silent (R3, R4).
func (t *Table) markSilent(now time.Time) {
	own := now.Sub(t.asOf)
	if t.asOf.IsZero() || own < ownPause {
		own = 0
	}
	t.asOf = now
	for _, s := range t.stores {
		s.datedAt = s.datedAt.Add(own)
	}
	for id, p := range t.peers {
		if p.heard.IsZero() {
			continue
		}
		p.heard = p.heard.Add(own)
		if now.Sub(p.heard) >= SilentAfter {
			t.Failed(now, id)
		}
	}
}

// checkTarget sets the target of a store aside if it has had no recent contents for too long (R5).
func (t *Table) checkTarget(now time.Time, s *store) {
	if s.target == "" || s.target == t.self || now.Sub(s.datedAt) < undatedAfter {
		return
	}
	s.setAside(now, s.target, s.down)
	s.datedAt = now
}

// setAside sets a reader aside for a store (R5).
func (s *store) setAside(now time.Time, id medlarid.InstanceID, down bool) {
	d := absentFor
	if down {
		d = unavailableFor
	}
	s.aside[id] = aside{until: now.Add(d), down: down}
}

// choose returns the instance that is to be the source of a store's contents (R2, R3, R5, R6). It adds the silent
// instances that are due to be tried again to a plan.
func (t *Table) choose(now time.Time, s *store, n int, try map[medlarid.InstanceID][]medlarid.InstanceID) medlarid.InstanceID {
	var usable []medlarid.InstanceID
	var silent, considered int
	var down medlarid.InstanceID // first one to which the store is unavailable
	for _, id := range s.ranking {
		if id == t.self {
			if len(usable) < n {
				return t.self
			}
			continue
		}
		p := t.peers[id]
		if p.silent {
			if !now.Before(p.retryAt) && try[id] == nil {
				try[id] = []medlarid.InstanceID{}
			}
			if silent++; silent > maxSilent && len(usable) == 0 {
				return t.self
			}
			continue
		}
		considered++
		if a, ok := s.aside[id]; ok && now.Before(a.until) {
			if a.down && down == "" {
				down = id
			}
		} else {
			usable = append(usable, id)
		}
		if len(usable) == n || considered == maxCandidates {
			break
		}
	}
	switch {
	case slices.Contains(usable, s.source):
		return s.source
	case len(usable) > 0:
		sortByWeight(usable, t.self)
		return usable[0]
	case down != "":
		return down
	}
	return t.self
}

// Heard records that a message of an instance has arrived.
func (t *Table) Heard(now time.Time, id medlarid.InstanceID) {
	if p := t.peers[id]; p != nil {
		p.heard, p.silent, p.backoff = now, false, 0
	}
}

// Failed records that an instance is silent, or that the connection to it has failed (R3).
func (t *Table) Failed(now time.Time, id medlarid.InstanceID) {
	p := t.peers[id]
	if p == nil {
		return
	}
	p.backoff = min(max(2*p.backoff, retryFirst), retryMax)
	p.silent, p.retryAt, p.heard = true, now.Add(p.backoff), time.Time{}
}

// Dated records that an instance has recent contents of a store.
func (t *Table) Dated(now time.Time, id, of medlarid.InstanceID) {
	s := t.stores[of]
	if s == nil {
		return
	}
	delete(s.aside, id)
	if s.target == id {
		s.datedAt, s.down = now, false
	}
}

// Unavailable records that an instance reads a store, and has no recent contents of it (R5).
func (t *Table) Unavailable(id, of medlarid.InstanceID) {
	if s := t.stores[of]; s != nil && s.target == id {
		s.down = true
	}
}

// Absent records that an instance does not read a store (R5).
func (t *Table) Absent(now time.Time, id, of medlarid.InstanceID) {
	if s := t.stores[of]; s != nil {
		s.setAside(now, id, false)
	}
}

// Source returns the source of a store's contents at present: an instance, which may be this one, or empty.
func (t *Table) Source(of medlarid.InstanceID) medlarid.InstanceID {
	if s := t.stores[of]; s != nil {
		return s.source
	}
	return ""
}

// Deliver records that an instance has delivered all contents of a store, and reports whether it is their source
// from now on (R7).
func (t *Table) Deliver(id, of medlarid.InstanceID) bool {
	s := t.stores[of]
	if s == nil || s.target != id && s.source != id {
		return false
	}
	s.source = id
	return true
}

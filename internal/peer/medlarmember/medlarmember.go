// Package medlarmember maintains a view of which entry instances are alive, by
// gossip. The view is a hint: it determines which instance is asked first, and
// nothing relies on it to be correct.
//
// Rules:
//
//	R1  The platform's instance list determines the members. A member that calls
//	    this instance is alive, whatever the list states.
//	R2  Each instance probes a bounded number of neighbors, so that its cost does
//	    not grow with the number of members: its next live successors in a ring of
//	    all members, so that each member is probed by some instance, and others
//	    chosen by rank, so that rumors spread fast.
//	R3  A neighbor that does not answer is probed indirectly, through others. Only
//	    if they do not reach it either is it suspected, and declared dead after
//	    suspectTimeout. Until then it is probed in every round and informed that it is
//	    suspected. Only an instance whose own probes failed several times in a row
//	    declares a member dead.
//	R4  Rumors are piggybacked on probes and replies, each a bounded number of
//	    times. Each message also carries the state of one member in rotation, so
//	    that an instance that missed a rumor learns of it eventually.
//	R5  An instance that learns that it is suspected or dead raises its incarnation
//	    and refutes the rumor. A higher incarnation overrides a lower one.
//	R6  Dead members are probed occasionally, so that the sides of a network
//	    partition find each other again after it heals.
package medlarmember

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/peer/medlarmessage"
)

// Membership parameters.
const (
	neighborCount     = 6
	ringNeighborCount = 2 // of the neighbors
	maxSuspectProbes  = 4 // in one round
	deadProbeFailures = 3 // consecutive failures of own probes before a member is declared dead
	suspectTimeout    = 6 * time.Second
	maxRumors         = 6 // in one message
	rumorFactor       = 3 // a rumor is sent rumorFactor*log2(members) times
)

// State is the liveness state of a member.
type State = medlarmessage.State

// States of a member.
const (
	Alive   = medlarmessage.State_STATE_ALIVE
	Suspect = medlarmessage.State_STATE_SUSPECT
	Dead    = medlarmessage.State_STATE_DEAD
)

// member is an entry of the table.
type member struct {
	id            medlarid.InstanceID
	state         State
	incarnation   uint64
	since         time.Time // time of the last state change
	listed        bool      // in the instance list
	probeFailed   bool      // suspected by own probes
	probeFailures int       // consecutive failures of own probes
	sends         int       // messages that have carried the current rumor about it
}

// Table is the membership view of one instance. It is not safe for concurrent use.
type Table struct {
	self            medlarid.InstanceID
	selfIncarnation uint64
	members         map[medlarid.InstanceID]*member
	ranked          []medlarid.InstanceID // all members but self, by rank for self
	ring            []medlarid.InstanceID // all members, including self, by hash
	pending         []medlarid.InstanceID // members with a rumor to send
	probeTurn       int                   // rotates the probes of neighbors and of dead members
	suspectTurn     int                   // rotates the probes of suspected members
	repeatTurn      int                   // rotates the members whose state messages repeat
	DeclaredDead    int                   // number of times a member was set to dead
}

// NewTable returns the view of an instance that knows only itself. incarnation must
// be higher at each start, such as the start time.
func NewTable(self medlarid.InstanceID, incarnation uint64) *Table {
	t := &Table{self: self, selfIncarnation: incarnation, members: map[medlarid.InstanceID]*member{}}
	t.enqueueRumor(t.add(self, Alive, incarnation, time.Time{}))
	return t
}

func (t *Table) add(id medlarid.InstanceID, s State, incarnation uint64, now time.Time) *member {
	m := &member{id: id, state: s, incarnation: incarnation, since: now, listed: true}
	t.members[id] = m
	insert(&t.ring, id, compareHash)
	if id != t.self {
		insert(&t.ranked, id, t.compareRank)
	}
	return m
}

// insert inserts a member into a sorted list.
func insert(list *[]medlarid.InstanceID, id medlarid.InstanceID, compare func(a, b medlarid.InstanceID) int) {
	i, _ := slices.BinarySearchFunc(*list, id, compare)
	*list = slices.Insert(*list, i, id)
}

// compareRank orders members by rank, which differs for each instance.
func (t *Table) compareRank(a, b medlarid.InstanceID) int {
	return cmp.Or(cmp.Compare(t.rank(a), t.rank(b)), cmp.Compare(a, b))
}

// compareHash orders members in the ring; all instances have the same order.
func compareHash(a, b medlarid.InstanceID) int {
	return cmp.Or(cmp.Compare(xxh3.HashString(string(a)), xxh3.HashString(string(b))), cmp.Compare(a, b))
}

func (t *Table) rank(id medlarid.InstanceID) uint64 {
	return xxh3.HashString(string(t.self) + "\x00" + string(id))
}

// SetInstances applies the instance list (R1). Members that are neither listed nor
// alive are removed.
func (t *Table) SetInstances(now time.Time, ids []medlarid.InstanceID) {
	for _, m := range t.members {
		m.listed = m.id == t.self
	}
	for _, id := range ids {
		if m := t.members[id]; m != nil {
			m.listed = true
			continue
		}
		t.add(id, Alive, 0, now)
	}
	for id, m := range t.members {
		if !m.listed && m.state != Alive {
			t.remove(id)
		}
	}
}

func (t *Table) remove(id medlarid.InstanceID) {
	delete(t.members, id)
	matches := func(o medlarid.InstanceID) bool { return o == id }
	t.ranked = slices.DeleteFunc(t.ranked, matches)
	t.ring = slices.DeleteFunc(t.ring, matches)
	t.pending = slices.DeleteFunc(t.pending, matches)
}

// Live returns the members that are not dead, sorted by name.
func (t *Table) Live() []medlarid.InstanceID {
	var out []medlarid.InstanceID
	for id, m := range t.members {
		if m.state != Dead {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// State returns the state of a member, or State_STATE_UNSPECIFIED if it is unknown.
func (t *Table) State(id medlarid.InstanceID) State {
	if m := t.members[id]; m != nil {
		return m.state
	}
	return medlarmessage.State_STATE_UNSPECIFIED
}

// Neighbors returns the members that this instance probes (R2): first its successors
// in the ring, then others by rank.
func (t *Table) Neighbors() []medlarid.InstanceID {
	out := make([]medlarid.InstanceID, 0, neighborCount)
	at := slices.Index(t.ring, t.self)
	for i := 1; i < len(t.ring) && len(out) < ringNeighborCount; i++ {
		if id := t.ring[(at+i)%len(t.ring)]; t.members[id].state != Dead {
			out = append(out, id)
		}
	}
	for _, id := range t.ranked {
		if t.members[id].state != Dead && len(out) < neighborCount && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// ProbeTarget returns the next neighbor to probe, in rotation (R2); ok is false if
// there is none.
func (t *Table) ProbeTarget() (id medlarid.InstanceID, ok bool) {
	n := t.Neighbors()
	if len(n) == 0 {
		return "", false
	}
	t.probeTurn++
	if t.probeTurn%2 == 0 { // half of the probes go to ring neighbors: some have no other prober
		return n[t.probeTurn/2%min(ringNeighborCount, len(n))], true
	}
	return n[t.probeTurn/2%len(n)], true
}

// SuspectTargets returns a bounded number of suspected members to probe, in rotation
// (R3).
func (t *Table) SuspectTargets() []medlarid.InstanceID {
	var suspects []medlarid.InstanceID
	neighbors := t.Neighbors()
	for _, id := range t.ranked {
		if m := t.members[id]; m.state == Suspect && (m.probeFailed || slices.Contains(neighbors, id)) {
			suspects = append(suspects, id)
		}
	}
	if len(suspects) <= maxSuspectProbes {
		return suspects
	}
	t.suspectTurn += maxSuspectProbes
	return append(suspects, suspects...)[t.suspectTurn%len(suspects):][:maxSuspectProbes]
}

// RumorsFor returns the rumors for a message to a member. If the member is suspected
// or dead, they include the rumor about the member itself (R3).
func (t *Table) RumorsFor(id medlarid.InstanceID) []*medlarmessage.Rumor {
	out := t.Rumors()
	if m := t.members[id]; m != nil && m.state != Alive {
		out = append(out, rumorOf(m))
	}
	return out
}

func rumorOf(m *member) *medlarmessage.Rumor {
	return &medlarmessage.Rumor{Node: string(m.id), Incarnation: m.incarnation, State: m.state}
}

// DeadTarget returns a dead member to probe, in rotation (R6); ok is false if there is
// none.
func (t *Table) DeadTarget() (id medlarid.InstanceID, ok bool) {
	var dead []medlarid.InstanceID
	for _, o := range t.ranked {
		if t.members[o].state == Dead {
			dead = append(dead, o)
		}
	}
	if len(dead) == 0 {
		return "", false
	}
	t.probeTurn++
	return dead[t.probeTurn%len(dead)], true
}

// RecordAnswer records that a member answered a probe or called this instance (R1).
func (t *Table) RecordAnswer(now time.Time, id medlarid.InstanceID) {
	m := t.members[id]
	if m == nil {
		m = t.add(id, Dead, 0, now)
		m.listed = false
	}
	if m.state == Alive {
		return
	}
	m.incarnation++ // a direct answer overrides rumors about the member
	t.setState(now, m, Alive)
}

// RecordFailure records that a member did not answer, neither to this instance nor to
// others (R3).
func (t *Table) RecordFailure(now time.Time, id medlarid.InstanceID) {
	m := t.members[id]
	if m == nil || m.state == Dead {
		return
	}
	if !m.probeFailed {
		t.setState(now, m, Suspect)
		m.probeFailed = true
	}
	m.probeFailures++
}

// ExpireSuspects declares members dead that were suspected for suspectTimeout and
// failed deadProbeFailures own probes in a row (R3).
func (t *Table) ExpireSuspects(now time.Time) {
	for _, m := range t.members {
		if m.state == Suspect && m.probeFailures >= deadProbeFailures && now.Sub(m.since) >= suspectTimeout {
			t.setState(now, m, Dead)
		}
	}
}

func (t *Table) setState(now time.Time, m *member, s State) {
	if s == Dead {
		t.DeclaredDead++
	}
	m.state = s
	m.since = now
	m.probeFailed = false
	m.probeFailures = 0
	t.enqueueRumor(m)
}

// enqueueRumor schedules the state of a member to be sent as a rumor (R4).
func (t *Table) enqueueRumor(m *member) {
	m.sends = 0
	if !slices.Contains(t.pending, m.id) {
		t.pending = append(t.pending, m.id)
	}
}

// Rumors returns the rumors for one message, those sent least often first, and the
// state of one member in rotation (R4).
func (t *Table) Rumors() []*medlarmessage.Rumor {
	limit := rumorFactor * bits.Len(uint(len(t.members)))
	slices.SortStableFunc(t.pending, func(a, b medlarid.InstanceID) int {
		return cmp.Compare(t.members[a].sends, t.members[b].sends)
	})
	var out []*medlarmessage.Rumor
	for _, id := range t.pending[:min(len(t.pending), maxRumors)] {
		m := t.members[id]
		m.sends++
		out = append(out, rumorOf(m))
	}
	t.pending = slices.DeleteFunc(t.pending, func(id medlarid.InstanceID) bool { return t.members[id].sends >= limit })
	if len(t.ranked) > 0 {
		t.repeatTurn++
		out = append(out, rumorOf(t.members[t.ranked[t.repeatTurn%len(t.ranked)]]))
	}
	return out
}

// RestoreRumors undoes the counting of rumors as sent, because their message was lost.
func (t *Table) RestoreRumors(rumors []*medlarmessage.Rumor) {
	for _, r := range rumors {
		m := t.members[medlarid.InstanceID(r.GetNode())]
		if m == nil || m.sends == 0 {
			continue
		}
		m.sends--
		if !slices.Contains(t.pending, m.id) {
			t.pending = append(t.pending, m.id)
		}
	}
}

// ApplyRumors applies rumors that are newer than the known state of their members, and
// refutes rumors that this instance is suspected or dead (R5).
func (t *Table) ApplyRumors(now time.Time, rumors []*medlarmessage.Rumor) {
	for _, r := range rumors {
		id := medlarid.InstanceID(r.GetNode())
		switch {
		case id == t.self:
			t.refute(now, r)
		case r.GetState() < Alive || r.GetState() > Dead || id == "":
		default:
			t.applyRumor(now, id, r)
		}
	}
}

func (t *Table) refute(now time.Time, r *medlarmessage.Rumor) {
	if r.GetState() == Alive || r.GetIncarnation() < t.selfIncarnation {
		return
	}
	t.selfIncarnation = r.GetIncarnation() + 1
	m := t.members[t.self]
	m.incarnation = t.selfIncarnation
	m.since = now
	t.enqueueRumor(m)
}

func (t *Table) applyRumor(now time.Time, id medlarid.InstanceID, r *medlarmessage.Rumor) {
	m := t.members[id]
	if m == nil {
		if r.GetState() == Alive {
			m = t.add(id, Alive, r.GetIncarnation(), now)
			m.listed = false
			t.enqueueRumor(m)
		}
		return
	}
	newer := r.GetIncarnation() > m.incarnation
	worse := r.GetIncarnation() == m.incarnation && r.GetState() > m.state
	if !newer && !worse {
		return
	}
	m.incarnation = r.GetIncarnation()
	if m.state == r.GetState() {
		return
	}
	t.setState(now, m, r.GetState())
}

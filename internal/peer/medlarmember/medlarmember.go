// Package medlarmember keeps a view of which entry instances live. The view is a
// hint: it decides who is asked first, never what is true.
//
// Rules:
//
//	R1  The platform's instance list names the members; a member that calls here
//	    is alive, whatever the list says.
//	R2  Each instance probes a few neighbors, so that its cost does not grow with
//	    the number of members: the next ones that live in a ring of all members,
//	    so that each member is watched, and some chosen by rank, so that news
//	    travels fast.
//	R3  A neighbor that does not answer is probed through others; only if they do
//	    not reach it either is it suspected, and dead after suspectTime. Until then
//	    it is probed in every round, and told that it is suspected. Only who
//	    suspects by its own probes, several in a row, declares a member dead.
//	R4  News travels with probes and replies, each item a bounded number of times.
//	    Each message also repeats what is known of one member in turn, so that
//	    who has missed news learns it in the end.
//	R5  Who hears that it is suspected or dead raises its incarnation and says that
//	    it lives; a higher incarnation goes before a lower one.
//	R6  A dead member is probed now and then, so that parts of the platform that
//	    were apart find each other again.
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

// Parameters of membership.
const (
	neighborCount = 6
	ringCount     = 2 // of the neighbors
	maxSuspects   = 4 // probed in one round
	deadMisses    = 3 // own probes that failed, before a member is declared dead
	suspectTime   = 6 * time.Second
	maxRumors     = 6 // in one message
	rumorFactor   = 3 // a rumor travels rumorFactor*log2(members) times
)

// State is what is known about a member.
type State = medlarmessage.State

// States of a member.
const (
	Alive   = medlarmessage.State_STATE_ALIVE
	Suspect = medlarmessage.State_STATE_SUSPECT
	Dead    = medlarmessage.State_STATE_DEAD
)

// member is an entry of the table.
type member struct {
	id          medlarid.InstanceID
	state       State
	incarnation uint64
	since       time.Time // of the state
	listed      bool
	probed      bool // suspected by own probes
	misses      int  // own probes that failed in a row
	told        int  // how often the news about it was passed on
}

// Table is the view of one instance. It is not safe for concurrent use.
type Table struct {
	self         medlarid.InstanceID
	own          uint64 // own incarnation
	members      map[medlarid.InstanceID]*member
	order        []medlarid.InstanceID // members by rank for self
	ring         []medlarid.InstanceID // all members, self included, by hash
	news         []medlarid.InstanceID // members with news to pass on
	turn         int                   // of the probes
	again        int                   // of the probes of suspected members
	repeat       int                   // of the members that messages repeat
	DeclaredDead int                   // times a member was declared dead
}

// NewTable returns the view of an instance that knows itself alone. incarnation
// is higher at each start, such as the time of the start.
func NewTable(self medlarid.InstanceID, incarnation uint64) *Table {
	t := &Table{self: self, own: incarnation, members: map[medlarid.InstanceID]*member{}}
	t.spread(t.put(self, Alive, incarnation, time.Time{}))
	return t
}

func (t *Table) put(id medlarid.InstanceID, s State, incarnation uint64, now time.Time) *member {
	m := &member{id: id, state: s, incarnation: incarnation, since: now, listed: true}
	t.members[id] = m
	insert(&t.ring, id, compareHash)
	if id != t.self {
		insert(&t.order, id, t.compareRank)
	}
	return m
}

// insert puts a member into its place in an ordered list.
func insert(list *[]medlarid.InstanceID, id medlarid.InstanceID, compare func(a, b medlarid.InstanceID) int) {
	i, _ := slices.BinarySearchFunc(*list, id, compare)
	*list = slices.Insert(*list, i, id)
}

// compareRank orders members by their rank for this instance.
func (t *Table) compareRank(a, b medlarid.InstanceID) int {
	return cmp.Or(cmp.Compare(t.rank(a), t.rank(b)), cmp.Compare(a, b))
}

// compareHash orders members in the ring, for all instances alike.
func compareHash(a, b medlarid.InstanceID) int {
	return cmp.Or(cmp.Compare(xxh3.HashString(string(a)), xxh3.HashString(string(b))), cmp.Compare(a, b))
}

func (t *Table) rank(id medlarid.InstanceID) uint64 {
	return xxh3.HashString(string(t.self) + "\x00" + string(id))
}

// SetInstances takes over the instance list (R1). Members that are no longer listed
// and not alive are dropped.
func (t *Table) SetInstances(now time.Time, ids []medlarid.InstanceID) {
	for _, m := range t.members {
		m.listed = m.id == t.self
	}
	for _, id := range ids {
		if m := t.members[id]; m != nil {
			m.listed = true
			continue
		}
		t.put(id, Alive, 0, now)
	}
	for id, m := range t.members {
		if !m.listed && m.state != Alive {
			t.drop(id)
		}
	}
}

func (t *Table) drop(id medlarid.InstanceID) {
	delete(t.members, id)
	is := func(o medlarid.InstanceID) bool { return o == id }
	t.order = slices.DeleteFunc(t.order, is)
	t.ring = slices.DeleteFunc(t.ring, is)
	t.news = slices.DeleteFunc(t.news, is)
}

// Live returns the members that are not dead, ordered by name.
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

// State returns what is known about a member.
func (t *Table) State(id medlarid.InstanceID) State {
	if m := t.members[id]; m != nil {
		return m.state
	}
	return medlarmessage.State_STATE_UNSPECIFIED
}

// Neighbors returns the members that this instance probes (R2).
func (t *Table) Neighbors() []medlarid.InstanceID {
	out := make([]medlarid.InstanceID, 0, neighborCount)
	at := slices.Index(t.ring, t.self)
	for i := 1; i < len(t.ring) && len(out) < ringCount; i++ {
		if id := t.ring[(at+i)%len(t.ring)]; t.members[id].state != Dead {
			out = append(out, id)
		}
	}
	for _, id := range t.order {
		if t.members[id].state != Dead && len(out) < neighborCount && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// ProbeTarget returns the neighbor whose turn it is to be probed (R2); ok is false
// when there is none.
func (t *Table) ProbeTarget() (id medlarid.InstanceID, ok bool) {
	n := t.Neighbors()
	if len(n) == 0 {
		return "", false
	}
	t.turn++
	if t.turn%2 == 0 { // the ring, which alone watches some members, takes half
		return n[t.turn/2%min(ringCount, len(n))], true
	}
	return n[t.turn/2%len(n)], true
}

// SuspectTargets returns a few suspected members to probe, others each time (R3).
func (t *Table) SuspectTargets() []medlarid.InstanceID {
	var suspects []medlarid.InstanceID
	neighbors := t.Neighbors()
	for _, id := range t.order {
		if m := t.members[id]; m.state == Suspect && (m.probed || slices.Contains(neighbors, id)) {
			suspects = append(suspects, id)
		}
	}
	if len(suspects) <= maxSuspects {
		return suspects
	}
	t.again += maxSuspects
	return append(suspects, suspects...)[t.again%len(suspects):][:maxSuspects]
}

// RumorsFor returns the news for a message to a member, what is said of the
// member itself included (R3).
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

// DeadTarget returns a dead member to look for (R6), another one each time.
func (t *Table) DeadTarget() (id medlarid.InstanceID, ok bool) {
	var dead []medlarid.InstanceID
	for _, o := range t.order {
		if t.members[o].state == Dead {
			dead = append(dead, o)
		}
	}
	if len(dead) == 0 {
		return "", false
	}
	t.turn++
	return dead[t.turn%len(dead)], true
}

// RecordAnswer notes that a member answered, or called here (R1).
func (t *Table) RecordAnswer(now time.Time, id medlarid.InstanceID) {
	m := t.members[id]
	if m == nil {
		m = t.put(id, Dead, 0, now)
		m.listed = false
	}
	if m.state == Alive {
		return
	}
	m.incarnation++ // its own answer goes before what is said of it
	t.set(now, m, Alive)
}

// RecordFailure notes that a member answered neither here nor to others (R3).
func (t *Table) RecordFailure(now time.Time, id medlarid.InstanceID) {
	m := t.members[id]
	if m == nil || m.state == Dead {
		return
	}
	if !m.probed {
		t.set(now, m, Suspect)
		m.probed = true
	}
	m.misses++
}

// ExpireSuspects declares members dead that were suspected for long (R3).
func (t *Table) ExpireSuspects(now time.Time) {
	for _, m := range t.members {
		if m.state == Suspect && m.misses >= deadMisses && now.Sub(m.since) >= suspectTime {
			t.set(now, m, Dead)
		}
	}
}

func (t *Table) set(now time.Time, m *member, s State) {
	if s == Dead {
		t.DeclaredDead++
	}
	m.state = s
	m.since = now
	m.probed = false
	m.misses = 0
	t.spread(m)
}

// spread marks a member as news (R4).
func (t *Table) spread(m *member) {
	m.told = 0
	if !slices.Contains(t.news, m.id) {
		t.news = append(t.news, m.id)
	}
}

// Rumors returns the news for one message: what was told least often first (R4).
func (t *Table) Rumors() []*medlarmessage.Rumor {
	limit := rumorFactor * bits.Len(uint(len(t.members)))
	slices.SortStableFunc(t.news, func(a, b medlarid.InstanceID) int {
		return cmp.Compare(t.members[a].told, t.members[b].told)
	})
	var out []*medlarmessage.Rumor
	for _, id := range t.news[:min(len(t.news), maxRumors)] {
		m := t.members[id]
		m.told++
		out = append(out, rumorOf(m))
	}
	t.news = slices.DeleteFunc(t.news, func(id medlarid.InstanceID) bool { return t.members[id].told >= limit })
	if len(t.order) > 0 {
		t.repeat++
		out = append(out, rumorOf(t.members[t.order[t.repeat%len(t.order)]]))
	}
	return out
}

// RestoreRumors takes back that rumors were passed on, since their message was lost.
func (t *Table) RestoreRumors(rumors []*medlarmessage.Rumor) {
	for _, r := range rumors {
		m := t.members[medlarid.InstanceID(r.GetNode())]
		if m == nil || m.told == 0 {
			continue
		}
		m.told--
		if !slices.Contains(t.news, m.id) {
			t.news = append(t.news, m.id)
		}
	}
}

// ApplyRumors takes over rumors that are newer than what is known (R5).
func (t *Table) ApplyRumors(now time.Time, rumors []*medlarmessage.Rumor) {
	for _, r := range rumors {
		id := medlarid.InstanceID(r.GetNode())
		switch {
		case id == t.self:
			t.refute(now, r)
		case r.GetState() < Alive || r.GetState() > Dead || id == "":
		default:
			t.hearOf(now, id, r)
		}
	}
}

func (t *Table) refute(now time.Time, r *medlarmessage.Rumor) {
	if r.GetState() == Alive || r.GetIncarnation() < t.own {
		return
	}
	t.own = r.GetIncarnation() + 1
	m := t.members[t.self]
	m.incarnation = t.own
	m.since = now
	t.spread(m)
}

func (t *Table) hearOf(now time.Time, id medlarid.InstanceID, r *medlarmessage.Rumor) {
	m := t.members[id]
	if m == nil {
		if r.GetState() == Alive {
			m = t.put(id, Alive, r.GetIncarnation(), now)
			m.listed = false
			t.spread(m)
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
	t.set(now, m, r.GetState())
}

package medlarreach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarid"
)

// start is when the tests begin.
var start = time.Unix(1000, 0)

func newTable(peers ...Peer) *Table {
	t := New("a", rand.New(rand.NewPCG(1, 1)))
	for _, p := range peers {
		t.SetPeer(p)
	}
	return t
}

var peers = []Peer{{"p1", "a"}, {"p2", "b"}, {"p3", "b"}}

// event is something that a table learns.
type event struct {
	replica medlarid.InstanceID
	direct  Outcome // of the own connection
	asked   Outcome // what another instance says; empty if none was asked
}

func apply(t *Table, now time.Time, events ...event) {
	for _, e := range events {
		if e.direct == Answered {
			t.Got(now, now, e.replica, false)
		}
		t.Ended(now, e.replica, e.direct)
		if e.asked != "" {
			t.Asked(now, e.replica, "p1", e.direct, e.asked)
		}
	}
}

func assertPlan(t *testing.T, table *Table, at time.Time, id medlarid.InstanceID, want Plan) {
	t.Helper()
	if d := cmp.Diff(want, table.Plan(at, id)); d != "" {
		t.Errorf("plan for %s:\n%s", id, d)
	}
}

// TestPlan guards against a replica that is down taken for a cut, and against a cut taken for replicas that are
// down.
func TestPlan(t *testing.T) {
	broken := func(ids ...medlarid.InstanceID) []event {
		var out []event
		for _, id := range ids {
			out = append(out, event{id, Refused, Opened})
		}
		return out
	}
	direct, relay := Plan{Relay: true}, Plan{Relay: true, RelayFirst: true}
	for _, tc := range []struct {
		name   string
		events []event
		r1, r9 Plan // for a replica of the events, and for one of which nothing is known
		cut    bool
	}{
		{"nothing known", nil, direct, direct, false},
		{"another instance reaches it", broken("r1"), relay, direct, false},
		{"another instance could not help", []event{{"r1", Refused, Unhelpful}}, direct, direct, false},
		{"another instance does not reach it either", []event{{"r1", Refused, Refused}}, direct, direct, false},
		{"no connection failed", []event{{"r1", "", Opened}}, direct, direct, false},
		{"two broken paths", broken("r1", "r2"), relay, direct, false},
		{"three broken paths", broken("r1", "r2", "r3"), relay, relay, true},
		{"three broken paths and one that works", append(broken("r1", "r2"), append([]event{{"r4", Answered, ""}}, broken("r3")...)...), relay, direct, false},
		{"one of them works again", append(broken("r1", "r2", "r3"), event{"r3", Answered, ""}), relay, direct, false},
		{"one of them opens a connection", append(broken("r1", "r2", "r3"), event{"r3", Opened, ""}), relay, relay, true},
		{"three broken paths and one that opens a connection", append(broken("r1", "r2"), append([]event{{"r4", Opened, ""}}, broken("r3")...)...), relay, relay, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newTable(peers...)
			apply(table, start, tc.events...)
			assertPlan(t, table, start, "r1", tc.r1)
			assertPlan(t, table, start, "r9", tc.r9)
			if table.Cut() != tc.cut {
				t.Errorf("cut %v, want %v", table.Cut(), tc.cut)
			}
		})
	}
	t.Run("without other instances", func(t *testing.T) {
		assertPlan(t, newTable(), start, "r1", Plan{})
	})
}

// TestDownReplicaIsNotAskedAbout guards against instances that ask one another about each connection to a replica
// that is down.
func TestDownReplicaIsNotAskedAbout(t *testing.T) {
	for _, tc := range []struct {
		peers, witnesses int
		want             Plan
	}{
		{3, 0, Plan{Relay: true}},
		{3, 1, Plan{Relay: true}},
		{3, 2, Plan{}},
		{1, 1, Plan{}}, // there is no second one
	} {
		t.Run(fmt.Sprint(tc.peers, tc.witnesses), func(t *testing.T) {
			table := newTable(peers[:tc.peers]...)
			table.Unreached(start, "r1", tc.witnesses)
			assertPlan(t, table, start, "r1", tc.want)
			assertPlan(t, table, start.Add(downTTL), "r1", Plan{Relay: true})
			table.Unreached(start, "r1", tc.witnesses)
			table.Ended(start, "r1", Opened)
			assertPlan(t, table, start, "r1", Plan{Relay: true})
		})
	}
}

// TestOpenConnections guards against requests on connections that hang, and against the loss of ones that work.
func TestOpenConnections(t *testing.T) {
	for _, tc := range []struct {
		direct Outcome
		want   bool
	}{{Refused, true}, {Silent, false}} {
		t.Run(string(tc.direct), func(t *testing.T) {
			table := newTable(peers...)
			for _, id := range []medlarid.InstanceID{"r1", "r2", "r3"} {
				apply(table, start, event{id, tc.direct, Opened})
			}
			for _, id := range []medlarid.InstanceID{"r1", "unknown"} {
				if got := table.KeepsOpen(id); got != tc.want {
					t.Errorf("connections to %s are kept: %v, want %v", id, got, tc.want)
				}
			}
		})
	}
}

// TestRetries guards against a cut that is never found to have ended, against a herd of tries, and against a path
// that breaks again and again and is used each time.
func TestRetries(t *testing.T) {
	table := newTable(peers...)
	ids := []medlarid.InstanceID{"r1", "r2", "r3", "r4", "r5"}
	breakAll := func(now time.Time) {
		for _, id := range ids {
			apply(table, now, event{id, Silent, Opened})
		}
	}
	answer := func(now time.Time, id medlarid.InstanceID) {
		table.Got(now, now, id, false)
		table.Retried(now, id)
	}
	breakAll(start)
	assertDue := func(now time.Time, want int) []medlarid.InstanceID {
		t.Helper()
		due, next := table.Retries(now)
		if len(due) != want || next == 0 {
			t.Fatalf("%d paths are due, next look after %v; want %d", len(due), next, want)
		}
		return due
	}
	assertDue(start.Add(minRetryDelay-1), 0)
	now := start.Add(minRetryDelay)
	due := assertDue(now, retriesAtOnce)
	assertDue(now, 0) // as many as may be tried are
	for _, id := range due {
		table.Retried(now, id)
	}
	due = assertDue(now, len(ids)-retriesAtOnce)
	answer(now, due[0])
	if table.Cut() || table.Broken() != len(ids)-1 {
		t.Errorf("cut %v with %d broken paths; want no cut and %d", table.Cut(), table.Broken(), len(ids)-1)
	}
	table.Retried(now, due[1])
	for _, id := range assertDue(now, retriesAtOnce) { // the others are tried soon
		answer(now, id)
	}
	for table.Broken() > 0 {
		now = now.Add(minRetryDelay)
		due, _ := table.Retries(now)
		for _, id := range due {
			answer(now, id)
		}
	}
	if _, next := table.Retries(now); next != 0 {
		t.Errorf("next look after %v, want none", next)
	}
	breakAll(now)
	assertDue(now.Add(2*minRetryDelay-1), 0) // they broke again soon
	assertDue(now.Add(2*minRetryDelay), retriesAtOnce)
}

// TestPeers guards against one instance that relays for all, and against instances that are asked again and again
// though they cannot help.
func TestPeers(t *testing.T) {
	table := newTable()
	for i := range 20 {
		table.SetPeer(Peer{ID: medlarid.InstanceID(fmt.Sprint("p", i)), Zone: medlarid.Zone([]string{"a", "b"}[i%2])})
	}
	first := table.Peers(start)
	if len(first) != MaxAsked || table.peers[first[0]].Zone != "a" {
		t.Errorf("asked %v, want %d with one of the own zone first", first, MaxAsked)
	}
	count := map[medlarid.InstanceID]int{}
	for range 200 {
		id := table.Peers(start)[0]
		count[id]++
		table.Asked(start, "r1", id, Refused, Opened)
	}
	if len(count) != maxHelpful {
		t.Errorf("%d instances relay, want %d: %v", len(count), maxHelpful, count)
	}
	for id, n := range count {
		if n < 200/maxHelpful/2 {
			t.Errorf("%s relays %d of 200", id, n)
		}
		table.Asked(start, "r1", id, Refused, Unhelpful)
	}
	for _, id := range table.Peers(start) {
		if count[id] > 0 {
			t.Errorf("%s is asked although it could not help", id)
		}
	}
	later := start.Add(unhelpfulTTL)
	for _, id := range table.Peers(later) {
		table.RemovePeer(id)
	}
	if n := len(table.peers); n != 20-MaxAsked {
		t.Errorf("%d peers are left", n)
	}
}

// TestChanges guards against an operator who is not told of a cut and of its end.
func TestChanges(t *testing.T) {
	table := newTable(peers...)
	apply(table, start, event{"r1", Refused, Opened}, event{"r2", Refused, Opened}, event{"r3", Refused, Opened})
	later := start.Add(2 * time.Second)
	table.Got(later, later, "r2", false)
	want := []Change{
		{Replica: "r1", Broken: true, Paths: 1},
		{Replica: "r2", Broken: true, Paths: 2},
		{Replica: "r3", Broken: true, Paths: 3},
		{Broken: true, Paths: 3},
		{Replica: "r2", Paths: 2, For: 2 * time.Second},
		{Paths: 2, For: 2 * time.Second},
	}
	if d := cmp.Diff(want, table.TakeChanges()); d != "" {
		t.Errorf("changes:\n%s", d)
	}
	table.Keep(func(medlarid.InstanceID) bool { return false })
	if table.Broken() != 0 || len(table.TakeChanges()) != 0 {
		t.Error("paths to replicas that are gone are kept, or changes are told twice")
	}
}

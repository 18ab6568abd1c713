package medlarattachednode_test

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarsite"
)

// The users' configuration of cold replicas.
const (
	coldRate = 11.0
	coldTime = 3 * time.Second
)

// TestColdReplicasOfAllInstances guards against instances that send a cold replica together more in one second than it
// may get, as replicas return together.
func TestColdReplicasOfAllInstances(t *testing.T) {
	t.Parallel()
	const cold = 6
	for _, tc := range []struct {
		name      string
		instances int
		warm      int          // replicas that serve already; 0 for two
		during    func(*fleet) // while they are cold
	}{
		{name: "one instance", instances: 1, warm: 3}, // it lets half a second of prompts wait at each, and sends two 310 a second
		{name: "five instances", instances: 5},
		{name: "twelve instances", instances: 12},
		{name: "an instance that restarts", instances: 5, during: func(f *fleet) { f.restart(0) }},
		{name: "instances that come", instances: 3, during: func(f *fleet) { f.join(4) }},
		{name: "the store turns two instances away", instances: 5, during: func(f *fleet) { f.storeFault(2, medlarfaketopic.FaultReset) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, tc.instances, func(s *medlarsite.Settings) {
				s.Engines, s.Slots, s.ColdRate, s.ColdTime, s.RestartDelay = cmp.Or(tc.warm, 2), 64, coldRate, coldTime, 0
				s.ServiceTime = 20 * time.Millisecond
			})
			time.Sleep(3 * time.Second) // the instances learn of one another
			stop := make(chan struct{})
			results := f.load("c", "/query/x", 2*time.Millisecond, stop, func(n int) string { return fmt.Sprintf("aa:10,%s,%d:50", soundPart(n), n) })
			time.Sleep(500 * time.Millisecond)
			begin := time.Now()
			replicas, err := f.site.AddCold(cold)
			if err != nil {
				t.Fatal(err)
			}
			f.members[0].eventually("the gauge counts the new replicas", func() bool {
				return strings.Contains(f.members[0].metrics(), fmt.Sprint("medlar_paced_replicas ", cold))
			})
			time.Sleep(time.Until(begin.Add(time.Second)))
			if tc.during != nil {
				tc.during(f)
			}
			time.Sleep(time.Until(begin.Add(coldTime)))
			time.Sleep(1500 * time.Millisecond) // up to the margin of clocks
			warm := time.Now()
			time.Sleep(time.Second)
			close(stop)
			for _, r := range replicas {
				assertColdKept(t, r, begin)
			}
			f.assertShare(replicas, warm)
			assertServed(t, results(), begin)
			f.members[0].eventually("the log tells of cold replicas", func() bool { return strings.Contains(f.members[0].logs.text(), `"event":"pace"`) })
			if strings.Contains(f.members[0].metrics(), "medlar_held_back_total 0\n") {
				t.Error("no request is counted as held back from a cold replica")
			}
		})
	}
}

// assertShare asserts that replicas get at least half of an even share of the requests from a time on.
func (f *fleet) assertShare(replicas []*medlarfakereplica.Replica, from time.Time) {
	f.t.Helper()
	own, all := 0, 0
	for _, r := range replicas {
		own += arrivalsBetween(r, from, time.Now())
	}
	engines := f.site.EngineReplicas()
	for _, r := range engines {
		all += arrivalsBetween(r, from, time.Now())
	}
	if all == 0 || 2*own*len(engines) < all*len(replicas) {
		f.t.Errorf("%d of %d requests at the new replicas once they are warm, which are %d of %d", own, all, len(replicas), len(engines))
	}
}

// assertColdKept asserts that a replica got no more in any second than it may while it was cold, and was used.
func assertColdKept(t *testing.T, r *medlarfakereplica.Replica, from time.Time) {
	t.Helper()
	most, n := r.MostArrivals(time.Second, from, r.ColdUntil()), arrivalsBetween(r, from, r.ColdUntil())
	t.Logf("%s: %d requests in a second at most, %d while it was cold", r.Settings.ID, most, n)
	if allowed := coldRate*medlarsite.ColdOver + medlarsite.ColdSlack; float64(most) > allowed {
		t.Errorf("%s got %d requests in a second, want %.1f at most", r.Settings.ID, most, allowed)
	}
	if n == 0 {
		t.Errorf("%s got no request while it was cold", r.Settings.ID)
	}
}

// TestReplicasThatReturnAreCold guards against many requests at replicas that return under their ids after a crash, through
// instances that have not read the new entries yet.
func TestReplicasThatReturnAreCold(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		sameEntry bool // entries do not tell of the new start
		away      time.Duration
	}{
		{name: "before their entries expire", away: 600 * time.Millisecond},
		{name: "after their entries have expired", away: 3 * time.Second},
		{name: "with entries that do not tell of the new start", sameEntry: true, away: 600 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 6, func(s *medlarsite.Settings) {
				s.Engines, s.Slots, s.ColdRate, s.ColdTime, s.RestartDelay = 6, 64, coldRate, coldTime, tc.away
				s.KeepID, s.StaleEntries, s.ServiceTime = !tc.sameEntry, tc.sameEntry, 20*time.Millisecond
			})
			time.Sleep(3 * time.Second) // the instances learn of one another
			stop := make(chan struct{})
			results := f.load("c", "/query/x", 2*time.Millisecond, stop, func(n int) string { return fmt.Sprintf("aa:10,%s,%d:50", soundPart(n), n) })
			time.Sleep(500 * time.Millisecond)
			ids := map[string]bool{}
			begin := time.Now()
			for _, r := range f.site.EngineReplicas()[:2] {
				ids[r.Settings.ID] = true
				r.Crash()
			}
			time.Sleep(tc.away + coldTime + 500*time.Millisecond)
			close(stop)
			returned := 0
			for _, r := range f.site.EngineReplicas() {
				if ids[r.Settings.ID] {
					returned++
					assertColdKept(t, r, begin)
				}
			}
			if returned != len(ids) {
				t.Errorf("%d replicas have returned, want %d", returned, len(ids))
			}
			results()
		})
	}
}

// TestReplicaThatBecomesColdAgain guards against a replica that has run for long, states in its entry that it is cold, and
// gets requests as before.
func TestReplicaThatBecomesColdAgain(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 5, func(s *medlarsite.Settings) {
		s.Engines, s.Slots, s.ColdRate, s.ColdTime, s.ServiceTime = 4, 64, coldRate, coldTime, 20*time.Millisecond
	})
	time.Sleep(3 * time.Second) // the instances learn of one another
	stop := make(chan struct{})
	results := f.load("c", "/query/x", 2*time.Millisecond, stop, func(n int) string { return fmt.Sprintf("aa:10,%s,%d:50", soundPart(n), n) })
	time.Sleep(500 * time.Millisecond)
	r := f.site.EngineReplicas()[0]
	r.BecomeCold(coldTime)
	read := time.Now().Add(500 * time.Millisecond) // instances read entries every 400 ms
	time.Sleep(coldTime)
	close(stop)
	assertColdKept(t, r, read)
	assertServed(t, results(), read)
}

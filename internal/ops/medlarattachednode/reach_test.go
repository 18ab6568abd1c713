package medlarattachednode_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarlink"
	"medlarfield/internal/stand/medlarsite"
)

// startLinked starts a fleet whose instances reach the replicas over links.
func startLinked(t *testing.T, instances int, change func(*medlarsite.Settings)) *fleet {
	t.Helper()
	return startFleet(t, instances, func(s *medlarsite.Settings) {
		s.Engines, s.Plain, s.Links = 4, 3, true
		if change != nil {
			change(s)
		}
	})
}

// awaitAcquaintance waits until the instances know one another: all have announced themselves, and have read that.
func (f *fleet) awaitAcquaintance() {
	f.t.Helper()
	for i := range f.members {
		own := []byte(fmt.Sprintf("peer/entry-%d{", i+1))
		f.members[i].eventually("the instance has announced itself", func() bool {
			return slices.ContainsFunc(f.site.Store.Records("keyed.medlar"), func(r []byte) bool { return bytes.Contains(r, own) })
		})
	}
	time.Sleep(time.Second)
}

// logged reports whether an instance has logged a text.
func (w *fixture) logged(text string) bool { return strings.Contains(w.logs.text(), text) }

// TestReplicasThatAreDownAreNoCut guards against instances that take replicas which are down for all for a fault of
// their direct path.
func TestReplicasThatAreDownAreNoCut(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		down func(*medlarsite.Site)
	}{
		{"some", func(s *medlarsite.Site) {
			for _, r := range s.Replicas()[1:4] {
				r.Crash()
			}
		}},
		{"all", func(s *medlarsite.Site) {
			for _, r := range s.Replicas() {
				r.Crash()
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 3, func(s *medlarsite.Settings) { s.Engines, s.Plain = 4, 3 })
			stop := make(chan struct{})
			y, wait := f.firstTries(stop)
			time.Sleep(time.Second)
			tc.down(f.site)
			begin := time.Now()
			time.Sleep(4 * time.Second) // replicas start again after 1.5 s
			close(stop)
			wait()
			for i, w := range f.members {
				if w.logged(`"event":"cut"`) || w.logged(`"event":"reach"`) {
					t.Errorf("instance %d takes replicas that are down for a fault of its direct path", i+1)
				}
			}
			if sent, served := y.served(begin.Add(3*time.Second), time.Now(), func(int) bool { return true }); served < sent*9/10 {
				t.Errorf("%d of %d first tries served once the replicas are back", served, sent)
			}
		})
	}
}

// TestCutIsNoCrash guards against an instance whose own connections are reset and that reports all replicas as
// crashed, and what its requests have in common as the cause.
func TestCutIsNoCrash(t *testing.T) {
	t.Parallel()
	f := startLinked(t, 3, func(s *medlarsite.Settings) { s.ServiceTime = 20 * time.Millisecond })
	stop := make(chan struct{})
	_, wait := f.firstTries(stop)
	for range 4 {
		time.Sleep(500 * time.Millisecond)
		f.set(medlarlink.Reset, 0)
		time.Sleep(500 * time.Millisecond)
		f.set(medlarlink.Up, 0)
	}
	close(stop)
	wait()
	for i, w := range f.members {
		if w.logged(`"event":"crash"`) || w.logged(`"event":"block"`) {
			t.Errorf("instance %d has reported a crash, or blocks what its requests have in common", i+1)
		}
	}
	if n := len(f.site.Crashes()); n > 0 {
		t.Fatalf("%d replicas have crashed; the test shows nothing", n)
	}
}

// TestCutInstanceThatStarts guards against an instance that starts while it is cut off and serves nothing.
func TestCutInstanceThatStarts(t *testing.T) {
	t.Parallel()
	f := startLinked(t, 3, nil)
	f.set(medlarlink.Silent, 0)
	f.restart(0)
	w := f.members[0]
	w.eventually("the instance is ready", w.instance.Ready)
	stop := make(chan struct{})
	y, wait := f.firstTries(stop)
	begin := time.Now()
	time.Sleep(cutSettling + 2*time.Second)
	close(stop)
	wait()
	assertServedAlike(t, y, begin.Add(cutSettling), time.Now(), func(i int) bool { return i == 0 })
}

// TestRelayThatStops guards against requests of another instance that are cut off in a planned stop of the one that
// relays their connections.
func TestRelayThatStops(t *testing.T) {
	t.Parallel()
	f := startLinked(t, 3, func(s *medlarsite.Settings) { s.ServiceTime, s.Events = 30*time.Millisecond, 20 })
	f.set(medlarlink.Refused, 0)
	stop := make(chan struct{})
	cut := f.members[0]
	var all func() []outcome
	all = (&fleet{t: t, site: f.site, members: []*fixture{cut}}).loadRequests(10*time.Millisecond, stop, func(n int) request {
		if n%2 == 0 {
			return request{method: "POST", path: "/post/a", id: fmt.Sprint("s", n), body: "{}"}
		}
		return request{method: "POST", path: "/query/x", id: fmt.Sprint("s", n), body: "{}", fields: prompt(fmt.Sprintf("aa:100,%d:500", n))}
	})
	cut.eventually("connections are relayed", func() bool { return cut.logged(`"via":"entry-2"`) && cut.logged(`"via":"entry-3"`) })
	begin := time.Now()
	f.restart(1)
	time.Sleep(2 * time.Second)
	f.restart(2)
	time.Sleep(2 * time.Second)
	close(stop)
	sent := 0
	for _, o := range all() {
		if o.sent.Before(begin) {
			continue
		}
		sent++
		if o.result.status != 200 || !o.result.whole {
			t.Errorf("a request sent %v after the first stop got status %d, whole %v", o.sent.Sub(begin), o.result.status, o.result.whole)
		}
	}
	if sent < 100 {
		t.Fatalf("only %d requests were sent", sent)
	}
}

// TestHintsReachTheRelay guards against an instance that goes on sending requests to a replica which has told it, for
// a request of another instance, that it leaves or wants a pause; and the other path round.
func TestHintsReachTheRelay(t *testing.T) {
	t.Parallel()
	const told = `"event":"avoid","replica":"ledger-1"`
	for _, tc := range []struct {
		name string
		hint func(*medlarfakereplica.Replica)
		via  int // the instance that gets the answer first
	}{
		{"leaving, to the relay", func(r *medlarfakereplica.Replica) { r.AnnounceLeaving() }, 0},
		{"pause, to the relay", func(r *medlarfakereplica.Replica) { r.Arm(medlarfakereplica.FaultPause, 1) }, 0},
		{"leaving, from the relay", func(r *medlarfakereplica.Replica) { r.AnnounceLeaving() }, 1},
		{"pause, from the relay", func(r *medlarfakereplica.Replica) { r.Arm(medlarfakereplica.FaultPause, 1) }, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := startLinked(t, 2, func(s *medlarsite.Settings) { s.Plain = 1 })
			f.awaitAcquaintance()
			f.set(medlarlink.Refused, 0)
			n := 0
			post := func(w *fixture) result {
				n++
				return w.send(request{method: "POST", path: "/post/a", id: fmt.Sprint("h", n), body: "{}"})
			}
			f.members[0].eventually("a connection is relayed", func() bool { return post(f.members[0]).status == 200 })
			tc.hint(f.site.Plain[0])
			post(f.members[tc.via])
			f.until("the instance knows", func(w *fixture) bool { return w.logged(told) })
			time.Sleep(300 * time.Millisecond)
			for i, w := range f.members {
				if n := strings.Count(w.logs.text(), told); n != 1 {
					t.Errorf("instance %d was told %d times, want once", i+1, n)
				}
			}
		})
	}
}

// TestHintsReachAllThatARelayServes guards against requests that a relay carries to a replica which has told it, for a
// request of one instance that it relays for, that it leaves or wants a pause.
func TestHintsReachAllThatARelayServes(t *testing.T) {
	t.Parallel()
	const told = `"event":"avoid","replica":"ledger-1"`
	for _, tc := range []struct {
		name string
		hint func(*medlarfakereplica.Replica)
	}{
		{"leaving", func(r *medlarfakereplica.Replica) { r.AnnounceLeaving() }},
		{"pause", func(r *medlarfakereplica.Replica) { r.Arm(medlarfakereplica.FaultPause, 1) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := startLinked(t, 3, func(s *medlarsite.Settings) { s.Plain = 1 })
			f.awaitAcquaintance()
			f.set(medlarlink.Refused, 0, 1)
			n := 0
			post := func(w *fixture) result {
				n++
				return w.send(request{method: "POST", path: "/post/a", id: fmt.Sprint("h", n), body: "{}"})
			}
			for _, w := range f.members[:2] {
				w.eventually("a connection is relayed", func() bool { return post(w).status == 200 })
			}
			tc.hint(f.site.Plain[0])
			post(f.members[0])
			f.members[0].eventually("the instance knows", func() bool { return f.members[0].logged(told) })
			time.Sleep(400 * time.Millisecond)
			for i, w := range f.members {
				if n := strings.Count(w.logs.text(), told); n != 1 {
					t.Errorf("instance %d was told %d times, want once", i+1, n)
				}
			}
		})
	}
}

// TestCutEnds guards against an instance that goes on relaying once its direct path works again.
func TestCutEnds(t *testing.T) {
	t.Parallel()
	f := startLinked(t, 3, nil)
	stop := make(chan struct{})
	_, wait := f.firstTries(stop)
	w := f.members[0]
	for _, state := range []medlarlink.State{medlarlink.Refused, medlarlink.Silent, medlarlink.OpensSilent, medlarlink.OpensReset} {
		w.logs.reset()
		f.set(state, 0)
		w.eventually("the instance is cut off", func() bool { return w.logged(`"event":"cut","cut":true`) })
		f.set(medlarlink.Up, 0)
		w.eventually("the cut has ended", func() bool { return w.logged(`"event":"cut","cut":false`) })
		w.eventually("no path is broken", func() bool { return strings.Contains(w.metrics(), "medlar_broken_paths 0") })
	}
	w.logs.reset()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wait()
	via := strings.Count(w.logs.text(), `"via"`)
	if requests := strings.Count(w.logs.text(), `"event":"request"`); via > requests/4 {
		t.Errorf("%d of %d requests are still relayed", via, requests)
	}
}

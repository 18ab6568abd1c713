package medlarattachednode_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarsite"
)

// The users' bounds on requests at a replica that names a limit.
const (
	limitSettling = 3 * time.Second // after a replica first named its limit
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitSlack    = 5 // requests
)

// allowed returns how many requests a replica may get in limitWindow.
func allowed(limit float64) float64 { return limitFactor*limit*limitWindow.Seconds() + limitSlack }

// mostArrivals returns the most requests that a replica got in any limitWindow between two times.
func mostArrivals(r *medlarfakereplica.Replica, from, to time.Time) int {
	most := 0
	var window []time.Time
	for _, at := range r.Arrivals() {
		if at.Before(from) || at.After(to) {
			continue
		}
		window = append(window, at)
		for at.Sub(window[0]) > limitWindow {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

func arrivalsBetween(r *medlarfakereplica.Replica, from, to time.Time) int {
	n := 0
	for _, at := range r.Arrivals() {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// startLimited starts a fleet whose replicas are not crowded by the load of these tests.
func startLimited(t testing.TB, instances int, change func(*medlarsite.Settings)) *fleet {
	return startFleet(t, instances, func(s *medlarsite.Settings) {
		s.Engines, s.Slots = 3, 64
		if change != nil {
			change(s)
		}
	})
}

// limitLoad sends some 60 prompts a second until stop is closed.
func (f *fleet) limitLoad(stop <-chan struct{}) func() []outcome {
	return f.load("l", "/query/x", 15*time.Millisecond, stop, func(n int) string { return fmt.Sprintf("aa:10,%s,%d:50", soundPart(n), n) })
}

// TestReplicaLimitHoldsForAllInstances guards against instances that send a replica together more than it
// has named.
func TestReplicaLimitHoldsForAllInstances(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		instances int
		limit     string
		during    func(*fleet) // from limitSettling after the limit was named on
	}{
		{name: "one instance", instances: 1, limit: "3.3"},
		{name: "five instances", instances: 5, limit: "3.3"},
		{name: "five instances, less than one a second", instances: 5, limit: "0.4"},
		{name: "five instances, nothing", instances: 5, limit: "0"},
		{name: "thirty-one instances", instances: 31, limit: "2.8"},
		{name: "an instance that restarts", instances: 5, limit: "3.3", during: func(f *fleet) { f.restart(0) }},
		{name: "instances that come", instances: 3, limit: "3.3", during: func(f *fleet) { f.join(4) }},
		{name: "instances that go", instances: 5, limit: "3.3", during: func(f *fleet) { f.leave(3) }},
		{name: "the store away for a moment", instances: 5, limit: "3.3", during: func(f *fleet) {
			f.storeFault(5, medlarfaketopic.FaultRefuse)
			time.Sleep(2 * time.Second)
			f.storeFault(5, medlarfaketopic.FaultNone)
		}},
		{name: "the store turns two instances away", instances: 5, limit: "3.3", during: func(f *fleet) {
			f.storeFault(2, medlarfaketopic.FaultReset)
		}},
		{name: "the store comes back from a copy", instances: 5, limit: "3.3", during: func(f *fleet) { f.site.Store.Rewind(30) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := startLimited(t, tc.instances, nil)
			stop := make(chan struct{})
			results := f.limitLoad(stop)
			time.Sleep(300 * time.Millisecond)
			limited := f.site.Engines[0]
			limited.NameLimits(tc.limit)
			begin := time.Now()
			time.Sleep(limitSettling)
			if tc.during != nil {
				tc.during(f)
			}
			time.Sleep(2*limitWindow - time.Second)
			close(stop)
			assertLimitKept(t, limited, tc.limit, begin.Add(limitSettling), time.Now())
			assertServed(t, results(), begin)
		})
	}
}

func assertLimitKept(t *testing.T, r *medlarfakereplica.Replica, text string, from, to time.Time) {
	t.Helper()
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	most := mostArrivals(r, from, to)
	t.Logf("%d requests in 4 s at most, %.1f a second on average, for a limit of %s", most, float64(arrivalsBetween(r, from, to))/to.Sub(from).Seconds(), text)
	if float64(most) > allowed(limit) {
		t.Errorf("%d requests in 4 s, want %.0f at most for a limit of %s", most, allowed(limit), text)
	}
}

// assertServed asserts that the rest of the work goes to the other replicas.
func assertServed(t *testing.T, results []outcome, from time.Time) {
	t.Helper()
	sent, served := 0, 0
	for _, o := range results {
		if o.sent.Before(from) {
			continue
		}
		sent++
		if o.result.status == 200 && o.result.whole {
			served++
		}
	}
	if float64(served) < 0.95*float64(sent) {
		t.Errorf("%d of %d requests were served, want nearly all", served, sent)
	}
}

// join starts more instances.
func (f *fleet) join(n int) {
	f.t.Helper()
	for range n {
		w := attach(f.t, f.site, fmt.Sprintf("entry-%d", len(f.members)+1), medlarfaketopic.FaultNone)
		w.eventually("the instance is ready", w.instance.Ready)
		f.mu.Lock()
		f.members = append(f.members, w)
		f.mu.Unlock()
	}
}

// leave stops the last instances.
func (f *fleet) leave(n int) {
	f.mu.Lock()
	gone := f.members[len(f.members)-n:]
	f.members = f.members[:len(f.members)-n]
	f.mu.Unlock()
	for _, w := range gone {
		w.stop()
	}
}

// storeFault sets a fault of the store for the first n instances.
func (f *fleet) storeFault(n int, fault medlarfaketopic.Fault) {
	for _, w := range f.members[:n] {
		w.endpoint.SetFault(fault)
	}
}

package medlarnode_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/stand/medlarclient"
	"medlarfield/internal/stand/medlartestbed"
	"medlarfield/internal/stand/medlartestca"
)

// withPeers returns a change of settings that gives each instance a certificate of a
// common authority and a listener for peers.
func withPeers(t *testing.T) func(*medlarsettings.Settings) {
	t.Helper()
	a, err := medlartestca.New()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	return func(s *medlarsettings.Settings) {
		f, err := a.Write(dir, s.Name, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		s.Peers = medlarsettings.Peers{
			Listen: "127.0.0.1:0", CertificateFile: f.Certificate, KeyFile: f.Key, CAFile: f.Authority,
		}
	}
}

// withPlan returns the stage's lists with the plan changed.
func withPlan(t *testing.T, change func(*medlarlist.Plan)) *medlarlist.Lists {
	t.Helper()
	l, err := medlartestbed.Lists()
	if err != nil {
		t.Fatal(err)
	}
	plan := l.Plans["standard"]
	change(&plan)
	l.Plans = map[medlarid.PlanID]medlarlist.Plan{"standard": plan}
	out, err := medlarlist.New().Apply(medlarlist.Diff(medlarlist.New(), l))
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestRateIsSharedByDemand asserts that an instance that gets all requests of an account may
// use the account's whole rate, not only an equal part of it, and no more than that.
func TestRateIsSharedByDemand(t *testing.T) {
	const rate, burst = 40, 10
	h := start(t, options{nodes: 4, node: withPeers(t)})
	h.awaitPeers(4)
	h.awaitVersion(h.publish(withPlan(t, func(p *medlarlist.Plan) { p.Rate, p.Burst = rate, burst })))
	time.Sleep(2500 * time.Millisecond) // one term of the shares after the instances have discovered each other
	var mu sync.Mutex
	var sent []time.Time
	var answered atomic.Int32
	var wg sync.WaitGroup
	begin := time.Now()
	for range 4 { // all requests go to one instance, above the rate
		wg.Go(func() {
			for time.Since(begin) < 3*time.Second {
				mu.Lock()
				sent = append(sent, time.Now())
				mu.Unlock()
				if r := h.complete(0, "x"); r.Complete {
					answered.Add(1)
				} else {
					assertRefused(t, r, medlarreason.Rate, medlarreason.RanNo)
				}
				time.Sleep(8 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	allowed := countAllowed(sent, rate, burst)
	t.Logf("%d of %d requests answered; rate and burst allow %d", answered.Load(), len(sent), allowed)
	if n := int(answered.Load()); n < allowed*3/4 || n > allowed+allowed/10 {
		t.Errorf("%d answered, want about %d", n, allowed)
	}
}

// countAllowed returns how many of the requests sent at the given times, in order, a token
// bucket of a rate per second and a burst allows.
func countAllowed(sent []time.Time, rate, burst float64) int {
	tokens, last, n := burst, sent[0], 0
	for _, at := range sent {
		tokens = min(tokens+rate*at.Sub(last).Seconds(), burst)
		last = at
		if tokens >= 1 {
			tokens--
			n++
		}
	}
	return n
}

// awaitPeers waits until every instance sees n live instances.
func (h *harness) awaitPeers(n int) {
	h.t.Helper()
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		ready := 0
		for _, node := range h.nodes {
			if node.Status().Peers == n {
				ready++
			}
		}
		if ready == len(h.nodes) {
			return
		}
		if time.Now().After(until) {
			h.t.Fatalf("%d of %d instances see %d peers", ready, len(h.nodes), n)
		}
	}
}

func TestListsReachInstancesThroughRelays(t *testing.T) {
	h := start(t, options{nodes: 5, node: withPeers(t), stage: func(s *medlartestbed.Settings) { s.Zones = []medlarid.Zone{"z"} }})
	h.awaitPeers(5)
	for i := range 3 {
		v := h.publish(withPlan(t, func(p *medlarlist.Plan) { p.MaxConcurrent = 100 + i }))
		begin := time.Now()
		h.awaitVersion(v)
		t.Logf("in force on all instances after %v", time.Since(begin))
	}
	assertWhole(t, h.complete(4, "x"))
}

func TestAtMostOnceWithPeers(t *testing.T) {
	h := start(t, options{nodes: 3, node: withPeers(t)})
	key := newKey("a")
	for i := range 3 {
		r := awaitRecorded(func() medlarclient.Result { return h.post(i, key, posting) })
		if r.Status != 200 || r.Replay != (i > 0) {
			t.Fatalf("status %d, reason %q, replayed %v", r.Status, r.Reason, r.Replay)
		}
	}
	h.assertRuns(1)
}

package medlarattachednode_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarlink"
	"medlarfield/internal/stand/medlarsite"
)

// TestInstancesCutBehindProxyServe guards against instances that take a path to a replica for one that works because
// connections open on it, as they do behind a proxy or a balancer, though no answer comes.
func TestInstancesCutBehindProxyServe(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		instances int
		cut       []int
		state     medlarlink.State
	}{
		{"one, silent", 3, []int{0}, medlarlink.OpensSilent},
		{"one, reset", 3, []int{0}, medlarlink.OpensReset},
		{"two of three, silent", 3, []int{0, 1}, medlarlink.OpensSilent},
		{"two of three, reset", 3, []int{0, 1}, medlarlink.OpensReset},
		{"two of five, silent", 5, []int{0, 1}, medlarlink.OpensSilent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := assertCutServes(t, tc.instances, tc.cut, steady(tc.state))
			f.set(medlarlink.Up, tc.cut...) // what was held back is delivered
			time.Sleep(time.Second)
			f.assertRanOnce(t)
		})
	}
}

// TestCutBehindProxyIsFoundWithFewRequests guards against a cut that is found only where many answers are awaited at once.
func TestCutBehindProxyIsFoundWithFewRequests(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		state    medlarlink.State
		interval time.Duration // between two requests at the cut instance
	}{
		{medlarlink.OpensSilent, 66 * time.Millisecond},
		{medlarlink.OpensReset, 66 * time.Millisecond},
		{medlarlink.OpensSilent, 250 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(tc.state, tc.interval), func(t *testing.T) {
			t.Parallel()
			f := startLinked(t, 3, nil)
			f.awaitAcquaintance()
			stop := make(chan struct{})
			y := &tries{}
			wait := (&fleet{t: t, site: f.site, members: f.members[:1]}).loadRequests(tc.interval, stop, func(int) request { return y.request() })
			time.Sleep(time.Second)
			begin := time.Now()
			f.set(tc.state, 0)
			time.Sleep(cutSettling + counted)
			close(stop)
			sent, served := 0, 0
			for _, o := range wait() {
				if o.sent.Sub(begin) < cutSettling {
					continue
				}
				if sent++; o.result.status == 200 && o.result.whole {
					served++
				}
			}
			if t.Logf("%d of %d served", served, sent); float64(served) < 0.9*float64(sent) {
				t.Errorf("%d of %d requests served, 0.9 wanted", served, sent)
			}
		})
	}
}

// assertRanOnce asserts that no request that must not run twice has.
func (f *fleet) assertRanOnce(t *testing.T) {
	t.Helper()
	runs := map[string]int{}
	for _, r := range f.site.Replicas() {
		for _, run := range r.Runs() {
			if runs[run.ID]++; runs[run.ID] > 1 && (strings.HasPrefix(run.Target, "/post/") || strings.HasPrefix(run.Target, "/query/")) {
				t.Errorf("%s %s ran %d times", run.Target, run.ID, runs[run.ID])
			}
		}
	}
}

// silencer holds back what replicas send, as while their process is suspended.
type silencer struct {
	mu   sync.Mutex
	held map[string]chan struct{} // by the address of the replica
}

func (s *silencer) wrap(c net.Conn) net.Conn { return silencedConn{c, s} }

// silence holds back what a replica sends for a time.
func (s *silencer) silence(address string, d time.Duration) {
	resumed := make(chan struct{})
	s.mu.Lock()
	s.held[address] = resumed
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	delete(s.held, address)
	s.mu.Unlock()
	close(resumed)
}

type silencedConn struct {
	net.Conn
	silencer *silencer
}

func (c silencedConn) Write(b []byte) (int, error) {
	c.silencer.mu.Lock()
	resumed := c.silencer.held[c.LocalAddr().String()]
	c.silencer.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	return c.Conn.Write(b)
}

// TestSoundPathIsNotBroken guards against replicas that are slow, silent for a second, reject all, end connections
// without an answer or crash on a request, and to which the path is taken for broken.
func TestSoundPathIsNotBroken(t *testing.T) {
	t.Parallel()
	armAll := func(s *medlarsite.Site, f medlarfakereplica.Fault) {
		for _, r := range s.Replicas() {
			r.Arm(f, 1_000)
		}
	}
	for _, tc := range []struct {
		name     string
		interval time.Duration // between two requests
		change   func(*medlarsite.Settings)
		during   func(*medlarsite.Site, *silencer)
		proofs   int // most calls that prove a path, of all instances
	}{
		{name: "calm", interval: 5 * time.Millisecond, proofs: 0},
		{name: "answers take 2 s", interval: 60 * time.Millisecond, change: func(s *medlarsite.Settings) { s.ServiceTime, s.Events = 2*time.Second, 1 }, proofs: 60},
		{name: "one after the other is silent for a second", interval: 5 * time.Millisecond, during: func(s *medlarsite.Site, z *silencer) {
			for _, r := range s.Replicas()[2:5] {
				z.silence(r.Address(), time.Second)
			}
		}, proofs: 60},
		{name: "all are silent for a second", interval: 5 * time.Millisecond, during: func(s *medlarsite.Site, z *silencer) {
			for _, r := range s.Replicas()[1:] {
				go z.silence(r.Address(), time.Second)
			}
			z.silence(s.Replicas()[0].Address(), time.Second)
		}, proofs: 60},
		{name: "all reject", interval: 5 * time.Millisecond, during: func(s *medlarsite.Site, _ *silencer) { armAll(s, medlarfakereplica.FaultShed) }, proofs: 0},
		{name: "all end connections without an answer", interval: 5 * time.Millisecond, during: func(s *medlarsite.Site, _ *silencer) { armAll(s, medlarfakereplica.FaultLost) }, proofs: 150},
		{name: "crash on a request", interval: 5 * time.Millisecond, during: func(s *medlarsite.Site, _ *silencer) {
			s.CrashOnRequest(func(r medlarfakereplica.Run) medlarfakereplica.CrashPoint {
				if strings.HasSuffix(r.ID, "00") {
					return medlarfakereplica.CrashRunning
				}
				return medlarfakereplica.CrashNowhere
			})
		}, proofs: 150},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			z := &silencer{held: map[string]chan struct{}{}}
			f := startFleet(t, 3, func(s *medlarsite.Settings) {
				s.Engines, s.Plain, s.Wrap = 4, 3, z.wrap
				if tc.change != nil {
					tc.change(s)
				}
			})
			stop := make(chan struct{})
			y := &tries{}
			wait := f.loadRequests(tc.interval, stop, func(int) request { return y.request() })
			time.Sleep(time.Second)
			if tc.during != nil {
				tc.during(f.site, z)
			}
			time.Sleep(4 * time.Second)
			close(stop)
			wait()
			f.assertPathsWork(t, tc.proofs)
		})
	}
}

// assertPathsWork asserts that no instance has taken a path for broken, and that they have made no more calls than a
// number to prove paths.
func (f *fleet) assertPathsWork(t *testing.T, most int) {
	t.Helper()
	proofs := 0
	for i, w := range f.members {
		if w.logged(`"event":"reach"`) || w.logged(`"event":"cut"`) {
			t.Errorf("instance %d takes paths for broken", i+1)
		}
		for line := range strings.Lines(w.metrics()) {
			var result string
			var n int
			if _, err := fmt.Sscanf(strings.NewReplacer("{", " ", "}", " ").Replace(line), "medlar_proofs_total %s %d", &result, &n); err == nil {
				proofs += n
			}
		}
	}
	t.Logf("%d calls that prove a path", proofs)
	if proofs > most {
		t.Errorf("%d calls that prove a path, %d allowed", proofs, most)
	}
}

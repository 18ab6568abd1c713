package medlarattachednode_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarsite"
)

// The users' bounds on requests with a part that crashes replicas.
const (
	crashSettling  = 3 * time.Second // after the fifth crash, until trials are counted
	crashesSettled = 5
	maxTrials      = 3
	minSoundShare  = 0.5 // of sound requests that begin at the first attempt, against their share without crashes
)

// fleet is several instances at one site.
type fleet struct {
	t       *testing.T
	site    *medlarsite.Site
	mu      sync.Mutex
	members []*fixture
}

func startFleet(t *testing.T, instances int, change func(*medlarsite.Settings)) *fleet {
	t.Helper()
	cfg := medlarsite.Default()
	cfg.Engines, cfg.RestartDelay = 12, 1500*time.Millisecond
	if change != nil {
		change(&cfg)
	}
	site, err := medlarsite.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	f := &fleet{t: t, site: site}
	for i := range instances {
		f.members = append(f.members, attach(t, site, fmt.Sprintf("entry-%d", i+1), medlarfaketopic.FaultNone))
	}
	for _, w := range f.members {
		w.eventually("the instance is ready", w.instance.Ready)
	}
	return f
}

// member returns one of the instances; the first ones get most of the callers.
func (f *fleet) member(r *rand.Rand) *fixture {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.members)
	return f.members[min(r.IntN(n), r.IntN(n))]
}

// restart stops an instance without notice and starts it anew.
func (f *fleet) restart(i int) {
	f.mu.Lock()
	old := f.members[i]
	f.mu.Unlock()
	go old.stop()
	w := attach(f.t, f.site, fmt.Sprintf("entry-%d", i+1), medlarfaketopic.FaultNone)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[i] = w
}

// outcome is the result of one request of a load.
type outcome struct {
	sent   time.Time
	result result
}

// load sends requests at an interval until stop is closed, and then returns their outcomes.
// fields returns the prompt of the n-th request.
func (f *fleet) load(name, path string, interval time.Duration, stop <-chan struct{}, fields func(n int) string) func() []outcome {
	var mu sync.Mutex
	var all []outcome
	var wg sync.WaitGroup
	r := rand.New(rand.NewPCG(1, uint64(interval)))
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			w := f.member(r)
			q := request{method: "POST", path: path, id: fmt.Sprintf("%s-%d", name, n), body: "{}", fields: prompt(fields(n))}
			wg.Go(func() {
				o := outcome{sent: time.Now(), result: w.trySendNew(q.text())}
				mu.Lock()
				defer mu.Unlock()
				all = append(all, o)
			})
		}
	})
	return func() []outcome { wg.Wait(); return all }
}

// trySendNew sends a request on a new connection; it returns no result if that fails.
func (w *fixture) trySendNew(text string) result {
	c, err := net.DialTimeout("tcp", string(w.instance.Address()), time.Second)
	if err != nil {
		return result{}
	}
	defer func() { _ = c.Close() }()
	return trySend(c, bufio.NewReader(c), text)
}

// soundPart returns the second part of the n-th sound prompt; many prompts share it.
func soundPart(n int) string { return fmt.Sprintf("5%d:400", n%4) }

// TestPartThatCrashesReplicasIsStopped guards against requests with a part that has crashed
// replicas going on to further replicas, through whatever instance they come.
func TestPartThatCrashesReplicasIsStopped(t *testing.T) {
	for _, tc := range []struct {
		name      string
		instances int
		change    func(*medlarsite.Settings)
		during    func(*fleet) // while requests come
	}{
		{name: "one instance", instances: 1},
		{name: "five instances", instances: 5},
		{name: "thirty-one instances", instances: 31},
		{name: "replicas that start again under their id", instances: 5, change: func(s *medlarsite.Settings) { s.KeepID = true }},
		{name: "an instance that restarts", instances: 5, during: func(f *fleet) {
			time.Sleep(2 * time.Second)
			f.restart(0)
		}},
		{name: "the store away for a moment", instances: 5, during: func(f *fleet) {
			for _, w := range f.members {
				w.endpoint.SetFault(medlarfaketopic.FaultRefuse)
			}
			time.Sleep(700 * time.Millisecond)
			for _, w := range f.members {
				w.endpoint.SetFault(medlarfaketopic.FaultNone)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, tc.instances, tc.change)
			stop := make(chan struct{})
			sound := f.load("s", "/query/x", 10*time.Millisecond, stop, func(n int) string { return fmt.Sprintf("aa:100,%s,%d:500", soundPart(n), 1000+n) })
			time.Sleep(500 * time.Millisecond)
			f.site.CrashOn("bad")
			bad := f.load("b", "/query/x", 100*time.Millisecond, stop, func(n int) string {
				return fmt.Sprintf("aa:100,%s,bad:300,%d:500", soundPart(n), 9000+n)
			})
			if tc.during != nil {
				tc.during(f)
			}
			time.Sleep(8 * time.Second)
			close(stop)
			assertStopped(t, f, bad())
			assertSoundServed(t, f, sound())
		})
	}
}

// assertStopped asserts that hardly any request with the part reached a replica once it had
// crashed five of them, and that its callers were told so at once.
func assertStopped(t *testing.T, f *fleet, bad []outcome) {
	t.Helper()
	crashes := f.site.Crashes()
	if len(crashes) == 0 {
		t.Fatal("no replica has crashed; the test shows nothing")
	}
	settled := crashes[0].At.Add(crashSettling)
	if len(crashes) >= crashesSettled {
		settled = crashes[crashesSettled-1].At.Add(crashSettling)
	}
	if n := f.site.ArrivalsSince(settled); n > maxTrials {
		t.Errorf("%d requests with the part reached replicas after it had crashed five, want %d at most; %d crashes in all", n, maxTrials, len(crashes))
	}
	refused, late := 0, 0
	for _, o := range bad {
		if o.sent.After(settled) {
			late++
			if o.result.status == 503 {
				refused++
			}
		}
	}
	if refused < late-maxTrials {
		t.Errorf("%d of %d late requests with the part were refused as not run", refused, late)
	}
}

// assertSoundServed asserts that requests which share the account and other parts with those
// that crash replicas are served.
func assertSoundServed(t *testing.T, f *fleet, sound []outcome) {
	t.Helper()
	crashes := f.site.Crashes()
	from := crashes[min(len(crashes), crashesSettled)-1].At.Add(2 * crashSettling)
	sent, served := 0, 0
	for _, o := range sound {
		if o.sent.Before(from) {
			continue
		}
		sent++
		if o.result.status == 200 && o.result.whole {
			served++
		}
	}
	if float64(served) < minSoundShare*float64(sent) || sent == 0 {
		t.Errorf("%d of %d sound requests were served after the crashes", served, sent)
	}
}

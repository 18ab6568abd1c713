package medlarattachednode_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarsite"
)

// The users' bounds on streams and software versions.
const (
	maxMixedStreams  = 2
	minResumedShare  = 0.5 // of resumed streams that go on, against the share of new ones that begin
	streamEvents     = 14
	streamEventTime  = 40 * time.Millisecond
	streamTries      = 4
	streamTimeLimit  = 6 * time.Second
	streamRetryPause = 30 * time.Millisecond
)

// front is a connection point for callers of an instance that can be cut off as if the instance
// had been killed.
type front struct {
	ln     net.Listener
	mu     sync.Mutex
	conns  []net.Conn
	killed bool
}

func newFront(t testing.TB, to string) *front {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &front{ln: ln}
	t.Cleanup(p.kill)
	go p.accept(to)
	return p
}

func (p *front) accept(to string) {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		u, err := net.Dial("tcp", to)
		if err != nil || !p.add(c, u) {
			_ = c.Close()
			continue
		}
		for _, pair := range [][2]net.Conn{{c, u}, {u, c}} {
			go func() {
				_, _ = io.Copy(pair[0], pair[1])
				_ = pair[0].Close()
				_ = pair[1].Close()
			}()
		}
	}
}

func (p *front) add(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, conns...)
	return !p.killed
}

// kill ends all connections and accepts no further ones.
func (p *front) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
	_ = p.ln.Close()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// buildFleet is a fleet whose callers resume streams at any instance.
type buildFleet struct {
	*fleet
	mu     sync.Mutex
	fronts []*front
}

func startBuildFleet(t testing.TB, instances int, change func(*medlarsite.Settings)) *buildFleet {
	f := &buildFleet{fleet: startFleet(t, instances, func(s *medlarsite.Settings) {
		s.Events, s.ServiceTime, s.Slots = streamEvents, streamEventTime, 64
		s.Builds = []string{"v1", "v2"}
		if change != nil {
			change(s)
		}
	})}
	for _, w := range f.members {
		f.fronts = append(f.fronts, newFront(t, string(w.instance.Address())))
	}
	return f
}

// kill ends an instance without notice: its callers and the store see nothing of it any longer.
// A new one with its name starts after a while.
func (f *buildFleet) kill(i int, pause time.Duration) {
	f.fleet.mu.Lock()
	old := f.members[i]
	f.fleet.mu.Unlock()
	old.endpoint.SetFault(medlarfaketopic.FaultRefuse)
	f.mu.Lock()
	f.fronts[i].kill()
	f.mu.Unlock()
	go old.stop()
	time.Sleep(pause)
	w := attach(f.t, f.site, fmt.Sprintf("entry-%d", i+1), medlarfaketopic.FaultNone)
	next := newFront(f.t, string(w.instance.Address()))
	f.fleet.mu.Lock()
	f.members[i] = w
	f.fleet.mu.Unlock()
	f.mu.Lock()
	f.fronts[i] = next
	f.mu.Unlock()
}

func (f *buildFleet) address(r *rand.Rand) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.fronts)
	return f.fronts[min(r.IntN(n), r.IntN(n))].ln.Addr().String()
}

// streamOutcome is what the caller of a stream got over all its tries.
type streamOutcome struct {
	began     bool // at the first try
	builds    []string
	last      int // event
	whole     bool
	resumed   int // tries that took the stream up
	went      int // of these that brought an event
	duplicate bool
}

// stream sends a prompt, and takes the stream up elsewhere when it is broken off. named tells
// whether the caller names the request that began it.
func (f *buildFleet) stream(id string, r *rand.Rand, named bool) streamOutcome {
	var o streamOutcome
	end := time.Now().Add(streamTimeLimit)
	first := ""
	for try := 0; try < streamTries && time.Now().Before(end) && !o.whole; try++ {
		q := request{method: "POST", path: "/letter/x", id: fmt.Sprintf("%s-%d", id, try), body: "{}", fields: prompt(fmt.Sprintf("aa:100,%s,%s:500", soundPart(r.IntN(8)), id)), timeout: time.Until(end)}
		if o.last > 0 {
			q.fields += fmt.Sprintf("Last-Event-Id: %d\r\n", o.last)
			if named {
				q.fields += "Resumes: " + first + "\r\n"
			}
		}
		before := o.last
		if !f.tryStream(&o, q.text(), f.address(r)) {
			continue
		}
		o.resumed += btoi(before > 0)
		switch {
		case before == 0 && o.last > 0:
			first, o.began = q.id, try == 0
		case before > 0 && o.last > before:
			o.went++
		}
		time.Sleep(streamRetryPause)
	}
	return o
}

// tryStream sends one request and adds the events that it brings. It returns false if the instance
// takes no connection.
func (f *buildFleet) tryStream(o *streamOutcome, text, at string) bool {
	c, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(streamTimeLimit))
	if _, err := io.WriteString(c, text); err != nil {
		return true
	}
	br := bufio.NewReader(c)
	h, err := medlarhead.ReadResponse(br, 1<<14, "POST")
	if err != nil || h.Status != 200 {
		return true
	}
	s := bufio.NewScanner(medlarframing.NewBody(br, h))
	for s.Scan() {
		name, value, _ := strings.Cut(s.Text(), ": ")
		switch name {
		case "id":
			n, _ := strconv.Atoi(value)
			o.duplicate = o.duplicate || n != o.last+1
			o.last = n
		case "data":
			if len(o.builds) == 0 || o.builds[len(o.builds)-1] != value {
				o.builds = append(o.builds, value)
			}
		}
	}
	o.whole = s.Err() == nil && o.last == streamEvents
	return true
}

// streams sends streams at an interval until stop is closed, and then returns their outcomes.
func (f *buildFleet) streams(interval time.Duration, named bool, stop <-chan struct{}) func() []streamOutcome {
	var mu sync.Mutex
	var all []streamOutcome
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			wg.Go(func() {
				o := f.stream(fmt.Sprintf("s%d", n), rand.New(rand.NewPCG(uint64(n), 5)), named)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, o)
			})
		}
	})
	return func() []streamOutcome { wg.Wait(); return all }
}

// crashSome crashes replicas of the engine now and then.
func (f *buildFleet) crashSome(times int, pause time.Duration) {
	for range times {
		time.Sleep(pause)
		all := f.site.EngineReplicas()
		for _, r := range all[:min(2, len(all))] {
			r.Crash()
		}
	}
}

// outOfStep keeps the store from the first instance for some seconds, in which replicas of a new version join and then what
// breaks streams is done.
func (f *buildFleet) outOfStep(fault medlarfaketopic.Fault, breakStreams func()) {
	f.members[0].endpoint.SetFault(fault)
	f.site.Release("v2", 6, 150*time.Millisecond)
	time.Sleep(1500 * time.Millisecond)
	breakStreams()
	time.Sleep(time.Second)
	f.members[0].endpoint.SetFault(medlarfaketopic.FaultNone)
	time.Sleep(500 * time.Millisecond)
	breakStreams()
}

// crashBuild crashes the replicas of a software version, one after the other.
func (f *buildFleet) crashBuild(build string) {
	for _, r := range f.site.EngineReplicas() {
		if r.Settings.Build == build {
			r.Crash()
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// TestStreamsKeepTheirBuild guards against streams with events of two software versions, within one
// answer or over a caller's tries, and against resumption that is refused where it could go on.
func TestStreamsKeepTheirBuild(t *testing.T) {
	t.Parallel()
	many := 31
	if testing.Short() {
		many = 9
	}
	for _, tc := range []struct {
		name      string
		instances int
		unnamed   bool // callers do not name the request that began the stream
		change    func(*medlarsite.Settings)
		during    func(*buildFleet)
		// few is set where resumption may be refused more often: nobody can know the version.
		few bool
	}{
		{name: "replicas that crash", instances: 1, during: func(f *buildFleet) { f.crashSome(6, 700*time.Millisecond) }},
		{name: "replicas that crash under the same id", instances: 3, change: func(s *medlarsite.Settings) { s.KeepID = true }, during: func(f *buildFleet) { f.crashSome(6, 700*time.Millisecond) }},
		{name: "replicas that start again as another version under the same id", instances: 3, change: func(s *medlarsite.Settings) { s.KeepID, s.NextBuild, s.RestartDelay = true, "v3", 100*time.Millisecond }, during: func(f *buildFleet) {
			f.crashSome(2, 600*time.Millisecond)
			f.kill(0, 300*time.Millisecond)
			f.crashSome(1, 600*time.Millisecond)
		}},
		{name: "instances that are killed", instances: 5, during: func(f *buildFleet) {
			for i := range 5 {
				time.Sleep(700 * time.Millisecond)
				f.kill(i, 300*time.Millisecond)
			}
		}},
		{name: "many instances, some of them killed", instances: many, during: func(f *buildFleet) {
			for i := range 5 {
				time.Sleep(700 * time.Millisecond)
				f.kill(i, 300*time.Millisecond)
			}
		}},
		{name: "a release while instances are killed", instances: 5, change: func(s *medlarsite.Settings) { s.Builds = []string{"v1"} }, during: func(f *buildFleet) {
			f.site.Release("v2", 6, 400*time.Millisecond)
			for i := range 5 {
				time.Sleep(700 * time.Millisecond)
				f.kill(i, 300*time.Millisecond)
			}
		}},
		{name: "a second release", instances: 5, during: func(f *buildFleet) {
			f.site.Release("v3", 5, 500*time.Millisecond)
			time.Sleep(time.Second)
			f.kill(1, 300*time.Millisecond)
			f.crashSome(3, 800*time.Millisecond)
			f.kill(0, 300*time.Millisecond)
		}},
		{name: "all replicas are replaced", instances: 3, change: func(s *medlarsite.Settings) { s.Builds = []string{"v1"} }, during: func(f *buildFleet) {
			f.site.Release("v2", 12, 300*time.Millisecond)
			time.Sleep(2 * time.Second)
			f.kill(0, 300*time.Millisecond)
			time.Sleep(2 * time.Second)
			f.kill(1, 300*time.Millisecond)
		}, few: true},
		{name: "a version that has gone", instances: 5, change: func(s *medlarsite.Settings) { s.RestartDelay = 0 }, during: func(f *buildFleet) {
			time.Sleep(time.Second)
			for _, r := range f.site.EngineReplicas() {
				if r.Settings.Build == "v2" {
					r.Crash()
				}
			}
			for i := range 4 {
				f.kill(i, 300*time.Millisecond)
				time.Sleep(700 * time.Millisecond)
			}
		}, few: true},
		{name: "the store away while instances are killed", instances: 5, during: func(f *buildFleet) {
			for _, w := range f.members[1:] {
				w.endpoint.SetFault(medlarfaketopic.FaultRefuse)
			}
			time.Sleep(700 * time.Millisecond)
			f.kill(0, 300*time.Millisecond)
			time.Sleep(time.Second)
			for _, w := range f.members[1:] {
				w.endpoint.SetFault(medlarfaketopic.FaultNone)
			}
			time.Sleep(time.Second)
			f.kill(1, 300*time.Millisecond)
		}, few: true},
		{name: "an instance that the store turns away during a release", instances: 3, change: func(s *medlarsite.Settings) { s.Builds = []string{"v1"} }, during: func(f *buildFleet) {
			f.members[0].endpoint.SetFault(medlarfaketopic.FaultRefuse)
			f.site.Release("v2", 6, 200*time.Millisecond)
			time.Sleep(5 * time.Second)
			f.kill(1, 300*time.Millisecond)
			f.kill(2, 300*time.Millisecond)
			f.members[0].endpoint.SetFault(medlarfaketopic.FaultNone)
		}, few: true},
		{name: "an instance that gets no answers of the store during a release", instances: 3, change: func(s *medlarsite.Settings) { s.Builds = []string{"v1"} }, during: func(f *buildFleet) {
			f.outOfStep(medlarfaketopic.FaultSilent, func() { f.kill(1, 300*time.Millisecond); f.kill(2, 300*time.Millisecond) })
		}, few: true},
		{name: "an instance whose store connections are reset while replicas of a release crash", instances: 3, change: func(s *medlarsite.Settings) { s.Builds = []string{"v1"} }, during: func(f *buildFleet) {
			f.outOfStep(medlarfaketopic.FaultReset, func() { f.crashBuild("v2") })
		}, few: true},
		{name: "a store that comes back from a copy", instances: 3, during: func(f *buildFleet) {
			time.Sleep(time.Second)
			f.site.Store.Rewind(20)
			if err := f.site.Change(func(*medlarsite.Config) {}); err != nil { // the operator writes again
				f.t.Error(err)
			}
			time.Sleep(time.Second)
			f.kill(0, 300*time.Millisecond)
			f.kill(1, 300*time.Millisecond)
		}},
		{name: "callers that do not name what they resume", instances: 3, unnamed: true, during: func(f *buildFleet) {
			for i := range 3 {
				time.Sleep(700 * time.Millisecond)
				f.kill(i, 300*time.Millisecond)
			}
		}, few: true},
		{name: "entries without a software version", instances: 3, change: func(s *medlarsite.Settings) { s.HideBuilds = 4 }, during: func(f *buildFleet) {
			f.crashSome(3, 500*time.Millisecond)
			for i := range 3 {
				time.Sleep(500 * time.Millisecond)
				f.kill(i, 300*time.Millisecond)
			}
		}, few: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := startBuildFleet(t, tc.instances, tc.change)
			time.Sleep(3 * time.Second) // the instances have agreed on what they have found
			stop := make(chan struct{})
			got := f.streams(12*time.Millisecond, !tc.unnamed, stop)
			tc.during(f)
			time.Sleep(1500 * time.Millisecond)
			close(stop)
			assertBuilds(t, got(), tc.few)
		})
	}
}

// assertBuilds asserts that hardly any stream has events of two software versions, and that
// resumption went on.
func assertBuilds(t *testing.T, all []streamOutcome, few bool) {
	t.Helper()
	mixed, began, resumed, went, whole, duplicate := 0, 0, 0, 0, 0, 0
	example := ""
	for _, o := range all {
		if len(o.builds) > 1 {
			mixed++
			example = fmt.Sprint(o.builds)
		}
		began += btoi(o.began)
		whole += btoi(o.whole)
		duplicate += btoi(o.duplicate)
		resumed += o.resumed
		went += o.went
	}
	t.Logf("%d streams, %d began at the first try, %d whole, %d with events of two software versions; %d of %d resumptions went on", len(all), began, whole, mixed, went, resumed)
	if mixed > maxMixedStreams {
		t.Errorf("%d of %d streams have events of two software versions, as %s; want %d at most", mixed, len(all), example, maxMixedStreams)
	}
	if duplicate > 0 {
		t.Errorf("%d streams have events twice or lack some", duplicate)
	}
	if began < len(all)/2 {
		t.Errorf("%d of %d streams began at the first try", began, len(all))
	}
	if share := float64(began) / float64(len(all)); !few && resumed >= 12 && float64(went) < minResumedShare*share*float64(resumed) {
		t.Errorf("%d of %d resumptions went on, and %d of %d new streams began; want half of that share", went, resumed, began, len(all))
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

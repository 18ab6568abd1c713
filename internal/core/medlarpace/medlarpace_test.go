package medlarpace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// The users' bounds for cold replicas.
const (
	coldRate  = 11.0
	coldTime  = 3 * time.Second
	coldOver  = 1.5
	coldSlack = 5.0
)

// upstreams is the number of upstreams that start together.
const upstreams = 23

// step is the time between two ticks of an instance.
const step = 10 * time.Millisecond

// instance is an instance with its own tables. It has a request for each upstream all the time.
type instance struct {
	id     medlarid.InstanceID
	w      *medlarworld.World
	s      *System
	reads  bool // the others' records
	events []medlarworld.Event
}

// fleet is instances and upstreams that none of them has used yet.
type fleet struct {
	now       time.Time
	r         *rand.Rand
	instances []*instance
	upstreams map[medlarid.InstanceID]medlarupstream.Upstream
	arrived   map[medlarid.InstanceID][]time.Time
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(1_000_000, 0), r: rand.New(rand.NewPCG(seed, uint64(n))),
		upstreams: map[medlarid.InstanceID]medlarupstream.Upstream{}, arrived: map[medlarid.InstanceID][]time.Time{},
	}
	for i := range n {
		f.instances = append(f.instances, f.start(i))
	}
	for _, x := range f.instances {
		x.know(f.others(x, 1))
	}
	f.play(settleTime + sweepInterval)
	return f
}

// start returns a new process of the i-th instance.
func (f *fleet) start(i int) *instance {
	id := medlarid.InstanceID(fmt.Sprintf("entry-%d", i))
	w := medlarworld.New(medlarworld.Config{Self: id, TellLoad: true, ColdOver: coldOver, ColdSlack: coldSlack})
	x := &instance{id: id, w: w, s: New(), reads: true}
	for _, u := range f.upstreams {
		w.Upstreams[u.ID] = new(u)
	}
	return x
}

// others returns a part of the other instances, at random.
func (f *fleet) others(x *instance, share float64) []medlarid.InstanceID {
	var ids []medlarid.InstanceID
	for _, o := range f.instances {
		if o.id != x.id {
			ids = append(ids, o.id)
		}
	}
	f.r.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	return ids[:int(share*float64(len(ids)))]
}

func (x *instance) know(others []medlarid.InstanceID) {
	x.w.Others = others
	x.events = append(x.events, medlarworld.InstancesAnnounced{Others: others})
}

// list lists an upstream that has started at a time.
func (f *fleet) list(id medlarid.InstanceID, born time.Time) {
	u := medlarupstream.Upstream{ID: id, Service: "s", Kind: medlarkind.KindEngine, ListedAt: f.now, Incarnation: medlarid.Incarnation(born.UnixMilli())}
	u.Pace.ColdRate, u.Pace.ColdTime, u.Load.Slots = coldRate, coldTime, 64
	f.upstreams[id] = u
	for _, x := range f.instances {
		x.w.Upstreams[id] = new(u)
		x.events = append(x.events, medlarworld.InstancesListed{})
	}
}

// listAll lists upstreams that have just started.
func (f *fleet) listAll() {
	for i := range upstreams {
		f.list(medlarid.InstanceID(fmt.Sprint("u", i)), f.now)
	}
}

// play lets time pass. Each instance sends each upstream as much as it may.
func (f *fleet) play(d time.Duration) {
	run := &medlarworld.Run{}
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, x := range f.instances {
			x.w.Now = f.now
			if x.reads {
				x.events = append(x.events, medlarworld.NoticesRead{})
			}
			x.w.Events, x.events = x.events, nil
			x.w.Commands = x.w.Commands[:0]
			x.s.Run(x.w)
			for id, u := range x.w.Upstreams {
				for cold(f.now, u) && Admits(x.w, run, u) {
					Take(x.w, u)
					delay := time.Duration(f.r.Int64N(int64(100 * time.Millisecond)))
					f.arrived[id] = append(f.arrived[id], f.now.Add(delay))
				}
			}
		}
	}
}

// most returns the most requests that an upstream got in any second.
func (f *fleet) most() int {
	most := 0
	for _, at := range f.arrived {
		slices.SortFunc(at, time.Time.Compare)
		first := 0
		for i := range at {
			for at[i].Sub(at[first]) > time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

func (f *fleet) all() int {
	n := 0
	for _, at := range f.arrived {
		n += len(at)
	}
	return n
}

// TestColdUpstreams guards against instances that send a cold upstream together more than it is allowed to get in one
// second, or nothing at all.
func TestColdUpstreams(t *testing.T) {
	half := func(share int) func(*fleet) { // one of share instances knows half of the others
		return func(f *fleet) {
			for i, x := range f.instances {
				if i%share == 0 {
					x.know(f.others(x, 0.5))
				}
			}
		}
	}
	for _, tc := range []struct {
		name   string
		before func(*fleet) // before the upstreams are listed
		during func(*fleet) // while they are cold
		least  float64      // requests per second at each of them
	}{
		{name: "all know all", least: 3.5},
		{name: "half of them know half", before: half(2), least: 3.5},
		{name: "all know half", before: half(1), least: 3.5},
		{name: "half of them learn of the rest meanwhile", before: half(2), least: 3.5, during: func(f *fleet) {
			for _, x := range f.instances {
				x.know(f.others(x, 1))
			}
		}},
		{name: "half of them lose sight of half meanwhile", least: 3.5, during: half(2)},
		{name: "a third is cut off", least: 2, before: func(f *fleet) {
			for i, x := range f.instances {
				x.reads = i%3 != 0
			}
		}, during: func(f *fleet) { // the others no longer list these
			for i, x := range f.instances {
				if i%3 != 0 {
					x.know(slices.DeleteFunc(f.others(x, 1), func(id medlarid.InstanceID) bool {
						var n int
						_, _ = fmt.Sscanf(string(id), "entry-%d", &n)
						return n%3 == 0
					}))
				}
			}
		}},
		{name: "a third starts again", least: 2, during: func(f *fleet) {
			for i := range f.instances {
				if i%3 == 0 {
					f.instances[i] = f.start(i)
					f.instances[i].know(f.others(f.instances[i], 0.1))
				}
			}
		}},
	} {
		for _, n := range []int{1, 2, 5, 8, 11, 36, 143, 400} {
			t.Run(fmt.Sprintf("%s/%d instances", tc.name, n), func(t *testing.T) {
				t.Parallel()
				f := newFleet(n, 7)
				if tc.before != nil {
					tc.before(f)
				}
				f.play(sweepInterval)
				f.listAll()
				f.play(1500 * time.Millisecond)
				if tc.during != nil {
					tc.during(f)
				}
				f.play(coldTime + clockMargin - 1500*time.Millisecond)
				each := float64(f.all()) / upstreams / (coldTime + clockMargin).Seconds()
				t.Logf("%d requests in a second at most, %.1f a second on average", f.most(), each)
				if allowed := coldRate*coldOver + coldSlack; float64(f.most()) > allowed {
					t.Errorf("%d requests in a second, want %.1f at most", f.most(), allowed)
				}
				if n > 2 && each < tc.least {
					t.Errorf("%.1f requests a second on average, want %.1f at least", each, tc.least)
				}
			})
		}
	}
}

// TestInstancesThatStartTogether guards against instances that start together with the upstreams, and each take themselves
// for one of few.
func TestInstancesThatStartTogether(t *testing.T) {
	f := newFleet(0, 7)
	f.listAll()
	for i := range 143 {
		f.instances = append(f.instances, f.start(i))
	}
	for known := 0.0; known < 1; known += 0.1 {
		for _, x := range f.instances {
			x.know(f.others(x, known))
		}
		f.play(settleTime / 10)
	}
	f.play(coldTime + clockMargin - settleTime)
	if most := f.most(); float64(most) > coldRate*coldOver+coldSlack {
		t.Errorf("%d requests in a second, want %.1f at most", most, coldRate*coldOver+coldSlack)
	}
}

// single returns a fleet of one instance that has known for long that it is the only one, and what it knows of an upstream that was born some time ago.
func single(t *testing.T, age time.Duration, change func(*medlarworld.Config, *medlarupstream.Pacing)) (*fleet, *instance, *medlarupstream.Upstream) {
	t.Helper()
	f := newFleet(1, 7)
	x := f.instances[0]
	f.list("u", f.now.Add(-age))
	u := x.w.Upstreams["u"]
	if change != nil {
		change(&x.w.Config, &u.Pace)
	}
	f.play(step)
	return f, x, u
}

// TestPhases guards against an upstream that is cold and is not spared, and against one that is spared although it is
// warm, or no setting asks for it.
func TestPhases(t *testing.T) {
	none := func(*medlarworld.Config, *medlarupstream.Pacing) {}
	stated := func(d time.Duration) func(*medlarworld.Config, *medlarupstream.Pacing) {
		return func(_ *medlarworld.Config, p *medlarupstream.Pacing) {
			p.StatedUntil = time.Unix(1_000_000, 0).Add(settleTime + sweepInterval + d)
		}
	}
	unbound := func(c *medlarworld.Config, _ *medlarupstream.Pacing) { c.ColdOver = 0 }
	plain := func(_ *medlarworld.Config, p *medlarupstream.Pacing) { p.ColdRate, p.ColdTime = 0, 0 }
	for _, tc := range []struct {
		name   string
		age    time.Duration
		change func(*medlarworld.Config, *medlarupstream.Pacing)
		want   medlarupstream.PacePhase
	}{
		{"just started", 0, none, medlarupstream.PaceCold},
		{"within the margin", coldTime + clockMargin/2, none, medlarupstream.PaceCold},
		{"warm since a while", coldTime + clockMargin + time.Second, none, medlarupstream.PaceSlow},
		{"warm", time.Minute, none, medlarupstream.PaceNone},
		{"listed just now, by a clock that is far behind", time.Minute, func(_ *medlarworld.Config, p *medlarupstream.Pacing) { p.Fresh = true }, medlarupstream.PaceCold},
		{"born in the future", -time.Minute, none, medlarupstream.PaceCold},
		{"cold again", time.Minute, stated(time.Second), medlarupstream.PaceCold},
		{"cold again before", time.Minute, stated(-time.Minute), medlarupstream.PaceNone},
		{"without bounds", 0, unbound, medlarupstream.PaceNone},
		{"without a cold rate", 0, plain, medlarupstream.PaceNone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, x, u := single(t, tc.age, tc.change)
			if got := PhaseOf(x.w, u); got != tc.want {
				t.Errorf("phase %q, want %q", got, tc.want)
			}
		})
	}
}

// TestUpstreamThatCannotBeReached guards against many requests to an upstream that has started anew under its address
// before its entry says so.
func TestUpstreamThatCannotBeReached(t *testing.T) {
	for _, tc := range []struct {
		name        string
		after       time.Duration // of a heartbeat after the failure; 0 for none
		incarnation medlarid.Incarnation
		want        medlarupstream.PacePhase
	}{
		{"no heartbeat", 0, 0, medlarupstream.PaceCold},
		{"heartbeat that may have been written before", heartbeatLag / 2, 0, medlarupstream.PaceCold},
		{"heartbeat", heartbeatLag + step, 0, medlarupstream.PaceNone},
		{"heartbeat of another start", heartbeatLag + step, 9, medlarupstream.PaceCold},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, x, u := single(t, time.Minute, nil)
			r := &medlarworld.Run{ID: "r", Attempt: 1, Upstream: u}
			x.w.Runs["r"] = r
			x.events = append(x.events, medlarworld.AttemptEnded{Run: "r", Attempt: 1, Cause: medlarkind.CauseRetry, Reason: medlarreason.Unreachable})
			f.play(step)
			if got := PhaseOf(x.w, u); got != medlarupstream.PaceCold {
				t.Fatalf("phase %q after the failure, want cold", got)
			}
			if tc.after > 0 {
				f.play(tc.after)
				x.events = append(x.events, medlarworld.HeartbeatsRead{Heartbeats: []medlarupstream.Heartbeat{{Upstream: "u", Incarnation: cmp.Or(tc.incarnation, u.Incarnation)}}})
			}
			f.play(2 * sweepInterval)
			if got := PhaseOf(x.w, u); got != tc.want {
				t.Errorf("phase %q, want %q", got, tc.want)
			}
			f.play(suspectTime)
			if got := PhaseOf(x.w, u); got != medlarupstream.PaceNone && got != medlarupstream.PaceSlow {
				t.Errorf("phase %q long after, want none or slow", got)
			}
		})
	}
}

// TestInstanceThatReachesNoUpstream guards against an instance that is cut off from the upstreams, takes all of them for
// cold, and refuses its requests although it can reach them through others.
func TestInstanceThatReachesNoUpstream(t *testing.T) {
	const n = 6
	f := newFleet(1, 7)
	x := f.instances[0]
	for i := range n {
		id := medlarid.InstanceID(fmt.Sprint("u", i))
		f.list(id, f.now.Add(-time.Minute))
		x.w.Services["s"] = append(x.w.Services["s"], x.w.Upstreams[id])
	}
	for i, u := range x.w.Services["s"] {
		run := medlarid.RequestID(fmt.Sprint("r", i))
		x.w.Runs[run] = &medlarworld.Run{ID: run, Attempt: 1, Upstream: u}
		x.events = append(x.events, medlarworld.AttemptEnded{Run: run, Attempt: 1, Cause: medlarkind.CauseRetry, Reason: medlarreason.Unreachable})
	}
	f.play(step)
	suspects := 0
	for _, u := range x.w.Services["s"] {
		if PhaseOf(x.w, u) == medlarupstream.PaceCold {
			suspects++
		}
	}
	if suspects != n/2 {
		t.Errorf("%d of %d upstreams count as cold, want half", suspects, n)
	}
}

// TestNoPartWithoutKnowledgeOfOthers guards against an instance that sends cold upstreams requests although it may be one
// of many.
func TestNoPartWithoutKnowledgeOfOthers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(*fleet, *instance)
		want    bool
	}{
		{"it knows them", func(*fleet, *instance) {}, true},
		{"it has not read for long", func(f *fleet, x *instance) { x.reads = false; f.play(minStaleTime) }, false},
		{"it has just started", func(f *fleet, _ *instance) { f.instances[0] = f.start(0); f.play(step) }, false},
		{"instances do not announce themselves", func(_ *fleet, x *instance) { x.w.Config.TellLoad = false }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(1, 7)
			tc.prepare(f, f.instances[0])
			f.list("u", f.now)
			f.play(time.Second)
			if got := f.all() > 0; got != tc.want {
				t.Errorf("it sends %d requests in a second, want any: %v", f.all(), tc.want)
			}
		})
	}
}

// TestWait guards against requests that wait past their deadline for cold upstreams, and ones that are refused although
// a warm one is there.
func TestWait(t *testing.T) {
	_, rate := Sponsors(medlarworld.Config{ColdOver: coldOver, ColdSlack: coldSlack}, coldRate, 1)
	each := time.Duration(float64(time.Second) / rate)
	for _, tc := range []struct {
		name        string
		ahead       int
		known, warm bool
		least, most time.Duration
	}{
		{"a token is there", 0, true, false, 0, 0},
		{"two are ahead", 2, true, false, 2*each - 2*step, 2*each + 2*step},
		{"as many as take longer than the cold time", 100, true, false, coldTime, coldTime + clockMargin},
		{"not a sponsor", 0, false, false, coldTime, coldTime + clockMargin},
		{"another one is warm", 100, false, true, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(1, 7)
			x := f.instances[0]
			x.w.Config.TellLoad = tc.known
			f.play(sweepInterval + step)
			f.list("u", f.now)
			u := x.w.Upstreams["u"]
			x.w.Services["s"] = []*medlarupstream.Upstream{u}
			if tc.warm {
				f.list("w", f.now.Add(-time.Minute))
				x.w.Services["s"] = append(x.w.Services["s"], x.w.Upstreams["w"])
			}
			x.w.Now, x.w.Events = f.now, []medlarworld.Event{medlarworld.InstancesListed{}}
			x.s.Run(x.w)
			if got := Wait(x.w, &medlarworld.Run{Service: "s"}, tc.ahead); got < tc.least || got > tc.most {
				t.Errorf("wait %v, want %v to %v", got, tc.least, tc.most)
			}
		})
	}
}

// BenchmarkUpdate measures an update of an instance among many, while many upstreams are cold.
func BenchmarkUpdate(b *testing.B) {
	f := newFleet(400, 7)
	f.listAll()
	f.instances = f.instances[:1]
	f.play(sweepInterval)
	x := f.instances[0]
	x.w.Events = nil
	for b.Loop() {
		x.s.update(x.w)
	}
}

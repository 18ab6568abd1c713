package medlarcore

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbudget"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// limitFleet is the cores of several instances that share upstreams and a store. It plays requests
// and answers of the limited upstream, and passes records between the cores.
type limitFleet struct {
	t       *testing.T
	now     time.Time
	cores   map[medlarid.InstanceID]*Core
	order   []medlarid.InstanceID
	limit   string // named by the first upstream: "" for none
	rate    float64
	away    map[medlarid.InstanceID]bool // cannot reach the store
	records []limitRecord
	arrived []time.Time // at the limited upstream
	reqs    int
	r       *rand.Rand
}

// limitRecord is a record on its way to an instance.
type limitRecord struct {
	at time.Time
	to medlarid.InstanceID
	e  medlarworld.Event
}

const recordLatency = 200 * time.Millisecond

func newLimitFleet(t *testing.T, instances int) *limitFleet {
	f := &limitFleet{
		t: t, now: time.Unix(1000, 0), cores: map[medlarid.InstanceID]*Core{}, away: map[medlarid.InstanceID]bool{}, r: rand.New(rand.NewPCG(1, uint64(instances))),
	}
	for i := range instances {
		f.add(medlarid.InstanceID(fmt.Sprintf("i%02d", i)))
	}
	return f
}

// add starts an instance, or restarts it.
func (f *limitFleet) add(id medlarid.InstanceID) {
	c := New(medlarworld.Config{
		Self: id, Zone: "a", MaxQueued: 100, MaxAttempts: 1, Seed: uint64(len(f.order) + 1), Weighting: medlarkind.WeightingRecompute,
		RetryBudget: medlarbudget.Retries{Ratio: 0.1, Max: 5, Initial: 2},
	})
	members := []medlarupstream.Member{}
	for _, u := range []medlarid.InstanceID{"u0", "u1", "u2"} {
		members = append(members, medlarupstream.Member{ID: u, Kind: "service", Address: medlarid.Address(u), Service: "s", Zone: "a"})
	}
	c.Tick(f.now, []medlarworld.Event{medlarworld.ListsApplied{Version: 1}, medlarworld.InstancesListed{Members: members}})
	if f.cores[id] == nil {
		f.order = append(f.order, id)
	}
	f.cores[id] = c
}

func (f *limitFleet) remove(id medlarid.InstanceID) {
	delete(f.cores, id)
	f.order = slices.DeleteFunc(f.order, func(o medlarid.InstanceID) bool { return o == id })
}

// play runs the fleet for a time; share returns how many of the requests come to the n-th
// instance, and perSecond is the number of requests a second in all.
func (f *limitFleet) play(d time.Duration, perSecond int, share func(n int) float64) {
	const step = 20 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		sum := 0.0
		for n := range f.order {
			sum += share(n)
		}
		for n, id := range f.order {
			var events []medlarworld.Event
			if f.r.Float64() < float64(perSecond)*step.Seconds()*share(n)/sum {
				f.reqs++
				events = append(events, medlarworld.Submitted{Run: &medlarworld.Run{
					ID: medlarid.RequestID(fmt.Sprint("r", f.reqs)), Service: "s", Arrived: f.now, Deadline: f.now.Add(2 * time.Second), MaxAttempts: 1,
				}})
			}
			f.tick(id, events)
		}
		f.deliver()
	}
}

// tick ticks a core and carries out its commands.
func (f *limitFleet) tick(id medlarid.InstanceID, events []medlarworld.Event) {
	for _, c := range slices.Clone(f.cores[id].Tick(f.now, events)) {
		switch c := c.(type) {
		case medlarworld.StartAttempt:
			answer := []medlarworld.Event{medlarworld.AttemptEnded{Run: c.Run, Attempt: c.Attempt, Cause: medlarkind.CauseDone, Reached: true}}
			if c.Upstream == "u0" {
				f.arrived = append(f.arrived, f.now)
				if f.limit != "" || c.Limited {
					answer = append(answer, medlarworld.UpstreamLimited{Upstream: "u0", Named: f.limit != "", Limit: f.rate, AttemptStarted: f.now.Add(time.Nanosecond)})
				}
			}
			for _, e := range answer {
				f.records = append(f.records, limitRecord{f.now.Add(20 * time.Millisecond), id, e})
			}
		case medlarworld.RecordLimit:
			f.write(id, medlarworld.LimitRecorded{Upstream: c.Upstream, Incarnation: c.Incarnation, Limit: c.Limit, Dropped: !c.Limited})
		case medlarworld.RecordNeed:
			f.write(id, medlarworld.NeedRecorded{Instance: id, Serial: c.Serial, Rates: c.Rates})
		}
	}
}

// write passes a record to all instances that reach the store.
func (f *limitFleet) write(from medlarid.InstanceID, e medlarworld.Event) {
	if f.away[from] {
		return
	}
	for _, id := range f.order {
		if !f.away[id] {
			f.records = append(f.records, limitRecord{f.now.Add(recordLatency), id, e})
		}
	}
}

func (f *limitFleet) deliver() {
	due := map[medlarid.InstanceID][]medlarworld.Event{}
	f.records = slices.DeleteFunc(f.records, func(r limitRecord) bool {
		if r.at.After(f.now) {
			return false
		}
		due[r.to] = append(due[r.to], r.e)
		return true
	})
	for _, id := range f.order {
		if len(due[id]) > 0 {
			f.tick(id, due[id])
		}
	}
}

func (f *limitFleet) name(limit float64) { f.limit, f.rate = "named", limit }

// most returns the most arrivals in 4 s since a time, and the average per second.
func (f *limitFleet) most(since time.Time) (most int, average float64) {
	var window []time.Time
	n := 0
	for _, at := range f.arrived {
		if at.Before(since) {
			continue
		}
		n++
		window = append(window, at)
		for at.Sub(window[0]) > 4*time.Second {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most, float64(n) / f.now.Sub(since).Seconds()
}

func even(int) float64 { return 1 }

// uneven gives the first instances most of the requests.
func uneven(n int) float64 { return 1 / float64(1+n*n) }

// TestLimitIsShared guards against a fleet that sends an upstream more than the limit that it
// named, or next to nothing of it, whatever instances there are and do.
func TestLimitIsShared(t *testing.T) {
	sizes := []int{1, 5, 27, 35}
	if testing.Short() { // with the race detector, which shows nothing more with more cores
		sizes = []int{1, 5}
	}
	for _, instances := range sizes {
		for _, limit := range []float64{0, 0.5, 3.3, 20} {
			for name, share := range map[string]func(int) float64{"even": even, "uneven": uneven} {
				t.Run(fmt.Sprintf("%d instances, limit %g, %s", instances, limit, name), func(t *testing.T) {
					t.Parallel()
					f := newLimitFleet(t, instances)
					f.play(3*time.Second, 200, share)
					f.name(limit)
					begin := f.now
					f.play(3*time.Second, 200, share)
					f.play(14*time.Second, 200, share)
					most, average := f.most(begin.Add(3 * time.Second))
					if allowed := 6*limit + 5; float64(most) > allowed {
						t.Errorf("%d requests in 4 s, %g are allowed", most, allowed)
					}
					if average < 0.5*min(limit, 60) {
						t.Errorf("%.2f requests a second, want half of the limit at least", average)
					}
				})
			}
		}
	}
}

// TestLimitWhileInstancesChange guards against shares that add up to more than the limit while
// instances come, go, start again or lose the store, and while the limit itself changes.
func TestLimitWhileInstancesChange(t *testing.T) {
	const limit = 3.3
	for _, tc := range []struct {
		name string
		do   func(*limitFleet)
	}{
		{"instances come", func(f *limitFleet) {
			for i := range 20 {
				f.add(medlarid.InstanceID(fmt.Sprintf("new%d", i)))
				f.play(300*time.Millisecond, 200, even)
			}
		}},
		{"instances go", func(f *limitFleet) {
			for _, id := range slices.Clone(f.order[2:]) {
				f.remove(id)
				f.play(time.Second, 200, even)
			}
		}},
		{"instances start again", func(f *limitFleet) {
			for _, id := range slices.Clone(f.order) {
				f.add(id)
				f.play(500*time.Millisecond, 200, even)
			}
		}},
		{"the store is away for all", func(f *limitFleet) {
			for _, id := range f.order {
				f.away[id] = true
			}
			f.play(15*time.Second, 200, even)
			clear(f.away)
		}},
		{"the store turns some away", func(f *limitFleet) {
			for _, id := range f.order[:len(f.order)/2] {
				f.away[id] = true
			}
			f.play(15*time.Second, 200, even)
			clear(f.away)
		}},
		{"the callers move", func(f *limitFleet) {
			for n := range 6 {
				f.play(1500*time.Millisecond, 200, func(i int) float64 { return map[bool]float64{true: 50, false: 1}[i%6 == n] })
			}
		}},
		{"little traffic, then much", func(f *limitFleet) {
			f.play(15*time.Second, 5, even)
			f.play(5*time.Second, 400, even)
		}},
		{"the store came back from a copy", func(f *limitFleet) {
			f.write(f.order[0], medlarworld.RecordsRestored{})
			f.write(f.order[0], medlarworld.LimitRecorded{Upstream: "u0", Dropped: true})
		}},
	} {
		for _, instances := range []int{5, 31} {
			t.Run(fmt.Sprintf("%s, %d", tc.name, instances), func(t *testing.T) {
				t.Parallel()
				f := newLimitFleet(t, instances)
				f.play(3*time.Second, 200, uneven)
				f.name(limit)
				begin := f.now
				f.play(6*time.Second, 200, uneven)
				tc.do(f)
				f.play(8*time.Second, 200, uneven)
				if most, _ := f.most(begin.Add(3 * time.Second)); float64(most) > 6*limit+5 {
					t.Errorf("%d requests in 4 s, %g are allowed", most, 6*limit+5)
				}
			})
		}
	}
	t.Run("the limit falls, and ends", func(t *testing.T) {
		f := newLimitFleet(t, 5)
		f.play(3*time.Second, 200, even)
		f.name(30)
		f.play(8*time.Second, 200, even)
		f.name(1)
		f.play(4*time.Second, 200, even)
		begin := f.now
		f.play(10*time.Second, 200, even)
		if most, _ := f.most(begin); float64(most) > 6*1+5 {
			t.Errorf("%d requests in 4 s after the limit fell to 1, 11 are allowed", most)
		}
		f.limit = ""
		f.play(10*time.Second, 200, even)
		begin = f.now
		f.play(10*time.Second, 200, even)
		if _, average := f.most(begin); average < 30 {
			t.Errorf("%.1f requests a second after the limit ended, want about a third of 200", average)
		}
	})
	t.Run("the limit of nothing ends", func(t *testing.T) {
		f := newLimitFleet(t, 5)
		f.name(0)
		f.play(10*time.Second, 200, even)
		f.limit = ""
		f.play(30*time.Second, 200, even)
		begin := f.now
		f.play(5*time.Second, 200, even)
		if _, average := f.most(begin); average < 30 {
			t.Errorf("%.1f requests a second after the limit ended, want about a third of 200", average)
		}
	})
	t.Run("the next incarnation has no limit", func(t *testing.T) {
		f := newLimitFleet(t, 1)
		f.name(0)
		f.play(5*time.Second, 200, even)
		f.limit = ""
		m := []medlarupstream.Member{{ID: "u0", Incarnation: 2, Kind: "service", Address: "u0", Service: "s", Zone: "a"}}
		f.tick("i00", []medlarworld.Event{medlarworld.InstancesListed{Members: m}})
		if u := f.cores["i00"].World().Upstreams["u0"]; u.Limited {
			t.Error("the new incarnation is limited")
		}
	})
}

// TestAllUpstreamsLimited guards against requests that wait until their deadline although their
// upstreams' limits do not allow them to start before.
func TestAllUpstreamsLimited(t *testing.T) {
	f := newLimitFleet(t, 1)
	f.play(3*time.Second, 50, even)
	c := f.cores["i00"]
	name := func(limit float64) {
		for _, u := range []medlarid.InstanceID{"u0", "u1", "u2"} {
			f.tick("i00", []medlarworld.Event{medlarworld.UpstreamLimited{Upstream: u, Named: true, Limit: limit, AttemptStarted: f.now.Add(time.Nanosecond)}})
		}
	}
	name(1)
	f.limit, f.rate = "named", 1
	f.play(3*time.Second, 50, even)
	waiting, refused := 0, 0
	for i := range 50 {
		r := &medlarworld.Run{ID: medlarid.RequestID(fmt.Sprint("x", i)), Service: "s", Arrived: f.now, Deadline: f.now.Add(2 * time.Second)}
		for _, cmd := range c.Tick(f.now, []medlarworld.Event{medlarworld.Submitted{Run: r}}) {
			if cmd, ok := cmd.(medlarworld.Refuse); ok && cmd.Run == r.ID {
				refused++
				if cmd.Reason != medlarreason.Deadline || cmd.RetryAfter < time.Second || cmd.Ran != medlarreason.RanNo {
					t.Errorf("refused with %+v", cmd)
				}
			}
		}
		waiting = len(c.World().Waiting)
	}
	if refused < 40 || waiting > 10 {
		t.Errorf("%d of 50 requests are refused at once and %d wait; the limits allow 3 a second", refused, waiting)
	}
}

// TestRetryTakesToken guards against retries and resumed streams that go to a limited upstream beyond its
// limit.
func TestRetryTakesToken(t *testing.T) {
	p := newPartsHarness(t, 2, nil)
	p.tick(medlarworld.UpstreamLimited{Upstream: "e00", Named: true, Limit: 3, AttemptStarted: p.now.Add(time.Nanosecond)})
	for range 20 {
		r := p.newRun(100, 100)
		s := p.submit(r)
		if s == nil || s.Upstream != "e01" {
			t.Fatalf("started %+v, want an attempt at the upstream without a limit", s)
		}
		p.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: s.Attempt, Cause: medlarkind.CauseRetry, Reason: medlarreason.Version})
		p.now = p.now.Add(30 * time.Millisecond)
		if s := startOf(p.tick(medlarworld.Tick{})); s != nil && s.Upstream == "e00" {
			t.Fatal("the retry goes to the limited upstream without a token")
		}
		p.tick(medlarworld.CallerLeft{Run: r.ID})
	}
}

package medlarsum

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarload"
)

// step is the resolution of the simulated time.
const step = 5 * time.Millisecond

// packet is a message on its way.
type packet struct {
	at       time.Time
	from, to medlarid.InstanceID
	m        Message
}

// node is a simulated instance.
type node struct {
	*Node
	Member
	phase  time.Duration // of its ticks and reports
	dead   bool
	loads  map[medlarid.Hash]int
	past   []former // loads within the last second, the latest last
	totals map[int]received
	sent   int
}

// former is the load that an instance had until a time.
type former struct {
	until time.Time
	loads map[medlarid.Hash]int
}

// received is a total and when it arrived.
type received struct {
	at time.Time
	Total
}

// fleet simulates instances that share upstreams.
type fleet struct {
	t         *testing.T
	rand      *rand.Rand
	now       time.Time
	nodes     []*node
	byID      map[medlarid.InstanceID]*node
	upstreams []medlarid.Hash
	packets   []packet
	loss      float64
}

const zones = 3

func newFleet(t *testing.T, instances, upstreams int) *fleet {
	f := &fleet{t: t, rand: rand.New(rand.NewPCG(uint64(instances), uint64(upstreams))), now: time.Unix(1000, 0), byID: map[medlarid.InstanceID]*node{}}
	for i := range upstreams {
		f.upstreams = append(f.upstreams, medlarid.HashOf(medlarid.InstanceID(fmt.Sprint("replica-", i))))
	}
	for i := range instances {
		f.add(i)
	}
	for _, n := range f.nodes {
		f.introduce(n, func(*node) bool { return true })
	}
	return f
}

// add adds an instance that knows no others.
func (f *fleet) add(i int) *node {
	n := &node{
		Member: Member{ID: medlarid.InstanceID(fmt.Sprint("entry-", i)), Zone: medlarid.Zone(fmt.Sprint("zone-", i%zones))},
		phase:  time.Duration(f.rand.IntN(int(Interval/step))) * step, totals: map[int]received{},
	}
	n.Node = New(Deps{
		Self: n.ID, Zone: n.Zone, FirstReport: f.rand.Uint64(),
		Send: func(to medlarid.InstanceID, m Message) {
			n.sent++
			if f.rand.Float64() >= f.loss {
				f.packets = append(f.packets, packet{f.now, n.ID, to, m})
			}
		},
		OnTotal: func(s Total) { n.totals[s.Range] = received{f.now, s} },
	})
	f.nodes = append(f.nodes, n)
	f.byID[n.ID] = n
	f.draw(n)
	return n
}

// introduce makes other instances known to an instance.
func (f *fleet) introduce(n *node, knows func(*node) bool) {
	var others []Member
	for _, o := range f.nodes {
		if o != n && knows(o) {
			others = append(others, o.Member)
		}
	}
	n.SetMembers(others)
}

// draw puts an instance's attempts on other upstreams.
func (f *fleet) draw(n *node) {
	n.past = append(slices.DeleteFunc(n.past, func(p former) bool { return f.now.Sub(p.until) > time.Second }), former{f.now, n.loads})
	n.loads = map[medlarid.Hash]int{}
	for range 1 + f.rand.IntN(6) {
		n.loads[f.upstreams[f.rand.IntN(len(f.upstreams))]]++
	}
}

// run lets time pass. Each step, an instance's attempts change with a probability.
func (f *fleet) run(d time.Duration, change float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		arrived := f.packets
		f.packets = nil
		for _, p := range arrived {
			if n := f.byID[p.to]; n != nil && !n.dead && n.layout.known[p.from] {
				n.Receive(f.now, p.from, p.m)
			}
		}
		for _, n := range f.nodes {
			if n.dead {
				continue
			}
			if f.rand.Float64() < change {
				f.draw(n)
			}
			switch time.Duration(f.now.UnixNano()) % Interval {
			case n.phase:
				n.Report(f.now, n.list(), len(f.upstreams))
			case (n.phase + Interval/3/step*step) % Interval:
				n.Tick(f.now)
			}
		}
	}
}

func (n *node) list() []medlarload.Load {
	var out []medlarload.Load
	for h, open := range n.loads {
		out = append(out, medlarload.Load{Upstream: h, Open: open, Pending: medlarid.Tokens(open * 640)})
	}
	return out
}

// known returns the sums that an instance may still use, and the share of ranges that it has them for.
func (n *node) known(now time.Time) (out map[medlarid.Hash]int, share float64) {
	out = map[medlarid.Hash]int{}
	fresh := 0
	for _, r := range n.totals {
		if r.Ranges != n.ranges || now.Sub(r.at)+r.Age > TotalTTL {
			continue
		}
		fresh++
		for _, l := range r.Loads {
			out[l.Upstream] += l.Open
		}
	}
	return out, float64(fresh) / float64(n.ranges)
}

// accuracy is how the sums of all instances compare with the truth.
type accuracy struct {
	exact, whole   float64 // share of instances whose sums are exact; that have sums for all ranges
	fresh          float64 // share of the sums of ranges that are there
	counted        float64 // of the attempts of others, the share that is in the sums
	over           int     // attempts that are counted but not there, at all instances
	oldest, median time.Duration
}

// accuracy compares the sums with the present attempts.
func (f *fleet) accuracy() accuracy {
	total := map[medlarid.Hash]int{}
	live := 0
	for _, n := range f.nodes {
		if !n.dead {
			live++
			for h, open := range n.loads {
				total[h] += open
			}
		}
	}
	var a accuracy
	var there, counted int
	var ages []time.Duration
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		sums, fresh := n.known(f.now)
		exact := true
		for _, h := range f.upstreams {
			want := total[h] - n.loads[h]
			there += want
			counted += min(sums[h], want)
			a.over += max(sums[h]-want, 0)
			exact = exact && sums[h] == want
		}
		if exact {
			a.exact += 1 / float64(live)
		}
		a.fresh += fresh / float64(live)
		if fresh == 1 {
			a.whole += 1 / float64(live)
		}
		for _, r := range n.totals {
			ages = append(ages, f.now.Sub(r.at)+r.Age)
		}
	}
	a.counted = float64(counted) / float64(there)
	if len(ages) > 0 {
		slices.Sort(ages)
		a.oldest, a.median = ages[len(ages)-1], ages[len(ages)/2]
	}
	return a
}

// assertExact fails unless all instances know the truth.
func (f *fleet) assertExact(what string) {
	f.t.Helper()
	a := f.accuracy()
	f.t.Logf("%s: %+v", what, a)
	if a.exact < 0.9999 || a.oldest > TotalTTL {
		f.t.Errorf("%s: %+v; want all sums exact and no older than %v", what, a, TotalTTL)
	}
}

// assertWithinAge fails if a sum is not one that held for some of its age: each instance's attempts have changed meanwhile.
func (f *fleet) assertWithinAge() {
	f.t.Helper()
	const sampled, hops = 20, 3 // a step in transit at each hop is not part of the age
	for _, i := range f.rand.Perm(len(f.nodes))[:sampled] {
		n := f.nodes[i]
		sums, fresh := n.known(f.now)
		if fresh < 1 {
			f.t.Errorf("%s has no sums", n.ID)
		}
		for _, h := range f.upstreams {
			r := n.totals[rangeOf(h, n.ranges)]
			window := f.now.Sub(r.at) + r.Age + (hops+1)*step
			low, high := 0, 0
			for _, o := range f.nodes {
				if o == n {
					continue
				}
				least, most := o.loads[h], o.loads[h]
				for _, p := range o.past {
					if f.now.Sub(p.until) <= window {
						least, most = min(least, p.loads[h]), max(most, p.loads[h])
					}
				}
				low, high = low+least, high+most
			}
			if sums[h] < low || sums[h] > high {
				f.t.Errorf("%s counts %d attempts at an upstream that had %d to %d within %v", n.ID, sums[h], low, high, window)
				return
			}
		}
	}
}

const settle = time.Second

var sizes = []struct{ instances, upstreams int }{{70, 90}, {143, 93}, {300, 150}, {410, 760}}

func forSizes(t *testing.T, test func(t *testing.T, f *fleet)) {
	for _, s := range sizes {
		if testing.Short() && s.instances > 143 { // takes a minute with the race detector
			continue
		}
		t.Run(fmt.Sprint(s.instances), func(t *testing.T) {
			t.Parallel()
			test(t, newFleet(t, s.instances, s.upstreams))
		})
	}
}

// TestSums guards against sums that lack the attempts of some instances, or count some twice, such as those of the
// instance itself.
func TestSums(t *testing.T) {
	forSizes(t, func(_ *testing.T, f *fleet) {
		f.run(settle, 0)
		f.assertExact("attempts that do not change")
		for range 4 {
			f.run(settle/2, 0.02)
			f.assertWithinAge()
		}
	})
}

// TestCollectorDies guards against members without sums, and attempts that no one counts, after the loss of a collector, and
// against attempts of a dead instance that stay in the sums.
func TestCollectorDies(t *testing.T) {
	forSizes(t, func(t *testing.T, f *fleet) {
		f.run(settle, 0)
		for range 3 {
			id := f.nodes[f.rand.IntN(len(f.nodes))].own[span{f.nodes[0].ranges, 0}].collector
			f.byID[id].dead = true
			f.run(silence, 0)
			during := f.accuracy()
			f.t.Logf("%v after the loss: %+v", silence, during)
			if during.whole < 0.999 {
				t.Errorf("%v after the loss of a collector only %.3f of the instances have sums", silence, during.whole)
			}
			f.run(settle, 0)
			f.assertExact("after the loss of a collector")
		}
	})
}

// TestZoneDies guards against collectors that go on to wait for those of a zone that is gone.
func TestZoneDies(t *testing.T) {
	forSizes(t, func(_ *testing.T, f *fleet) {
		f.run(settle, 0)
		for _, n := range f.nodes {
			n.dead = n.Zone == "zone-1"
		}
		f.run(settle, 0)
		f.assertExact("after the loss of a zone")
		f.run(5*settle, 0)
		f.assertExact("5 s later")
	})
}

// TestCollectorReturns guards against a collector that is passed over for good, and attempts that two collectors count.
func TestCollectorReturns(t *testing.T) {
	forSizes(t, func(t *testing.T, f *fleet) {
		f.run(settle, 0)
		n := f.byID[f.nodes[1].own[span{f.nodes[1].ranges, 0}].collector]
		n.dead = true
		f.run(2*settle, 0)
		n.dead = false
		var twice time.Duration
		const sample = Interval / 2
		for range 3 * settle / sample {
			f.run(sample, 0)
			if f.accuracy().over > 0 {
				twice += sample
			}
		}
		t.Logf("attempts are counted twice for %v", twice)
		if twice > reportTTL {
			t.Errorf("attempts are counted twice for %v, %v allowed", twice, reportTTL)
		}
		f.assertExact("after the return")
		if got := f.nodes[1].own[span{f.nodes[1].ranges, 0}].collector; got != n.ID {
			t.Errorf("the collector is %s, want %s, which is back", got, n.ID)
		}
	})
}

// TestLostDatagrams guards against sums that are worth little where a tenth of the datagrams is lost.
func TestLostDatagrams(t *testing.T) {
	forSizes(t, func(t *testing.T, f *fleet) {
		f.loss = 0.1
		f.run(settle, 0)
		worst, over, fresh := 1.0, 0, 1.0
		for range 30 {
			f.run(Interval, 0)
			a := f.accuracy()
			worst, over, fresh = min(worst, a.counted), max(over, a.over), min(fresh, a.fresh)
		}
		there := 0
		for _, n := range f.nodes {
			for _, open := range n.loads {
				there += open * (len(f.nodes) - 1)
			}
		}
		tooMany := float64(over) / float64(there)
		t.Logf("counted at least %.4f of the attempts, at most %.4f too many; at least %.4f of the sums are there", worst, tooMany, fresh)
		if worst < 0.95 || fresh < 0.95 {
			t.Errorf("%.4f of the attempts are counted, %.4f of the sums are there; want 0.95", worst, fresh)
		}
		if tooMany > 0.03 { // two of 70 instances
			t.Errorf("%.4f of the attempts are counted twice, 0.03 allowed", tooMany)
		}
	})
}

// TestHalvesThatKnowDifferentFleets guards against attempts that are counted twice while instances have read different lists of
// instances, and against sums that stay partial where all know most of the others.
func TestHalvesThatKnowDifferentFleets(t *testing.T) {
	forSizes(t, func(t *testing.T, f *fleet) {
		half := len(f.nodes) / 2
		for i, n := range f.nodes {
			if i >= half {
				f.introduce(n, func(o *node) bool { return slices.Index(f.nodes, o) >= half })
			}
		}
		f.run(5*settle, 0) // half of the collectors in a ranking do not answer, each for 300 ms
		a := f.accuracy()
		t.Logf("one half knows itself only: %+v", a)
		if a.over > 0 {
			t.Errorf("%d attempts are counted that are not there", a.over)
		}
		if a.whole < 0.9999 {
			t.Errorf("%.3f of the instances have sums, want all", a.whole)
		}
		for _, n := range f.nodes {
			f.introduce(n, func(*node) bool { return true })
		}
		f.run(2*settle, 0)
		f.assertExact("once all know all")
		for i, n := range f.nodes {
			f.introduce(n, func(o *node) bool { return (slices.Index(f.nodes, o)+i)%10 != 0 })
		}
		f.run(3*settle, 0)
		a = f.accuracy()
		t.Logf("each does not know a tenth of the others, another one: %+v", a)
		// A collector ignores the partial sums of a tenth of the others, of which there are only eight in the smallest fleet.
		if a.over > 0 || a.counted < 0.75 {
			t.Errorf("%d attempts are counted that are not there, and %.3f of those that are; want 0 and 0.75", a.over, a.counted)
		}
	})
}

// TestInstanceStarts guards against a new instance that does not get sums, or is not counted.
func TestInstanceStarts(t *testing.T) {
	forSizes(t, func(t *testing.T, f *fleet) {
		f.run(settle, 0)
		n := f.add(len(f.nodes))
		f.introduce(n, func(*node) bool { return true })
		f.run(settle/2, 0) // the others have not read of it yet
		if a := f.accuracy(); a.over > 0 {
			t.Errorf("%d attempts are counted that are not there", a.over)
		}
		for _, o := range f.nodes {
			f.introduce(o, func(*node) bool { return true })
		}
		f.run(2*settle, 0)
		f.assertExact("after the start")
	})
}

// TestIdleFleetIsSilent guards against collectors that keep one another busy for ever.
func TestIdleFleetIsSilent(t *testing.T) {
	f := newFleet(t, 143, 93)
	f.run(settle, 0)
	for _, n := range f.nodes {
		n.loads = nil
	}
	f.run(activeFor+settle, 0)
	for _, n := range f.nodes {
		n.sent = 0
	}
	f.run(settle, 0)
	for _, n := range f.nodes {
		if n.sent > 0 || len(n.collected) > 0 {
			t.Fatalf("%s has sent %d messages and collects %d ranges in a fleet without attempts", n.ID, n.sent, len(n.collected))
		}
	}
}

// TestSuspendedInstance guards against an instance that takes its own pause for the death of all collectors.
func TestSuspendedInstance(t *testing.T) {
	f := newFleet(t, 143, 93)
	f.run(settle, 0)
	n := f.byID[f.nodes[0].own[span{1, 0}].collector]
	n.dead = true
	f.run(settle, 0)
	n.dead = false
	for range Interval / step {
		f.run(step, 0)
		if len(n.suspects) > 0 {
			t.Fatalf("%d collectors are passed over", len(n.suspects))
		}
	}
	f.run(settle*2, 0)
	f.assertExact("after the pause")
}

// TestGroups guards against groups that differ much in size, or span zones, and against many moves when one instance is gone.
func TestGroups(t *testing.T) {
	for _, size := range sizes {
		f := newFleet(t, size.instances, size.upstreams)
		var members []Member
		for _, n := range f.nodes {
			members = append(members, n.Member)
		}
		all, fewer := newLayout(members), newLayout(members[1:])
		moved := 0
		for _, m := range members[1:] {
			g := all.groupOf(m)
			if g.zone != m.Zone {
				t.Errorf("%v is in a group of zone %s", m, g.zone)
			}
			if g != fewer.groupOf(m) {
				moved++
			}
		}
		largest := slices.Max(slices.Collect(maps.Values(all.groups)))
		t.Logf("%d instances: %d groups, the largest of %d; %d move when one is gone", size.instances, len(all.groups), largest, moved)
		if largest > 3*len(members)/len(all.groups) || moved > len(members)/4 {
			t.Errorf("%d groups, the largest of %d; %d of %d move", len(all.groups), largest, moved, len(members))
		}
	}
}

// TestFit guards against messages that do not fit into a datagram, and unordered ones.
func TestFit(t *testing.T) {
	var loads []medlarload.Load
	for i := range 500 {
		loads = append(loads, medlarload.Load{Upstream: medlarid.Hash(uint32(i) * 2654435761), Open: 1 + i%7})
	}
	out := fit(loads)
	if !slices.IsSortedFunc(out, compareHashes) || len(out) < 150 || len(out) >= len(loads) {
		t.Errorf("%d loads are left, sorted %v", len(out), slices.IsSortedFunc(out, compareHashes))
	}
	for _, l := range out {
		if l.Open < 3 {
			t.Errorf("%+v is kept, and larger ones are left out", l)
		}
	}
}

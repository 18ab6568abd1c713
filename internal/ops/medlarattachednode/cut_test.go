package medlarattachednode_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarlink"
)

// The users' bounds on instances that are cut off from all replicas.
const (
	cutSettling    = 3 * time.Second // after the beginning of the cut, until tries are counted
	minCutShare    = 2.0 / 3         // of first tries that are served, against their share at the other instances
	minCountedRuns = 40              // first tries at cut instances, with fewer a share says nothing
)

// Checks of a balancer.
const (
	checkInterval = time.Second
	missesToLeave = 2
)

// balancer passes new connections of clients to instances as a platform does: one that was not ready twice gets
// none, unless fewer than half are left, and open connections stay.
type balancer struct {
	f      *fleet
	mu     sync.Mutex
	misses []int
}

func newBalancer(f *fleet, stop <-chan struct{}) *balancer {
	b := &balancer{f: f, misses: make([]int, len(f.members))}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(checkInterval):
				b.check()
			}
		}
	}()
	return b
}

func (b *balancer) check() {
	for i, w := range b.f.members {
		ready := w.instance.Ready()
		b.mu.Lock()
		b.misses[i]++
		if ready {
			b.misses[i] = 0
		}
		b.mu.Unlock()
	}
}

// pick returns the instance that a new connection goes to.
func (b *balancer) pick(r *rand.Rand) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []int
	for i, n := range b.misses {
		if n < missesToLeave {
			in = append(in, i)
		}
	}
	if 2*len(in) < len(b.misses) {
		return r.IntN(len(b.misses))
	}
	return in[r.IntN(len(in))]
}

// tries are the first tries of clients at each instance.
type tries struct {
	mu   sync.Mutex
	all  map[int][]outcome
	next int
}

func (y *tries) add(instance int, o outcome) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.all[instance] = append(y.all[instance], o)
}

// request returns the next request, of each kind in turn.
func (y *tries) request() request {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.next++
	q := request{id: fmt.Sprint("t", y.next), timeout: 3 * time.Second}
	parts := prompt(fmt.Sprintf("aa:100,%s,%d:500", soundPart(y.next), y.next))
	switch y.next % 4 {
	case 0:
		q.method, q.path, q.body, q.fields = "POST", "/letter/x", "{}", parts
	case 1:
		q.method, q.path, q.body, q.fields = "POST", "/query/x", "{}", parts
	case 2:
		q.method, q.path, q.body = "POST", "/post/a", "{}"
	case 3:
		q.path = "/read/a"
	}
	return q
}

// served returns how many first tries at instances were sent and served between two times.
func (y *tries) served(from, to time.Time, counts func(instance int) bool) (sent, served int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for i, all := range y.all {
		for _, o := range all {
			if !counts(i) || o.sent.Before(from) || o.sent.After(to) {
				continue
			}
			sent++
			if o.result.status == 200 && o.result.whole {
				served++
			}
		}
	}
	return sent, served
}

// firstTries sends requests of clients until stop is closed, half of them on connections that are kept open.
// wait returns once all are answered.
func (f *fleet) firstTries(stop <-chan struct{}) (y *tries, wait func()) {
	const newInterval, keptInterval, kept = 8 * time.Millisecond, 100 * time.Millisecond, 12
	y = &tries{all: map[int][]outcome{}}
	b := newBalancer(f, stop)
	var wg sync.WaitGroup
	wg.Go(func() {
		r := rand.New(rand.NewPCG(1, 2))
		for pause(stop, newInterval) {
			i := b.pick(r)
			wg.Go(func() {
				q := y.request()
				y.add(i, outcome{sent: time.Now(), result: f.members[i].trySendNew(q.text())})
			})
		}
	})
	for n := range kept {
		wg.Go(func() { f.keptClient(y, b, rand.New(rand.NewPCG(2, uint64(n))), n%len(f.members), keptInterval, stop) })
	}
	return y, wg.Wait
}

// keptClient sends requests on a connection that it keeps, and opens another one once that is closed.
func (f *fleet) keptClient(y *tries, b *balancer, r *rand.Rand, first int, interval time.Duration, stop <-chan struct{}) {
	at := first
	var c net.Conn
	var br *bufio.Reader
	for pause(stop, interval) {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", string(f.members[at].instance.Address()), time.Second); err != nil {
				c = nil
				at = b.pick(r)
				continue
			}
			br = bufio.NewReader(c)
		}
		o := outcome{sent: time.Now()}
		o.result = trySend(c, br, y.request().text())
		y.add(at, o)
		if !o.result.whole || o.result.get("Connection") == "close" {
			_ = c.Close()
			c, at = nil, b.pick(r)
		}
	}
	if c != nil {
		_ = c.Close()
	}
}

// pause waits, and reports whether stop is still open.
func pause(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// set puts the links of instances into a state.
func (f *fleet) set(state medlarlink.State, instances ...int) {
	f.t.Helper()
	for _, i := range instances {
		if err := f.site.Link(fmt.Sprintf("entry-%d", i+1)).Set(state); err != nil {
			f.t.Error(err)
		}
	}
}

// counted is how long tries are counted during a cut.
const counted = 4 * time.Second

// steady returns a cut that keeps links in a state.
func steady(state medlarlink.State) func(*fleet, []int) {
	return func(f *fleet, cut []int) {
		f.set(state, cut...)
		time.Sleep(cutSettling + counted)
	}
}

// TestInstancesCutFromReplicasServe guards against instances that refuse what other instances could serve, since
// they have no path of their own to the replicas.
func TestInstancesCutFromReplicasServe(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name      string
		instances int
		cut       []int
		during    func(f *fleet, cut []int) // from the beginning of the cut to its end
	}{
		{"one, new connections refused", 3, []int{0}, steady(medlarlink.Refused)},
		{"one, reset", 3, []int{0}, steady(medlarlink.Reset)},
		{"one, silent", 3, []int{0}, steady(medlarlink.Silent)},
		{"two of five, new connections refused", 5, []int{0, 1}, steady(medlarlink.Refused)},
		{"most, reset", 3, []int{0, 1}, steady(medlarlink.Reset)},
		{"most, silent", 3, []int{0, 1}, steady(medlarlink.Silent)},
		{"one, silent now and then", 3, []int{0}, func(f *fleet, cut []int) {
			for begin := time.Now(); time.Since(begin) < cutSettling+counted; {
				f.set(medlarlink.Silent, cut...)
				time.Sleep(1500 * time.Millisecond)
				f.set(medlarlink.Up, cut...)
				time.Sleep(300 * time.Millisecond)
			}
		}},
		{"one, reset at first and silent later", 3, []int{0}, func(f *fleet, cut []int) {
			f.set(medlarlink.Reset, cut...)
			time.Sleep(cutSettling)
			f.set(medlarlink.Silent, cut...)
			time.Sleep(counted)
		}},
	}
	if testing.Short() { // the run under the race detector
		rows = rows[:3]
	}
	for _, tc := range rows {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			assertCutServes(t, tc.instances, tc.cut, tc.during)
		})
	}
}

// assertCutServes cuts instances, the first ones, from the replicas and asserts that they serve.
func assertCutServes(t *testing.T, instances int, cut []int, during func(f *fleet, cut []int)) *fleet {
	t.Helper()
	f := startLinked(t, instances, nil)
	stop := make(chan struct{})
	y, wait := f.firstTries(stop)
	time.Sleep(time.Second)
	begin := time.Now()
	during(f, cut)
	end := time.Now()
	close(stop)
	wait()
	assertServedAlike(t, y, begin.Add(cutSettling), end, func(i int) bool { return i < len(cut) })
	return f
}

// assertServedAlike asserts that first tries at cut instances are served nearly as often as at the others.
func assertServedAlike(t *testing.T, y *tries, from, to time.Time, isCut func(int) bool) {
	t.Helper()
	sent, served := y.served(from, to, isCut)
	otherSent, otherServed := y.served(from, to, func(i int) bool { return !isCut(i) })
	t.Logf("cut instances served %d of %d first tries, the others %d of %d", served, sent, otherServed, otherSent)
	if otherSent == 0 || float64(otherServed) < 0.9*float64(otherSent) {
		t.Errorf("the others served %d of %d", otherServed, otherSent)
	}
	if sent < minCountedRuns {
		return // clients went elsewhere
	}
	if float64(served)*float64(otherSent) < minCutShare*float64(otherServed)*float64(sent) {
		t.Errorf("cut instances served %d of %d first tries, the others %d of %d; want at least %.2f as often", served, sent, otherServed, otherSent, minCutShare)
	}
}

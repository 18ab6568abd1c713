package medlarrollout

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarfield/internal/agree/medlarterm"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarorder"
)

// Size of a history: instances, replicas, the time with faults and the time without
// in which all has to come right.
const (
	instances  = 3
	engines    = 6
	troubled   = 30 * time.Second
	calm       = 15 * time.Second
	settleTime = 3 * time.Second
	loadTime   = 200 * time.Millisecond
	model      = medlarid.ModelID("m")
)

var errFault = errors.New("fault")

// history is one store with instances that roll weights out, and replicas.
type history struct {
	t        *testing.T
	mu       sync.Mutex
	rnd      *rand.Rand
	guards   guards
	faults   bool
	broken   []string              // invariants that did not hold
	holders  []medlarid.InstanceID // terms, by offset
	paused   [instances]time.Time
	replicas [engines]engine
	wanted   uint64
	last     order // accepted last by any replica
}

// guards are what keeps the invariants; a history without one shows that it matters.
type guards struct {
	settle time.Duration // between two holders
	expect bool          // orders carry the number of orders accepted
	fences bool          // replicas refuse fences lower than one they have seen
}

type engine struct {
	version uint64
	orders  uint64
	fence   uint64
	busy    bool
}

type order struct {
	holder medlarid.InstanceID
	fence  uint64
	at     time.Time
}

// hit draws whether a fault strikes.
func (h *history) hit(share float64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults && h.rnd.Float64() < share
}

// locked runs f with the history to itself.
func (h *history) locked(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

func (h *history) name(i int) medlarid.InstanceID { return medlarid.InstanceID(fmt.Sprint("i", i)) }

// wait holds a paused instance's calls up.
func (h *history) wait(i int) {
	var until time.Time
	h.locked(func() { until = h.paused[i] })
	time.Sleep(time.Until(until))
}

func (h *history) term(i int) *medlarterm.Keeper {
	return medlarterm.New(h.name(i), h.guards.settle, medlarterm.Seams{
		Append: func(_ context.Context, at medlarid.Offset) error {
			h.wait(i)
			time.Sleep(4 * time.Millisecond)
			if h.hit(0.1) {
				return errFault
			}
			var err error
			h.locked(func() {
				if int(at) != len(h.holders) {
					err = medlarterm.ErrMoved
					return
				}
				h.holders = append(h.holders, h.name(i))
			})
			if h.hit(0.1) {
				return errFault // done, and not answered
			}
			return err
		},
		Read: func(_ context.Context, from medlarid.Offset) ([]medlarterm.Record, medlarid.Offset, error) {
			h.wait(i)
			time.Sleep(4 * time.Millisecond)
			if h.hit(0.1) {
				return nil, 0, errFault
			}
			var out []medlarterm.Record
			h.locked(func() {
				for at := int(from); at < len(h.holders); at++ {
					out = append(out, medlarterm.Record{Holder: h.holders[at], Offset: medlarid.Offset(at)})
				}
			})
			return out, from + medlarid.Offset(len(out)), nil
		},
		Suspended: func() time.Duration { return 0 },
	})
}

func version(n uint64) medlarid.WeightVersion {
	return medlarid.WeightVersion(strconv.FormatUint(n, 10))
}

// rollout returns the rollout of an instance. It sees replicas as they are.
func (h *history) rollout(i int) *Rollout {
	return New(h.term(i), i, Deps{
		Replicas: func() []Replica {
			h.mu.Lock()
			defer h.mu.Unlock()
			out := make([]Replica, engines)
			for n := range out {
				id := medlarid.InstanceID(fmt.Sprint("e", n))
				out[n] = Replica{ID: id, Address: medlarid.Address(strconv.Itoa(n)), Model: model, Version: version(h.replicas[n].version)}
			}
			return out
		},
		DesiredVersions: func() DesiredVersions {
			h.mu.Lock()
			defer h.mu.Unlock()
			return DesiredVersions{model: version(h.wanted)}
		},
		QueryState: func(r Replica) (State, error) {
			h.wait(i)
			time.Sleep(2 * time.Millisecond)
			if h.hit(0.1) {
				return State{}, errFault
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			e := &h.replicas[number(r)]
			return State{Model: model, Version: version(e.version), Loading: e.busy, AcceptedOrders: e.orders}, nil
		},
		SendOrder:    func(o Order) error { return h.give(i, o) },
		OnState:      func(Replica, State) {},
		OnOrder:      func(Order, error) {},
		OnQueryError: func(Replica, error) {},
		OnTermChange: func(uint64, bool) {},
		OnTermError:  func(error) {},
	})
}

func number(r Replica) int {
	n, err := strconv.Atoi(string(r.Address))
	if err != nil {
		panic(err) // the history's own addresses
	}
	return n
}

// give brings an order to its replica; it may be carried out seconds later.
func (h *history) give(i int, o Order) error {
	time.Sleep(2 * time.Millisecond)
	h.locked(func() { h.arrive(order{holder: h.name(i), fence: o.Fence, at: time.Now()}) })
	if h.hit(0.2) {
		var late time.Duration
		h.locked(func() { late = time.Duration(2+h.rnd.IntN(8)) * time.Second })
		go func() {
			time.Sleep(late)
			_ = h.carryOut(o)
		}()
		return errFault
	}
	return h.carryOut(o)
}

// arrive checks that holders take turns with rising fences, the settling time apart.
func (h *history) arrive(o order) {
	l := h.last
	if o.holder != l.holder && l.holder != "" && (o.fence <= l.fence || o.at.Sub(l.at) < settleTime) {
		h.broken = append(h.broken, fmt.Sprintf("%v orders after %v", o, l))
	}
	h.last = o
}

// carryOut is what a replica does with an order.
func (h *history) carryOut(o Order) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &h.replicas[number(o.Replica)]
	if h.guards.fences && o.Fence < e.fence || e.busy || h.guards.expect && o.ExpectedOrders != e.orders {
		return errFault
	}
	e.fence = o.Fence
	e.orders++
	e.busy = true
	n, err := strconv.ParseUint(string(o.Version), 10, 64)
	if err != nil {
		h.t.Error(err)
	}
	if n < e.version {
		h.broken = append(h.broken, fmt.Sprintf("a replica goes back from version %d to %d", e.version, n))
	}
	go func() {
		time.Sleep(loadTime)
		h.locked(func() { e.version, e.busy = n, false })
	}()
	return nil
}

// disturb wants another version or pauses an instance, and returns the time until the
// next disturbance.
func (h *history) disturb() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rnd.IntN(3) == 0 {
		h.wanted++
	}
	if h.rnd.IntN(3) == 0 {
		h.paused[h.rnd.IntN(instances)] = time.Now().Add(time.Duration(1+h.rnd.IntN(5)) * time.Second)
	}
	return time.Duration(h.rnd.IntN(3000)) * time.Millisecond
}

// play plays a history and returns the invariants that did not hold.
func play(t *testing.T, seed uint64, g guards) (broken []string) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{t: t, rnd: rand.New(rand.NewPCG(seed, seed)), guards: g, faults: true, wanted: 1}
		for n := range h.replicas {
			h.replicas[n].version = 1
		}
		ctx, cancel := context.WithCancel(t.Context())
		for i := range instances {
			go h.rollout(i).Run(ctx)
		}
		for begin := time.Now(); time.Since(begin) < troubled; {
			time.Sleep(h.disturb())
		}
		h.locked(func() { h.faults = false })
		time.Sleep(calm)
		h.locked(func() {
			for n := range h.replicas {
				if v := h.replicas[n].version; v != h.wanted {
					h.broken = append(h.broken, fmt.Sprintf("replica %d has version %d in the calm, wanted is %d", n, v, h.wanted))
				}
			}
		})
		cancel()
		time.Sleep(10 * time.Second) // late orders
		synctest.Wait()
		broken = h.broken
	})
	return broken
}

// TestRandomHistories plays instances that lose answers, pause and are refused, and replicas
// that carry orders out late: fences rise, holders are the settling time apart, no
// replica goes back, and in the calm all come to the wanted version.
func TestRandomHistories(t *testing.T) {
	seeds := uint64(400)
	if testing.Short() { // the run under the race detector
		seeds = 40
	}
	for seed := range seeds {
		g := guards{settle: settleTime, expect: true, fences: seed%2 == 0}
		if broken := play(t, seed, g); len(broken) > 0 {
			t.Fatalf("seed %d: %v", seed, broken)
		}
	}
}

// TestGuardsAreNeeded plays histories without one guard each: some invariant is broken.
func TestGuardsAreNeeded(t *testing.T) {
	for name, g := range map[string]guards{
		"settling time": {expect: true, fences: true},
		"number of orders accepted, where no fence is checked": {settle: settleTime},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				if len(play(t, seed, g)) > 0 {
					return
				}
			}
			t.Error("no history shows that the guard matters")
		})
	}
}

// TestNextOfEachModel asserts that the replicas that come next are counted for each model
// alone, as who sends requests counts them.
func TestNextOfEachModel(t *testing.T) {
	var all []Replica
	for i := range 24 {
		model := medlarid.ModelID([]string{"a", "b"}[i/12])
		all = append(all, Replica{ID: medlarid.InstanceID(fmt.Sprintf("r%02d", i)), Model: model, Version: "1"})
	}
	r := New(nil, 0, Deps{})
	r.markNext(all, all, time.Now())
	marked := map[medlarid.InstanceID]bool{}
	for id := range r.next {
		marked[id] = true
	}
	n := medlarorder.AtOnce(medlarorder.Swapping(), 12)
	for i := range all {
		if want := i%12 < n; marked[all[i].ID] != want {
			t.Errorf("%s comes next: %v, want %v", all[i].ID, marked[all[i].ID], want)
		}
	}
}

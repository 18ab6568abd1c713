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

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/agree/medlarterm"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarorder"
)

// Parameters of a history. Faults occur during faultyTime; by the end of calmTime, which
// has none, all replicas must run the desired version.
const (
	instances  = 3
	engines    = 6
	faultyTime = 30 * time.Second
	calmTime   = 15 * time.Second
	settleTime = 3 * time.Second
	loadTime   = 200 * time.Millisecond
	model      = medlarid.ModelID("m")
)

var errFault = errors.New("fault")

// history is a simulated store and replicas, with instances that roll weights out to them.
type history struct {
	t          *testing.T
	mu         sync.Mutex
	rnd        *rand.Rand
	guards     guards
	faults     bool
	violations []string              // violated invariants
	holders    []medlarid.InstanceID // holders of the terms, by offset
	paused     [instances]time.Time
	cut        [instances]bool // reaches no replica
	replicas   [engines]engine
	desired    uint64
	last       order // last order that arrived at any replica
}

// guards are the mechanisms that keep the invariants. Histories without one of them show
// that it is needed.
type guards struct {
	settle time.Duration // between two holders
	expect bool          // replicas check the number of orders accepted
	fences bool          // replicas reject fencing numbers lower than one they have seen
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

// injectFault reports whether a fault occurs, with the given probability while faults are on.
func (h *history) injectFault(share float64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults && h.rnd.Float64() < share
}

// locked runs f while holding the history's lock.
func (h *history) locked(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// isCut reports whether an instance reaches no replica.
func (h *history) isCut(i int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cut[i]
}

func (h *history) name(i int) medlarid.InstanceID { return medlarid.InstanceID(fmt.Sprint("i", i)) }

// wait delays a call of a paused instance until the pause ends.
func (h *history) wait(i int) {
	var until time.Time
	h.locked(func() { until = h.paused[i] })
	time.Sleep(time.Until(until))
}

func (h *history) term(i int) *medlarterm.Elector {
	return medlarterm.New(h.name(i), h.guards.settle, medlarterm.Deps{
		Append: func(_ context.Context, at medlarid.Offset) (medlarid.Era, error) {
			h.wait(i)
			time.Sleep(4 * time.Millisecond)
			if h.injectFault(0.1) {
				return 0, errFault
			}
			var err error
			h.locked(func() {
				if int(at) != len(h.holders) {
					err = medlarterm.ErrOffsetMismatch
					return
				}
				h.holders = append(h.holders, h.name(i))
			})
			if h.injectFault(0.1) {
				return 0, errFault // the append took effect, but its answer is lost
			}
			return 0, err
		},
		Read: func(_ context.Context, from medlarid.Offset) (medlarterm.Terms, error) {
			h.wait(i)
			time.Sleep(4 * time.Millisecond)
			if h.injectFault(0.1) {
				return medlarterm.Terms{}, errFault
			}
			var out medlarterm.Terms
			h.locked(func() {
				for at := int(from); at < len(h.holders); at++ {
					out.Records = append(out.Records, medlarterm.Record{Holder: h.holders[at], Offset: medlarid.Offset(at)})
				}
			})
			out.End = from + medlarid.Offset(len(out.Records))
			return out, nil
		},
		Suspended: func() time.Duration { return 0 },
	})
}

func version(n uint64) medlarid.WeightVersion {
	return medlarid.WeightVersion(strconv.FormatUint(n, 10))
}

// rollout returns the rollout of an instance, whose view of the replicas is always current.
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
			return DesiredVersions{model: version(h.desired)}
		},
		Reaches: func() bool { return !h.isCut(i) },
		QueryState: func(r Replica) (State, error) {
			h.wait(i)
			time.Sleep(2 * time.Millisecond)
			if h.injectFault(0.1) || h.isCut(i) {
				return State{}, errFault
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			e := &h.replicas[replicaIndex(r)]
			return State{Model: model, Version: version(e.version), Loading: e.busy, AcceptedOrders: e.orders}, nil
		},
		SendOrder:    func(o Order) error { return h.send(i, o) },
		OnState:      func(Replica, State) {},
		OnOrder:      func(Order, error) {},
		OnQueryError: func(Replica, error) {},
		OnTermChange: func(uint64, bool) {},
		OnTermError:  func(error) {},
	})
}

func replicaIndex(r Replica) int {
	n, err := strconv.Atoi(string(r.Address))
	if err != nil {
		panic(err) // addresses are set by rollout
	}
	return n
}

// send delivers an order to its replica. With a fault, the order is carried out seconds
// later and its answer is lost.
func (h *history) send(i int, o Order) error {
	time.Sleep(2 * time.Millisecond)
	if h.isCut(i) {
		return errFault
	}
	h.locked(func() { h.arrive(order{holder: h.name(i), fence: o.Fence, at: time.Now()}) })
	if h.injectFault(0.2) {
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

// arrive checks that orders of different holders have rising fencing numbers and are the
// settling time apart.
func (h *history) arrive(o order) {
	l := h.last
	if o.holder != l.holder && l.holder != "" && (o.fence <= l.fence || o.at.Sub(l.at) < settleTime) {
		h.violations = append(h.violations, fmt.Sprintf("order %v follows %v of another holder too soon or without a higher fencing number", o, l))
	}
	h.last = o
}

// carryOut lets a replica check and carry out an order.
func (h *history) carryOut(o Order) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &h.replicas[replicaIndex(o.Replica)]
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
		h.violations = append(h.violations, fmt.Sprintf("a replica is downgraded from version %d to %d", e.version, n))
	}
	go func() {
		time.Sleep(loadTime)
		h.locked(func() { e.version, e.busy = n, false })
	}()
	return nil
}

// disturb may raise the desired version and may pause an instance, and returns the time
// until the next call.
func (h *history) disturb() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rnd.IntN(3) == 0 {
		h.desired++
	}
	if h.rnd.IntN(3) == 0 {
		h.paused[h.rnd.IntN(instances)] = time.Now().Add(time.Duration(1+h.rnd.IntN(5)) * time.Second)
	}
	return time.Duration(h.rnd.IntN(3000)) * time.Millisecond
}

// simulate runs a history and returns the violated invariants.
func simulate(t *testing.T, seed uint64, g guards) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{t: t, rnd: rand.New(rand.NewPCG(seed, seed)), guards: g, faults: true, desired: 1}
		for n := range h.replicas {
			h.replicas[n].version = 1
		}
		ctx, cancel := context.WithCancel(t.Context())
		for i := range instances {
			go h.rollout(i).Run(ctx)
		}
		for begin := time.Now(); time.Since(begin) < faultyTime; {
			time.Sleep(h.disturb())
		}
		h.locked(func() { h.faults = false })
		time.Sleep(calmTime)
		h.locked(func() {
			for n := range h.replicas {
				if v := h.replicas[n].version; v != h.desired {
					h.violations = append(h.violations, fmt.Sprintf("replica %d runs version %d after the time without faults, want %d", n, v, h.desired))
				}
			}
		})
		cancel()
		time.Sleep(10 * time.Second) // lets late orders arrive
		synctest.Wait()
		violations = h.violations
	})
	return violations
}

// TestRandomHistories simulates instances that lose answers, pause and are refused, and
// replicas that carry orders out late. Fencing numbers must rise, orders of different
// holders must be the settling time apart, no replica may be downgraded, and after a time
// without faults all replicas must run the desired version.
func TestRandomHistories(t *testing.T) {
	seeds := uint64(400)
	if testing.Short() { // the run under the race detector
		seeds = 40
	}
	for seed := range seeds {
		g := guards{settle: settleTime, expect: true, fences: seed%2 == 0}
		if violations := simulate(t, seed, g); len(violations) > 0 {
			t.Fatalf("seed %d: %v", seed, violations)
		}
	}
}

// TestGuardsAreNeeded checks that some history violates an invariant if a guard is missing.
func TestGuardsAreNeeded(t *testing.T) {
	for name, g := range map[string]guards{
		"settling time": {expect: true, fences: true},
		"number of orders accepted, where no fence is checked": {settle: settleTime},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				if len(simulate(t, seed, g)) > 0 {
					return
				}
			}
			t.Error("no history violates an invariant without the guard")
		})
	}
}

// maxRolloutTime is the users' bound on the time from a new weight version to its use by all replicas.
const maxRolloutTime = 6 * time.Second

// TestInstanceCutFromReplicasYields guards against an instance that reaches no replica and keeps the duty to give
// orders, so that no replica gets the desired version.
func TestInstanceCutFromReplicasYields(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after time.Duration // from the new version to the cut
	}{
		{"cut off before", 0},
		{"cut off while it gives orders", 800 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &history{t: t, rnd: rand.New(rand.NewPCG(1, 1)), guards: guards{settle: settleTime, expect: true, fences: true}, desired: 2}
				for n := range h.replicas {
					h.replicas[n].version = 1
				}
				ctx, cancel := context.WithCancel(t.Context())
				for i := range instances {
					go h.rollout(i).Run(ctx)
				}
				time.Sleep(tc.after)
				h.locked(func() { h.cut[0] = true }) // has rank 0
				time.Sleep(maxRolloutTime)
				h.locked(func() {
					for n := range h.replicas {
						if v := h.replicas[n].version; v != h.desired {
							t.Errorf("replica %d runs version %d after %v, want %d", n, v, maxRolloutTime, h.desired)
						}
					}
				})
				cancel()
				time.Sleep(time.Second) // lets calls in progress end
			})
		})
	}
}

// TestNextReplicasPerModel checks that the next replicas to be ordered are counted per
// model, as the routing of requests counts them.
func TestNextReplicasPerModel(t *testing.T) {
	var all []Replica
	for i := range 24 {
		model := medlarid.ModelID([]string{"a", "b"}[i/12])
		all = append(all, Replica{ID: medlarid.InstanceID(fmt.Sprintf("r%02d", i)), Model: model, Version: "1"})
	}
	r := New(nil, 0, Deps{})
	r.markNext(all, all, time.Now())
	marked := map[medlarid.InstanceID]bool{}
	for id := range r.nextSince {
		marked[id] = true
	}
	n := medlarorder.MaxConcurrentLoads(medlarorder.FastSwapOptions(), 12)
	for i := range all {
		if want := i%12 < n; marked[all[i].ID] != want {
			t.Errorf("%s is among the next replicas: %v, want %v", all[i].ID, marked[all[i].ID], want)
		}
	}
}

// TestNoOrderBack guards against an instance that has not read the latest desired version and orders
// replicas which run it back to an earlier one, and against replicas whose version is not known and
// nobody asks.
func TestNoOrderBack(t *testing.T) {
	replicas := []Replica{
		{ID: "behind", Model: model, Version: "1"},
		{ID: "later", Model: model, Version: "3"},
		{ID: "denied", Model: model, Version: "2", Denied: true},
		{ID: "current", Model: model, Version: "2"},
	}
	desired := DesiredVersions{model: "2"}
	assertIDs(t, staleReplicas(replicas, desired), "behind")
	assertIDs(t, deniedReplicas(replicas), "denied")
	r := New(nil, 0, Deps{Replicas: func() []Replica { return replicas }})
	now := time.Now()
	planned := r.planned(map[medlarid.InstanceID]queriedState{
		"behind": {Replica: replicas[0], State: State{Model: model, Version: "1"}, at: now},
		"denied": {Replica: replicas[2], State: State{Model: model, Version: "3"}, at: now},
	}, desired, now)
	got := make([]Replica, len(planned))
	for i, p := range planned {
		got[i] = Replica{ID: p.ID}
	}
	assertIDs(t, got, "behind", "current")
}

func assertIDs(t *testing.T, got []Replica, want ...medlarid.InstanceID) {
	t.Helper()
	ids := make([]medlarid.InstanceID, len(got))
	for i, r := range got {
		ids[i] = r.ID
	}
	if d := cmp.Diff(want, ids); d != "" {
		t.Errorf("replicas:\n%s", d)
	}
}

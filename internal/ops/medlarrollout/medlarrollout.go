// Package medlarrollout rolls the weight versions that the operators want out to the
// replicas of an attached instance's platform.
//
// Rules:
//
//	R1  Orders are sent only within the instance's own term. They carry its fencing
//	    number, the replica's id, and the number of orders that the replica is known
//	    to have accepted. An order that arrives late, or after one from a later
//	    holder, therefore has no effect.
//	R2  A replica's state is queried before it gets an order, and again after an order
//	    without an answer. A replica that does not answer gets no order.
//	R3  Each instance queries the state of stale replicas while there are any, so that
//	    it soon learns which version they run. Only an instance that sees a stale
//	    replica tries to acquire the term. A replica is stale if it runs an earlier version
//	    than the desired one. One that runs a later version gets no order: this instance
//	    has not read the latest record. The state of a replica that has denied to run the
//	    version that is known of it is queried too.
//	R4  Of the instances that see a stale replica, the one with rank 0 tries to acquire
//	    the term immediately, the others after a delay proportional to their rank.
//	R5  A replica gets its order after it has had no new requests for a fixed time: all
//	    instances know which replicas are next and send them none. Requests that still
//	    run continue under the new weights. Waiting for them to end would take a third
//	    of the replicas out of service for seconds.
//	R6  An instance that reaches no replica neither acquires nor renews the term, so that another one
//	    that does can give the orders.
package medlarrollout

import (
	"context"
	"sync"
	"time"

	"medlarfield/internal/agree/medlarterm"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarorder"
)

// Timing of the rounds.
const (
	interval = 100 * time.Millisecond
	// queryInterval is the time between two state queries to a stale replica by an
	// instance that does not hold the term. It is multiplied by the number of whole
	// groups of queryBaseReplicas stale replicas, if that is more than one.
	queryInterval      = 300 * time.Millisecond
	queryBaseReplicas  = 12
	stateMaxAge        = 500 * time.Millisecond // of a replica's state that orders are planned with
	termFollowInterval = 8 * time.Second        // between reads of the terms while no replica is stale
	rankDelay          = 60 * time.Millisecond  // additional delay for each rank (R4)
	ranks              = 4                      // number of distinct ranks
	drainTime          = 500 * time.Millisecond // without new requests before an order (R5)
)

// Replica is a replica in the instance's view.
type Replica struct {
	ID          medlarid.InstanceID
	Incarnation medlarid.Incarnation
	Address     medlarid.Address
	Model       medlarid.ModelID
	Version     medlarid.WeightVersion
	Denied      bool // the replica has denied that it runs Version
	Leaving     bool
}

// State is the state that a replica reports.
type State struct {
	Model          medlarid.ModelID
	Version        medlarid.WeightVersion
	Loading        bool
	AcceptedOrders uint64 // since its start
	Load           int    // waiting and running requests
	Leaving        bool   // the replica says that it leaves
}

// Order makes a replica load a weight version.
type Order struct {
	Replica        Replica
	Version        medlarid.WeightVersion
	Fence          uint64
	ExpectedOrders uint64 // number of orders that the replica must have accepted before
}

// DesiredVersions maps each model to its desired weight version, as the operators set it.
type DesiredVersions map[medlarid.ModelID]medlarid.WeightVersion

// Deps are the functions of the instance that the rollout depends on.
type Deps struct {
	Replicas        func() []Replica
	DesiredVersions func() DesiredVersions
	// Reaches reports whether the instance reaches replicas (R6).
	Reaches    func() bool
	QueryState func(Replica) (State, error)
	SendOrder  func(Order) error
	// OnState is called with a replica's state, OnOrder with an order and its failure,
	// OnTermChange when a term is acquired or ends.
	OnState      func(Replica, State)
	OnOrder      func(Order, error)
	OnQueryError func(Replica, error)
	OnTermChange func(fence uint64, held bool)
	OnTermError  func(error)
}

// Rollout sends orders to replicas. A single goroutine calls Run.
type Rollout struct {
	deps    Deps
	term    *medlarterm.Elector
	planner *medlarorder.Planner
	rank    int

	staleSince time.Time // since when there has been a stale replica; zero if there is none
	followed   time.Time // when the terms were last read while no replica was stale
	holdsTerm  bool

	nextSince map[medlarid.InstanceID]time.Time // when each replica became one of the next to be ordered

	mu       sync.Mutex
	states   map[medlarid.InstanceID]queriedState
	querying map[medlarid.InstanceID]bool
}

// New returns a rollout for the instance with the given rank, which is 0 or more.
func New(term *medlarterm.Elector, rank int, deps Deps) *Rollout {
	planner := medlarorder.New(medlarorder.FastSwapOptions())
	return &Rollout{
		deps: deps, term: term, planner: planner, rank: rank % ranks,
		states: map[medlarid.InstanceID]queriedState{}, querying: map[medlarid.InstanceID]bool{},
	}
}

// Run runs a round each interval until ctx is done.
func (r *Rollout) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.round(ctx)
		}
	}
}

// round queries the state of stale replicas and sends the orders that are due (R3).
func (r *Rollout) round(ctx context.Context) {
	desired := r.deps.DesiredVersions()
	replicas := r.deps.Replicas()
	stale := staleReplicas(replicas, desired)
	now := time.Now()
	r.query(append(deniedReplicas(replicas), stale...), now)
	if len(stale) == 0 {
		r.staleSince = time.Time{}
		r.noteTerm(0, false)
		r.follow(ctx, now)
		return
	}
	if r.staleSince.IsZero() {
		r.staleSince = now
	}
	r.markNext(replicas, stale, now)
	if now.Sub(r.staleSince) < time.Duration(r.rank)*rankDelay { // R4
		return
	}
	if !r.deps.Reaches() { // R6
		r.noteTerm(0, false)
		r.follow(ctx, now)
		return
	}
	ok, err := r.term.AcquireOrRenew(ctx)
	if err != nil {
		r.deps.OnTermError(err)
	}
	fence, current := r.term.Fence()
	r.noteTerm(fence, ok && current)
	if ok && current {
		r.order(desired)
	}
}

// follow reads the terms now and then while no replica is stale, so that the age of the
// last term is known.
func (r *Rollout) follow(ctx context.Context, now time.Time) {
	if now.Sub(r.followed) < termFollowInterval {
		return
	}
	r.followed = now
	if err := r.term.Refresh(ctx); err != nil {
		r.deps.OnTermError(err)
	}
}

func (r *Rollout) noteTerm(fence uint64, held bool) {
	if held != r.holdsTerm {
		r.deps.OnTermChange(fence, held)
		r.holdsTerm = held
	}
}

func staleReplicas(replicas []Replica, desired DesiredVersions) []Replica {
	var out []Replica
	for _, p := range replicas {
		if v, ok := desired[p.Model]; ok && p.Model != "" && p.Version.Before(v) && !p.Leaving {
			out = append(out, p)
		}
	}
	return out
}

// deniedReplicas returns the replicas that have denied to run the version that is known of them.
func deniedReplicas(replicas []Replica) []Replica {
	var out []Replica
	for _, p := range replicas {
		if p.Denied && !p.Leaving {
			out = append(out, p)
		}
	}
	return out
}

// queriedState is a replica with the state that it reported.
type queriedState struct {
	Replica
	State
	at time.Time // when the query was sent
}

// query queries the state of replicas, each when its last query has ended and a minimum
// time has passed. The holder of the term queries more often.
func (r *Rollout) query(replicas []Replica, now time.Time) {
	every := queryInterval * time.Duration(max(1, len(replicas)/queryBaseReplicas))
	if r.holdsTerm {
		every = interval
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range replicas {
		if r.querying[p.ID] || now.Sub(r.states[p.ID].at) < every {
			continue
		}
		r.querying[p.ID] = true
		go r.queryOne(p, now)
	}
}

func (r *Rollout) queryOne(p Replica, now time.Time) {
	s, err := r.deps.QueryState(p)
	if err != nil {
		r.deps.OnQueryError(p, err)
	} else {
		r.deps.OnState(p, s)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.querying, p.ID)
	if err != nil {
		delete(r.states, p.ID) // R2
		return
	}
	r.states[p.ID] = queriedState{Replica: p, State: s, at: now}
}

// fresh returns the states that are recent enough to plan orders with.
func (r *Rollout) fresh(now time.Time) map[medlarid.InstanceID]queriedState {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[medlarid.InstanceID]queriedState, len(r.states))
	for id, a := range r.states {
		if now.Sub(a.at) < stateMaxAge {
			out[id] = a
		}
	}
	return out
}

// order sends the orders that are due (R1). It does not wait for the answers.
func (r *Rollout) order(desired DesiredVersions) {
	now := time.Now()
	states := r.fresh(now)
	for _, o := range r.planner.Plan(now, r.planned(states, desired, now), desired) {
		fence, ok := r.term.Fence()
		if !ok {
			return
		}
		a := states[o.Replica]
		out := Order{Replica: a.Replica, Version: o.Version, Fence: fence, ExpectedOrders: a.AcceptedOrders}
		go func() { r.deps.OnOrder(out, r.deps.SendOrder(out)) }()
	}
}

// planned returns the planner's input: replicas with a fresh state as they reported it, and
// others as the instance knows them if they run the desired version. Stale replicas without
// a fresh state are left out (R2).
func (r *Rollout) planned(states map[medlarid.InstanceID]queriedState, desired DesiredVersions, now time.Time) []medlarorder.Replica {
	var out []medlarorder.Replica
	for _, p := range r.deps.Replicas() {
		m := medlarorder.Replica{ID: p.ID, Model: p.Model, Version: p.Version, Leaving: p.Leaving}
		a, ok := states[p.ID]
		if ok {
			m.Version, m.Loading, m.Load = a.State.Version, a.Loading, a.Load
		} else if p.Version != desired[p.Model] || p.Denied {
			continue
		}
		if desired[p.Model].Before(m.Version) {
			continue
		}
		m.Deferred = m.Version != desired[p.Model] && !r.drained(p.ID, now)
		out = append(out, m)
	}
	return out
}

// drained reports whether a replica has been among the next to be ordered for long enough
// for most of its requests to have ended (R5).
func (r *Rollout) drained(id medlarid.InstanceID, now time.Time) bool {
	since, ok := r.nextSince[id]
	return ok && now.Sub(since) >= drainTime
}

// markNext records since when replicas have been among the next to be ordered: for each
// model the first stale ones by id, as many as may load at the same time.
func (r *Rollout) markNext(replicas, stale []Replica, now time.Time) {
	total, marked := map[medlarid.ModelID]int{}, map[medlarid.ModelID]int{}
	for _, p := range replicas {
		total[p.Model]++
	}
	next := make(map[medlarid.InstanceID]time.Time, len(r.nextSince))
	for _, p := range stale {
		if marked[p.Model] >= medlarorder.MaxConcurrentLoads(medlarorder.FastSwapOptions(), total[p.Model]) {
			continue
		}
		marked[p.Model]++
		since, ok := r.nextSince[p.ID]
		if !ok {
			since = now
		}
		next[p.ID] = since
	}
	r.nextSince = next
}

// Package medlarrollout brings the replicas of an attached instance's platform to
// the weight versions that the operators want.
//
// Rules:
//
//	R1  Orders are given only within the instance's own term, with its fencing
//	    number, to a replica by its id, and with the number of orders that the
//	    replica is known to have accepted. So an order that comes late, or that
//	    another holder has overtaken, has no effect.
//	R2  A replica is asked for its state before it is ordered, and again after an
//	    order without an answer. A replica that does not answer is not ordered.
//	R3  Each instance asks stale replicas for their state while there are any, so
//	    that it knows soon under which version they run. The duty is wanted only by
//	    who sees a stale replica.
//	R4  Of the instances that see one the first by rank tries at once, the others
//	    after a moment for each rank.
//	R5  A replica is ordered when it has had no new work for a while, since all
//	    instances know which ones come next; what still runs goes on under the new
//	    weights. To wait for its end would take a third of the replicas away for
//	    seconds.
package medlarrollout

import (
	"context"
	"sync"
	"time"

	"medlarfield/internal/agree/medlarterm"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarorder"
)

// Times of the rounds.
const (
	interval = 100 * time.Millisecond
	// askEvery is the time between questions to stale replicas by who gives no orders;
	// with more than usualReplicas of them it is longer.
	askEvery      = 300 * time.Millisecond
	usualReplicas = 12
	stateLife     = 500 * time.Millisecond // of what a replica said
	followEvery   = 8 * time.Second        // reads of the terms while there is nothing to order
	rankDelay     = 60 * time.Millisecond
	ranks         = 4                      // instances that differ in rank
	drainTime     = 500 * time.Millisecond // without new work, before an order
)

// Replica is a replica as the instance knows it.
type Replica struct {
	ID      medlarid.InstanceID
	Address medlarid.Address
	Model   medlarid.ModelID
	Version medlarid.WeightVersion
	Leaving bool
}

// State is what a replica says when it is asked.
type State struct {
	Model          medlarid.ModelID
	Version        medlarid.WeightVersion
	Loading        bool
	AcceptedOrders uint64 // accepted since its start
	Load           int    // requests
}

// Order is an order to a replica.
type Order struct {
	Replica        Replica
	Version        medlarid.WeightVersion
	Fence          uint64
	ExpectedOrders uint64 // that the replica must have accepted so far
}

// DesiredVersions maps each model to the weight version that the operators want.
type DesiredVersions map[medlarid.ModelID]medlarid.WeightVersion

// Deps are what the rollout uses of its instance.
type Deps struct {
	Replicas        func() []Replica
	DesiredVersions func() DesiredVersions
	QueryState      func(Replica) (State, error)
	SendOrder       func(Order) error
	// OnState is told of a replica's state, Ordered of an order and its failure, and Held
	// of the begin and end of a duty.
	OnState      func(Replica, State)
	OnOrder      func(Order, error)
	OnQueryError func(Replica, error)
	OnTermChange func(fence uint64, held bool)
	OnTermError  func(error)
}

// Rollout gives orders. One goroutine runs it.
type Rollout struct {
	seams   Deps
	term    *medlarterm.Keeper
	planner *medlarorder.Planner
	rank    int

	stale    time.Time // since when a stale replica is seen; zero for none
	followed time.Time
	held     bool

	next map[medlarid.InstanceID]time.Time // replicas that come next, since when

	mu     sync.Mutex
	states map[medlarid.InstanceID]asked
	asking map[medlarid.InstanceID]bool
}

// New returns a rollout of the instance of a rank, from 0 on.
func New(term *medlarterm.Keeper, rank int, s Deps) *Rollout {
	planner := medlarorder.New(medlarorder.Swapping())
	return &Rollout{
		seams: s, term: term, planner: planner, rank: rank % ranks,
		states: map[medlarid.InstanceID]asked{}, asking: map[medlarid.InstanceID]bool{},
	}
}

// Run works until ctx ends.
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

// round asks stale replicas for their state, and orders what is due (R3).
func (r *Rollout) round(ctx context.Context) {
	wanted := r.seams.DesiredVersions()
	replicas := r.seams.Replicas()
	stale := staleOf(replicas, wanted)
	now := time.Now()
	if len(stale) == 0 {
		r.stale = time.Time{}
		r.note(0, false)
		r.follow(ctx, now)
		return
	}
	if r.stale.IsZero() {
		r.stale = now
	}
	r.markNext(replicas, stale, now)
	r.ask(stale, now)
	if now.Sub(r.stale) < time.Duration(r.rank)*rankDelay { // R4
		return
	}
	ok, err := r.term.Take(ctx)
	if err != nil {
		r.seams.OnTermError(err)
	}
	fence, current := r.term.Fence()
	r.note(fence, ok && current)
	if ok && current {
		r.order(wanted)
	}
}

// follow keeps the age of the last term known while there is nothing to order.
func (r *Rollout) follow(ctx context.Context, now time.Time) {
	if now.Sub(r.followed) < followEvery {
		return
	}
	r.followed = now
	if err := r.term.Follow(ctx); err != nil {
		r.seams.OnTermError(err)
	}
}

func (r *Rollout) note(fence uint64, held bool) {
	if held != r.held {
		r.seams.OnTermChange(fence, held)
		r.held = held
	}
}

func staleOf(replicas []Replica, wanted DesiredVersions) []Replica {
	var out []Replica
	for _, p := range replicas {
		if v, ok := wanted[p.Model]; ok && p.Model != "" && p.Version != v && !p.Leaving {
			out = append(out, p)
		}
	}
	return out
}

// asked is a replica with its state.
type asked struct {
	Replica
	State
	at time.Time // when it was asked
}

// ask asks replicas for their state, each when its last question has ended and some
// time has passed. Who gives orders asks more often.
func (r *Rollout) ask(replicas []Replica, now time.Time) {
	every := askEvery * time.Duration(max(1, len(replicas)/usualReplicas))
	if r.held {
		every = interval
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range replicas {
		if r.asking[p.ID] || now.Sub(r.states[p.ID].at) < every {
			continue
		}
		r.asking[p.ID] = true
		go r.askOne(p, now)
	}
}

func (r *Rollout) askOne(p Replica, now time.Time) {
	s, err := r.seams.QueryState(p)
	if err != nil {
		r.seams.OnQueryError(p, err)
	} else {
		r.seams.OnState(p, s)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asking, p.ID)
	if err != nil {
		delete(r.states, p.ID) // R2
		return
	}
	r.states[p.ID] = asked{Replica: p, State: s, at: now}
}

// known returns the states that are young enough to plan with.
func (r *Rollout) known(now time.Time) map[medlarid.InstanceID]asked {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[medlarid.InstanceID]asked, len(r.states))
	for id, a := range r.states {
		if now.Sub(a.at) < stateLife {
			out[id] = a
		}
	}
	return out
}

// order gives the orders that are due (R1). It does not wait for the answers.
func (r *Rollout) order(wanted DesiredVersions) {
	now := time.Now()
	states := r.known(now)
	for _, o := range r.planner.Plan(now, r.planned(states, wanted, now), wanted) {
		fence, ok := r.term.Fence()
		if !ok {
			return
		}
		a := states[o.Replica]
		out := Order{Replica: a.Replica, Version: o.Version, Fence: fence, ExpectedOrders: a.AcceptedOrders}
		go func() { r.seams.OnOrder(out, r.seams.SendOrder(out)) }()
	}
}

// planned returns the replicas for the planner: those that were asked by their
// state, the current ones as they are known. A stale one that did not answer is left
// out (R2).
func (r *Rollout) planned(states map[medlarid.InstanceID]asked, wanted DesiredVersions, now time.Time) []medlarorder.Replica {
	var out []medlarorder.Replica
	for _, p := range r.seams.Replicas() {
		m := medlarorder.Replica{ID: p.ID, Model: p.Model, Version: p.Version, Leaving: p.Leaving}
		a, ok := states[p.ID]
		if ok {
			m.Version, m.Loading, m.Load = a.State.Version, a.Loading, a.Load
		} else if p.Version != wanted[p.Model] {
			continue
		}
		m.Later = m.Version != wanted[p.Model] && !r.drained(p.ID, now)
		out = append(out, m)
	}
	return out
}

// drained reports whether a replica has been among those that come next for long
// enough for most of its runs to have ended (R5).
func (r *Rollout) drained(id medlarid.InstanceID, now time.Time) bool {
	since, ok := r.next[id]
	return ok && now.Sub(since) >= drainTime
}

// markNext notes since when replicas have been among those that come next: of each
// model the first stale ones by id, as many as change at the same time.
func (r *Rollout) markNext(replicas, stale []Replica, now time.Time) {
	total, marked := map[medlarid.ModelID]int{}, map[medlarid.ModelID]int{}
	for _, p := range replicas {
		total[p.Model]++
	}
	next := make(map[medlarid.InstanceID]time.Time, len(r.next))
	for _, p := range stale {
		if marked[p.Model] >= medlarorder.AtOnce(medlarorder.Swapping(), total[p.Model]) {
			continue
		}
		marked[p.Model]++
		since, ok := r.next[p.ID]
		if !ok {
			since = now
		}
		next[p.ID] = since
	}
	r.next = next
}

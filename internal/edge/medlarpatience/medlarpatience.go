// Package medlarpatience determines for how long an attempt waits for its answer if another attempt may follow.
//
// Rules:
//
//	R1  The attempt ends after a number of target latencies of its route, so that another replica can answer in time
//	    where one hangs.
//	R2  It waits until the deadline of its request if no other replica is expected to answer in the time that is left
//	    after that: a further attempt would fail as well, and two replicas would work on the request.
//	R3  A replica is expected to take as long as its last answer took, or as it has been silent while attempts waited for
//	    it, one after the other. One that hangs on a request and answers others is not silent. What is older than memory
//	    does not count.
//	R4  Streams say nothing of other requests, and other requests nothing of streams.
package medlarpatience

import (
	"sync"
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarrun"
)

const (
	// memory is longer than a service is usually without requests, and short enough that one that has recovered is
	// tried again.
	memory      = 3 * time.Second
	maxReplicas = 1024 // of one service; beyond, all is forgotten
)

// OutcomeOf returns what the end of an attempt says of its replica.
func OutcomeOf(e medlarworld.AttemptEnded) Outcome {
	switch {
	case e.Cause == medlarkind.CauseDone, e.Cause == medlarkind.CauseAnswered:
		return Answered
	case e.Reached && e.Reason == medlarreason.Timeout:
		return Silent
	}
	return Nothing
}

// Table is what is known of the replicas of each service. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	services map[medlarid.ServiceID]map[medlarid.InstanceID]*replica
}

// replica is what is known of a replica.
type replica struct {
	took       time.Duration // by the last answer
	answered   time.Time     // time of the last answer
	waiting    int           // attempts under way
	silent     time.Time     // since when the replica has been silent while attempts waited; zero if it is not
	lastWaited time.Time     // end of the last attempt in that time
}

// Outcome is what an attempt says of its replica.
type Outcome int

// Outcomes.
const (
	Nothing  Outcome = iota // neither of the others, such as a rejection or a connection that ended
	Answered                // the replica has answered
	Silent                  // no answer came in time
)

// New returns an empty table.
func New() *Table { return &Table{services: map[medlarid.ServiceID]map[medlarid.InstanceID]*replica{}} }

// Begin records that an attempt begins. The returned function records how it has ended (R4).
func (t *Table) Begin(route *medlarcatalog.Route, s medlarid.ServiceID, id medlarid.InstanceID, began time.Time) (end func(now time.Time, o Outcome)) {
	if route.Kind == medlarcatalog.KindStream {
		return func(time.Time, Outcome) {}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replica(s, id)
	r.begin(began)
	return func(now time.Time, o Outcome) {
		t.mu.Lock()
		defer t.mu.Unlock()
		r.end(began, now, o)
	}
}

// replica returns what is known of a replica, which may be nothing. The caller holds the lock.
func (t *Table) replica(s medlarid.ServiceID, id medlarid.InstanceID) *replica {
	replicas := t.services[s]
	if replicas == nil || len(replicas) >= maxReplicas {
		replicas = map[medlarid.InstanceID]*replica{}
		t.services[s] = replicas
	}
	if replicas[id] == nil {
		replicas[id] = &replica{}
	}
	return replicas[id]
}

// begin records the beginning of an attempt (R3).
func (r *replica) begin(now time.Time) {
	if r.waiting++; r.silent.IsZero() || r.waiting == 1 && now.Sub(r.lastWaited) > memory {
		r.silent = now
	}
}

// end records the end of an attempt (R3).
func (r *replica) end(began, now time.Time, o Outcome) {
	r.waiting--
	r.lastWaited = now
	if o == Silent {
		return
	}
	if o == Answered {
		r.took, r.answered = now.Sub(began), now
	}
	r.silent = time.Time{}
	if r.waiting > 0 {
		r.silent = now
	}
}

// expected returns how long the replica is expected to take; known is false if nothing is known (R3).
func (r *replica) expected(now time.Time) (d time.Duration, known bool) {
	if !r.answered.IsZero() && now.Sub(r.answered) <= memory {
		d, known = r.took, true
	}
	until := r.lastWaited
	if r.waiting > 0 {
		until = now
	}
	if !r.silent.IsZero() && now.Sub(until) <= memory {
		d, known = max(d, until.Sub(r.silent)), true
	}
	return d, known
}

// Deadline returns the deadline of an attempt at a replica that began at started; attempts is its number, and deadline that
// of its request. The first attempt of a request that can be retried may end earlier (R1, R2).
func (t *Table) Deadline(route *medlarcatalog.Route, attempts int, s medlarid.ServiceID, id medlarid.InstanceID, started, deadline time.Time) time.Time {
	if route.Kind != medlarcatalog.KindIdempotent || route.MaxAttempts <= 1 || attempts > 1 {
		return deadline
	}
	return t.Until(route, s, id, started, deadline)
}

// Until returns when an attempt at a replica ends that began now and that another attempt may follow. deadline is that
// of its request (R1, R2).
func (t *Table) Until(route *medlarcatalog.Route, s medlarid.ServiceID, id medlarid.InstanceID, now, deadline time.Time) time.Time {
	until := medlarrun.Patience(route, now, deadline)
	t.mu.Lock()
	defer t.mu.Unlock()
	others := 0
	for other, r := range t.services[s] {
		d, known := r.expected(now)
		if other == id || !known {
			continue
		}
		if others++; d < deadline.Sub(until) {
			return until
		}
	}
	if others == 0 {
		return until
	}
	return deadline
}

// Package medlarpatience determines whether an attempt is abandoned for another one that may follow.
//
// Rules:
//
//	R1  An attempt is abandoned after a number of target latencies of its route, so that another replica can answer in
//	    time where one hangs.
//	R2  It goes on waiting if no other replica is expected to answer in the time that is left then: a further attempt
//	    would fail as well, and two replicas would work on the request.
//	R3  A replica is expected to take as long as its last answer took, or as it has been silent while attempts waited for
//	    it, one after the other. One that hangs on a request and answers others is not silent. What is older than memory
//	    does not count.
//	R4  Streams say nothing of other requests, and other requests nothing of streams.
package medlarpatience

import (
	"bufio"
	"errors"
	"os"
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
	if r := replicas[id]; r != nil {
		return r
	}
	if replicas == nil || len(replicas) >= maxReplicas {
		replicas = map[medlarid.InstanceID]*replica{}
		t.services[s] = replicas
	}
	replicas[id] = &replica{}
	return replicas[id]
}

// begin records the beginning of an attempt (R3).
func (r *replica) begin(now time.Time) {
	r.waiting++
	switch idle := now.Sub(r.lastWaited); {
	case r.silent.IsZero(), r.waiting == 1 && idle > memory:
		r.silent = now
	case r.waiting == 1:
		r.silent = r.silent.Add(idle) // no attempt waited meanwhile
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

// Deadline returns the deadline of an attempt that began at started; attempts is its number, and deadline that of its
// request. The first attempt of a request that can be retried may end earlier (R1).
func Deadline(route *medlarcatalog.Route, attempts int, started, deadline time.Time) time.Time {
	if route.Kind != medlarcatalog.KindIdempotent || route.MaxAttempts <= 1 || attempts > 1 {
		return deadline
	}
	return medlarrun.Patience(route, started, deadline)
}

// Await waits for the first byte of the answer to an attempt at a replica that ends at until, unless that is the deadline
// of its request. If no byte comes, and no other replica may answer by the deadline, it calls extend (R1, R2).
func (t *Table) Await(answer *bufio.Reader, s medlarid.ServiceID, id medlarid.InstanceID, until, deadline time.Time, extend func()) {
	if !until.Before(deadline) {
		return
	}
	if _, err := answer.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	now := time.Now()
	if !t.MayAnswer(s, id, now, deadline.Sub(now)) {
		extend()
	}
}

// MayAnswer reports whether another replica than this one may answer an attempt that begins now in the time that is left
// (R2).
func (t *Table) MayAnswer(s medlarid.ServiceID, than medlarid.InstanceID, now time.Time, left time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	others := 0
	for id, r := range t.services[s] {
		d, known := r.expected(now)
		if id == than || !known {
			continue
		}
		if others++; d < left {
			return true
		}
	}
	return others == 0
}

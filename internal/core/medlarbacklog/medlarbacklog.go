// Package medlarbacklog tracks this instance's attempts whose answers have not begun, at
// one upstream or at all upstreams of a target, and sums their work by priority class.
package medlarbacklog

import (
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
)

// NumClasses is the number of priority classes that upstreams distinguish. Class 0 is
// the most urgent.
const NumClasses = 4

// Queue is the pending work of one priority class.
type Queue struct {
	// Window limits the work of this class and all more urgent ones, in tokens; 0 until
	// it is first adjusted.
	Window     float64
	LastShrunk time.Time // when the window was last reduced
	work       float64   // of this class alone, in tokens
}

// Attempt is an attempt whose answer has not begun.
type Attempt struct {
	Run   medlarid.RequestID
	Class int
	Work  float64   // tokens
	Due   time.Time // when its answer is expected to begin
}

// Backlog is a set of pending attempts. The zero value is empty.
type Backlog struct {
	Queues   [NumClasses]Queue
	attempts []Attempt
}

// Add adds an attempt that starts.
func (b *Backlog) Add(a Attempt) {
	b.attempts = append(b.attempts, a)
	b.Queues[a.Class].work += a.Work
}

// Remove removes a run's attempt, because its answer has begun or will not come.
func (b *Backlog) Remove(id medlarid.RequestID) {
	i := b.index(id)
	if i < 0 {
		return
	}
	q := &b.Queues[b.attempts[i].Class]
	q.work = max(q.work-b.attempts[i].Work, 0)
	b.attempts = slices.Delete(b.attempts, i, i+1)
}

// Runs returns the runs whose attempts are pending, in the order in which these started.
func (b *Backlog) Runs() []medlarid.RequestID {
	out := make([]medlarid.RequestID, len(b.attempts))
	for i, a := range b.attempts {
		out[i] = a.Run
	}
	return out
}

// Has reports whether an attempt of the run is pending.
func (b *Backlog) Has(id medlarid.RequestID) bool { return b.index(id) >= 0 }

func (b *Backlog) index(id medlarid.RequestID) int {
	return slices.IndexFunc(b.attempts, func(a Attempt) bool { return a.Run == id })
}

// Pending returns the work of a class and all more urgent ones, in tokens.
func (b *Backlog) Pending(class int) float64 {
	sum := 0.0
	for i := range class + 1 {
		sum += b.Queues[i].work
	}
	return sum
}

// Overdue returns how long the most overdue attempt has been due; 0 if none is overdue.
func (b *Backlog) Overdue(now time.Time) time.Duration {
	late := time.Duration(0)
	for _, a := range b.attempts {
		late = max(late, now.Sub(a.Due))
	}
	return late
}

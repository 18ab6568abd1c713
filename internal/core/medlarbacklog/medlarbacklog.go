// Package medlarbacklog holds the own attempts whose answers have not begun, at one
// upstream or at all that serve the same, with their work by class of urgency.
package medlarbacklog

import (
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
)

// NumClasses is the number of classes of urgency that upstreams tell apart; the first is
// the most urgent.
const NumClasses = 4

// Queue is what waits in one class of urgency.
type Queue struct {
	// Window bounds the work of this class and more urgent ones, in tokens; 0 until
	// something was learned.
	Window     float64
	LastShrunk time.Time // when the window was narrowed last
	work       float64   // of this class alone, in tokens
}

// Attempt is an attempt whose answer has not begun.
type Attempt struct {
	Run   medlarid.RequestID
	Class int
	Work  float64   // tokens
	Due   time.Time // when its answer was expected to begin
}

// Backlog is what waits. The zero value is an empty one.
type Backlog struct {
	Queues   [NumClasses]Queue
	attempts []Attempt
}

// Add counts an attempt that starts.
func (b *Backlog) Add(a Attempt) {
	b.attempts = append(b.attempts, a)
	b.Queues[a.Class].work += a.Work
}

// Remove takes off a run's attempt, whose answer begins or will not come.
func (b *Backlog) Remove(id medlarid.RequestID) {
	i := b.index(id)
	if i < 0 {
		return
	}
	q := &b.Queues[b.attempts[i].Class]
	q.work = max(q.work-b.attempts[i].Work, 0)
	b.attempts = slices.Delete(b.attempts, i, i+1)
}

// Has reports whether a run's attempt waits for its answer.
func (b *Backlog) Has(id medlarid.RequestID) bool { return b.index(id) >= 0 }

func (b *Backlog) index(id medlarid.RequestID) int {
	return slices.IndexFunc(b.attempts, func(a Attempt) bool { return a.Run == id })
}

// Pending returns the work of a class and of more urgent ones, in tokens.
func (b *Backlog) Pending(class int) float64 {
	sum := 0.0
	for i := range class + 1 {
		sum += b.Queues[i].work
	}
	return sum
}

// Overdue returns the time by which the attempt that is due first is late; 0 if none is.
func (b *Backlog) Overdue(now time.Time) time.Duration {
	late := time.Duration(0)
	for _, a := range b.attempts {
		late = max(late, now.Sub(a.Due))
	}
	return late
}

// Package medlarwindow bounds the work that waits inside each replica. It answers
// overload: prompts that wait inside a replica lose the parts that were fetched for
// them to others that wait, and all is read again; and who waits there cannot be
// overtaken by who is still in time.
//
// Rules:
//
//	R1  The work of an attempt is the tokens that are computed, and a share of those
//	    that are cached or fetched. It waits until the first part of the answer.
//	R2  An attempt starts only if the replica's waiting work, of this instance and of
//	    its class of urgency and more urgent ones, stays within the window of the
//	    class, or if none waits. Less urgent work does not count: replicas serve it
//	    later.
//	R3  An answer that begins about when it was expected widens the window by a share
//	    of its work. One that begins late narrows it, at most once each settle time.
//	    What is late is a share of the time in which an answer is in time. All
//	    instances do so by what they see, and share the replica without a message.
package medlarwindow

import (
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
)

// Parameters.
const (
	knownShare = 0.25  // of known tokens that count as work (R1)
	first      = 16000 // tokens, window of a replica that nothing was learned of
	least      = 3000  // tokens
	most       = 64000 // tokens
	inTime     = 0.15  // of the target, later than expected, and still widening
	late       = 0.35  // of the target, later than expected, and narrowing
	widen      = 0.15  // of the work
	narrow     = 0.75
	settle     = 150 * time.Millisecond

	defaultTarget = 300 * time.Millisecond // of a run that has none
)

// System adjusts windows.
type System struct{}

// New returns the system.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		if e, ok := e.(medlarworld.Began); ok {
			begin(w, e)
		}
	}
}

// begin takes the work of an attempt off its replica and adjusts the window (R3).
func begin(w *medlarworld.World, e medlarworld.Began) {
	r := w.Runs[e.Run]
	if r == nil || r.Attempt != e.Attempt || r.Upstream == nil || r.Work == 0 {
		return
	}
	r.Begin()
	target := r.Goal
	if target == 0 {
		target = defaultTarget
	}
	q := &r.Upstream.Queues[r.Class()]
	over := float64(e.After-r.Idle) / float64(target)
	switch {
	case over < inTime:
		q.Window = min(Window(q)+widen*float64(r.Computed), most)
	case over > late && w.Now.Sub(q.Narrowed) > settle:
		q.Window = max(Window(q)*narrow, least)
		q.Narrowed = w.Now
	}
}

// Pending returns the work that waits at a replica before a run or beside it (R2).
func Pending(r *medlarworld.Run, u *medlarworld.Upstream) float64 {
	sum := 0.0
	for i := range r.Class() + 1 {
		sum += u.Queues[i].Pending
	}
	return sum
}

// Fits reports whether an attempt of a run may start at a replica (R2).
func Fits(r *medlarworld.Run, u *medlarworld.Upstream, known medlarid.Tokens) bool {
	waits := Pending(r, u)
	return waits <= 0 || waits+work(r, known) <= Window(&u.Queues[r.Class()])
}

// Take counts the work of an attempt (R1). idle is the time to the first part of its
// answer on an idle replica.
func Take(r *medlarworld.Run, u *medlarworld.Upstream, known medlarid.Tokens, idle time.Duration) {
	r.Work, r.Computed, r.Idle = work(r, known), r.Prompt-known, idle
	u.Queues[r.Class()].Pending += r.Work
}

func work(r *medlarworld.Run, known medlarid.Tokens) float64 {
	return float64(max(r.Prompt-known, 0)) + knownShare*float64(known) + 1
}

// Window returns the window of a class at a replica, in tokens.
func Window(q *medlarworld.Queue) float64 {
	if q.Window == 0 {
		return first
	}
	return q.Window
}

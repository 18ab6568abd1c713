// Package medlarwindow bounds the work that waits inside each replica. It answers
// overload: prompts that wait inside a replica lose the parts that were fetched for
// them to others that wait, and all is read again; and who waits there cannot be
// overtaken by who is still in time.
//
// Rules:
//
//	R1  The work of an attempt is the tokens that are computed, and a share of those
//	    that are cached or fetched. It waits until the first part of the answer.
//	R2  An attempt starts only if the replica's waiting work, of this instance, stays
//	    within the window, or if none waits.
//	R3  An answer that begins about when it was expected widens the window by a share
//	    of its work. One that begins late narrows it, at most once each settle time.
//	    All instances do so by what they see, and share the replica without a message.
//	R4  Less urgent attempts fill a part of the window only.
package medlarwindow

import (
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
)

// Parameters, in tokens and seconds.
const (
	knownShare = 0.25  // of known tokens that count as work (R1)
	first      = 16000 // window of a replica that nothing was learned of
	least      = 3000
	most       = 64000
	inTime     = 0.05 // later than expected, and still widening
	late       = 0.12 // later than expected, and narrowing
	widen      = 0.15 // of the work
	narrow     = 0.75
	rankShare  = 0.2 // of the window, that each rank leaves to those before it (R4)
	leastPart  = 0.4
	settle     = 150 * time.Millisecond
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
	u := r.Upstream
	u.Pending = max(u.Pending-r.Work, 0)
	r.Work = 0
	over := (e.After - r.Idle).Seconds()
	switch {
	case over < inTime:
		u.Window = min(window(u)+widen*float64(r.Computed), most)
	case over > late && w.Now.Sub(u.Narrowed) > settle:
		u.Window = max(window(u)*narrow, least)
		u.Narrowed = w.Now
	}
}

// Fits reports whether an attempt of a run may start at a replica (R2).
func Fits(r *medlarworld.Run, u *medlarworld.Upstream, known medlarid.Tokens) bool {
	return u.Pending <= 0 || u.Pending+work(r, known) <= window(u)*part(r)
}

// part returns the part of a window that a run may fill: less urgent ones leave room
// for more urgent ones (R4).
func part(r *medlarworld.Run) float64 {
	return max(1+rankShare*float64(r.Priority), leastPart)
}

// Take counts the work of an attempt (R1). service is the time to the first part of
// its answer on an idle replica.
func Take(r *medlarworld.Run, u *medlarworld.Upstream, known medlarid.Tokens, service time.Duration) {
	r.Work, r.Computed, r.Idle = work(r, known), r.Prompt-known, service
	u.Pending += r.Work
}

func work(r *medlarworld.Run, known medlarid.Tokens) float64 {
	return float64(max(r.Prompt-known, 0)) + knownShare*float64(known) + 1
}

func window(u *medlarworld.Upstream) float64 {
	if u.Window == 0 {
		return first
	}
	return u.Window
}

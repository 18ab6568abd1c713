// Package medlarlag learns how much later than expected upstreams answer. It answers
// replicas that turn slow, and the load that other instances put on them: neither is
// told, but each answer shows it, and each that does not come.
//
// Rules:
//
//	R1  The time to the first part of an answer, less what was expected when it was
//	    asked for, is the lag of the upstream. An attempt that ends before its answer
//	    begins has lagged by at least the time that it took: it raises a lag and never
//	    lowers one.
//	R2  An answer that is overdue is a lag of now, before it comes.
//	R3  A lag fades while nothing new is learned, so that what was slow is tried
//	    again.
//	R4  An answer confirms the weight version that the upstream is believed to have.
package medlarlag

import (
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
)

// gain is the weight of a new sample.
const gain = 0.4

// System learns lags.
type System struct{}

// New returns the system.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.Began:
			if r := running(w, e.Run, e.Attempt); r != nil {
				began(w, r, e)
			}
		case medlarworld.Ended:
			if r := running(w, e.Run, e.Attempt); r != nil && r.Silent() {
				ended(w, r)
			}
		}
	}
}

// running returns the run of an attempt that is under way, or nil.
func running(w *medlarworld.World, id medlarid.RequestID, attempt int) *medlarworld.Run {
	r := w.Runs[id]
	if r == nil || r.Attempt != attempt || r.Upstream == nil {
		return nil
	}
	return r
}

// began takes over the begin of an answer (R1, R4).
func began(w *medlarworld.World, r *medlarworld.Run, e medlarworld.Began) {
	if e.Version == r.Upstream.Version {
		r.Upstream.Answered = w.Now
	}
	r.Upstream.Lag.Observe(w.Now, gain, late(r, e.After))
}

// ended takes over the end of an attempt whose answer has not begun (R1).
func ended(w *medlarworld.World, r *medlarworld.Run) {
	if least := late(r, w.Now.Sub(r.Begun)); least > r.Upstream.Lag.At(w.Now) {
		r.Upstream.Lag.Observe(w.Now, gain, least)
	}
}

// late returns the seconds by which a time until the first part of an answer is longer
// than expected.
func late(r *medlarworld.Run, took time.Duration) float64 {
	return max(took-r.Expected, 0).Seconds()
}

// Estimate returns the seconds by which an upstream is taken to answer later than expected
// (R2).
func Estimate(w *medlarworld.World, u *medlarworld.Upstream) float64 {
	return max(u.Lag.At(w.Now), u.Backlog.Overdue(w.Now).Seconds())
}

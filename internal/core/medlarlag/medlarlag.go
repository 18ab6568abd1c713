// Package medlarlag estimates how much later than expected upstreams answer. It detects
// replicas that become slow, and load that other instances put on them: neither is
// reported, but both show in the delay of each answer and in answers that do not come.
//
// Rules:
//
//	R1  A sample of an upstream's lag is the time to the first part of an answer, less
//	    the time that was expected when the attempt started. An attempt that ends
//	    before its answer begins has lagged by at least the time that it took: it can
//	    raise the lag, but never lowers it.
//	R2  An overdue answer counts as lag at once, before it arrives.
//	R3  A lag decays while there are no new samples, so that an upstream that was slow
//	    is tried again.
//	R4  An answer confirms the weight version that the upstream is believed to have.
package medlarlag

import (
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// gain is the weight of a new sample.
const gain = 0.4

// System updates the lags of upstreams.
type System struct{}

// New returns the system.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.AnswerBegan:
			if r := currentRun(w, e.Run, e.Attempt); r != nil {
				onBegan(w, r, e)
			}
		case medlarworld.AttemptEnded:
			if r := currentRun(w, e.Run, e.Attempt); r != nil && r.AwaitingAnswer() {
				onEnded(w, r)
			}
		}
	}
}

// currentRun returns the run if the attempt is its current one and has an upstream, or
// nil.
func currentRun(w *medlarworld.World, id medlarid.RequestID, attempt int) *medlarworld.Run {
	r := w.Runs[id]
	if r == nil || r.Attempt != attempt || r.Upstream == nil {
		return nil
	}
	return r
}

// onBegan handles the first part of an answer (R1, R4).
func onBegan(w *medlarworld.World, r *medlarworld.Run, e medlarworld.AnswerBegan) {
	if u := r.Upstream; e.Version == u.Version && r.AttemptStarted.After(u.ConfirmedAt) {
		u.ConfirmedAt = r.AttemptStarted // the answer may have been held up since
	}
	r.Upstream.Lag.Observe(w.Now, gain, excess(r, e.After))
}

// onEnded handles the end of an attempt whose answer has not begun (R1).
func onEnded(w *medlarworld.World, r *medlarworld.Run) {
	if least := excess(r, w.Now.Sub(r.AttemptStarted)); least > r.Upstream.Lag.At(w.Now) {
		r.Upstream.Lag.Observe(w.Now, gain, least)
	}
}

// excess returns the seconds by which the time to the first part of an answer exceeds
// the expected time; 0 if it does not.
func excess(r *medlarworld.Run, took time.Duration) float64 {
	return max(took-r.ExpectedTTFT, 0).Seconds()
}

// Estimate returns the seconds by which an upstream is estimated to answer later than
// expected (R2).
func Estimate(w *medlarworld.World, u *medlarupstream.Upstream) float64 {
	return max(u.Lag.At(w.Now), u.Backlog.Overdue(w.Now).Seconds())
}

// Package medlarwindow limits the work that waits inside replicas, to withstand
// overload: prompts that wait inside a replica lose the parts that were fetched for them
// to other waiting prompts, so that everything is read again; and a prompt that can still
// be answered in time cannot overtake prompts that already wait there.
//
// Rules:
//
//	R1  The work of an attempt is the number of prompt tokens to compute, plus a share
//	    of those that are cached or fetched. It is pending until the first part of the
//	    answer.
//	R2  An attempt starts only if the replica's pending work, from this instance and in
//	    its priority class and more urgent ones, stays within the window of the class,
//	    or if there is none. Less urgent work does not count, because replicas serve it
//	    later.
//	R3  An answer that begins about when expected grows the window by a share of its
//	    work. One that begins late shrinks it, at most once per shrinkInterval. Lateness
//	    is measured as a share of the time within which an answer is in time. All
//	    instances adjust their windows by what they observe, and so share a replica
//	    without exchanging messages.
//	R4  R2 and R3 also apply to the pending work at all replicas of a target together,
//	    for large fleets: an instance sees an answer of one replica among many only
//	    every few seconds, too rarely to adjust that replica's window in time. A single
//	    late answer says little about the whole target, so shrinking takes more
//	    lateness and is by less.
package medlarwindow

import (
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbacklog"
	"medlarfield/internal/core/medlarchoice"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of R1 and R3.
const (
	knownShare     = 0.25 // of cached or fetched tokens that count as work
	shrinkInterval = 150 * time.Millisecond

	defaultTarget = 300 * time.Millisecond // time to the first part, for a run without a target
)

// limits are the parameters by which a window is adjusted (R3).
type limits struct {
	initial, lowest, highest float64 // tokens; initial applies until the first adjustment
	growBelow                float64 // lateness, as a share of the target, below which the window grows
	shrinkAbove              float64 // lateness, as a share of the target, above which it shrinks
	growShare                float64 // of the work, that is added
	shrinkFactor             float64
}

var (
	replicaLimits = limits{initial: 16000, lowest: 3000, highest: 64000, growBelow: 0.15, shrinkAbove: 0.35, growShare: 0.15, shrinkFactor: 0.75}
	targetLimits  = limits{initial: 64000, lowest: 10000, highest: 512000, growBelow: 0.4, shrinkAbove: 0.8, growShare: 0.2, shrinkFactor: 0.92} // R4
)

// System adjusts windows.
type System struct{}

// New returns the system.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		if e, ok := e.(medlarworld.AnswerBegan); ok {
			onBegan(w, e)
		}
	}
}

// onBegan removes an attempt from the backlogs and adjusts their windows (R3, R4).
func onBegan(w *medlarworld.World, e medlarworld.AnswerBegan) {
	r := w.Runs[e.Run]
	if r == nil || r.Attempt != e.Attempt || !r.AwaitingAnswer() {
		return
	}
	w.RemoveFromBacklogs(r)
	target := r.TargetTTFT
	if target == 0 {
		target = defaultTarget
	}
	lateness := float64(e.After-r.IdleTTFT) / float64(target)
	computed := float64(r.ComputedTokens)
	replicaLimits.adjust(w.Now, &r.Upstream.Backlog.Queues[r.Class()], lateness, computed)
	targetLimits.adjust(w.Now, &w.Backlog(r.Target()).Queues[r.Class()], lateness, computed)
}

// adjust adjusts a window after an answer began. lateness is its delay as a share of its
// target.
func (l *limits) adjust(now time.Time, q *medlarbacklog.Queue, lateness, computed float64) {
	switch {
	case lateness < l.growBelow:
		q.Window = min(l.window(q)+l.growShare*computed, l.highest)
	case lateness > l.shrinkAbove && now.Sub(q.LastShrunk) > shrinkInterval:
		q.Window = max(l.window(q)*l.shrinkFactor, l.lowest)
		q.LastShrunk = now
	}
}

// window returns the window of a class, in tokens.
func (l *limits) window(q *medlarbacklog.Queue) float64 {
	if q.Window == 0 {
		return l.initial
	}
	return q.Window
}

// fits reports whether work of a class fits into a backlog (R2).
func (l *limits) fits(b *medlarbacklog.Backlog, class int, work float64) bool {
	pending := b.Pending(class)
	return pending <= 0 || pending+work <= l.window(&b.Queues[class])
}

// Fits reports whether an attempt of a run may start at a replica (R2, R4). known is the
// number of prompt tokens that are cached or can be fetched.
func Fits(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream, known medlarid.Tokens) bool {
	n := work(r, known)
	return replicaLimits.fits(&u.Backlog, r.Class(), n) && targetLimits.fits(w.Backlog(r.Target()), r.Class(), n)
}

// AddAttempt adds an attempt of a run that has just started to the backlogs (R1). idle
// is the time to the first part of its answer on an idle replica.
func AddAttempt(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream, known medlarid.Tokens, idle time.Duration) {
	r.ComputedTokens, r.IdleTTFT = r.PromptTokens-known, idle
	a := medlarbacklog.Attempt{Run: r.ID, Class: r.Class(), Work: work(r, known), Due: r.AttemptStarted.Add(r.ExpectedTTFT)}
	u.Backlog.Add(a)
	w.Backlog(r.Target()).Add(a)
}

// work returns the work of an attempt of a run, in tokens (R1).
func work(r *medlarworld.Run, known medlarid.Tokens) float64 {
	return float64(max(r.PromptTokens-known, 0)) + knownShare*float64(known) + 1
}

// Explain records in why the pending work and the windows that a run met at a replica,
// and at all replicas of its target.
func Explain(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream, why *medlarchoice.Decision) {
	c, all := r.Class(), w.Backlog(r.Target())
	why.Pending, why.Window = u.Backlog.Pending(c), replicaLimits.window(&u.Backlog.Queues[c])
	why.TotalPending, why.TotalWindow = all.Pending(c), targetLimits.window(&all.Queues[c])
}

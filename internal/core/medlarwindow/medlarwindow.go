// Package medlarwindow bounds the work that waits inside replicas. It answers
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
//	R4  R2 and R3 hold also for the waiting work at all replicas of a target together.
//	    It answers large fleets: of one replica among many an instance sees an answer
//	    every few seconds, which teaches it nothing in time. There a single late answer
//	    tells little, so that more lateness narrows it, and by less.
package medlarwindow

import (
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbacklog"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of work (R1).
const (
	knownShare = 0.25 // of known tokens that count as work
	settle     = 150 * time.Millisecond

	defaultTarget = 300 * time.Millisecond // of a run that has none
)

// limits are how a window moves (R3).
type limits struct {
	first, least, most float64 // tokens; first holds before anything was learned
	inTime             float64 // of the target, later than expected, and still widening
	late               float64 // of the target, later than expected, and narrowing
	widen              float64 // of the work
	narrow             float64
}

var (
	ofReplica = limits{first: 16000, least: 3000, most: 64000, inTime: 0.15, late: 0.35, widen: 0.15, narrow: 0.75}
	ofTarget  = limits{first: 64000, least: 10000, most: 512000, inTime: 0.4, late: 0.8, widen: 0.2, narrow: 0.92} // R4
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

// begin takes the work of an attempt off the backlogs and adjusts their windows (R3,
// R4).
func begin(w *medlarworld.World, e medlarworld.Began) {
	r := w.Runs[e.Run]
	if r == nil || r.Attempt != e.Attempt || !r.Silent() {
		return
	}
	w.Begin(r)
	target := r.Goal
	if target == 0 {
		target = defaultTarget
	}
	over := float64(e.After-r.Idle) / float64(target)
	computed := float64(r.Computed)
	ofReplica.adjust(w.Now, &r.Upstream.Backlog.Queues[r.Class()], over, computed)
	ofTarget.adjust(w.Now, &w.Backlog(r.Target()).Queues[r.Class()], over, computed)
}

// adjust moves a window by an answer that began late by over, in shares of its target.
func (l *limits) adjust(now time.Time, q *medlarbacklog.Queue, over, computed float64) {
	switch {
	case over < l.inTime:
		q.Window = min(l.window(q)+l.widen*computed, l.most)
	case over > l.late && now.Sub(q.LastShrunk) > settle:
		q.Window = max(l.window(q)*l.narrow, l.least)
		q.LastShrunk = now
	}
}

// window returns the window of a class, in tokens.
func (l *limits) window(q *medlarbacklog.Queue) float64 {
	if q.Window == 0 {
		return l.first
	}
	return q.Window
}

// fits reports whether work of a class fits into a backlog (R2).
func (l *limits) fits(b *medlarbacklog.Backlog, class int, work float64) bool {
	waits := b.Pending(class)
	return waits <= 0 || waits+work <= l.window(&b.Queues[class])
}

// Fits reports whether an attempt of a run may start at a replica (R2, R4).
func Fits(w *medlarworld.World, r *medlarworld.Run, u *medlarworld.Upstream, known medlarid.Tokens) bool {
	n := work(r, known)
	return ofReplica.fits(&u.Backlog, r.Class(), n) && ofTarget.fits(w.Backlog(r.Target()), r.Class(), n)
}

// AddAttempt counts the work of an attempt of a run that has just started (R1). idle is the
// time to the first part of its answer on an idle replica.
func AddAttempt(w *medlarworld.World, r *medlarworld.Run, u *medlarworld.Upstream, known medlarid.Tokens, idle time.Duration) {
	r.Computed, r.Idle = r.Prompt-known, idle
	a := medlarbacklog.Attempt{Run: r.ID, Class: r.Class(), Work: work(r, known), Due: r.Begun.Add(r.Expected)}
	u.Backlog.Add(a)
	w.Backlog(r.Target()).Add(a)
}

func work(r *medlarworld.Run, known medlarid.Tokens) float64 {
	return float64(max(r.Prompt-known, 0)) + knownShare*float64(known) + 1
}

// Explain notes in why what a run found before it at a replica, and at all.
func Explain(w *medlarworld.World, r *medlarworld.Run, u *medlarworld.Upstream, why *medlarworld.Why) {
	c, all := r.Class(), w.Backlog(r.Target())
	why.Pending, why.Window = u.Backlog.Pending(c), ofReplica.window(&u.Backlog.Queues[c])
	why.All, why.AllWindow = all.Pending(c), ofTarget.window(&all.Queues[c])
}

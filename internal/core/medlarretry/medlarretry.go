// Package medlarretry handles the ends of attempts: it retries or finishes runs, and
// ejects upstreams that fail.
//
// Rules:
//
//	R1  An attempt is retried only if the run may be repeated, or if the attempt
//	    never reached an upstream.
//	R2  Retries are limited by the maximum number of attempts, by the deadline, and by
//	    a retry budget that is a ratio of the requests for the same target. Where a run
//	    has a limit of its own, attempts that certainly did not run are counted
//	    separately. An attempt that sent nothing costs no part of the budget, which bounds
//	    the load that repeats add to upstreams: the next attempt is the first that reaches an upstream.
//	R3  An untried upstream is preferred; a random pause spreads the retries of many
//	    runs.
//	R4  An upstream with several consecutive failures, one that cannot be connected
//	    to, or one that has crashed, as this instance finds or another one reports, is
//	    ejected for a time that doubles, unless half of the upstreams of its target
//	    are already ejected.
//	R5  Lack of capacity is no failure of the upstream. Neither is an attempt that was withdrawn.
//	R6  An upstream whose address belongs to another instance now is ejected however
//	    many are left of its target: nothing sent to that address reaches it.
//	R7  A run that may crash the next upstream, too, is not retried.
//	R8  An instance that is about to end retries nothing.
package medlarretry

import (
	"slices"
	"time"

	"medlarfield/internal/core/medlarbudget"
	"medlarfield/internal/core/medlarcrash"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlaroffload"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of retries and ejection.
const (
	maxUnreachedAttempts = 3 // attempts that did not run, for a run with a limit of its own
	// misdirectedEjection is longer than the instance list still names a replica that was removed.
	misdirectedEjection = 5 * time.Second
	busyBackoff         = 300 * time.Millisecond // an engine that refused a run is avoided for this time
	maxPause            = 20 * time.Millisecond
	failuresToEject     = 3
	baseEjection        = 500 * time.Millisecond
	maxEjection         = 30 * time.Second
	maxEjectedShare     = 0.5
	retryAfter          = time.Second
)

// defaultBudget applies to a deployment that sets none.
var defaultBudget = medlarbudget.Retries{Ratio: 0.1, Max: 50, Initial: 10}

// System handles the ends of attempts.
type System struct{}

// New returns a System.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.Submitted:
			b := budgetOf(w)
			t := e.Run.Target()
			w.RetryTokens[t] = min(tokensLeft(w, t)+b.Ratio, b.Max)
		case medlarworld.AttemptEnded:
			attemptEnded(w, e)
		case medlarworld.ClaimDenied:
			claimDenied(w, e)
		case medlarworld.UpstreamProbed:
			if e.Down {
				crashed(w, e.Crash)
			}
		case medlarworld.CrashReported:
			// Of a crash that was reported before, the replica may be back.
			if id := e.Report.Crash; !e.Report.Earlier && w.Suspects.Identify(id.Replica, id.Incarnation, w.Now) == id {
				crashed(w, id)
			}
		}
	}
}

// crashed ejects an upstream that has crashed, unless it has started anew since (R4). The instance list goes on naming
// it for a while.
func crashed(w *medlarworld.World, id medlarsuspect.CrashID) {
	if u := w.Upstreams[id.Replica]; u != nil && u.Incarnation == id.Incarnation {
		u.Failures = max(u.Failures, failuresToEject-1)
		recordFailure(w, u)
	}
}

func budgetOf(w *medlarworld.World) medlarbudget.Retries {
	if w.Config.RetryBudget == (medlarbudget.Retries{}) {
		return defaultBudget
	}
	return w.Config.RetryBudget
}

// tokensLeft returns the retry tokens that are left for a target.
func tokensLeft(w *medlarworld.World, t medlarupstream.Target) float64 {
	if n, ok := w.RetryTokens[t]; ok {
		return n
	}
	return budgetOf(w).Initial
}

func attemptEnded(w *medlarworld.World, e medlarworld.AttemptEnded) {
	r := w.Runs[e.Run]
	if r == nil || r.Phase != medlarkind.PhaseRunning || r.Attempt != e.Attempt {
		return
	}
	u := r.Upstream
	w.Release(r)
	r.Reached = r.Reached || e.Reached
	if e.Reached {
		r.AttemptsReached++
	}
	if e.Version != "" {
		r.PinnedVersion = e.Version
	}
	switch e.Cause {
	case medlarkind.CauseDone:
		r.Complete = true
		recordSuccess(w, u)
		medlaroffload.Export(w, r, u)
		w.Finish(r)
	case medlarkind.CauseAnswered:
		recordSuccess(w, u)
		w.Finish(r)
	case medlarkind.CauseCallerLeft:
		w.Finish(r)
	case medlarkind.CauseUnknown:
		recordFailure(w, u)
		w.Refuse(r, medlarreason.Unknown, 0)
	case medlarkind.CauseRetry:
		if e.Reason == medlarreason.Busy && u.Kind == medlarkind.KindEngine {
			u.SwapUntil = w.Now.Add(busyBackoff) // loading weights, or full
		}
		if e.Reason == medlarreason.Misdirected {
			u.EjectedUntil = w.Now.Add(misdirectedEjection)
			w.Emit(medlarworld.Ejected{Upstream: u.ID})
		}
		if e.Reason == medlarreason.Unreachable {
			u.Failures = max(u.Failures, failuresToEject-1)
		}
		if countsAsFailure(e.Reason) {
			recordFailure(w, u)
		}
		retry(w, r, e.Reason, costOf(e.Reason, e.Reached))
	}
}

// countsAsFailure reports whether the reason of a retry counts as a failure of the
// upstream (R5).
func countsAsFailure(r medlarreason.Reason) bool {
	switch r {
	case medlarreason.Busy, medlarreason.Paused, medlarreason.Version, medlarreason.Misdirected, medlarreason.Outdated:
		return false
	}
	return true
}

// retry enqueues a run for its next attempt, which costs some retry tokens, or refuses it (R1, R2).
func retry(w *medlarworld.World, r *medlarworld.Run, reason medlarreason.Reason, cost float64) {
	r.LastFailure = reason
	if why := refusalReason(w, r, cost); why != "" {
		w.Refuse(r, why, retryAfter)
		return
	}
	w.RetryTokens[r.Target()] = tokensLeft(w, r.Target()) - cost
	w.Emit(medlarworld.Retried{Reason: reason})
	r.NotBefore = w.Now.Add(time.Duration(w.Rand.Int64N(int64(maxPause)))) // R3
	medlaroffload.Enqueue(w, r)
}

// refusalReason returns why a run gets no further attempt, which would cost some retry tokens, or an empty reason.
func refusalReason(w *medlarworld.World, r *medlarworld.Run, cost float64) medlarreason.Reason {
	switch {
	case r.AtMostOnce && r.Reached:
		return medlarreason.Unknown // R1
	case medlarcrash.MustStop(w, r):
		return failedOr(r, medlarreason.Crashing) // R7
	case w.Ending:
		return failedOr(r, medlarreason.Draining) // R8
	case w.AllEvacuated(r.Target()):
		return failedOr(r, medlarreason.Evacuated)
	case w.Now.After(r.Deadline):
		return failedOr(r, medlarreason.Deadline)
	case attemptsExhausted(w, r), cost > 0 && tokensLeft(w, r.Target()) < 1:
		return failedOr(r, medlarreason.Capacity)
	}
	return ""
}

// costOf returns the retry tokens that the attempt after one that ended for a reason costs (R2).
func costOf(reason medlarreason.Reason, reached bool) float64 {
	if !reached && (reason == medlarreason.Unreachable || reason == medlarreason.Paused) {
		return 0
	}
	return 1
}

// attemptsExhausted reports whether a run has used up its attempts.
func attemptsExhausted(w *medlarworld.World, r *medlarworld.Run) bool {
	if r.MaxAttempts == 0 {
		return r.Attempt >= w.Config.MaxAttempts
	}
	return r.AttemptsReached >= r.MaxAttempts || r.Attempt-r.AttemptsReached >= maxUnreachedAttempts
}

// failedOr returns Failed for a run that reached an upstream, and otherwise the given
// reason, which states that it did not run.
func failedOr(r *medlarworld.Run, unreached medlarreason.Reason) medlarreason.Reason {
	if r.Reached {
		return medlarreason.Failed
	}
	return unreached
}

func claimDenied(w *medlarworld.World, e medlarworld.ClaimDenied) {
	r := w.Runs[e.Run]
	if r == nil || r.Phase != medlarkind.PhaseClaiming {
		return
	}
	w.Refuse(r, e.Reason, retryAfter)
}

func recordSuccess(w *medlarworld.World, u *medlarupstream.Upstream) {
	u.Failures = 0
	if u.Ejections > 0 && !w.Now.Before(u.EjectedUntil) {
		u.Ejections = 0
		w.Emit(medlarworld.Ejected{Upstream: u.ID, Readmitted: true})
	}
}

// recordFailure counts a failure and ejects the upstream after several (R4).
func recordFailure(w *medlarworld.World, u *medlarupstream.Upstream) {
	u.Failures++
	if u.Failures < failuresToEject && u.Ejections == 0 || w.Now.Before(u.EjectedUntil) || !mayEject(w, u) {
		return
	}
	u.EjectedUntil = w.Now.Add(min(baseEjection<<min(u.Ejections, 16), maxEjection))
	u.Ejections++
	u.Failures = 0
	w.Emit(medlarworld.Ejected{Upstream: u.ID})
}

func mayEject(w *medlarworld.World, u *medlarupstream.Upstream) bool {
	upstreams := w.UpstreamsFor(u.Target())
	ejected := 0
	for _, k := range upstreams {
		if w.Now.Before(k.EjectedUntil) {
			ejected++
		}
	}
	return slices.Contains(upstreams, u) && float64(ejected+1) <= maxEjectedShare*float64(len(upstreams))
}

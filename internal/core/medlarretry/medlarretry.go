// Package medlarretry decides what happens when an attempt has ended.
//
// Rules:
//
//	R1  An attempt is repeated only if the run may be repeated, or if the attempt
//	    never reached an upstream.
//	R2  It is repeated within the bound on attempts, within the deadline, and within
//	    a retry budget that is a share of the requests for the same target. Where a
//	    run has a bound of its own, attempts that surely did not run count apart.
//	R3  Another upstream comes first; a pause with jitter keeps retries of many
//	    runs apart.
//	R4  An upstream with several failures in a row, or one to which there is no
//	    connection, is ejected for a time that doubles, unless half of its kind is
//	    ejected already.
//	R5  Lack of room is no failure of the upstream.
//	R6  An upstream whose address has another one is ejected whatever is left of its
//	    kind: nothing sent there reaches it.
package medlarretry

import (
	"slices"
	"time"

	"medlarfield/internal/core/medlaroffload"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of retries and ejection.
const (
	unreachedMax = 3 // attempts that did not run, of a run with its own bound
	// misdirectedTime is longer than a list goes on to name a replica that is gone.
	misdirectedTime = 5 * time.Second
	busyTime        = 300 * time.Millisecond // for which an engine that refused is spared
	pauseMax        = 20 * time.Millisecond
	ejectFailures   = 3
	ejectTime       = 500 * time.Millisecond
	ejectTimeMax    = 30 * time.Second
	maxEjectedPart  = 0.5
	retryAfter      = time.Second
)

// defaultBudget holds for a deployment that sets none.
var defaultBudget = medlarworld.RetryBudget{Ratio: 0.1, Max: 50, Initial: 10}

// System handles the ends of attempts.
type System struct{}

// New returns the system.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.Submitted:
			b := budgetOf(w)
			t := e.Run.Target()
			w.RetryTokens[t] = min(left(w, t)+b.Ratio, b.Max)
		case medlarworld.AttemptEnded:
			end(w, e)
		case medlarworld.ClaimDenied:
			unclaimed(w, e)
		}
	}
}

func budgetOf(w *medlarworld.World) medlarworld.RetryBudget {
	if w.Config.RetryBudget == (medlarworld.RetryBudget{}) {
		return defaultBudget
	}
	return w.Config.RetryBudget
}

// left returns the repeated attempts that may still be made of a target.
func left(w *medlarworld.World, t medlarworld.Target) float64 {
	if n, ok := w.RetryTokens[t]; ok {
		return n
	}
	return budgetOf(w).Initial
}

func end(w *medlarworld.World, e medlarworld.AttemptEnded) {
	r := w.Runs[e.Run]
	if r == nil || r.Phase != medlarworld.PhaseRunning || r.Attempt != e.Attempt {
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
	case medlarworld.CauseDone:
		succeed(w, u)
		medlaroffload.Export(w, r, u)
		w.Finish(r)
	case medlarworld.CauseUpstreamError:
		succeed(w, u)
		w.Finish(r)
	case medlarworld.CauseCallerLeft:
		w.Finish(r)
	case medlarworld.CauseUnknown:
		fail(w, u)
		w.Refuse(r, medlarreason.Unknown, 0)
	case medlarworld.CauseRetry:
		if e.Reason == medlarreason.Busy && u.Kind == medlarworld.KindEngine {
			u.SwapUntil = w.Now.Add(busyTime) // loading, or full
		}
		if e.Reason == medlarreason.Misdirected {
			u.EjectedUntil = w.Now.Add(misdirectedTime)
			w.Emit(medlarworld.Ejected{Upstream: u.ID})
		}
		if e.Reason == medlarreason.Unreachable {
			u.Failures = max(u.Failures, ejectFailures-1)
		}
		if countsAsFailure(e.Reason) {
			fail(w, u)
		}
		retry(w, r, e.Reason)
	}
}

// countsAsFailure reports whether the reason of a repeated attempt speaks against
// its upstream (R5).
func countsAsFailure(r medlarreason.Reason) bool {
	return r != medlarreason.Busy && r != medlarreason.Version && r != medlarreason.Misdirected
}

// retry lets a run wait for its next attempt, or refuses it (R1, R2).
func retry(w *medlarworld.World, r *medlarworld.Run, reason medlarreason.Reason) {
	r.LastFailure = reason
	if why := refusal(w, r); why != "" {
		w.Refuse(r, why, retryAfter)
		return
	}
	w.RetryTokens[r.Target()] = left(w, r.Target()) - 1
	w.Emit(medlarworld.Retried{Reason: reason})
	r.NotBefore = w.Now.Add(time.Duration(w.Rand.Int64N(int64(pauseMax)))) // R3
	medlaroffload.Enqueue(w, r)
}

// refusal returns why a run is not repeated, or an empty reason.
func refusal(w *medlarworld.World, r *medlarworld.Run) medlarreason.Reason {
	switch {
	case r.AtMostOnce && r.Reached:
		return medlarreason.Unknown // R1
	case w.Now.After(r.Deadline):
		return failure(r, medlarreason.Deadline)
	case spent(w, r), left(w, r.Target()) < 1:
		return failure(r, medlarreason.Capacity)
	}
	return ""
}

// spent reports whether a run has used its attempts.
func spent(w *medlarworld.World, r *medlarworld.Run) bool {
	if r.MaxAttempts == 0 {
		return r.Attempt >= w.Config.MaxAttempts
	}
	return r.AttemptsReached >= r.MaxAttempts || r.Attempt-r.AttemptsReached >= unreachedMax
}

// failure returns Failed for a run that reached an upstream, and otherwise the
// reason that says that it did not run.
func failure(r *medlarworld.Run, unreached medlarreason.Reason) medlarreason.Reason {
	if r.Reached {
		return medlarreason.Failed
	}
	return unreached
}

func unclaimed(w *medlarworld.World, e medlarworld.ClaimDenied) {
	r := w.Runs[e.Run]
	if r == nil || r.Phase != medlarworld.PhaseClaiming {
		return
	}
	w.Refuse(r, e.Reason, retryAfter)
}

func succeed(w *medlarworld.World, u *medlarworld.Upstream) {
	u.Failures = 0
	if u.Ejections > 0 && !w.Now.Before(u.EjectedUntil) {
		u.Ejections = 0
		w.Emit(medlarworld.Ejected{Upstream: u.ID, Readmitted: true})
	}
}

// fail counts a failure and ejects the upstream after several (R4).
func fail(w *medlarworld.World, u *medlarworld.Upstream) {
	u.Failures++
	if u.Failures < ejectFailures && u.Ejections == 0 || w.Now.Before(u.EjectedUntil) || !mayEject(w, u) {
		return
	}
	u.EjectedUntil = w.Now.Add(min(ejectTime<<min(u.Ejections, 16), ejectTimeMax))
	u.Ejections++
	u.Failures = 0
	w.Emit(medlarworld.Ejected{Upstream: u.ID})
}

func mayEject(w *medlarworld.World, u *medlarworld.Upstream) bool {
	kin := w.UpstreamsFor(u.Target())
	ejected := 0
	for _, k := range kin {
		if w.Now.Before(k.EjectedUntil) {
			ejected++
		}
	}
	return slices.Contains(kin, u) && float64(ejected+1) <= maxEjectedPart*float64(len(kin))
}

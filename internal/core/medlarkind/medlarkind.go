// Package medlarkind names the kinds and states that the tables and messages of the decision core share.
package medlarkind

// Kind is the kind of an upstream.
type Kind string

// Kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Weighting is the measure that a deployment optimizes routing for.
type Weighting string

// Weightings.
const (
	WeightingTTFT      Weighting = "first" // time to first token
	WeightingRecompute Weighting = "share" // share of the context that is recomputed
)

// Phase is the state of a run.
type Phase string

// Phases of a run.
const (
	PhaseNew      Phase = "new"
	PhaseLookup   Phase = "finding"  // stores are asked for its context
	PhaseWaiting  Phase = "waiting"  // queued for an upstream
	PhaseClaiming Phase = "claiming" // its only attempt is being claimed
	PhaseRunning  Phase = "running"
	PhaseDone     Phase = "done"
)

// Cause says how an attempt ended.
type Cause string

// Causes.
const (
	CauseDone  Cause = "done"  // the answer is complete
	CauseRetry Cause = "retry" // failed; Reason says why
	// CauseAnswered ends the run with an answer of the upstream that is passed on to
	// the caller: any answer of a plain service, or an error response that is not
	// retried. Unlike CauseDone, it exports no KV blocks.
	CauseAnswered   Cause = "answer"
	CauseCallerLeft Cause = "left"    // the caller went away
	CauseUnknown    Cause = "unknown" // an unrepeatable attempt failed after it was sent
)

// Package medlarrun makes the core's run of a client's request, from what the client sent and what
// the operators' configuration states of its route and account.
package medlarrun

import (
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbuild"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarcall"
)

// startMargin is the time reserved for a started attempt to send its first event within
// the target latency.
const startMargin = 80 * time.Millisecond

// Request is a client's request with its route and account.
type Request struct {
	Head    *medlarhead.Head
	Body    []byte
	Call    *medlarcall.Call
	Route   *medlarcatalog.Route
	Account medlarcatalog.Account
	Group   medlarkey.CacheGroup // of the account
	Arrived time.Time
	// Serving and Desired are the weight versions of the model that the request names.
	Serving, Desired medlarid.WeightVersion
}

// New returns the run of a request with an id, at a service.
func New(q *Request, id medlarid.RequestID, service medlarid.ServiceID) *medlarworld.Run {
	atMostOnce := !q.Route.Repeatable()
	r := &medlarworld.Run{
		ID:           id,
		Account:      q.Account.ID,
		Service:      service,
		Model:        q.Call.Model,
		AtMostOnce:   atMostOnce,
		Claimed:      atMostOnce, // no other instance can run the client's attempt
		PromptTokens: q.Call.PromptTokens,
		MaxAttempts:  q.Route.MaxAttempts,
		Priority:     q.priority(),
		Arrived:      q.Arrived,
		Deadline:     q.Arrived.Add(q.timeout()),
		Traits:       q.wholeTraits(),
	}
	r.Stream, r.Resumes = q.Stream()
	if q.Route.Kind == medlarcatalog.KindStream {
		r.TargetTTFT = q.Route.TargetLatency
		r.StartBy = q.Arrived.Add(q.Route.TargetLatency - startMargin)
		r.AbandonAt = q.Arrived.Add(q.Route.ClientStallTimeout)
	}
	if q.Call.Model != "" {
		q.setParts(r)
	}
	return r
}

// Stream returns what identifies the stream that the request begins or resumes; 0 for a stream that
// cannot be resumed, or one that the client resumes without naming it. resumes reports whether
// the client has the beginning of the stream.
func (q *Request) Stream() (k medlarbuild.Key, resumes bool) {
	if q.Route.Kind != medlarcatalog.KindStream || !q.Route.Resumable {
		return 0, false
	}
	resumes = q.Call.LastEventID != ""
	switch {
	case !resumes:
		return medlarbuild.KeyOf(q.Account.ID, q.Call.ID), false
	case q.Call.Resumes == "":
		return 0, true
	}
	return medlarbuild.KeyOf(q.Account.ID, q.Call.Resumes), true
}

// timeout returns the time until the deadline, the earlier of the client's and the route's.
func (q *Request) timeout() time.Duration {
	if q.Call.Timeout == 0 || q.Route.Timeout > 0 && q.Route.Timeout < q.Call.Timeout {
		return q.Route.Timeout
	}
	return q.Call.Timeout
}

func (q *Request) priority() medlarid.Priority {
	if q.Account.OverridesPriority {
		return medlarid.Priority(-q.Account.PriorityLevel)
	}
	return medlarid.Priority(-q.Route.PriorityLevel)
}

// wholeTraits returns the traits of the request as a whole.
func (q *Request) wholeTraits() []medlarsuspect.Trait {
	host, _ := q.Head.Get("Host")
	whole := medlarsuspect.Request{
		Method: q.Head.Method, Host: host, Target: q.Head.Target, Account: q.Account.ID, Prompt: q.Call.Prompt(), Body: q.Body,
	}
	return whole.Traits()
}

// setParts sets what the run has of the prompt's parts. All parts but the last may be shared with
// other prompts, so the part before the last determines the home key.
func (q *Request) setParts(r *medlarworld.Run) {
	r.Version, r.Keys = q.Serving, q.partKeys(q.Serving)
	if q.Desired != q.Serving {
		r.DesiredVersion, r.DesiredKeys = q.Desired, q.partKeys(q.Desired)
	}
	r.KeyTokens = make([]medlarid.Tokens, len(q.Call.Parts))
	for i, p := range q.Call.Parts {
		r.KeyTokens[i] = p.Tokens
	}
	if n := len(q.Call.Parts); n > 0 {
		r.HomeKey = medlarkey.Part("", q.Call.Model, q.Call.Parts[max(n-2, 0)].ID)
	}
	r.Traits = append(q.Call.SharedParts(), r.Traits...)
}

// partKeys returns the keys of the prompt's parts for a weight version.
func (q *Request) partKeys(v medlarid.WeightVersion) []medlarkey.Key {
	return q.Call.PartKeys(medlarkey.NewCacheSalt(v, q.Group))
}

// patienceTargets is the number of target latencies after which an attempt is abandoned that may get no answer.
const patienceTargets = 4

// Patience returns when an attempt is abandoned that may get no answer; started is its start, and deadline that of
// its request.
func Patience(r *medlarcatalog.Route, started, deadline time.Time) time.Time {
	if r.TargetLatency <= 0 {
		return deadline
	}
	return Earlier(started.Add(patienceTargets*r.TargetLatency), deadline)
}

// AttemptEnd returns the deadline of an attempt with a number from 1 on. The first attempt of a request that can be
// retried ends earlier, so that a replica that hangs is abandoned while another one can still respond in time.
func AttemptEnd(r *medlarcatalog.Route, number int, started, deadline time.Time) time.Time {
	if r.Kind == medlarcatalog.KindIdempotent && r.MaxAttempts > 1 && number == 1 {
		return Patience(r, started, deadline)
	}
	return deadline
}

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

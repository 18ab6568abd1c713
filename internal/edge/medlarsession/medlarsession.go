// Package medlarsession carries out the attempts of one request: it executes the
// commands of the core and reports the results to it.
//
// Rules:
//
//	R1  The parts of an answer are delivered in order and exactly once across
//	    attempts; an attempt after the first resumes after the last part delivered.
//	R2  An answer that has begun continues only under the weight version that it
//	    began under.
//	R3  Imported blocks are used only after the engine has reported that it read
//	    exactly the blocks requested; an import that is late is discarded.
//	R4  A non-repeatable request is sent only with a granted claim and on a
//	    dedicated connection; its outcome is recorded.
//	R5  If the caller disconnects, the attempt is canceled, unless the request is
//	    non-repeatable: then the attempt continues, so that its outcome is recorded.
package medlarsession

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"medlarfield/internal/agree/medlarclaim"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarservice"
)

const (
	probeInterval = 250 * time.Millisecond // between checks whether the caller has disconnected
	claimTimeout  = 3 * time.Second
)

// chunkBuffer is the number of chunks that are buffered for a slow caller.
const chunkBuffer = 32

// Deps are the functions and clients of the instance that a session uses.
type Deps struct {
	Post     func(medlarworld.Event)
	Engines  *medlarengine.Client
	Services *medlarservice.Client
	Claimer  *medlarclaim.Claimer
	// StoreAddress returns the address of a store.
	StoreAddress func(medlarid.InstanceID) medlarid.Address
	// BytesMoved counts the bytes of KV blocks that were transferred.
	BytesMoved func(direction string, n medlarid.Bytes)
}

// Refusal ends a request without a complete answer.
type Refusal struct {
	Reason     medlarreason.Reason
	Ran        medlarreason.Ran
	RetryAfter time.Duration
}

// Update is the next update on a request for its caller.
type Update struct {
	Texts        []string
	Complete     bool // the answer is complete
	FinishReason string
	Usage        medlarengine.Usage
	Version      medlarid.WeightVersion
	Refusal      *Refusal
	CallerGone   bool // the caller has disconnected
	Idle         bool // no update within probeInterval
	Service      *medlarservice.Response
	Replay       *medlarclaim.Outcome // the recorded answer of an earlier attempt
}

// Prompt is the part of an engine request that is the same for every attempt.
type Prompt struct {
	Account   medlarid.AccountID
	Model     medlarid.ModelID
	Adapter   medlarid.AdapterID
	Text      string
	MaxTokens medlarid.Tokens

	Sampling medlarengine.Sampling
}

// Session carries out one request. It is for use by a single goroutine.
type Session struct {
	deps     Deps
	run      medlarid.RequestID
	commands <-chan medlarworld.Command
	prompt   Prompt
	service  *medlarservice.Request
	claim    *medlarclaim.Request
	deadline time.Time

	grant     *medlarclaim.Grant
	delivered int             // number of parts that the caller has received
	text      strings.Builder // text of these parts
	version   medlarid.WeightVersion
	attempt   *attempt
}

// attempt is one attempt at an upstream.
type attempt struct {
	start  medlarworld.StartAttempt
	chunks chan result
	quit   chan struct{}
}

// result is what the goroutine of an attempt reports.
type result struct {
	chunk   medlarengine.Chunk
	answer  *medlarservice.Response
	err     error
	reached bool // if err is set: the upstream may have executed the request
}

// Params are the parameters of a session.
type Params struct {
	Run      medlarid.RequestID
	Commands <-chan medlarworld.Command
	Prompt   Prompt                 // for a model request
	Service  *medlarservice.Request // for a service request
	Claim    *medlarclaim.Request   // for a non-repeatable request
	Deadline time.Time
}

// New returns a session for a request that has been submitted to the core.
func New(d Deps, p Params) *Session {
	return &Session{
		deps:     d,
		run:      p.Run,
		commands: p.Commands,
		prompt:   p.Prompt,
		service:  p.Service,
		claim:    p.Claim,
		deadline: p.Deadline,
	}
}

// Next returns the next update. gone reports whether the caller has disconnected;
// Next calls it if there is no update within probeInterval, unless the request is
// non-repeatable.
func (s *Session) Next(gone func() bool) Update {
	probe := time.NewTimer(probeInterval)
	defer probe.Stop()
	for {
		var chunks chan result
		if s.attempt != nil {
			chunks = s.attempt.chunks
		}
		select {
		case r := <-chunks:
			if u, ok := s.handleResult(r); ok {
				return u
			}
		case c := <-s.commands:
			if u, ok := s.execute(c); ok {
				return u
			}
		case <-probe.C:
			if s.claim == nil && gone() {
				s.Abandon()
				return Update{CallerGone: true}
			}
			return Update{Idle: true}
		}
	}
}

// Abandon ends the session because the caller has disconnected (R5).
func (s *Session) Abandon() {
	if s.attempt == nil {
		s.deps.Post(medlarworld.CallerLeft{Run: s.run})
		return
	}
	a := s.attempt
	s.stop()
	go s.cancel(a.start)
	s.deps.Post(medlarworld.AttemptEnded{Run: s.run, Attempt: a.start.Attempt, Cause: medlarkind.CauseCallerLeft, Reached: true})
}

// stop detaches the goroutine of the attempt, which then ends by itself.
func (s *Session) stop() {
	if s.attempt != nil {
		close(s.attempt.quit)
		s.attempt = nil
	}
}

func (s *Session) cancel(c medlarworld.StartAttempt) {
	if s.service == nil {
		_ = s.deps.Engines.Cancel(c.Address, attemptID(s.run, c.Attempt))
	}
}

// execute executes a command of the core; ok is false if there is no update for
// the caller.
func (s *Session) execute(c medlarworld.Command) (u Update, ok bool) {
	switch c := c.(type) {
	case medlarworld.StartAttempt:
		s.startAttempt(c)
	case medlarworld.Claim:
		return s.claimAttempt()
	case medlarworld.Refuse:
		if s.grant != nil && c.Ran == medlarreason.RanUnknown {
			s.deps.Claimer.RecordUnknown(*s.grant)
			s.grant = nil
		}
		s.voidClaim()
		return Update{Refusal: &Refusal{Reason: c.Reason, Ran: c.Ran, RetryAfter: c.RetryAfter}}, true
	}
	return Update{}, false
}

// voidClaim voids the claim of an attempt that was not made (R4).
func (s *Session) voidClaim() {
	if s.grant != nil {
		s.deps.Claimer.Void(*s.grant)
		s.grant = nil
	}
}

// handleResult handles a result of the attempt; ok is false if there is no update
// for the caller.
func (s *Session) handleResult(r result) (u Update, ok bool) {
	switch {
	case r.err != nil:
		s.reportFailure(r)
		return Update{}, false
	case r.answer != nil:
		return s.reportAnswer(*r.answer)
	case r.chunk.Last:
		s.reportLoad(r.chunk.Load)
		s.reportDone()
		return Update{Complete: true, FinishReason: r.chunk.FinishReason, Usage: r.chunk.Usage, Version: r.chunk.Version}, true
	}
	s.delivered += len(r.chunk.Texts)
	for _, t := range r.chunk.Texts {
		s.text.WriteString(t)
	}
	s.version = r.chunk.Version // R2: the core pins later attempts to this version
	return Update{Texts: r.chunk.Texts, Version: r.chunk.Version}, true
}

// reportLoad forwards the load that the engine reported with its answer.
func (s *Session) reportLoad(l *medlarengine.Load) {
	if l != nil {
		s.deps.Post(StatusFromLoad(s.attempt.start.Upstream, *l))
	}
}

// StatusFromLoad converts the load that an engine reports to a StatusReported event.
func StatusFromLoad(id medlarid.InstanceID, l medlarengine.Load) medlarworld.StatusReported {
	r := medlarworld.StatusReported{
		Upstream:    id,
		Model:       l.Model,
		Version:     l.Version,
		Load:        medlarupstream.Load{Running: l.Running, Queued: l.Queued, Slots: l.Slots, Pending: l.PendingTokens},
		PrefillRate: l.PrefillRate,
		BlockBytes:  l.BlockBytes,
		Leaving:     l.Leaving,
	}
	if l.Loading {
		r.Version = "" // an engine serves no version while it loads weights
	}
	return r
}

// reportDone reports a complete answer to the core.
func (s *Session) reportDone() {
	a := s.attempt.start.Attempt
	s.stop()
	s.deps.Post(medlarworld.AttemptEnded{Run: s.run, Attempt: a, Cause: medlarkind.CauseDone, Reached: true})
}

// Text returns the text of the answer received so far.
func (s *Session) Text() string { return s.text.String() }

// RecordAnswer records the answer of a non-repeatable request as sent to the
// caller.
func (s *Session) RecordAnswer(status int, contentType string, body []byte) {
	if s.grant == nil {
		return
	}
	s.deps.Claimer.RecordDone(*s.grant, status, contentType, body)
	s.grant = nil
}

// reportFailure reports a failed attempt to the core.
func (s *Session) reportFailure(r result) {
	a := s.attempt.start.Attempt
	s.stop()
	e := medlarworld.AttemptEnded{
		Run:     s.run,
		Attempt: a,
		Cause:   medlarkind.CauseRetry,
		Reason:  failureReason(r.err),
		Reached: r.reached,
		Version: s.version,
	}
	s.deps.Post(e)
}

// claimAttempt claims the only attempt of the request and reports the result to the
// core.
func (s *Session) claimAttempt() (u Update, ok bool) {
	g, err := s.claimWithTimeout()
	if err == nil {
		s.grant = &g
		s.deps.Post(medlarworld.ClaimGranted{Run: s.run})
		return Update{}, false
	}
	var e *medlarclaim.Error
	errors.As(err, &e)
	refusal, replay := ClaimRefusal(e)
	s.deps.Post(medlarworld.ClaimDenied{Run: s.run, Reason: refusal.Reason})
	if replay != nil {
		return Update{Replay: replay}, true
	}
	return Update{Refusal: &refusal}, true
}

// ClaimRefusal returns the refusal for a failed claim, or in replay the recorded
// answer of an earlier attempt if there is one.
func ClaimRefusal(e *medlarclaim.Error) (r Refusal, replay *medlarclaim.Outcome) {
	reason := medlarreason.Unclaimed
	switch e.Kind {
	case medlarclaim.KindInvalidKey:
		reason = medlarreason.Keyless
	case medlarclaim.KindExpired:
		reason = medlarreason.Expired
	case medlarclaim.KindConflict:
		reason = medlarreason.Conflict
	case medlarclaim.KindOwned:
		switch {
		case e.Entry.State == medlarclaim.StateDone && e.Entry.Outcome.Complete:
			return Refusal{}, &e.Entry.Outcome
		case e.Entry.State == medlarclaim.StateDone:
			reason = medlarreason.Recorded
		case e.Entry.State == medlarclaim.StateUnknown:
			reason = medlarreason.Unknown
		default:
			reason = medlarreason.Pending
		}
	}
	row, _ := medlarreason.Lookup(reason)
	r = Refusal{Reason: reason, Ran: row.Ran}
	if row.Retryable {
		r.RetryAfter = time.Second
	}
	return r, nil
}

func failureReason(err error) medlarreason.Reason {
	var s *medlarservice.Error
	if errors.As(err, &s) {
		switch s.Kind {
		case medlarservice.KindUnreachable:
			return medlarreason.Unreachable
		case medlarservice.KindTimeout:
			return medlarreason.Timeout
		default:
			return medlarreason.Broken
		}
	}
	switch medlarengine.KindOf(err) {
	case medlarengine.KindUnreachable:
		return medlarreason.Unreachable
	case medlarengine.KindBusy:
		return medlarreason.Busy
	case medlarengine.KindVersion:
		return medlarreason.Version
	case medlarengine.KindTimeout:
		return medlarreason.Timeout
	case medlarengine.KindTruncated, medlarengine.KindMalformed:
		return medlarreason.Truncated
	default:
		return medlarreason.Broken
	}
}

func attemptID(id medlarid.RequestID, attempt int) string {
	return string(id) + "." + strconv.Itoa(attempt)
}

func cacheSalt(p Prompt, v medlarid.WeightVersion) medlarkey.Salt {
	return medlarkey.NewSalt(p.Account, p.Model, p.Adapter, v)
}

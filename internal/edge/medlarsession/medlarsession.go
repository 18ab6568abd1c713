// Package medlarsession carries one request of a caller through its attempts: it
// does what the core commands and tells the core how it went.
//
// Rules:
//
//	R1  The parts of an answer come out in order, each once, across attempts; an
//	    attempt after the first resumes behind the last part.
//	R2  An answer that has begun goes on under its own weight version only.
//	R3  Imported blocks are used only after the engine reported that it read
//	    exactly those that were asked for; a late import is left behind.
//	R4  An unrepeatable request is sent only on a granted claim, on a connection
//	    of its own; how it ended is recorded.
//	R5  A caller that goes away cancels the attempt, unless the request is
//	    unrepeatable: then the attempt goes on, so that its outcome is recorded.
package medlarsession

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"medlarfield/internal/agree/medlarclaim"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarservice"
)

// Times of a session.
const (
	probeInterval = 250 * time.Millisecond
	claimWait     = 3 * time.Second
)

// pumpBuffer is the number of chunks that may wait for a slow caller.
const pumpBuffer = 32

// Deps are what a session uses of its instance.
type Deps struct {
	Post     func(medlarworld.Event)
	Engines  *medlarengine.Client
	Services *medlarservice.Client
	Claimer  *medlarclaim.Claimer
	// StoreAddress returns the address of a store.
	StoreAddress func(medlarid.InstanceID) medlarid.Address
	// BytesMoved counts bytes of kept context.
	BytesMoved func(direction string, n medlarid.Bytes)
}

// Refusal is the end of a request without a whole answer.
type Refusal struct {
	Reason     medlarreason.Reason
	Ran        medlarreason.Ran
	RetryAfter time.Duration
}

// Update is the next thing to tell the caller.
type Update struct {
	Texts        []string
	Complete     bool // the answer is whole
	FinishReason string
	Usage        medlarengine.Usage
	Version      medlarid.WeightVersion
	Refusal      *Refusal
	CallerGone   bool // the caller went away
	Idle         bool // nothing has happened for a while
	Service      *medlarservice.Response
	Replay       *medlarclaim.Outcome // the recorded answer of an earlier attempt
}

// Prompt is what a session asks an engine, but for what the attempt decides.
type Prompt struct {
	Account   medlarid.AccountID
	Model     medlarid.ModelID
	Adapter   medlarid.AdapterID
	Text      string
	MaxTokens medlarid.Tokens

	Sampling medlarengine.Sampling
}

// Session is one request. One goroutine uses it.
type Session struct {
	seams    Deps
	run      medlarid.RequestID
	mailbox  <-chan medlarworld.Command
	prompt   Prompt
	service  *medlarservice.Request
	claim    *medlarclaim.Request
	deadline time.Time

	grant   *medlarclaim.Grant
	parts   int             // parts that the caller has
	text    strings.Builder // their text
	version medlarid.WeightVersion
	attempt *attempt
}

// attempt is one try at an upstream.
type attempt struct {
	start  medlarworld.StartAttempt
	chunks chan result
	quit   chan struct{}
}

// result is what an attempt's goroutine reports.
type result struct {
	chunk   medlarengine.Chunk
	answer  *medlarservice.Response
	err     error
	reached bool // with err: the upstream may have run the request
}

// Params describe a session.
type Params struct {
	Run      medlarid.RequestID
	Commands <-chan medlarworld.Command
	Prompt   Prompt                 // of a model request
	Service  *medlarservice.Request // of a service request
	Claim    *medlarclaim.Request   // of an unrepeatable request
	Deadline time.Time
}

// New returns a session for a request that was submitted to the core.
func New(s Deps, p Params) *Session {
	return &Session{
		seams:    s,
		run:      p.Run,
		mailbox:  p.Commands,
		prompt:   p.Prompt,
		service:  p.Service,
		claim:    p.Claim,
		deadline: p.Deadline,
	}
}

// Next returns the next piece. gone reports whether the caller went away; it is
// asked while nothing happens.
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
			if p, ok := s.handle(r); ok {
				return p
			}
		case c := <-s.mailbox:
			if p, ok := s.obey(c); ok {
				return p
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

// Abandon ends the session because the caller went away (R5).
func (s *Session) Abandon() {
	if s.attempt == nil {
		s.seams.Post(medlarworld.CallerLeft{Run: s.run})
		return
	}
	a := s.attempt
	s.stop()
	go s.cancel(a.start)
	s.seams.Post(medlarworld.AttemptEnded{Run: s.run, Attempt: a.start.Attempt, Cause: medlarworld.CauseCallerLeft, Reached: true})
}

// stop lets go of the attempt's goroutine.
func (s *Session) stop() {
	if s.attempt != nil {
		close(s.attempt.quit)
		s.attempt = nil
	}
}

func (s *Session) cancel(c medlarworld.StartAttempt) {
	if s.service == nil {
		_ = s.seams.Engines.Cancel(c.Address, runName(s.run, c.Attempt))
	}
}

// obey carries out a command of the core; ok is false when there is nothing to
// tell the caller yet.
func (s *Session) obey(c medlarworld.Command) (p Update, ok bool) {
	switch c := c.(type) {
	case medlarworld.StartAttempt:
		s.start(c)
	case medlarworld.Claim:
		return s.obeyClaim()
	case medlarworld.Refuse:
		if s.grant != nil && c.Ran == medlarreason.RanUnknown {
			s.seams.Claimer.RecordUnknown(*s.grant)
			s.grant = nil
		}
		s.void()
		return Update{Refusal: &Refusal{Reason: c.Reason, Ran: c.Ran, RetryAfter: c.RetryAfter}}, true
	}
	return Update{}, false
}

// void gives a claim back whose attempt was not made (R4).
func (s *Session) void() {
	if s.grant != nil {
		s.seams.Claimer.Void(*s.grant)
		s.grant = nil
	}
}

// handle takes a result of the attempt.
func (s *Session) handle(r result) (p Update, ok bool) {
	switch {
	case r.err != nil:
		s.failed(r)
		return Update{}, false
	case r.answer != nil:
		return s.answered(*r.answer)
	case r.chunk.Last:
		s.reportLoad(r.chunk.Load)
		s.done()
		return Update{Complete: true, FinishReason: r.chunk.FinishReason, Usage: r.chunk.Usage, Version: r.chunk.Version}, true
	}
	s.parts += len(r.chunk.Texts)
	for _, t := range r.chunk.Texts {
		s.text.WriteString(t)
	}
	s.version = r.chunk.Version // R2: the core pins later attempts to it
	return Update{Texts: r.chunk.Texts, Version: r.chunk.Version}, true
}

// reportLoad passes on what the engine told of itself with its answer.
func (s *Session) reportLoad(l *medlarengine.Load) {
	if l != nil {
		s.seams.Post(StatusFromLoad(s.attempt.start.Upstream, *l))
	}
}

// StatusFromLoad translates an engine's report of itself.
func StatusFromLoad(id medlarid.InstanceID, l medlarengine.Load) medlarworld.StatusReported {
	r := medlarworld.StatusReported{
		Upstream:    id,
		Model:       l.Model,
		Version:     l.Version,
		Load:        medlarworld.Load{Running: l.Running, Queued: l.Queued, Slots: l.Slots, Pending: l.PendingTokens},
		PrefillRate: l.PrefillRate,
		BlockBytes:  l.BlockBytes,
		Leaving:     l.Leaving,
	}
	if l.Loading {
		r.Version = "" // serves nothing while it loads
	}
	return r
}

// done reports a whole answer.
func (s *Session) done() {
	a := s.attempt.start.Attempt
	s.stop()
	s.seams.Post(medlarworld.AttemptEnded{Run: s.run, Attempt: a, Cause: medlarworld.CauseDone, Reached: true})
}

// Text returns all text that came out so far.
func (s *Session) Text() string { return s.text.String() }

// RecordAnswer records the answer of an unrepeatable request as the caller gets it.
func (s *Session) RecordAnswer(status int, contentType string, body []byte) {
	if s.grant == nil {
		return
	}
	s.seams.Claimer.RecordDone(*s.grant, status, contentType, body)
	s.grant = nil
}

// failed reports a failed attempt.
func (s *Session) failed(r result) {
	a := s.attempt.start.Attempt
	s.stop()
	e := medlarworld.AttemptEnded{
		Run:     s.run,
		Attempt: a,
		Cause:   medlarworld.CauseRetry,
		Reason:  reasonOf(r.err),
		Reached: r.reached,
		Version: s.version,
	}
	s.seams.Post(e)
}

// obeyClaim claims the one attempt of the request.
func (s *Session) obeyClaim() (p Update, ok bool) {
	g, err := s.claimNow()
	if err == nil {
		s.grant = &g
		s.seams.Post(medlarworld.ClaimGranted{Run: s.run})
		return Update{}, false
	}
	var e *medlarclaim.Error
	errors.As(err, &e)
	refusal, replay := ClaimRefusal(e)
	s.seams.Post(medlarworld.ClaimDenied{Run: s.run, Reason: refusal.Reason})
	if replay != nil {
		return Update{Replay: replay}, true
	}
	return Update{Refusal: &refusal}, true
}

// ClaimRefusal translates the refusal of a claim; replay is the recorded answer
// when there is one.
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

func reasonOf(err error) medlarreason.Reason {
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

func runName(id medlarid.RequestID, attempt int) string {
	return string(id) + "." + strconv.Itoa(attempt)
}

func saltOf(p Prompt, v medlarid.WeightVersion) medlarkey.Salt {
	return medlarkey.NewSalt(p.Account, p.Model, p.Adapter, v)
}

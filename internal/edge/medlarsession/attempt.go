package medlarsession

import (
	"context"
	"time"

	"medlarfield/internal/agree/medlarclaim"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarservice"
)

// start begins an attempt in a goroutine of its own.
func (s *Session) start(c medlarworld.StartAttempt) {
	a := &attempt{start: c, chunks: make(chan result, pumpBuffer), quit: make(chan struct{})}
	s.attempt = a
	if s.service != nil {
		go s.callService(a)
		return
	}
	go s.runEngine(a, s.parts, s.Text())
}

// send hands a result over; it returns false when nobody waits any more.
func (a *attempt) send(r result) bool {
	select {
	case a.chunks <- r:
		return true
	case <-a.quit:
		return false
	}
}

// callService makes one call to a plain service.
func (s *Session) callService(a *attempt) {
	answer, err := s.seams.Services.Call(a.start.Address, *s.service, time.Until(s.deadline))
	switch {
	case err != nil:
		a.send(result{err: err, reached: serviceReached(err)})
	case answer.Busy() && !s.service.Once:
		busy := &medlarengine.Error{Op: medlarengine.OpRun, Kind: medlarengine.KindBusy}
		a.send(result{err: busy})
	default:
		a.send(result{answer: &answer})
	}
}

func serviceReached(err error) bool {
	e, ok := err.(*medlarservice.Error)
	return !ok || e.MayHaveRun()
}

// answered reports a service's answer.
func (s *Session) answered(answer medlarservice.Response) (Update, bool) {
	a := s.attempt.start.Attempt
	s.stop()
	s.seams.Post(medlarworld.AttemptEnded{Run: s.run, Attempt: a, Cause: medlarworld.CauseUpstreamError, Reached: true})
	return Update{Complete: true, Service: &answer}, true
}

// runEngine imports context if the core asked for it, runs the prompt and passes
// the parts of the answer on.
func (s *Session) runEngine(a *attempt, resume int, answer string) {
	p := medlarengine.RunRequest{
		RequestID:   s.run,
		RunID:       runName(s.run, a.start.Attempt),
		Model:       s.prompt.Model,
		Adapter:     s.prompt.Adapter,
		Version:     a.start.Version,
		Prompt:      s.prompt.Text,
		MaxTokens:   s.prompt.MaxTokens,
		CacheSalt:   saltOf(s.prompt, a.start.Version).String(),
		Priority:    a.start.Priority,
		ResumeParts: resume,
		ResumeText:  answer,
		Sampling:    s.prompt.Sampling,
		Ticket:      s.importBlocks(a.start),
	}
	open := s.seams.Engines.Run
	if s.claim != nil {
		open = s.seams.Engines.RunUnpooled
	}
	stream, err := open(a.start.Address, p)
	if err != nil {
		a.send(result{err: err, reached: engineReached(err)})
		return
	}
	defer stream.Close()
	pump(a, stream)
}

// pump passes chunks on until the stream ends or nobody waits any more. The
// texts of a chunk are copied, since the stream uses their slice again.
func pump(a *attempt, stream *medlarengine.Stream) {
	for {
		c, err := stream.Next()
		if err != nil {
			a.send(result{err: err, reached: true})
			return
		}
		c.Texts = append([]string(nil), c.Texts...)
		if !a.send(result{chunk: c}) || c.Last {
			return
		}
	}
}

func engineReached(err error) bool {
	e, ok := err.(*medlarengine.Error)
	return !ok || e.MayHaveRun()
}

// importBlocks stages kept blocks on the engine and returns their ticket, or an
// empty one when they did not come whole and in time (R3).
func (s *Session) importBlocks(c medlarworld.StartAttempt) string {
	if len(c.Import) == 0 {
		return ""
	}
	ticket := runName(s.run, c.Attempt)
	blocks := make([]medlarengine.Block, len(c.Import))
	for i, h := range c.Import {
		blocks[i] = medlarengine.Block{
			Key:        h.Key,
			Store:      s.seams.StoreAddress(h.Store),
			Slot:       h.Slot,
			Generation: h.Generation,
			Length:     h.Length,
			Checksum:   h.Checksum,
		}
	}
	begin := time.Now()
	err := s.seams.Engines.Import(c.Address, ticket, blocks, c.ImportTimeout)
	s.reportImport(c, time.Since(begin), err != nil)
	if err != nil {
		go func() { _ = s.seams.Engines.Discard(c.Address, ticket) }()
		return ""
	}
	return ticket
}

// reportImport tells the core what each link carried. Only a failure of the
// only store tells which one failed.
func (s *Session) reportImport(c medlarworld.StartAttempt, took time.Duration, failed bool) {
	sizes := map[medlarid.InstanceID]medlarid.Bytes{}
	for _, h := range c.Import {
		sizes[h.Store] += h.Length
	}
	for store, n := range sizes {
		if !failed {
			s.seams.BytesMoved("import", n)
		}
		s.seams.Post(medlarworld.TransferEnded{
			Store:  store,
			Bytes:  n,
			Took:   took,
			Failed: failed && len(sizes) == 1,
			Import: true,
		})
	}
}

// claimNow claims within claimWait, or within the deadline if that is sooner.
func (s *Session) claimNow() (medlarclaim.Grant, error) {
	until := time.Now().Add(claimWait)
	if s.deadline.Before(until) {
		until = s.deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return s.seams.Claimer.Claim(ctx, *s.claim)
}

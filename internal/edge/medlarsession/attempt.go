package medlarsession

import (
	"context"
	"time"

	"medlarfield/internal/agree/medlarclaim"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarservice"
)

// startAttempt starts an attempt in its own goroutine.
func (s *Session) startAttempt(c medlarworld.StartAttempt) {
	a := &attempt{start: c, chunks: make(chan result, chunkBuffer), quit: make(chan struct{})}
	s.attempt = a
	if s.service != nil {
		go s.callService(a)
		return
	}
	go s.runEngine(a, s.delivered, s.Text())
}

// send passes a result to the session. It returns false if the session no longer
// waits for the attempt.
func (a *attempt) send(r result) bool {
	select {
	case a.chunks <- r:
		return true
	case <-a.quit:
		return false
	}
}

// callService calls a plain service once. A busy answer to a repeatable request
// is reported as an error, so that the request can be retried.
func (s *Session) callService(a *attempt) {
	answer, err := s.deps.Services.Call(a.start.Address, *s.service, time.Until(s.deadline))
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

// reportAnswer reports the answer of a service to the core.
func (s *Session) reportAnswer(answer medlarservice.Response) (Update, bool) {
	a := s.attempt.start.Attempt
	s.stop()
	s.deps.Post(medlarworld.AttemptEnded{Run: s.run, Attempt: a, Cause: medlarkind.CauseAnswered, Reached: true})
	return Update{Complete: true, Service: &answer}, true
}

// runEngine imports KV blocks if the core requested it, runs the prompt and
// forwards the parts of the answer.
func (s *Session) runEngine(a *attempt, resume int, text string) {
	p := medlarengine.RunRequest{
		RequestID:   s.run,
		RunID:       attemptID(s.run, a.start.Attempt),
		Model:       s.prompt.Model,
		Adapter:     s.prompt.Adapter,
		Version:     a.start.Version,
		Prompt:      s.prompt.Text,
		MaxTokens:   s.prompt.MaxTokens,
		CacheSalt:   cacheSalt(s.prompt, a.start.Version).String(),
		Priority:    a.start.Priority,
		ResumeParts: resume,
		ResumeText:  text,
		Sampling:    s.prompt.Sampling,
		Ticket:      s.importBlocks(a.start),
	}
	stream, err := s.deps.Engines.Run(a.start.Address, p)
	if err != nil {
		a.send(result{err: err, reached: engineReached(err)})
		return
	}
	defer stream.Close()
	forwardChunks(a, stream)
}

// forwardChunks forwards chunks until the stream ends or the session no longer
// waits for the attempt. It copies the texts of a chunk, since the stream reuses
// their slice.
func forwardChunks(a *attempt, stream *medlarengine.Stream) {
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

// importBlocks stages stored KV blocks on the engine and returns the ticket for
// them, or an empty ticket if they did not arrive completely and in time (R3).
func (s *Session) importBlocks(c medlarworld.StartAttempt) string {
	if len(c.Import) == 0 {
		return ""
	}
	ticket := attemptID(s.run, c.Attempt)
	blocks := make([]medlarengine.Block, len(c.Import))
	for i, h := range c.Import {
		blocks[i] = medlarengine.Block{
			Key:        h.Key,
			Store:      s.deps.StoreAddress(h.Store),
			Slot:       h.Slot,
			Generation: h.Generation,
			Length:     h.Length,
			Checksum:   h.Checksum,
		}
	}
	started := time.Now()
	err := s.deps.Engines.Import(c.Address, ticket, blocks, c.ImportTimeout)
	s.reportImport(c, time.Since(started), err != nil)
	if err != nil {
		go func() { _ = s.deps.Engines.Discard(c.Address, ticket) }()
		return ""
	}
	return ticket
}

// reportImport reports the transfer from each store to the core. A failure is
// attributed to a store only if it was the only one, since otherwise it is not known
// which store failed.
func (s *Session) reportImport(c medlarworld.StartAttempt, took time.Duration, failed bool) {
	sizes := map[medlarid.InstanceID]medlarid.Bytes{}
	for _, h := range c.Import {
		sizes[h.Store] += h.Length
	}
	for store, n := range sizes {
		if !failed {
			s.deps.BytesMoved("import", n)
		}
		s.deps.Post(medlarworld.TransferEnded{
			Store:  store,
			Bytes:  n,
			Took:   took,
			Failed: failed && len(sizes) == 1,
			Import: true,
		})
	}
}

// claimWithTimeout claims the attempt within claimTimeout, or by the deadline of
// the session if that is sooner.
func (s *Session) claimWithTimeout() (medlarclaim.Grant, error) {
	until := time.Now().Add(claimTimeout)
	if s.deadline.Before(until) {
		until = s.deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return s.deps.Claimer.Claim(ctx, *s.claim)
}

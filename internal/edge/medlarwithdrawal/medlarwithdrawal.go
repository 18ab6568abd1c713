// Package medlarwithdrawal ends attempts that the core withdraws, unless their answers have begun.
package medlarwithdrawal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
)

// Attempts are attempts in progress, by run. They are safe for concurrent use.
type Attempts struct {
	mu       sync.Mutex
	attempts map[medlarid.RequestID]*Attempt
}

// New returns Attempts without any.
func New() *Attempts { return &Attempts{attempts: map[medlarid.RequestID]*Attempt{}} }

// Attempt is an attempt in progress. Begin and SinceBegun are called by the one goroutine that makes it.
type Attempt struct {
	number int
	cancel context.CancelFunc
	state  atomic.Int32
	began  time.Time // when the answer began; zero if it has not
}

// States of an attempt.
const (
	waiting = iota
	begun
	withdrawn
)

// Start adds an attempt. The context ends with ctx, when the attempt is withdrawn, and when end is called, which
// has to be called when the attempt has ended.
func (s *Attempts) Start(ctx context.Context, run medlarid.RequestID, number int) (a *Attempt, attemptCtx context.Context, end func()) {
	ctx, cancel := context.WithCancel(ctx)
	a = &Attempt{number: number, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[run] = a
	return a, ctx, func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.attempts, run)
	}
}

// Withdraw ends an attempt whose answer has not begun.
func (s *Attempts) Withdraw(c medlarworld.Withdraw) {
	s.mu.Lock()
	a := s.attempts[c.Run]
	s.mu.Unlock()
	if a != nil && a.number == c.Attempt && a.state.CompareAndSwap(waiting, withdrawn) {
		a.cancel()
	}
}

// Begin records that the answer has begun, the first time that it is called. An attempt that was withdrawn just
// before remains so.
func (a *Attempt) Begin() {
	if a.began.IsZero() {
		a.began = time.Now()
		a.state.CompareAndSwap(waiting, begun)
	}
}

// SinceBegun returns the time since the answer began; 0 if it has not.
func (a *Attempt) SinceBegun() time.Duration {
	if a.began.IsZero() {
		return 0
	}
	return time.Since(a.began)
}

// Withdrawn reports whether the attempt was withdrawn before its answer began.
func (a *Attempt) Withdrawn() bool { return a.state.Load() == withdrawn }

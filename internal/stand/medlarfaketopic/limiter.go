package medlarfaketopic

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// limitWindow is the window over which calls are limited.
const limitWindow = 100 * time.Millisecond

// limiter delays calls and rejects those beyond a rate.
type limiter struct {
	mu            sync.Mutex
	delay         time.Duration // of each call
	reads, writes float64       // calls a second of all callers together; 0 for any number
	windowStart   time.Time
	read, written float64 // calls in the window
}

// SetDelay sets the time that each call takes.
func (s *Store) SetDelay(d time.Duration) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.delay = d
}

// SetLimits sets how many calls a second all callers together may make; 0 for any number.
func (s *Store) SetLimits(reads, writes float64) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.reads, s.limiter.writes = reads, writes
}

// admit delays a call, or rejects it with 429 and returns false.
func (s *Store) admit(ctx *fasthttp.RequestCtx) bool {
	delay, ok := s.limiter.take(string(ctx.Method()) == fasthttp.MethodGet)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return false
	}
	time.Sleep(delay)
	return true
}

func (l *limiter) take(read bool) (delay time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.windowStart) >= limitWindow {
		l.windowStart, l.read, l.written = now, 0, 0
	}
	n, most := &l.written, l.writes
	if read {
		n, most = &l.read, l.reads
	}
	*n++
	return l.delay, most == 0 || *n <= most*limitWindow.Seconds()
}

package medlarproxy

import (
	"sync"
	"time"

	"medlarfield/internal/edge/medlarpool"
)

// openAttempts are the connections of the attempts in progress.
type openAttempts struct {
	mu    sync.Mutex
	conns map[*attempt]*medlarpool.Conn
	ended bool
}

// add adds an attempt that begins on a connection; it returns false if attempts have ended.
func (o *openAttempts) add(a *attempt, c *medlarpool.Conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.ended {
		o.conns[a] = c
	}
	return !o.ended
}

func (o *openAttempts) remove(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, a)
}

// end makes each read and write of the attempts in progress fail with a timeout.
func (o *openAttempts) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = true
	for _, c := range o.conns {
		_ = c.SetDeadline(time.Now())
	}
}

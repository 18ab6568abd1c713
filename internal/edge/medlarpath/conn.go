package medlarpath

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreach"
)

// conn is a connection for requests (R1).
type conn struct {
	net.Conn
	paths   *Paths
	replica medlarid.InstanceID
	opened  time.Time

	mu       sync.Mutex
	waiting  bool // an answer is awaited
	answered bool // a byte of the current answer was received
	used     bool // a byte of any answer was received
}

// Reuse prepares a connection that was opened by Dial for a further request.
func Reuse(c net.Conn) {
	if c, ok := c.(*conn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answered = false
	}
}

// NetConn returns the connection itself.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Write writes a part of a request.
func (c *conn) Write(b []byte) (int, error) {
	c.sent()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.left(err)
	}
	return n, err
}

// Read reads a part of an answer.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.got()
	} else if err != nil {
		c.left(err)
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.left(net.ErrClosed)
	return c.Conn.Close()
}

func (c *conn) sent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting && !c.answered {
		c.waiting = true
		c.paths.deps.Sent(c.replica)
	}
}

func (c *conn) got() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths.deps.Got(c.opened, c.replica, c.waiting)
	c.waiting, c.answered, c.used = false, true, true
}

// left takes note that no answer is awaited any longer. A connection that has brought an answer before may be closed
// by the replica at any time.
func (c *conn) left(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting {
		return
	}
	c.waiting = false
	var o medlarreach.Outcome
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		o = medlarreach.Unanswered
	case !c.used && medlarhead.ConnectionEnded(err):
		o = medlarreach.Ended
	}
	c.paths.deps.Left(c.replica, o)
}

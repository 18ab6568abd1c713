// Package medlarserver keeps the connections of callers: it reads one request after the
// other, strictly, and hands each to be answered.
//
// Rules:
//
//	R1  A request that cannot be read gets an answer that says so, and its connection
//	    ends, since where the next request begins is not known.
//	R2  A connection that was read from is closed without an answer only if the
//	    request was cut.
//	R3  When the door drains, each answer is the last one of its connection.
package medlarserver

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarprobe"
	"medlarfield/internal/core/medlarreason"
)

// Times and sizes.
const (
	bodyTimeout  = 10 * time.Second // for a request's body
	readBuffer   = 4096             // bytes
	stallTimeout = 10 * time.Second // of a caller that does not read
)

// Request is one request that was read.
type Request struct {
	Conn    *Conn
	Head    *medlarhead.Head
	Body    []byte
	Arrived time.Time
}

// Deps are what the door uses of its instance.
type Deps struct {
	Limits func() medlarcatalog.Limits
	// Serve answers a request and reports whether its connection can be used again.
	Serve func(Request) bool
	// Reject answers a request that cannot be read (R1).
	Reject func(c *Conn, status int, reason medlarreason.Reason)
}

// Server keeps the connections of callers.
type Server struct {
	seams    Deps
	draining atomic.Bool

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New returns a door.
func New(s Deps) *Server { return &Server{seams: s, conns: map[*Conn]struct{}{}} }

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	br *bufio.Reader

	busy   bool // has a request; the door's lock is held
	closed bool // by the door while it was idle; the door's lock is held
}

// Serve serves the connections of a listener until it is closed.
func (d *Server) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of descriptors, or a connection that broke at once
			continue
		}
		go d.serveConn(&Conn{Conn: c, br: bufio.NewReaderSize(c, readBuffer)})
	}
}

// Send writes to the caller. A caller that does not read for long is given up on.
func (c *Conn) Send(b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(stallTimeout))
	_, err := c.Write(b)
	return err
}

// Draining reports whether each answer is the last one of its connection.
func (d *Server) Draining() bool { return d.draining.Load() }

// Drain makes each answer the last one of its connection.
func (d *Server) Drain() { d.draining.Store(true) }

// ActiveConns returns the number of connections with a request.
func (d *Server) ActiveConns() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for c := range d.conns {
		if c.busy {
			n++
		}
	}
	return n
}

// OpenConns returns the number of connections.
func (d *Server) OpenConns() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// CloseIdle closes the connections without a request. One on which a request has
// come that was not read yet stays, and so does its request (R2).
func (d *Server) CloseIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if !c.busy && medlarprobe.Quiet(c.Conn) {
			c.closed = true
			_ = c.Close()
		}
	}
}

// mark notes whether a connection has a request; it returns false when the door has
// closed the connection.
func (d *Server) mark(c *Conn, busy bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = struct{}{}
	c.busy = busy
	return !c.closed
}

func (d *Server) forget(c *Conn) {
	_ = c.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
}

// serveConn serves the requests of a connection one after the other.
func (d *Server) serveConn(c *Conn) {
	defer d.forget(c)
	for d.mark(c, false) {
		limits := d.seams.Limits()
		if c.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) != nil {
			return
		}
		if _, err := c.br.Peek(1); err != nil {
			return
		}
		if !d.mark(c, true) || !d.serveOne(c, limits) || d.draining.Load() {
			return
		}
	}
}

// serveOne reads and answers one request, and reports whether the connection can be
// used again.
func (d *Server) serveOne(c *Conn, limits medlarcatalog.Limits) bool {
	arrived := time.Now()
	_ = c.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	h, err := medlarhead.ReadRequest(c.br, limits.MaxHeaderBytes)
	if err != nil {
		d.refuseUnread(c, err)
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if h.Continue {
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false
		}
	}
	body, err := medlarhead.ReadBody(c.br, h, int64(limits.MaxBodyBytes))
	if err != nil {
		d.refuseUnread(c, err)
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	return d.seams.Serve(Request{Conn: c, Head: h, Body: body, Arrived: arrived}) && !h.Close
}

// refuseUnread answers a request that cannot be read (R1).
func (d *Server) refuseUnread(c *Conn, err error) {
	reason := medlarreason.Malformed
	switch kind := medlarhead.KindOf(err); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = medlarreason.Slow
	case kind == medlarhead.KindOversized:
		reason = medlarreason.Oversized
	case kind == medlarhead.KindBroken, kind == medlarhead.KindClosed:
		return
	}
	row, _ := medlarreason.Lookup(reason)
	status := row.Status
	var e *medlarhead.Error
	if reason == medlarreason.Oversized && errors.As(err, &e) && e.Op == medlarhead.OpRequest {
		status = statusHeadTooLarge
	}
	d.seams.Reject(c, status, reason)
}

// statusHeadTooLarge is the status for a head, and not a body, that is too large.
const statusHeadTooLarge = 431

// WatchDisconnect calls left when the caller has gone. The returned function ends it
// and must be called before the connection is read again.
func (c *Conn) WatchDisconnect(left context.CancelFunc) (end func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := c.br.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			left()
		}
	}()
	return func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

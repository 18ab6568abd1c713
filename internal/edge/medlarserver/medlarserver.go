// Package medlarserver is an HTTP/1.1 server. It reads the requests of a connection one
// at a time with a strict parser, and passes each to the handler in Deps.
//
// Rules:
//
//	R1  A request that cannot be read gets an error response, and its connection is
//	    closed, since the start of the next request is not known.
//	R2  A connection from which bytes were read is closed without a response only if
//	    the request was truncated.
//	R3  While the server drains, each response is the last one on its connection.
//	R4  A request is read only into memory that is reserved for it, until its handler has returned. One for which
//	    there is none, or that was dropped to make room for others, is refused and its connection closed.
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
	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarmemory"
	"medlarfield/internal/base/medlarprobe"
	"medlarfield/internal/core/medlarreason"
)

// Timeouts and sizes.
const (
	bodyTimeout  = 10 * time.Second // to read a request body
	readBuffer   = 4096             // bytes
	stallTimeout = 10 * time.Second // for a client that does not read

	// requestBytes is what a request needs beside its body while it waits and runs: its head, the stacks of its
	// goroutines, and the buffers of its connections and of a stream.
	requestBytes = 32 << 10
	// headCopies is the number of buffers of the size of a head that reading one takes, as the buffer doubles and is
	// copied.
	headCopies = 2
)

// Request is a request that was read in full.
type Request struct {
	Conn    *Conn
	Head    *medlarhead.Head
	Body    []byte
	Memory  *medlarmemory.Reservation // of the request, released when Serve returns
	Arrived time.Time
}

// Deps are the functions of the instance that the server depends on.
type Deps struct {
	Limits func() medlarcatalog.Limits
	Memory *medlarmemory.Account // nil for no bound
	// Serve responds to a request and reports whether its connection can be reused.
	Serve func(Request) bool
	// Reject responds to a request that cannot be read (R1); method is empty if that cannot be read either.
	Reject func(c *Conn, method string, status int, reason medlarreason.Reason)
}

// Server serves the connections of clients.
type Server struct {
	deps     Deps
	draining atomic.Bool

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New returns a server without listeners.
func New(deps Deps) *Server { return &Server{deps: deps, conns: map[*Conn]struct{}{}} }

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	br *bufio.Reader

	busy   bool // has a request; guarded by Server.mu
	closed bool // by the server while it was idle; guarded by Server.mu
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of file descriptors, or the connection was aborted
			continue
		}
		go s.serveConn(&Conn{Conn: c, br: bufio.NewReaderSize(c, readBuffer)})
	}
}

// Send writes to the client. It fails if the client does not read for stallTimeout.
func (c *Conn) Send(b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(stallTimeout))
	_, err := c.Write(b)
	return err
}

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Drain makes each response the last one on its connection (R3).
func (s *Server) Drain() { s.draining.Store(true) }

// ActiveConns returns the number of connections with a request in progress.
func (s *Server) ActiveConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.busy {
			n++
		}
	}
	return n
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseIdle closes the connections without a request. A connection with an unread
// request in its receive buffer stays open, and the request is served (R2).
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.busy && medlarprobe.Idle(c.Conn) {
			c.closed = true
			_ = c.Close()
		}
	}
}

// setBusy records whether a connection has a request. It returns false if CloseIdle has
// closed the connection.
func (s *Server) setBusy(c *Conn, busy bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	c.busy = busy
	return !c.closed
}

func (s *Server) remove(c *Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// serveConn serves the requests of a connection sequentially.
func (s *Server) serveConn(c *Conn) {
	defer s.remove(c)
	for s.setBusy(c, false) {
		limits := s.deps.Limits()
		if c.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) != nil {
			return
		}
		if _, err := c.br.Peek(1); err != nil {
			return
		}
		if !s.setBusy(c, true) || !s.serveOne(c, limits) || s.draining.Load() {
			return
		}
	}
}

// serveOne reads and serves one request, and reports whether the connection can be
// reused.
func (s *Server) serveOne(c *Conn, limits medlarcatalog.Limits) bool {
	arrived := time.Now()
	r, err := s.deps.Memory.Reserve(medlarmemory.KindHeads, headCopies*limits.MaxHeaderBytes)
	if err != nil {
		s.reject(c, "", err)
		return false
	}
	defer r.Release()
	r.SetUnfinished(func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	_ = c.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	h, err := medlarhead.ReadRequest(c.br, limits.MaxHeaderBytes)
	if err = memoryError(r, err); err != nil {
		s.reject(c, "", err)
		return false
	}
	if err := r.Move(medlarmemory.KindBodies, requestBytes); err != nil {
		s.reject(c, h.Method, err)
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if h.ExpectContinue {
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false
		}
	}
	body, err := s.readBody(c, h, int64(limits.MaxBodyBytes), r)
	if err != nil {
		s.reject(c, h.Method, err)
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	return s.deps.Serve(Request{Conn: c, Head: h, Body: body, Memory: r, Arrived: arrived}) && !h.Close
}

// readBody reads the body of a request, after which its memory is that of a request that waits or runs (R4).
func (s *Server) readBody(c *Conn, h *medlarhead.Head, limit int64, r *medlarmemory.Reservation) ([]byte, error) {
	if r.Dropped() { // while the deadline of the body was set in place of the one that had ended the read
		return nil, medlarmemory.ErrDropped
	}
	body, err := medlarframing.ReadReservedBody(c.br, h, limit, r)
	if err = memoryError(r, err); err != nil {
		return nil, err
	}
	return body, r.Finish(medlarmemory.KindRequests, requestBytes+cap(body))
}

// memoryError returns the error of a read, or that the read was ended because its reservation was dropped.
func memoryError(r *medlarmemory.Reservation, err error) error {
	if err != nil && r.Dropped() {
		return medlarmemory.ErrDropped
	}
	return err
}

// reject responds to a request that cannot be read (R1).
func (s *Server) reject(c *Conn, method string, err error) {
	reason := medlarreason.Malformed
	var noMemory *medlarmemory.Error
	switch kind := medlarhead.KindOf(err); {
	case errors.As(err, &noMemory):
		reason = medlarreason.Memory
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
		status = statusHeaderFieldsTooLarge
	}
	s.deps.Reject(c, method, status, reason)
}

// statusHeaderFieldsTooLarge is the status for headers, not a body, that are too large.
const statusHeaderFieldsTooLarge = 431

// WatchDisconnect calls cancel when the client disconnects. The returned function stops
// the watch and must be called before the connection is read again.
func (c *Conn) WatchDisconnect(cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := c.br.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
	}()
	return func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// Package medlarpass is the door of an attached instance: it reads requests, has the
// core choose an upstream, and passes requests and answers on unchanged.
//
// Rules:
//
//	R1  A status that promises that a request did not run (408, 429, 503) goes out
//	    only if no upstream can have run it.
//	R2  An answer of success is passed on only with the id of its request, the
//	    upstream's signature and its whole body. What is not whole ends without its
//	    end, never with a false one.
//	R3  A caller that leaves ends the work for it.
//	R4  A request has its answer by its deadline, the earlier one of the caller's and
//	    the route's.
//	R5  A stream that may be resumed goes on at another upstream after its last whole
//	    event, within the same answer and once the first connection is closed.
//	R6  A connection that was read from is closed without an answer only if the
//	    message was cut, or its answer was begun and cannot be ended.
package medlarpass

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarprobe"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarpool"
)

// Part is one part of a prompt, which other prompts may share.
type Part struct {
	ID     string
	Tokens medlarid.Tokens
}

// Call is what a request says of itself.
type Call struct {
	ID       medlarid.RequestID
	Key      string        // of the client account
	Patience time.Duration // for which the caller waits; 0 if it does not say
	Model    medlarid.ModelID
	Prompt   medlarid.Tokens
	Parts    []Part
	Last     string // id of the last event that the caller has
}

// Forward is what an upstream is told beside the request.
type Forward struct {
	Target   medlarid.InstanceID
	Account  medlarid.AccountID
	Left     time.Duration
	Last     string                 // event after which a stream goes on
	Version  medlarid.WeightVersion // that the replica must have; empty for any
	Salt     medlarkey.CacheSalt    // of the prompt's parts
	Priority medlarid.Priority
	// Fetch and Save name, for each part, the store it is fetched from and saved to;
	// empty for none. A fetch has to end by FetchTill.
	Fetch     []medlarid.Address
	Save      []medlarid.Address
	FetchTill time.Time
}

// Reply is what an upstream's answer says of itself.
type Reply struct {
	ID      medlarid.RequestID
	Signed  bool
	NotRun  bool // the upstream did not run the request
	Foreign bool // not the replica named, or not under the weight version named
	// Instance is the replica that answered, where it says so.
	Instance medlarid.InstanceID
	// Version is the weight version of the replica, where it says so.
	Version medlarid.WeightVersion
	Coded   bool // the body is not as the caller asked for it
	Life    time.Duration
}

// Seams are what the door uses of its instance.
type Seams struct {
	Catalog func() *medlarcatalog.Catalog // nil before the first one
	// Versions returns the weight versions of a model that are served and wanted.
	Versions func(medlarid.ModelID) (serving, wanted medlarid.WeightVersion)
	Submit   func(*medlarworld.Run, medlarworld.Limits) <-chan medlarworld.Command
	Done     func(medlarid.RequestID)
	Post     func(medlarworld.Event)
	// Told is told of the weight version that a replica answers under.
	Told func(medlarid.InstanceID, medlarid.WeightVersion)
	Pool *medlarpool.Pool
	// Decode reads what a request says of itself.
	Decode func(*medlarhead.Head) (Call, error)
	// Forward appends the fields of a request to an upstream.
	Forward func([]byte, *medlarhead.Head, Forward) []byte
	// Reply reads what an answer says of itself.
	Reply func(*medlarhead.Head) Reply
	// Refusal appends the fields of an answer of the system's own.
	Refusal func(b []byte, id medlarid.RequestID, after time.Duration) []byte
	// Note is told of each attempt and each request that has ended.
	Note Notes
	Rand func() float64
}

// Notes are told what the door did.
type Notes struct {
	Attempt func(*Attempt)
	Ended   func(*Summary)
}

// Attempt is an attempt that has ended.
type Attempt struct {
	ID       medlarid.RequestID
	Number   int
	Upstream medlarid.InstanceID
	Version  medlarid.WeightVersion
	Cause    medlarworld.Cause
	Reason   medlarreason.Reason
	Reached  bool
	Reused   bool // of the connection
	Status   int
	Took     time.Duration
	Err      error
}

// Summary is a request that has ended.
type Summary struct {
	ID       medlarid.RequestID
	Account  medlarid.AccountID
	Route    string
	Service  medlarid.ServiceID
	Model    medlarid.ModelID
	Config   uint64
	Status   int                 // 0 if the connection ended without an answer
	Reason   medlarreason.Reason // of a refusal
	Ran      medlarreason.Ran    // of a refusal
	After    time.Duration       // when the caller may come back
	Attempts int
	Upstream medlarid.InstanceID
	// Parts tells what was believed of each part of the prompt at the last attempt.
	Parts  []medlarworld.PartState
	Waited time.Duration // until the first attempt
	First  time.Duration // until the first byte of the answer
	Took   time.Duration
	Whole  bool // the answer is whole
}

// Times and sizes.
const (
	bodyTimeout  = 10 * time.Second // for a request's body
	stallTimeout = 10 * time.Second // of a caller that does not read
	readBuffer   = 4096             // bytes
	wholeLimit   = 64 << 10         // bytes of an answer that is passed on at once
)

// defaultLimits hold before the first catalog.
var defaultLimits = medlarcatalog.Limits{Header: 16 << 10, Body: 1 << 20, Head: 3 * time.Second, Idle: 15 * time.Second}

// Door serves callers.
type Door struct {
	seams    Seams
	draining atomic.Bool
	serial   atomic.Uint64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a door.
func New(s Seams) *Door { return &Door{seams: s, conns: map[*conn]struct{}{}} }

// conn is a connection of a caller.
type conn struct {
	net.Conn
	br *bufio.Reader

	busy   bool // has a request; the door's lock is held
	closed bool // by the door while it was idle; the door's lock is held
}

// Serve serves the connections of a listener until it is closed.
func (d *Door) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of descriptors, or a connection that broke at once
			continue
		}
		go d.serveConn(&conn{Conn: c, br: bufio.NewReaderSize(c, readBuffer)})
	}
}

// Drain makes each answer the last one of its connection.
func (d *Door) Drain() { d.draining.Store(true) }

// Busy returns the number of connections with a request.
func (d *Door) Busy() int {
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

// Open returns the number of connections.
func (d *Door) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// CloseIdle closes the connections without a request. One on which a request has
// come that was not read yet stays, and so does its request (R6).
func (d *Door) CloseIdle() {
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
func (d *Door) mark(c *conn, busy bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = struct{}{}
	c.busy = busy
	return !c.closed
}

func (d *Door) forget(c *conn) {
	_ = c.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
}

func (d *Door) limits() medlarcatalog.Limits {
	if cat := d.seams.Catalog(); cat != nil {
		return cat.Limits
	}
	return defaultLimits
}

// serveConn serves the requests of a connection one after the other.
func (d *Door) serveConn(c *conn) {
	defer d.forget(c)
	for d.mark(c, false) {
		limits := d.limits()
		if c.SetReadDeadline(time.Now().Add(limits.Idle)) != nil {
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
func (d *Door) serveOne(c *conn, limits medlarcatalog.Limits) bool {
	arrived := time.Now()
	_ = c.SetReadDeadline(arrived.Add(limits.Head))
	h, err := medlarhead.ReadRequest(c.br, limits.Header)
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
	body, err := medlarhead.ReadBody(c.br, h, int64(limits.Body))
	if err != nil {
		d.refuseUnread(c, err)
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	x := newExchange(d, c, h, body, arrived)
	defer x.release()
	return x.serve() && !h.Close
}

// refuseUnread answers a request that cannot be read. The connection ends with it,
// since where the next request begins is not known.
func (d *Door) refuseUnread(c *conn, err error) {
	reason := medlarreason.Malformed
	switch kind := medlarhead.KindOf(err); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = medlarreason.Slow
	case kind == medlarhead.KindOversized:
		reason = medlarreason.Oversized
	case kind == medlarhead.KindBroken, kind == medlarhead.KindClosed:
		return
	}
	row, _ := medlarreason.Of(reason)
	status := row.Status
	var e *medlarhead.Error
	if reason == medlarreason.Oversized && errors.As(err, &e) && e.Op == medlarhead.OpRequest {
		status = 431
	}
	s := &Summary{Status: status, Reason: reason, Ran: medlarreason.RanNo}
	_ = c.SetWriteDeadline(time.Now().Add(stallTimeout))
	_, _ = c.Write(d.refusalText(s, true))
	d.seams.Note.Ended(s)
}

// refusalText returns an answer of the system's own.
func (d *Door) refusalText(s *Summary, last bool) []byte {
	row, _ := medlarreason.Of(s.Reason)
	b := medlarhead.AppendStatus(make([]byte, 0, 256), s.Status)
	b = medlarhead.AppendField(b, "Content-Type", "text/plain")
	if last {
		b = medlarhead.AppendField(b, "Connection", "close")
	}
	b = d.seams.Refusal(b, s.ID, s.After)
	b = medlarhead.AppendLength(b, len(row.Text)+1)
	b = medlarhead.AppendEnd(b)
	b = append(b, row.Text...)
	return append(b, '\n')
}

// runID returns an id for a run that no other run of the process has, whatever id
// the caller sent.
func (d *Door) runID(id medlarid.RequestID) medlarid.RequestID {
	return id + "/" + medlarid.RequestID(strconv.FormatUint(d.serial.Add(1), 10))
}

// watch reports in ctx that a caller has left (R3). The returned function ends it
// and must be called before the connection is read again.
func (c *conn) watch(left context.CancelFunc) (end func()) {
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

// Package medlarhttp is an HTTP client that sends each request at most once.
//
// Rules:
//
//	R1  A request is sent at most once; retries are left to the retry layer.
//	R2  An error states whether any byte of the request may have reached the
//	    peer.
//	R3  Each request has a connection of its own, and the first response on that
//	    connection is the response to it. Most responses do not name their request. On
//	    a connection that carried an earlier request, a faulty peer may write the
//	    response to that one once more; it would count as the response to the present
//	    request, and each later response as that to the request after its own. On a
//	    kept connection that the peer closes, the outcome of a request could also be
//	    unknown.
//	R4  If the peer has closed the connection before the request is written, or has
//	    sent anything on it, the peer counts as unreachable: nothing was sent.
//	R5  Only DoKept and OpenPooled keep connections: DoKept for callers that can recognize a
//	    response to an earlier request from what it states, OpenPooled for callers that
//	    rely on the server to respond once to each request, in order.
//	R6  Do and DoKept hold at most one body beyond a small size at a time, so that several
//	    peers which send without end do not exhaust the memory together. A longer body waits until
//	    the others are read.
//	R7  Responses are read by the rules of medlarhead, whatever their status: a head that stops, or
//	    within which another one begins, is an error, and so is a body that is not whole, or that holds
//	    the head of a further response (medlarframing R3, R4). A body that the end of the connection delimits is not
//	    whole if the peer had not received all of the request.
package medlarhttp

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarprobe"
)

// Limits of connections and responses.
const (
	maxConnsPerHost  = 4096
	maxIdleConn      = 30 * time.Second
	maxResponseBytes = 64 << 20
	dialTimeout      = time.Second
)

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpCall   Op = "call"
	OpDecode Op = "decode"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindUnreachable Kind = "unreachable" // no connection; nothing was sent
	KindTimeout     Kind = "timeout"     // sent, but no complete response in time
	KindBroken      Kind = "broken"      // sent, but the connection failed
	KindMalformed   Kind = "malformed"   // the response cannot be decoded
	KindStatus      Kind = "status"      // the response has an error status
)

// Error is a failed request.
type Error struct {
	Op     Op
	Kind   Kind
	Status int // HTTP status, with KindStatus
	Err    error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Sent reports whether the request may have reached the peer (R2).
func (e *Error) Sent() bool { return e.Kind != KindUnreachable }

// Header is one field of a request header.
type Header struct {
	Name  string
	Value string
}

// Request is an HTTP request. Timeout bounds Do and DoJSON, but not Open and OpenPooled.
type Request struct {
	Method      string
	Address     medlarid.Address
	Path        string // path and query
	Headers     []Header
	ContentType string // content type of Body
	Body        []byte
	Timeout     time.Duration
	WantField   string // name of a header field of the response to return, or empty
	MaxBody     int    // bytes of the response's body; 0 for maxResponseBytes
}

// Response is an HTTP response with its complete body.
type Response struct {
	Status      int
	ContentType string
	ETag        string // entity tag
	Field       string // value of Request.WantField
	Body        []byte
	// ToClose is set if the end of the connection delimited the body.
	ToClose bool
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	unpooled *fasthttp.Client
	pooled   *fasthttp.Client
	bodies   *bodyReader
}

// New returns a client. idle bounds how long each read of a response waits for
// data.
func New(idle time.Duration) *Client {
	return &Client{unpooled: newClient(idle), pooled: newClient(idle), bodies: newBodyReader()}
}

func newClient(idle time.Duration) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "medlarfield",
		MaxConnsPerHost:           maxConnsPerHost,
		MaxIdleConnDuration:       maxIdleConn,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		NoDefaultUserAgentHeader:  true,
		ConfigureClient: func(hc *fasthttp.HostClient) error {
			hc.Transport = transport{}
			return nil
		},
		DialTimeout: func(addr string, timeout time.Duration) (net.Conn, error) {
			return dial(addr, timeout, idle)
		},
	}
}

// neverRetry disables the automatic retries of fasthttp (R1).
func neverRetry(*fasthttp.Request, int, error) (reset, retry bool) { return false, false }

// unsentError marks a failure that happened before anything was sent.
type unsentError struct{ err error }

func (e *unsentError) Error() string { return e.err.Error() }

func (e *unsentError) Unwrap() error { return e.err }

// dial opens a connection within the timeout of a request, if it is less than dialTimeout; 0
// for a request without a timeout.
func dial(addr string, timeout, idle time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, &unsentError{err: err}
	}
	return &idleConn{Conn: c, idle: idle}, nil
}

// idleConn is a connection that applies an idle timeout to each read, in
// addition to the deadline set by fasthttp.
type idleConn struct {
	net.Conn
	idle     time.Duration
	deadline time.Time // deadline set by fasthttp; zero if none
	written  bool      // data was written since the last read
}

// NetConn returns the connection itself.
func (c *idleConn) NetConn() net.Conn { return c.Conn }

// SetDeadline sets the deadline of reads and writes and records it for Read.
func (c *idleConn) SetDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of reads and records it for Read.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// Write writes b. It does not write the first bytes of a request if the peer has
// closed the connection or sent data (R4). If a later write fails, it is unknown whether the
// peer has processed the request.
func (c *idleConn) Write(b []byte) (int, error) {
	if !c.written && !medlarprobe.Idle(c.Conn) {
		return 0, &unsentError{err: eris.New("the peer closed the connection, or sent data, before the request was written")}
	}
	c.written = true
	return c.Conn.Write(b)
}

// Read reads with the earlier of the idle timeout and the deadline set by
// fasthttp.
func (c *idleConn) Read(b []byte) (int, error) {
	readDeadline := time.Now().Add(c.idle)
	if !c.deadline.IsZero() && c.deadline.Before(readDeadline) {
		readDeadline = c.deadline
	}
	if err := c.Conn.SetReadDeadline(readDeadline); err != nil {
		return 0, err
	}
	c.written = false
	return c.Conn.Read(b)
}

// Do sends a request on a connection of its own (R3) and reads the complete response,
// whatever its status.
func (c *Client) Do(r Request) (Response, error) { return c.do(c.unpooled, r, true) }

// DoKept is like Do but uses a kept connection if there is one (R5).
func (c *Client) DoKept(r Request) (Response, error) { return c.do(c.pooled, r, false) }

// CloseKept closes the kept connections that carry no request.
func (c *Client) CloseKept() { c.pooled.CloseIdleConnections() }

func (c *Client) do(hc *fasthttp.Client, r Request, closeConn bool) (Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, r)
	if closeConn {
		req.SetConnectionClose()
	}
	deadline := time.Now().Add(r.Timeout)
	if err := hc.DoDeadline(req, resp, deadline); err != nil {
		return Response{}, callError(err)
	}
	a := answerOf(resp)
	body, err := c.bodies.read(a, deadline, cmp.Or(r.MaxBody, maxResponseBytes))
	if err != nil {
		return Response{}, callError(err)
	}
	return Response{
		Status:      a.head.Status,
		ContentType: a.field("Content-Type"),
		ETag:        a.field("ETag"),
		Field:       a.field(r.WantField),
		Body:        body,
		ToClose:     a.head.Framing == medlarhead.FramingClose,
	}, nil
}

// answerOf returns what the transport has read.
func answerOf(resp *fasthttp.Response) *answer { return resp.BodyStream().(*answer) }

// Stream is a response whose body is read as it arrives.
type Stream struct {
	Status int
	Body   io.Reader

	answer *answer
	req    *fasthttp.Request
	resp   *fasthttp.Response
}

// Open sends a request on a connection of its own (R3) and returns once the response
// header has arrived. The caller must close the stream.
func (c *Client) Open(r Request) (*Stream, error) {
	return open(c.unpooled, r, true)
}

// OpenPooled is like Open but uses a kept connection if there is one (R5).
func (c *Client) OpenPooled(r Request) (*Stream, error) {
	return open(c.pooled, r, false)
}

func open(hc *fasthttp.Client, r Request, closeConn bool) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	fillRequest(req, r)
	if closeConn {
		req.SetConnectionClose()
	}
	if err := hc.Do(req, resp); err != nil {
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		return nil, callError(err)
	}
	a := answerOf(resp)
	return &Stream{Status: a.head.Status, Body: a, answer: a, req: req, resp: resp}, nil
}

// Header returns the value of a response header field.
func (s *Stream) Header(name string) string { return s.answer.field(name) }

// Close releases the connection. Body must not be read afterwards.
func (s *Stream) Close() {
	_ = s.resp.CloseBodyStream()
	fasthttp.ReleaseRequest(s.req)
	fasthttp.ReleaseResponse(s.resp)
}

func fillRequest(req *fasthttp.Request, r Request) {
	req.Header.SetMethod(r.Method)
	req.SetRequestURI("http://" + string(r.Address) + r.Path)
	for _, h := range r.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	if r.ContentType != "" {
		req.Header.SetContentType(r.ContentType)
	}
	req.SetBodyRaw(r.Body)
}

func callError(err error) error {
	var d *unsentError
	var n net.Error
	switch {
	case errors.As(err, &d):
		return &Error{Op: OpCall, Kind: KindUnreachable, Err: eris.Wrap(d.err, "dial")}
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return &Error{Op: OpCall, Kind: KindUnreachable, Err: err}
	case errors.Is(err, errOversized):
		return &Error{Op: OpCall, Kind: KindMalformed, Err: err}
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &n) && n.Timeout():
		return &Error{Op: OpCall, Kind: KindTimeout, Err: err}
	default:
		return &Error{Op: OpCall, Kind: KindBroken, Err: err}
	}
}

// DoJSON sends a request with in encoded as the body, unless in is nil, and
// decodes the response into out, unless out is nil. A status of 300 or more is an
// error of KindStatus.
func (c *Client) DoJSON(r Request, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return &Error{Op: OpCall, Kind: KindMalformed, Err: err}
		}
		r.ContentType = "application/json"
		r.Body = body
	}
	resp, err := c.Do(r)
	if err != nil {
		return err
	}
	if resp.Status >= fasthttp.StatusMultipleChoices {
		return StatusError(resp.Status, resp.Body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return &Error{Op: OpDecode, Kind: KindMalformed, Err: eris.Wrapf(err, "response to %s", r.Path)}
	}
	return nil
}

// maxStatusText bounds the bytes of a response body that a StatusError quotes.
const maxStatusText = 200

// StatusError returns the error for a response with an error status.
func StatusError(status int, body []byte) error {
	text := string(body[:min(len(body), maxStatusText)])
	return &Error{Op: OpCall, Kind: KindStatus, Status: status, Err: eris.Errorf("status %d: %s", status, text)}
}

// Status returns the HTTP status of an error of KindStatus, or 0 for any other
// error.
func Status(err error) int {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindStatus {
		return e.Status
	}
	return 0
}

// Sent reports whether the request that failed with err may have reached the peer
// (R2).
func Sent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent()
}

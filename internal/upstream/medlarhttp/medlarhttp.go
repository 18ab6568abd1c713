// Package medlarhttp makes HTTP calls to the platform, each exactly once.
//
// Rules:
//
//	R1  A call is sent at most once; only the retry system repeats work.
//	R2  An error says whether a byte of the request can have reached the peer.
//	R3  A call that must not be repeated uses a connection of its own, so that a
//	    pooled connection closed by the peer cannot make its fate unknown.
//	R4  A pooled connection that the peer has closed by the time of the write
//	    counts as unreachable: nothing was sent.
package medlarhttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarprobe"
)

// Limits of the client.
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
	KindUnreachable Kind = "unreachable" // no connection: nothing was sent
	KindTimeout     Kind = "timeout"     // sent, and no whole answer in time
	KindBroken      Kind = "broken"      // sent, and the connection failed
	KindMalformed   Kind = "malformed"   // an answer that cannot be read
	KindStatus      Kind = "status"      // an answer that refuses
)

// Error is a failed call.
type Error struct {
	Op     Op
	Kind   Kind
	Status int // HTTP status, with KindStatus
	Err    error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Sent reports whether the request can have reached the peer (R2).
func (e *Error) Sent() bool { return e.Kind != KindUnreachable }

// Header is one field of a request header.
type Header struct {
	Name  string
	Value string
}

// Request is one request.
type Request struct {
	Method      string
	Address     medlarid.Address
	Path        string // path and query
	Headers     []Header
	ContentType string // content type of Body
	Body        []byte
	Timeout     time.Duration
}

// Response is a whole response.
type Response struct {
	Status      int
	ContentType string
	ETag        string // entity tag
	Body        []byte
}

// Client makes calls. It is safe for concurrent use.
type Client struct {
	pooled *fasthttp.Client
	single *fasthttp.Client
}

// New returns a client. idle bounds the time between two reads of a streamed
// response.
func New(idle time.Duration) *Client {
	return &Client{pooled: newClient(idle), single: newClient(idle)}
}

func newClient(idle time.Duration) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "medlarfield",
		MaxConnsPerHost:           maxConnsPerHost,
		MaxIdleConnDuration:       maxIdleConn,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		MaxResponseBodySize:       maxResponseBytes,
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
		Dial: func(addr string) (net.Conn, error) {
			return dial(addr, idle)
		},
	}
}

// neverRetry keeps the client from repeating a request by itself (R1).
func neverRetry(*fasthttp.Request, int, error) (reset, retry bool) { return false, false }

// dialError marks failures before anything was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }

func (e *dialError) Unwrap() error { return e.err }

func dial(addr string, idle time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return &idleConn{Conn: c, idle: idle}, nil
}

// idleConn bounds the time that each read waits, beside the deadline that the
// HTTP client sets.
type idleConn struct {
	net.Conn
	idle time.Duration
	set  time.Time // deadline of the HTTP client; zero for none
	sent bool      // part of a request was written since the last read
}

// SetDeadline sets the deadline of reads and writes.
func (c *idleConn) SetDeadline(t time.Time) error {
	c.set = t
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of reads.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	c.set = t
	return c.Conn.SetReadDeadline(t)
}

// Write writes. The first part of a request is not written when the peer has
// closed the connection (R4); once a part was, a failure leaves open what the
// peer makes of it.
func (c *idleConn) Write(b []byte) (int, error) {
	if !c.sent && medlarprobe.Gone(c.Conn) {
		return 0, &dialError{err: eris.New("the peer has closed the connection")}
	}
	c.sent = true
	return c.Conn.Write(b)
}

// Read reads until the earlier of both deadlines.
func (c *idleConn) Read(b []byte) (int, error) {
	until := time.Now().Add(c.idle)
	if !c.set.IsZero() && c.set.Before(until) {
		until = c.set
	}
	if err := c.Conn.SetReadDeadline(until); err != nil {
		return 0, err
	}
	c.sent = false
	return c.Conn.Read(b)
}

// Do makes a call and reads the whole answer, whatever its status.
func (c *Client) Do(call Request) (Response, error) {
	return c.do(c.pooled, call, false)
}

// DoUnpooled makes a call on a connection of its own (R3).
func (c *Client) DoUnpooled(call Request) (Response, error) {
	return c.do(c.single, call, true)
}

func (c *Client) do(hc *fasthttp.Client, call Request, single bool) (Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	fill(req, call)
	if single {
		req.SetConnectionClose()
	}
	deadline := time.Now().Add(call.Timeout)
	if err := hc.DoDeadline(req, resp, deadline); err != nil {
		return Response{}, callError(err)
	}
	body, err := readBody(resp, deadline)
	if err != nil {
		return Response{}, callError(err)
	}
	return Response{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		ETag:        string(resp.Header.Peek("ETag")),
		Body:        body,
	}, nil
}

// readBody reads a streamed body to its end. A body that is shorter than its
// announced length is an error.
func readBody(resp *fasthttp.Response, deadline time.Time) ([]byte, error) {
	r := resp.BodyStream()
	if r == nil {
		return append([]byte(nil), resp.Body()...), nil
	}
	body, err := io.ReadAll(io.LimitReader(r, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if n := resp.Header.ContentLength(); n >= 0 && len(body) < n {
		return nil, io.ErrUnexpectedEOF
	}
	if time.Now().After(deadline) {
		return nil, fasthttp.ErrTimeout
	}
	return body, nil
}

// Stream is a response whose body is read as it comes.
type Stream struct {
	Status int
	Body   io.Reader

	req  *fasthttp.Request
	resp *fasthttp.Response
}

// Open makes a call and returns when the header of the response has come. The
// caller closes the stream.
func (c *Client) Open(call Request) (*Stream, error) {
	return c.open(c.pooled, call, false)
}

// OpenUnpooled is Open on a connection of its own (R3).
func (c *Client) OpenUnpooled(call Request) (*Stream, error) {
	return c.open(c.single, call, true)
}

func (c *Client) open(hc *fasthttp.Client, call Request, single bool) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	fill(req, call)
	if single {
		req.SetConnectionClose()
	}
	if err := hc.Do(req, resp); err != nil {
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		return nil, callError(err)
	}
	return &Stream{Status: resp.StatusCode(), Body: resp.BodyStream(), req: req, resp: resp}, nil
}

// Header returns a field of the response's header.
func (s *Stream) Header(name string) string { return string(s.resp.Header.Peek(name)) }

// Close releases the connection. The body must not be read afterwards.
func (s *Stream) Close() {
	_ = s.resp.CloseBodyStream()
	fasthttp.ReleaseRequest(s.req)
	fasthttp.ReleaseResponse(s.resp)
}

func fill(req *fasthttp.Request, call Request) {
	req.Header.SetMethod(call.Method)
	req.SetRequestURI("http://" + string(call.Address) + call.Path)
	for _, h := range call.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	req.SetBodyRaw(call.Body)
}

func callError(err error) error {
	var d *dialError
	var n net.Error
	switch {
	case errors.As(err, &d):
		return &Error{Op: OpCall, Kind: KindUnreachable, Err: eris.Wrap(d.err, "dial")}
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return &Error{Op: OpCall, Kind: KindUnreachable, Err: err}
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &n) && n.Timeout():
		return &Error{Op: OpCall, Kind: KindTimeout, Err: err}
	default:
		return &Error{Op: OpCall, Kind: KindBroken, Err: err}
	}
}

// DoJSON makes a call with in as body, unless it is nil, and reads the answer
// into out, unless it is nil. A status of 300 or more is an error of KindStatus.
func (c *Client) DoJSON(call Request, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return &Error{Op: OpCall, Kind: KindMalformed, Err: err}
		}
		call.ContentType = "application/json"
		call.Body = body
	}
	a, err := c.Do(call)
	if err != nil {
		return err
	}
	if a.Status >= fasthttp.StatusMultipleChoices {
		return StatusError(a.Status, a.Body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		return &Error{Op: OpDecode, Kind: KindMalformed, Err: eris.Wrapf(err, "answer of %s", call.Path)}
	}
	return nil
}

// maxStatusText is the number of bytes of a refusal that an error quotes.
const maxStatusText = 200

// StatusError returns the error for an answer that refuses.
func StatusError(status int, body []byte) error {
	text := string(body[:min(len(body), maxStatusText)])
	return &Error{Op: OpCall, Kind: KindStatus, Status: status, Err: eris.Errorf("status %d: %s", status, text)}
}

// Status returns the HTTP status of a refusal, or 0 for any other error.
func Status(err error) int {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindStatus {
		return e.Status
	}
	return 0
}

// Sent reports whether the request behind err can have reached the peer (R2).
func Sent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent()
}

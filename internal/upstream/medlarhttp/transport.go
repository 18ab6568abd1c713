package medlarhttp

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarprobe"
)

// Limits of the head of a response.
const (
	maxHead         = 16 << 10 // bytes
	maxInterim      = 8        // interim responses that are skipped
	statusFinalFrom = 200      // lower ones are interim responses
)

// endWait is how long what follows a body is awaited, if that shows whether the body is whole.
const endWait = 50 * time.Millisecond

// errInterim reports a peer that sends only interim responses.
var errInterim = eris.New("received only interim responses")

// transport writes requests as fasthttp does, and reads responses with medlarhead and medlarframing (R7).
type transport struct{}

// RoundTrip sends a request once. The body stream of the response is an *answer.
func (transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	var deadline time.Time
	if timeout := req.GetTimeOut(); timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	cc, err := hc.AcquireConn(req.GetTimeOut(), req.ConnectionClose())
	if err != nil {
		return false, err
	}
	a, err := exchange(hc, cc.Conn(), req, deadline)
	if err != nil {
		hc.CloseConn(cc)
		return false, err
	}
	keep := !req.ConnectionClose() && !a.head.Close
	a.release = func(whole bool) {
		if keep && whole {
			hc.ReleaseConn(cc)
			return
		}
		hc.CloseConn(cc)
	}
	resp.SetBodyStream(a, -1)
	return false, nil
}

// exchange writes a request and reads the head of its response.
func exchange(hc *fasthttp.HostClient, c net.Conn, req *fasthttp.Request, deadline time.Time) (*answer, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return nil, err
	}
	w := hc.AcquireWriter(c)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	hc.ReleaseWriter(w)
	if err != nil {
		return nil, err
	}
	br := bufio.NewReader(c)
	for range maxInterim + 1 {
		h, err := medlarhead.ReadResponse(br, maxHead, string(req.Header.Method()))
		if err != nil {
			return nil, err
		}
		if h.Status >= statusFinalFrom {
			a := newAnswer(br, h)
			a.conn, a.deadline = c, deadline
			return a, nil
		}
	}
	return nil, errInterim
}

// answer is a response whose body is read as it arrives.
type answer struct {
	conn     net.Conn
	deadline time.Time // zero for none
	head     *medlarhead.Head
	br       *bufio.Reader
	body     *medlarframing.Body
	whole    atomic.Bool // the body was read to its end, and nothing follows
	release  func(whole bool)
	released sync.Once
}

func newAnswer(br *bufio.Reader, h *medlarhead.Head) *answer {
	a := &answer{head: h, br: br, body: medlarframing.NewBody(br, h)}
	a.body.RejectHeads(ownNone)
	a.whole.Store(h.Length == 0 && h.Framing != medlarhead.FramingChunked && br.Buffered() == 0)
	return a
}

// ownNone states that no head names the request of a body: most peers name none in their responses.
func ownNone(*medlarhead.Head) bool { return false }

// Read reads the body. It returns io.EOF only if the body is whole.
func (a *answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		if endErr := a.checkEnd(); endErr != nil {
			return n, endErr
		}
		a.whole.Store(a.br.Buffered() == 0)
	}
	return n, err
}

// errUnread reports a peer that has ended the connection without having received all of the request.
var errUnread = eris.Wrap(io.ErrUnexpectedEOF, "the peer ended the connection before it had received the request")

// checkEnd returns an error if a further response has taken the place of the end of the body, or if the connection that
// delimits the body has ended before the peer had received the request.
func (a *answer) checkEnd() error {
	if a.head.Framing == medlarhead.FramingClose && medlarprobe.Unacknowledged(a.conn) {
		return errUnread
	}
	if !a.body.MayHoldHead() {
		return nil
	}
	end := time.Now().Add(endWait)
	if !a.deadline.IsZero() && a.deadline.Before(end) {
		end = a.deadline
	}
	_ = a.conn.SetReadDeadline(end)
	return a.body.CheckEnd()
}

// Close keeps the connection if the body was read to its end, or else closes it.
func (a *answer) Close() error {
	a.released.Do(func() { a.release(a.whole.Load()) })
	return nil
}

// field returns the value of a header field; empty for none.
func (a *answer) field(name string) string {
	value, _ := a.head.Get(name)
	return value
}

// length returns the length that the head states for the body; -1 for none.
func (a *answer) length() int64 {
	switch a.head.Framing {
	case medlarhead.FramingNone:
		return 0
	case medlarhead.FramingLength:
		return a.head.Length
	}
	return -1
}

package medlarproxy

import (
	"cmp"
	"context"
	"errors"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarevent"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarbody"
	"medlarfield/internal/edge/medlarbuffer"
	"medlarfield/internal/edge/medlarcall"
	"medlarfield/internal/edge/medlarpatience"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/edge/medlarproof"
	"medlarfield/internal/edge/medlarrun"
	"medlarfield/internal/edge/medlarupload"
	"medlarfield/internal/edge/medlarwithdrawal"
)

// Statuses of responses.
const (
	statusOK      = 200
	statusFailure = 500
)

// attempt is one attempt of a request at an upstream.
type attempt struct {
	*exchange
	cmd        medlarworld.StartAttempt
	started    time.Time
	deadline   time.Time        // of its reads and writes
	upstream   *medlarpool.Conn // nil before the attempt has a connection
	withdrawal *medlarwithdrawal.Attempt
	stopClose  func() bool // stops the close of upstream on a client disconnect, or when the attempt is withdrawn; false if it was closed
	upload     medlarupload.Upload
	status     int
	bodyEnd    medlarcall.BodyEnd
	reused     bool                // the connection had served a request before
	proof      medlarcall.Proof    // that the response belongs to the attempt
	unnamed    bool                // a rejection that names no request was read over
	rejected   bool                // the response says that the upstream did not run the request
	via        medlarid.InstanceID // that relays the connection; empty for none
	err        error
	lost       bool // the upstream ended the connection before its response was complete
	headBegan  bool // a byte of a response was received
}

// response is a complete response of an upstream.
type response struct {
	head *medlarhead.Head
	body []byte
}

// Reasons why a response is not relayed.
var (
	errUnsigned       = eris.New("response has no signature")
	errContentEncoded = eris.New("response has a content coding that the client did not request")
	errPromise        = eris.New("status of the response states that the request did not run, but the response is no rejection")
	errNotStream      = eris.New("response cannot continue the stream")
	errEnded          = eris.New("the instance is about to end")
	errPaused         = eris.New("upstream asked for a pause while the connection was being opened")
)

// do makes the attempt and returns its result.
func (a *attempt) do() medlarworld.AttemptEnded {
	withdrawal, ctx, end := a.proxy.attempts.Start(a.ctx, a.run.ID, a.cmd.Attempt)
	defer end()
	a.withdrawal = withdrawal
	timed, cancel := context.WithDeadline(ctx, a.run.Deadline)
	defer cancel()
	need := medlarpool.Need{ID: a.call.ID, Recent: a.run.AtMostOnce}
	c, err := a.proxy.deps.Pool.Get(timed, medlarpool.Target{ID: a.cmd.Upstream, Incarnation: a.cmd.Incarnation, Address: a.cmd.Address}, need)
	if err != nil {
		return a.failed(err, medlarreason.Unreachable, false)
	}
	a.upstream, a.reused, a.via = c, c.Reused, c.Via
	a.summary.ConnectTime, a.summary.Reused, a.summary.Via = time.Since(a.started), c.Reused, c.Via
	if a.proxy.deps.Paused(a.cmd.Upstream, a.cmd.Incarnation) { // R6
		_ = c.Close()
		return a.failed(errPaused, medlarreason.Paused, false)
	}
	a.deadline = medlarpatience.Deadline(a.route, a.summary.Attempts, a.started, a.run.Deadline)
	_ = c.SetDeadline(a.deadline)
	remove, ok := a.proxy.open.Add(c)
	if !ok {
		_ = c.Close()
		return a.failed(errEnded, medlarreason.Draining, false)
	}
	defer remove()
	a.stopClose = context.AfterFunc(ctx, func() { _ = c.Close() }) // R3, R7
	defer a.stopClose()
	if err := a.send(); err != nil {
		_ = c.Close()
		return a.failed(err, medlarreason.Broken, true)
	}
	a.proxy.patience.Await(c.Reader, a.run.Service, a.cmd.Upstream, a.deadline, a.run.Deadline, func() {
		a.deadline = a.run.Deadline
		a.proxy.open.Extend(c, a.deadline)
	})
	h, reply, err := a.readResponse()
	a.headBegan = err == nil || medlarhead.KindOf(err) == medlarhead.KindBroken
	if err != nil {
		_ = c.Close()
		return a.failed(err, medlarreason.Broken, true)
	}
	a.status = h.Status
	a.bodyEnd.Received, a.bodyEnd.Framing = true, h.Framing
	other := reply.Misdirected && reply.Instance != a.cmd.Upstream
	if reply.Version != "" && reply.Version != a.cmd.Version && reply.Proof != medlarcall.ProofNone && !other {
		a.proxy.deps.OnVersionReported(a.cmd.Upstream, reply.Version)
	}
	a.postHints(reply)
	return a.handleResponse(h, reply)
}

// postHints reports what the upstream said about further requests. A response of another
// instance at its address says nothing about it.
func (a *attempt) postHints(reply medlarcall.Reply) {
	if reply.Misdirected && reply.Instance != a.cmd.Upstream {
		return
	}
	if reply.MalformedHint {
		a.proxy.deps.OnMalformedHint(a.cmd.Upstream)
	}
	for _, e := range reply.Hints(a.call.ID, &a.cmd, a.started) {
		a.proxy.deps.Post(e)
	}
}

// send writes the request.
func (a *attempt) send() error {
	b := make([]byte, 0, 1024+min(len(a.body), medlarupload.MaxInlineBody))
	b = medlarhead.AppendRequest(b, a.head.Method, a.head.Target)
	sharing := medlarcall.Sharing{Account: a.account.ID, Arrived: a.group, Now: a.proxy.deps.Catalog().CacheGroup(a.account)}
	b = a.proxy.deps.Forward(b, a.head, sharing.Forward(&a.cmd, time.Until(a.run.Deadline), a.lastEventID()))
	if a.head.Framing != medlarhead.FramingNone || len(a.body) > 0 {
		b = medlarhead.AppendLength(b, len(a.body))
	}
	b = medlarhead.AppendEnd(b)
	var err error
	a.upload, err = medlarupload.Start(a.upstream, b, a.body)
	return err
}

// lastEventID returns the id of the last event that the client has received.
func (a *attempt) lastEventID() string {
	return cmp.Or(a.events.ID(), a.call.LastEventID)
}

// readResponse reads the head of the response.
func (a *attempt) readResponse() (*medlarhead.Head, medlarcall.Reply, error) {
	h, reply, err := medlarproof.Attempt{
		ID: a.call.ID, Method: a.head.Method, Reused: a.reused, Once: a.run.AtMostOnce, Decode: a.proxy.deps.Reply, OnUnnamed: a.unnamedRejection,
	}.Read(a.upstream.Reader)
	a.proof, a.rejected = reply.Proof, reply.Rejected()
	if a.rejected && reply.Proof != medlarcall.ProofID {
		a.proxy.deps.Pool.Isolate(a.cmd.Address)
	}
	return h, reply, err
}

// unnamedRejection takes note of a rejection that names no request. It may still be the one of this attempt, so that its
// hints count.
func (a *attempt) unnamedRejection(reply medlarcall.Reply) {
	a.unnamed = true
	_ = a.upstream.SetDeadline(medlarrun.Patience(a.route, a.started, a.run.Deadline))
	a.proxy.deps.Pool.Isolate(a.cmd.Address)
	a.postHints(reply)
}

// handleResponse classifies a response and relays it if it is valid (R2).
func (a *attempt) handleResponse(h *medlarhead.Head, reply medlarcall.Reply) medlarworld.AttemptEnded {
	contentType, _ := h.Get("Content-Type")
	success := h.Status >= statusOK && h.Status < 300
	switch {
	case reply.Rejected() && reply.Proof == medlarcall.ProofNone: // the request may run, and may be repeated
		_ = a.upstream.Close()
		return a.ended(medlarkind.CauseRetry, medlarreason.Busy, true)
	case reply.Misdirected:
		a.discard(h, reply)
		reason := medlarreason.Misdirected
		if reply.Instance == a.cmd.Upstream {
			reason = medlarreason.Version
			a.proxy.deps.OnVersionDenied(a.cmd.Upstream, a.cmd.Version)
		}
		return a.ended(medlarkind.CauseRetry, reason, false)
	case reply.NotRun:
		a.discard(h, reply)
		return a.ended(medlarkind.CauseRetry, medlarreason.Busy, false)
	case !reply.Signed || reply.ID == "":
		return a.failUnsigned(h)
	case reply.ContentEncoded:
		_ = a.upstream.Close()
		return a.failed(errContentEncoded, medlarreason.Broken, true)
	case success && a.route.Kind == medlarcatalog.KindStream && medlarevent.IsStream(contentType):
		return a.relayStream(h, reply)
	}
	return a.relayResponse(h, reply)
}

// failUnsigned returns the result of an attempt whose response has no signature. The response may
// have been cut off before it: what follows is read for a moment, to see whether the upstream ends
// the connection.
func (a *attempt) failUnsigned(h *medlarhead.Head) medlarworld.AttemptEnded {
	cut := medlarbody.CutOff(a.source(), h, medlarbuffer.MaxBody)
	_ = a.upstream.Close()
	ended := a.failed(errUnsigned, medlarreason.Broken, true)
	a.lost = cut && a.ctx.Err() == nil && !a.withdrawal.Withdrawn()
	ended.Lost = a.lost
	return ended
}

// failed returns the result of an attempt without a valid response.
func (a *attempt) failed(err error, reason medlarreason.Reason, reached bool) medlarworld.AttemptEnded {
	a.err = err
	a.lost = reached && a.ctx.Err() == nil && !a.withdrawal.Withdrawn() && (medlarhead.ConnectionEnded(err) || errors.Is(err, medlarevent.ErrConnectionEnded))
	switch {
	case a.ctx.Err() != nil:
		return a.ended(medlarkind.CauseCallerLeft, "", reached)
	case a.withdrawal.Withdrawn():
		reason = medlarreason.Outdated
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = medlarreason.Timeout
	}
	if reached && a.run.AtMostOnce {
		return a.ended(medlarkind.CauseUnknown, reason, true)
	}
	return a.ended(medlarkind.CauseRetry, reason, reached)
}

func (a *attempt) ended(cause medlarkind.Cause, reason medlarreason.Reason, reached bool) medlarworld.AttemptEnded {
	e := medlarworld.AttemptEnded{Run: a.run.ID, Attempt: a.cmd.Attempt, Cause: cause, Reason: reason, Reached: reached, Lost: a.lost, Head: a.headBegan, Began: a.withdrawal.SinceBegun()}
	e.Delimited = a.bodyEnd.Complete && a.bodyEnd.Framing == medlarhead.FramingClose
	if a.upstream != nil {
		e.Connected = a.upstream.Opened
	}
	return e
}

// report reports the result of the attempt to the observer.
func (a *attempt) report(e medlarworld.AttemptEnded) {
	a.proxy.deps.Observer.AttemptEnded(&medlarcall.Attempt{
		ID:       a.call.ID,
		Number:   e.Attempt,
		Upstream: a.cmd.Upstream,
		Build:    a.cmd.Build,
		Version:  a.cmd.Version,
		Cause:    e.Cause,
		Reason:   e.Reason,
		Reached:  e.Reached,
		Reused:   a.reused,
		Via:      a.via,
		Status:   a.status,
		Body:     a.bodyEnd,
		Decision: a.cmd.Decision,
		Duration: time.Since(a.started),
		Err:      a.err,
		Lost:     a.lost,
		Proof:    a.proof,
		Rejected: a.rejected,
		Unnamed:  a.unnamed,
		Began:    a.withdrawal.SinceBegun(),
		Parts:    a.call.Parts,
		Traits:   a.run.Traits, BodyBytes: len(a.body),
	})
}

package medlarproxy

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarcall"
	"medlarfield/internal/edge/medlarpool"
)

// Limits of answers.
const (
	answerHead    = 16 << 10 // bytes of an answer's head
	maxSkipped    = 2        // answers to other requests that are read over
	inlineBody    = 16 << 10 // bytes of a request's body that are written before the answer is read
	hangTargets   = 4        // times the target after which a first attempt is left
	statusOK      = 200
	statusFailure = 500
)

// attempt is one try of a request at an upstream.
type attempt struct {
	*exchange
	cmd    medlarworld.StartAttempt
	begin  time.Time
	up     *medlarpool.Conn // to the upstream; nil before there is one
	keep   func() bool      // ends that the caller's leaving closes up; false if it has
	wrote  chan error       // end of a body that is written beside the answer; nil for none
	status int
	reused bool // the connection had served a request before
	err    error
}

// answer is a whole answer of an upstream.
type answer struct {
	head *medlarhead.Head
	body []byte
}

// errUnsigned and others say why an answer is not passed on.
var (
	errUnsigned = eris.New("answer without a signature")
	errForeign  = eris.New("answers to other requests only")
	errCoded    = eris.New("answer with a content coding")
	errNoStream = eris.New("no stream to go on with")
)

// make makes the attempt and returns how it ended.
func (a *attempt) make() medlarworld.AttemptEnded {
	ctx, cancel := context.WithDeadline(a.ctx, a.run.Deadline)
	defer cancel()
	c, err := a.pass.seams.Pool.Get(ctx, a.cmd.Address, a.run.AtMostOnce)
	if err != nil {
		return a.failed(err, medlarreason.Unreachable, false)
	}
	a.up, a.reused = c, c.Reused
	a.sum.ConnectTime = time.Since(a.begin)
	_ = c.SetDeadline(a.deadline())
	a.keep = context.AfterFunc(a.ctx, func() { _ = c.Close() }) // R3
	defer a.keep()
	if err := a.send(); err != nil {
		_ = c.Close()
		return a.failed(err, medlarreason.Broken, true)
	}
	h, reply, err := a.receive()
	if err != nil {
		_ = c.Close()
		return a.failed(err, medlarreason.Broken, true)
	}
	a.status = h.Status
	if reply.Version != "" && reply.Version != a.cmd.Version {
		a.pass.seams.OnVersionReported(a.cmd.Upstream, reply.Version)
	}
	return a.judge(h, reply)
}

// deadline returns the end of the attempt. The first attempt of a request that may be
// repeated elsewhere ends earlier: a replica that hangs is left while another one can
// still answer.
func (a *attempt) deadline() time.Time {
	again := a.route.Kind == medlarcatalog.KindIdempotent && a.route.MaxAttempts > 1 && a.sum.Attempts == 1
	if early := a.begin.Add(hangTargets * a.route.TargetLatency); again && a.route.TargetLatency > 0 && early.Before(a.run.Deadline) {
		return early
	}
	return a.run.Deadline
}

// send writes the request. A long body is written beside the answer, which may come
// before all of it was read.
func (a *attempt) send() error {
	b := make([]byte, 0, 1024+min(len(a.body), inlineBody))
	b = medlarhead.AppendRequest(b, a.head.Method, a.head.Target)
	b = a.pass.seams.Forward(b, a.head, medlarcall.Forward{
		Target:      a.cmd.Upstream,
		Account:     a.account.ID,
		Timeout:     time.Until(a.run.Deadline),
		LastEventID: a.lastEvent(),
		Version:     a.cmd.Version,
		Salt:        a.salt(a.cmd.Version),
		Priority:    a.cmd.Priority,
		Fetch:       a.cmd.Fetch, Save: a.cmd.Save, FetchDeadline: a.cmd.FetchDeadline,
	})
	if a.head.Framing != medlarhead.FramingNone || len(a.body) > 0 {
		b = medlarhead.AppendLength(b, len(a.body))
	}
	b = medlarhead.AppendEnd(b)
	if len(a.body) <= inlineBody {
		_, err := a.up.Write(append(b, a.body...))
		return err
	}
	if _, err := a.up.Write(b); err != nil {
		return err
	}
	a.wrote = make(chan error, 1)
	go func() {
		_, err := a.up.Write(a.body)
		a.wrote <- err
	}()
	return nil
}

// lastEvent returns the id of the last event that the caller has.
func (a *attempt) lastEvent() string {
	if id := a.events.ID(); id != "" {
		return id
	}
	return a.call.LastEventID
}

// receive reads the head of the answer. Late answers to other requests are read
// over.
func (a *attempt) receive() (*medlarhead.Head, medlarcall.Reply, error) {
	for range maxSkipped + 1 {
		h, err := medlarhead.ReadResponse(a.up.Reader, answerHead, a.head.Method)
		if err != nil {
			return nil, medlarcall.Reply{}, err
		}
		if h.Status < statusOK {
			continue
		}
		reply := a.pass.seams.Reply(h)
		if reply.ID == "" || reply.ID == a.call.ID {
			return h, reply, nil
		}
		if h.Framing == medlarhead.FramingClose {
			break
		}
		if _, err := io.Copy(io.Discard, medlarhead.NewBody(a.up.Reader, h)); err != nil {
			return nil, medlarcall.Reply{}, err
		}
	}
	return nil, medlarcall.Reply{}, errForeign
}

// judge decides what an answer is, and passes it on if it is the one (R2).
func (a *attempt) judge(h *medlarhead.Head, reply medlarcall.Reply) medlarworld.AttemptEnded {
	success := h.Status >= statusOK && h.Status < 300
	switch {
	case reply.Misdirected:
		a.drop(h, reply)
		reason := medlarreason.Misdirected
		if reply.Instance == a.cmd.Upstream {
			reason = medlarreason.Version
			a.pass.seams.OnVersionDenied(a.cmd.Upstream, a.cmd.Version)
		}
		return a.ended(medlarworld.CauseRetry, reason, false)
	case reply.NotRun:
		a.drop(h, reply)
		return a.ended(medlarworld.CauseRetry, medlarreason.Busy, false)
	case !reply.Signed || reply.ID == "":
		_ = a.up.Close()
		return a.failed(errUnsigned, medlarreason.Broken, true)
	case reply.ContentEncoded:
		_ = a.up.Close()
		return a.failed(errCoded, medlarreason.Broken, true)
	case success && a.route.Kind == medlarcatalog.KindStream:
		return a.stream(h, reply)
	}
	return a.whole(h, reply)
}

// whole passes an answer on that is no stream.
func (a *attempt) whole(h *medlarhead.Head, reply medlarcall.Reply) medlarworld.AttemptEnded {
	if a.begun { // a stream cannot go on with this
		_ = a.up.Close()
		return a.failed(errNoStream, medlarreason.Broken, true)
	}
	body := medlarhead.NewBody(a.up.Reader, h)
	buf, err := medlarhead.ReadSome(body, wholeLimit)
	if err != nil {
		_ = a.up.Close()
		return a.failed(err, medlarreason.Truncated, true)
	}
	if !body.Done() {
		return a.long(h, buf, body, reply)
	}
	a.giveBack(h, reply)
	out := &answer{head: h, body: buf}
	if h.Status >= statusFailure && !a.run.AtMostOnce {
		a.held = out
		return a.ended(medlarworld.CauseRetry, medlarreason.Failure, true)
	}
	return a.deliver(out)
}

// deliver passes a whole answer on.
func (a *attempt) deliver(out *answer) medlarworld.AttemptEnded {
	switch {
	case a.sendWhole(out) != nil:
		return a.ended(medlarworld.CauseCallerLeft, "", true)
	case out.head.Status >= statusFailure:
		return a.ended(medlarworld.CauseUpstreamError, "", true)
	}
	return a.ended(medlarworld.CauseDone, "", true)
}

// long passes an answer on while it comes.
func (a *attempt) long(h *medlarhead.Head, first []byte, body *medlarhead.Body, reply medlarcall.Reply) medlarworld.AttemptEnded {
	b := medlarhead.AppendChunked(a.answerHead(h))
	a.begun = true
	if a.write(medlarhead.AppendChunk(b, first)) != nil {
		_ = a.up.Close()
		return a.ended(medlarworld.CauseCallerLeft, "", true)
	}
	buf := make([]byte, wholeLimit)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if a.write(medlarhead.AppendChunk(nil, buf[:n])) != nil {
				_ = a.up.Close()
				return a.ended(medlarworld.CauseCallerLeft, "", true)
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			_ = a.up.Close()
			a.err = err
			return a.ended(medlarworld.CauseUnknown, medlarreason.Truncated, true)
		}
	}
	a.giveBack(h, reply)
	return a.finish()
}

// finish writes the end of a chunked answer.
func (a *attempt) finish() medlarworld.AttemptEnded {
	if a.write([]byte(medlarhead.LastChunk)) != nil {
		return a.ended(medlarworld.CauseCallerLeft, "", true)
	}
	a.sum.Complete = true
	return a.ended(medlarworld.CauseDone, "", true)
}

// stream passes an event stream on. Its head goes out with the first event, so that
// a stream that breaks before is repeated unseen.
func (a *attempt) stream(h *medlarhead.Head, reply medlarcall.Reply) medlarworld.AttemptEnded {
	body := medlarhead.NewBody(a.up.Reader, h)
	a.events.Reset()
	buf := make([]byte, readBuffer)
	var out []byte
	for {
		n, err := body.Read(buf)
		var cutErr error
		out, cutErr = a.events.Split(out[:0], buf[:n])
		if err == io.EOF {
			out = a.events.Flush(out)
		}
		if len(out) > 0 && a.sendEvents(h, out) != nil {
			_ = a.up.Close()
			return a.ended(medlarworld.CauseCallerLeft, "", true)
		}
		if err == io.EOF {
			break
		}
		if err = errors.Join(err, cutErr); err != nil {
			_ = a.up.Close() // before the stream goes on elsewhere (R5)
			return a.failed(err, medlarreason.Truncated, true)
		}
	}
	a.giveBack(h, reply)
	if !a.begun {
		return a.deliver(&answer{head: h}) // a stream without events
	}
	return a.finish()
}

// sendEvents writes whole events, the first ones behind the answer's head.
func (a *attempt) sendEvents(h *medlarhead.Head, events []byte) error {
	if a.begun {
		return a.write(medlarhead.AppendChunk(nil, events))
	}
	a.begun = true
	a.pass.seams.Post(medlarworld.AnswerBegan{Run: a.run.ID, Attempt: a.cmd.Attempt, After: time.Since(a.begin), Version: a.cmd.Version})
	b := medlarhead.AppendChunked(a.answerHead(h))
	return a.write(medlarhead.AppendChunk(b, events))
}

// answerHead returns the head of an answer up to its framing, and notes its status.
func (x *exchange) answerHead(h *medlarhead.Head) []byte {
	x.sum.Status = h.Status
	b := medlarhead.AppendStatus(make([]byte, 0, 1024), h.Status)
	h.EndToEnd(func(f medlarhead.Field) { b = medlarhead.AppendField(b, f.Name, f.Value) })
	if x.last() {
		b = medlarhead.AppendField(b, "Connection", "close")
	}
	return b
}

// sendWhole writes a whole answer.
func (x *exchange) sendWhole(out *answer) error {
	b := x.answerHead(out.head)
	if out.head.Framing != medlarhead.FramingNone {
		b = medlarhead.AppendLength(b, len(out.body))
	}
	b = append(medlarhead.AppendEnd(b), out.body...)
	x.begun = true
	err := x.write(b)
	x.sum.Complete = err == nil
	return err
}

// giveBack gives the connection back after a whole answer, unless the request's body
// is still being written, or the caller's leaving has closed it: from here on another
// request may use it.
func (a *attempt) giveBack(h *medlarhead.Head, reply medlarcall.Reply) {
	if !a.keep() || h.Close || !a.written() {
		_ = a.up.Close()
		return
	}
	a.pass.seams.Pool.Put(a.up, reply.KeepAlive)
}

// written reports whether the whole request was written.
func (a *attempt) written() bool {
	if a.wrote == nil {
		return true
	}
	select {
	case err := <-a.wrote:
		return err == nil
	default:
		return false
	}
}

// drop reads an answer over that is not passed on.
func (a *attempt) drop(h *medlarhead.Head, reply medlarcall.Reply) {
	body := medlarhead.NewBody(a.up.Reader, h)
	if _, err := io.Copy(io.Discard, io.LimitReader(body, wholeLimit)); err != nil || !body.Done() {
		_ = a.up.Close()
		return
	}
	a.giveBack(h, reply)
}

// failed returns the end of an attempt without an answer.
func (a *attempt) failed(err error, reason medlarreason.Reason, reached bool) medlarworld.AttemptEnded {
	a.err = err
	switch {
	case a.ctx.Err() != nil:
		return a.ended(medlarworld.CauseCallerLeft, "", reached)
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = medlarreason.Timeout
	}
	if reached && a.run.AtMostOnce {
		return a.ended(medlarworld.CauseUnknown, reason, true)
	}
	return a.ended(medlarworld.CauseRetry, reason, reached)
}

func (a *attempt) ended(cause medlarworld.Cause, reason medlarreason.Reason, reached bool) medlarworld.AttemptEnded {
	return medlarworld.AttemptEnded{Run: a.run.ID, Attempt: a.cmd.Attempt, Cause: cause, Reason: reason, Reached: reached}
}

// note tells of the attempt.
func (a *attempt) note(e medlarworld.AttemptEnded) {
	a.pass.seams.Observer.AttemptEnded(&medlarcall.Attempt{
		ID:       a.call.ID,
		Number:   e.Attempt,
		Upstream: a.cmd.Upstream,
		Version:  a.cmd.Version,
		Cause:    e.Cause,
		Reason:   e.Reason,
		Reached:  e.Reached,
		Reused:   a.reused,
		Status:   a.status,
		Decision: a.cmd.Decision,
		Duration: time.Since(a.begin),
		Err:      a.err,
	})
}

package medlarproxy

import (
	"io"
	"time"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarbody"
	"medlarfield/internal/edge/medlarbuffer"
	"medlarfield/internal/edge/medlarcall"
	"medlarfield/internal/edge/medlarrun"
)

// source returns what the body of the response is read from.
func (a *attempt) source() medlarbody.Source {
	return medlarbody.Source{Conn: a.upstream, Buffer: a.upstream.Reader, Deadline: a.deadline, Written: a.upload.Await()}
}

// isOwn reports whether the head of a response names the request of the attempt.
func (a *attempt) isOwn(h *medlarhead.Head) bool { return a.proxy.deps.Reply(h).ID == a.call.ID }

// relayResponse relays a response that is not a stream.
func (a *attempt) relayResponse(h *medlarhead.Head, reply medlarcall.Reply) medlarworld.AttemptEnded {
	if a.responseStarted || a.run.Resumes && h.Status < 300 { // the response cannot continue a stream
		_ = a.upstream.Close()
		return a.failed(errNotStream, medlarreason.Broken, true)
	}
	if a.run.AtMostOnce && medlarreason.MeansNotRun(h.Status) { // R1
		_ = a.upstream.Close()
		return a.failed(errPromise, medlarreason.Failure, true)
	}
	body := medlarbody.New(a.source(), h)
	body.RejectHeads(a.isOwn)
	buf, whole, err := body.ReadSome(a.buffers.ReserveAnswer(h))
	if err != nil {
		_ = a.upstream.Close()
		return a.failed(err, medlarreason.Truncated, true)
	}
	if !whole {
		return a.relayChunked(h, buf, body, reply)
	}
	a.bodyEnd.Complete = true
	a.returnConn(h, reply)
	resp := &response{head: h, body: buf}
	if h.Status >= statusFailure && !a.run.AtMostOnce {
		a.fallback = resp
		return a.ended(medlarkind.CauseRetry, medlarreason.Failure, true)
	}
	return a.complete(resp)
}

// complete sends a complete response and returns the result of the attempt.
func (a *attempt) complete(resp *response) medlarworld.AttemptEnded {
	switch {
	case a.sendResponse(resp) != nil:
		return a.ended(medlarkind.CauseCallerLeft, "", true)
	case resp.head.Status >= statusFailure:
		return a.ended(medlarkind.CauseAnswered, "", true)
	}
	return a.ended(medlarkind.CauseDone, "", true)
}

// relayChunked relays a long response as it arrives.
func (a *attempt) relayChunked(h *medlarhead.Head, first []byte, body *medlarbody.Reader, reply medlarcall.Reply) medlarworld.AttemptEnded {
	b := medlarhead.AppendChunkedEnd(a.responseHead(h))
	a.withdrawal.Begin()
	a.responseStarted = true
	a.upstream.AnswerBegan()
	if a.write(medlarhead.AppendChunk(b, first)) != nil {
		_ = a.upstream.Close()
		return a.ended(medlarkind.CauseCallerLeft, "", true)
	}
	buf := make([]byte, max(len(first), medlarbuffer.Read))
	var chunk []byte
	for {
		n, err := body.Read(buf)
		if n > 0 {
			chunk = medlarhead.AppendChunk(chunk[:0], buf[:n])
			if a.write(chunk) != nil {
				_ = a.upstream.Close()
				return a.ended(medlarkind.CauseCallerLeft, "", true)
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			_ = a.upstream.Close()
			a.err, a.lost = err, medlarhead.ConnectionEnded(err)
			return a.ended(medlarkind.CauseUnknown, medlarreason.Truncated, true)
		}
	}
	a.bodyEnd.Complete = true
	a.returnConn(h, reply)
	return a.finishChunked()
}

// finishChunked writes the final chunk of a response.
func (a *attempt) finishChunked() medlarworld.AttemptEnded {
	if a.write([]byte(medlarhead.LastChunk)) != nil {
		return a.ended(medlarkind.CauseCallerLeft, "", true)
	}
	a.summary.Complete = true
	return a.ended(medlarkind.CauseDone, "", true)
}

// relayStream relays an event stream. The head is sent with the first event, so that a stream
// that fails before it is retried without the client noticing.
func (a *attempt) relayStream(h *medlarhead.Head, reply medlarcall.Reply) medlarworld.AttemptEnded {
	a.buffers.BeginStream()
	body := medlarbody.New(a.source(), h)
	last := ""
	if !a.run.AtMostOnce { // otherwise the stream begins anew, whatever event the client names
		last = a.lastEventID()
	}
	a.events.Resume(last)
	buf := make([]byte, medlarbuffer.Read)
	var events []byte
	for !a.bodyEnd.Complete {
		n, err := body.Read(buf)
		a.bodyEnd.Complete = err == io.EOF
		var splitErr error
		events, splitErr = a.events.Split(events[:0], buf[:n])
		if splitErr == nil {
			splitErr = a.buffers.ReserveEvent(a.events.Buffered())
		}
		switch {
		case splitErr != nil:
			err = splitErr
		case a.bodyEnd.Complete:
			events, err = a.events.Finish(events, h.Framing == medlarhead.FramingClose)
		}
		if len(events) > 0 {
			a.withdrawal.Begin()
		}
		if len(events) > 0 && a.sendEvents(h, events) != nil {
			_ = a.upstream.Close()
			return a.ended(medlarkind.CauseCallerLeft, "", true)
		}
		if err != nil {
			a.bodyEnd.PartialBytes = a.events.PartialBytes()
			_ = a.upstream.Close() // before the stream is resumed at another upstream (R5)
			return a.failed(err, medlarreason.Truncated, true)
		}
	}
	a.returnConn(h, reply)
	if !a.responseStarted {
		return a.complete(&response{head: h}) // the stream has no events
	}
	return a.finishChunked()
}

// sendEvents writes complete events, preceded by the response's head if it was not sent yet.
func (a *attempt) sendEvents(h *medlarhead.Head, events []byte) error {
	if a.responseStarted {
		return a.write(medlarhead.AppendChunk(nil, events))
	}
	a.responseStarted = true
	if a.cmd.AwaitRecord {
		medlarrun.AwaitRecord(a.ctx, a.commands, a.cmd.Attempt)
	}
	a.upstream.AnswerBegan()
	a.proxy.deps.Post(medlarworld.AnswerBegan{Run: a.run.ID, Attempt: a.cmd.Attempt, After: time.Since(a.started), Version: a.cmd.Version})
	b := medlarhead.AppendChunkedEnd(a.responseHead(h))
	return a.write(medlarhead.AppendChunk(b, events))
}

// responseHead returns the head of a response without its framing, and records its status.
func (x *exchange) responseHead(h *medlarhead.Head) []byte {
	x.summary.Status = h.Status
	b := medlarhead.AppendStatus(make([]byte, 0, 1024), h.Status)
	h.EndToEnd(func(f medlarhead.Field) { b = medlarhead.AppendField(b, f.Name, f.Value) })
	if x.closesConn() {
		b = medlarhead.AppendField(b, "Connection", "close")
	}
	return b
}

// sendResponse writes a complete response.
func (x *exchange) sendResponse(resp *response) error {
	b := x.responseHead(resp.head)
	if resp.head.Framing != medlarhead.FramingNone {
		b = medlarhead.AppendLength(b, len(resp.body))
	}
	b = append(medlarhead.AppendEnd(b), resp.body...)
	x.responseStarted = true
	err := x.write(b)
	x.summary.Complete = err == nil
	return err
}

// returnConn returns the connection to the pool after a complete response, where another
// request may use it. It closes the connection instead if the upstream asks for that, if
// the request's body is still being written or its write failed, or if the connection was
// closed because the client disconnected.
func (a *attempt) returnConn(h *medlarhead.Head, reply medlarcall.Reply) {
	a.bodyEnd.Followed = a.upstream.Reader.Buffered() > 0
	if !a.stopClose() || h.Close || !a.upload.Written() {
		_ = a.upstream.Close()
		return
	}
	a.proxy.deps.Pool.Put(a.upstream, reply.KeepAlive)
}

// discard reads a response that is not relayed, so that the connection can be reused.
func (a *attempt) discard(h *medlarhead.Head, reply medlarcall.Reply) {
	if !medlarbody.Discard(a.source(), h, medlarbuffer.MaxBody) {
		_ = a.upstream.Close()
		return
	}
	a.bodyEnd.Complete = true
	a.returnConn(h, reply)
}

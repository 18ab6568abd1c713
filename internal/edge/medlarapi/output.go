package medlarapi

import (
	"bufio"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarprobe"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/edge/medlaranswer"
	"medlarfield/internal/edge/medlarsession"
)

// commentInterval is the time after which a comment is sent on an idle stream, so
// that proxies on the way do not close the connection.
const commentInterval = 10 * time.Second

// responder writes the response to a model request.
type responder struct {
	api     *API
	q       *request
	req     *modelRequest
	session *medlarsession.Session
	conn    net.Conn
}

// callerGone reports whether the caller has closed the connection.
func (resp *responder) callerGone() bool { return medlarprobe.Gone(resp.conn) }

// next returns the next update of the session that is not idle.
func (resp *responder) next() medlarsession.Update {
	for {
		if u := resp.session.Next(resp.callerGone); !u.Idle {
			return u
		}
	}
}

// done informs the core that no further commands for the request are needed.
func (resp *responder) done() { resp.api.deps.Done(resp.q.id) }

// formatter returns a formatter for the response.
func (resp *responder) formatter() *medlaranswer.Formatter {
	return medlaranswer.New(resp.q.id, resp.req.model, resp.req.chat, time.Now())
}

func (resp *responder) observeTTFT() {
	resp.api.deps.Metrics.ObserveTTFT(resp.req.model, time.Since(resp.q.arrived))
}

func (resp *responder) countAnswer(u medlarsession.Update) {
	m := resp.api.deps.Metrics
	m.Answered("model")
	m.AddTokens(u.Usage.Prompt, u.Usage.Cached, u.Usage.Completion)
}

// respond collects the whole answer and sends it as one response.
func (resp *responder) respond(ctx *fasthttp.RequestCtx) {
	defer resp.done()
	resp.conn = ctx.Conn()
	started := false
	for {
		u := resp.next()
		switch {
		case u.CallerGone:
			resp.api.deps.Metrics.Refused(medlarreason.Gone)
			ctx.SetConnectionClose()
			return
		case u.Refusal != nil:
			resp.api.refuse(ctx, resp.q, refusal{Refusal: *u.Refusal})
			return
		case u.Replay != nil:
			resp.api.replay(ctx, resp.q, u.Replay)
			return
		case u.Complete:
			resp.sendResponse(ctx, u)
			return
		case !started:
			started = true
			resp.observeTTFT()
		}
	}
}

func (resp *responder) sendResponse(ctx *fasthttp.RequestCtx, u medlarsession.Update) {
	out := resp.formatter().Response(resp.session.Text(), u.FinishReason, u.Usage)
	resp.api.setHeaders(ctx, resp.q)
	writeJSON(ctx, fasthttp.StatusOK, out)
	resp.session.RecordAnswer(fasthttp.StatusOK, "application/json", ctx.Response.Body())
	resp.countAnswer(u)
}

// stream sends the answer as server-sent events. The first update determines the
// HTTP status; a later refusal is sent as an error event.
func (resp *responder) stream(ctx *fasthttp.RequestCtx) {
	resp.conn = ctx.Conn()
	u := resp.next()
	switch {
	case u.CallerGone:
		resp.done()
		resp.api.deps.Metrics.Refused(medlarreason.Gone)
		ctx.SetConnectionClose()
		return
	case u.Refusal != nil:
		resp.done()
		resp.api.refuse(ctx, resp.q, refusal{Refusal: *u.Refusal})
		return
	}
	resp.observeTTFT()
	resp.api.setHeaders(ctx, resp.q)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { resp.writeStream(w, u) })
}

// writeStream writes updates until the answer is complete, the request is refused
// or the caller has disconnected.
func (resp *responder) writeStream(w *bufio.Writer, u medlarsession.Update) {
	defer resp.done()
	formatter := resp.formatter()
	lastWrite := time.Now()
	var buf []byte
	for {
		switch {
		case u.CallerGone:
			resp.api.deps.Metrics.Refused(medlarreason.Gone)
			return
		case u.Refusal != nil:
			resp.api.deps.Metrics.Refused(u.Refusal.Reason)
			resp.writeRefusal(w, *u.Refusal)
			return
		case u.Complete:
			writeFinalChunk(w, formatter, u)
			resp.countAnswer(u)
			return
		case u.Idle:
			if time.Since(lastWrite) < commentInterval {
				break
			}
			_, _ = w.WriteString(":\n\n")
			fallthrough
		default:
			lastWrite = time.Now()
			buf = formatter.AppendEvents(buf[:0], u.Texts)
			_, _ = w.Write(buf)
			if w.Flush() != nil {
				resp.session.Abandon()
				resp.api.deps.Metrics.Refused(medlarreason.Gone)
				return
			}
		}
		u = resp.session.Next(resp.callerGone)
	}
}

func writeFinalChunk(w *bufio.Writer, formatter *medlaranswer.Formatter, u medlarsession.Update) {
	_, _ = w.Write(medlaranswer.Event("", formatter.FinalChunk(u.FinishReason, u.Usage)))
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// writeRefusal ends an incomplete stream with an error event and without [DONE].
func (resp *responder) writeRefusal(w *bufio.Writer, r medlarsession.Refusal) {
	_, _ = w.Write(medlaranswer.Event("error", errorBody{Error: newErrorDetail(resp.q, refusal{Refusal: r})}))
	_ = w.Flush()
}

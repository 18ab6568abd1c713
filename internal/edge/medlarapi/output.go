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

// commentInterval is the time after which an idle stream gets a comment, so that
// what stands between does not close it.
const commentInterval = 10 * time.Second

// output writes the answer to a model request.
type output struct {
	caller  *API
	q       *request
	run     *modelRun
	session *medlarsession.Session
	conn    net.Conn
}

// gone reports whether the caller has closed the connection.
func (o *output) gone() bool { return medlarprobe.Gone(o.conn) }

// next returns the next piece of news, leaving out idle times.
func (o *output) next() medlarsession.Update {
	for {
		if p := o.session.Next(o.gone); !p.Idle {
			return p
		}
	}
}

// end takes the request off the books.
func (o *output) end() { o.caller.seams.Done(o.q.id) }

// form returns the form of the answer.
func (o *output) form() *medlaranswer.Formatter {
	return medlaranswer.New(o.q.id, o.run.model, o.run.chat, time.Now())
}

func (o *output) first() {
	o.caller.seams.Metrics.ObserveTTFT(o.run.model, time.Since(o.q.arrived))
}

func (o *output) answered(p medlarsession.Update) {
	m := o.caller.seams.Metrics
	m.Answered("model")
	m.AddTokens(p.Usage.Prompt, p.Usage.Cached, p.Usage.Completion)
}

// whole gathers the answer and sends it at once.
func (o *output) whole(ctx *fasthttp.RequestCtx) {
	defer o.end()
	o.conn = ctx.Conn()
	begun := false
	for {
		p := o.next()
		switch {
		case p.CallerGone:
			o.caller.seams.Metrics.Refused(medlarreason.Gone)
			ctx.SetConnectionClose()
			return
		case p.Refusal != nil:
			o.caller.refuse(ctx, o.q, answer{Refusal: *p.Refusal})
			return
		case p.Replay != nil:
			o.caller.replay(ctx, o.q, p.Replay)
			return
		case p.Complete:
			o.sendWhole(ctx, p)
			return
		case !begun:
			begun = true
			o.first()
		}
	}
}

func (o *output) sendWhole(ctx *fasthttp.RequestCtx, p medlarsession.Update) {
	out := o.form().Response(o.session.Text(), p.FinishReason, p.Usage)
	o.caller.head(ctx, o.q)
	reply(ctx, fasthttp.StatusOK, out)
	o.session.RecordAnswer(fasthttp.StatusOK, "application/json", ctx.Response.Body())
	o.answered(p)
}

// stream sends the answer as it comes. The status is decided by the first piece;
// later a refusal is an event.
func (o *output) stream(ctx *fasthttp.RequestCtx) {
	o.conn = ctx.Conn()
	p := o.next()
	switch {
	case p.CallerGone:
		o.end()
		o.caller.seams.Metrics.Refused(medlarreason.Gone)
		ctx.SetConnectionClose()
		return
	case p.Refusal != nil:
		o.end()
		o.caller.refuse(ctx, o.q, answer{Refusal: *p.Refusal})
		return
	}
	o.first()
	o.caller.head(ctx, o.q)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { o.pump(w, p) })
}

// pump writes pieces until the answer is whole or the caller has gone.
func (o *output) pump(w *bufio.Writer, p medlarsession.Update) {
	defer o.end()
	form := o.form()
	quietSince := time.Now()
	var buf []byte
	for {
		switch {
		case p.CallerGone:
			o.caller.seams.Metrics.Refused(medlarreason.Gone)
			return
		case p.Refusal != nil:
			o.caller.seams.Metrics.Refused(p.Refusal.Reason)
			o.writeRefusal(w, *p.Refusal)
			return
		case p.Complete:
			writeLast(w, form, p)
			o.answered(p)
			return
		case p.Idle:
			if time.Since(quietSince) < commentInterval {
				break
			}
			_, _ = w.WriteString(":\n\n")
			fallthrough
		default:
			quietSince = time.Now()
			buf = form.AppendEvents(buf[:0], p.Texts)
			_, _ = w.Write(buf)
			if w.Flush() != nil {
				o.session.Abandon()
				o.caller.seams.Metrics.Refused(medlarreason.Gone)
				return
			}
		}
		p = o.session.Next(o.gone)
	}
}

func writeLast(w *bufio.Writer, form *medlaranswer.Formatter, p medlarsession.Update) {
	_, _ = w.Write(medlaranswer.Event("", form.FinalChunk(p.FinishReason, p.Usage)))
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// writeRefusal ends a stream that is not whole: an error event and no [DONE].
func (o *output) writeRefusal(w *bufio.Writer, r medlarsession.Refusal) {
	_, _ = w.Write(medlaranswer.Event("error", errorBody{Error: detailOf(o.q, answer{Refusal: r})}))
	_ = w.Flush()
}

package medlarcaller

import (
	"bufio"
	"net"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarprobe"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/edge/medlarsession"
	"medlarfield/internal/platform/medlarengine"
)

// commentInterval is the time after which an idle stream gets a comment, so that
// what stands between does not close it.
const commentInterval = 10 * time.Second

// output writes the answer to a model request.
type output struct {
	caller  *Caller
	q       *request
	run     *modelRun
	session *medlarsession.Session
	conn    net.Conn
	created int64
	head    []byte // start of every event of this stream
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// completion is a whole answer.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   medlarid.ModelID   `json:"model"`
	Choices []choice           `json:"choices"`
	Usage   medlarengine.Usage `json:"usage"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitzero"`
	Message *chatOut `json:"message,omitzero"`
	Delta   *chatOut `json:"delta,omitzero"`
	Finish  *string  `json:"finish_reason"`
}

type chatOut struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// gone reports whether the caller has closed the connection.
func (o *output) gone() bool { return medlarprobe.Gone(o.conn) }

// next returns the next piece of news, leaving out idle times.
func (o *output) next() medlarsession.Piece {
	for {
		if p := o.session.Next(o.gone); !p.Idle {
			return p
		}
	}
}

// end takes the request off the books.
func (o *output) end() { o.caller.seams.Done(o.q.id) }

func (o *output) first() {
	o.caller.seams.Metrics.First(o.run.model, time.Since(o.q.arrived))
}

func (o *output) answered(p medlarsession.Piece) {
	m := o.caller.seams.Metrics
	m.Answered("model")
	m.Tokens(p.Usage.Prompt, p.Usage.Cached, p.Usage.Completion)
}

// whole gathers the answer and sends it at once.
func (o *output) whole(ctx *fasthttp.RequestCtx) {
	defer o.end()
	o.conn = ctx.Conn()
	begun := false
	for {
		p := o.next()
		switch {
		case p.Gone:
			o.caller.seams.Metrics.Refused(medlarreason.Gone)
			ctx.SetConnectionClose()
			return
		case p.Refusal != nil:
			o.caller.refuse(ctx, o.q, answer{Refusal: *p.Refusal})
			return
		case p.Replay != nil:
			o.caller.replay(ctx, o.q, p.Replay)
			return
		case p.Last:
			o.sendWhole(ctx, p)
			return
		case !begun:
			begun = true
			o.first()
		}
	}
}

func (o *output) sendWhole(ctx *fasthttp.RequestCtx, p medlarsession.Piece) {
	text := o.session.Text()
	out := completion{
		ID:      string(o.q.id),
		Object:  o.object(false),
		Created: time.Now().Unix(),
		Model:   o.run.model,
		Choices: []choice{{Finish: &p.Finish}},
		Usage:   p.Usage,
	}
	if o.run.chat {
		out.Choices[0].Message = &chatOut{Role: "assistant", Content: text}
	} else {
		out.Choices[0].Text = &text
	}
	o.caller.head(ctx, o.q)
	reply(ctx, fasthttp.StatusOK, out)
	o.session.Settle(fasthttp.StatusOK, "application/json", ctx.Response.Body())
	o.answered(p)
}

func (o *output) object(stream bool) string {
	switch {
	case o.run.chat && stream:
		return "chat.completion.chunk"
	case o.run.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// stream sends the answer as it comes. The status is decided by the first piece;
// later a refusal is an event.
func (o *output) stream(ctx *fasthttp.RequestCtx) {
	o.conn = ctx.Conn()
	p := o.next()
	switch {
	case p.Gone:
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
func (o *output) pump(w *bufio.Writer, p medlarsession.Piece) {
	defer o.end()
	o.created = time.Now().Unix()
	o.head = o.eventHead()
	quietSince := time.Now()
	var buf []byte
	for {
		switch {
		case p.Gone:
			o.caller.seams.Metrics.Refused(medlarreason.Gone)
			return
		case p.Refusal != nil:
			o.caller.seams.Metrics.Refused(p.Refusal.Reason)
			o.writeRefusal(w, *p.Refusal)
			return
		case p.Last:
			o.writeLast(w, p)
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
			buf = o.appendEvents(buf[:0], p.Texts)
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

// eventHead returns the bytes that all events of the stream start with.
func (o *output) eventHead() []byte {
	b, err := json.Marshal(completion{ID: string(o.q.id), Object: o.object(true), Created: o.created, Model: o.run.model})
	if err != nil {
		return nil
	}
	s := string(b)
	return []byte("data: " + s[:strings.Index(s, `"choices":`)])
}

// appendEvents appends one event for each text.
func (o *output) appendEvents(b []byte, texts []string) []byte {
	for _, t := range texts {
		b = append(b, o.head...)
		if o.run.chat {
			b = append(b, `"choices":[{"index":0,"delta":{"content":`...)
		} else {
			b = append(b, `"choices":[{"index":0,"text":`...)
		}
		b = appendQuoted(b, t)
		if o.run.chat {
			b = append(b, '}')
		}
		b = append(b, ",\"finish_reason\":null}]}\n\n"...)
	}
	return b
}

func (o *output) writeLast(w *bufio.Writer, p medlarsession.Piece) {
	c := completion{
		ID:      string(o.q.id),
		Object:  o.object(true),
		Created: o.created,
		Model:   o.run.model,
		Choices: []choice{{Finish: &p.Finish}},
		Usage:   p.Usage,
	}
	empty := ""
	if o.run.chat {
		c.Choices[0].Delta = &chatOut{}
	} else {
		c.Choices[0].Text = &empty
	}
	writeEvent(w, "", c)
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// writeRefusal ends a stream that is not whole: an error event and no [DONE].
func (o *output) writeRefusal(w *bufio.Writer, r medlarsession.Refusal) {
	writeEvent(w, "error", errorBody{Error: detailOf(o.q, answer{Refusal: r})})
	_ = w.Flush()
}

func writeEvent(w *bufio.Writer, name string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	if name != "" {
		_, _ = w.WriteString("event: " + name + "\n")
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(b)
	_, _ = w.WriteString("\n\n")
}

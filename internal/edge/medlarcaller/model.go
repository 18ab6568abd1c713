package medlarcaller

import (
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/agree/medlarclaim"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarsession"
	"medlarfield/internal/platform/medlarengine"
)

// defaultTokens is the length of an answer whose request names none.
const defaultTokens medlarid.Tokens = 256

// modelRequest is the body of both kinds of completion. Members that it does not
// name are left to their defaults, as callers' libraries send many.
type modelRequest struct {
	Model       string    `json:"model"`
	Prompt      string    `json:"prompt"`
	Messages    []message `json:"messages"`
	Max         *int      `json:"max_tokens"`
	Stream      bool      `json:"stream"`
	Temperature *float64  `json:"temperature"`
	TopP        *float64  `json:"top_p"`
	Seed        *int64    `json:"seed"`
}

type message struct {
	Role    string         `json:"role"`
	Content jsontext.Value `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// modelRun is a checked request to a model.
type modelRun struct {
	chat   bool
	stream bool
	model  medlarid.ModelID
	prompt medlarsession.Prompt
	claim  *medlarclaim.Request
}

func (c *Caller) serveChat(ctx *fasthttp.RequestCtx, q *request) { c.serveModel(ctx, q, true) }

func (c *Caller) serveText(ctx *fasthttp.RequestCtx, q *request) { c.serveModel(ctx, q, false) }

func (c *Caller) serveModel(ctx *fasthttp.RequestCtx, q *request, chat bool) {
	m, bad := c.readModel(ctx, q, chat)
	if bad != nil {
		c.refuse(ctx, q, *bad)
		return
	}
	run := c.newRun(q)
	run.Model = m.model
	run.Version = c.seams.Serving(m.model)
	run.Once = m.claim != nil
	run.Prompt = medlarkey.CountTokens(m.prompt.Text)
	salt := medlarkey.NewSalt(q.account, m.model, m.prompt.Adapter, run.Version)
	run.Keys = medlarkey.Chain(salt, m.prompt.Text)
	params := medlarsession.Params{Run: run.ID, Prompt: m.prompt, Claim: m.claim, Deadline: run.Deadline}
	params.Mailbox = c.seams.Submit(run, limitsOf(q.plan))
	s := medlarsession.New(c.seams.Session, params)
	o := &output{caller: c, q: q, run: m, session: s}
	if m.stream {
		o.stream(ctx)
		return
	}
	o.whole(ctx)
}

func (c *Caller) newRun(q *request) *medlarworld.Run {
	return &medlarworld.Run{
		ID:       q.id,
		Account:  q.account,
		Config:   q.view.Version,
		Arrived:  q.arrived,
		Deadline: c.deadline(q),
	}
}

// readModel reads and checks the body of a request to a model.
func (c *Caller) readModel(ctx *fasthttp.RequestCtx, q *request, chat bool) (*modelRun, *answer) {
	var b modelRequest
	if err := json.Unmarshal(ctx.PostBody(), &b); err != nil {
		return nil, malformed(err)
	}
	text, err := b.text(chat)
	if err != nil {
		return nil, malformed(err)
	}
	name, adapter, _ := strings.Cut(b.Model, "/")
	m := &modelRun{chat: chat, stream: b.Stream, model: medlarid.ModelID(name)}
	if bad := allowed(q, m.model, medlarid.AdapterID(adapter)); bad != nil {
		return nil, bad
	}
	maxTokens, err := c.answerLength(q, b.Max)
	if err != nil {
		return nil, malformed(err)
	}
	m.prompt = medlarsession.Prompt{
		Account:  q.account,
		Model:    m.model,
		Adapter:  medlarid.AdapterID(adapter),
		Text:     text,
		Max:      maxTokens,
		Sampling: medlarengine.Sampling{Temperature: b.Temperature, TopP: b.TopP, Seed: b.Seed},
	}
	return c.readOnce(ctx, q, m)
}

// readOnce reads the marks of an unrepeatable request (R4).
func (c *Caller) readOnce(ctx *fasthttp.RequestCtx, q *request, m *modelRun) (*modelRun, *answer) {
	if !markedOnce(ctx) {
		return m, nil
	}
	if m.stream {
		return nil, malformed(eris.New("a request that must not be repeated is answered whole; leave out stream"))
	}
	claim, bad := c.readClaim(ctx, q, ctx.Path(), ctx.PostBody())
	m.claim = claim
	return m, bad
}

func malformed(err error) *answer {
	a := refusal(medlarreason.Malformed, err.Error())
	return &a
}

// allowed checks that model and adapter exist and that the plan has the model.
func allowed(q *request, m medlarid.ModelID, ad medlarid.AdapterID) *answer {
	entry, ok := q.view.Lists.Models[m]
	if !ok || ad != "" && !slices.Contains(entry.Adapters, ad) {
		a := refusal(medlarreason.Absent, "model")
		return &a
	}
	if !slices.Contains(q.plan.Models, m) {
		a := refusal(medlarreason.Forbidden, "model")
		return &a
	}
	return nil
}

// answerLength returns the number of tokens to generate.
func (c *Caller) answerLength(q *request, asked *int) (medlarid.Tokens, error) {
	limit := q.plan.Tokens
	if limit == 0 {
		limit = c.limits.Tokens
	}
	switch {
	case asked == nil:
		return min(defaultTokens, limit), nil
	case *asked < 1:
		return 0, eris.Errorf("max_tokens: want 1 or more, got %d", *asked)
	default:
		return min(medlarid.Tokens(*asked), limit), nil
	}
}

// text returns the prompt as one text.
func (b *modelRequest) text(chat bool) (string, error) {
	if chat {
		return renderChat(b.Messages)
	}
	if b.Prompt == "" {
		return "", eris.New("prompt: want a text")
	}
	return b.Prompt, nil
}

// renderChat writes a conversation as one text. A conversation that goes on
// starts with the same text, so that its blocks match.
func renderChat(messages []message) (string, error) {
	if len(messages) == 0 {
		return "", eris.New("messages: want at least one")
	}
	var b strings.Builder
	for i, m := range messages {
		content, err := m.text()
		if err != nil || m.Role == "" {
			return "", eris.Errorf("messages: number %d: want a role and a text", i+1)
		}
		b.WriteString("<|" + m.Role + "|>\n" + content + "\n")
	}
	return b.String() + "<|assistant|>\n", nil
}

// text returns the content, which is a text or a list of texts.
func (m message) text() (string, error) {
	var s string
	if err := json.Unmarshal(m.Content, &s); err == nil {
		return s, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", err
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", eris.Errorf("content of type %q", p.Type)
		}
		s += p.Text
	}
	return s, nil
}

package medlarapi

import (
	"slices"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/agree/medlarclaim"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarprompt"
	"medlarfield/internal/edge/medlarsession"
)

// defaultTokens is the length of an answer whose request names none.
const defaultTokens medlarid.Tokens = 256

// modelRun is a checked request to a model.
type modelRun struct {
	chat   bool
	stream bool
	model  medlarid.ModelID
	prompt medlarsession.Prompt
	claim  *medlarclaim.Request
}

func (c *API) serveChat(ctx *fasthttp.RequestCtx, q *request) { c.serveModel(ctx, q, true) }

func (c *API) serveText(ctx *fasthttp.RequestCtx, q *request) { c.serveModel(ctx, q, false) }

func (c *API) serveModel(ctx *fasthttp.RequestCtx, q *request, chat bool) {
	m, bad := c.readModel(ctx, q, chat)
	if bad != nil {
		c.refuse(ctx, q, *bad)
		return
	}
	run := c.newRun(q)
	run.Model = m.model
	run.Version = c.seams.ServingVersion(m.model)
	run.AtMostOnce = m.claim != nil
	run.PromptTokens = medlarkey.CountTokens(m.prompt.Text)
	salt := medlarkey.NewSalt(q.account, m.model, m.prompt.Adapter, run.Version)
	run.Keys = medlarkey.Chain(salt, m.prompt.Text)
	params := medlarsession.Params{Run: run.ID, Prompt: m.prompt, Claim: m.claim, Deadline: run.Deadline}
	params.Commands = c.seams.Submit(run, limitsOf(q.plan))
	s := medlarsession.New(c.seams.Session, params)
	o := &output{caller: c, q: q, run: m, session: s}
	if m.stream {
		o.stream(ctx)
		return
	}
	o.whole(ctx)
}

func (c *API) newRun(q *request) *medlarworld.Run {
	return &medlarworld.Run{
		ID:       q.id,
		Account:  q.account,
		Config:   q.view.Version,
		Arrived:  q.arrived,
		Deadline: c.deadline(q),
	}
}

// readModel reads and checks the body of a request to a model.
func (c *API) readModel(ctx *fasthttp.RequestCtx, q *request, chat bool) (*modelRun, *answer) {
	b, err := medlarprompt.Parse(ctx.PostBody(), chat)
	if err != nil {
		return nil, malformed(err)
	}
	m := &modelRun{chat: chat, stream: b.Stream, model: b.Model}
	if bad := allowed(q, m.model, b.Adapter); bad != nil {
		return nil, bad
	}
	m.prompt = medlarsession.Prompt{
		Account:   q.account,
		Model:     m.model,
		Adapter:   b.Adapter,
		Text:      b.Text,
		MaxTokens: c.answerLength(q, b.MaxTokens),
		Sampling:  b.Sampling,
	}
	return c.readOnce(ctx, q, m)
}

// readOnce reads the marks of an unrepeatable request (R4).
func (c *API) readOnce(ctx *fasthttp.RequestCtx, q *request, m *modelRun) (*modelRun, *answer) {
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
func (c *API) answerLength(q *request, asked medlarid.Tokens) medlarid.Tokens {
	limit := q.plan.MaxTokens
	if limit == 0 {
		limit = c.limits.DefaultMaxTokens
	}
	if asked == 0 {
		asked = defaultTokens
	}
	return min(asked, limit)
}

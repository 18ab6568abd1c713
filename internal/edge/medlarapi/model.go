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

// defaultMaxTokens is the maximum length of an answer if the request sets none.
const defaultMaxTokens medlarid.Tokens = 256

// modelRequest is a validated request to a model.
type modelRequest struct {
	chat   bool
	stream bool
	model  medlarid.ModelID
	prompt medlarsession.Prompt
	claim  *medlarclaim.Request
}

func (api *API) serveChatCompletion(ctx *fasthttp.RequestCtx, q *request) {
	api.serveModel(ctx, q, true)
}

func (api *API) serveCompletion(ctx *fasthttp.RequestCtx, q *request) { api.serveModel(ctx, q, false) }

func (api *API) serveModel(ctx *fasthttp.RequestCtx, q *request, chat bool) {
	m, refused := api.parseModelRequest(ctx, q, chat)
	if refused != nil {
		api.refuse(ctx, q, *refused)
		return
	}
	run := api.newRun(q)
	run.Model = m.model
	run.Version = api.deps.ServingVersion(m.model)
	run.AtMostOnce = m.claim != nil
	run.PromptTokens = medlarkey.CountTokens(m.prompt.Text)
	salt := medlarkey.NewSalt(q.account, m.model, m.prompt.Adapter, run.Version)
	run.Keys = medlarkey.Chain(salt, m.prompt.Text)
	params := medlarsession.Params{Run: run.ID, Prompt: m.prompt, Claim: m.claim, Deadline: run.Deadline}
	params.Commands = api.deps.Submit(run, accountLimits(q.plan))
	s := medlarsession.New(api.deps.Session, params)
	resp := &responder{api: api, q: q, req: m, session: s}
	if m.stream {
		resp.stream(ctx)
		return
	}
	resp.respond(ctx)
}

func (api *API) newRun(q *request) *medlarworld.Run {
	return &medlarworld.Run{
		ID:       q.id,
		Account:  q.account,
		Config:   q.view.Version,
		Arrived:  q.arrived,
		Deadline: api.deadline(q),
	}
}

// parseModelRequest parses and validates the body of a request to a model.
func (api *API) parseModelRequest(ctx *fasthttp.RequestCtx, q *request, chat bool) (*modelRequest, *refusal) {
	b, err := medlarprompt.Parse(ctx.PostBody(), chat)
	if err != nil {
		return nil, malformed(err)
	}
	m := &modelRequest{chat: chat, stream: b.Stream, model: b.Model}
	if refused := checkModel(q, m.model, b.Adapter); refused != nil {
		return nil, refused
	}
	m.prompt = medlarsession.Prompt{
		Account:   q.account,
		Model:     m.model,
		Adapter:   b.Adapter,
		Text:      b.Text,
		MaxTokens: api.maxTokens(q, b.MaxTokens),
		Sampling:  b.Sampling,
	}
	return api.readModelClaim(ctx, q, m)
}

// readModelClaim sets the claim of a non-repeatable request (R4). Such a request
// cannot be streamed.
func (api *API) readModelClaim(ctx *fasthttp.RequestCtx, q *request, m *modelRequest) (*modelRequest, *refusal) {
	if !hasOnceHeader(ctx) {
		return m, nil
	}
	if m.stream {
		return nil, malformed(eris.New("a request that must not be repeated is answered whole; leave out stream"))
	}
	claim, refused := api.readClaim(ctx, q, ctx.Path(), ctx.PostBody())
	m.claim = claim
	return m, refused
}

func malformed(err error) *refusal {
	r := newRefusal(medlarreason.Malformed, err.Error())
	return &r
}

// checkModel checks that the model and the adapter exist and that the plan allows
// the model.
func checkModel(q *request, m medlarid.ModelID, ad medlarid.AdapterID) *refusal {
	entry, ok := q.view.Lists.Models[m]
	if !ok || ad != "" && !slices.Contains(entry.Adapters, ad) {
		r := newRefusal(medlarreason.Absent, "model")
		return &r
	}
	if !slices.Contains(q.plan.Models, m) {
		r := newRefusal(medlarreason.Forbidden, "model")
		return &r
	}
	return nil
}

// maxTokens returns the maximum number of tokens to generate: what the request
// asks for or the default, up to the limit of the plan.
func (api *API) maxTokens(q *request, requested medlarid.Tokens) medlarid.Tokens {
	limit := q.plan.MaxTokens
	if limit == 0 {
		limit = api.limits.DefaultMaxTokens
	}
	if requested == 0 {
		requested = defaultMaxTokens
	}
	return min(requested, limit)
}

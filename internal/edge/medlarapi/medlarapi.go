// Package medlarapi serves the HTTP API for clients:
//
//	POST /v1/chat/completions   completes a chat, as one response or as server-sent events
//	POST /v1/completions        completes a prompt, as one response or as server-sent events
//	GET  /v1/models             lists the models that the account's plan allows
//	ANY  /services/{name}/…     forwards the request to a plain service
//
// Rules:
//
//	R1  Every response carries the request's ID in X-Request-Id and the version of
//	    the configuration that it was decided under in Medlar-Version.
//	R2  A refusal is a JSON error with reason and ran; ran is "no" only if no part
//	    of the request was sent to any upstream.
//	R3  No part of a request is kept in memory that the server reuses.
//	R4  A non-repeatable request needs an Idempotency-Key. A request is
//	    non-repeatable if its header Medlar-Once is "yes", or if the service's entry
//	    in the uses list names its method under once.
//	R5  A request that two programs could parse differently is refused.
package medlarapi

import (
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/agree/medlarstate"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlaranswer"
	"medlarfield/internal/edge/medlarauth"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/edge/medlarsession"
)

// Header names of requests and responses.
const (
	headerRequestID      = "X-Request-Id"
	headerVersion        = "Medlar-Version"
	headerRan            = "Medlar-Ran"
	headerReplayed       = "Medlar-Replayed"
	headerOnce           = "Medlar-Once"
	headerIdempotencyKey = "Idempotency-Key"
)

// Limits are the bounds on requests from clients.
type Limits struct {
	MaxBodyBytes     int
	MaxHeaderBytes   int
	ReadTimeout      time.Duration // for a client to send a request
	IdleTimeout      time.Duration // between two requests on a connection
	DefaultDeadline  time.Duration // for requests whose plan sets no timeout
	DefaultMaxTokens medlarid.Tokens
}

// Deps are the functions and clients of the instance that the API uses.
type Deps struct {
	View           func() *medlarstate.View
	Ready          func() bool
	ServingVersion func(medlarid.ModelID) medlarid.WeightVersion
	// Submit passes a run to the core and returns the core's commands for it. Done
	// is called when no further commands are needed.
	Submit  func(*medlarworld.Run, medlarworld.Limits) <-chan medlarworld.Command
	Done    func(medlarid.RequestID)
	Session medlarsession.Deps
	Metrics *medlarmetric.Metrics
}

// API serves the HTTP API for clients.
type API struct {
	limits Limits
	deps   Deps
}

// New returns an API with the given limits and dependencies.
func New(l Limits, d Deps) *API { return &API{limits: l, deps: d} }

// Server returns an HTTP server for the API. The caller serves a listener with it.
func (api *API) Server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               api.Handler(),
		ErrorHandler:          api.serveReadError,
		Name:                  "medlarfield",
		MaxRequestBodySize:    api.limits.MaxBodyBytes,
		ReadBufferSize:        api.limits.MaxHeaderBytes,
		ReadTimeout:           api.limits.ReadTimeout,
		IdleTimeout:           api.limits.IdleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
}

// discardLogger discards the HTTP server's log messages, since the events that they
// report are counted in metrics.
type discardLogger struct{}

// Printf discards the message.
func (discardLogger) Printf(string, ...any) {}

// Handler returns the handler that routes requests by method and path.
func (api *API) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.POST("/v1/chat/completions", api.withAccount(api.serveChatCompletion))
	r.POST("/v1/completions", api.withAccount(api.serveCompletion))
	r.GET("/v1/models", api.withAccount(api.serveModels))
	r.ANY("/services/{name}", api.withAccount(api.serveService))
	r.ANY("/services/{name}/{path:*}", api.withAccount(api.serveService))
	r.NotFound = func(ctx *fasthttp.RequestCtx) { api.refuse(ctx, nil, newRefusal(medlarreason.Absent, "no such path")) }
	r.MethodNotAllowed = r.NotFound
	return api.rejectAmbiguousHead(r.Handler)
}

// rejectAmbiguousHead refuses requests whose head the HTTP library accepts although
// another program may parse it differently (R5). It closes the connection, since the
// start of the next request is not known.
func (api *API) rejectAmbiguousHead(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if medlarhead.CheckFields(string(ctx.Request.Header.RawHeaders())) == nil {
			next(ctx)
			return
		}
		ctx.Response.Header.SetConnectionClose()
		api.refuse(ctx, nil, newRefusal(medlarreason.Malformed, "the head of the request is ambiguous"))
	}
}

// request is a request whose account is known.
type request struct {
	id      medlarid.RequestID
	account medlarid.AccountID
	plan    medlarlist.Plan
	view    *medlarstate.View
	arrived time.Time
}

// withAccount authenticates a request and passes it to next with its account, or
// refuses it.
func (api *API) withAccount(next func(*fasthttp.RequestCtx, *request)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		q := &request{id: medlarid.NewRequestID(), view: api.deps.View(), arrived: time.Now()}
		if !api.deps.Ready() {
			api.refuse(ctx, q, newRefusal(medlarreason.Unready, ""))
			return
		}
		account, ok := medlarauth.Authenticate(q.view.Lists, string(ctx.Request.Header.Peek("Authorization")))
		if !ok {
			api.refuse(ctx, q, newRefusal(medlarreason.Unauthenticated, ""))
			return
		}
		q.account = account
		q.plan, _ = q.view.Lists.PlanOf(account)
		next(ctx, q)
	}
}

// accountLimits converts a plan to the core's limits on its account.
func accountLimits(p medlarlist.Plan) medlarworld.Limits {
	burst := float64(p.Burst)
	if burst == 0 {
		burst = p.Rate
	}
	return medlarworld.Limits{
		Rate:     p.Rate,
		Burst:    burst,
		Runs:     p.MaxConcurrent,
		Weight:   float64(p.Weight),
		Priority: p.Priority,
	}
}

// deadline returns the time by which a request must be answered.
func (api *API) deadline(q *request) time.Time {
	d := q.plan.Timeout.Std()
	if d == 0 {
		d = api.limits.DefaultDeadline
	}
	return q.arrived.Add(d)
}

// serveModels responds with the models of the account's plan.
func (api *API) serveModels(ctx *fasthttp.RequestCtx, q *request) {
	out := medlaranswer.ModelList{Object: "list", Data: []medlaranswer.ModelEntry{}}
	for _, m := range q.plan.Models {
		out.Data = append(out.Data, medlaranswer.ModelEntry{ID: string(m), Object: "model", Owner: "medlarfield"})
	}
	api.setHeaders(ctx, q)
	writeJSON(ctx, fasthttp.StatusOK, out)
	api.deps.Metrics.Answered("models")
}

// setHeaders sets the headers that every response carries (R1).
func (api *API) setHeaders(ctx *fasthttp.RequestCtx, q *request) {
	ctx.Response.Header.Set(headerRequestID, string(q.id))
	ctx.Response.Header.Set(headerVersion, formatOffset(q.view.Version))
}

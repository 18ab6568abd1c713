// Package medlarapi is the interface towards callers:
//
//	POST /v1/chat/completions   a conversation, whole or as server-sent events
//	POST /v1/completions        a prompt, whole or as server-sent events
//	GET  /v1/models             the models that the account's plan may use
//	ANY  /services/{name}/…     a plain service
//
// Rules:
//
//	R1  Every answer names its request in X-Request-Id and the version of the
//	    configuration that decided about it in Medlar-Version.
//	R2  A refusal is a JSON error with reason and ran; ran is "no" only if no
//	    upstream was sent any of the request.
//	R3  Nothing of a request is kept in memory that the server uses again.
//	R4  A request that must not be repeated needs an Idempotency-Key. It is one
//	    whose header Medlar-Once is "yes", or whose method the service's entry in
//	    the uses list names under once.
//	R5  A request that two programs could read in two ways is refused.
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

// Names of headers.
const (
	headerRequest = "X-Request-Id"
	headerVersion = "Medlar-Version"
	headerRan     = "Medlar-Ran"
	headerReplay  = "Medlar-Replayed"
	headerOnce    = "Medlar-Once"
	headerKey     = "Idempotency-Key"
)

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes     int           // bytes
	MaxHeaderBytes   int           // bytes
	ReadTimeout      time.Duration // time to send a request
	IdleTimeout      time.Duration // time between two requests of a connection
	DefaultDeadline  time.Duration // of requests whose plan names none
	DefaultMaxTokens medlarid.Tokens
}

// Deps are what the interface uses of its instance.
type Deps struct {
	View           func() *medlarstate.View
	Ready          func() bool
	ServingVersion func(medlarid.ModelID) medlarid.WeightVersion
	// Submit hands a run to the core and returns the commands about it. Done is
	// called when no more of them are wanted.
	Submit  func(*medlarworld.Run, medlarworld.Limits) <-chan medlarworld.Command
	Done    func(medlarid.RequestID)
	Session medlarsession.Deps
	Metrics *medlarmetric.Metrics
}

// API serves callers.
type API struct {
	limits Limits
	seams  Deps
}

// New returns the interface.
func New(l Limits, s Deps) *API { return &API{limits: l, seams: s} }

// Server returns a server of the interface, to be given a listener.
func (c *API) Server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               c.Handler(),
		ErrorHandler:          c.serveBroken,
		Name:                  "medlarfield",
		MaxRequestBodySize:    c.limits.MaxBodyBytes,
		ReadBufferSize:        c.limits.MaxHeaderBytes,
		ReadTimeout:           c.limits.ReadTimeout,
		IdleTimeout:           c.limits.IdleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                quiet{},
	}
}

// quiet drops the server's own messages: what it would report is counted.
type quiet struct{}

// Printf drops the message.
func (quiet) Printf(string, ...any) {}

// Handler routes requests.
func (c *API) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.POST("/v1/chat/completions", c.withAccount(c.serveChat))
	r.POST("/v1/completions", c.withAccount(c.serveText))
	r.GET("/v1/models", c.withAccount(c.serveModels))
	r.ANY("/services/{name}", c.withAccount(c.serveService))
	r.ANY("/services/{name}/{path:*}", c.withAccount(c.serveService))
	r.NotFound = func(ctx *fasthttp.RequestCtx) { c.refuse(ctx, nil, refusal(medlarreason.Absent, "no such path")) }
	r.MethodNotAllowed = r.NotFound
	return c.strict(r.Handler)
}

// strict refuses requests whose head the HTTP library accepts though another program
// may read it in another way (R5). Where the next request begins is not known, so the
// connection ends.
func (c *API) strict(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if medlarhead.CheckFields(string(ctx.Request.Header.RawHeaders())) == nil {
			next(ctx)
			return
		}
		ctx.Response.Header.SetConnectionClose()
		c.refuse(ctx, nil, refusal(medlarreason.Malformed, "the head of the request is ambiguous"))
	}
}

// request is one request of a known account.
type request struct {
	id      medlarid.RequestID
	account medlarid.AccountID
	plan    medlarlist.Plan
	view    *medlarstate.View
	arrived time.Time
}

// withAccount finds the account of a request, or refuses it.
func (c *API) withAccount(next func(*fasthttp.RequestCtx, *request)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		q := &request{id: medlarid.NewRequestID(), view: c.seams.View(), arrived: time.Now()}
		if !c.seams.Ready() {
			c.refuse(ctx, q, refusal(medlarreason.Unready, ""))
			return
		}
		account, ok := medlarauth.Authenticate(q.view.Lists, string(ctx.Request.Header.Peek("Authorization")))
		if !ok {
			c.refuse(ctx, q, refusal(medlarreason.Unauthenticated, ""))
			return
		}
		q.account = account
		q.plan, _ = q.view.Lists.PlanOf(account)
		next(ctx, q)
	}
}

// limitsOf translates a plan for the core.
func limitsOf(p medlarlist.Plan) medlarworld.Limits {
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

// deadline returns when a request has to be answered.
func (c *API) deadline(q *request) time.Time {
	d := q.plan.Timeout.Std()
	if d == 0 {
		d = c.limits.DefaultDeadline
	}
	return q.arrived.Add(d)
}

// serveModels lists the models of the account's plan.
func (c *API) serveModels(ctx *fasthttp.RequestCtx, q *request) {
	out := medlaranswer.ModelList{Object: "list", Data: []medlaranswer.ModelEntry{}}
	for _, m := range q.plan.Models {
		out.Data = append(out.Data, medlaranswer.ModelEntry{ID: string(m), Object: "model", Owner: "medlarfield"})
	}
	c.head(ctx, q)
	reply(ctx, fasthttp.StatusOK, out)
	c.seams.Metrics.Answered("models")
}

// head sets the headers that every answer has (R1).
func (c *API) head(ctx *fasthttp.RequestCtx, q *request) {
	ctx.Response.Header.Set(headerRequest, string(q.id))
	ctx.Response.Header.Set(headerVersion, formatOffset(q.view.Version))
}

package medlarapi

import (
	"errors"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"medlarfield/internal/agree/medlarclaim"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarprobe"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/edge/medlarsession"
	"medlarfield/internal/upstream/medlarservice"
)

// servicePrefix is the part of a request path before the name of the service.
const servicePrefix = "/services/"

// serveService forwards a request to a plain service.
func (api *API) serveService(ctx *fasthttp.RequestCtx, q *request) {
	name, path := servicePath(string(ctx.RequestURI()))
	entry, ok := q.view.Lists.Services[name]
	switch {
	case !ok:
		api.refuse(ctx, q, newRefusal(medlarreason.Absent, "service"))
		return
	case !slices.Contains(q.plan.Services, name):
		api.refuse(ctx, q, newRefusal(medlarreason.Forbidden, "service"))
		return
	}
	sr := &medlarservice.Request{
		ID:          q.id,
		Account:     q.account,
		Method:      string(ctx.Method()),
		Path:        path,
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        append([]byte(nil), ctx.PostBody()...),
	}
	sr.Once = hasOnceHeader(ctx) || slices.Contains(entry.NonRepeatableMethods, sr.Method)
	var claim *medlarclaim.Request
	if sr.Once {
		var refused *refusal
		if claim, refused = api.readClaim(ctx, q, ctx.RequestURI(), sr.Body); refused != nil {
			api.refuse(ctx, q, *refused)
			return
		}
	}
	api.runService(ctx, q, name, sr, claim)
}

func (api *API) runService(ctx *fasthttp.RequestCtx, q *request, name medlarid.ServiceID, sr *medlarservice.Request, claim *medlarclaim.Request) {
	if claim != nil && api.answerClaimed(ctx, q, *claim) {
		return
	}
	run := api.newRun(q)
	run.Service = name
	run.AtMostOnce = claim != nil
	params := medlarsession.Params{Run: run.ID, Service: sr, Claim: claim, Deadline: run.Deadline}
	params.Commands = api.deps.Submit(run, accountLimits(q.plan))
	defer api.deps.Done(run.ID)
	s := medlarsession.New(api.deps.Session, params)
	u := s.Next(func() bool { return medlarprobe.Gone(ctx.Conn()) })
	for u.Idle {
		u = s.Next(func() bool { return medlarprobe.Gone(ctx.Conn()) })
	}
	switch {
	case u.CallerGone:
		api.deps.Metrics.Refused(medlarreason.Gone)
		ctx.SetConnectionClose()
	case u.Refusal != nil:
		api.refuse(ctx, q, refusal{Refusal: *u.Refusal})
	case u.Replay != nil:
		api.replay(ctx, q, u.Replay)
	case u.Service != nil:
		s.RecordAnswer(u.Service.Status, u.Service.ContentType, u.Service.Body)
		api.setHeaders(ctx, q)
		ctx.SetStatusCode(u.Service.Status)
		ctx.SetContentType(u.Service.ContentType)
		ctx.SetBody(u.Service.Body)
		api.deps.Metrics.Answered("service")
	}
}

// answerClaimed responds to a request whose idempotency key was claimed before,
// without queueing it again, and reports whether it did.
func (api *API) answerClaimed(ctx *fasthttp.RequestCtx, q *request, r medlarclaim.Request) bool {
	var e *medlarclaim.Error
	if err := api.deps.Session.Claimer.Check(r); err == nil || !errors.As(err, &e) {
		return false
	}
	refused, replay := medlarsession.ClaimRefusal(e)
	if replay != nil {
		api.replay(ctx, q, replay)
		return true
	}
	api.refuse(ctx, q, refusal{Refusal: refused})
	return true
}

// replay responds with the recorded answer of an earlier attempt.
func (api *API) replay(ctx *fasthttp.RequestCtx, q *request, o *medlarclaim.Outcome) {
	api.setHeaders(ctx, q)
	ctx.Response.Header.Set(headerReplayed, "yes")
	ctx.SetStatusCode(o.Status)
	ctx.SetContentType(o.ContentType)
	ctx.SetBody(o.Response)
	api.deps.Metrics.Replayed()
}

// servicePath splits a request URI into the name of the service and the path, with
// the query, to send to the service.
func servicePath(uri string) (medlarid.ServiceID, string) {
	rest := strings.TrimPrefix(uri, servicePrefix)
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		return medlarid.ServiceID(rest), "/"
	}
	name, path := rest[:end], rest[end:]
	if path[0] == '?' {
		path = "/" + path
	}
	return medlarid.ServiceID(name), path
}

func hasOnceHeader(ctx *fasthttp.RequestCtx) bool {
	return strings.EqualFold(string(ctx.Request.Header.Peek(headerOnce)), "yes")
}

// readClaim reads the idempotency key of a non-repeatable request (R4).
func (api *API) readClaim(ctx *fasthttp.RequestCtx, q *request, path, body []byte) (*medlarclaim.Request, *refusal) {
	key := string(ctx.Request.Header.Peek(headerIdempotencyKey))
	r, err := medlarclaim.NewRequest(q.account, key, ctx.Method(), path, body)
	if err == nil {
		return &r, nil
	}
	refused := newRefusal(medlarreason.Keyless, "")
	var e *medlarclaim.Error
	if errors.As(err, &e) {
		refused.detail = e.Err.Error()
	}
	return nil, &refused
}

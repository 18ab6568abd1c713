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

// servicePrefix is the part of a path before the name of a service.
const servicePrefix = "/services/"

// serveService passes a request on to a plain service.
func (c *API) serveService(ctx *fasthttp.RequestCtx, q *request) {
	name, path := servicePath(string(ctx.RequestURI()))
	entry, ok := q.view.Lists.Services[name]
	switch {
	case !ok:
		c.refuse(ctx, q, refusal(medlarreason.Absent, "service"))
		return
	case !slices.Contains(q.plan.Services, name):
		c.refuse(ctx, q, refusal(medlarreason.Forbidden, "service"))
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
	sr.Once = markedOnce(ctx) || slices.Contains(entry.NonRepeatableMethods, sr.Method)
	var claim *medlarclaim.Request
	if sr.Once {
		var bad *answer
		if claim, bad = c.readClaim(ctx, q, ctx.RequestURI(), sr.Body); bad != nil {
			c.refuse(ctx, q, *bad)
			return
		}
	}
	c.runService(ctx, q, name, sr, claim)
}

func (c *API) runService(ctx *fasthttp.RequestCtx, q *request, name medlarid.ServiceID, sr *medlarservice.Request, claim *medlarclaim.Request) {
	if claim != nil && c.settledBefore(ctx, q, *claim) {
		return
	}
	run := c.newRun(q)
	run.Service = name
	run.AtMostOnce = claim != nil
	params := medlarsession.Params{Run: run.ID, Service: sr, Claim: claim, Deadline: run.Deadline}
	params.Commands = c.seams.Submit(run, limitsOf(q.plan))
	defer c.seams.Done(run.ID)
	s := medlarsession.New(c.seams.Session, params)
	p := s.Next(func() bool { return medlarprobe.Gone(ctx.Conn()) })
	for p.Idle {
		p = s.Next(func() bool { return medlarprobe.Gone(ctx.Conn()) })
	}
	switch {
	case p.CallerGone:
		c.seams.Metrics.Refused(medlarreason.Gone)
		ctx.SetConnectionClose()
	case p.Refusal != nil:
		c.refuse(ctx, q, answer{Refusal: *p.Refusal})
	case p.Replay != nil:
		c.replay(ctx, q, p.Replay)
	case p.Service != nil:
		s.RecordAnswer(p.Service.Status, p.Service.ContentType, p.Service.Body)
		c.head(ctx, q)
		ctx.SetStatusCode(p.Service.Status)
		ctx.SetContentType(p.Service.ContentType)
		ctx.SetBody(p.Service.Body)
		c.seams.Metrics.Answered("service")
	}
}

// settledBefore answers a request whose key was claimed before, without a new
// place in the queue.
func (c *API) settledBefore(ctx *fasthttp.RequestCtx, q *request, r medlarclaim.Request) bool {
	var e *medlarclaim.Error
	if err := c.seams.Session.Claimer.Check(r); err == nil || !errors.As(err, &e) {
		return false
	}
	refused, replay := medlarsession.ClaimRefusal(e)
	if replay != nil {
		c.replay(ctx, q, replay)
		return true
	}
	c.refuse(ctx, q, answer{Refusal: refused})
	return true
}

// replay answers with the recorded answer of an earlier attempt.
func (c *API) replay(ctx *fasthttp.RequestCtx, q *request, o *medlarclaim.Outcome) {
	c.head(ctx, q)
	ctx.Response.Header.Set(headerReplay, "yes")
	ctx.SetStatusCode(o.Status)
	ctx.SetContentType(o.ContentType)
	ctx.SetBody(o.Response)
	c.seams.Metrics.Replayed()
}

// servicePath splits a request's path into the service's name and the path that
// the service gets, query included.
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

func markedOnce(ctx *fasthttp.RequestCtx) bool {
	return strings.EqualFold(string(ctx.Request.Header.Peek(headerOnce)), "yes")
}

// readClaim reads the idempotency key of an unrepeatable request (R4).
func (c *API) readClaim(ctx *fasthttp.RequestCtx, q *request, path, body []byte) (*medlarclaim.Request, *answer) {
	key := string(ctx.Request.Header.Peek(headerKey))
	r, err := medlarclaim.NewRequest(q.account, key, ctx.Method(), path, body)
	if err == nil {
		return &r, nil
	}
	a := refusal(medlarreason.Keyless, "")
	var e *medlarclaim.Error
	if errors.As(err, &e) {
		a.detail = e.Err.Error()
	}
	return nil, &a
}

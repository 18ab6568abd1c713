package medlarapi

import (
	"errors"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/edge/medlarsession"
)

// answer is a refusal with a detail for the caller.
type answer struct {
	medlarsession.Refusal
	detail string
}

// refusal returns an answer with the reason's usual meaning.
func refusal(r medlarreason.Reason, detail string) answer {
	row, _ := medlarreason.Lookup(r)
	a := answer{Refusal: medlarsession.Refusal{Reason: r, Ran: row.Ran}, detail: detail}
	if row.Retryable {
		a.RetryAfter = time.Second
	}
	return a
}

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Reason  medlarreason.Reason `json:"reason"`
	Message string              `json:"message"`
	Ran     medlarreason.Ran    `json:"ran"`
	Again   bool                `json:"again"`
	After   float64             `json:"after,omitzero"` // seconds
	Request medlarid.RequestID  `json:"request,omitempty"`
	Version medlarid.Offset     `json:"version"`
}

// refuse answers a request with a refusal and counts it (R2).
func (c *API) refuse(ctx *fasthttp.RequestCtx, q *request, a answer) {
	if q == nil {
		q = &request{id: medlarid.NewRequestID(), view: c.seams.View()}
	}
	c.seams.Metrics.Refused(a.Reason)
	row, _ := medlarreason.Lookup(a.Reason)
	c.head(ctx, q)
	ctx.Response.Header.Set(headerRan, string(a.Ran))
	if a.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	reply(ctx, row.Status, errorBody{Error: detailOf(q, a)})
}

func detailOf(q *request, a answer) errorDetail {
	row, _ := medlarreason.Lookup(a.Reason)
	message := row.Text
	if a.detail != "" {
		message += ": " + a.detail
	}
	return errorDetail{
		Reason:  a.Reason,
		Message: message,
		Ran:     a.Ran,
		Again:   row.Retryable,
		After:   a.RetryAfter.Seconds(),
		Request: q.id,
		Version: q.view.Version,
	}
}

// serveBroken answers what the server could not read as a request.
func (c *API) serveBroken(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var n net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.refuse(ctx, nil, refusal(medlarreason.Oversized, "body"))
	case errors.As(err, &small):
		c.refuse(ctx, nil, refusal(medlarreason.Oversized, "header"))
	case errors.As(err, &n) && n.Timeout():
		c.refuse(ctx, nil, refusal(medlarreason.Slow, ""))
	default:
		c.refuse(ctx, nil, refusal(medlarreason.Malformed, "no HTTP request"))
	}
}

// reply answers with v as JSON.
func reply(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

func formatOffset(o medlarid.Offset) string { return strconv.FormatUint(uint64(o), 10) }

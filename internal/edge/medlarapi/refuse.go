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

// refusal is a refusal with a detail for the client. The detail is part of the
// message that clients receive.
type refusal struct {
	medlarsession.Refusal
	detail string
}

// newRefusal returns a refusal with the reason's default values.
func newRefusal(reason medlarreason.Reason, detail string) refusal {
	row, _ := medlarreason.Lookup(reason)
	r := refusal{Refusal: medlarsession.Refusal{Reason: reason, Ran: row.Ran}, detail: detail}
	if row.Retryable {
		r.RetryAfter = time.Second
	}
	return r
}

// errorBody is the JSON body of a refusal.
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

// refuse responds to a request with a refusal and counts it (R2). q is nil if
// the request was not routed.
func (api *API) refuse(ctx *fasthttp.RequestCtx, q *request, r refusal) {
	if q == nil {
		q = &request{id: medlarid.NewRequestID(), view: api.deps.View()}
	}
	api.deps.Metrics.Refused(r.Reason)
	row, _ := medlarreason.Lookup(r.Reason)
	api.setHeaders(ctx, q)
	ctx.Response.Header.Set(headerRan, string(r.Ran))
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	writeJSON(ctx, row.Status, errorBody{Error: newErrorDetail(q, r)})
}

func newErrorDetail(q *request, r refusal) errorDetail {
	row, _ := medlarreason.Lookup(r.Reason)
	message := row.Text
	if r.detail != "" {
		message += ": " + r.detail
	}
	return errorDetail{
		Reason:  r.Reason,
		Message: message,
		Ran:     r.Ran,
		Again:   row.Retryable,
		After:   r.RetryAfter.Seconds(),
		Request: q.id,
		Version: q.view.Version,
	}
}

// serveReadError responds if the HTTP server could not read a request.
func (api *API) serveReadError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var n net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		api.refuse(ctx, nil, newRefusal(medlarreason.Oversized, "body"))
	case errors.As(err, &small):
		api.refuse(ctx, nil, newRefusal(medlarreason.Oversized, "header"))
	case errors.As(err, &n) && n.Timeout():
		api.refuse(ctx, nil, newRefusal(medlarreason.Slow, ""))
	default:
		api.refuse(ctx, nil, newRefusal(medlarreason.Malformed, "no HTTP request"))
	}
}

// writeJSON responds with v as JSON.
func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
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

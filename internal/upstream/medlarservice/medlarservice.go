// Package medlarservice is a client for HTTP services other than model engines. A
// service can be any HTTP server. A response that is an event stream is complete only if it
// ends after an event, whatever its framing states.
package medlarservice

import (
	"errors"
	"fmt"
	"time"

	"medlarfield/internal/base/medlarevent"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarhttp"
)

// HTTP statuses of a service without capacity.
const (
	statusTooMany     = 429
	statusUnavailable = 503
)

// statusRedirect is the least status that is no success.
const statusRedirect = 300

// HeaderRequestID is the header field with the ID of the request.
const HeaderRequestID = "X-Request-Id"

// HeaderAccount is the header field with the client account.
const HeaderAccount = "X-Client-Account"

// Op names the operation that failed.
type Op string

// OpCall sends a request to a service.
const OpCall Op = "call"

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindUnreachable Kind = "unreachable" // nothing was sent
	KindTimeout     Kind = "timeout"     // sent, but no complete response in time
	KindBroken      Kind = "broken"      // sent, but the connection failed
)

// Error is a request without a complete response.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("service %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MayHaveRun reports whether the service may have executed the request.
func (e *Error) MayHaveRun() bool { return e.Kind != KindUnreachable }

// Request is a request to a service.
type Request struct {
	ID          medlarid.RequestID
	Account     medlarid.AccountID
	Method      string
	Path        string // path and query relative to the service
	ContentType string
	Body        []byte
	Once        bool // must not be repeated
}

// Response is the complete response of a service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Busy reports whether the service rejected the request for lack of capacity.
func (r Response) Busy() bool {
	return r.Status == statusTooMany || r.Status == statusUnavailable
}

// Client sends requests to services. It is safe for concurrent use.
type Client struct {
	http *medlarhttp.Client
}

// New returns a client.
func New(http *medlarhttp.Client) *Client { return &Client{http: http} }

// Call sends one request, at most once. A complete response is returned without an
// error, whatever its status.
func (c *Client) Call(at medlarid.Address, r Request, timeout time.Duration) (Response, error) {
	httpReq := medlarhttp.Request{
		Method:  r.Method,
		Address: at,
		Path:    r.Path,
		Headers: []medlarhttp.Header{
			{Name: HeaderRequestID, Value: string(r.ID)},
			{Name: HeaderAccount, Value: string(r.Account)},
		},
		ContentType: r.ContentType,
		Body:        r.Body,
		Timeout:     timeout,
	}
	resp, err := c.http.Do(httpReq)
	if err != nil {
		return Response{}, wrap(err)
	}
	if resp.Status < statusRedirect && resp.ContentType != "" && medlarevent.IsStream(resp.ContentType) {
		if err := medlarevent.Check(resp.Body, resp.ToClose); err != nil {
			return Response{}, &Error{Op: OpCall, Kind: KindBroken, Err: err}
		}
	}
	return Response{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body}, nil
}

func wrap(err error) error {
	kind := KindBroken
	var e *medlarhttp.Error
	if errors.As(err, &e) {
		switch e.Kind {
		case medlarhttp.KindUnreachable:
			kind = KindUnreachable
		case medlarhttp.KindTimeout:
			kind = KindTimeout
		}
	}
	return &Error{Op: OpCall, Kind: kind, Err: err}
}

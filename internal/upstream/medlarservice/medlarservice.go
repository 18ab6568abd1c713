// Package medlarservice is the client of plain services beside the model
// engines. Any HTTP service will do.
package medlarservice

import (
	"errors"
	"fmt"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarhttp"
)

// HTTP statuses of services.
const (
	statusTooMany     = 429
	statusUnavailable = 503
)

// HeaderRequest carries the identifier of the request to the service.
const HeaderRequest = "X-Request-Id"

// HeaderAccount carries the client account to the service.
const HeaderAccount = "X-Client-Account"

// Op names the operation that failed.
type Op string

// OpCall calls a service.
const OpCall Op = "call"

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindUnreachable Kind = "unreachable" // nothing was sent
	KindTimeout     Kind = "timeout"     // sent, and no whole answer in time
	KindBroken      Kind = "broken"      // sent, and the connection failed
)

// Error is a call without a whole answer.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("service %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MayHaveRun reports whether the service may have carried out the call.
func (e *Error) MayHaveRun() bool { return e.Kind != KindUnreachable }

// Request is a call to a service.
type Request struct {
	ID          medlarid.RequestID
	Account     medlarid.AccountID
	Method      string
	Path        string // path and query below the service
	ContentType string
	Body        []byte
	Once        bool // must not be repeated
}

// Response is the service's whole answer.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Busy reports an answer that refuses for lack of room.
func (a Response) Busy() bool {
	return a.Status == statusTooMany || a.Status == statusUnavailable
}

// Client calls services. It is safe for concurrent use.
type Client struct {
	http *medlarhttp.Client
}

// New returns a client.
func New(http *medlarhttp.Client) *Client { return &Client{http: http} }

// Call makes one call, exactly once. Any whole answer is returned without an
// error, whatever its status.
func (c *Client) Call(at medlarid.Address, r Request, within time.Duration) (Response, error) {
	call := medlarhttp.Request{
		Method:  r.Method,
		Address: at,
		Path:    r.Path,
		Headers: []medlarhttp.Header{
			{Name: HeaderRequest, Value: string(r.ID)},
			{Name: HeaderAccount, Value: string(r.Account)},
		},
		ContentType: r.ContentType,
		Body:        r.Body,
		Timeout:     within,
	}
	do := c.http.Do
	if r.Once {
		do = c.http.DoUnpooled
	}
	a, err := do(call)
	if err != nil {
		return Response{}, wrap(err)
	}
	return Response{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, nil
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

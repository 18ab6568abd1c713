// Package medlarlog is a client for the platform's log service.
//
// The service keeps streams of records with increasing offsets:
//
//	POST /streams/{name}                         append; body {"records": [base64, …]}
//	GET  /streams/{name}?from=N&max=M&wait=MS    read from offset N; wait for records
//
// A failed append may have taken effect or may take effect later.
package medlarlog

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarhttp"
)

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpAppend Op = "append"
	OpRead   Op = "read"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindUnavailable Kind = "unavailable" // nothing was appended
	KindUnknown     Kind = "unknown"     // the append may have taken effect
	KindRefused     Kind = "refused"     // the service rejected the request
	KindMalformed   Kind = "malformed"   // the response cannot be decoded or is invalid
)

// Error is a failed operation on a stream.
type Error struct {
	Op     Op
	Kind   Kind
	Stream string
	Err    error
}

// Error returns the operation, the stream, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s log stream %s: %s: %v", e.Op, e.Stream, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Entry is one record of a stream, as stored by the service.
type Entry struct {
	Offset medlarid.Offset `json:"offset"`
	// UnixMillis is the timestamp set by the service, in milliseconds since the
	// Unix epoch.
	UnixMillis int64  `json:"millis"`
	Data       []byte `json:"data"`
}

// Time returns the timestamp set by the service.
func (e Entry) Time() time.Time { return time.UnixMilli(e.UnixMillis) }

// Batch is the result of a read.
type Batch struct {
	// First is the oldest offset that the stream still has.
	First medlarid.Offset `json:"first"`
	// Next is the offset that the next append will get.
	Next    medlarid.Offset `json:"next"`
	Records []Entry         `json:"records"`
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	First medlarid.Offset `json:"first"`
}

// AppendFunc appends records to one stream, as Client.Append does.
type AppendFunc func(records ...[]byte) (medlarid.Offset, error)

// Client reads from and appends to streams. It is safe for concurrent use.
type Client struct {
	http    *medlarhttp.Client
	address medlarid.Address
	timeout time.Duration
}

// New returns a client for the service at address. timeout bounds each append, and
// each read in addition to its wait.
func New(http *medlarhttp.Client, address medlarid.Address, timeout time.Duration) *Client {
	return &Client{http: http, address: address, timeout: timeout}
}

// Append appends records to a stream and returns the offset of the first. An error
// of KindUnknown means that they may have been appended, or may still be.
func (c *Client) Append(stream string, records ...[]byte) (medlarid.Offset, error) {
	req := medlarhttp.Request{Method: "POST", Address: c.address, Path: "/streams/" + stream, Timeout: c.timeout}
	var resp appendResponse
	if err := c.http.DoJSON(req, appendRequest{Records: records}, &resp); err != nil {
		return 0, &Error{Op: OpAppend, Kind: appendKind(err), Stream: stream, Err: err}
	}
	return resp.First, nil
}

// Read returns up to limit records starting at offset from. If there is none yet,
// it waits for one for up to wait, and then returns an empty batch.
func (c *Client) Read(stream string, from medlarid.Offset, limit int, wait time.Duration) (Batch, error) {
	query := "?from=" + strconv.FormatUint(uint64(from), 10) +
		"&max=" + strconv.Itoa(limit) +
		"&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	req := medlarhttp.Request{
		Method:  "GET",
		Address: c.address,
		Path:    "/streams/" + stream + query,
		Timeout: c.timeout + wait,
	}
	var b Batch
	if err := c.http.DoJSON(req, nil, &b); err != nil {
		return Batch{}, &Error{Op: OpRead, Kind: readKind(err), Stream: stream, Err: err}
	}
	if err := b.check(); err != nil {
		return Batch{}, &Error{Op: OpRead, Kind: KindMalformed, Stream: stream, Err: err}
	}
	return b, nil
}

// check returns an error unless the offsets increase and are below Next.
func (b Batch) check() error {
	for i, e := range b.Records {
		if i > 0 && e.Offset <= b.Records[i-1].Offset {
			return fmt.Errorf("offset %d follows offset %d", e.Offset, b.Records[i-1].Offset)
		}
		if e.Offset >= b.Next {
			return fmt.Errorf("offset %d is not below the next offset %d", e.Offset, b.Next)
		}
	}
	return nil
}

func appendKind(err error) Kind {
	var e *medlarhttp.Error
	switch {
	case !medlarhttp.Sent(err):
		return KindUnavailable
	case errors.As(err, &e) && e.Kind == medlarhttp.KindStatus && e.Status < 500:
		return KindRefused
	case errors.As(err, &e) && e.Status == 503:
		return KindUnavailable
	default:
		return KindUnknown
	}
}

func readKind(err error) Kind {
	var e *medlarhttp.Error
	switch {
	case errors.As(err, &e) && e.Kind == medlarhttp.KindMalformed:
		return KindMalformed
	case errors.As(err, &e) && e.Kind == medlarhttp.KindStatus && e.Status < 500:
		return KindRefused
	default:
		return KindUnavailable
	}
}

// KindOf returns the kind of an error of this package, or KindUnknown for any other
// error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

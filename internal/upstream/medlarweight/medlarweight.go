// Package medlarweight is a client for the weight store, which lists the weight
// versions that engines can load. The store limits the rate of requests.
//
//	GET /weights
package medlarweight

import (
	"fmt"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarhttp"
)

// statusTooMany is the HTTP status of a request above the rate limit.
const statusTooMany = 429

// Op names the operation that failed.
type Op string

// OpList reads the catalog.
const OpList Op = "list"

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindUnavailable Kind = "unavailable"
	KindLimited     Kind = "limited" // above the rate limit
)

// Error is a failed request.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("weights %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Weights describes one version of a model's weights.
type Weights struct {
	Model   medlarid.ModelID       `json:"model"`
	Version medlarid.WeightVersion `json:"version"`
	Bytes   medlarid.Bytes         `json:"bytes"`
}

// Catalog lists the weights in the store and the number of loads in progress.
type Catalog struct {
	Weights []Weights `json:"weights"`
	Loading int       `json:"loading"`
}

// Client reads the catalog. It is safe for concurrent use.
type Client struct {
	http    *medlarhttp.Client
	address medlarid.Address
	timeout time.Duration
}

// New returns a client for the store at address. timeout bounds each request.
func New(http *medlarhttp.Client, address medlarid.Address, timeout time.Duration) *Client {
	return &Client{http: http, address: address, timeout: timeout}
}

// List reads the catalog.
func (c *Client) List() (Catalog, error) {
	var out Catalog
	req := medlarhttp.Request{Method: "GET", Address: c.address, Path: "/weights", Timeout: c.timeout}
	err := c.http.DoJSON(req, nil, &out)
	switch {
	case err == nil:
		return out, nil
	case medlarhttp.Status(err) == statusTooMany:
		return Catalog{}, &Error{Op: OpList, Kind: KindLimited, Err: err}
	default:
		return Catalog{}, &Error{Op: OpList, Kind: KindUnavailable, Err: err}
	}
}

// Has reports whether the catalog holds a version of a model.
func (c Catalog) Has(m medlarid.ModelID, v medlarid.WeightVersion) bool {
	for _, w := range c.Weights {
		if w.Model == m && w.Version == v {
			return true
		}
	}
	return false
}

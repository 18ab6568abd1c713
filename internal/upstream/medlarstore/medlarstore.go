// Package medlarstore is a client for store instances, which keep KV blocks in
// memory and on disk.
//
//	POST /blocks/reserve   reserve slots for blocks to be written
//	PUT  /blocks/{slot}    write a reserved slot; done by engines
//	POST /blocks/commit    make written slots readable
//	POST /blocks/find      look up committed blocks by key
//	GET  /blocks/{slot}    read a committed slot; done by engines
//	POST /blocks/free      release slots
//
// Each slot has a generation that increases when the slot is freed; requests with
// an old generation fail.
package medlarstore

import (
	"errors"
	"fmt"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/upstream/medlarhttp"
)

// statusFull is the HTTP status of a store without free space.
const statusFull = 507

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpReserve Op = "reserve"
	OpCommit  Op = "commit"
	OpFind    Op = "find"
	OpFree    Op = "free"
	OpStatus  Op = "status"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindUnavailable Kind = "unavailable" // no usable response
	KindFull        Kind = "full"        // no free space
	KindStale       Kind = "stale"       // a slot has a different generation or content
)

// Error is a failed operation.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("store %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, or KindUnavailable for any
// other error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnavailable
}

// Block is a KV block and its slot.
type Block struct {
	Key        medlarkey.Key  `json:"key"`
	Slot       uint64         `json:"slot"`
	Generation uint64         `json:"generation"`
	Length     medlarid.Bytes `json:"length,omitempty"`
	Checksum   uint64         `json:"sum,omitempty"`
	// Stored reports that the store already has the block.
	Stored bool `json:"kept,omitempty"`
}

// Load is the status that a store reports.
type Load struct {
	Used     medlarid.Bytes `json:"used"`
	Capacity medlarid.Bytes `json:"size"`
	Blocks   int            `json:"blocks"`
	Leaving  bool           `json:"leaving,omitempty"`
}

type reserveRequest struct {
	Account medlarid.AccountID `json:"account"`
	Blocks  []Block            `json:"blocks"`
}

type findRequest struct {
	Keys []medlarkey.Key `json:"keys"`
}

type blocksMessage struct {
	Blocks []Block `json:"blocks"`
}

// Client sends requests to any number of stores. It is safe for concurrent use.
type Client struct {
	http    *medlarhttp.Client
	timeout time.Duration
}

// New returns a client. timeout bounds each request.
func New(http *medlarhttp.Client, timeout time.Duration) *Client {
	return &Client{http: http, timeout: timeout}
}

// Reserve reserves a slot for each key whose block the store does not have yet.
func (c *Client) Reserve(at medlarid.Address, a medlarid.AccountID, keys []medlarkey.Key, length medlarid.Bytes) ([]Block, error) {
	req := reserveRequest{Account: a}
	for _, k := range keys {
		req.Blocks = append(req.Blocks, Block{Key: k, Length: length})
	}
	var out blocksMessage
	err := c.post(OpReserve, at, "/blocks/reserve", req, &out)
	return out.Blocks, err
}

// Commit makes written slots readable. The store rejects a slot whose content does
// not have the given length and checksum.
func (c *Client) Commit(at medlarid.Address, blocks []Block) error {
	return c.post(OpCommit, at, "/blocks/commit", blocksMessage{Blocks: blocks}, nil)
}

// Find returns the committed blocks that have one of keys, in any order.
func (c *Client) Find(at medlarid.Address, keys []medlarkey.Key, limit time.Duration) ([]Block, error) {
	var out blocksMessage
	req := medlarhttp.Request{Method: "POST", Address: at, Path: "/blocks/find", Timeout: min(limit, c.timeout)}
	err := wrap(OpFind, c.http.DoJSON(req, findRequest{Keys: keys}, &out))
	return out.Blocks, err
}

// Free releases slots.
func (c *Client) Free(at medlarid.Address, blocks []Block) error {
	return c.post(OpFree, at, "/blocks/free", blocksMessage{Blocks: blocks}, nil)
}

// Status returns the status of a store.
func (c *Client) Status(at medlarid.Address) (Load, error) {
	var l Load
	req := medlarhttp.Request{Method: "GET", Address: at, Path: "/status", Timeout: c.timeout}
	err := c.http.DoJSON(req, nil, &l)
	return l, wrap(OpStatus, err)
}

func (c *Client) post(op Op, at medlarid.Address, path string, in, out any) error {
	req := medlarhttp.Request{Method: "POST", Address: at, Path: path, Timeout: c.timeout}
	return wrap(op, c.http.DoJSON(req, in, out))
}

func wrap(op Op, err error) error {
	if err == nil {
		return nil
	}
	kind := KindUnavailable
	switch medlarhttp.Status(err) {
	case statusFull:
		kind = KindFull
	case 409:
		kind = KindStale
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

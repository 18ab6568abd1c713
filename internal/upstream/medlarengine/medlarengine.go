// Package medlarengine is a client for model engines.
//
//	POST   /v1/completions     run a prompt; the response is an event stream
//	DELETE /v1/runs/{run}      cancel a run
//	GET    /status             load, model and weight version; may be outdated
//	GET    /events?from=N      cache events; delayed, and may have gaps
//	POST   /kv/export          write cached blocks to store slots
//	POST   /kv/import          read blocks from store slots and stage them
//	DELETE /kv/staged/{ticket} drop staged blocks
//	POST   /orders             load a model, adapter or version, or change role
//
// An engine rejects a request for a weight version other than the loaded one with
// status 409 and does not run the prompt.
package medlarengine

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarsequence"
)

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpRun    Op = "run"
	OpCancel Op = "cancel"
	OpStatus Op = "status"
	OpEvents Op = "events"
	OpExport Op = "export"
	OpImport Op = "import"
	OpOrder  Op = "order"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindUnreachable Kind = "unreachable" // nothing was sent
	KindBusy        Kind = "busy"        // rejected for lack of capacity; not run
	KindVersion     Kind = "version"     // another weight version is loaded; not run
	KindRefused     Kind = "refused"     // rejected as invalid; not run
	KindBroken      Kind = "broken"      // the connection failed
	KindTimeout     Kind = "timeout"     // no response in time
	KindTruncated   Kind = "truncated"   // the answer has a gap or no end
	KindMalformed   Kind = "malformed"   // the response cannot be decoded
	KindMismatch    Kind = "mismatch"    // imported blocks differ from the requested ones
	KindFenced      Kind = "fenced"      // the order's fencing token is outdated
)

// Error is a failed operation.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("engine %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MayHaveRun reports whether the engine may have executed the request.
func (e *Error) MayHaveRun() bool {
	switch e.Kind {
	case KindUnreachable, KindBusy, KindVersion, KindRefused, KindFenced:
		return false
	default:
		return true
	}
}

// KindOf returns the kind of an error of this package, or KindBroken for any other
// error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindBroken
}

// RunRequest describes a run.
type RunRequest struct {
	RequestID medlarid.RequestID     `json:"request"`
	RunID     string                 `json:"run"` // identifies this attempt
	Model     medlarid.ModelID       `json:"model"`
	Adapter   medlarid.AdapterID     `json:"adapter,omitempty"`
	Version   medlarid.WeightVersion `json:"version"`
	Prompt    string                 `json:"prompt"`
	MaxTokens medlarid.Tokens        `json:"max_tokens"`
	CacheSalt string                 `json:"cache_salt"`
	Priority  medlarid.Priority      `json:"priority"`
	// ResumeParts is the number of parts of the answer that the caller already
	// has, and ResumeText is their text; the engine continues after them.
	ResumeParts int    `json:"resume,omitempty"`
	ResumeText  string `json:"answer,omitempty"`
	Sampling
	// Ticket identifies staged blocks to use.
	Ticket string `json:"ticket,omitempty"`
	Stream bool   `json:"stream"`
}

// Sampling holds the options of a run that are passed to the engine unchanged.
type Sampling struct {
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	Seed        *int64   `json:"seed,omitempty"`
}

// Usage counts the tokens of a run.
type Usage struct {
	Prompt     medlarid.Tokens `json:"prompt_tokens"`
	Cached     medlarid.Tokens `json:"cached_tokens"`
	Completion medlarid.Tokens `json:"completion_tokens"`
}

// Load is the status that an engine reports.
type Load struct {
	Model         medlarid.ModelID       `json:"model"`
	Adapters      []medlarid.AdapterID   `json:"adapters,omitempty"`
	Version       medlarid.WeightVersion `json:"version"`
	Running       int                    `json:"running"`
	Queued        int                    `json:"queued"`
	Slots         int                    `json:"slots"`
	PendingTokens medlarid.Tokens        `json:"pending"`
	PrefillRate   float64                `json:"prefill"` // prompt tokens per second
	BlockBytes    medlarid.Bytes         `json:"block"`
	Leaving       bool                   `json:"leaving,omitempty"`
	Loading       bool                   `json:"loading,omitempty"`
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Stored  []medlarkey.Key `json:"stored,omitempty"`
	Evicted []medlarkey.Key `json:"evicted,omitempty"`
}

// CacheEvents is a range of an engine's cache events.
type CacheEvents struct {
	// Epoch changes when the engine loses its cache.
	Epoch  string       `json:"epoch"`
	First  int          `json:"first"`
	Next   int          `json:"next"`
	Events []CacheEvent `json:"events"`
}

// Block is a KV block and its location in a store.
type Block struct {
	Key        medlarkey.Key    `json:"key"`
	Store      medlarid.Address `json:"store"`
	Slot       uint64           `json:"slot"`
	Generation uint64           `json:"generation"`
	Length     medlarid.Bytes   `json:"length,omitempty"`
	Checksum   uint64           `json:"sum,omitempty"`
}

// Order is an instruction to an engine. It states the whole desired state, not a
// change.
type Order struct {
	FencingToken uint64                 `json:"fence"`
	Model        medlarid.ModelID       `json:"model"`
	Version      medlarid.WeightVersion `json:"version"`
	Adapters     []medlarid.AdapterID   `json:"adapters,omitempty"`
}

type blocksMessage struct {
	Ticket string  `json:"ticket,omitempty"`
	Blocks []Block `json:"blocks"`
}

// Client sends requests to any number of engines. It is safe for concurrent use.
type Client struct {
	http            *medlarhttp.Client
	timeout         time.Duration
	transferTimeout time.Duration
}

// New returns a client. transferTimeout bounds exports and imports, and timeout
// bounds all other requests except runs.
func New(http *medlarhttp.Client, timeout, transferTimeout time.Duration) *Client {
	return &Client{http: http, timeout: timeout, transferTimeout: transferTimeout}
}

// Run starts a run. The caller must close the stream. On an error,
// Error.MayHaveRun reports whether the prompt may have run.
func (c *Client) Run(at medlarid.Address, p RunRequest) (*Stream, error) {
	p.Stream = true
	req, err := jsonRequest("POST", at, "/v1/completions", p)
	if err != nil {
		return nil, &Error{Op: OpRun, Kind: KindRefused, Err: err}
	}
	resp, err := c.http.Open(req)
	if err != nil {
		return nil, wrap(OpRun, err)
	}
	if resp.Status != statusOK {
		defer resp.Close()
		return nil, wrap(OpRun, responseError(resp))
	}
	return &Stream{http: resp, request: p.RequestID, reader: newLineReader(resp.Body), buffer: medlarsequence.New(p.ResumeParts)}, nil
}

// Cancel cancels the attempt identified by run.
func (c *Client) Cancel(at medlarid.Address, run string) error {
	return wrap(OpCancel, c.http.DoJSON(c.newRequest("DELETE", at, "/v1/runs/"+run), nil, nil))
}

// Status returns the status of an engine.
func (c *Client) Status(at medlarid.Address) (Load, error) {
	var l Load
	err := c.http.DoJSON(c.newRequest("GET", at, "/status"), nil, &l)
	return l, wrap(OpStatus, err)
}

// Events returns the cache events starting with number from.
func (c *Client) Events(at medlarid.Address, from int) (CacheEvents, error) {
	var ev CacheEvents
	err := c.http.DoJSON(c.newRequest("GET", at, "/events?from="+strconv.Itoa(from)), nil, &ev)
	return ev, wrap(OpEvents, err)
}

// Export makes an engine write cached blocks to reserved slots. It returns the
// blocks written, with length and checksum.
func (c *Client) Export(at medlarid.Address, blocks []Block) ([]Block, error) {
	var out blocksMessage
	req := c.newRequest("POST", at, "/kv/export")
	req.Timeout = c.transferTimeout
	err := c.http.DoJSON(req, blocksMessage{Blocks: blocks}, &out)
	return out.Blocks, wrap(OpExport, err)
}

// Import makes an engine read blocks from store slots and stage them under a
// ticket. It fails with KindMismatch unless the engine read exactly the requested
// blocks, compared by key, generation, length and checksum; then the ticket
// must not be used.
func (c *Client) Import(at medlarid.Address, ticket string, blocks []Block, limit time.Duration) error {
	var out blocksMessage
	req := c.newRequest("POST", at, "/kv/import")
	req.Timeout = min(limit, c.transferTimeout)
	if err := c.http.DoJSON(req, blocksMessage{Ticket: ticket, Blocks: blocks}, &out); err != nil {
		return wrap(OpImport, err)
	}
	return verify(blocks, out.Blocks)
}

// Discard drops the blocks staged under a ticket.
func (c *Client) Discard(at medlarid.Address, ticket string) error {
	return wrap(OpImport, c.http.DoJSON(c.newRequest("DELETE", at, "/kv/staged/"+ticket), nil, nil))
}

// SendOrder sends an order. On engines that check fencing tokens, an order with an
// outdated token fails with KindFenced.
func (c *Client) SendOrder(at medlarid.Address, o Order) error {
	err := c.http.DoJSON(c.newRequest("POST", at, "/orders"), o, nil)
	if medlarhttp.Status(err) == statusConflict {
		return &Error{Op: OpOrder, Kind: KindFenced, Err: err}
	}
	return wrap(OpOrder, err)
}

func (c *Client) newRequest(method string, at medlarid.Address, path string) medlarhttp.Request {
	return medlarhttp.Request{Method: method, Address: at, Path: path, Timeout: c.timeout}
}

// verify compares the blocks that an engine read with the requested ones.
func verify(want, got []Block) error {
	if len(want) != len(got) {
		return &Error{Op: OpImport, Kind: KindMismatch, Err: fmt.Errorf("read %d of %d blocks", len(got), len(want))}
	}
	for i := range want {
		w, g := want[i], got[i]
		if w.Key != g.Key || w.Generation != g.Generation || w.Length != g.Length || w.Checksum != g.Checksum {
			return &Error{Op: OpImport, Kind: KindMismatch, Err: fmt.Errorf("block %d of %d differs from the requested one", i+1, len(want))}
		}
	}
	return nil
}

// Package medlarengine is the client of model engines.
//
//	POST   /v1/completions     run a prompt; the answer is a stream of events
//	DELETE /v1/runs/{run}      cancel a run
//	GET    /status             load, model and weight version, with a lag
//	GET    /events?from=N      cache events, late and with gaps
//	POST   /kv/export          write cached blocks into store slots
//	POST   /kv/import          read blocks from store slots and stage them
//	DELETE /kv/staged/{ticket} drop staged blocks
//	POST   /orders             load a model, adapter or version, or change role
//
// An engine that is asked for another weight version than it has loaded refuses
// with 409 and has not run the prompt.
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
	KindBusy        Kind = "busy"        // refused for lack of room; not run
	KindVersion     Kind = "version"     // another weight version is loaded; not run
	KindRefused     Kind = "refused"     // the request is at fault; not run
	KindBroken      Kind = "broken"      // the connection failed
	KindTimeout     Kind = "timeout"     // no answer in time
	KindTruncated   Kind = "truncated"   // the answer has a gap or no end
	KindMalformed   Kind = "malformed"   // the answer cannot be read
	KindMismatch    Kind = "mismatch"    // imported blocks are not what was asked for
	KindFenced      Kind = "fenced"      // the order's fencing number is old
)

// Error is a failed operation.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("engine %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MayHaveRun reports whether the engine may have run what it was asked.
func (e *Error) MayHaveRun() bool {
	switch e.Kind {
	case KindUnreachable, KindBusy, KindVersion, KindRefused, KindFenced:
		return false
	default:
		return true
	}
}

// KindOf returns the kind of an error of this package, or KindBroken.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindBroken
}

// RunRequest is a run to be made.
type RunRequest struct {
	Request   medlarid.RequestID     `json:"request"`
	RunID     string                 `json:"run"` // names this attempt
	Model     medlarid.ModelID       `json:"model"`
	Adapter   medlarid.AdapterID     `json:"adapter,omitempty"`
	Version   medlarid.WeightVersion `json:"version"`
	Prompt    string                 `json:"prompt"`
	MaxTokens medlarid.Tokens        `json:"max_tokens"`
	CacheSalt string                 `json:"cache_salt"`
	Priority  medlarid.Priority      `json:"priority"`
	// ResumeParts is the number of parts of the answer that are there already, and
	// Answer their text; the engine goes on behind them.
	ResumeParts int    `json:"resume,omitempty"`
	ResumeText  string `json:"answer,omitempty"`
	Sampling
	// Ticket names staged blocks to use.
	Ticket string `json:"ticket,omitempty"`
	Stream bool   `json:"stream"`
}

// Sampling are the options of a run that the system passes on as they are.
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

// Load is what an engine reports of itself.
type Load struct {
	Model         medlarid.ModelID       `json:"model"`
	Adapters      []medlarid.AdapterID   `json:"adapters,omitempty"`
	Version       medlarid.WeightVersion `json:"version"`
	Running       int                    `json:"running"`
	Queued        int                    `json:"queued"`
	Slots         int                    `json:"slots"`
	PendingTokens medlarid.Tokens        `json:"pending"`
	PrefillRate   float64                `json:"prefill"` // prompt tokens a second
	BlockBytes    medlarid.Bytes         `json:"block"`
	Leaving       bool                   `json:"leaving,omitempty"`
	Loading       bool                   `json:"loading,omitempty"`
}

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Stored  []medlarkey.Key `json:"stored,omitempty"`
	Evicted []medlarkey.Key `json:"evicted,omitempty"`
}

// CacheEvents is a part of an engine's list of cache events.
type CacheEvents struct {
	// Epoch changes when the engine has lost its cache.
	Epoch  string       `json:"epoch"`
	First  int          `json:"first"`
	Next   int          `json:"next"`
	Events []CacheEvent `json:"events"`
}

// Block is a KV block with its place in a store.
type Block struct {
	Key        medlarkey.Key    `json:"key"`
	Store      medlarid.Address `json:"store"`
	Slot       uint64           `json:"slot"`
	Generation uint64           `json:"generation"`
	Length     medlarid.Bytes   `json:"length,omitempty"`
	Checksum   uint64           `json:"sum,omitempty"`
}

// Order is an absolute instruction to an engine.
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

// Client talks to any number of engines. It is safe for concurrent use.
type Client struct {
	http     *medlarhttp.Client
	timeout  time.Duration
	transfer time.Duration
}

// New returns a client. timeout bounds short calls, transfer bounds exports and
// imports.
func New(http *medlarhttp.Client, timeout, transfer time.Duration) *Client {
	return &Client{http: http, timeout: timeout, transfer: transfer}
}

// Run starts a prompt. The caller closes the stream. An error says by Reached
// whether the prompt may have run.
func (c *Client) Run(at medlarid.Address, p RunRequest) (*Stream, error) {
	return c.run(at, p, c.http.Open)
}

// RunUnpooled is Run on a connection of its own, for prompts that must not be
// repeated: a pooled connection may have been closed by the engine.
func (c *Client) RunUnpooled(at medlarid.Address, p RunRequest) (*Stream, error) {
	return c.run(at, p, c.http.OpenUnpooled)
}

func (c *Client) run(at medlarid.Address, p RunRequest, open func(medlarhttp.Request) (*medlarhttp.Stream, error)) (*Stream, error) {
	p.Stream = true
	call, err := jsonCall("POST", at, "/v1/completions", p)
	if err != nil {
		return nil, &Error{Op: OpRun, Kind: KindRefused, Err: err}
	}
	hs, err := open(call)
	if err != nil {
		return nil, wrap(OpRun, err)
	}
	if hs.Status != statusOK {
		defer hs.Close()
		return nil, wrap(OpRun, refusal(hs))
	}
	return &Stream{http: hs, lines: newLines(hs.Body), order: medlarsequence.New(p.ResumeParts)}, nil
}

// Cancel stops an attempt.
func (c *Client) Cancel(at medlarid.Address, run string) error {
	return wrap(OpCancel, c.http.DoJSON(c.call("DELETE", at, "/v1/runs/"+run), nil, nil))
}

// Status returns an engine's report of itself.
func (c *Client) Status(at medlarid.Address) (Load, error) {
	var l Load
	err := c.http.DoJSON(c.call("GET", at, "/status"), nil, &l)
	return l, wrap(OpStatus, err)
}

// Events returns the cache events from number from on.
func (c *Client) Events(at medlarid.Address, from int) (CacheEvents, error) {
	var ev CacheEvents
	err := c.http.DoJSON(c.call("GET", at, "/events?from="+strconv.Itoa(from)), nil, &ev)
	return ev, wrap(OpEvents, err)
}

// Export asks an engine to write cached blocks into reserved slots, and returns
// length and checksum of those that it wrote.
func (c *Client) Export(at medlarid.Address, blocks []Block) ([]Block, error) {
	var out blocksMessage
	call := c.call("POST", at, "/kv/export")
	call.Timeout = c.transfer
	err := c.http.DoJSON(call, blocksMessage{Blocks: blocks}, &out)
	return out.Blocks, wrap(OpExport, err)
}

// Import asks an engine to read blocks from store slots and to stage them under
// a ticket. It fails with KindMismatch unless the engine read exactly the
// blocks that were asked for, by generation, length and checksum; then nothing
// of the ticket may be used.
func (c *Client) Import(at medlarid.Address, ticket string, blocks []Block, within time.Duration) error {
	var out blocksMessage
	call := c.call("POST", at, "/kv/import")
	call.Timeout = min(within, c.transfer)
	if err := c.http.DoJSON(call, blocksMessage{Ticket: ticket, Blocks: blocks}, &out); err != nil {
		return wrap(OpImport, err)
	}
	return verify(blocks, out.Blocks)
}

// Discard drops the blocks staged under a ticket.
func (c *Client) Discard(at medlarid.Address, ticket string) error {
	return wrap(OpImport, c.http.DoJSON(c.call("DELETE", at, "/kv/staged/"+ticket), nil, nil))
}

// SendOrder sends an order. An order with an old fencing number fails with
// KindFenced on engines that check it.
func (c *Client) SendOrder(at medlarid.Address, o Order) error {
	err := c.http.DoJSON(c.call("POST", at, "/orders"), o, nil)
	if medlarhttp.Status(err) == statusConflict {
		return &Error{Op: OpOrder, Kind: KindFenced, Err: err}
	}
	return wrap(OpOrder, err)
}

func (c *Client) call(method string, at medlarid.Address, path string) medlarhttp.Request {
	return medlarhttp.Request{Method: method, Address: at, Path: path, Timeout: c.timeout}
}

// verify compares what an engine read with what it was asked to read.
func verify(want, got []Block) error {
	if len(want) != len(got) {
		return &Error{Op: OpImport, Kind: KindMismatch, Err: fmt.Errorf("read %d blocks of %d", len(got), len(want))}
	}
	for i := range want {
		w, g := want[i], got[i]
		if w.Key != g.Key || w.Generation != g.Generation || w.Length != g.Length || w.Checksum != g.Checksum {
			return &Error{Op: OpImport, Kind: KindMismatch, Err: fmt.Errorf("block %d of %d differs", i+1, len(want))}
		}
	}
	return nil
}

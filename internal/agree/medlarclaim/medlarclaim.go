// Package medlarclaim grants at most one attempt to each unrepeatable request.
//
// Rules:
//
//	R1  The claims stream is authoritative: every instance applies its records in
//	    offset order and derives the same table.
//	R2  The first claim of a key in log order owns the key. A claim is granted
//	    only to the instance that reads its own claim back as the owner.
//	R3  A claim that is appended more than ClaimWindow records after the offset
//	    that its author had read is void, and so is a claim whose key is too old
//	    by the log's clock.
//	R4  A duplicate of a claim has no effect, so an append whose response was lost
//	    can be retried.
//	R5  An instance whose table may lack valid claims makes no claims.
//	R6  The attempt of an abandoned claim is never made: if the claim is granted
//	    later, its author voids it. One lock makes abandoning a claim and granting
//	    it mutually exclusive.
//	R7  Appends are batched: claims and outcomes that arrive during an append are
//	    queued for the next one.
package medlarclaim

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarlog"
)

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpKey   Op = "key"
	OpClaim Op = "claim"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindInvalidKey  Kind = "key"         // the idempotency key is missing or malformed
	KindExpired     Kind = "expired"     // the key is too old, or its time of issue lies too far ahead
	KindUnavailable Kind = "unavailable" // no claim could be made; the request did not run
	KindConflict    Kind = "conflict"    // the key was used for a different request
	KindOwned       Kind = "owned"       // the key is already claimed; see Entry
)

// Error reports a claim that was not granted.
type Error struct {
	Op    Op
	Kind  Kind
	Entry Entry // the existing entry, with KindOwned
	Err   error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request identifies the request to claim an attempt for.
type Request struct {
	Key        Key
	BodyDigest Digest
	Issued     time.Time
}

// NewRequest returns the request of an account with the caller's idempotency
// key. The key starts with its time of issue as Unix time in seconds and a dash,
// as in "1790000000-7f3a". The digest of parts distinguishes requests that use
// the same key.
func NewRequest(a medlarid.AccountID, key string, parts ...[]byte) (Request, error) {
	seconds, rest, ok := strings.Cut(key, "-")
	n, err := strconv.ParseInt(seconds, 10, 64)
	if !ok || rest == "" || err != nil || n < 0 {
		// Clients receive this text as the detail of a refusal.
		return Request{}, &Error{Op: OpKey, Kind: KindInvalidKey, Err: eris.New("want seconds since 1970, a dash and a name, such as 1790000000-7f3a")}
	}
	r := Request{Issued: time.Unix(n, 0)}
	copy(r.Key[:], digest([]byte(a), []byte(key)))
	copy(r.BodyDigest[:], digest(parts...))
	return r, nil
}

// digest hashes the parts, each prefixed with its length.
func digest(parts ...[]byte) []byte {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	return h.Sum(nil)
}

// Grant is the permission to make one attempt.
type Grant struct {
	ID      ID
	Request Request
}

// waiter receives the result of a pending claim.
type waiter struct {
	request Request
	result  chan error // nil if the claim was granted
}

// Claimer makes claims on behalf of one instance. It is safe for concurrent use.
type Claimer struct {
	bounds        Bounds
	author        string
	appendRecords medlarlog.AppendFunc
	ready         func() bool // reports whether the reader is at the end of the stream

	mu       sync.Mutex
	table    *Table
	pending  map[ID]*waiter
	claims   []*medlarrecord.Claim
	outcomes []*medlarrecord.Outcome
	wake     chan struct{}
	stats    Stats
}

// Stats holds the counters of a Claimer. Its field names are part of the status
// response.
type Stats struct {
	Appends  int
	Failures int // failed appends
	Claims   int
	GivenUp  int
	Keys     int
	Counts   Counts
}

// New returns a Claimer that appends with appendRecords and relies on its table
// while ready returns true. Claims need Run to be running.
func New(author string, b Bounds, appendRecords medlarlog.AppendFunc, ready func() bool) *Claimer {
	return &Claimer{
		bounds:        b,
		author:        author,
		appendRecords: appendRecords,
		ready:         ready,
		table:         NewTable(b),
		pending:       map[ID]*waiter{},
		wake:          make(chan struct{}, 1),
	}
}

// Stats returns the current counters.
func (c *Claimer) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Keys = c.table.Len()
	s.Counts = c.table.Counts
	return s
}

// Check reports, without making a claim, whether a request could be claimed now.
// It returns the errors of Claim.
func (c *Claimer) Check(r Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.check(r)
}

func (c *Claimer) check(r Request) error {
	if e, ok := c.table.Get(r.Key); ok {
		return ownedError(r, e)
	}
	now := time.Now()
	if !c.bounds.valid(r.Issued, now) {
		return &Error{Op: OpClaim, Kind: KindExpired, Err: eris.Errorf("key was issued at %s", r.Issued.UTC().Format(time.RFC3339))}
	}
	if !c.ready() || !c.table.Complete(now) {
		return &Error{Op: OpClaim, Kind: KindUnavailable, Err: eris.New("table of claims may be incomplete")} // R5
	}
	return nil
}

func ownedError(r Request, e Entry) error {
	if e.BodyDigest != r.BodyDigest {
		return &Error{Op: OpClaim, Kind: KindConflict, Err: eris.New("key was used for a different request")}
	}
	return &Error{Op: OpClaim, Kind: KindOwned, Entry: e, Err: eris.Errorf("key is already claimed: %s", e.State)}
}

// Claim claims the single attempt of a request. If it returns no error, the
// caller owns the attempt. On any error the attempt must not be made, and none
// was made on behalf of this call. Claim abandons the claim when ctx is done.
func (c *Claimer) Claim(ctx context.Context, r Request) (Grant, error) {
	id, w, err := c.enqueue(r)
	if err != nil {
		return Grant{}, err
	}
	select {
	case err := <-w.result:
		return Grant{ID: id, Request: r}, err
	case <-ctx.Done():
		return c.abandon(id, w)
	}
}

// enqueue queues a claim for the next append.
func (c *Claimer) enqueue(r Request) (ID, *waiter, error) {
	id := medlarid.NewRecordID()
	w := &waiter{request: r, result: make(chan error, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.check(r); err != nil {
		return id, nil, err
	}
	c.pending[id] = w
	c.claims = append(c.claims, claimRecord(id, r))
	c.stats.Claims++
	c.signal()
	return id, w, nil
}

// abandon stops waiting for a claim, unless the claim has just been decided (R6).
func (c *Claimer) abandon(id ID, w *waiter) (Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case err := <-w.result:
		return Grant{ID: id, Request: w.request}, err
	default:
	}
	delete(c.pending, id)
	c.stats.GivenUp++
	return Grant{}, &Error{Op: OpClaim, Kind: KindUnavailable, Err: eris.New("claim was not read back from the log before the deadline")}
}

// RecordDone records the response of a granted attempt. Only the digest of a
// response of more than maxResponse bytes is stored.
func (c *Claimer) RecordDone(g Grant, status int, contentType string, response []byte) {
	sum := sha256.Sum256(response)
	o := outcomeRecord(g, medlarrecord.State_STATE_DONE)
	o.Status = uint32(status)
	o.Type = contentType
	o.Digest = sum[:]
	if len(response) <= maxResponse {
		o.Answer = append([]byte(nil), response...)
	}
	c.enqueueOutcome(o)
}

// RecordUnknown records that a granted attempt was made and that its outcome is
// not known.
func (c *Claimer) RecordUnknown(g Grant) {
	c.enqueueOutcome(outcomeRecord(g, medlarrecord.State_STATE_UNKNOWN))
}

// Void returns a granted attempt that was not made and will not be made.
func (c *Claimer) Void(g Grant) { c.enqueueOutcome(outcomeRecord(g, medlarrecord.State_STATE_VOID)) }

func (c *Claimer) enqueueOutcome(o *medlarrecord.Outcome) {
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
	c.signal()
}

// Apply applies one record of the claims stream.
func (c *Claimer) Apply(e medlarlog.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	author, decisions := c.table.Apply(e)
	for _, r := range decisions {
		c.deliver(author, r)
	}
	if len(c.outcomes) > 0 {
		c.signal()
	}
}

// deliver passes a decision to the waiter of the claim. It voids a granted claim
// that its author has abandoned (R6).
func (c *Claimer) deliver(author string, r ClaimDecision) {
	w := c.pending[r.ID]
	if w == nil {
		if r.Decision == DecisionGranted && author == c.author {
			g := Grant{ID: r.ID, Request: Request{Key: r.Key}}
			c.outcomes = append(c.outcomes, outcomeRecord(g, medlarrecord.State_STATE_VOID))
		}
		return
	}
	var result error
	switch r.Decision {
	case DecisionGranted:
	case DecisionRepeated:
		return // the first decision stands
	case DecisionLost:
		entry, _ := c.table.Get(r.Key)
		result = ownedError(w.request, entry)
	case DecisionExpired:
		result = &Error{Op: OpClaim, Kind: KindExpired, Err: eris.New("key is too old by the log's clock")}
	default:
		result = &Error{Op: OpClaim, Kind: KindUnavailable, Err: eris.New("claim was appended outside its window")}
	}
	delete(c.pending, r.ID)
	w.result <- result
}

// Reset empties the table after records have expired. Pending claims are refused,
// since the decisions about them may be among the lost records.
func (c *Claimer) Reset(first medlarid.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Reset(first)
	for id, w := range c.pending {
		delete(c.pending, id)
		w.result <- &Error{Op: OpClaim, Kind: KindUnavailable, Err: eris.New("records of the claims stream expired before they were read")}
	}
}

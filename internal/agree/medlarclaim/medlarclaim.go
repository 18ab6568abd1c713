// Package medlarclaim grants at most one attempt to each unrepeatable request.
//
// Rules:
//
//	R1  The claims stream decides; every instance applies its records in the
//	    order of their offsets and comes to the same table.
//	R2  The first claim of a key in log order owns it. A claim is granted to the
//	    instance that reads its own claim back as the owner, and to no other.
//	R3  A claim that lands more than Span records after the offset its author had
//	    read is void, and so is a claim whose key is too old by the log's clock.
//	R4  A repeated claim has no effect, so an append whose answer was lost may be
//	    repeated.
//	R5  An instance whose table may lack valid claims claims nothing.
//	R6  Who has given up on a claim never makes the attempt: if the claim is
//	    granted later, its author voids it. Giving up and being granted exclude
//	    each other under one lock.
//	R7  Appends are grouped: while one is under way, others gather for the next.
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
	KindInvalidKey  Kind = "key"         // no usable idempotency key
	KindExpired     Kind = "expired"     // the key is too old or lies ahead
	KindUnavailable Kind = "unavailable" // no claim possible; the request did not run
	KindConflict    Kind = "conflict"    // the key belongs to another request
	KindOwned       Kind = "owned"       // the key is claimed already; see Entry
)

// Error is a claim that was not granted.
type Error struct {
	Op    Op
	Kind  Kind
	Entry Entry // with KindOwned
	Err   error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is what is claimed.
type Request struct {
	Key        Key
	BodyDigest Digest
	Issued     time.Time
}

// NewRequest returns the request of an account with the caller's idempotency
// key, which starts with its time of issue in seconds since 1970 and a dash,
// such as "1790000000-7f3a". what are the parts that tell requests apart.
func NewRequest(a medlarid.AccountID, key string, what ...[]byte) (Request, error) {
	seconds, rest, ok := strings.Cut(key, "-")
	n, err := strconv.ParseInt(seconds, 10, 64)
	if !ok || rest == "" || err != nil || n < 0 {
		return Request{}, &Error{Op: OpKey, Kind: KindInvalidKey, Err: eris.New("want seconds since 1970, a dash and a name, such as 1790000000-7f3a")}
	}
	r := Request{Issued: time.Unix(n, 0)}
	copy(r.Key[:], digest([]byte(a), []byte(key)))
	copy(r.BodyDigest[:], digest(what...))
	return r, nil
}

// digest hashes parts, each with its length.
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

// Grant is the right to make one attempt.
type Grant struct {
	ID      ID
	Request Request
}

// waiter waits for the fate of a claim.
type waiter struct {
	request Request
	fate    chan error // nil for granted
}

// Claimer claims on behalf of one instance. It is safe for concurrent use.
type Claimer struct {
	bounds Bounds
	author string
	add    medlarlog.AppendFunc
	ready  func() bool // the reader is at the end of the stream

	mu       sync.Mutex
	table    *Table
	waiting  map[ID]*waiter
	claims   []*medlarrecord.Claim
	outcomes []*medlarrecord.Outcome
	wake     chan struct{}
	stats    Stats
}

// Stats are totals of a desk.
type Stats struct {
	Appends  int
	Failures int // appends that failed
	Claims   int
	GivenUp  int
	Keys     int
	Counts   Counts
}

// New returns a desk that appends with add and trusts its table while ready
// returns true. Run must be running.
func New(author string, b Bounds, add medlarlog.AppendFunc, ready func() bool) *Claimer {
	return &Claimer{
		bounds:  b,
		author:  author,
		add:     add,
		ready:   ready,
		table:   NewTable(b),
		waiting: map[ID]*waiter{},
		wake:    make(chan struct{}, 1),
	}
}

// Stats returns the totals.
func (d *Claimer) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stats
	s.Keys = d.table.Len()
	s.Counts = d.table.Counts
	return s
}

// Check tells without claiming whether a request could be claimed now. Errors
// are those of Claim.
func (d *Claimer) Check(r Request) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.check(r)
}

func (d *Claimer) check(r Request) error {
	if e, ok := d.table.Get(r.Key); ok {
		return owned(r, e)
	}
	now := time.Now()
	if !d.bounds.valid(r.Issued, now) {
		return &Error{Op: OpClaim, Kind: KindExpired, Err: eris.Errorf("issued at %s", r.Issued.UTC().Format(time.RFC3339))}
	}
	if !d.ready() || !d.table.Complete(now) {
		return &Error{Op: OpClaim, Kind: KindUnavailable, Err: eris.New("the claims in the log are not known")} // R5
	}
	return nil
}

func owned(r Request, e Entry) error {
	if e.BodyDigest != r.BodyDigest {
		return &Error{Op: OpClaim, Kind: KindConflict, Err: eris.New("the key was used for another request")}
	}
	return &Error{Op: OpClaim, Kind: KindOwned, Entry: e, Err: eris.Errorf("the key is claimed: %s", e.State)}
}

// Claim asks for the one attempt of a request. Without an error the caller owns
// it. On any error the attempt must not be made; it did not run on behalf of
// this call. Claim gives up when ctx ends.
func (d *Claimer) Claim(ctx context.Context, r Request) (Grant, error) {
	id, w, err := d.begin(r)
	if err != nil {
		return Grant{}, err
	}
	select {
	case err := <-w.fate:
		return Grant{ID: id, Request: r}, err
	case <-ctx.Done():
		return d.giveUp(id, w)
	}
}

// begin queues a claim for the next append.
func (d *Claimer) begin(r Request) (ID, *waiter, error) {
	id := medlarid.NewRecordID()
	w := &waiter{request: r, fate: make(chan error, 1)}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.check(r); err != nil {
		return id, nil, err
	}
	d.waiting[id] = w
	d.claims = append(d.claims, claimRecord(id, r))
	d.stats.Claims++
	d.signal()
	return id, w, nil
}

// giveUp ends a wait, unless the claim was decided just before (R6).
func (d *Claimer) giveUp(id ID, w *waiter) (Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case err := <-w.fate:
		return Grant{ID: id, Request: w.request}, err
	default:
	}
	delete(d.waiting, id)
	d.stats.GivenUp++
	return Grant{}, &Error{Op: OpClaim, Kind: KindUnavailable, Err: eris.New("the claim was not read back in time")}
}

// RecordDone records the answer of a granted attempt. Answers of more than
// maxAnswer bytes are kept as a digest.
func (d *Claimer) RecordDone(g Grant, status int, contentType string, answer []byte) {
	sum := sha256.Sum256(answer)
	o := outcomeRecord(g, medlarrecord.State_STATE_DONE)
	o.Status = uint32(status)
	o.Type = contentType
	o.Digest = sum[:]
	if len(answer) <= maxAnswer {
		o.Answer = append([]byte(nil), answer...)
	}
	d.settle(o)
}

// RecordUnknown records that a granted attempt was made and its outcome is not known.
func (d *Claimer) RecordUnknown(g Grant) {
	d.settle(outcomeRecord(g, medlarrecord.State_STATE_UNKNOWN))
}

// Void gives a granted attempt back that was not and will not be made.
func (d *Claimer) Void(g Grant) { d.settle(outcomeRecord(g, medlarrecord.State_STATE_VOID)) }

func (d *Claimer) settle(o *medlarrecord.Outcome) {
	d.mu.Lock()
	d.outcomes = append(d.outcomes, o)
	d.mu.Unlock()
	d.signal()
}

// Apply applies one record of the claims stream.
func (d *Claimer) Apply(e medlarlog.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	author, ruled := d.table.Apply(e)
	for _, r := range ruled {
		d.decide(author, r)
	}
	if len(d.outcomes) > 0 {
		d.signal()
	}
}

// decide tells the waiter of a claim its fate, and voids a granted claim that
// its author has given up (R6).
func (d *Claimer) decide(author string, r ClaimDecision) {
	w := d.waiting[r.ID]
	if w == nil {
		if r.Decision == DecisionGranted && author == d.author {
			g := Grant{ID: r.ID, Request: Request{Key: r.Key}}
			d.outcomes = append(d.outcomes, outcomeRecord(g, medlarrecord.State_STATE_VOID))
		}
		return
	}
	var fate error
	switch r.Decision {
	case DecisionGranted:
	case DecisionRepeated:
		return // the first ruling counted
	case DecisionLost:
		entry, _ := d.table.Get(r.Key)
		fate = owned(w.request, entry)
	case DecisionExpired:
		fate = &Error{Op: OpClaim, Kind: KindExpired, Err: eris.New("the key is too old by the log's clock")}
	default:
		fate = &Error{Op: OpClaim, Kind: KindUnavailable, Err: eris.New("the claim landed too late")}
	}
	delete(d.waiting, r.ID)
	w.fate <- fate
}

// Reset empties the table after records have expired. What waits is refused,
// since its ruling may be among the lost records.
func (d *Claimer) Reset(first medlarid.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Reset(first)
	for id, w := range d.waiting {
		delete(d.waiting, id)
		w.fate <- &Error{Op: OpClaim, Kind: KindUnavailable, Err: eris.New("records of the log were lost")}
	}
}

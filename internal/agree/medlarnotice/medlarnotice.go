// Package medlarnotice writes what one instance reports to all others, as records in a keyed topic
// of the platform's store. All instances follow the topic.
//
// Rules:
//
//	R1  A record is written until the store has accepted it. Of several records for one key
//	    only the last is written. Put never blocks.
//	R2  A claim is written once, and only if the topic still ends where the instance has read
//	    to. So of several instances that claim the same thing one succeeds, and an
//	    instance that has not read all records fails.
//	    A claim that depends on no other key is written at a later end if the records up to there
//	    have other keys: else none succeeds while others write all the time.
//	R3  At most maxPending records wait to be written; further keys are dropped and
//	    reported.
package medlarnotice

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
)

// Bounds of what waits, and of the time between two tries.
const (
	maxPending = 1024
	maxBatch   = 64 // records in one call
	minBackoff = 100 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	claimTries = 6
)

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpPut    Op = "put"
	OpClaim  Op = "claim"
	OpDecode Op = "decode"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindFull      Kind = "full"      // too many records wait
	KindBehind    Kind = "behind"    // the instance has not read all records
	KindStore     Kind = "store"     // the call to the store failed
	KindMalformed Kind = "malformed" // the record cannot be decoded
)

// Error is a failed operation.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("notice: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Record is a record of a key. An empty value removes the key.
type Record struct {
	Key   string
	Value []byte
	// Serial numbers the writer's records of the key; it is not written.
	Serial uint64
}

// Deps are the functions with which a board writes.
type Deps struct {
	// Append appends records to the topic, all or none, and returns the offset of the first.
	Append func(records []Record) (medlarid.Offset, error)
	// AppendAt appends a record if the topic ends at an offset.
	AppendAt func(at medlarid.Offset, r Record) error
	// Read returns the records from an offset on, and the offset after them.
	Read func(from medlarid.Offset) (records []Record, end medlarid.Offset, err error)
	// OnError is called for each call that failed and each record that was dropped.
	OnError func(error)
}

// Board writes records. It is safe for concurrent use.
type Board struct {
	deps      Deps
	wake      chan struct{}
	onWritten func([]Record, medlarid.Offset)

	mu      sync.Mutex
	pending map[string]Record
	order   []string // keys of pending, the oldest first
	end     medlarid.Offset
	read    bool // the topic has been read once
}

// New returns a board; Run makes it write.
func New(deps Deps) *Board {
	return &Board{deps: deps, wake: make(chan struct{}, 1), pending: map[string]Record{}, onWritten: func([]Record, medlarid.Offset) {}}
}

// SetOnWritten sets the function that is called with the queued records that each call has written, and the offset
// of the first. It is called before Run.
func (b *Board) SetOnWritten(f func([]Record, medlarid.Offset)) { b.onWritten = f }

// Put queues a record (R1).
func (b *Board) Put(r Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.pending[r.Key]; !ok {
		if len(b.order) >= maxPending {
			b.deps.OnError(&Error{Op: OpPut, Kind: KindFull, Err: eris.Errorf("record %q is dropped", r.Key)})
			return
		}
		b.order = append(b.order, r.Key)
	}
	b.pending[r.Key] = r
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// SetEnd sets the offset up to which the instance has read the topic.
func (b *Board) SetEnd(end medlarid.Offset) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end, b.read = end, true
}

// End returns the offset up to which the instance has read the topic; ok is false if it has not read it.
func (b *Board) End() (end medlarid.Offset, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end, b.read
}

// Claim writes a record if the instance has read all others (R2).
func (b *Board) Claim(r Record) error {
	end, ok := b.End()
	if !ok {
		return &Error{Op: OpClaim, Kind: KindBehind, Err: eris.New("the topic has not been read")}
	}
	if err := b.deps.AppendAt(end, r); err != nil {
		return &Error{Op: OpClaim, Kind: KindStore, Err: err}
	}
	return nil
}

// ClaimKey writes a record if the instance has read all others of its key (R2).
func (b *Board) ClaimKey(r Record) error {
	end, ok := b.End()
	if !ok {
		return &Error{Op: OpClaim, Kind: KindBehind, Err: eris.New("the topic has not been read")}
	}
	var err error
	for range claimTries {
		if err = b.deps.AppendAt(end, r); err == nil {
			return nil
		}
		records, next, failed := b.deps.Read(end)
		switch {
		case failed != nil || next <= end:
			return &Error{Op: OpClaim, Kind: KindStore, Err: err}
		case slices.ContainsFunc(records, func(o Record) bool { return o.Key == r.Key }):
			return &Error{Op: OpClaim, Kind: KindBehind, Err: eris.New("the record has changed")}
		}
		end = next
	}
	return &Error{Op: OpClaim, Kind: KindStore, Err: err}
}

// Run writes queued records until ctx ends.
func (b *Board) Run(ctx context.Context) {
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		for ctx.Err() == nil {
			batch := b.take()
			if len(batch) == 0 {
				break
			}
			first, err := b.deps.Append(batch)
			if err != nil {
				b.deps.OnError(&Error{Op: OpPut, Kind: KindStore, Err: err})
				b.putBack(batch)
				failures++
				medlarpause.For(ctx, backoff(failures))
				continue
			}
			failures = 0
			b.onWritten(batch, first)
		}
	}
}

// take removes and returns the oldest queued records.
func (b *Board) take() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.order), maxBatch)
	out := make([]Record, n)
	for i, key := range b.order[:n] {
		out[i] = b.pending[key]
		delete(b.pending, key)
	}
	b.order = append([]string(nil), b.order[n:]...)
	return out
}

// putBack queues records again, except those that newer ones have replaced.
func (b *Board) putBack(batch []Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []string
	for _, r := range batch {
		if _, ok := b.pending[r.Key]; !ok {
			b.pending[r.Key] = r
			keys = append(keys, r.Key)
		}
	}
	b.order = append(keys, b.order...)
}

func backoff(failures int) time.Duration {
	d := min(minBackoff<<min(failures-1, 10), maxBackoff)
	return d/2 + rand.N(d/2)
}

// Package medlarmemory accounts for the memory that the peers of a process make it hold, so that many of them together
// cannot exhaust it.
//
// Rules:
//
//	R1  All reservations together never exceed the bound of the account, and those of one kind never exceed its share.
//	R2  Bytes are reserved before the memory is allocated, and released when it is no longer used. A reservation succeeds
//	    or fails without waiting.
//	R3  A reservation grows to more than largeBytes only if largeReserve of the bound stays free, so that small requests
//	    are served while large ones fill the account.
//	R4  If there is no room for a reservation, unfinished ones that have made no progress for stallTime are dropped until
//	    there is, the one that has made none for the longest time first. Progress is progressBytes received.
//	R5  The bytes of a dropped reservation are free at once, before its owner frees the memory: the owner is notified by
//	    the drop function. Grow, Move and Finish of a dropped reservation fail.
//	R6  Release returns all bytes of a reservation. It has no effect on one that was released or dropped.
//	R7  A nil Account has no bound. Its reservations are nil, and their methods have no effect.
package medlarmemory

import (
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is what memory is held for.
type Kind int

// Kinds.
const (
	KindHeads       Kind = iota // unfinished heads
	KindBodies                  // bodies that are being read
	KindRequests                // requests that wait or run, with their bodies
	KindAnswers                 // answers that are relayed
	KindStreams                 // requests that are answered with a stream
	KindConnections             // connections between instances
	kinds
)

// kindNames are the names of the kinds in metrics.
var kindNames = [kinds]string{"heads", "bodies", "requests", "answers", "streams", "connections"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind {
	out := make([]Kind, kinds)
	for i := range out {
		out[i] = Kind(i)
	}
	return out
}

// shares are the shares of the bound that each kind may take. KindRequests and KindStreams have the whole bound, since a
// request keeps its memory when its answer becomes a stream (SetKind).
var shares = [kinds]float64{KindHeads: 0.25, KindBodies: 0.75, KindRequests: 1, KindAnswers: 0.5, KindStreams: 1, KindConnections: 0.25}

const (
	largeBytes    = 128 << 10
	largeReserve  = 0.25                   // of the bound
	progressBytes = 16 << 10               // within stallTime, which is 0.65 Mbit/s
	stallTime     = 200 * time.Millisecond // longer than a round trip between regions, and than a pause of a busy instance
)

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpReserve Op = "reserve"
	OpGrow    Op = "grow"
	OpMove    Op = "move"
	OpFinish  Op = "finish"
)

// Cause classifies a failure.
type Cause string

// Causes of failures.
const (
	CauseFull    Cause = "full"    // the bound is reached
	CauseDropped Cause = "dropped" // the reservation was dropped to make room for others (R4)
)

// Error reports memory that cannot be reserved.
type Error struct {
	Op    Op
	Cause Cause
	Err   error
}

// ErrDropped reports a reservation that was dropped (R5).
var ErrDropped = &Error{Op: OpGrow, Cause: CauseDropped, Err: eris.New("made no progress while the account was full")}

// Error returns operation and cause.
func (e *Error) Error() string { return fmt.Sprintf("memory: %s: %s: %v", e.Op, e.Cause, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Account accounts for the memory of a process. It is safe for concurrent use.
type Account struct {
	bound int64

	mu         sync.Mutex
	total      int64
	held       [kinds]int64
	unfinished map[*Reservation]struct{} // reservations that may be dropped
}

// New returns an empty account with a bound in bytes.
func New(bound int64) *Account {
	return &Account{bound: bound, unfinished: map[*Reservation]struct{}{}}
}

// Held returns the bytes that are reserved for a kind.
func (a *Account) Held(k Kind) int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[k]
}

// Reservation is the memory of one owner. Its methods are for use by a single goroutine.
type Reservation struct {
	account  *Account
	received int // bytes since the last progress

	// These are guarded by the account's mutex.
	kind     Kind
	bytes    int64
	dropped  bool
	drop     func()    // notifies the owner of the drop; nil if the reservation is finished
	progress time.Time // when it last made progress, if it is unfinished
}

// Reserve reserves n bytes.
func (a *Account) Reserve(k Kind, n int) (*Reservation, error) {
	if a == nil {
		return nil, nil
	}
	r := &Reservation{account: a, kind: k}
	if err := r.change(OpReserve, k, int64(n)); err != nil {
		return nil, err
	}
	return r, nil
}

// SetUnfinished allows that a reservation is dropped until it is finished (R4). If it is, drop is called by the goroutine that
// needs the room, and must not block.
func (r *Reservation) SetUnfinished(drop func()) {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.drop, r.progress = drop, time.Now()
	r.account.unfinished[r] = struct{}{}
}

// Finish changes the kind, and the number of bytes to n. The reservation is not dropped from then on.
func (r *Reservation) Finish(k Kind, n int) error {
	if r == nil {
		return nil
	}
	return r.change(OpFinish, k, int64(n))
}

// Move changes the kind, and the number of bytes to n. It counts as progress.
func (r *Reservation) Move(k Kind, n int) error {
	if r == nil {
		return nil
	}
	return r.change(OpMove, k, int64(n))
}

// SetKind changes the kind to one that may take the whole bound, and so cannot fail.
func (r *Reservation) SetKind(k Kind) {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.held[r.kind] -= r.bytes
	r.kind = k
	r.account.held[k] += r.bytes
}

// Grow reserves n more bytes.
func (r *Reservation) Grow(n int) error {
	if r == nil {
		return nil
	}
	return r.change(OpGrow, r.kind, int64(n))
}

// Shrink releases n bytes.
func (r *Reservation) Shrink(n int) {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if !r.dropped {
		r.add(-int64(n))
	}
}

// Received records that n bytes have arrived for an unfinished reservation.
func (r *Reservation) Received(n int) {
	if r == nil {
		return
	}
	if r.received += n; r.received < progressBytes {
		return
	}
	r.received = 0
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.progress = time.Now()
}

// Dropped reports whether the reservation was dropped to make room for others.
func (r *Reservation) Dropped() bool {
	if r == nil {
		return false
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.dropped
}

// Release returns all bytes (R6).
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.clear()
}

// clear returns all bytes; the account's mutex is held.
func (r *Reservation) clear() {
	r.add(-r.bytes)
	r.drop = nil
	delete(r.account.unfinished, r)
}

// add changes the number of bytes; the account's mutex is held.
func (r *Reservation) add(n int64) {
	r.bytes += n
	r.account.total += n
	r.account.held[r.kind] += n
}

// change changes the kind and the bytes, and drops stalled reservations if there is no room (R4). n is the new number of
// bytes; with OpGrow it is the number of further ones.
func (r *Reservation) change(op Op, k Kind, n int64) error {
	drops, err := r.account.change(r, op, k, n)
	for _, drop := range drops {
		drop()
	}
	return err
}

func (a *Account) change(r *Reservation, op Op, k Kind, n int64) (drops []func(), err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.dropped {
		return nil, ErrDropped
	}
	if op == OpGrow {
		n += r.bytes
	}
	for {
		f := a.check(r, k, n)
		if f == fits {
			break
		}
		stalled := a.stalled(r, k, f)
		if stalled == nil {
			return drops, &Error{Op: op, Cause: CauseFull, Err: eris.Errorf("%d bytes for %s, %d of %d are reserved", n, k, a.total, a.bound)}
		}
		drops = append(drops, stalled.drop)
		stalled.clear()
		stalled.dropped = true
	}
	r.add(-r.bytes)
	r.kind = k
	r.add(n)
	switch op {
	case OpMove:
		r.progress = time.Now()
	case OpFinish:
		r.drop = nil
		delete(a.unfinished, r)
	}
	return drops, nil
}

// fit tells whether a reservation fits into the account, and otherwise what is full.
type fit int

const (
	fits fit = iota
	kindFull
	accountFull
)

// check returns whether a reservation can become one of n bytes of a kind (R1, R3).
func (a *Account) check(r *Reservation, k Kind, n int64) fit {
	total, held, bound := a.total-r.bytes+n, a.held[k]+n, float64(a.bound)
	if r.kind == k {
		held -= r.bytes
	}
	if float64(held) > shares[k]*bound {
		return kindFull
	}
	if n > largeBytes && n > r.bytes {
		bound *= 1 - largeReserve
	}
	if float64(total) > bound {
		return accountFull
	}
	return fits
}

// stalled returns the reservation to be dropped next for another one, or nil (R4). If the share of a kind is full, only
// reservations of that kind are considered, as others free none of it.
func (a *Account) stalled(other *Reservation, k Kind, f fit) *Reservation {
	var out *Reservation
	for r := range a.unfinished {
		if r == other || r.bytes == 0 || f == kindFull && r.kind != k {
			continue
		}
		if out == nil || r.progress.Before(out.progress) {
			out = r
		}
	}
	if out == nil || time.Since(out.progress) < stallTime {
		return nil
	}
	return out
}

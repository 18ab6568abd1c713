// Package medlarterm elects one instance at a time to hold a duty for a short
// term. A term is a record that is appended to a topic on the condition that the
// topic ends at the offset that the writer expects.
//
// Rules:
//
//	R1  A record is a term. Its position in the topic is the fencing number, which
//	    increases from term to term. If two instances append at the same offset,
//	    one of them fails.
//	R2  The holder measures its term by its own clock from before the append, and
//	    acts only within the term. A suspension of the instance ends the term.
//	R3  Another instance appends only when a term and the settling time have passed
//	    since it read the last record, so that the actions of two holders are at
//	    least the settling time apart.
//	R4  Nothing is appended while there is no work for the holder of the duty.
//	R5  An append without a response may have taken effect, so the topic is read
//	    before the next append.
//	R6  During the term of another instance and the settling time after it, the
//	    topic is read at most once per readInterval, because every instance that
//	    sees work requests the duty many times a second.
//	R7  When the store's era rises, the latest records are lost and their offsets are
//	    given out again. The local term ends, and nothing is appended for a term and the
//	    settling time from then on, since the record of another holder may be among
//	    those that are lost. A fencing number consists of the era and the position
//	    in the topic, so that it never decreases.
package medlarterm

import (
	"context"
	"errors"
	"time"

	"medlarfield/internal/base/medlarclock"
	"medlarfield/internal/base/medlarid"
)

// Durations of terms and of the election.
const (
	Term          = 700 * time.Millisecond
	renewAfter    = Term / 2
	maxSuspension = 50 * time.Millisecond // a longer suspension ends the term

	readInterval = 400 * time.Millisecond // while another instance holds the duty (R6)
)

// eraShift is the number of bits of a fencing number below the era (R7).
const eraShift = 32

// errEarlierEra reports a response of an earlier era of the store.
var errEarlierEra = errors.New("medlarterm: response of an earlier era of the store")

// ErrOffsetMismatch is the error of an append at an offset that is not the end of
// the topic.
var ErrOffsetMismatch = errors.New("medlarterm: append offset is not the end of the topic")

// Record is the record of one term.
type Record struct {
	Holder medlarid.InstanceID
	Offset medlarid.Offset
}

// Terms are the records of the topic from an offset on.
type Terms struct {
	Records []Record
	End     medlarid.Offset // at which the topic ends
	Era     medlarid.Era    // of the store
}

// Deps are the functions with which an Elector accesses the topic and
// the clock.
type Deps struct {
	// Append appends a term of the instance at the given offset and returns the store's
	// era. It returns ErrOffsetMismatch if the topic does not end there.
	Append func(ctx context.Context, at medlarid.Offset) (medlarid.Era, error)
	// Read returns the terms from the given offset on, without waiting for new ones. If
	// the topic does not have that offset, it starts at the first one that it has.
	Read func(ctx context.Context, from medlarid.Offset) (Terms, error)
	// Suspended returns the total time for which the instance has been suspended.
	// If it is nil, New uses the measurement of medlarclock.
	Suspended func() time.Duration
}

// Elector acquires and renews the duty for one instance. It is not safe for
// concurrent use.
type Elector struct {
	self   medlarid.InstanceID
	settle time.Duration
	deps   Deps

	end        medlarid.Offset
	era        medlarid.Era        // of the store
	quietUntil time.Time           // nothing is appended before (R7)
	lastHolder medlarid.InstanceID // holder of the last record that was read
	lastSeen   time.Time           // when the last record was read, or before it was appended here
	readAt     time.Time           // start of the last read of the topic
	validUntil time.Time           // end of the local term
	suspended  time.Duration       // total suspension at the start of the local term
	fence      uint64
}

// New returns an Elector. settle is the settling time between two holders.
func New(self medlarid.InstanceID, settle time.Duration, deps Deps) *Elector {
	if deps.Suspended == nil {
		deps.Suspended = medlarclock.Suspended
	}
	return &Elector{self: self, settle: settle, deps: deps}
}

// Fence returns the fencing number during the local term (R2).
func (el *Elector) Fence() (fence uint64, ok bool) {
	if !time.Now().Before(el.validUntil) || el.deps.Suspended()-el.suspended > maxSuspension {
		return 0, false
	}
	return el.fence, true
}

// Refresh reads the records that other instances have appended. It is called from
// time to time while there is no work, so that the age of the last record is
// known.
func (el *Elector) Refresh(ctx context.Context) error {
	el.readAt = time.Now()
	t, err := el.deps.Read(ctx, el.end)
	if err != nil {
		return err
	}
	el.observeEra(t.Era)
	if t.Era < el.era { // also if the response names no era: to give no orders is the safe side
		return errEarlierEra
	}
	if n := len(t.Records); n > 0 {
		el.lastHolder, el.lastSeen = t.Records[n-1].Holder, time.Now()
	}
	el.end = t.End
	return nil
}

// observeEra ends the local term and begins the quiet time if the era has risen (R7).
func (el *Elector) observeEra(era medlarid.Era) {
	if era <= el.era {
		return
	}
	el.era = era
	el.validUntil = time.Time{}
	el.quietUntil = time.Now().Add(Term + el.settle)
}

// AcquireOrRenew acquires or renews the duty, and reports whether the instance
// holds it.
func (el *Elector) AcquireOrRenew(ctx context.Context) (bool, error) {
	if _, ok := el.Fence(); ok {
		if time.Until(el.validUntil) > Term-renewAfter {
			return true, nil
		}
		return el.append(ctx) // no other instance can have appended during the term
	}
	if el.heldElsewhere() && time.Since(el.readAt) < readInterval { // R6
		return false, nil
	}
	if err := el.Refresh(ctx); err != nil { // R5
		return false, err
	}
	if el.heldElsewhere() || time.Now().Before(el.quietUntil) { // R3, R7
		return false, nil
	}
	return el.append(ctx)
}

// heldElsewhere reports whether the term of another instance, or the settling time
// after it, may still be running.
func (el *Elector) heldElsewhere() bool {
	return el.lastHolder != "" && el.lastHolder != el.self && time.Since(el.lastSeen) < Term+el.settle
}

func (el *Elector) append(ctx context.Context) (bool, error) {
	begin, suspended := time.Now(), el.deps.Suspended()
	el.validUntil = time.Time{} // no term until the append has succeeded (R5)
	era, err := el.deps.Append(ctx, el.end)
	if errors.Is(err, ErrOffsetMismatch) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if era != el.era { // the offset has another meaning in the era of the append
		el.observeEra(era)
		return false, nil
	}
	el.fence = uint64(el.era)<<eraShift | (uint64(el.end) + 1)
	el.end++
	el.lastHolder, el.lastSeen = el.self, begin
	el.validUntil, el.suspended = begin.Add(Term), suspended
	return true, nil
}

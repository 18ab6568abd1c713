// Package medlarterm gives a duty to one instance for a short term, by records
// that are appended to a topic only if it ends where the writer believes.
//
// Rules:
//
//	R1  A record is a term; its place in the topic is the fencing number, which
//	    rises. Of two instances that append at the same end one fails.
//	R2  The holder counts its term from before the append, by its own clock, and
//	    acts only within it. A suspension ends the term.
//	R3  Another instance appends only when a term and the settling time have passed
//	    since it read the last record, so that the actions of two holders are at
//	    least the settling time apart.
//	R4  Without a duty to carry out nothing is appended.
//	R5  An append without an answer may have taken effect: the topic is read before
//	    the next one.
//	R6  While the term of another instance runs, or the settling time after it, the
//	    topic is read now and then only: all instances that see something to do ask
//	    for the duty many times a second.
package medlarterm

import (
	"context"
	"errors"
	"time"

	"medlarfield/internal/base/medlarclock"
	"medlarfield/internal/base/medlarid"
)

// Times of a term.
const (
	Term     = 700 * time.Millisecond
	renewAt  = Term / 2
	maxPause = 50 * time.Millisecond // suspension that ends a term

	readEvery = 400 * time.Millisecond // while another instance holds the duty (R6)
)

// ErrOffsetMismatch is the failure of an append to a topic that ends elsewhere.
var ErrOffsetMismatch = errors.New("medlarterm: the topic ends elsewhere")

// Record is one term in the topic.
type Record struct {
	Holder medlarid.InstanceID
	Offset medlarid.Offset
}

// Dependencies are how the topic is read and written.
type Dependencies struct {
	// Append appends a term of the instance at an offset, or returns ErrMoved.
	Append func(ctx context.Context, at medlarid.Offset) error
	// Read returns the records from an offset on, without waiting, and the end.
	Read func(ctx context.Context, from medlarid.Offset) ([]Record, medlarid.Offset, error)
	// Suspended returns the time for which the instance was suspended so far.
	Suspended func() time.Duration
}

// Elector holds the duty when it can. One goroutine uses it.
type Elector struct {
	self   medlarid.InstanceID
	settle time.Duration
	seams  Dependencies

	end   medlarid.Offset
	last  medlarid.InstanceID // holder of the last record
	seen  time.Time           // when the last record was read
	read  time.Time           // when the topic was read last
	until time.Time           // end of the own term
	pause time.Duration       // suspended by then
	fence uint64
}

// New returns a keeper; settle is the settling time between two holders.
func New(self medlarid.InstanceID, settle time.Duration, s Dependencies) *Elector {
	if s.Suspended == nil {
		s.Suspended = medlarclock.Suspended
	}
	return &Elector{self: self, settle: settle, seams: s}
}

// Fence returns the fencing number while the own term lasts (R2).
func (k *Elector) Fence() (fence uint64, ok bool) {
	if !time.Now().Before(k.until) || k.seams.Suspended()-k.pause > maxPause {
		return 0, false
	}
	return k.fence, true
}

// Refresh reads what others have appended. It is called now and then while there is
// no duty, so that the age of the last record is known.
func (k *Elector) Refresh(ctx context.Context) error {
	k.read = time.Now()
	records, end, err := k.seams.Read(ctx, k.end)
	if err != nil {
		return err
	}
	if len(records) > 0 {
		k.last, k.seen = records[len(records)-1].Holder, time.Now()
	}
	k.end = end
	return nil
}

// AcquireOrRenew takes or renews the duty, and reports whether the instance holds it.
func (k *Elector) AcquireOrRenew(ctx context.Context) (bool, error) {
	if _, ok := k.Fence(); ok {
		if time.Until(k.until) > Term-renewAt {
			return true, nil
		}
		return k.append(ctx) // nobody else can have appended
	}
	if k.taken() && time.Since(k.read) < readEvery { // R6
		return false, nil
	}
	if err := k.Refresh(ctx); err != nil { // R5
		return false, err
	}
	if k.taken() { // R3
		return false, nil
	}
	return k.append(ctx)
}

// taken reports whether another instance's term may run, or the settling time after it.
func (k *Elector) taken() bool {
	return k.last != "" && k.last != k.self && time.Since(k.seen) < Term+k.settle
}

func (k *Elector) append(ctx context.Context) (bool, error) {
	begin, pause := time.Now(), k.seams.Suspended()
	k.until = time.Time{} // until the answer: R5
	err := k.seams.Append(ctx, k.end)
	if errors.Is(err, ErrOffsetMismatch) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	k.fence = uint64(k.end) + 1
	k.end++
	k.last, k.seen = k.self, begin
	k.until, k.pause = begin.Add(Term), pause
	return true, nil
}

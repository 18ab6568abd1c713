// Package medlarfollower reads a stream of the log service from a given offset to
// its end and then follows new records, across outages and expired records.
//
// Rules:
//
//	R1  Records are delivered in the order of their offsets, each once.
//	R2  If records expired before they were read, the follower reports the oldest
//	    remaining offset and continues from there.
//	R3  Failed reads are retried with bounded exponential backoff and jitter.
//	R4  A log that ends before the offset already reached is treated as an outage:
//	    no record is read again.
package medlarfollower

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
	"medlarfield/internal/upstream/medlarlog"
)

// Parameters of reads and of their backoff (R3).
const (
	batchRecords = 512
	pollWait     = 10 * time.Second
	minBackoff   = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// ReadFunc reads up to limit records of the stream from an offset on; at the end of
// the stream it waits up to wait for new ones.
type ReadFunc func(from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error)

// Deps are the functions that a Follower depends on.
type Deps struct {
	Read  ReadFunc
	Apply func(medlarlog.Entry)       // one record, in order (R1)
	OnGap func(first medlarid.Offset) // the first offset after the missing records (R2)
	// OnRead is called after each successful read; caughtUp reports whether the end of
	// the stream was reached.
	OnRead func(caughtUp bool)
	// OnReadError is called with the error of each failed read.
	OnReadError func(error)
}

// Follower reads one stream.
type Follower struct {
	deps Deps

	mu           sync.Mutex
	nextOffset   medlarid.Offset
	oldestOffset medlarid.Offset
	endOffset    medlarid.Offset
	lastRead     time.Time
	healthy      bool
}

// New returns a follower that starts at offset from.
func New(deps Deps, from medlarid.Offset) *Follower {
	return &Follower{deps: deps, nextOffset: from}
}

// Status describes the progress of a follower.
type Status struct {
	NextOffset   medlarid.Offset // offset of the next record to read
	OldestOffset medlarid.Offset // oldest offset of the stream at the last read
	EndOffset    medlarid.Offset // end of the stream at the last read
	LastRead     time.Time       // time of the last successful read
	Healthy      bool            // the last read succeeded
}

// Status returns the current status.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{NextOffset: f.nextOffset, OldestOffset: f.oldestOffset, EndOffset: f.endOffset, LastRead: f.lastRead, Healthy: f.healthy}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if f.step() {
			backoff = minBackoff
			continue
		}
		medlarpause.For(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// step reads once and reports whether it succeeded.
func (f *Follower) step() bool {
	st := f.Status()
	wait := pollWait
	if !st.Healthy {
		wait = 0 // the first read, and the first after an outage, reports the state at once
	}
	b, err := f.deps.Read(st.NextOffset, batchRecords, wait)
	if err == nil && b.Next < st.NextOffset {
		err = &Error{Op: OpRead, Kind: KindBehind, Requested: st.NextOffset, EndOffset: b.Next}
	}
	if err != nil {
		f.recordFailure()
		f.deps.OnReadError(err)
		return false
	}
	from := f.consume(st.NextOffset, b)
	f.recordSuccess(from, b)
	f.deps.OnRead(from >= b.Next)
	return true
}

// consume delivers the records of a batch and returns the next offset.
func (f *Follower) consume(from medlarid.Offset, b medlarlog.Batch) medlarid.Offset {
	if b.First > from {
		f.deps.OnGap(b.First) // R2
		from = b.First
	}
	for _, e := range b.Records {
		if e.Offset < from {
			continue
		}
		if e.Offset > from {
			f.deps.OnGap(e.Offset)
		}
		f.deps.Apply(e)
		from = e.Offset + 1
	}
	return from
}

func (f *Follower) recordSuccess(from medlarid.Offset, b medlarlog.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextOffset, f.oldestOffset, f.endOffset = from, b.First, b.Next
	f.lastRead = time.Now()
	f.healthy = true
}

func (f *Follower) recordFailure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.healthy = false
}

// jitter returns a random duration between d/2 and d (R3).
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

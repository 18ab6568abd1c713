// Package medlarfollower reads a stream of the log service from its start to its
// end and stays there, through outages and expired records.
//
// Rules:
//
//	R1  Records are handed over in the order of their offsets, each once.
//	R2  When records have expired before they were read, the reader is told the
//	    oldest offset that is left and goes on from there.
//	R3  After a failed read the next one waits, longer each time up to a bound,
//	    with jitter.
//	R4  A log whose end lies before what was read already is treated as an
//	    outage: nothing is read again.
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

// Reading parameters.
const (
	batchRecords = 512
	pollWait     = 10 * time.Second
	minBackoff   = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// ReadFunc reads up to limit records of the stream from an offset on.
type ReadFunc func(from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error)

// Callbacks are the functions that a follower calls.
type Callbacks struct {
	Read  ReadFunc
	Apply func(medlarlog.Entry) // one record, in order (R1)
	OnGap func(first medlarid.Offset)
	// OnRead is called after each successful read; caught tells whether the end
	// of the stream was reached.
	OnRead func(caught bool)
	// OnReadError is called with each failed read.
	OnReadError func(error)
}

// Follower reads one stream.
type Follower struct {
	seams Callbacks

	mu      sync.Mutex
	from    medlarid.Offset
	first   medlarid.Offset
	end     medlarid.Offset
	fresh   time.Time
	healthy bool
}

// New returns a follower that starts at offset from.
func New(seams Callbacks, from medlarid.Offset) *Follower {
	return &Follower{seams: seams, from: from}
}

// Status is the state of a follower.
type Status struct {
	NextOffset   medlarid.Offset // offset of the next record to read
	OldestOffset medlarid.Offset // oldest offset of the stream at the last read
	EndOffset    medlarid.Offset // end of the stream at the last read
	LastRead     time.Time       // time of the last successful read
	Healthy      bool            // the last read succeeded
}

// Status returns the state of the follower.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{NextOffset: f.from, OldestOffset: f.first, EndOffset: f.end, LastRead: f.fresh, Healthy: f.healthy}
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
		wait = 0 // the first read, or the first after an outage, tells at once how things are
	}
	b, err := f.seams.Read(st.NextOffset, batchRecords, wait)
	if err == nil && b.Next < st.NextOffset {
		err = &Error{Op: OpRead, Kind: KindBehind, Requested: st.NextOffset, EndOffset: b.Next}
	}
	if err != nil {
		f.fail()
		f.seams.OnReadError(err)
		return false
	}
	from := f.consume(st.NextOffset, b)
	f.mark(from, b)
	f.seams.OnRead(from >= b.Next)
	return true
}

// consume hands the records of a batch over and returns the next offset.
func (f *Follower) consume(from medlarid.Offset, b medlarlog.Batch) medlarid.Offset {
	if b.First > from {
		f.seams.OnGap(b.First) // R2
		from = b.First
	}
	for _, e := range b.Records {
		if e.Offset < from {
			continue
		}
		if e.Offset > from {
			f.seams.OnGap(e.Offset)
		}
		f.seams.Apply(e)
		from = e.Offset + 1
	}
	return from
}

func (f *Follower) mark(from medlarid.Offset, b medlarlog.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.from, f.first, f.end = from, b.First, b.Next
	f.fresh = time.Now()
	f.healthy = true
}

func (f *Follower) fail() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.healthy = false
}

// jitter returns a span between half of d and d (R3).
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

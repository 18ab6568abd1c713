package medlarfeed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"medlarfield/internal/base/medlarclock"
)

// Repetition of calls without a response (R6).
const (
	repeatMargin = 150 * time.Millisecond // from the end of a call's wait until the call is repeated
	minRepeat    = 250 * time.Millisecond // least time from one call to the next
	repeatJitter = 40 * time.Millisecond  // maximum added to both, so that instances spread their calls
	maxCalls     = 3                      // in flight for one read
)

// result is the result of a call: a page of the latest records or a batch of later ones.
type result struct {
	page  Page
	batch Batch
	asOf  time.Time // earliest time at which the store can have answered
	err   error
}

// readLatest reads a page of the latest records, and returns a time as of which they are the latest.
func (f *Feed) readLatest(ctx context.Context, after string) (Page, time.Time, error) {
	r := f.call(ctx, 0, func() result {
		begin := time.Now()
		page, err := f.deps.ReadLatest(ctx, after)
		return result{page: page, asOf: begin, err: err}
	})
	return r.page, r.asOf, r.err
}

// readFrom reads the next records, without waiting for them after a failure (R5), or longer than removals are delayed
// (R4). It returns a time as of which there are no others.
func (f *Feed) readFrom(ctx context.Context) (Batch, time.Time, error) {
	from, wait := f.nextOffset, timeOf(f.options.MaxWait)
	if len(f.delayed) > 0 {
		wait = min(wait, max(time.Until(f.delayUntil), 0))
	}
	if f.failures > 0 {
		wait = 0
	}
	r := f.call(ctx, wait, func() result {
		begin := time.Now()
		batch, err := f.deps.ReadFrom(ctx, from, ReadOptions{Wait: wait})
		return result{batch: batch, asOf: medlarclock.AnsweredFrom(begin, wait, batch.NextOffset != from), err: err}
	})
	return r.batch, r.asOf, r.err
}

// call makes a call that waits for records at most for the given time, repeats it while
// there is no response (R6), and returns the first result. The results of the other calls
// are dropped.
func (f *Feed) call(ctx context.Context, wait time.Duration, do func() result) result {
	results := make(chan result, maxCalls)
	for range maxCalls {
		go func() { results <- do() }()
		select {
		case r := <-results:
			return f.record(r)
		case <-ctx.Done():
			return result{err: ctx.Err()}
		case <-time.After(max(wait+repeatMargin, minRepeat) + rand.N(repeatJitter)):
			f.repeated = true
		}
	}
	return f.record(<-results)
}

// errEarlierEra reports a response of an earlier era of the store.
var errEarlierEra = errors.New("medlarfeed: response of an earlier era of the store")

// record records whether the store has responded, and in which era (R7).
func (f *Feed) record(r result) result {
	era := max(r.page.Era, r.batch.Era)
	if r.err == nil && era != 0 && era < f.era {
		r.err = errEarlierEra
	}
	if r.err != nil {
		f.recordFailure(r.err)
		return r
	}
	f.recordResponse()
	if era > f.era {
		f.beginEra(era)
	}
	return r
}

// Package medlarfeed follows a keyed topic of the platform's store.
//
// Rules:
//
//	R1  A feed reads the latest record of each key and then all later records. If
//	    the store has truncated records that it needs, it reads the latest records
//	    again; keys that are then missing are removed.
//	R2  A store that fails or refuses a call changes nothing: the records read so
//	    far stay in effect.
//	R3  The offset of a key never decreases: older records are ignored.
//	R4  Removals are delayed for a time after an outage of the store: the owners of the
//	    keys may only have been unable to renew them. A newer record of the key
//	    cancels the removal. An outage is a time without a response in which a call
//	    failed and which is long enough for a key to expire. A shorter one, such as
//	    the reset of a connection, delays nothing. A longer one counts as an outage
//	    even if only the connections of this instance failed, since that looks alike.
//	    A failed call within the delay starts it anew. No read holds a removal up whose
//	    delay has ended.
//	R5  A failed call is retried with exponential backoff and jitter, and without a
//	    wait for new records. The backoff counts from the call on: one that had no
//	    response for longer is repeated at once.
//	R6  A call that has no response although its wait has ended is repeated, while the
//	    call in flight may still succeed. So a response that was lost delays no record
//	    until its call times out.
//	R7  When the store's era rises, the records that were written since its copy are lost
//	    and their offsets are given out again. The feed reads the latest records of
//	    all keys anew, whatever their offsets. Keys that are then missing are removed
//	    after the delay of R4, since their owners may write them again. A response of an
//	    earlier era is ignored; one that names no era counts as one of the current era.
package medlarfeed

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
)

// Record is one record of a key: its value or its removal.
type Record struct {
	Key     string
	Value   []byte
	Removed bool
	Offset  medlarid.Offset
}

// Page is one page of the latest records of all keys.
type Page struct {
	Records   []Record
	More      bool
	EndOffset medlarid.Offset // offset of the next record written to the topic
	Era       medlarid.Era    // of the store
}

// Batch holds the records from an offset on.
type Batch struct {
	Records    []Record
	NextOffset medlarid.Offset
	// Truncated reports that the store has truncated records at the requested offset.
	Truncated bool
	Era       medlarid.Era // of the store
}

// ReadOptions are the options of a call for the next records.
type ReadOptions struct {
	// Wait is the longest time for which the store may wait for the first record.
	Wait time.Duration
}

// Progress is how far a feed has read its topic.
type Progress struct {
	End medlarid.Offset // Apply has received all records before it
	// AsOf is a time as of which what Apply has received is the state of the topic; zero while removals are delayed.
	AsOf time.Time
}

// Deps are the functions with which a feed reads a topic and reports its changes.
type Deps struct {
	ReadLatest func(ctx context.Context, after string) (Page, error)
	ReadFrom   func(ctx context.Context, from medlarid.Offset, o ReadOptions) (Batch, error)
	// Apply receives changed records in order. first reports that they are the initial
	// records, of all keys.
	Apply func(records []Record, first bool)
	// OnCurrent is called after each read, once Apply has received its records.
	OnCurrent func(Progress)
	// OnUnavailable and OnRecovered are called when calls to the store begin to fail
	// and when they succeed again.
	OnUnavailable func(err error)
	OnRecovered   func(after time.Duration)
	// OnEra is called when the era of the store has risen.
	OnEra func(medlarid.Era)
}

// Options configure a feed.
type Options struct {
	// MaxWait returns the longest time for which the next read waits for a record at the store; nil for no wait.
	MaxWait func() time.Duration
	// MinOutage is the shortest time without a response of the store after which records
	// can have expired because their owners could not renew them.
	MinOutage time.Duration
	// PollInterval returns the minimum interval between the last read and the next one; nil for none.
	PollInterval func() time.Duration
	// RemovalDelay is the time after an outage for which removals are delayed (R4);
	// 0 delays none.
	RemovalDelay time.Duration
}

// Bounds of the backoff of failed calls (R5).
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// Feed follows one topic. Only the goroutine of Run uses it, except for LastResponse.
type Feed struct {
	deps    Deps
	options Options

	nextOffset   medlarid.Offset
	initialized  bool                       // the latest records of all keys were read once
	offsets      map[string]medlarid.Offset // offset of the latest record of each existing key
	era          medlarid.Era               // of the store
	eraChanged   bool                       // the era has risen since the latest records were read
	unconfirmed  map[string]bool            // existing keys that were read in an earlier era only
	delayed      map[string]Record          // delayed removals
	delayUntil   time.Time                  // time until which removals are delayed
	failingSince time.Time                  // time of the first failure; zero if the last call succeeded
	failures     int                        // consecutive failures
	repeated     bool                       // a call was repeated since the last response (R6)
	lastResponse atomic.Pointer[time.Time]  // time of the store's last response
}

// New returns a feed; Run makes it follow the topic.
func New(deps Deps, o Options) *Feed {
	return &Feed{deps: deps, options: o, offsets: map[string]medlarid.Offset{}, unconfirmed: map[string]bool{}, delayed: map[string]Record{}}
}

// LastResponse returns the time of the store's last response; zero if there was none.
func (f *Feed) LastResponse() time.Time {
	if at := f.lastResponse.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Run follows the topic until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	started := false
	for ctx.Err() == nil {
		begin := time.Now()
		var err error
		if started {
			started, err = f.read(ctx)
		} else {
			err = f.start(ctx)
			started = err == nil
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			medlarpause.For(ctx, f.backoff()-time.Since(begin))
			continue
		}
		f.rest(ctx, begin.Add(timeOf(f.options.PollInterval)))
	}
}

// timeOf returns the time that an option returns; 0 for one that is not set.
func timeOf(option func() time.Duration) time.Duration {
	if option == nil {
		return 0
	}
	return option()
}

// rest waits for the time of the next read, and delivers the delayed removals when their delay ends.
func (f *Feed) rest(ctx context.Context, until time.Time) {
	if len(f.delayed) > 0 && f.delayUntil.Before(until) {
		medlarpause.For(ctx, time.Until(f.delayUntil))
		f.flush(time.Now())
	}
	medlarpause.For(ctx, time.Until(until))
}

// start reads the latest record of each key (R1).
func (f *Feed) start(ctx context.Context) error {
	page, asOf, err := f.readLatest(ctx, "")
	if err != nil {
		return err
	}
	f.eraChanged = false
	all, end := page.Records, page.EndOffset // later pages may hold records past this offset
	after := ""
	for page.More && len(page.Records) > 0 {
		last := page.Records[len(page.Records)-1].Key
		if last == after {
			break // a key that is no text comes changed, and the same page again after it
		}
		after = last
		page, _, err = f.readLatest(ctx, after)
		if err != nil {
			return err
		}
		if f.eraChanged {
			return f.start(ctx) // the pages are of two eras
		}
		all = append(all, page.Records...)
	}
	f.nextOffset = end
	changed := f.newer(all)
	changed = append(changed, f.missing(all)...)
	f.deliver(changed, !f.initialized)
	f.initialized = true
	f.reportProgress(asOf)
	return nil
}

// missing returns removals of the known keys that have none of the records.
func (f *Feed) missing(records []Record) []Record {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	var out []Record
	for k, at := range f.offsets {
		if !present[k] {
			out = append(out, Record{Key: k, Removed: true, Offset: at})
			delete(f.offsets, k)
		}
	}
	for k := range f.unconfirmed {
		if !present[k] {
			out = append(out, Record{Key: k, Removed: true})
		}
	}
	clear(f.unconfirmed)
	return out
}

// beginEra makes the feed read all latest records anew (R7).
func (f *Feed) beginEra(era medlarid.Era) {
	f.era, f.eraChanged = era, true
	if !f.initialized {
		return
	}
	for k := range f.offsets {
		f.unconfirmed[k] = true
	}
	clear(f.offsets)
	f.delayUntil = time.Now().Add(f.options.RemovalDelay)
	f.deps.OnEra(era)
}

// read reads the next records; it returns false if the feed must call start again.
func (f *Feed) read(ctx context.Context) (bool, error) {
	b, asOf, err := f.readFrom(ctx)
	if err != nil {
		return true, err
	}
	if b.Truncated || f.eraChanged {
		return false, nil
	}
	f.nextOffset = max(b.NextOffset, f.nextOffset)
	f.deliver(f.newer(b.Records), false)
	f.reportProgress(asOf)
	return true, nil
}

// reportProgress reports a read that showed the topic as of a time.
func (f *Feed) reportProgress(asOf time.Time) {
	if len(f.delayed) > 0 {
		asOf = time.Time{}
	}
	f.deps.OnCurrent(Progress{End: f.nextOffset, AsOf: asOf})
}

// newer returns the records that are newer than the known records of their keys (R3).
func (f *Feed) newer(records []Record) []Record {
	var out []Record
	for _, r := range records {
		if at, ok := f.offsets[r.Key]; ok && r.Offset <= at {
			continue
		}
		if r.Removed {
			delete(f.offsets, r.Key)
		} else {
			f.offsets[r.Key] = r.Offset
		}
		out = append(out, r)
	}
	return out
}

// deliver passes changes to Apply; removals after an outage are delayed (R4).
func (f *Feed) deliver(records []Record, first bool) {
	delaying := time.Now().Before(f.delayUntil)
	out := make([]Record, 0, len(records))
	for _, r := range records {
		switch {
		case !r.Removed:
			delete(f.delayed, r.Key)
		case delaying:
			f.delayed[r.Key] = r
			continue
		}
		out = append(out, r)
	}
	if len(out) > 0 || first {
		f.deps.Apply(out, first)
	}
}

// flush delivers the delayed removals once their delay has ended.
func (f *Feed) flush(now time.Time) {
	if len(f.delayed) == 0 || now.Before(f.delayUntil) {
		return
	}
	out := make([]Record, 0, len(f.delayed))
	for _, r := range f.delayed {
		out = append(out, r)
	}
	clear(f.delayed)
	f.deps.Apply(out, false)
}

func (f *Feed) recordFailure(err error) {
	if f.failingSince.IsZero() {
		f.failingSince = time.Now()
		f.deps.OnUnavailable(err)
	}
	f.failures++
}

// recordResponse records a response of the store. It is called before the records of the
// response are delivered, so that removals after an outage are delayed (R4).
func (f *Feed) recordResponse() {
	now, last := time.Now(), f.LastResponse()
	f.lastResponse.Store(&now)
	disturbed := f.failures > 0 || f.repeated
	outage := !last.IsZero() && now.Sub(last) >= f.options.MinOutage
	if disturbed && (outage || last.Before(f.delayUntil)) {
		f.delayUntil = now.Add(f.options.RemovalDelay)
	}
	f.failures, f.repeated = 0, false
	if !f.failingSince.IsZero() {
		f.deps.OnRecovered(now.Sub(f.failingSince))
		f.failingSince = time.Time{}
	}
}

// backoff returns the time to wait before the next call after a failure (R5).
func (f *Feed) backoff() time.Duration {
	d := min(minBackoff<<min(f.failures-1, 10), maxBackoff)
	return d/2 + time.Duration(rand.Int64N(int64(d/2)))
}

// Package medlarfeed follows a keyed topic of the platform's store.
//
// Rules:
//
//	R1  It starts from the newest record of each key and goes on from there. When
//	    the records it needs were dropped, it starts again; keys that are missing
//	    then count as removed.
//	R2  A store that fails or refuses changes nothing: what was read stays.
//	R3  Offsets of a key only rise.
//	R4  Keys that are removed around an outage are held for a time: their owners
//	    may only have been unable to write. A newer record ends the hold.
//	R5  A call that fails is repeated after a pause that doubles, with jitter.
package medlarfeed

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
)

// Record is the newest value of a key.
type Record struct {
	Key     string
	Value   []byte
	Removed bool
	Offset  medlarid.Offset
}

// Page is a part of the newest records.
type Page struct {
	Records   []Record
	More      bool
	EndOffset medlarid.Offset // offset of the next record of the topic
}

// Batch is what followed an offset.
type Batch struct {
	Records    []Record
	NextOffset medlarid.Offset
	// Truncated tells that records from the offset on were dropped by the store.
	Truncated bool
}

// Callbacks are how a topic is read and what is told.
type Callbacks struct {
	ReadLatest func(ctx context.Context, after string) (Page, error)
	ReadFrom   func(ctx context.Context, from medlarid.Offset) (Batch, error)
	// Apply takes over changed records, in order. first tells that they are all that
	// there is.
	Apply func(records []Record, first bool)
	// OnUnavailable and Regained tell that the store does not answer, and that it does again.
	OnUnavailable func(err error)
	OnRecovered   func(after time.Duration)
}

// Options vary how a topic is followed.
type Options struct {
	// PollInterval is the shortest time between two reads.
	PollInterval time.Duration
	// RemovalDelay is the time for which a removal around an outage is held (R4).
	RemovalDelay time.Duration
}

// Times of repeated calls (R5).
const (
	pauseFirst = 100 * time.Millisecond
	pauseLast  = time.Second
)

// Feed follows one topic. Only its own goroutine uses it, except for Fresh.
type Feed struct {
	seams   Callbacks
	options Options

	next    medlarid.Offset
	begun   bool                       // all keys were read once
	known   map[string]medlarid.Offset // offset of each key's newest record
	held    map[string]Record          // removals that are not told yet
	release time.Time                  // when they are
	lost    time.Time                  // since when the store does not answer; zero if it does
	failed  int                        // failures in a row
	fresh   atomic.Pointer[time.Time]  // of the last answer
}

// New returns a feed. Run must be running.
func New(s Callbacks, o Options) *Feed {
	return &Feed{seams: s, options: o, known: map[string]medlarid.Offset{}, held: map[string]Record{}}
}

// LastResponse returns the time of the store's last answer; zero for none.
func (f *Feed) LastResponse() time.Time {
	if at := f.fresh.Load(); at != nil {
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
		if err != nil {
			f.fail(err)
			medlarpause.For(ctx, f.pause())
			continue
		}
		f.succeed()
		f.flush(time.Now())
		medlarpause.For(ctx, f.options.PollInterval-time.Since(begin))
	}
}

// start reads the newest record of each key (R1).
func (f *Feed) start(ctx context.Context) error {
	page, err := f.seams.ReadLatest(ctx, "")
	if err != nil {
		return err
	}
	all, end := page.Records, page.EndOffset // later pages may hold records from behind it
	for page.More && len(page.Records) > 0 {
		page, err = f.seams.ReadLatest(ctx, page.Records[len(page.Records)-1].Key)
		if err != nil {
			return err
		}
		all = append(all, page.Records...)
	}
	f.next = end
	changed := f.newer(all)
	changed = append(changed, f.missing(all)...)
	f.tell(changed, !f.begun)
	f.begun = true
	return nil
}

// missing returns removals for known keys that are not among records.
func (f *Feed) missing(records []Record) []Record {
	there := make(map[string]bool, len(records))
	for _, r := range records {
		there[r.Key] = true
	}
	var out []Record
	for k, at := range f.known {
		if !there[k] {
			out = append(out, Record{Key: k, Removed: true, Offset: at})
			delete(f.known, k)
		}
	}
	return out
}

// read reads what followed; it returns false when the feed has to start again.
func (f *Feed) read(ctx context.Context) (bool, error) {
	b, err := f.seams.ReadFrom(ctx, f.next)
	if err != nil {
		return true, err
	}
	if b.Truncated {
		return false, nil
	}
	f.next = max(b.NextOffset, f.next)
	f.tell(f.newer(b.Records), false)
	return true, nil
}

// newer returns the records that are newer than what is known of their keys (R3).
func (f *Feed) newer(records []Record) []Record {
	var out []Record
	for _, r := range records {
		if at, ok := f.known[r.Key]; ok && r.Offset <= at {
			continue
		}
		if r.Removed {
			delete(f.known, r.Key)
		} else {
			f.known[r.Key] = r.Offset
		}
		out = append(out, r)
	}
	return out
}

// tell hands changes on; removals around an outage are held (R4).
func (f *Feed) tell(records []Record, first bool) {
	holding := time.Now().Before(f.release) || !f.lost.IsZero()
	out := make([]Record, 0, len(records))
	for _, r := range records {
		switch {
		case !r.Removed:
			delete(f.held, r.Key)
		case holding && f.options.RemovalDelay > 0:
			f.held[r.Key] = r
			continue
		}
		out = append(out, r)
	}
	if len(out) > 0 || first {
		f.seams.Apply(out, first)
	}
}

// flush tells the removals whose hold has ended.
func (f *Feed) flush(now time.Time) {
	if len(f.held) == 0 || now.Before(f.release) {
		return
	}
	out := make([]Record, 0, len(f.held))
	for _, r := range f.held {
		out = append(out, r)
	}
	clear(f.held)
	f.seams.Apply(out, false)
}

func (f *Feed) fail(err error) {
	if f.lost.IsZero() {
		f.lost = time.Now()
		f.seams.OnUnavailable(err)
	}
	f.failed++
}

func (f *Feed) succeed() {
	now := time.Now()
	f.fresh.Store(&now)
	f.failed = 0
	if f.lost.IsZero() {
		return
	}
	f.release = now.Add(f.options.RemovalDelay)
	f.seams.OnRecovered(now.Sub(f.lost))
	f.lost = time.Time{}
}

// pause returns the time until the next call after a failure (R5).
func (f *Feed) pause() time.Duration {
	d := min(pauseFirst<<min(f.failed-1, 10), pauseLast)
	return d/2 + time.Duration(rand.Int64N(int64(d/2)))
}

// Package medlarlease elects one instance at a time to hold a duty, by leases in
// the log service.
//
// Rules:
//
//	R1  A lease is a record. Its offset is the fencing number, which increases
//	    from lease to lease.
//	R2  A record takes effect if the duty was free at the record's timestamp: never
//	    held, released, expired by the timestamps of the log, or held by the same
//	    author. Every reader makes the same decision.
//	R3  The holder measures its term by its own monotonic clock from before the
//	    append, less a margin, and acts only within the term.
//	R4  A candidate waits for a full term and a margin after it read the last
//	    record, so that it does not append records that cannot take effect.
//	R5  A holder that is paused between checking its term and acting may act too
//	    late. Its fencing number is stale by then, and a receiver that checks
//	    fencing numbers rejects the action.
package medlarlease

import (
	"context"
	"sync"
	"time"

	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarlog"
)

// Stream is the stream of the log service that holds the leases.
const Stream = "leases"

// Durations of leases and of the election.
const (
	Term          = 6 * time.Second
	margin        = time.Second
	renewInterval = Term / 3
	checkInterval = 200 * time.Millisecond
	rankDelay     = time.Second // additional delay of a candidate for each rank behind the first
)

// Duty is the name of a task that one instance at a time carries out.
type Duty string

// entry is the state of a duty after the records applied so far.
type entry struct {
	author    string
	fence     medlarid.Offset
	timestamp time.Time // by the log service
	term      time.Duration
	readAt    time.Time // by the local clock
	released  bool
}

// Table is the state machine of the leases stream. It is not safe for concurrent
// use.
type Table struct {
	entries map[Duty]entry
	Refused int // records that had no effect because another author held the duty
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Duty]entry{}} }

// Apply applies one record that was read at now by the local clock (R2).
func (t *Table) Apply(now time.Time, e medlarlog.Entry) {
	r, _, err := medlarrecord.Decode(e.Data)
	if err != nil || r.GetLease() == nil {
		return
	}
	l, author := r.GetLease(), r.GetAuthor()
	d := Duty(l.GetDuty())
	old, held := t.entries[d]
	if held && !old.released && old.author != author && e.Time().Before(old.timestamp.Add(old.term)) {
		t.Refused++
		return
	}
	if l.GetRelease() {
		if held && old.author == author {
			old.released = true
			t.entries[d] = old
		}
		return
	}
	t.entries[d] = entry{
		author:    author,
		fence:     e.Offset,
		timestamp: e.Time(),
		term:      time.Duration(l.GetTerm()) * time.Millisecond,
		readAt:    now,
	}
}

// Holder returns the author and the fencing number of a duty's latest lease. ok is
// false if the duty was never held or has been released.
func (t *Table) Holder(d Duty) (author string, fence medlarid.Offset, ok bool) {
	e, ok := t.entries[d]
	return e.author, e.fence, ok && !e.released
}

// Elector acquires and renews a duty for one instance. It is safe for concurrent
// use.
type Elector struct {
	duty          Duty
	author        string
	appendRecords medlarlog.AppendFunc
	rank          func() int // position of the instance among the candidates, from 0
	onError       func(error)

	mu             sync.Mutex
	table          *Table
	candidateSince time.Time // when the duty was first seen free; the rank delay counts from here
	appendedAt     time.Time // before the latest append of a claim, renewal or release
	validUntil     time.Time // end of the local term
	fence          medlarid.Offset
	stopped        bool // Run has ended; a lease that is read afterwards is not used
}

// NewElector returns an Elector for a duty. It acquires the duty only while Run is
// running. Errors of appends are passed to onError.
func NewElector(d Duty, author string, appendRecords medlarlog.AppendFunc, rank func() int, onError func(error)) *Elector {
	return &Elector{duty: d, author: author, appendRecords: appendRecords, rank: rank, onError: onError, table: NewTable()}
}

// Apply applies one record of the stream.
func (el *Elector) Apply(e medlarlog.Entry) {
	el.mu.Lock()
	defer el.mu.Unlock()
	now := time.Now()
	_, before, _ := el.table.Holder(el.duty)
	el.table.Apply(now, e)
	author, fence, ok := el.table.Holder(el.duty)
	switch {
	case !ok, author != el.author:
		el.fence = 0 // released, or held by another instance
	case fence != before && !el.appendedAt.IsZero() && !el.stopped:
		el.fence = fence
		el.validUntil = el.appendedAt.Add(Term - margin) // R3
	}
}

// Fence returns the fencing number while this instance holds the duty (R3).
func (el *Elector) Fence() (fence medlarid.Offset, ok bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.fence == 0 || !time.Now().Before(el.validUntil) {
		return 0, false
	}
	return el.fence, true
}

// Run acquires and renews the duty until ctx is done, and then releases it.
func (el *Elector) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			if el.stop() {
				el.append(true)
			}
			return
		case now := <-t.C:
			if el.due(now) {
				el.append(false)
			}
		}
	}
}

// stop ends the local term before the duty is released, and reports whether this
// instance held the duty.
func (el *Elector) stop() bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	held := el.fence != 0
	el.stopped = true
	el.fence = 0
	el.validUntil = time.Time{}
	return held
}

// due reports whether a claim or a renewal has to be appended now (R4).
func (el *Elector) due(now time.Time) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	if now.Sub(el.appendedAt) < renewInterval && !el.appendedAt.IsZero() {
		return false
	}
	e, held := el.table.entries[el.duty]
	if held && !e.released && e.author != el.author && now.Sub(e.readAt) < e.term+margin {
		el.candidateSince = time.Time{}
		return false
	}
	if held && e.author == el.author && !e.released {
		return true
	}
	if el.candidateSince.IsZero() {
		el.candidateSince = now
	}
	return now.Sub(el.candidateSince) >= time.Duration(el.rank())*rankDelay
}

// append appends a claim, renewal or release.
func (el *Elector) append(release bool) {
	el.mu.Lock()
	el.appendedAt = time.Now()
	el.mu.Unlock()
	l := &medlarrecord.Lease{Duty: string(el.duty), Term: Term.Milliseconds(), Release: release}
	rec := &medlarrecord.Record{Body: &medlarrecord.Record_Lease{Lease: l}}
	b, err := medlarrecord.Encode(rec, medlarid.NewRecordID(), el.author)
	if err == nil {
		_, err = el.appendRecords(b)
	}
	if err != nil {
		el.onError(err)
	}
}

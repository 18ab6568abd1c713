// Package medlarlease gives a duty to one instance at a time.
//
// Rules:
//
//	R1  A lease is a record; its offset is the fencing number, which rises.
//	R2  A record takes effect if the duty was free at its stamp: never held,
//	    released, run out by the log's own stamps, or held by the same author.
//	    Every reader judges alike.
//	R3  The holder counts its term by its own monotonic clock from before the
//	    append, less a margin, and acts only within it.
//	R4  Who wants the duty waits a full term and a margin from when it read the
//	    last record, so that it does not fill the log with records in vain.
//	R5  A holder that is paused between looking at its term and acting acts late.
//	    Its fencing number is old then; who checks it refuses.
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

// Times of a lease.
const (
	Term      = 6 * time.Second
	margin    = time.Second
	renewAt   = Term / 3
	tick      = 200 * time.Millisecond
	rankDelay = time.Second // for each rank behind the first
)

// Duty names what a lease is for.
type Duty string

// entry is the state of a duty in log order.
type entry struct {
	author string
	fence  medlarid.Offset
	stamp  time.Time // by the log service
	term   time.Duration
	read   time.Time // by the own clock
	free   bool      // released
}

// Table is the state machine of the leases stream. It is not safe for concurrent
// use.
type Table struct {
	entries map[Duty]entry
	Refused int // records without effect
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Duty]entry{}} }

// Apply applies one record, read at a time of the own clock (R2).
func (t *Table) Apply(now time.Time, e medlarlog.Entry) {
	r, _, err := medlarrecord.Decode(e.Data)
	if err != nil || r.GetLease() == nil {
		return
	}
	l, author := r.GetLease(), r.GetAuthor()
	d := Duty(l.GetDuty())
	old, held := t.entries[d]
	if held && !old.free && old.author != author && e.Time().Before(old.stamp.Add(old.term)) {
		t.Refused++
		return
	}
	if l.GetRelease() {
		if held && old.author == author {
			old.free = true
			t.entries[d] = old
		}
		return
	}
	t.entries[d] = entry{
		author: author,
		fence:  e.Offset,
		stamp:  e.Time(),
		term:   time.Duration(l.GetTerm()) * time.Millisecond,
		read:   now,
	}
}

// Holder returns the author and fencing number of a duty's last lease.
func (t *Table) Holder(d Duty) (author string, fence medlarid.Offset, ok bool) {
	e, ok := t.entries[d]
	return e.author, e.fence, ok && !e.free
}

// Elector holds a duty for one instance when it can. It is safe for concurrent
// use.
type Elector struct {
	duty   Duty
	author string
	add    medlarlog.AppendFunc
	rank   func() int // the instance's turn; 0 for the first
	failed func(error)

	mu    sync.Mutex
	table *Table
	since time.Time // from when on the duty may be claimed, by rank
	asked time.Time // before the append of the newest claim
	until time.Time // end of the own term
	fence medlarid.Offset
	ended bool // released for good
}

// NewElector returns a claimer of a duty. Run must be running.
func NewElector(d Duty, author string, add medlarlog.AppendFunc, rank func() int, failed func(error)) *Elector {
	return &Elector{duty: d, author: author, add: add, rank: rank, failed: failed, table: NewTable()}
}

// Apply applies one record of the stream.
func (c *Elector) Apply(e medlarlog.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	_, before, _ := c.table.Holder(c.duty)
	c.table.Apply(now, e)
	author, fence, ok := c.table.Holder(c.duty)
	switch {
	case !ok, author != c.author:
		c.fence = 0 // another instance has it
	case fence != before && !c.asked.IsZero() && !c.ended:
		c.fence = fence
		c.until = c.asked.Add(Term - margin) // R3
	}
}

// Fence returns the fencing number while the duty is held here (R3).
func (c *Elector) Fence() (fence medlarid.Offset, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence == 0 || !time.Now().Before(c.until) {
		return 0, false
	}
	return c.fence, true
}

// Run claims and renews until ctx ends, and releases the duty then.
func (c *Elector) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			if c.drop() {
				c.append(true)
			}
			return
		case now := <-t.C:
			if c.due(now) {
				c.append(false)
			}
		}
	}
}

// drop ends the own hold of the duty before it is released, and reports whether
// there was one.
func (c *Elector) drop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.fence != 0
	c.ended = true
	c.fence = 0
	c.until = time.Time{}
	return held
}

// due reports whether a claim or renewal is to be made now (R4).
func (c *Elector) due(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.asked) < renewAt && !c.asked.IsZero() {
		return false
	}
	e, held := c.table.entries[c.duty]
	if held && !e.free && e.author != c.author && now.Sub(e.read) < e.term+margin {
		c.since = time.Time{}
		return false
	}
	if held && e.author == c.author && !e.free {
		return true
	}
	if c.since.IsZero() {
		c.since = now
	}
	return now.Sub(c.since) >= time.Duration(c.rank())*rankDelay
}

// append appends a claim, renewal or release.
func (c *Elector) append(release bool) {
	c.mu.Lock()
	c.asked = time.Now()
	c.mu.Unlock()
	l := &medlarrecord.Lease{Duty: string(c.duty), Term: Term.Milliseconds(), Release: release}
	rec := &medlarrecord.Record{Body: &medlarrecord.Record_Lease{Lease: l}}
	b, err := medlarrecord.Encode(rec, medlarid.NewRecordID(), c.author)
	if err == nil {
		_, err = c.add(b)
	}
	if err != nil {
		c.failed(err)
	}
}

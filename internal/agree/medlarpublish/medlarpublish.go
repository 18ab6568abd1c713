// Package medlarpublish publishes changes of the two lists and carries the lists
// forward in snapshots.
//
// Rules:
//
//	R1  A publication names the version that it was made from; the first in log
//	    order of several from the same version wins.
//	R2  After an append whose answer was lost the log is read until the
//	    publication shows. The append is repeated with the same identifier: a
//	    second copy has no effect.
//	R3  The result is unknown only if an append may have taken effect and the log
//	    could not be read up to a verdict.
package medlarpublish

import (
	"context"
	"time"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/agree/medlarstate"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarlog"
)

// Times of publishing.
const (
	lookInterval   = 10 * time.Millisecond
	repeatInterval = 300 * time.Millisecond
)

// Outcome is what became of a publication.
type Outcome string

// Outcomes.
const (
	OutcomeAccepted    Outcome = "accepted"
	OutcomeRejected    Outcome = "rejected"
	OutcomeUnpublished Outcome = "unpublished" // the log did not take it
	OutcomeUnknown     Outcome = "unknown"     // it may be published, now or later
)

// Result is what became of a publication; Verdict is set if it was accepted or
// rejected.
type Result struct {
	Outcome Outcome
	ID      medlarid.RecordID
	Verdict medlarstate.Verdict
	Err     error // last error of the log service
}

// Request is a change to publish.
type Request struct {
	Base   medlarid.Offset
	Change medlarlist.Change
	Digest medlarlist.Digest // of the lists after the change
	User   string
	Note   string
}

// Publisher publishes changes.
type Publisher struct {
	author string
	add    medlarlog.AppendFunc
	view   func() *medlarstate.View
}

// New returns a publisher. view returns the state of a reader of the lists
// stream, which must be running.
func New(author string, add medlarlog.AppendFunc, view func() *medlarstate.View) *Publisher {
	return &Publisher{author: author, add: add, view: view}
}

// Publish publishes a change and waits for its verdict until ctx ends.
func (p *Publisher) Publish(ctx context.Context, r Request) Result {
	res := Result{Outcome: OutcomeUnpublished, ID: medlarid.NewRecordID()}
	data, err := medlarrecord.Encode(record(r), res.ID, p.author)
	if err != nil {
		res.Err = err
		return res
	}
	p.tryAppend(data, &res)
	repeat := time.NewTicker(repeatInterval)
	defer repeat.Stop()
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	for {
		if v, ok := p.view().Find(res.ID); ok {
			return judged(res, v)
		}
		select {
		case <-ctx.Done():
			return res
		case <-look.C:
		case <-repeat.C:
			if res.Err != nil {
				p.tryAppend(data, &res) // R2
			}
		}
	}
}

// tryAppend appends once and notes whether it may have taken effect (R3).
func (p *Publisher) tryAppend(data []byte, res *Result) {
	_, res.Err = p.add(data)
	if res.Err == nil || medlarlog.KindOf(res.Err) == medlarlog.KindUnknown {
		res.Outcome = OutcomeUnknown
	}
}

func judged(res Result, v medlarstate.Verdict) Result {
	res.Verdict = v
	res.Outcome = OutcomeAccepted
	if v.Reject != medlarstate.RejectNone {
		res.Outcome = OutcomeRejected
	}
	return res
}

func record(r Request) *medlarrecord.Record {
	body := &medlarrecord.Publication{
		Base:   uint64(r.Base),
		User:   r.User,
		Note:   r.Note,
		Digest: r.Digest.Bytes(),
	}
	for _, e := range r.Change.Put {
		body.Put = append(body.Put, medlarstate.EntryRecord(e))
	}
	for _, n := range r.Change.Drop {
		body.Drop = append(body.Drop, medlarstate.NameRecord(n))
	}
	return &medlarrecord.Record{Body: &medlarrecord.Record_Publication{Publication: body}}
}

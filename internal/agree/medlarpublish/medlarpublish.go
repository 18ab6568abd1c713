// Package medlarpublish publishes changes of the two lists, and writes snapshots
// that preserve the lists when older records expire.
//
// Rules:
//
//	R1  A publication names the version that it is based on. Of several
//	    publications based on the same version, the first in log order wins.
//	R2  After an append whose response was lost, the log is read until the
//	    publication appears. Meanwhile the append is retried with the same record
//	    identifier; a duplicate has no effect.
//	R3  The outcome is unknown only if an append may have taken effect and the log
//	    could not be read up to the verdict.
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

// Intervals of publishing.
const (
	pollInterval  = 10 * time.Millisecond
	retryInterval = 300 * time.Millisecond
)

// Outcome states whether a publication took effect.
type Outcome string

// Outcomes.
const (
	OutcomeAccepted    Outcome = "accepted"
	OutcomeRejected    Outcome = "rejected"
	OutcomeUnpublished Outcome = "unpublished" // no append took effect
	OutcomeUnknown     Outcome = "unknown"     // an append may have taken effect or may still do so
)

// Result describes how a publication ended. Verdict is set if the publication was
// accepted or rejected.
type Result struct {
	Outcome Outcome
	ID      medlarid.RecordID
	Verdict medlarstate.Verdict
	Err     error // error of the last append, or of the encoding
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
	author        string
	appendRecords medlarlog.AppendFunc
	view          func() *medlarstate.View
}

// New returns a Publisher. view returns the state of a reader of the lists stream;
// the reader must be running.
func New(author string, appendRecords medlarlog.AppendFunc, view func() *medlarstate.View) *Publisher {
	return &Publisher{author: author, appendRecords: appendRecords, view: view}
}

// Publish publishes a change and waits for its verdict until ctx is done.
func (p *Publisher) Publish(ctx context.Context, r Request) Result {
	res := Result{Outcome: OutcomeUnpublished, ID: medlarid.NewRecordID()}
	data, err := medlarrecord.Encode(record(r), res.ID, p.author)
	if err != nil {
		res.Err = err
		return res
	}
	p.tryAppend(data, &res)
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		if v, ok := p.view().VerdictByID(res.ID); ok {
			return withVerdict(res, v)
		}
		select {
		case <-ctx.Done():
			return res
		case <-poll.C:
		case <-retry.C:
			if res.Err != nil {
				p.tryAppend(data, &res) // R2
			}
		}
	}
}

// tryAppend appends once and records in res whether the append may have taken
// effect (R3).
func (p *Publisher) tryAppend(data []byte, res *Result) {
	_, res.Err = p.appendRecords(data)
	if res.Err == nil || medlarlog.KindOf(res.Err) == medlarlog.KindUnknown {
		res.Outcome = OutcomeUnknown
	}
}

func withVerdict(res Result, v medlarstate.Verdict) Result {
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
	for _, n := range r.Change.Delete {
		body.Drop = append(body.Drop, medlarstate.NameRecord(n))
	}
	return &medlarrecord.Record{Body: &medlarrecord.Record_Publication{Publication: body}}
}

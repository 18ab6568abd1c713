// Package medlaraudit records in the log service which instances have applied which
// versions of the lists, and reads these records.
//
// Rules:
//
//	R1  An instance confirms each version once, after applying it.
//	R2  Of the versions that arrive within batchDelay only the newest is confirmed;
//	    it stands for all of them.
//	R3  The time of a confirmation is the timestamp by the log service. The version
//	    took effect on the instance at some time before that. The order of
//	    confirmations is that of their offsets.
package medlaraudit

import (
	"context"
	"time"

	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
	"medlarfield/internal/upstream/medlarlog"
)

// Stream is the stream of the log service that holds the confirmations.
const Stream = "audit"

// Delays of confirmations.
const (
	batchDelay = 50 * time.Millisecond
	retryDelay = 500 * time.Millisecond
)

// Confirmation states that an instance had a version in force.
type Confirmation struct {
	Version medlarid.Offset
	Node    medlarid.InstanceID
	Zone    medlarid.Zone
	Time    time.Time // timestamp by the log service
}

// Table holds the confirmations in log order.
type Table struct {
	confirmations []Confirmation
}

// Apply applies one record of the stream.
func (t *Table) Apply(e medlarlog.Entry) {
	r, _, err := medlarrecord.Decode(e.Data)
	if err != nil || r.GetConfirmation() == nil {
		return
	}
	c := r.GetConfirmation()
	for _, node := range c.GetNodes() {
		t.confirmations = append(t.confirmations, Confirmation{
			Version: medlarid.Offset(c.GetVersion()),
			Node:    medlarid.InstanceID(node),
			Zone:    medlarid.Zone(c.GetZone()),
			Time:    e.Time(),
		})
	}
}

// FirstConfirmations returns, for each instance, the first confirmation of the given
// version or of a newer one.
func (t *Table) FirstConfirmations(version medlarid.Offset) []Confirmation {
	var out []Confirmation
	seen := map[medlarid.InstanceID]bool{}
	for _, c := range t.confirmations {
		if c.Version >= version && !seen[c.Node] {
			seen[c.Node] = true
			out = append(out, c)
		}
	}
	return out
}

// Reporter confirms the versions that one instance applies.
type Reporter struct {
	author        string
	node          medlarid.InstanceID
	zone          medlarid.Zone
	appendRecords medlarlog.AppendFunc
	onError       func(error)
	queued        chan medlarid.Offset
}

// NewReporter returns a Reporter. Confirmations are appended only while Run is
// running. Errors of appends are passed to onError.
func NewReporter(
	author string,
	node medlarid.InstanceID,
	zone medlarid.Zone,
	appendRecords medlarlog.AppendFunc,
	onError func(error),
) *Reporter {
	return &Reporter{author: author, node: node, zone: zone, appendRecords: appendRecords, onError: onError, queued: make(chan medlarid.Offset, 1)}
}

// Applied reports that a version is in force on this instance. It never blocks: a
// newer version replaces one that is still queued.
func (r *Reporter) Applied(v medlarid.Offset) {
	for {
		select {
		case r.queued <- v:
			return
		default:
		}
		select {
		case <-r.queued:
		default:
		}
	}
}

// Run confirms versions until ctx is done (R1, R2).
func (r *Reporter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-r.queued:
			if medlarpause.For(ctx, batchDelay) {
				r.confirm(ctx, r.newest(v))
			}
		}
	}
}

// newest returns the newer of v and the queued version, or v if none is queued.
func (r *Reporter) newest(v medlarid.Offset) medlarid.Offset {
	select {
	case n := <-r.queued:
		return max(n, v)
	default:
		return v
	}
}

// confirm retries the append until it succeeds, a newer version is queued, or ctx
// is done. A duplicate confirmation has no effect, since only the first by each
// instance counts.
func (r *Reporter) confirm(ctx context.Context, v medlarid.Offset) {
	body := &medlarrecord.Confirmation{Version: uint64(v), Zone: string(r.zone), Nodes: []string{string(r.node)}}
	rec := &medlarrecord.Record{Body: &medlarrecord.Record_Confirmation{Confirmation: body}}
	b, err := medlarrecord.Encode(rec, medlarid.NewRecordID(), r.author)
	for err == nil && ctx.Err() == nil && len(r.queued) == 0 {
		_, appendErr := r.appendRecords(b)
		if appendErr == nil {
			return
		}
		r.onError(appendErr)
		medlarpause.For(ctx, retryDelay)
	}
}

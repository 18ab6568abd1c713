// Package medlaraudit records which instances have which version of the lists in
// force, and reads that record.
//
// Rules:
//
//	R1  An instance confirms each version once, after it applied it.
//	R2  Versions that come within gatherTime are confirmed by the newest of them.
//	R3  The time of a confirmation is the log service's stamp. The version was in
//	    force on the instance at some time before that; order comes from offsets.
package medlaraudit

import (
	"context"
	"time"

	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
	"medlarfield/internal/upstream/medlarlog"
)

// Stream is the stream of the log service that holds the record.
const Stream = "audit"

// Times of confirmations.
const (
	gatherTime = 50 * time.Millisecond
	retryPause = 500 * time.Millisecond
)

// Confirmation tells that an instance had a version in force.
type Confirmation struct {
	Version medlarid.Offset
	Node    medlarid.InstanceID
	Zone    medlarid.Zone
	Time    time.Time // the log service's stamp
}

// Table holds confirmations in the order of the log.
type Table struct {
	all []Confirmation
}

// Apply applies one record of the stream.
func (t *Table) Apply(e medlarlog.Entry) {
	r, _, err := medlarrecord.Decode(e.Data)
	if err != nil || r.GetConfirmation() == nil {
		return
	}
	c := r.GetConfirmation()
	for _, node := range c.GetNodes() {
		t.all = append(t.all, Confirmation{
			Version: medlarid.Offset(c.GetVersion()),
			Node:    medlarid.InstanceID(node),
			Zone:    medlarid.Zone(c.GetZone()),
			Time:    e.Time(),
		})
	}
}

// FirstConfirmations returns the first confirmation of a version, or of a newer one, by each
// instance.
func (t *Table) FirstConfirmations(version medlarid.Offset) []Confirmation {
	var out []Confirmation
	seen := map[medlarid.InstanceID]bool{}
	for _, c := range t.all {
		if c.Version >= version && !seen[c.Node] {
			seen[c.Node] = true
			out = append(out, c)
		}
	}
	return out
}

// Reporter confirms the versions that one instance applies.
type Reporter struct {
	author string
	node   medlarid.InstanceID
	zone   medlarid.Zone
	add    medlarlog.AppendFunc
	failed func(error)
	news   chan medlarid.Offset
}

// NewReporter returns a reporter. Run must be running.
func NewReporter(
	author string,
	node medlarid.InstanceID,
	zone medlarid.Zone,
	add medlarlog.AppendFunc,
	failed func(error),
) *Reporter {
	return &Reporter{author: author, node: node, zone: zone, add: add, failed: failed, news: make(chan medlarid.Offset, 1)}
}

// Applied notes that a version is in force here. It never blocks: a newer
// version takes the place of one that waits.
func (r *Reporter) Applied(v medlarid.Offset) {
	for {
		select {
		case r.news <- v:
			return
		default:
		}
		select {
		case <-r.news:
		default:
		}
	}
}

// Run confirms versions until ctx ends (R1, R2).
func (r *Reporter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-r.news:
			if medlarpause.For(ctx, gatherTime) {
				r.confirm(ctx, r.newest(v))
			}
		}
	}
}

// newest returns the newest version that waits, v if there is none.
func (r *Reporter) newest(v medlarid.Offset) medlarid.Offset {
	select {
	case n := <-r.news:
		return max(n, v)
	default:
		return v
	}
}

// confirm appends until it succeeds, a newer version waits, or ctx ends. A
// repeated confirmation does no harm.
func (r *Reporter) confirm(ctx context.Context, v medlarid.Offset) {
	body := &medlarrecord.Confirmation{Version: uint64(v), Zone: string(r.zone), Nodes: []string{string(r.node)}}
	rec := &medlarrecord.Record{Body: &medlarrecord.Record_Confirmation{Confirmation: body}}
	b, err := medlarrecord.Encode(rec, medlarid.NewRecordID(), r.author)
	for err == nil && ctx.Err() == nil && len(r.news) == 0 {
		_, appendErr := r.add(b)
		if appendErr == nil {
			return
		}
		r.failed(appendErr)
		medlarpause.For(ctx, retryPause)
	}
}

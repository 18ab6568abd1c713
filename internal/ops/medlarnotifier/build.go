package medlarnotifier

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbuild"
	"medlarfield/internal/core/medlarworld"
)

// earlierLife is the time after which the record of streams of an earlier start of this instance is
// removed: none of them is resumed any longer.
const earlierLife = time.Minute

// assignBuilds records an assignment of streams to builds; a claim is reported to the core if it
// is granted.
func (n *Notifier) assignBuilds(c medlarworld.AssignBuilds) {
	r, err := medlarnotice.EncodeAssignment(c)
	if err != nil {
		n.deps.Log.Error().Str("event", "notice").Err(err).Msg("assignment of streams cannot be encoded")
		return
	}
	if !c.Claim {
		n.deps.Board.Put(r)
		return
	}
	go func() {
		event := n.deps.Log.Info().Str("event", "builds").Str("service", string(c.Service)).Uint64("serial", c.Assignment.Serial)
		if err := n.deps.Board.ClaimKey(r); err != nil {
			event.Err(err).Msg("change of the assignment of streams to software versions is not granted")
			return
		}
		event.Msg("change of the assignment of streams to software versions is granted")
		n.post(medlarworld.BuildsAssigned{Service: c.Service, Assignment: c.Assignment})
	}()
}

// recordStreams records streams whose build no other instance can derive.
func (n *Notifier) recordStreams(c medlarworld.RecordStreams) {
	r, err := medlarnotice.EncodeStreams(medlarnotice.StreamsKey(n.deps.Self, n.start), c)
	if err != nil {
		n.deps.Log.Error().Str("event", "notice").Err(err).Msg("streams cannot be encoded")
		return
	}
	r.Serial = c.Serial
	n.deps.Board.Put(r)
}

// recordSeen records which assignments this instance has read.
func (n *Notifier) recordSeen(c medlarworld.RecordSeen) {
	r, err := medlarnotice.EncodeSeen(n.deps.Self, c)
	if err != nil {
		n.deps.Log.Error().Str("event", "notice").Err(err).Msg("assignments that were read cannot be encoded")
		return
	}
	n.deps.Board.Put(r)
}

// removeEarlier removes the record of streams of an earlier start of this instance after a while.
func (n *Notifier) removeEarlier(r medlarfeed.Record) {
	own := strings.HasPrefix(r.Key, medlarnotice.StreamsKey(n.deps.Self, "")) && r.Key != medlarnotice.StreamsKey(n.deps.Self, n.start)
	if own && len(r.Value) > 0 {
		time.AfterFunc(earlierLife, func() { n.deps.Board.Put(medlarnotice.Record{Key: r.Key}) })
	}
}

// logAssignment logs an assignment that was read.
func (n *Notifier) logAssignment(e medlarworld.BuildsAssigned) {
	n.deps.Log.Info().Str("event", "builds").Str("service", string(e.Service)).Uint64("serial", e.Assignment.Serial).
		Str("from", bucketText(&e.Assignment.From)).Str("to", bucketText(&e.Assignment.To)).Msg("streams are assigned to software versions")
}

// bucketText returns the software versions of buckets with the number of buckets of each.
func bucketText(buckets *medlarbuild.Buckets) string {
	counts := map[medlarid.Build]int{}
	for _, b := range buckets {
		counts[b]++
	}
	var out []string
	for _, b := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s:%d", b, counts[b]))
	}
	return strings.Join(out, " ")
}

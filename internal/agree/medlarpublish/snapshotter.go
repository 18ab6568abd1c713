package medlarpublish

import (
	"context"
	"time"

	"medlarfield/internal/agree/medlarfollower"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/agree/medlarstate"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarlog"
)

// Parameters of snapshots.
const (
	checkInterval = time.Second
	maxRecords    = 1024 // number of records after the last snapshot at which a new one is due
	minRecords    = 32   // number of retained records below which retention alone makes no snapshot due
	rankDelay     = 2 * time.Second
)

// Snapshotter writes snapshots of the lists before the records that the lists are
// derived from expire.
//
// Rules:
//
//	R1  A snapshot is due when the newest one lies in the older half of the
//	    retained records, or when many records follow it.
//	R2  Instances write in the order of their ranks: the first writes at once, each
//	    next one only if no snapshot has appeared after a further delay. A second
//	    snapshot does no harm.
type Snapshotter struct {
	author        string
	appendRecords medlarlog.AppendFunc
	view          func() *medlarstate.View
	status        func() medlarfollower.Status
	rank          func(medlarid.Offset) int
	onError       func(error)

	dueFor   medlarid.Offset // offset of the last snapshot when the next one became due
	dueSince time.Time
}

// NewSnapshotter returns a Snapshotter. rank returns the position of the instance
// among the writers of the snapshot after the given offset, from 0. Errors are
// passed to onError.
func NewSnapshotter(
	author string,
	appendRecords medlarlog.AppendFunc,
	view func() *medlarstate.View,
	status func() medlarfollower.Status,
	rank func(medlarid.Offset) int,
	onError func(error),
) *Snapshotter {
	return &Snapshotter{author: author, appendRecords: appendRecords, view: view, status: status, rank: rank, onError: onError}
}

// Run writes snapshots when they are due, until ctx is done.
func (s *Snapshotter) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.step(now)
		}
	}
}

// step writes a snapshot if one is due and the rank delay of this instance has
// passed (R2).
func (s *Snapshotter) step(now time.Time) {
	v, st := s.view(), s.status()
	if !st.Healthy || st.NextOffset != st.EndOffset || !due(v, st.OldestOffset) {
		s.dueSince = time.Time{}
		return
	}
	if s.dueSince.IsZero() || s.dueFor != v.LastSnapshot {
		s.dueSince, s.dueFor = now, v.LastSnapshot
	}
	if now.Sub(s.dueSince) < time.Duration(s.rank(v.LastSnapshot))*rankDelay {
		return
	}
	if err := s.write(v); err != nil {
		s.onError(err)
	}
}

// due reports whether a snapshot has to be written (R1).
func due(v *medlarstate.View, first medlarid.Offset) bool {
	if !v.Ready || v.Version == 0 || first == 0 {
		return false
	}
	since := v.NextOffset - max(v.LastSnapshot, first)
	if since >= maxRecords {
		return true
	}
	half := first + (v.NextOffset-first)/2
	return first > 1 && v.LastSnapshot < half && v.NextOffset-first >= minRecords
}

// write appends the parts of a snapshot one at a time, to keep each append small.
func (s *Snapshotter) write(v *medlarstate.View) error {
	records, err := v.Snapshot()
	if err != nil {
		return err
	}
	for _, r := range records {
		b, err := medlarrecord.Encode(r, medlarid.NewRecordID(), s.author)
		if err != nil {
			return err
		}
		if _, err := s.appendRecords(b); err != nil {
			return err
		}
	}
	return nil
}

package medlarpublish

import (
	"context"
	"time"

	"medlarfield/internal/agree/medlarfollow"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/agree/medlarstate"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarlog"
)

// Parameters of snapshots.
const (
	keepInterval = time.Second
	keepRecords  = 1024 // records after the last snapshot that make a new one due
	keepMinimum  = 32   // records below which none is due for retention's sake
	rankDelay    = 2 * time.Second
)

// Snapshotter writes snapshots of the lists before the records that they rest on
// expire.
//
// Rules:
//
//	R1  A snapshot is due when the newest one lies in the older half of what the
//	    log retains, or many records back.
//	R2  Instances take turns by rank: the first writes at once, the next only if
//	    no snapshot has shown after a while. Two snapshots do no harm.
type Snapshotter struct {
	author string
	add    medlarlog.AppendFunc
	view   func() *medlarstate.View
	status func() medlarfollow.Status
	rank   func(medlarid.Offset) int
	failed func(error)

	dueFor   medlarid.Offset // last snapshot's offset when the next came due
	dueSince time.Time
}

// NewSnapshotter returns a keeper. rank returns the instance's turn for the snapshot
// after an offset, 0 for the first.
func NewSnapshotter(
	author string,
	add medlarlog.AppendFunc,
	view func() *medlarstate.View,
	status func() medlarfollow.Status,
	rank func(medlarid.Offset) int,
	failed func(error),
) *Snapshotter {
	return &Snapshotter{author: author, add: add, view: view, status: status, rank: rank, failed: failed}
}

// Run writes snapshots as they come due until ctx ends.
func (k *Snapshotter) Run(ctx context.Context) {
	tick := time.NewTicker(keepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			k.step(now)
		}
	}
}

// step writes a snapshot if it is due and this instance's turn (R2).
func (k *Snapshotter) step(now time.Time) {
	v, st := k.view(), k.status()
	if !st.Healthy || st.From != st.End || !due(v, st.First) {
		k.dueSince = time.Time{}
		return
	}
	if k.dueSince.IsZero() || k.dueFor != v.Kept {
		k.dueSince, k.dueFor = now, v.Kept
	}
	if now.Sub(k.dueSince) < time.Duration(k.rank(v.Kept))*rankDelay {
		return
	}
	if err := k.write(v); err != nil {
		k.failed(err)
	}
}

// due reports whether a snapshot has to be written (R1).
func due(v *medlarstate.View, first medlarid.Offset) bool {
	if !v.Ready || v.Version == 0 || first == 0 {
		return false
	}
	since := v.Next - max(v.Kept, first)
	if since >= keepRecords {
		return true
	}
	half := first + (v.Next-first)/2
	return first > 1 && v.Kept < half && v.Next-first >= keepMinimum
}

// write appends the parts of a snapshot one by one, so that no append is large.
func (k *Snapshotter) write(v *medlarstate.View) error {
	records, err := v.Snapshot()
	if err != nil {
		return err
	}
	for _, r := range records {
		b, err := medlarrecord.Encode(r, medlarid.NewRecordID(), k.author)
		if err != nil {
			return err
		}
		if _, err := k.add(b); err != nil {
			return err
		}
	}
	return nil
}

// Package medlarcachetracker tracks the contents of the platform's KV cache stores, and
// frees the cached prompt parts of weight versions that no replica runs any more.
//
// Rules:
//
//	R1  A store is listed once at first, and again after a gap in its changes or a new
//	    start of the store; otherwise its changes are polled. Contents posted to the core
//	    are dated with the earliest time at which the store can have answered: the start
//	    of the call, or the end of its wait if it saw no change. An answer that is
//	    held up on its way, or read late, is no newer for that. A gap or a new start makes
//	    the contents stale until the store is listed, which is done at once.
//	R2  Parts of an older weight version are freed only when no instance can fetch them
//	    any more, whatever it knows of the desired versions: a fixed time after the
//	    version was replaced, and once most replicas run a later one (medlarplacement, R7, R8).
//	R3  The delay before freeing grows with the instance's rank, so that usually one
//	    instance frees; freeing twice is harmless.
//	R4  A store lets only a few readers wait at the same time. Until no call has been
//	    refused for a while, the tracker polls at a low rate with a short wait, so that
//	    many readers share the places. After that it uses long waits, and leaves its
//	    place for a moment between two calls. A call that doesn't wait at all is as
//	    expensive as a probe. Where few instances read each store (medlarreader), a
//	    refused call counts for a shorter time.
//	R5  A failed call makes the contents stale, since the store may have lost them, and so does
//	    one that is overdue: a store that is back soon may be written again before the call fails. The
//	    next call waits only briefly for changes, as its answer makes them current.
//	R6  A store frees parts soon after the decision, or not: the instance may stand still and the
//	    call be held up, while replicas leave and others may fetch the parts again.
package medlarcachetracker

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"medlarfield/internal/base/medlarclock"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarworld"
)

// Polling of stores and freeing of parts. A store is treated as contended while it may
// have more readers than places (R4).
const (
	scanInterval      = 500 * time.Millisecond  // between checks for new and removed stores
	eventsWait        = 800 * time.Millisecond  // maximum wait of a call for changes
	eventsInterval    = 250 * time.Millisecond  // minimum from the start of a call to the start of the next one
	answerMargin      = 100 * time.Millisecond  // for the answer to a call whose wait is shortened so that contents stay current
	eventsPause       = 60 * time.Millisecond   // maximum of the random pause that two calls are at least apart
	contendedTime     = 2 * time.Minute         // for which a store counts as contended after a refused call
	contendedInitial  = 5 * time.Second         // for which a store counts as contended when tracking starts
	contendedInterval = 1100 * time.Millisecond // maximum from the start of a call to a contended store to the start of the next one
	contendedWait     = 205 * time.Millisecond  // maximum wait of a call to a contended store
	overdueAfter      = 200 * time.Millisecond  // from the end of a call's wait until its answer is overdue (R5)
	refusedPause      = 500 * time.Millisecond  // maximum pause after a refused call
	failurePause      = 150 * time.Millisecond  // after a failed call
	freeRankDelay     = 600 * time.Millisecond  // additional delay before freeing, for each rank (R3)
	ranks             = 4                       // number of distinct ranks
	freeBatch         = 256                     // maximum number of parts freed by one call
)

// Part identifies a cached part of a prompt in a store.
type Part struct {
	Salt   medlarkey.CacheSalt // includes the weight version
	ID     string
	Tokens medlarid.Tokens
	Model  medlarid.ModelID
}

// key returns the part's key in the core.
func (p Part) key() medlarkey.Key { return medlarkey.Part(p.Salt, p.Model, p.ID) }

// Change is the addition or removal of a part.
type Change struct {
	Part  Part
	Added bool
}

// ChangeBatch is a store's answer to a call for its contents or changes.
type ChangeBatch struct {
	Epoch     uint64 // identifies the store's start
	Next      uint64 // sequence number to request changes from next
	Gap       bool   // whether changes before these are missing
	Malformed int    // rows that describe no part and are left out
	Throttled bool   // whether the store refused the call for too many readers; nothing else is set then
	Changes   []Change
}

// StoreRef identifies a store and its address.
type StoreRef struct {
	ID      medlarid.InstanceID
	Address medlarid.Address
	// Turn changes if the store was not tracked for a time. It is listed anew then.
	Turn uint64
}

// Deps are the functions of the instance that the tracker depends on.
type Deps struct {
	Stores func() []StoreRef
	List   func(medlarid.Address) (ChangeBatch, error)
	Events func(at medlarid.Address, since uint64, wait time.Duration) (ChangeBatch, error)
	// Free frees parts, unless the store has started since epoch or the call reaches it after until.
	Free func(at medlarid.Address, epoch uint64, parts []Part, until time.Time) error
	Post func(medlarworld.Event)
	// ReplacedAt returns when a model's weight version was replaced; ok is false if it was
	// not.
	ReplacedAt func(medlarid.ModelID, medlarid.WeightVersion) (at time.Time, ok bool)
	// PartsUnused reports whether no instance fetches parts of an older weight version any more, as far as that
	// depends on the replicas.
	PartsUnused func(medlarid.ModelID, medlarid.WeightVersion) bool
	// OnUnavailable and OnRecovered are called when calls to a store start to fail and when
	// they succeed again, OnListed after a store was listed, OnFreed after a call to free
	// parts.
	OnUnavailable func(StoreRef, error)
	OnRecovered   func(StoreRef)
	OnListed      func(r StoreRef, epoch uint64, parts int)
	OnFreed       func(r StoreRef, parts int, err error)
	// Few reports whether few instances read each store, so that it has a place for each of them; nil if it is not known.
	Few func() bool
	// OnMalformed is called when rows of a store's answer describe no part; first reports that they are
	// the first ones of the store.
	OnMalformed func(r StoreRef, rows int, first bool)
}

// Tracker tracks the contents of all stores.
type Tracker struct {
	deps      Deps
	freeDelay time.Duration // between the replacement of a version and freeing its parts (R3)
	rescan    chan struct{}
}

// New returns a tracker for the instance with the given rank, which is 0 or more.
func New(rank int, deps Deps) *Tracker {
	return &Tracker{deps: deps, freeDelay: medlarplacement.FreeDelay + time.Duration(rank%ranks)*freeRankDelay, rescan: make(chan struct{}, 1)}
}

// Rescan makes the tracker look for new and removed stores at once.
func (t *Tracker) Rescan() {
	select {
	case t.rescan <- struct{}{}:
	default:
	}
}

// tracking is a store that is tracked, or was until now.
type tracking struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when the last call has ended
	ending bool
}

// start starts to track a store.
func (t *Tracker) start(ctx context.Context, r StoreRef) *tracking {
	one, cancel := context.WithCancel(ctx)
	out := &tracking{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer t.Rescan()
		defer close(out.done)
		t.track(one, r)
	}()
	return out
}

// tracks reports whether a store is tracked, or a call of an earlier turn has not ended.
func tracks(running map[StoreRef]*tracking, id medlarid.InstanceID) bool {
	for r := range running {
		if r.ID == id {
			return true
		}
	}
	return false
}

// ended reports whether the last call has ended.
func (r *tracking) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Run tracks the stores until ctx is done.
func (t *Tracker) Run(ctx context.Context) {
	running := map[StoreRef]*tracking{}
	for ctx.Err() == nil {
		refs := t.deps.Stores()
		for r, one := range running {
			if !slices.Contains(refs, r) {
				one.cancel()
				one.ending = true
			}
			if one.ending && one.ended() {
				delete(running, r)
			}
		}
		for _, r := range refs {
			// A report of an earlier call must not come after the first one of the next turn.
			if !tracks(running, r.ID) {
				running[r] = t.start(ctx, r)
			}
		}
		t.pauseScan(ctx)
	}
}

// pauseScan waits until the stores are to be compared with those that are tracked again.
func (t *Tracker) pauseScan(ctx context.Context) {
	timer := time.NewTimer(scanInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.rescan:
	}
}

// trackedStore is the state of one tracked store.
type trackedStore struct {
	ref            StoreRef
	epoch          uint64
	next           uint64 // sequence number to request changes from
	listed         bool
	lost           bool      // whether the last call failed
	malformed      bool      // whether rows of the store have described no part
	contendedUntil time.Time // until when the store counts as contended (R4)
	freshUntil     time.Time // until when the contents posted last count as current
	refused        bool      // whether the last call was refused for lack of a place
	parts          map[medlarkey.Key]Part
}

// track tracks one store until ctx is done.
func (t *Tracker) track(ctx context.Context, r StoreRef) {
	st := &trackedStore{ref: r, contendedUntil: time.Now().Add(contendedInitial)}
	for ctx.Err() == nil {
		begin := time.Now()
		if err := t.read(st); err != nil {
			if !st.lost {
				t.deps.OnUnavailable(r, err)
				t.void(st, st.epoch)
			}
			st.lost = true
			medlarpause.For(ctx, failurePause)
			continue
		}
		if st.lost {
			t.deps.OnRecovered(r)
			st.lost = false
		}
		t.free(st)
		medlarpause.For(ctx, st.pause(time.Since(begin)))
	}
}

// pause returns the time until the next call to the store, after a call that took the
// given time (R4).
func (st *trackedStore) pause(took time.Duration) time.Duration {
	switch {
	case st.refused:
		return between(refusedPause/2, refusedPause)
	case st.contended():
		return between(contendedInterval*3/4, contendedInterval) - took
	}
	return max(eventsInterval-took, between(eventsPause/2, eventsPause))
}

// contended reports whether the store counts as contended (R4).
func (st *trackedStore) contended() bool { return time.Now().Before(st.contendedUntil) }

// between returns a random duration in [least, most).
func between(least, most time.Duration) time.Duration {
	return least + time.Duration(rand.Int64N(int64(most-least)))
}

// read lists the store's contents or reads its changes (R1).
func (t *Tracker) read(st *trackedStore) error {
	begin := time.Now()
	if !st.listed {
		c, err := t.deps.List(st.ref.Address)
		if err != nil {
			return err
		}
		t.reportMalformed(st, c)
		st.parts = map[medlarkey.Key]Part{}
		st.epoch, st.next, st.listed = c.Epoch, c.Next, true
		t.deps.OnListed(st.ref, c.Epoch, len(c.Changes))
		t.apply(st, c, begin, true)
		return nil
	}
	wait := st.wait()
	epoch := st.epoch
	overdue := time.AfterFunc(wait+overdueAfter, func() { t.void(st, epoch) })
	c, err := t.deps.Events(st.ref.Address, st.next, wait)
	overdue.Stop()
	if err != nil {
		return err
	}
	st.refused = c.Throttled
	if c.Throttled {
		st.contendedUntil = time.Now().Add(contendedTime)
		if t.few() {
			st.contendedUntil = time.Now().Add(contendedInitial)
		}
		return nil
	}
	t.reportMalformed(st, c)
	if c.Gap || c.Epoch != st.epoch {
		st.listed = false
		t.void(st, c.Epoch)
		return t.read(st)
	}
	st.next = c.Next
	t.apply(st, c, medlarclock.AnsweredFrom(begin, wait, len(c.Changes) > 0), false)
	return nil
}

// few reports whether few instances read each store, so that it has a place for each of them. A call is then refused only while
// former readers still hold a place.
func (t *Tracker) few() bool { return t.deps.Few != nil && t.deps.Few() }

// void makes the contents posted for a store stale, in a start of the store (R1, R5).
func (t *Tracker) void(st *trackedStore, epoch uint64) {
	t.deps.Post(medlarworld.InventoryReported{Store: st.ref.ID, Epoch: epoch}) // without a time
}

// reportMalformed reports rows that describe no part.
func (t *Tracker) reportMalformed(st *trackedStore, c ChangeBatch) {
	if c.Malformed > 0 {
		t.deps.OnMalformed(st.ref, c.Malformed, !st.malformed)
		st.malformed = true
	}
}

// wait returns the maximum wait of the next call for changes (R4, R5). If the store has a
// change late in a wait, its answer is dated well before its arrival (R1); the next wait is
// shorter then, so that the contents don't become stale in it.
func (st *trackedStore) wait() time.Duration {
	if st.contended() || st.lost {
		return contendedWait
	}
	return max(min(eventsWait, time.Until(st.freshUntil)-answerMargin), contendedWait)
}

// apply records changes, known as of a time, and posts them to the core. With reset, they
// are the store's whole contents.
func (t *Tracker) apply(st *trackedStore, c ChangeBatch, asOf time.Time, reset bool) {
	st.freshUntil = asOf.Add(medlarplacement.ReportTTL)
	e := medlarworld.InventoryReported{Store: st.ref.ID, Epoch: c.Epoch, At: asOf, Reset: reset}
	for _, ch := range c.Changes {
		k := ch.Part.key()
		if ch.Added {
			st.parts[k] = ch.Part
			continue
		}
		delete(st.parts, k)
		e.Removed = append(e.Removed, k)
	}
	for _, ch := range c.Changes {
		k := ch.Part.key()
		if _, held := st.parts[k]; ch.Added && held { // the core applies removals first
			e.Added = append(e.Added, medlarinventory.StoredPart{Key: k, Tokens: ch.Part.Tokens})
		}
	}
	t.deps.Post(e)
}

// free frees a batch of parts whose weight version has been replaced for long enough and
// on most replicas (R2, R3, R6).
func (t *Tracker) free(st *trackedStore) {
	until := time.Now().Add(medlarplacement.FreeTimeout)
	var old []Part
	for _, p := range st.parts {
		at, ok := t.deps.ReplacedAt(p.Model, p.Salt.Version())
		if ok && time.Since(at) > t.freeDelay && t.deps.PartsUnused(p.Model, p.Salt.Version()) {
			old = append(old, p)
		}
		if len(old) == freeBatch {
			break
		}
	}
	if len(old) == 0 {
		return
	}
	err := t.deps.Free(st.ref.Address, st.epoch, old, until)
	t.deps.OnFreed(st.ref, len(old), err)
	if err != nil {
		return
	}
	for _, p := range old {
		delete(st.parts, p.key())
	}
}

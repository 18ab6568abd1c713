// Package medlarcachetracker follows what the platform's stores of kept context hold, and
// frees the parts of weight versions that no replica has any more.
//
// Rules:
//
//	R1  A store is listed once, and after a gap or a new start; else its changes are
//	    followed. What is told to the core is as of the answer's arrival.
//	R2  Parts of an older weight version are freed only when no instance fetches them
//	    any more, whatever it has heard: a time after it was replaced, and once most of
//	    the replicas have a later one (medlarstock, R7).
//	R3  Each instance waits longer by its rank before it frees, so that mostly one
//	    does; freeing twice does no harm.
//	R4  A store lets few readers wait at the same time. Until no call was refused for a
//	    while, this one asks now and then and waits for a short time only, so that many
//	    share the places; then it waits for long, and leaves its place for a moment
//	    between two calls. Not to wait at all costs what a probe does.
package medlarcachetracker

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarstock"
	"medlarfield/internal/core/medlarworld"
)

// Times.
const (
	scanEvery  = 500 * time.Millisecond // for stores that are new or gone
	eventsWait = 800 * time.Millisecond
	eventsPace = 250 * time.Millisecond  // between two calls
	eventsRest = 60 * time.Millisecond   // at most, between two calls
	sharedTime = 2 * time.Minute         // after a refusal, for which a store is taken to have many readers
	sharedSoon = 5 * time.Second         // the same, after the start
	sharedPace = 1100 * time.Millisecond // at most, between two calls to it
	sharedWait = 205 * time.Millisecond  // of a call to it
	refusedMax = 500 * time.Millisecond  // until the next call, after one that found no place
	failPause  = 150 * time.Millisecond
	freeRank   = 600 * time.Millisecond // for each rank
	ranks      = 4
	freeBatch  = 256 // parts of one call
)

// Part is a part of a prompt as a store names it.
type Part struct {
	Salt   medlarkey.CacheSalt
	ID     string
	Tokens medlarid.Tokens
	Model  medlarid.ModelID
}

// key returns the part's key in the core.
func (p Part) key() medlarkey.Key { return medlarkey.Part(p.Salt, p.Model, p.ID) }

// Change is a part that came or went.
type Change struct {
	Part  Part
	Added bool
}

// ChangeBatch is an answer of a store.
type ChangeBatch struct {
	Epoch     uint64 // of the store's start
	Next      uint64 // number to ask from next
	Gap       bool   // changes are missing
	Throttled bool   // the store has too many readers; nothing else is set
	Changes   []Change
}

// StoreRef names a store.
type StoreRef struct {
	ID      medlarid.InstanceID
	Address medlarid.Address
}

// Deps are what the stocker uses of its instance.
type Deps struct {
	Stores func() []StoreRef
	List   func(medlarid.Address) (ChangeBatch, error)
	Events func(at medlarid.Address, since uint64, wait time.Duration) (ChangeBatch, error)
	Free   func(at medlarid.Address, epoch uint64, parts []Part) error
	Post   func(medlarworld.Event)
	// ReplacedAt returns when a weight version of a model was replaced, if it was.
	ReplacedAt func(medlarid.ModelID, medlarid.WeightVersion) (at time.Time, ok bool)
	// MostReplicasPast reports whether most of a model's replicas have had a later weight version
	// for a time.
	MostReplicasPast func(m medlarid.ModelID, v medlarid.WeightVersion, lasting time.Duration) bool
	// OnUnavailable, Regained, Reset and Freed are told of what happens at a store.
	OnUnavailable func(StoreRef, error)
	OnRecovered   func(StoreRef)
	OnListed      func(r StoreRef, epoch uint64, parts int)
	OnFreed       func(r StoreRef, parts int, err error)
}

// Tracker follows all stores.
type Tracker struct {
	seams Deps
	wait  time.Duration // before freeing (R3)
}

// New returns a stocker of the instance of a rank, from 0 on.
func New(rank int, s Deps) *Tracker {
	return &Tracker{seams: s, wait: medlarstock.FreeTime + time.Duration(rank%ranks)*freeRank}
}

// Run follows the stores until ctx ends.
func (s *Tracker) Run(ctx context.Context) {
	running := map[StoreRef]context.CancelFunc{}
	for ctx.Err() == nil {
		refs := s.seams.Stores()
		for _, r := range refs {
			if running[r] == nil {
				one, cancel := context.WithCancel(ctx)
				running[r] = cancel
				go s.follow(one, r)
			}
		}
		for r, cancel := range running {
			if !slices.Contains(refs, r) {
				cancel()
				delete(running, r)
			}
		}
		medlarpause.For(ctx, scanEvery)
	}
}

// shelf is one store as it is followed.
type shelf struct {
	ref        StoreRef
	epoch      uint64
	next       uint64
	listed     bool
	lost       bool
	sharedTill time.Time // until when the store is taken to have many readers
	refused    bool      // the last call found no place
	parts      map[medlarkey.Key]Part
}

// follow follows one store.
func (s *Tracker) follow(ctx context.Context, r StoreRef) {
	sh := &shelf{ref: r, sharedTill: time.Now().Add(sharedSoon)}
	for ctx.Err() == nil {
		begin := time.Now()
		if err := s.read(sh); err != nil {
			if !sh.lost {
				s.seams.OnUnavailable(r, err)
				s.seams.Post(medlarworld.Stocked{Store: r.ID, Epoch: sh.epoch}) // not fresh any more
			}
			sh.lost = true
			medlarpause.For(ctx, failPause)
			continue
		}
		if sh.lost {
			s.seams.OnRecovered(r)
			sh.lost = false
		}
		s.free(sh)
		medlarpause.For(ctx, sh.pause(time.Since(begin)))
	}
}

// pause returns the time until the next call to a store, after one that took some time
// (R4).
func (sh *shelf) pause(took time.Duration) time.Duration {
	switch {
	case sh.refused:
		return between(refusedMax/2, refusedMax)
	case sh.shared():
		return between(sharedPace*3/4, sharedPace) - took
	}
	return max(eventsPace-took, between(eventsRest/2, eventsRest))
}

// shared reports whether the store is taken to have many readers.
func (sh *shelf) shared() bool { return time.Now().Before(sh.sharedTill) }

// between returns a time drawn between two.
func between(least, most time.Duration) time.Duration {
	return least + time.Duration(rand.Int64N(int64(most-least)))
}

// read lists the store or reads its changes (R1).
func (s *Tracker) read(sh *shelf) error {
	if !sh.listed {
		c, err := s.seams.List(sh.ref.Address)
		if err != nil {
			return err
		}
		sh.parts = map[medlarkey.Key]Part{}
		sh.epoch, sh.next, sh.listed = c.Epoch, c.Next, true
		s.seams.OnListed(sh.ref, c.Epoch, len(c.Changes))
		s.tell(sh, c, true)
		return nil
	}
	wait := eventsWait
	if sh.shared() {
		wait = sharedWait
	}
	c, err := s.seams.Events(sh.ref.Address, sh.next, wait)
	if err != nil {
		return err
	}
	sh.refused = c.Throttled
	if c.Throttled {
		sh.sharedTill = time.Now().Add(sharedTime)
		return nil
	}
	if c.Gap || c.Epoch != sh.epoch {
		sh.listed = false
		return nil
	}
	sh.next = c.Next
	s.tell(sh, c, false)
	return nil
}

// tell takes changes over and tells the core.
func (s *Tracker) tell(sh *shelf, c ChangeBatch, reset bool) {
	e := medlarworld.Stocked{Store: sh.ref.ID, Epoch: c.Epoch, At: time.Now(), Reset: reset}
	for _, ch := range c.Changes {
		k := ch.Part.key()
		if ch.Added {
			sh.parts[k] = ch.Part
			e.Added = append(e.Added, medlarworld.StockPart{Key: k, Tokens: ch.Part.Tokens})
			continue
		}
		delete(sh.parts, k)
		e.Removed = append(e.Removed, k)
	}
	s.seams.Post(e)
}

// free frees parts of weight versions that have been replaced everywhere (R2, R3).
func (s *Tracker) free(sh *shelf) {
	var old []Part
	for _, p := range sh.parts {
		at, ok := s.seams.ReplacedAt(p.Model, p.Salt.Version())
		if ok && time.Since(at) > s.wait && s.seams.MostReplicasPast(p.Model, p.Salt.Version(), medlarstock.SwapTime) {
			old = append(old, p)
		}
		if len(old) == freeBatch {
			break
		}
	}
	if len(old) == 0 {
		return
	}
	err := s.seams.Free(sh.ref.Address, sh.epoch, old)
	s.seams.OnFreed(sh.ref, len(old), err)
	if err != nil {
		return
	}
	for _, p := range old {
		delete(sh.parts, p.key())
	}
}

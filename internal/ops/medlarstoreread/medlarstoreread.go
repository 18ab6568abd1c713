// Package medlarstoreread connects the tracker, which reads some KV stores, with the relay, which gets the contents of the
// other stores from other instances.
package medlarstoreread

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"medlarfield/internal/base/medlarclock"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/ops/medlarcachetracker"
	"medlarfield/internal/ops/medlardialer"
	"medlarfield/internal/ops/medlarloop"
	"medlarfield/internal/ops/medlarregistry"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/peer/medlarstorerelay"
	"medlarfield/internal/peer/medlartunnel"
	"medlarfield/platform/medlarcalls"
)

// NewPublisher returns the publisher, which passes what this instance reads to other instances.
func NewPublisher() *medlarstorerelay.Publisher {
	return medlarstorerelay.NewPublisher(medlarclock.Suspended)
}

// Reads decides which stores the tracker reads, and passes on what it has read.
type Reads struct {
	relay     *medlarstorerelay.Relay
	registry  *medlarregistry.Registry
	metrics   *medlarmetric.Metrics
	publisher *medlarstorerelay.Publisher
	tracker   *medlarcachetracker.Tracker

	mu  sync.Mutex
	ids map[medlarid.Address]medlarid.InstanceID // ids of the stores that are read, by address
}

// New returns Reads without a tracker; see NewTracker.
func New(cfg medlarsettings.Attached, m *medlarmetric.Metrics, loop *medlarloop.Loop, registry *medlarregistry.Registry,
	d *medlardialer.Dialer, client *medlartunnel.Client, publisher *medlarstorerelay.Publisher,
) *Reads {
	s := &Reads{registry: registry, metrics: m, publisher: publisher, ids: map[medlarid.Address]medlarid.InstanceID{}}
	s.relay = medlarstorerelay.New(medlarstorerelay.Deps{
		Self: cfg.Name, Zone: cfg.Zone, Instances: d.Instances, Subscribe: client.Subscribe, Post: loop.Post,
		Stores: func() (out []medlarid.InstanceID) {
			for _, r := range registry.Stores() {
				out = append(out, r.ID)
			}
			return out
		},
		OnDirect:  func() { s.tracker.Rescan() },
		OnRead:    func() { m.StoreRead(true) },
		Suspended: medlarclock.Suspended,
		Publisher: publisher,
	})
	return s
}

// Run subscribes to what other instances read until ctx is done.
func (s *Reads) Run(ctx context.Context) { s.relay.Run(ctx) }

// direct returns the stores that this instance reads itself.
func (s *Reads) direct() []medlarcachetracker.StoreRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	var refs []medlarcachetracker.StoreRef
	for _, r := range s.registry.Stores() {
		turn, ok := s.relay.Reads(r.ID)
		if !ok {
			continue
		}
		s.ids[r.Address] = r.ID
		r.Turn = turn
		refs = append(refs, r)
	}
	return refs
}

// began records that a call to a store begins.
func (s *Reads) began(at medlarid.Address) {
	s.mu.Lock()
	id := s.ids[at]
	s.mu.Unlock()
	s.publisher.Began(id)
}

// list wraps the function that lists a store, and records the calls.
func (s *Reads) list(f func(medlarid.Address) (medlarcachetracker.ChangeBatch, error)) func(medlarid.Address) (medlarcachetracker.ChangeBatch, error) {
	return func(at medlarid.Address) (medlarcachetracker.ChangeBatch, error) {
		s.began(at)
		c, err := f(at)
		s.count(c, err)
		return c, err
	}
}

// readChanges is a function that reads a store's changes.
type readChanges = func(medlarid.Address, uint64, time.Duration) (medlarcachetracker.ChangeBatch, error)

// events wraps the function that reads a store's changes, and records the calls.
func (s *Reads) events(f readChanges) readChanges {
	return func(at medlarid.Address, since uint64, wait time.Duration) (medlarcachetracker.ChangeBatch, error) {
		s.began(at)
		c, err := f(at, since, wait)
		s.count(c, err)
		return c, err
	}
}

// count counts a call that was answered.
func (s *Reads) count(c medlarcachetracker.ChangeBatch, err error) {
	if err == nil && !c.Throttled {
		s.metrics.StoreRead(false)
	}
}

// report passes what the tracker has read to the relay.
func (s *Reads) report(e medlarworld.Event) {
	if e, ok := e.(medlarworld.InventoryReported); ok {
		s.relay.Report(e)
	}
}

// NewTracker returns the tracker of the stores that this instance reads.
func NewTracker(cfg medlarsettings.Attached, log zerolog.Logger, m *medlarmetric.Metrics,
	registry *medlarregistry.Registry, kvStores *medlarcalls.KVStores, s *Reads,
) *medlarcachetracker.Tracker {
	event := func(r medlarcachetracker.StoreRef) *zerolog.Event {
		return log.Info().Str("event", "stock").Str("store", string(r.ID)).Str("address", string(r.Address))
	}
	s.tracker = medlarcachetracker.New(cfg.Rank(), medlarcachetracker.Deps{
		Stores:      s.direct,
		List:        s.list(kvStores.List),
		Events:      s.events(kvStores.Events),
		Free:        kvStores.Free,
		Post:        s.report,
		Few:         s.relay.Few,
		ReplacedAt:  registry.ReplacedAt,
		PartsUnused: registry.PartsUnused,
		OnUnavailable: func(r medlarcachetracker.StoreRef, err error) {
			m.CallFailed("stock")
			event(r).AnErr("error", err).Msg("KV cache store is unavailable")
		},
		OnRecovered: func(r medlarcachetracker.StoreRef) { event(r).Msg("KV cache store is available again") },
		OnListed: func(r medlarcachetracker.StoreRef, epoch uint64, parts int) {
			event(r).Uint64("epoch", epoch).Int("parts", parts).Msg("KV cache store listed")
		},
		OnFreed: func(r medlarcachetracker.StoreRef, parts int, err error) {
			event(r).Int("parts", parts).AnErr("error", err).Msg("freeing parts of replaced weight versions")
		},
		OnMalformed: func(r medlarcachetracker.StoreRef, rows int, first bool) {
			m.Malformed(medlarmetric.SourceStores, rows)
			if first {
				event(r).Int("rows", rows).Msg("KV cache store reports rows that describe no part; ignoring them")
			}
		},
	})
	return s.tracker
}

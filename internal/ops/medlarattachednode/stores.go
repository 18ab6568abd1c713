package medlarattachednode

import (
	"sync"
	"time"

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
)

func newPublisher() *medlarstorerelay.Publisher {
	return medlarstorerelay.NewPublisher(medlarclock.Suspended)
}

// storeReads connects the tracker of KV stores, which reads some of them, with the relay, which gets the contents of
// the others from other instances.
type storeReads struct {
	relay     *medlarstorerelay.Relay
	registry  *medlarregistry.Registry
	metrics   *medlarmetric.Metrics
	publisher *medlarstorerelay.Publisher
	tracker   *medlarcachetracker.Tracker

	mu  sync.Mutex
	ids map[medlarid.Address]medlarid.InstanceID // of the stores that are read
}

func newStoreReads(cfg medlarsettings.Attached, m *medlarmetric.Metrics, loop *medlarloop.Loop, registry *medlarregistry.Registry,
	d *medlardialer.Dialer, client *medlartunnel.Client, publisher *medlarstorerelay.Publisher,
) *storeReads {
	s := &storeReads{registry: registry, metrics: m, publisher: publisher, ids: map[medlarid.Address]medlarid.InstanceID{}}
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

// track sets the tracker.
func (s *storeReads) track(t *medlarcachetracker.Tracker) *medlarcachetracker.Tracker {
	s.tracker = t
	return t
}

// direct returns the stores that this instance reads itself.
func (s *storeReads) direct() []medlarcachetracker.StoreRef {
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
func (s *storeReads) began(at medlarid.Address) {
	s.mu.Lock()
	id := s.ids[at]
	s.mu.Unlock()
	s.publisher.Began(id)
}

// list returns the function that lists a store, with the calls recorded.
func (s *storeReads) list(f func(medlarid.Address) (medlarcachetracker.ChangeBatch, error)) func(medlarid.Address) (medlarcachetracker.ChangeBatch, error) {
	return func(at medlarid.Address) (medlarcachetracker.ChangeBatch, error) {
		s.began(at)
		c, err := f(at)
		s.count(c, err)
		return c, err
	}
}

// readChanges is a function that reads a store's changes.
type readChanges = func(medlarid.Address, uint64, time.Duration) (medlarcachetracker.ChangeBatch, error)

// events returns the function that reads a store's changes, with the calls recorded.
func (s *storeReads) events(f readChanges) readChanges {
	return func(at medlarid.Address, since uint64, wait time.Duration) (medlarcachetracker.ChangeBatch, error) {
		s.began(at)
		c, err := f(at, since, wait)
		s.count(c, err)
		return c, err
	}
}

// count counts a call that was answered.
func (s *storeReads) count(c medlarcachetracker.ChangeBatch, err error) {
	if err == nil && !c.Throttled {
		s.metrics.StoreRead(false)
	}
}

// report takes what the tracker has read.
func (s *storeReads) report(e medlarworld.Event) {
	if e, ok := e.(medlarworld.InventoryReported); ok {
		s.relay.Report(e)
	}
}

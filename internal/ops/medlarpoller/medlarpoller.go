// Package medlarpoller reads the instance list and the engines' status and cache
// events at intervals and reports them to the core.
//
// Rules:
//
//	R1  A read that fails changes nothing: the last list stays in use.
//	R2  Several workers read the engines, so that a frozen one does not hold up all
//	    others.
//	R3  Reads stay within a budget of calls a second: the more engines, the longer
//	    the time between two reads of one. Only near engines are read; what others
//	    tell with their answers is enough.
package medlarpoller

import (
	"context"
	"sync"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
	"medlarfield/internal/core/medlarfleet"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarsession"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarinstance"
)

// Parameters of reading.
const (
	workers      = 8
	callsPerRead = 2 // status and events
	listInterval = time.Second
)

// Deps are what a watch uses of its instance.
type Deps struct {
	Post        func(medlarworld.Event)
	Instances   *medlarinstance.Client
	Engines     *medlarengine.Client
	OnReadError func(part string)
	// OnEntries is called with the entry instances of each list; it returns the
	// number that is known to live, or 0 when the list is to be believed.
	OnEntries func([]Entry) int
}

// Entry is an entry instance of the list.
type Entry struct {
	ID   medlarid.InstanceID
	Zone medlarid.Zone
	Peer medlarid.Address
}

// Poller reads the platform. It is safe for concurrent use.
type Poller struct {
	self  medlarid.InstanceID
	seams Deps
	poll  time.Duration

	mu      sync.Mutex
	engines map[medlarid.InstanceID]*engine // only their own worker reads one
	stores  map[medlarid.InstanceID]medlarid.Address
	entries []Entry
	listed  bool
	budget  float64 // calls a second
	peers   int     // that the core was told last
}

// engine is one engine being read.
type engine struct {
	id      medlarid.InstanceID
	address medlarid.Address
	due     time.Time
	near    bool
	busy    bool // being read
	block   medlarid.Bytes
	epoch   string
	next    int
}

// New returns a watch that reads every poll, or less often to stay within budget
// calls a second to engines.
func New(self medlarid.InstanceID, s Deps, poll time.Duration, budget float64) *Poller {
	return &Poller{
		self:    self,
		budget:  budget,
		seams:   s,
		poll:    poll,
		engines: map[medlarid.InstanceID]*engine{},
		stores:  map[medlarid.InstanceID]medlarid.Address{},
	}
}

// HasListedUpstream reports whether the instance list has named an upstream once.
func (w *Poller) HasListedUpstream() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listed
}

// StoreAddress returns the address of a store, or an empty one.
func (w *Poller) StoreAddress(id medlarid.InstanceID) medlarid.Address {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stores[id]
}

// Entries returns the entry instances of the list that are not leaving.
func (w *Poller) Entries() []Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries
}

// Engine is an engine of the list.
type Engine struct {
	ID      medlarid.InstanceID
	Address medlarid.Address
}

// Engines returns the engines of the list.
func (w *Poller) Engines() []Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Engine, 0, len(w.engines))
	for _, e := range w.engines {
		out = append(out, Engine{e.id, e.address})
	}
	return out
}

// BlockBytes returns the size of a block of an engine, or 0 when not known.
func (w *Poller) BlockBytes(id medlarid.InstanceID) medlarid.Bytes {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.engines[id]; e != nil {
		return e.block
	}
	return 0
}

// Run reads until ctx ends.
func (w *Poller) Run(ctx context.Context) {
	for range workers {
		go w.work(ctx)
	}
	tick := time.NewTicker(max(w.poll, listInterval))
	defer tick.Stop()
	for {
		w.readList()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// readList reads the instance list (R1).
func (w *Poller) readList() {
	l, err := w.seams.Instances.List()
	if err != nil {
		w.seams.OnReadError("instances")
		return
	}
	if !l.Same {
		w.follow(l)
	}
	peers := w.seams.OnEntries(w.Entries())
	if l.Same && peers == w.peers {
		return // the core knows it
	}
	w.peers = peers
	members := make([]medlarworld.Member, 0, len(l.Instances))
	for _, i := range l.Instances {
		members = append(members, member(i))
	}
	w.seams.Post(medlarworld.InstancesListed{Members: members, Peers: peers})
}

func member(i medlarinstance.Instance) medlarworld.Member {
	return medlarworld.Member{
		ID:      i.ID,
		Kind:    string(i.Role),
		Zone:    i.Zone,
		Address: i.Address,
		Leaving: i.Leaving,
		Model:   i.Model,
		Service: i.Service,
	}
}

// follow takes over the list.
func (w *Poller) follow(l medlarinstance.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.stores)
	w.entries = nil
	seen := map[medlarid.InstanceID]bool{}
	for _, i := range l.Instances {
		w.listed = w.listed || i.Role == medlarinstance.RoleEngine || i.Role == medlarinstance.RoleService
		switch i.Role {
		case medlarinstance.RoleEntry:
			if !i.Leaving {
				w.entries = append(w.entries, Entry{i.ID, i.Zone, i.Peer})
			}
		case medlarinstance.RoleStore:
			w.stores[i.ID] = i.Address
		case medlarinstance.RoleEngine:
			seen[i.ID] = true
			w.followEngine(i)
		}
	}
	for id := range w.engines {
		if !seen[id] {
			delete(w.engines, id)
		}
	}
	w.markNear(l)
}

// markNear marks the engines that this instance reads; the lock is held.
func (w *Poller) markNear(l medlarinstance.List) {
	byModel := map[medlarid.ModelID][]medlarid.InstanceID{}
	for _, i := range l.Instances {
		if i.Role == medlarinstance.RoleEngine {
			byModel[i.Model] = append(byModel[i.Model], i.ID)
			w.engines[i.ID].near = false
		}
	}
	for _, ids := range byModel {
		for _, id := range medlarfleet.Subset(w.self, ids) {
			w.engines[id].near = true
		}
	}
}

// followEngine adds an engine, or takes over its new address; the lock is held.
func (w *Poller) followEngine(i medlarinstance.Instance) {
	e := w.engines[i.ID]
	if e != nil && e.address == i.Address {
		return
	}
	w.engines[i.ID] = &engine{id: i.ID, address: i.Address}
}

// work reads the engine that is due first, again and again, until ctx ends.
func (w *Poller) work(ctx context.Context) {
	for {
		e, wait := w.next(time.Now())
		if wait > 0 {
			if !medlarpause.For(ctx, min(wait, w.poll)) {
				return
			}
			continue
		}
		w.readStatus(e)
		w.readEvents(e)
		w.done(e)
		if ctx.Err() != nil {
			return
		}
	}
}

// next takes the engine that is due first, or returns the time to wait (R3).
func (w *Poller) next(now time.Time) (*engine, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var first *engine
	for _, e := range w.engines {
		if !e.near || e.busy {
			continue
		}
		if first == nil || e.due.Before(first.due) {
			first = e
		}
	}
	if first == nil {
		return nil, w.poll
	}
	if wait := first.due.Sub(now); wait > 0 {
		return nil, wait
	}
	first.busy = true
	return first, 0
}

// done makes an engine due again.
func (w *Poller) done(e *engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.busy = false
	e.due = time.Now().Add(w.interval())
}

// interval returns the time between two reads of an engine; the lock is held.
func (w *Poller) interval() time.Duration {
	n := 0
	for _, e := range w.engines {
		if e.near {
			n++
		}
	}
	return max(w.poll, time.Duration(float64(n)*callsPerRead/w.budget*float64(time.Second)))
}

func (w *Poller) readStatus(e *engine) {
	l, err := w.seams.Engines.Status(e.address)
	if err != nil {
		w.seams.OnReadError("engine")
		return
	}
	w.mu.Lock()
	e.block = l.BlockBytes
	w.mu.Unlock()
	w.seams.Post(medlarsession.ReportOf(e.id, l))
}

// readEvents reads what is new in the engine's prefix cache. A new epoch, or
// events that are gone already, makes all that was known about it void.
func (w *Poller) readEvents(e *engine) {
	ev, err := w.seams.Engines.Events(e.address, e.next)
	if err != nil {
		w.seams.OnReadError("engine")
		return
	}
	reset := e.epoch != ev.Epoch && e.epoch != "" || ev.First > e.next
	if e.epoch != ev.Epoch && e.next > 0 {
		e.next = 0
		e.epoch = ev.Epoch
		w.seams.Post(medlarworld.CacheChanged{Upstream: e.id, Reset: true})
		return
	}
	e.epoch, e.next = ev.Epoch, ev.Next
	if reset {
		w.seams.Post(medlarworld.CacheChanged{Upstream: e.id, Reset: true})
	}
	for _, c := range ev.Events {
		w.seams.Post(medlarworld.CacheChanged{Upstream: e.id, Stored: c.Stored, Evicted: c.Evicted})
	}
}

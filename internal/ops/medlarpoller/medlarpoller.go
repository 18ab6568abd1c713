// Package medlarpoller polls the instance list and the engines' status and cache events,
// and posts what it reads to the core.
//
// Rules:
//
//	R1  A failed read changes nothing: the last list stays in use.
//	R2  Several workers poll the engines, so that one engine that hangs does not delay the
//	    reads of the others.
//	R3  Polling stays within a budget of calls per second: the more engines there are, the
//	    longer the interval between two reads of the same one. Only the engines of the
//	    instance's subset are polled; the state that the others report with their
//	    responses is enough.
package medlarpoller

import (
	"context"
	"sync"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
	"medlarfield/internal/core/medlarfleet"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarsession"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarinstance"
)

// Parameters of polling.
const (
	workers      = 8
	callsPerRead = 2 // status and events
	listInterval = time.Second
)

// Deps are the functions and clients that a Poller depends on.
type Deps struct {
	Post        func(medlarworld.Event)
	Instances   *medlarinstance.Client
	Engines     *medlarengine.Client
	OnReadError func(part string)
	// OnEntries is called with the entry instances of each list. It returns how many of
	// them are known to be alive, or 0 if the number in the list is to be used.
	OnEntries func([]Entry) int
}

// Entry is an entry instance in the instance list.
type Entry struct {
	ID   medlarid.InstanceID
	Zone medlarid.Zone
	Peer medlarid.Address
}

// Poller polls the instance list and the engines. It is safe for concurrent use.
type Poller struct {
	self medlarid.InstanceID
	deps Deps
	poll time.Duration

	mu        sync.Mutex
	engines   map[medlarid.InstanceID]*engine // one is read only by the worker that marked it busy
	stores    map[medlarid.InstanceID]medlarid.Address
	entries   []Entry
	hasListed bool
	budget    float64 // calls per second
	livePeers int     // number of peers last posted to the core
}

// engine is the polling state of one engine.
type engine struct {
	id         medlarid.InstanceID
	address    medlarid.Address
	due        time.Time
	inSubset   bool
	busy       bool // a worker is reading it
	blockBytes medlarid.Bytes
	epoch      string
	nextEvent  int
}

// New returns a Poller that polls at the interval poll, or less often to stay within budget
// calls per second to the engines.
func New(self medlarid.InstanceID, d Deps, poll time.Duration, budget float64) *Poller {
	return &Poller{
		self:    self,
		budget:  budget,
		deps:    d,
		poll:    poll,
		engines: map[medlarid.InstanceID]*engine{},
		stores:  map[medlarid.InstanceID]medlarid.Address{},
	}
}

// HasListedUpstream reports whether any instance list so far has named an upstream.
func (p *Poller) HasListedUpstream() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasListed
}

// StoreAddress returns the address of a store, or "" if it is not in the list.
func (p *Poller) StoreAddress(id medlarid.InstanceID) medlarid.Address {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stores[id]
}

// Entries returns the entry instances in the list that are not leaving.
func (p *Poller) Entries() []Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries
}

// Engine is an engine in the instance list.
type Engine struct {
	ID      medlarid.InstanceID
	Address medlarid.Address
}

// Engines returns the engines in the list.
func (p *Poller) Engines() []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Engine, 0, len(p.engines))
	for _, e := range p.engines {
		out = append(out, Engine{e.id, e.address})
	}
	return out
}

// BlockBytes returns the block size of an engine, or 0 if it is not known.
func (p *Poller) BlockBytes(id medlarid.InstanceID) medlarid.Bytes {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[id]; e != nil {
		return e.blockBytes
	}
	return 0
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	for range workers {
		go p.pollEngines(ctx)
	}
	tick := time.NewTicker(max(p.poll, listInterval))
	defer tick.Stop()
	for {
		p.readList()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// readList reads the instance list (R1).
func (p *Poller) readList() {
	l, err := p.deps.Instances.List()
	if err != nil {
		p.deps.OnReadError("instances")
		return
	}
	if !l.Unchanged {
		p.applyList(l)
	}
	peers := p.deps.OnEntries(p.Entries())
	if l.Unchanged && peers == p.livePeers {
		return // nothing has changed since the last post
	}
	p.livePeers = peers
	members := make([]medlarupstream.Member, 0, len(l.Instances))
	for _, i := range l.Instances {
		members = append(members, member(i))
	}
	p.deps.Post(medlarworld.InstancesListed{Members: members, Peers: peers})
}

func member(i medlarinstance.Instance) medlarupstream.Member {
	return medlarupstream.Member{
		ID:      i.ID,
		Kind:    string(i.Role),
		Zone:    i.Zone,
		Address: i.Address,
		Leaving: i.Leaving,
		Model:   i.Model,
		Service: i.Service,
	}
}

// applyList replaces the state of the last list by that of l.
func (p *Poller) applyList(l medlarinstance.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.stores)
	p.entries = nil
	seen := map[medlarid.InstanceID]bool{}
	for _, i := range l.Instances {
		p.hasListed = p.hasListed || i.Role == medlarinstance.RoleEngine || i.Role == medlarinstance.RoleService
		switch i.Role {
		case medlarinstance.RoleEntry:
			if !i.Leaving {
				p.entries = append(p.entries, Entry{i.ID, i.Zone, i.PeerAddress})
			}
		case medlarinstance.RoleStore:
			p.stores[i.ID] = i.Address
		case medlarinstance.RoleEngine:
			seen[i.ID] = true
			p.applyEngine(i)
		}
	}
	for id := range p.engines {
		if !seen[id] {
			delete(p.engines, id)
		}
	}
	p.markSubset(l)
}

// markSubset marks the engines that this instance polls. The caller holds the lock.
func (p *Poller) markSubset(l medlarinstance.List) {
	byModel := map[medlarid.ModelID][]medlarid.InstanceID{}
	for _, i := range l.Instances {
		if i.Role == medlarinstance.RoleEngine {
			byModel[i.Model] = append(byModel[i.Model], i.ID)
			p.engines[i.ID].inSubset = false
		}
	}
	for _, ids := range byModel {
		for _, id := range medlarfleet.Subset(p.self, ids) {
			p.engines[id].inSubset = true
		}
	}
}

// applyEngine adds an engine, or replaces one whose address has changed. The caller holds
// the lock.
func (p *Poller) applyEngine(i medlarinstance.Instance) {
	e := p.engines[i.ID]
	if e != nil && e.address == i.Address {
		return
	}
	p.engines[i.ID] = &engine{id: i.ID, address: i.Address}
}

// pollEngines reads the engine that is due first, in a loop until ctx ends.
func (p *Poller) pollEngines(ctx context.Context) {
	for {
		e, wait := p.nextDue(time.Now())
		if wait > 0 {
			if !medlarpause.For(ctx, min(wait, p.poll)) {
				return
			}
			continue
		}
		p.readStatus(e)
		p.readEvents(e)
		p.reschedule(e)
		if ctx.Err() != nil {
			return
		}
	}
}

// nextDue claims the engine that is due first, or returns the time to wait (R3).
func (p *Poller) nextDue(now time.Time) (*engine, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first *engine
	for _, e := range p.engines {
		if !e.inSubset || e.busy {
			continue
		}
		if first == nil || e.due.Before(first.due) {
			first = e
		}
	}
	if first == nil {
		return nil, p.poll
	}
	if wait := first.due.Sub(now); wait > 0 {
		return nil, wait
	}
	first.busy = true
	return first, 0
}

// reschedule releases an engine and sets the time of its next read.
func (p *Poller) reschedule(e *engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.busy = false
	e.due = time.Now().Add(p.interval())
}

// interval returns the time between two reads of an engine. The caller holds the lock.
func (p *Poller) interval() time.Duration {
	n := 0
	for _, e := range p.engines {
		if e.inSubset {
			n++
		}
	}
	return max(p.poll, time.Duration(float64(n)*callsPerRead/p.budget*float64(time.Second)))
}

func (p *Poller) readStatus(e *engine) {
	l, err := p.deps.Engines.Status(e.address)
	if err != nil {
		p.deps.OnReadError("engine")
		return
	}
	p.mu.Lock()
	e.blockBytes = l.BlockBytes
	p.mu.Unlock()
	p.deps.Post(medlarsession.StatusFromLoad(e.id, l))
}

// readEvents reads the new events of the engine's prefix cache. If the epoch has changed, or
// events were dropped before they were read, the known state of the cache is reset.
func (p *Poller) readEvents(e *engine) {
	ev, err := p.deps.Engines.Events(e.address, e.nextEvent)
	if err != nil {
		p.deps.OnReadError("engine")
		return
	}
	reset := e.epoch != ev.Epoch && e.epoch != "" || ev.First > e.nextEvent
	if e.epoch != ev.Epoch && e.nextEvent > 0 {
		e.nextEvent = 0
		e.epoch = ev.Epoch
		p.deps.Post(medlarworld.CacheChanged{Upstream: e.id, Reset: true})
		return
	}
	e.epoch, e.nextEvent = ev.Epoch, ev.Next
	if reset {
		p.deps.Post(medlarworld.CacheChanged{Upstream: e.id, Reset: true})
	}
	for _, c := range ev.Events {
		p.deps.Post(medlarworld.CacheChanged{Upstream: e.id, Stored: c.Stored, Evicted: c.Evicted})
	}
}

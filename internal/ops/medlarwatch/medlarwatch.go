// Package medlarwatch reads the instance list and the engines' status and cache
// events at intervals and reports them to the core.
//
// Rules:
//
//	R1  A read that fails changes nothing: the last list stays in use.
//	R2  Each engine is read by a goroutine of its own, so that a frozen one holds
//	    up no other.
package medlarwatch

import (
	"context"
	"sync"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/platform/medlarengine"
	"medlarfield/internal/platform/medlarinstance"
)

// Seams are what a watch uses of its instance.
type Seams struct {
	Post      func(medlarworld.Event)
	Instances *medlarinstance.Client
	Engines   *medlarengine.Client
	Failed    func(part string)
	// Entries is called with the entry instances of each list; it returns the
	// number that is known to live, or 0 when the list is to be believed.
	Entries func([]Entry) int
}

// Entry is an entry instance of the list.
type Entry struct {
	ID   medlarid.InstanceID
	Zone medlarid.Zone
	Peer medlarid.Address
}

// Watch reads the platform. It is safe for concurrent use.
type Watch struct {
	seams Seams
	poll  time.Duration

	mu      sync.Mutex
	engines map[medlarid.InstanceID]*engine
	stores  map[medlarid.InstanceID]medlarid.Address
	entries []Entry
	listed  bool
	wg      sync.WaitGroup
}

// engine is one engine being read.
type engine struct {
	id      medlarid.InstanceID
	address medlarid.Address
	cancel  context.CancelFunc
	block   medlarid.Bytes
	epoch   string
	next    int
}

// New returns a watch that reads every poll.
func New(s Seams, poll time.Duration) *Watch {
	return &Watch{
		seams:   s,
		poll:    poll,
		engines: map[medlarid.InstanceID]*engine{},
		stores:  map[medlarid.InstanceID]medlarid.Address{},
	}
}

// Listed reports whether the instance list has named an upstream once.
func (w *Watch) Listed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listed
}

// StoreAddress returns the address of a store, or an empty one.
func (w *Watch) StoreAddress(id medlarid.InstanceID) medlarid.Address {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stores[id]
}

// Entries returns the entry instances of the list that are not leaving.
func (w *Watch) Entries() []Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries
}

// BlockBytes returns the size of a block of an engine, or 0 when not known.
func (w *Watch) BlockBytes(id medlarid.InstanceID) medlarid.Bytes {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.engines[id]; e != nil {
		return e.block
	}
	return 0
}

// Run reads until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	tick := time.NewTicker(w.poll)
	defer tick.Stop()
	for {
		w.readList(ctx)
		select {
		case <-ctx.Done():
			w.wg.Wait()
			return
		case <-tick.C:
		}
	}
}

// readList reads the instance list (R1).
func (w *Watch) readList(ctx context.Context) {
	l, err := w.seams.Instances.List()
	if err != nil {
		w.seams.Failed("instances")
		return
	}
	members := make([]medlarworld.Member, 0, len(l.Instances))
	for _, i := range l.Instances {
		members = append(members, member(i))
	}
	w.follow(ctx, l)
	w.seams.Post(medlarworld.Listed{Members: members, Peers: w.seams.Entries(w.Entries())})
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

// follow starts and ends the reading of engines as the list says.
func (w *Watch) follow(ctx context.Context, l medlarinstance.List) {
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
			w.startEngine(ctx, i)
		}
	}
	for id, e := range w.engines {
		if !seen[id] {
			e.cancel()
			delete(w.engines, id)
		}
	}
}

// startEngine begins to read an engine, anew if its address changed.
func (w *Watch) startEngine(ctx context.Context, i medlarinstance.Instance) {
	if e := w.engines[i.ID]; e != nil {
		if e.address == i.Address {
			return
		}
		e.cancel()
	}
	own, cancel := context.WithCancel(ctx)
	e := &engine{id: i.ID, address: i.Address, cancel: cancel}
	w.engines[i.ID] = e
	w.wg.Go(func() { w.readEngine(own, e) })
}

// readEngine reads one engine until ctx ends (R2).
func (w *Watch) readEngine(ctx context.Context, e *engine) {
	tick := time.NewTicker(w.poll)
	defer tick.Stop()
	for {
		w.readStatus(e)
		w.readEvents(e)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (w *Watch) readStatus(e *engine) {
	l, err := w.seams.Engines.Status(e.address)
	if err != nil {
		w.seams.Failed("engine")
		return
	}
	w.mu.Lock()
	e.block = l.BlockBytes
	w.mu.Unlock()
	r := medlarworld.Reported{
		Upstream:   e.id,
		Model:      l.Model,
		Version:    l.Version,
		Load:       medlarworld.Load{Running: l.Running, Queued: l.Queued, Slots: l.Slots, Pending: l.Pending},
		Prefill:    l.Prefill,
		BlockBytes: l.BlockBytes,
		Leaving:    l.Leaving,
	}
	if l.Loading {
		r.Version = "" // serves nothing while it loads
	}
	w.seams.Post(r)
}

// readEvents reads what is new in the engine's prefix cache. A new epoch, or
// events that are gone already, makes all that was known about it void.
func (w *Watch) readEvents(e *engine) {
	ev, err := w.seams.Engines.Events(e.address, e.next)
	if err != nil {
		w.seams.Failed("engine")
		return
	}
	reset := e.epoch != ev.Epoch && e.epoch != "" || ev.First > e.next
	if e.epoch != ev.Epoch && e.next > 0 {
		e.next = 0
		e.epoch = ev.Epoch
		w.seams.Post(medlarworld.Cached{Upstream: e.id, Reset: true})
		return
	}
	e.epoch, e.next = ev.Epoch, ev.Next
	if reset {
		w.seams.Post(medlarworld.Cached{Upstream: e.id, Reset: true})
	}
	for _, c := range ev.Events {
		w.seams.Post(medlarworld.Cached{Upstream: e.id, Stored: c.Stored, Evicted: c.Evicted})
	}
}

// Package medlarstorerelay passes the contents of KV stores from the instances that read them to the others.
//
// Rules:
//
//	R1  A subscriber keeps one connection to a reader, for all stores that it gets from there. Each pingInterval it sends
//	    a request with a new number and the stores that it wants. The reader answers at once, and whenever it has read
//	    something.
//	R2  A reader passes on only what it has read itself, so that nothing is relayed twice.
//	R3  A subscriber gets the complete contents of a store first and changes after it. If the reader doesn't keep the
//	    changes since, it sends the complete contents again. Changes that don't follow on what the subscriber has make
//	    the store's contents stale, and end the connection.
//	R4  The reader states how long before its answer the store can have answered at the earliest, by a clock that
//	    includes suspended time. The subscriber subtracts this age from the time at which it sent the request whose
//	    number is in the answer. So no delay at the reader or on the way makes contents appear newer.
//	R5  Contents of a store are passed to the core from one source at a time (medlarreader, R7). Those of the next source
//	    replace them once they are complete, and dated no earlier than what is known already: an earlier list may have
//	    parts that were freed since. That contents have become stale is passed on at once.
//	R6  Everything that another instance can make this one hold is bounded. A connection that exceeds a bound ends.
package medlarstorerelay

import (
	"bufio"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/peer/medlarreader"
	"medlarfield/internal/peer/medlarstoremessage"
	"medlarfield/internal/peer/medlartunnel"
)

// Times.
const (
	pingInterval     = 200 * time.Millisecond // between two requests on a connection
	planInterval     = 50 * time.Millisecond  // between two plans in a large fleet
	smallInterval    = 500 * time.Millisecond // the same in a small one
	minAdvance       = 20 * time.Millisecond  // a report whose date alone has advanced, by less, is not passed to the core
	requestTimeLimit = 400 * time.Millisecond // to write a request
)

// maxPings is the number of unanswered requests at which a connection ends.
const maxPings = 64

// Instance is another live instance that can be asked for the contents of stores.
type Instance struct {
	ID   medlarid.InstanceID
	Zone medlarid.Zone
	Peer medlartunnel.Peer
}

// Deps are what a Relay depends on.
type Deps struct {
	Self medlarid.InstanceID
	Zone medlarid.Zone
	// Instances returns the other live instances, sorted by id.
	Instances func() []Instance
	// Stores returns the stores whose contents the instance needs.
	Stores func() []medlarid.InstanceID
	// Subscribe opens a connection to a reader.
	Subscribe func(context.Context, medlartunnel.Peer) (net.Conn, error)
	Post      func(medlarworld.Event)
	// OnDirect is called when the stores that the instance reads itself have changed.
	OnDirect func()
	// OnRead is called for each report of another instance that is passed to the core.
	OnRead func()
	// Suspended returns the total time for which the instance has been suspended.
	Suspended func() time.Duration
	Publisher *Publisher
}

// Relay decides from where the contents of stores come, and passes them to the core. It is safe for concurrent use.
type Relay struct {
	deps Deps

	mu          sync.Mutex
	table       *medlarreader.Table
	instances   map[medlarid.InstanceID]Instance
	direct      map[medlarid.InstanceID]bool
	turns       map[medlarid.InstanceID]turn
	conns       map[medlarid.InstanceID]*conn
	contents    map[medlarid.InstanceID]*contents
	generations uint64 // given to subscriptions
}

// turn is a period in which this instance reads a store itself.
type turn struct {
	number uint64 // increases when a turn ends
	over   bool   // the instance does not read the store at present
}

// contents is the state of a store's contents as passed to the core.
type contents struct {
	conn    *conn     // that they came from; nil if from this instance, or from a reader that no longer reads the store
	own     bool      // this instance has read them itself
	dated   time.Time // latest date
	staleAt time.Time // when they last became stale
	stale   bool      // the last report had no date
	epoch   uint64
}

// conn is a connection to a reader.
type conn struct {
	instance Instance
	cancel   context.CancelFunc
	wake     chan struct{}
	nonce    uint64          // of the last request
	pings    map[uint64]ping // unanswered requests, by number
	stores   map[medlarid.InstanceID]*subscription
}

// ping is when a request was sent.
type ping struct {
	at        time.Time
	suspended time.Duration
}

// subscription is what a connection has carried of a store.
type subscription struct {
	generation uint64
	listed     bool // a list has begun
	sequence   uint64
	// pending are the contents until they are passed to the core; nil afterwards.
	pending map[medlarkey.Key]medlarid.Tokens
}

// New returns a Relay that has read nothing.
func New(deps Deps) *Relay {
	return &Relay{
		deps: deps, table: medlarreader.New(deps.Self, deps.Zone), conns: map[medlarid.InstanceID]*conn{},
		contents: map[medlarid.InstanceID]*contents{}, turns: map[medlarid.InstanceID]turn{},
	}
}

// Run subscribes to readers until ctx is done.
func (r *Relay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := smallInterval
		if r.update(ctx) {
			interval = planInterval
		}
		medlarpause.For(ctx, interval)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.cancel()
	}
}

// Reads reports whether the instance reads a store itself. With another turn than before the store has to be listed anew.
func (r *Relay) Reads(store medlarid.InstanceID) (turn uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.turns[store].number, !r.table.Few() || r.direct[store]
}

// Few reports whether few instances read each store.
func (r *Relay) Few() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Few()
}

// update carries out what the table of readers decides, and reports whether few instances read each store.
func (r *Relay) update(ctx context.Context) bool {
	instances, stores := r.deps.Instances(), r.deps.Stores()
	r.mu.Lock()
	fleet := make([]medlarreader.Instance, 0, len(instances))
	r.instances = make(map[medlarid.InstanceID]Instance, len(instances))
	for _, i := range instances {
		fleet = append(fleet, medlarreader.Instance{ID: i.ID, Zone: i.Zone, Start: uint64(i.Peer.Key)})
		r.instances[i.ID] = i
	}
	r.table.SetFleet(fleet)
	r.table.SetStores(stores)
	maps.DeleteFunc(r.contents, func(id medlarid.InstanceID, _ *contents) bool { return !slices.Contains(stores, id) })
	plan := r.table.Plan(time.Now())
	changed := !maps.Equal(plan.Direct, r.direct)
	r.direct = plan.Direct
	r.count(stores)
	r.subscribe(ctx, plan.Subscribe)
	few := r.table.Few()
	r.mu.Unlock()
	r.deps.Publisher.Keep(func(id medlarid.InstanceID) bool { return plan.Direct[id] })
	if changed && few {
		r.deps.OnDirect()
	}
	return few
}

// count ends the turns of stores that the instance does not read any more. The caller holds the lock.
func (r *Relay) count(stores []medlarid.InstanceID) {
	for _, id := range stores {
		t := r.turns[id]
		if !r.direct[id] && !t.over {
			t.number++
		}
		t.over = !r.direct[id]
		r.turns[id] = t
	}
	maps.DeleteFunc(r.turns, func(id medlarid.InstanceID, _ turn) bool { return !slices.Contains(stores, id) })
}

// subscribe opens and closes connections as planned. The caller holds the lock.
func (r *Relay) subscribe(ctx context.Context, plan map[medlarid.InstanceID][]medlarid.InstanceID) {
	for id, c := range r.conns {
		if _, ok := plan[id]; !ok || r.instances[id] != c.instance {
			c.cancel()
			delete(r.conns, id)
		}
	}
	for id, stores := range plan {
		c := r.conns[id]
		if c == nil {
			one, cancel := context.WithCancel(ctx)
			c = &conn{
				instance: r.instances[id], cancel: cancel, wake: make(chan struct{}, 1), pings: map[uint64]ping{},
				stores: map[medlarid.InstanceID]*subscription{},
			}
			r.conns[id] = c
			go r.follow(one, c)
		}
		r.want(c, stores)
	}
}

// want sets the stores that a connection carries. The caller holds the lock.
func (r *Relay) want(c *conn, stores []medlarid.InstanceID) {
	n := len(c.stores)
	maps.DeleteFunc(c.stores, func(id medlarid.InstanceID, _ *subscription) bool { return !slices.Contains(stores, id) })
	changed := len(c.stores) != n
	for _, id := range stores[:min(len(stores), medlarstoremessage.MaxStores)] {
		if c.stores[id] == nil {
			r.generations++
			c.stores[id] = &subscription{generation: r.generations}
			changed = true
		}
	}
	if changed {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// follow opens a connection and reads from it until it ends.
func (r *Relay) follow(ctx context.Context, c *conn) {
	defer r.ended(c)
	nc, err := r.deps.Subscribe(ctx, c.instance.Peer)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = nc.Close() })()
	defer func() { _ = nc.Close() }()
	go func() {
		r.request(ctx, c, nc)
		_ = nc.Close()
	}()
	in := bufio.NewReader(nc)
	for {
		b, err := medlarstoremessage.Read(in, medlarstoremessage.MaxAnswer)
		if err != nil {
			return
		}
		a, err := medlarstoremessage.DecodeAnswer(b)
		if err != nil || !r.applyAnswer(c, a) {
			return
		}
	}
}

// ended records the end of a connection that is still wanted.
func (r *Relay) ended(c *conn) {
	c.cancel()
	r.mu.Lock()
	id := c.instance.ID
	wanted := r.conns[id] == c
	if wanted {
		delete(r.conns, id)
		r.table.Failed(time.Now(), id)
	}
	r.mu.Unlock()
}

// request sends requests until the connection ends.
func (r *Relay) request(ctx context.Context, c *conn, nc net.Conn) {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		q, ok := r.nextRequest(c)
		if !ok {
			return
		}
		_ = nc.SetWriteDeadline(time.Now().Add(requestTimeLimit))
		if medlarstoremessage.Write(nc, q.Encode()) != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-c.wake:
		}
	}
}

// nextRequest returns the next request on a connection; ok is false if too many are unanswered.
func (r *Relay) nextRequest(c *conn) (q medlarstoremessage.Request, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(c.pings) >= maxPings {
		return q, false
	}
	c.nonce++
	q.Nonce = c.nonce
	for id, s := range c.stores {
		q.Wants = append(q.Wants, medlarstoremessage.Want{Store: id, Generation: s.generation})
	}
	c.pings[c.nonce] = ping{at: time.Now(), suspended: least(r.deps.Suspended)} // before it is sent
	return q, true
}

// applyAnswer applies an answer and reports whether the connection goes on.
func (r *Relay) applyAnswer(c *conn, a medlarstoremessage.Answer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns[c.instance.ID] != c {
		return false
	}
	sent, ok := c.pings[a.Nonce]
	if !ok {
		return false
	}
	maps.DeleteFunc(c.pings, func(n uint64, _ ping) bool { return n < a.Nonce }) // earlier requests are not answered any more
	now := time.Now()
	r.table.Heard(now, c.instance.ID)
	for i := range a.Lists {
		if !c.applyPiece(&a.Lists[i]) {
			return false
		}
	}
	// The core's clock does not include suspended time.
	sent.at = sent.at.Add(sent.suspended - r.deps.Suspended())
	for i := range a.States {
		if !r.applyState(now, c, &a.States[i], sent.at) {
			return false
		}
	}
	return true
}

// applyPiece applies a piece of a list and reports whether it follows on what was received. The caller holds the lock.
func (c *conn) applyPiece(p *medlarstoremessage.Report) bool {
	s := c.stores[p.Store]
	if s == nil || s.generation != p.Generation {
		return true // not wanted any more
	}
	if p.First {
		s.pending, s.listed, s.sequence = map[medlarkey.Key]medlarid.Tokens{}, true, p.Sequence
	}
	if s.pending == nil || s.sequence != p.Sequence {
		return false
	}
	for _, a := range p.Added {
		s.pending[a.Key] = a.Tokens
	}
	return len(s.pending) <= medlarstoremessage.MaxParts
}

// applyState applies the state of a store, whose age counts back from a time, and reports whether it follows on what was
// received. The caller holds the lock.
func (r *Relay) applyState(now time.Time, c *conn, p *medlarstoremessage.Report, from time.Time) bool {
	s := c.stores[p.Store]
	if s == nil || s.generation != p.Generation {
		return true
	}
	held := r.contents[p.Store]
	if held == nil {
		held = &contents{}
		r.contents[p.Store] = held
	}
	if p.Status == medlarstoremessage.StatusAbsent {
		s.pending, s.listed = nil, false
		r.table.Absent(now, c.instance.ID, p.Store)
		if held.conn == c {
			held.conn = nil // what it has sent stays valid until it expires
		}
		return true
	}
	if !s.listed || s.sequence != p.Base {
		if held.conn == c {
			r.pass(now, held, medlarworld.InventoryReported{Store: p.Store, Epoch: p.Epoch})
		}
		return false
	}
	s.sequence = p.Sequence
	e := medlarworld.InventoryReported{Store: p.Store, Epoch: p.Epoch, Added: p.Added, Removed: p.Removed}
	if p.Status == medlarstoremessage.StatusDated {
		e.At = from.Add(-p.Age)
		r.table.Dated(now, c.instance.ID, p.Store)
	} else {
		r.table.Unavailable(c.instance.ID, p.Store)
	}
	if s.pending != nil {
		r.deliver(now, c, s, held, e)
		return true
	}
	if held.conn != c { // another source has replaced it
		r.generations++
		*s = subscription{generation: r.generations}
		return true
	}
	if len(e.Added)+len(e.Removed) > 0 || e.Epoch != held.epoch || e.At.IsZero() != held.stale || e.At.Sub(held.dated) >= minAdvance {
		if !e.At.IsZero() && e.At.Before(held.dated) {
			e.At = held.dated // this answer came later after its request than the one before, so that its date is earlier
		}
		r.pass(now, held, e)
	}
	return true
}

// deliver adds changes to contents that are not passed to the core yet, and passes them if they may replace what is
// known (R5). The caller holds the lock.
func (r *Relay) deliver(now time.Time, c *conn, s *subscription, held *contents, e medlarworld.InventoryReported) {
	for _, k := range e.Removed {
		delete(s.pending, k)
	}
	for _, a := range e.Added {
		s.pending[a.Key] = a.Tokens
	}
	if e.At.IsZero() || e.At.Before(held.dated) || e.At.Before(held.staleAt) {
		if held.conn == c && (e.At.IsZero() || e.Epoch != held.epoch) && !(held.stale && held.epoch == e.Epoch) {
			r.pass(now, held, medlarworld.InventoryReported{Store: e.Store, Epoch: e.Epoch})
		}
		return
	}
	if !r.table.Deliver(c.instance.ID, e.Store) {
		return
	}
	e.Reset, e.Added, e.Removed = true, make([]medlarinventory.StoredPart, 0, len(s.pending)), nil
	for k, n := range s.pending {
		e.Added = append(e.Added, medlarinventory.StoredPart{Key: k, Tokens: n})
	}
	s.pending, held.conn, held.own = nil, c, false
	r.pass(now, held, e)
}

// pass passes a report to the core. The caller holds the lock.
func (r *Relay) pass(now time.Time, held *contents, e medlarworld.InventoryReported) {
	held.record(now, e)
	r.deps.OnRead()
	r.deps.Post(e)
}

// record records a report that is passed to the core.
func (h *contents) record(now time.Time, e medlarworld.InventoryReported) {
	h.epoch, h.stale = e.Epoch, e.At.IsZero()
	if h.stale {
		h.staleAt = now
	} else if e.At.After(h.dated) {
		h.dated = e.At
	}
}

// Report handles what this instance has read from a store itself: passes it to the core and to subscribers.
func (r *Relay) Report(e medlarworld.InventoryReported) {
	r.mu.Lock()
	defer r.mu.Unlock()
	few := r.table.Few()
	if few && !r.direct[e.Store] {
		return // of a call that was in progress when another instance became the source
	}
	r.deps.Publisher.Report(e)
	held := r.contents[e.Store]
	if held == nil {
		held = &contents{}
		r.contents[e.Store] = held
	}
	if e.Reset {
		if held.conn != nil && (e.At.Before(held.dated) || e.At.Before(held.staleAt)) {
			e.At = time.Time{} // the next report has a later date (R5)
		}
		held.conn, held.own = nil, true
	}
	if !held.own && (few || held.conn != nil) {
		return // not listed yet
	}
	r.table.Deliver(r.deps.Self, e.Store)
	held.record(time.Now(), e)
	r.deps.Post(e)
}

// Package medlardialer opens connections to replicas, directly or through other instances, and relays those of
// other instances.
//
// Rules:
//
//	R1  medlarreach decides by which path; how each try ended is reported to it.
//	R2  A direct connection that is late continues to its end although another instance was faster, so that it is known
//	    how it ended.
//	R3  What a replica states about further requests is passed to the instances that relay to it, and to those for which
//	    this one does: the replica counts their requests as this one's. What arrived from another instance is passed to
//	    the latter only, and not back.
package medlardialer

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarmemory"
	"medlarfield/internal/core/medlarreach"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarpath"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/ops/medlaravoidance"
	"medlarfield/internal/peer/medlarstorerelay"
	"medlarfield/internal/peer/medlartunnel"
)

// Times.
const (
	keepInterval     = time.Second            // between two looks for replicas that are gone
	relayTimeout     = 700 * time.Millisecond // to find another instance that reaches a replica
	forPeerTimeout   = 250 * time.Millisecond // to open a connection for another instance, which waits a little longer
	retryTimeout     = 500 * time.Millisecond // to get an answer on a path that is broken
	hintTimeout      = time.Second            // to pass on what a replica has said
	relayMemory      = time.Minute            // longer than any answer is awaited on a connection that is relayed
	ownProofTimeout  = time.Second            // of a call that examines a path
	proofPatience    = 250 * time.Millisecond // after which other instances are asked meanwhile
	proofGrace       = 150 * time.Millisecond // for the answer to this instance, once another one has got its own
	peerProofTimeout = 300 * time.Millisecond // of a call for another instance, which waits a little longer
	provenTTL        = time.Second            // for which an answer proves a path on which connections are opened for others
)

// Replica is what the registry knows of a replica.
type Replica struct {
	Incarnation medlarid.Incarnation
	Address     medlarid.Address
	Leaving     bool
}

// Deps are what a Dialer depends on.
type Deps struct {
	Self   medlarid.InstanceID
	Zone   medlarid.Zone
	Key    medlartunnel.Key
	Client *medlartunnel.Client
	Memory *medlarmemory.Account // for connections that are relayed; nil for no bound
	// Dial opens a direct connection.
	Dial func(context.Context, medlarid.Address) (net.Conn, error)
	// Prove makes a call to a replica on a new connection, and returns nil once a byte of the answer has arrived.
	Prove func(net.Conn) error
	// Publish passes the contents of KV stores to another instance until the connection ends; nil if this one does not.
	Publish func(net.Conn)
	// OnDial is called with how each attempt to open a direct connection ended, OnAsked with what each instance that
	// was asked for one has stated, and OnRequest with what this one has stated to another.
	OnDial    func(medlarreach.Outcome)
	OnAsked   func(medlarreach.Outcome)
	OnRequest func(medlartunnel.Result)
	// OnProof is called with how each call that proves a path has ended.
	OnProof  func(medlarreach.Outcome)
	OnChange func(medlarreach.Change)
}

// Dialer opens connections to replicas. It is safe for concurrent use.
type Dialer struct {
	deps    Deps
	server  *medlartunnel.Server
	avoided *medlaravoidance.Table
	paths   *medlarpath.Paths

	// These are set by Connect.
	lookup func(medlarid.InstanceID) (Replica, bool)
	post   func(medlarworld.Event)
	pool   *medlarpool.Pool

	mu      sync.Mutex
	table   *medlarreach.Table
	peers   map[medlarid.InstanceID]medlartunnel.Peer
	zones   map[medlarid.InstanceID]medlarid.Zone // of peers
	relayed map[relay]time.Time                   // when a connection that is relayed was used last
	wake    chan struct{}                         // has an element if a path may be broken or suspected
	polling bool                                  // Run looks for such paths
	keptAt  time.Time                             // when the paths to replicas that are gone were forgotten last
}

// relay is an instance that relays to a replica.
type relay struct{ replica, by medlarid.InstanceID }

// New returns a Dialer that knows no other instances. Connect is called before it is used.
func New(deps Deps) *Dialer {
	d := &Dialer{
		deps:    deps,
		table:   medlarreach.New(deps.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		peers:   map[medlarid.InstanceID]medlartunnel.Peer{},
		zones:   map[medlarid.InstanceID]medlarid.Zone{},
		relayed: map[relay]time.Time{},
		wake:    make(chan struct{}, 1),
	}
	d.avoided = medlaravoidance.New(d.exists)
	d.server = medlartunnel.NewServer(medlartunnel.Deps{
		Key: deps.Key, Memory: deps.Memory, Dial: d.dialForPeer, Prove: d.proveForPeer, OnHint: d.takeHint, Publish: deps.Publish,
		OnRequest: func(_, _ medlarid.InstanceID, r medlartunnel.Result) { deps.OnRequest(r) },
	})
	d.paths = medlarpath.New(medlarpath.Deps{
		Dial: deps.Dial, Prove: deps.Prove, OnDial: deps.OnDial, OnProof: deps.OnProof, Sent: d.sent, Got: d.got, Left: d.left,
	})
	return d
}

// Connect sets where replicas are looked up, where events go, and the pool that uses the dialer.
func (d *Dialer) Connect(lookup func(medlarid.InstanceID) (Replica, bool), post func(medlarworld.Event), pool *medlarpool.Pool) {
	d.lookup, d.post, d.pool = lookup, post, pool
}

// Server returns the server that relays for other instances.
func (d *Dialer) Server() *medlartunnel.Server { return d.server }

// SetPeer records another instance that may relay; one without an address for that is removed.
func (d *Dialer) SetPeer(id medlarid.InstanceID, p medlarnotice.Peer) {
	if id == d.deps.Self {
		return
	}
	d.mu.Lock()
	old := d.peers[id]
	next := medlartunnel.Peer{Address: p.Relay, Key: medlartunnel.Key(p.Key)}
	if p.Relay == "" {
		delete(d.peers, id)
		delete(d.zones, id)
		d.table.RemovePeer(id)
	} else if old != next {
		d.peers[id], d.zones[id] = next, p.Zone
		d.table.SetPeer(medlarreach.Peer{ID: id, Zone: p.Zone})
	}
	d.mu.Unlock()
	if old != (medlartunnel.Peer{}) && old != next {
		d.pool.CloseVia(id) // it stops, or has started again
	}
}

// Peers returns the other instances that may relay.
func (d *Dialer) Peers() []medlarid.InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.peers))
}

// Instances returns the other instances that may relay, with their zones, sorted by id.
func (d *Dialer) Instances() []medlarstorerelay.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]medlarstorerelay.Instance, 0, len(d.peers))
	for _, id := range slices.Sorted(maps.Keys(d.peers)) {
		out = append(out, medlarstorerelay.Instance{ID: id, Zone: d.zones[id], Peer: d.peers[id]})
	}
	return out
}

// Cut reports whether the instance is cut off from the replicas.
func (d *Dialer) Cut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Cut()
}

// Broken returns the number of replicas that this instance does not reach while others do.
func (d *Dialer) Broken() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Broken()
}

// Usable reports whether an idle connection may be used. One that is relayed is not once the direct path works again.
func (d *Dialer) Usable(c *medlarpool.Conn) bool {
	medlarpath.Reuse(c.Conn)
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Via == "" {
		return d.table.KeepsOpen(c.Target.ID)
	}
	if _, known := d.peers[c.Via]; !known || d.table.Works(c.Target.ID) {
		return false
	}
	d.relayed[relay{c.Target.ID, c.Via}] = time.Now()
	return true
}

// Run examines suspected paths and tries broken ones again until ctx is done.
func (d *Dialer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		for next := d.look(ctx); next > 0; next = d.look(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(next):
			}
		}
	}
}

// look starts what is due on suspected and broken paths, and returns the time until the next look; 0 if there is
// nothing to look for.
func (d *Dialer) look(ctx context.Context) time.Duration {
	now := time.Now()
	d.mu.Lock()
	if now.Sub(d.keptAt) > keepInterval {
		d.keptAt = now
		d.table.Keep(d.exists)
	}
	suspects, soon := d.table.Suspects(now)
	due, next := d.table.Retries(now)
	if next == 0 || soon > 0 && soon < next {
		next = soon
	}
	d.polling = next > 0
	d.unlock()
	for _, id := range suspects {
		go d.examine(ctx, id)
	}
	for _, id := range due {
		go d.retryPath(ctx, id)
	}
	return next
}

// retryPath tries a path that is broken, for no request.
func (d *Dialer) retryPath(ctx context.Context, id medlarid.InstanceID) {
	if r, ok := d.lookup(id); ok {
		d.paths.Prove(ctx, id, r.Address, retryTimeout)
	}
	d.mu.Lock()
	defer d.unlock()
	d.table.Retried(time.Now(), id)
}

// unlock releases the lock and reports the changes.
func (d *Dialer) unlock() {
	changes := d.table.TakeChanges()
	d.mu.Unlock()
	for _, c := range changes {
		d.deps.OnChange(c)
	}
	if len(changes) > 0 {
		d.signal()
	}
}

// signal makes Run look for paths that are suspected or broken.
func (d *Dialer) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// errUnreached is the error of a connection that no instance has opened.
var errUnreached = eris.New("neither this instance nor another one reaches the replica")

// Dial opens a connection to a replica, and returns the instance that relays it; empty for a direct one.
func (d *Dialer) Dial(ctx context.Context, t medlarpool.Target) (net.Conn, medlarid.InstanceID, error) {
	d.mu.Lock()
	plan := d.table.Plan(time.Now(), t.ID)
	d.mu.Unlock()
	o := &opening{dialer: d, ctx: ctx, target: t, results: make(chan result, 2)}
	r := o.open(plan)
	return r.conn, r.via, r.err
}

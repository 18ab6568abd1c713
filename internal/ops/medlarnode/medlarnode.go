// Package medlarnode builds an entry instance from its settings and runs it.
//
// Rules:
//
//	R1  An instance is ready when it has read the lists and the claims up to the end
//	    of the log and the instance list has named an upstream. During an outage of
//	    the log it stays ready, with the lists that it has.
//	R2  A graceful stop has these steps in order: the instance becomes unready,
//	    refuses new runs, waits for open requests, closes connections, and appends
//	    pending records to the log.
//	R3  A second signal, or the drain limit of the settings, cuts open requests and
//	    ends the stop; the log line has their number.
package medlarnode

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/agree/medlaraudit"
	"medlarfield/internal/agree/medlarclaim"
	"medlarfield/internal/agree/medlarfollower"
	"medlarfield/internal/agree/medlarlease"
	"medlarfield/internal/agree/medlarpublish"
	"medlarfield/internal/agree/medlarstate"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarorder"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarapi"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/edge/medlartransfer"
	"medlarfield/internal/ops/medlarloop"
	"medlarfield/internal/ops/medlarpeers"
	"medlarfield/internal/ops/medlarpoller"
	"medlarfield/internal/ops/medlarreconciler"
	"medlarfield/internal/ops/medlarsettings"
)

// largeChange is the number of entries of a change above which memory is returned to
// the operating system after the change has been read.
const largeChange = 1000

// closeTimeout is the limit for closing connections after the last request.
const closeTimeout = 5 * time.Second

// Node is an entry instance.
type Node struct {
	cfg         medlarsettings.Settings
	log         zerolog.Logger
	metrics     *medlarmetric.Metrics
	loop        *medlarloop.Loop
	poller      *medlarpoller.Poller
	transfer    *medlartransfer.Transfer
	state       *medlarstate.State
	claimer     *medlarclaim.Claimer
	followers   *StreamFollowers
	snapshotter *medlarpublish.Snapshotter
	reporter    *medlaraudit.Reporter
	elector     *medlarlease.Elector
	reconciler  *medlarreconciler.Reconciler
	peers       *medlarpeers.Peers // nil without peers
	api         *medlarapi.API

	server         *fasthttp.Server
	status         *fasthttp.Server
	listener       net.Listener
	statusListener net.Listener
	draining       atomic.Bool
	claimsRead     atomic.Bool     // the claims have been read to their end once
	appliedVersion medlarid.Offset // lists version last reported to the core
	wg             sync.WaitGroup
}

// StreamFollowers holds the followers of the log's streams.
type StreamFollowers struct {
	Lists  *medlarfollower.Follower
	Claims *medlarfollower.Follower
	Leases *medlarfollower.Follower
}

// Address returns the address that callers connect to. Start must have returned.
func (n *Node) Address() medlarid.Address { return medlarid.Address(n.listener.Addr().String()) }

// StatusAddress returns the address of metrics, health and status. Start must have
// returned.
func (n *Node) StatusAddress() medlarid.Address {
	return medlarid.Address(n.statusListener.Addr().String())
}

// PeerAddress returns the address that peers connect to, empty without peers.
func (n *Node) PeerAddress() medlarid.Address {
	if n.peers == nil {
		return ""
	}
	return n.peers.Address()
}

// View returns the lists in force.
func (n *Node) View() *medlarstate.View { return n.state.View() }

// Claimer returns the instance's claimer of idempotency keys.
func (n *Node) Claimer() *medlarclaim.Claimer { return n.claimer }

// Ready reports whether the instance can serve (R1).
func (n *Node) Ready() bool {
	status := n.followers.Lists.Status()
	v := n.state.View()
	return !status.LastRead.IsZero() && n.claimsRead.Load() && v.Ready && v.Version > 0 && n.poller.HasListedUpstream()
}

// Start opens the listeners and begins to serve. The instance runs until stop is
// called.
func (n *Node) Start(ctx context.Context) (stop func(context.Context) error, err error) {
	if err := n.listen(); err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithCancel(ctx)
	n.wg.Go(func() { n.loop.Run(runCtx) })
	n.wg.Go(func() { n.claimer.Run(runCtx) }) // appends pending records when it ends
	n.wg.Go(func() { n.elector.Run(runCtx) }) // releases the lease when it ends
	for _, f := range []func(context.Context){
		n.poller.Run, n.transfer.Run, n.followers.Lists.Run, n.followers.Claims.Run, n.snapshotter.Run, n.reporter.Run,
		n.followers.Leases.Run, n.reconciler.Run,
	} {
		go f(runCtx) // not waited for by stop: may be blocked in a call to the platform
	}
	if n.peers != nil {
		n.peers.Start(runCtx)
	}
	go n.serve(n.server, n.listener)
	go n.serve(n.status, n.statusListener)
	n.log.Info().Str("listen", string(n.Address())).Str("status", string(n.StatusAddress())).Msg("started")
	return func(limit context.Context) error { return n.stop(limit, cancel) }, nil
}

func (n *Node) listen() error {
	var err error
	if n.listener, err = net.Listen("tcp", string(n.cfg.Listen)); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	n.listener = stallListener{Listener: n.listener, stall: n.cfg.Limits.WriteTimeout.Std()}
	if n.statusListener, err = net.Listen("tcp", string(n.cfg.Status)); err != nil {
		_ = n.listener.Close()
		return eris.Wrap(err, "listen for status")
	}
	if n.peers == nil {
		return nil
	}
	if err := n.peers.Listen(n.cfg.Peers.Listen); err != nil {
		_ = n.listener.Close()
		_ = n.statusListener.Close()
		return err
	}
	return nil
}

func (n *Node) serve(s *fasthttp.Server, ln net.Listener) {
	if err := s.Serve(ln); err != nil {
		n.log.Error().Err(err).Msg("HTTP server failed")
	}
}

// stop ends the instance gracefully (R2). If limit ends first, open requests are cut
// (R3).
func (n *Node) stop(limit context.Context, cancel context.CancelFunc) error {
	n.draining.Store(true)
	n.log.Info().Int("open", n.loop.OpenRequests()).Msg("draining")
	var cut int
	select {
	case <-n.loop.Drain():
	case <-limit.Done():
		cut = n.loop.OpenRequests()
	}
	closeCtx, closeCancel := context.WithTimeout(context.Background(), closeTimeout)
	defer closeCancel()
	err := n.server.ShutdownWithContext(closeCtx)
	cancel()
	n.wg.Wait()
	if n.peers != nil {
		n.peers.Close()
	}
	_ = n.status.ShutdownWithContext(closeCtx)
	n.log.Info().Int("cut", cut).Msg("stopped")
	if cut > 0 {
		return eris.Errorf("stop deadline exceeded: cut %d open requests", cut)
	}
	return err
}

// reportLists reports the lists in force to the core, after each read that changed their
// version.
func (n *Node) reportLists() {
	v := n.state.View()
	if !v.Ready || v.Version == n.appliedVersion {
		return
	}
	n.appliedVersion = v.Version
	e := medlarworld.ListsApplied{Version: v.Version}
	for id, m := range v.Lists.Models {
		e.Models = append(e.Models, medlarworld.Model{ID: id, Version: m.Version})
	}
	n.loop.Post(e)
	n.metrics.SetVersion(v.Version)
	n.reporter.Applied(v.Version)
	n.log.Info().Uint64("version", uint64(v.Version)).Msg("configuration in force")
	if last := v.History[len(v.History)-1]; last.Changes > largeChange {
		debug.FreeOSMemory() // the memory used to read whole lists is not needed again
	}
}

// desiredVersions returns the desired weight versions, as the lists in force set them.
func (n *Node) desiredVersions() medlarreconciler.DesiredVersions {
	desired := medlarreconciler.DesiredVersions{}
	for id, m := range n.state.View().Lists.Models {
		desired[id] = m.Version
	}
	return desired
}

// onOrder counts and logs an order to an engine, and its error if it failed.
func (n *Node) onOrder(o medlarorder.Order, err error) {
	n.metrics.Ordered(err == nil)
	event := n.log.Info()
	if err != nil {
		event = n.log.Warn().Err(err)
	}
	event.Str("upstream", string(o.Replica)).Str("model", string(o.Model)).Str("weights", string(o.Version)).Msg("ordered an engine to load weights")
}

// rank returns the instance's rank for writing the snapshot after an offset, by
// rendezvous hashing of the listed entry instances; the first has rank 0. The lease is
// claimed by the rank for offset 0.
func (n *Node) rank(after medlarid.Offset) int {
	var k medlarkey.Key
	for i := range 8 {
		k[i] = byte(after >> (8 * i))
	}
	own := medlarkey.Rendezvous(k, n.cfg.Name)
	rank := 0
	for _, e := range n.poller.Entries() {
		if e.ID != n.cfg.Name && medlarkey.Rendezvous(k, e.ID) > own {
			rank++
		}
	}
	return rank
}

// stallListener limits how long a write may block on a caller that does not read.
type stallListener struct {
	net.Listener
	stall time.Duration
}

// Accept returns the next connection.
func (l stallListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallConn{Conn: c, stall: l.stall}, nil
}

type stallConn struct {
	net.Conn
	stall time.Duration
}

// Write writes b with a deadline of the stall limit from now.
func (c *stallConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// NetConn returns the wrapped connection.
func (c *stallConn) NetConn() net.Conn { return c.Conn }

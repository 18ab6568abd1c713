// Package medlarnode builds an entry instance from its settings and runs it.
//
// Rules:
//
//	R1  An instance is ready when it has read the lists up to the end of the log
//	    and the instance list has named an upstream. It stays ready in an outage
//	    of the log, with the lists that it has.
//	R2  A graceful stop goes in this order: unready, no new runs, open requests
//	    end, connections close, what the log is still owed is appended.
//	R3  A second signal, or the limit of the settings, ends the stop; the log line
//	    says how many requests were cut.
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
	"medlarfield/internal/edge/medlarcaller"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/edge/medlartransfer"
	"medlarfield/internal/ops/medlarloop"
	"medlarfield/internal/ops/medlarpeers"
	"medlarfield/internal/ops/medlarreconciler"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/ops/medlarwatch"
)

// largeChange is the number of entries of a change above which memory is given
// back to the system.
const largeChange = 1000

// closeTimeout bounds the closing of connections after the last request.
const closeTimeout = 5 * time.Second

// Node is an entry instance.
type Node struct {
	cfg      medlarsettings.Settings
	log      zerolog.Logger
	metrics  *medlarmetric.Metrics
	loop     *medlarloop.Loop
	watch    *medlarwatch.Watch
	transfer *medlartransfer.Transfer
	state    *medlarstate.State
	desk     *medlarclaim.Claimer
	readers  *StreamFollowers
	keeper   *medlarpublish.Snapshotter
	reporter *medlaraudit.Reporter
	lease    *medlarlease.Elector
	duty     *medlarreconciler.Reconciler
	peers    *medlarpeers.Peers // nil for an instance without peers
	caller   *medlarcaller.Caller

	server   *fasthttp.Server
	status   *fasthttp.Server
	listener net.Listener
	statusLn net.Listener
	draining atomic.Bool
	applied  medlarid.Offset // version that the core was told last
	wg       sync.WaitGroup
}

// StreamFollowers are the followers of the streams.
type StreamFollowers struct {
	Lists  *medlarfollower.Follower
	Claims *medlarfollower.Follower
	Leases *medlarfollower.Follower
}

// Address returns the address that callers reach, once Start has returned.
func (n *Node) Address() medlarid.Address { return medlarid.Address(n.listener.Addr().String()) }

// StatusAddress returns the address of metrics and health.
func (n *Node) StatusAddress() medlarid.Address {
	return medlarid.Address(n.statusLn.Addr().String())
}

// PeerAddress returns the address for peers, empty without them.
func (n *Node) PeerAddress() medlarid.Address {
	if n.peers == nil {
		return ""
	}
	return n.peers.Address()
}

// View returns the lists in force.
func (n *Node) View() *medlarstate.View { return n.state.View() }

// Claimer returns the instance's claims.
func (n *Node) Claimer() *medlarclaim.Claimer { return n.desk }

// Ready reports whether the instance can serve (R1).
func (n *Node) Ready() bool {
	st := n.readers.Lists.Status()
	v := n.state.View()
	return !st.LastRead.IsZero() && v.Ready && v.Version > 0 && n.watch.Listed()
}

// Start opens the listeners and begins to serve. The instance runs until Stop.
func (n *Node) Start(ctx context.Context) (stop func(context.Context) error, err error) {
	if err := n.listen(); err != nil {
		return nil, err
	}
	run, cancel := context.WithCancel(ctx)
	n.wg.Go(func() { n.loop.Run(run) })
	n.wg.Go(func() { n.desk.Run(run) })  // appends what is left when it ends
	n.wg.Go(func() { n.lease.Run(run) }) // releases the lease when it ends
	for _, f := range []func(context.Context){
		n.watch.Run, n.transfer.Run, n.readers.Lists.Run, n.readers.Claims.Run, n.keeper.Run, n.reporter.Run,
		n.readers.Leases.Run, n.duty.Run,
	} {
		go f(run) // may be waiting for the platform when the instance stops
	}
	if n.peers != nil {
		n.peers.Start(run)
	}
	go n.serve(n.server, n.listener)
	go n.serve(n.status, n.statusLn)
	n.log.Info().Str("listen", string(n.Address())).Str("status", string(n.StatusAddress())).Msg("started")
	return func(limit context.Context) error { return n.stop(limit, cancel) }, nil
}

func (n *Node) listen() error {
	var err error
	if n.listener, err = net.Listen("tcp", string(n.cfg.Listen)); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	n.listener = stallListener{Listener: n.listener, stall: n.cfg.Limits.Stall.Std()}
	if n.statusLn, err = net.Listen("tcp", string(n.cfg.Status)); err != nil {
		_ = n.listener.Close()
		return eris.Wrap(err, "listen for status")
	}
	if n.peers == nil {
		return nil
	}
	if err := n.peers.Listen(n.cfg.Peers.Listen); err != nil {
		_ = n.listener.Close()
		_ = n.statusLn.Close()
		return err
	}
	return nil
}

func (n *Node) serve(s *fasthttp.Server, ln net.Listener) {
	if err := s.Serve(ln); err != nil {
		n.log.Error().Err(err).Msg("server ended")
	}
}

// stop ends the instance gracefully (R2). When limit ends first, what is open is
// cut (R3).
func (n *Node) stop(limit context.Context, cancel context.CancelFunc) error {
	n.draining.Store(true)
	n.log.Info().Int("open", n.loop.OpenRequests()).Msg("draining")
	var cut int
	select {
	case <-n.loop.Drain():
	case <-limit.Done():
		cut = n.loop.OpenRequests()
	}
	closing, done := context.WithTimeout(context.Background(), closeTimeout)
	defer done()
	err := n.server.ShutdownWithContext(closing)
	cancel()
	n.wg.Wait()
	if n.peers != nil {
		n.peers.Close()
	}
	_ = n.status.ShutdownWithContext(closing)
	n.log.Info().Int("cut", cut).Msg("stopped")
	if cut > 0 {
		return eris.Errorf("the stop cut %d requests", cut)
	}
	return err
}

// inForce tells the core about the lists in force after the reader has moved.
func (n *Node) inForce() {
	v := n.state.View()
	if !v.Ready || v.Version == n.applied {
		return
	}
	n.applied = v.Version
	e := medlarworld.ListsApplied{Version: v.Version}
	for id, m := range v.Lists.Models {
		e.Models = append(e.Models, medlarworld.Model{ID: id, Version: m.Version})
	}
	n.loop.Post(e)
	n.metrics.InForce(v.Version)
	n.reporter.Applied(v.Version)
	n.log.Info().Uint64("version", uint64(v.Version)).Msg("configuration in force")
	if last := v.History[len(v.History)-1]; last.Changes > largeChange {
		debug.FreeOSMemory() // what reading a whole list took is not needed again
	}
}

// wanted returns the weight versions that the lists in force want.
func (n *Node) wanted() medlarreconciler.WantedVersions {
	out := medlarreconciler.WantedVersions{}
	for id, m := range n.state.View().Lists.Models {
		out[id] = m.Version
	}
	return out
}

// ordered counts and logs an order to an engine.
func (n *Node) ordered(o medlarorder.Order, err error) {
	n.metrics.Ordered(err == nil)
	line := n.log.Info()
	if err != nil {
		line = n.log.Warn().Err(err)
	}
	line.Str("upstream", string(o.Replica)).Str("model", string(o.Model)).Str("weights", string(o.Version)).Msg("load ordered")
}

// rank returns the instance's turn to write the snapshot after an offset.
func (n *Node) rank(after medlarid.Offset) int {
	var k medlarkey.Key
	for i := range 8 {
		k[i] = byte(after >> (8 * i))
	}
	own := medlarkey.Rendezvous(k, n.cfg.Name)
	rank := 0
	for _, e := range n.watch.Entries() {
		if e.ID != n.cfg.Name && medlarkey.Rendezvous(k, e.ID) > own {
			rank++
		}
	}
	return rank
}

// stallListener bounds the time that a write waits for a caller that does not
// read.
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

// Write writes with a deadline of its own.
func (c *stallConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// NetConn returns the connection underneath.
func (c *stallConn) NetConn() net.Conn { return c.Conn }

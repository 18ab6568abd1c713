// Package medlardatagram reports to other instances the load that this one puts on upstreams,
// in datagrams.
//
// Rules:
//
//	R1  A datagram is sent to each peer. It may get lost, arrive late or twice: one that is not
//	    newer than the last one of its sender is ignored.
//	R2  A datagram carries its sender's id and key. A peer's address and key are read from
//	    the platform's store, and datagrams with another key are ignored.
//	R3  Peers from which no datagram arrived for silence are tried only now and then.
//	R4  Beyond maxTargets peers load is not sent to all of them: to do so often enough would cost
//	    each instance more than it gains. It is added up on the way instead (medlarsum), whose messages this package
//	    carries. A few random peers get a report without load now and then, which keeps the count of peers
//	    and tells of changes of desired weight versions. An instance that has fewer peers itself
//	    still adds up for others.
//	R5  A peer from which no datagram arrived for forgetAfter is forgotten.
package medlardatagram

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarsum"
	"medlarfield/internal/core/medlarworld"
)

// Times and bounds of the rules.
const (
	maxTargets        = 64              // peers that a report is sent to (R4)
	maxPeers          = 2048            // peers that are known
	silence           = time.Minute     // R3
	retryInterval     = 5 * time.Second // between two datagrams to a peer that is not heard of (R3)
	keepAliveInterval = time.Second     // between two empty reports (R4)
	keepAliveTargets  = 8               // peers that an empty report is sent to (R4)
	forgetAfter       = time.Hour       // R5
	maxDatagram       = 1400            // bytes
)

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpListen Op = "listen"
	OpDecode Op = "decode"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindNetwork   Kind = "network"
	KindMalformed Kind = "malformed"
)

// Error is a failed operation.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("datagram: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Key authenticates the datagrams of one start of an instance (R2).
type Key uint64

// Peer is where an instance receives datagrams.
type Peer struct {
	Address medlarid.Address
	Key     Key
	Zone    medlarid.Zone
}

// peer is a known peer.
type peer struct {
	Peer
	address  netip.AddrPort
	serial   uint64    // of its last datagram
	heardAt  time.Time // of its last datagram
	triedAt  time.Time // when a datagram was sent to it
	knownFor time.Time // since when its address is known
}

// Deps are what a Socket depends on.
type Deps struct {
	Self medlarid.InstanceID
	Zone medlarid.Zone
	Key  Key
	// OnForgotten is called for each peer that is forgotten (R5).
	OnForgotten func(medlarid.InstanceID)
	// OnIgnored is called for each datagram that is not a valid one of a known peer.
	OnIgnored func(error)
}

// Socket sends and receives datagrams. It is safe for concurrent use.
type Socket struct {
	deps   Deps
	onLoad func(medlarworld.PeerLoadReported)
	onSum  func(medlarworld.PeerSumReported)
	conn   *net.UDPConn
	closed chan struct{}
	close  sync.Once

	sent, received atomic.Uint64 // datagrams

	mu          sync.Mutex
	peers       map[medlarid.InstanceID]*peer
	serial      uint64
	keptAliveAt time.Time // of the last empty report

	sums    *medlarsum.Node
	changed bool // the peers have changed since they were passed to sums
	totals  totals
	// outgoing and reported are what sums send and report, queued until the lock is released.
	outgoing []datagram
	reported []medlarworld.PeerSumReported
}

// New returns a Socket that knows no peers. Listen opens it.
func New(deps Deps) *Socket {
	s := &Socket{
		deps: deps, onLoad: func(medlarworld.PeerLoadReported) {}, onSum: func(medlarworld.PeerSumReported) {}, closed: make(chan struct{}),
		peers: map[medlarid.InstanceID]*peer{}, serial: uint64(time.Now().UnixNano()), totals: totals{},
	}
	s.sums = medlarsum.New(medlarsum.Deps{Self: deps.Self, Zone: deps.Zone, FirstReport: rand.Uint64(), Send: s.queue, OnTotal: s.setTotal})
	return s
}

// SetOnLoad sets the function that receives the load that a peer reports. It is called before Listen.
func (s *Socket) SetOnLoad(f func(medlarworld.PeerLoadReported)) { s.onLoad = f }

// Listen opens the socket at an address and receives datagrams until Close.
func (s *Socket) Listen(at medlarid.Address) error {
	addr, err := netip.ParseAddrPort(string(at))
	if err != nil {
		return &Error{Op: OpListen, Kind: KindMalformed, Err: err}
	}
	s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return &Error{Op: OpListen, Kind: KindNetwork, Err: err}
	}
	go s.receive()
	go s.tick()
	return nil
}

// Address returns where the socket receives. It is valid once Listen has returned.
func (s *Socket) Address() medlarid.Address { return medlarid.Address(s.conn.LocalAddr().String()) }

// Key returns the key of this instance's datagrams.
func (s *Socket) Key() Key { return s.deps.Key }

// Close closes the socket.
func (s *Socket) Close() {
	if s.conn != nil {
		s.close.Do(func() { close(s.closed) })
		_ = s.conn.Close()
	}
}

// SetPeer records where a peer receives datagrams; an empty address forgets it.
func (s *Socket) SetPeer(id medlarid.InstanceID, p Peer) {
	if id == s.deps.Self {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed = true
	addr, err := netip.ParseAddrPort(string(p.Address))
	if err != nil || len(s.peers) >= maxPeers && s.peers[id] == nil {
		delete(s.peers, id)
		return
	}
	s.peers[id] = &peer{Peer: p, address: addr, knownFor: time.Now()}
}

// Tell sends a report to the peers (R1). Failures are of no interest: the next report follows soon.
func (s *Socket) Tell(c medlarworld.TellLoad) {
	if s.conn == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.serial++
	targets, few := s.targets(now)
	m := message{Sender: s.deps.Self, Key: s.deps.Key, Serial: s.serial, Loads: c.Loads, Changes: c.Changes}
	if few {
		m.Loads = nil
		s.updateMembers()
		s.sums.Report(now, c.Loads, c.Upstreams)
	}
	b := encode(m)
	forgotten := s.forget(now)
	s.mu.Unlock()
	for _, at := range targets {
		s.write(b, at)
	}
	s.flush()
	for _, id := range forgotten {
		s.deps.OnForgotten(id)
	}
}

// forget forgets the peers from which no datagram arrived for long (R5). The caller holds the lock.
func (s *Socket) forget(now time.Time) []medlarid.InstanceID {
	var out []medlarid.InstanceID
	for id, p := range s.peers {
		if p.silentFor(now) > forgetAfter {
			delete(s.peers, id)
			s.changed = true
			out = append(out, id)
		}
	}
	return out
}

// silentFor returns the time since the last datagram of a peer, or since its address is known.
func (p *peer) silentFor(now time.Time) time.Duration {
	return min(now.Sub(p.heardAt), now.Sub(p.knownFor))
}

// targets returns the addresses that a report is sent to (R3, R4). few is set if there are too many peers to
// tell them of load. The caller holds the lock.
func (s *Socket) targets(now time.Time) (out []netip.AddrPort, few bool) {
	live := 0
	for _, p := range s.peers {
		heard := p.silentFor(now) < silence
		if heard {
			live++
		}
		if !heard && now.Sub(p.triedAt) < retryInterval {
			continue
		}
		p.triedAt = now
		out = append(out, p.address)
	}
	if live <= maxTargets {
		return out, false
	}
	if now.Sub(s.keptAliveAt) < keepAliveInterval {
		return nil, true
	}
	s.keptAliveAt = now
	rand.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	return out[:keepAliveTargets], true
}

// receive receives datagrams until the socket is closed.
func (s *Socket) receive() {
	b := make([]byte, maxDatagram+1)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		m, err := decode(b[:n])
		if err != nil {
			s.deps.OnIgnored(err)
			continue
		}
		s.received.Add(1)
		switch {
		case !s.accept(m):
		case m.Sum != nil:
			s.receiveSum(m)
		default:
			s.onLoad(medlarworld.PeerLoadReported{Peer: m.Sender, Loads: m.Loads, Changes: m.Changes})
		}
	}
}

// accept reports whether a datagram is a new one of a known peer (R1, R2).
func (s *Socket) accept(m message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[m.Sender]
	if p == nil || p.Key != m.Key || m.Serial <= p.serial {
		return false
	}
	p.serial, p.heardAt = m.Serial, time.Now()
	return true
}

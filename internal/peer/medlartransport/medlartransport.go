// Package medlartransport calls other entry instances over authenticated sessions:
// yamux over TLS, a stream for each call, one protobuf message each way.
//
// Rules:
//
//	R1  Both sides show a certificate of the peers' authority; the name in it is
//	    the instance's name. Anyone else is refused before a message is read.
//	R2  A call goes to the instance that it names: a certificate with another name
//	    is refused.
//	R3  Sessions are kept for a bounded number of peers; the one used least
//	    recently is closed for a new one.
//	R4  Certificates are read again when their files change.
package medlartransport

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/peer/medlarmessage"
)

// Parameters of sessions.
const (
	maxSessions      = 32
	handshakeTimeout = 2 * time.Second
	keepAlive        = 30 * time.Second
	streamWindow     = 256 << 10 // bytes; the smallest that yamux allows
	maxServing       = 256       // calls served at the same time
)

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpDial        Op = "dial"
	OpCall        Op = "call"
	OpCredentials Op = "keys"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindUnreachable Kind = "unreachable"
	KindUntrusted   Kind = "untrusted" // no certificate of the peers' authority, or another name
	KindBroken      Kind = "broken"
	KindRefused     Kind = "refused" // the peer answered with an error
	KindMalformed   Kind = "malformed"
)

// Error is a failed operation.
type Error struct {
	Op   Op
	Kind Kind
	Peer medlarid.InstanceID
	Err  error
}

// Error returns operation, peer, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("peer %s %s: %s: %v", e.Op, e.Peer, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// HandleFunc answers a call of a peer.
type HandleFunc func(ctx context.Context, peer medlarid.InstanceID, f *medlarmessage.Frame) *medlarmessage.Reply

// AddressFunc returns the address of a peer, or an empty one.
type AddressFunc func(medlarid.InstanceID) medlarid.Address

// Transport calls and serves peers. It is safe for concurrent use.
type Transport struct {
	keys    *Credentials
	address AddressFunc
	handle  HandleFunc
	refused func() // called for each connection that R1 refuses
	serving chan struct{}

	mu       sync.Mutex
	sessions map[medlarid.InstanceID]*session
	inbound  map[*yamux.Session]bool
	closed   bool
}

// session is an open session to a peer.
type session struct {
	mux  *yamux.Session
	used time.Time
}

// New returns a link with keys that finds peers with address and answers their
// calls with handle.
func New(keys *Credentials, address AddressFunc, handle HandleFunc, refused func()) *Transport {
	return &Transport{
		keys:     keys,
		address:  address,
		handle:   handle,
		refused:  refused,
		serving:  make(chan struct{}, maxServing),
		sessions: map[medlarid.InstanceID]*session{},
		inbound:  map[*yamux.Session]bool{},
	}
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.KeepAliveInterval = keepAlive
	cfg.MaxStreamWindowSize = streamWindow
	cfg.AcceptBacklog = maxServing
	return cfg
}

// Serve accepts peers until the listener is closed.
func (l *Transport) Serve(ctx context.Context, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go l.serveConn(ctx, c)
	}
}

// serveConn checks who calls and serves its streams (R1).
func (l *Transport) serveConn(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	tc := tls.Server(c, l.keys.server())
	hand, cancel := context.WithTimeout(ctx, handshakeTimeout)
	err := tc.HandshakeContext(hand)
	cancel()
	peer, ok := peerName(tc.ConnectionState())
	if err != nil || !ok {
		l.refused()
		return
	}
	mux, err := yamux.Server(tc, muxConfig())
	if err != nil {
		return
	}
	defer func() { _ = mux.Close() }()
	if !l.track(mux) {
		return
	}
	defer l.untrack(mux)
	for {
		s, err := mux.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		l.serving <- struct{}{}
		go func() {
			defer func() { <-l.serving }()
			l.serveStream(ctx, peer, s)
		}()
	}
}

func (l *Transport) track(mux *yamux.Session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.inbound[mux] = true
	}
	return !l.closed
}

func (l *Transport) untrack(mux *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inbound, mux)
}

// serveStream answers one call.
func (l *Transport) serveStream(ctx context.Context, peer medlarid.InstanceID, s *yamux.Stream) {
	defer func() { _ = s.Close() }()
	f := &medlarmessage.Frame{}
	if err := readMessage(s, f); err != nil {
		return
	}
	_, _ = protodelim.MarshalTo(s, l.handle(ctx, peer, f))
}

// Call calls a peer and returns its reply. It opens a session if there is none.
func (l *Transport) Call(ctx context.Context, peer medlarid.InstanceID, f *medlarmessage.Frame) (*medlarmessage.Reply, error) {
	mux, err := l.session(ctx, peer)
	if err != nil {
		return nil, err
	}
	r, err := call(ctx, mux, f)
	if err != nil {
		return nil, &Error{Op: OpCall, Kind: KindBroken, Peer: peer, Err: err}
	}
	if r.GetError() != "" {
		return nil, &Error{Op: OpCall, Kind: KindRefused, Peer: peer, Err: eris.New(r.GetError())}
	}
	return r, nil
}

func call(ctx context.Context, mux *yamux.Session, f *medlarmessage.Frame) (*medlarmessage.Reply, error) {
	s, err := mux.OpenStream()
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if _, err := protodelim.MarshalTo(s, f); err != nil {
		return nil, err
	}
	r := &medlarmessage.Reply{}
	return r, readMessage(s, r)
}

// session returns an open session to a peer, a new one if need be (R3).
func (l *Transport) session(ctx context.Context, peer medlarid.InstanceID) (*yamux.Session, error) {
	l.mu.Lock()
	if s := l.sessions[peer]; s != nil && !s.mux.IsClosed() {
		s.used = time.Now()
		l.mu.Unlock()
		return s.mux, nil
	}
	l.mu.Unlock()
	mux, err := l.dial(ctx, peer)
	if err != nil {
		return nil, err
	}
	return l.keep(peer, mux), nil
}

// keep stores a session, unless another call was faster.
func (l *Transport) keep(peer medlarid.InstanceID, mux *yamux.Session) *yamux.Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.sessions[peer]; s != nil && !s.mux.IsClosed() {
		go func() { _ = mux.Close() }()
		return s.mux
	}
	l.sessions[peer] = &session{mux: mux, used: time.Now()}
	if len(l.sessions) > maxSessions {
		l.closeOldest()
	}
	return mux
}

func (l *Transport) closeOldest() {
	var oldest medlarid.InstanceID
	for id, s := range l.sessions {
		if o := l.sessions[oldest]; o == nil || s.used.Before(o.used) {
			oldest = id
		}
	}
	mux := l.sessions[oldest].mux
	delete(l.sessions, oldest)
	go func() { _ = mux.Close() }()
}

// dial opens a session to a peer and checks its name (R2).
func (l *Transport) dial(ctx context.Context, peer medlarid.InstanceID) (*yamux.Session, error) {
	at := l.address(peer)
	if at == "" {
		return nil, &Error{Op: OpDial, Kind: KindUnreachable, Peer: peer, Err: eris.New("no address known")}
	}
	d := net.Dialer{Timeout: handshakeTimeout}
	c, err := d.DialContext(ctx, "tcp", string(at))
	if err != nil {
		return nil, &Error{Op: OpDial, Kind: KindUnreachable, Peer: peer, Err: err}
	}
	tc := tls.Client(c, l.keys.client(peer))
	hand, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := tc.HandshakeContext(hand); err != nil {
		_ = c.Close()
		return nil, &Error{Op: OpDial, Kind: KindUntrusted, Peer: peer, Err: err}
	}
	mux, err := yamux.Client(tc, muxConfig())
	if err != nil {
		_ = c.Close()
		return nil, &Error{Op: OpDial, Kind: KindBroken, Peer: peer, Err: err}
	}
	return mux, nil
}

// Sessions returns the number of open sessions, from and to here.
func (l *Transport) Sessions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sessions) + len(l.inbound)
}

// Close closes all sessions.
func (l *Transport) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for id, s := range l.sessions {
		_ = s.mux.Close()
		delete(l.sessions, id)
	}
	for mux := range l.inbound {
		_ = mux.Close()
	}
}

func readMessage(r io.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: medlarmessage.MaxMessageBytes}.UnmarshalFrom(bufio.NewReader(r), m)
}

// Package medlartransport carries calls between entry instances over mutually
// authenticated sessions: yamux over TLS, with one stream per call and one protobuf
// message in each direction.
//
// Rules:
//
//	R1  Both sides present a certificate of the peers' certificate authority; the
//	    name in the certificate is the name of the instance. Anyone else is refused
//	    before a message is read.
//	R2  A call reaches only the instance that it names: a certificate with another
//	    name is refused.
//	R3  Sessions are kept for a bounded number of peers. A new session beyond the
//	    bound closes the least recently used one.
//	R4  Certificates are reloaded when their files change.
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

// Session parameters.
const (
	maxSessions      = 32
	handshakeTimeout = 2 * time.Second
	keepAlive        = 30 * time.Second
	streamWindow     = 256 << 10 // bytes; the minimum that yamux allows
	maxServing       = 256       // inbound calls served concurrently
)

// Op is the operation that failed.
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
	KindUntrusted   Kind = "untrusted" // no certificate of the peers' certificate authority, or another name
	KindBroken      Kind = "broken"
	KindRefused     Kind = "refused" // the peer answered with an error
	KindMalformed   Kind = "malformed"
)

// Error describes a failed operation.
type Error struct {
	Op   Op
	Kind Kind
	Peer medlarid.InstanceID
	Err  error
}

// Error returns the operation, peer, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("peer %s %s: %s: %v", e.Op, e.Peer, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// HandleFunc handles a call of a peer and returns the reply.
type HandleFunc func(ctx context.Context, peer medlarid.InstanceID, f *medlarmessage.Frame) *medlarmessage.Reply

// AddressFunc returns the address of a peer, or an empty string if it is unknown.
type AddressFunc func(medlarid.InstanceID) medlarid.Address

// Transport sends calls to peers and serves their calls. It is safe for concurrent
// use.
type Transport struct {
	credentials *Credentials
	address     AddressFunc
	handle      HandleFunc
	onRefused   func()        // called for each connection refused by R1
	serving     chan struct{} // semaphore of the inbound calls

	mu       sync.Mutex
	sessions map[medlarid.InstanceID]*session
	inbound  map[*yamux.Session]bool
	closed   bool
}

// session is an outbound session to a peer.
type session struct {
	mux      *yamux.Session
	lastUsed time.Time
}

// New returns a transport that resolves peers with address and handles their calls
// with handle. onRefused is called for each refused inbound connection (R1).
func New(credentials *Credentials, address AddressFunc, handle HandleFunc, onRefused func()) *Transport {
	return &Transport{
		credentials: credentials,
		address:     address,
		handle:      handle,
		onRefused:   onRefused,
		serving:     make(chan struct{}, maxServing),
		sessions:    map[medlarid.InstanceID]*session{},
		inbound:     map[*yamux.Session]bool{},
	}
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.KeepAliveInterval = keepAlive
	cfg.MaxStreamWindowSize = streamWindow
	cfg.AcceptBacklog = maxServing
	return cfg
}

// Serve accepts connections of peers until the listener is closed.
func (t *Transport) Serve(ctx context.Context, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go t.serveConn(ctx, c)
	}
}

// serveConn authenticates the peer and serves the streams that it opens (R1).
func (t *Transport) serveConn(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	tc := tls.Server(c, t.credentials.server())
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	err := tc.HandshakeContext(handshakeCtx)
	cancel()
	peer, ok := peerName(tc.ConnectionState())
	if err != nil || !ok {
		t.onRefused()
		return
	}
	mux, err := yamux.Server(tc, yamuxConfig())
	if err != nil {
		return
	}
	defer func() { _ = mux.Close() }()
	if !t.track(mux) {
		return
	}
	defer t.untrack(mux)
	for {
		s, err := mux.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		t.serving <- struct{}{}
		go func() {
			defer func() { <-t.serving }()
			t.serveStream(ctx, peer, s)
		}()
	}
}

func (t *Transport) track(mux *yamux.Session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.inbound[mux] = true
	}
	return !t.closed
}

func (t *Transport) untrack(mux *yamux.Session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inbound, mux)
}

// serveStream reads one call, handles it and writes the reply.
func (t *Transport) serveStream(ctx context.Context, peer medlarid.InstanceID, s *yamux.Stream) {
	defer func() { _ = s.Close() }()
	f := &medlarmessage.Frame{}
	if err := readMessage(s, f); err != nil {
		return
	}
	_, _ = protodelim.MarshalTo(s, t.handle(ctx, peer, f))
}

// Call sends a call to a peer and returns the reply. It opens a session if there is
// none.
func (t *Transport) Call(ctx context.Context, peer medlarid.InstanceID, f *medlarmessage.Frame) (*medlarmessage.Reply, error) {
	mux, err := t.session(ctx, peer)
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

// session returns an open session to a peer and dials a new one if there is none (R3).
func (t *Transport) session(ctx context.Context, peer medlarid.InstanceID) (*yamux.Session, error) {
	t.mu.Lock()
	if s := t.sessions[peer]; s != nil && !s.mux.IsClosed() {
		s.lastUsed = time.Now()
		t.mu.Unlock()
		return s.mux, nil
	}
	t.mu.Unlock()
	mux, err := t.dial(ctx, peer)
	if err != nil {
		return nil, err
	}
	return t.storeSession(peer, mux), nil
}

// storeSession stores a new session and returns it. If a concurrent call has stored
// one already, mux is closed and the stored one is returned.
func (t *Transport) storeSession(peer medlarid.InstanceID, mux *yamux.Session) *yamux.Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sessions[peer]; s != nil && !s.mux.IsClosed() {
		go func() { _ = mux.Close() }()
		return s.mux
	}
	t.sessions[peer] = &session{mux: mux, lastUsed: time.Now()}
	if len(t.sessions) > maxSessions {
		t.closeLeastRecentlyUsed()
	}
	return mux
}

func (t *Transport) closeLeastRecentlyUsed() {
	var lru medlarid.InstanceID
	for id, s := range t.sessions {
		if o := t.sessions[lru]; o == nil || s.lastUsed.Before(o.lastUsed) {
			lru = id
		}
	}
	mux := t.sessions[lru].mux
	delete(t.sessions, lru)
	go func() { _ = mux.Close() }()
}

// dial opens a session to a peer and verifies its name (R2).
func (t *Transport) dial(ctx context.Context, peer medlarid.InstanceID) (*yamux.Session, error) {
	addr := t.address(peer)
	if addr == "" {
		return nil, &Error{Op: OpDial, Kind: KindUnreachable, Peer: peer, Err: eris.New("address of the peer is unknown")}
	}
	d := net.Dialer{Timeout: handshakeTimeout}
	c, err := d.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return nil, &Error{Op: OpDial, Kind: KindUnreachable, Peer: peer, Err: err}
	}
	tc := tls.Client(c, t.credentials.client(peer))
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := tc.HandshakeContext(handshakeCtx); err != nil {
		_ = c.Close()
		return nil, &Error{Op: OpDial, Kind: KindUntrusted, Peer: peer, Err: err}
	}
	mux, err := yamux.Client(tc, yamuxConfig())
	if err != nil {
		_ = c.Close()
		return nil, &Error{Op: OpDial, Kind: KindBroken, Peer: peer, Err: err}
	}
	return mux, nil
}

// Sessions returns the number of inbound and outbound sessions.
func (t *Transport) Sessions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sessions) + len(t.inbound)
}

// Close closes all sessions; connections accepted later are closed at once.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for id, s := range t.sessions {
		_ = s.mux.Close()
		delete(t.sessions, id)
	}
	for mux := range t.inbound {
		_ = mux.Close()
	}
}

func readMessage(r io.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: medlarmessage.MaxMessageBytes}.UnmarshalFrom(bufio.NewReader(r), m)
}

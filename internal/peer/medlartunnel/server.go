package medlartunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarmemory"
	"medlarfield/internal/base/medlarprobe"
)

// Limits of relayed connections.
const (
	maxOpen   = 1024                  // at once
	writeWait = 50 * time.Millisecond // for the rest of a write after the replica has ended the connection
)

// connBytes is the memory of a connection that is relayed: a frame, the buffer of the other direction, and the stacks of
// two goroutines.
const connBytes = 64 << 10

// Deps are what a Server depends on.
type Deps struct {
	Key Key
	// Memory is reserved for each connection that is relayed; nil for no bound.
	Memory *medlarmemory.Account
	// Dial opens a direct connection to a replica, or returns why it does not (R1).
	Dial func(ctx context.Context, replica medlarid.InstanceID, incarnation medlarid.Incarnation) (net.Conn, Result)
	// Prove returns ResultAnswers if a replica answers this instance now, or why it cannot state so (R5).
	Prove func(ctx context.Context, replica medlarid.InstanceID, incarnation medlarid.Incarnation) Result
	// OnHint is called with what a replica has stated to another instance, which has passed it on (R6).
	OnHint func(sender medlarid.InstanceID, h Hint)
	// Publish passes on the contents of KV stores until the connection ends (R7); nil if this instance does not.
	Publish func(net.Conn)
	// OnRequest is called with the result of each request for a connection.
	OnRequest func(sender, replica medlarid.InstanceID, r Result)
}

// Server relays connections of other instances. It is safe for concurrent use.
type Server struct {
	deps Deps
	ln   net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool // all open connections other than followers
	// followers are the connections on which the contents of KV stores are passed on. They end with Stop.
	followers map[net.Conn]bool
	stopped   bool
	users     map[medlarid.InstanceID]map[medlarid.InstanceID]int // senders with connections to each replica
}

// NewServer returns a Server that does not listen yet.
func NewServer(deps Deps) *Server {
	return &Server{deps: deps, conns: map[net.Conn]bool{}, followers: map[net.Conn]bool{}, users: map[medlarid.InstanceID]map[medlarid.InstanceID]int{}}
}

// Listen takes requests at an address until Close.
func (s *Server) Listen(at medlarid.Address) error {
	ln, err := net.Listen("tcp4", string(at))
	if err != nil {
		return &Error{Op: OpListen, Kind: KindUnreachable, Err: err}
	}
	s.ln = ln
	go s.accept()
	return nil
}

// Address returns where the server takes requests. It is valid once Listen has returned.
func (s *Server) Address() medlarid.Address { return medlarid.Address(s.ln.Addr().String()) }

// Stop takes no more requests; open connections to replicas stay.
func (s *Server) Stop() {
	if s.ln != nil {
		_ = s.ln.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for c := range s.followers {
		_ = c.Close()
	}
}

// Open returns the number of open connections that delay a stop.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Users returns the instances that have connections to a replica through this one, or have asked for one (R6).
func (s *Server) Users(replica medlarid.InstanceID) []medlarid.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []medlarid.InstanceID
	for id := range s.users[replica] {
		out = append(out, id)
	}
	return out
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of file descriptors, or the connection was aborted
			continue
		}
		go s.serve(c)
	}
}

// serve serves one connection of another instance.
func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if !s.add(c) {
		_, _ = c.Write([]byte{byte(ResultDenied)})
		return
	}
	defer s.remove(c)
	_ = c.SetDeadline(time.Now().Add(helloTimeout))
	q, err := readRequest(c)
	if err != nil {
		return
	}
	if q.key != s.deps.Key {
		_, _ = c.Write([]byte{byte(ResultDenied)})
		return
	}
	if q.isHint() {
		s.deps.OnHint(q.sender, q.hint)
		_, _ = c.Write([]byte{byte(ResultTaken)})
		return
	}
	if q.prove {
		_, _ = c.Write([]byte{byte(s.deps.Prove(context.Background(), q.hint.Replica, q.hint.Incarnation))})
		return
	}
	memory, err := s.deps.Memory.Reserve(medlarmemory.KindConnections, connBytes)
	if err != nil {
		_, _ = c.Write([]byte{byte(ResultDenied)})
		return
	}
	defer memory.Release()
	if q.subscribe {
		s.publish(c)
		return
	}
	s.use(q.hint.Replica, q.sender, 1) // before the replica can state anything that the sender has to know (R6)
	defer s.use(q.hint.Replica, q.sender, -1)
	far, result := s.deps.Dial(context.Background(), q.hint.Replica, q.hint.Incarnation)
	s.deps.OnRequest(q.sender, q.hint.Replica, result)
	if far == nil {
		_, _ = c.Write([]byte{byte(result)})
		return
	}
	defer func() { _ = far.Close() }()
	_ = c.SetDeadline(time.Time{})
	if _, err := c.Write([]byte{byte(ResultOpened)}); err == nil {
		relay(c, far)
	}
}

// publish passes on the contents of KV stores (R7).
func (s *Server) publish(c net.Conn) {
	if s.deps.Publish == nil || !s.addFollower(c) {
		_, _ = c.Write([]byte{byte(ResultUnused)})
		return
	}
	defer s.removeFollower(c)
	_ = c.SetDeadline(time.Time{})
	if _, err := c.Write([]byte{byte(ResultFollows)}); err == nil {
		s.deps.Publish(c)
	}
}

// addFollower makes a connection a follower, which does not delay a stop. It returns false if the server has stopped or has
// maxOpen of them.
func (s *Server) addFollower(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || len(s.followers) >= maxOpen {
		return false
	}
	delete(s.conns, c)
	s.followers[c] = true
	return true
}

func (s *Server) removeFollower(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.followers, c)
}

// relay copies the bytes of both sides until one of them ends (R2 to R4).
func relay(near, far net.Conn) {
	done := make(chan struct{})
	up := &upload{near: near, far: far}
	go func() {
		defer close(done)
		_ = copyFrames(near, far, up.written)
		_ = near.Close()
	}()
	_, _ = io.Copy(up, onlyReader{near}) // ends when the other instance closes the connection (R4)
	_ = far.Close()
	<-done
}

// upload writes what the other instance sends to a replica.
type upload struct {
	near, far net.Conn
	mu        sync.Mutex // held during a write
	failed    bool
}

// Write writes to the replica.
func (u *upload) Write(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, err := u.far.Write(b)
	u.failed = u.failed || err != nil
	return n, err
}

// written reports whether all that came from the other instance was written. It is called once the replica has ended the
// connection, and waits for a write that has not ended, writeWait at most. If a write fails because the connection was
// reset, the read that follows returns io.EOF, so that the end appears to be orderly.
func (u *upload) written() bool {
	_ = u.far.SetWriteDeadline(time.Now().Add(writeWait))
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.failed && medlarprobe.Idle(u.near)
}

// onlyReader hides the methods by which a connection copies in the kernel, which not every platform offers.
type onlyReader struct{ io.Reader }

// add counts a connection, unless there are too many.
func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxOpen {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// use changes the number of connections that a sender has to a replica.
func (s *Server) use(replica, sender medlarid.InstanceID, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	senders := s.users[replica]
	if senders == nil {
		senders = map[medlarid.InstanceID]int{}
		s.users[replica] = senders
	}
	senders[sender] += by
	if senders[sender] == 0 {
		delete(senders, sender)
	}
	if len(senders) == 0 {
		delete(s.users, replica)
	}
}

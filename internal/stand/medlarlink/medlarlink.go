// Package medlarlink puts a link between one instance and the replicas, which can be cut while all
// others still reach them.
//
// Rules:
//
//	R1  Each replica has an address of its own on the link. What the instance sends there
//	    reaches the replica, and the other way round, while the link is up.
//	R2  A silent link holds all bytes back and lets new connections hang. Held bytes are
//	    delivered once the link is up again, unless their connection was closed.
//	R3  Behind a proxy or a balancer new connections open while no byte passes: bytes are held back as on a silent link,
//	    or connections are reset after the first bytes.
package medlarlink

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarreservation"
)

// State is the state of a link.
type State string

// States.
const (
	Up      State = "up"
	Silent  State = "silent"  // open connections fall silent, new ones hang (R2)
	Reset   State = "reset"   // open connections are reset, new ones refused
	Refused State = "refused" // open connections live on, new ones are refused

	OpensSilent State = "opens, silent" // connections open, and all are silent (R3)
	OpensReset  State = "opens, reset"  // open connections are reset, new ones open and are reset after the first bytes (R3)
)

// holds reports whether a link in this state holds bytes back.
func (s State) holds() bool { return s == Silent || s == OpensSilent }

// Sizes and times.
const (
	backlog     = 128                   // connections that wait to be accepted while a link is up
	copyBuffer  = 4096                  // bytes
	fillers     = 3                     // connections that fill the queue of a silent link
	fillTimeout = 20 * time.Millisecond // a filler that hangs shows that the queue is full
	failedWrite = 2 * time.Millisecond  // for a write that has failed to return
)

// Link connects one instance with the replicas. It is safe for concurrent use.
type Link struct {
	mu      sync.Mutex
	state   State
	resumed chan struct{} // closed when a silent link is no longer silent
	ports   map[string]*port
	pairs   map[*pair]bool
	closed  bool
}

// port is the link's address of one replica.
type port struct {
	target   string
	address  string
	reserved *medlarreservation.Reservation // keeps the address while the port refuses connections
	listener *net.TCPListener
	stopped  chan struct{} // closed when the port no longer accepts
	paused   bool          // the listener is open, and nothing is accepted
	fillers  []net.Conn
}

// pair is an open connection over the link.
type pair struct {
	near, far         net.Conn
	toNear, toFar     sync.Mutex // held during a write to that side
	nearLost, farLost atomic.Bool
}

// write writes to one side.
func (p *pair) write(to net.Conn, b []byte) error {
	mu, lost := &p.toFar, &p.farLost
	if to == p.near {
		mu, lost = &p.toNear, &p.nearLost
	}
	mu.Lock()
	defer mu.Unlock()
	_, err := to.Write(b)
	if err != nil {
		lost.Store(true)
	}
	return err
}

// resetBy reports whether a side that appears to have ended in an orderly way has reset the connection: if a write fails
// because of the reset, the read that follows returns io.EOF.
func (p *pair) resetBy(side net.Conn) bool {
	mu, lost := &p.toFar, &p.farLost
	if side == p.near {
		mu, lost = &p.toNear, &p.nearLost
	}
	for end := time.Now().Add(failedWrite); !mu.TryLock(); time.Sleep(failedWrite / 10) {
		if time.Now().After(end) {
			return lost.Load()
		}
	}
	defer mu.Unlock()
	return lost.Load()
}

// New returns a link that is up and knows no replicas.
func New() *Link {
	return &Link{state: Up, resumed: make(chan struct{}), ports: map[string]*port{}, pairs: map[*pair]bool{}}
}

// Address returns the address on the link of a replica (R1).
func (l *Link) Address(target string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.ports[target]; p != nil {
		return p.address, nil
	}
	p, err := newPort(target)
	if err != nil {
		return "", err
	}
	l.ports[target] = p
	l.accept(p)
	if l.state == Up {
		return p.address, nil
	}
	return p.address, l.apply(p, l.state)
}

// Ports of links. They are none of those that the system gives out, so that nobody else takes one while it refuses
// connections.
const (
	firstPort = 18000
	ports     = 10000
	tries     = 100
)

// newPort returns a port that listens on a free address.
func newPort(target string) (p *port, err error) {
	for range tries {
		p = &port{target: target, address: fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))}
		if p.reserved, err = medlarreservation.New(medlarid.Address(p.address)); err != nil {
			continue
		}
		if err = p.listen(); err == nil {
			return p, nil
		}
		p.reserved.Close()
	}
	return nil, err
}

// listen opens the listener.
func (p *port) listen() error {
	if err := p.reserved.Share(true); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = ln.(*net.TCPListener)
	return nil
}

// refuse closes the listener, and keeps its address from others.
func (p *port) refuse() error {
	err := p.reserved.Share(false)
	_ = p.listener.Close()
	<-p.stopped
	p.listener = nil
	return err
}

// Carries reports whether a connection over the link comes from an address to a replica: connections to several may have the
// same one.
func (l *Link) Carries(address, replica string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		if p.far.LocalAddr().String() == address && p.far.RemoteAddr().String() == replica {
			return true
		}
	}
	return false
}

// Set puts the link into a state.
func (l *Link) Set(state State) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || state == l.state {
		return nil
	}
	if l.state.holds() {
		close(l.resumed)
		l.resumed = make(chan struct{})
	}
	l.state = state
	var errs []error
	for _, p := range l.ports {
		errs = append(errs, l.apply(p, Up))
		if state != Up {
			errs = append(errs, l.apply(p, state))
		}
	}
	if state == Reset || state == OpensReset {
		for p := range l.pairs {
			p.reset()
		}
	}
	return errors.Join(errs...)
}

// Close closes the link and all its connections.
func (l *Link) Close() {
	_ = l.Set(Up)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, p := range l.ports {
		p.reserved.Close()
		if p.listener != nil {
			_ = p.listener.Close()
		}
	}
	for p := range l.pairs {
		p.close()
	}
}

// apply puts a port into a state. It is up before it is put into another one. The caller holds the lock.
func (l *Link) apply(p *port, state State) error {
	switch state {
	case Silent:
		p.pause()
		return p.fill()
	case Reset, Refused:
		return p.refuse()
	}
	return l.resume(p)
}

// accept accepts connections of a port until it is paused or closed.
func (l *Link) accept(p *port) {
	p.stopped = make(chan struct{})
	go func(ln *net.TCPListener, stopped chan struct{}) {
		defer close(stopped)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.connect(p.target, c)
		}
	}(p.listener, p.stopped)
}

// pause stops the port from accepting connections.
func (p *port) pause() {
	_ = p.listener.SetDeadline(time.Unix(1, 0))
	<-p.stopped
	p.paused = true
}

// fill shortens the queue of connections that wait to be accepted and fills it, so that new ones hang.
func (p *port) fill() error {
	if err := p.setBacklog(0); err != nil {
		return err
	}
	for range fillers {
		c, err := net.DialTimeout("tcp", p.address, fillTimeout)
		if os.IsTimeout(err) {
			return nil
		}
		if err != nil {
			return err
		}
		p.fillers = append(p.fillers, c)
	}
	return fmt.Errorf("link: %s still takes connections", p.address)
}

func (p *port) setBacklog(n int) error {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), n) })
	return errors.Join(err, listenErr)
}

// resume makes a port accept connections again.
func (l *Link) resume(p *port) error {
	switch {
	case p.listener == nil:
		if err := p.listen(); err != nil {
			return err
		}
	case p.paused: // without fillers, if a connection that waited to be accepted filled the queue
		for _, c := range p.fillers {
			_ = c.Close()
		}
		p.fillers = nil
		if err := p.setBacklog(backlog); err != nil {
			return err
		}
		_ = p.listener.SetDeadline(time.Time{})
		p.paused = false
	default:
		return nil
	}
	l.accept(p)
	return nil
}

// connect connects a new connection of the instance with a replica.
func (l *Link) connect(target string, near net.Conn) {
	if l.resets() {
		_, _ = near.Read(make([]byte, copyBuffer))
		resetConn(near)
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		resetConn(near)
		return
	}
	p := &pair{near: near, far: far}
	l.mu.Lock()
	l.pairs[p] = true
	if l.state == Reset {
		p.reset()
	}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(far, near, p) })
	wg.Go(func() { l.copy(near, far, p) })
	wg.Wait()
	p.close()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// resets reports whether new connections are reset after the first bytes.
func (l *Link) resets() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == OpensReset
}

// copy copies what comes from one side to the other while the link is not silent.
func (l *Link) copy(to, from net.Conn, p *pair) {
	b := make([]byte, copyBuffer)
	for {
		n, err := from.Read(b)
		l.awaitNotSilent()
		if n > 0 {
			if err := p.write(to, b[:n]); err != nil {
				p.reset()
				return
			}
		}
		if errors.Is(err, unix.ECONNRESET) || err != nil && p.resetBy(from) {
			p.reset()
			return
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// awaitNotSilent waits while the link is silent.
func (l *Link) awaitNotSilent() {
	l.mu.Lock()
	resumed, silent := l.resumed, l.state.holds()
	l.mu.Unlock()
	if silent {
		<-resumed
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

func (p *pair) reset() {
	resetConn(p.near)
	resetConn(p.far)
}

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

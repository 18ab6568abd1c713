// Package medlarpool is a connection pool for upstreams. A connection serves one request
// at a time.
//
// Rules:
//
//	R1  A connection is reused only if its last response was read in full, no bytes
//	    followed it, and its announced idle timeout does not expire soon.
//	R2  A connection that the peer has closed, or on which unsolicited bytes have
//	    arrived, is not reused. Of the others, the most recently used one is taken.
//	R3  A request that must not run twice gets a connection that was in use within
//	    maxRecentIdle, or a new one: if the peer resets an idle connection while the
//	    request is being sent, it is unknown whether the request ran.
//	R4  A peer that does not acknowledge sent bytes is detected within ackTimeout,
//	    and an idle peer that is gone is detected by a few keep-alive probes.
package medlarpool

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarprobe"
)

// Timeouts and limits of connections.
const (
	dialTimeout        = 400 * time.Millisecond
	ackTimeout         = 600 * time.Millisecond
	keepAliveIdle      = time.Second
	keepAliveInterval  = 500 * time.Millisecond
	keepAliveCount     = 3
	defaultIdleTimeout = 2 * time.Second        // if the peer announces no idle timeout
	idleTimeoutMargin  = 700 * time.Millisecond // before the end of an announced idle timeout
	maxRecentIdle      = 300 * time.Millisecond // for requests that must not run twice (R3)
	readBuffer         = 4096                   // bytes
	maxIdle            = 48                     // per address
	sweepInterval      = time.Second
	maxIdleTotal       = 1024
)

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused reports whether the connection has served a request before.
	Reused bool

	// Opened is when the connection was established.
	Opened time.Time

	addr      medlarid.Address
	idleSince time.Time // start of the idle period
	expires   time.Time // end of the idle timeout
}

// Pool holds idle connections. It is safe for concurrent use.
type Pool struct {
	// OnDial is called with the result of each attempt to open a connection.
	OnDial func(error)

	mu      sync.Mutex
	idle    map[medlarid.Address][]*Conn // in order of last use, the most recent one last
	total   int
	sweptAt time.Time
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{OnDial: func(error) {}, idle: map[medlarid.Address][]*Conn{}}
}

// Get returns an idle or new connection to addr. If recent is set, an idle connection is
// used only if it was in use within maxRecentIdle (R3).
func (p *Pool) Get(ctx context.Context, addr medlarid.Address, recent bool) (*Conn, error) {
	for c := p.take(addr); c != nil; c = p.take(addr) {
		now := time.Now()
		usable := now.Before(c.expires) && !(recent && now.Sub(c.idleSince) > maxRecentIdle)
		if usable && medlarprobe.Idle(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, addr)
}

func (p *Pool) dial(ctx context.Context, addr medlarid.Address) (*Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	c, err := d.DialContext(ctx, "tcp4", string(addr))
	p.OnDial(err)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, Reader: bufio.NewReaderSize(c, readBuffer), Opened: time.Now(), addr: addr}, nil
}

// setUserTimeout limits the time for which sent bytes may stay unacknowledged (R4).
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Put returns a connection to the pool after a complete response. idleTimeout is the
// announced time for which it may stay idle, or 0 if none was announced (R1).
func (p *Pool) Put(c *Conn, idleTimeout time.Duration) {
	now := time.Now()
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	} else {
		idleTimeout -= min(idleTimeoutMargin, idleTimeout/2)
	}
	if c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.Reused, c.idleSince, c.expires = true, now, now.Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.sweptAt) > sweepInterval {
		p.sweep(now)
	}
	if len(p.idle[c.addr]) >= maxIdle || p.total >= maxIdleTotal {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.total++
}

// take removes and returns the most recently used idle connection, or nil (R2).
func (p *Pool) take(addr medlarid.Address) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[addr]
	if len(cs) == 0 {
		return nil
	}
	c := cs[len(cs)-1]
	cs[len(cs)-1] = nil
	p.idle[addr] = cs[:len(cs)-1]
	p.total--
	return c
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr medlarid.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	p.total -= len(p.idle[addr])
	delete(p.idle, addr)
}

// sweep closes the connections whose idle timeout has expired. The caller holds the lock.
func (p *Pool) sweep(now time.Time) {
	p.sweptAt = now
	for addr, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			p.total--
		}
		clear(cs[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

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
//	R4  A peer that does not acknowledge sent bytes is detected within ackTimeout, so that the request
//	    can be sent to another one, and an idle peer that is gone by a few keep-alive probes.
//	R5  A sound peer may fall silent for a second or more and go on. So a request that must not run twice, and
//	    an answer that has begun, wait for silenceTimeout. It bounds the keep-alive probes
//	    too, whatever their count.
//	R6  An upstream whose rejections do not name their requests gets one request on each connection for
//	    isolationTime, so that it is known which request a rejection belongs to.
//	R7  A connection carries no two requests, or attempts of one, with the same id, so that a response that
//	    names it belongs to one of them. A new connection takes the place of an idle one that has carried it, as
//	    the upstream may accept no further one.
package medlarpool

import (
	"bufio"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/sys/unix"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarprobe"
)

// Timeouts and limits of connections.
const (
	dialTimeout        = 400 * time.Millisecond
	ackTimeout         = 600 * time.Millisecond
	silenceTimeout     = 2 * time.Second
	keepAliveIdle      = time.Second
	keepAliveInterval  = 500 * time.Millisecond
	keepAliveCount     = 3
	defaultIdleTimeout = 2 * time.Second        // if the peer announces no idle timeout
	idleTimeoutMargin  = 700 * time.Millisecond // before the end of an announced idle timeout
	maxRecentIdle      = 300 * time.Millisecond // for requests that must not run twice (R3)
	readBuffer         = 4096                   // bytes
	maxIdle            = 48                     // per address
	sweepInterval      = time.Second
	isolationTime      = time.Minute
	maxCarried         = 128 // requests that one connection carries (R7)
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
	// Target is the upstream, and Via the instance that relays the connection; empty for a direct one.
	Target Target
	Via    medlarid.InstanceID

	carried   []uint64  // hashes of the ids of the requests that it has carried (R7)
	patient   bool      // waits for silenceTimeout rather than ackTimeout
	idleSince time.Time // start of the idle period
	expires   time.Time // end of the idle timeout
}

// Target is an upstream.
type Target struct {
	ID          medlarid.InstanceID
	Incarnation medlarid.Incarnation
	Address     medlarid.Address
}

// Deps are the functions that a Pool depends on.
type Deps struct {
	// Dial opens a connection, and returns the instance that relays it; empty for none.
	Dial func(context.Context, Target) (net.Conn, medlarid.InstanceID, error)
	// Usable reports whether an idle connection may be used.
	Usable func(*Conn) bool
}

// Pool holds idle connections. It is safe for concurrent use.
type Pool struct {
	deps Deps

	mu       sync.Mutex
	idle     map[medlarid.Address][]*Conn   // in order of last use, the most recent one last
	isolated map[medlarid.Address]time.Time // until when connections are not kept (R6)
	total    int
	sweptAt  time.Time
}

// New returns an empty pool.
func New(deps Deps) *Pool {
	return &Pool{deps: deps, idle: map[medlarid.Address][]*Conn{}, isolated: map[medlarid.Address]time.Time{}}
}

// NewDirect returns an empty pool that opens direct connections.
func NewDirect() *Pool {
	return New(Deps{
		Dial: func(ctx context.Context, t Target) (net.Conn, medlarid.InstanceID, error) {
			c, err := Dial(ctx, t.Address)
			return c, "", err
		},
		Usable: func(*Conn) bool { return true },
	})
}

// Need is what a request needs of a connection.
type Need struct {
	ID     medlarid.RequestID // of the request; the connection has carried none of that id (R7)
	Recent bool               // it was in use within maxRecentIdle, or is new (R3)
}

// Get returns an idle or new connection to an upstream.
func (p *Pool) Get(ctx context.Context, t Target, need Need) (*Conn, error) {
	id := xxh3.HashString(string(need.ID))
	if c := p.reuse(t, id, need.Recent); c != nil {
		c.carried = append(c.carried, id)
		return c, nil
	}
	if c := p.take(t.Address, func(*Conn) bool { return true }); c != nil { // R7
		_ = c.Close()
	}
	c, via, err := p.deps.Dial(ctx, t)
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: c, Reader: bufio.NewReaderSize(c, readBuffer), Opened: time.Now(), Target: t, Via: via, carried: []uint64{id}}
	conn.setPatient(need.Recent)
	return conn, nil
}

// reuse returns an idle connection that may be used for a request, or nil.
func (p *Pool) reuse(t Target, id uint64, recent bool) *Conn {
	unused := func(c *Conn) bool { return !slices.Contains(c.carried, id) }
	for c := p.take(t.Address, unused); c != nil; c = p.take(t.Address, unused) {
		now := time.Now()
		usable := now.Before(c.expires) && !(recent && now.Sub(c.idleSince) > maxRecentIdle)
		if usable && p.deps.Usable(c) && medlarprobe.Idle(c.Conn) {
			c.setPatient(recent)
			return c
		}
		_ = c.Close()
	}
	return nil
}

// AnswerBegan makes the connection outlast a peer that falls silent within its answer (R5).
func (c *Conn) AnswerBegan() { c.setPatient(true) }

// setPatient sets for how long the peer may be silent (R4, R5).
func (c *Conn) setPatient(patient bool) {
	if c.patient == patient {
		return
	}
	c.patient = patient
	d := ackTimeout
	if patient {
		d = silenceTimeout
	}
	setUserTimeout(c.Conn, d)
}

// OutlastSilence makes a direct connection outlast a peer that falls silent (R5).
func OutlastSilence(c net.Conn) { setUserTimeout(c, silenceTimeout) }

// setUserTimeout sets the time for which bytes that are sent on an open connection may stay unacknowledged. Where it
// cannot be set, the connection keeps what it had.
func setUserTimeout(c net.Conn, d time.Duration) {
	for {
		u, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = u.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// Dial opens a direct connection to an upstream.
func Dial(ctx context.Context, addr medlarid.Address) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: KeepAlive(),
		Control:         SetUserTimeout,
	}
	return d.DialContext(ctx, "tcp4", string(addr))
}

// KeepAlive returns how idle connections to upstreams are probed (R4).
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// SetUserTimeout limits the time for which bytes that are sent on a new socket may stay unacknowledged (R4).
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
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
	if now.Before(p.isolated[c.Target.Address]) || len(c.carried) >= maxCarried || len(p.idle[c.Target.Address]) >= maxIdle || p.total >= maxIdleTotal {
		_ = c.Close()
		return
	}
	p.idle[c.Target.Address] = append(p.idle[c.Target.Address], c)
	p.total++
}

// take removes and returns the most recently used idle connection that matches, or nil (R2).
func (p *Pool) take(addr medlarid.Address, match func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[addr]
	for i := len(cs) - 1; i >= 0; i-- {
		if c := cs[i]; match(c) {
			p.idle[addr] = slices.Delete(cs, i, i+1)
			p.total--
			return c
		}
	}
	return nil
}

// Isolate makes each further request to an address use a connection of its own for a time (R6).
func (p *Pool) Isolate(addr medlarid.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated[addr] = time.Now().Add(isolationTime)
	p.closeIf(func(c *Conn) bool { return c.Target.Address == addr })
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr medlarid.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIf(func(c *Conn) bool { return c.Target.Address == addr })
}

// CloseVia closes the idle connections that an instance relays.
func (p *Pool) CloseVia(id medlarid.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIf(func(c *Conn) bool { return c.Via == id })
}

// sweep closes the connections whose idle timeout has expired. The caller holds the lock.
func (p *Pool) sweep(now time.Time) {
	p.sweptAt = now
	maps.DeleteFunc(p.isolated, func(_ medlarid.Address, until time.Time) bool { return !now.Before(until) })
	p.closeIf(func(c *Conn) bool { return !now.Before(c.expires) })
}

// closeIf closes the idle connections that match. The caller holds the lock.
func (p *Pool) closeIf(match func(*Conn) bool) {
	for addr, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if !match(c) {
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

// Package medlarpool keeps connections to upstreams, each for one request at a
// time.
//
// Rules:
//
//	R1  A connection is used again only if its last answer was whole, nothing came
//	    after it, and its announced life does not end soon.
//	R2  A connection that the peer has closed, or on which something has come
//	    unasked, is not used. Of the others the one that was used last is taken.
//	R3  A request that must not run twice gets a connection that was in use a
//	    moment ago, or a new one: a reset that crosses it would leave open whether
//	    it ran.
//	R4  A peer that does not acknowledge what was sent is noticed within
//	    ackTimeout, and an idle one that is gone within a few probes.
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

// Times and sizes of connections.
const (
	dialTimeout  = 400 * time.Millisecond
	ackTimeout   = 600 * time.Millisecond
	probeIdle    = time.Second
	probeEvery   = 500 * time.Millisecond
	probeCount   = 3
	defaultLife  = 2 * time.Second        // of an idle connection whose life is not announced
	lifeMargin   = 700 * time.Millisecond // before the end of an announced life
	freshIdle    = 300 * time.Millisecond // of a connection that serves for R3
	readBuffer   = 4096                   // bytes
	maxIdle      = 48                     // connections to one address
	sweepEvery   = time.Second
	maxIdleTotal = 1024
)

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused tells that the connection has served a request before.
	Reused bool

	address medlarid.Address
	idle    time.Time // since when
	expires time.Time // end of its life while idle
}

// Pool keeps the idle connections. It is safe for concurrent use.
type Pool struct {
	// OnDial is called for each new connection.
	OnDial func()

	mu    sync.Mutex
	idle  map[medlarid.Address][]*Conn // the last one was used last
	total int
	swept time.Time
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{OnDial: func() {}, idle: map[medlarid.Address][]*Conn{}}
}

// Get returns a connection; fresh asks for one that R3 allows.
func (p *Pool) Get(ctx context.Context, at medlarid.Address, fresh bool) (*Conn, error) {
	for c := p.take(at); c != nil; c = p.take(at) {
		now := time.Now()
		usable := now.Before(c.expires) && !(fresh && now.Sub(c.idle) > freshIdle)
		if usable && medlarprobe.Quiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, at)
}

func (p *Pool) dial(ctx context.Context, at medlarid.Address) (*Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control:         control,
	}
	c, err := d.DialContext(ctx, "tcp4", string(at))
	if err != nil {
		return nil, err
	}
	p.OnDial()
	return &Conn{Conn: c, Reader: bufio.NewReaderSize(c, readBuffer), address: at}, nil
}

// control bounds the time for which sent bytes stay unacknowledged (R4).
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Put gives a connection back after a whole answer. life is the announced time for
// which it may stay idle; 0 if none was (R1).
func (p *Pool) Put(c *Conn, life time.Duration) {
	now := time.Now()
	if life == 0 {
		life = defaultLife
	} else {
		life -= min(lifeMargin, life/2)
	}
	if c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.Reused, c.idle, c.expires = true, now, now.Add(life)
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.swept) > sweepEvery {
		p.sweep(now)
	}
	if len(p.idle[c.address]) >= maxIdle || p.total >= maxIdleTotal {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.total++
}

// take returns the idle connection that was used last, or nil (R2).
func (p *Pool) take(at medlarid.Address) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[at]
	if len(cs) == 0 {
		return nil
	}
	c := cs[len(cs)-1]
	cs[len(cs)-1] = nil
	p.idle[at] = cs[:len(cs)-1]
	p.total--
	return c
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(at medlarid.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[at] {
		_ = c.Close()
	}
	p.total -= len(p.idle[at])
	delete(p.idle, at)
}

// sweep closes the connections whose life has ended; the lock is held.
func (p *Pool) sweep(now time.Time) {
	p.swept = now
	for at, cs := range p.idle {
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
			delete(p.idle, at)
			continue
		}
		p.idle[at] = kept
	}
}

// Package medlardeadline ends the reads and writes of many connections at once.
package medlardeadline

import (
	"net"
	"sync"
	"time"
)

// Group is the connections whose reads and writes end together. It is safe for concurrent use.
type Group struct {
	mu    sync.Mutex
	uses  map[*use]struct{}
	ended bool
}

// use is one use of a connection, which may have others later.
type use struct{ conn net.Conn }

// New returns a group without connections.
func New() *Group { return &Group{uses: map[*use]struct{}{}} }

// Add adds a connection until remove is called; ok is false if the group has ended.
func (g *Group) Add(c net.Conn) (remove func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return func() {}, false
	}
	u := &use{conn: c}
	g.uses[u] = struct{}{}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.uses, u)
	}, true
}

// Extend sets the deadline of a connection, unless the group has ended.
func (g *Group) Extend(c net.Conn, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended {
		_ = c.SetDeadline(until)
	}
}

// End makes reads and writes of the connections fail with a timeout, and lets the group take no others.
func (g *Group) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	for u := range g.uses {
		_ = u.conn.SetDeadline(time.Now())
	}
}

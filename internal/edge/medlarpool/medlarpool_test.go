package medlarpool

import (
	"net"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
)

// listen returns the address of a listener and its accepted connections.
func listen(t *testing.T) (medlarid.Address, <-chan net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	peers := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			peers <- c
		}
	}()
	return medlarid.Address(ln.Addr().String()), peers
}

// TestGet asserts when a connection that was given back is used again.
func TestGet(t *testing.T) {
	for _, tc := range []struct {
		name  string
		life  time.Duration
		wait  time.Duration
		fresh bool
		peer  func(net.Conn)
		again bool
	}{
		{name: "idle", again: true},
		{name: "closed by the peer", peer: func(c net.Conn) { _ = c.Close() }},
		{name: "bytes came unasked", peer: func(c net.Conn) { _, _ = c.Write([]byte("x")) }},
		{name: "near the end of its life", life: time.Second, wait: 600 * time.Millisecond},
		{name: "within its life", life: 3 * time.Second, wait: 600 * time.Millisecond, again: true},
		{name: "in use a moment ago, for a request that must not run twice", fresh: true, again: true},
		{name: "idle for long, for a request that must not run twice", fresh: true, life: 5 * time.Second, wait: 400 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			at, peers := listen(t)
			p := New()
			c, err := p.Get(t.Context(), at, false)
			if err != nil {
				t.Fatal(err)
			}
			peer := <-peers
			p.Put(c, tc.life)
			if tc.peer != nil {
				tc.peer(peer)
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(tc.wait)
			again, err := p.Get(t.Context(), at, tc.fresh)
			if err != nil {
				t.Fatal(err)
			}
			if (again == c) != tc.again {
				t.Errorf("used again: %v, want %v", again == c, tc.again)
			}
		})
	}
}

func TestCloseIdle(t *testing.T) {
	at, peers := listen(t)
	p := New()
	c, err := p.Get(t.Context(), at, false)
	if err != nil {
		t.Fatal(err)
	}
	peer := <-peers
	p.Put(c, 0)
	p.CloseIdle(at)
	_ = peer.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := peer.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is still open")
	}
}

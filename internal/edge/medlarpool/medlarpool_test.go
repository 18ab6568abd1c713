package medlarpool

import (
	"crypto/rand"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"medlarfield/internal/base/medlarid"
)

// nextID returns an id that no other request has.
func nextID() medlarid.RequestID { return medlarid.RequestID(rand.Text()) }

// listen starts a listener and returns its address and its accepted connections.
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

// TestGet asserts when a connection that was returned to the pool is reused.
func TestGet(t *testing.T) {
	for _, tc := range []struct {
		name        string
		idleTimeout time.Duration
		wait        time.Duration
		recent      bool
		peer        func(net.Conn)
		reused      bool
	}{
		{name: "idle", reused: true},
		{name: "closed by the peer", peer: func(c net.Conn) { _ = c.Close() }},
		{name: "unsolicited bytes", peer: func(c net.Conn) { _, _ = c.Write([]byte("x")) }},
		{name: "near the end of its idle timeout", idleTimeout: time.Second, wait: 600 * time.Millisecond},
		{name: "within its idle timeout", idleTimeout: 3 * time.Second, wait: 600 * time.Millisecond, reused: true},
		{name: "recently used, for a request that must not run twice", recent: true, reused: true},
		{name: "idle for too long, for a request that must not run twice", recent: true, idleTimeout: 5 * time.Second, wait: 400 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			addr, peers := listen(t)
			p := NewDirect()
			c, err := p.Get(t.Context(), Target{Address: addr}, Need{})
			if err != nil {
				t.Fatal(err)
			}
			peer := <-peers
			p.Put(c, tc.idleTimeout)
			if tc.peer != nil {
				tc.peer(peer)
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(tc.wait)
			got, err := p.Get(t.Context(), Target{Address: addr}, Need{ID: "next", Recent: tc.recent})
			if err != nil {
				t.Fatal(err)
			}
			if (got == c) != tc.reused {
				t.Errorf("reused: %v, want %v", got == c, tc.reused)
			}
		})
	}
}

// TestConnectionCarriesIDOnce guards against two requests with one id on one connection, and against a further connection
// where an idle one can make room.
func TestConnectionCarriesIDOnce(t *testing.T) {
	addr, peers := listen(t)
	p := NewDirect()
	get := func(id medlarid.RequestID) *Conn {
		t.Helper()
		c, err := p.Get(t.Context(), Target{Address: addr}, Need{ID: id})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	one, two := get("a"), get("b")
	first, second := <-peers, <-peers
	p.Put(one, 0)
	p.Put(two, 0)
	if c := get("b"); c != one {
		t.Error("b did not get the connection that has carried a only")
	}
	p.Put(one, 0)
	if c := get("b"); c.Reused {
		t.Error("b got a connection that has carried it")
	}
	closed := 0
	for _, peer := range []net.Conn{first, second} {
		_ = peer.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := peer.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
			closed++
		}
	}
	if closed != 1 {
		t.Errorf("%d idle connections were closed for the new one, want 1", closed)
	}
}

// TestIsolatedAddressGetsNewConnections guards against a connection that carries several requests to an upstream
// whose rejections do not name them.
func TestIsolatedAddressGetsNewConnections(t *testing.T) {
	addr, _ := listen(t)
	p := NewDirect()
	get := func() *Conn {
		t.Helper()
		c, err := p.Get(t.Context(), Target{Address: addr}, Need{ID: nextID()})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	idle, open := get(), get()
	p.Put(idle, 0)
	p.Isolate(addr)
	p.Put(open, 0)
	if c := get(); c.Reused {
		t.Error("the connection has carried a request before")
	}
}

func TestCloseIdle(t *testing.T) {
	addr, peers := listen(t)
	p := NewDirect()
	c, err := p.Get(t.Context(), Target{Address: addr}, Need{})
	if err != nil {
		t.Fatal(err)
	}
	peer := <-peers
	p.Put(c, 0)
	p.CloseIdle(addr)
	_ = peer.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := peer.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is still open")
	}
}

// userTimeout returns the time for which the peer of a connection may be silent.
func userTimeout(t *testing.T, c *Conn) time.Duration {
	t.Helper()
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var n int
	err = raw.Control(func(fd uintptr) { n, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) })
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(n) * time.Millisecond
}

// TestSilentPeerIsGivenTime guards against requests that must not run twice, and answers in progress, that are cut off
// since a sound peer is silent for a second or so.
func TestSilentPeerIsGivenTime(t *testing.T) {
	const sound = 1500 * time.Millisecond // of silence
	addr, _ := listen(t)
	p := NewDirect()
	get := func(recent bool) *Conn {
		t.Helper()
		c, err := p.Get(t.Context(), Target{Address: addr}, Need{ID: nextID(), Recent: recent})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	assertPatient := func(what string, c *Conn, want bool) {
		t.Helper()
		if d := userTimeout(t, c); (d > sound) != want {
			t.Errorf("%s: cut off after %v of silence; outlasts %v: %v, want %v", what, d, sound, !want, want)
		}
	}
	c := get(false)
	assertPatient("request that may be sent elsewhere", c, false)
	c.AnswerBegan()
	assertPatient("answer in progress", c, true)
	p.Put(c, 0)
	c = get(false)
	assertPatient("next request", c, false)
	p.Put(c, 0)
	assertPatient("request that must not run twice, on a connection in use before", get(true), true)
	assertPatient("request that must not run twice, on a new connection", get(true), true)
}

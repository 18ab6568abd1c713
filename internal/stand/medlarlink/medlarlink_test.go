package medlarlink

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

const soon = 200 * time.Millisecond

// echo starts a server that sends back the lines that it gets.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String()
}

// exchange sends a line and reads one.
func exchange(c net.Conn) error {
	_ = c.SetDeadline(time.Now().Add(soon))
	if _, err := io.WriteString(c, "x\n"); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

func dial(t *testing.T, address string) (net.Conn, error) {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, soon)
	if err == nil {
		t.Cleanup(func() { _ = c.Close() })
	}
	return c, err
}

func assertError(t *testing.T, what string, err, want error) {
	t.Helper()
	if want == os.ErrDeadlineExceeded && os.IsTimeout(err) {
		return
	}
	if !errors.Is(err, want) {
		t.Errorf("%s: %v, want %v", what, err, want)
	}
}

// TestStates guards against a stand-in whose cuts are not the ones that it is asked for.
func TestStates(t *testing.T) {
	for _, tc := range []struct {
		state     State
		open, new error // of an exchange on an open connection, and of a new connection
	}{
		{Silent, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{Reset, syscall.ECONNRESET, syscall.ECONNREFUSED},
		{Refused, nil, syscall.ECONNREFUSED},
		{OpensSilent, os.ErrDeadlineExceeded, nil},
		{OpensReset, syscall.ECONNRESET, nil},
	} {
		t.Run(string(tc.state), func(t *testing.T) {
			l := New()
			t.Cleanup(l.Close)
			address, err := l.Address(echo(t))
			if err != nil {
				t.Fatal(err)
			}
			for range 2 {
				c, err := dial(t, address)
				assertError(t, "connect while up", err, nil)
				assertError(t, "exchange while up", exchange(c), nil)
				assertError(t, "cut", l.Set(tc.state), nil)
				assertError(t, "open connection", exchange(c), tc.open)
				fresh, err := dial(t, address)
				assertError(t, "new connection", err, tc.new)
				if err == nil {
					assertError(t, "exchange on a new connection", exchange(fresh), tc.open)
				}
				assertError(t, "heal", l.Set(Up), nil)
			}
		})
	}
}

// TestHeldBytes guards against bytes that are lost while a link is silent.
func TestHeldBytes(t *testing.T) {
	l := New()
	t.Cleanup(l.Close)
	address, err := l.Address(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	c, err := dial(t, address)
	assertError(t, "connect", err, nil)
	assertError(t, "cut", l.Set(Silent), nil)
	assertError(t, "exchange", exchange(c), os.ErrDeadlineExceeded)
	assertError(t, "heal", l.Set(Up), nil)
	_ = c.SetDeadline(time.Now().Add(soon))
	if line, err := bufio.NewReader(c).ReadString('\n'); line != "x\n" || err != nil {
		t.Errorf("got %q, %v; want the line that was held back", line, err)
	}
}

// TestHeldConnection guards against a link that stays silent because a connection was waiting to be accepted
// when it fell silent.
func TestHeldConnection(t *testing.T) {
	l := New()
	t.Cleanup(l.Close)
	target := echo(t)
	address, err := l.Address(target)
	assertError(t, "address", err, nil)
	p := l.ports[target]
	p.pause() // nothing is accepted from here on
	c, err := dial(t, address)
	assertError(t, "connect", err, nil)
	l.mu.Lock()
	l.state = Silent
	assertError(t, "cut", l.apply(p, Silent), nil)
	l.mu.Unlock()
	assertError(t, "exchange", exchange(c), os.ErrDeadlineExceeded)
	assertError(t, "heal", l.Set(Up), nil)
	_ = c.SetDeadline(time.Now().Add(soon))
	if line, err := bufio.NewReader(c).ReadString('\n'); line != "x\n" || err != nil {
		t.Errorf("got %q, %v; want the line that was held back", line, err)
	}
}

// TestResetWhileConnecting guards against a connection that outlives the reset of its link because it was not yet
// connected with the replica.
func TestResetWhileConnecting(t *testing.T) {
	l := New()
	t.Cleanup(l.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assertError(t, "listen", err, nil)
	t.Cleanup(func() { _ = ln.Close() })
	c, err := dial(t, ln.Addr().String())
	assertError(t, "connect", err, nil)
	near, err := ln.Accept()
	assertError(t, "accept", err, nil)
	assertError(t, "cut", l.Set(Reset), nil)
	go l.connect(echo(t), near)
	assertError(t, "exchange", exchange(c), syscall.ECONNRESET)
}

// TestRefusingLinkKeepsItsAddress guards against a link that cannot come back since another one, or another process,
// has taken its address meanwhile.
func TestRefusingLinkKeepsItsAddress(t *testing.T) {
	for _, state := range []State{Reset, Refused} {
		t.Run(string(state), func(t *testing.T) {
			l := New()
			t.Cleanup(l.Close)
			at, err := l.Address(echo(t))
			if err != nil {
				t.Fatal(err)
			}
			for range 2 {
				if err := l.Set(state); err != nil {
					t.Fatal(err)
				}
				other, err := net.Listen("tcp", at)
				if err == nil {
					_ = other.Close()
				}
				assertError(t, "another listener", err, syscall.EADDRINUSE)
				if err := l.Set(Up); err != nil {
					t.Fatal(err)
				}
				c, err := dial(t, at)
				if err != nil {
					t.Fatal(err)
				}
				if err := exchange(c); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

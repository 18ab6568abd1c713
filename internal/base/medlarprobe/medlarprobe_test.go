package medlarprobe

import (
	"net"
	"testing"
	"time"
)

func TestGone(t *testing.T) {
	for _, tc := range []struct {
		name string
		act  func(*testing.T, net.Conn)
		want bool
	}{
		{"idle peer", func(*testing.T, net.Conn) {}, false},
		{"peer sent data", func(t *testing.T, c net.Conn) { write(t, c) }, false},
		{"peer closed", func(_ *testing.T, c net.Conn) { _ = c.Close() }, true},
		{"peer reset", func(t *testing.T, c net.Conn) { reset(t, c) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) { assertGone(t, tc.act, tc.want) })
	}
}

func assertGone(t *testing.T, act func(*testing.T, net.Conn), want bool) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	if Gone(c) {
		t.Fatal("Gone is true for a new connection")
	}
	act(t, peer)
	got := false
	for range 100 { // the FIN, RST or data of the peer arrives with a delay
		if got = Gone(c); got == want && want {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func write(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
}

func reset(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
}

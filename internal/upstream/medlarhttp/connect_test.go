package medlarhttp

import (
	"net"
	"syscall"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
)

// TestConnectIsPartOfTimeout guards against a call to a silent address that lasts longer than its timeout.
func TestConnectIsPartOfTimeout(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	fillBacklog(t, ln)
	assertFailure(t, medlarid.Address(ln.Addr().String()), KindUnreachable, false)
}

// fillBacklog opens connections to a listener that accepts none, until further ones get no response.
func fillBacklog(t *testing.T, ln net.Listener) {
	t.Helper()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }); err != nil {
		t.Fatal(err)
	}
	for range 16 {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the listener still accepts connections")
}

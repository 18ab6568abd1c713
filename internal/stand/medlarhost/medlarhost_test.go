package medlarhost

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"medlarfield/internal/stand/medlarfault"
)

// listen listens at an address as one whose address is in use by nobody.
func listen(at string) error {
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 0) })
		if err != nil {
			return err
		}
		return failed
	}}
	ln, err := cfg.Listen(context.Background(), "tcp", at)
	if err == nil {
		err = ln.Close()
	}
	return err
}

// TestKilledServerKeepsItsAddress asserts that a stand-in that is killed refuses
// connections, and that its address is not given to another one, whose answers would be
// taken for its own.
func TestKilledServerKeepsItsAddress(t *testing.T) {
	h, err := New("part", "127.0.0.1:0", medlarfault.New(), func(*fasthttp.RequestCtx) {})
	if err != nil {
		t.Fatal(err)
	}
	at := string(h.Address)
	if err := h.Kill(); err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", at); err == nil {
		_ = c.Close()
		t.Error("a killed host takes connections")
	}
	if listen(at) == nil {
		t.Error("the address of a killed host is free")
	}
	h.Close()
	if err := listen(at); err != nil {
		t.Errorf("the address of a closed host: %v", err)
	}
}

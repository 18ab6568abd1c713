package medlarserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarmemory"
	"medlarfield/internal/core/medlarreason"
)

// fixture is a server whose memory is bounded. It answers each request with the length of its body.
type fixture struct {
	t       *testing.T
	account *medlarmemory.Account
	addr    string
	hold    chan struct{} // closed to let requests with a body end

	mu      sync.Mutex
	reasons []medlarreason.Reason // of refusals
}

func newFixture(t *testing.T, bound int64) *fixture {
	t.Helper()
	f := &fixture{t: t, account: medlarmemory.New(bound), hold: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = ln.Addr().String()
	server := New(Deps{
		Limits: func() medlarcatalog.Limits {
			return medlarcatalog.Limits{MaxHeaderBytes: headLimit, MaxBodyBytes: 256 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}
		},
		Memory: f.account,
		Serve: func(r Request) bool {
			if len(r.Body) > 0 {
				<-f.hold
			}
			return r.Conn.Send(medlarhead.AppendEnd(medlarhead.AppendLength(medlarhead.AppendStatus(nil, 200), 0))) == nil
		},
		Reject: func(c *Conn, _ string, status int, reason medlarreason.Reason) {
			f.mu.Lock()
			f.reasons = append(f.reasons, reason)
			f.mu.Unlock()
			_ = c.Send(medlarhead.AppendEnd(medlarhead.AppendLength(medlarhead.AppendStatus(nil, status), 0)))
		},
	})
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return f
}

// send sends text on a new connection.
func (f *fixture) send(text string) net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, text) // fails if the request is refused before its end
	return c
}

// body returns a request with n bytes of a body of a length.
func body(length, n int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", n))
}

const (
	headLimit = 16 << 10

	plain  = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	noHead = "GET / HTTP/1.1\r\nHost: a\r\n"
)

func assertStatus(t *testing.T, c net.Conn, want int) {
	t.Helper()
	h, err := medlarhead.ReadResponse(bufio.NewReader(c), 1024, "GET")
	if err != nil || h.Status != want {
		t.Errorf("response %+v, %v, want status %d", h, err, want)
	}
}

// awaitHeld waits until n bytes at least are reserved for a kind.
func (f *fixture) awaitHeld(k medlarmemory.Kind, n int64) {
	f.t.Helper()
	f.await(func() bool { return f.account.Held(k) >= n })
}

func (f *fixture) await(condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("condition not met within 5 s")
		}
	}
}

// assertEmpty waits until nothing is reserved.
func (f *fixture) assertEmpty() {
	f.t.Helper()
	f.await(func() bool {
		for _, k := range medlarmemory.Kinds() {
			if f.account.Held(k) != 0 {
				return false
			}
		}
		return true
	})
}

// assertReason checks why the last request was refused.
func (f *fixture) assertReason(want medlarreason.Reason) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.reasons); n == 0 || f.reasons[n-1] != want {
		f.t.Errorf("refused for %v, want %q as the last", f.reasons, want)
	}
}

// TestBodiesWithinMemory guards against a server whose callers fill the memory together, each within the limit of one
// body, and against one that stops serving small requests then (R4).
func TestBodiesWithinMemory(t *testing.T) {
	const size = 256 << 10
	for _, tc := range []struct {
		name string
		sent int // bytes of each body
		kind medlarmemory.Kind
	}{
		{"unfinished", size - 10, medlarmemory.KindBodies},
		{"of requests that run", size, medlarmemory.KindRequests},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, 640<<10)
			first := f.send(body(size, tc.sent))
			f.awaitHeld(tc.kind, size)
			second := f.send(body(size, size))
			assertStatus(t, second, 503)
			f.assertReason(medlarreason.Memory)
			if _, err := second.Read(make([]byte, 1)); err == nil {
				t.Error("the connection stays open")
			}
			assertStatus(t, f.send(plain), 200)
			close(f.hold)
			if _, err := io.WriteString(first, strings.Repeat("x", size-tc.sent)); err != nil {
				t.Fatal(err)
			}
			assertStatus(t, first, 200)
			f.assertEmpty()
			assertStatus(t, f.send(body(size, size)), 200)
			f.assertEmpty()
		})
	}
}

// TestStalledClientsMakeRoom guards against clients that send a part of a request and stay connected, so that active
// ones are refused until the stalled ones are timed out (R4).
func TestStalledClientsMakeRoom(t *testing.T) {
	const size = 256 << 10
	for _, tc := range []struct {
		name, stalled, active string
		kind                  medlarmemory.Kind
		held                  int64
		bound                 int64
	}{
		{"bodies", body(size, size-10), body(size, size), medlarmemory.KindBodies, size, 640 << 10},
		{"heads", noHead, plain, medlarmemory.KindHeads, headCopies * headLimit, 4 * headCopies * headLimit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, tc.bound)
			close(f.hold)
			stalled := f.send(tc.stalled)
			f.awaitHeld(tc.kind, tc.held)
			f.await(func() bool { // once the first one counts as stalled
				h, err := medlarhead.ReadResponse(bufio.NewReader(f.send(tc.active)), 1024, "GET")
				return err == nil && h.Status == 200
			})
			assertStatus(t, stalled, 503)
			f.assertEmpty()
		})
	}
}

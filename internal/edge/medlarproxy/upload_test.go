package medlarproxy_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/edge/medlarproxy"
	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/stand/medlarfakereplica"
)

// uploadBytes is the length of a body that takes longer to write than a replica takes to respond.
const uploadBytes = 600_000

// newUploadServer returns the address of a server whose connections to a replica buffer less than uploadBytes.
func newUploadServer(t *testing.T, r *medlarfakereplica.Replica, kind medlarcatalog.RouteKind) string {
	t.Helper()
	cat := medlarcatalog.New(1, []medlarcatalog.Route{{
		Name: "r", Host: "a.example", Prefix: "/", Kind: kind, AllowAnonymous: true, MaxAttempts: 1,
		Timeout: 5 * time.Second, Backends: []medlarcatalog.Backend{{Service: "s", Weight: 1}},
	}}, nil, nil, false, medlarcatalog.Limits{MaxHeaderBytes: 8192, MaxBodyBytes: maxBody, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second})
	_, addr := newServer(t, r, func(d *medlarproxy.Deps) {
		d.Catalog = func() *medlarcatalog.Catalog { return cat }
		d.Pool = medlarpool.New(medlarpool.Deps{
			Dial: func(ctx context.Context, target medlarpool.Target) (net.Conn, medlarid.InstanceID, error) {
				c, err := medlarpool.Dial(ctx, target.Address)
				if err == nil {
					_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
				}
				return c, "", err
			},
			Usable: func(*medlarpool.Conn) bool { return true },
		})
	})
	return addr
}

// TestResetDuringUpload guards against a part of a response that a client gets as the whole: the replica resets the connection
// while the body of the request is written. The failed write takes the error of the connection, so that the read that follows
// finds an orderly end.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 25
	for _, kind := range []medlarcatalog.RouteKind{medlarcatalog.KindAtMostOnce, medlarcatalog.KindStream} {
		for _, e := range medlarending.BrokenOffEarly {
			t.Run(fmt.Sprintf("%s/%s", kind, e.Name), func(t *testing.T) {
				t.Parallel()
				r, err := medlarfakereplica.New(medlarfakereplica.Settings{ID: "one", Service: "s", Slots: 64}, func() {})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(r.Kill)
				addr := newUploadServer(t, r, kind)
				whole := 0
				for n := range rounds {
					r.ArmEnding(e)
					h, body, err := upload(t, addr, fmt.Sprint("r", n))
					if h != nil && err == nil && h.Status < 500 {
						whole++
						t.Logf("status %d, body of %d bytes", h.Status, len(body))
					}
				}
				if whole > 0 {
					t.Errorf("%d of %d responses that were broken off count as complete", whole, rounds)
				}
			})
		}
	}
}

// upload sends a request with a long body on a new connection and returns its response; the error is that of its body.
func upload(t *testing.T, addr, id string) (*medlarhead.Head, []byte, error) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a.example\r\nMedlarfield-Request-Id: %s\r\nMedlarfield-Timeout-Ms: 4000\r\nContent-Length: %d\r\n\r\n", id, uploadBytes)
	if _, err := c.Write(append([]byte(head), bytes.Repeat([]byte{'u'}, uploadBytes)...)); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	h, err := medlarhead.ReadResponse(br, 8192, "POST")
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(medlarframing.NewBody(br, h))
	return h, body, err
}

// TestStatusOutOfRange guards against a status that is none of HTTP and that reaches a client.
func TestStatusOutOfRange(t *testing.T) {
	for _, kind := range []medlarcatalog.RouteKind{medlarcatalog.KindAtMostOnce, medlarcatalog.KindStream} {
		for _, early := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/early %v", kind, early), func(t *testing.T) {
				t.Parallel()
				r, err := medlarfakereplica.New(medlarfakereplica.Settings{ID: "one", Service: "s", Slots: 64}, func() {})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(r.Kill)
				addr := newUploadServer(t, r, kind)
				for _, status := range medlarending.OutOfRange {
					for n, e := range medlarending.WithStatus(status) {
						e.Early = early
						r.ArmEnding(e)
						h, _, err := upload(t, addr, fmt.Sprintf("r%s-%d", status, n))
						if h == nil || h.Status != 502 && h.Status != 504 {
							t.Errorf("%s: got %v, %v; want 502 or 504", e.Name, h, err)
						}
					}
				}
			})
		}
	}
}

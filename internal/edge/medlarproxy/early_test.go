package medlarproxy_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/stand/medlarfakereplica"
)

// received is what a replica reads of one request.
type received struct {
	id   string
	body string
}

// earlyReplica answers each request once it has read the head, and reads the body later, on the same connection.
type earlyReplica struct {
	address string
	answer  string // without the id

	mu  sync.Mutex
	got []received
}

func newEarlyReplica(t *testing.T, answer string) *earlyReplica {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	r := &earlyReplica{address: ln.Addr().String(), answer: answer}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

// readLater is how long an early replica waits before it reads a body.
const readLater = 20 * time.Millisecond

func (r *earlyReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		h, err := medlarhead.ReadRequest(br, 8192)
		if err != nil {
			return
		}
		id, _ := h.Get("Medlarfield-Request-Id")
		if _, err := fmt.Fprintf(c, r.answer, id); err != nil {
			return
		}
		time.Sleep(readLater)
		body, err := medlarframing.ReadBody(br, h, maxBody)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.got = append(r.got, received{id: id, body: string(body)})
		r.mu.Unlock()
	}
}

// TestAnswerBeforeRequestIsRead guards against bytes of another request where a replica, which answers before it has read
// a long body, reads the rest of that body.
func TestAnswerBeforeRequestIsRead(t *testing.T) {
	const signed = "Medlarfield-Request-Id: %s\r\nMedlarfield-Server-Signature: sig\r\nContent-Length: 2\r\n\r\nok"
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\n" + signed,
		"HTTP/1.1 413 Too Large\r\n" + signed,
		"HTTP/1.1 503 Busy\r\nMedlarfield-Not-Executed: 1\r\n" + signed,
		"HTTP/1.1 421 Elsewhere\r\nMedlarfield-Instance-Id: other\r\n" + signed,
	} {
		for _, size := range []int{1 << 10, 20 << 10, 300 << 10, maxBody} {
			t.Run(fmt.Sprintf("%s/%d bytes", answer[9:12], size), func(t *testing.T) {
				t.Parallel()
				r := newEarlyReplica(t, answer)
				_, addr := newServerOf(t, "one", r.address, nil)
				for n := range 6 {
					id := fmt.Sprintf("r%d", n)
					sendLong(t, addr, id, bytes.Repeat([]byte{byte('a' + n)}, size))
				}
				time.Sleep(5 * readLater)
				r.mu.Lock()
				defer r.mu.Unlock()
				for _, got := range r.got {
					if want := string(bytes.Repeat([]byte{'a' + got.id[1] - '0'}, size)); got.body != want {
						t.Errorf("%s: the replica read a body of %d bytes that begins with %q, want its own of %d", got.id, len(got.body), got.body[:min(len(got.body), 20)], size)
					}
				}
			})
		}
	}
}

// sendLong sends a request with a body on a new connection and reads the whole response.
func sendLong(t *testing.T, addr, id string, body []byte) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a.example\r\nMedlarfield-Request-Id: %s\r\nMedlarfield-Timeout-Ms: 4000\r\nContent-Length: %d\r\n\r\n", id, len(body))
	if _, err := c.Write(append([]byte(head), body...)); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	h, err := medlarhead.ReadResponse(br, 8192, "POST")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(medlarframing.NewBody(br, h)); err != nil {
		t.Error(err)
	}
}

// TestRequestsSentEarly guards against a response that belongs to another request, or that comes with none waiting, for
// a client that sends its next requests before it has the response.
func TestRequestsSentEarly(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault medlarfakereplica.Fault // of each second request; empty for none
	}{
		{name: "sound"},
		{"failures", medlarfakereplica.FaultFail},
		{"cut off", medlarfakereplica.FaultCut},
		{"to the close", medlarfakereplica.FaultUnframed},
		{"reset", medlarfakereplica.FaultReset},
		{"bytes more", medlarfakereplica.FaultExtra},
		{"answer of another request first", medlarfakereplica.FaultForeign},
		{"rejected", medlarfakereplica.FaultShed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r, err := medlarfakereplica.New(medlarfakereplica.Settings{ID: "one", Service: "s", Slots: 64}, func() {})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Kill)
			_, addr := newServer(t, r, nil)
			for range 10 {
				if tc.fault != "" {
					r.Arm(tc.fault, 1)
				}
				assertOwnResponses(t, addr)
			}
		})
	}
}

// assertOwnResponses sends several requests at once and asserts that the responses are whole, in order, and no more.
func assertOwnResponses(t *testing.T, addr string) {
	t.Helper()
	methods := []string{"GET", "POST", "HEAD", "POST", "GET"}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	var text bytes.Buffer
	for n, method := range methods {
		body := fmt.Sprintf("body %d", n)
		if method != "POST" {
			body = ""
		}
		connection := "keep-alive"
		if n == len(methods)-1 {
			connection = "close"
		}
		fmt.Fprintf(&text, "%s /%d HTTP/1.1\r\nHost: a.example\r\nMedlarfield-Request-Id: r%d\r\nMedlarfield-Timeout-Ms: 4000\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n%s",
			method, n, n, connection, len(body), body)
	}
	if _, err := c.Write(text.Bytes()); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	for n, method := range methods {
		h, err := medlarhead.ReadResponse(br, 8192, method)
		if err != nil {
			t.Errorf("request %d: %v", n, err)
			return
		}
		body, err := io.ReadAll(medlarframing.NewBody(br, h))
		id, _ := h.Get("Medlarfield-Request-Id")
		own := fmt.Sprintf("r%d", n)
		if err != nil || id != own && (id != "" || h.Status < 500) || h.Status == 200 && method != "HEAD" && string(body) != "answer to "+own {
			t.Errorf("request %d: status %d, id %q, body %q, error %v", n, h.Status, id, body, err)
		}
	}
	if rest, err := io.ReadAll(br); err != nil || len(rest) > 0 {
		t.Errorf("%q, %v behind the last response", rest, err)
	}
}

// TestRejectionOfHeadHasNoBody guards against a body in the response to a request with the method HEAD whose own body
// cannot be read: its client waits for no such bytes.
func TestRejectionOfHeadHasNoBody(t *testing.T) {
	for _, tc := range []struct {
		name, rest string
		status     int
	}{
		{"too long", fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody+1), 413},
		{"no chunks", "Transfer-Encoding: chunked\r\n\r\nbody\r\n", 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, addr := newServerOf(t, "one", "127.0.0.1:1", nil)
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			if _, err := io.WriteString(c, "HEAD / HTTP/1.1\r\nHost: a.example\r\n"+tc.rest); err != nil {
				t.Fatal(err)
			}
			br := bufio.NewReader(c)
			h, err := medlarhead.ReadResponse(br, 8192, "HEAD")
			if err != nil || h.Status != tc.status {
				t.Fatalf("got %v, %v; want status %d", h, err, tc.status)
			}
			if rest, err := io.ReadAll(br); err != nil || len(rest) > 0 {
				t.Errorf("%q, %v behind the head", rest, err)
			}
		})
	}
}

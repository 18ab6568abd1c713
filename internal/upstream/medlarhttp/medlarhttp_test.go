package medlarhttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
)

// behavior is what a server does with a connection after reading a request.
type behavior func(net.Conn)

func closeImmediately(net.Conn) {}

func hang(net.Conn) { time.Sleep(time.Second) }

func truncateBody(c net.Conn) {
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"))
}

func respondInvalidJSON(c net.Conn) {
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{"))
}

func respondUnavailable(c net.Conn) {
	_, _ = c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
}

// startServer starts a server and returns its address and the number of requests
// it has read.
func startServer(t *testing.T, b behavior) (medlarid.Address, *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	var requests atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveConn(c, b, &requests)
		}
	}()
	return medlarid.Address(ln.Addr().String()), &requests
}

func serveConn(c net.Conn, b behavior, requests *atomic.Int32) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if strings.TrimSpace(line) == "" {
			requests.Add(1)
			b(c)
			return
		}
	}
}

func TestEachMethodSentOnce(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"} {
		for name, do := range map[string]func(*Client, Request) (Response, error){"pooled": doPooled, "single": (*Client).Do} {
			t.Run(method+" "+name, func(t *testing.T) { assertSentOnce(t, method, do) })
		}
	}
}

// doPooled sends a request on a pooled connection and reads the complete response.
func doPooled(c *Client, r Request) (Response, error) {
	s, err := c.OpenPooled(r)
	if err != nil {
		return Response{}, err
	}
	defer s.Close()
	body, err := io.ReadAll(s.Body)
	return Response{Status: s.Status, Body: body}, err
}

func assertSentOnce(t *testing.T, method string, do func(*Client, Request) (Response, error)) {
	t.Helper()
	at, requests := startServer(t, closeImmediately)
	_, err := do(New(time.Second), Request{Method: method, Address: at, Path: "/", Timeout: time.Second})
	if err == nil || !Sent(err) {
		t.Errorf("got error %v, want one for which Sent is true", err)
	}
	time.Sleep(20 * time.Millisecond) // a retry would arrive immediately
	if n := requests.Load(); n != 1 {
		t.Errorf("the request was sent %d times, want 1", n)
	}
}

func TestFailureKinds(t *testing.T) {
	for _, tc := range []struct {
		name   string
		server behavior
		want   Kind
		sent   bool
	}{
		{"connection closed", closeImmediately, KindBroken, true},
		{"no response", hang, KindTimeout, true},
		{"truncated body", truncateBody, KindBroken, true},
		{"invalid JSON", respondInvalidJSON, KindMalformed, true},
		{"error status", respondUnavailable, KindStatus, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at, _ := startServer(t, tc.server)
			assertFailure(t, at, tc.want, tc.sent)
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		at := medlarid.Address(ln.Addr().String())
		_ = ln.Close()
		assertFailure(t, at, KindUnreachable, false)
	})
}

// TestTruncatedResponseIsAnError guards against a response that counts as complete although
// its connection was closed or reset before the end that its framing requires.
func TestTruncatedResponseIsAnError(t *testing.T) {
	const chunked, length, unframed = "Transfer-Encoding: chunked\r\n\r\n", "Content-Length: 10\r\n\r\n", "\r\n"
	for _, tc := range []struct {
		name, response string
		reset          bool
	}{
		{"before the first chunk", chunked, false},
		{"within a chunk size", chunked + "4\r\nhalf\r\n1", false},
		{"within a chunk", chunked + "8\r\nhalf", false},
		{"after the data of a chunk", chunked + "4\r\nhalf", false},
		{"between two chunks", chunked + "4\r\nhalf\r\n", false},
		{"within the final chunk", chunked + "4\r\nhalf\r\n0\r\n", false},
		{"before the first byte", length, false},
		{"within the body", length + "half", false},
		{"reset between two chunks", chunked + "4\r\nhalf\r\n", true},
		{"reset of a body without a length", unframed + "half", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at, _ := startServer(t, func(c net.Conn) {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + tc.response))
				if tc.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			req := Request{Method: "GET", Address: at, Path: "/", Timeout: time.Second}
			_, err := New(time.Second).Do(req)
			assertBroken(t, err)
			if s, err := New(time.Second).Open(req); err == nil {
				defer s.Close()
				_, err = io.ReadAll(s.Body)
				assertBroken(t, callError(err))
			}
		})
	}
}

func assertBroken(t *testing.T, err error) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindBroken || e.Err == nil {
		t.Errorf("got %v, want kind %s", err, KindBroken)
	}
}

func assertFailure(t *testing.T, at medlarid.Address, want Kind, sent bool) {
	t.Helper()
	start := time.Now()
	var out struct{}
	err := New(10*time.Second).DoJSON(Request{Method: "GET", Address: at, Path: "/", Timeout: 100 * time.Millisecond}, nil, &out)
	var e *Error
	if !errors.As(err, &e) || e.Kind != want {
		t.Fatalf("got %v, want kind %s", err, want)
	}
	if Sent(err) != sent {
		t.Errorf("Sent is %v, want %v", Sent(err), sent)
	}
	if elapsed := time.Since(start); elapsed > 500*time.Millisecond {
		t.Errorf("a request with a timeout of 100 ms took %v", elapsed)
	}
}

func TestInterruptedRequestCountsAsSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, err := dial(ln.Addr().String(), 0, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("POST / HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	_, _ = peer.Read(make([]byte, 1))
	_ = peer.Close() // resets the connection, as unread data remains
	time.Sleep(20 * time.Millisecond)
	if _, err := c.Write([]byte("\r\n")); err == nil || !Sent(callError(err)) {
		t.Errorf("got error %v, want one for which Sent is true", err)
	}
}

// TestClosedPooledConnectionIsUnreachable guards against a request on a kept connection that the peer has closed, or
// on which it has sent what belongs to no request.
func TestClosedPooledConnectionIsUnreachable(t *testing.T) {
	const empty = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for _, tc := range []struct {
		name  string
		after behavior
	}{
		{"closed without a Connection: close header", func(c net.Conn) { _ = c.Close() }},
		{"a response more", func(c net.Conn) { _, _ = c.Write([]byte(empty)) }},
		{"part of a response", func(c net.Conn) { _, _ = c.Write([]byte("H")) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			read, used := make(chan struct{}), make(chan struct{})
			at, requests := startServer(t, func(c net.Conn) {
				_, _ = c.Write([]byte(empty))
				<-read
				tc.after(c)
				close(used)
				time.Sleep(time.Second)
			})
			c := New(time.Second)
			req := Request{Method: "POST", Address: at, Path: "/", Timeout: time.Second}
			if _, err := doPooled(c, req); err != nil {
				t.Fatal(err)
			}
			close(read)
			<-used
			time.Sleep(20 * time.Millisecond)
			_, err := doPooled(c, req)
			if err == nil || Sent(err) || requests.Load() != 1 {
				t.Errorf("got error %v after %d requests, want one for which Sent is false after 1", err, requests.Load())
			}
		})
	}
}

// TestEachRequestHasOwnConnection guards against a request on a connection that carried another one, by whatever
// call and whatever the server says of keeping it.
func TestEachRequestHasOwnConnection(t *testing.T) {
	const requests = 3
	conns := make(chan net.Conn, 2*requests)
	at, _ := startServer(t, func(c net.Conn) {
		conns <- c
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\n{}"))
		time.Sleep(time.Second)
	})
	c := New(time.Second)
	req := Request{Method: "GET", Address: at, Path: "/", Timeout: time.Second}
	for range requests {
		if err := c.DoJSON(req, nil, &struct{}{}); err != nil {
			t.Error(err)
		}
		if s, err := c.Open(req); err != nil {
			t.Error(err)
		} else {
			s.Close()
		}
	}
	if n := len(conns); n != 2*requests {
		t.Errorf("%d requests used %d connections", 2*requests, n)
	}
}

// TestResponseWithoutEnd guards against a response of a peer in trouble that is read on and on, held in memory, or
// cut and returned as if it were whole.
func TestResponseWithoutEnd(t *testing.T) {
	const maxBody, timeout = 1 << 16, 2 * time.Second
	for _, tc := range []struct{ name, start, repeat string }{
		{"line", "", "x"},
		{"head", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n", "x"},
		{"body in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"body to the end of the connection", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x"},
		{"size of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			sent := make(chan int, 1)
			go func() { sent <- sendWithoutEnd(ln, tc.start, tc.repeat) }()
			begin := time.Now()
			resp, err := New(time.Second).Do(Request{Method: "GET", Address: medlarid.Address(ln.Addr().String()), Path: "/", Timeout: timeout, MaxBody: maxBody})
			if err == nil {
				t.Errorf("got %d bytes as a whole response, want an error", len(resp.Body))
			}
			if took := time.Since(begin); took > timeout/2 {
				t.Errorf("ended after %v, want %v at most", took, timeout/2)
			}
			if n := <-sent; n > 16<<20 {
				t.Errorf("%d bytes were taken", n)
			}
		})
	}
}

// sendWithoutEnd accepts one connection and sends until the peer closes it. It returns the number
// of bytes that it sent.
func sendWithoutEnd(ln net.Listener, start, repeat string) int {
	c, err := ln.Accept()
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	sent, text, block := 0, []byte(start), []byte(strings.Repeat(repeat, 2048))
	for {
		n, err := c.Write(text)
		sent += n
		if err != nil {
			return sent
		}
		text = block
	}
}

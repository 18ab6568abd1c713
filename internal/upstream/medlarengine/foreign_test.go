package medlarengine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarhttp"
)

// Parts of responses of an engine to a run that goes on after two parts.
const (
	streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	failureHead = "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: other\r\n"
	finalEvent  = `data: {"version":"v1","seq":3,"choices":[{"finish_reason":"stop"}],"usage":{}}` + "\n\ndata: [DONE]\n\n"
)

// part returns the event of one part of a request's answer.
func part(id medlarid.RequestID, seq int, text string) string {
	return fmt.Sprintf(`data: {"request":%q,"version":"v1","seq":%d,"choices":[{"text":%q}]}`+"\n\n", id, seq, text)
}

// ofLength returns a response of the length of its whole body, which stops in it, and behind which the whole response is
// written again.
func ofLength(begun, again string) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", len(again)+200)
	return head + begun + head + again + strings.Repeat(": wait\n\n", 25)
}

// TestResponsesThatAreNoContinuation guards against text of a failure, or parts of another run, in an answer that
// broke off and goes on at the next engine, and against its end as if it were complete.
func TestResponsesThatAreNoContinuation(t *testing.T) {
	p := newRunRequest()
	p.ResumeParts = 2
	own := part(p.RequestID, 2, "own")
	longer := part(p.RequestID, 3, "again") + strings.Replace(finalEvent, `"seq":3`, `"seq":4`, 1)
	for _, tc := range []struct {
		name, response string
		whole          bool
	}{
		{"the rest", streamHead + own + finalEvent, true},
		{"from the first part on", streamHead + part(p.RequestID, 0, "again") + part(p.RequestID, 1, "again") + own + finalEvent, true},
		{"failure of a length", failureHead + "Content-Length: 7\r\n\r\nfailed\n", false},
		{"failure in chunks, of the type of a stream", failureHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nfailed\n\r\n0\r\n\r\n", false},
		{"failure to the close", failureHead + "\r\nfailed\n", false},
		{"rejection", "HTTP/1.1 503 Service Unavailable\r\n\r\nfull\n", false},
		{"interim response, then a failure", "HTTP/1.1 100 Continue\r\n\r\n" + failureHead + "\r\nfailed\n", false},
		{"head and text of a failure", streamHead + failureHead + "\r\nfailed\n", false},
		{"failure as data", streamHead + "data: {\"error\":\"failed\"}\n\n", false},
		{"text of a failure as data", streamHead + "data: failed\n\n", false},
		{"document", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"choices\":[{\"text\":\"whole\"}]}", false},
		{"empty stream of a length", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
		{"empty stream to the close", streamHead, false},
		{"end only", streamHead + "data: [DONE]\n\n", false},
		{"a part left out", streamHead + part(p.RequestID, 3, "late") + finalEvent, false},
		{"no HTTP", "\x16\x03\x01 this is no answer\r\n\r\n", false},
		{"part of another request", streamHead + part("other", 2, "other") + finalEvent, false},
		{"the run begun again, to the close", streamHead + own + streamHead + part(p.RequestID, 2, "again") + longer, false},
		{"the run begun again, of a length", ofLength(own, part(p.RequestID, 2, "again")+longer), false},
		{"another response within it", streamHead + failureHead + "\r\n" + part("other", 2, "other") + own + finalEvent, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			texts, final, err := runAt(t, p, tc.response)
			if (err == nil) != tc.whole || final.Last != tc.whole {
				t.Errorf("complete %v, %v; want it complete: %v", final.Last, err, tc.whole)
			}
			for _, text := range texts {
				if text != "own" {
					t.Errorf("got %q", texts)
				}
			}
		})
	}
}

// runAt runs a prompt at an engine that answers with certain bytes.
func runAt(t *testing.T, p medlarengine.RunRequest, response string) (texts []string, final medlarengine.Chunk, err error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go serveBytes(ln, response)
	s, err := medlarengine.New(medlarhttp.New(timeout), timeout, timeout).Run(medlarid.Address(ln.Addr().String()), p)
	if err != nil {
		return nil, medlarengine.Chunk{}, err
	}
	return collect(s)
}

// serveBytes answers one request with certain bytes.
func serveBytes(ln net.Listener, response string) {
	defer func() { _ = ln.Close() }()
	c, err := ln.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	h, err := medlarhead.ReadRequest(br, 4096)
	if err != nil {
		return
	}
	if _, err := medlarframing.ReadBody(br, h, 1<<20); err == nil {
		_, _ = io.WriteString(c, response)
	}
}

package medlarnode_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/stand/medlartestbed"
	"medlarfield/internal/upstream/medlarhttp"
)

// TestBrokenOffDuringUpload guards against a part of a service's response that a caller gets as the whole, since the service reset
// the connection while the body of the request was written, and against a status that is none of HTTP.
func TestBrokenOffDuringUpload(t *testing.T) {
	const uploadBytes = 600_000
	h := start(t, options{
		stage: func(s *medlartestbed.Settings) { s.Services = 1 },
		node:  func(s *medlarsettings.Settings) { s.Limits.MaxBodyBytes = 1 << 20 },
	})
	service := h.stage.Services[0].Server
	if err := service.Kill(); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", string(service.Address))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	q, served := &medlarending.Queue{}, make(chan bool, 64)
	go serveEndings(ln, q, served)

	endings := medlarending.BrokenOffEarly
	for _, status := range medlarending.OutOfRange {
		for n, e := range medlarending.WithStatus(status) {
			e.Early = n%2 == 0
			endings = append(endings, e)
		}
	}
	requests := 0
	for _, e := range endings {
		q.ArmAlways(e)
		for _, path := range []string{"/services/ledger/read", "/services/ledger/post"} {
			r := medlarhttp.Request{
				Method: "PUT", Address: h.nodes[0].Address(), Path: path, Body: []byte(strings.Repeat("u", uploadBytes)), Timeout: 5 * time.Second,
			}
			if strings.HasSuffix(path, "post") {
				r.Method = "POST"
				r.Headers = []medlarhttp.Header{{Name: "Idempotency-Key", Value: fmt.Sprintf("%d-%d", time.Now().Unix(), requests)}}
			}
			got, err := h.client.Send(r)
			if err == nil && (got.Status < 500 || got.Status > 599) {
				t.Errorf("%s, %s: status %d, text %.40q", e.Name, path, got.Status, got.Text)
			}
			requests++
		}
	}
	if t.Logf("%d requests, %d attempts", requests, len(served)); len(served) < cap(served) {
		t.Errorf("only %d attempts reached the service", len(served))
	}
}

// serveEndings answers each request with the ending that q holds, and takes note of up to as many as served holds.
func serveEndings(ln net.Listener, q *medlarending.Queue, served chan<- bool) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			head, err := medlarhead.ReadRequest(br, 1<<14)
			e, ok := q.Next()
			if err != nil || !ok {
				return
			}
			select {
			case served <- true:
			default:
			}
			if !e.Early {
				_, _ = medlarframing.ReadBody(br, head, 1<<20)
			}
			e.Write(c, medlarending.Request{ID: "r"})
		}()
	}
}

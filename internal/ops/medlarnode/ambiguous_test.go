package medlarnode_test

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/stand/medlartestbed"
)

// TestAmbiguousRequestsAreRefused sends request heads that two HTTP parsers could
// read differently, which allows request smuggling. Each must get status 400 and
// have its connection closed.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	h := start(t, options{nodes: 1})
	const body = `{"model":"casework","prompt":"hi","max_tokens":4}`
	head := "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + medlartestbed.Key + "\r\n"
	for _, tc := range []struct {
		name, request string
		want          int
	}{
		{"valid", head + "Content-Length: 49\r\n\r\n" + body, 200},
		{"Content-Length and Transfer-Encoding", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"folded header line", head + "X-A: b\r\n c\r\nContent-Length: 49\r\n\r\n" + body, 400},
		{"two Content-Length lines", head + "Content-Length: 49\r\nContent-Length: 48\r\n\r\n" + body, 400},
		{"bare line feed", head + "X-A: b\nContent-Length: 49\r\n\r\n" + body, 400},
		{"space before the colon", head + "X-A : b\r\nContent-Length: 49\r\n\r\n" + body, 400},
	} {
		t.Run(tc.name, func(t *testing.T) { assertStatus(t, string(h.nodes[0].Address()), tc.request, tc.want) })
	}
}

func assertStatus(t *testing.T, address, request string, want int) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	h, err := medlarhead.ReadResponse(br, 1<<14, "POST")
	if err != nil {
		t.Fatal(err)
	}
	if h.Status != want {
		t.Errorf("status %d, want %d", h.Status, want)
	}
	if want != 400 {
		return
	}
	if v, _ := h.Get("Connection"); !strings.EqualFold(v, "close") {
		t.Errorf("Connection is %q, want close", v)
	}
}

package medlarframing

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"medlarfield/internal/base/medlarhead"
)

// TestHeadWithinBody guards against the head of a further response that is returned as part of a body, however the
// body arrives (R3).
func TestHeadWithinBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nextra"
	for _, tc := range []struct {
		name, body string
		want       string // before the head; empty for all of a body without one
		whole      bool
	}{
		{name: "behind a line", body: "text\n" + head, want: "text\n"},
		{name: "within a line", body: "{\"a\":1" + head, want: "{\"a\":1"},
		{name: "at the start", body: head},
		{name: "without a reason", body: "a" + "HTTP/1.1 500\r\nX: 1\r\n\r\n", want: "a"},
		{name: "of version 1.0", body: "a" + "HTTP/1.0 500 Failed\r\nX: 1\r\n\r\n", want: "a"},
		{name: "behind an interim one", body: "aHTTP/1.1 100 Continue\r\n\r\n" + head, want: "aHTTP/1.1 100 Continue\r\n\r\n"},
		{name: "behind half of one", body: "aHTTP/1.1 20" + head, want: "aHTTP/1.1 20"},
		{name: "cut off within its first field", body: "aHTTP/1.1 200 OK\r\nReq", want: "a"},
		{name: "cut off before its first field", body: "aHTTP/1.1 200 OK\r\n", want: "a"},
		{name: "far behind", body: strings.Repeat("HTTP/1.", 3000) + head, want: strings.Repeat("HTTP/1.", 3000)},
		{name: "text", body: "text", whole: true},
		{name: "nothing", whole: true},
		{name: "cut off behind its version", body: "aHTTP/1.1", want: "a"},
		{name: "cut off within its version", body: "aHTT", want: "a"},
		{name: "cut off behind its first byte", body: "aH", want: "a"},
		{name: "cut off within its status", body: "aHTTP/1.1 20", want: "a"},
		{name: "cut off before its line end", body: "aHTTP/1.1 200 OK", want: "a"},
		{name: "cut off within its line end", body: "aHTTP/1.1 200 OK\r", want: "a"},
		{name: "cut off at the start", body: "HTTP/1.1 2"},
		{name: "name of the protocol before other text", body: "we speak HTTP/1.1 here", whole: true},
		{name: "half a name before other text", body: "we speak HTT.", whole: true},
		{name: "status before other text", body: "it said HTTP/1.1 200 OK\n", whole: true},
		{name: "log", body: "\"GET / HTTP/1.1\" 200\r\nx: y\r\n", whole: true},
		{name: "quotation with plain line ends", body: "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello", whole: true},
		{name: "status line before other text", body: "HTTP/1.1 200 OK\r\n\r\nhello", whole: true},
		{name: "status line before a sentence", body: "HTTP/1.1 200 OK\r\nthat is: good", whole: true},
		{name: "another version", body: "HTTP/1.2 200 OK\r\nX: 1\r\n", whole: true},
		{name: "no status", body: "HTTP/1.1 2000 OK\r\nX: 1\r\n", whole: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.whole {
				tc.want = tc.body
			}
			for _, r := range []io.Reader{strings.NewReader(tc.body), iotest.OneByteReader(strings.NewReader(tc.body)), iotest.DataErrReader(strings.NewReader(tc.body))} {
				body := NewBody(bufio.NewReader(r), &medlarhead.Head{Framing: medlarhead.FramingClose})
				body.RejectHeads(func(*medlarhead.Head) bool { return false })
				got, err := io.ReadAll(body)
				if string(got) != tc.want || (err == nil) != tc.whole || err != nil && medlarhead.KindOf(err) != medlarhead.KindMalformed || body.Done() != tc.whole {
					t.Errorf("got %q, %v, done %v; want %q, whole: %v", got, err, body.Done(), tc.want, tc.whole)
				}
			}
		})
	}
}

// TestHeadWithinOtherBodies guards against a quotation that is taken for a further response where the length of the
// body says otherwise (R3).
func TestHeadWithinOtherBodies(t *testing.T) {
	const quoted = "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n"
	for _, tc := range []struct {
		name, text string
		head       medlarhead.Head
	}{
		{"length", quoted, medlarhead.Head{Framing: medlarhead.FramingLength, Length: int64(len(quoted))}},
		{"chunks", string(medlarhead.AppendChunk(nil, []byte(quoted))) + medlarhead.LastChunk, medlarhead.Head{Framing: medlarhead.FramingChunked}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			body := NewBody(bufio.NewReader(strings.NewReader(tc.text)), &tc.head)
			body.RejectHeads(func(*medlarhead.Head) bool { return false })
			if got, err := io.ReadAll(body); string(got) != quoted || err != nil {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}

// TestResetBehindStatusLine guards against bytes of what may be a head in a body that is reset within it (R3).
func TestResetBehindStatusLine(t *testing.T) {
	r := io.MultiReader(strings.NewReader("aHTTP/1.1 200 OK\r\nReq"), iotest.ErrReader(io.ErrUnexpectedEOF))
	body := NewBody(bufio.NewReader(r), &medlarhead.Head{Framing: medlarhead.FramingClose})
	body.RejectHeads(func(*medlarhead.Head) bool { return false })
	if got, err := io.ReadAll(body); string(got) != "a" || medlarhead.KindOf(err) != medlarhead.KindBroken {
		t.Errorf("got %q, %v", got, err)
	}
}

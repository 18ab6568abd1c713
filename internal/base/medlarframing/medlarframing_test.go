package medlarframing

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"medlarfield/internal/base/medlarhead"
)

const testLimit = 1024

func reader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 64) }

func assertKind(t *testing.T, err error, want medlarhead.Kind) {
	t.Helper()
	if medlarhead.KindOf(err) != want {
		t.Errorf("got %v, want kind %q", err, want)
	}
}

func TestReadBody(t *testing.T) {
	const chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, tc := range []struct {
		name, text, want string
		kind             medlarhead.Kind
	}{
		{"length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcd", "abc", ""},
		{"none", "GET / HTTP/1.1\r\nHost: a\r\n\r\nabc", "", ""},
		{"truncated", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nab", "", medlarhead.KindBroken},
		{"too long", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", "", medlarhead.KindOversized},
		{"chunks", chunked + "2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: v\r\n\r\n", "abc", ""},
		{"missing last chunk", chunked + "2\r\nab\r\n", "", medlarhead.KindBroken},
		{"truncated chunk", chunked + "5\r\nab", "", medlarhead.KindBroken},
		{"chunk longer than its size", chunked + "2\r\nabc\r\n0\r\n\r\n", "", medlarhead.KindMalformed},
		{"chunk size missing", chunked + "\r\n\r\n", "", medlarhead.KindMalformed},
		{"chunk size signed", chunked + "+2\r\nab\r\n0\r\n\r\n", "", medlarhead.KindMalformed},
		{"chunk size with a bare line feed", chunked + "2\nab\r\n0\r\n\r\n", "", medlarhead.KindMalformed},
		{"chunks too long", chunked + "65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", "", medlarhead.KindOversized},
		{"trailers too long", chunked + "0\r\nT: " + strings.Repeat("x", 2*maxLineBytes) + "\r\n\r\n", "", medlarhead.KindOversized},
	} {
		t.Run(tc.name, func(t *testing.T) {
			br := reader(tc.text)
			h, err := medlarhead.ReadRequest(br, testLimit)
			if err != nil {
				t.Fatal(err)
			}
			body, err := ReadBody(br, h, 100)
			assertKind(t, err, tc.kind)
			if tc.kind == "" && string(body) != tc.want {
				t.Errorf("body %q, want %q", body, tc.want)
			}
		})
	}
}

// TestBodyLimit guards against a body that is read beyond a limit, and against one that just
// reaches the limit and is refused.
func TestBodyLimit(t *testing.T) {
	const limit = 10
	for _, tc := range []struct {
		name, message string
		whole         bool
	}{
		{"length at the limit", "Content-Length: 10\r\n\r\n0123456789", true},
		{"length beyond", "Content-Length: 11\r\n\r\n0123456789x", false},
		{"chunks at the limit", "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n", true},
		{"chunks beyond", "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n6\r\n56789x\r\n0\r\n\r\n", false},
		{"connection at the limit", "\r\n0123456789", true},
		{"connection beyond", "\r\n0123456789x", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			br := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + tc.message))
			h, err := medlarhead.ReadResponse(br, 1000, "GET")
			if err != nil {
				t.Fatal(err)
			}
			b := NewBody(br, h)
			b.Limit(limit)
			got, err := io.ReadAll(b)
			var e *medlarhead.Error
			if tc.whole && err != nil || !tc.whole && (!errors.As(err, &e) || e.Kind != medlarhead.KindOversized) || len(got) != limit {
				t.Errorf("read %q, %v; want %d bytes, whole: %v", got, err, limit, tc.whole)
			}
		})
	}
}

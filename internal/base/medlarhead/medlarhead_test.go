package medlarhead

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

const testLimit = 1024

func reader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 64) }

func TestReadRequestErrors(t *testing.T) {
	long := strings.Repeat("x", testLimit)
	for _, tc := range []struct {
		name, text string
		want       Kind
	}{
		{"empty", "", KindClosed},
		{"truncated head", "GET / HTTP/1.1\r\nHost: a\r\n", KindBroken},
		{"head too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + long + "\r\n\r\n", KindOversized},
		{"bare line feed", "GET / HTTP/1.1\nHost: a\r\n\r\n", KindMalformed},
		{"bare line feed before the end", "GET / HTTP/1.1\r\nHost: a\n\r\n", KindMalformed},
		{"folded line", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", KindMalformed},
		{"folded line with a colon", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n Content-Length: 5\r\n\r\n", KindMalformed},
		{"space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", KindMalformed},
		{"carriage return in a value", "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", KindMalformed},
		{"zero byte", "GET / HTTP/1.1\r\nHost: a\x00\r\n\r\n", KindMalformed},
		{"length and coding", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", KindMalformed},
		{"coding and length", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", KindMalformed},
		{"length 0 and coding", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n", KindMalformed},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", KindMalformed},
		{"two lengths, first 0", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 7\r\n\r\n", KindMalformed},
		{"list of lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n", KindMalformed},
		{"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n", KindMalformed},
		{"empty length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n", KindMalformed},
		{"two codings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", KindMalformed},
		{"other coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", KindMalformed},
		{"no host", "GET / HTTP/1.1\r\n\r\n", KindMalformed},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", KindMalformed},
		{"other protocol", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", KindMalformed},
		{"space in the target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", KindMalformed},
		{"absolute target", "GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", KindMalformed},
		{"no method", " / HTTP/1.1\r\nHost: a\r\n\r\n", KindMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ReadRequest(reader(tc.text), testLimit)
			assertKind(t, err, tc.want)
		})
	}
}

func assertKind(t *testing.T, err error, want Kind) {
	t.Helper()
	if KindOf(err) != want {
		t.Errorf("got %v, want kind %q", err, want)
	}
}

func TestReadBody(t *testing.T) {
	const chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, tc := range []struct {
		name, text, want string
		kind             Kind
	}{
		{"length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcd", "abc", ""},
		{"none", "GET / HTTP/1.1\r\nHost: a\r\n\r\nabc", "", ""},
		{"truncated", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nab", "", KindBroken},
		{"too long", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", "", KindOversized},
		{"chunks", chunked + "2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: v\r\n\r\n", "abc", ""},
		{"missing last chunk", chunked + "2\r\nab\r\n", "", KindBroken},
		{"truncated chunk", chunked + "5\r\nab", "", KindBroken},
		{"chunk longer than its size", chunked + "2\r\nabc\r\n0\r\n\r\n", "", KindMalformed},
		{"chunk size missing", chunked + "\r\n\r\n", "", KindMalformed},
		{"chunk size signed", chunked + "+2\r\nab\r\n0\r\n\r\n", "", KindMalformed},
		{"chunk size with a bare line feed", chunked + "2\nab\r\n0\r\n\r\n", "", KindMalformed},
		{"chunks too long", chunked + "65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", "", KindOversized},
		{"trailers too long", chunked + "0\r\nT: " + strings.Repeat("x", 2*maxLineBytes) + "\r\n\r\n", "", KindOversized},
	} {
		t.Run(tc.name, func(t *testing.T) {
			br := reader(tc.text)
			h, err := ReadRequest(br, testLimit)
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

func TestReadResponse(t *testing.T) {
	for _, tc := range []struct {
		name, text, want string
		close            bool
		kind             Kind
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabX", "ab", false, ""},
		{"length 0", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nX", "", false, ""},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nab", "ab", true, ""},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\nX", "", false, ""},
		{"close announced", "HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 1\r\n\r\na", "a", true, ""},
		{"no reason", "HTTP/1.1 200\r\nContent-Length: 1\r\n\r\na", "a", false, ""},
		{"garbage", "\x16\x03\x01 what\r\n\r\n", "", false, KindMalformed},
		{"no line end", "what is this", "", false, KindBroken},
		{"status 600", "HTTP/1.1 600 X\r\nContent-Length: 1\r\n\r\na", "", false, KindMalformed},
		{"status 999", "HTTP/1.1 999 X\r\nContent-Length: 1\r\n\r\na", "", false, KindMalformed},
		{"status 099", "HTTP/1.1 099 X\r\nContent-Length: 1\r\n\r\na", "", false, KindMalformed},
		{"status line within a field", "HTTP/1.1 503 Busy\r\nId: oneHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "", false, KindMalformed},
		{"status line within a status line", "HTTP/1.1 503 BuHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "", false, KindMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			br := reader(tc.text)
			h, err := ReadResponse(br, testLimit, "GET")
			assertKind(t, err, tc.kind)
			if err != nil {
				return
			}
			body, err := ReadBody(br, h, 100)
			if err != nil || string(body) != tc.want || h.Close != tc.close {
				t.Errorf("body %q, close %v, error %v; want %q, %v", body, h.Close, err, tc.want, tc.close)
			}
		})
	}
}

func TestEndToEnd(t *testing.T) {
	h, err := ReadRequest(reader("GET / HTTP/1.1\r\nHost: a\r\nConnection: close, X-One\r\nx-one: 1\r\nX-Two: 2\r\nTE: t\r\n\r\n"), testLimit)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	h.EndToEnd(func(f Field) { names = append(names, f.Name) })
	if got := strings.Join(names, " "); got != "Host X-Two" {
		t.Errorf("forwarded %q, want %q", got, "Host X-Two")
	}
}

func FuzzRequest(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	f.Fuzz(func(t *testing.T, text string) {
		br := reader(text)
		h, err := ReadRequest(br, testLimit)
		if err != nil {
			return
		}
		if _, err := ReadBody(br, h, testLimit); err != nil && KindOf(err) == "" {
			t.Errorf("error without a kind: %v", err)
		}
		_, lengths := h.Get("Content-Length")
		_, codings := h.Get("Transfer-Encoding")
		if lengths+codings > 1 {
			t.Errorf("accepted a head with %d lengths and codings", lengths+codings)
		}
	})
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
			h, err := ReadResponse(br, 1000, "GET")
			if err != nil {
				t.Fatal(err)
			}
			b := NewBody(br, h)
			b.Limit(limit)
			got, err := io.ReadAll(b)
			var e *Error
			if tc.whole && err != nil || !tc.whole && (!errors.As(err, &e) || e.Kind != KindOversized) || len(got) != limit {
				t.Errorf("read %q, %v; want %d bytes, whole: %v", got, err, limit, tc.whole)
			}
		})
	}
}

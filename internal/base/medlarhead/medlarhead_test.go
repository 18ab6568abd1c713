package medlarhead_test

import (
	"bufio"
	"strings"
	"testing"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
)

const testLimit = 1024

func reader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 64) }

func TestReadRequestErrors(t *testing.T) {
	long := strings.Repeat("x", testLimit)
	for _, tc := range []struct {
		name, text string
		want       medlarhead.Kind
	}{
		{"empty", "", medlarhead.KindClosed},
		{"truncated head", "GET / HTTP/1.1\r\nHost: a\r\n", medlarhead.KindBroken},
		{"head too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + long + "\r\n\r\n", medlarhead.KindOversized},
		{"bare line feed", "GET / HTTP/1.1\nHost: a\r\n\r\n", medlarhead.KindMalformed},
		{"bare line feed before the end", "GET / HTTP/1.1\r\nHost: a\n\r\n", medlarhead.KindMalformed},
		{"folded line", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", medlarhead.KindMalformed},
		{"folded line with a colon", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n Content-Length: 5\r\n\r\n", medlarhead.KindMalformed},
		{"space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", medlarhead.KindMalformed},
		{"carriage return in a value", "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", medlarhead.KindMalformed},
		{"zero byte", "GET / HTTP/1.1\r\nHost: a\x00\r\n\r\n", medlarhead.KindMalformed},
		{"length and coding", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", medlarhead.KindMalformed},
		{"coding and length", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", medlarhead.KindMalformed},
		{"length 0 and coding", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n", medlarhead.KindMalformed},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", medlarhead.KindMalformed},
		{"two lengths, first 0", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 7\r\n\r\n", medlarhead.KindMalformed},
		{"list of lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n", medlarhead.KindMalformed},
		{"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n", medlarhead.KindMalformed},
		{"empty length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n", medlarhead.KindMalformed},
		{"two codings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", medlarhead.KindMalformed},
		{"other coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", medlarhead.KindMalformed},
		{"no host", "GET / HTTP/1.1\r\n\r\n", medlarhead.KindMalformed},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", medlarhead.KindMalformed},
		{"other protocol", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", medlarhead.KindMalformed},
		{"space in the target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", medlarhead.KindMalformed},
		{"absolute target", "GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", medlarhead.KindMalformed},
		{"no method", " / HTTP/1.1\r\nHost: a\r\n\r\n", medlarhead.KindMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := medlarhead.ReadRequest(reader(tc.text), testLimit)
			assertKind(t, err, tc.want)
		})
	}
}

func assertKind(t *testing.T, err error, want medlarhead.Kind) {
	t.Helper()
	if medlarhead.KindOf(err) != want {
		t.Errorf("got %v, want kind %q", err, want)
	}
}

func TestReadResponse(t *testing.T) {
	for _, tc := range []struct {
		name, text, want string
		close            bool
		kind             medlarhead.Kind
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabX", "ab", false, ""},
		{"length 0", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nX", "", false, ""},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nab", "ab", true, ""},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\nX", "", false, ""},
		{"close announced", "HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 1\r\n\r\na", "a", true, ""},
		{"no reason", "HTTP/1.1 200\r\nContent-Length: 1\r\n\r\na", "a", false, ""},
		{"garbage", "\x16\x03\x01 what\r\n\r\n", "", false, medlarhead.KindMalformed},
		{"no line end", "what is this", "", false, medlarhead.KindBroken},
		{"status 600", "HTTP/1.1 600 X\r\nContent-Length: 1\r\n\r\na", "", false, medlarhead.KindMalformed},
		{"status 999", "HTTP/1.1 999 X\r\nContent-Length: 1\r\n\r\na", "", false, medlarhead.KindMalformed},
		{"status 099", "HTTP/1.1 099 X\r\nContent-Length: 1\r\n\r\na", "", false, medlarhead.KindMalformed},
		{"status line within a field", "HTTP/1.1 503 Busy\r\nId: oneHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "", false, medlarhead.KindMalformed},
		{"status line within a status line", "HTTP/1.1 503 BuHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "", false, medlarhead.KindMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			br := reader(tc.text)
			h, err := medlarhead.ReadResponse(br, testLimit, "GET")
			assertKind(t, err, tc.kind)
			if err != nil {
				return
			}
			body, err := medlarframing.ReadBody(br, h, 100)
			if err != nil || string(body) != tc.want || h.Close != tc.close {
				t.Errorf("body %q, close %v, error %v; want %q, %v", body, h.Close, err, tc.want, tc.close)
			}
		})
	}
}

func TestEndToEnd(t *testing.T) {
	h, err := medlarhead.ReadRequest(reader("GET / HTTP/1.1\r\nHost: a\r\nConnection: close, X-One\r\nx-one: 1\r\nX-Two: 2\r\nTE: t\r\n\r\n"), testLimit)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	h.EndToEnd(func(f medlarhead.Field) { names = append(names, f.Name) })
	if got := strings.Join(names, " "); got != "Host X-Two" {
		t.Errorf("forwarded %q, want %q", got, "Host X-Two")
	}
}

func FuzzRequest(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	f.Fuzz(func(t *testing.T, text string) {
		br := reader(text)
		h, err := medlarhead.ReadRequest(br, testLimit)
		if err != nil {
			return
		}
		if _, err := medlarframing.ReadBody(br, h, testLimit); err != nil && medlarhead.KindOf(err) == "" {
			t.Errorf("error without a kind: %v", err)
		}
		_, lengths := h.Get("Content-Length")
		_, codings := h.Get("Transfer-Encoding")
		if lengths+codings > 1 {
			t.Errorf("accepted a head with %d lengths and codings", lengths+codings)
		}
	})
}

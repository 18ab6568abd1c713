package medlarframing

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"medlarfield/internal/base/medlarhead"
)

// isOwn is how the tests tell a head that names the request of a body.
func isOwn(h *medlarhead.Head) bool {
	id, _ := h.Get("Request-Id")
	return id == "1"
}

// TestBodyFilledUpByAnotherResponse guards against a body that stopped and counts as whole, since a further response
// took the rest of its length or of a chunk (R4).
func TestBodyFilledUpByAnotherResponse(t *testing.T) {
	const (
		named   = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nthe answer"
		unnamed = "HTTP/1.1 200 OK\r\nAge: 1\r\n\r\nthe answer"
		bare    = "HTTP/1.1 500 Failed\r\n\r\nit has failed"
		other   = "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\n\r\nthe answer"
		quoted  = "a reply: HTTP/1.1 200 OK\r\nAge: 1\r\n\r\nthe end"
	)
	length := func(n int) medlarhead.Head {
		return medlarhead.Head{Framing: medlarhead.FramingLength, Length: int64(n)}
	}
	chunked := medlarhead.Head{Framing: medlarhead.FramingChunked}
	for _, tc := range []struct {
		name  string
		head  medlarhead.Head
		text  string // from the body on
		whole bool
	}{
		{"one byte of it", length(4), "the" + named, false},
		{"within its status line", length(14), "the" + named, false},
		{"behind its status line", length(20), "the" + named, false},
		{"within its first field", length(24), "the" + unnamed, false},
		{"all of its head", length(3 + len(unnamed) - len("the answer")), "the" + unnamed, false},
		{"head and part of the body", length(3 + len(unnamed) - 4), "the" + unnamed, false},
		{"named head, nothing follows", length(3 + len(named)), "the" + named, false},
		{"head in a chunk whose end takes its empty line", chunked, "23\r\nthe" + "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\na\r\nthe answer\r\n0\r\n\r\n", false},
		{"head without fields", length(3 + len(bare) - 4), "the" + bare, false},
		{"head without fields, up to its empty line", length(3 + len("HTTP/1.1 500 Failed\r\n\r\n")), "the" + bare, false},
		{"quotation without fields", length(3 + len(bare)), "the" + bare, true},
		{"quotation without fields before a further response", length(3 + len(bare)), "the" + bare + named, true},
		{"unnamed head in a chunk whose end takes its empty line", chunked, "1c\r\nthe" + "HTTP/1.1 200 OK\r\nAge: 1\r\n\r\na\r\nthe answer\r\n0\r\n\r\n", false},
		{"head that names another request", length(3 + len(other) - 4), "the" + other, false},
		{"quotation", length(len(quoted)), quoted, true},
		{"quotation that names another request", length(3 + len(other)), "the" + other, true},
		{"quotation of another request in chunks", chunked, string(medlarhead.AppendChunk(nil, []byte("the"+other))) + medlarhead.LastChunk, true},
		{"quotation, each line in a chunk", chunked, string(medlarhead.AppendChunk(medlarhead.AppendChunk(medlarhead.AppendChunk(nil, []byte("HTTP/1.1 200 OK\r\n")), []byte("Age: 1\r\n")), []byte("\r\n"))) + medlarhead.LastChunk, true},
		{"quotation before a further response", length(len(quoted)), quoted + named, true},
		{"quotation before the first bytes of a further response", length(len(quoted)), quoted + "HT", true},
		{"quotation in a chunk", chunked, string(medlarhead.AppendChunk(nil, []byte(quoted))) + medlarhead.LastChunk, true},
		{"first letter", length(5), "the H", true},
		{"first letter before a further response", length(5), "the H" + named, true},
		{"other bytes behind a body", length(3), "the\x16\x03\x01", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(tc.text), iotest.OneByteReader(strings.NewReader(tc.text))} {
				body := NewBody(bufio.NewReader(r), &tc.head)
				body.RejectHeads(isOwn)
				_, err := io.ReadAll(body)
				if err == nil && body.MayHoldHead() {
					err = body.CheckEnd()
				}
				if (err == nil) != tc.whole || err != nil && medlarhead.KindOf(err) != medlarhead.KindMalformed {
					t.Errorf("got %v, want whole: %v", err, tc.whole)
				}
			}
		})
	}
}

// TestLongBodyOfQuotations guards against a scan that keeps a long body or reads it again and again (R4).
func TestLongBodyOfQuotations(t *testing.T) {
	s := &headScan{own: isOwn}
	part := []byte(strings.Repeat("HTTP/1.1 200 OK\r\nAge: 1\r\nAge: ", 100))
	for range 1000 {
		if err := s.scan(part); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.tail) > maxScannedHead+len(part) {
		t.Errorf("keeps %d bytes", len(s.tail))
	}
}

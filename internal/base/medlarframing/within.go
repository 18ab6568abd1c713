package medlarframing

import (
	"bytes"

	"medlarfield/internal/base/medlarhead"
)

// headScan looks for heads of further responses in a body of a length or in chunks (R4). It withholds nothing.
type headScan struct {
	own  func(*medlarhead.Head) bool
	tail []byte // end of what was read: what may be a head that has not ended
	seen bool   // the body holds a head that does not name its request
}

// scan looks at the next bytes of the body. It fails once they hold a head that names the request of the body.
func (s *headScan) scan(p []byte) error {
	b := p
	if len(s.tail) > 0 {
		b = append(s.tail, p...)
	}
	for {
		at, _ := findHead(b, false, true)
		b = b[at:]
		if len(b) == 0 {
			break
		}
		h, length, ended := partOfHead(b)
		if s.own(h) {
			return medlarhead.Malformed(medlarhead.OpBody, "head of a further response")
		}
		if !ended {
			break
		}
		s.seen, b = true, b[length:]
	}
	s.tail = bytes.Clone(b)
	return nil
}

// endsBehindField reports whether the last n bytes of the body, a chunk, end after a field of a head that begins in them.
// The end of the chunk may then stand for the empty line of that head.
func (s *headScan) endsBehindField(n int64) bool {
	if int64(len(s.tail)) > n || !bytes.HasSuffix(s.tail, []byte("\r\n")) {
		return false
	}
	h, _, _ := partOfHead(s.tail)
	return len(h.Fields) > 0
}

// maxScannedHead bounds the bytes that are kept of a head. A longer one counts as ended.
const maxScannedHead = 16 << 10

// partOfHead returns the whole fields of the head that b begins with, the length of the head, and whether it ends within b.
func partOfHead(b []byte) (h *medlarhead.Head, length int, ended bool) {
	h = &medlarhead.Head{}
	_, rest, _ := bytes.Cut(b, []byte("\r\n"))
	for {
		line, after, whole := bytes.Cut(rest, []byte("\r\n"))
		if !whole {
			return h, len(b), len(b) > maxScannedHead
		}
		rest = after
		name, value, isField := bytes.Cut(line, []byte(":"))
		if !isField || !medlarhead.IsToken(string(name)) {
			return h, len(b) - len(rest), true
		}
		h.Fields = append(h.Fields, medlarhead.Field{Name: string(name), Value: string(bytes.Trim(value, " \t"))})
	}
}

// MayHoldHead reports whether a body of a length that has been read holds a head that does not name its request, or ends
// with what may be the beginning of a head. CheckEnd then tells whether the body is complete.
func (b *Body) MayHoldHead() bool {
	return b.framing == medlarhead.FramingLength && b.scan != nil && (b.scan.seen || len(b.scan.tail) > 0)
}

// CheckEnd reads ahead and returns an error of KindMalformed if the bytes after the body begin no response: they are then the
// rest of the response whose head the body may hold (R4). It waits for them until the deadline of the connection.
func (b *Body) CheckEnd() error {
	next, _ := b.br.Peek(len(statusStart)) // nothing may follow
	if len(next) == 0 || bytes.HasPrefix(statusStart, next) {
		return nil
	}
	return medlarhead.Malformed(medlarhead.OpBody, "further response that begins within the body")
}

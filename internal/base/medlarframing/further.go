package medlarframing

import (
	"bytes"
	"io"

	"medlarfield/internal/base/medlarhead"
)

// RejectHeads makes Read fail with KindMalformed where the body holds the head of a further response (R3, R4). own
// reports whether a head names the request that the body answers.
func (b *Body) RejectHeads(own func(*medlarhead.Head) bool) {
	if b.framing == medlarhead.FramingClose {
		b.heads = &headFilter{}
		return
	}
	b.scan = &headScan{own: own}
}

// headFilter withholds the bytes of a body that may be the head of a further response.
type headFilter struct {
	buf  []byte
	safe int // bytes of buf that are no part of a head
	err  error
}

// filterBlock is the size of one read of a headFilter in bytes.
const filterBlock = 4096

// read reads from a source up to a head.
func (f *headFilter) read(p []byte, source func([]byte) (int, error)) (int, error) {
	for len(p) > 0 && f.safe == 0 && f.err == nil {
		f.fill(source)
	}
	if f.safe == 0 {
		return 0, f.err
	}
	n := copy(p, f.buf[:f.safe])
	f.buf, f.safe = f.buf[n:], f.safe-n
	return n, nil
}

// fill reads once from a source.
func (f *headFilter) fill(source func([]byte) (int, error)) {
	block := make([]byte, filterBlock)
	n, err := source(block)
	f.buf, f.err = append(f.buf, block[:n]...), err
	found := false
	if f.safe, found = findHead(f.buf, err == io.EOF, false); found {
		f.err = medlarhead.Malformed(medlarhead.OpBody, "head of a further response")
	}
}

// statusStart begins each status line.
var statusStart = []byte("HTTP/1.")

// findHead returns where the first head, or what may become one, begins in b, and whether it counts as a head. With ended set
// nothing follows b, so that the beginning of a head counts. With bare set heads without fields count too.
func findHead(b []byte, ended, bare bool) (at int, found bool) {
	for {
		i := bytes.Index(b[at:], statusStart)
		if i < 0 {
			break
		}
		at += i
		if m := matchHead(b[at:]); m != headNone && (bare || m != headBare) {
			return at, ended || m == headWhole
		}
		at++
	}
	for n := min(len(statusStart)-1, len(b)); n > 0; n-- {
		if bytes.HasSuffix(b, statusStart[:n]) {
			return len(b) - n, ended
		}
	}
	return len(b), false
}

// HeadField returns the name of the first field of the first head of a response within b. It returns false if b holds
// none.
func HeadField(b []byte) (string, bool) {
	at, found := findHead(b, true, false)
	_, fields, _ := bytes.Cut(b[at:], []byte("\r\n"))
	name, _, _ := bytes.Cut(fields, []byte(":"))
	return string(name), found
}

// headMatch is how much of a head some bytes are.
type headMatch int

const (
	headNone  headMatch = iota
	headStart           // the beginning of a status line
	headLine            // a status line and perhaps the beginning of a field
	headBare            // a status line and the empty line, or the beginning of that
	headWhole           // a status line and a field
)

// matchHead returns how much of a head b is, which begins with statusStart.
func matchHead(b []byte) headMatch {
	line, rest, ended := bytes.Cut(b, []byte("\r\n"))
	switch {
	case !isStatusLine(line, ended):
		return headNone
	case !ended:
		return headStart
	}
	name, _, isField := bytes.Cut(rest, []byte(":"))
	switch {
	case len(rest) == 0:
		return headLine
	case rest[0] == '\r' && (len(rest) == 1 || rest[1] == '\n'):
		return headBare
	case len(name) > maxLineBytes || !medlarhead.IsToken(string(name)):
		return headNone
	case isField:
		return headWhole
	}
	return headLine
}

// statusLineStart is the length of a version, a space and a status.
const statusLineStart = len("HTTP/1.1 200")

// isStatusLine reports whether a line, which begins with statusStart, is a status line, or can become one if it has
// not ended.
func isStatusLine(line []byte, ended bool) bool {
	if !ended {
		line = bytes.TrimSuffix(line, []byte("\r"))
	}
	if len(line) > maxLineBytes || ended && len(line) < statusLineStart || !medlarhead.IsValue(string(line)) {
		return false
	}
	for i, c := range line[:min(len(line), statusLineStart+1)] {
		switch {
		case i < len(statusStart):
		case i == len(statusStart):
			if c != '0' && c != '1' {
				return false
			}
		case i == len(statusStart)+1, i == statusLineStart:
			if c != ' ' {
				return false
			}
		case c < '0' || c > '9':
			return false
		}
	}
	return true
}

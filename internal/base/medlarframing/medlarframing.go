// Package medlarframing reads the bodies of HTTP/1.1 messages as their framing delimits them, and tells which are
// complete.
//
// Rules:
//
//	R1  A body is complete only with the end of its framing. A body that is delimited by the end of its connection is
//	    complete only if the connection was closed in an orderly way.
//	R2  The size of a chunk size line and of the trailers is limited.
//	R3  After RejectHeads a body that is delimited by the end of its connection is not complete if it holds the head of a
//	    further response anywhere: a status line that ends with CR LF, followed by the name of a field. Nor is it if it
//	    ends with what may be the beginning of such a head, be it only the first byte of a status line. Bytes that may
//	    be such a head are withheld until that is known. A service whose bodies quote heads, or end with the first
//	    letter of one, has to send a length or chunks.
//	R4  After RejectHeads a body of a length or in chunks is not complete if it holds a head, or the beginning of one,
//	    that names the request of the body. There are two further cases, in which the body was cut off and a further
//	    response took its place. A body of a length is not complete if it holds any other head, with or without fields,
//	    or ends with the beginning of one, and what follows the body begins no response. A body in chunks is not
//	    complete if a chunk ends after a field of a head that begins in this chunk: the end of the chunk may stand for
//	    the empty line of that head.
package medlarframing

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarmemory"
)

// maxLineBytes limits one line of a chunked body, such as a chunk size, and the
// trailers of a body in total, in bytes (R2).
const maxLineBytes = 4096

// Body reads a message body; Read returns io.EOF only if the body is complete (R1).
type Body struct {
	br        *bufio.Reader
	framing   medlarhead.Framing
	remaining int64 // bytes of the body, or of the current chunk
	chunk     int64 // size of the current chunk
	chunkRead bool  // at least one chunk header was read
	done      bool
	limited   bool
	left      int64       // bytes that may still be read, if limited
	heads     *headFilter // nil for none
	scan      *headScan   // nil for none
}

// Limit makes Read fail with KindOversized once it has returned n bytes and the body continues.
func (b *Body) Limit(n int64) { b.limited, b.left = true, n }

// NewBody returns a reader for the body that follows h in br.
func NewBody(br *bufio.Reader, h *medlarhead.Head) *Body {
	return &Body{br: br, framing: h.Framing, remaining: max(h.Length, 0), done: h.Framing == medlarhead.FramingNone}
}

// Done reports whether the complete body has been read.
func (b *Body) Done() bool {
	return b.done && (b.heads == nil || b.heads.safe == 0 && b.heads.err == io.EOF)
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.heads != nil {
		return b.heads.read(p, b.read)
	}
	n, err := b.read(p)
	if b.scan != nil && n > 0 {
		if scanErr := b.scan.scan(p[:n]); scanErr != nil {
			return 0, scanErr
		}
	}
	return n, err
}

// read reads the bytes that the framing assigns to the body.
func (b *Body) read(p []byte) (int, error) {
	if b.framing == medlarhead.FramingChunked && b.remaining == 0 && !b.done {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	if b.framing == medlarhead.FramingLength && b.remaining == 0 {
		b.done = true
	}
	if b.done {
		return 0, io.EOF
	}
	if b.framing != medlarhead.FramingClose && int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	if b.limited && int64(len(p)) > b.left {
		if b.left == 0 {
			return 0, b.atLimit()
		}
		p = p[:b.left]
	}
	n, err := b.br.Read(p)
	b.left -= int64(n)
	if b.framing == medlarhead.FramingClose {
		b.done = err == io.EOF
	} else {
		b.remaining -= int64(n)
	}
	if err != nil && !b.done {
		return n, &medlarhead.Error{Op: medlarhead.OpBody, Kind: medlarhead.KindBroken, Err: err}
	}
	return n, err
}

// atLimit returns the error of a read at the limit: io.EOF if the body has ended, otherwise one of KindOversized.
func (b *Body) atLimit() error {
	if b.framing == medlarhead.FramingClose {
		if _, err := b.br.Peek(1); err == io.EOF {
			b.done = true
			return io.EOF
		}
	}
	return &medlarhead.Error{Op: medlarhead.OpBody, Kind: medlarhead.KindOversized, Err: eris.New("body exceeds the limit")}
}

// nextChunk reads the end of the current chunk and the size of the next one.
func (b *Body) nextChunk() error {
	if b.scan != nil && b.scan.endsBehindField(b.chunk) {
		return medlarhead.Malformed(medlarhead.OpBody, "head of a further response at the end of a chunk")
	}
	if b.chunkRead {
		if line, err := b.line(); err != nil || len(line) > 0 {
			return b.lineError(err, "chunk end")
		}
	}
	line, err := b.line()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	n, err := strconv.ParseUint(string(size), 16, 62)
	if err != nil || size[0] == '+' {
		return medlarhead.Malformed(medlarhead.OpBody, "chunk size")
	}
	b.chunkRead = true
	b.remaining, b.chunk = int64(n), int64(n)
	if n > 0 {
		return nil
	}
	return b.trailers()
}

// trailers reads and discards the trailers after the last chunk.
func (b *Body) trailers() error {
	for total := 0; total < maxLineBytes; {
		line, err := b.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.done = true
			return nil
		}
		total += len(line)
	}
	return &medlarhead.Error{Op: medlarhead.OpBody, Kind: medlarhead.KindOversized, Err: eris.New("trailers")}
}

func (b *Body) lineError(err error, reason string) error {
	if err != nil {
		return err
	}
	return medlarhead.Malformed(medlarhead.OpBody, reason)
}

// line reads a line and returns it without its CR LF. It is valid until the next read. A line is copied only if it does
// not fit into the buffer, so that a body of many small chunks leaves no garbage.
func (b *Body) line() ([]byte, error) {
	var line []byte
	for {
		part, err := b.br.ReadSlice('\n')
		if line == nil && err == nil {
			line = part
		} else {
			line = append(line, part...)
		}
		if len(line) > maxLineBytes {
			return nil, &medlarhead.Error{Op: medlarhead.OpBody, Kind: medlarhead.KindOversized, Err: eris.New("line of a chunked body")}
		}
		if err == nil {
			break
		}
		if err != bufio.ErrBufferFull {
			return nil, &medlarhead.Error{Op: medlarhead.OpBody, Kind: medlarhead.KindBroken, Err: err}
		}
	}
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return nil, medlarhead.Malformed(medlarhead.OpBody, "line without CR LF")
	}
	return line[:len(line)-2], nil
}

// firstBody is the length of the first buffer of a body, in bytes. It doubles as bytes arrive, so that a length that is
// only announced reserves no memory.
const firstBody = 4096

// ReadBody reads a complete body of at most limit bytes.
func ReadBody(br *bufio.Reader, h *medlarhead.Head, limit int64) ([]byte, error) {
	return ReadReservedBody(br, h, limit, nil)
}

// ReadReservedBody is ReadBody with a buffer whose bytes are reserved in r before it is allocated, and stay reserved.
func ReadReservedBody(br *bufio.Reader, h *medlarhead.Head, limit int64, r *medlarmemory.Reservation) ([]byte, error) {
	if h.Framing == medlarhead.FramingNone {
		return nil, nil
	}
	longest := limit
	if h.Framing == medlarhead.FramingLength {
		if h.Length > limit {
			return nil, oversizedBody(limit)
		}
		longest = h.Length
	}
	b := NewBody(br, h)
	var out []byte
	for {
		n, err := b.Read(out[len(out):cap(out)]) // with a full buffer, detects the end of the body
		out = out[:len(out)+n]
		r.Received(n)
		switch {
		case err == io.EOF:
			return out, nil
		case err != nil:
			return out, err
		case len(out) < cap(out) || n > 0:
		case int64(len(out)) == longest:
			return nil, oversizedBody(limit)
		default:
			if out, err = growBody(out, longest, r); err != nil {
				return nil, err
			}
		}
	}
}

func oversizedBody(limit int64) error {
	return &medlarhead.Error{Op: medlarhead.OpBody, Kind: medlarhead.KindOversized, Err: eris.Errorf("body of more than %d bytes", limit)}
}

// growBody returns a longer buffer with the bytes of b. Both are reserved while they are copied.
func growBody(b []byte, longest int64, r *medlarmemory.Reservation) ([]byte, error) {
	n := int(min(max(firstBody, 2*int64(cap(b))), longest))
	if err := r.Grow(n); err != nil {
		return nil, &medlarhead.Error{Op: medlarhead.OpBody, Kind: medlarhead.KindUnreserved, Err: err}
	}
	out := append(make([]byte, 0, n), b...)
	r.Shrink(cap(b))
	return out, nil
}

// ReadSome reads at most limit bytes of a body; body.Done reports whether that was the
// complete body.
func ReadSome(body *Body, limit int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, int64(limit)))
	if err != nil || body.Done() {
		return b, err
	}
	var empty [0]byte
	if _, err := body.Read(empty[:]); err != nil && err != io.EOF { // detects a body that ends exactly at the limit
		return nil, err
	}
	return b, nil
}

package medlarhead

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// lineLimit bounds a chunk's size line and all trailers of a body, in bytes (R4).
const lineLimit = 4096

// Body reads a body; it returns io.EOF only when the body is whole (R3).
type Body struct {
	br      *bufio.Reader
	framing Framing
	left    int64 // bytes of the body, or of the chunk
	begun   bool  // a chunk was read
	done    bool
}

// NewBody returns the body that follows a head.
func NewBody(br *bufio.Reader, h *Head) *Body {
	return &Body{br: br, framing: h.Framing, left: max(h.Length, 0), done: h.Framing == FramingNone}
}

// Done reports whether the whole body was read.
func (b *Body) Done() bool { return b.done }

// Read reads what has come.
func (b *Body) Read(p []byte) (int, error) {
	if b.framing == FramingChunked && b.left == 0 && !b.done {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	if b.framing == FramingLength && b.left == 0 {
		b.done = true
	}
	if b.done {
		return 0, io.EOF
	}
	if b.framing != FramingClose && int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.br.Read(p)
	if b.framing == FramingClose {
		b.done = err == io.EOF
	} else {
		b.left -= int64(n)
	}
	if err != nil && !b.done {
		return n, &Error{Op: OpBody, Kind: KindBroken, Err: err}
	}
	return n, err
}

// nextChunk reads the end of a chunk and the size of the next one.
func (b *Body) nextChunk() error {
	if b.begun {
		if line, err := b.line(); err != nil || line != "" {
			return b.bad(err, "chunk end")
		}
	}
	line, err := b.line()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	size = strings.TrimRight(size, " \t")
	n, err := strconv.ParseUint(size, 16, 62)
	if err != nil || size[0] == '+' {
		return malformed(OpBody, "chunk size")
	}
	b.begun = true
	b.left = int64(n)
	if n > 0 {
		return nil
	}
	return b.trailers()
}

// trailers reads the lines after the last chunk and drops them.
func (b *Body) trailers() error {
	for total := 0; total < lineLimit; {
		line, err := b.line()
		if err != nil {
			return err
		}
		if line == "" {
			b.done = true
			return nil
		}
		total += len(line)
	}
	return &Error{Op: OpBody, Kind: KindOversized, Err: eris.New("trailers")}
}

func (b *Body) bad(err error, what string) error {
	if err != nil {
		return err
	}
	return malformed(OpBody, what)
}

// line reads a line without its end.
func (b *Body) line() (string, error) {
	var line []byte
	for {
		part, err := b.br.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > lineLimit {
			return "", &Error{Op: OpBody, Kind: KindOversized, Err: eris.New("line of a chunked body")}
		}
		if err == nil {
			break
		}
		if err != bufio.ErrBufferFull {
			return "", &Error{Op: OpBody, Kind: KindBroken, Err: err}
		}
	}
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return "", malformed(OpBody, "line without CR LF")
	}
	return string(line[:len(line)-2]), nil
}

// ReadBody reads a whole body of at most limit bytes.
func ReadBody(br *bufio.Reader, h *Head, limit int64) ([]byte, error) {
	if h.Framing == FramingNone {
		return nil, nil
	}
	if h.Framing == FramingLength && h.Length > limit {
		return nil, &Error{Op: OpBody, Kind: KindOversized, Err: eris.Errorf("body of more than %d bytes", limit)}
	}
	b := NewBody(br, h)
	if h.Framing == FramingLength {
		out := make([]byte, h.Length)
		_, err := io.ReadFull(b, out)
		return out, err
	}
	out, err := io.ReadAll(io.LimitReader(b, limit+1))
	if err == nil && int64(len(out)) > limit {
		return nil, &Error{Op: OpBody, Kind: KindOversized, Err: eris.Errorf("body of more than %d bytes", limit)}
	}
	return out, err
}

// ReadSome reads a body up to limit bytes; whether that is all, the body tells.
func ReadSome(body *Body, limit int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, int64(limit)))
	if err != nil || body.Done() {
		return b, err
	}
	var none [0]byte
	if _, err := body.Read(none[:]); err != nil && err != io.EOF { // finds an end right behind the limit
		return nil, err
	}
	return b, nil
}

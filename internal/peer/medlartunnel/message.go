package medlartunnel

import (
	"bufio"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

	"medlarfield/internal/base/medlarid"
)

// Fields of a request, which is a protobuf message with its length before it.
const (
	fieldSender      protowire.Number = 1 // string
	fieldKey         protowire.Number = 2 // fixed64
	fieldReplica     protowire.Number = 3 // string
	fieldIncarnation protowire.Number = 4 // varint
	fieldLeaving     protowire.Number = 5 // varint, 1 if the replica leaves
	fieldPause       protowire.Number = 6 // varint, milliseconds
	fieldProve       protowire.Number = 7 // varint, 1 if the instance is asked whether the replica answers it
	fieldSubscribe   protowire.Number = 8 // varint, 1 if the instance is asked for the contents of KV stores
)

// maxRequest bounds the length of a request, in bytes.
const maxRequest = 1024

// Hint is what a replica has stated in a response about further requests.
type Hint struct {
	Replica     medlarid.InstanceID
	Incarnation medlarid.Incarnation
	Leaving     bool
	Pause       time.Duration // for which the replica asks for no requests; 0 for none
}

// request is the first message on a connection. It asks for a connection to a replica, whether a replica answers, or for the
// contents of KV stores, or it passes on a hint.
type request struct {
	sender    medlarid.InstanceID
	key       Key
	prove     bool
	subscribe bool
	hint      Hint
}

// isHint reports whether the request passes on a hint.
func (q *request) isHint() bool { return q.hint.Leaving || q.hint.Pause > 0 }

func (q *request) encode() []byte {
	b := protowire.AppendTag(nil, fieldSender, protowire.BytesType)
	b = protowire.AppendString(b, string(q.sender))
	b = protowire.AppendTag(b, fieldKey, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, uint64(q.key))
	b = protowire.AppendTag(b, fieldReplica, protowire.BytesType)
	b = protowire.AppendString(b, string(q.hint.Replica))
	b = appendVarint(b, fieldIncarnation, uint64(q.hint.Incarnation))
	if q.hint.Leaving {
		b = appendVarint(b, fieldLeaving, 1)
	}
	if q.hint.Pause > 0 {
		b = appendVarint(b, fieldPause, uint64(max(q.hint.Pause.Milliseconds(), 1)))
	}
	if q.prove {
		b = appendVarint(b, fieldProve, 1)
	}
	if q.subscribe {
		b = appendVarint(b, fieldSubscribe, 1)
	}
	return append(protowire.AppendVarint(nil, uint64(len(b))), b...)
}

func appendVarint(b []byte, n protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

// Errors of decoding.
var (
	errMalformed = eris.New("malformed request")
	errTooLong   = eris.New("request is too long")
)

// readRequest reads the first message on a connection, and nothing behind it.
func readRequest(r io.Reader) (request, error) {
	n, err := readLength(r)
	if err != nil {
		return request{}, err
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return request{}, err
	}
	return decodeRequest(b)
}

// readLength reads the length of a message byte by byte.
func readLength(r io.Reader) (int, error) {
	var b []byte
	for range protowire.SizeVarint(maxRequest) {
		var c [1]byte
		if _, err := io.ReadFull(r, c[:]); err != nil {
			return 0, err
		}
		b = append(b, c[0])
		if v, n := protowire.ConsumeVarint(b); n > 0 && v <= maxRequest {
			return int(v), nil
		}
	}
	return 0, errTooLong
}

func decodeRequest(b []byte) (request, error) {
	var q request
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return request{}, errMalformed
		}
		b = b[n:]
		if n = q.decodeField(number, kind, b); n < 0 {
			return request{}, errMalformed
		}
		b = b[n:]
	}
	return q, nil
}

// maxPauseMs bounds a pause, so that it cannot overflow.
const maxPauseMs = 3_600_000

// decodeField decodes the value of a field and returns its length, or a negative number.
func (q *request) decodeField(number protowire.Number, kind protowire.Type, b []byte) int {
	switch kind {
	case protowire.BytesType:
		v, n := protowire.ConsumeBytes(b)
		switch number {
		case fieldSender:
			q.sender = medlarid.InstanceID(v)
		case fieldReplica:
			q.hint.Replica = medlarid.InstanceID(v)
		}
		return n
	case protowire.Fixed64Type:
		v, n := protowire.ConsumeFixed64(b)
		if number == fieldKey {
			q.key = Key(v)
		}
		return n
	case protowire.VarintType:
		v, n := protowire.ConsumeVarint(b)
		switch number {
		case fieldIncarnation:
			q.hint.Incarnation = medlarid.Incarnation(v)
		case fieldLeaving:
			q.hint.Leaving = v != 0
		case fieldProve:
			q.prove = v != 0
		case fieldSubscribe:
			q.subscribe = v != 0
		case fieldPause:
			q.hint.Pause = time.Duration(min(v, maxPauseMs)) * time.Millisecond
		}
		return n
	}
	return protowire.ConsumeFieldValue(number, kind, b)
}

// Lengths of frames.
const (
	frameHead  = 2        // bytes before a frame: its length
	frameBytes = 16 << 10 // longest frame that is sent
)

// endFrame is the frame that ends the bytes of a replica.
var endFrame = make([]byte, frameHead)

// copyFrames copies what a replica sends to w, in frames, and an end frame once the replica has ended the
// connection in an orderly way and has taken all that was written to it. It returns nil then.
func copyFrames(w io.Writer, r io.Reader, written func() bool) error {
	b := make([]byte, frameHead+frameBytes)
	for {
		n, err := r.Read(b[frameHead:])
		if n > 0 {
			b[0], b[1] = byte(n>>8), byte(n)
			if _, err := w.Write(b[:frameHead+n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			if !written() {
				return io.ErrUnexpectedEOF
			}
			_, err = w.Write(endFrame)
			return err
		}
		if err != nil {
			return err
		}
	}
}

// frameReader reads the bytes in frames. It fails with io.ErrUnexpectedEOF unless an end frame ends them: the
// instance between may be gone while the replica continues.
type frameReader struct {
	r    *bufio.Reader
	left int  // bytes of the current frame
	done bool // the end frame was read
}

func (f *frameReader) read(b []byte) (int, error) {
	if f.left == 0 {
		n, err := f.next()
		if err != nil {
			return 0, err
		}
		f.left = n
	}
	n, err := f.r.Read(b[:min(len(b), f.left)])
	f.left -= n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// next returns the length of the next frame. It waits without having read a part of the head, so that a deadline
// that has passed meanwhile loses nothing.
func (f *frameReader) next() (int, error) {
	if f.done {
		return 0, io.EOF
	}
	head, err := f.r.Peek(frameHead)
	if err == io.EOF {
		return 0, io.ErrUnexpectedEOF
	}
	if err != nil {
		return 0, err
	}
	_, _ = f.r.Discard(frameHead)
	n := int(head[0])<<8 | int(head[1])
	if n == 0 {
		f.done = true
		return 0, io.EOF
	}
	return n, nil
}

// buffered returns the number of bytes that were received and not read.
func (f *frameReader) buffered() int { return f.left + f.r.Buffered() }

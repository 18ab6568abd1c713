// Package medlarbody reads the bodies of responses from connections to upstreams, and tells which are whole.
package medlarbody

import (
	"bufio"
	"io"
	"net"
	"time"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
)

// Limits of bodies.
const (
	maxBytes = 16 << 20              // a replica in trouble may send without end
	endWait  = 50 * time.Millisecond // for what shows whether a response was cut off
)

// Source is the connection that a body comes from.
type Source struct {
	Conn     net.Conn
	Buffer   *bufio.Reader // of Conn
	Deadline time.Time     // of reads from Conn
	// Written returns an error if the request could not be written in full. It is called once the connection has ended, and is
	// nil if the request was written in full before its response was read.
	Written func() error
}

// Reader reads a body. Read returns io.EOF only if the body is whole.
type Reader struct {
	source  Source
	body    *medlarframing.Body
	framing medlarhead.Framing
}

// New returns a reader for the body that follows a head.
func New(s Source, h *medlarhead.Head) *Reader {
	body := medlarframing.NewBody(s.Buffer, h)
	body.Limit(maxBytes)
	return &Reader{source: s, body: body, framing: h.Framing}
}

// RejectHeads makes a body that holds a part of a further response count as broken off. own reports whether the head of a
// response names the request that the body answers.
func (r *Reader) RejectHeads(own func(*medlarhead.Head) bool) { r.body.RejectHeads(own) }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if endErr := r.checkEnd(); endErr != nil {
		return n, endErr
	}
	return n, io.EOF
}

// ReadSome reads at most limit bytes. whole reports whether that was the whole body.
func (r *Reader) ReadSome(limit int) (b []byte, whole bool, err error) {
	b, err = medlarframing.ReadSome(r.body, limit)
	if err == nil && r.body.Done() {
		return b, true, r.checkEnd()
	}
	return b, false, err
}

// checkEnd returns an error if a further response has taken the place of the end of the body, or if the connection has ended
// before the request was written. If a write fails because the connection was reset, the read that follows returns
// io.EOF, so that the end appears to be orderly.
func (r *Reader) checkEnd() error {
	if r.framing == medlarhead.FramingClose && r.source.Written != nil {
		return r.source.Written()
	}
	if !r.body.MayHoldHead() {
		return nil
	}
	_ = r.source.Conn.SetReadDeadline(r.source.soon())
	defer func() { _ = r.source.Conn.SetReadDeadline(r.source.Deadline) }()
	return r.body.CheckEnd()
}

// soon returns the deadline for what shows whether a response was cut off.
func (s Source) soon() time.Time {
	if t := time.Now().Add(endWait); t.Before(s.Deadline) {
		return t
	}
	return s.Deadline
}

// CutOff reads at most limit bytes of a body for a moment, and reports whether the upstream ends the connection there,
// as one does whose response has no signature since it was cut off before that.
func CutOff(s Source, h *medlarhead.Head, limit int64) bool {
	_ = s.Conn.SetReadDeadline(s.soon())
	body := medlarframing.NewBody(s.Buffer, h)
	body.Limit(limit)
	_, err := io.Copy(io.Discard, body)
	return err == nil && h.Framing == medlarhead.FramingClose || medlarhead.ConnectionEnded(err)
}

// Discard reads a body of at most limit bytes and reports whether it was whole.
func Discard(s Source, h *medlarhead.Head, limit int64) bool {
	body := medlarframing.NewBody(s.Buffer, h)
	_, err := io.Copy(io.Discard, io.LimitReader(body, limit))
	return err == nil && body.Done()
}

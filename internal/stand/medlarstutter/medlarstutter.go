// Package medlarstutter makes a server write an earlier response once more: before the next one on the same
// connection, when the request for that has been read.
package medlarstutter

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"medlarfield/internal/base/medlarhead"
)

// Form is the form in which a response is written once more.
type Form string

// Forms.
const (
	FormWhole   Form = "whole"
	FormParts   Form = "parts"   // the head, and after partsPause the body
	FormChunked Form = "chunked" // with a chunked body
	FormClosed  Form = "closed"  // with a body that ends with the connection
)

// partsPause is the pause between the two parts of a copy.
const partsPause = 20 * time.Millisecond

// minBody is the body of a copy whose original has none.
const minBody = "once more"

// Copy states which responses are written once more, and how.
type Copy struct {
	Form Form
	// Without names a header field that copies lack; empty for none.
	Without string
	// Status is the status of the responses that are copied; 0 for any.
	Status int
	// Instead is written in place of a copy, unless it is empty.
	Instead string
}

// Stutter makes the connections of a server stutter while it is armed. It is safe for concurrent use.
type Stutter struct {
	mu     sync.Mutex
	copy   Copy
	left   int // copies that are still to be written
	copies int
}

// Arm makes the next response on a connection that has had one follow a copy of that.
func (s *Stutter) Arm(c Copy) { s.ArmTimes(c, 1) }

// ArmTimes is Arm for the next n such responses.
func (s *Stutter) ArmTimes(c Copy, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copy, s.left = c, n
}

// Copies returns how many copies have been written.
func (s *Stutter) Copies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies
}

// next returns the copy of a response to write, if one is to be written.
func (s *Stutter) next(response []byte) (Copy, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	other := s.copy.Status != 0 && !bytes.HasPrefix(response, medlarhead.AppendStatus(nil, s.copy.Status))
	if s.left == 0 || other {
		return Copy{}, false
	}
	s.left--
	s.copies++
	return s.copy, true
}

// Wrap returns a connection that stutters.
func (s *Stutter) Wrap(c net.Conn) net.Conn { return &conn{Conn: c, stutter: s} }

// conn records the last response. It is used by one goroutine.
type conn struct {
	net.Conn
	stutter  *Stutter
	reading  bool   // nothing was written since the last read
	earlier  []byte // the response before the current one
	response []byte
	closed   bool // a copy has ended the connection
}

// NetConn returns the connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads a part of a request.
func (c *conn) Read(b []byte) (int, error) {
	if !c.reading {
		c.reading = true
		c.earlier, c.response = c.response, nil
	}
	return c.Conn.Read(b)
}

// Write writes a part of a response, after the copy of the earlier one if there is to be one.
func (c *conn) Write(b []byte) (int, error) {
	if c.reading && len(c.earlier) > 0 {
		if how, ok := c.stutter.next(c.earlier); ok {
			c.writeCopy(how)
		}
	}
	c.reading = false
	c.response = append(c.response, b...)
	if c.closed {
		return 0, io.ErrClosedPipe
	}
	return c.Conn.Write(b)
}

// writeCopy writes the earlier response once more.
func (c *conn) writeCopy(how Copy) {
	if how.Instead != "" {
		_, _ = io.WriteString(c.Conn, how.Instead)
		return
	}
	head, body, _ := bytes.Cut(c.earlier, []byte("\r\n\r\n"))
	if len(body) == 0 {
		body = []byte(minBody)
	}
	lines := bufio.NewScanner(bytes.NewReader(head))
	var b []byte
	for lines.Scan() {
		name, _, _ := strings.Cut(lines.Text(), ":")
		framing := strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding")
		if !framing && (how.Without == "" || !strings.EqualFold(name, how.Without)) {
			b = append(append(b, lines.Text()...), "\r\n"...)
		}
	}
	switch how.Form {
	case FormChunked:
		b = medlarhead.AppendEnd(medlarhead.AppendField(b, "Transfer-Encoding", "chunked"))
		body = append(medlarhead.AppendChunk(nil, body), medlarhead.LastChunk...)
	case FormClosed:
		b = medlarhead.AppendEnd(b)
	default:
		b = medlarhead.AppendEnd(medlarhead.AppendLength(b, len(body)))
	}
	_, _ = c.Conn.Write(b)
	if how.Form == FormParts {
		time.Sleep(partsPause)
	}
	_, _ = c.Conn.Write(body)
	if how.Form == FormClosed {
		c.closed = true
		_ = c.Conn.Close()
	}
}

// Package medlarevent cuts a stream of server-sent events into whole events.
//
// Rules:
//
//	R1  An event is passed on only when its empty line has come, so that a stream
//	    which breaks off can go on elsewhere after the last whole event.
//	R2  Bytes are passed on as they came.
//	R3  An event without an id has the id of the one before.
package medlarevent

import (
	"bytes"
	"errors"
)

// ErrEventTooLarge is the failure of a stream with an event of more than maxEvent bytes.
var ErrEventTooLarge = errors.New("medlarevent: event too large")

// maxEvent bounds an event in bytes.
const maxEvent = 1 << 20

// Splitter cuts a stream. The zero value is ready for use.
type Splitter struct {
	rest []byte
	id   string // of the last whole event
}

// ID returns the id of the last whole event, or an empty string.
func (c *Splitter) ID() string { return c.id }

// Partial reports whether an event has begun and not ended.
func (c *Splitter) Partial() bool { return len(c.rest) > 0 }

// Reset forgets an event that has begun: the stream goes on from a new answer.
func (c *Splitter) Reset() { c.rest = c.rest[:0] }

// Split takes the next bytes of the stream and appends the whole events to out.
func (c *Splitter) Split(out, data []byte) ([]byte, error) {
	c.rest = append(c.rest, data...)
	whole := 0
	for {
		n := eventEnd(c.rest[whole:])
		if n == 0 {
			break
		}
		c.note(c.rest[whole : whole+n])
		whole += n
	}
	out = append(out, c.rest[:whole]...)
	c.rest = append(c.rest[:0], c.rest[whole:]...)
	if len(c.rest) > maxEvent {
		return out, ErrEventTooLarge
	}
	return out, nil
}

// eventEnd returns the length of the first event with its empty line, or 0.
func eventEnd(b []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		switch {
		case bytes.HasPrefix(b[at:], []byte("\n")):
			return at + 1
		case bytes.HasPrefix(b[at:], []byte("\r\n")):
			return at + 2
		}
	}
}

// note takes over the id of an event (R3).
func (c *Splitter) note(event []byte) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			c.id = string(bytes.TrimSpace(v))
		}
	}
}

// Flush appends what came after the last whole event to out: the stream has ended in
// order.
func (c *Splitter) Flush(out []byte) []byte {
	out = append(out, c.rest...)
	c.Reset()
	return out
}

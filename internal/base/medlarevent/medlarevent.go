// Package medlarevent splits a stream of server-sent events into complete events.
//
// Rules:
//
//	R1  An event is returned only after its terminating empty line was read, so that
//	    an interrupted stream can be resumed at another upstream after the last
//	    complete event.
//	R2  Bytes are returned unmodified.
//	R3  An event without an id inherits the id of the previous event.
//	R4  A stream that ends within an event was interrupted, whatever the framing of
//	    its response states. Blank lines and comments after the last event belong to
//	    no event. A response that resumes a stream needs an event to be complete.
//	R5  An event, with the comments and blank lines before it, is at most maxEvent bytes.
//	R6  An event has a line of data, id, event or retry, and its other lines are fields or
//	    comments. A block of other lines ends the stream as interrupted: it is text of a
//	    failure or the head of another response. So does an event within whose lines such a
//	    head begins.
//	R7  After Resume, decimal ids increase from event to event. A response that resumes a
//	    stream begins after the last event, with the next id if the ids have counted by
//	    one so far, and not at all after an event without an id. A stream ends as
//	    interrupted before an event that is out of order.
package medlarevent

import (
	"bytes"
	"errors"
	"strings"
)

// ErrEventTooLarge reports an event of more than maxEvent bytes.
var ErrEventTooLarge = errors.New("medlarevent: event too large")

// Errors of a stream whose body has ended although the stream is incomplete (R4). Both wrap
// ErrConnectionEnded if only the end of the connection delimited the body.
var (
	ErrConnectionEnded = errors.New("medlarevent: connection ended")
	errPartialEvent    = errors.New("medlarevent: stream ended within an event")
	errNotEvent        = errors.New("medlarevent: block is not an event")
	errOrder           = errors.New("medlarevent: event is out of order")
	errNoEvent         = errors.New("medlarevent: stream ended before the first event")
)

// IsStream reports whether a response of a content type is an event stream. One that does not
// declare its type is.
func IsStream(contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	mediaType = strings.TrimSpace(mediaType)
	return mediaType == "" || strings.EqualFold(mediaType, "text/event-stream")
}

// maxEvent is the maximum size of an event in bytes.
const maxEvent = 1 << 20

// Splitter splits a stream. The zero value is ready for use.
type Splitter struct {
	buf    []byte
	id     string // of the last complete event
	events int    // complete events since the last Resume
	idle   int    // bytes of comments and blank lines since the last event
	order  order
}

// ID returns the id of the last complete event, or an empty string.
func (c *Splitter) ID() string { return c.id }

// PartialBytes returns the number of buffered bytes if they contain the start of an
// event, and 0 otherwise (R4).
func (c *Splitter) PartialBytes() int {
	for line := range bytes.Lines(c.buf) {
		text, complete := bytes.CutSuffix(line, []byte("\n"))
		blank := len(bytes.TrimSuffix(text, []byte("\r"))) == 0
		if !complete || !blank && text[0] != ':' {
			return len(c.buf)
		}
	}
	return 0
}

// Buffered returns the number of bytes that are buffered behind the last complete event.
func (c *Splitter) Buffered() int { return len(c.buf) }

// Events returns the number of complete events since the last Resume.
func (c *Splitter) Events() int { return c.events }

// Resume prepares for a response that continues after the event with an id; empty for one that begins the
// stream. It discards an incomplete event (R7).
func (c *Splitter) Resume(last string) {
	c.buf, c.events, c.idle = c.buf[:0], 0, 0
	c.order.resume(last)
}

// Split reads the next bytes of the stream and appends the complete events to out.
func (c *Splitter) Split(out, data []byte) ([]byte, error) {
	c.buf = append(c.buf, data...)
	complete := 0
	var err error
	for err == nil {
		n := eventEnd(c.buf[complete:])
		if n == 0 {
			break
		}
		if err = c.add(c.buf[complete : complete+n]); err == nil {
			complete += n
		}
	}
	out = append(out, c.buf[:complete]...)
	c.buf = append(c.buf[:0], c.buf[complete:]...)
	if err == nil && (len(c.buf) > maxEvent || c.idle > maxEvent) {
		err = ErrEventTooLarge
	}
	return out, err
}

// add counts a block of lines up to an empty one and records its id. It returns an error if the block is
// neither an event nor only comments (R6), or out of order (R7).
func (c *Splitter) add(text []byte) error {
	b := parseBlock(text)
	switch {
	case b.malformed:
		return errNotEvent
	case b.empty:
		c.idle += len(text) // R5
	case !c.order.add(b.id):
		return errOrder
	default:
		c.idle, c.events = 0, c.events+1
	}
	if b.id != "" {
		c.id = b.id // R3
	}
	return nil
}

// eventEnd returns the length of the first event including its empty line, or 0 if it is
// incomplete.
func eventEnd(b []byte) int {
	for pos := 0; ; {
		i := bytes.IndexByte(b[pos:], '\n')
		if i < 0 {
			return 0
		}
		pos += i + 1
		switch {
		case bytes.HasPrefix(b[pos:], []byte("\n")):
			return pos + 1
		case bytes.HasPrefix(b[pos:], []byte("\r\n")):
			return pos + 2
		}
	}
}

// Finish appends to out what follows the last event of a stream whose body has ended. toClose reports
// that the end of the connection delimited the body: then the stream needs an event to be complete (R4).
func (c *Splitter) Finish(out []byte, toClose bool) ([]byte, error) {
	var err error
	switch {
	case c.PartialBytes() > 0:
		err = errPartialEvent
	case c.order.resumes || toClose && c.events == 0:
		err = errNoEvent
	default:
		return c.Flush(out), nil
	}
	if toClose {
		err = errors.Join(err, ErrConnectionEnded)
	}
	return out, err
}

// Check returns an error if the body of a stream is incomplete (R4). toClose reports that the end of
// the connection delimited it.
func Check(body []byte, toClose bool) error {
	var c Splitter
	if _, err := c.Split(nil, body); err != nil {
		return err
	}
	_, err := c.Finish(nil, toClose)
	return err
}

// Flush appends the bytes after the last complete event to out. It is called when the
// stream has ended normally, and not within an event.
func (c *Splitter) Flush(out []byte) []byte {
	out = append(out, c.buf...)
	c.buf = c.buf[:0]
	return out
}

// Package medlarending holds the ways in which a response can end, whole or not, so that tests of
// both interfaces play the same ones.
package medlarending

import (
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"medlarfield/internal/base/medlarhead"
)

// Ending is a response of status 200 and how it ends.
type Ending struct {
	Name        string
	ContentType string
	Framing     medlarhead.Framing
	Body        string
	Unfinished  bool          // the framing promises more than Body
	Reset       bool          // the connection is reset, not closed in an orderly way
	Whole       bool          // the response is complete
	Keep        bool          // the connection is left open
	Early       bool          // the response does not await the body of the request
	HalfClose   bool          // the replica ends its side of the connection before it ends the whole
	Pause       time.Duration // before the connection ends
	// Text returns all bytes of the response, in place of what the fields above state; nil for none.
	Text func(Request) string
	// Again returns what is written After the response on the same connection; nil for none.
	Again func(Request) string
	After time.Duration
}

// Request is what a response states of its request.
type Request struct {
	ID          string
	LastEventID string // empty for none
	Fields      string // header lines of a signed response, each with its line break
}

// Queue holds the endings of the next responses, of one replica or of several. The zero value is empty.
type Queue struct {
	mu     sync.Mutex
	next   []Ending
	always *Ending // after those in next; nil for none
}

// Arm adds the ending of one response.
func (q *Queue) Arm(e Ending) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.next = append(q.next, e)
}

// ArmAlways sets the ending of all responses after those that Arm added.
func (q *Queue) ArmAlways(e Ending) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.always = &e
}

// Next takes the ending of the next response. It returns false if there is none.
func (q *Queue) Next() (Ending, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case len(q.next) > 0:
		e := q.next[0]
		q.next = q.next[1:]
		return e, true
	case q.always != nil:
		return *q.always, true
	}
	return Ending{}, false
}

// Content types of the endings.
const (
	stream   = "text/event-stream"
	capitals = "Text/Event-Stream; charset=utf-8"
	document = "application/json"
)

// events are two whole events.
const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// All lists the endings.
var All = []Ending{
	{Name: "close after an event", ContentType: stream, Framing: medlarhead.FramingClose, Body: events, Whole: true},
	{Name: "close after a comment", ContentType: stream, Framing: medlarhead.FramingClose, Body: events + ": end\n\n", Whole: true},
	{Name: "close within a line", ContentType: stream, Framing: medlarhead.FramingClose, Body: events + "id: 3\nda"},
	{Name: "close between two lines", ContentType: stream, Framing: medlarhead.FramingClose, Body: events + "id: 3\ndata: c\n"},
	{Name: "close within a line, type in capitals", ContentType: capitals, Framing: medlarhead.FramingClose, Body: events + "id: 3\nda"},
	{Name: "close before the first event", ContentType: stream, Framing: medlarhead.FramingClose},
	{Name: "close after a comment, before the first event", ContentType: stream, Framing: medlarhead.FramingClose, Body: ": wait\n\n"},
	{Name: "reset after an event", ContentType: stream, Framing: medlarhead.FramingClose, Body: events, Reset: true},
	{Name: "chunks to the end", ContentType: stream, Framing: medlarhead.FramingChunked, Body: events, Whole: true},
	{Name: "last chunk within an event", ContentType: stream, Framing: medlarhead.FramingChunked, Body: events + "id: 3\nda"},
	{Name: "last chunk within an event, type in capitals", ContentType: capitals, Framing: medlarhead.FramingChunked, Body: events + "id: 3\nda"},
	{Name: "no last chunk", ContentType: stream, Framing: medlarhead.FramingChunked, Body: events, Unfinished: true},
	{Name: "reset before the last chunk", ContentType: stream, Framing: medlarhead.FramingChunked, Body: events, Unfinished: true, Reset: true},
	{Name: "length to the end", ContentType: stream, Framing: medlarhead.FramingLength, Body: events, Whole: true},
	{Name: "length that ends within an event", ContentType: stream, Framing: medlarhead.FramingLength, Body: events + "id: 3\n"},
	{Name: "close before the length", ContentType: stream, Framing: medlarhead.FramingLength, Body: events, Unfinished: true},
	{Name: "another response in a stream to the close", ContentType: stream, Framing: medlarhead.FramingClose, Body: events + earlier + "\n\nid: 3\ndata: c\n\n"},
	{Name: "another response in a chunk", ContentType: stream, Framing: medlarhead.FramingChunked, Body: events + earlier + "\n\n"},
	{Name: "another response within a line of a stream", ContentType: stream, Framing: medlarhead.FramingClose, Body: events + "id: 3\nda" + earlier + "\n\n"},
	{Name: "another response behind half a line of data", ContentType: stream, Framing: medlarhead.FramingClose, Body: events + "id: 3\ndata: c" + earlier + "\n\n"},
	{Name: "another response behind an id", ContentType: stream, Framing: medlarhead.FramingChunked, Body: events + "id: 3" + earlier + "\n\n"},
	{Name: "text of a failure in a stream", ContentType: stream, Framing: medlarhead.FramingLength, Body: events + failure + "\n"},
	{Name: "document to the close", ContentType: document, Framing: medlarhead.FramingClose, Body: `{"whole":true}`, Whole: true},
	{Name: "document of a length", ContentType: document, Framing: medlarhead.FramingLength, Body: `{"whole":true}`, Whole: true},
}

// Repeating is the ending of a numbered stream that sends an event twice.
var Repeating = Ending{Name: "event that comes twice", ContentType: stream, Framing: medlarhead.FramingChunked, Body: events + "id: 2\ndata: b\n\n"}

// missingBytes are the bytes that an unfinished response of a length lacks.
const missingBytes = 7

// Write writes the response to a request. The caller closes the connection.
func (e Ending) Write(c net.Conn, r Request) {
	text := e.Text
	if text == nil {
		text = e.text
	}
	_, _ = io.WriteString(c, text(r))
	if e.Again != nil {
		time.Sleep(e.After)
		_, _ = io.WriteString(c, e.Again(r))
	}
	e.end(c)
}

// text returns the response that the fields of the ending describe.
func (e Ending) text(r Request) string {
	b := medlarhead.AppendStatus(nil, 200)
	b = append(b, r.Fields...)
	b = medlarhead.AppendField(b, "Content-Type", e.ContentType)
	switch e.Framing {
	case medlarhead.FramingLength:
		n := len(e.Body)
		if e.Unfinished {
			n += missingBytes
		}
		b = medlarhead.AppendField(b, "Content-Length", strconv.Itoa(n))
		b = append(medlarhead.AppendEnd(b), e.Body...)
	case medlarhead.FramingChunked:
		b = medlarhead.AppendField(b, "Transfer-Encoding", "chunked")
		b = medlarhead.AppendChunk(medlarhead.AppendEnd(b), []byte(e.Body))
		if !e.Unfinished {
			b = append(b, medlarhead.LastChunk...)
		}
	default:
		b = append(medlarhead.AppendEnd(b), e.Body...)
	}
	return string(b)
}

// Package medlarending holds the ways in which a response can end, whole or not, so that tests of
// both interfaces play the same ones.
package medlarending

import (
	"net"
	"strconv"

	"medlarfield/internal/base/medlarhead"
)

// Ending is a response of status 200 and how it ends.
type Ending struct {
	Name        string
	ContentType string
	Framing     medlarhead.Framing
	Body        string
	Unfinished  bool // the framing promises more than Body
	Reset       bool // the connection is reset, not closed in an orderly way
	Whole       bool // the response is complete
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
	{Name: "reset after an event", ContentType: stream, Framing: medlarhead.FramingClose, Body: events, Reset: true},
	{Name: "chunks to the end", ContentType: stream, Framing: medlarhead.FramingChunked, Body: events, Whole: true},
	{Name: "last chunk within an event", ContentType: stream, Framing: medlarhead.FramingChunked, Body: events + "id: 3\nda"},
	{Name: "last chunk within an event, type in capitals", ContentType: capitals, Framing: medlarhead.FramingChunked, Body: events + "id: 3\nda"},
	{Name: "no last chunk", ContentType: stream, Framing: medlarhead.FramingChunked, Body: events, Unfinished: true},
	{Name: "length to the end", ContentType: stream, Framing: medlarhead.FramingLength, Body: events, Whole: true},
	{Name: "length that ends within an event", ContentType: stream, Framing: medlarhead.FramingLength, Body: events + "id: 3\n"},
	{Name: "close before the length", ContentType: stream, Framing: medlarhead.FramingLength, Body: events, Unfinished: true},
	{Name: "document to the close", ContentType: document, Framing: medlarhead.FramingClose, Body: `{"whole":true}`, Whole: true},
	{Name: "document of a length", ContentType: document, Framing: medlarhead.FramingLength, Body: `{"whole":true}`, Whole: true},
}

// missingBytes are the bytes that an unfinished response of a length lacks.
const missingBytes = 7

// Write writes the response with further header lines, each with its line break. The caller closes the
// connection.
func (e Ending) Write(c net.Conn, fields string) {
	b := medlarhead.AppendStatus(nil, 200)
	b = append(b, fields...)
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
	_, _ = c.Write(b)
	if tcp, ok := c.(*net.TCPConn); ok && e.Reset {
		_ = tcp.SetLinger(0)
	}
}

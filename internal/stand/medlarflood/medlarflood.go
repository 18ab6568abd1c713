// Package medlarflood sends responses that never end, as a faulty replica may.
package medlarflood

import (
	"io"
	"strings"
	"sync/atomic"
)

// Faults of a replica that sends bytes without end, until the caller closes the connection.
const (
	Line     = "line"      // of a line that never ends
	Head     = "fields"    // of the fields of a response
	Heads    = "interim"   // of interim responses
	Foreign  = "foreigner" // of the body of a response to another request
	Busy     = "reject"    // of the body of a rejection
	Unsigned = "nameless"  // of the body of an unsigned response
	Chunk    = "chunk"     // of the size of a chunk of a response
	Body     = "body"      // of the body of a response
	Event    = "event"     // of an event of a stream
	Comment  = "comment"   // of comments in a stream
)

// blockSize is the least size of one write.
const blockSize = 32 << 10

// Flood is what a fault sends first, and what it then repeats.
type Flood struct{ start, repeat string }

// New returns what a fault sends in response to the request with an id; ok is false for a fault that is none of this package.
func New(fault, id string) (f Flood, ok bool) {
	const (
		ok200       = "HTTP/1.1 200 OK\r\n"
		headerID    = "Medlarfield-Request-Id"
		notExecuted = "Medlarfield-Not-Executed: 1\r\n"
	)
	idField := headerID + ": " + id + "\r\n"
	signed := ok200 + idField + "Medlarfield-Server-Signature: sig\r\n"
	stream := signed + "Content-Type: text/event-stream\r\n\r\n"
	switch fault {
	case Line:
		return Flood{"", "x"}, true
	case Head:
		return Flood{signed, "X-More: 1\r\n"}, true
	case Heads:
		return Flood{"", "HTTP/1.1 102 Processing\r\n\r\n"}, true
	case Foreign:
		return Flood{ok200 + headerID + ": another\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"}, true
	case Busy:
		return Flood{"HTTP/1.1 503 Busy\r\n" + idField + notExecuted + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"}, true
	case Unsigned:
		return Flood{ok200 + idField + "\r\n", "x"}, true
	case Chunk:
		return Flood{signed + "Transfer-Encoding: chunked\r\n\r\n", "0"}, true
	case Body:
		return Flood{signed + "\r\n", "x"}, true
	case Event:
		return Flood{stream + "data: ", "x"}, true
	case Comment:
		return Flood{stream, ": x\n\n"}, true
	}
	return Flood{}, false
}

// Send sends bytes until the receiver closes the connection, and adds their number to sent.
func (f Flood) Send(w io.Writer, sent *atomic.Int64) {
	text := f.start
	block := strings.Repeat(f.repeat, blockSize/len(f.repeat)+1)
	for {
		n, err := w.Write([]byte(text))
		sent.Add(int64(n))
		if err != nil {
			return
		}
		text = block
	}
}

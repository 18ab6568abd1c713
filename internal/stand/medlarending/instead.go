package medlarending

import (
	"fmt"
	"strconv"
	"strings"

	"medlarfield/internal/base/medlarhead"
)

// Parts of responses.
const (
	statusOK      = "HTTP/1.1 200 OK\r\n"
	statusFailed  = "HTTP/1.1 500 Internal Server Error\r\n"
	statusBusy    = "HTTP/1.1 503 Service Unavailable\r\n"
	chunkedStream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	closedStream  = "Content-Type: text/event-stream\r\n\r\n"
	failure       = "failed: out of memory\n"
	lastEvent     = 8 // of the streams that a response of Instead begins
)

// Instead lists responses that are no continuation of a stream, to a request that resumes one.
var Instead = []Ending{
	{Name: "failure of a length", Text: func(r Request) string { return statusFailed + r.Fields + withLength(failure) }},
	{Name: "failure in chunks, of the type of a stream", Text: func(r Request) string { return statusFailed + r.Fields + chunkedStream + chunks(failure) }},
	{Name: "failure to the close", Text: func(r Request) string { return statusFailed + r.Fields + "\r\n" + failure }},
	{Name: "rejection of a length", Text: func(r Request) string { return statusBusy + r.rejected() + withLength("full\n") }},
	{Name: "rejection to the close", Text: func(r Request) string { return statusBusy + r.rejected() + "\r\nfull\n" }},
	{Name: "misdirected", Text: func(r Request) string {
		return "HTTP/1.1 421 Misdirected Request\r\n" + r.id() + "Medlarfield-Instance-Id: other\r\n" + withLength("")
	}},
	{Name: "not found, to the close", Text: func(r Request) string { return "HTTP/1.1 404 Not Found\r\n" + r.Fields + "\r\nno such path\n" }},
	{Name: "stream without a signature", Text: func(r Request) string { return statusOK + r.id() + chunkedStream + chunks(r.events(1)) }},
	{Name: "no HTTP", Text: func(Request) string { return "\x16\x03\x01 this is no answer\r\n\r\n" }},
	{Name: "interim response, then a failure", Text: func(r Request) string {
		return "HTTP/1.1 100 Continue\r\n\r\n" + statusFailed + r.Fields + withLength(failure)
	}},
	{Name: "empty stream to the close", Text: func(r Request) string { return statusOK + r.Fields + closedStream }},
	{Name: "head and text of a failure in chunks of a stream", Text: func(r Request) string {
		return statusOK + r.Fields + chunkedStream + chunks(statusFailed+r.id()+"\r\n"+failure+"\n")
	}},
	{Name: "head and text of a failure in a stream to the close", Text: func(r Request) string {
		return statusOK + r.Fields + closedStream + statusFailed + r.id() + "\r\n" + failure + "\n"
	}},
	{Name: "text of a failure in a stream", Text: func(r Request) string { return statusOK + r.Fields + chunkedStream + chunks(failure+"\n") }},
	{Name: "stream from the first event on", Text: func(r Request) string {
		return statusOK + r.Fields + chunkedStream + chunks(eventsFrom(1))
	}},
	{Name: "stream that repeats the last event", Text: func(r Request) string { return statusOK + r.Fields + chunkedStream + chunks(r.events(0)) }},
	{Name: "events without ids", Text: func(r Request) string { return statusOK + r.Fields + chunkedStream + chunks("data: z\n\n") }},
	{Name: "empty stream of a length", Text: func(r Request) string {
		return statusOK + r.Fields + "Content-Type: text/event-stream\r\n" + withLength("")
	}},
	{Name: "empty stream in chunks", Text: func(r Request) string { return statusOK + r.Fields + chunkedStream + medlarhead.LastChunk }},
	{Name: "comment only, to the close", Text: func(r Request) string { return statusOK + r.Fields + closedStream + ": wait\n\n" }},
	{Name: "document", Text: func(r Request) string {
		return statusOK + r.Fields + "Content-Type: application/json\r\n" + withLength(`{"whole":true}`)
	}},
}

// Skipping is a response that leaves out the event after the last one. Only a caller that has events of the
// stream can show.
var Skipping = Ending{Name: "stream that skips an event", Text: func(r Request) string { return statusOK + r.Fields + chunkedStream + chunks(r.events(2)) }}

// FollowedByAnother lists whole responses behind which the replica writes an earlier one once more.
var FollowedByAnother = []Ending{
	{Name: "stream in chunks", Keep: true, Text: func(r Request) string { return statusOK + r.Fields + chunkedStream + chunks(r.events(1)) + earlier }},
	{Name: "stream of a length", Keep: true, Text: func(r Request) string {
		return statusOK + r.Fields + "Content-Type: text/event-stream\r\n" + withLength(r.events(1)) + earlier
	}},
	{Name: "document of a length", Keep: true, Text: func(r Request) string {
		return statusOK + r.Fields + "Content-Type: application/json\r\n" + withLength("{}") + earlier
	}},
}

// WithAnother lists responses that only the end of the connection delimits and within which the replica writes an
// earlier one once more.
var WithAnother = []Ending{
	{Name: "behind the body", Text: func(r Request) string { return statusOK + r.Fields + "\r\n" + ownBody + earlier }},
	{Name: "before the body", Text: func(r Request) string { return statusOK + r.Fields + "\r\n" + earlier + ownBody }},
	{Name: "within the body", Text: func(r Request) string { return statusOK + r.Fields + "\r\n" + ownBody + earlier + ownBody }},
	{Name: "cut off in its head", Text: func(r Request) string { return statusOK + r.Fields + "\r\n" + ownBody + earlier[:50] }},
	{Name: "without an id", Text: func(r Request) string { return statusOK + r.Fields + "\r\n" + ownBody + statusOK + withLength("extra") }},
	{Name: "behind a failure", Text: func(r Request) string { return statusFailed + r.Fields + "\r\n" + failure + earlier }},
	{Name: "behind a long body", Text: func(r Request) string {
		return statusOK + r.Fields + "\r\n" + strings.Repeat(ownBody, longBody) + earlier
	}},
}

const (
	ownBody  = "the answer.\n"
	longBody = 20000 // times ownBody; longer than what an instance buffers
)

// earlier is a response to another request.
const earlier = statusFailed + "Medlarfield-Request-Id: earlier\r\nMedlarfield-Server-Signature: sig\r\nContent-Length: 7\r\n\r\nearlier"

// id returns the header line that names the request.
func (r Request) id() string { return "Medlarfield-Request-Id: " + r.ID + "\r\n" }

// rejected returns the header lines of a rejection.
func (r Request) rejected() string { return r.id() + "Medlarfield-Not-Executed: 1\r\n" }

// events returns the events from a number of events after the last one on.
func (r Request) events(after int) string {
	last, err := strconv.Atoi(r.LastEventID)
	if err != nil {
		last = 0 // the request begins a stream
	}
	return eventsFrom(max(last+after, 1))
}

// eventsFrom returns the events from a number on.
func eventsFrom(first int) string {
	var b strings.Builder
	for n := first; n <= lastEvent; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: z\n\n", n)
	}
	return b.String()
}

// withLength returns the end of a head and a body of its length.
func withLength(body string) string {
	return string(medlarhead.AppendEnd(medlarhead.AppendLength(nil, len(body)))) + body
}

// chunks returns a body as one chunk with its end.
func chunks(body string) string {
	return string(medlarhead.AppendChunk(nil, []byte(body))) + medlarhead.LastChunk
}

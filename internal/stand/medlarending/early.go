package medlarending

import (
	"net"
	"strings"
	"time"
)

// earlyPause is the time between a response of BrokenOffEarly and the end of its connection. The beginning of the body is
// passed on before, and the upload fills the buffers between.
const earlyPause = 60 * time.Millisecond

// longPart is the beginning of a body that is longer than what an instance buffers.
var longPart = strings.Repeat(ownBody, longBody)

// BrokenOffEarly lists responses of status 200 that a replica begins once it has read the head of a request, and that it breaks
// off while the body of the request is still being written. Only the end of the connection could delimit them.
var BrokenOffEarly = []Ending{
	{Name: "reset at once", Early: true, Reset: true, Text: func(r Request) string { return statusOK + r.Fields + "\r\n" + ownBody }},
	{Name: "reset", Early: true, Reset: true, Pause: earlyPause, Text: func(r Request) string { return statusOK + r.Fields + "\r\n" + ownBody }},
	{Name: "reset behind the head", Early: true, Reset: true, Pause: earlyPause, Text: func(r Request) string { return statusOK + r.Fields + "\r\n" }},
	{Name: "reset behind a long part", Early: true, Reset: true, Pause: earlyPause, Text: func(r Request) string { return statusOK + r.Fields + "\r\n" + longPart }},
	{Name: "end before a reset", Early: true, Reset: true, HalfClose: true, Pause: earlyPause, Text: func(r Request) string { return statusOK + r.Fields + "\r\n" + ownBody }},
	{Name: "stream, reset at once", Early: true, Reset: true, Text: func(r Request) string { return statusOK + r.Fields + closedStream + events }},
	{Name: "stream, reset", Early: true, Reset: true, Pause: earlyPause, Text: func(r Request) string { return statusOK + r.Fields + closedStream + events }},
	{Name: "stream, end before a reset", Early: true, Reset: true, HalfClose: true, Pause: earlyPause, Text: func(r Request) string {
		return statusOK + r.Fields + closedStream + events
	}},
}

// OutOfRange lists statuses that are none of HTTP: they are outside 100 to 599, or not of three digits.
var OutOfRange = []string{"000", "00", "0", "099", "99", "600", "999", "1000", "-1", "-20", "+20", "2e2", "0200", "20", ""}

// WithStatus returns a response with any text in place of the status, in each framing.
func WithStatus(status string) []Ending {
	var out []Ending
	for _, end := range HeadEnds {
		out = append(out, Ending{Name: status + "/" + end.Name, Text: func(r Request) string {
			head, body := end.frame(r.Answer())
			return "HTTP/1.1 " + status + " Status\r\n" + r.Fields + head + body
		}})
	}
	return append(out, Ending{Name: status + "/stream", Text: func(r Request) string {
		return "HTTP/1.1 " + status + " Status\r\n" + r.Fields + chunkedStream + chunks(events)
	}})
}

// NextEarly takes the ending of the next response if that does not await the body of its request.
func (q *Queue) NextEarly() (Ending, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.next) > 0 && q.next[0].Early {
		e := q.next[0]
		q.next = q.next[1:]
		return e, true
	}
	if len(q.next) == 0 && q.always != nil && q.always.Early {
		return *q.always, true
	}
	return Ending{}, false
}

// end brings the connection to the state in which its close ends the response.
func (e Ending) end(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	if e.HalfClose {
		_ = tcp.CloseWrite()
	}
	time.Sleep(e.Pause)
	if e.Reset {
		_ = tcp.SetLinger(0)
	}
}

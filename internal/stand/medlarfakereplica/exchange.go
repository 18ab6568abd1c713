package medlarfakereplica

import (
	"bufio"
	"cmp"
	"net"
	"strconv"
	"strings"
	"time"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarprobe"
	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/stand/medlarflood"
)

// exchange is the handling of one request by a replica.
type exchange struct {
	replica *Replica
	conn    net.Conn
	br      *bufio.Reader
	head    *medlarhead.Head
	body    string
	fault   Fault
}

// header returns the value of a request header, or an empty string.
func (x *exchange) header(name string) string {
	v, _ := x.head.Get(name)
	return v
}

const (
	headerID     = "Medlarfield-Request-Id"
	headerTarget = "Medlarfield-Target-Instance"
	headerExpect = "Medlarfield-Expected-Version"
	notExecuted  = "Medlarfield-Not-Executed: 1\r\n"
)

func (x *exchange) serve() bool {
	r := x.replica
	target, expect := x.header(headerTarget), x.header(headerExpect)
	version := strconv.FormatUint(r.Version(), 10)
	run := x.record()
	if r.Settings.Arrived != nil {
		r.Settings.Arrived(run)
	}
	switch {
	case x.fault == FaultPause:
		return writeResponse(x.conn, 503, x.requestIDField()+notExecuted+r.hintFields()+"Retry-After: "+PauseSeconds+"\r\n", "")
	case x.fault == FaultMisdirected:
		return writeResponse(x.conn, 421, x.requestIDField()+"Medlarfield-Instance-Id: other\r\n", "")
	case target != "" && target != r.Settings.ID, expect != "" && expect != version:
		fields := x.requestIDField() + "Medlarfield-Instance-Id: " + r.Settings.ID + "\r\n"
		if !r.Settings.HideVersion {
			fields += "Medlarfield-Weight-Versions: " + version + "\r\n"
		}
		return writeResponse(x.conn, 421, fields, "")
	case x.fault == FaultShed || !r.acquireSlot():
		r.turnAway()
		return writeResponse(x.conn, 503, x.requestIDField()+notExecuted+r.hintFields(), "")
	}
	defer r.releaseSlot()
	r.recordRun(run)
	if r.Settings.CrashPoint != nil {
		if at := r.Settings.CrashPoint(run); at != CrashNowhere {
			x.crash(at)
			return false
		}
	}
	if f, ok := medlarflood.New(string(x.fault), x.header(headerID)); ok {
		f.Send(x.conn, &r.endless)
		return false
	}
	if e, ok := r.endings.Load().Next(); ok {
		e.Write(x.conn, medlarending.Request{ID: run.ID, LastEventID: run.LastEventID, Fields: x.responseFields()})
		return e.Keep
	}
	if r.Settings.Model == "" {
		return x.servePlain()
	}
	return x.serveStream(version)
}

// record returns the record of the request.
func (x *exchange) record() Run {
	return Run{
		ID: x.header(headerID), Method: x.head.Method, Target: x.head.Target, Body: x.body,
		Account: x.header("Medlarfield-Tenant"), Model: x.header("Medlarfield-Model"), Salt: x.header("Medlarfield-Cache-Salt"),
		Version: x.header(headerExpect), LastEventID: x.header("Last-Event-Id"),
		KVSource: x.header("Medlarfield-Kv-Source"), KVTarget: x.header("Medlarfield-Kv-Target"),
		Parts: x.parts(), Replica: x.replica.Settings.ID, Timeout: x.header("Medlarfield-Timeout-Ms"), Remote: x.conn.RemoteAddr().String(), Local: x.conn.LocalAddr().String(), Fault: string(x.fault),
	}
}

func (x *exchange) requestIDField() string { return headerID + ": " + x.header(headerID) + "\r\n" }

// responseFields returns the header fields of a response.
func (x *exchange) responseFields() string {
	f := x.requestIDField()
	if x.fault == FaultWrongID {
		f = headerID + ": another\r\n"
	}
	if x.fault != FaultUnsigned {
		f += "Medlarfield-Server-Signature: sig-" + x.replica.Settings.ID + "\r\n"
	}
	if x.fault == FaultEncoded {
		f += "Content-Encoding: gzip\r\n"
	}
	return f + x.replica.hintFields() + "Keep-Alive: timeout=5\r\n"
}

// hangDelay is the delay of FaultHang. It is longer than a caller waits.
const hangDelay = 5 * time.Second

func (x *exchange) servePlain() bool {
	x.replica.Pace.Work(x.replica.Settings.WorkTime)
	body := "answer to " + x.header(headerID)
	if n := x.replica.Settings.AnswerBytes - len(body); n > 0 {
		body += strings.Repeat(".", n)
	}
	switch x.fault {
	case FaultFail:
		return writeResponse(x.conn, 500, x.responseFields(), "failed")
	case FaultLost:
		return false
	case FaultHang:
		time.Sleep(hangDelay)
		return false
	case FaultGarbage:
		_, _ = x.conn.Write([]byte("\x16\x03\x01 this is no answer\r\n\r\n"))
		return false
	case FaultCut:
		b := medlarhead.AppendStatus(nil, 200)
		b = append(b, x.responseFields()...)
		b = append(medlarhead.AppendEnd(medlarhead.AppendLength(b, len(body))), body[:len(body)/2]...)
		_, _ = x.conn.Write(b)
		return false
	case FaultForeign:
		if !writeResponse(x.conn, 200, headerID+": another\r\nMedlarfield-Server-Signature: sig\r\n", "not yours") {
			return false
		}
	case FaultUnframed, FaultClosed, FaultReset, FaultEmpty:
		return x.servePlainUnframed(body)
	}
	ok := writeResponse(x.conn, 200, x.responseFields(), body)
	if x.fault == FaultExtra {
		_, _ = x.conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"))
	}
	return ok
}

// servePlainUnframed sends a response whose body is delimited by the end of the
// connection.
func (x *exchange) servePlainUnframed(body string) bool {
	switch x.fault {
	case FaultClosed, FaultReset:
		body = body[:len(body)/2]
	case FaultEmpty:
		body = ""
	}
	b := medlarhead.AppendStatus(nil, 200)
	b = append(medlarhead.AppendEnd(append(b, x.responseFields()...)), body...)
	_, _ = x.conn.Write(b)
	x.endUnframed()
	return false
}

// endUnframed makes the close of the connection a reset if the fault requires it.
func (x *exchange) endUnframed() {
	if c, ok := x.conn.(*net.TCPConn); ok && x.fault == FaultReset {
		_ = c.SetLinger(0)
	}
}

// unframed reports whether the body is delimited by the end of the connection.
func (x *exchange) unframed() bool {
	return x.fault == FaultUnframed || x.fault == FaultClosed || x.fault == FaultReset || x.fault == FaultEmpty
}

// breaksOff reports whether the stream breaks off within event n.
func (x *exchange) breaksOff(n int) bool {
	middle := n > x.replica.Settings.Events/2
	return middle && (x.fault == FaultCut || x.fault == FaultClosed || x.fault == FaultReset || x.fault == FaultShort)
}

// writeEvents writes a part of the stream.
func (x *exchange) writeEvents(text string) bool {
	b := []byte(text)
	if !x.unframed() {
		b = medlarhead.AppendChunk(nil, b)
	}
	_, err := x.conn.Write(b)
	return err == nil
}

// serveStream responds with an event stream that starts after the caller's
// Last-Event-Id.
func (x *exchange) serveStream(version string) bool {
	last, err := strconv.Atoi(x.header("Last-Event-Id"))
	if err != nil {
		last = 0 // start with the first event
	}
	switch x.fault {
	case FaultFail:
		return writeResponse(x.conn, 500, x.responseFields(), "failed")
	case FaultDocument:
		return writeResponse(x.conn, 200, x.responseFields()+"Content-Type: application/json\r\n", `{"text":"whole"}`)
	}
	b := x.streamHead(version)
	if _, err := x.conn.Write(medlarhead.AppendEnd(b)); err != nil || x.fault == FaultEmpty {
		return false
	}
	if !x.serveEvents(last + 1) {
		x.endUnframed()
		return false
	}
	if x.unframed() {
		return false
	}
	_, err = x.conn.Write([]byte(medlarhead.LastChunk))
	return err == nil
}

// streamHead returns the head of an event stream without its end.
func (x *exchange) streamHead(version string) []byte {
	b := medlarhead.AppendStatus(nil, 200)
	b = append(b, x.responseFields()...)
	b = append(b, "Content-Type: text/event-stream\r\nMedlarfield-Weight-Versions: "+version+"\r\n"...)
	if !x.unframed() {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	return b
}

// crash sends what the response has before a crash point, and crashes the replica.
func (x *exchange) crash(at CrashPoint) {
	x.replica.Pace.Work(x.replica.Settings.WorkTime)
	status := medlarhead.AppendStatus(nil, 200)
	var b []byte
	switch at {
	case CrashInHead:
		b = append(status, x.requestIDField()+"Medlarfield-Ser"...)
	case CrashUnsigned:
		b = medlarhead.AppendEnd(append(status, x.requestIDField()+"Transfer-Encoding: chunked\r\n"...))
	case CrashBegun:
		b = medlarhead.AppendEnd(x.streamHead(strconv.FormatUint(x.replica.Version(), 10)))
	case CrashUnframed:
		x.fault = FaultUnframed
		b = medlarhead.AppendEnd(x.streamHead(strconv.FormatUint(x.replica.Version(), 10)))
		b = append(b, x.eventText(1)...)
	}
	_, _ = x.conn.Write(b) // the caller may have left
	x.replica.Crash()
}

// parts returns the ids of the prompt's parts.
func (x *exchange) parts() []string {
	var out []string
	for item := range strings.SplitSeq(x.header("Medlarfield-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(item, ":")
		out = append(out, id)
	}
	return out
}

// serveEvents writes the events from number first on. It reports whether the response is
// to be ended as its framing requires.
func (x *exchange) serveEvents(first int) bool {
	for n := first; n <= x.replica.Settings.Events; n++ {
		x.replica.Pace.Work(x.replica.Settings.WorkTime)
		if medlarprobe.Gone(x.conn) {
			return false
		}
		text := x.eventText(n)
		if x.breaksOff(n) {
			return x.writeEvents(strings.TrimSuffix(text, "\n\n")) && x.fault == FaultShort
		}
		if !x.writeEvents(text) {
			return false
		}
	}
	return true
}

// eventText returns event n of the stream.
func (x *exchange) eventText(n int) string {
	data := cmp.Or(x.replica.Settings.Build, strings.Repeat("x", 20))
	if x.replica.Settings.NameRequests {
		data = strings.TrimSpace(x.header(headerID) + " " + x.replica.Settings.Build)
	}
	return "id: " + strconv.Itoa(n) + "\ndata: " + data + "\n\n"
}

// respondEarly sends a response that does not await the body of the request, if one is armed.
func (r *Replica) respondEarly(c net.Conn, br *bufio.Reader, h *medlarhead.Head) bool {
	if strings.HasPrefix(h.Path(), "/-/") { // a control call
		return false
	}
	e, ok := r.endings.Load().NextEarly()
	if !ok {
		return false
	}
	x := &exchange{replica: r, conn: c, br: br, head: h}
	r.recordArrival()
	r.recordRun(x.record())
	e.Write(c, medlarending.Request{ID: x.header(headerID), LastEventID: x.header("Last-Event-Id"), Fields: x.responseFields()})
	return true
}

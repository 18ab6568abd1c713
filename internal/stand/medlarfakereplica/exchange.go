package medlarfakereplica

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"time"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarprobe"
)

// exchange is one request at a replica.
type exchange struct {
	replica *Replica
	conn    net.Conn
	br      *bufio.Reader
	head    *medlarhead.Head
	body    string
	fault   Fault
}

// get returns a header's value.
func (x *exchange) get(name string) string {
	v, _ := x.head.Get(name)
	return v
}

const (
	headerID     = "Medlarfield-Request-Id"
	headerTarget = "Medlarfield-Target-Instance"
	headerExpect = "Medlarfield-Expected-Version"
	notRun       = "Medlarfield-Not-Executed: 1\r\n"
)

func (x *exchange) serve() bool {
	r := x.replica
	target, expect := x.get(headerTarget), x.get(headerExpect)
	version := strconv.FormatUint(r.Version(), 10)
	switch {
	case x.fault == FaultMisdirected:
		return write(x.conn, 421, "Medlarfield-Instance-Id: other\r\n", "")
	case target != "" && target != r.Settings.ID, expect != "" && expect != version:
		return write(x.conn, 421, "Medlarfield-Instance-Id: "+r.Settings.ID+"\r\nMedlarfield-Weight-Versions: "+version+"\r\n", "")
	case x.fault == FaultShed || !r.take():
		return write(x.conn, 503, x.echo()+notRun, "")
	}
	defer r.release()
	r.note(x.run())
	if r.Settings.Model == "" {
		return x.plain()
	}
	return x.stream(version)
}

// run returns what is noted of the request.
func (x *exchange) run() Run {
	return Run{
		ID: x.get(headerID), Method: x.head.Method, Target: x.head.Target, Body: x.body,
		Account: x.get("Medlarfield-Tenant"), Model: x.get("Medlarfield-Model"), Salt: x.get("Medlarfield-Cache-Salt"),
		Version: x.get(headerExpect), LastEventID: x.get("Last-Event-Id"),
		KVSource: x.get("Medlarfield-Kv-Source"), KVTarget: x.get("Medlarfield-Kv-Target"),
	}
}

func (x *exchange) echo() string { return headerID + ": " + x.get(headerID) + "\r\n" }

// fields returns the fields of an answer.
func (x *exchange) fields() string {
	f := x.echo()
	if x.fault == FaultWrongID {
		f = headerID + ": another\r\n"
	}
	if x.fault != FaultUnsigned {
		f += "Medlarfield-Server-Signature: sig-" + x.replica.Settings.ID + "\r\n"
	}
	if x.fault == FaultEncoded {
		f += "Content-Encoding: gzip\r\n"
	}
	return f + "Keep-Alive: timeout=5\r\n"
}

// hangTime is longer than a caller waits.
const hangTime = 5 * time.Second

func (x *exchange) plain() bool {
	time.Sleep(x.replica.Settings.WorkTime)
	body := "answer to " + x.get(headerID)
	switch x.fault {
	case FaultFail:
		return write(x.conn, 500, x.fields(), "failed")
	case FaultLost:
		return false
	case FaultHang:
		time.Sleep(hangTime)
		return false
	case FaultGarbage:
		_, _ = x.conn.Write([]byte("\x16\x03\x01 this is no answer\r\n\r\n"))
		return false
	case FaultCut:
		b := medlarhead.AppendStatus(nil, 200)
		b = append(b, x.fields()...)
		b = append(medlarhead.AppendEnd(medlarhead.AppendLength(b, len(body))), body[:len(body)/2]...)
		_, _ = x.conn.Write(b)
		return false
	case FaultForeign:
		if !write(x.conn, 200, headerID+": another\r\nMedlarfield-Server-Signature: sig\r\n", "not yours") {
			return false
		}
	case FaultUnframed:
		b := medlarhead.AppendStatus(nil, 200)
		b = append(medlarhead.AppendEnd(append(b, x.fields()...)), body...)
		_, _ = x.conn.Write(b)
		return false
	}
	ok := write(x.conn, 200, x.fields(), body)
	if x.fault == FaultExtra {
		_, _ = x.conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"))
	}
	return ok
}

// stream answers with events, from behind the last one that the caller has.
func (x *exchange) stream(version string) bool {
	last, err := strconv.Atoi(x.get("Last-Event-Id"))
	if err != nil {
		last = 0 // from the first on
	}
	if x.fault == FaultFail {
		return write(x.conn, 500, x.fields(), "failed")
	}
	b := medlarhead.AppendStatus(nil, 200)
	b = append(b, x.fields()...)
	b = append(b, "Content-Type: text/event-stream\r\nMedlarfield-Weight-Versions: "+version+"\r\nTransfer-Encoding: chunked\r\n\r\n"...)
	if _, err := x.conn.Write(b); err != nil {
		return false
	}
	for n := last + 1; n <= x.replica.Settings.Events; n++ {
		time.Sleep(x.replica.Settings.WorkTime)
		if medlarprobe.Gone(x.conn) {
			return false
		}
		text := eventText(n)
		if x.fault == FaultCut && n > x.replica.Settings.Events/2 {
			_, _ = x.conn.Write(medlarhead.AppendChunk(nil, []byte(strings.TrimSuffix(text, "\n\n"))))
			return false
		}
		if _, err := x.conn.Write(medlarhead.AppendChunk(nil, []byte(text))); err != nil {
			return false
		}
	}
	_, err = x.conn.Write([]byte(medlarhead.LastChunk))
	return err == nil
}

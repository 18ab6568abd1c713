package medlarending

import (
	"strconv"

	"medlarfield/internal/base/medlarhead"
)

// HeadEnds lists the ends of heads, each with the body of its framing.
var HeadEnds = []HeadEnd{
	{"length", func(body string) (string, string) {
		return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n", body
	}},
	{"length and further fields", func(body string) (string, string) {
		return "Content-Length: " + strconv.Itoa(len(body)) + "\r\nContent-Type: text/plain\r\n\r\n", body
	}},
	{"chunks", func(body string) (string, string) { return "Transfer-Encoding: chunked\r\n\r\n", chunks(body) }},
	{"close", func(body string) (string, string) { return "Content-Type: text/plain\r\n\r\n", body }},
}

// HeadEnd is how a head states the framing of a body.
type HeadEnd struct {
	Name  string
	frame func(body string) (head, framed string)
}

// CutHead returns a response that stops in its head, before the last bytes of it. It lacks all of the head if it is no
// longer than that.
func (e HeadEnd) CutHead(missing int, reset bool) Ending {
	return Ending{Name: e.Name, Reset: reset, Text: func(r Request) string {
		end, _ := e.frame(r.Answer())
		head := statusOK + r.Fields + end
		return head[:max(len(head)-missing, 0)]
	}}
}

// CutHeadAndAgain returns a response that stops in its head, as that of CutHead, and behind which a failure of the same
// framing is written on the same connection. Nothing is written if all of the head is missing.
func (e HeadEnd) CutHeadAndAgain(missing int) Ending {
	out := e.CutHead(missing, false)
	begin := out.Text
	out.Again = func(r Request) string {
		if begin(r) == "" {
			return ""
		}
		end, body := e.frame(failure)
		return statusFailed + r.Fields + end + body
	}
	return out
}

// Failure returns a whole failure of a status.
func (e HeadEnd) Failure(status int) Ending {
	return Ending{Name: e.Name, Whole: true, Text: func(r Request) string {
		end, body := e.frame(failure)
		return string(medlarhead.AppendStatus(nil, status)) + r.Fields + end + body
	}}
}

// CutBody returns a response that ends before the last bytes of what follows its head, at least one of these comes first. It
// returns false if nothing shows that the response is not whole.
func (e HeadEnd) CutBody(missing int, reset bool) (Ending, bool) {
	toClose := e.Name == "close"
	return Ending{Name: e.Name, Reset: reset, Text: func(r Request) string {
		end, body := e.frame(r.Answer())
		return statusOK + r.Fields + end + body[:max(len(body)-missing, 1)]
	}}, toClose && reset || !toClose && missing > 0
}

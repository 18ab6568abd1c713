package medlarending

import (
	"slices"
	"strings"
	"time"
)

// againAfter is the time after which a response is begun again.
const againAfter = 20 * time.Millisecond

// BegunAgain lists whole responses that only the end of the connection delimits, and behind which the replica begins
// to write the same response once more, up to a byte of its status line, and closes.
var BegunAgain = []Ending{
	begunAgain("at its first byte", "H"),
	begunAgain("within the name of the protocol", "HTT"),
	begunAgain("behind the name of the protocol", "HTTP/1."),
	begunAgain("within the status", "HTTP/1.1 20"),
	begunAgain("behind the status", "HTTP/1.1 200"),
	begunAgain("behind the reason", "HTTP/1.1 200 OK"),
	begunAgain("within the line end", "HTTP/1.1 200 OK\r"),
}

// begunAgain returns a response that ends with its connection and is begun again, up to the end of part.
func begunAgain(name, part string) Ending {
	return Ending{
		Name:  name,
		Text:  func(r Request) string { return statusOK + r.Fields + "\r\n" + r.Answer() },
		After: againAfter, Again: func(Request) string { return part },
	}
}

// StoppedAndAgain lists responses of a length that stop within their body, and behind which the replica writes the
// whole response once more on the same connection.
var StoppedAndAgain = []Ending{
	stoppedAndAgain("short, of a length", 3, 0, withLength),
	stoppedAndAgain("short, of a length, later", 3, againAfter, withLength),
	stoppedAndAgain("short, in chunks", 3, 0, inChunks),
	stoppedAndAgain("short, to the close", 3, 0, func(body string) string { return "\r\n" + body }),
	stoppedAndAgain("long, of a length", longMissing, 0, withLength),
	stoppedAndAgain("long, of a length, later", longMissing, againAfter, withLength),
}

// Again lists the responses of BegunAgain, and the short ones of StoppedAndAgain.
var Again = append(slices.Clone(BegunAgain), StoppedAndAgain[:shortOnes]...)

// shortOnes is the number of short responses that StoppedAndAgain begins with.
const shortOnes = 4

// longMissing is the length of a missing part that holds a whole head, in bytes.
const longMissing = 2000

// stoppedAndAgain returns a response that lacks the last bytes of its body; framed gives the whole response the end of
// its head.
func stoppedAndAgain(name string, missing int, after time.Duration, framed func(string) string) Ending {
	body := func(r Request) string {
		return strings.TrimRight(r.Answer()+strings.Repeat(" "+ownBody, missing/len(ownBody)), "\n")
	}
	return Ending{
		Name: name, Keep: true,
		Text: func(r Request) string {
			text := statusOK + r.Fields + withLength(body(r))
			return text[:len(text)-missing]
		},
		After: after, Again: func(r Request) string { return statusOK + r.Fields + framed(body(r)) },
	}
}

// Answer is the body of the response to a request of a plain service.
func (r Request) Answer() string { return "answer to " + r.ID }

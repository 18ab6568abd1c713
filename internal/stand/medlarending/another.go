package medlarending

import "time"

// lates are the times after which a response is written once more.
var lates = []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond, time.Second, 2 * time.Second}

// Twice lists whole responses of a plain service behind which the replica writes the whole response once more on the
// same connection, at once or late: such that only the end of the connection delimits, and such that name their length,
// on a connection that is kept.
func Twice() []Ending { return twice("", Request.Answer) }

// TwiceStream lists the same for streams, whose events stream returns.
func TwiceStream(stream func(Request) string) []Ending {
	return twice("Content-Type: text/event-stream\r\n", stream)
}

// twice returns a response in its framings, each as late as lates says.
func twice(contentType string, body func(Request) string) (out []Ending) {
	framings := []struct {
		name   string
		keep   bool
		framed func(body string) string
	}{
		{"to the close", false, func(body string) string { return "\r\n" + body }},
		{"to the close, with another of a length", false, withLength},
		{"to the close, with another in chunks", false, inChunks},
		{"of a length", true, withLength},
		{"in chunks", true, inChunks},
	}
	for _, f := range framings {
		for _, late := range lates {
			first := f.framed
			if !f.keep {
				first = framings[0].framed
			}
			out = append(out, Ending{
				Name: f.name + ", after " + late.String(), Keep: f.keep,
				Text:  func(r Request) string { return statusOK + r.Fields + contentType + first(body(r)) },
				After: late, Again: func(r Request) string { return statusOK + r.Fields + contentType + f.framed(body(r)) },
			})
		}
	}
	return out
}

// inChunks returns the end of a head and a body in chunks.
func inChunks(body string) string { return "Transfer-Encoding: chunked\r\n\r\n" + chunks(body) }

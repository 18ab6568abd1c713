package medlarevent

import (
	"errors"
	"strings"
	"testing"
)

func TestSplit(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata: d"
	const whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"
	for size := 1; size <= len(stream); size++ {
		var c Splitter
		var out []byte
		for rest := stream; rest != ""; {
			n := min(size, len(rest))
			var err error
			if out, err = c.Split(out, []byte(rest[:n])); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		if string(out) != whole || c.ID() != "2" || c.PartialBytes() != len(stream)-len(whole) {
			t.Errorf("chunks of %d bytes: %q, id %q, %d bytes of an incomplete event", size, out, c.ID(), c.PartialBytes())
		}
	}
}

// TestPartialBytes asserts which bytes after the last complete event mean that the stream
// was interrupted (R4).
func TestPartialBytes(t *testing.T) {
	for _, tc := range []struct {
		name, rest string
		want       int
	}{
		{"nothing", "", 0},
		{"blank line", "\n", 0},
		{"blank line with CR LF", "\r\n", 0},
		{"comment", ":alive\n", 0},
		{"comment without its line end", ":ali", 4},
		{"half a line end", "\r", 1},
		{"half a field", "da", 2},
		{"field without its line end", "id: 2", 5},
		{"event without its blank line", "id: 2\ndata: b\n", 14},
		{"comment, then an event", ":\nid: 2\n", 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c Splitter
			if _, err := c.Split(nil, []byte("id: 1\ndata: a\n\n"+tc.rest)); err != nil {
				t.Fatal(err)
			}
			if got := c.PartialBytes(); got != tc.want {
				t.Errorf("%d bytes, want %d", got, tc.want)
			}
		})
	}
}

func TestEventTooLarge(t *testing.T) {
	var c Splitter
	if _, err := c.Split(nil, []byte(strings.Repeat("x", maxEvent+1))); err != ErrEventTooLarge {
		t.Errorf("error %v, want %v", err, ErrEventTooLarge)
	}
}

// TestCommentsWithoutEnd guards against comments that are passed on without end, and against a limit of a
// stream whose events come between its comments.
func TestCommentsWithoutEnd(t *testing.T) {
	comment := []byte(": still here\n\n")
	for _, tc := range []struct {
		name  string
		event []byte // after each thousand comments; nil for none
		want  error
	}{
		{"comments only", nil, ErrEventTooLarge},
		{"events between them", []byte("data: x\n\n"), nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c Splitter
			var err error
			for n := 0; n < 2*maxEvent && err == nil; n += len(comment) {
				_, err = c.Split(nil, comment)
				if n/len(comment)%1000 == 0 && tc.event != nil && err == nil {
					_, err = c.Split(nil, tc.event)
				}
			}
			if !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

// TestBlocksThatAreNoEvent guards against text of a failure, or a head, that is returned as an event (R6).
func TestBlocksThatAreNoEvent(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	for _, tc := range []struct {
		name, block string
		ok          bool
	}{
		{"event", "id: 2\ndata: b\n\n", true},
		{"event without data", "id: 2\n\n", true},
		{"field without a value", "data\n\n", true},
		{"further field before the event", "medlarfield-weight-versions: 2\nid: 2\ndata: b\n\n", true},
		{"status line in data", "data: HTTP/1.1 500 Internal Server Error\n\n", true},
		{"byte order mark", "\xef\xbb\xbfid: 2\n\n", true},
		{"comment", ": HTTP/1.1 500\n\n", true},
		{"head", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\n", false},
		{"head behind half a line", "id: 2\ndata: bHTTP/1.1 500 Failed\r\nX-Id: 2\r\n\r\n", false},
		{"head behind half a comment", ": waHTTP/1.1 500 Failed\r\nX-Id: 2\r\n\r\n", false},
		{"status line in data with CR LF", "id: 2\r\ndata: HTTP/1.1 500 Failed\r\n\r\n", true},
		{"status line in data before more data", "data: HTTP/1.1 500 Failed\r\ndata: X-Id: 2\r\n\r\n", true},
		{"head in data with plain line ends", "data: HTTP/1.1 500 Failed\nx-id: 2\n\n", true},
		{"head without a reason", "HTTP/1.1 500\r\nid: 2\r\n\r\n", false},
		{"status line behind an event", "id: 2\ndata: b\nHTTP/1.0 500 Failed: id\n\n", false},
		{"fields of a head", "Content-Length: 5\r\nX-Id: 2\r\n\r\n", false},
		{"field of another name", "error: out of memory\n\n", false},
		{"words", "out of memory\n\n", false},
		{"word", "failed\n\n", false},
		{"document", "{\"error\":\"data\"}\n\n", false},
		{"page", "<html>\n<body>\n\n", false},
		{"binary", "\x16\x03\x01\n\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c Splitter
			want := first
			if tc.ok {
				want += tc.block
			}
			out, err := c.Split(nil, []byte(first+tc.block))
			if string(out) != want || (err == nil) != tc.ok || !tc.ok && c.ID() != "1" {
				t.Errorf("got %q, id %q, %v; want %q", out, c.ID(), err, want)
			}
		})
	}
}

// TestEventsOutOfOrder guards against events of a response that does not go on where the stream stood (R7).
func TestEventsOutOfOrder(t *testing.T) {
	const two, steps, nameless = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 10\n\nid: 20\n\n", "data: a\n\n"
	for _, tc := range []struct {
		name, before, last, event string
		ok                        bool
	}{
		{"first event", "", "", "id: 5\n\n", true},
		{"next event", two, "2", "id: 3\n\n", true},
		{"first one again", two, "2", "id: 1\n\n", false},
		{"last one again", two, "2", "id: 2\n\n", false},
		{"one left out", two, "2", "id: 4\n\n", false},
		{"no id", two, "2", "data: c\n\n", false},
		{"another kind of id", two, "2", "id: c\n\n", false},
		{"comment before the next event", two, "2", ": wait\n\nid: 3\n\n", true},
		{"steps of ten", steps, "20", "id: 30\n\n", true},
		{"steps of ten, another step", steps, "20", "id: 35\n\n", true},
		{"steps of ten, back", steps, "20", "id: 20\n\n", false},
		{"after one event", "id: 1\n\n", "1", "id: 4\n\n", true},
		{"client's event", "", "7", "id: 8\n\n", true},
		{"client's event again", "", "7", "id: 7\n\n", false},
		{"client's id is no number", "", "x7", "id: 1\n\n", true},
		{"ids are no numbers", "id: a\n\n", "a", "id: b\n\n", true},
		{"after events without an id", nameless, "", nameless, false},
		{"after an id and an event without", two + nameless, "2", "id: 3\n\n", false},
		{"larger than a number holds", "", "7", "id: 99999999999999999999\n\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c Splitter
			c.Resume("")
			if _, err := c.Split(nil, []byte(tc.before)); err != nil {
				t.Fatal(err)
			}
			c.Resume(tc.last)
			out, err := c.Split(nil, []byte(tc.event))
			if (err == nil) != tc.ok || strings.Contains(string(out), "id") && !tc.ok {
				t.Errorf("got %q, %v; want it passed on: %v", out, err, tc.ok)
			}
		})
	}
}

// TestIDsWithinResponse guards against an id that comes twice in one response (R7).
func TestIDsWithinResponse(t *testing.T) {
	for _, tc := range []struct {
		name, stream, want string
	}{
		{"increasing", "id: 1\n\nid: 2\n\nid: 9\n\n", "id: 1\n\nid: 2\n\nid: 9\n\n"},
		{"some without an id", "id: 1\n\ndata: x\n\nid: 2\n\n", "id: 1\n\ndata: x\n\nid: 2\n\n"},
		{"twice", "id: 1\n\nid: 2\n\nid: 2\n\nid: 3\n\n", "id: 1\n\nid: 2\n\n"},
		{"begun anew", "id: 1\n\nid: 2\n\nid: 1\n\n", "id: 1\n\nid: 2\n\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c Splitter
			c.Resume("")
			out, err := c.Split(nil, []byte(tc.stream))
			if string(out) != tc.want || (err == nil) != (tc.want == tc.stream) {
				t.Errorf("got %q, %v; want %q", out, err, tc.want)
			}
		})
	}
}

// TestResumedStreamWithoutEvents guards against the end of a stream as complete after a response without an
// event that was to resume it (R4).
func TestResumedStreamWithoutEvents(t *testing.T) {
	for _, tc := range []struct {
		name, last, body string
		ok               bool
	}{
		{"empty stream", "", "", true},
		{"resumed, empty", "2", "", false},
		{"resumed, comment only", "2", ": wait\n\n", false},
		{"resumed, comment without a blank line", "2", ": wait\n", false},
		{"resumed, event", "2", "id: 3\n\n", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c Splitter
			c.Resume(tc.last)
			out, err := c.Split(nil, []byte(tc.body))
			if err != nil {
				t.Fatal(err)
			}
			if out, err = c.Finish(out, false); (err == nil) != tc.ok || errors.Is(err, ErrConnectionEnded) {
				t.Errorf("got %q, %v; want it complete: %v", out, err, tc.ok)
			}
		})
	}
}

package medlarevent

import (
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

func TestEventTooLarge(t *testing.T) {
	var c Splitter
	if _, err := c.Split(nil, []byte(strings.Repeat("x", maxEvent+1))); err != ErrEventTooLarge {
		t.Errorf("error %v, want %v", err, ErrEventTooLarge)
	}
}

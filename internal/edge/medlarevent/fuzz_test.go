package medlarevent

import (
	"bytes"
	"testing"
)

// FuzzSplit asserts that a stream is cut into the same events however its bytes come, and
// that they and the rest are the bytes that came.
func FuzzSplit(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), uint16(3))
	f.Add([]byte("data: a\r\n\r\nid:7\r\ndata\r\n\r\nrest"), uint16(1))
	f.Add([]byte("\n\n\n"), uint16(2))
	f.Fuzz(func(t *testing.T, data []byte, size uint16) {
		var once, often Splitter
		whole, err := once.Split(nil, data)
		if err != nil {
			t.Skip("an event too large")
		}
		var pieces []byte
		for at, n := 0, max(int(size), 1); at < len(data); at += n {
			if pieces, err = often.Split(pieces, data[at:min(at+n, len(data))]); err != nil {
				t.Fatal(err)
			}
		}
		if !bytes.Equal(whole, pieces) || once.ID() != often.ID() {
			t.Errorf("cut into %q with id %q, in pieces %q with id %q", whole, once.ID(), pieces, often.ID())
		}
		if got := once.Flush(whole); !bytes.Equal(got, data) {
			t.Errorf("events and rest are %q, want %q", got, data)
		}
	})
}

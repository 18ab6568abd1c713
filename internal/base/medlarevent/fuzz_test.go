package medlarevent

import (
	"bytes"
	"testing"
)

// FuzzSplit asserts that a stream is split into the same events however its bytes are
// chunked, and that the events and the flushed bytes together equal the input.
func FuzzSplit(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), uint16(3))
	f.Add([]byte("data: a\r\n\r\nid:7\r\ndata\r\n\r\nrest"), uint16(1))
	f.Add([]byte("\n\n\n"), uint16(2))
	f.Fuzz(func(t *testing.T, data []byte, size uint16) {
		var whole, chunked Splitter
		wantEvents, err := whole.Split(nil, data)
		if err != nil {
			t.Skip("event too large")
		}
		var gotEvents []byte
		for at, n := 0, max(int(size), 1); at < len(data); at += n {
			if gotEvents, err = chunked.Split(gotEvents, data[at:min(at+n, len(data))]); err != nil {
				t.Fatal(err)
			}
		}
		if !bytes.Equal(wantEvents, gotEvents) || whole.ID() != chunked.ID() {
			t.Errorf("split at once: %q with id %q; in chunks: %q with id %q", wantEvents, whole.ID(), gotEvents, chunked.ID())
		}
		if got := whole.Flush(wantEvents); !bytes.Equal(got, data) {
			t.Errorf("events and flushed bytes are %q, want %q", got, data)
		}
	})
}

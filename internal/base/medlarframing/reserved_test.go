package medlarframing

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarmemory"
)

// TestReserveBody guards against a body that takes more memory than is reserved for it, and against memory that is
// reserved for a length that is only announced.
func TestReserveBody(t *testing.T) {
	const limit = 100_000
	for _, tc := range []struct {
		name    string
		head    medlarhead.Head
		text    string
		held    int64 // bytes for bodies afterwards
		kind    medlarhead.Kind
		bound   int64
		noSpace bool
	}{
		{name: "whole", head: medlarhead.Head{Framing: medlarhead.FramingLength, Length: 10_000}, text: strings.Repeat("x", 10_000), held: 10_000, bound: 1 << 20},
		{name: "short", head: medlarhead.Head{Framing: medlarhead.FramingLength, Length: 3}, text: "abc", held: 3, bound: 1 << 20},
		{name: "none arrives", head: medlarhead.Head{Framing: medlarhead.FramingLength, Length: limit}, held: firstBody, kind: medlarhead.KindBroken, bound: 1 << 20},
		{name: "little arrives", head: medlarhead.Head{Framing: medlarhead.FramingLength, Length: limit}, text: strings.Repeat("x", 5000), held: 2 * firstBody, kind: medlarhead.KindBroken, bound: 1 << 20},
		{name: "as long as allowed, in chunks", head: medlarhead.Head{Framing: medlarhead.FramingChunked}, text: chunks(limit, 64<<10), held: limit, bound: 1 << 20},
		{name: "longer than allowed, in chunks", head: medlarhead.Head{Framing: medlarhead.FramingChunked}, text: chunks(limit+1, 64<<10), held: limit, kind: medlarhead.KindOversized, bound: 1 << 20},
		{name: "chunks of one byte", head: medlarhead.Head{Framing: medlarhead.FramingChunked}, text: chunks(firstBody, 1), held: firstBody, bound: 1 << 20},
		{name: "no memory", head: medlarhead.Head{Framing: medlarhead.FramingLength, Length: limit}, text: strings.Repeat("x", limit), held: 4 * firstBody, kind: medlarhead.KindUnreserved, bound: 40 << 10, noSpace: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := medlarmemory.New(tc.bound)
			r, err := a.Reserve(medlarmemory.KindBodies, 0)
			if err != nil {
				t.Fatal(err)
			}
			body, err := ReadReservedBody(bufio.NewReader(strings.NewReader(tc.text)), &tc.head, limit, r)
			assertKind(t, err, tc.kind)
			if got := a.Held(medlarmemory.KindBodies); got != tc.held || int64(cap(body)) > got {
				t.Errorf("%d bytes are reserved for a buffer of %d, want %d", got, cap(body), tc.held)
			}
			var full *medlarmemory.Error
			if errors.As(err, &full) != tc.noSpace {
				t.Errorf("error %v, want one for lack of memory: %v", err, tc.noSpace)
			}
			r.Release()
			if got := a.Held(medlarmemory.KindBodies); got != 0 {
				t.Errorf("%d bytes are reserved after the release", got)
			}
		})
	}
}

// chunks returns a chunked body of n bytes.
func chunks(n, size int) string {
	var b []byte
	for ; n > 0; n -= min(n, size) {
		b = medlarhead.AppendChunk(b, []byte(strings.Repeat("x", min(n, size))))
	}
	return string(b) + medlarhead.LastChunk
}

// TestSmallChunksLeaveNoGarbage guards against bodies of many small chunks that fill the memory with garbage between two
// runs of the collector.
func TestSmallChunksLeaveNoGarbage(t *testing.T) {
	text := chunks(1000, 1)
	n := testing.AllocsPerRun(10, func() {
		b := NewBody(bufio.NewReader(strings.NewReader(text)), &medlarhead.Head{Framing: medlarhead.FramingChunked})
		if _, err := io.Copy(io.Discard, b); err != nil {
			t.Fatal(err)
		}
	})
	if n > 20 {
		t.Errorf("%v allocations for 1000 chunks, 20 allowed", n)
	}
}

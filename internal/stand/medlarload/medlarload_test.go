package medlarload

import (
	"net"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
)

// A prompt whose connection was refused was never sent, so it must not count as a
// truncated response.
func TestRefusedConnectionCountsAsUnreached(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := medlarid.Address(ln.Addr().String())
	_ = ln.Close()
	r := Run(Settings{Addresses: []medlarid.Address{at}, Streams: 1, Duration: 50 * time.Millisecond})
	if r.Truncated != 0 || r.Unreached == 0 {
		t.Errorf("truncated %d, unreached %d; want no truncated response and some unreached", r.Truncated, r.Unreached)
	}
}

// A prompt whose connection closes after it was sent has no complete response, so it
// must count as truncated.
func TestClosedConnectionCountsAsTruncated(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_ = c.Close()
		}
	}()
	r := Run(Settings{Addresses: []medlarid.Address{medlarid.Address(ln.Addr().String())}, Streams: 1, Duration: 50 * time.Millisecond})
	if r.Truncated == 0 {
		t.Errorf("truncated %d, unreached %d; want some truncated responses", r.Truncated, r.Unreached)
	}
}

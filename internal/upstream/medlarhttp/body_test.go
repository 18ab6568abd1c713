package medlarhttp

import (
	"bytes"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
)

// Memory of the smallest machine that is served, and how much of it is in use from which on the collector works harder,
// in bytes.
const (
	machineMemory = 189 << 20
	collectFrom   = machineMemory * 6 / 10
)

// TestBodiesWithoutEndTogether guards against an instance that runs out of memory because several peers in trouble send
// bodies without end at the same time, each within the limit of one body.
func TestBodiesWithoutEndTogether(t *testing.T) {
	const peers, maxBody, timeout, lasting = 6, 16 << 20, 500 * time.Millisecond, 2 * time.Second
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(collectFrom))
	for _, start := range []string{
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", // to the end of the connection
		"HTTP/1.1 200 OK\r\nContent-Length: 16777216\r\n\r\n",
	} {
		t.Run(start, func(t *testing.T) {
			runtime.GC()
			client := New(time.Second)
			var wg sync.WaitGroup
			end := time.Now().Add(lasting)
			for range peers {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = ln.Close() }()
				wg.Go(func() {
					for time.Now().Before(end) {
						go sendWithoutEnd(ln, start, "xxxxxxxxxxxxxxxx")
						_, _ = client.Do(Request{Method: "GET", Address: medlarid.Address(ln.Addr().String()), Path: "/", Timeout: timeout, MaxBody: maxBody})
					}
				})
			}
			var peak uint64
			for ; time.Now().Before(end); time.Sleep(time.Millisecond) {
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapInuse)
			}
			wg.Wait()
			if peak > machineMemory*2/3 {
				t.Errorf("%d MB in use, want two thirds of %d MB at most", peak>>20, machineMemory>>20)
			}
			t.Logf("%d MB in use at most", peak>>20)
		})
	}
}

// TestLongBodies guards against bodies beyond the size of which many are read at once that are cut, or that keep one another
// from being read.
func TestLongBodies(t *testing.T) {
	client := New(time.Second)
	var wg sync.WaitGroup
	for n := range 8 {
		want := bytes.Repeat([]byte{byte('a' + n)}, 3*smallBody+n)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = c.Read(make([]byte, 1024))
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"))
			_, _ = c.Write(want)
		}()
		wg.Go(func() {
			resp, err := client.Do(Request{Method: "GET", Address: medlarid.Address(ln.Addr().String()), Path: "/", Timeout: 10 * time.Second, MaxBody: 4 * smallBody})
			if err != nil || !bytes.Equal(resp.Body, want) {
				t.Errorf("body %d: %d bytes, error %v; want the %d that were sent", n, len(resp.Body), err, len(want))
			}
		})
	}
	wg.Wait()
}

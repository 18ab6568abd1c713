// Package medlarmeasure measures memory and time inside a process.
package medlarmeasure

import (
	"runtime"
	"time"
)

// Heap returns the bytes of live objects and stacks.
func Heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// Retained returns the bytes that what build returns keeps alive.
func Retained(build func() any) float64 {
	before := Heap()
	kept := build()
	after := Heap()
	runtime.KeepAlive(kept)
	return after - before
}

// SecondsPerCall returns the seconds of one of n calls of f, after a few to warm up.
func SecondsPerCall(n int, f func(i int)) float64 {
	for i := range min(n, 16) {
		f(i)
	}
	begin := time.Now()
	for i := range n {
		f(i)
	}
	return time.Since(begin).Seconds() / float64(n)
}

// Micros turns seconds into microseconds.
func Micros(seconds float64) float64 { return seconds * 1e6 }

// Package medlarmeasure measures memory and time within the process.
package medlarmeasure

import (
	"runtime"
	"time"
)

// Heap returns the bytes of live heap objects and of stacks, after two garbage
// collections.
func Heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// Retained returns the bytes that the result of build keeps alive.
func Retained(build func() any) float64 {
	before := Heap()
	retained := build()
	after := Heap()
	runtime.KeepAlive(retained)
	return after - before
}

// SecondsPerCall returns the mean duration in seconds of n calls of f, after up to 16
// calls to warm up.
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

// Micros converts seconds to microseconds.
func Micros(seconds float64) float64 { return seconds * 1e6 }

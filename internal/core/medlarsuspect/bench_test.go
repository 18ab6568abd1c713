package medlarsuspect

import (
	"fmt"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
)

// BenchmarkRequestTraits measures what each request costs, by the size of its body.
func BenchmarkRequestTraits(b *testing.B) {
	for name, size := range map[string]int{"800 B": 800, "64 KB": 64 << 10, "1 MB": 1 << 20} {
		q := Request{Method: "POST", Host: "letters.example", Target: "/post/x", Account: "acme", Body: make([]byte, size)}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_ = q.Traits()
			}
		})
	}
}

// BenchmarkAnswered measures what an answer costs while as many crashes are remembered as there can be.
func BenchmarkAnswered(b *testing.B) {
	for name, parts := range map[string]int{"plain service": 0, "20 parts": 20} {
		b.Run(name, func(b *testing.B) {
			table, now := New(), epoch
			request := func(n int) []Trait {
				out := whole(fmt.Sprint(n))
				for i := range parts {
					out = append(out, Trait(fmt.Sprint("part-", n, "-", i)))
				}
				return out
			}
			for n := range maxCrashes {
				now = now.Add(time.Second)
				table.AddReport(now, Report{Crash: CrashID{Replica: medlarid.InstanceID(fmt.Sprint(n))}, Begun: request(n)}, true)
			}
			answered := request(maxCrashes)
			b.ResetTimer()
			for b.Loop() {
				table.Answered(now, now, answered)
			}
		})
	}
}

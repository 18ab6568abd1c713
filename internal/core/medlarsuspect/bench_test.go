package medlarsuspect

import "testing"

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

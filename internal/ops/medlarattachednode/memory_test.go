package medlarattachednode

import (
	"testing"

	"medlarfield/internal/base/medlarmemory"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/ops/medlarsettings"
)

// TestLongestBodyFits guards against an account that refuses the longest body of the deployments in calm, and against
// one that refuses ordinary requests with the default settings.
func TestLongestBodyFits(t *testing.T) {
	const longest, ordinary, concurrent = 1 << 20, 64 << 10, 500
	for _, tc := range []struct {
		name     string
		memoryMB int
		n, each  int
	}{
		{"one, smallest memory", 32, 1, 2 * longest}, // a buffer and the one that takes its place
		{"ordinary requests, default memory", medlarsettings.DefaultAttached().MemoryMB, concurrent, ordinary},
	} {
		t.Run(tc.name, func(t *testing.T) {
			account := newAccount(medlarsettings.Attached{MemoryMB: tc.memoryMB}, medlarmetric.New())
			for i := range tc.n {
				r, err := account.Reserve(medlarmemory.KindBodies, tc.each)
				if err == nil {
					err = r.Finish(medlarmemory.KindRequests, tc.each)
				}
				if err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
			}
		})
	}
}

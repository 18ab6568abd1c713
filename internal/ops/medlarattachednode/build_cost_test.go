package medlarattachednode_test

import (
	"fmt"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarsite"
)

// BenchmarkBuildCalls measures the calls to the store a second, by all instances together: with replicas of one
// software version, with two side by side, and while a release goes on.
func BenchmarkBuildCalls(b *testing.B) {
	const span = 8 * time.Second
	for _, instances := range []int{5, 27, 35} {
		for _, tc := range []struct {
			name    string
			builds  []string
			release int // replicas that are replaced
		}{
			{"one version", []string{"v1"}, 0},
			{"two versions", []string{"v1", "v2"}, 0},
			{"release", []string{"v1"}, 6},
		} {
			b.Run(fmt.Sprintf("instances=%d/%s", instances, tc.name), func(b *testing.B) {
				f := startBuildFleet(b, instances, func(s *medlarsite.Settings) { s.Builds = tc.builds })
				time.Sleep(6 * time.Second)
				stop := make(chan struct{})
				got := f.streams(12*time.Millisecond, true, stop)
				b.ResetTimer()
				for range b.N {
					f.site.Release("v3", tc.release, 500*time.Millisecond)
					before := f.site.Store.Calls()
					time.Sleep(span)
					b.ReportMetric(float64(f.site.Store.Calls()-before)/span.Seconds(), "calls/s")
				}
				b.StopTimer()
				close(stop)
				got()
			})
		}
	}
}

package medlarattachednode_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkNoticeCalls measures the calls to the store and the connections for them a second, by all
// instances together, in calm and while a replica names a limit.
func BenchmarkNoticeCalls(b *testing.B) {
	for _, instances := range []int{5, 27, 35} {
		for _, limited := range []bool{false, true} {
			b.Run(fmt.Sprintf("instances=%d/limited=%v", instances, limited), func(b *testing.B) {
				f := startLimited(b, instances, nil)
				stop := make(chan struct{})
				results := f.limitLoad(stop)
				if limited {
					f.site.Engines[0].NameLimits("3.3")
				}
				time.Sleep(4 * time.Second)
				b.ResetTimer()
				for range b.N {
					before, conns := f.site.Store.Calls(), f.site.Store.Conns()
					time.Sleep(10 * time.Second)
					b.ReportMetric(float64(f.site.Store.Calls()-before)/10, "calls/s")
					b.ReportMetric(float64(f.site.Store.Conns()-conns)/10, "conns/s")
				}
				b.StopTimer()
				close(stop)
				results()
			})
		}
	}
}

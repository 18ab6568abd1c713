package medlarattachednode_test

import (
	"fmt"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarsite"
)

// minServedApart is the share of prompts that an instance serves while it is cut off from the store.
const minServedApart = 0.95

// TestWeightsChangeWithoutStore guards against refusals by an instance that is cut off from the store while
// weights are replaced twice: it does not read that they were, and has to learn it from the replicas.
func TestWeightsChangeWithoutStore(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, func(s *medlarsite.Settings) { s.Engines, s.HideVersions = 6, true })
	apart := f.members[1]
	f.members = f.members[1:] // gets all requests
	apart.endpoint.SetFault(medlarfaketopic.FaultSilent)
	stop := make(chan struct{})
	load := f.load("w", "/query/x", 20*time.Millisecond, stop, func(n int) string { return fmt.Sprintf("aa:100,%s,%d:500", soundPart(n), 1000+n) })
	time.Sleep(time.Second) // a read that waits for records may still end
	for version := uint64(2); version <= 3; version++ {
		time.Sleep(500 * time.Millisecond)
		f.site.SetWeightVersion(version)
		apart.eventually("all replicas have loaded the weights", func() bool {
			for _, r := range f.site.EngineReplicas() {
				if r.Version() != version {
					return false
				}
			}
			return true
		})
	}
	time.Sleep(2 * time.Second)
	close(stop)
	all := load()
	served, refused := 0, 0
	for _, o := range all {
		switch o.result.status {
		case 200:
			served++
		case 503:
			refused++
		}
	}
	t.Logf("%d of %d served, %d refused", served, len(all), refused)
	if float64(served) < minServedApart*float64(len(all)) {
		t.Errorf("%d of %d prompts served, %d refused; want a share of %v", served, len(all), refused, minServedApart)
	}
}

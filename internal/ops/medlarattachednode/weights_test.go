package medlarattachednode_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarfakereplica"
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

// oldWeights is the time for which replaced weights may serve, as the site's settings state it.
const oldWeights = 6 * time.Second

// TestOlderWeightsEndAfterRestart guards against an instance that starts after weights were replaced, and sends requests to
// replicas with the older ones for as long as if they had been replaced at its start.
func TestOlderWeightsEndAfterRestart(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, func(s *medlarsite.Settings) { s.Engines = 3 })
	for _, r := range f.site.EngineReplicas() {
		r.IgnoreOrders()
	}
	f.site.SetWeightVersion(2)
	replaced := time.Now()
	time.Sleep(oldWeights / 2)
	f.restart(1)
	w := f.members[1]
	w.eventually("the instance is ready", w.instance.Ready)
	served := 0
	for n := 0; time.Since(replaced) < oldWeights+time.Second; n++ {
		sent := time.Now()
		got := w.send(request{path: "/letter/a", id: fmt.Sprint("w", n), fields: prompt(fmt.Sprintf("aa:100,bb:400,c%d:500", n))})
		if got.status == 200 {
			served++
			if age := sent.Sub(replaced); age > oldWeights {
				t.Errorf("a prompt was served on older weights %v after they were replaced", age)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if served == 0 {
		t.Error("no prompt was served on older weights in the time in which they may serve")
	}
}

// TestRequestsThatWaitOnOlderWeightsGoOn guards against requests that wait at a replica when the time of older weights has passed,
// and begin on them afterwards, or get no answer.
func TestRequestsThatWaitOnOlderWeightsGoOn(t *testing.T) {
	t.Parallel()
	const (
		before  = 20 // requests before; each adds to the retry budget
		letters = 4  // no more than the budget holds then
	)
	var waiting atomic.Int32
	release := make(chan struct{})
	defer close(release)
	f := startFleet(t, 1, func(s *medlarsite.Settings) {
		s.Engines = 3
		s.Arrived = func(r medlarfakereplica.Run) {
			if strings.HasPrefix(r.ID, "late") && r.Version == "1" {
				waiting.Add(1)
				<-release
			}
		}
	})
	w := f.members[0]
	for n := range before {
		w.send(request{path: "/letter/a", id: fmt.Sprint("b", n), fields: prompt(fmt.Sprintf("aa:100,bb:400,c%d:500", n))})
	}
	replicas := f.site.EngineReplicas()
	for _, r := range replicas[1:] {
		r.IgnoreOrders()
	}
	f.site.SetWeightVersion(2)
	replaced := time.Now()
	w.eventually("a replica has loaded the weights", func() bool { return replicas[0].Version() == 2 })
	time.Sleep(time.Until(replaced.Add(oldWeights - 1600*time.Millisecond)))
	results := make(chan result, letters)
	for n := range letters {
		go func() {
			results <- w.send(request{path: "/letter/a", id: fmt.Sprint("late", n), fields: prompt(fmt.Sprintf("a%d:100,b%d:400,c%d:500", n, n, n))})
		}()
	}
	for range letters {
		if got := <-results; got.status != 200 || !got.whole || got.get("Medlarfield-Weight-Versions") != "2" {
			t.Errorf("status %d, whole %v, weights %q, want a whole answer on weights 2", got.status, got.whole, got.get("Medlarfield-Weight-Versions"))
		}
	}
	if waiting.Load() == 0 {
		t.Error("no request waited at a replica with older weights")
	}
	if w.logged(`"lost":true`) {
		t.Error("an attempt that was withdrawn counts as lost with its replica")
	}
}

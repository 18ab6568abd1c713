package medlarattachednode_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarsite"
)

// TestSlowReplicasGetNoRequestTwice guards against requests that all replicas answer slowly, but in time, and that are
// abandoned and sent once more, to replicas that have less time left than any of them needs (BUDGET).
func TestSlowReplicasGetNoRequestTwice(t *testing.T) {
	const warm, requests, interval = 60, 30, 50 * time.Millisecond // the first ones show that replicas are slow
	w := start(t, func(s *medlarsite.Settings) { s.Plain, s.Slots = 3, 64 })
	if err := w.site.Change(func(c *medlarsite.Config) {
		for i := range c.Routes {
			c.Routes[i].TargetLatencyMs, c.Routes[i].TimeoutMs = 500, 4000 // the first attempt may end after 2 s
		}
	}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond) // the instance follows the change
	for _, r := range w.site.Plain {
		r.Pace.SetWork(3 * time.Second)
	}
	var wg sync.WaitGroup
	results := make([]result, warm+requests)
	for i := range results {
		wg.Go(func() {
			results[i] = w.send(request{path: "/read/a", id: fmt.Sprint("r", i), timeout: 5 * time.Second})
		})
		time.Sleep(interval)
	}
	wg.Wait()
	served, runs := 0, 0
	for i := warm; i < len(results); i++ {
		if results[i].status == 200 {
			served++
		}
		runs += len(w.ran(fmt.Sprint("r", i)))
	}
	if served < requests*9/10 || runs > requests*11/10 {
		t.Errorf("of %d requests %d were served, by %d runs", requests, served, runs)
	}
}

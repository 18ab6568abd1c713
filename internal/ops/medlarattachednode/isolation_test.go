package medlarattachednode_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarsite"
)

// Client accounts of these tests. The key of each is its name.
const (
	accountA = "alpha"
	accountB = "beta"
	accountC = "gamma"
)

// isolate publishes a configuration in which just the given accounts are isolated, and waits until it is in force.
func (w *fixture) isolate(isolated ...string) {
	w.t.Helper()
	w.logs.reset()
	if err := w.site.Change(func(c *medlarsite.Config) {
		c.Tenants = nil
		for _, name := range []string{accountA, accountB, accountC} {
			c.Tenants = append(c.Tenants, medlarsite.Tenant{Name: name, ApiKeys: []string{name}, Isolated: slices.Contains(isolated, name)})
		}
	}); err != nil {
		w.t.Fatal(err)
	}
	w.eventually("the configuration is in force", func() bool { return strings.Contains(w.logs.text(), `"event":"catalog"`) })
}

// promptOf returns a prompt of an account. All prompts share their first two parts.
func promptOf(account, id string) request {
	return request{path: "/letter/a", id: id, key: account, fields: prompt("aa:100,bb:400,cc" + id + ":100"), timeout: 3 * time.Second}
}

// saltOf sends a prompt of an account and returns the cache salt with which a replica ran it.
func (w *fixture) saltOf(account string) string {
	w.t.Helper()
	q := promptOf(account, fmt.Sprint(account, time.Now().UnixNano()))
	assertResult(w.t, w.send(q), 200, "")
	runs := w.ran(q.id)
	if len(runs) != 1 {
		w.t.Fatalf("request of %s ran %d times", account, len(runs))
	}
	return runs[0].Salt
}

// TestIsolationEndsSharing guards against cached parts that an account made before it was isolated and that others go on
// using, and the reverse.
func TestIsolationEndsSharing(t *testing.T) {
	w := start(t, nil)
	w.isolate()
	shared := w.saltOf(accountA)
	if got := w.saltOf(accountB); got != shared {
		t.Errorf("salts %q and %q, want one while nobody is isolated", shared, got)
	}
	w.isolate(accountA)
	own, others := w.saltOf(accountA), w.saltOf(accountB)
	if own == shared || others == shared || own == others {
		t.Errorf("salt %q before, %q of the isolated account, %q of others; want three different ones", shared, own, others)
	}
	if got := w.saltOf(accountC); got != others {
		t.Errorf("salts %q and %q of accounts that are not isolated, want one", others, got)
	}
	w.isolate(accountA, accountC)
	if got := w.saltOf(accountA); got != own {
		t.Errorf("salt %q of the isolated account after another one was isolated, want %q", got, own)
	}
	if got := w.saltOf(accountB); got == others || got == shared {
		t.Errorf("salt %q after another account was isolated, want neither %q nor %q", got, others, shared)
	}
	w.isolate(accountA)
	if got := w.saltOf(accountB); got != others {
		t.Errorf("salt %q once the same account is isolated as before, want %q", got, others)
	}
}

// TestIsolationAppliesToWaitingRequests guards against a request that waits for a replica while an account is isolated, and
// then runs on what it could share before.
func TestIsolationAppliesToWaitingRequests(t *testing.T) {
	w := start(t, func(s *medlarsite.Settings) { s.Engines, s.ServiceTime = 1, 50*time.Millisecond })
	if err := w.site.Change(func(c *medlarsite.Config) {
		c.Routes[0].TargetLatencyMs = 2500     // prompts may wait
		c.Services[0].Engine.KvCapacity = 3000 // tokens; the replica takes one prompt at a time
	}); err != nil {
		t.Fatal(err)
	}
	w.isolate()
	shared := w.saltOf(accountB)
	ids := []string{"w1", "w2", "w3", "w4"}
	results := make(chan result, len(ids))
	for _, id := range ids {
		go func() { results <- w.trySendNew(promptOf(accountB, id).text()) }()
	}
	replica := w.site.EngineReplicas()[0]
	w.eventually("a request runs", func() bool { return replica.Active() > 0 })
	w.isolate(accountA)
	begun := len(replica.Runs())
	for range ids {
		assertResult(t, <-results, 200, "")
	}
	waited := replica.Runs()[begun:]
	if len(waited) == 0 {
		t.Fatal("no request waited")
	}
	for _, run := range waited {
		if run.Salt == shared || run.KVSource != "" || run.KVTarget != "" {
			t.Errorf("request %s that waited has salt %q, fetches from %q and saves to %q; want another salt, and neither", run.ID, run.Salt, run.KVSource, run.KVTarget)
		}
	}
}

package medlarnode_test

import (
	"fmt"
	"testing"
	"time"

	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/stand/medlarclient"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/upstream/medlarhttp"
)

const posting = "amount=5"

// newKey returns an idempotency key issued now.
func newKey(name string) string { return fmt.Sprintf("%d-%s", time.Now().Unix(), name) }

// post sends a posting, which must not be repeated, through an instance.
func (w *world) post(node int, key, body string) medlarclient.Result {
	w.t.Helper()
	r, err := w.client.Send(medlarhttp.Call{
		Method:  "POST",
		Address: w.nodes[node].Address(),
		Path:    "/services/ledger/post",
		Headers: []medlarhttp.Header{{Name: "Idempotency-Key", Value: key}},
		Body:    []byte(body),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	return r
}

// settled sends a request until its answer is no longer "in progress": the outcome
// is recorded after the caller has got its answer.
func settled(send func() medlarclient.Result) medlarclient.Result {
	for range 100 {
		if r := send(); r.Reason != medlarreason.Pending {
			return r
		}
		time.Sleep(10 * time.Millisecond)
	}
	return send()
}

func (w *world) assertRan(want int) {
	w.t.Helper()
	time.Sleep(150 * time.Millisecond) // a late effect
	if n := w.stage.Bodies()[posting]; n != want {
		w.t.Fatalf("the posting ran %d times, want %d", n, want)
	}
}

// services are the parts that postings go to.
var services = []string{"ledger-1", "ledger-2"}

func (w *world) armServices(name medlarfault.Name) {
	w.t.Helper()
	for _, s := range services {
		w.arm(s, name, 0)
	}
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults func(*world)
		reason medlarreason.Reason // of the first call; empty for an answer
		ran    medlarreason.Ran
		runs   int
		// again is the reason that a retry through another instance gets once the
		// faults are over; empty for an answer.
		again medlarreason.Reason
		after int // runs after the retry
	}{
		{"no fault", func(*world) {}, "", "", 1, "", 1},
		{"service answers nothing after it acted", func(w *world) { w.armServices(medlarfault.Lost) }, medlarreason.Unknown, medlarreason.RanUnknown, 1, medlarreason.Unknown, 1},
		{"service acts late", func(w *world) { w.armServices(medlarfault.Late) }, medlarreason.Unknown, medlarreason.RanUnknown, 1, medlarreason.Unknown, 1},
		{"service cuts its answer", func(w *world) { w.armServices(medlarfault.Cut) }, medlarreason.Unknown, medlarreason.RanUnknown, 1, medlarreason.Unknown, 1},
		{"services are gone", func(w *world) { w.killServices() }, medlarreason.Capacity, medlarreason.RanNo, 0, medlarreason.Capacity, 0},
		{"log is down", func(w *world) { w.arm("log", medlarfault.Down, 0) }, medlarreason.Unclaimed, medlarreason.RanNo, 0, "", 1},
		{"log loses an answer", func(w *world) { w.arm("log", medlarfault.Lost, 2) }, "", "", 1, "", 1},
		{"log acts twice", func(w *world) { w.arm("log", medlarfault.Double, 3) }, "", "", 1, "", 1},
		{"log acts late", func(w *world) { w.arm("log", medlarfault.Late, 3) }, "", "", 1, "", 1},
		{"log loses an answer and service acts without one", func(w *world) {
			w.arm("log", medlarfault.Lost, 2)
			w.armServices(medlarfault.Lost)
		}, medlarreason.Unknown, medlarreason.RanUnknown, 1, medlarreason.Unknown, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w := start(t, change{nodes: 2})
			tc.faults(w)
			key := newKey("a")
			first := w.post(0, key, posting)
			assertOutcome(t, first, tc.reason, tc.ran)
			w.assertRan(tc.runs)
			w.clearFaults()
			second := w.post(1, key, posting)
			if second.Reason != tc.again {
				t.Fatalf("the retry got reason %q, want %q", second.Reason, tc.again)
			}
			if tc.reason == "" && (!second.Replay || string(second.Body) != string(first.Body)) {
				t.Errorf("the retry got %q, not the recorded %q", second.Body, first.Body)
			}
			w.assertRan(tc.after)
		})
	}
}

func assertOutcome(t *testing.T, r medlarclient.Result, reason medlarreason.Reason, ran medlarreason.Ran) {
	t.Helper()
	if r.Reason != reason || r.Ran != ran {
		t.Fatalf("status %d, reason %q, ran %q; want %q, %q", r.Status, r.Reason, r.Ran, reason, ran)
	}
}

func (w *world) killServices() {
	w.t.Helper()
	for _, s := range services {
		if err := w.stage.Kill(s); err != nil {
			w.t.Fatal(err)
		}
	}
}

// clearFaults ends all faults and waits until the instances read the log again.
func (w *world) clearFaults() {
	w.t.Helper()
	for _, f := range w.stage.Board.Armed() {
		w.clear(f.Part, f.Name)
	}
	for until := time.Now().Add(4 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		down := 0
		for _, n := range w.nodes {
			if s := n.Status(); !s.LogHealthy {
				down++
			}
		}
		if down == 0 {
			time.Sleep(50 * time.Millisecond) // records on their way
			return
		}
		if time.Now().After(until) {
			w.t.Fatal("an instance does not read the log again")
		}
	}
}

func TestIdempotencyKeyWithOtherBody(t *testing.T) {
	w := start(t, change{})
	key := newKey("a")
	if r := w.post(0, key, posting); r.Status != 200 {
		t.Fatalf("status %d", r.Status)
	}
	assertOutcome(t, w.post(0, key, "amount=6"), medlarreason.Conflict, medlarreason.RanNo)
	old := fmt.Sprintf("%d-a", time.Now().Add(-time.Hour).Unix())
	assertOutcome(t, w.post(0, old, posting), medlarreason.Expired, medlarreason.RanNo)
}

func TestAtMostOnceConcurrentRequests(t *testing.T) {
	w := start(t, change{nodes: 3})
	key := newKey("a")
	results := make(chan medlarclient.Result, 12)
	for i := range cap(results) {
		go func() { results <- w.post(i%3, key, posting) }()
	}
	for range cap(results) {
		if r := <-results; r.Reason != "" && r.Reason != medlarreason.Pending {
			t.Errorf("reason %q", r.Reason)
		}
	}
	w.assertRan(1)
}

func TestAtMostOnceInProgress(t *testing.T) {
	w := start(t, change{nodes: 2, node: func(s *medlarsettings.Settings) { s.Limits.Drain = 0 }})
	w.armServices(medlarfault.Slow) // each call takes 100 ms
	key := newKey("a")
	done := make(chan medlarclient.Result, 1)
	go func() { done <- w.post(0, key, posting) }()
	time.Sleep(50 * time.Millisecond) // claimed and sent
	assertOutcome(t, w.post(1, key, posting), medlarreason.Pending, medlarreason.RanUnknown)
	<-done
	w.assertRan(1)
}

func TestAtMostOnceCompletion(t *testing.T) {
	w := start(t, change{nodes: 2})
	key := newKey("a")
	first := w.completeOnce(0, key)
	second := settled(func() medlarclient.Result { return w.completeOnce(1, key) })
	if !first.Whole || !second.Replay || string(first.Body) != string(second.Body) {
		t.Errorf("got %q, then %q", first.Body, second.Body)
	}
	if n := w.stage.Runs()[first.Request]; n != 1 || len(w.stage.Runs()) != 1 {
		t.Errorf("engines ran %v", w.stage.Runs())
	}
	for _, e := range w.stage.Engines {
		w.arm(e.Host.Part, medlarfault.Break, 0)
	}
	assertOutcome(t, w.completeOnce(0, newKey("b")), medlarreason.Unknown, medlarreason.RanUnknown)
	if n := len(w.stage.Runs()); n != 2 {
		t.Errorf("engines ran %d requests, want 2", n)
	}
}

// completeOnce asks for a completion that must not be repeated.
func (w *world) completeOnce(node int, key string) medlarclient.Result {
	w.t.Helper()
	r, err := w.client.Send(medlarhttp.Call{
		Method:  "POST",
		Address: w.nodes[node].Address(),
		Path:    "/v1/completions",
		Headers: []medlarhttp.Header{{Name: "Idempotency-Key", Value: key}, {Name: "Medlar-Once", Value: "yes"}},
		Body:    []byte(`{"model":"casework","prompt":"x","max_tokens":3}`),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	return r
}

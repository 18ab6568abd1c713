package medlarnode_test

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/stand/medlarclient"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/upstream/medlarhttp"
)

const posting = "amount=5"

// newKey returns an idempotency key issued now.
func newKey(name string) string { return fmt.Sprintf("%d-%s", time.Now().Unix(), name) }

// post sends a posting, a request that must not be repeated, through an instance.
func (h *harness) post(node int, key, body string) medlarclient.Result {
	h.t.Helper()
	r, err := h.client.Send(medlarhttp.Request{
		Method:  "POST",
		Address: h.nodes[node].Address(),
		Path:    "/services/ledger/post",
		Headers: []medlarhttp.Header{{Name: "Idempotency-Key", Value: key}},
		Body:    []byte(body),
	})
	if err != nil {
		h.t.Fatal(err)
	}
	return r
}

// awaitRecorded sends a request until its result is no longer "in progress". The
// outcome is recorded only after the first caller has got its answer.
func awaitRecorded(send func() medlarclient.Result) medlarclient.Result {
	for range 100 {
		if r := send(); r.Reason != medlarreason.Pending {
			return r
		}
		time.Sleep(10 * time.Millisecond)
	}
	return send()
}

// assertRuns asserts how often the posting ran, after all delayed effects of faults and a
// time in which an instance could send it again.
func (h *harness) assertRuns(want int) {
	h.t.Helper()
	for until := time.Now().Add(10 * time.Second); h.stage.Injector.Pending() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			h.t.Fatal("delayed effects have not ended within 10 s")
		}
	}
	time.Sleep(150 * time.Millisecond)
	if n := h.stage.Bodies()[posting]; n != want {
		h.t.Fatalf("posting ran %d times, want %d", n, want)
	}
}

// services are the fake services that postings are routed to.
var services = []string{"ledger-1", "ledger-2"}

func (h *harness) injectServiceFault(name medlarfault.Name) {
	h.t.Helper()
	for _, s := range services {
		h.injectFault(s, name, 0)
	}
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults func(*harness)
		reason medlarreason.Reason // of the first call; empty if it was answered
		ran    medlarreason.Ran
		runs   int
		// retryReason is the reason that a retry through the other instance gets after
		// the faults were cleared; empty if it is answered.
		retryReason    medlarreason.Reason
		runsAfterRetry int // in total after the retry
	}{
		{"no fault", func(*harness) {}, "", "", 1, "", 1},
		{"service closes the connection after acting", func(h *harness) { h.injectServiceFault(medlarfault.Lost) }, medlarreason.Unknown, medlarreason.RanUnknown, 1, medlarreason.Unknown, 1},
		{"service acts after the call timed out", func(h *harness) { h.injectServiceFault(medlarfault.Late) }, medlarreason.Unknown, medlarreason.RanUnknown, 1, medlarreason.Unknown, 1},
		{"service truncates its response", func(h *harness) { h.injectServiceFault(medlarfault.Cut) }, medlarreason.Unknown, medlarreason.RanUnknown, 1, medlarreason.Unknown, 1},
		{"services unreachable", func(h *harness) { h.killServices() }, medlarreason.Capacity, medlarreason.RanNo, 0, medlarreason.Capacity, 0},
		{"log unavailable", func(h *harness) { h.injectFault("log", medlarfault.Down, 0) }, medlarreason.Unclaimed, medlarreason.RanNo, 0, "", 1},
		{"log response lost", func(h *harness) { h.injectFault("log", medlarfault.Lost, 2) }, "", "", 1, "", 1},
		{"log appends twice", func(h *harness) { h.injectFault("log", medlarfault.Double, 3) }, "", "", 1, "", 1},
		{"log appends after the call timed out", func(h *harness) { h.injectFault("log", medlarfault.Late, 3) }, "", "", 1, "", 1},
		{"log response lost and service closes the connection after acting", func(h *harness) {
			h.injectFault("log", medlarfault.Lost, 2)
			h.injectServiceFault(medlarfault.Lost)
		}, medlarreason.Unknown, medlarreason.RanUnknown, 1, medlarreason.Unknown, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := start(t, options{nodes: 2})
			tc.faults(h)
			key := newKey("a")
			first := h.post(0, key, posting)
			assertOutcome(t, first, tc.reason, tc.ran)
			h.assertRuns(tc.runs)
			h.clearFaults()
			second := h.post(1, key, posting)
			if second.Reason != tc.retryReason {
				t.Fatalf("retry: reason %q, want %q", second.Reason, tc.retryReason)
			}
			if tc.reason == "" && (!second.Replay || string(second.Body) != string(first.Body)) {
				t.Errorf("retry: body %q, want the recorded %q", second.Body, first.Body)
			}
			h.assertRuns(tc.runsAfterRetry)
		})
	}
}

func assertOutcome(t *testing.T, r medlarclient.Result, reason medlarreason.Reason, ran medlarreason.Ran) {
	t.Helper()
	if r.Reason != reason || r.Ran != ran {
		t.Fatalf("status %d, reason %q, ran %q; want %q, %q", r.Status, r.Reason, r.Ran, reason, ran)
	}
}

func (h *harness) killServices() {
	h.t.Helper()
	for _, s := range services {
		if err := h.stage.Kill(s); err != nil {
			h.t.Fatal(err)
		}
	}
}

// clearFaults clears all faults and waits until the instances read the log again.
func (h *harness) clearFaults() {
	h.t.Helper()
	for _, f := range h.stage.Injector.Armed() {
		h.clearFault(f.Part, f.Name)
	}
	for until := time.Now().Add(4 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		down := 0
		for _, n := range h.nodes {
			if s := n.Status(); !s.LogHealthy {
				down++
			}
		}
		if down == 0 {
			time.Sleep(50 * time.Millisecond) // time for pending records to be read
			return
		}
		if time.Now().After(until) {
			h.t.Fatal("timeout: an instance still cannot read the log")
		}
	}
}

func TestIdempotencyKeyWithOtherBody(t *testing.T) {
	h := start(t, options{})
	key := newKey("a")
	if r := h.post(0, key, posting); r.Status != 200 {
		t.Fatalf("status %d", r.Status)
	}
	assertOutcome(t, h.post(0, key, "amount=6"), medlarreason.Conflict, medlarreason.RanNo)
	old := fmt.Sprintf("%d-a", time.Now().Add(-time.Hour).Unix())
	assertOutcome(t, h.post(0, old, posting), medlarreason.Expired, medlarreason.RanNo)
}

// claimsDelay is the delay of the first read of claims.
const claimsDelay = 500 * time.Millisecond

// TestReadyOnceClaimsAreRead guards against an instance that is ready and refuses requests that must
// not be repeated, since it has not read the claims yet.
func TestReadyOnceClaimsAreRead(t *testing.T) {
	t.Parallel()
	h := start(t, options{})
	serve := h.stage.Log.Handler()
	var first sync.Once
	log, err := medlarhost.New("slow log", "127.0.0.1:0", h.stage.Injector, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/streams/"+medlarrecord.StreamClaims {
			first.Do(func() { time.Sleep(claimsDelay) })
		}
		serve(ctx)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(log.Close)
	settings := h.stage.NodeSettings(1)
	settings.Platform.Log = log.Address
	n, err := h.stage.StartNode(settings, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Stop(time.Second) })
	h.nodes = append(h.nodes, n)
	assertOutcome(t, h.post(1, newKey("a"), posting), "", "")
}

func TestAtMostOnceConcurrentRequests(t *testing.T) {
	h := start(t, options{nodes: 3})
	key := newKey("a")
	results := make(chan medlarclient.Result, 12)
	for i := range cap(results) {
		go func() { results <- h.post(i%3, key, posting) }()
	}
	for range cap(results) {
		if r := <-results; r.Reason != "" && r.Reason != medlarreason.Pending {
			t.Errorf("reason %q", r.Reason)
		}
	}
	h.assertRuns(1)
}

func TestAtMostOnceInProgress(t *testing.T) {
	h := start(t, options{nodes: 2, node: func(s *medlarsettings.Settings) { s.Limits.DrainTimeout = 0 }})
	h.injectServiceFault(medlarfault.Slow) // each call takes 100 ms
	key := newKey("a")
	done := make(chan medlarclient.Result, 1)
	go func() { done <- h.post(0, key, posting) }()
	time.Sleep(50 * time.Millisecond) // time for the key to be claimed and the call sent
	assertOutcome(t, h.post(1, key, posting), medlarreason.Pending, medlarreason.RanUnknown)
	<-done
	h.assertRuns(1)
}

func TestAtMostOnceCompletion(t *testing.T) {
	h := start(t, options{nodes: 2})
	key := newKey("a")
	first := h.completeOnce(0, key)
	second := awaitRecorded(func() medlarclient.Result { return h.completeOnce(1, key) })
	if !first.Complete || !second.Replay || string(first.Body) != string(second.Body) {
		t.Errorf("first answer %q, second %q", first.Body, second.Body)
	}
	if n := h.stage.Runs()[first.Request]; n != 1 || len(h.stage.Runs()) != 1 {
		t.Errorf("engines ran %v", h.stage.Runs())
	}
	for _, e := range h.stage.Engines {
		h.injectFault(e.Server.Part, medlarfault.Break, 0)
	}
	assertOutcome(t, h.completeOnce(0, newKey("b")), medlarreason.Unknown, medlarreason.RanUnknown)
	if n := len(h.stage.Runs()); n != 2 {
		t.Errorf("engines ran %d requests, want 2", n)
	}
}

// completeOnce sends a completion request that must not be repeated.
func (h *harness) completeOnce(node int, key string) medlarclient.Result {
	h.t.Helper()
	r, err := h.client.Send(medlarhttp.Request{
		Method:  "POST",
		Address: h.nodes[node].Address(),
		Path:    "/v1/completions",
		Headers: []medlarhttp.Header{{Name: "Idempotency-Key", Value: key}, {Name: "Medlar-Once", Value: "yes"}},
		Body:    []byte(`{"model":"casework","prompt":"x","max_tokens":3}`),
	})
	if err != nil {
		h.t.Fatal(err)
	}
	return r
}

package medlarnode_test

import (
	"sync"
	"testing"
	"time"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/stand/medlarclient"
	"medlarfield/internal/stand/medlarfakeengine"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlartestbed"
	"medlarfield/internal/stand/medlartrial"
	"medlarfield/internal/upstream/medlarhttp"
)

func slowDecode(e *medlarfakeengine.Settings) { e.Decode = 400 * time.Millisecond } // 20 ms at the test's speed

func TestGracefulStopCutsNothing(t *testing.T) {
	h := start(t, options{engine: slowDecode})
	var wg sync.WaitGroup
	results := make([]medlarclient.Result, 30)
	for i := range results {
		wg.Go(func() { results[i] = h.complete(0, "prompt") })
	}
	h.awaitRuns(len(results))
	if h.nodes[0].Status().OpenRequests == 0 {
		t.Fatal("no request is open")
	}
	if err := h.nodes[0].Stop(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	for _, r := range results {
		assertWhole(t, r)
	}
}

// awaitRuns waits until the engines have begun n requests.
func (h *harness) awaitRuns(n int) {
	h.t.Helper()
	for until := time.Now().Add(10 * time.Second); len(h.stage.Runs()) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			h.t.Fatalf("%d requests ran, want %d", len(h.stage.Runs()), n)
		}
	}
}

func TestStopRefusesNewWork(t *testing.T) {
	h := start(t, options{engine: slowDecode})
	open := make(chan medlarclient.Result, 1)
	go func() { open <- h.complete(0, "prompt") }()
	h.awaitOpen(1)
	stopped := make(chan error, 1)
	go func() { stopped <- h.nodes[0].Stop(5 * time.Second) }()
	for !h.nodes[0].Status().Draining {
		time.Sleep(time.Millisecond)
	}
	assertRefused(t, h.complete(0, "late"), medlarreason.Draining, medlarreason.RanNo)
	a, err := medlarhttp.New(time.Second).Do(medlarhttp.Request{
		Method: "GET", Address: h.nodes[0].StatusAddress(), Path: "/readyz", Timeout: time.Second,
	})
	if err != nil || a.Status != 503 {
		t.Errorf("readyz: status %d, %v", a.Status, err)
	}
	assertWhole(t, <-open)
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}

func TestStopDeadlineReportsCutRequests(t *testing.T) {
	h := start(t, options{engine: func(e *medlarfakeengine.Settings) { e.Decode = time.Minute }})
	go func() {
		_, _ = h.client.Complete(h.nodes[0].Address(), medlarclient.Prompt{Model: "casework", Text: "x", MaxTokens: answerTokens, Stream: true})
	}()
	h.awaitOpen(1)
	err := h.nodes[0].Stop(100 * time.Millisecond)
	if err == nil || err.Error() != "stop deadline exceeded: cut 1 open requests" {
		t.Errorf("got %v", err)
	}
}

// leavingBound is the time after which a leaving upstream gets no new work, with an
// instance list that lags by one second.
const leavingBound = 3 * time.Second

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, tc := range []struct {
		name  string
		leave func(*medlartestbed.Testbed)
	}{
		{"marked as leaving in the instance list", func(s *medlartestbed.Testbed) { s.List.Leave("engine-1") }},
		{"removed from the instance list", func(s *medlartestbed.Testbed) { s.List.Remove("engine-1") }},
		{"reported by the engine while the instance list is unavailable", func(s *medlartestbed.Testbed) {
			_ = s.Injector.Arm(medlarfault.Fault{Part: "instances", Name: medlarfault.Down})
			s.Engines[0].Leave()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := start(t, options{stage: func(s *medlartestbed.Settings) { s.ListDelay = time.Second }})
			tc.leave(h.stage)
			time.Sleep(leavingBound)
			before := h.stage.Engines[0].Totals().Runs
			for range 20 {
				assertWhole(t, h.complete(0, "x"))
			}
			if after := h.stage.Engines[0].Totals().Runs; after != before {
				t.Errorf("leaving engine got %d new runs", after-before)
			}
		})
	}
}

// TestWeightVersionSwap publishes another weight version. The engines are ordered to
// load it one after the other, and requests are answered throughout. After the swap
// no context of the old version may be reused.
func TestWeightVersionSwap(t *testing.T) {
	t.Parallel()
	h := start(t, options{nodes: 2, engine: func(e *medlarfakeengine.Settings) { e.LoadTime = 2 * time.Second }})
	text := medlartrial.RandomText(3, 1000)
	old := h.complete(0, text)
	assertWhole(t, old)
	h.awaitVersion(h.publish(withVersion(t, h.nodes[0].View().Lists, "v2")))
	h.awaitServing("v2")
	swapped := h.complete(0, text)
	assertWhole(t, swapped)
	if swapped.Usage.Cached != 0 {
		t.Errorf("request under v2 reused %d cached tokens", swapped.Usage.Cached)
	}
	if swapped.Text == old.Text {
		t.Error("answer under v2 equals that of v1")
	}
}

func TestOrdersUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*harness)
	}{
		{"engine responses lost", func(h *harness) { h.injectFault("engine-1", medlarfault.Lost, 3) }},
		{"engine first loads another version", func(h *harness) { h.injectFault("engine-2", medlarfault.Misload, 1) }},
		{"weight store unavailable at first", func(h *harness) { h.injectFault("weights", medlarfault.Down, 3) }},
		{"log responses lost", func(h *harness) { h.injectFault("log", medlarfault.Lost, 3) }},
		{"engine first loads another version and log responses lost", func(h *harness) {
			h.injectFault("engine-2", medlarfault.Misload, 1)
			h.injectFault("log", medlarfault.Lost, 3)
		}},
		{"second instance stops, which may hold the lease", func(h *harness) {
			time.AfterFunc(2*time.Second, func() { _ = h.nodes[1].Stop(time.Second) })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := start(t, options{nodes: 2, engine: func(e *medlarfakeengine.Settings) { e.LoadTime = 2 * time.Second }})
			tc.fault(h)
			h.publish(withVersion(t, h.nodes[0].View().Lists, "v2"))
			h.awaitServing("v2")
		})
	}
}

// withVersion returns the lists with another desired weight version of the model.
func withVersion(t *testing.T, l *medlarlist.Lists, v medlarid.WeightVersion) *medlarlist.Lists {
	t.Helper()
	next := *l
	next.Models = map[medlarid.ModelID]medlarlist.Model{"casework": {Version: v}}
	out, err := medlarlist.New().Apply(medlarlist.Diff(medlarlist.New(), &next))
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// load orders an engine to load a version, as an operator of the platform might.
func (h *harness) load(address medlarid.Address, v medlarid.WeightVersion) {
	h.t.Helper()
	call := medlarhttp.Request{
		Method: "POST", Address: address, Path: "/orders", ContentType: "application/json", Timeout: time.Second,
		Body: []byte(`{"fence":1,"model":"casework","version":"` + string(v) + `"}`),
	}
	if _, err := medlarhttp.New(time.Second).Do(call); err != nil {
		h.t.Fatal(err)
	}
}

// awaitServing waits until the first instance knows every engine to serve a version.
// It checks that requests are answered meanwhile.
func (h *harness) awaitServing(v medlarid.WeightVersion) {
	h.t.Helper()
	for until := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		assertWhole(h.t, h.complete(0, "during the swap"))
		n := 0
		for _, u := range h.nodes[0].Status().Upstreams {
			if u.Version == v {
				n++
			}
		}
		if n == len(h.stage.Engines) {
			return
		}
		if time.Now().After(until) {
			h.t.Fatalf("%d engines serve %s", n, v)
		}
	}
}

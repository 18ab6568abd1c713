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
	"medlarfield/internal/stand/medlarstage"
	"medlarfield/internal/stand/medlartrial"
	"medlarfield/internal/upstream/medlarhttp"
)

func slowDecode(e *medlarfakeengine.Settings) { e.Decode = 400 * time.Millisecond } // 20 ms at the test's speed

func TestGracefulStopCutsNothing(t *testing.T) {
	w := start(t, change{engine: slowDecode})
	var wg sync.WaitGroup
	results := make([]medlarclient.Result, 30)
	for i := range results {
		wg.Go(func() { results[i] = w.ask(0, "prompt") })
	}
	time.Sleep(100 * time.Millisecond)
	if err := w.nodes[0].Stop(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	for _, r := range results {
		assertWhole(t, r)
	}
}

func TestStopRefusesNewWork(t *testing.T) {
	w := start(t, change{engine: slowDecode})
	open := make(chan medlarclient.Result, 1)
	go func() { open <- w.ask(0, "prompt") }()
	w.awaitOpen(1)
	stopped := make(chan error, 1)
	go func() { stopped <- w.nodes[0].Stop(5 * time.Second) }()
	for !w.nodes[0].Status().Draining {
		time.Sleep(time.Millisecond)
	}
	assertRefused(t, w.ask(0, "late"), medlarreason.Draining, medlarreason.RanNo)
	a, err := medlarhttp.New(time.Second).Do(medlarhttp.Call{
		Method: "GET", Address: w.nodes[0].StatusAddress(), Path: "/readyz", Timeout: time.Second,
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
	w := start(t, change{engine: func(e *medlarfakeengine.Settings) { e.Decode = time.Minute }})
	go func() {
		_, _ = w.client.Complete(w.nodes[0].Address(), medlarclient.Prompt{Model: "casework", Text: "x", Max: answer, Stream: true})
	}()
	w.awaitOpen(1)
	err := w.nodes[0].Stop(100 * time.Millisecond)
	if err == nil || err.Error() != "the stop cut 1 requests" {
		t.Errorf("got %v", err)
	}
}

// leavingBound is the time after which a leaving upstream gets no new work, by a
// list that lags a second behind.
const leavingBound = 3 * time.Second

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, tc := range []struct {
		name  string
		leave func(*medlarstage.Stage)
	}{
		{"named by the instance list", func(s *medlarstage.Stage) { s.List.Leave("engine-1") }},
		{"taken off the instance list", func(s *medlarstage.Stage) { s.List.Remove("engine-1") }},
		{"told by the engine while the list is down", func(s *medlarstage.Stage) {
			_ = s.Board.Arm(medlarfault.Fault{Part: "instances", Name: medlarfault.Down})
			s.Engines[0].Leave()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w := start(t, change{stage: func(s *medlarstage.Settings) { s.Lag = time.Second }})
			tc.leave(w.stage)
			time.Sleep(leavingBound)
			before := w.stage.Engines[0].Totals().Runs
			for range 20 {
				assertWhole(t, w.ask(0, "x"))
			}
			if after := w.stage.Engines[0].Totals().Runs; after != before {
				t.Errorf("the leaving engine got %d new runs", after-before)
			}
		})
	}
}

// TestWeightVersionSwap publishes another weight version: the engines are ordered
// to load it one after the other, while requests are answered all the time.
func TestWeightVersionSwap(t *testing.T) {
	t.Parallel()
	w := start(t, change{nodes: 2, engine: func(e *medlarfakeengine.Settings) { e.LoadTime = 2 * time.Second }})
	text := medlartrial.Dossier(3, 1000)
	old := w.ask(0, text)
	assertWhole(t, old)
	w.awaitVersion(w.publish(withVersion(t, w.nodes[0].View().Lists, "v2")))
	w.awaitServing("v2")
	swapped := w.ask(0, text)
	assertWhole(t, swapped)
	if swapped.Usage.Cached != 0 {
		t.Errorf("a request under v2 used %d tokens of context", swapped.Usage.Cached)
	}
	if swapped.Text == old.Text {
		t.Error("the answer is that of v1")
	}
}

func TestOrdersUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*world)
	}{
		{"answers of an engine are lost", func(w *world) { w.arm("engine-1", medlarfault.Lost, 3) }},
		{"an engine loads something else first", func(w *world) { w.arm("engine-2", medlarfault.Misload, 1) }},
		{"the weight store is down at first", func(w *world) { w.arm("weights", medlarfault.Down, 3) }},
		{"the log loses answers", func(w *world) { w.arm("log", medlarfault.Lost, 3) }},
		{"an engine loads something else while the log loses answers", func(w *world) {
			w.arm("engine-2", medlarfault.Misload, 1)
			w.arm("log", medlarfault.Lost, 3)
		}},
		{"the holder of the lease stops", func(w *world) {
			time.AfterFunc(2*time.Second, func() { _ = w.nodes[1].Stop(time.Second) })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w := start(t, change{nodes: 2, engine: func(e *medlarfakeengine.Settings) { e.LoadTime = 2 * time.Second }})
			tc.fault(w)
			w.publish(withVersion(t, w.nodes[0].View().Lists, "v2"))
			w.awaitServing("v2")
		})
	}
}

// withVersion returns lists that want a weight version of the model.
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
func (w *world) load(at medlarid.Address, v medlarid.WeightVersion) {
	w.t.Helper()
	call := medlarhttp.Call{
		Method: "POST", Address: at, Path: "/orders", Type: "application/json", Timeout: time.Second,
		Body: []byte(`{"fence":1,"model":"casework","version":"` + string(v) + `"}`),
	}
	if _, err := medlarhttp.New(time.Second).Do(call); err != nil {
		w.t.Fatal(err)
	}
}

// awaitServing waits until every engine is known to have a version, and checks
// that requests are answered meanwhile.
func (w *world) awaitServing(v medlarid.WeightVersion) {
	w.t.Helper()
	for until := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		assertWhole(w.t, w.ask(0, "during the swap"))
		n := 0
		for _, u := range w.nodes[0].Status().Upstreams {
			if u.Version == v {
				n++
			}
		}
		if n == len(w.stage.Engines) {
			return
		}
		if time.Now().After(until) {
			w.t.Fatalf("%d engines have %s", n, v)
		}
	}
}

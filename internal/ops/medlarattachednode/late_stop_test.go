package medlarattachednode_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarsite"
)

// graceful is the time from the stop signal to the kill, as the site's settings state it.
const graceful = 8 * time.Second

// startPatient starts a fixture with one plain replica, whose requests may take until after the end of the grace.
func startPatient(t *testing.T, serviceTime time.Duration) *fixture {
	w := start(t, func(s *medlarsite.Settings) { s.Plain, s.ServiceTime = 1, serviceTime })
	if err := w.site.Change(func(c *medlarsite.Config) {
		for i := range c.Routes {
			c.Routes[i].TimeoutMs, c.Routes[i].TargetLatencyMs = 30000, 20000
		}
	}); err != nil {
		t.Fatal(err)
	}
	w.eventually("the configuration is in force", func() bool { return strings.Contains(w.logs.text(), `"version":4`) })
	return w
}

// sendInParts sends the head of a request that may run once at once, and its body after a delay.
func (w *fixture) sendInParts(id string, delay time.Duration) result {
	c, err := net.Dial("tcp", string(w.instance.Address()))
	if err != nil {
		w.t.Error(err)
		return result{}
	}
	defer func() { _ = c.Close() }()
	text := request{method: "POST", path: "/post/a", id: id, body: "{}", timeout: 3 * graceful}.text()
	if _, err := c.Write([]byte(strings.TrimSuffix(text, "{}"))); err != nil {
		w.t.Error(err)
	}
	time.Sleep(delay)
	return trySendWithin(c, bufio.NewReader(c), "{}", graceful)
}

// TestRequestsLateInGrace guards against requests that a stopping instance reads too late to answer them: it passed them on, and
// cut them without an answer, among them some that may run once. A refused one must not have run, and none may be without an answer.
func TestRequestsLateInGrace(t *testing.T) {
	t.Parallel()
	w := startPatient(t, 2*time.Second)
	delays := []time.Duration{500 * time.Millisecond, 4 * time.Second, 5500 * time.Millisecond, 6500 * time.Millisecond, 7 * time.Second}
	results := make([]result, len(delays))
	var wg sync.WaitGroup
	for i, d := range delays {
		wg.Go(func() { results[i] = w.sendInParts(fmt.Sprint("r", i), d) })
	}
	time.Sleep(100 * time.Millisecond)
	assertEndsByItself(w, &wg)
	for i, d := range delays {
		got, ran := results[i], len(w.ran(fmt.Sprint("r", i)))
		switch {
		case got.status == 200 && got.whole && ran == 1:
		case got.status == 503 && got.whole && ran == 0 && d > 3*time.Second:
		default:
			t.Errorf("sent whole %v into the stop: status %d, whole %v, ran %d times", d, got.status, got.whole, ran)
		}
	}
}

// assertEndsByItself stops the instance and checks that all callers have their answers by then: the process ends with the stop.
func assertEndsByItself(w *fixture, callers *sync.WaitGroup) {
	w.t.Helper()
	begin := time.Now()
	answered := make(chan time.Time, 1)
	go func() {
		callers.Wait()
		answered <- time.Now()
	}()
	w.stop()
	ended := time.Now()
	if took := ended.Sub(begin); took > graceful {
		w.t.Errorf("stopped after %v, want %v at most", took, graceful)
	}
	if !strings.Contains(w.logs.text(), `"cut":0`) {
		w.t.Error("the log does not report 0 cut requests")
	}
	if late := (<-answered).Sub(ended); late > 100*time.Millisecond {
		w.t.Errorf("the last answer came %v after the end of the process", late)
	}
}

// sendPatiently sends a request and waits for its answer until after the end of the grace.
func (w *fixture) sendPatiently(q request) result {
	c, err := net.Dial("tcp", string(w.instance.Address()))
	if err != nil {
		w.t.Error(err)
		return result{}
	}
	defer func() { _ = c.Close() }()
	return trySendWithin(c, bufio.NewReader(c), q.text(), 2*graceful)
}

// TestRequestsInProgressAtEndOfGrace guards against requests that end without an answer with the process: one that may run
// once, and one that may be repeated.
func TestRequestsInProgressAtEndOfGrace(t *testing.T) {
	t.Parallel()
	w := startPatient(t, 2*graceful)
	paths := []string{"/post/a", "/read/a"}
	results := make([]result, len(paths))
	var wg sync.WaitGroup
	for i, path := range paths {
		wg.Go(func() {
			results[i] = w.sendPatiently(request{method: "POST", path: path, id: path, body: "{}", timeout: 3 * graceful})
		})
	}
	w.eventually("the replica has the requests", func() bool { return w.site.Plain[0].Active() == 2 })
	assertEndsByItself(w, &wg)
	for _, got := range results {
		if got.status != 502 && got.status != 504 || !got.whole {
			t.Errorf("status %d, whole %v; want a failure that promises nothing", got.status, got.whole)
		}
	}
}

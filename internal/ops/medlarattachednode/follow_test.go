package medlarattachednode_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarsite"
)

func TestConfigurationAppliesAfterStoreOutage(t *testing.T) {
	for _, fault := range []medlarfaketopic.Fault{
		medlarfaketopic.FaultRefuse, medlarfaketopic.FaultLimit, medlarfaketopic.FaultReset, medlarfaketopic.FaultSilent,
	} {
		t.Run(string(fault), func(t *testing.T) {
			w := start(t, nil)
			w.endpoint.SetFault(fault)
			if err := w.site.Change(func(c *medlarsite.Config) { c.Tenants[0].ApiKeys = []string{"key-two"} }); err != nil {
				t.Fatal(err)
			}
			time.Sleep(200 * time.Millisecond)
			if !w.instance.Ready() {
				t.Error("the instance is unready while the store is unavailable")
			}
			w.endpoint.SetFault(medlarfaketopic.FaultNone)
			n := 0
			w.eventually("the new key is accepted", func() bool {
				n++
				return w.send(request{path: "/read/a", id: fmt.Sprint("k", n), key: "key-two"}).status == 200
			})
			assertResult(t, w.send(request{path: "/read/a", id: "old"}), 401, "")
		})
	}
}

// storeReturnBound is the time after the store answers again within which its newest records
// must be in force.
const storeReturnBound = time.Second

// TestConfigurationAppliesSoonAfterSilence guards against a call that began while the store was
// silent and keeps a new configuration from being read although the store answers again.
func TestConfigurationAppliesSoonAfterSilence(t *testing.T) {
	for _, silence := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			w := start(t, nil)
			w.endpoint.SetFault(medlarfaketopic.FaultSilent)
			time.Sleep(silence)
			w.endpoint.SetFault(medlarfaketopic.FaultNone)
			begin := time.Now()
			if err := w.site.Change(func(c *medlarsite.Config) { c.Tenants[0].ApiKeys = []string{"key-two"} }); err != nil {
				t.Fatal(err)
			}
			n := 0
			w.eventually("the new key is accepted", func() bool {
				n++
				return w.send(request{path: "/read/a", id: fmt.Sprint("k", n), key: "key-two"}).status == 200
			})
			if took := time.Since(begin); took > storeReturnBound {
				t.Errorf("the new key is accepted after %v, want %v at most", took, storeReturnBound)
			}
		})
	}
}

// TestRemovedReplicaGetsNoRequestsAfterReset guards against the delay of removals, which is meant
// for outages of the store, after a reset of the connections to it.
func TestRemovedReplicaGetsNoRequestsAfterReset(t *testing.T) {
	w := start(t, func(s *medlarsite.Settings) {
		s.HeartbeatInterval, s.RemovalDelay = 1200*time.Millisecond, 10*time.Second
	})
	calls := w.site.Store.Calls()
	w.endpoint.SetFault(medlarfaketopic.FaultReset)
	w.eventually("a call was reset", func() bool { return strings.Contains(w.logs.text(), `"event":"lost"`) })
	w.endpoint.SetFault(medlarfaketopic.FaultNone)
	gone := w.site.Plain[0]
	w.site.Remove(gone)
	time.Sleep(storeReturnBound)
	before := len(gone.Runs())
	for i := range 30 {
		assertResult(t, w.send(request{path: "/read/a", id: fmt.Sprint("r", i)}), 200, "")
	}
	if n := len(gone.Runs()) - before; n != 0 {
		t.Errorf("the removed replica ran %d requests, want none (%d calls to the store)", n, w.site.Store.Calls()-calls)
	}
}

// TestRequestsBeforeFirstCatalog guards against a repeat of an incident in which all
// instances started while the store was unavailable. Requests must be refused immediately,
// with a longer Retry-After than from an instance that is about to read its first catalog.
func TestRequestsBeforeFirstCatalog(t *testing.T) {
	w := startWith(t, nil, medlarfaketopic.FaultSilent)
	w.eventually("the instance logs that the store is unavailable", func() bool { return strings.Contains(w.logs.text(), `"event":"lost","dependency":"keyed.op"`) })
	begin := time.Now()
	got := w.send(request{path: "/read/a", id: "r"})
	assertResult(t, got, 503, "")
	if after := got.get("Retry-After"); after != "2.00" {
		t.Errorf("Retry-After %q, want 2.00", after)
	}
	if took := time.Since(begin); took > 100*time.Millisecond {
		t.Errorf("refused after %v, want 100ms at most", took)
	}
	w.endpoint.SetFault(medlarfaketopic.FaultNone)
	w.eventually("the instance is ready", w.instance.Ready)
	assertResult(t, w.send(request{path: "/read/a", id: "r2"}), 200, "")
}

func TestCompactedTopics(t *testing.T) {
	w := start(t, nil)
	w.endpoint.SetFault(medlarfaketopic.FaultRefuse)
	time.Sleep(100 * time.Millisecond)
	if err := w.site.Change(func(c *medlarsite.Config) { c.Routes[3].PathPrefix = "/reads/" }); err != nil {
		t.Fatal(err)
	}
	w.site.Store.Compact("keyed.op")
	w.site.Store.Compact("keyed.servers")
	w.endpoint.SetFault(medlarfaketopic.FaultNone)
	n := 0
	w.eventually("the new route is applied", func() bool {
		n++
		return w.send(request{path: "/reads/a", id: fmt.Sprint("k", n)}).status == 200
	})
}

// TestStoreFromCopyIsReadAnew guards against the loss of records that a store, back from a copy,
// gives at offsets that were read before, and against a return to an older configuration.
func TestStoreFromCopyIsReadAnew(t *testing.T) {
	w := start(t, nil)
	use := func(key string) {
		if err := w.site.Change(func(c *medlarsite.Config) { c.Tenants[0].ApiKeys = []string{key} }); err != nil {
			t.Fatal(err)
		}
	}
	accepted := func(key string) bool {
		return w.send(request{path: "/read/a", id: "r-" + key, key: key}).status == 200
	}
	use("key-two")
	w.eventually("the second key is accepted", func() bool { return accepted("key-two") })
	w.site.Store.Rewind(1)
	time.Sleep(storeReturnBound)
	if !accepted("key-two") || accepted(medlarsite.Key) {
		t.Error("the instance went back to an older configuration")
	}
	use("key-three") // at the offset of the record that is gone
	begin := time.Now()
	w.eventually("the third key is accepted", func() bool { return accepted("key-three") })
	if took := time.Since(begin); took > storeReturnBound {
		t.Errorf("the third key is accepted after %v, want %v at most", took, storeReturnBound)
	}
	assertResult(t, w.send(request{method: "POST", path: "/letter/x", id: "s", key: "key-three", body: "{}", fields: prompt("aa:100,cc:500")}), 200, "")
	w.site.SetWeightVersion(2)
	w.eventually("orders are given in the new era", func() bool {
		for _, r := range w.site.Engines {
			if r.Version() != 2 {
				return false
			}
		}
		return true
	})
	if !strings.Contains(w.logs.text(), `"event":"era","dependency":"keyed.op","era":1`) {
		t.Error("the log does not tell of the new era")
	}
}

func TestInvalidReplicaEntries(t *testing.T) {
	w := start(t, nil)
	for i, value := range []string{
		"not JSON", "{}", `{"Service":"ledger","Address":7}`, `{"Service":"ledger","Address":"127.0.0.1:1","MaxBatchSize":4,"Phase":"odd"}`,
	} {
		w.site.Store.Put("keyed.servers", fmt.Sprint("stranger-", i), []byte(value))
	}
	w.site.Store.Put("keyed.op", "config", []byte(`{"Version":"nine"}`))
	time.Sleep(300 * time.Millisecond)
	for i := range 20 {
		assertResult(t, w.send(request{path: "/read/a", id: fmt.Sprint("r", i)}), 200, "")
	}
}

func TestLeavingReplicaGetsNoRequests(t *testing.T) {
	w := start(t, nil)
	gone := w.site.Plain[0]
	gone.Leave()
	time.Sleep(500 * time.Millisecond)
	before := len(gone.Runs())
	for i := range 30 {
		assertResult(t, w.send(request{path: "/read/a", id: fmt.Sprint("r", i)}), 200, "")
	}
	if n := len(gone.Runs()) - before; n != 0 {
		t.Errorf("the leaving replica ran %d requests, want none", n)
	}
}

// TestReplicaThatSaysItLeavesGetsNoRequests guards against new work for a replica that said in a
// response that it leaves, before its entry does.
func TestReplicaThatSaysItLeavesGetsNoRequests(t *testing.T) {
	w := start(t, nil)
	leaving := w.site.Plain[0]
	leaving.AnnounceLeaving()
	w.eventually("the replica has responded", func() bool {
		assertResult(t, w.send(request{path: "/read/a", id: "warm"}), 200, "")
		return len(leaving.Runs()) > 0
	})
	before := len(leaving.Runs())
	for i := range 30 {
		assertResult(t, w.send(request{path: "/read/a", id: fmt.Sprint("r", i)}), 200, "")
	}
	if n := len(leaving.Runs()) - before; n != 0 {
		t.Errorf("the leaving replica ran %d requests, want none", n)
	}
	w.eventually("the log tells why", func() bool {
		return strings.Contains(w.logs.text(), `"event":"avoid","replica":"ledger-1","leaving":true`)
	})
}

// TestReportThatSaysReplicaLeavesCounts guards against new work for a replica that said only in
// the report of its state that it leaves.
func TestReportThatSaysReplicaLeavesCounts(t *testing.T) {
	w := start(t, nil)
	w.site.Engines[0].AnnounceLeaving()
	w.site.SetWeightVersion(2)
	w.eventually("the replica is avoided", func() bool {
		return strings.Contains(w.logs.text(), `"event":"avoid","replica":"engine-1","leaving":true`)
	})
}

// TestReplicaThatAsksForPauseGetsNoRequests guards against requests to a replica within the pause
// that it asked for, and against a pause without an end.
func TestReplicaThatAsksForPauseGetsNoRequests(t *testing.T) {
	w := start(t, nil)
	paused := w.site.Plain[0]
	paused.Arm(medlarfakereplica.FaultPause, 1)
	begin := time.Now()
	w.eventually("the replica asked for a pause", func() bool {
		assertResult(t, w.send(request{path: "/read/a", id: "warm"}), 200, "")
		return strings.Contains(w.logs.text(), `"event":"avoid","replica":"ledger-1","leaving":false,"after":1500`)
	})
	before := len(paused.Runs())
	for i := 0; time.Since(begin) < 1400*time.Millisecond; i++ {
		assertResult(t, w.send(request{path: "/read/a", id: fmt.Sprint("r", i)}), 200, "")
	}
	if n := len(paused.Runs()) - before; n != 0 {
		t.Errorf("the replica ran %d requests within its pause, want none", n)
	}
	w.eventually("the replica is used again", func() bool {
		assertResult(t, w.send(request{path: "/read/a", id: "later"}), 200, "")
		return len(paused.Runs()) > before
	})
}

func TestWeightRollout(t *testing.T) {
	w := start(t, nil)
	w.site.SetWeightVersion(2)
	w.eventually("all replicas run the desired weights", func() bool {
		for _, r := range w.site.Engines {
			if r.Version() != 2 {
				return false
			}
		}
		return true
	})
	got := w.send(request{method: "POST", path: "/letter/x", id: "r", body: "{}", fields: prompt("aa:100,cc:500")})
	if runs := w.ran("r"); got.status != 200 || len(runs) != 1 || runs[0].Salt != "v2" {
		t.Errorf("status %d, runs %+v; want 200 and one run under v2", got.status, runs)
	}
}

func TestGracefulStop(t *testing.T) {
	w := start(t, func(s *medlarsite.Settings) {
		s.Events, s.ServiceTime, s.StopDelay = 40, 40*time.Millisecond, 500*time.Millisecond
	})
	idle, err := net.Dial("tcp", string(w.instance.Address()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = idle.Close() }()
	br := bufio.NewReader(idle)
	assertResult(t, w.sendOn(idle, br, request{path: "/read/a", id: "r0"}.text()), 200, "")
	stream := make(chan result, 1)
	go func() {
		stream <- w.send(request{method: "POST", path: "/query/x", id: "r1", body: "{}", fields: prompt("aa:100,cc:500"), timeout: 9 * time.Second})
	}()
	w.eventually("the stream is running", func() bool { return len(w.ran("r1")) == 1 })
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.stop()
	}()
	w.eventually("the instance is unready", func() bool { return !w.instance.Ready() })
	got := w.sendOn(idle, br, request{path: "/read/a", id: "r2"}.text())
	assertResult(t, got, 200, "answer to r2")
	if !strings.EqualFold(got.get("Connection"), "close") {
		t.Error("a stopping instance does not close the connection after its answer")
	}
	if r := <-stream; r.status != 200 || !r.whole {
		t.Errorf("stream: status %d, whole %v; want 200, true", r.status, r.whole)
	}
	<-done
	if !strings.Contains(w.logs.text(), `"cut":0`) {
		t.Error("the log does not report 0 cut requests")
	}
}

// TestRequestOnIdleConnectionDuringStop guards against the loss of a request whose
// keep-alive connection is closed as idle while the request is being read. Each request on
// such a connection must be answered whole or not be read at all; the test counts requests
// that ran without an answer.
func TestRequestOnIdleConnectionDuringStop(t *testing.T) {
	w := start(t, func(s *medlarsite.Settings) { s.Plain, s.ServiceTime = 1, time.Millisecond })
	const callers = 24
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	end := time.Now().Add(4 * time.Second)
	for i := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c, err := net.Dial("tcp", string(w.instance.Address()))
				if err != nil {
					return // the listener is closed
				}
				br := bufio.NewReader(c)
				for m := range 3 {
					id := fmt.Sprintf("r%d-%d-%d", i, n, m)
					got := trySend(c, br, request{path: "/post/a", id: id}.text())
					if got.status != 200 {
						if len(w.ran(id)) > 0 {
							mu.Lock()
							lost = append(lost, id)
							mu.Unlock()
						}
						break
					}
					time.Sleep(time.Duration(i) * time.Millisecond)
				}
				_ = c.Close()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	w.stop()
	wg.Wait()
	if len(lost) > 0 {
		t.Errorf("%d requests ran without getting an answer, for example %s", len(lost), lost[0])
	}
}

// trySend sends a request on a connection that the instance may close at any time. It
// returns an empty result unless it gets a whole answer.
func trySend(c net.Conn, br *bufio.Reader, text string) result {
	return trySendWithin(c, br, text, 5*time.Second)
}

// trySendWithin is trySend with another time for the response.
func trySendWithin(c net.Conn, br *bufio.Reader, text string, timeout time.Duration) result {
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, text); err != nil {
		return result{}
	}
	h, err := medlarhead.ReadResponse(br, 1<<14, "GET")
	if err != nil {
		return result{}
	}
	if _, err := io.ReadAll(medlarframing.NewBody(br, h)); err != nil {
		return result{}
	}
	return result{status: h.Status, head: h, whole: true}
}

// TestNamedLimitIsLogged guards against a log that does not say that a replica has named a limit of requests.
func TestNamedLimitIsLogged(t *testing.T) {
	w := start(t, func(s *medlarsite.Settings) { s.Engines = 1 })
	for _, tc := range []struct {
		name   string
		values []string
		want   string
	}{
		{"named", []string{"33.5"}, `"limited":true,"limit":33.5`},
		{"changed", []string{"20.25"}, `"limited":true,"limit":20.25`},
		{"ended", nil, `"limited":false,"limit":0`},
		{"nonsense", []string{"many"}, ""},
		{"two values", []string{"3", "4"}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w.site.Engines[0].NameLimits(tc.values...)
			before := strings.Count(w.logs.text(), `"event":"limit"`)
			n := 0
			send := func() {
				n++
				w.send(request{method: "POST", path: "/query/x", id: fmt.Sprint(tc.name, n), body: "{}", fields: prompt("aa:10,own:50")})
			}
			send()
			send()
			if tc.want == "" {
				if n := strings.Count(w.logs.text(), `"event":"limit"`); n != before {
					t.Errorf("%d changes of the limit are logged, want none", n-before)
				}
				return
			}
			w.eventually("the change is logged", func() bool {
				send() // only an answer tells of the change
				return strings.Contains(w.logs.text(), tc.want)
			})
		})
	}
}

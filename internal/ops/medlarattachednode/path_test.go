package medlarattachednode_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/ops/medlarattachednode"
	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarsite"
)

// fixture is an emulated platform with one attached instance.
type fixture struct {
	t        testing.TB
	site     *medlarsite.Site
	endpoint *medlarfaketopic.Endpoint
	instance *medlarattachednode.Instance
	logs     *logs
	stop     func()
	stopped  sync.Once
}

// logs records an instance's log output.
type logs struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends to the recorded output.
func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logs) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// reset forgets what was logged so far.
func (l *logs) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.b.Reset()
}

func start(t *testing.T, change func(*medlarsite.Settings)) *fixture {
	t.Helper()
	w := startWith(t, change, medlarfaketopic.FaultNone)
	w.eventually("the instance is ready", w.instance.Ready)
	return w
}

// startWith starts a fixture whose store has a fault from the start.
func startWith(t *testing.T, change func(*medlarsite.Settings), fault medlarfaketopic.Fault) *fixture {
	t.Helper()
	cfg := medlarsite.Default()
	if change != nil {
		change(&cfg)
	}
	site, err := medlarsite.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	return attach(t, site, "entry-1", fault)
}

// attach starts an instance at a site whose store has a fault for it from the start.
func attach(t testing.TB, site *medlarsite.Site, name string, fault medlarfaketopic.Fault) *fixture {
	t.Helper()
	w := &fixture{t: t, site: site, logs: &logs{}}
	settings, endpoint, err := site.InstanceSettings(name)
	if err != nil {
		t.Fatal(err)
	}
	w.endpoint = endpoint
	endpoint.SetFault(fault)
	if w.instance, err = medlarattachednode.New(settings, w.logs); err != nil {
		t.Fatal(err)
	}
	stop, err := w.instance.Start()
	if err != nil {
		t.Fatal(err)
	}
	w.stop = func() { w.stopped.Do(stop) }
	t.Cleanup(w.stop)
	return w
}

// eventually waits until a condition holds.
func (w *fixture) eventually(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.t.Fatalf("not within 10 s: %s", what)
}

// request is a caller's request.
type request struct {
	method, path, id, key, body string
	fields                      string // additional header lines, each with its line break
	timeout                     time.Duration
}

func (q request) text() string {
	if q.method == "" {
		q.method = "GET"
	}
	if q.key == "" {
		q.key = medlarsite.Key
	}
	if q.timeout == 0 {
		q.timeout = 2 * time.Second
	}
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nMedlarfield-Request-Id: %s\r\nMedlarfield-Timeout-Ms: %d\r\nApi-Key: %s\r\n%s",
		q.method, q.path, medlarsite.Host, q.id, q.timeout.Milliseconds(), q.key, q.fields)
	if q.body != "" {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return s + "\r\n" + q.body
}

// prompt returns the header fields of a request with a prompt.
func prompt(parts string) string {
	return "Medlarfield-Model: " + medlarsite.Model + "\r\nMedlarfield-Token-Usage: 1000,50\r\nMedlarfield-Prompt-Prefix: " + parts + "\r\n"
}

// result is the response that a caller gets. whole is set if the body has its proper end.
type result struct {
	status int
	head   *medlarhead.Head
	body   string
	whole  bool
}

func (r result) get(name string) string {
	if r.head == nil {
		return ""
	}
	v, _ := r.head.Get(name)
	return v
}

// send sends a request on a new connection.
func (w *fixture) send(q request) result { return w.sendRaw(q.text()) }

func (w *fixture) sendRaw(text string) result {
	w.t.Helper()
	c, err := net.Dial("tcp", string(w.instance.Address()))
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return w.sendOn(c, bufio.NewReader(c), text)
}

func (w *fixture) sendOn(c net.Conn, br *bufio.Reader, text string) result {
	w.t.Helper()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		w.t.Fatal(err)
	}
	h, err := medlarhead.ReadResponse(br, 1<<14, "GET")
	if err != nil {
		return result{}
	}
	body, err := io.ReadAll(medlarframing.NewBody(br, h))
	return result{status: h.Status, head: h, body: string(body), whole: err == nil}
}

// ran returns the runs of a request on all replicas.
func (w *fixture) ran(id string) []medlarfakereplica.Run {
	var out []medlarfakereplica.Run
	for _, r := range w.site.Replicas() {
		for _, run := range r.Runs() {
			if run.ID == id {
				out = append(out, run)
			}
		}
	}
	return out
}

// arm injects a fault into the next request of each replica.
func arm(rs []*medlarfakereplica.Replica, f medlarfakereplica.Fault) {
	for _, r := range rs {
		r.Arm(f, 1)
	}
}

func assertResult(t testing.TB, got result, status int, body string) {
	t.Helper()
	if got.status != status || !got.whole || body != "" && got.body != body {
		t.Errorf("status %d, whole %v, body %q; want %d, %q", got.status, got.whole, got.body, status, body)
	}
}

func TestRequestsAreForwarded(t *testing.T) {
	w := start(t, nil)
	t.Run("unchanged", func(t *testing.T) {
		got := w.send(request{method: "POST", path: "/post/a?b=c", id: "r1", body: "pay", fields: "X-Own: 1\r\nMedlarfield-Tenant: forged\r\nMedlarfield-Hold: h\r\n"})
		assertResult(t, got, 200, "answer to r1")
		runs := w.ran("r1")
		if len(runs) != 1 || runs[0].Method != "POST" || runs[0].Target != "/post/a?b=c" || runs[0].Body != "pay" || runs[0].Account != medlarsite.Account {
			t.Errorf("runs %+v, want one of the request as it was sent", runs)
		}
		if got.get("Medlarfield-Server-Signature") == "" {
			t.Error("the response has no signature")
		}
	})
	t.Run("chunked body", func(t *testing.T) {
		text := request{method: "POST", path: "/post/a", id: "r2", fields: "Transfer-Encoding: chunked\r\n"}.text()
		assertResult(t, w.sendRaw(text+"2\r\npa\r\n1\r\ny\r\n0\r\n\r\n"), 200, "answer to r2")
		if runs := w.ran("r2"); len(runs) != 1 || runs[0].Body != "pay" {
			t.Errorf("runs %+v, want one with the body pay", runs)
		}
	})
	t.Run("stream under the current weights", func(t *testing.T) {
		got := w.send(request{method: "POST", path: "/letter/x", id: "r3", body: "{}", fields: prompt("aa:100,bb:400,cc:500")})
		if got.status != 200 || !got.whole || strings.Count(got.body, "id: ") != medlarsite.Default().Events {
			t.Errorf("status %d, whole %v, body %q", got.status, got.whole, got.body)
		}
		if runs := w.ran("r3"); len(runs) != 1 || runs[0].Version != "1" || runs[0].Salt != "v1" || runs[0].Model != medlarsite.Model {
			t.Errorf("runs %+v, want one of the requested model under version 1 and salt v1", runs)
		}
	})
	for _, tc := range []struct {
		name string
		q    request
		want int
	}{
		{"unknown path", request{path: "/none/", id: "x1"}, 404},
		{"unknown key", request{path: "/read/a", id: "x2", key: "other"}, 401},
		{"no id", request{path: "/read/a"}, 400},
		{"two ids", request{path: "/read/a", id: "x3", fields: "Medlarfield-Request-Id: x4\r\n"}, 400},
		{"bad timeout", request{path: "/read/a", id: "x5", fields: "Medlarfield-Timeout-Ms: soon\r\n"}, 400},
	} {
		t.Run(tc.name, func(t *testing.T) { assertResult(t, w.send(tc.q), tc.want, "") })
	}
}

// TestReplicaFaults checks, for each fault of a replica, which status the caller gets and
// how often the request runs.
func TestReplicaFaults(t *testing.T) {
	const repeatable, once = "/read/a", "/post/a"
	for _, tc := range []struct {
		fault  medlarfakereplica.Fault
		path   string
		status int
		runs   int
	}{
		{medlarfakereplica.FaultShed, repeatable, 503, 0},
		{medlarfakereplica.FaultShed, once, 503, 0},
		{medlarfakereplica.FaultMisdirected, repeatable, 503, 0},
		{medlarfakereplica.FaultFail, repeatable, 500, 2},
		{medlarfakereplica.FaultFail, once, 500, 1},
		{medlarfakereplica.FaultLost, repeatable, 502, 2},
		{medlarfakereplica.FaultLost, once, 502, 1},
		{medlarfakereplica.FaultCut, repeatable, 502, 2},
		{medlarfakereplica.FaultCut, once, 502, 1},
		{medlarfakereplica.FaultGarbage, once, 502, 1},
		{medlarfakereplica.FaultUnsigned, once, 502, 1},
		{medlarfakereplica.FaultWrongID, once, 504, 1},
		{medlarfakereplica.FaultEncoded, once, 502, 1},
		{medlarfakereplica.FaultForeign, once, 200, 1},
		{medlarfakereplica.FaultExtra, once, 200, 1},
		{medlarfakereplica.FaultUnframed, once, 200, 1},
		{medlarfakereplica.FaultReset, repeatable, 502, 2},
		{medlarfakereplica.FaultReset, once, 502, 1},
	} {
		t.Run(string(tc.fault)+tc.path, func(t *testing.T) {
			w := start(t, func(s *medlarsite.Settings) { s.Engines = 1 })
			for range 3 {
				arm(w.site.Plain, tc.fault)
			}
			got := w.send(request{path: tc.path, id: "r"})
			assertResult(t, got, tc.status, "")
			if n := len(w.ran("r")); n != tc.runs {
				t.Errorf("ran %d times, want %d", n, tc.runs)
			}
			if tc.status == 503 && got.get("Retry-After") == "" {
				t.Error("the refusal has no Retry-After")
			}
		})
	}
}

// TestHangingReplica checks requests to a replica that accepts them and does not answer. A
// repeatable request is answered by another replica in time; one that must not be
// repeated is not sent again.
func TestHangingReplica(t *testing.T) {
	for _, tc := range []struct {
		path         string
		status, runs int
	}{{"/read/a", 200, 2}, {"/post/a", 504, 1}} {
		t.Run(tc.path, func(t *testing.T) {
			w := start(t, nil)
			got := w.sendHanging(request{path: tc.path, id: "r", timeout: 2500 * time.Millisecond})
			if n := len(w.ran("r")); got.status != tc.status || n != tc.runs {
				t.Errorf("status %d after %d runs, want %d after %d", got.status, n, tc.status, tc.runs)
			}
		})
	}
}

// sendHanging sends a request to which the first replica that runs it does not respond.
func (w *fixture) sendHanging(q request) result {
	w.t.Helper()
	arm(w.site.Plain, medlarfakereplica.FaultHang)
	go func() {
		for len(w.ran(q.id)) == 0 {
			time.Sleep(time.Millisecond)
		}
		for _, r := range w.site.Plain {
			r.Disarm()
		}
	}()
	return w.send(q)
}

func TestExtraResponseBytesAreDropped(t *testing.T) {
	w := start(t, func(s *medlarsite.Settings) { s.Plain = 1 })
	arm(w.site.Plain, medlarfakereplica.FaultExtra)
	assertResult(t, w.send(request{path: "/read/a", id: "r1"}), 200, "answer to r1")
	assertResult(t, w.send(request{path: "/read/a", id: "r2"}), 200, "answer to r2")
}

func TestStreamResumesOnAnotherReplica(t *testing.T) {
	w := start(t, nil)
	arm(w.site.Engines, medlarfakereplica.FaultCut)
	q := request{method: "POST", path: "/letter/x", id: "r", body: "{}", fields: prompt("aa:100,bb:400,cc:500")}
	got := w.send(q)
	events := medlarsite.Default().Events
	if got.status != 200 || !got.whole {
		// Each replica breaks off its first stream. The second attempt returns the rest, or
		// breaks off as well; then the response has no proper end.
		if strings.Count(got.body, "id: ") == events {
			t.Errorf("the stream has all events but no proper end")
		}
	}
	for n := 1; n <= strings.Count(got.body, "id: "); n++ {
		if strings.Count(got.body, fmt.Sprintf("id: %d\n", n)) != 1 {
			t.Errorf("event %d is missing or duplicated in %q", n, got.body)
		}
	}
	if runs := w.ran("r"); len(runs) != 2 || runs[1].LastEventID == "" && runs[0].LastEventID == "" {
		t.Errorf("runs %+v, want two, the second resuming after the last event", runs)
	}
}

func TestNonRepeatableStreamIsTruncated(t *testing.T) {
	w := start(t, nil)
	arm(w.site.Engines, medlarfakereplica.FaultCut)
	got := w.send(request{method: "POST", path: "/query/x", id: "r", body: "{}", fields: prompt("aa:100,cc:500")})
	if got.status != 200 || got.whole {
		t.Errorf("status %d, whole %v; want 200 and a truncated response", got.status, got.whole)
	}
	if runs := w.ran("r"); len(runs) != 1 {
		t.Errorf("ran %d times, want once", len(runs))
	}
}

func TestClientDisconnectCancelsRequest(t *testing.T) {
	w := start(t, func(s *medlarsite.Settings) { s.Events, s.ServiceTime = 1000, 10*time.Millisecond })
	c, err := net.Dial("tcp", string(w.instance.Address()))
	if err != nil {
		t.Fatal(err)
	}
	q := request{method: "POST", path: "/letter/x", id: "r", body: "{}", fields: prompt("aa:100,bb:400,cc:500")}
	if _, err := io.WriteString(c, q.text()); err != nil {
		t.Fatal(err)
	}
	active := func() int {
		n := 0
		for _, r := range w.site.Engines {
			n += r.Active()
		}
		return n
	}
	w.eventually("the stream is running", func() bool { return active() == 1 })
	_ = c.Close()
	begin := time.Now()
	w.eventually("the stream has ended on its replica", func() bool { return active() == 0 })
	if took := time.Since(begin); took > 500*time.Millisecond {
		t.Errorf("the replica worked on for %v after the disconnect, want 500ms at most", took)
	}
}

func TestDeadlineExceeded(t *testing.T) {
	w := start(t, func(s *medlarsite.Settings) { s.ServiceTime = 5 * time.Second })
	for _, tc := range []struct {
		path string
		want int
	}{{"/read/a", 504}, {"/post/a", 504}} {
		t.Run(tc.path, func(t *testing.T) {
			begin := time.Now()
			got := w.send(request{path: tc.path, id: "r" + tc.path[1:2], timeout: 300 * time.Millisecond})
			assertResult(t, got, tc.want, "")
			if took := time.Since(begin); took > 500*time.Millisecond {
				t.Errorf("answered after %v, want 500ms at most", took)
			}
		})
	}
}

func TestStalledClient(t *testing.T) {
	w := start(t, nil)
	assertResult(t, w.sendRaw("GET /read/a HTTP/1.1\r\nHost: a\r\n"), 408, "")
}

func TestOversizedRequests(t *testing.T) {
	w := start(t, nil)
	assertResult(t, w.send(request{path: "/read/a", id: "r", fields: "X-Large: " + strings.Repeat("x", 9000) + "\r\n"}), 431, "")
	text := fmt.Sprintf("POST /post/a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 2<<20)
	assertResult(t, w.sendRaw(text), 413, "")
}

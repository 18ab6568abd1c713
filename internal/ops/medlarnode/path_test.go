package medlarnode_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/stand/medlarclient"
	"medlarfield/internal/stand/medlarfakeengine"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlartestbed"
	"medlarfield/internal/stand/medlartrial"
	"medlarfield/internal/upstream/medlarhttp"
)

const answerTokens = 20

// harness is a stage with entry instances and a client.
type harness struct {
	t      *testing.T
	stage  *medlartestbed.Testbed
	nodes  []*medlartestbed.RunningNode
	client *medlarclient.Client
}

// options adjust a harness before it starts.
type options struct {
	nodes  int
	stage  func(*medlartestbed.Settings)
	engine func(*medlarfakeengine.Settings)
	node   func(*medlarsettings.Settings)
}

func start(t *testing.T, opts options) *harness {
	t.Helper()
	cfg := medlartestbed.Default()
	cfg.Engines, cfg.Speed, cfg.ListDelay = 3, 20, 0
	cfg.Engine = func(e *medlarfakeengine.Settings) {
		e.Lag = 10 * time.Millisecond
		if opts.engine != nil {
			opts.engine(e)
		}
	}
	if opts.stage != nil {
		opts.stage(&cfg)
	}
	stage, err := medlartestbed.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stage.Close)
	h := &harness{t: t, stage: stage, client: medlarclient.New(medlartestbed.Key)}
	lists, err := medlartestbed.Lists()
	if err != nil {
		t.Fatal(err)
	}
	h.publish(lists)
	for i := range max(opts.nodes, 1) {
		settings := stage.NodeSettings(i)
		settings.Platform.PollInterval = medlarid.Duration(20 * time.Millisecond)
		settings.Platform.Timeout = medlarid.Duration(300 * time.Millisecond)
		settings.Routing.UpstreamIdleTimeout = medlarid.Duration(500 * time.Millisecond)
		settings.Limits.MaxBodyBytes = 64 << 10
		if opts.node != nil {
			opts.node(&settings)
		}
		n, err := stage.StartNode(settings, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Stop(time.Second) })
		h.nodes = append(h.nodes, n)
	}
	return h
}

func (h *harness) publish(l *medlarlist.Lists) medlarid.Offset {
	h.t.Helper()
	v, err := h.stage.Publish(l)
	if err != nil {
		h.t.Fatal(err)
	}
	return v
}

func (h *harness) injectFault(part string, name medlarfault.Name, count int) {
	h.t.Helper()
	if err := h.stage.Injector.Arm(medlarfault.Fault{Part: part, Name: name, Count: count, DelayText: "100ms"}); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { h.clearFault(part, name) })
}

func (h *harness) clearFault(part string, name medlarfault.Name) {
	_ = h.stage.Injector.Arm(medlarfault.Fault{Part: part, Name: name, Clear: true})
}

func (h *harness) complete(node int, text string) medlarclient.Result {
	h.t.Helper()
	r, err := h.client.Complete(h.nodes[node].Address(), medlarclient.Prompt{Model: "casework", Text: text, MaxTokens: answerTokens, Stream: true})
	if err != nil {
		h.t.Fatal(err)
	}
	return r
}

func assertWhole(t *testing.T, r medlarclient.Result) {
	t.Helper()
	if !r.Complete || len(strings.Fields(r.Text)) != answerTokens {
		t.Fatalf("status %d, reason %q, %d of %d words, whole %v", r.Status, r.Reason, len(strings.Fields(r.Text)), answerTokens, r.Complete)
	}
}

func assertRefused(t *testing.T, r medlarclient.Result, reason medlarreason.Reason, ran medlarreason.Ran) {
	t.Helper()
	if r.Reason != reason || r.Ran != ran {
		t.Fatalf("status %d, reason %q, ran %q; want %q, %q", r.Status, r.Reason, r.Ran, reason, ran)
	}
}

func TestStreamedAndUnstreamedAnswers(t *testing.T) {
	h := start(t, options{})
	streamed := h.complete(0, "Dear parish,")
	assertWhole(t, streamed)
	whole, err := h.client.Complete(h.nodes[0].Address(), medlarclient.Prompt{Model: "casework", Text: "Dear parish,", MaxTokens: answerTokens})
	if err != nil {
		t.Fatal(err)
	}
	assertWhole(t, whole)
	if whole.Text != streamed.Text {
		t.Errorf("whole %q, streamed %q", whole.Text, streamed.Text)
	}
	if whole.Version != 1 || whole.Request == "" || whole.Request == streamed.Request {
		t.Errorf("version %d, request %q", whole.Version, whole.Request)
	}
}

func TestRefusals(t *testing.T) {
	const path, body = "/v1/completions", `{"model":"casework","prompt":"x"}`
	for _, tc := range []struct {
		name   string
		client *medlarclient.Client
		method string
		path   string
		body   string
		want   medlarreason.Reason
	}{
		{"no key", medlarclient.New(""), "POST", path, body, medlarreason.Unauthenticated},
		{"wrong key", medlarclient.New("guess"), "POST", path, body, medlarreason.Unauthenticated},
		{"body is not JSON", nil, "POST", path, "{", medlarreason.Malformed},
		{"no prompt", nil, "POST", path, `{"model":"casework"}`, medlarreason.Malformed},
		{"no messages", nil, "POST", "/v1/chat/completions", body, medlarreason.Malformed},
		{"negative max_tokens", nil, "POST", path, `{"model":"casework","prompt":"x","max_tokens":-1}`, medlarreason.Malformed},
		{"unknown model", nil, "POST", path, `{"model":"other","prompt":"x"}`, medlarreason.Absent},
		{"unknown adapter", nil, "POST", path, `{"model":"casework/x","prompt":"x"}`, medlarreason.Absent},
		{"unknown path", nil, "GET", "/v2", "", medlarreason.Absent},
		{"wrong method", nil, "GET", path, "", medlarreason.Absent},
		{"unknown service", nil, "GET", "/services/x/", "", medlarreason.Absent},
		{"body too large", nil, "POST", path, strings.Repeat("x", 70<<10), medlarreason.Oversized},
		{"header too large", nil, "GET", "/" + strings.Repeat("x", 40<<10), "", medlarreason.Oversized},
		{"no idempotency key", nil, "POST", "/services/ledger/post", "x", medlarreason.Keyless},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := start(t, options{})
			client := h.client
			if tc.client != nil {
				client = tc.client
			}
			r, err := client.Send(medlarhttp.Request{Method: tc.method, Address: h.nodes[0].Address(), Path: tc.path, Body: []byte(tc.body)})
			if err != nil {
				t.Fatal(err)
			}
			assertRefused(t, r, tc.want, medlarreason.RanNo)
			h.assertCounted(tc.want)
			if n := len(h.stage.Runs()); n != 0 {
				t.Errorf("%d requests reached an upstream", n)
			}
		})
	}
}

// assertCounted checks that exactly one refusal was counted, for reason.
func (h *harness) assertCounted(reason medlarreason.Reason) {
	h.t.Helper()
	if got := h.nodes[0].Status().Refused; got[reason] != 1 || len(got) != 1 {
		h.t.Errorf("refusals counted %v, want one %q", got, reason)
	}
}

func TestForbiddenByPlan(t *testing.T) {
	h := start(t, options{})
	lists := *h.nodes[0].View().Lists
	plan := lists.Plans["standard"]
	plan.Models, plan.Services = nil, nil
	lists.Plans = map[medlarid.PlanID]medlarlist.Plan{"standard": plan}
	next, err := medlarlist.New().Apply(medlarlist.Diff(medlarlist.New(), &lists))
	if err != nil {
		t.Fatal(err)
	}
	h.awaitVersion(h.publish(next))
	assertRefused(t, h.complete(0, "x"), medlarreason.Forbidden, medlarreason.RanNo)
}

func (h *harness) awaitVersion(v medlarid.Offset) {
	h.t.Helper()
	for until := time.Now().Add(4 * time.Second); ; time.Sleep(time.Millisecond) {
		behind := 0
		for _, n := range h.nodes {
			if n.View().Version < v {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		if time.Now().After(until) {
			h.t.Fatalf("version %d not in force on %d instances after 4 s", v, behind)
		}
	}
}

func TestSlowRequestBody(t *testing.T) {
	h := start(t, options{node: func(s *medlarsettings.Settings) { s.Limits.ReadTimeout = medlarid.Duration(100 * time.Millisecond) }})
	c, err := net.Dial("tcp", string(h.nodes[0].Address()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = c.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx"))
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	got, _ := io.ReadAll(c)
	if !strings.Contains(string(got), `"reason":"slow"`) {
		t.Errorf("got %q", got)
	}
}

func TestEngineFaultsAreRetried(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults []medlarfault.Name
	}{
		{"stream cut", []medlarfault.Name{medlarfault.Break}},
		{"missing chunk", []medlarfault.Name{medlarfault.Skip}},
		{"chunks repeated and out of order", []medlarfault.Name{medlarfault.Repeat, medlarfault.Shuffle}},
		{"refused with 503", []medlarfault.Name{medlarfault.Down}},
		{"other weight version", []medlarfault.Name{medlarfault.Version}},
		{"connection closed without a response", []medlarfault.Name{medlarfault.Lost}},
		{"slow, then stream cut", []medlarfault.Name{medlarfault.Slow, medlarfault.Break}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := start(t, options{})
			want := h.complete(0, "the same prompt")
			for _, e := range h.stage.Engines[:2] { // the third attempt goes to the third engine, without faults
				for _, f := range tc.faults {
					h.injectFault(e.Server.Part, f, 1)
				}
			}
			got := h.complete(0, "the same prompt")
			assertWhole(t, got)
			if got.Text != want.Text {
				t.Errorf("got %q, want %q", got.Text, want.Text)
			}
		})
	}
}

func TestStreamResumesAfterEngineKill(t *testing.T) {
	h := start(t, options{engine: func(e *medlarfakeengine.Settings) { e.Decode = 200 * time.Millisecond }})
	want := h.complete(0, "prompt")
	done := make(chan medlarclient.Result)
	go func() { done <- h.complete(0, "prompt") }()
	time.Sleep(80 * time.Millisecond)
	killed := ""
	for _, e := range h.stage.Engines {
		if e.Load().Running > 0 {
			killed = e.Server.Part
		}
	}
	if err := h.stage.Kill(killed); err != nil {
		t.Fatal(err)
	}
	got := <-done
	assertWhole(t, got)
	if got.Text != want.Text {
		t.Errorf("got %q, want %q", got.Text, want.Text)
	}
}

func TestAllEnginesFailing(t *testing.T) {
	h := start(t, options{})
	for _, e := range h.stage.Engines {
		h.injectFault(e.Server.Part, medlarfault.Break, 0)
	}
	r := h.complete(0, "x")
	assertRefused(t, r, medlarreason.Failed, medlarreason.RanUnknown)
	if r.Complete {
		t.Error("a cut answer was reported as whole")
	}
	for _, e := range h.stage.Engines {
		_ = h.stage.Kill(e.Server.Part)
	}
	r = h.complete(0, "y")
	if r.Ran != medlarreason.RanNo || r.RetryAfter == 0 {
		t.Errorf("reason %q, ran %q, retry after %v", r.Reason, r.Ran, r.RetryAfter)
	}
}

func TestAccountsShareNoContext(t *testing.T) {
	h := start(t, options{stage: func(s *medlartestbed.Settings) { s.Engines = 1 }})
	text := medlartrial.RandomText(1, 1000)
	assertWhole(t, h.complete(0, text))
	again := h.complete(0, text)
	if again.Usage.Cached == 0 {
		t.Error("no cached tokens for the account's own prompt")
	}
	other, err := medlarclient.New(medlartestbed.OtherKey).Complete(h.nodes[0].Address(),
		medlarclient.Prompt{Model: "casework", Text: text, MaxTokens: answerTokens, Stream: true})
	if err != nil {
		t.Fatal(err)
	}
	assertWhole(t, other)
	if other.Usage.Cached != 0 {
		t.Errorf("%d cached tokens for another account's prompt", other.Usage.Cached)
	}
}

func TestCallerDisconnectCancelsRun(t *testing.T) {
	h := start(t, options{engine: func(e *medlarfakeengine.Settings) { e.Decode = 10 * time.Second }})
	c, err := net.Dial("tcp", string(h.nodes[0].Address()))
	if err != nil {
		t.Fatal(err)
	}
	body := `{"model":"casework","prompt":"x","max_tokens":100,"stream":true}`
	_, _ = io.WriteString(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+medlartestbed.Key+
		"\r\nContent-Length: 64\r\n\r\n"+body[:64])
	h.awaitOpen(1)
	_ = c.Close()
	h.awaitOpen(0)
	for _, e := range h.stage.Engines {
		if e.Load().Running != 0 {
			t.Error("the run continues after the caller disconnected")
		}
	}
}

// awaitOpen waits until the first instance has n open requests and the engines have
// n runs.
func (h *harness) awaitOpen(n int) {
	h.t.Helper()
	for until := time.Now().Add(3 * time.Second); h.nodes[0].Status().OpenRequests != n || h.running() != n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			h.t.Fatalf("%d requests open, %d running; want %d of each", h.nodes[0].Status().OpenRequests, h.running(), n)
		}
	}
}

func (h *harness) running() (n int) {
	for _, e := range h.stage.Engines {
		n += e.Load().Running
	}
	return n
}

func TestResumeKeepsWeightVersion(t *testing.T) {
	h := start(t, options{engine: func(e *medlarfakeengine.Settings) { e.Decode, e.LoadTime = 400*time.Millisecond, 0 }})
	want := h.complete(0, "prompt")
	done := make(chan medlarclient.Result)
	go func() { done <- h.complete(0, "prompt") }()
	h.awaitOpen(1)
	time.Sleep(100 * time.Millisecond) // the answer has begun under v1
	running := -1
	for i, e := range h.stage.Engines {
		if e.Load().Running > 0 {
			running = i
		}
	}
	other := (running + 1) % len(h.stage.Engines)
	for i, e := range h.stage.Engines {
		if i != running && i != other {
			h.load(e.Server.Address, "v2")
		}
	}
	h.publish(withVersion(t, h.nodes[0].View().Lists, "v2"))
	if err := h.stage.Kill(h.stage.Engines[running].Server.Part); err != nil {
		t.Fatal(err)
	}
	got := <-done
	assertWhole(t, got)
	if got.Text != want.Text {
		t.Errorf("got %q, want the whole answer under v1: %q", got.Text, want.Text)
	}
}

func TestStatusOmitsSecrets(t *testing.T) {
	h := start(t, options{})
	assertWhole(t, h.complete(0, "a secret prompt"))
	for _, path := range []string{"/metrics", "/status", "/readyz"} {
		a, err := medlarhttp.New(time.Second).Do(medlarhttp.Request{
			Method: "GET", Address: h.nodes[0].StatusAddress(), Path: path, Timeout: time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, secret := range []string{medlartestbed.Key, "parish", "secret"} {
			if strings.Contains(string(a.Body), secret) {
				t.Errorf("%s contains %q", path, secret)
			}
		}
	}
}

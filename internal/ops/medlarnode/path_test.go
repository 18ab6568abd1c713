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
	"medlarfield/internal/stand/medlarstage"
	"medlarfield/internal/stand/medlartrial"
	"medlarfield/internal/upstream/medlarhttp"
)

const answer = 20

// world is a stage with entry instances and a client.
type world struct {
	t      *testing.T
	stage  *medlarstage.Stage
	nodes  []*medlarstage.RunningNode
	client *medlarclient.Client
}

// change changes the settings of a world before it starts.
type change struct {
	nodes  int
	stage  func(*medlarstage.Settings)
	engine func(*medlarfakeengine.Settings)
	node   func(*medlarsettings.Settings)
}

func start(t *testing.T, c change) *world {
	t.Helper()
	cfg := medlarstage.Default()
	cfg.Engines, cfg.Speed, cfg.Lag = 3, 20, 0
	cfg.Engine = func(e *medlarfakeengine.Settings) {
		e.Lag = 10 * time.Millisecond
		if c.engine != nil {
			c.engine(e)
		}
	}
	if c.stage != nil {
		c.stage(&cfg)
	}
	stage, err := medlarstage.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stage.Close)
	w := &world{t: t, stage: stage, client: medlarclient.New(medlarstage.Key)}
	lists, err := medlarstage.Lists()
	if err != nil {
		t.Fatal(err)
	}
	w.publish(lists)
	for i := range max(c.nodes, 1) {
		settings := stage.NodeSettings(i)
		settings.Platform.Poll = medlarid.Duration(20 * time.Millisecond)
		settings.Platform.Timeout = medlarid.Duration(300 * time.Millisecond)
		settings.Routing.Quiet = medlarid.Duration(500 * time.Millisecond)
		settings.Limits.Body = 64 << 10
		if c.node != nil {
			c.node(&settings)
		}
		n, err := stage.StartNode(settings, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Stop(time.Second) })
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) publish(l *medlarlist.Lists) medlarid.Offset {
	w.t.Helper()
	v, err := w.stage.Publish(l)
	if err != nil {
		w.t.Fatal(err)
	}
	return v
}

func (w *world) arm(part string, name medlarfault.Name, count int) {
	w.t.Helper()
	if err := w.stage.Board.Arm(medlarfault.Fault{Part: part, Name: name, Count: count, Wait: "100ms"}); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { w.clear(part, name) })
}

func (w *world) clear(part string, name medlarfault.Name) {
	_ = w.stage.Board.Arm(medlarfault.Fault{Part: part, Name: name, Clear: true})
}

func (w *world) ask(node int, text string) medlarclient.Result {
	w.t.Helper()
	r, err := w.client.Complete(w.nodes[node].Address(), medlarclient.Prompt{Model: "casework", Text: text, Max: answer, Stream: true})
	if err != nil {
		w.t.Fatal(err)
	}
	return r
}

func assertWhole(t *testing.T, r medlarclient.Result) {
	t.Helper()
	if !r.Whole || len(strings.Fields(r.Text)) != answer {
		t.Fatalf("status %d, reason %q, %d words of %d, whole %v", r.Status, r.Reason, len(strings.Fields(r.Text)), answer, r.Whole)
	}
}

func assertRefused(t *testing.T, r medlarclient.Result, reason medlarreason.Reason, ran medlarreason.Ran) {
	t.Helper()
	if r.Reason != reason || r.Ran != ran {
		t.Fatalf("status %d, reason %q, ran %q; want %q, %q", r.Status, r.Reason, r.Ran, reason, ran)
	}
}

func TestStreamedAndUnstreamedAnswers(t *testing.T) {
	w := start(t, change{})
	streamed := w.ask(0, "Dear parish,")
	assertWhole(t, streamed)
	whole, err := w.client.Complete(w.nodes[0].Address(), medlarclient.Prompt{Model: "casework", Text: "Dear parish,", Max: answer})
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
		{"no JSON", nil, "POST", path, "{", medlarreason.Malformed},
		{"no prompt", nil, "POST", path, `{"model":"casework"}`, medlarreason.Malformed},
		{"no messages", nil, "POST", "/v1/chat/completions", body, medlarreason.Malformed},
		{"negative length", nil, "POST", path, `{"model":"casework","prompt":"x","max_tokens":-1}`, medlarreason.Malformed},
		{"unknown model", nil, "POST", path, `{"model":"other","prompt":"x"}`, medlarreason.Absent},
		{"unknown adapter", nil, "POST", path, `{"model":"casework/x","prompt":"x"}`, medlarreason.Absent},
		{"unknown path", nil, "GET", "/v2", "", medlarreason.Absent},
		{"wrong method", nil, "GET", path, "", medlarreason.Absent},
		{"unknown service", nil, "GET", "/services/x/", "", medlarreason.Absent},
		{"body too large", nil, "POST", path, strings.Repeat("x", 70<<10), medlarreason.Oversized},
		{"header too large", nil, "GET", "/" + strings.Repeat("x", 40<<10), "", medlarreason.Oversized},
		{"once without a key", nil, "POST", "/services/ledger/post", "x", medlarreason.Keyless},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := start(t, change{})
			client := w.client
			if tc.client != nil {
				client = tc.client
			}
			r, err := client.Send(medlarhttp.Call{Method: tc.method, Address: w.nodes[0].Address(), Path: tc.path, Body: []byte(tc.body)})
			if err != nil {
				t.Fatal(err)
			}
			assertRefused(t, r, tc.want, medlarreason.RanNo)
			w.assertCounted(tc.want)
			if n := len(w.stage.Runs()); n != 0 {
				t.Errorf("%d requests reached an upstream", n)
			}
		})
	}
}

// assertCounted checks that a refusal was counted once.
func (w *world) assertCounted(reason medlarreason.Reason) {
	w.t.Helper()
	if got := w.nodes[0].Status().Refused; got[reason] != 1 || len(got) != 1 {
		w.t.Errorf("counted %v, want one %q", got, reason)
	}
}

func TestForbiddenByPlan(t *testing.T) {
	w := start(t, change{})
	lists := *w.nodes[0].View().Lists
	plan := lists.Plans["standard"]
	plan.Models, plan.Services = nil, nil
	lists.Plans = map[medlarid.PlanID]medlarlist.Plan{"standard": plan}
	next, err := medlarlist.New().Apply(medlarlist.Diff(medlarlist.New(), &lists))
	if err != nil {
		t.Fatal(err)
	}
	w.awaitVersion(w.publish(next))
	assertRefused(t, w.ask(0, "x"), medlarreason.Forbidden, medlarreason.RanNo)
}

func (w *world) awaitVersion(v medlarid.Offset) {
	w.t.Helper()
	for until := time.Now().Add(4 * time.Second); ; time.Sleep(time.Millisecond) {
		behind := 0
		for _, n := range w.nodes {
			if n.View().Version < v {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		if time.Now().After(until) {
			w.t.Fatalf("version %d is not in force on %d instances after 4 s", v, behind)
		}
	}
}

func TestSlowRequestBody(t *testing.T) {
	w := start(t, change{node: func(s *medlarsettings.Settings) { s.Limits.Read = medlarid.Duration(100 * time.Millisecond) }})
	c, err := net.Dial("tcp", string(w.nodes[0].Address()))
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
		{"cut in the middle", []medlarfault.Name{medlarfault.Break}},
		{"a part missing", []medlarfault.Name{medlarfault.Skip}},
		{"parts twice and out of order", []medlarfault.Name{medlarfault.Repeat, medlarfault.Shuffle}},
		{"refuses for lack of room", []medlarfault.Name{medlarfault.Down}},
		{"another weight version", []medlarfault.Name{medlarfault.Version}},
		{"closes without an answer", []medlarfault.Name{medlarfault.Lost}},
		{"slow, then cut", []medlarfault.Name{medlarfault.Slow, medlarfault.Break}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := start(t, change{})
			want := w.ask(0, "the same prompt")
			for _, e := range w.stage.Engines[:2] { // the third attempt finds the third engine
				for _, f := range tc.faults {
					w.arm(e.Host.Part, f, 1)
				}
			}
			got := w.ask(0, "the same prompt")
			assertWhole(t, got)
			if got.Text != want.Text {
				t.Errorf("got %q, want %q", got.Text, want.Text)
			}
		})
	}
}

func TestStreamResumesAfterEngineKill(t *testing.T) {
	w := start(t, change{engine: func(e *medlarfakeengine.Settings) { e.Decode = 200 * time.Millisecond }})
	want := w.ask(0, "prompt")
	done := make(chan medlarclient.Result)
	go func() { done <- w.ask(0, "prompt") }()
	time.Sleep(80 * time.Millisecond)
	killed := ""
	for _, e := range w.stage.Engines {
		if e.Load().Running > 0 {
			killed = e.Host.Part
		}
	}
	if err := w.stage.Kill(killed); err != nil {
		t.Fatal(err)
	}
	got := <-done
	assertWhole(t, got)
	if got.Text != want.Text {
		t.Errorf("got %q, want %q", got.Text, want.Text)
	}
}

func TestAllEnginesFailing(t *testing.T) {
	w := start(t, change{})
	for _, e := range w.stage.Engines {
		w.arm(e.Host.Part, medlarfault.Break, 0)
	}
	r := w.ask(0, "x")
	assertRefused(t, r, medlarreason.Failed, medlarreason.RanUnknown)
	if r.Whole {
		t.Error("a cut answer was called whole")
	}
	for _, e := range w.stage.Engines {
		_ = w.stage.Kill(e.Host.Part)
	}
	r = w.ask(0, "y")
	if r.Ran != medlarreason.RanNo || r.After == 0 {
		t.Errorf("reason %q, ran %q, come back after %v", r.Reason, r.Ran, r.After)
	}
}

func TestAccountsShareNoContext(t *testing.T) {
	w := start(t, change{stage: func(s *medlarstage.Settings) { s.Engines = 1 }})
	text := medlartrial.Dossier(1, 1000)
	assertWhole(t, w.ask(0, text))
	again := w.ask(0, text)
	if again.Usage.Cached == 0 {
		t.Error("the same account does not find its own context")
	}
	other, err := medlarclient.New(medlarstage.OtherKey).Complete(w.nodes[0].Address(),
		medlarclient.Prompt{Model: "casework", Text: text, Max: answer, Stream: true})
	if err != nil {
		t.Fatal(err)
	}
	assertWhole(t, other)
	if other.Usage.Cached != 0 {
		t.Errorf("another account found %d tokens of context", other.Usage.Cached)
	}
}

func TestCallerDisconnectCancelsRun(t *testing.T) {
	w := start(t, change{engine: func(e *medlarfakeengine.Settings) { e.Decode = 10 * time.Second }})
	c, err := net.Dial("tcp", string(w.nodes[0].Address()))
	if err != nil {
		t.Fatal(err)
	}
	body := `{"model":"casework","prompt":"x","max_tokens":100,"stream":true}`
	_, _ = io.WriteString(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+medlarstage.Key+
		"\r\nContent-Length: 64\r\n\r\n"+body[:64])
	w.awaitOpen(1)
	_ = c.Close()
	w.awaitOpen(0)
	for _, e := range w.stage.Engines {
		if e.Load().Running != 0 {
			t.Error("the run goes on though its caller left")
		}
	}
}

// awaitOpen waits until the instance has n open requests.
func (w *world) awaitOpen(n int) {
	w.t.Helper()
	for until := time.Now().Add(3 * time.Second); w.nodes[0].Status().OpenRequests != n || w.running() != n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			w.t.Fatalf("%d requests are open, %d run; want %d", w.nodes[0].Status().OpenRequests, w.running(), n)
		}
	}
}

func (w *world) running() (n int) {
	for _, e := range w.stage.Engines {
		n += e.Load().Running
	}
	return n
}

func TestResumeKeepsWeightVersion(t *testing.T) {
	w := start(t, change{engine: func(e *medlarfakeengine.Settings) { e.Decode, e.LoadTime = 400*time.Millisecond, 0 }})
	want := w.ask(0, "prompt")
	done := make(chan medlarclient.Result)
	go func() { done <- w.ask(0, "prompt") }()
	w.awaitOpen(1)
	time.Sleep(100 * time.Millisecond) // the answer has begun under v1
	running := -1
	for i, e := range w.stage.Engines {
		if e.Load().Running > 0 {
			running = i
		}
	}
	other := (running + 1) % len(w.stage.Engines)
	for i, e := range w.stage.Engines {
		if i != running && i != other {
			w.load(e.Host.Address, "v2")
		}
	}
	w.publish(withVersion(t, w.nodes[0].View().Lists, "v2"))
	if err := w.stage.Kill(w.stage.Engines[running].Host.Part); err != nil {
		t.Fatal(err)
	}
	got := <-done
	assertWhole(t, got)
	if got.Text != want.Text {
		t.Errorf("got %q, want all of it under v1: %q", got.Text, want.Text)
	}
}

func TestStatusOmitsSecrets(t *testing.T) {
	w := start(t, change{})
	assertWhole(t, w.ask(0, "a secret prompt"))
	for _, path := range []string{"/metrics", "/status", "/readyz"} {
		a, err := medlarhttp.New(time.Second).Do(medlarhttp.Call{
			Method: "GET", Address: w.nodes[0].StatusAddress(), Path: path, Timeout: time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, secret := range []string{medlarstage.Key, "parish", "secret"} {
			if strings.Contains(string(a.Body), secret) {
				t.Errorf("%s holds %q", path, secret)
			}
		}
	}
}

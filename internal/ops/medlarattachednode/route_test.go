package medlarattachednode_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-json-experiment/json"

	"medlarfield/internal/core/medlarverdict"
	"medlarfield/internal/ops/medlarctlcmd"
	"medlarfield/internal/ops/medlarreport"
	"medlarfield/internal/stand/medlarsite"
)

// askRoute runs medlarctl route against an instance.
func (w *fixture) askRoute(args ...string) (string, error) {
	var b bytes.Buffer
	cmd := medlarctlcmd.New()
	cmd.SetOut(&b)
	cmd.SetErr(&b)
	cmd.SetArgs(append([]string{"route", string(w.instance.StatusAddress())}, args...))
	err := cmd.Execute()
	return b.String(), err
}

// TestRouteCommand guards against an answer of medlarctl route that differs from where the request goes, or that sends it.
func TestRouteCommand(t *testing.T) {
	w := start(t, func(s *medlarsite.Settings) { s.Engines, s.Plain = 1, 2 })
	args := []string{
		"--host", medlarsite.Host, "--path", "/letter/x", "--key", medlarsite.Key, "--model", medlarsite.Model, "--tokens", "1000,50", "--prefix", "aa:100,bb:400,cc:500", "--json",
	}
	text, err := w.askRoute(args...)
	var v medlarreport.RouteVerdict
	if err != nil || json.Unmarshal([]byte(text), &v) != nil {
		t.Fatalf("got %q, %v", text, err)
	}
	if v.Outcome != medlarverdict.Sent || v.Replica != "engine-1" || v.Route != "letter" || v.Account != medlarsite.Account || v.Version == 0 || len(v.Needed) != 2 {
		t.Errorf("got %+v; want engine-1 of the route letter, and two parts that no store has", v)
	}
	if runs := len(w.site.Engines[0].Runs()); runs != 0 || strings.Contains(w.logs.text(), `"event":"request"`) {
		t.Errorf("%d requests ran, logs %s", runs, w.logs.text())
	}
	got := w.send(request{method: "POST", path: "/letter/x", id: "r", body: "{}", fields: prompt("aa:100,bb:400,cc:500")})
	if ran := w.ran("r"); got.status != 200 || len(ran) != 1 || ran[0].Replica != string(v.Replica) {
		t.Errorf("status %d, runs %+v; want one at %s", got.status, ran, v.Replica)
	}
	w.site.Plain[0].Leave()
	w.eventually("a replica is excluded", func() bool {
		text, err := w.askRoute("--host", medlarsite.Host, "--path", "/read/a", "--account", medlarsite.Account)
		return err == nil && strings.Contains(text, "sent to ledger-2") && strings.Contains(text, "leaving")
	})
}

// TestRouteCommandRejects guards against bad input that passes for a verdict.
func TestRouteCommandRejects(t *testing.T) {
	w := start(t, func(s *medlarsite.Settings) { s.Engines, s.Plain = 1, 1 })
	host, key := []string{"--host", medlarsite.Host, "--path", "/read/a"}, []string{"--key", medlarsite.Key}
	for _, tc := range []struct {
		name, want string
		args       []string
	}{
		{"no host", "host", []string{"--path", "/read/a"}},
		{"no path", "path", []string{"--host", medlarsite.Host}},
		{"path without a route", "no route", append([]string{"--host", medlarsite.Host, "--path", "/none/"}, key...)},
		{"host without a route", "no route", append([]string{"--host", "other", "--path", "/read/a"}, key...)},
		{"path without a slash", "must begin with /", append([]string{"--host", medlarsite.Host, "--path", "read/a"}, key...)},
		{"unknown account", "unknown account", append([]string{"--account", "nobody"}, host...)},
		{"unknown key", "belongs to no account", append([]string{"--key", "guess"}, host...)},
		{"no account", "needs an account", host},
		{"account and key", "none of the others can be", append([]string{"--account", medlarsite.Account}, append(host, key...)...)},
		{"malformed prefix", "malformed prefix", append([]string{"--model", medlarsite.Model, "--prefix", "aa"}, append(host, key...)...)},
		{"malformed tokens", "malformed tokens", append([]string{"--model", medlarsite.Model, "--tokens", "1000,many"}, append(host, key...)...)},
		{"unknown model", "unknown model", append([]string{"--model", "other"}, append(host, key...)...)},
		{"prefix without a model", "without a model", append([]string{"--prefix", "aa:1"}, append(host, key...)...)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text, err := w.askRoute(tc.args...)
			if err == nil || !strings.Contains(err.Error(), tc.want) || medlarctlcmd.ExitCode(err) != medlarctlcmd.ExitUsage {
				t.Errorf("printed %q, error %v, exit code %d; want an error with %q", text, err, medlarctlcmd.ExitCode(err), tc.want)
			}
		})
	}
	w.stop()
	if _, err := w.askRoute(append(host, key...)...); medlarctlcmd.ExitCode(err) != medlarctlcmd.ExitUnavailable {
		t.Errorf("error %v of an instance that has ended, want exit code %d", err, medlarctlcmd.ExitUnavailable)
	}
}

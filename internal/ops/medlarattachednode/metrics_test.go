package medlarattachednode_test

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"medlarfield/internal/stand/medlarfakereplica"
)

// metrics returns the metrics that the instance serves on its status address.
func (w *fixture) metrics() string {
	_, body, err := fasthttp.Get(nil, "http://"+string(w.instance.StatusAddress())+"/metrics")
	if err != nil {
		w.t.Errorf("metrics: %v", err)
	}
	return string(body)
}

func TestMetrics(t *testing.T) {
	w := start(t, nil)
	assertResult(t, w.send(request{method: "POST", path: "/post/a", id: "r1"}), 200, "answer to r1")
	assertResult(t, w.send(request{path: "/post/a", id: "r2", key: "unknown"}), 401, "")
	for _, want := range []string{
		`medlar_stage_seconds_count{kind="once",stage="wait"} 1`,
		`medlar_stage_seconds_count{kind="once",stage="connect"} 1`,
		`medlar_stage_seconds_count{kind="once",stage="first"} 1`,
		`medlar_stage_seconds_count{kind="once",stage="gap"} 1`,
		`medlar_stage_seconds_count{kind="once",stage="total"} 1`,
		`medlar_load_age_seconds -1`,
		`medlar_load_datagrams_total{direction="sent"} 0`,
		`medlar_refusals_total{reason="unauthenticated"} 1`,
		`medlar_age_seconds{part="keyed.op"} 0`,
		`medlar_version 1`,
		`medlar_connects_total{result="opened"} 1`,
	} {
		w.eventually("the metrics contain "+want, func() bool { return strings.Contains(w.metrics(), want) })
	}
}

// TestEndOfResponseIsRecorded asserts that the log and the metrics tell how the end of a
// replica's response was determined and whether an event was incomplete there.
func TestEndOfResponseIsRecorded(t *testing.T) {
	const partial = `,"partial":32` // an event of the fake replica without its empty line
	for _, tc := range []struct {
		fault       medlarfakereplica.Fault
		path        string
		log, metric string
	}{
		{"", "/query/x", `"framing":"chunked"`, `{end="complete",framing="chunked"} 1`},
		{medlarfakereplica.FaultUnframed, "/query/x", `"framing":"close"`, `{end="complete",framing="close"} 1`},
		{medlarfakereplica.FaultClosed, "/query/x", `"framing":"close"` + partial, `{end="partial",framing="close"} 1`},
		{medlarfakereplica.FaultShort, "/query/x", `"framing":"chunked"` + partial, `{end="partial",framing="chunked"} 1`},
		{medlarfakereplica.FaultReset, "/query/x", `"framing":"close"`, `{end="broken",framing="close"} 1`},
		{medlarfakereplica.FaultCut, "/post/a", `"framing":"length"`, `{end="broken",framing="length"} 1`},
	} {
		t.Run(string(tc.fault)+tc.path, func(t *testing.T) {
			w := start(t, nil)
			arm(w.site.Replicas(), tc.fault)
			w.send(request{method: "POST", path: tc.path, id: "r1", body: "{}", fields: prompt("aa:100,cc:500")})
			w.eventually("the log has "+tc.log, func() bool { return strings.Contains(w.logs.text(), tc.log) })
			want := "medlar_responses_total" + tc.metric
			w.eventually("the metrics contain "+want, func() bool { return strings.Contains(w.metrics(), want) })
		})
	}
}

package medlarattachednode_test

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
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
		`medlar_refusals_total{reason="unauthenticated"} 1`,
		`medlar_age_seconds{part="keyed.op"} 0`,
		`medlar_version 1`,
	} {
		w.eventually("the metrics contain "+want, func() bool { return strings.Contains(w.metrics(), want) })
	}
}

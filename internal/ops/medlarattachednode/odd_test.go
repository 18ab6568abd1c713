package medlarattachednode_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarsite"
)

// oddEntries are what another writer may leave among the entries of replicas.
var oddEntries = map[string]string{
	"deep":           strings.Repeat("[", 100000) + strings.Repeat("]", 100000),
	"huge number":    `{"Service":"ledger","Address":"127.0.0.1:1","MaxBatchSize":1e400,"Phase":"ready","born":1}`,
	"port too high":  `{"Service":"ledger","Address":"127.0.0.1:99999","MaxBatchSize":4,"Phase":"ready","born":1}`,
	"port by name":   `{"Service":"ledger","Address":"127.0.0.1:http","MaxBatchSize":4,"Phase":"ready","born":1}`,
	"most slots":     `{"Service":"ledger","Address":"127.0.0.1:1","MaxBatchSize":9223372036854775807,"Phase":"ready","born":1}`,
	"bytes, no text": "\xff\x00\xfe",
}

// startAmong starts an instance at a site to whose entries put has added others.
func startAmong(t *testing.T, change func(*medlarsite.Settings), put func(*medlarsite.Site)) *fixture {
	t.Helper()
	cfg := medlarsite.Default()
	change(&cfg)
	site, err := medlarsite.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	put(site)
	w := attach(t, site, "entry-1", medlarfaketopic.FaultNone)
	w.eventually("the instance is ready", w.instance.Ready)
	return w
}

// TestOddEntriesBetweenGoodOnes guards against a reader of the entries that ends or stops at one that another writer left.
func TestOddEntriesBetweenGoodOnes(t *testing.T) {
	for name, value := range oddEntries {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			put := func(site *medlarsite.Site) {
				for _, id := range []string{"!first", "engine-1x", "~last", "line\r\nX: y"} {
					site.Store.Put("keyed.servers", id, []byte(value))
				}
			}
			w := startAmong(t, func(*medlarsite.Settings) {}, put)
			put(w.site)
			put(w.site)
			for i := range 20 {
				assertResult(t, w.send(request{path: "/read/a", id: fmt.Sprint("r", i)}), 200, "")
			}
			want := `medlar_malformed_total{source="replicas"} 12`
			w.eventually("the metrics contain "+want, func() bool { return strings.Contains(w.metrics(), want) })
			if n := strings.Count(w.logs.text(), "replica entry cannot be decoded"); n != 4 {
				t.Errorf("%d lines tell of odd entries, want one of each of 4", n)
			}
		})
	}
}

// TestGoodEntryAfterOddOneIsUsed guards against an id that stays out after an odd entry, alone in the first page or between good ones.
func TestGoodEntryAfterOddOneIsUsed(t *testing.T) {
	for name, value := range oddEntries {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			put := func(site *medlarsite.Site) { site.Store.Put("keyed.servers", "ledger-1", []byte(value)) }
			w := startAmong(t, func(s *medlarsite.Settings) { s.Plain, s.Engines, s.HeartbeatInterval = 1, 0, 700*time.Millisecond }, put)
			n := 0
			served := func() bool {
				n++
				return w.send(request{path: "/read/a", id: fmt.Sprint("r", n)}).status == 200
			}
			if served() {
				t.Error("the replica is used although its only entry is odd")
			}
			w.eventually("the replica is used after its good entry", served)
			put(w.site)
			w.eventually("the replica is out after its odd entry", func() bool { return strings.Contains(w.logs.text(), "replica removed: entry cannot be decoded") })
			w.eventually("the replica is used again", served)
		})
	}
}

// TestUnknownModelsAreNotCounted guards against the end of the process by a model that is not UTF-8, and against a metric for each name that callers think of.
func TestUnknownModelsAreNotCounted(t *testing.T) {
	w := start(t, nil)
	for i, model := range []string{"\xff\xfe", "unknown", medlarsite.Model} {
		id := "r" + string(rune('0'+i))
		assertResult(t, w.send(request{path: "/read/a", id: id, fields: "Medlarfield-Model: " + model + "\r\n"}), 200, "answer to "+id)
	}
	for _, want := range []string{`medlar_first_token_seconds_count{model=""} 2`, `medlar_first_token_seconds_count{model="` + medlarsite.Model + `"} 1`} {
		w.eventually("the metrics contain "+want, func() bool { return strings.Contains(w.metrics(), want) })
	}
}

// TestHugePromptsEndNothing guards against token counts of callers whose sums leave the range of their type.
func TestHugePromptsEndNothing(t *testing.T) {
	const most = "9223372036854775807"
	w := start(t, nil)
	for i, fields := range []string{
		"Medlarfield-Model: " + medlarsite.Model + "\r\nMedlarfield-Token-Usage: " + most + ",50\r\nMedlarfield-Prompt-Prefix: aa:" + most + ",bb:" + most + "\r\n",
		"Medlarfield-Model: " + medlarsite.Model + "\r\nMedlarfield-Token-Usage: 1,1\r\nMedlarfield-Prompt-Prefix: aa:" + most + ",bb:1,\xff:5\r\n",
		"Medlarfield-Token-Usage: " + most + ",50\r\n",
	} {
		got := w.send(request{method: "POST", path: "/letter/x", id: fmt.Sprint("h", i), body: "{}", fields: fields})
		if got.status != 200 && got.status != 503 {
			t.Errorf("request %d: status %d, want 200 or 503", i, got.status)
		}
	}
	for i := range 5 {
		assertResult(t, w.send(request{method: "POST", path: "/letter/x", id: fmt.Sprint("r", i), body: "{}", fields: prompt("aa:100,cc:500")}), 200, "")
	}
}

package medlarattachednode_test

import (
	"strings"
	"testing"

	"medlarfield/internal/stand/medlarsite"
)

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

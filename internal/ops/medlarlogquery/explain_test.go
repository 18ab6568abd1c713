package medlarlogquery

import (
	"strings"
	"testing"
)

func assertExplained(t *testing.T, log, id string, want ...string) {
	t.Helper()
	lines, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := Explain(&b, lines, id); err != nil {
		t.Fatal(err)
	}
	for _, w := range want {
		if !strings.Contains(b.String(), w) {
			t.Errorf("got %q, want %q in it", b.String(), w)
		}
	}
}

// TestExplainNamesBuilds guards against a stream that was not resumed and whose cause cannot be found.
func TestExplainNamesBuilds(t *testing.T) {
	assertExplained(t, `{"time":"2026-05-01T15:41:04Z","instance":"entry-1","event":"builds","service":"s","serial":3,"from":"v1:64","to":"v1:32 v2:32","message":"streams are assigned to software versions"}
{"time":"2026-05-01T15:41:04Z","instance":"entry-1","event":"builds","service":"other","serial":9,"from":"v1:64","to":"v7:64","message":"streams are assigned to software versions"}
{"time":"2026-05-01T15:41:05Z","instance":"entry-1","event":"attempt","id":"a4","attempt":1,"replica":"r-2","build":"v2","cause":"retry","reason":"truncated","reached":true,"took":80}
{"time":"2026-05-01T15:41:05Z","instance":"entry-1","event":"request","id":"a4","account":"acme","route":"r","service":"s","config":27,"status":503,"whole":true,"attempts":1,"replica":"r-2","build":"v2","last":"7","resumes":"a1","reason":"unresumable","ran":"no"}`, "a4",
		"service s, assignment 3: streams are assigned to software versions (v1:64 to v1:32 v2:32)",
		"attempt 1 at r-2 (software v2) ended",
		"resumes the stream of a1 after event 7",
		"the software version that began the stream is not known here")
}

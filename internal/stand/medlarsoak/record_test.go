package medlarsoak

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestDeniedRunIsTakenBack guards against a product that is blamed for believing a replica that says that it did not run
// a request.
func TestDeniedRunIsTakenBack(t *testing.T) {
	dir := t.TempDir()
	runs := `{"id":"a","replica":"one"}
{"id":"a","replica":"one","ran":true}
{"id":"a","replica":"two","ran":true}
{"id":"a","replica":"one","denied":true}
{"id":"b","replica":"one","denied":true}
`
	for file, text := range map[string]string{FileRuns: runs, FileCalls: "", FileProcesses: ""} {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	want := Records{Arrivals: []Run{{ID: "a", Replica: "one"}}, Runs: []Run{{ID: "a", Replica: "two", Ran: true}}}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("records:\n%s", d)
	}
}

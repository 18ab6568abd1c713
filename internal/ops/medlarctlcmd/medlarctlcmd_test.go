package medlarctlcmd

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarjson"
)

// output runs a command and returns its output.
func output(t *testing.T, args ...string) string {
	t.Helper()
	var b bytes.Buffer
	cmd := New()
	cmd.SetOut(&b)
	cmd.SetArgs(args)
	if err := cmd.Execute(); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestReasonsPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "operate", "reasons.md"))
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != output(t, "reasons") {
		t.Error("docs/operate/reasons.md differs from the output of medlarctl reasons")
	}
}

func TestExitCodes(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
		want int
	}{
		{"success", nil, ExitOK},
		{"invalid file", &medlarjson.Error{Err: eris.New("x")}, ExitInvalid},
		{"rejected", &Error{Kind: KindRejected, Err: eris.New("x")}, ExitRejected},
		{"unknown", &Error{Kind: KindUnknown, Err: eris.New("x")}, ExitUnknown},
		{"wrapped unavailable", eris.Wrap(&Error{Kind: KindUnavailable, Err: eris.New("x")}, "y"), ExitUnavailable},
		{"lagging", &Error{Kind: KindLagging, Err: eris.New("x")}, ExitLagging},
		{"other error", eris.New("x"), ExitUsage},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := ExitCode(tc.err); got != tc.want {
				t.Errorf("exit code %d, want %d", got, tc.want)
			}
		})
	}
}

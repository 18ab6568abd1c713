package medlarsettings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const attachedTemplate = `// comment
{
  "name": "entry-1", "zone": "a",
  "listen": "127.0.0.1:1", "status": "127.0.0.1:2", "store": "127.0.0.1:3",
  %s
}`

func readAttached(t *testing.T, extra string) (Attached, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(strings.Replace(attachedTemplate, "%s", extra, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return ReadAttached(file)
}

// TestAttachedDefaults asserts that values which the settings file omits have their defaults.
func TestAttachedDefaults(t *testing.T) {
	s, err := readAttached(t, `"bounds": {"grace": "9s",},`)
	if err != nil {
		t.Fatal(err)
	}
	want := DefaultAttached().Bounds
	want.GracePeriod = seconds(9)
	if s.Bounds != want || s.MemoryMB != DefaultAttached().MemoryMB {
		t.Errorf("bounds %+v, want %+v; memory %d MB, want %d MB", s.Bounds, want, s.MemoryMB, DefaultAttached().MemoryMB)
	}
}

func TestAttachedErrorsGivePosition(t *testing.T) {
	for _, tc := range []struct{ extra, want string }{
		{`"memory": "much"`, `settings.json:5:13: field "memory"`},
		{`"memory": 1`, "settings.json:5:13: field \"memory\": want 32 to 1048576 MB"},
		{`"bounds": {"settle": "ms"}`, `field "settle"`},
		{`"bounds": {"retries": 2}`, `want 0 to 1 attempts`},
		{`"bounds": {"coldover": -1}`, `want 0 to 1000`},
		{`"bounds": {"coldslack": -1}`, `want 0 to 1000000 requests`},
		{`"pace": 1`, `field "pace"`},
		{`"odd": 1`, `unknown field "odd"`},
	} {
		t.Run(tc.extra, func(t *testing.T) {
			_, err := readAttached(t, tc.extra)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v, want %q", err, tc.want)
			}
		})
	}
}

// TestTemplateWithoutBounds fills in the template of the deployment without any of the
// optional values; the result must be valid and use the defaults.
func TestTemplateWithoutBounds(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, line := range strings.Split(string(text), "\n") {
		if !strings.Contains(line, "{{#") {
			lines = append(lines, line)
		}
	}
	filled := strings.NewReplacer("{{NodeName}}", "entry-1", "{{Zone}}", "a", "{{Listen.Front}}", "10.0.0.1:1",
		"{{Listen.Ready}}", "10.0.0.1:2", "{{Ip}}", "10.0.0.1", "{{PortRange.0}}", "", "{{Platform.Address}}", "10.0.0.1:3").Replace(strings.Join(lines, "\n"))
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(filled), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err := ReadAttached(file); err != nil || s.Bounds.HandoverDelay.Std() != 3*time.Second {
		t.Errorf("bounds %+v, error %v", s.Bounds, err)
	}
}

// TestColdBounds guards against bounds on requests at cold replicas that a deployment sets and the instance does not use,
// or that hold where it sets none.
func TestColdBounds(t *testing.T) {
	for _, tc := range []struct {
		name, extra string
		over, slack float64
	}{
		{"none", `"memory": 256`, 0, 0},
		{"both", `"bounds": {"coldover": 1.5, "coldslack": 5}`, 1.5, 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, err := readAttached(t, tc.extra)
			if err != nil || s.Bounds.ColdOver != tc.over || s.Bounds.ColdSlack != tc.slack {
				t.Errorf("bounds %+v, error %v; want %g and %g", s.Bounds, err, tc.over, tc.slack)
			}
		})
	}
}

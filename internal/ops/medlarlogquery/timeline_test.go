package medlarlogquery

import (
	"errors"
	"strings"
	"testing"
)

const timelineLog = testLog + `
{"time":"2026-05-01T15:41:04.1Z","instance":"entry-1","event":"request","id":"a3","status":503,"whole":true,"reason":"deadline","ran":"no"}
{"time":"2026-05-01T15:41:04.2Z","instance":"entry-1","event":"request","id":"a4","status":200,"whole":true}
{"time":"2026-05-01T15:41:04.3Z","instance":"entry-1","event":"request","id":"a5","status":0}
{"time":"2026-05-01T15:41:05Z","instance":"entry-1","event":"stock","store":"s-1","message":"store does not answer","error":"timeout"}
`

func TestTimeline(t *testing.T) {
	for _, tc := range []struct {
		name string
		want []string
	}{
		{"entry-1", []string{
			"configuration 27 in force", "r-2 is ejected", "r-9 is ejected", "r-2 asked for no requests for 1500 ms", "r-2 said that it leaves",
			"request a1: attempt 1 at r-2",
			`15:41:03.000 entry-1          in this second 0 answered, 1 refused as "failed"`,
			`15:41:04.000 entry-1          in this second 1 answered, 1 failed or incomplete, 1 ended without a response, 1 refused as "deadline"`,
			"store s-1: store does not answer timeout",
		}},
		{"r-2", []string{
			"entry-1          r-2 is ejected", "r-2 asked for no requests for 1500 ms", "r-2 said that it leaves", "entry-2          r-2 is ejected", "request a1: attempt 1",
			`entry-1          in this second 0 answered, 1 refused as "failed"`,
		}},
		{"s-1", []string{"store s-1"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lines, err := Read(strings.NewReader(timelineLog))
			if err != nil {
				t.Fatal(err)
			}
			var b strings.Builder
			if err := Timeline(&b, lines, tc.name); err != nil {
				t.Fatal(err)
			}
			got := strings.Split(strings.TrimSpace(b.String()), "\n")
			if len(got) != len(tc.want) {
				t.Fatalf("%d lines, want %d:\n%s", len(got), len(tc.want), b.String())
			}
			for i, w := range tc.want {
				if !strings.Contains(got[i], w) {
					t.Errorf("line %d: %q, want %q", i, got[i], w)
				}
			}
		})
	}
}

func TestTimelineUnknownName(t *testing.T) {
	var e *Error
	if err := Timeline(&strings.Builder{}, nil, "entry-7"); !errors.As(err, &e) || e.Kind != KindNotFound {
		t.Errorf("got %v, want kind %s", err, KindNotFound)
	}
}

package medlarlogquery

import (
	"errors"
	"strings"
	"testing"
)

const testLog = `built in 0.1 s
{"time":"2026-05-01T15:41:00Z","instance":"entry-1","event":"catalog","version":27,"message":"configuration in force"}
{"time":"2026-05-01T15:41:02Z","instance":"entry-1","event":"ejection","replica":"r-2","back":false}
{"time":"2026-05-01T15:41:02Z","instance":"entry-1","event":"ejection","replica":"r-9","back":false}
{"time":"2026-05-01T15:41:02Z","instance":"entry-1","event":"avoid","replica":"r-2","leaving":false,"after":1500}
{"time":"2026-05-01T15:41:02Z","instance":"entry-1","event":"avoid","replica":"r-2","leaving":true}
{"time":"2026-05-01T15:41:02Z","instance":"entry-2","event":"ejection","replica":"r-2","back":false}
12.1 entry-1 {"time":"2026-05-01T15:41:03Z","instance":"entry-1","event":"attempt","id":"a1","attempt":1,"replica":"r-2","cause":"retry","reason":"timeout","reached":true,"took":400.5,"framing":"close","partial":37,"why":{"choices":3,"pending":10,"window":20,"all":30,"bound":64000,"lag":5},"error":"i/o timeout"}
{"time":"2026-05-01T15:41:03Z","instance":"entry-1","event":"request","id":"a1","account":"acme","route":"r","service":"s","config":27,"status":504,"whole":true,"attempts":1,"replica":"r-2","waited":0.1,"first":401,"took":401,"parts":"wfo","reason":"failed","ran":"unknown","waiting":2,"kin":3}
{"time":"2026-05-01T15:41:04Z","instance":"entry-1","event":"request","id":"a2","status":200}
{"broken
`

func TestExplainNamesPartsOfLostAttempt(t *testing.T) {
	const log = `{"time":"2026-05-01T15:41:05Z","instance":"entry-1","event":"attempt","id":"a3","attempt":1,"replica":"r-2","cause":"unknown","reason":"truncated","reached":true,"status":200,"took":80,"framing":"chunked","lost":true,"began":0,"prompt":["aa","bb"],"error":"EOF"}`
	lines, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := Explain(&b, lines, "a3"); err != nil {
		t.Fatal(err)
	}
	if want := "the replica ended the connection before the first event, prompt parts aa bb; EOF"; !strings.Contains(b.String(), want) {
		t.Errorf("got %q, want %q in it", b.String(), want)
	}
}

func TestExplain(t *testing.T) {
	lines, err := Read(strings.NewReader(testLog))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := Explain(&b, lines, "a1"); err != nil {
		t.Fatal(err)
	}
	got := strings.Split(strings.TrimSpace(b.String()), "\n")
	want := []string{
		"configuration 27 in force",
		"r-2 is ejected",
		"r-2 asked for no requests for 1500 ms",
		"r-2 said that it leaves; it gets no new work",
		"attempt 1 at r-2 ended after 400 ms: the upstream did not answer in time; it may have run there; chosen from 3 replicas, 10 tokens pending there (limit 20), 30 at all replicas (limit 64000), 5 ms late; framing of the replica's response: close, ended within an event after 37 bytes of it; i/o timeout",
		`request of account "acme" on route "r" to service "s" under configuration 27: answered 504 after 401 ms, first byte at 401 ms, 1 attempts, the last at r-2`,
	}
	if len(got) != len(want) {
		t.Fatalf("%d lines, want %d:\n%s", len(got), len(want), b.String())
	}
	for i, w := range want {
		if !strings.Contains(got[i], w) {
			t.Errorf("line %d: %q, want %q", i, got[i], w)
		}
	}
}

func TestExplainUnknownID(t *testing.T) {
	var e *Error
	if err := Explain(&strings.Builder{}, nil, "a1"); !errors.As(err, &e) || e.Kind != KindNotFound {
		t.Errorf("got %v, want kind %s", err, KindNotFound)
	}
}

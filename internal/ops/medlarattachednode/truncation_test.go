package medlarattachednode_test

import (
	"fmt"
	"strings"
	"testing"

	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarsite"
)

// streamFaults are the ways in which a replica's stream ends before its last event.
var streamFaults = []medlarfakereplica.Fault{
	medlarfakereplica.FaultCut, medlarfakereplica.FaultClosed, medlarfakereplica.FaultReset,
	medlarfakereplica.FaultShort, medlarfakereplica.FaultEmpty,
}

// TestStreamEndingWithinEventIsNotComplete guards against a proper end for a stream whose
// replica stopped within an event, or before the first one.
func TestStreamEndingWithinEventIsNotComplete(t *testing.T) {
	for _, fault := range streamFaults {
		t.Run(string(fault), func(t *testing.T) {
			w := start(t, nil)
			arm(w.site.Engines, fault)
			got := w.send(request{method: "POST", path: "/query/x", id: "r", body: "{}", fields: prompt("aa:100,cc:500")})
			assertBrokenOff(t, got)
			if runs := w.ran("r"); len(runs) != 1 {
				t.Errorf("ran %d times, want once", len(runs))
			}
		})
	}
}

// TestStreamEndingWithinEventIsResumed guards against a resumable stream that is ended, or
// passed on with a partial event, where its replica stopped within an event.
func TestStreamEndingWithinEventIsResumed(t *testing.T) {
	for _, fault := range streamFaults {
		t.Run(string(fault), func(t *testing.T) {
			w := start(t, nil)
			faulty := w.site.Engines[0]
			faulty.Arm(fault, 1)
			n := 0
			var q request
			w.eventually("a request goes to the faulty replica", func() bool {
				n++
				q = request{method: "POST", path: "/letter/x", id: fmt.Sprint("r", n), body: "{}", fields: prompt(fmt.Sprintf("a%d:100,b%d:400,c%d:500", n, n, n))}
				assertAllEvents(t, w.send(q))
				runs := faulty.Runs()
				return len(runs) > 0 && runs[len(runs)-1].ID == q.id
			})
			if runs := w.ran(q.id); len(runs) != 2 {
				t.Errorf("ran %+v, want a first attempt at %s and one at another replica", runs, faulty.Settings.ID)
			}
		})
	}
}

// TestDocumentOnStreamRouteIsComplete guards against taking a response that is no event
// stream for an interrupted one.
func TestDocumentOnStreamRouteIsComplete(t *testing.T) {
	w := start(t, nil)
	arm(w.site.Engines, medlarfakereplica.FaultDocument)
	got := w.send(request{method: "POST", path: "/query/x", id: "r", body: "{}", fields: prompt("aa:100,cc:500")})
	assertResult(t, got, 200, `{"text":"whole"}`)
}

// assertBrokenOff asserts that a caller can tell that its stream is incomplete, and that
// it got complete events only.
func assertBrokenOff(t *testing.T, got result) {
	t.Helper()
	if got.status == 200 && got.whole {
		t.Errorf("got a complete response %q, want one without its proper end or an error", got.body)
	}
	if got.status == 200 && !strings.HasSuffix(got.body, "\n\n") {
		t.Errorf("the response ends within an event: %q", got.body)
	}
}

// assertAllEvents asserts that a caller got each event once and the proper end.
func assertAllEvents(t *testing.T, got result) {
	t.Helper()
	var want strings.Builder
	for n := 1; n <= medlarsite.Default().Events; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 20))
	}
	if got.status != 200 || !got.whole || got.body != want.String() {
		t.Errorf("status %d, whole %v, body %q; want 200, true, %q", got.status, got.whole, got.body, want.String())
	}
}

// TestLogNamesPartsOfLostAttempt guards against a log that cannot tell which prompts a replica
// that ended was answering, and which of them it had begun to answer.
func TestLogNamesPartsOfLostAttempt(t *testing.T) {
	for _, tc := range []struct {
		fault medlarfakereplica.Fault
		want  []string
	}{
		{medlarfakereplica.FaultEmpty, []string{`"lost":true,"began":0,"prompt":["aa","bb"]`, `"status":200`}},
		{medlarfakereplica.FaultReset, []string{`"lost":true,"began":`, `"prompt":["aa","bb"]`, `"status":200`}},
		{medlarfakereplica.FaultShort, []string{`"partial":`}},
	} {
		t.Run(string(tc.fault), func(t *testing.T) {
			w := start(t, nil)
			arm(w.site.Engines, tc.fault)
			w.send(request{method: "POST", path: "/query/x", id: "r", body: "{}", fields: prompt("aa:100,bb:400,cc:500")})
			w.eventually("the attempt is logged", func() bool { return strings.Contains(w.logs.text(), `"event":"attempt","id":"r"`) })
			for line := range strings.Lines(w.logs.text()) {
				if strings.Contains(line, `"event":"attempt","id":"r"`) {
					assertContains(t, line, tc.want...)
					if lost := strings.Contains(line, `"lost":true`); lost != (tc.fault != medlarfakereplica.FaultShort) {
						t.Errorf("lost: %v: %s", lost, line)
					}
				}
			}
		})
	}
}

func assertContains(t *testing.T, line string, want ...string) {
	t.Helper()
	for _, text := range want {
		if !strings.Contains(line, text) {
			t.Errorf("%s lacks %s", line, text)
		}
	}
}

// TestEndingsOfResponses guards against a response that a replica has broken off and that reaches the
// caller as if it were complete.
func TestEndingsOfResponses(t *testing.T) {
	for _, e := range medlarending.All {
		t.Run(e.Name, func(t *testing.T) {
			w := start(t, func(s *medlarsite.Settings) { s.Engines = 1 })
			w.site.Engines[0].ArmEnding(e)
			got := w.send(request{method: "POST", path: "/query/x", id: "r", body: "{}", fields: prompt("aa:100,cc:500")})
			if !e.Whole {
				assertBrokenOff(t, got)
				return
			}
			assertResult(t, got, 200, e.Body)
		})
	}
}

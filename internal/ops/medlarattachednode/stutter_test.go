package medlarattachednode_test

import (
	"fmt"
	"testing"

	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarsite"
	"medlarfield/internal/stand/medlarstutter"
)

const requestID = "Medlarfield-Request-Id"

// stutterCase is an earlier response that a replica writes once more, and what the caller of the next request gets.
type stutterCase struct {
	name    string
	before  medlarfakereplica.Fault // of the request before; empty for an answer
	own     bool                    // the copy is of an earlier attempt of the same request
	without string                  // header field that the copy lacks
	path    string
	status  int
	closed  int // status if the copy ends the connection
}

// TestCopyOfOtherResponse guards against a response that a replica writes once more and that reaches the next caller.
func TestCopyOfOtherResponse(t *testing.T) {
	playStutter(t, []stutterCase{
		{"rejection", medlarfakereplica.FaultShed, false, "", "/post/a", 200, 502},
		{"rejection of a stream", medlarfakereplica.FaultShed, false, "", "/query/a", 200, 502},
		{"answer", "", false, "", "/post/a", 200, 502},
		{"answer that names no request", "", false, requestID, "/post/a", 502, 502},
		{"answer that names no request, safe", "", false, requestID, "/read/a", 200, 200},
	})
}

// TestRejectionThatNamesNoRequest guards against a rejection of another request that names none and is taken for the one of this.
func TestRejectionThatNamesNoRequest(t *testing.T) {
	playStutter(t, []stutterCase{
		{"once", medlarfakereplica.FaultShed, false, requestID, "/post/a", 200, 502},
		{"stream", medlarfakereplica.FaultShed, false, requestID, "/query/a", 200, 502},
		{"safe", medlarfakereplica.FaultShed, false, requestID, "/read/a", 200, 502},
	})
}

// TestCopyOfEarlierAttempt guards against a response to an earlier attempt of a request that is taken for the one to this attempt.
func TestCopyOfEarlierAttempt(t *testing.T) {
	playStutter(t, []stutterCase{
		{"rejection", medlarfakereplica.FaultShed, true, "", "/post/a", 200, 200},
		{"rejection of a stream", medlarfakereplica.FaultShed, true, "", "/query/a", 200, 200},
		{"rejection that names no request", medlarfakereplica.FaultShed, true, requestID, "/post/a", 200, 200},
		{"failure", medlarfakereplica.FaultFail, true, "", "/read/a", 200, 200},
	})
}

func playStutter(t *testing.T, cases []stutterCase) {
	for _, tc := range cases {
		for _, form := range []medlarstutter.Form{medlarstutter.FormWhole, medlarstutter.FormParts, medlarstutter.FormChunked, medlarstutter.FormClosed} {
			t.Run(fmt.Sprintf("%s, %s", tc.name, form), func(t *testing.T) {
				t.Parallel()
				want := tc.status
				if form == medlarstutter.FormClosed {
					want = tc.closed
				}
				assertStutter(t, tc, form, want)
			})
		}
	}
}

func assertStutter(t *testing.T, tc stutterCase, form medlarstutter.Form, want int) {
	t.Helper()
	var stutter medlarstutter.Stutter
	w := start(t, func(s *medlarsite.Settings) { s.Plain, s.Engines, s.Wrap = 1, 1, stutter.Wrap })
	replicas := w.site.Replicas()
	q := request{method: "POST", path: tc.path, body: "{}", fields: prompt("aa:100,cc:500")}
	if !tc.own {
		q.id = "before"
		for range 3 {
			if tc.before != "" {
				arm(replicas, tc.before)
			}
		}
		w.send(q)
		for _, r := range replicas {
			r.Disarm()
		}
	} else {
		arm(replicas, tc.before)
	}
	stutter.Arm(medlarstutter.Copy{Form: form, Without: tc.without})
	q.id = "r"
	got := w.send(q)
	if got.status != want {
		t.Errorf("status %d, want %d", got.status, want)
	}
	runs := len(w.ran("r"))
	if tc.path != "/read/a" && runs > 1 {
		t.Errorf("ran %d times, want at most once", runs)
	}
	if got.status == 503 && runs > 0 {
		t.Errorf("refused as not run, and ran %d times", runs)
	}
	if !tc.own && stutter.Copies() == 0 {
		t.Error("the replica wrote nothing once more")
	}
	if got.status != 200 {
		return
	}
	if tc.path == "/query/a" {
		assertAllEvents(t, got)
		return
	}
	assertResult(t, got, 200, "answer to r")
}

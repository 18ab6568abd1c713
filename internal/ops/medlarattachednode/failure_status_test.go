package medlarattachednode_test

import (
	"fmt"
	"testing"

	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/stand/medlarlink"
	"medlarfield/internal/stand/medlarsite"
)

// signature is the header field that shows which replica has answered.
const signature = "Medlarfield-Server-Signature"

// TestFailuresKeepTheirStatus guards against a failure that bears the signature of a replica which gave another status,
// after attempts at several replicas that fail in different ways.
func TestFailuresKeepTheirStatus(t *testing.T) {
	t.Parallel()
	const requests, leastSigned = 240, 40
	w := start(t, func(s *medlarsite.Settings) { s.Plain = 3 })
	statuses := map[string]int{}
	for i, r := range w.site.Plain {
		status := []int{500, 502, 599}[i]
		statuses["sig-"+r.Settings.ID] = status
		q := &medlarending.Queue{}
		r.ShareEndings(q)
		for n := range requests {
			end := medlarending.HeadEnds[n%len(medlarending.HeadEnds)]
			q.Arm(end.Failure(status))
			if n%3 == i {
				q.Arm(end.CutHead(10+n, n%2 == 0))
				q.Arm(end.CutHeadAndAgain(10 + n))
			}
		}
		q.ArmAlways(medlarending.HeadEnds[0].Failure(status))
	}
	signed := 0
	for n := range requests {
		q := request{path: "/read/a", id: fmt.Sprint("r", n)}
		if n%2 == 1 {
			q.method, q.path, q.body = "POST", "/post/a", "{"+q.id+"}"
		}
		got := w.send(q)
		if got.status < 500 && got.whole {
			t.Errorf("%s: status %d, body %q", q.id, got.status, got.body)
		}
		if by := got.get(signature); by != "" {
			signed++
			if got.status != statuses[by] || !got.whole {
				t.Errorf("%s: status %d with %s, whole %v; that replica gives %d", q.id, got.status, by, got.whole, statuses[by])
			}
		}
	}
	if t.Logf("%d failures of replicas", signed); signed < leastSigned {
		t.Errorf("only %d failures bear a signature", signed)
	}
}

// TestBrokenOffThroughAnotherInstance guards against a relayed response that was broken off within its body, or reset at its
// end, and that a caller gets as complete.
func TestBrokenOffThroughAnotherInstance(t *testing.T) {
	t.Parallel()
	const longestBody, leastBroken = 16, 60
	f := startLinked(t, 2, func(s *medlarsite.Settings) { s.Plain = 3 })
	w, q := f.members[0], &medlarending.Queue{}
	for _, r := range f.site.Replicas() {
		r.ShareEndings(q)
	}
	relay(f)
	broken, n := 0, 0
	for missing := range longestBody {
		for _, end := range medlarending.HeadEnds {
			for _, reset := range []bool{false, true} {
				e, ok := end.CutBody(missing, reset)
				if !ok {
					continue
				}
				n++
				q.Arm(e)
				broken += sendCut(t, w, fmt.Sprintf("b%d", n), e.Name)
				_, _ = q.Next()
			}
		}
	}
	if t.Logf("%d bodies were broken off", broken); broken < leastBroken {
		t.Errorf("only %d bodies were broken off", broken)
	}
	f.set(medlarlink.Up, 0)
}

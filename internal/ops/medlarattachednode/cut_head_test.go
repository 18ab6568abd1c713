package medlarattachednode_test

import (
	"fmt"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/stand/medlarlink"
	"medlarfield/internal/stand/medlarsite"
)

// TestCutHeadsThroughAnotherInstance guards against a relayed response whose replica stopped in the head and that a caller
// gets as complete, or joined with a further one.
func TestCutHeadsThroughAnotherInstance(t *testing.T) {
	t.Parallel()
	const longestHead, leastCut = 250, 300
	f := startLinked(t, 2, func(s *medlarsite.Settings) { s.Plain = 3 })
	w, q := f.members[0], &medlarending.Queue{}
	for _, r := range f.site.Replicas() {
		r.ShareEndings(q)
	}
	relay(f)
	cut, n := 0, 0
	for missing := 1; missing < longestHead; missing++ {
		for _, end := range medlarending.HeadEnds {
			for _, e := range []medlarending.Ending{end.CutHead(missing, false), end.CutHead(missing, true), end.CutHeadAndAgain(missing)} {
				n++
				if testing.Short() && n%5 != 0 { // the run under the race detector
					continue
				}
				q.Arm(e)
				cut += sendCut(t, w, fmt.Sprintf("c%d", n), e.Name)
				_, _ = q.Next() // a request that was refused has left its ending
			}
		}
	}
	if t.Logf("%d heads were cut", cut); cut < leastCut {
		t.Errorf("only %d heads were cut", cut)
	}
	if !w.logged(`"via":"entry-2"`) {
		t.Error("no attempt was relayed")
	}
}

// relay cuts the first instance from the replicas and waits until it serves through the second one.
func relay(f *fleet) {
	f.awaitAcquaintance()
	f.set(medlarlink.Refused, 0)
	stop, w := make(chan struct{}), f.members[0]
	_, wait := f.firstTries(stop)
	w.eventually("connections are relayed", func() bool { return w.logged(`"via":"entry-2"`) })
	time.Sleep(cutSettling)
	close(stop)
	wait()
}

// sendCut sends a request whose response is cut in its head, and one that is answered. It returns how many were cut.
func sendCut(t *testing.T, w *fixture, id, name string) int {
	t.Helper()
	got := w.send(request{method: "POST", path: "/post/a", id: id, body: "{" + id + "}"})
	ran := len(w.ran(id))
	if ran > 1 || ran > 0 && got.whole && got.status < 500 {
		t.Errorf("%s, %s: ran %d times, status %d, body %q", name, id, ran, got.status, got.body)
	}
	if got := w.send(request{path: "/read/a", id: id + "-sound"}); got.status == 200 && got.body != "answer to "+id+"-sound" {
		t.Errorf("%s, %s: sound request got status %d, body %q", name, id, got.status, got.body)
	}
	return ran
}

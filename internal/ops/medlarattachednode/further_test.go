package medlarattachednode_test

import (
	"slices"
	"strings"
	"testing"

	"medlarfield/internal/stand/medlarending"
)

// TestResponseWithinAnother guards against a further response that is passed on as a part of the one whose
// connection it comes on. The end of the connection delimits both.
func TestResponseWithinAnother(t *testing.T) {
	t.Parallel()
	for _, e := range medlarending.WithAnother {
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			w := start(t, nil)
			for _, path := range []string{"/read/a", "/post/a", "/query/a"} {
				armEach(w, e)
				got := w.send(request{method: "POST", path: path, id: "r" + path[1:2], body: "{}", fields: prompt("aa:100,cc:500")})
				assertNoFurther(t, path, got)
				if n := len(w.ran("r" + path[1:2])); path != "/read/a" && n != 1 {
					t.Errorf("%s: ran %d times, want once", path, n)
				}
			}
		})
	}
}

// TestResponseWithinAnotherIsRetried guards against a failure of a request that another replica can answer.
func TestResponseWithinAnotherIsRetried(t *testing.T) {
	w := start(t, nil)
	w.site.Plain[0].ArmEnding(medlarending.WithAnother[0])
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		assertResult(t, w.send(request{path: "/read/a", id: id}), 200, "answer to "+id)
	}
}

// armEach arms an ending at each replica.
func armEach(w *fixture, e medlarending.Ending) {
	for _, r := range w.site.Replicas() {
		r.ShareEndings(&medlarending.Queue{})
		r.ArmEnding(e)
	}
}

// assertNoFurther asserts that a response has no bytes of a further one, and is whole only if it is a failure.
func assertNoFurther(t *testing.T, path string, got result) {
	t.Helper()
	if strings.Contains(got.body, "HTTP/1.") || strings.Contains(got.body, "earlier") || strings.Contains(got.body, "extra") {
		t.Errorf("%s: status %d, the body ends with %q", path, got.status, got.body[max(0, len(got.body)-100):])
	}
	if got.whole && got.status != 502 {
		t.Errorf("%s: status %d, want 502 or a response without its end", path, got.status)
	}
}

// TestAnswerBegunAgain guards against an answer that counts as whole with the beginning of a further one in it.
func TestAnswerBegunAgain(t *testing.T) {
	t.Parallel()
	for _, e := range append(slices.Clone(medlarending.BegunAgain), medlarending.StoppedAndAgain...) {
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			w := start(t, nil)
			for _, path := range []string{"/read/a", "/post/a"} {
				armEach(w, e)
				id := "r" + path[1:2]
				got := w.send(request{method: "POST", path: path, id: id, body: "{}"})
				if got.whole && got.status == 200 && got.body != "answer to "+id {
					t.Errorf("%s: the body ends with %q", path, got.body[max(0, len(got.body)-100):])
				}
				if n := len(w.ran(id)); path == "/post/a" && n != 1 {
					t.Errorf("%s: ran %d times, want once", path, n)
				}
			}
		})
	}
}

// TestAnswerBegunAgainIsRetried guards against a failure of a request that another replica can answer.
func TestAnswerBegunAgainIsRetried(t *testing.T) {
	for _, e := range []medlarending.Ending{medlarending.BegunAgain[0], medlarending.StoppedAndAgain[0]} {
		t.Run(e.Name, func(t *testing.T) {
			w := start(t, nil)
			w.site.Plain[0].ArmEnding(e)
			for _, id := range []string{"r1", "r2", "r3", "r4"} {
				assertResult(t, w.send(request{path: "/read/a", id: id}), 200, "answer to "+id)
			}
		})
	}
}

package medlarattachednode_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarsite"
)

// resumeAttempts is the number of replicas at which a request of resumeFixture may be tried.
const resumeAttempts = 3

// resumeFixture is a fixture whose replicas of the engine take the endings of their responses from one queue.
func resumeFixture(t *testing.T) (*fixture, *medlarending.Queue) {
	t.Helper()
	site, err := medlarsite.New(medlarsite.Default())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	if err := site.Change(func(c *medlarsite.Config) {
		for i := range c.Routes {
			c.Routes[i].MaxAttempts = resumeAttempts
		}
	}); err != nil {
		t.Fatal(err)
	}
	q := &medlarending.Queue{}
	for _, r := range site.Engines {
		r.ShareEndings(q)
	}
	w := attach(t, site, "entry-1", medlarfaketopic.FaultNone)
	w.eventually("the instance is ready", w.instance.Ready)
	return w, q
}

// breakOffs returns the endings of a stream that breaks off after its second event.
func breakOffs() []medlarending.Ending {
	out := []medlarending.Ending{medlarending.Repeating}
	for _, e := range medlarending.All {
		if !e.Whole && strings.Contains(e.Body, "id: 2\n") {
			out = append(out, e)
		}
	}
	return out
}

// resumable returns a request on the resumable route.
func resumable(id, fields string) request {
	return request{method: "POST", path: "/letter/x", id: id, body: "{}", fields: prompt("aa:100,bb:400,cc:500") + fields}
}

// TestResumedStreamHasNoForeignBytes guards against text of a failure, or events of a new run, in a stream
// that broke off and goes on with the response of the next replica, and against its end as if it were complete.
func TestResumedStreamHasNoForeignBytes(t *testing.T) {
	t.Parallel()
	for i, cut := range breakOffs() {
		for j, instead := range append(medlarending.Instead, medlarending.Skipping) {
			if testing.Short() && (i+j)%len(breakOffs()) != 0 {
				continue // each way to break off and each response once
			}
			for _, always := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/always %v", cut.Name, instead.Name, always), func(t *testing.T) {
					t.Parallel()
					w, q := resumeFixture(t)
					q.Arm(cut)
					armInstead(q, instead, always)
					got := w.send(resumable("r", ""))
					assertEventsInOrder(t, got, 1)
					if !always {
						assertWentOn(t, got)
					}
				})
			}
		}
	}
}

// TestStreamThatCallerResumesHasNoForeignBytes guards against the same in the response to a caller that
// resumes its stream after event 2.
func TestStreamThatCallerResumesHasNoForeignBytes(t *testing.T) {
	t.Parallel()
	for _, instead := range medlarending.Instead {
		for _, always := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/always %v", instead.Name, always), func(t *testing.T) {
				t.Parallel()
				w, q := resumeFixture(t)
				armInstead(q, instead, always)
				got := w.send(resumable("r", "Last-Event-Id: 2\r\n"))
				switch {
				case got.status == 200:
					assertEventsInOrder(t, got, 3)
				case got.status < 400 || !got.whole:
					t.Errorf("status %d, whole %v, want events or a failure", got.status, got.whole)
				}
			})
		}
	}
}

// TestStreamThatCannotBeResumedBeginsAnew guards against a failure of a request that names an event on a route
// whose streams cannot be resumed.
func TestStreamThatCannotBeResumedBeginsAnew(t *testing.T) {
	w, q := resumeFixture(t)
	q.Arm(startingOver(t))
	got := w.send(request{method: "POST", path: "/query/x", id: "r", body: "{}", fields: prompt("aa:100,cc:500") + "Last-Event-Id: 2\r\n"})
	assertEventsInOrder(t, got, 1)
	assertWentOn(t, got)
}

// startingOver returns the response that begins with the first event.
func startingOver(t *testing.T) medlarending.Ending {
	t.Helper()
	for _, e := range medlarending.Instead {
		if e.Name == "stream from the first event on" {
			return e
		}
	}
	t.Fatal("no such response")
	return medlarending.Ending{}
}

func armInstead(q *medlarending.Queue, instead medlarending.Ending, always bool) {
	if always {
		q.ArmAlways(instead)
		return
	}
	q.Arm(instead)
}

// assertEventsInOrder asserts that a caller got events from a number on, each once, and nothing else but
// comments, and that its stream ends as complete only after the last one.
func assertEventsInOrder(t *testing.T, got result, first int) {
	t.Helper()
	next := first
	for block := range strings.SplitAfterSeq(got.body, "\n\n") {
		if block == "" || strings.HasPrefix(block, ":") {
			continue
		}
		if want := "id: " + strconv.Itoa(next) + "\ndata: "; !strings.HasPrefix(block, want) || strings.Count(block, "\n") != 3 {
			t.Fatalf("%q stands where event %d is due in %q", block, next, got.body)
		}
		next++
	}
	if last := medlarsite.Default().Events; got.whole && next != last+1 {
		t.Errorf("status %d, the response ends as complete before event %d of %d: %q", got.status, next, last, got.body)
	}
}

// assertWentOn asserts that a stream has its proper end.
func assertWentOn(t *testing.T, got result) {
	t.Helper()
	if got.status != 200 || !got.whole {
		t.Errorf("status %d, whole %v, body %q; want the whole stream", got.status, got.whole, got.body)
	}
}

// TestResponseBehindAnotherIsDropped guards against an earlier response, written once more behind a whole one,
// as a part of it or of the response to the next request.
func TestResponseBehindAnotherIsDropped(t *testing.T) {
	t.Parallel()
	for _, e := range medlarending.FollowedByAnother {
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			w, q := resumeFixture(t)
			q.ArmAlways(e)
			for n := range 6 {
				got := w.send(resumable(fmt.Sprintf("r%d", n), ""))
				assertWentOn(t, got)
				if got.get("Medlarfield-Request-Id") != fmt.Sprintf("r%d", n) || strings.Contains(got.body, "earlier") {
					t.Errorf("response %d is of %s, body %q", n, got.get("Medlarfield-Request-Id"), got.body)
				}
			}
		})
	}
}

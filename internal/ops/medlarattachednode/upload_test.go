package medlarattachednode_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/stand/medlarsite"
)

// uploadBytes is the length of the body of a request whose response is broken off while that body is written.
const uploadBytes = 600_000

// uploads are requests with a long body of each kind of route.
var uploads = []request{
	{method: "POST", path: "/post/a"},
	{method: "POST", path: "/read/a"},
	{method: "POST", path: "/query/a", fields: prompt("aa:100,cc:500")},
	{method: "POST", path: "/letter/a", fields: prompt("aa:100,cc:500")},
}

// TestBrokenOffDuringUpload guards against a part of a response that a caller gets as the whole, since the replica broke it off
// while the body of the request was written, directly or through another instance; and against a status that is none of HTTP
// and that reaches a caller in the same ways.
func TestBrokenOffDuringUpload(t *testing.T) {
	t.Parallel()
	rounds := 2
	if testing.Short() { // the run under the race detector
		rounds = 1
	}
	for _, tc := range []struct {
		name  string
		relay bool
		send  func(w *fixture, q request) result
	}{
		{"direct", false, func(w *fixture, q request) result { return w.send(q) }},
		{"through another instance", true, func(w *fixture, q request) result { return w.send(q) }},
		{"direct, the client pauses within its upload", false, (*fixture).sendInHalves},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w, q := uploadFixture(t, tc.relay)
			n, ran := 0, 0
			for _, e := range brokenOff() {
				if e.HalfClose {
					continue // a kept connection, or the link between, takes the whole upload before the orderly end
				}
				for _, u := range uploads {
					for range rounds {
						n++
						u.id, u.body = fmt.Sprint("u", n), strings.Repeat("u", uploadBytes)
						q.Arm(e)
						got := tc.send(w, u)
						ran += len(w.ran(u.id))
						if len(w.ran(u.id)) > 0 && got.whole && got.status < 500 && !strings.HasPrefix(got.body, "answer to") && strings.Count(got.body, "id: ") < w.site.Replicas()[0].Settings.Events {
							t.Errorf("%s, %s: status %d and a whole body of %d bytes", e.Name, u.path, got.status, len(got.body))
						}
						if got.status != 0 && (got.status < 100 || got.status > 599) {
							t.Errorf("%s, %s: status %d", e.Name, u.path, got.status)
						}
						_, _ = q.Next()
					}
				}
			}
			if t.Logf("%d requests, %d attempts", n, ran); ran < n*9/10 {
				t.Errorf("only %d of %d requests reached a replica", ran, n)
			}
			if tc.relay && !w.logged(`"via":"entry-2"`) {
				t.Error("no attempt was relayed")
			}
		})
	}
}

// brokenOff returns the endings that are broken off early, and statuses that are none of HTTP, early and not.
func brokenOff() []medlarending.Ending {
	out := medlarending.BrokenOffEarly
	for _, status := range medlarending.OutOfRange {
		for n, e := range medlarending.WithStatus(status) {
			e.Early = n%2 == 0
			out = append(out, e)
		}
	}
	return out
}

// uploadFixture starts an instance whose replicas share a queue of endings, and which reaches them through another one if relayed is
// set.
func uploadFixture(t *testing.T, relayed bool) (*fixture, *medlarending.Queue) {
	t.Helper()
	q := &medlarending.Queue{}
	if !relayed {
		w := start(t, func(s *medlarsite.Settings) { s.Engines, s.Plain = 2, 2 })
		for _, r := range w.site.Replicas() {
			r.ShareEndings(q)
		}
		return w, q
	}
	f := startLinked(t, 2, func(s *medlarsite.Settings) { s.Engines, s.Plain = 2, 2 })
	relay(f)
	for _, r := range f.site.Replicas() {
		r.ShareEndings(q)
	}
	return f.members[0], q
}

// sendInHalves sends a request whose body pauses. No attempt begins before the body has arrived, so that what a replica
// answers cannot meet an upload that the client has not finished.
func (w *fixture) sendInHalves(q request) result {
	w.t.Helper()
	c, err := net.Dial("tcp", string(w.instance.Address()))
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	text := q.text()
	half := len(text) - uploadBytes/2
	if _, err := io.WriteString(c, text[:half]); err != nil {
		w.t.Fatal(err)
	}
	time.Sleep(5 * time.Millisecond)
	if n := len(w.ran(q.id)); n > 0 {
		w.t.Errorf("%s ran %d times before its body had arrived", q.id, n)
	}
	if _, err := io.WriteString(c, text[half:]); err != nil {
		w.t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	br := bufio.NewReader(c)
	h, err := medlarhead.ReadResponse(br, 1<<14, "POST")
	if err != nil {
		return result{}
	}
	body, err := io.ReadAll(medlarframing.NewBody(br, h))
	return result{status: h.Status, head: h, body: string(body), whole: err == nil}
}

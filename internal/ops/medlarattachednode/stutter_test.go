package medlarattachednode_test

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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
	warm    bool                    // requests before have filled the retry budget
	closed  int                     // status if the copy ends the connection
	instead string                  // written in place of a copy
	fault   medlarfakereplica.Fault // of the request itself
}

// TestCopyOfOtherResponse guards against a response that a replica writes once more and that reaches the next caller.
func TestCopyOfOtherResponse(t *testing.T) {
	playStutter(t, []stutterCase{
		{name: "rejection", before: medlarfakereplica.FaultShed, path: "/post/a", status: 200, closed: 502},
		{name: "rejection of a stream", before: medlarfakereplica.FaultShed, path: "/query/a", status: 200, closed: 502},
		{name: "answer", path: "/post/a", status: 200, closed: 502},
		{name: "answer that names no request", without: requestID, path: "/post/a", status: 502, closed: 502},
		{name: "answer that names no request, safe", without: requestID, path: "/read/a", status: 200, closed: 200},
	})
}

// TestRejectionThatNamesNoRequest guards against a rejection of another request that names none and is taken for the one of this.
func TestRejectionThatNamesNoRequest(t *testing.T) {
	playStutter(t, []stutterCase{
		{name: "once", before: medlarfakereplica.FaultShed, without: requestID, path: "/post/a", status: 200, closed: 502},
		{name: "stream", before: medlarfakereplica.FaultShed, without: requestID, path: "/query/a", status: 200, closed: 502},
		{name: "safe", before: medlarfakereplica.FaultShed, without: requestID, path: "/read/a", warm: true, status: 200, closed: 200},
	})
}

// TestCopyOfEarlierAttempt guards against a response to an earlier attempt of a request that is taken for the one to this attempt.
func TestCopyOfEarlierAttempt(t *testing.T) {
	playStutter(t, []stutterCase{
		{name: "rejection", before: medlarfakereplica.FaultShed, own: true, path: "/post/a", status: 200, closed: 200},
		{name: "rejection of a stream", before: medlarfakereplica.FaultShed, own: true, path: "/query/a", status: 200, closed: 200},
		{name: "rejection that names no request", before: medlarfakereplica.FaultShed, own: true, without: requestID, path: "/post/a", status: 200, closed: 200},
		{name: "failure", before: medlarfakereplica.FaultFail, own: true, path: "/read/a", status: 200, closed: 200},
	})
}

// TestBeginningOfEarlierResponse guards against the beginning of an earlier response that is joined with the response to the attempt.
func TestBeginningOfEarlierResponse(t *testing.T) {
	const rejection = "HTTP/1.1 503 Service Unavailable\r\n"
	for _, tc := range []stutterCase{
		{name: "rejection", path: "/post/a", instead: rejection + requestID + ": before\r\nMedlarfield-Not-Executed: 1"},
		{name: "rejection of a stream", path: "/query/a", instead: rejection + requestID + ": before\r\nMedlarfield-Not-Executed: 1"},
		{name: "rejection without an id", path: "/post/a", instead: rejection + "Medlarfield-Not-Executed: 1"},
		{name: "misdirected", path: "/post/a", instead: "HTTP/1.1 421 Misdirected Request\r\n" + requestID + ": before"},
		{name: "answer before a failure", path: "/post/a", instead: "HTTP/1.1 200 OK\r\n" + requestID + ": before\r\nMedlarfield-Server-Signature: sig", fault: medlarfakereplica.FaultFail},
		{name: "status line 503", path: "/post/a", instead: "HTTP/1.1 503 Service "},
		{name: "status line 421", path: "/post/a", instead: "HTTP/1.1 421 Mis"},
		{name: "status line 200 before a failure", path: "/post/a", instead: "HTTP/1.1 200 ", fault: medlarfakereplica.FaultFail},
		{name: "one byte", path: "/post/a", instead: "H"},
		{name: "a whole line", path: "/post/a", instead: rejection},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			assertStutter(t, tc, medlarstutter.FormWhole, 502)
		})
	}
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
	for i := 0; tc.warm && i < 10; i++ {
		w.send(request{path: "/read/a", id: fmt.Sprint("warm", i)})
	}
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
	if tc.fault != "" {
		arm(replicas, tc.fault)
	}
	stutter.Arm(medlarstutter.Copy{Form: form, Without: tc.without, Instead: tc.instead})
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

// TestFailureWithStatusOfRejection guards against a caller who is told that a request did not run, by a replica that ran it.
func TestFailureWithStatusOfRejection(t *testing.T) {
	for _, status := range []string{"408 Timeout", "429 Many", "503 Unavailable"} {
		for _, path := range []string{"/post/a", "/query/a"} {
			t.Run(status+path, func(t *testing.T) {
				t.Parallel()
				w := start(t, func(s *medlarsite.Settings) {
					s.Plain, s.Engines = 1, 1
					s.Wrap = func(c net.Conn) net.Conn { return &statusConn{Conn: c, status: status} }
				})
				arm(w.site.Replicas(), medlarfakereplica.FaultFail)
				got := w.send(request{method: "POST", path: path, id: "r", body: "{}", fields: prompt("aa:100,cc:500")})
				if runs := len(w.ran("r")); got.status != 502 || runs != 1 {
					t.Errorf("status %d after %d runs, want 502 after one", got.status, runs)
				}
			})
		}
	}
}

// statusConn replaces the status of failures.
type statusConn struct {
	net.Conn
	status string
}

func (c *statusConn) Write(b []byte) (int, error) {
	_, err := c.Conn.Write(bytes.Replace(b, []byte("HTTP/1.1 500 "), []byte("HTTP/1.1 "+c.status+" "), 1))
	return len(b), err
}

// TestIDOfEarlierRequest guards against the rejection of an earlier request that is taken for the one of a later request with the same id.
func TestIDOfEarlierRequest(t *testing.T) {
	for _, path := range []string{"/post/a", "/query/a"} {
		for _, form := range []medlarstutter.Form{medlarstutter.FormWhole, medlarstutter.FormParts, medlarstutter.FormChunked, medlarstutter.FormClosed} {
			t.Run(path+string(form), func(t *testing.T) {
				t.Parallel()
				var stutter medlarstutter.Stutter
				w := start(t, func(s *medlarsite.Settings) { s.Plain, s.Engines, s.Wrap = 1, 1, stutter.Wrap })
				q := request{method: "POST", path: path, id: "r", body: "{}", fields: prompt("aa:100,cc:500")}
				for range 3 {
					arm(w.site.Replicas(), medlarfakereplica.FaultShed)
				}
				assertResult(t, w.send(q), 503, "")
				for _, r := range w.site.Replicas() {
					r.Disarm()
				}
				stutter.Arm(medlarstutter.Copy{Form: form})
				if got := w.send(q); got.status != 200 || len(w.ran("r")) != 1 {
					t.Errorf("status %d after %d runs, want 200 after one", got.status, len(w.ran("r")))
				}
			})
		}
	}
}

// TestRepeatAtFullReplica guards against a further connection for the next attempt at a replica that accepts none, where an open one will do.
func TestRepeatAtFullReplica(t *testing.T) {
	for _, path := range []string{"/post/a", "/query/a"} {
		t.Run(path, func(t *testing.T) {
			var most atomic.Int64
			most.Store(math.MaxInt64)
			var open atomic.Int64
			w := start(t, func(s *medlarsite.Settings) {
				s.Plain, s.Engines, s.ServiceTime = 1, 1, 20*time.Millisecond
				s.Wrap = func(c net.Conn) net.Conn {
					if open.Add(1) > most.Load() {
						_ = c.Close()
					}
					return c
				}
			})
			q := request{method: "POST", path: path, body: "{}", fields: prompt("aa:100,cc:500")}
			var wg sync.WaitGroup
			for i := range 4 {
				p := q
				p.id = fmt.Sprint("warm", i)
				wg.Go(func() { w.send(p) })
			}
			wg.Wait()
			most.Store(open.Load())
			arm(w.site.Replicas(), medlarfakereplica.FaultShed)
			q.id = "r"
			if got := w.send(q); got.status != 200 {
				t.Errorf("status %d, want 200", got.status)
			}
		})
	}
}

// TestReplicaThatNamesNoRejections guards against callers that are held up by rejections that name no request.
func TestReplicaThatNamesNoRejections(t *testing.T) {
	const n = 10
	for _, path := range []string{"/post/a", "/read/a"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			w := start(t, func(s *medlarsite.Settings) {
				s.Plain, s.ServiceTime = 2, 50*time.Millisecond
				s.Wrap = func(c net.Conn) net.Conn { return &unnamedConn{Conn: c} }
			})
			play := func(name string) (longest time.Duration) {
				var mu sync.Mutex
				var wg sync.WaitGroup
				for i := range n {
					wg.Go(func() {
						began := time.Now()
						w.send(request{method: "POST", path: path, id: fmt.Sprint(name, i), body: "{}", timeout: 2500 * time.Millisecond})
						mu.Lock()
						defer mu.Unlock()
						longest = max(longest, time.Since(began))
					})
				}
				wg.Wait()
				return longest
			}
			play("warm")
			w.site.Plain[0].Arm(medlarfakereplica.FaultShed, n)
			// Four target latencies of the route, and what the answer of the other replica takes.
			if took := play("held"); took > 1500*time.Millisecond {
				t.Errorf("a request was held for %v", took)
			}
		})
	}
}

// TestConnectionsAfterUnnamedRejection guards against requests that share a connection to a replica whose rejections name no request.
func TestConnectionsAfterUnnamedRejection(t *testing.T) {
	for _, tc := range []struct {
		name string
		warm bool // the connection has carried another request before
	}{{"new connection", false}, {"kept connection", true}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var opened atomic.Int64
			w := start(t, func(s *medlarsite.Settings) {
				s.Plain, s.Engines, s.Wrap = 1, 0, func(c net.Conn) net.Conn {
					opened.Add(1)
					return &unnamedConn{Conn: c}
				}
			})
			q := request{method: "POST", path: "/post/a", id: "warm", body: "{}"}
			if tc.warm {
				w.send(q)
			}
			arm(w.site.Plain, medlarfakereplica.FaultShed)
			q.id = "rejected"
			w.send(q)
			before := opened.Load()
			for _, q.id = range []string{"one", "two"} {
				assertResult(t, w.send(q), 200, "answer to "+q.id)
			}
			if n := opened.Load() - before; n < 2 {
				t.Errorf("%d new connections for two requests, want two", n)
			}
		})
	}
}

// unnamedConn takes the id out of rejections.
type unnamedConn struct{ net.Conn }

func (c *unnamedConn) Write(b []byte) (int, error) {
	head, rest, _ := bytes.Cut(b, []byte(requestID+": "))
	if _, rest, ok := bytes.Cut(rest, []byte("\r\n")); ok && bytes.Contains(b, []byte("Not-Executed")) {
		_, err := c.Conn.Write(append(bytes.Clone(head), rest...))
		return len(b), err
	}
	return c.Conn.Write(b)
}

// TestPauseInUnnamedRejection guards against a pause that a replica asks for in a rejection that names no request, and does not get.
func TestPauseInUnnamedRejection(t *testing.T) {
	w := start(t, func(s *medlarsite.Settings) {
		s.Plain, s.Wrap = 1, func(c net.Conn) net.Conn { return &unnamedConn{Conn: c} }
	})
	w.send(request{method: "POST", path: "/post/a", id: "warm", body: "{}"})
	arm(w.site.Plain, medlarfakereplica.FaultPause)
	w.send(request{method: "POST", path: "/post/a", id: "r", body: "{}", timeout: 300 * time.Millisecond})
	n := len(w.site.Plain[0].Arrivals())
	w.send(request{method: "POST", path: "/post/a", id: "next", body: "{}", timeout: 300 * time.Millisecond})
	if got := len(w.site.Plain[0].Arrivals()); got != n {
		t.Errorf("%d requests reached the replica in the pause", got-n)
	}
}

// TestRejectionsAgainGiveNoFurtherAttempts guards against requests that run on more replicas than their routes have
// attempts (BUDGET), since a rejection of another request, written once more, is taken for their own.
func TestRejectionsAgainGiveNoFurtherAttempts(t *testing.T) {
	const requests = 40
	for _, path := range []string{"/read/a", "/letter/a"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			var stutter medlarstutter.Stutter
			w := start(t, func(s *medlarsite.Settings) { s.Plain, s.Engines, s.Wrap = 2, 2, stutter.Wrap })
			if err := w.site.Change(func(c *medlarsite.Config) {
				for i := range c.Routes {
					c.Routes[i].MaxAttempts = 1
				}
			}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(200 * time.Millisecond) // the instance follows the change
			q := request{method: "POST", path: path, body: "{}", fields: prompt("aa:100,cc:500")}
			over := 0
			for i := range requests {
				for range 3 { // attempts that a rejection may leave
					arm(w.site.Replicas(), medlarfakereplica.FaultShed)
				}
				q.id = fmt.Sprint("before", i)
				w.send(q)
				for _, r := range w.site.Replicas() {
					r.Disarm()
				}
				stutter.Arm(medlarstutter.Copy{Form: medlarstutter.FormWhole, Without: requestID, Status: 503})
				q.id = fmt.Sprint("r", i)
				w.send(q)
				stutter.ArmTimes(medlarstutter.Copy{}, 0)
				if len(w.ran(q.id)) > 1 {
					over++
				}
			}
			if over > 0 {
				t.Errorf("%d of %d requests ran more than once, one attempt is allowed", over, requests)
			}
			if stutter.Copies() == 0 {
				t.Error("no rejection was written once more")
			}
		})
	}
}

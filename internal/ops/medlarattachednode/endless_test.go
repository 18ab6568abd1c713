package medlarattachednode_test

import (
	"testing"
	"time"

	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarflood"
	"medlarfield/internal/stand/medlarsite"
)

// Bounds of what an instance takes from a replica that sends bytes without end: what it may read
// before it closes the connection, including what buffers of the sockets hold, and the time. A body
// that is relayed may take until the request's deadline, and half a second.
const (
	maxEndlessBytes = 32 << 20
	maxEndlessTime  = 1500 * time.Millisecond
	maxRelayTime    = 2500 * time.Millisecond
)

// TestReplicaThatSendsBytesWithoutEnd guards against an instance that reads, holds or passes on what a
// replica in trouble sends without end, instead of closing the connection.
func TestReplicaThatSendsBytesWithoutEnd(t *testing.T) {
	for _, tc := range []struct {
		fault  medlarfakereplica.Fault
		path   string
		status int // 0: any end without a complete response
	}{
		{medlarflood.Line, "/post/a", 502},
		{medlarflood.Head, "/post/a", 502},
		{medlarflood.Heads, "/post/a", 502},
		{medlarflood.Foreign, "/post/a", 502},
		{medlarflood.Busy, "/post/a", 200}, // it has not run, so another attempt is made
		{medlarflood.Unsigned, "/post/a", 502},
		{medlarflood.Chunk, "/post/a", 0},
		{medlarflood.Body, "/post/a", 0},
		{medlarflood.Line, "/query/a", 502},
		{medlarflood.Head, "/query/a", 502},
		{medlarflood.Event, "/query/a", 502},
		{medlarflood.Comment, "/query/a", 0},
	} {
		t.Run(string(tc.fault)+tc.path, func(t *testing.T) {
			w := start(t, func(s *medlarsite.Settings) { s.Engines, s.Plain = 1, 1 })
			r := w.site.Plain[0]
			q := request{method: "POST", path: tc.path, id: "r", body: "{}"}
			if tc.path == "/query/a" {
				r = w.site.Engines[0]
				q.fields = prompt("aa:100,own:500")
			}
			r.Arm(tc.fault, 1)
			begin := time.Now()
			got := w.send(q)
			if tc.status != 0 && got.status != tc.status || tc.status != 200 && got.status == 200 && got.whole {
				t.Errorf("status %d, whole %v; want %d", got.status, got.whole, tc.status)
			}
			limit := maxEndlessTime
			if tc.fault == medlarflood.Body {
				limit = maxRelayTime
			}
			if took := time.Since(begin); took > limit {
				t.Errorf("ended after %v, want %v at most", took, limit)
			}
			w.eventually("the connection is closed", func() bool { return r.Active() == 0 })
			if n := r.EndlessBytes(); n > maxEndlessBytes {
				t.Errorf("%d bytes were taken from the replica, want %d at most", n, maxEndlessBytes)
			}
			q.id = "next"
			assertResult(t, w.send(q), 200, "")
		})
	}
}

package medlarlag

import (
	"math"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbacklog"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// TestLag checks the lag of an upstream whose answer is expected after 100 ms, after its
// answer begins, its attempt ends or neither happens.
func TestLag(t *testing.T) {
	const second = time.Second
	began := func(after time.Duration) medlarworld.Event {
		return medlarworld.AnswerBegan{Run: "r", Attempt: 1, After: after}
	}
	ended := medlarworld.AttemptEnded{Run: "r", Attempt: 1, Cause: medlarkind.CauseCallerLeft}
	for _, tc := range []struct {
		name   string
		before float64 // seconds
		after  time.Duration
		event  medlarworld.Event
		over   bool // the attempt no longer waits for its answer
		want   float64
	}{
		{"on time", 0, 100 * time.Millisecond, began(100 * time.Millisecond), true, 0},
		{"late", 0, 1100 * time.Millisecond, began(1100 * time.Millisecond), true, gain},
		{"on time after it was late", 1, 100 * time.Millisecond, began(100 * time.Millisecond), true, 1 - gain},
		{"ends before its answer", 0, 1100 * time.Millisecond, ended, true, gain},
		{"ends at once after it was late", 1, 10 * time.Millisecond, ended, true, 1},
		{"event of another attempt", 0, second, medlarworld.AnswerBegan{Run: "r", Attempt: 2, After: second}, false, 0.9},
		{"overdue", 0, 1100 * time.Millisecond, medlarworld.Tick{}, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := medlarworld.New(medlarworld.Config{})
			begin := time.Unix(1000, 0)
			w.Now = begin.Add(tc.after)
			u := &medlarupstream.Upstream{ID: "u"}
			if tc.before > 0 {
				u.Lag.Observe(w.Now, 1, tc.before)
			}
			r := &medlarworld.Run{ID: "r", Attempt: 1, Upstream: u, AttemptStarted: begin, ExpectedTTFT: 100 * time.Millisecond}
			w.Runs = map[medlarid.RequestID]*medlarworld.Run{r.ID: r}
			u.Backlog.Add(medlarbacklog.Attempt{Run: r.ID, Due: begin.Add(r.ExpectedTTFT)})
			w.Events = []medlarworld.Event{tc.event}
			New().Run(w)
			if tc.over {
				u.Backlog.Remove(r.ID)
			}
			if got := Estimate(w, u); math.Abs(got-tc.want) > 1e-9 {
				t.Errorf("lag %v, want %v", got, tc.want)
			}
		})
	}
}

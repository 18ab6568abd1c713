package medlarthroughput

import (
	"testing"
	"time"

	"medlarfield/internal/core/medlarworld"
)

const step = 10 * time.Millisecond

// play lets runs of a target wait for a time while one of them starts at each interval.
func play(e *Estimator, now *time.Time, d, every time.Duration, runs ...*medlarworld.Run) {
	last := *now
	for end := now.Add(d); now.Before(end); *now = now.Add(step) {
		e.Measure(*now, runs)
		if every > 0 && now.Sub(last) >= every {
			last = *now
			e.Started(runs[0])
		}
	}
}

// TestWait guards against estimates that mix services, and against ones that nothing supports: both
// refuse what could be served.
func TestWait(t *testing.T) {
	prompt, post := &medlarworld.Run{Service: "engines"}, &medlarworld.Run{Service: "ledger"}
	late := &medlarworld.Run{Service: "engines", Late: true}
	for _, tc := range []struct {
		name             string
		play             func(*Estimator, *time.Time)
		low, high        time.Duration // of 4 runs ahead
		lateLow, lateMax time.Duration // of 4 late runs ahead
	}{
		{"nothing has waited", func(*Estimator, *time.Time) {}, 0, 0, 0, 0},
		{"a start each 100 ms", func(e *Estimator, now *time.Time) { play(e, now, 3*time.Second, 100*time.Millisecond, prompt) }, 350 * time.Millisecond, 450 * time.Millisecond, 0, 0},
		{"a start each 100 ms of another service", func(e *Estimator, now *time.Time) { play(e, now, 3*time.Second, 100*time.Millisecond, post) }, 0, 0, 0, 0},
		{"no start for a moment", func(e *Estimator, now *time.Time) { play(e, now, 200*time.Millisecond, 0, prompt) }, 0, 0, 0, 0},
		{"no start for two seconds", func(e *Estimator, now *time.Time) { play(e, now, 2*time.Second, 0, prompt) }, 10 * time.Second, 20 * time.Second, 0, 0},
		{"an idle minute after it changes nothing", func(e *Estimator, now *time.Time) {
			play(e, now, 3*time.Second, 100*time.Millisecond, prompt)
			play(e, now, time.Minute, 0)
		}, 350 * time.Millisecond, 450 * time.Millisecond, 0, 0},
		{"late runs start each second", func(e *Estimator, now *time.Time) { play(e, now, 6*time.Second, time.Second, late) }, 3 * time.Second, 6 * time.Second, 3 * time.Second, 6 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e, now := New(), time.Unix(1000, 0)
			e.Measure(now, nil)
			tc.play(e, &now)
			assertWithin(t, "wait", e.Wait(prompt.Target(), 4), tc.low, tc.high)
			assertWithin(t, "late wait", e.LateWait(prompt.Target(), 4), tc.lateLow, tc.lateMax)
			assertWithin(t, "wait behind none", e.Wait(prompt.Target(), 0), 0, 0)
		})
	}
}

func assertWithin(t *testing.T, what string, got, low, high time.Duration) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s %v, want %v to %v", what, got, low, high)
	}
}

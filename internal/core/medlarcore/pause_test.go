package medlarcore

import (
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
)

// TestRequestsWhileUpstreamsPause guards against a request that waits until its deadline although
// all upstreams have asked for no requests until then (R5 of medlaradmission).
func TestRequestsWhileUpstreamsPause(t *testing.T) {
	pause := func(id medlarid.InstanceID, d time.Duration) medlarworld.Event {
		return medlarworld.UpstreamPaused{Upstream: id, For: d}
	}
	for _, tc := range []struct {
		name   string
		pauses []medlarworld.Event
		after  time.Duration // Retry-After of the refusal; 0 if the request is started or waits
		start  medlarid.InstanceID
	}{
		{"one of two pauses", []medlarworld.Event{pause("e00", time.Minute)}, 0, "e01"},
		{"both pause for a short time", []medlarworld.Event{pause("e00", time.Second), pause("e01", time.Minute)}, 0, ""},
		{"both pause past the deadline", []medlarworld.Event{pause("e00", 12*time.Second), pause("e01", time.Minute)}, 12 * time.Second, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, 2, nil)
			p.tick(tc.pauses...)
			cs := p.tick(medlarworld.Submitted{Run: p.newRun(100)}) // its deadline is 10 s away
			var after time.Duration
			for _, c := range cs {
				if r, ok := c.(medlarworld.Refuse); ok && r.Reason == medlarreason.Deadline {
					after = r.RetryAfter
				}
			}
			var start medlarid.InstanceID
			if s := startOf(cs); s != nil {
				start = s.Upstream
			}
			if after != tc.after || start != tc.start {
				t.Errorf("refused with a delay of %v, started at %q; want %v, %q", after, start, tc.after, tc.start)
			}
		})
	}
}

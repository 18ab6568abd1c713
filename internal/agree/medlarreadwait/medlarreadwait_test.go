package medlarreadwait

import (
	"testing"
	"time"
)

// TestWait guards against reads whose number grows with the fleet, that notice a lost connection too late, or that differ from
// before in small fleets.
func TestWait(t *testing.T) {
	usual, longest := 750*time.Millisecond, 2500*time.Millisecond
	for _, tc := range []struct {
		name      string
		topic     Topic
		instances int
		settling  time.Duration
		want      time.Duration
	}{
		{"one instance", Topic{Usual: usual}, 1, 4 * time.Second, usual},
		{"small fleet", Topic{Usual: usual}, 16, 4 * time.Second, usual},
		{"twice as many", Topic{Usual: usual}, 32, 4 * time.Second, 2 * usual},
		{"large fleet", Topic{Usual: usual}, 143, 4 * time.Second, 3400 * time.Millisecond},
		{"large fleet, bounded by the topic", Topic{Usual: usual, Longest: longest}, 400, 4 * time.Second, longest},
		{"large fleet, settles soon", Topic{Usual: usual}, 400, 2 * time.Second, 1400 * time.Millisecond},
		{"settles sooner than the usual wait", Topic{Usual: usual}, 400, time.Second, usual},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.topic.Wait(tc.instances, tc.settling); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}

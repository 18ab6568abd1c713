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
		{"one instance", Topic{UsualWait: usual}, 1, 4 * time.Second, usual},
		{"small fleet", Topic{UsualWait: usual}, 8, 4 * time.Second, usual},
		{"twice as many", Topic{UsualWait: usual}, 16, 4 * time.Second, 2 * usual},
		{"large fleet", Topic{UsualWait: usual}, 143, 4 * time.Second, 3400 * time.Millisecond},
		{"large fleet, bounded by the topic", Topic{UsualWait: usual, LongestWait: longest}, 400, 4 * time.Second, longest},
		{"large fleet, settles soon", Topic{UsualWait: usual}, 400, 2 * time.Second, 1400 * time.Millisecond},
		{"settles sooner than the usual wait", Topic{UsualWait: usual}, 400, time.Second, usual},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.topic.Wait(tc.instances, tc.settling); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}

// TestInterval guards against a busy topic that each instance of a large fleet reads as often as one of a small one, and
// against records that are read too late.
func TestInterval(t *testing.T) {
	topic := Topic{UsualInterval: 150 * time.Millisecond, LongestInterval: 400 * time.Millisecond}
	for instances, want := range map[int]time.Duration{1: 150 * time.Millisecond, 8: 150 * time.Millisecond, 16: 300 * time.Millisecond, 400: 400 * time.Millisecond} {
		if got := topic.Interval(instances); got != want {
			t.Errorf("%d instances: %v, want %v", instances, got, want)
		}
	}
	if got := (Topic{}).Interval(400); got != 0 {
		t.Errorf("a topic without an interval: %v, want 0", got)
	}
}

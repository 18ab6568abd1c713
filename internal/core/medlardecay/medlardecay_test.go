package medlardecay

import (
	"math"
	"testing"
	"time"
)

func TestDecay(t *testing.T) {
	now := time.Unix(1000, 0)
	var v Value
	v.Observe(now, 0.5, 4)
	v.Observe(now, 0.5, 4)
	for _, tc := range []struct {
		after time.Duration
		want  float64
	}{{0, 3}, {halfLife, 1.5}, {2 * halfLife, 0.75}} {
		if got := v.At(now.Add(tc.after)); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("after %v: %v, want %v", tc.after, got, tc.want)
		}
	}
}

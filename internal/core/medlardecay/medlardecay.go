// Package medlardecay provides a value that is learned from samples and decays
// exponentially between them, so that an upstream with a bad value is tried again.
package medlardecay

import (
	"math"
	"time"
)

// Value is a number of seconds that is learned from samples and decays over time. The
// zero value is 0 s.
type Value struct {
	seconds float64
	updated time.Time
}

// halfLife is the time in which a value decays by half.
const halfLife = 2 * time.Second

// At returns the seconds at a time.
func (v Value) At(now time.Time) float64 {
	if v.seconds == 0 {
		return 0
	}
	return v.seconds * math.Exp2(-now.Sub(v.updated).Seconds()/halfLife.Seconds())
}

// Observe adds a sample with the weight gain.
func (v *Value) Observe(now time.Time, gain, sample float64) {
	old := v.At(now)
	v.seconds, v.updated = old+gain*(sample-old), now
}

// Package medlardecay holds what is learned from samples and fades while none come, so
// that what was bad is tried again.
package medlardecay

import (
	"math"
	"time"
)

// Value is a number of seconds that was learned from samples and fades.
type Value struct {
	seconds float64
	learned time.Time
}

// half is the time in which it fades to a half.
const half = 2 * time.Second

// At returns the seconds as of a time.
func (f Value) At(now time.Time) float64 {
	if f.seconds == 0 {
		return 0
	}
	return f.seconds * math.Exp2(-now.Sub(f.learned).Seconds()/half.Seconds())
}

// Observe takes over a sample with a weight.
func (f *Value) Observe(now time.Time, gain, sample float64) {
	old := f.At(now)
	f.seconds, f.learned = old+gain*(sample-old), now
}

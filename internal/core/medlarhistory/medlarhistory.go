// Package medlarhistory records the successive desired weight versions of a model.
package medlarhistory

import (
	"time"

	"medlarfield/internal/base/medlarid"
)

// Change is a change of the desired weight version, at the time from which it was desired.
type Change struct {
	Version medlarid.WeightVersion
	At      time.Time
}

// History is the changes of the desired version, oldest first.
type History []Change

// ReplacedAt returns when a version was first replaced by a later one; ok is false if it
// has not been replaced.
func (h History) ReplacedAt(v medlarid.WeightVersion) (at time.Time, ok bool) {
	for _, n := range h {
		if v.Before(n.Version) {
			return n.At, true
		}
	}
	return time.Time{}, false
}

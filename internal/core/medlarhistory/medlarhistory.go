// Package medlarhistory remembers which weight versions of a model were wanted one after
// the other.
package medlarhistory

import (
	"time"

	"medlarfield/internal/base/medlarid"
)

// Change is a weight version that was wanted from a time on.
type Change struct {
	Version medlarid.WeightVersion
	At      time.Time
}

// History is the versions that were wanted, the last one at the end.
type History []Change

// ReplacedAt returns when a version was first replaced by a later one; ok is false if it
// was not.
func (h History) ReplacedAt(v medlarid.WeightVersion) (at time.Time, ok bool) {
	for _, n := range h {
		if v.Before(n.Version) {
			return n.At, true
		}
	}
	return time.Time{}, false
}

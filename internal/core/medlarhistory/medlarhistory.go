// Package medlarhistory records the successive desired weight versions of a model.
package medlarhistory

import (
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
)

// Change is a change of the desired weight version, at the time from which it was desired.
type Change struct {
	Version   medlarid.WeightVersion
	At        time.Time
	Estimated bool // At is an estimate
}

// ChangeAge states how long ago the desired weight version of a model was changed.
type ChangeAge struct {
	Model   medlarid.ModelID
	Version medlarid.WeightVersion
	Age     time.Duration
}

// History is the changes of the desired version, oldest first.
type History []Change

// ReplacedBy returns the change with which a version was first replaced by a later one; ok is false if it
// has not been replaced.
func (h History) ReplacedBy(v medlarid.WeightVersion) (c Change, ok bool) {
	for _, c := range h {
		if v.Before(c.Version) {
			return c, true
		}
	}
	return Change{}, false
}

// ReplacedAt returns when a version was first replaced by a later one; ok is false if it
// has not been replaced.
func (h History) ReplacedAt(v medlarid.WeightVersion) (at time.Time, ok bool) {
	c, ok := h.ReplacedBy(v)
	return c.At, ok
}

// BeginBy returns the latest time at which an answer may begin under a version, a grace period after it was
// replaced; ok is false if there is none, as it has not been replaced or the period is 0, for no bound.
func (h History) BeginBy(v medlarid.WeightVersion, grace time.Duration) (at time.Time, ok bool) {
	replaced, ok := h.ReplacedAt(v)
	return replaced.Add(grace), ok && grace > 0
}

// Dated returns the history of increasing versions with a change whose time is known. It replaces an estimate and a
// later time; a change to a version after the last one has no effect. The history itself is not modified.
func (h History) Dated(c Change) History {
	i := slices.IndexFunc(h, func(o Change) bool { return !o.Version.Before(c.Version) })
	if i < 0 {
		return h
	}
	switch o := h[i]; {
	case o.Version != c.Version:
		return slices.Insert(slices.Clone(h), i, c)
	case o.Estimated || c.At.Before(o.At):
		h = slices.Clone(h)
		h[i] = c
	}
	return h
}

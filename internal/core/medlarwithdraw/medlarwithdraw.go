// Package medlarwithdraw withdraws the attempts that wait at replicas with replaced weights when the time has passed
// in which answers may begin under these.
//
// Rules:
//
//	R1  What has been sent to a replica may wait there for longer than was expected, and the weights may have been
//	    replaced since. A time bound on sending alone does not bound when answers begin.
//	R2  An attempt is withdrawn only if its answer has not begun and its run may be repeated. Another attempt follows,
//	    which counts as a repeat.
package medlarwithdraw

import (
	"maps"
	"slices"
	"time"

	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// interval is the time between two searches for attempts to withdraw.
const interval = 50 * time.Millisecond

// System withdraws attempts.
type System struct{ next time.Time }

// New returns a System.
func New() *System { return &System{} }

// Allowed reports whether attempts of a run may be withdrawn: its answer is a stream, which shows when it begins,
// and may be repeated until then (R2).
func Allowed(r *medlarworld.Run) bool { return !r.AtMostOnce && (r.Stream != 0 || r.Resumes) }

// Run handles one tick.
func (s *System) Run(w *medlarworld.World) {
	if w.Config.OldVersionGrace == 0 || w.Now.Before(s.next) {
		return
	}
	s.next = w.Now.Add(interval)
	for _, id := range slices.Sorted(maps.Keys(w.Engines)) {
		m := w.Models[id]
		for _, u := range w.Engines[id] {
			if u.Version == m.Version {
				continue
			}
			if by, ok := m.Versions.BeginBy(u.Version, w.Config.OldVersionGrace); ok && w.Now.After(by) {
				withdraw(w, u)
			}
		}
	}
}

// withdraw withdraws the attempts that wait at a replica (R2). They do not count as waiting any more: either they end, or
// their answers have just begun.
func withdraw(w *medlarworld.World, u *medlarupstream.Upstream) {
	for _, id := range u.Backlog.Runs() {
		if r := w.Runs[id]; r != nil && Allowed(r) {
			w.RemoveFromBacklogs(r)
			w.Emit(medlarworld.Withdraw{Run: id, Attempt: r.Attempt})
		}
	}
}

package medlarfleet

import (
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarupstream"
)

// formerTTL is how long an upstream is remembered that the list no longer names: much longer than a store that comes
// back from a copy can have been away, and than the upstream runs on.
const formerTTL = 10 * time.Minute

// former is what an upstream said itself, in one start, before the list no longer named it (R2, R9).
type former struct {
	incarnation     medlarid.Incarnation
	reportedLeaving bool
	pausedUntil     time.Time
	brittle         medlarupstream.Brittleness
	until           time.Time // remembered
}

// remember keeps what an upstream has said that is about to be removed, and forgets those removed long ago. Where starts
// are not told apart, an upstream that is listed again may have started anew.
func (s *System) remember(now time.Time, u *medlarupstream.Upstream) {
	for id, f := range s.former {
		if now.After(f.until) {
			delete(s.former, id)
		}
	}
	if u.Incarnation == 0 {
		return
	}
	s.former[u.ID] = former{
		incarnation: u.Incarnation, reportedLeaving: u.ReportedLeaving, pausedUntil: u.PausedUntil, brittle: u.Brittle, until: now.Add(formerTTL),
	}
}

// recall gives a new entry of an upstream what it said before it was removed. A later start resets that.
func (s *System) recall(u *medlarupstream.Upstream) {
	if f, ok := s.former[u.ID]; ok {
		u.Incarnation, u.ReportedLeaving, u.PausedUntil, u.Brittle = f.incarnation, f.reportedLeaving, f.pausedUntil, f.brittle
		delete(s.former, u.ID)
	}
}

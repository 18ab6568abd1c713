package medlarbuild

import (
	"maps"
	"time"

	"medlarfield/internal/base/medlarid"
)

// Seen says how far an instance has followed the assignments: the serial numbers of those that it has read,
// and of those by which its streams begin.
type Seen struct {
	Read map[medlarid.ServiceID]uint64
	Used map[medlarid.ServiceID]uint64
}

// ApplySeen applies how far an instance, which may be this one, has recorded to follow.
func (t *Table) ApplySeen(id medlarid.InstanceID, s Seen) {
	if id == t.self && !t.recording {
		t.prior = &s
	}
	if _, known := t.members[id]; known || len(t.members) < maxMembers {
		t.members[id] = s
	}
}

// TakeSeen returns how far this instance follows if that is to be recorded. It is recorded after the
// exceptions that come with it (R4).
func (t *Table) TakeSeen(now time.Time) (s Seen, ok bool) {
	if !t.seenDirty || t.firstRead.IsZero() || now.Sub(t.firstRead) < priorTime {
		return s, false
	}
	t.seenDirty, t.recording, t.withheld = false, true, false
	s = Seen{Read: map[medlarid.ServiceID]uint64{}, Used: map[medlarid.ServiceID]uint64{}}
	for id, sv := range t.services {
		if !sv.assigned {
			continue
		}
		if !t.answersFor(now, id, sv) {
			t.withheld = true
			continue
		}
		s.Read[id] = sv.assignment.Serial
		if sv.used {
			s.Used[id] = sv.assignment.Serial
		}
	}
	return s, true
}

// answersFor reports whether all streams of this instance that a change concerns, those of its earlier start too,
// are recorded or can't be resumed any longer (R7).
func (t *Table) answersFor(now time.Time, id medlarid.ServiceID, s *service) bool {
	if s.assignment.From == s.assignment.To || t.prior == nil {
		return true
	}
	return t.prior.Used[id] >= s.assignment.Serial || now.Sub(t.firstRead) >= resumeTime
}

// updateSeen finds out whether all instances have read the assignment of a service, so that streams
// begin by it, and whether those of all do (R3).
func (t *Table) updateSeen(now time.Time, id medlarid.ServiceID, s *service) {
	if !s.assigned {
		return
	}
	if t.withheld && now.Sub(t.firstRead) >= resumeTime {
		t.seenDirty = true
	}
	serial := s.assignment.Serial
	if now.Sub(s.readAt) >= goneTime {
		maps.DeleteFunc(t.members, func(_ medlarid.InstanceID, m Seen) bool { return m.Used[id] < serial })
	}
	read, used, usedByAny := true, true, false
	for _, m := range t.members {
		read = read && m.Read[id] >= serial
		used = used && m.Used[id] >= serial
		usedByAny = usedByAny || m.Used[id] >= serial // all had read it then
	}
	if !s.used && (read || usedByAny || now.Sub(s.readAt) >= fenceTime) {
		s.used, t.seenDirty = true, true
	}
	switch {
	case !s.used || !used:
		s.usedAt = time.Time{}
	case s.usedAt.IsZero():
		s.usedAt = now
	}
}

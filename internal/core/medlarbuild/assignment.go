package medlarbuild

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
)

// NumBuckets is the number of buckets of an assignment.
const NumBuckets = 64

// Buckets holds the build of each bucket; empty for one that is not known.
type Buckets [NumBuckets]medlarid.Build

// Assignment says at which builds the streams of a service begin (R2).
type Assignment struct {
	Serial   uint64  // increases with each change
	From, To Buckets // before and after the change
}

// Claim is a change of a service's assignment, to be recorded only if no other instance has changed it
// meanwhile.
type Claim struct {
	Service    medlarid.ServiceID
	Assignment Assignment
}

// When an assignment is changed.
const (
	needTime     = 300 * time.Millisecond // a change is claimed once it is needed for this time
	lossTime     = 2 * time.Second        // or for this time if a build has lost upstreams, which may come back
	claimTimeout = time.Second            // of a claim without an answer
	settleSpread = 10                     // times the jitter of an instance, until it records what changes nothing
	tolerance    = NumBuckets / 6         // buckets by which a build may have more or fewer than its upstreams are worth
	minShare     = 1                      // buckets that a build with an upstream has at least
	maxBuilds    = 32                     // builds that get streams; of more, those with most upstreams
)

// service is what is known of the builds of a service.
type service struct {
	counts     map[medlarid.Build]int // upstreams that do not leave
	sole       medlarid.Build         // the only build until others were seen; empty if there were several from the start
	assigned   bool
	assignment Assignment
	readAt     time.Time // of assignment
	used       bool      // streams of this instance begin by assignment
	usedAt     time.Time // since when those of all instances are known to; zero if they do not
	needSince  time.Time // a change has been needed since then; zero if none is
	claimUntil time.Time // a claim is in flight until then
}

// SetUpstreams reports how many upstreams of a service there are that do not leave, by build; listed holds
// all builds, also of upstreams that leave.
func (t *Table) SetUpstreams(id medlarid.ServiceID, counts map[medlarid.Build]int, listed map[medlarid.Build]bool) {
	s := t.services[id]
	if s == nil {
		s = &service{}
		t.services[id] = s
	}
	s.counts = mostUsed(counts)
	if s.sole != "" || s.assigned {
		return
	}
	listed = maps.Clone(listed)
	delete(listed, "")
	if len(listed) == 1 {
		for b := range listed {
			s.sole = b
		}
	}
}

// mostUsed returns the known builds with their counts, at most maxBuilds.
func mostUsed(counts map[medlarid.Build]int) map[medlarid.Build]int {
	out := maps.Clone(counts)
	delete(out, "")
	if len(out) <= maxBuilds {
		return out
	}
	builds := slices.Collect(maps.Keys(out))
	slices.SortFunc(builds, func(a, b medlarid.Build) int {
		return cmp.Or(cmp.Compare(out[b], out[a]), cmp.Compare(a, b))
	})
	for _, b := range builds[maxBuilds:] {
		delete(out, b)
	}
	return out
}

// reportsBuilds reports whether the service's upstreams report their builds.
func (s *service) reportsBuilds() bool { return s.sole != "" || s.assigned || len(s.counts) > 0 }

// onlyBuild returns the build of all streams of the service, if there has been only one.
func (s *service) onlyBuild() (medlarid.Build, bool) {
	sole := s.sole
	if s.assigned {
		sole = s.assignment.To[0]
		if !s.hasOneBuild() || s.assignment.Serial > firstSerial {
			return "", false
		}
	}
	if sole == "" || len(s.counts) > 1 || len(s.counts) == 1 && s.counts[sole] == 0 {
		return "", false
	}
	return sole, true
}

// firstSerial is the serial number of the first assignment of a service.
const firstSerial = 1

// hasOneBuild reports whether all streams begin at one build, which all upstreams have.
func (s *service) hasOneBuild() bool {
	a := &s.assignment
	sole := a.To[0]
	for _, b := range a.To {
		if b != sole {
			return false
		}
	}
	return a.From == a.To && (len(s.counts) == 0 || len(s.counts) == 1 && s.counts[sole] > 0)
}

// derive returns the build at which a stream begins now, and whether each other instance derives the
// same one for all streams of its bucket that are not recorded (R2, R3).
func (s *service) derive(now time.Time, k Key) (build medlarid.Build, certain bool) {
	if !s.assigned {
		return s.sole, s.sole != ""
	}
	from, to := s.assignment.From[k.bucket()], s.assignment.To[k.bucket()]
	switch {
	case from == to || s.settled(now):
		return to, true
	case s.used:
		return to, false
	}
	return from, false
}

// settled reports whether all buckets are settled.
func (s *service) settled(now time.Time) bool {
	return !s.assigned || s.assignment.From == s.assignment.To || !s.usedAt.IsZero() && now.Sub(s.usedAt) >= settleTime
}

// ApplyAssignment applies a recorded assignment. It reports whether the record is older than
// what this instance holds, which it has to record again then: the store has lost it.
func (t *Table) ApplyAssignment(now time.Time, id medlarid.ServiceID, a Assignment) (older bool) {
	s := t.services[id]
	if s == nil {
		s = &service{}
		t.services[id] = s
	}
	if s.assigned && a.Serial <= s.assignment.Serial {
		if a.Serial == s.assignment.Serial && a.From == a.To && a.To == s.assignment.To {
			s.assignment = a // others have recorded that the change is settled
		}
		return a.Serial < s.assignment.Serial
	}
	s.assigned, s.assignment, s.readAt = true, a, now
	s.used, s.usedAt = a.From == a.To, time.Time{}
	s.needSince, s.claimUntil = time.Time{}, time.Time{}
	t.addExceptions(now, id, &a)
	t.seenDirty = true
	return false
}

// addExceptions records the streams in progress, or broken off lately, that began at another build than is
// derived from now on (R4). Those of a bucket that changes are among them even if they began at the
// new build, as others cannot tell.
func (t *Table) addExceptions(now time.Time, id medlarid.ServiceID, a *Assignment) {
	excepted := func(k Key, s stream) bool {
		b := k.bucket()
		return s.service == id && (a.To[b] != s.build || a.From[b] != s.build)
	}
	for k, o := range t.open {
		if excepted(k, o) {
			t.addException(k, o.build)
		}
	}
	for k, o := range t.broken {
		if now.Before(o.until) && excepted(k, o.stream) {
			t.addException(k, o.build)
			e := t.exceptions[k]
			e.until = now.Add(keepEnded)
			t.exceptions[k] = e
		}
	}
}

// Assignments returns all assignments, to be recorded again after the store came back from a copy.
func (t *Table) Assignments() []Claim {
	var out []Claim
	for _, id := range slices.Sorted(maps.Keys(t.services)) {
		if s := t.services[id]; s.assigned {
			out = append(out, Claim{Service: id, Assignment: s.assignment})
		}
	}
	t.dirty = t.dirty || len(t.exceptions) > 0
	t.seenDirty = true
	return out
}

// updateInterval is the minimum interval between two evaluations of all assignments.
const updateInterval = 20 * time.Millisecond

// Update claims the changes that are due. It is called at each tick.
func (t *Table) Update(now time.Time) {
	if now.Sub(t.updatedAt) < updateInterval {
		return
	}
	t.updatedAt = now
	for _, id := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[id]
		t.updateSeen(now, id, s)
		if t.stale(now) || !s.settled(now) {
			s.needSince = time.Time{}
			continue
		}
		next, needed, loss := s.next()
		if !needed {
			s.needSince = time.Time{}
			t.recordSettled(now, id, s)
			continue
		}
		if s.needSince.IsZero() {
			s.needSince = now
		}
		wait := needTime + t.jitter
		switch {
		case loss:
			wait = lossTime + t.jitter
		case next.From == next.To:
			wait = needTime + settleSpread*t.jitter // all instances may have started at once
		}
		if now.Sub(s.needSince) < wait || now.Before(s.claimUntil) {
			continue
		}
		t.claim(now, id, s, next)
	}
}

func (t *Table) claim(now time.Time, id medlarid.ServiceID, s *service, a Assignment) {
	s.claimUntil = now.Add(claimTimeout + t.jitter)
	t.claims = append(t.claims, Claim{Service: id, Assignment: a})
}

// recordSettled claims to record that a change is settled, for instances that start later: they
// cannot tell when a change was recorded.
func (t *Table) recordSettled(now time.Time, id medlarid.ServiceID, s *service) {
	a := s.assignment
	if a.From == a.To || now.Sub(s.usedAt) < settleTime+settleSpread*t.jitter || now.Before(s.claimUntil) {
		return
	}
	a.From = a.To
	t.claim(now, id, s, a)
}

// next returns the assignment that the upstreams ask for, whether it is needed (R3), and whether only
// since a build has lost upstreams.
func (s *service) next() (next Assignment, needed, loss bool) {
	if len(s.counts) == 0 {
		return next, false, false
	}
	current := s.current()
	want := shares(s.counts)
	have := map[medlarid.Build]int{}
	for _, b := range current {
		have[b]++
	}
	loss = true
	for b, n := range want {
		needed = needed || have[b] == 0 || abs(n-have[b]) > tolerance
		loss = loss && have[b] > 0
	}
	for b := range have {
		needed = needed || want[b] == 0
		loss = loss && b != ""
	}
	next = Assignment{Serial: s.assignment.Serial + 1, From: current, To: move(current, want, have)}
	return next, needed || !s.assigned, loss && s.assigned
}

// current returns the build of each bucket as it is now.
func (s *service) current() Buckets {
	if s.assigned {
		return s.assignment.To
	}
	var out Buckets
	for i := range out {
		out[i] = s.sole
	}
	return out
}

// shares returns how many buckets each build is worth by its upstreams.
func shares(counts map[medlarid.Build]int) map[medlarid.Build]int {
	builds := slices.Sorted(maps.Keys(counts))
	total := 0
	for _, n := range counts {
		total += n
	}
	out := map[medlarid.Build]int{}
	left := NumBuckets
	for _, b := range builds {
		out[b] = max(NumBuckets*counts[b]/total, minShare)
		left -= out[b]
	}
	slices.SortStableFunc(builds, func(a, b medlarid.Build) int { return cmp.Compare(counts[b], counts[a]) })
	for i := 0; left != 0; i = (i + 1) % len(builds) {
		step := max(min(left, 1), -1)
		if out[builds[i]]+step < minShare {
			continue
		}
		out[builds[i]] += step
		left -= step
	}
	return out
}

// move returns the buckets with as few changes as give each build what it is worth.
func move(current Buckets, want, have map[medlarid.Build]int) Buckets {
	have = maps.Clone(have)
	builds := slices.Sorted(maps.Keys(want))
	for i, b := range current {
		if have[b] <= want[b] {
			continue
		}
		to := slices.IndexFunc(builds, func(c medlarid.Build) bool { return have[c] < want[c] })
		if to < 0 {
			break
		}
		current[i] = builds[to]
		have[b]--
		have[builds[to]]++
	}
	return current
}

func abs(n int) int { return max(n, -n) }

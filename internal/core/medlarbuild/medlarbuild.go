// Package medlarbuild knows at which software version (build) of its service's upstreams a stream
// has to go on, also if another instance began it.
//
// Rules:
//
//	R1  A stream is identified by its account and the id of the request that brought its
//	    first event, which a caller names when it resumes the stream.
//	R2  Streams are spread over buckets by a hash of that. The assignment of a service says at
//	    which build the streams of a bucket begin. All instances read the same assignment, so
//	    each derives the build of a stream from what the caller repeats.
//	R3  The assignment follows the upstreams: a change is claimed through the store, so that of
//	    several only one counts, and only once it is needed for a while. Each instance records
//	    that it has read it. Streams begin by it once all have, or after fenceTime, when an
//	    instance that has not read it knows that it is cut off. Each records that, too, and a
//	    bucket that changes is settled a while after all have. An instance that does not for
//	    goneTime counts as gone.
//	R4  Exceptions are recorded for all instances: streams in progress, or broken off lately, in a bucket
//	    that changes, streams that begin in one that is not settled, and streams that begin at
//	    another build than the derived one, since that has no upstream that can take them. The
//	    caller gets the first event of such a stream once it is recorded, if the store accepts that.
//	R5  A stream is resumed at the build that this instance knows, that is recorded, or that is
//	    derived, in this order. It is derived only after a read of all records that began later
//	    than the request came, since another instance may just have recorded an exception. It
//	    is not resumed if the derived one is not certain: in a bucket that is not settled,
//	    without a named stream, or if the instance has not read the records for maxAge.
//	R6  Also that a service has one build so far is recorded, as an assignment of all buckets to it: once
//	    all instances were killed and its upstreams replaced, nobody else knows of it. Upstreams whose
//	    build is not known get streams that can be resumed only if there are no others, and
//	    these are never resumed.
//	R7  An instance that was killed may not have recorded all streams that it began before it followed a
//	    change. So its next start records that it follows such a change only when none of them can
//	    be resumed any longer, and the buckets are not settled until then.
//	R8  What is held in memory, and recorded, does not grow with the number of streams.
package medlarbuild

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"time"

	"medlarfield/internal/base/medlarid"
)

// Times of the rules.
const (
	maxAge     = 2600 * time.Millisecond // of the last read, beyond which nothing can be derived (R5)
	fenceTime  = maxAge + time.Second    // from the read of a change until streams begin by it at the latest (R3)
	settleTime = time.Second             // in which all instances read what others have recorded before
	goneTime   = 20 * time.Second        // from the read of a change until an instance that does not follow counts as gone
	writeTime  = 200 * time.Millisecond  // longest time of a write to a store that can be reached
	idleTime   = 2500 * time.Millisecond // longest time between two reads of an instance that reaches the store
	keepEnded  = 20 * time.Second        // a stream may be resumed for this time after its end
	keepKnown  = time.Minute             // a recorded stream is remembered for this time
	resumeTime = keepEnded               // after the start of an instance, in which streams of its earlier start may be resumed (R7)
	priorTime  = 500 * time.Millisecond  // from the first read until the records of an earlier start are known to have come
)

// Bounds (R8).
const (
	maxKnown      = 1 << 15 // streams whose build is remembered
	maxMembers    = 4096    // instances that are known
	maxExceptions = 2048    // streams in this instance's record
)

// Unknown is the build of a stream that can go on at no upstream, since the upstream that began it
// did not report its build.
const Unknown medlarid.Build = "?"

// Key identifies a stream (R1); 0 is no stream.
type Key uint64

// KeyOf returns the key of the stream that a request of an account began.
func KeyOf(account medlarid.AccountID, id medlarid.RequestID) Key {
	b := binary.AppendUvarint(nil, uint64(len(account)))
	b = append(append(b, account...), id...)
	sum := sha256.Sum256(b)
	return max(Key(binary.BigEndian.Uint64(sum[:])), 1)
}

// Fraction returns a number from 0 to 1 that is the same for each request of the stream.
func (k Key) Fraction() float64 { return float64(k>>11) / (1 << 53) }

func (k Key) bucket() int { return int(k % NumBuckets) }

// Table holds assignments and streams. It is not safe for concurrent use.
type Table struct {
	self       medlarid.InstanceID
	firstRead  time.Time     // of the records; zero for never
	prior      *Seen         // how far the earlier start of this instance followed; nil for none
	recording  bool          // this start has recorded how far it follows
	withheld   bool          // not recorded yet that this instance follows a change (R7)
	jitter     time.Duration // this instance waits longer than others before it claims a change
	services   map[medlarid.ServiceID]*service
	readAt     time.Time                    // of the records; zero for never
	members    map[medlarid.InstanceID]Seen // how far instances follow, this one included
	seenDirty  bool                         // how far this instance follows is to be recorded
	open       map[Key]stream
	broken     map[Key]brokenStream // that ended here before they were complete, for keepEnded
	known      *streams             // served by this instance, or recorded by another one
	exceptions map[Key]exception
	dirty      bool // the exceptions are to be recorded
	recordedAt time.Time
	serial     uint64    // of the last record of exceptions
	written    uint64    // of the last one that the store has accepted
	recorded   bool      // a record of this instance exists
	unwritten  time.Time // of the first record that the store has not accepted yet; zero for none
	claims     []Claim
	updatedAt  time.Time
}

// stream is a stream in progress at this instance.
type stream struct {
	service medlarid.ServiceID
	build   medlarid.Build
}

// brokenStream is a stream that ended at this instance before it was complete.
type brokenStream struct {
	stream
	until time.Time // it may be resumed
}

// exception is a stream of this instance's record; until is zero while it is in progress.
type exception struct {
	build  medlarid.Build
	until  time.Time
	serial uint64 // of the first record that has it
}

// New returns an empty table of an instance. jitter differs among instances.
func New(self medlarid.InstanceID, jitter time.Duration) *Table {
	return &Table{self: self, jitter: jitter, services: map[medlarid.ServiceID]*service{}, members: map[medlarid.InstanceID]Seen{}, open: map[Key]stream{}, broken: map[Key]brokenStream{}, known: newStreams(maxKnown), exceptions: map[Key]exception{}}
}

// SetRead reports that the records of all instances are known as of now.
func (t *Table) SetRead(now time.Time) {
	if t.firstRead.IsZero() {
		t.firstRead, t.seenDirty = now, true
	}
	t.readAt = now
}

// stale reports whether the records have not been read for so long that nothing can be derived (R5).
func (t *Table) stale(now time.Time) bool { return now.Sub(t.readAt) > maxAge }

// ReportsBuilds reports whether the upstreams of a service report their builds.
func (t *Table) ReportsBuilds(id medlarid.ServiceID) bool {
	s := t.services[id]
	return s != nil && s.reportsBuilds()
}

// CanRecord reports whether this instance reaches the store, as far as it knows, so that what it records
// is read.
func (t *Table) CanRecord(now time.Time) bool {
	written := t.unwritten.IsZero() || now.Sub(t.unwritten) <= writeTime
	return written && now.Sub(t.readAt) <= idleTime
}

// SetWritten reports that the store has accepted records of this instance, and the record of exceptions with a
// serial number; 0 for none.
func (t *Table) SetWritten(serial uint64) {
	t.unwritten = time.Time{}
	t.written = max(t.written, serial)
}

// Recorded reports whether other instances can tell at which build a stream that begins here goes on: they derive it,
// or it is recorded.
func (t *Table) Recorded(k Key) bool {
	e, ok := t.exceptions[k]
	return !ok || e.serial <= t.written
}

// NewStreamBuild returns the build at which a new stream begins; empty for any.
func (t *Table) NewStreamBuild(now time.Time, id medlarid.ServiceID, k Key) medlarid.Build {
	s := t.services[id]
	if s == nil || !s.reportsBuilds() {
		return ""
	}
	build, _ := s.derive(now, k)
	return build
}

// NeedsRead reports whether the records have to be read before it is decided at which build a stream goes on (R5).
func (t *Table) NeedsRead(now time.Time, id medlarid.ServiceID, k Key) bool {
	if _, known := t.known.get(now, k); known && k != 0 {
		return false
	}
	s := t.services[id]
	return s != nil && k != 0 && (s.assigned && !s.hasOneBuild() || len(s.counts) > 1)
}

// ResumeBuild returns the build at which a stream goes on; empty for any. ok is false if that is not
// certain (R5).
func (t *Table) ResumeBuild(now time.Time, id medlarid.ServiceID, k Key) (build medlarid.Build, ok bool) {
	if b, known := t.known.get(now, k); known && k != 0 {
		return b, true
	}
	s := t.services[id]
	switch {
	case s == nil || !s.reportsBuilds():
		return "", true
	case t.stale(now):
		return "", false
	case k == 0:
		return s.onlyBuild()
	}
	build, certain := s.derive(now, k)
	return build, certain && build != ""
}

// AttemptStarted reports that an attempt with which a stream may begin starts at an upstream with a build (R4).
func (t *Table) AttemptStarted(now time.Time, id medlarid.ServiceID, k Key, build medlarid.Build) {
	s := t.services[id]
	if s == nil || !s.reportsBuilds() {
		return
	}
	derived, certain := s.derive(now, k)
	_, before := t.exceptions[k]
	if certain && derived == build && !before && !t.stale(now) {
		return
	}
	t.addException(k, build)
}

// StreamBegan reports that the first event of a stream has come, from an upstream with a build. The
// stream is in progress until StreamEnded.
func (t *Table) StreamBegan(now time.Time, id medlarid.ServiceID, k Key, build medlarid.Build) {
	t.AttemptStarted(now, id, k, build) // the assignment may have changed since the attempt started
	t.open[k] = stream{service: id, build: build}
	delete(t.broken, k)
	t.known.set(now, k, build)
}

// StreamEnded reports that a stream, or a request that would have begun one, has ended at this instance. One
// that is not complete may be resumed.
func (t *Table) StreamEnded(now time.Time, k Key, complete bool) {
	if o, ok := t.open[k]; ok {
		t.known.set(now, k, o.build)
		delete(t.open, k)
		if !complete {
			t.addBroken(now, k, o)
		}
	}
	if e, ok := t.exceptions[k]; ok {
		t.exceptions[k] = exception{build: e.build, until: now.Add(keepEnded), serial: e.serial}
	}
}

// addBroken remembers a stream that was broken off.
func (t *Table) addBroken(now time.Time, k Key, s stream) {
	if len(t.broken) >= maxExceptions {
		maps.DeleteFunc(t.broken, func(_ Key, b brokenStream) bool { return now.After(b.until) })
	}
	if len(t.broken) < maxExceptions {
		t.broken[k] = brokenStream{stream: s, until: now.Add(keepEnded)}
	}
}

// addException adds a stream to this instance's record (R4).
func (t *Table) addException(k Key, build medlarid.Build) {
	if e, ok := t.exceptions[k]; ok && e.build == build && e.until.IsZero() {
		return
	}
	if len(t.exceptions) >= maxExceptions {
		t.dropException()
	}
	t.exceptions[k] = exception{build: build, serial: t.serial + 1}
	t.dirty = true
}

// dropException makes room for an exception: one that has ended first.
func (t *Table) dropException() {
	var oldest Key
	for k, e := range t.exceptions {
		o := t.exceptions[oldest]
		if oldest == 0 || !e.until.IsZero() && (o.until.IsZero() || e.until.Before(o.until)) {
			oldest = k
		}
	}
	delete(t.exceptions, oldest)
}

// ApplyStreams applies the record of an instance: streams and their builds.
func (t *Table) ApplyStreams(now time.Time, builds map[Key]medlarid.Build) {
	for k, b := range builds {
		if _, own := t.open[k]; !own {
			t.known.set(now, k, b)
		}
	}
}

// recordInterval is the minimum interval between two records of this instance's exceptions.
const recordInterval = 60 * time.Millisecond

// TakeRecord returns this instance's exceptions if they are to be recorded: they have changed, or none is left.
func (t *Table) TakeRecord(now time.Time) (builds map[Key]medlarid.Build, serial uint64, ok bool) {
	if now.Sub(t.recordedAt) < recordInterval && !t.seenDirty {
		return nil, 0, false
	}
	maps.DeleteFunc(t.exceptions, func(_ Key, e exception) bool { return !e.until.IsZero() && now.After(e.until) })
	if !t.dirty && (len(t.exceptions) > 0 || !t.recorded) {
		return nil, 0, false
	}
	builds = map[Key]medlarid.Build{}
	for k, e := range t.exceptions {
		builds[k] = e.build
	}
	t.dirty, t.recordedAt, t.recorded = false, now, len(builds) > 0
	if t.unwritten.IsZero() {
		t.unwritten = now
	}
	t.serial++
	return builds, t.serial, true
}

// TakeClaims returns the changes of assignments to be claimed since the last call.
func (t *Table) TakeClaims() []Claim {
	out := t.claims
	t.claims = nil
	return out
}

// Pending reports whether an update is due soon.
func (t *Table) Pending() bool {
	if t.dirty || t.seenDirty {
		return true
	}
	for _, s := range t.services {
		if s.assigned && s.assignment.From != s.assignment.To {
			return true
		}
	}
	return false
}

// streams remembers the builds of the streams that were set last.
type streams struct {
	at   map[Key]knownStream
	ring []Key
	next int // index of the oldest key, once the ring is full
}

type knownStream struct {
	build medlarid.Build
	at    time.Time
}

func newStreams(size int) *streams {
	return &streams{at: map[Key]knownStream{}, ring: make([]Key, 0, size)}
}

func (s *streams) get(now time.Time, k Key) (medlarid.Build, bool) {
	b, ok := s.at[k]
	return b.build, ok && now.Sub(b.at) <= keepKnown
}

func (s *streams) set(now time.Time, k Key, b medlarid.Build) {
	_, known := s.at[k]
	s.at[k] = knownStream{build: b, at: now}
	switch {
	case known:
		return
	case len(s.ring) < cap(s.ring):
		s.ring = append(s.ring, k)
		return
	}
	delete(s.at, s.ring[s.next])
	s.ring[s.next] = k
	s.next = (s.next + 1) % len(s.ring)
}

// Package medlarresume keeps each stream at upstreams of the software version (build) that began it.
//
// Rules:
//
//	R1  A new stream that can be resumed is to begin at the build that all instances derive
//	    for it. If no upstream of that build is usable, or none has room for overflowDelay,
//	    it begins at another one, which is recorded. An instance that cannot record it, and may
//	    be killed before it can, leaves the stream to others.
//	R2  From its first event on, a stream goes on at its build only, within one answer and
//	    when its caller resumes it at any instance. An instance that does not know the build
//	    reads first what the others have recorded.
//	R3  A stream that may neither begin nor go on at any upstream is refused at once.
//	R4  The caller gets the first event of a stream that others cannot derive once it is recorded.
package medlarresume

import (
	"cmp"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbuild"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// RetryAfter is the time after which a caller may try again to resume a stream: replicas
// that crashed are back, and what instances record of streams is read.
const RetryAfter = time.Second

// overflowDelay is the time that a stream waits for an upstream of its build before it may begin at
// another one (R1).
const overflowDelay = 40 * time.Millisecond

// readTimeout is the longest time that a run waits for what other instances have recorded.
const readTimeout = 500 * time.Millisecond

// System decides where streams begin and go on.
type System struct {
	builds   map[medlarid.InstanceID]medlarid.Build // of upstreams, when they were listed last
	awaiting []*medlarworld.Run                     // runs that wait for what other instances have recorded (R2)
	readAt   time.Time                              // since when that is being read; zero if it is not
}

// New returns a System.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.InstancesListed:
			countUpstreams(w)
			s.findChanges(w)
		case medlarworld.Submitted:
			s.prepare(w, e.Run)
		case medlarworld.AnswerBegan:
			fix(w, e)
		case medlarworld.NoticesRead:
			w.Builds.SetRead(w.Now)
		case medlarworld.NoticesCurrent:
			s.noticesCurrent(w, e)
		case medlarworld.NoticesWritten:
			w.Builds.SetWritten(e.Streams)
		case medlarworld.BuildsAssigned:
			applyAssignment(w, e)
		case medlarworld.AssignmentsSeen:
			w.Builds.ApplySeen(e.Instance, e.Seen)
		case medlarworld.StreamsRecorded:
			w.Builds.ApplyStreams(w.Now, e.Builds)
		case medlarworld.RecordsRestored:
			restore(w)
		}
	}
	endStreams(w)
	s.readNotices(w)
	tellRecorded(w)
	refuseWaiting(w)
	w.Builds.Update(w.Now)
	emit(w)
}

// countUpstreams counts the upstreams of each service by their build.
func countUpstreams(w *medlarworld.World) {
	for id, upstreams := range w.Services {
		counts, listed := map[medlarid.Build]int{}, map[medlarid.Build]bool{}
		for _, u := range upstreams {
			if u.Delisted || u.Kind != medlarkind.KindEngine {
				continue
			}
			listed[u.Build] = true
			if !u.Leaving {
				counts[u.Build]++
			}
		}
		if len(listed) > 0 {
			w.Builds.SetUpstreams(id, counts, listed)
		}
	}
}

// findChanges finds upstreams that are listed with another build than before: they have started again
// under their id. Streams in progress there are at the new build, since those of the earlier
// start have ended with it.
func (s *System) findChanges(w *medlarworld.World) {
	old := s.builds
	s.builds = make(map[medlarid.InstanceID]medlarid.Build, len(w.Upstreams))
	for id, u := range w.Upstreams {
		s.builds[id] = u.Build
	}
	for _, r := range w.Streams {
		if u := r.Upstream; u != nil && r.BuildFixed && u.Build != r.Build && old[u.ID] == r.Build {
			w.Builds.StreamBegan(w.Now, r.Service, r.Stream, reportedBuild(u))
			r.Build = reportedBuild(u)
		}
	}
}

// prepare decides at which build a new run's stream begins or goes on.
func (s *System) prepare(w *medlarworld.World, r *medlarworld.Run) {
	switch {
	case r.Resumes && w.Builds.NeedsRead(w.Now, r.Service, r.Stream):
		r.AwaitsNotices, r.NotBefore = true, w.Now.Add(readTimeout)
		s.awaiting = append(s.awaiting, r)
	case r.Resumes:
		resume(w, r)
	default:
		r.Build = BeginAt(w, r)
	}
	if r.Stream != 0 {
		w.Streams = append(w.Streams, r)
	}
}

// BeginAt returns the build at which a new run's stream begins; empty for any (R1).
func BeginAt(w *medlarworld.World, r *medlarworld.Run) medlarid.Build {
	if r.Stream == 0 {
		return ""
	}
	return w.Builds.NewStreamBuild(w.Now, r.Service, r.Stream)
}

// resume decides at which build a stream goes on.
func resume(w *medlarworld.World, r *medlarworld.Run) {
	build, ok := w.Builds.ResumeBuild(w.Now, r.Service, r.Stream)
	if !ok {
		build = medlarbuild.Unknown
	}
	r.Build, r.BuildFixed = build, build != ""
}

// noticesCurrent decides on the runs that came before a read has begun.
func (s *System) noticesCurrent(w *medlarworld.World, e medlarworld.NoticesCurrent) {
	if e.AsOf.Equal(s.readAt) {
		s.readAt = time.Time{}
	}
	if !e.Failed {
		w.Builds.SetRead(w.Now)
	}
	s.decide(w, !e.Failed, func(r *medlarworld.Run) bool { return !r.Arrived.After(e.AsOf) })
}

// decide ends the wait of the runs for which due is true. Without what the others have recorded they can
// go on nowhere.
func (s *System) decide(w *medlarworld.World, read bool, due func(*medlarworld.Run) bool) {
	s.awaiting = slices.DeleteFunc(s.awaiting, func(r *medlarworld.Run) bool {
		if !due(r) {
			return r.Phase == medlarkind.PhaseDone
		}
		r.AwaitsNotices, r.NotBefore = false, time.Time{}
		r.Build, r.BuildFixed = medlarbuild.Unknown, true
		if read {
			resume(w, r)
		}
		return true
	})
}

// readNotices asks for what the others have recorded, one read at a time, and ends waits that last too long.
func (s *System) readNotices(w *medlarworld.World) {
	s.decide(w, false, func(r *medlarworld.Run) bool { return !w.Now.Before(r.NotBefore) })
	if len(s.awaiting) == 0 || !s.readAt.IsZero() && w.Now.Sub(s.readAt) < readTimeout {
		return
	}
	s.readAt = w.Now
	w.Emit(medlarworld.ReadNotices{At: w.Now})
}

// Started reports that an attempt of a run starts at an upstream. It returns whether the caller must get no event before
// the stream is recorded (R4).
func Started(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream) (awaitRecord bool) {
	if r.Stream == 0 {
		return false
	}
	w.Builds.AttemptStarted(w.Now, r.Service, r.Stream, reportedBuild(u))
	r.AwaitsRecord = !w.Builds.Recorded(r.Stream)
	return r.AwaitsRecord
}

// tellRecorded tells the runs that wait for it that their streams are recorded (R4).
func tellRecorded(w *medlarworld.World) {
	for _, r := range w.Streams {
		if r.AwaitsRecord && w.Builds.Recorded(r.Stream) {
			r.AwaitsRecord = false
			w.Emit(medlarworld.StreamRecorded{Run: r.ID, Attempt: r.Attempt})
		}
	}
}

// reportedBuild returns the build that an upstream reports, or medlarbuild.Unknown.
func reportedBuild(u *medlarupstream.Upstream) medlarid.Build {
	return cmp.Or(u.Build, medlarbuild.Unknown)
}

// fix makes a stream go on at the build that brought its first event (R2).
func fix(w *medlarworld.World, e medlarworld.AnswerBegan) {
	r := w.Runs[e.Run]
	if r == nil || r.Attempt != e.Attempt || r.Upstream == nil || r.Stream == 0 && !r.Resumes {
		return
	}
	if r.Stream != 0 {
		w.Builds.StreamBegan(w.Now, r.Service, r.Stream, reportedBuild(r.Upstream))
	}
	if !w.Builds.ReportsBuilds(r.Service) {
		return
	}
	r.Build, r.BuildFixed = reportedBuild(r.Upstream), true
}

func applyAssignment(w *medlarworld.World, e medlarworld.BuildsAssigned) {
	if e.Dropped || w.Builds.ApplyAssignment(w.Now, e.Service, e.Assignment) {
		restore(w)
	}
}

// restore records again what the store has lost.
func restore(w *medlarworld.World) {
	for _, c := range w.Builds.Assignments() {
		w.Emit(medlarworld.AssignBuilds{Service: c.Service, Assignment: c.Assignment})
	}
}

// endStreams reports the streams of runs that have ended.
func endStreams(w *medlarworld.World) {
	w.Streams = slices.DeleteFunc(w.Streams, func(r *medlarworld.Run) bool {
		ended := r.Phase == medlarkind.PhaseDone
		if ended {
			w.Builds.StreamEnded(w.Now, r.Stream, r.Complete)
		}
		return ended
	})
}

// refuseWaiting refuses the waiting runs whose stream can go on nowhere (R3).
func refuseWaiting(w *medlarworld.World) {
	kept := w.Waiting[:0]
	for _, r := range w.Waiting {
		if !CanGoOn(w, r) {
			w.Refuse(r, medlarreason.Unresumable, RetryAfter)
			continue
		}
		kept = append(kept, r)
	}
	clear(w.Waiting[len(kept):])
	w.Waiting = kept
}

// CanGoOn reports whether the stream of a run has an upstream to begin or to go on at (R3).
func CanGoOn(w *medlarworld.World, r *medlarworld.Run) bool {
	if r.AwaitsNotices {
		return true
	}
	if r.BuildFixed {
		return slices.ContainsFunc(w.UpstreamsFor(r.Target()), func(u *medlarupstream.Upstream) bool {
			return u.Build == r.Build && !u.Leaving && !u.Delisted && !u.Evacuated
		})
	}
	return r.Build == "" || w.Builds.CanRecord(w.Now) || hasUsable(w, r)
}

// MayOverflow reports whether a stream may begin at another build than the derived one (R1).
func MayOverflow(w *medlarworld.World, r *medlarworld.Run) bool {
	if r.BuildFixed || r.Build == "" || !w.Builds.CanRecord(w.Now) {
		return false
	}
	return w.Now.Sub(r.Arrived) >= overflowDelay || !hasUsable(w, r)
}

// hasUsable reports whether an upstream of a run's build is usable.
func hasUsable(w *medlarworld.World, r *medlarworld.Run) bool {
	return slices.ContainsFunc(w.UpstreamsFor(r.Target()), func(u *medlarupstream.Upstream) bool {
		return u.Build == r.Build && u.Usable(w.Now)
	})
}

// emit emits what is to be recorded.
func emit(w *medlarworld.World) {
	for _, c := range w.Builds.TakeClaims() {
		w.Emit(medlarworld.AssignBuilds{Service: c.Service, Assignment: c.Assignment, Claim: true})
	}
	if builds, serial, ok := w.Builds.TakeRecord(w.Now); ok {
		w.Emit(medlarworld.RecordStreams{Builds: builds, Serial: serial})
	}
	if seen, ok := w.Builds.TakeSeen(w.Now); ok {
		w.Emit(medlarworld.RecordSeen{Seen: seen})
	}
}

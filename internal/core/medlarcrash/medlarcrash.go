// Package medlarcrash keeps requests that crash replicas from further replicas.
//
// Rules:
//
//	R1  An attempt that was lost before its answer began, or shortly after, makes its request
//	    suspect if the replica has crashed: it refuses new connections, answers neither this instance nor
//	    another one, or is listed under a new incarnation soon after, unless it was known to have crashed under the
//	    one before. A replica that leaves is not suspected to have crashed.
//	    Unless it refuses connections, the replica may have been down before the attempt: behind a
//	    proxy or a balancer connections to it open nevertheless. Its report states how long before the
//	    loss this instance last received anything from it, or read that it has started.
//	R2  What was lost with a replica is reported to all instances, once more whenever
//	    more is known.
//	R3  A run with a blocked trait starts no attempt, be it new, waiting, or to be resumed
//	    elsewhere. It is refused at once.
//	R4  A run that was lost with maxRunCrashes replicas starts no further attempt: it
//	    may be the cause, even if the trait is not known yet. Neither does a trial that has
//	    reached a replica.
//	R5  An answer that the end of its connection delimits, soon after it began, clears its request only if the
//	    replica is known to have outlived it: a crash may have cut it off between two events. If the replica has
//	    crashed, the request is suspect like one whose attempt was lost.
package medlarcrash

import (
	"maps"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarworld"
)

// Times and counts of the rules.
const (
	beginning     = 250 * time.Millisecond // an answer that began less than this ago may have crashed the replica (R1)
	neverSeen     = time.Hour              // stated for a replica from which nothing was received
	lossWindow    = 5 * time.Second        // in which a new incarnation shows that a replica has crashed (R1)
	maxRunCrashes = 2                      // R4
	listAge       = 2 * time.Second        // of entries that tell of a start just now (R1)
	startMemory   = 15 * time.Minute       // of starts whose entries are gone: a store that comes back from a copy names them again

	// RetryAfter is the time after which a caller may try a request with a blocked trait again.
	RetryAfter = 30 * time.Second
)

// System finds crashes of replicas and refuses the runs that must not go on.
type System struct {
	losses    []*loss
	ends      []*delimited // answers that are not confirmed yet (R5)
	seen      map[medlarid.InstanceID]seen
	starts    map[medlarid.InstanceID]seen // the latest start of each replica, and when it was listed last
	currentAt time.Time                    // when the replicas' entries were known last
}

// seen is when a replica was up last, under an incarnation.
type seen struct {
	incarnation medlarid.Incarnation
	at          time.Time
}

// loss is what this instance has lost with one end of a replica.
type loss struct {
	id             medlarsuspect.CrashID
	at, firstAt    time.Time // of the last and the first lost attempt
	proven         bool      // the replica was up until the loss
	seenAt         time.Time // when something was received from the replica last before the first loss; zero for never
	begun, waiting []medlarsuspect.Trait
	runs           []medlarid.RequestID // lost before their answer began, and not yet counted
	probing        bool                 // a probe is in flight
	crashed        bool
}

// New returns a System.
func New() *System {
	return &System{seen: map[medlarid.InstanceID]seen{}, starts: map[medlarid.InstanceID]seen{}}
}

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	changed := false
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.AnswerBegan:
			s.received(w, currentRun(w, e.Run, e.Attempt))
			continue
		case medlarworld.AttemptEnded:
			s.attemptEnded(w, e)
			continue
		case medlarworld.UpstreamProbed:
			s.probed(w, e)
		case medlarworld.ReplicasCurrent:
			s.currentAt = w.Now
			continue
		case medlarworld.InstancesListed:
			s.findRestarts(w)
			s.findStarts(w)
		case medlarworld.CrashReported:
			w.Suspects.AddReport(w.Now, e.Report, false)
		case medlarworld.BlockRecorded:
			applyRecord(w, e)
		case medlarworld.TrialGranted:
			w.Suspects.GrantTrial(w.Now, e.Trait, e.Trials)
		case medlarworld.RecordsRestored:
			w.Suspects.Restore()
		default:
			continue
		}
		changed = true
	}
	returnTrials(w)
	s.confirm(w)
	w.Suspects.Update(w.Now)
	s.forget(w)
	for _, r := range w.Suspects.TakeRecords() {
		w.Emit(medlarworld.RecordBlock{Record: r})
	}
	for _, c := range w.Suspects.TakeChanges() {
		w.Emit(medlarworld.BlockChanged{Change: c})
		changed = true
	}
	if changed {
		refuseBlocked(w)
	}
}

// returnTrials returns the trials of runs that have ended without reaching an upstream.
func returnTrials(w *medlarworld.World) {
	w.Trials = slices.DeleteFunc(w.Trials, func(r *medlarworld.Run) bool {
		ended := r.Phase == medlarkind.PhaseDone
		if ended && !r.Reached {
			w.Suspects.ReturnTrial(w.Now, r.Traits)
		}
		return ended
	})
}

func applyRecord(w *medlarworld.World, e medlarworld.BlockRecorded) {
	if e.Dropped {
		w.Suspects.ApplyDrop(e.Trait)
		return
	}
	w.Suspects.ApplyBlock(w.Now, e.Trait, e.Block)
}

// currentRun returns the run if the attempt is its current one, or nil.
func currentRun(w *medlarworld.World, id medlarid.RequestID, attempt int) *medlarworld.Run {
	r := w.Runs[id]
	if r == nil || r.Attempt != attempt || r.Upstream == nil {
		return nil
	}
	return r
}

func (s *System) attemptEnded(w *medlarworld.World, e medlarworld.AttemptEnded) {
	r := currentRun(w, e.Run, e.Attempt)
	if e.Head || e.Cause == medlarkind.CauseDone || e.Cause == medlarkind.CauseAnswered {
		s.received(w, r)
	}
	if r == nil || len(r.Traits) == 0 {
		return
	}
	switch {
	case e.Cause == medlarkind.CauseDone && e.Delimited && e.Began < beginning:
		s.delimitedAnswer(w, r, e)
	case e.Cause == medlarkind.CauseDone:
		w.Suspects.Answered(w.Now, w.Now.Add(-e.Began), r.Traits)
	case e.Lost && !r.Upstream.Leaving && e.Began < beginning:
		s.lost(w, r, e)
	}
}

// received records that something was received from the upstream of a run.
func (s *System) received(w *medlarworld.World, r *medlarworld.Run) {
	if r != nil {
		s.seen[r.Upstream.ID] = seen{r.Upstream.Incarnation, w.Now}
	}
}

// seenAt returns when something was received last from a replica under the incarnation of a crash; zero for never.
func (s *System) seenAt(id medlarsuspect.CrashID) time.Time {
	if b := s.seen[id.Replica]; b.incarnation == id.Incarnation {
		return b.at
	}
	return time.Time{}
}

// unseen returns for how long nothing had been received from the replica before the first loss; 0 if it was up until then.
func (l *loss) unseen() time.Duration {
	switch {
	case l.proven:
		return 0
	case l.seenAt.IsZero():
		return neverSeen
	}
	return min(l.firstAt.Sub(l.seenAt), neverSeen)
}

// lost records a lost attempt and asks whether its upstream is down (R1).
func (s *System) lost(w *medlarworld.World, r *medlarworld.Run, e medlarworld.AttemptEnded) {
	r.Trial = false
	u := r.Upstream
	l := s.lossOf(w.Suspects.Identify(u.ID, u.Incarnation, e.Connected), w.Now)
	l.at, l.proven = w.Now, l.proven || e.Head
	l.runs = append(l.runs, r.ID)
	if e.Head {
		l.begun = append(l.begun, r.Traits...)
	} else {
		l.waiting = append(l.waiting, r.Traits...)
	}
	if l.crashed {
		s.report(w, l)
		return
	}
	l.probe(w, u.Address)
}

// lossOf returns what was lost with an end of a replica, which is remembered from now on; at is the time of the first loss
// if there was none yet.
func (s *System) lossOf(id medlarsuspect.CrashID, at time.Time) *loss {
	l := s.find(id)
	if l == nil {
		l = &loss{id: id, at: at, firstAt: at, seenAt: s.seenAt(id)}
		s.losses = append(s.losses, l)
	}
	return l
}

// probe asks whether the upstream is down, unless that was asked already.
func (l *loss) probe(w *medlarworld.World, at medlarid.Address) {
	if l.probing {
		return
	}
	l.probing = true
	w.Emit(medlarworld.ProbeUpstream{Crash: l.id, Address: at})
}

func (s *System) find(id medlarsuspect.CrashID) *loss {
	if i := slices.IndexFunc(s.losses, func(l *loss) bool { return l.id == id }); i >= 0 {
		return s.losses[i]
	}
	return nil
}

func (s *System) probed(w *medlarworld.World, e medlarworld.UpstreamProbed) {
	l := s.find(e.Crash)
	if l == nil {
		return
	}
	l.probing = false
	if e.Answered {
		s.outlived(w, l.id)
	}
	if !e.Down || l.crashed {
		return
	}
	l.crashed, l.proven = true, l.proven || e.Refused
	s.report(w, l)
}

// findRestarts finds replicas that have started again after attempts were lost with them (R1).
func (s *System) findRestarts(w *medlarworld.World) {
	maps.DeleteFunc(s.seen, func(id medlarid.InstanceID, _ seen) bool { return w.Upstreams[id] == nil })
	for _, l := range s.losses {
		// After an earlier end the new incarnation may be the start that followed that one.
		if u := w.Upstreams[l.id.Replica]; u != nil && u.Incarnation != l.id.Incarnation && l.id.End == 0 && !l.crashed {
			l.crashed = true
			s.report(w, l)
		}
	}
}

// findStarts takes note of replicas that have just started, which were up then. Of those whose entries this instance reads
// late, or when it starts, that is not known.
func (s *System) findStarts(w *medlarworld.World) {
	recent := !s.currentAt.IsZero() && w.Now.Sub(s.currentAt) <= listAge
	for id, u := range w.Upstreams {
		last, known := s.starts[id]
		if u.Delisted || known && u.Incarnation < last.incarnation {
			continue
		}
		s.starts[id] = seen{u.Incarnation, w.Now}
		if recent && (!known || u.Incarnation > last.incarnation) {
			s.seen[id] = s.starts[id]
		}
	}
	maps.DeleteFunc(s.starts, func(_ medlarid.InstanceID, b seen) bool { return w.Now.Sub(b.at) > startMemory })
}

// report reports what was lost with a replica that crashed (R2).
func (s *System) report(w *medlarworld.World, l *loss) {
	for _, id := range l.runs {
		if r := w.Runs[id]; r != nil {
			r.Crashes++
		}
	}
	l.runs = nil
	report := medlarsuspect.Report{Crash: l.id, Begun: l.begun, Waiting: l.waiting, LostFor: w.Now.Sub(l.firstAt), Unseen: l.unseen()}
	if w.Suspects.AddReport(w.Now, report, true) {
		w.Emit(medlarworld.ReportCrash{Report: report})
	}
}

// forget removes losses that can no longer become a crash, or were reported.
func (s *System) forget(w *medlarworld.World) {
	s.losses = slices.DeleteFunc(s.losses, func(l *loss) bool { return w.Now.Sub(l.at) > lossWindow })
}

// refuseBlocked refuses the waiting runs that must not start another attempt (R3, R4).
func refuseBlocked(w *medlarworld.World) {
	kept := w.Waiting[:0]
	for _, r := range w.Waiting {
		if MustStop(w, r) {
			w.Refuse(r, medlarreason.Crashing, RetryAfter)
			continue
		}
		kept = append(kept, r)
	}
	clear(w.Waiting[len(kept):])
	w.Waiting = kept
}

// MustStop reports whether a run must not start another attempt (R3, R4).
func MustStop(w *medlarworld.World, r *medlarworld.Run) bool {
	if r.Crashes >= maxRunCrashes || r.Trial && r.Reached {
		return true
	}
	trait, blocked := w.Suspects.Blocked(r.Traits)
	if !blocked || r.Trial {
		return false
	}
	r.BlockedTrait = trait
	return true
}

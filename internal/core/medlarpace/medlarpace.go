// Package medlarpace limits what upstreams get that are cold, have just started, or are back after failures. The limit
// holds for all instances together. They do not coordinate: each derives its part from its own list of instances.
//
// Rules:
//
//	R1  In any one second, a cold upstream gets from all instances together at most its cold rate times ColdOver, plus
//	    ColdSlack, requests. Each attempt counts at the instance that starts it: a first one, a retry, or one
//	    whose connection another instance relays.
//	R2  An upstream is cold for ColdTime from its start, as its listing or its entry shows it, and for as long as its entry
//	    states. One that could not be connected to, or has crashed, may have started anew before this instance reads its
//	    new entry: it counts as cold until a heartbeat shows that its start is still the same, for suspectTime at most.
//	    If most upstreams of a target cannot be reached, it is more likely that this instance is cut off: a further failed
//	    connection makes none of them count as cold then.
//	R3  A cold upstream has a few sponsors, those with the highest rendezvous rank of all instances. Their number is such
//	    that twice as many keep R1: instances that know only half of the others take themselves for sponsors twice as
//	    often. All other instances send it nothing.
//	R4  Each attempt of a sponsor takes a token from a bucket that holds one. A sponsor sends less than one request in a
//	    second unless there are few instances. The buckets of sponsors fill one after another at first, and one that
//	    becomes a sponsor later starts with an empty bucket, since the one that it replaces may have just sent a request.
//	R5  An instance is no sponsor before it has known the others for settleTime, as it may be one of many that have just
//	    started, nor while its list of the others is older than minStaleTime and than SettlingTime plus staleMargin.
//	R6  A request that would wait past its deadline as all its upstreams are cold is refused at once.
//	R7  An upstream that has just started, is no longer cold, or is no longer ejected, starts slowly: for rampTime each
//	    instance keeps its own attempts in flight there within a window, which starts from 1, doubles with each answer that
//	    is on time and halves with each late or failed one. It also keeps within its part of the upstream's slots. The
//	    number of instances that use the upstream doubles each growthTime, up to as many as have room in its slots. For
//	    that an instance assumes that the others have as many requests as itself: callers are spread evenly over them.
//	R8  An upstream whose service configures no cold rate starts slowly only if the settings ask for it.
package medlarpace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of cold upstreams.
const (
	clockMargin  = time.Second            // by which the clocks of instances and replicas may differ (R2)
	statedMargin = 300 * time.Millisecond // for requests that take different times to reach an upstream which states when it is warm
	heartbeatLag = time.Second            // longest time between the writing of a heartbeat and its reading (R2)
	suspectTime  = 30 * time.Second       // for which an upstream that could not be reached counts as cold at most (R2)
	maxSuspects  = 0.5                    // share of a target's upstreams that may count as cold since they could not be reached (R2)
	suspectWait  = 2 * time.Second        // until a heartbeat shows whether an upstream that could not be reached is the same
	// viewSpread is the number of allowed requests in a second for each sponsor: 2 as there may be twice as many sponsors
	// (R3), the rest for chance and delays. 2.6 leaves nearly no reserve: up to 21 of 21.5 allowed requests.
	viewSpread    = 2.9
	sponsorRate   = 0.9                    // highest rate of a sponsor unless instances are few: its requests are more than a second apart (R4)
	ratePart      = 0.95                   // share of the cold rate that sponsors use at most
	settleTime    = 2 * time.Second        // R5; instances that start together announce themselves within it
	minStaleTime  = 5 * time.Second        // R5
	staleMargin   = time.Second            // R5; reads of the others' records wait up to about SettlingTime in a large fleet
	bucketMemory  = 2 * time.Second        // for which the bucket of a removed upstream is kept, in case it is listed again
	sweepInterval = 200 * time.Millisecond // longest time between two updates
)

// Parameters of the slow start (R7).
const (
	rampTime      = 3 * time.Second        // length of the slow start
	firstUsers    = 4                      // instances that use the upstream when its slow start begins
	growthTime    = 50 * time.Millisecond  // in which the number of instances that use the upstream doubles
	minDemand     = 1e-3                   // least number of runs for each upstream that is assumed, in place of 0
	defaultTarget = 300 * time.Millisecond // within which an answer is on time, for a run without a target
)

// System keeps the parts of this instance.
type System struct {
	buckets   map[medlarid.InstanceID]*medlarupstream.Bucket
	phases    map[medlarid.InstanceID]medlarupstream.PacePhase // that were reported last
	lists     int                                              // number of lists of the other instances that were read
	firstRead time.Time                                        // first read of the others' records
	lastRead  time.Time
	knew      bool      // this instance knew the others at the last update (R5)
	sweepAt   time.Time // next update without an event
}

// New returns a System.
func New() *System {
	return &System{buckets: map[medlarid.InstanceID]*medlarupstream.Bucket{}, phases: map[medlarid.InstanceID]medlarupstream.PacePhase{}}
}

// active reports whether this system limits what any upstream gets.
func active(w *medlarworld.World) bool { return w.Config.ColdOver > 0 || w.Config.Pace }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	changed := false
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.NoticesRead:
			if s.firstRead.IsZero() {
				s.firstRead = w.Now
			}
			s.lastRead = w.Now
		case medlarworld.InstancesAnnounced:
			s.lists++
			changed = true
		case medlarworld.InstancesListed:
			changed = true
		case medlarworld.HeartbeatsRead:
			changed = clearFailures(w, e) || changed
		case medlarworld.AnswerBegan:
			answered(w, e)
		case medlarworld.AttemptEnded:
			changed = ended(w, e) || changed
		case medlarworld.UpstreamProbed:
			changed = e.Down && recordFailure(w, e.Crash.Replica, e.Crash.Incarnation) || changed
		case medlarworld.CrashReported:
			changed = !e.Report.Earlier && recordFailure(w, e.Report.Crash.Replica, e.Report.Crash.Incarnation) || changed
		}
	}
	if !active(w) {
		return
	}
	knows := s.knows(w)
	if changed || knows != s.knew || !w.Now.Before(s.sweepAt) {
		s.knew, s.sweepAt = knows, w.Now.Add(sweepInterval)
		s.update(w)
	}
}

// knows reports whether this instance knows the others (R5).
func (s *System) knows(w *medlarworld.World) bool {
	staleTime := max(minStaleTime, w.Config.SettlingTime+staleMargin)
	return w.Config.TellLoad && !s.firstRead.IsZero() && w.Now.Sub(s.firstRead) >= settleTime && w.Now.Sub(s.lastRead) < staleTime
}

// recordFailure records that an upstream could not be reached, or has crashed (R2).
func recordFailure(w *medlarworld.World, id medlarid.InstanceID, incarnation medlarid.Incarnation) bool {
	u := w.Upstreams[id]
	if u == nil || u.Incarnation != incarnation {
		return false
	}
	u.Pace.FailedAt = w.Now
	return true
}

// clearFailures ends that upstreams count as cold after a failure whose heartbeats show that their start is still the same
// (R2).
func clearFailures(w *medlarworld.World, e medlarworld.HeartbeatsRead) bool {
	cleared := false
	for _, b := range e.Heartbeats {
		u := w.Upstreams[b.Upstream]
		if u == nil || u.Incarnation != b.Incarnation || u.Pace.FailedAt.IsZero() || w.Now.Sub(u.Pace.FailedAt) < heartbeatLag {
			continue
		}
		u.Pace.FailedAt, cleared = time.Time{}, true
	}
	return cleared
}

// update sets this instance's part of each upstream, and reports changes.
func (s *System) update(w *medlarworld.World) {
	var changes []medlarworld.PaceChanged
	changed := false
	for id, u := range w.Upstreams {
		s.updateUpstream(w, u)
		if phase := PhaseOf(w, u); phase != s.phases[id] {
			s.phases[id], changed = phase, true
			changes = append(changes, change(w, u, phase))
		}
	}
	slices.SortFunc(changes, func(a, b medlarworld.PaceChanged) int { return cmp.Compare(a.Upstream, b.Upstream) })
	for _, c := range changes {
		w.Emit(c)
	}
	maps.DeleteFunc(s.phases, func(id medlarid.InstanceID, p medlarupstream.PacePhase) bool {
		gone := w.Upstreams[id] == nil
		changed = changed || gone && p != medlarupstream.PaceNone
		return gone || p == medlarupstream.PaceNone
	})
	maps.DeleteFunc(s.buckets, func(id medlarid.InstanceID, b *medlarupstream.Bucket) bool {
		return w.Upstreams[id] == nil && w.Now.Sub(b.FilledAt) > bucketMemory
	})
	if changed {
		w.Emit(medlarworld.PaceCounted{Upstreams: len(s.phases)})
	}
}

func change(w *medlarworld.World, u *medlarupstream.Upstream, phase medlarupstream.PacePhase) medlarworld.PaceChanged {
	c := medlarworld.PaceChanged{Upstream: u.ID, Phase: phase, Rate: u.Pace.Rate}
	switch phase {
	case medlarupstream.PaceCold:
		c.For = u.Pace.ColdUntil.Sub(w.Now)
	case medlarupstream.PaceSlow:
		c.For = u.Pace.SlowFrom.Add(rampTime).Sub(w.Now)
	}
	return c
}

// PhaseOf returns the phase that an upstream is in now.
func PhaseOf(w *medlarworld.World, u *medlarupstream.Upstream) medlarupstream.PacePhase {
	switch {
	case cold(w.Now, u):
		return medlarupstream.PaceCold
	case slow(w.Now, u):
		return medlarupstream.PaceSlow
	}
	return medlarupstream.PaceNone
}

func cold(now time.Time, u *medlarupstream.Upstream) bool { return now.Before(u.Pace.ColdUntil) }

func slow(now time.Time, u *medlarupstream.Upstream) bool {
	return u.Load.Slots > 0 && !now.Before(u.Pace.SlowFrom) && now.Before(u.Pace.SlowFrom.Add(rampTime))
}

// updateUpstream sets this instance's part of an upstream (R3, R7).
func (s *System) updateUpstream(w *medlarworld.World, u *medlarupstream.Upstream) {
	p := &u.Pace
	p.ColdUntil = coldUntil(w, u)
	if from := slowFrom(w, u); !from.Equal(p.SlowFrom) {
		p.SlowFrom, p.Window = from, 1
	}
	if PhaseOf(w, u) == medlarupstream.PaceNone {
		p.Rate = 0
		return
	}
	p.Instances, p.Known = len(w.Others)+1, s.knew
	if p.RankedBy != s.lists+1 {
		p.Rank, p.RankedBy = rankAt(w, u), s.lists+1 // costs a hash for each instance
	}
	if !cold(w.Now, u) {
		p.Rate = 0
		return
	}
	s.setRate(w, u)
}

// start returns when an upstream has started, or a later time. If it started while this instance was reading the list, that
// is the time at which it was listed, which does not depend on the upstream's clock.
func start(u *medlarupstream.Upstream) time.Time {
	born := time.UnixMilli(int64(u.Incarnation))
	if u.Pace.Fresh || u.Incarnation == 0 || born.After(u.ListedAt) {
		return u.ListedAt
	}
	return born
}

// coldUntil returns until when an upstream counts as cold (R2); zero for one that is not protected.
func coldUntil(w *medlarworld.World, u *medlarupstream.Upstream) time.Time {
	p := &u.Pace
	if w.Config.ColdOver <= 0 || p.ColdRate <= 0 {
		return time.Time{}
	}
	var until time.Time
	if p.ColdTime > 0 {
		until = start(u).Add(p.ColdTime + clockMargin)
	}
	if !p.StatedUntil.IsZero() {
		until = later(until, p.StatedUntil.Add(statedMargin))
	}
	if !p.FailedAt.IsZero() {
		until = later(until, p.FailedAt.Add(suspectTime))
	}
	return until
}

// slowFrom returns when the slow start of an upstream begins (R7, R8); zero for one that does not start slowly.
func slowFrom(w *medlarworld.World, u *medlarupstream.Upstream) time.Time {
	if !w.Config.Pace && u.Pace.ColdRate <= 0 {
		return time.Time{}
	}
	return later(later(start(u), u.Pace.ColdUntil), u.EjectedUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Sponsors returns the number of sponsors of a cold upstream, and how many requests per second each of them sends, as
// derived by an instance that knows of a number of instances, including itself (R3, R4).
func Sponsors(cfg medlarworld.Config, coldRate float64, instances int) (n int, rate float64) {
	most := max(int((coldRate*cfg.ColdOver+cfg.ColdSlack)/viewSpread), 1)
	total := min(sponsorRate*float64(most), ratePart*coldRate)
	n = min(most, instances)
	rate = total / float64(n)
	if 2*n > most { // with half of them unknown each must send less than one request in a second
		rate = min(rate, sponsorRate)
	}
	return n, rate
}

// setRate sets this instance's part of a cold upstream's rate (R4).
func (s *System) setRate(w *medlarworld.World, u *medlarupstream.Upstream) {
	p := &u.Pace
	n, rate := Sponsors(w.Config, p.ColdRate, p.Instances)
	if !p.Known || p.Rank >= n {
		rate = 0
	}
	b := s.buckets[u.ID]
	first := b == nil || w.Now.Sub(b.FilledAt) > bucketMemory
	switch {
	case first:
		b = &medlarupstream.Bucket{FilledAt: w.Now}
		s.buckets[u.ID] = b
		if rate > 0 {
			b.Tokens = 1 - float64(p.Rank)/float64(n)
		}
	case p.Rate == 0:
		b.Tokens, b.FilledAt = 0, w.Now
	default:
		refill(w.Now, b, p.Rate)
	}
	p.Bucket, p.Rate = b, rate
}

func refill(now time.Time, b *medlarupstream.Bucket, rate float64) {
	b.Tokens = min(b.Tokens+rate*now.Sub(b.FilledAt).Seconds(), 1)
	b.FilledAt = now
}

// rankAt returns this instance's rank for an upstream among all instances, from 0 on.
func rankAt(w *medlarworld.World, u *medlarupstream.Upstream) int {
	weight := func(id medlarid.InstanceID) uint64 {
		return xxh3.HashString("pace\x00" + string(id) + "\x00" + string(u.ID))
	}
	own, rank := weight(w.Config.Self), 0
	for _, id := range w.Others {
		if weight(id) > own {
			rank++
		}
	}
	return rank
}

// Admits reports whether an upstream may get an attempt of a run from this instance now.
func Admits(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream) bool {
	if hasToken(w.Now, u) && fits(w, u) {
		return true
	}
	if !r.HeldBack {
		r.HeldBack = true
		w.Emit(medlarworld.HeldBack{})
	}
	return false
}

// hasToken reports whether an upstream is not cold, or this instance has a token for it (R4).
func hasToken(now time.Time, u *medlarupstream.Upstream) bool {
	p := &u.Pace
	if !cold(now, u) {
		return true
	}
	if p.Bucket == nil || p.Rate == 0 {
		return false
	}
	refill(now, p.Bucket, p.Rate)
	return p.Bucket.Tokens >= 1
}

// fits reports whether one more attempt fits in this instance's window at an upstream that starts slowly (R7).
func fits(w *medlarworld.World, u *medlarupstream.Upstream) bool {
	p := &u.Pace
	if !slow(w.Now, u) {
		return true
	}
	if !p.Known {
		return u.Open < 1 // there may be many instances
	}
	last := users(w, u)
	if p.Rank >= min(last, firstUsers<<min(w.Now.Sub(p.SlowFrom)/growthTime, 16)) {
		return false
	}
	return u.Open < min(p.Window, max(u.Load.Slots/last, 1))
}

// users returns how many instances may use an upstream at the end of its slow start (R7).
func users(w *medlarworld.World, u *medlarupstream.Upstream) int {
	most := float64(u.Load.Slots)
	if d := demand(w, u.Target()); d < 1 {
		most /= max(d, minDemand)
	}
	return min(u.Pace.Instances, int(most))
}

// demand returns how many runs of this instance wait or are in flight, for each usable upstream of a target. Of the runs
// that wait it counts those of all targets.
func demand(w *medlarworld.World, t medlarupstream.Target) float64 {
	runs, usable := len(w.Waiting), 0
	for _, u := range w.UpstreamsFor(t) {
		runs += u.Open
		if u.Usable(w.Now) {
			usable++
		}
	}
	return float64(runs) / float64(max(usable, 1))
}

// Take takes the token for an attempt.
func Take(w *medlarworld.World, u *medlarupstream.Upstream) {
	if cold(w.Now, u) && u.Pace.Bucket != nil {
		u.Pace.Bucket.Tokens--
	}
}

// answered adjusts the window of an upstream whose answer has begun (R7).
func answered(w *medlarworld.World, e medlarworld.AnswerBegan) {
	if r := w.Runs[e.Run]; r != nil && r.Attempt == e.Attempt && r.Upstream != nil {
		adjust(w, r, e.After)
	}
}

// ended records the end of an attempt (R2, R7), and reports whether the upstream counts as cold for it.
func ended(w *medlarworld.World, e medlarworld.AttemptEnded) bool {
	r := w.Runs[e.Run]
	if r == nil || r.Attempt != e.Attempt || r.Upstream == nil {
		return false
	}
	switch e.Cause {
	case medlarkind.CauseDone, medlarkind.CauseAnswered:
		if r.Upstream.Kind == medlarkind.KindService {
			adjust(w, r, w.Now.Sub(r.AttemptStarted))
		}
	case medlarkind.CauseRetry, medlarkind.CauseUnknown:
		r.Upstream.Pace.Window = max(r.Upstream.Pace.Window/2, 1)
	}
	return e.Reason == medlarreason.Unreachable && maySuspect(w, r.Upstream) && recordFailure(w, r.Upstream.ID, r.Upstream.Incarnation)
}

// maySuspect reports whether an upstream that could not be reached may count as cold for that (R2).
func maySuspect(w *medlarworld.World, u *medlarupstream.Upstream) bool {
	suspects, all := 0, w.UpstreamsFor(u.Target())
	for _, other := range all {
		if other != u && !other.Pace.FailedAt.IsZero() && w.Now.Sub(other.Pace.FailedAt) < suspectTime {
			suspects++
		}
	}
	return float64(suspects+1) <= max(maxSuspects*float64(len(all)), 1)
}

// adjust adjusts the window of a run's upstream to an answer that took some time (R7).
func adjust(w *medlarworld.World, r *medlarworld.Run, after time.Duration) {
	u := r.Upstream
	if !slow(w.Now, u) {
		return
	}
	target := r.TargetTTFT
	if target == 0 {
		target = defaultTarget
	}
	if after <= target {
		u.Pace.Window = min(u.Pace.Window*2, u.Load.Slots)
	} else {
		u.Pace.Window = max(u.Pace.Window/2, 1)
	}
}

// Wait estimates how long a run waits because all upstreams of its target are cold; 0 if one is not (R6). ahead is the
// number of runs that wait before it for the same target.
func Wait(w *medlarworld.World, r *medlarworld.Run, ahead int) time.Duration {
	if w.Config.ColdOver <= 0 {
		return 0
	}
	rate, tokens := 0.0, 0.0
	var warm time.Duration // until the first one is no longer cold
	for _, u := range w.UpstreamsFor(r.Target()) {
		if u.Leaving || u.Delisted {
			continue
		}
		if !cold(w.Now, u) {
			return 0
		}
		left := u.Pace.ColdUntil.Sub(w.Now)
		if !u.Pace.FailedAt.IsZero() {
			left = min(left, suspectWait)
		}
		if warm == 0 || left < warm {
			warm = left
		}
		rate += u.Pace.Rate
		if b := u.Pace.Bucket; b != nil && u.Pace.Rate > 0 {
			tokens += max(b.Tokens, 0)
		}
	}
	missing := float64(ahead+1) - tokens
	if missing <= 0 {
		return 0
	}
	if rate == 0 {
		return warm
	}
	return min(warm, time.Duration(missing/rate*float64(time.Second)))
}

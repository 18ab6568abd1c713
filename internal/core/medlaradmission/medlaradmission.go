// Package medlaradmission decides which requests may wait for an upstream.
//
// Rules:
//
//	R1  An instance that is stopping, or has no lists yet, admits nothing.
//	R2  Each account has a token bucket and a bound on open requests. The plan's
//	    limits hold for all instances together: each instance has a share of them
//	    according to its demand. An account that uses little of its limits here
//	    needs no share: an instance without one may use freeShare of the limits, or
//	    an equal part if that is more, and requests a share before that is used up.
//	R3  The queue is ordered by priority, then by weighted fair queueing, so an
//	    account with many requests delays its own requests first.
//	R4  When the queue is full, a request of the account with the largest weighted
//	    share of the queue is refused to make room.
//	R5  A request that would wait past its deadline, or past the longest wait,
//	    is refused at once and told when to retry. So is one whose upstreams all pause
//	    past its deadline, or are limited or cold so that it would wait past it. Only runs of the
//	    same target count as ahead of it (medlarthroughput).
//	R6  A request whose caller has left, or whose deadline has passed while it
//	    waits, is removed from the queue.
//	R7  Only accounts that have recently sent requests are kept in memory.
//	R8  Requests that can still be answered in time go before those that cannot:
//	    under overload, a queue in the order of arrival makes all of them late. One whose caller has the
//	    beginning of the answer keeps its place: it resumes a stream, or its answer broke off here. The
//	    times by which an answer has to begin show nothing about it any longer.
//	R9  A request with a trait that crashes replicas is refused at once, unless it is a
//	    trial of the trait.
//	R10 A request that resumes a stream is refused at once if it can go on nowhere.
//	R11 A request whose upstreams are all in evacuated availability zones is refused at once, also one that waits.
package medlaradmission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"medlarfield/internal/core/medlarcrash"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarlimit"
	"medlarfield/internal/core/medlarpace"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarresume"
	"medlarfield/internal/core/medlarthroughput"
	"medlarfield/internal/core/medlarworld"
)

// Queue parameters.
const (
	promptTokensPerRequest = 1000.0                 // prompt tokens that add the cost of one request in fair queueing
	lateInterval           = 100 * time.Millisecond // between two estimates for all late runs
	minRetryAfter          = time.Second
	maxRetryAfter          = 30 * time.Second

	forgetInterval = 10 * time.Second
	demandInterval = time.Second
	minRate        = 1e-3 // requests per second, the lower bound of a rate with a share of almost nothing
	freeShare      = 0.1  // part of the limits that an instance may use without a share
)

// System decides on the admission of requests and keeps the queue in order.
type System struct {
	throughput *medlarthroughput.Estimator
	lateAt     time.Time              // next estimate for all late runs
	forgetAt   time.Time              // next removal of idle accounts
	demandAt   time.Time              // next report of all demands
	newlyBusy  []*medlarworld.Account // accounts that became busy in this tick
}

// New returns a System.
func New() *System { return &System{throughput: medlarthroughput.New()} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	s.throughput.Measure(w.Now, w.Waiting)
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.Submitted:
			s.submit(w, e)
		case medlarworld.CallerLeft:
			handleCallerLeft(w, e)
		case medlarworld.AnswerBegan:
			if r := w.Runs[e.Run]; r != nil && r.Attempt == e.Attempt {
				r.StartBy, r.AbandonAt = time.Time{}, time.Time{}     // R8
				r.Late = r.Late && r.Phase == medlarkind.PhaseWaiting // the place in the queue depends on it
			}
		case medlarworld.SharesGranted:
			applyShares(w, e)
		}
	}
	expire(w)
	s.demoteLate(w)
	s.requestShares(w)
	s.forget(w)
}

// Started records that a run left the queue for an upstream.
func (s *System) Started(r *medlarworld.Run) { s.throughput.Started(r) }

func (s *System) submit(w *medlarworld.World, e medlarworld.Submitted) {
	r := e.Run
	r.Phase = medlarkind.PhaseNew
	w.Runs[r.ID] = r
	a := updateAccount(w, e)
	a.Open++
	a.Arrivals++
	if !w.Now.Before(a.Share.Until) && busy(w, a) && !slices.Contains(s.newlyBusy, a) {
		s.newlyBusy = append(s.newlyBusy, a)
	}
	if r.Resumes {
		r.StartBy = time.Time{} // R8
	}
	r.VirtualStart = max(w.VirtualTime, a.VirtualFinish)
	if reason, after := s.refusalReason(w, a, r, admitTraits, evictForRoom); reason != "" {
		w.Refuse(r, reason, after)
		return
	}
	setVirtualFinish(a, r)
}

// Assessment is the decision on the admission of a run that is not submitted.
type Assessment struct {
	Reason medlarreason.Reason // why it would be refused; empty if it would be admitted
	After  time.Duration       // after which its caller may retry
	Place  int                 // in the queue
	Ahead  int                 // runs before it that have the same target
}

// Assess decides as for a run that is submitted now, and changes only w, which is a shadow.
func (s *System) Assess(w *medlarworld.World, r *medlarworld.Run, l medlarworld.Limits) (out Assessment) {
	a := updateAccount(w, medlarworld.Submitted{Run: r, Limits: l})
	a.Open++
	a.Arrivals++
	r.VirtualStart = max(w.VirtualTime, a.VirtualFinish)
	mayStart := func(w *medlarworld.World, r *medlarworld.Run) bool {
		_, blocked := w.Suspects.Blocked(r.Traits)
		return !blocked || w.Suspects.TrialGranted(w.Now, r.Traits)
	}
	hasRoom := func(w *medlarworld.World, a *medlarworld.Account) bool { return lastOfHeaviest(w, a) >= 0 }
	out.Reason, out.After = s.refusalReason(w, a, r, mayStart, hasRoom)
	out.Place, out.Ahead = position(w, r), runsAhead(w, r)
	return out
}

// updateAccount returns the account's entry with its current limits.
func updateAccount(w *medlarworld.World, e medlarworld.Submitted) *medlarworld.Account {
	a := w.Accounts[e.Run.Account]
	if a == nil {
		a = &medlarworld.Account{ID: e.Run.Account}
		w.Accounts[a.ID] = a
	}
	a.Limits = e.Limits
	return a
}

// requestShares reports the demand of busy accounts: of all at intervals, and
// immediately of an account that has just become busy.
func (s *System) requestShares(w *medlarworld.World) {
	due := !w.Now.Before(s.demandAt)
	if w.Peers < 2 || !due && len(s.newlyBusy) == 0 {
		s.newlyBusy = s.newlyBusy[:0]
		return
	}
	var demands []medlarworld.Demand
	if due {
		s.demandAt = w.Now.Add(demandInterval)
		for _, a := range w.Accounts {
			if busy(w, a) {
				demands = appendDemand(demands, a)
			}
			a.Arrivals = 0
		}
	} else {
		for _, a := range s.newlyBusy {
			demands = appendDemand(demands, a)
		}
	}
	s.newlyBusy = s.newlyBusy[:0]
	slices.SortFunc(demands, func(a, b medlarworld.Demand) int { return cmp.Compare(a.Account, b.Account) })
	if len(demands) > 0 {
		w.Emit(medlarworld.RequestShares{Demands: demands})
	}
}

func appendDemand(to []medlarworld.Demand, a *medlarworld.Account) []medlarworld.Demand {
	d := medlarworld.Demand{Account: a.ID, Rate: float64(a.Arrivals) / demandInterval.Seconds(), Open: a.Open}
	return append(to, d)
}

// applyShares stores the granted shares.
func applyShares(w *medlarworld.World, e medlarworld.SharesGranted) {
	for _, s := range e.Shares {
		if a := w.Accounts[s.Account]; a != nil {
			a.Share = s
		}
	}
}

// hasUpstreams reports whether any upstream serves a run's target.
func hasUpstreams(w *medlarworld.World, r *medlarworld.Run) bool {
	return len(w.UpstreamsFor(r.Target())) > 0
}

// pause returns the time until the first upstream of a run's target ends its pause; 0 if one
// does not pause, or if all are leaving, as others may be listed at any time.
func pause(w *medlarworld.World, r *medlarworld.Run) time.Duration {
	var first time.Duration
	for _, u := range w.UpstreamsFor(r.Target()) {
		left := u.PausedUntil.Sub(w.Now)
		switch {
		case u.Leaving || u.Delisted:
		case left <= 0:
			return 0
		case first == 0 || left < first:
			first = left
		}
	}
	return first
}

// refusalReason returns why a run is refused, or an empty reason, and the delay after
// which the caller may retry. admit reports whether the traits of a run allow it to start (R9), and makeRoom whether
// another run is refused to make room for one of an account (R4).
func (s *System) refusalReason(
	w *medlarworld.World, a *medlarworld.Account, r *medlarworld.Run,
	admit func(*medlarworld.World, *medlarworld.Run) bool, makeRoom func(*medlarworld.World, *medlarworld.Account) bool,
) (medlarreason.Reason, time.Duration) {
	switch {
	case w.Draining:
		return medlarreason.Draining, minRetryAfter // R1
	case !w.Ready:
		return medlarreason.Unready, minRetryAfter // R1
	case !hasUpstreams(w, r):
		return medlarreason.Capacity, minRetryAfter
	case w.AllEvacuated(r.Target()):
		return medlarreason.Evacuated, minRetryAfter // R11
	case !medlarresume.CanGoOn(w, r):
		return medlarreason.Unresumable, medlarresume.RetryAfter // R10
	case !admit(w, r):
		return medlarreason.Crashing, medlarcrash.RetryAfter // R9
	}
	if runs := a.Limits.Runs; runs > 0 && float64(a.Open) > math.Ceil(float64(runs)*runShare(w, a)) {
		return medlarreason.Concurrency, minRetryAfter // R2
	}
	if after := takeToken(w, a); after > 0 {
		return medlarreason.Rate, min(after, maxRetryAfter) // R2
	}
	if wait := max(s.queueWait(w, r), pause(w, r), medlarlimit.Wait(w, r, runsAhead(w, r)), medlarpace.Wait(w, r, runsAhead(w, r))); w.Now.Add(wait).After(latestStart(r)) || w.Config.MaxWait > 0 && wait > w.Config.MaxWait {
		return medlarreason.Deadline, clampRetryAfter(wait) // R5
	}
	if len(w.Waiting) >= w.Config.MaxQueued && !makeRoom(w, a) {
		return medlarreason.Overload, clampRetryAfter(s.queueWait(w, r)) // R4
	}
	return "", 0
}

// admitTraits reports whether the traits of a run allow it to start (R9).
func admitTraits(w *medlarworld.World, r *medlarworld.Run) bool {
	if _, blocked := w.Suspects.Blocked(r.Traits); !blocked {
		return true
	}
	r.BlockedTrait, r.Trial = w.Suspects.Admit(w.Now, r.Traits)
	if r.Trial {
		w.Trials = append(w.Trials, r)
	}
	return r.Trial
}

// latestStart returns the time after which it is of no use to start a run.
func latestStart(r *medlarworld.Run) time.Time {
	if !r.AbandonAt.IsZero() && r.AbandonAt.Before(r.Deadline) {
		return r.AbandonAt
	}
	return r.Deadline
}

// rateShare returns this instance's part of an account's rate.
func rateShare(w *medlarworld.World, a *medlarworld.Account) float64 {
	if w.Now.Before(a.Share.Until) {
		return a.Share.Rate
	}
	return max(1/float64(w.Peers), freeShare)
}

// runShare returns this instance's part of an account's bound on open requests.
func runShare(w *medlarworld.World, a *medlarworld.Account) float64 {
	if w.Now.Before(a.Share.Until) {
		return a.Share.Runs
	}
	return max(1/float64(w.Peers), freeShare)
}

// busy reports whether an account uses enough of its limits here to need a share.
func busy(w *medlarworld.World, a *medlarworld.Account) bool {
	l := a.Limits
	rate := float64(a.Arrivals) / demandInterval.Seconds()
	return w.Now.Before(a.Share.Until) && a.Arrivals > 0 ||
		l.Rate > 0 && rate >= freeShare*l.Rate/2 ||
		l.Runs > 0 && float64(a.Open) >= freeShare*float64(l.Runs)/2
}

// takeToken takes one token from the account's bucket; if there is none, it returns the
// time until the next one.
func takeToken(w *medlarworld.World, a *medlarworld.Account) time.Duration {
	if a.Limits.Rate <= 0 {
		return 0
	}
	share := rateShare(w, a)
	rate := max(a.Limits.Rate*share, minRate)
	burst := max(a.Limits.Burst*share, 1)
	if a.BucketFilled {
		a.Bucket = min(burst, a.Bucket+rate*w.Now.Sub(a.RefilledAt).Seconds())
	} else {
		a.Bucket = burst
		a.BucketFilled = true
	}
	a.RefilledAt = w.Now
	if a.Bucket < 1 {
		return time.Duration(math.Ceil((1-a.Bucket)/rate*1000)) * time.Millisecond
	}
	a.Bucket--
	return 0
}

// setVirtualFinish sets the account's virtual finish time to that of a run (R3).
func setVirtualFinish(a *medlarworld.Account, r *medlarworld.Run) {
	cost := 1 + float64(r.PromptTokens)/promptTokensPerRequest
	a.VirtualFinish = r.VirtualStart + cost/weightOf(a)
}

// handleCallerLeft ends a run whose caller left (R6). The edge reports this only while
// it executes no attempt: a StartAttempt that it has not processed yet is void.
func handleCallerLeft(w *medlarworld.World, e medlarworld.CallerLeft) {
	r := w.Runs[e.Run]
	if r == nil {
		return
	}
	remove(w, r)
	w.Release(r)
	w.Refuse(r, medlarreason.Gone, 0)
}

func weightOf(a *medlarworld.Account) float64 { return max(a.Limits.Weight, 1) }

// forget removes accounts without open requests whose bucket is full again and whose
// virtual finish time has passed, or is irrelevant because no run waits (R7).
func (s *System) forget(w *medlarworld.World) {
	if w.Now.Before(s.forgetAt) {
		return
	}
	s.forgetAt = w.Now.Add(forgetInterval)
	for id, a := range w.Accounts {
		passed := a.VirtualFinish <= w.VirtualTime || len(w.Waiting) == 0
		if a.Open == 0 && passed && bucketFull(w, a) {
			delete(w.Accounts, id)
		}
	}
}

// bucketFull reports whether the account's bucket is full by now.
func bucketFull(w *medlarworld.World, a *medlarworld.Account) bool {
	if a.Limits.Rate <= 0 {
		return true
	}
	share := rateShare(w, a)
	missing := max(a.Limits.Burst*share, 1) - a.Bucket
	return w.Now.Sub(a.RefilledAt).Seconds()*max(a.Limits.Rate*share, minRate) >= missing
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// Package medlaradmission decides which requests may wait for an upstream.
//
// Rules:
//
//	R1  A stopping instance, or one without lists, admits nothing.
//	R2  Each account has a token bucket and a bound on open requests. The plan's
//	    limits hold for all instances together: each has a share of them by its
//	    demand. An account that uses little of its limits here needs no share: an
//	    instance without one may use freeShare of the limits, or an equal part if
//	    that is more, and asks for a share before that is used up.
//	R3  The queue is ordered by priority, then by weighted fair queueing, so an
//	    account with many requests delays its own first.
//	R4  When the queue is full, the request of the account with the largest
//	    weighted share of the queue gives way.
//	R5  A request that would wait past its deadline, or past the longest wait,
//	    is refused at once and told when to come back.
//	R6  A request whose caller has left, or whose deadline has passed while it
//	    waits, leaves the queue.
//	R7  Only accounts that have sent requests lately are in memory.
//	R8  Who can still be in time goes before who cannot: under overload a queue in the
//	    order of arrival makes all late.
package medlaradmission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
)

// Queue parameters.
const (
	tokensPerCost = 1000.0 // prompt tokens that cost as much as one request
	rateWindow    = time.Second
	rateGain      = 0.3
	minAfter      = time.Second
	maxAfter      = 30 * time.Second

	forgetInterval = 10 * time.Second
	wantInterval   = time.Second
	minRate        = 1e-3 // requests a second of a share of nearly nothing
	freeShare      = 0.1  // of the limits, that an instance may use without a share
)

// System admits requests.
type System struct {
	started       int                    // runs that left the queue in this window
	windowEnd     time.Time              // end of the window
	perSecond     float64                // runs that leave the queue each second
	startedLate   int                    // of started, those that could not be in time
	latePerSecond float64                // of perSecond
	wasFull       bool                   // the queue was not empty throughout the window
	forgetAt      time.Time              // when idle accounts are dropped next
	wantAt        time.Time              // when demands are told next
	fresh         []*medlarworld.Account // became busy in this tick
}

// New returns the system.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	s.measure(w)
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.Submitted:
			s.submit(w, e)
		case medlarworld.CallerLeft:
			leave(w, e)
		case medlarworld.SharesGranted:
			share(w, e)
		}
	}
	expire(w)
	s.demote(w)
	s.want(w)
	s.forget(w)
}

// Started notes that a run left the queue for an upstream.
func (s *System) Started(r *medlarworld.Run) {
	s.started++
	if r.Late {
		s.startedLate++
	}
}

// measure updates the rate at which runs leave the queue.
func (s *System) measure(w *medlarworld.World) {
	if len(w.Waiting) == 0 {
		s.wasFull = false
	}
	if w.Now.Before(s.windowEnd) {
		return
	}
	if s.wasFull {
		s.perSecond += rateGain * (float64(s.started)/rateWindow.Seconds() - s.perSecond)
		s.latePerSecond += rateGain * (float64(s.startedLate)/rateWindow.Seconds() - s.latePerSecond)
	}
	s.started, s.startedLate = 0, 0
	s.wasFull = len(w.Waiting) > 0
	s.windowEnd = w.Now.Add(rateWindow)
}

func (s *System) submit(w *medlarworld.World, e medlarworld.Submitted) {
	r := e.Run
	r.Phase = medlarworld.PhaseNew
	w.Runs[r.ID] = r
	a := account(w, e)
	a.Open++
	a.Arrivals++
	if !w.Now.Before(a.Share.Until) && busy(w, a) && !slices.Contains(s.fresh, a) {
		s.fresh = append(s.fresh, a)
	}
	r.VirtualStart = max(w.VirtualTime, a.VirtualFinish)
	if reason, after := s.judge(w, a, r); reason != "" {
		w.Refuse(r, reason, after)
		return
	}
	stamp(a, r)
}

// account returns the account's entry with its limits of now.
func account(w *medlarworld.World, e medlarworld.Submitted) *medlarworld.Account {
	a := w.Accounts[e.Run.Account]
	if a == nil {
		a = &medlarworld.Account{ID: e.Run.Account}
		w.Accounts[a.ID] = a
	}
	a.Limits = e.Limits
	return a
}

// want tells the demand of busy accounts: of all at intervals, and at once of one
// that has just become busy.
func (s *System) want(w *medlarworld.World) {
	due := !w.Now.Before(s.wantAt)
	if w.Peers < 2 || !due && len(s.fresh) == 0 {
		s.fresh = s.fresh[:0]
		return
	}
	var demands []medlarworld.Demand
	if due {
		s.wantAt = w.Now.Add(wantInterval)
		for _, a := range w.Accounts {
			if busy(w, a) {
				demands = appendDemand(demands, a)
			}
			a.Arrivals = 0
		}
	} else {
		for _, a := range s.fresh {
			demands = appendDemand(demands, a)
		}
	}
	s.fresh = s.fresh[:0]
	slices.SortFunc(demands, func(a, b medlarworld.Demand) int { return cmp.Compare(a.Account, b.Account) })
	if len(demands) > 0 {
		w.Emit(medlarworld.RequestShares{Demands: demands})
	}
}

func appendDemand(to []medlarworld.Demand, a *medlarworld.Account) []medlarworld.Demand {
	d := medlarworld.Demand{Account: a.ID, Rate: float64(a.Arrivals) / wantInterval.Seconds(), Open: a.Open}
	return append(to, d)
}

// share takes over granted shares.
func share(w *medlarworld.World, e medlarworld.SharesGranted) {
	for _, s := range e.Shares {
		if a := w.Accounts[s.Account]; a != nil {
			a.Share = s
		}
	}
}

// served reports whether any upstream serves what a run asks for.
func served(w *medlarworld.World, r *medlarworld.Run) bool {
	return len(w.UpstreamsFor(r.Target())) > 0
}

// judge returns why a run is refused, or an empty reason.
func (s *System) judge(w *medlarworld.World, a *medlarworld.Account, r *medlarworld.Run) (medlarreason.Reason, time.Duration) {
	switch {
	case w.Draining:
		return medlarreason.Draining, minAfter // R1
	case !w.Ready:
		return medlarreason.Unready, minAfter // R1
	case !served(w, r):
		return medlarreason.Capacity, minAfter
	}
	if runs := a.Limits.Runs; runs > 0 && float64(a.Open) > math.Ceil(float64(runs)*runShare(w, a)) {
		return medlarreason.Concurrency, minAfter // R2
	}
	if after := take(w, a); after > 0 {
		return medlarreason.Rate, min(after, maxAfter) // R2
	}
	if wait := s.wait(w, r); w.Now.Add(wait).After(end(r)) || w.Config.MaxWait > 0 && wait > w.Config.MaxWait {
		return medlarreason.Deadline, clampAfter(wait) // R5
	}
	if len(w.Waiting) >= w.Config.MaxQueued && !makeRoom(w, a) {
		return medlarreason.Overload, clampAfter(s.wait(w, r)) // R4
	}
	return "", 0
}

// end returns when a run is of no use any more that has not begun.
func end(r *medlarworld.Run) time.Time {
	if !r.AbandonAt.IsZero() && r.AbandonAt.Before(r.Deadline) {
		return r.AbandonAt
	}
	return r.Deadline
}

// wait estimates how long a new run waits in the queue: for those before its place
// in it, which for an account with few requests is far from the end (R3).
func (s *System) wait(w *medlarworld.World, r *medlarworld.Run) time.Duration {
	if len(w.Waiting) == 0 || s.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(place(w, r)) / s.perSecond * float64(time.Second))
}

// place returns the number of runs that wait before a run.
func place(w *medlarworld.World, r *medlarworld.Run) int {
	i, _ := slices.BinarySearchFunc(w.Waiting, r, func(a, b *medlarworld.Run) int { return before(w, a, b) })
	return i
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

// busy reports whether an account uses so much of its limits here that it needs
// a share.
func busy(w *medlarworld.World, a *medlarworld.Account) bool {
	l := a.Limits
	rate := float64(a.Arrivals) / wantInterval.Seconds()
	return w.Now.Before(a.Share.Until) && a.Arrivals > 0 ||
		l.Rate > 0 && rate >= freeShare*l.Rate/2 ||
		l.Runs > 0 && float64(a.Open) >= freeShare*float64(l.Runs)/2
}

// take uses one token of the account's bucket; when it is empty it returns the
// time until the next token.
func take(w *medlarworld.World, a *medlarworld.Account) time.Duration {
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

// stamp moves the account's place in the order of the queue behind a run (R3).
func stamp(a *medlarworld.Account, r *medlarworld.Run) {
	cost := 1 + float64(r.PromptTokens)/tokensPerCost
	a.VirtualFinish = r.VirtualStart + cost/weight(a)
}

// makeRoom refuses the last run of the account with the largest weighted share
// of the queue, unless that is a itself (R4).
func makeRoom(w *medlarworld.World, a *medlarworld.Account) bool {
	shares := map[*medlarworld.Account]float64{}
	for _, r := range w.Waiting {
		if b := w.Accounts[r.Account]; b != nil {
			shares[b] += 1 / weight(b)
		}
	}
	heaviest, most := a, shares[a]+1/weight(a)
	for b, share := range shares {
		if share > most || share == most && b.ID < heaviest.ID && heaviest != a {
			heaviest, most = b, share
		}
	}
	if heaviest == a {
		return false
	}
	for i := len(w.Waiting) - 1; i >= 0; i-- {
		if r := w.Waiting[i]; r.Account == heaviest.ID && !r.Reached && !r.Claimed {
			w.Waiting = slices.Delete(w.Waiting, i, i+1)
			w.Refuse(r, medlarreason.Overload, minAfter)
			return true
		}
	}
	return false
}

// Enqueue puts a run in its place in the queue (R3).
func Enqueue(w *medlarworld.World, r *medlarworld.Run) {
	r.Phase = medlarworld.PhaseWaiting
	w.Waiting = slices.Insert(w.Waiting, place(w, r), r)
}

func before(w *medlarworld.World, a, b *medlarworld.Run) int {
	return cmp.Or(
		compareLate(a, b),
		cmp.Compare(priority(w, b), priority(w, a)),
		cmp.Compare(a.VirtualStart, b.VirtualStart),
		a.Arrived.Compare(b.Arrived),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareLate orders runs that can still be in time before those that cannot (R8).
func compareLate(a, b *medlarworld.Run) int {
	switch {
	case a.Late == b.Late:
		return 0
	case b.Late:
		return -1
	}
	return 1
}

// demote moves runs that can no longer be in time behind those that can (R8).
func (s *System) demote(w *medlarworld.World) {
	ahead := 0 // late runs that wait
	for _, r := range w.Waiting {
		if r.Late {
			ahead++
		}
	}
	for i := 0; i < len(w.Waiting); i++ {
		r := w.Waiting[i]
		if r.Late || r.StartBy.IsZero() || !w.Now.After(r.StartBy) {
			continue
		}
		w.Waiting = slices.Delete(w.Waiting, i, i+1)
		i--
		r.Late = true
		if wait := s.lateWait(ahead); w.Now.Add(wait).After(end(r)) {
			w.Refuse(r, medlarreason.Deadline, clampAfter(wait))
			continue
		}
		ahead++
		Enqueue(w, r)
	}
}

// lateWait estimates how long a run waits behind others that cannot be in time
// (R5).
func (s *System) lateWait(ahead int) time.Duration {
	if ahead == 0 || s.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / max(s.latePerSecond, minRate) * float64(time.Second))
}

func priority(w *medlarworld.World, r *medlarworld.Run) int {
	if a := w.Accounts[r.Account]; a != nil {
		return int(a.Limits.Priority + r.Priority)
	}
	return int(r.Priority)
}

// leave ends a run whose caller left (R6). The edge reports this only while it
// carries out no attempt: a start that it has not taken up yet is void.
func leave(w *medlarworld.World, e medlarworld.CallerLeft) {
	r := w.Runs[e.Run]
	if r == nil {
		return
	}
	remove(w, r)
	w.Release(r)
	w.Refuse(r, medlarreason.Gone, 0)
}

// expire refuses the runs that have waited too long (R6).
func expire(w *medlarworld.World) {
	for i := 0; i < len(w.Waiting); i++ {
		r := w.Waiting[i]
		late := w.Now.After(end(r))
		tired := w.Config.MaxWait > 0 && r.Attempt == 0 && w.Now.Sub(r.Arrived) > w.Config.MaxWait
		if !late && !tired {
			continue
		}
		w.Waiting = slices.Delete(w.Waiting, i, i+1)
		i--
		reason := medlarreason.Deadline
		if r.Reached {
			reason = medlarreason.Failed
		}
		w.Refuse(r, reason, minAfter)
	}
}

func remove(w *medlarworld.World, r *medlarworld.Run) {
	if i := slices.Index(w.Waiting, r); i >= 0 {
		w.Waiting = slices.Delete(w.Waiting, i, i+1)
	}
}

func weight(a *medlarworld.Account) float64 { return max(a.Limits.Weight, 1) }

// forget drops accounts without open requests whose bucket is full again and
// whose place in the queue has passed, or matters no more since nobody waits (R7).
func (s *System) forget(w *medlarworld.World) {
	if w.Now.Before(s.forgetAt) {
		return
	}
	s.forgetAt = w.Now.Add(forgetInterval)
	for id, a := range w.Accounts {
		passed := a.VirtualFinish <= w.VirtualTime || len(w.Waiting) == 0
		if a.Open == 0 && passed && full(w, a) {
			delete(w.Accounts, id)
		}
	}
}

// full reports whether the account's bucket has filled up by now.
func full(w *medlarworld.World, a *medlarworld.Account) bool {
	if a.Limits.Rate <= 0 {
		return true
	}
	share := rateShare(w, a)
	missing := max(a.Limits.Burst*share, 1) - a.Bucket
	return w.Now.Sub(a.RefilledAt).Seconds()*max(a.Limits.Rate*share, minRate) >= missing
}

func clampAfter(d time.Duration) time.Duration { return min(max(d, minAfter), maxAfter) }

// Package medlarlimit shares the limits of requests that upstreams in need name in their answers.
// A limit is granted to all instances together; each instance uses a share of it.
//
// Rules:
//
//	R1  The limit of an upstream is what an answer named last. It holds for one incarnation, and
//	    until an answer without it. An answer to an attempt that started before the last change
//	    is too old to change it.
//	R2  An instance that learns of a change reports it to all others, so that those that get no answers
//	    of the upstream know it, too.
//	R3  While an upstream of a target is limited, each instance that gets requests for the target
//	    reports to all others how many.
//	R4  A limit is shared by the instances that reported such requests recently, in proportion to their
//	    requests. Only some of them get a share, those with the most requests first: each
//	    share may send one request at once, and these must not add up to more than a
//	    small limit allows.
//	R5  A share is a lease. It ends before the others count it as free: an instance that cannot
//	    report its requests any longer continues with a fraction, and a new one has no share
//	    before it has read its own record.
//	R6  Each attempt takes a token from a bucket that fills at the rate of the share, whatever
//	    the attempt is for.
//	R7  A limit of almost nothing counts as minLimit, since only an answer can show that it has
//	    ended.
//	R8  A request whose upstreams are all limited past its deadline is refused at once.
package medlarlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Times of leases.
const (
	needInterval = 2500 * time.Millisecond // between two records of an instance's requests
	needTogether = 2 * time.Second         // least time between them if another instance has just written one, so that readers get many at once
	leaseTime    = 5 * time.Second         // from the writing of a record on, in which a share holds (R5)
	memberTime   = 7 * time.Second         // from the reading of a record on, in which its instance counts
	tellInterval = 500 * time.Millisecond  // between two records of the same upstream's limit
	endedTime    = 30 * time.Second        // for which the end of a limit is remembered
	rateWindow   = 2 * time.Second         // over which requests are counted
	rateGain     = 0.25                    // weight of a window in the rates
	minRate      = 1e-3                    // requests per second; a lower rate counts as none
)

// Bounds of what is held in memory.
const (
	maxLimits    = 1024 // upstreams with a limit
	maxInstances = 1024 // instances that told their requests
)

// Shares of a limit. In the users' window of 4 s a limit of L allows 6L + 5 requests: leases use 3.8L,
// fractions of lapsed leases 1.14L, and the tokens of sharers, old and new ones, L + 4.
const (
	sharedPart      = 0.95                   // of a limit, by all leases together
	lapsedPart      = 0.3                    // of the last share, without a lease
	minLimit        = 0.2                    // requests per second (R7)
	burstTime       = 250 * time.Millisecond // of a large share that may be sent at once
	minSharers      = 2
	sharersPerLimit = 0.5 // sharers for each request per second, beside minSharers
)

// limit is what is known of the limit of an upstream.
type limit struct {
	incarnation medlarid.Incarnation
	limited     bool
	rate        float64   // requests per second, for all instances
	at          time.Time // of the last change
	told        bool      // all others know it
	toldAt      time.Time // of this instance's last record

	lease  float64   // share of the last lease, in requests per second
	filled time.Time // of the last refill
}

// need is what an instance reported of its requests.
type need struct {
	rates  medlarworld.Rates
	readAt time.Time
}

// System keeps the limits and the shares of this instance.
type System struct {
	limits map[medlarid.InstanceID]*limit
	needs  map[medlarid.InstanceID]need

	arrivals    map[medlarid.ServiceID]int // requests since countedFrom
	countedFrom time.Time
	rates       medlarworld.Rates

	serial     uint64    // of this instance's last record of its requests
	writtenAt  time.Time // when that record was written
	leaseUntil time.Time // end of the lease
	otherWrote bool      // another instance has written a record since the last one of this instance
}

// New returns a System.
func New() *System {
	return &System{
		limits: map[medlarid.InstanceID]*limit{}, needs: map[medlarid.InstanceID]need{},
		arrivals: map[medlarid.ServiceID]int{}, rates: medlarworld.Rates{},
	}
}

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.Submitted:
			s.arrivals[e.Run.Service]++
		case medlarworld.UpstreamLimited:
			s.answered(w, e)
		case medlarworld.LimitRecorded:
			s.recorded(w, e)
		case medlarworld.NeedRecorded:
			s.needRecorded(w, e)
		case medlarworld.RecordsRestored:
			for _, l := range s.limits {
				l.told = false
			}
		}
	}
	s.count(w)
	s.forget(w)
	s.tell(w)
	if s.apply(w) {
		s.tellNeed(w)
	}
}

// answered applies what an answer of an upstream states (R1).
func (s *System) answered(w *medlarworld.World, e medlarworld.UpstreamLimited) {
	l := s.limits[e.Upstream]
	if l != nil && l.incarnation == e.Incarnation && !e.AttemptStarted.After(l.at) {
		return
	}
	s.change(w, e.Upstream, e.Incarnation, e.Named, e.Limit, false)
}

// recorded applies what another instance, or this one, reported of an upstream (R2).
func (s *System) recorded(w *medlarworld.World, e medlarworld.LimitRecorded) {
	l := s.limits[e.Upstream]
	if e.Dropped {
		if l != nil {
			s.change(w, e.Upstream, l.incarnation, false, 0, true)
		}
		return
	}
	if l == nil || l.incarnation <= e.Incarnation {
		s.change(w, e.Upstream, e.Incarnation, true, e.Limit, true)
	}
}

// change sets the limit of an upstream; told reports that all instances know it.
func (s *System) change(w *medlarworld.World, id medlarid.InstanceID, i medlarid.Incarnation, limited bool, rate float64, told bool) {
	l := s.limits[id]
	if l != nil && l.incarnation == i && l.limited == limited && l.rate == rate {
		l.told = l.told || told
		return
	}
	if l == nil {
		if !limited || len(s.limits) >= maxLimits {
			return
		}
		l = &limit{filled: w.Now}
		s.limits[id] = l
	}
	if l.incarnation != i {
		*l = limit{incarnation: i, filled: w.Now}
	}
	l.limited, l.rate, l.at, l.told = limited, rate, w.Now, told
	w.Emit(medlarworld.LimitChanged{Upstream: id, Limited: limited, Limit: rate})
}

func (s *System) needRecorded(w *medlarworld.World, e medlarworld.NeedRecorded) {
	if e.Instance == w.Config.Self {
		if e.Serial == s.serial {
			s.leaseUntil = s.writtenAt.Add(leaseTime)
		}
	} else {
		s.otherWrote = true
	}
	if len(e.Rates) == 0 || len(s.needs) >= maxInstances && s.needs[e.Instance].readAt.IsZero() {
		delete(s.needs, e.Instance)
		return
	}
	s.needs[e.Instance] = need{rates: e.Rates, readAt: w.Now}
}

// count updates the rates of requests at the end of each window.
func (s *System) count(w *medlarworld.World) {
	passed := w.Now.Sub(s.countedFrom)
	if passed < rateWindow {
		return
	}
	for service := range s.arrivals {
		if _, ok := s.rates[service]; !ok {
			s.rates[service] = float64(s.arrivals[service]) / passed.Seconds()
		}
	}
	for service, rate := range s.rates {
		rate += rateGain * (float64(s.arrivals[service])/passed.Seconds() - rate)
		s.rates[service] = rate
		if rate < minRate {
			delete(s.rates, service)
		}
	}
	clear(s.arrivals)
	s.countedFrom = w.Now
}

// forget removes what no longer counts: needs that are too old, and limits that have ended or whose
// upstream has been removed.
func (s *System) forget(w *medlarworld.World) {
	maps.DeleteFunc(s.needs, func(_ medlarid.InstanceID, n need) bool { return w.Now.Sub(n.readAt) > memberTime })
	for _, id := range slices.Sorted(maps.Keys(s.limits)) {
		l := s.limits[id]
		if l.limited && w.Upstreams[id] != nil || w.Now.Sub(l.at) < endedTime {
			continue
		}
		if l.limited && !l.toldAt.IsZero() {
			w.Emit(medlarworld.RecordLimit{Upstream: id})
		}
		delete(s.limits, id)
	}
}

// tell reports to all other instances changes that this one has learned from answers (R2).
func (s *System) tell(w *medlarworld.World) {
	for _, id := range slices.Sorted(maps.Keys(s.limits)) {
		l := s.limits[id]
		if l.told || w.Now.Sub(l.toldAt) < tellInterval {
			continue
		}
		l.told, l.toldAt = true, w.Now
		w.Emit(medlarworld.RecordLimit{Upstream: id, Incarnation: l.incarnation, Limited: l.limited, Limit: l.rate})
	}
}

// apply sets the limits and the tokens of upstreams. It reports whether any is limited.
func (s *System) apply(w *medlarworld.World) bool {
	found := false
	for _, id := range slices.Sorted(maps.Keys(s.limits)) {
		l, u := s.limits[id], w.Upstreams[id]
		if u == nil || u.Incarnation != l.incarnation {
			continue
		}
		u.Limited, u.Limit = l.limited, l.rate
		if !l.limited {
			continue
		}
		found = true
		s.refill(w, u, l)
	}
	return found
}

// refill sets the share of a limit, and adds the tokens since the last refill (R5, R6).
func (s *System) refill(w *medlarworld.World, u *medlarupstream.Upstream, l *limit) {
	leased := w.Now.Before(s.leaseUntil)
	share := lapsedPart * l.lease
	if leased {
		l.lease = s.lease(w, u, l)
		share = l.lease
	}
	u.LimitSettled = leased
	u.LimitTokens = min(u.LimitTokens+u.LimitShare*w.Now.Sub(l.filled).Seconds(), max(1, share*burstTime.Seconds()))
	if share == 0 {
		u.LimitTokens = min(u.LimitTokens, 0)
	}
	l.filled = w.Now
	u.LimitShare = share
}

// lease returns this instance's share of a limit (R4).
func (s *System) lease(w *medlarworld.World, u *medlarupstream.Upstream, l *limit) float64 {
	rate := max(l.rate, minLimit)
	members := s.sharers(u, rate)
	sum := 0.0
	for _, id := range members {
		sum += s.needs[id].rates[u.Service]
	}
	if !slices.Contains(members, w.Config.Self) {
		return 0
	}
	return sharedPart * rate * s.needs[w.Config.Self].rates[u.Service] / sum
}

// sharers returns the instances that share a limit (R4), by weighted rendezvous hashing: an instance
// with more requests is more likely to be among them, and a small change of the requests seldom
// changes who is.
func (s *System) sharers(u *medlarupstream.Upstream, rate float64) []medlarid.InstanceID {
	var out []medlarid.InstanceID
	for id, n := range s.needs {
		if n.rates[u.Service] > 0 {
			out = append(out, id)
		}
	}
	rank := func(id medlarid.InstanceID) float64 {
		hash := xxh3.HashString(string(u.ID) + "\x00" + string(id))
		return s.needs[id].rates[u.Service] / -math.Log((float64(hash)+1)/(math.MaxUint64+2.0))
	}
	slices.SortFunc(out, func(a, b medlarid.InstanceID) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b))
	})
	n := min(float64(len(out)), minSharers+sharersPerLimit*rate) // a large rate is beyond the range of whole numbers
	return out[:int(n)]
}

// tellNeed reports to all other instances how many requests this one gets for targets with limited
// upstreams (R3).
func (s *System) tellNeed(w *medlarworld.World) {
	age := w.Now.Sub(s.writtenAt)
	if age < needInterval && (age < needTogether || !s.otherWrote) {
		return
	}
	rates := medlarworld.Rates{}
	for _, u := range w.Upstreams {
		if u.Limited && s.rates[u.Service] > 0 {
			rates[u.Service] = s.rates[u.Service]
		}
	}
	if len(rates) == 0 {
		return
	}
	if s.serial == 0 {
		s.serial = uint64(w.Now.UnixNano()) // differs from those before a restart
	}
	s.serial++
	s.writtenAt, s.otherWrote = w.Now, false
	w.Emit(medlarworld.RecordNeed{Serial: s.serial, Rates: rates})
}

// HasToken reports whether an upstream may get an attempt of this instance (R6).
func HasToken(u *medlarupstream.Upstream) bool { return !u.Limited || u.LimitTokens >= 1 }

// Take takes the token for an attempt.
func Take(u *medlarupstream.Upstream) {
	if u.Limited {
		u.LimitTokens--
	}
}

// Waits of requests whose upstreams are all limited (R8).
const (
	settleWait  = 500 * time.Millisecond // until this instance knows its shares
	noShareWait = 5 * time.Second        // of an instance without a share; another one may have one
)

// Wait estimates how long a run waits because all upstreams of its target are limited; 0 if one is
// not. ahead is the number of runs that wait before it for the same target.
func Wait(w *medlarworld.World, r *medlarworld.Run, ahead int) time.Duration {
	rate, tokens := 0.0, 0.0
	limited, settled := false, true
	for _, u := range w.UpstreamsFor(r.Target()) {
		if u.Leaving || u.Delisted {
			continue
		}
		if !u.Limited {
			return 0
		}
		limited, settled = true, settled && u.LimitSettled
		rate += u.LimitShare
		tokens += max(u.LimitTokens, 0)
	}
	missing := float64(ahead+1) - tokens
	switch {
	case !limited || missing <= 0:
		return 0
	case rate == 0 && settled:
		return noShareWait
	case rate == 0:
		return settleWait
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// Package medlarshare divides the limits of client accounts among the entry
// instances that receive their requests.
//
// Rules:
//
//	R1  The home of an account is the live instance with the highest rendezvous
//	    rank. It grants shares of the account's limits in proportion to demand, each
//	    for a term.
//	R2  The valid shares of an account never add up to more than 1. An instance
//	    that is new to an account waits until others give up part of theirs.
//	R3  For a term after its start, or after the set of live instances has changed,
//	    a home grants at most an equal part of an account that is new to it, since
//	    shares granted by another home may still be valid.
//	R4  An instance without a valid share uses an equal part. The worst overshoot
//	    therefore occurs when a home is lost or a network partition forms: the
//	    whole limit once more for a term, and beyond that the equal parts of the
//	    instances that cannot reach the home.
package medlarshare

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/peer/medlarmember"
	"medlarfield/internal/peer/medlarmessage"
)

// Share parameters.
const (
	term           = 2 * time.Second
	requestTimeout = 500 * time.Millisecond
	idleTimeout    = 10 * term
	minDemand      = 0.1 // minimum demand of a requester, in requests per second and in open requests
)

// Demand is the demand of an instance for the limits of an account.
type Demand struct {
	Account medlarid.AccountID
	Rate    float64 // requests received per second
	Open    int     // requests in progress or waiting
}

// Share is an instance's part of an account's limits, as fractions, until a time.
type Share struct {
	Account medlarid.AccountID
	Rate    float64 // fraction of the request rate
	Runs    float64 // fraction of the concurrency
	Until   time.Time
}

// holder is an instance that holds a share of an account.
type holder struct {
	rate, open         float64 // demand
	shareRate          float64
	shareRuns          float64
	until, lastRequest time.Time // end of the share; time of the last request
}

// allocation is the state of an account at its home.
type allocation struct {
	cautiousUntil time.Time // until then shares granted by another home may be valid
	holders       map[medlarid.InstanceID]*holder
	lastRequest   time.Time
}

// Allocator allocates the shares of the accounts whose home this instance is. It is
// safe for concurrent use.
type Allocator struct {
	mu          sync.Mutex
	allocations map[medlarid.AccountID]*allocation
	lastChange  time.Time // start, or last change of the set of live instances
}

// NewAllocator returns an allocator without accounts that starts at now.
func NewAllocator(now time.Time) *Allocator {
	return &Allocator{allocations: map[medlarid.AccountID]*allocation{}, lastChange: now}
}

// Len returns the number of accounts with allocated shares.
func (a *Allocator) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.allocations)
}

// MembershipChanged records that the set of live instances has changed, and with it
// the homes of accounts.
func (a *Allocator) MembershipChanged(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastChange = now
}

// Grant grants shares to the instance from (R1). peers is the number of live
// instances.
func (a *Allocator) Grant(now time.Time, from medlarid.InstanceID, demands []Demand, peers int) []Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]Share, 0, len(demands))
	for _, d := range demands {
		al := a.allocations[d.Account]
		if al == nil {
			al = &allocation{holders: map[medlarid.InstanceID]*holder{}}
			if now.Sub(a.lastChange) < term {
				al.cautiousUntil = a.lastChange.Add(term)
			}
			a.allocations[d.Account] = al
		}
		al.lastRequest = now
		out = append(out, al.grant(now, from, d, peers))
	}
	return out
}

// EvictIdle removes accounts without requests for longer than idleTimeout.
func (a *Allocator) EvictIdle(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, al := range a.allocations {
		if now.Sub(al.lastRequest) > idleTimeout {
			delete(a.allocations, id)
		}
	}
}

func (al *allocation) grant(now time.Time, from medlarid.InstanceID, d Demand, peers int) Share {
	h := al.holders[from]
	if h == nil {
		h = &holder{}
		al.holders[from] = h
	}
	h.rate, h.open, h.lastRequest = max(d.Rate, minDemand), max(float64(d.Open), minDemand), now
	var sumRate, sumOpen, grantedRate, grantedRuns float64
	for id, o := range al.holders {
		if now.Sub(o.lastRequest) > 2*term {
			delete(al.holders, id)
			continue
		}
		sumRate += o.rate
		sumOpen += o.open
		if id != from && now.Before(o.until) {
			grantedRate += o.shareRate
			grantedRuns += o.shareRuns
		}
	}
	rate := min(h.rate/sumRate, 1-grantedRate) // R2
	runs := min(h.open/sumOpen, 1-grantedRuns)
	if now.Before(al.cautiousUntil) { // R3
		equal := 1 / float64(max(peers, 1))
		rate, runs = min(rate, equal), min(runs, equal)
	}
	h.shareRate, h.shareRuns, h.until = max(rate, 0), max(runs, 0), now.Add(term)
	return Share{Account: d.Account, Rate: h.shareRate, Runs: h.shareRuns, Until: h.until}
}

// Home returns the home of an account among the live instances (R1).
func Home(a medlarid.AccountID, live []medlarid.InstanceID) medlarid.InstanceID {
	return slices.MaxFunc(live, func(x, y medlarid.InstanceID) int {
		return cmp.Or(cmp.Compare(rank(a, x), rank(a, y)), cmp.Compare(x, y))
	})
}

func rank(a medlarid.AccountID, id medlarid.InstanceID) uint64 {
	return xxh3.HashString(string(a) + "\x00" + string(id))
}

// Deps are the functions that a manager uses of its instance.
type Deps struct {
	Self        medlarid.InstanceID
	Live        func() []medlarid.InstanceID
	Call        medlarmember.CallFunc
	ApplyShares func([]Share) // applies granted shares
	Failed      func()        // called when a request for shares fails
}

// Manager requests shares from the homes of accounts, and is itself the home of some.
// It is safe for concurrent use.
type Manager struct {
	deps      Deps
	allocator *Allocator

	mu       sync.Mutex
	lastLive []medlarid.InstanceID // live instances at the last refresh
}

// New returns a manager of shares.
func New(d Deps) *Manager { return &Manager{deps: d, allocator: NewAllocator(time.Now())} }

// RefreshLive returns the live instances and records when they have changed (R3). It
// must be called regularly, whether or not shares are requested.
func (m *Manager) RefreshLive() []medlarid.InstanceID {
	live := m.deps.Live()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Equal(live, m.lastLive) {
		m.lastLive = live
		m.allocator.MembershipChanged(time.Now())
	}
	return live
}

// Allocator returns the allocator of the accounts whose home this instance is.
func (m *Manager) Allocator() *Allocator { return m.allocator }

// RequestShares requests shares from the homes of accounts, with one call to each home.
func (m *Manager) RequestShares(demands []Demand) {
	live := m.RefreshLive()
	byHome := map[medlarid.InstanceID][]Demand{}
	for _, d := range demands {
		id := Home(d.Account, live)
		byHome[id] = append(byHome[id], d)
	}
	for id, ds := range byHome {
		if id == m.deps.Self {
			m.deps.ApplyShares(m.allocator.Grant(time.Now(), id, ds, len(live)))
			continue
		}
		go m.requestFromPeer(id, ds)
	}
	m.allocator.EvictIdle(time.Now())
}

// requestFromPeer requests shares from another instance. The term starts before the
// call, so that a share that arrives late is not used for longer than its home assumes.
func (m *Manager) requestFromPeer(id medlarid.InstanceID, demands []Demand) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	ask := &medlarmessage.Ask{}
	for _, d := range demands {
		ask.Demands = append(ask.Demands, &medlarmessage.Demand{Account: string(d.Account), Rate: float32(d.Rate), Open: uint32(d.Open)})
	}
	begin := time.Now()
	r, err := m.deps.Call(ctx, id, &medlarmessage.Frame{Body: &medlarmessage.Frame_Ask{Ask: ask}})
	if err != nil {
		m.deps.Failed()
		return
	}
	until := begin.Add(time.Duration(r.GetGranted().GetTerm()) * time.Millisecond)
	var shares []Share
	for _, g := range r.GetGranted().GetShares() {
		shares = append(shares, Share{Account: medlarid.AccountID(g.GetAccount()), Rate: float64(g.GetRate()), Runs: float64(g.GetRuns()), Until: until})
	}
	m.deps.ApplyShares(shares)
}

// Handle answers a request for shares; ok is false for other calls.
func (m *Manager) Handle(from medlarid.InstanceID, f *medlarmessage.Frame) (r *medlarmessage.Reply, ok bool) {
	ask := f.GetAsk()
	if ask == nil {
		return nil, false
	}
	var demands []Demand
	for _, d := range ask.GetDemands() {
		demands = append(demands, Demand{Account: medlarid.AccountID(d.GetAccount()), Rate: float64(d.GetRate()), Open: int(d.GetOpen())})
	}
	granted := &medlarmessage.Granted{Term: uint32(term.Milliseconds())}
	for _, g := range m.allocator.Grant(time.Now(), from, demands, len(m.RefreshLive())) {
		granted.Shares = append(granted.Shares, &medlarmessage.Share{Account: string(g.Account), Rate: float32(g.Rate), Runs: float32(g.Runs)})
	}
	return &medlarmessage.Reply{Body: &medlarmessage.Reply_Granted{Granted: granted}}, true
}

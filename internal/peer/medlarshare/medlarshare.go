// Package medlarshare divides the limits of client accounts among the entry
// instances that their requests come to.
//
// Rules:
//
//	R1  The home of an account is the live instance of the highest rank. It grants
//	    shares of the account's limits by demand, for a term.
//	R2  The shares that are out for an account never add up to more than one. An
//	    instance that is new to an account waits until others give back.
//	R3  For a term after its start, or after the live instances have changed, a
//	    home grants no more than an equal part of an account that is new to it,
//	    since another home's shares may still be out.
//	R4  An instance without a valid share uses an equal part. So the worst
//	    overshoot is that of a home that was lost, or of a part of the platform
//	    cut off: once the limit for a term, and beyond it the equal parts of those
//	    who do not reach the home.
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

// Parameters of shares.
const (
	term        = 2 * time.Second
	askTimeout  = 500 * time.Millisecond
	forgetAfter = 10 * term
	minDemand   = 0.1 // requests a second that every asker counts for at least
)

// Demand is what an instance wants for an account.
type Demand struct {
	Account medlarid.AccountID
	Rate    float64 // requests a second that came
	Open    int     // requests open or wanted
}

// Share is a part of an account's limits, from 0 to 1, until a time.
type Share struct {
	Account medlarid.AccountID
	Rate    float64
	Runs    float64
	Until   time.Time
}

// asker is an instance that holds a share of an account.
type asker struct {
	rate, open  float64 // demand
	shareRate   float64
	shareRuns   float64
	until, seen time.Time
}

// home is what the home of an account remembers.
type home struct {
	careful time.Time // until then another home's shares may be out
	askers  map[medlarid.InstanceID]*asker
	seen    time.Time
}

// Allocator is the state of a home for all its accounts. It is safe for concurrent
// use.
type Allocator struct {
	mu    sync.Mutex
	homes map[medlarid.AccountID]*home
	moved time.Time // start, or last change of the live instances
}

// NewAllocator returns an empty book that starts at a time.
func NewAllocator(now time.Time) *Allocator {
	return &Allocator{homes: map[medlarid.AccountID]*home{}, moved: now}
}

// Len returns the number of accounts in the book.
func (b *Allocator) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.homes)
}

// MembershipChanged notes that the live instances have changed, and accounts their homes.
func (b *Allocator) MembershipChanged(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.moved = now
}

// Grant grants shares to an instance (R1). peers is the number of live
// instances.
func (b *Allocator) Grant(now time.Time, from medlarid.InstanceID, demands []Demand, peers int) []Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Share, 0, len(demands))
	for _, d := range demands {
		h := b.homes[d.Account]
		if h == nil {
			h = &home{askers: map[medlarid.InstanceID]*asker{}}
			if now.Sub(b.moved) < term {
				h.careful = b.moved.Add(term)
			}
			b.homes[d.Account] = h
		}
		h.seen = now
		out = append(out, h.grant(now, from, d, peers))
	}
	return out
}

// EvictIdle drops accounts that nobody has asked about for long.
func (b *Allocator) EvictIdle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, h := range b.homes {
		if now.Sub(h.seen) > forgetAfter {
			delete(b.homes, id)
		}
	}
}

func (h *home) grant(now time.Time, from medlarid.InstanceID, d Demand, peers int) Share {
	a := h.askers[from]
	if a == nil {
		a = &asker{}
		h.askers[from] = a
	}
	a.rate, a.open, a.seen = max(d.Rate, minDemand), max(float64(d.Open), minDemand), now
	var sumRate, sumOpen, outRate, outRuns float64
	for id, o := range h.askers {
		if now.Sub(o.seen) > 2*term {
			delete(h.askers, id)
			continue
		}
		sumRate += o.rate
		sumOpen += o.open
		if id != from && now.Before(o.until) {
			outRate += o.shareRate
			outRuns += o.shareRuns
		}
	}
	rate := min(a.rate/sumRate, 1-outRate) // R2
	runs := min(a.open/sumOpen, 1-outRuns)
	if now.Before(h.careful) { // R3
		equal := 1 / float64(max(peers, 1))
		rate, runs = min(rate, equal), min(runs, equal)
	}
	a.shareRate, a.shareRuns, a.until = max(rate, 0), max(runs, 0), now.Add(term)
	return Share{Account: d.Account, Rate: a.shareRate, Runs: a.shareRuns, Until: a.until}
}

// Home returns the home of an account among the live instances.
func Home(a medlarid.AccountID, live []medlarid.InstanceID) medlarid.InstanceID {
	return slices.MaxFunc(live, func(x, y medlarid.InstanceID) int {
		return cmp.Or(cmp.Compare(rank(a, x), rank(a, y)), cmp.Compare(x, y))
	})
}

func rank(a medlarid.AccountID, id medlarid.InstanceID) uint64 {
	return xxh3.HashString(string(a) + "\x00" + string(id))
}

// Deps are what shares use of their instance.
type Deps struct {
	Self        medlarid.InstanceID
	Live        func() []medlarid.InstanceID
	Call        medlarmember.CallFunc
	ApplyShares func([]Share) // takes over granted shares
	Failed      func()
}

// Manager asks homes for shares and is the home of some accounts. It is safe for
// concurrent use.
type Manager struct {
	seams Deps
	book  *Allocator

	mu   sync.Mutex
	last []medlarid.InstanceID // live instances at the last look
}

// New returns a sharer.
func New(s Deps) *Manager { return &Manager{seams: s, book: NewAllocator(time.Now())} }

// RefreshLive returns the live instances and notes when they have changed. It is to be
// called now and then, whether or not shares are asked for.
func (s *Manager) RefreshLive() []medlarid.InstanceID {
	live := s.seams.Live()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(live, s.last) {
		s.last = live
		s.book.MembershipChanged(time.Now())
	}
	return live
}

// Allocator returns what this instance remembers as a home.
func (s *Manager) Allocator() *Allocator { return s.book }

// RequestShares asks the homes of accounts for shares, one call for each home.
func (s *Manager) RequestShares(demands []Demand) {
	live := s.RefreshLive()
	byHome := map[medlarid.InstanceID][]Demand{}
	for _, d := range demands {
		id := Home(d.Account, live)
		byHome[id] = append(byHome[id], d)
	}
	for id, ds := range byHome {
		if id == s.seams.Self {
			s.seams.ApplyShares(s.book.Grant(time.Now(), id, ds, len(live)))
			continue
		}
		go s.askPeer(id, ds)
	}
	s.book.EvictIdle(time.Now())
}

// askPeer asks another instance. The term counts from before the call, so that a
// late answer is not used for longer than its home thinks.
func (s *Manager) askPeer(id medlarid.InstanceID, demands []Demand) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	ask := &medlarmessage.Ask{}
	for _, d := range demands {
		ask.Demands = append(ask.Demands, &medlarmessage.Demand{Account: string(d.Account), Rate: float32(d.Rate), Open: uint32(d.Open)})
	}
	begin := time.Now()
	r, err := s.seams.Call(ctx, id, &medlarmessage.Frame{Body: &medlarmessage.Frame_Ask{Ask: ask}})
	if err != nil {
		s.seams.Failed()
		return
	}
	until := begin.Add(time.Duration(r.GetGranted().GetTerm()) * time.Millisecond)
	var shares []Share
	for _, g := range r.GetGranted().GetShares() {
		shares = append(shares, Share{Account: medlarid.AccountID(g.GetAccount()), Rate: float64(g.GetRate()), Runs: float64(g.GetRuns()), Until: until})
	}
	s.seams.ApplyShares(shares)
}

// Handle answers an instance that asks for shares; ok is false for other calls.
func (s *Manager) Handle(from medlarid.InstanceID, f *medlarmessage.Frame) (r *medlarmessage.Reply, ok bool) {
	ask := f.GetAsk()
	if ask == nil {
		return nil, false
	}
	var demands []Demand
	for _, d := range ask.GetDemands() {
		demands = append(demands, Demand{Account: medlarid.AccountID(d.GetAccount()), Rate: float64(d.GetRate()), Open: int(d.GetOpen())})
	}
	granted := &medlarmessage.Granted{Term: uint32(term.Milliseconds())}
	for _, g := range s.book.Grant(time.Now(), from, demands, len(s.RefreshLive())) {
		granted.Shares = append(granted.Shares, &medlarmessage.Share{Account: string(g.Account), Rate: float32(g.Rate), Runs: float32(g.Runs)})
	}
	return &medlarmessage.Reply{Body: &medlarmessage.Reply_Granted{Granted: granted}}, true
}

package medlarshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarfield/internal/base/medlarid"
)

const account = medlarid.AccountID("a")

// simulation tracks the shares that several instances hold of one account.
type simulation struct {
	now       time.Time
	allocator *Allocator
	shares    map[medlarid.InstanceID]Share
	peers     int
}

func newSimulation(peers int) *simulation {
	now := time.Unix(1000, 0)
	return &simulation{now: now, allocator: NewAllocator(now), shares: map[medlarid.InstanceID]Share{}, peers: peers}
}

func (h *simulation) request(id medlarid.InstanceID, rate float64, open int) Share {
	s := h.allocator.Grant(h.now, id, []Demand{{Account: account, Rate: rate, Open: open}}, h.peers)[0]
	h.shares[id] = s
	return s
}

// totals returns the sums of the valid shares.
func (h *simulation) totals() (rate, runs float64) {
	for _, s := range h.shares {
		if h.now.Before(s.Until) {
			rate += s.Rate
			runs += s.Runs
		}
	}
	return rate, runs
}

// settle requests shares at every instance for several terms, until they follow demand.
func (h *simulation) settle(t *testing.T, demand map[medlarid.InstanceID]float64) {
	t.Helper()
	for range 8 {
		for id, rate := range demand {
			h.request(id, rate, int(rate))
		}
		h.now = h.now.Add(term / 2)
	}
	for id, rate := range demand {
		h.request(id, rate, int(rate))
	}
}

func TestSharesFollowDemand(t *testing.T) {
	for _, tc := range []struct {
		name   string
		demand map[medlarid.InstanceID]float64
		want   map[medlarid.InstanceID]float64
	}{
		{"a single instance gets the whole limit", map[medlarid.InstanceID]float64{"x": 5}, map[medlarid.InstanceID]float64{"x": 1}},
		{"shares are proportional to demand", map[medlarid.InstanceID]float64{"x": 30, "y": 10}, map[medlarid.InstanceID]float64{"x": 0.75, "y": 0.25}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newSimulation(410)
			h.settle(t, tc.demand)
			for id, want := range tc.want {
				if got := h.shares[id].Rate; math.Abs(got-want) > 0.02 {
					t.Errorf("%s has a share of %.2f, want %.2f", id, got, want)
				}
			}
		})
	}
}

func TestNewHomeGrantsEqualParts(t *testing.T) {
	h := newSimulation(10)
	if s := h.request("x", 50, 50); s.Rate > 0.1 || s.Runs > 0.1 {
		t.Errorf("a new home granted %+v, want at most 0.1 of each limit", s)
	}
	h.now = h.now.Add(term)
	if s := h.request("x", 50, 50); s.Rate != 1 {
		t.Errorf("after a term the home granted %+v, want the whole rate", s)
	}
}

// maxOvershoot is the largest sum of shares that R4 allows when a home is lost: those of
// the old home and those of the new home, the limit once each.
const maxOvershoot = 2.0

func TestSettledHomeGrantsANewAccountInFull(t *testing.T) {
	h := newSimulation(410)
	h.now = h.now.Add(term)
	if s := h.request("x", 1, 1); s.Rate != 1 {
		t.Errorf("granted %+v, want the whole rate", s)
	}
	h.allocator.MembershipChanged(h.now)
	other := h.allocator.Grant(h.now, "x", []Demand{{Account: "b", Rate: 1, Open: 1}}, 410)[0]
	if other.Rate > 0.01 {
		t.Errorf("granted %+v right after a change of the live instances, want at most 0.01 of the rate", other)
	}
}

func TestOvershootAfterLossOfHome(t *testing.T) {
	h := newSimulation(4)
	demand := map[medlarid.InstanceID]float64{"x": 30, "y": 10, "z": 10}
	h.settle(t, demand)
	oldShares := h.shares
	newHome := &simulation{now: h.now, allocator: NewAllocator(h.now), shares: map[medlarid.InstanceID]Share{}, peers: 4}
	worst := 0.0
	for range 20 {
		for id, rate := range demand {
			newHome.request(id, rate, int(rate))
		}
		rate, _ := newHome.totals()
		for id, s := range oldShares { // an instance that has a share of the new home uses only that one
			if _, replaced := newHome.shares[id]; !replaced && newHome.now.Before(s.Until) {
				rate += s.Rate
			}
		}
		worst = max(worst, rate)
		newHome.now = newHome.now.Add(term / 8)
	}
	t.Logf("at most %.2f of the limit was granted", worst)
	if worst > maxOvershoot {
		t.Errorf("%.2f of the limit was granted, want at most %.0f", worst, maxOvershoot)
	}
}

func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newSimulation(rapid.IntRange(1, 8).Draw(t, "peers"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := medlarid.InstanceID(fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "instance")))
			h.request(id, rapid.Float64Range(0, 100).Draw(t, "rate"), rapid.IntRange(0, 50).Draw(t, "open"))
			if rate, runs := h.totals(); rate > 1.0001 || runs > 1.0001 {
				t.Fatalf("valid shares add up to %.3f of the rate and %.3f of the concurrency", rate, runs)
			}
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis")) * time.Millisecond)
		}
	})
}

func TestHomesAreEvenlyDistributed(t *testing.T) {
	var live []medlarid.InstanceID
	for i := range 8 {
		live = append(live, medlarid.InstanceID(fmt.Sprint(i)))
	}
	count := map[medlarid.InstanceID]int{}
	for i := range 8000 {
		count[Home(medlarid.AccountID(fmt.Sprint("account-", i)), live)]++
	}
	for id, n := range count {
		if n < 800 || n > 1200 {
			t.Errorf("%s is the home of %d of 8000 accounts", id, n)
		}
	}
}

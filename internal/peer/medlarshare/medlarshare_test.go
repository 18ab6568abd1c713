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

// holders follows what several instances hold of one account.
type holders struct {
	now    time.Time
	book   *Allocator
	shares map[medlarid.InstanceID]Share
	peers  int
}

func newHolders(peers int) *holders {
	now := time.Unix(1000, 0)
	return &holders{now: now, book: NewAllocator(now), shares: map[medlarid.InstanceID]Share{}, peers: peers}
}

func (h *holders) ask(id medlarid.InstanceID, rate float64, open int) Share {
	s := h.book.Grant(h.now, id, []Demand{{Account: account, Rate: rate, Open: open}}, h.peers)[0]
	h.shares[id] = s
	return s
}

// out returns the sums of the valid shares.
func (h *holders) out() (rate, runs float64) {
	for _, s := range h.shares {
		if h.now.Before(s.Until) {
			rate += s.Rate
			runs += s.Runs
		}
	}
	return rate, runs
}

func (h *holders) settle(t *testing.T, demand map[medlarid.InstanceID]float64) {
	t.Helper()
	for range 8 {
		for id, rate := range demand {
			h.ask(id, rate, int(rate))
		}
		h.now = h.now.Add(term / 2)
	}
	for id, rate := range demand {
		h.ask(id, rate, int(rate))
	}
}

func TestSharesFollowDemand(t *testing.T) {
	for _, tc := range []struct {
		name   string
		demand map[medlarid.InstanceID]float64
		want   map[medlarid.InstanceID]float64
	}{
		{"one instance gets all", map[medlarid.InstanceID]float64{"x": 5}, map[medlarid.InstanceID]float64{"x": 1}},
		{"by demand", map[medlarid.InstanceID]float64{"x": 30, "y": 10}, map[medlarid.InstanceID]float64{"x": 0.75, "y": 0.25}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHolders(410)
			h.settle(t, tc.demand)
			for id, want := range tc.want {
				if got := h.shares[id].Rate; math.Abs(got-want) > 0.02 {
					t.Errorf("%s has %.2f, want %.2f", id, got, want)
				}
			}
		})
	}
}

func TestNewHomeGrantsEqualParts(t *testing.T) {
	h := newHolders(10)
	if s := h.ask("x", 50, 50); s.Rate > 0.1 || s.Runs > 0.1 {
		t.Errorf("a new home granted %+v", s)
	}
	h.now = h.now.Add(term)
	if s := h.ask("x", 50, 50); s.Rate != 1 {
		t.Errorf("after a term it granted %+v", s)
	}
}

// overshoot is the most that the promise allows when a home is lost: the old
// home's shares and the new home's, once the limit each.
const overshoot = 2.0

func TestSettledHomeGrantsANewAccountInFull(t *testing.T) {
	h := newHolders(410)
	h.now = h.now.Add(term)
	if s := h.ask("x", 1, 1); s.Rate != 1 {
		t.Errorf("granted %+v", s)
	}
	h.book.MembershipChanged(h.now)
	other := h.book.Grant(h.now, "x", []Demand{{Account: "b", Rate: 1, Open: 1}}, 410)[0]
	if other.Rate > 0.01 {
		t.Errorf("right after a change of the live instances granted %+v", other)
	}
}

func TestOvershootAfterLossOfHome(t *testing.T) {
	h := newHolders(4)
	demand := map[medlarid.InstanceID]float64{"x": 30, "y": 10, "z": 10}
	h.settle(t, demand)
	old := h.shares
	lost := &holders{now: h.now, book: NewAllocator(h.now), shares: map[medlarid.InstanceID]Share{}, peers: 4}
	worst := 0.0
	for range 20 {
		for id, rate := range demand {
			lost.ask(id, rate, int(rate))
		}
		rate, _ := lost.out()
		for id, s := range old { // who has asked the new home uses its answer alone
			if _, asked := lost.shares[id]; !asked && lost.now.Before(s.Until) {
				rate += s.Rate
			}
		}
		worst = max(worst, rate)
		lost.now = lost.now.Add(term / 8)
	}
	t.Logf("at worst %.2f of the limit", worst)
	if worst > overshoot {
		t.Errorf("%.2f of the limit was out, more than %.0f", worst, overshoot)
	}
}

func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHolders(rapid.IntRange(1, 8).Draw(t, "peers"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := medlarid.InstanceID(fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "instance")))
			h.ask(id, rapid.Float64Range(0, 100).Draw(t, "rate"), rapid.IntRange(0, 50).Draw(t, "open"))
			if rate, runs := h.out(); rate > 1.0001 || runs > 1.0001 {
				t.Fatalf("shares add up to %.3f and %.3f", rate, runs)
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

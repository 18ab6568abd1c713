package medlarcore

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbudget"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

var epoch = time.Unix(1_700_000_000, 0)

// harness drives a core directly.
type harness struct {
	t    testing.TB
	core *Core
	now  time.Time
	runs int // number of the last run
	// commands are those of the last tick.
	commands []medlarworld.Command
}

// newHarness returns a harness of a core with configuration, engines that each have a
// number of slots, and a service.
func newHarness(t testing.TB, engines, slots int, change func(*medlarworld.Config)) *harness {
	t.Helper()
	cfg := medlarworld.Config{Self: "entry-1", Zone: "z", Weighting: medlarkind.WeightingTTFT, MaxQueued: 20, MaxAttempts: 3, MaxWait: time.Minute, Seed: 1}
	if change != nil {
		change(&cfg)
	}
	h := &harness{t: t, core: New(cfg), now: epoch}
	h.tick(medlarworld.ListsApplied{Version: 1, Models: []medlarworld.Model{{ID: "m", Version: "v1"}}})
	h.tick(h.instanceList(engines, ""))
	for i := range engines {
		h.report(i, slots)
	}
	return h
}

func engineName(i int) medlarid.InstanceID { return medlarid.InstanceID(fmt.Sprintf("engine-%d", i)) }

// instanceList returns an instance list; the named instance is leaving.
func (h *harness) instanceList(engines int, leaving medlarid.InstanceID) medlarworld.InstancesListed {
	l := medlarworld.InstancesListed{}
	for i := range engines {
		id := engineName(i)
		l.Members = append(l.Members, medlarupstream.Member{ID: id, Kind: "engine", Zone: "z", Address: "1", Model: "m", Leaving: id == leaving})
	}
	for _, id := range []medlarid.InstanceID{"service-0", "service-1"} {
		l.Members = append(l.Members, medlarupstream.Member{ID: id, Kind: "service", Zone: "z", Address: "1", Service: "s", Leaving: id == leaving})
	}
	return l
}

func (h *harness) report(i, slots int) {
	h.tick(medlarworld.StatusReported{Upstream: engineName(i), Model: "m", Version: "v1", PrefillRate: 8000, Load: medlarupstream.Load{Slots: slots}})
}

func (h *harness) tick(events ...medlarworld.Event) []medlarworld.Command {
	h.commands = append([]medlarworld.Command(nil), h.core.Tick(h.now, events)...)
	return h.commands
}

func (h *harness) advance(d time.Duration) []medlarworld.Command {
	h.now = h.now.Add(d)
	return h.tick(medlarworld.Tick{})
}

// newRun returns a new run of an account.
func (h *harness) newRun(account medlarid.AccountID) *medlarworld.Run {
	h.runs++
	return &medlarworld.Run{
		ID:           medlarid.RequestID(fmt.Sprintf("r%d", h.runs)),
		Account:      account,
		Model:        "m",
		Version:      "v1",
		PromptTokens: 100,
		Arrived:      h.now,
		Deadline:     h.now.Add(time.Minute),
	}
}

func (h *harness) submit(r *medlarworld.Run, l medlarworld.Limits) []medlarworld.Command {
	return h.tick(medlarworld.Submitted{Run: r, Limits: l})
}

// started returns the Start commands of the last tick.
func (h *harness) started() (out []medlarworld.StartAttempt) {
	for _, c := range h.commands {
		if s, ok := c.(medlarworld.StartAttempt); ok {
			out = append(out, s)
		}
	}
	return out
}

func (h *harness) refused() (out []medlarworld.Refuse) {
	for _, c := range h.commands {
		if r, ok := c.(medlarworld.Refuse); ok {
			out = append(out, r)
		}
	}
	return out
}

func (h *harness) assertStarted(ids ...medlarid.RequestID) {
	h.t.Helper()
	var got []medlarid.RequestID
	for _, s := range h.started() {
		got = append(got, s.Run)
	}
	if d := cmp.Diff(ids, got); d != "" {
		h.t.Fatalf("started:\n%s", d)
	}
}

func (h *harness) assertRefused(reason medlarreason.Reason, ran medlarreason.Ran) medlarworld.Refuse {
	h.t.Helper()
	r := h.refused()
	if len(r) != 1 || r[0].Reason != reason || r[0].Ran != ran {
		h.t.Fatalf("refused %+v, want %q, ran %q", r, reason, ran)
	}
	return r[0]
}

func TestAdmission(t *testing.T) {
	none := medlarworld.Limits{}
	for _, tc := range []struct {
		name   string
		before func(*harness)
		change func(*medlarworld.Run)
		limits medlarworld.Limits
		want   medlarreason.Reason // empty for a start
	}{
		{"admitted", func(*harness) {}, nil, none, ""},
		{"stopping", func(h *harness) { h.tick(medlarworld.StopRequested{}) }, nil, none, medlarreason.Draining},
		{"no upstream for the model", func(*harness) {}, func(r *medlarworld.Run) { r.Model = "x" }, none, medlarreason.Capacity},
		{"rate limit exceeded", func(h *harness) { h.submit(h.newRun("a"), medlarworld.Limits{Rate: 1, Burst: 1}) }, nil, medlarworld.Limits{Rate: 1, Burst: 1}, medlarreason.Rate},
		{"too many open requests", func(h *harness) { h.submit(h.newRun("a"), medlarworld.Limits{Runs: 1}) }, nil, medlarworld.Limits{Runs: 1}, medlarreason.Concurrency},
		{"another account's limits", func(h *harness) { h.submit(h.newRun("b"), medlarworld.Limits{Runs: 1}) }, nil, medlarworld.Limits{Runs: 1}, ""},
		{"deadline passed", func(*harness) {}, func(r *medlarworld.Run) { r.Deadline = epoch.Add(-time.Second) }, none, medlarreason.Deadline},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, 2, 8, nil)
			tc.before(h)
			r := h.newRun("a")
			if tc.change != nil {
				tc.change(r)
			}
			h.submit(r, tc.limits)
			if tc.want == "" {
				h.assertStarted(r.ID)
				return
			}
			h.assertRefused(tc.want, medlarreason.RanNo)
		})
	}
	t.Run("no configuration yet", func(t *testing.T) {
		h := &harness{t: t, core: New(medlarworld.Config{MaxQueued: 1}), now: epoch}
		h.submit(h.newRun("a"), none)
		h.assertRefused(medlarreason.Unready, medlarreason.RanNo)
	})
}

func TestRateLimitRefills(t *testing.T) {
	h := newHarness(t, 2, 100, nil)
	limits := medlarworld.Limits{Rate: 10, Burst: 5}
	started := 0
	for range 1000 { // 100 requests a second for 10 s
		h.submit(h.newRun("a"), limits)
		started += len(h.started())
		h.now = h.now.Add(10 * time.Millisecond)
	}
	if want := 10*10 + 5; started < want-2 || started > want+2 {
		t.Errorf("%d requests were admitted in 10 s, want about %d", started, want)
	}
}

func TestShareLimitsRate(t *testing.T) {
	h := newHarness(t, 2, 1<<20, nil)
	h.tick(medlarworld.InstancesListed{Members: h.instanceList(2, "").Members, Peers: 4})
	limits := medlarworld.Limits{Rate: 100, Burst: 10}
	h.submit(h.newRun("a"), limits)
	h.tick(medlarworld.SharesGranted{Shares: []medlarbudget.Share{{Account: "a", Rate: 0.5, Runs: 0.5, Until: h.now.Add(time.Hour)}}})
	started := 0
	for range 1000 {
		h.submit(h.newRun("a"), limits)
		started += len(h.started())
		h.now = h.now.Add(10 * time.Millisecond)
	}
	if started < 490 || started > 515 {
		t.Errorf("%d requests were admitted in 10 s with half of 100 a second, want about 500", started)
	}
}

// fill fills all slots of a single engine.
func (h *harness) fill(slots int) []medlarid.RequestID {
	var ids []medlarid.RequestID
	for range slots + slots/4 {
		r := h.newRun("filler")
		h.submit(r, medlarworld.Limits{})
		ids = append(ids, r.ID)
	}
	return ids
}

func (h *harness) end(id medlarid.RequestID) {
	r := h.core.World().Runs[id]
	h.tick(medlarworld.AttemptEnded{Run: id, Attempt: r.Attempt, Cause: medlarkind.CauseDone, Reached: true})
	h.report(0, 4)
}

func TestQueueIsFair(t *testing.T) {
	h := newHarness(t, 1, 4, func(c *medlarworld.Config) { c.MaxQueued = 1000 })
	running := h.fill(4)
	for range 100 {
		h.submit(h.newRun("large"), medlarworld.Limits{Weight: 1})
	}
	small := map[medlarid.RequestID]bool{}
	for range 3 {
		r := h.newRun("small")
		small[r.ID] = true
		h.submit(r, medlarworld.Limits{Weight: 1})
	}
	var order []medlarid.RequestID
	for _, id := range running {
		r := h.core.World().Runs[id]
		h.tick(medlarworld.AttemptEnded{Run: id, Attempt: r.Attempt, Cause: medlarkind.CauseDone, Reached: true})
		for _, s := range h.started() {
			order = append(order, s.Run)
		}
		h.report(0, 4)
		for _, s := range h.started() {
			order = append(order, s.Run)
		}
	}
	seen := 0
	for _, id := range order[:min(len(order), 6)] {
		if small[id] {
			seen++
		}
	}
	if seen < 2 {
		t.Errorf("of the first %d starts only %d were the small account's: %v", len(order), seen, order)
	}
}

func TestHigherPriorityStartsFirst(t *testing.T) {
	h := newHarness(t, 1, 4, nil)
	running := h.fill(4)
	for range 5 {
		h.submit(h.newRun("batch"), medlarworld.Limits{})
	}
	urgent := h.newRun("phone")
	h.submit(urgent, medlarworld.Limits{Priority: 10})
	r := h.core.World().Runs[running[0]]
	h.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: 1, Cause: medlarkind.CauseDone, Reached: true})
	h.tick(medlarworld.StatusReported{Upstream: engineName(0), Model: "m", Version: "v1", PrefillRate: 8000, Load: medlarupstream.Load{Slots: 4, Running: 4}})
	h.assertStarted(urgent.ID)
}

func TestFullQueueRefusesHeaviestAccount(t *testing.T) {
	h := newHarness(t, 1, 4, nil)
	h.fill(4)
	for range 20 {
		h.submit(h.newRun("large"), medlarworld.Limits{})
	}
	h.submit(h.newRun("large"), medlarworld.Limits{})
	h.assertRefused(medlarreason.Overload, medlarreason.RanNo)
	small := h.newRun("small")
	h.submit(small, medlarworld.Limits{})
	gone := h.assertRefused(medlarreason.Overload, medlarreason.RanNo)
	if gone.Run == small.ID || gone.RetryAfter == 0 {
		t.Errorf("refused %+v", gone)
	}
}

func TestWaitLimit(t *testing.T) {
	h := newHarness(t, 1, 4, func(c *medlarworld.Config) { c.MaxWait = 2 * time.Second })
	h.fill(4)
	r := h.newRun("a")
	h.submit(r, medlarworld.Limits{})
	h.advance(1900 * time.Millisecond)
	if len(h.refused()) != 0 {
		t.Fatal("refused before the maximum wait")
	}
	h.advance(200 * time.Millisecond)
	h.assertRefused(medlarreason.Deadline, medlarreason.RanNo)
}

func TestRetries(t *testing.T) {
	for _, tc := range []struct {
		name    string
		once    bool
		reached bool
		reason  medlarreason.Reason
		want    medlarreason.Reason // empty for another attempt
		ran     medlarreason.Ran
	}{
		{"repeatable, not reached", false, false, medlarreason.Unreachable, "", ""},
		{"repeatable, reached", false, true, medlarreason.Broken, "", ""},
		{"not repeatable, not reached", true, false, medlarreason.Unreachable, "", ""},
		{"not repeatable, reached", true, true, medlarreason.Broken, medlarreason.Unknown, medlarreason.RanUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, 3, 8, nil)
			r := h.newRun("a")
			r.AtMostOnce = tc.once
			h.submit(r, medlarworld.Limits{})
			if tc.once {
				h.tick(medlarworld.ClaimGranted{Run: r.ID})
			}
			first := h.started()[0]
			h.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: 1, Cause: medlarkind.CauseRetry, Reason: tc.reason, Reached: tc.reached})
			if tc.want != "" {
				h.assertRefused(tc.want, tc.ran)
				return
			}
			h.advance(50 * time.Millisecond)
			h.assertStarted(r.ID)
			if h.started()[0].Upstream == first.Upstream {
				t.Error("the retry went to the same upstream")
			}
		})
	}
}

func TestMaxAttempts(t *testing.T) {
	h := newHarness(t, 5, 8, nil)
	r := h.newRun("a")
	h.submit(r, medlarworld.Limits{})
	for i := 1; i <= 2; i++ {
		h.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: i, Cause: medlarkind.CauseRetry, Reason: medlarreason.Unreachable})
		h.advance(50 * time.Millisecond)
	}
	h.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: 3, Cause: medlarkind.CauseRetry, Reason: medlarreason.Unreachable})
	h.assertRefused(medlarreason.Capacity, medlarreason.RanNo)
}

func TestRetryBudget(t *testing.T) {
	h := newHarness(t, 4, 1<<20, func(c *medlarworld.Config) { c.MaxQueued = 1 << 20 })
	retries, requests := 0, 2000
	for range requests { // every attempt fails
		r := h.newRun("a")
		h.submit(r, medlarworld.Limits{})
		for attempt := 1; h.core.World().Runs[r.ID] != nil; attempt++ {
			h.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: attempt, Cause: medlarkind.CauseRetry, Reason: medlarreason.Busy})
			for _, c := range h.commands {
				if _, ok := c.(medlarworld.Retried); ok {
					retries++
				}
			}
			h.advance(50 * time.Millisecond)
		}
	}
	if retries > requests/10+10 {
		t.Errorf("%d retries of %d requests while every attempt fails", retries, requests)
	}
}

// TestUnsentAttemptsCostNoBudget guards against requests that are refused since connections to some upstreams cannot be opened,
// as after the loss of an availability zone, while others would serve them: the budget was used up without a single repeat.
func TestUnsentAttemptsCostNoBudget(t *testing.T) {
	for _, reason := range []medlarreason.Reason{medlarreason.Unreachable, medlarreason.Paused} {
		t.Run(string(reason), func(t *testing.T) {
			h := newHarness(t, 4, 1<<20, nil)
			served, requests := 0, 200
			for range requests { // the first attempt of each fails, without a byte sent
				r := h.newRun("a")
				h.submit(r, medlarworld.Limits{})
				h.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: 1, Cause: medlarkind.CauseRetry, Reason: reason})
				h.advance(50 * time.Millisecond)
				if h.core.World().Runs[r.ID] == nil {
					continue
				}
				served++
				h.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: 2, Cause: medlarkind.CauseDone, Reached: true})
			}
			if served != requests {
				t.Errorf("%d of %d requests get a second attempt", served, requests)
			}
		})
	}
}

func TestEjection(t *testing.T) {
	h := newHarness(t, 4, 1000, nil)
	failing := engineName(1)
	for i := range 200 {
		r := h.newRun("a")
		h.submit(r, medlarworld.Limits{})
		cause, reason := medlarkind.CauseDone, medlarreason.Reason("")
		if h.started()[0].Upstream == failing {
			cause, reason = medlarkind.CauseRetry, medlarreason.Broken
		}
		h.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: 1, Cause: cause, Reason: reason, Reached: true})
		h.advance(time.Millisecond)
		if !h.now.Before(h.core.World().Upstreams[failing].EjectedUntil) && i > 100 {
			t.Fatalf("the failing engine is still not ejected after %d requests", i)
		}
	}
	h.advance(time.Hour)
	if !h.core.World().Upstreams[failing].Usable(h.now) {
		t.Error("the ejected engine is not used again after an hour")
	}
}

func TestAtMostHalfAreEjected(t *testing.T) {
	h := newHarness(t, 4, 1000, func(c *medlarworld.Config) { c.MaxAttempts = 1 })
	for range 400 { // everything fails
		r := h.newRun("a")
		h.submit(r, medlarworld.Limits{})
		h.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: 1, Cause: medlarkind.CauseRetry, Reason: medlarreason.Broken, Reached: true})
	}
	ejected := 0
	for _, u := range h.core.World().Upstreams {
		if u.Kind == medlarkind.KindEngine && !u.Usable(h.now) {
			ejected++
		}
	}
	if ejected != 2 {
		t.Errorf("%d of 4 engines are ejected, want 2", ejected)
	}
}

// TestHomeReplicaCachesWholePrompt checks the case in which a replica's cost falls
// below 0: it is the conversation's home and has nothing to compute.
func TestHomeReplicaCachesWholePrompt(t *testing.T) {
	h := newHarness(t, 1, 1<<20, nil)
	for i := range 4 {
		r := h.newRun("a")
		r.Keys = make([]medlarkey.Key, 200)
		for b := range r.Keys {
			r.Keys[b] = medlarkey.Key{byte(b), 1}
		}
		r.PromptTokens = 200 * medlarkey.BlockTokens
		h.submit(r, medlarworld.Limits{})
		h.assertStarted(r.ID)
		h.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: 1, Cause: medlarkind.CauseDone, Reached: true})
		if i > 0 && h.core.World().Warm.Depth(r.Keys, engineName(0)) != 200 {
			t.Fatal("the replica is not recorded to cache the whole prompt")
		}
		h.report(0, 1<<20)
	}
}

func TestCallerLeavesBeforeStartIsHandled(t *testing.T) {
	h := newHarness(t, 1, 4, nil)
	r := h.newRun("a")
	h.submit(r, medlarworld.Limits{})
	h.assertStarted(r.ID)
	h.tick(medlarworld.CallerLeft{Run: r.ID})
	if u := h.core.World().Upstreams[engineName(0)]; u.Open != 0 || len(h.core.World().Runs) != 0 {
		t.Errorf("%d open attempts and %d runs are left", u.Open, len(h.core.World().Runs))
	}
}

func TestIdleAccountsAreRemoved(t *testing.T) {
	h := newHarness(t, 1, 1<<20, nil)
	for i := range 1000 {
		r := h.newRun(medlarid.AccountID(fmt.Sprint("account-", i)))
		h.submit(r, medlarworld.Limits{Rate: 1, Burst: 2})
		h.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: 1, Cause: medlarkind.CauseDone, Reached: true})
	}
	h.advance(time.Minute)
	h.advance(time.Minute)
	if n := len(h.core.World().Accounts); n > 10 {
		t.Errorf("%d idle accounts are still in memory", n)
	}
}

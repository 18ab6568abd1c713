package medlarcore

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbuild"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarverdict"
	"medlarfield/internal/core/medlarworld"
)

// tables draws histories of one instance: what it learns of replicas, stores and accounts, and requests.
type tables struct {
	*partsHarness
	rand    *rand.Rand
	running []*medlarworld.StartAttempt
}

const ledgerService = "ledger"

func newTables(t *testing.T, seed uint64) *tables {
	r := rand.New(rand.NewPCG(seed, 1))
	p := newPartsHarness(t, 0, func(cfg *medlarworld.Config) {
		cfg.Seed, cfg.TellLoad, cfg.MaxQueued = seed, true, 1+r.IntN(30)
	})
	y := &tables{partsHarness: p, rand: r}
	var members []medlarupstream.Member
	for i := range 1 + r.IntN(10) {
		m := engineMember(i, medlarid.WeightVersion(fmt.Sprint(1+r.IntN(8)/7)))
		m.Slots, m.Zone, m.Leaving = 1+r.IntN(6), medlarid.Zone([]string{"a", "b"}[r.IntN(2)]), r.IntN(8) == 0
		if seed%3 == 0 {
			m.Build = medlarid.Build([]string{"old", "new"}[r.IntN(2)])
		}
		members = append(members, m)
	}
	for i := range 1 + r.IntN(4) {
		members = append(members, medlarupstream.Member{
			ID: medlarid.InstanceID(fmt.Sprint("l", i)), Kind: "service", Address: "at-l", Service: ledgerService, Zone: "a", Slots: 1 + r.IntN(3),
		})
	}
	p.tick(medlarworld.InstancesListed{Members: members})
	p.tick(medlarworld.NoticesRead{})
	return y
}

// upstream draws an upstream.
func (y *tables) upstream() *medlarupstream.Upstream {
	all := y.core.World().Upstreams
	ids := make([]medlarid.InstanceID, 0, len(all))
	for id := range all {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return all[ids[y.rand.IntN(len(ids))]]
}

// event draws what the instance learns next.
func (y *tables) event() medlarworld.Event {
	u := y.upstream()
	switch y.rand.IntN(9) {
	case 0:
		return medlarworld.UpstreamPaused{Upstream: u.ID, Incarnation: u.Incarnation, For: time.Duration(y.rand.IntN(2000)) * time.Millisecond}
	case 1:
		return medlarworld.UpstreamLimited{Upstream: u.ID, Incarnation: u.Incarnation, Named: true, Limit: float64(1 + y.rand.IntN(20)), AttemptStarted: y.now}
	case 2:
		return medlarworld.UpstreamBrittle{Upstream: u.ID, Incarnation: u.Incarnation, Most: 1 + y.rand.IntN(200)}
	case 3:
		return medlarworld.WeightsLoading{Upstream: u.ID}
	case 4:
		e := medlarworld.InventoryReported{Store: []medlarid.InstanceID{"near", "far"}[y.rand.IntN(2)], Epoch: 1, At: y.now}
		return e
	case 5, 6:
		if len(y.running) == 0 {
			return medlarworld.Tick{}
		}
		i := y.rand.IntN(len(y.running))
		s := y.running[i]
		y.running = slices.Delete(y.running, i, i+1)
		e := medlarworld.AttemptEnded{Run: s.Run, Attempt: s.Attempt, Cause: medlarkind.CauseDone, Reached: true}
		switch y.rand.IntN(4) {
		case 0:
			e.Cause, e.Reason = medlarkind.CauseRetry, medlarreason.Busy
			e.Reached = false
		case 1:
			e.Cause, e.Reason, e.Lost, e.Head = medlarkind.CauseRetry, medlarreason.Truncated, true, true
		}
		return e
	case 7:
		return medlarworld.UpstreamLeaving{Upstream: u.ID, Incarnation: u.Incarnation}
	}
	return medlarworld.PeerLoadReported{Peer: "other"}
}

// request draws a request; the copies that it returns are equal and share nothing that the core changes.
func (y *tables) request() (a, b *medlarworld.Run, limits medlarworld.Limits) {
	if y.rand.IntN(3) == 0 {
		y.runs++
		a = &medlarworld.Run{
			ID: medlarid.RequestID(fmt.Sprint("r", y.runs)), Service: ledgerService, Arrived: y.now, MaxAttempts: 2, AtMostOnce: y.rand.IntN(2) == 0,
		}
		a.Claimed = a.AtMostOnce
	} else {
		sizes := make([]int, 1+y.rand.IntN(4))
		for i := range sizes {
			sizes[i] = 100 * (1 + y.rand.IntN(80))
		}
		a = y.newRun(sizes...)
		a.Traits = []medlarsuspect.Trait{medlarsuspect.Trait(fmt.Sprint("t", y.rand.IntN(12)))}
		if y.rand.IntN(2) == 0 {
			a.TargetTTFT, a.StartBy, a.AbandonAt = 500*time.Millisecond, y.now.Add(400*time.Millisecond), y.now.Add(2*time.Second)
		}
		if y.rand.IntN(2) == 0 {
			a.Stream = medlarbuild.KeyOf("acme", a.ID)
		}
		if y.rand.IntN(5) == 0 {
			a.Version = ""
		}
	}
	a.Account = medlarid.AccountID(fmt.Sprint("account-", y.rand.IntN(3)))
	a.Priority = medlarid.Priority(-y.rand.IntN(3))
	a.Deadline = y.now.Add(time.Duration(1+y.rand.IntN(4000)) * time.Millisecond)
	if y.rand.IntN(2) == 0 {
		limits = medlarworld.Limits{Rate: 5, Burst: 3, Runs: 6, Priority: 1}
	}
	copied := *a
	return a, &copied, limits
}

// ask returns the verdict on a request.
func (y *tables) ask(r *medlarworld.Run, l medlarworld.Limits) (v medlarverdict.Verdict) {
	y.tick(medlarworld.RouteAsked{Run: r, Limits: l, Reply: func(got medlarverdict.Verdict) { v = got }})
	return v
}

// note takes note of the attempts that start.
func (y *tables) note(cs []medlarworld.Command) {
	for _, c := range cs {
		if s, ok := c.(medlarworld.StartAttempt); ok {
			y.running = append(y.running, &s)
		}
	}
}

// TestVerdictIsThatOfARequest guards against a verdict on a request that is not sent which differs from what happens to the same
// request that is sent at the same time.
func TestVerdictIsThatOfARequest(t *testing.T) {
	const histories, requests, least = 150, 60, 400
	counts, reasons := map[medlarverdict.Outcome]int{}, map[medlarverdict.Exclusion]int{}
	refusals := map[medlarreason.Reason]int{}
	for seed := range uint64(histories) {
		y := newTables(t, seed)
		for range requests {
			for range y.rand.IntN(3) {
				y.note(y.tick(y.event()))
			}
			y.now = y.now.Add(time.Duration(y.rand.IntN(60)) * time.Millisecond)
			y.note(y.tick())
			asked, sent, limits := y.request()
			v := y.ask(asked, limits)
			cs := y.tick(medlarworld.Submitted{Run: sent, Limits: limits})
			y.note(cs)
			got := outcomeOf(cs, sent.ID)
			want := medlarverdict.Verdict{Outcome: v.Outcome, Reason: v.Reason, Retry: v.Retry, Replica: v.Replica}
			if d := cmp.Diff(want, got, cmpopts.EquateEmpty()); d != "" {
				t.Fatalf("seed %d, %s: verdict against what happened:\n%s", seed, sent.ID, d)
			}
			counts[v.Outcome]++
			if v.Reason != "" {
				refusals[v.Reason]++
			}
			for _, x := range v.Excluded {
				reasons[x.Reason]++
			}
			if v.Outcome == medlarverdict.Sent && (len(v.Candidates) == 0 || v.Candidates[0].Replica != v.Replica) {
				t.Errorf("seed %d, %s: %s is chosen, candidates %+v", seed, sent.ID, v.Replica, v.Candidates)
			}
			if total := len(y.core.World().UpstreamsFor(sent.Target())); len(v.Candidates)+len(v.Excluded) != total {
				t.Errorf("seed %d, %s: %d candidates and %d excluded replicas of %d", seed, sent.ID, len(v.Candidates), len(v.Excluded), total)
			}
		}
	}
	t.Logf("outcomes %v, refusals %v, exclusions %v", counts, refusals, reasons)
	for _, o := range []medlarverdict.Outcome{medlarverdict.Sent, medlarverdict.Waits, medlarverdict.Refused} {
		if counts[o] < least {
			t.Errorf("only %d verdicts are %q", counts[o], o)
		}
	}
}

// outcomeOf returns what happened to a request that was submitted in a tick.
func outcomeOf(cs []medlarworld.Command, id medlarid.RequestID) medlarverdict.Verdict {
	for _, c := range cs {
		switch c := c.(type) {
		case medlarworld.StartAttempt:
			if c.Run == id {
				return medlarverdict.Verdict{Outcome: medlarverdict.Sent, Replica: c.Upstream}
			}
		case medlarworld.Refuse:
			if c.Run == id {
				return medlarverdict.Verdict{Outcome: medlarverdict.Refused, Reason: c.Reason, Retry: c.RetryAfter.Seconds()}
			}
		}
	}
	return medlarverdict.Verdict{Outcome: medlarverdict.Waits}
}

// TestQuestionsChangeNoDecision guards against a question that takes a token, shifts a random choice or counts as a request: the
// decisions on all requests are the same with and without questions between them.
func TestQuestionsChangeNoDecision(t *testing.T) {
	const histories, requests, questions = 60, 60, 3
	for seed := range uint64(histories) {
		plain, asked := newTables(t, seed), newTables(t, seed)
		for n := range requests {
			var got [2][]medlarworld.Command
			for i, y := range []*tables{plain, asked} {
				var all []medlarworld.Command
				add := func(cs []medlarworld.Command) {
					y.note(cs)
					all = append(all, cs...)
				}
				for range y.rand.IntN(3) {
					add(y.tick(y.event()))
				}
				y.now = y.now.Add(time.Duration(y.rand.IntN(60)) * time.Millisecond)
				add(y.tick())
				question, sent, limits := y.request()
				for range questions {
					copied := *question
					e := medlarworld.Event(medlarworld.Tick{})
					if y == asked {
						e = medlarworld.RouteAsked{Run: &copied, Limits: limits, Reply: func(medlarverdict.Verdict) {}}
					}
					add(y.tick(e))
				}
				add(y.tick(medlarworld.Submitted{Run: sent, Limits: limits}))
				got[i] = all
			}
			if d := cmp.Diff(got[0], got[1], cmpopts.EquateEmpty()); d != "" {
				t.Fatalf("seed %d, request %d: decisions without and with questions:\n%s", seed, n, d)
			}
		}
	}
}

// TestVerdictNamesWhatIsMissing guards against a verdict that doesn't name the parts of a prompt that are in no store, or the home
// replica that is excluded.
func TestVerdictNamesWhatIsMissing(t *testing.T) {
	p := newPartsHarness(t, 3, nil)
	r := p.newRun(4000, 4000, 100)
	p.reportStock("near", 1, true, r.Keys[0])
	y := &tables{partsHarness: p}
	copied := *r
	v := y.ask(&copied, medlarworld.Limits{})
	if !slices.Equal(v.Absent, []int{1}) {
		t.Errorf("absent parts %v, want the second one", v.Absent)
	}
	home := medlarid.InstanceID("")
	var highest uint64
	for i := range 3 {
		if rank := medlarkey.Rendezvous(r.HomeKey, engineMember(i, "").ID); rank > highest {
			home, highest = engineMember(i, "").ID, rank
		}
	}
	p.tick(medlarworld.UpstreamPaused{Upstream: home, For: time.Second})
	copied = *r
	v = y.ask(&copied, medlarworld.Limits{})
	want := []medlarverdict.Excluded{{Replica: home, Home: true, Reason: medlarverdict.Paused}}
	if d := cmp.Diff(want, v.Excluded); d != "" {
		t.Errorf("excluded replicas:\n%s", d)
	}
	p.now = p.now.Add(2 * medlarplacement.ReportTTL)
	copied = *r
	if v = y.ask(&copied, medlarworld.Limits{}); !slices.Equal(v.Absent, []int{0, 1}) {
		t.Errorf("absent parts %v after the store fell silent, want both", v.Absent)
	}
}

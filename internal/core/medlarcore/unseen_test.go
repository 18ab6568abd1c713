package medlarcore

import (
	"testing"
	"time"

	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// TestReplicasThatWereDownBlameNoPart guards against a part of all prompts that is blocked as replicas were down before they
// were sent anything: behind a proxy connections to them open, and end.
func TestReplicasThatWereDownBlameNoPart(t *testing.T) {
	const engines = 5
	for _, tc := range []struct {
		name    string
		answer  bool // each replica answers the instance before it is down
		head    bool // of the response to the request that is lost
		late    bool // each new start is listed after the next two losses
		ends    bool // a probe shows at once that connections end
		starts  bool // each replica is listed anew right before the loss
		blocked bool
	}{
		{"nothing was received from them", false, false, false, false, false, false},
		{"nothing was received from them, listed late", false, false, true, false, false, false},
		{"they answer, and crash on a request", true, false, false, false, false, true},
		{"they answer, and crash on a request, listed late", true, false, true, false, false, true},
		{"they begin to answer, and crash", false, true, false, false, false, true},
		{"they begin to answer, and crash, listed late", false, true, true, false, false, true},
		{"nothing was received from them, connections end", false, false, true, true, false, false},
		{"they answer, and crash on a request, connections end", true, false, true, true, false, true},
		{"they begin to answer, and crash, connections end", false, true, true, true, false, true},
		{"they start, and crash on a request, connections end", false, false, true, true, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, engines, nil)
			var members []medlarupstream.Member
			for i := range engines {
				members = append(members, engineMember(i, "1"))
			}
			for i := range engines {
				if tc.answer {
					p.endAt(i, medlarworld.AttemptEnded{Cause: medlarkind.CauseDone, Reached: true, Head: true})
				}
				if tc.starts {
					members[i].Incarnation++
					p.tick(medlarworld.ReplicasCurrent{At: p.now})
					p.tick(medlarworld.InstancesListed{Members: members})
				}
				p.now = p.now.Add(100 * time.Millisecond)
				cs := p.endAt(i, medlarworld.AttemptEnded{
					Cause: medlarkind.CauseUnknown, Reached: true, Lost: true, Head: tc.head, Connected: p.now,
				}, "aa")
				p.tick(medlarworld.UpstreamProbed{Crash: crashProbed(t, cs), Down: tc.ends})
				listed := i
				if tc.late {
					listed = i - 2
				}
				if listed >= 0 {
					members[listed].Incarnation++
					p.tick(medlarworld.InstancesListed{Members: members})
				}
				p.now = p.now.Add(200 * time.Millisecond)
			}
			p.now = p.now.Add(time.Second)
			p.tick(medlarworld.Tick{})
			p.tick(medlarworld.Tick{})
			if _, blocked := p.core.World().Suspects.Blocked([]medlarsuspect.Trait{"aa"}); blocked != tc.blocked {
				t.Errorf("the part is blocked: %v, want %v", blocked, tc.blocked)
			}
		})
	}
}

// endAt makes engine i the only usable one, starts a run with parts there and ends its attempt. It returns nothing if the run is refused.
func (p *partsHarness) endAt(i int, e medlarworld.AttemptEnded, parts ...medlarsuspect.Trait) []medlarworld.Command {
	p.t.Helper()
	for id, u := range p.core.World().Upstreams {
		u.EjectedUntil = p.now.Add(time.Hour)
		if id == engineMember(i, "").ID {
			u.EjectedUntil = time.Time{}
		}
	}
	s := p.submit(p.runWith(parts...))
	if s == nil {
		return nil
	}
	e.Run, e.Attempt = s.Run, s.Attempt
	return p.tick(e)
}

// TestFurtherAttemptPrefersUntriedReplica guards against a further attempt at the replica that was just tried, as the other
// one has not answered since it was ejected.
func TestFurtherAttemptPrefersUntriedReplica(t *testing.T) {
	for seed := range uint64(20) {
		p := newPartsHarness(t, 2, func(c *medlarworld.Config) { c.Seed = seed })
		p.core.World().Upstreams[engineMember(1, "").ID].Ejections = 1
		s := p.submit(p.runWith())
		first := s.Upstream
		other := engineMember(1, "").ID
		if first == other {
			other = engineMember(0, "").ID
			p.core.World().Upstreams[other].Ejections = 1
		}
		cs := p.tick(medlarworld.AttemptEnded{Run: s.Run, Attempt: s.Attempt, Cause: medlarkind.CauseRetry, Reason: medlarreason.Truncated})
		for range 20 {
			p.now = p.now.Add(10 * time.Millisecond)
			cs = append(cs, p.tick(medlarworld.Tick{})...)
		}
		if next := startOf(cs); next == nil || next.Upstream != other {
			t.Fatalf("seed %d: first at %s, then %+v; want %s", seed, first, next, other)
		}
	}
}

// TestAnswerThatBreaksOffAtOnceKeepsTheQueueInOrder guards against a run whose place in the queue no longer fits what it is
// sorted by, as its answer has begun and broken off within a tick.
func TestAnswerThatBreaksOffAtOnceKeepsTheQueueInOrder(t *testing.T) {
	p := newPartsHarness(t, 1, nil)
	r := p.runWith()
	s := p.submit(r)
	r.Late = true
	p.core.World().Upstreams[s.Upstream].EjectedUntil = p.now.Add(time.Hour)
	p.tick(
		medlarworld.AnswerBegan{Run: r.ID, Attempt: s.Attempt, After: time.Millisecond, Version: "1"},
		medlarworld.AttemptEnded{Run: r.ID, Attempt: s.Attempt, Cause: medlarkind.CauseRetry, Reason: medlarreason.Truncated, Reached: true, Version: "1"},
	)
	if r.Phase != medlarkind.PhaseWaiting || !r.Late {
		t.Errorf("phase %s, late %v; want a run that waits where it was put", r.Phase, r.Late)
	}
}

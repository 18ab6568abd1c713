package medlarcore

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// runWith returns a run whose prompt has these parts, and one of its own.
func (p *partsHarness) runWith(parts ...medlarsuspect.Trait) *medlarworld.Run {
	sizes := make([]int, len(parts)+1)
	for i := range sizes {
		sizes[i] = 100
	}
	r := p.newRun(sizes...)
	r.Traits = parts
	return r
}

// loss is an attempt that an upstream ended.
type loss struct {
	began time.Duration // since the first event
	head  bool
}

// lose ends a started attempt as lost and answers the probe; down tells what it finds. It returns
// the commands of both ticks.
func (p *partsHarness) lose(s *medlarworld.StartAttempt, l loss, down bool) []medlarworld.Command {
	p.t.Helper()
	e := medlarworld.AttemptEnded{
		Run: s.Run, Attempt: s.Attempt, Cause: medlarkind.CauseRetry, Reason: medlarreason.Truncated, Reached: true,
		Lost: true, Head: l.head, Began: l.began,
	}
	cs := p.tick(e)
	return append(cs, p.tick(medlarworld.UpstreamProbed{Crash: crashProbed(p.t, cs), Down: down, Refused: down})...)
}

// crashProbed returns the crash that an upstream is probed for; none if a probe was not asked for.
func crashProbed(t *testing.T, cs []medlarworld.Command) (id medlarsuspect.CrashID) {
	t.Helper()
	for _, c := range cs {
		if c, ok := c.(medlarworld.ProbeUpstream); ok {
			id = c.Crash
		}
	}
	return id
}

func reportsOf(cs []medlarworld.Command) (out []medlarsuspect.Report) {
	for _, c := range cs {
		if r, ok := c.(medlarworld.ReportCrash); ok {
			out = append(out, r.Report)
		}
	}
	return out
}

// TestCrashReports guards against a report that blames a part for something else than a crash.
func TestCrashReports(t *testing.T) {
	for _, tc := range []struct {
		name string
		loss loss
		down bool
		want []medlarsuspect.Report
	}{
		{"begun", loss{head: true}, true, []medlarsuspect.Report{{Crash: medlarsuspect.CrashID{Replica: "e00"}, Begun: []medlarsuspect.Trait{"x"}}}},
		{"waiting", loss{}, true, []medlarsuspect.Report{{Crash: medlarsuspect.CrashID{Replica: "e00"}, Waiting: []medlarsuspect.Trait{"x"}}}},
		{"just after the first event", loss{head: true, began: 100 * time.Millisecond}, true, []medlarsuspect.Report{{Crash: medlarsuspect.CrashID{Replica: "e00"}, Begun: []medlarsuspect.Trait{"x"}}}},
		{"long after the first event", loss{head: true, began: time.Second}, true, nil},
		{"a replica that still takes connections", loss{head: true}, false, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, 1, nil)
			got := reportsOf(p.lose(p.submit(p.runWith("x")), tc.loss, tc.down))
			if d := cmp.Diff(tc.want, got); d != "" {
				t.Errorf("reports:\n%s", d)
			}
		})
	}
	t.Run("a replica that is listed again under a new incarnation", func(t *testing.T) {
		p := newPartsHarness(t, 1, nil)
		p.lose(p.submit(p.runWith("x")), loss{head: true}, false)
		m := engineMember(0, "1")
		m.Incarnation = 2
		if got := reportsOf(p.tick(medlarworld.InstancesListed{Members: []medlarupstream.Member{m}})); len(got) != 1 {
			t.Errorf("reports %+v, want one", got)
		}
	})
	t.Run("a replica that leaves", func(t *testing.T) {
		p := newPartsHarness(t, 2, nil)
		s := p.submit(p.runWith("x"))
		p.tick(medlarworld.UpstreamLeaving{Upstream: s.Upstream})
		if got := reportsOf(p.lose(s, loss{head: true}, true)); got != nil {
			t.Errorf("reports %+v, want none", got)
		}
	})
}

// TestCrashedReplicaGetsNoRun guards against runs that an instance sends to replicas which have crashed, as it knows, one
// after the other until none of its attempts is left.
func TestCrashedReplicaGetsNoRun(t *testing.T) {
	const engines, crashed = 12, 3
	report := func(i int, change func(*medlarsuspect.Report)) medlarworld.CrashReported {
		r := medlarsuspect.Report{Crash: medlarsuspect.CrashID{Replica: engineMember(i, "").ID}, Begun: []medlarsuspect.Trait{"x"}}
		change(&r)
		return medlarworld.CrashReported{Report: r}
	}
	same := func(*medlarsuspect.Report) {}
	for _, tc := range []struct {
		name  string
		learn func(p *partsHarness, i int)
		want  int // replicas that get no run
	}{
		{"reported by another instance", func(p *partsHarness, i int) { p.tick(report(i, same)) }, crashed},
		{"found by a probe", func(p *partsHarness, i int) {
			p.tick(medlarworld.UpstreamProbed{Crash: report(i, same).Report.Crash, Down: true, Refused: true})
		}, crashed},
		{"that took the probe", func(p *partsHarness, i int) {
			p.tick(medlarworld.UpstreamProbed{Crash: report(i, same).Report.Crash})
		}, 0},
		{"of an earlier start", func(p *partsHarness, i int) {
			p.tick(report(i, func(r *medlarsuspect.Report) { r.Crash.Incarnation-- }))
		}, 0},
		{"and has started anew", func(p *partsHarness, i int) {
			for range 3 { // without an answer to this instance in between
				p.tick(report(i, func(r *medlarsuspect.Report) {
					r.Crash.Incarnation = p.core.World().Upstreams[r.Crash.Replica].Incarnation
				}))
				p.now = p.now.Add(5 * time.Second)
				var members []medlarupstream.Member
				for k := range engines {
					m := engineMember(k, "1")
					m.Incarnation = p.core.World().Upstreams[m.ID].Incarnation
					if k == i {
						m.Incarnation++
					}
					members = append(members, m)
				}
				p.tick(medlarworld.InstancesListed{Members: members})
			}
			p.tick(report(i, func(r *medlarsuspect.Report) { r.Crash.Incarnation = 3 }))
			p.now = p.now.Add(600 * time.Millisecond)
		}, 0},
		{"before this instance started", func(p *partsHarness, i int) {
			p.tick(report(i, func(r *medlarsuspect.Report) { r.Earlier = true }))
		}, 0},
		{"reported once more after it is back", func(p *partsHarness, i int) {
			p.tick(report(i, same))
			p.now = p.now.Add(time.Second)
			p.tick(report(i, func(r *medlarsuspect.Report) { r.Begun = append(r.Begun, "y") }))
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, engines, nil)
			for i := range crashed {
				tc.learn(p, i)
			}
			got := 0
			for i := range crashed {
				if !p.core.World().Upstreams[engineMember(i, "").ID].Usable(p.now) {
					got++
				}
			}
			if got != tc.want {
				t.Errorf("%d of %d replicas get no run, want %d", got, crashed, tc.want)
			}
		})
	}
	t.Run("a second attempt goes to one that has not crashed", func(t *testing.T) {
		for i := range 50 {
			p := newPartsHarness(t, engines, func(c *medlarworld.Config) { c.Seed = uint64(i) })
			for i := range crashed {
				p.tick(report(i, same))
			}
			p.now = p.now.Add(time.Second) // still listed
			down := func(s *medlarworld.StartAttempt) bool { return s.Upstream < engineMember(crashed, "").ID }
			r := p.runWith()
			s := p.submit(r)
			if !down(s) {
				continue
			}
			p.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: s.Attempt, Cause: medlarkind.CauseRetry, Reason: medlarreason.Unreachable})
			p.now = p.now.Add(30 * time.Millisecond)
			if s = startOf(p.tick(medlarworld.Tick{})); s == nil || down(s) {
				t.Fatalf("second attempt %+v", s)
			}
		}
	})
}

// TestRunStopsAfterCrashes guards against retries that carry a prompt from one replica that it
// crashes to the next, before its parts are known.
func TestRunStopsAfterCrashes(t *testing.T) {
	p := newPartsHarness(t, 6, nil)
	r := p.runWith("x")
	r.MaxAttempts = 6
	s := p.submit(r)
	attempts := 0
	for ; s != nil && attempts < 6; attempts++ {
		p.lose(s, loss{head: true}, true)
		p.now = p.now.Add(30 * time.Millisecond)
		s = startOf(p.tick(medlarworld.Tick{}))
	}
	if attempts != 2 || len(p.core.World().Runs) != 0 {
		t.Errorf("%d attempts, %d runs are left; want 2 and none", attempts, len(p.core.World().Runs))
	}
}

// TestBlockedPart guards against a blocked part that goes on to a replica by another way than a
// new request, and against sound requests that are kept back with it.
func TestBlockedPart(t *testing.T) {
	block := func(p *partsHarness) {
		p.tick(medlarworld.BlockRecorded{Trait: "x"})
		p.now = p.now.Add(500 * time.Millisecond)
	}
	refusals := func(cs []medlarworld.Command) (out []medlarworld.Refuse) {
		for _, c := range cs {
			if r, ok := c.(medlarworld.Refuse); ok {
				out = append(out, r)
			}
		}
		return out
	}
	assertRefused := func(t *testing.T, cs []medlarworld.Command, ran medlarreason.Ran) {
		t.Helper()
		got := refusals(cs)
		if len(got) != 1 || got[0].Reason != medlarreason.Crashing && ran == medlarreason.RanNo || got[0].Ran != ran {
			t.Errorf("refused %+v, want one that ran: %s", got, ran)
		}
		if s := startOf(cs); s != nil {
			t.Errorf("started %+v", s)
		}
	}
	t.Run("new request", func(t *testing.T) {
		p := newPartsHarness(t, 2, nil)
		block(p)
		p.tick(medlarworld.Tick{})
		assertRefused(t, p.tick(medlarworld.Submitted{Run: p.runWith("a", "x")}), medlarreason.RanNo)
	})
	t.Run("request that comes before the block takes effect", func(t *testing.T) {
		p := newPartsHarness(t, 2, nil)
		p.tick(medlarworld.BlockRecorded{Trait: "x"})
		if s := p.submit(p.runWith("a", "x")); s != nil {
			t.Errorf("started %+v, want none before the block is decided on", s)
		}
		if s := p.submit(p.runWith("a", "b")); s == nil {
			t.Error("a request without the part does not start")
		}
		p.now = p.now.Add(500 * time.Millisecond)
		assertRefused(t, p.tick(medlarworld.Tick{}), medlarreason.RanNo)
	})
	t.Run("request that waits for a block that does not come", func(t *testing.T) {
		p := newPartsHarness(t, 2, nil)
		p.tick(medlarworld.BlockRecorded{Trait: "x"})
		p.tick(medlarworld.Submitted{Run: p.runWith("a", "x")})
		if s := startOf(p.tick(medlarworld.BlockRecorded{Trait: "x", Block: medlarsuspect.Block{Cleared: true}})); s == nil {
			t.Error("the request does not start although the part is cleared")
		}
	})
	t.Run("waiting request", func(t *testing.T) {
		p := newPartsHarness(t, 1, nil)
		p.tick(medlarworld.UpstreamPaused{Upstream: "e00", For: 5 * time.Second})
		p.tick(medlarworld.Submitted{Run: p.runWith("a", "x")})
		block(p)
		assertRefused(t, p.tick(medlarworld.Tick{}), medlarreason.RanNo)
	})
	t.Run("stream to be resumed", func(t *testing.T) {
		p := newPartsHarness(t, 2, nil)
		s := p.submit(p.runWith("a", "x"))
		block(p)
		p.tick(medlarworld.Tick{})
		assertRefused(t, p.lose(s, loss{head: true, began: time.Second}, true), medlarreason.RanUnknown)
	})
	t.Run("sound request with another part of it", func(t *testing.T) {
		p := newPartsHarness(t, 2, nil)
		block(p)
		p.tick(medlarworld.Tick{})
		for i := range 20 {
			if s := p.submit(p.runWith("a", medlarsuspect.Trait(fmt.Sprint("b", i)))); s == nil {
				t.Fatal("a sound request does not start")
			} else {
				p.tick(medlarworld.AttemptEnded{Run: s.Run, Attempt: s.Attempt, Cause: medlarkind.CauseDone, Reached: true, Began: time.Millisecond})
			}
		}
	})
	t.Run("trial goes to one replica only", func(t *testing.T) {
		p := newPartsHarness(t, 3, nil)
		block(p)
		p.tick(medlarworld.Tick{})
		p.tick(medlarworld.TrialGranted{Trait: "x", Trials: 1})
		s := p.submit(p.runWith("a", "x"))
		if s == nil {
			t.Fatal("the trial does not start")
		}
		assertRefused(t, p.lose(s, loss{head: true}, true), medlarreason.RanUnknown)
		assertRefused(t, p.tick(medlarworld.Submitted{Run: p.runWith("a", "x")}), medlarreason.RanNo)
	})
	t.Run("trial that reaches no replica is not used up", func(t *testing.T) {
		p := newPartsHarness(t, 1, nil)
		block(p)
		p.tick(medlarworld.Tick{})
		p.tick(medlarworld.TrialGranted{Trait: "x", Trials: 1})
		p.tick(medlarworld.UpstreamPaused{Upstream: "e00", For: time.Second})
		if s := p.submit(p.runWith("a", "x")); s != nil {
			t.Fatal("the trial starts although the replica pauses")
		}
		p.now = p.now.Add(11 * time.Second) // past its deadline
		p.tick(medlarworld.Tick{})
		p.tick(medlarworld.Tick{})
		if s := p.submit(p.runWith("a", "x")); s == nil {
			t.Error("the next request does not start")
		}
	})
	t.Run("an upstream that is gone changes nothing", func(t *testing.T) {
		p := newPartsHarness(t, 1, nil)
		s := p.submit(p.runWith("x"))
		p.tick(medlarworld.InstancesListed{Members: []medlarupstream.Member{engineMember(7, "1")}})
		if got := reportsOf(p.lose(s, loss{head: true}, true)); len(got) != 1 || got[0].Crash.Replica != medlarid.InstanceID("e00") {
			t.Errorf("reports %+v, want one of e00", got)
		}
	})
}

// TestTrialReachesOneReplica guards against a trial of a blocked request that is retried, and so
// reaches more replicas than all instances have agreed on.
func TestTrialReachesOneReplica(t *testing.T) {
	p := newPartsHarness(t, 6, nil)
	p.tick(medlarworld.BlockRecorded{Trait: "request-x"})
	p.now = p.now.Add(500 * time.Millisecond)
	p.tick(medlarworld.TrialGranted{Trait: "request-x", Trials: 1})
	r := p.newRun(100)
	r.Traits, r.MaxAttempts = []medlarsuspect.Trait{"request-x"}, 6
	s := p.submit(r)
	if s == nil {
		t.Fatal("the trial is not started")
	}
	e := medlarworld.AttemptEnded{Run: s.Run, Attempt: s.Attempt, Cause: medlarkind.CauseRetry, Reason: medlarreason.Failure, Reached: true}
	p.tick(e)
	p.now = p.now.Add(30 * time.Millisecond)
	if again := startOf(p.tick(medlarworld.Tick{})); again != nil {
		t.Errorf("the trial goes on at %s", again.Upstream)
	}
}

package medlarcore

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/stand/medlarseed"
)

// histories is the number of random histories per property test.
const histories = 3000

func TestMain(m *testing.M) { os.Exit(medlarseed.Run(m, histories)) }

// trackedRun is the state of a run as observed from outside the core.
type trackedRun struct {
	run     *medlarworld.Run
	once    bool
	claimed bool
	reached bool // an attempt may have run
	open    int  // number of the attempt in flight, 0 for none
	ended   bool
}

// history sends a core random events and checks its commands.
type history struct {
	t       *rapid.T
	h       *harness
	runs    []*trackedRun
	byID    map[medlarid.RequestID]*trackedRun
	leaving medlarid.InstanceID
	starts  int
}

// apply sends events to the core and checks each command.
func (y *history) apply(events ...medlarworld.Event) {
	for _, c := range y.h.tick(events...) {
		switch c := c.(type) {
		case medlarworld.StartAttempt:
			y.started(c)
		case medlarworld.Refuse:
			y.refused(c)
		}
	}
}

func (y *history) started(c medlarworld.StartAttempt) {
	w := y.byID[c.Run]
	switch {
	case w.ended:
		y.t.Fatalf("%s was started after it had ended", c.Run)
	case w.open != 0:
		y.t.Fatalf("%s has two attempts in flight", c.Run)
	case c.Upstream == y.leaving:
		y.t.Fatalf("%s was sent to %s, which is leaving", c.Run, c.Upstream)
	case w.once && !w.claimed:
		y.t.Fatalf("%s was sent without a claim", c.Run)
	case w.once && w.reached:
		y.t.Fatalf("%s is not repeatable but was sent again", c.Run)
	}
	w.open = c.Attempt
	y.starts++
}

func (y *history) refused(c medlarworld.Refuse) {
	w := y.byID[c.Run]
	if w.ended {
		y.t.Fatalf("%s was refused after it had ended", c.Run)
	}
	if w.reached && c.Ran == medlarreason.RanNo {
		y.t.Fatalf("%s may have run but was refused as not run: %s", c.Run, c.Reason)
	}
	w.ended = true
}

func (y *history) pick(match func(*trackedRun) bool) *trackedRun {
	var in []*trackedRun
	for _, w := range y.runs {
		if !w.ended && match(w) {
			in = append(in, w)
		}
	}
	if len(in) == 0 {
		return nil
	}
	return in[rapid.IntRange(0, len(in)-1).Draw(y.t, "run")]
}

func (y *history) step() {
	switch rapid.SampledFrom([]string{"submit", "submit", "submit", "end", "end", "claim", "left", "leave", "report", "time", "stale"}).Draw(y.t, "step") {
	case "submit":
		y.submit()
	case "end":
		y.end()
	case "claim":
		y.claim()
	case "left":
		if w := y.pick(func(w *trackedRun) bool { return !w.once && w.open == 0 }); w != nil {
			y.apply(medlarworld.CallerLeft{Run: w.run.ID})
		}
	case "leave":
		y.leaving = medlarid.InstanceID(rapid.SampledFrom([]string{"", "engine-0", "engine-1", "service-0"}).Draw(y.t, "leaving"))
		y.apply(y.h.instanceList(3, y.leaving))
	case "report":
		i := rapid.IntRange(0, 2).Draw(y.t, "engine")
		v := medlarid.WeightVersion(rapid.SampledFrom([]string{"v1", "v1", "v2", ""}).Draw(y.t, "version"))
		y.apply(medlarworld.StatusReported{Upstream: engineName(i), Model: "m", Version: v, PrefillRate: 8000, Load: medlarupstream.Load{Slots: 2}})
	case "time":
		y.h.now = y.h.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(y.t, "millis")) * time.Millisecond)
		y.apply(medlarworld.Tick{})
	case "stale": // an event about a run that has ended, or an earlier attempt
		if len(y.runs) > 0 {
			w := y.runs[rapid.IntRange(0, len(y.runs)-1).Draw(y.t, "old")]
			if w.ended || w.open > 1 {
				y.apply(medlarworld.AttemptEnded{Run: w.run.ID, Attempt: 1, Cause: medlarkind.CauseRetry, Reason: medlarreason.Broken, Reached: true},
					medlarworld.ClaimGranted{Run: w.run.ID}, medlarworld.LookedUp{Run: w.run.ID})
			}
		}
	}
}

func (y *history) submit() {
	r := y.h.newRun(medlarid.AccountID(rapid.SampledFrom([]string{"a", "b"}).Draw(y.t, "account")))
	if rapid.Bool().Draw(y.t, "service") {
		r.Model, r.Version, r.Service = "", "", "s"
	}
	r.AtMostOnce = rapid.Bool().Draw(y.t, "once")
	w := &trackedRun{run: r, once: r.AtMostOnce}
	y.runs = append(y.runs, w)
	y.byID[r.ID] = w
	y.apply(medlarworld.Submitted{Run: r, Limits: medlarworld.Limits{Rate: 50, Burst: 20, Runs: 10}})
}

func (y *history) end() {
	w := y.pick(func(w *trackedRun) bool { return w.open != 0 })
	if w == nil {
		return
	}
	e := medlarworld.AttemptEnded{Run: w.run.ID, Attempt: w.open, Reached: true}
	e.Cause = rapid.SampledFrom([]medlarkind.Cause{
		medlarkind.CauseDone, medlarkind.CauseRetry, medlarkind.CauseRetry, medlarkind.CauseAnswered,
	}).Draw(y.t, "cause")
	if e.Cause == medlarkind.CauseRetry {
		e.Reached = rapid.Bool().Draw(y.t, "reached")
		e.Reason = medlarreason.Broken
	}
	w.open = 0
	w.reached = w.reached || e.Reached
	w.ended = e.Cause != medlarkind.CauseRetry
	y.apply(e)
}

func (y *history) claim() {
	w := y.pick(func(w *trackedRun) bool { return w.once && !w.claimed && w.run.Phase == medlarkind.PhaseClaiming })
	if w == nil {
		return
	}
	if rapid.Bool().Draw(y.t, "granted") {
		w.claimed = true
		y.apply(medlarworld.ClaimGranted{Run: w.run.ID})
		return
	}
	y.apply(medlarworld.ClaimDenied{Run: w.run.ID, Reason: medlarreason.Unclaimed})
}

// finish ends all runs and checks that the tables are empty.
func (y *history) finish() {
	for range 1000 {
		if len(y.h.core.World().Runs) == 0 {
			break
		}
		for _, w := range y.runs {
			if w.open != 0 && !w.ended {
				w.open, w.ended = 0, true
				y.apply(medlarworld.AttemptEnded{Run: w.run.ID, Attempt: w.run.Attempt, Cause: medlarkind.CauseDone, Reached: true})
			}
			if !w.ended && w.run.Phase == medlarkind.PhaseClaiming {
				y.apply(medlarworld.ClaimDenied{Run: w.run.ID, Reason: medlarreason.Unclaimed})
			}
		}
		y.h.now = y.h.now.Add(time.Second)
		y.apply(medlarworld.Tick{})
	}
	w := y.h.core.World()
	if len(w.Runs)+len(w.Waiting)+len(w.LookingUp) != 0 {
		y.t.Fatalf("%d runs, %d waiting and %d finding are left", len(w.Runs), len(w.Waiting), len(w.LookingUp))
	}
	for id, u := range w.Upstreams {
		if u.Open != 0 {
			y.t.Fatalf("%s has %d attempts that never ended", id, u.Open)
		}
	}
	for id, a := range w.Accounts {
		if a.Open != 0 {
			y.t.Fatalf("account %s has %d requests that never ended", id, a.Open)
		}
	}
}

func TestRandomHistories(t *testing.T) {
	starts := 0
	rapid.Check(t, func(rt *rapid.T) {
		y := &history{t: rt, h: newHarness(t, 3, 2, nil), byID: map[medlarid.RequestID]*trackedRun{}}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			y.step()
		}
		y.finish()
		starts += y.starts
	})
	if starts < 1000 {
		t.Errorf("only %d attempts were started, want at least 1000", starts)
	}
}

// TestCoreIsDeterministic checks that the same events at the same times give the same commands.
func TestCoreIsDeterministic(t *testing.T) {
	run := func() []string {
		h := newHarness(t, 8, 4, func(c *medlarworld.Config) { c.MaxQueued = 1000 })
		var out []string
		for i := range 500 {
			r := h.newRun(medlarid.AccountID(fmt.Sprint("a", i%7)))
			h.submit(r, medlarworld.Limits{Rate: 20, Burst: 5, Runs: 50})
			for _, c := range h.commands {
				out = append(out, fmt.Sprintf("%T %+v", c, c))
			}
			if i%3 == 0 {
				for _, s := range h.started() {
					h.tick(medlarworld.AttemptEnded{Run: s.Run, Attempt: s.Attempt, Cause: medlarkind.CauseDone, Reached: true})
				}
			}
			h.advance(time.Duration(i%5) * 10 * time.Millisecond)
			for _, c := range h.commands {
				out = append(out, fmt.Sprintf("%T %+v", c, c))
			}
		}
		return out
	}
	if d := cmp.Diff(run(), run()); d != "" {
		t.Errorf("the same events gave different commands:\n%s", d)
	}
}

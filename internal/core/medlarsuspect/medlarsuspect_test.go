package medlarsuspect

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarid"
)

var epoch = time.Unix(1_700_000_000, 0)

// bench drives a table.
type bench struct {
	t     *testing.T
	table *Table
	now   time.Time
	last  int // number of the last crash
}

func newBench(t *testing.T) *bench { return &bench{t: t, table: New(), now: epoch} }

func (b *bench) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.table.Update(b.now)
}

// crash reports a crash of another replica, with prompts that it had begun to answer.
func (b *bench) crash(begun ...Trait) {
	b.last++
	b.report(b.last, true, begun, nil)
}

func (b *bench) report(n int, own bool, begun, waiting []Trait) {
	id := CrashID{Replica: medlarid.InstanceID(fmt.Sprint("r", n)), Incarnation: 1}
	b.table.AddReport(b.now, Report{Crash: id, Begun: begun, Waiting: waiting}, own)
	b.table.Update(b.now)
}

func (b *bench) answer(parts ...Trait) { b.table.Answered(b.now, b.now, parts) }

// crashes reports crashes a second apart and lets the block take effect.
func (b *bench) crashes(n int, begun ...Trait) {
	for range n {
		b.advance(time.Second)
		b.crash(begun...)
	}
	b.advance(objectionDelay)
}

func (b *bench) assertBlocked(want ...Trait) {
	b.t.Helper()
	var got []Trait
	for _, p := range b.table.traits() {
		if b.table.blocks[p].active {
			got = append(got, p)
		}
	}
	if d := cmp.Diff(want, got); d != "" {
		b.t.Errorf("blocked parts:\n%s", d)
	}
}

// TestBlame guards against a wrong choice of the parts that are blocked.
func TestBlame(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(*bench)
		want []Trait
	}{
		{"two crashes block nothing", func(b *bench) { b.crashes(2, "x") }, nil},
		{"three crashes block the part", func(b *bench) { b.crashes(3, "x") }, []Trait{"x"}},
		{"of several parts, those that are always there", func(b *bench) {
			b.crashes(1, "x", "a", "b")
			b.crashes(1, "x", "c")
			b.crashes(1, "x", "a")
		}, []Trait{"x"}},
		{"an answer in between clears a part that others share", func(b *bench) {
			b.crashes(2, "x", "shared")
			b.answer("shared")
			b.crashes(1, "x", "shared")
		}, []Trait{"x"}},
		{"an answer shortly before clears of a crash", func(b *bench) {
			for range 4 {
				b.answer("shared")
				b.crashes(1, "shared")
			}
		}, nil},
		{"a part that was sound before is blocked", func(b *bench) {
			b.answer("x")
			b.advance(clearingLead)
			b.crashes(3, "x")
		}, []Trait{"x"}},
		{"reports by several instances of one crash are one", func(b *bench) {
			b.crashes(2, "x")
			for range 5 {
				b.report(b.last, false, []Trait{"x"}, nil)
			}
			b.advance(objectionDelay)
		}, nil},
		{"prompts that waited are suspected if none had begun", func(b *bench) {
			for n := range 3 {
				b.advance(time.Second)
				b.report(n, true, nil, []Trait{"x"})
			}
			b.advance(objectionDelay)
		}, []Trait{"x"}},
		{"prompts that waited are not suspected beside one that had begun elsewhere", func(b *bench) {
			for n := range 3 {
				b.advance(time.Second)
				b.report(n, true, nil, []Trait{"waited"})
				b.report(n, false, []Trait{"x"}, nil)
			}
			b.advance(objectionDelay)
		}, []Trait{"x"}},
		{"many replicas that end at the same moment have another cause", func(b *bench) {
			for range 3 {
				for range 12 {
					b.crash("a", "b")
				}
			}
			b.advance(objectionDelay)
		}, nil},
		{"what a blocked part explains counts against no other", func(b *bench) {
			b.crashes(3, "x")
			b.crashes(4, "x", "a")
		}, []Trait{"x"}},
		{"two parts that crash replicas", func(b *bench) {
			b.crashes(4, "x", "a")
			b.crashes(3, "y", "a")
		}, []Trait{"a", "x"}}, // y is not told from a while a is not answered
		{"two parts that crash replicas, and one that both share and others too", func(b *bench) {
			for _, p := range []Trait{"x", "y", "x", "y", "x", "y"} {
				b.crashes(1, p, "a")
				b.answer("a")
			}
		}, []Trait{"x", "y"}},
		{"of two that always come together, the one without an answer ever", func(b *bench) {
			b.answer("shared")
			b.advance(time.Minute)
			b.crashes(3, "shared", "x")
		}, []Trait{"x"}},
		{"of two that were both answered, the one whose answer is longer ago", func(b *bench) {
			b.answer("x", "shared")
			b.advance(time.Minute)
			b.answer("shared")
			b.advance(time.Minute)
			b.crashes(3, "shared", "x")
		}, []Trait{"x"}},
		{"a part that seldom comes", func(b *bench) {
			for range 3 {
				b.advance(5 * time.Minute)
				b.crash("x")
			}
			b.advance(objectionDelay)
		}, []Trait{"x"}},
		{"an answer clears for good, however many other parts are answered since", func(b *bench) {
			for n := range 3 {
				b.crashes(1, "x", "rare")
				b.answer("rare")
				b.advance(time.Minute)
				for i := range 2 * maxAnswered {
					b.answer(Trait(fmt.Sprint(n, "other", i)))
				}
			}
		}, []Trait{"x"}},
		{"crashes long ago do not count", func(b *bench) {
			b.crashes(2, "x")
			b.advance(crashWindow + time.Second)
			b.crashes(2, "x")
		}, nil},
		{"the same replica in its next incarnation", func(b *bench) {
			for n := range 3 {
				b.advance(time.Second)
				id := CrashID{Replica: "r", Incarnation: medlarid.Incarnation(n)}
				b.table.AddReport(b.now, Report{Crash: id, Begun: []Trait{"x"}}, true)
				b.table.Update(b.now)
			}
			b.advance(objectionDelay)
		}, []Trait{"x"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
			tc.do(b)
			b.assertBlocked(tc.want...)
		})
	}
}

// TestBlockIsSharedAndRefuted guards against a part that stays blocked although an instance has
// had answers with it, and against instances that differ for good.
func TestBlockIsSharedAndRefuted(t *testing.T) {
	t.Run("another instance's block takes effect", func(t *testing.T) {
		b := newBench(t)
		b.table.ApplyBlock(b.now, "x", Block{})
		b.assertBlocked()
		b.advance(objectionDelay)
		b.assertBlocked("x")
	})
	t.Run("an instance with a later answer objects", func(t *testing.T) {
		b := newBench(t)
		b.crashes(2, "x")
		b.answer("x")
		b.table.ApplyBlock(b.now, "x", Block{})
		b.advance(objectionDelay)
		b.assertBlocked()
		if d := cmp.Diff([]Record{{Trait: "x", Block: Block{Cleared: true}}}, b.table.TakeRecords()); d != "" {
			t.Errorf("records:\n%s", d)
		}
	})
	t.Run("an instance that had an answer with only one of two objects to that one", func(t *testing.T) {
		b := newBench(t)
		b.answer("shared")
		b.advance(time.Minute)
		b.crashes(2, "x", "shared")
		for _, p := range []Trait{"x", "shared"} {
			b.table.ApplyBlock(b.now, p, Block{})
		}
		b.advance(objectionDelay)
		b.assertBlocked("x")
		if d := cmp.Diff([]Record{{Trait: "shared", Block: Block{Cleared: true}}}, b.table.TakeRecords()); d != "" {
			t.Errorf("records:\n%s", d)
		}
	})
	t.Run("an objection lifts the block elsewhere", func(t *testing.T) {
		b := newBench(t)
		b.crashes(3, "x")
		b.table.ApplyBlock(b.now, "x", Block{Cleared: true})
		b.assertBlocked()
		b.crashes(2, "x")
		b.assertBlocked()
	})
	t.Run("an instance without evidence records a block only if the others do not", func(t *testing.T) {
		b := newBench(t)
		for n := range 3 {
			b.advance(time.Second)
			b.report(n, false, []Trait{"x"}, nil)
		}
		b.advance(objectionDelay)
		b.assertBlocked("x")
		if got := b.table.TakeRecords(); len(got) != 0 {
			t.Errorf("recorded %+v at once, want nothing", got)
		}
		b.advance(recordDelay)
		if got := b.table.TakeRecords(); len(got) != 1 {
			t.Errorf("recorded %+v, want the block", got)
		}
	})
	t.Run("a store back from a copy gets the blocks again", func(t *testing.T) {
		b := newBench(t)
		b.crashes(3, "x")
		b.table.TakeRecords()
		b.table.Restore()
		if d := cmp.Diff([]Record{{Trait: "x"}}, b.table.TakeRecords()); d != "" {
			t.Errorf("records:\n%s", d)
		}
		b.table.ApplyDrop("x")
		b.advance(0)
		b.assertBlocked("x")
		if got := b.table.TakeRecords(); len(got) != 1 {
			t.Errorf("recorded %+v, want the block that was dropped", got)
		}
	})
}

// TestTrials guards against more requests with a blocked part than its trials allow, and against
// a sound part that stays blocked.
func TestTrials(t *testing.T) {
	blocked := func(t *testing.T) *bench {
		b := newBench(t)
		b.crashes(3, "x")
		b.table.TakeRecords()
		return b
	}
	// claim asks with a request and returns the claim that it leads to.
	claim := func(b *bench) *Record {
		if _, ok := b.table.Admit(b.now, []Trait{"x"}); ok {
			b.t.Error("a request goes on without a trial")
		}
		for _, r := range b.table.TakeRecords() {
			if r.Claim {
				return &r
			}
		}
		return nil
	}
	t.Run("all that there are", func(t *testing.T) {
		b := blocked(t)
		trials := 0
		for range 10000 {
			b.advance(time.Second)
			if r := claim(b); r != nil {
				b.table.GrantTrial(b.now, "x", r.Block.Trials)
				if _, ok := b.table.Admit(b.now, []Trait{"x"}); ok {
					trials++
				}
				b.crash("x")
			}
		}
		if trials != maxTrials {
			t.Errorf("%d trials, want %d", trials, maxTrials)
		}
		b.assertBlocked("x")
	})
	t.Run("trials of other instances count", func(t *testing.T) {
		b := blocked(t)
		b.table.ApplyBlock(b.now, "x", Block{Trials: maxTrials})
		b.advance(trialDelays[0] + trialDelays[1])
		if r := claim(b); r != nil {
			t.Errorf("claimed %+v, want nothing", r)
		}
	})
	t.Run("trials that the store has lost count", func(t *testing.T) {
		b := blocked(t)
		b.table.ApplyBlock(b.now, "x", Block{Trials: maxTrials})
		b.table.ApplyBlock(b.now, "x", Block{Trials: 0})
		if d := cmp.Diff([]Record{{Trait: "x", Block: Block{Trials: maxTrials}}}, b.table.TakeRecords()); d != "" {
			t.Errorf("records:\n%s", d)
		}
	})
	t.Run("a trial that is answered clears the part", func(t *testing.T) {
		b := blocked(t)
		b.advance(trialDelays[0])
		b.table.GrantTrial(b.now, "x", claim(b).Block.Trials)
		if _, ok := b.table.Admit(b.now, []Trait{"x"}); !ok {
			t.Fatal("the trial is refused")
		}
		b.advance(time.Second)
		b.answer("x")
		b.assertBlocked()
	})
	t.Run("a sound part that was blocked together with another one is tried soon", func(t *testing.T) {
		b := newBench(t)
		b.crashes(3, "x", "shared")
		b.advance(tiedTrialDelay)
		b.table.TakeRecords()
		if _, ok := b.table.Admit(b.now, []Trait{"shared", "x"}); ok || len(b.table.TakeRecords()) > 0 {
			t.Error("a request with both is a trial")
		}
		b.table.Admit(b.now, []Trait{"shared", "y"})
		if d := cmp.Diff([]Record{{Trait: "shared", Block: Block{Trials: 1}, Claim: true}}, b.table.TakeRecords()); d != "" {
			t.Errorf("records:\n%s", d)
		}
	})
	t.Run("a request with another blocked part is no trial", func(t *testing.T) {
		b := blocked(t)
		b.crashes(3, "y")
		b.advance(trialDelays[0])
		b.table.GrantTrial(b.now, "x", 1)
		if _, ok := b.table.Admit(b.now, []Trait{"x", "y"}); ok {
			t.Error("the request goes on")
		}
	})
	t.Run("an answer that began before the crashes clears nothing", func(t *testing.T) {
		b := blocked(t)
		b.table.Answered(b.now, epoch.Add(-time.Minute), []Trait{"x"})
		b.assertBlocked("x")
	})
	t.Run("a part that nobody asks for is forgotten", func(t *testing.T) {
		b := blocked(t)
		b.advance(forgetAfter + time.Second)
		b.assertBlocked()
		if d := cmp.Diff([]Record{{Trait: "x", Drop: true}}, b.table.TakeRecords()); d != "" {
			t.Errorf("records:\n%s", d)
		}
	})
	t.Run("a part that is asked for is not forgotten", func(t *testing.T) {
		b := blocked(t)
		for range 3 {
			b.advance(forgetAfter - time.Second)
			b.table.Admit(b.now, []Trait{"x"})
		}
		b.assertBlocked("x")
	})
}

// TestMemoryUnderHostilePrompts guards against memory that grows with prompts of many or long
// parts, and against a part that hides among others that change.
func TestMemoryUnderHostilePrompts(t *testing.T) {
	b := newBench(t)
	n := 0
	for range 300 {
		prompt := []Trait{"x"}
		for range 1000 {
			n++
			prompt = append(prompt, PartTrait(fmt.Sprint("junk", n, strings.Repeat("j", n%200))))
		}
		b.advance(300 * time.Millisecond)
		b.table.Answered(b.now, b.now, prompt[1:])
		b.crash(prompt...)
	}
	if c, s := len(b.table.crashes), b.table.suspects; c > maxCrashes || s > maxSuspects {
		t.Errorf("%d crashes with %d parts are remembered, want %d and %d at most", c, s, maxCrashes, maxSuspects)
	}
	if n := len(b.table.answered.at); n > maxAnswered {
		t.Errorf("%d answers are remembered, want %d at most", n, maxAnswered)
	}
	if _, ok := b.table.Blocked([]Trait{"x"}); !ok {
		t.Error("the part is not blocked")
	}
	for i := range 2 * maxBlocked {
		b.table.ApplyBlock(b.now, Trait(fmt.Sprint("b", i)), Block{})
	}
	if n := len(b.table.blocks); n > maxBlocked {
		t.Errorf("%d parts are blocked, want %d at most", n, maxBlocked)
	}
}

// TestHostilePromptsTakeLittleTime guards against a core that stands still while it looks for the
// part among very many that are all suspected of the same crashes.
func TestHostilePromptsTakeLittleTime(t *testing.T) {
	const partsOfPrompt, bound = 4000, 2 * time.Second // a head of 16 KiB has no more parts
	b := newBench(t)
	prompt := []Trait{"x"}
	for i := range partsOfPrompt {
		prompt = append(prompt, Trait(fmt.Sprint("p", i)))
	}
	begin := time.Now()
	b.crashes(8, prompt...)
	if took := time.Since(begin); took > bound {
		t.Errorf("8 reports took %v, want %v at most", took, bound)
	}
	if _, ok := b.table.Blocked(prompt); !ok {
		t.Error("no part is blocked")
	}
}

func TestPartHidesAmongPartsThatAreAlwaysTheSame(t *testing.T) {
	b := newBench(t)
	junk := func(round int) []Trait {
		out := []Trait{"zz-bad"}
		for i := range 2 * maxTied {
			out = append(out, Trait(fmt.Sprintf("j%d-%d", round, i)))
		}
		return out
	}
	for round := range 2 {
		b.crashes(3, junk(round)...)
	}
	if _, ok := b.table.Blocked([]Trait{"zz-bad"}); !ok {
		t.Error("the part that all prompts had is not blocked")
	}
}

func TestNewPartBoundsItsLength(t *testing.T) {
	a, b := PartTrait(strings.Repeat("a", 5000)), PartTrait(strings.Repeat("a", 5001))
	if len(a) > maxPartLength || a == b {
		t.Errorf("parts %q and %q, want different ones of %d bytes at most", a, b, maxPartLength)
	}
}

// BenchmarkMemory measures what a table holds after 100,000 different prompts of 20 parts, of which
// each hundredth crashes a replica.
func BenchmarkMemory(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for range b.N {
		before := heap()
		table, now := New(), epoch
		for n := range 100_000 {
			now = now.Add(20 * time.Millisecond)
			parts := make([]Trait, 20)
			for i := range parts {
				parts[i] = PartTrait(fmt.Sprintf("part-%d-%d-%s", n, i, strings.Repeat("x", 40)))
			}
			if n%100 == 0 {
				table.AddReport(now, Report{Crash: CrashID{Replica: medlarid.InstanceID(fmt.Sprint(n))}, Begun: parts, Waiting: parts}, true)
			} else {
				table.Answered(now, now, parts)
			}
			table.Update(now)
			table.TakeRecords()
			table.TakeChanges()
		}
		b.ReportMetric(float64(heap()-before), "bytes")
		runtime.KeepAlive(table)
	}
}

// TestEndsUnderOneIncarnation guards against ends of a replica that are counted once, or more often than they
// come, while its entry names the same start.
func TestEndsUnderOneIncarnation(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		name      string
		ends      []int // ms; each is reported as it is identified, by a connection of 10 ms before
		connected int   // ms
		want      int   // number of earlier ends
	}{
		{"no end known", nil, 0, 0},
		{"connected before the only end", []int{1000}, 900, 0},
		{"connected after the only end", []int{1000}, 3000, 1},
		{"connected between two ends", []int{1000, 4000}, 3000, 1},
		{"connected after two ends", []int{1000, 4000}, 5000, 2},
		{"an end that is reported twice", []int{1000, 1200}, 3000, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := New()
			for _, ms := range tc.ends {
				table.AddReport(at(ms), Report{Crash: table.Identify("r", 1, at(ms-10)), Begun: []Trait{"x"}}, true)
			}
			want := CrashID{Replica: "r", Incarnation: 1, End: tc.want}
			if got := table.Identify("r", 1, at(tc.connected)); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
	t.Run("one end under two incarnations, as instances know its entry of different times", func(t *testing.T) {
		table := New()
		table.AddReport(at(0), Report{Crash: CrashID{Replica: "r", Incarnation: 1, End: 1}, Begun: []Trait{"x"}}, true)
		table.AddReport(at(100), Report{Crash: CrashID{Replica: "r", Incarnation: 2}, Begun: []Trait{"x"}}, false)
		if n := table.moments("x", true); n != 1 || len(table.crashes) != 1 {
			t.Errorf("%d moments, %d crashes; want one of each", n, len(table.crashes))
		}
	})
}

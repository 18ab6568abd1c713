package medlarsuspect

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
)

var (
	historySeed  = flag.Uint64("history.seed", 1, "first seed of TestRandomCrashHistories")
	historyCount = flag.Int("history.count", 24, "number of seeds of TestRandomCrashHistories")
)

// The users' bounds.
const (
	settling       = 3 * time.Second // after the fifth crash
	settledCrashes = 5
	allowedLate    = 3
)

// prompt is one request in a history.
type prompt struct {
	parts    []Trait
	bad      Trait // empty for a sound prompt
	instance int
	crashes  int
	begun    bool
	over     bool
	sentAt   time.Time
	beganAt  time.Time
}

// engine is a replica in a history.
type engine struct {
	id      medlarid.InstanceID
	born    medlarid.Incarnation
	listed  medlarid.Incarnation // that its entry names
	running []*prompt
	downFor time.Time // until which it is down
}

// history plays several tables that share a store, with requests, crashes and latencies drawn from
// a seed.
type history struct {
	r       *rand.Rand
	now     time.Time
	steps   steps
	tables  []*Table
	away    []time.Time // until which an instance cannot reach the store
	engines []*engine
	claims  map[Trait]int // trials that the store has granted
	bads    []Trait
	whole   bool // bad are requests as a whole, which come again, not parts of prompts
	plain   bool // requests have no parts
	stale   bool // entries of replicas never tell of a new start
	serial  int  // of requests

	arrivals, crashes map[Trait][]time.Time // of requests with a bad part at replicas, and under them
	trace             func(int, Change)     // called for each change of an instance's blocks; may be nil
	sound, refused    int                   // sound requests since the parts are known, and those refused
}

// step is something that happens at a time.
type step struct {
	at time.Time
	n  int
	do func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(a, b int) bool {
	return s[a].at.Before(s[b].at) || s[a].at.Equal(s[b].at) && s[a].n < s[b].n
}
func (s steps) Swap(a, b int) { s[a], s[b] = s[b], s[a] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func (h *history) after(d time.Duration, do func()) {
	heap.Push(&h.steps, step{at: h.now.Add(d), n: len(h.steps) + h.r.IntN(1<<20), do: do})
}

func (h *history) between(a, b time.Duration) time.Duration {
	return a + time.Duration(h.r.Int64N(int64(b-a)))
}

func newHistory(seed uint64) *history {
	h := &history{r: rand.New(rand.NewPCG(seed, 7)), now: epoch, claims: map[Trait]int{}, arrivals: map[Trait][]time.Time{}, crashes: map[Trait][]time.Time{}}
	for range []int{1, 3, 5, 27, 35}[h.r.IntN(5)] {
		h.tables = append(h.tables, New())
		h.away = append(h.away, epoch)
	}
	for i := range 4 + h.r.IntN(30) {
		h.engines = append(h.engines, &engine{id: medlarid.InstanceID(fmt.Sprint("e", i))})
	}
	h.bads = []Trait{"bad-1"}
	if h.r.IntN(3) == 0 {
		h.bads = append(h.bads, "bad-2")
	}
	return h
}

// play runs the history for a time.
func (h *history) play(d time.Duration) {
	h.arrive(false, h.between(3*time.Millisecond, 20*time.Millisecond))
	h.arrive(true, h.between(30*time.Millisecond, 3*time.Second))
	h.disturb()
	h.update()
	for end := epoch.Add(d); len(h.steps) > 0; {
		s := heap.Pop(&h.steps).(step)
		if s.at.After(end) {
			return
		}
		h.now = s.at
		s.do()
	}
}

// arrive sends requests at a mean interval.
func (h *history) arrive(bad bool, every time.Duration) {
	h.after(h.between(every/2, 3*every/2), func() {
		p := &prompt{instance: min(h.r.IntN(len(h.tables)), h.r.IntN(len(h.tables)))}
		account := h.r.IntN(6)
		p.parts = []Trait{Trait(fmt.Sprint("first", account)), Trait(fmt.Sprint("subject", account, "-", h.r.IntN(40)))}
		switch {
		case h.whole:
			h.makeWhole(p, bad)
		case bad:
			at := h.r.IntN(len(p.parts) + 1)
			p.bad = h.bads[h.r.IntN(len(h.bads))]
			p.parts = slices.Insert(p.parts, at, p.bad)
		}
		h.send(p)
		h.arrive(bad, every)
	})
}

// makeWhole gives a request its traits as a whole. A bad one is the same each time.
func (h *history) makeWhole(p *prompt, bad bool) {
	h.serial++
	name := fmt.Sprint(h.serial)
	if bad {
		p.bad = h.bads[h.r.IntN(len(h.bads))]
		name = strings.TrimPrefix(string(p.bad), requestPrefix)
		p.parts = []Trait{"first0", "subject0-1"}
	}
	if h.plain {
		p.parts = nil
	}
	p.parts = append(p.parts, Trait(requestPrefix+name), Trait(contentPrefix+name))
}

// send forwards a request to a replica, if its instance allows it.
func (h *history) send(p *prompt) {
	counted := h.settled() && p.bad == ""
	if counted {
		h.sound++
	}
	_, trial := h.tables[p.instance].Blocked(p.parts)
	if _, ok := h.tables[p.instance].Admit(h.now, p.parts); !ok {
		if counted {
			h.refused++
		}
		h.share(p.instance)
		return
	}
	e := h.engines[h.r.IntN(len(h.engines))]
	if h.now.Before(e.downFor) {
		if trial {
			h.tables[p.instance].ReturnTrial(h.now, p.parts)
		}
		return
	}
	if p.bad != "" {
		h.arrivals[p.bad] = append(h.arrivals[p.bad], h.now)
	}
	p.sentAt = h.now
	e.running = append(e.running, p)
	born := e.born
	h.after(h.between(10*time.Millisecond, 400*time.Millisecond), func() { h.begin(e, born, p) })
}

// settled reports whether all bad parts that have crashed replicas should be known by now.
func (h *history) settled() bool {
	for _, at := range h.crashes {
		if !h.now.After(at[min(len(at), settledCrashes)-1].Add(2 * settling)) {
			return false
		}
	}
	return len(h.crashes) > 0
}

// begin lets a replica begin to answer; a bad prompt crashes it.
func (h *history) begin(e *engine, born medlarid.Incarnation, p *prompt) {
	if p.over || e.born != born {
		return
	}
	p.begun = true
	h.after(h.between(time.Millisecond, 60*time.Millisecond), func() {
		switch {
		case p.over || e.born != born:
		case p.bad != "":
			h.crashes[p.bad] = append(h.crashes[p.bad], h.now)
			h.crash(e)
		default:
			p.beganAt = h.now
			h.after(h.between(10*time.Millisecond, 900*time.Millisecond), func() { h.end(e, born, p) })
		}
	})
}

func (h *history) end(e *engine, born medlarid.Incarnation, p *prompt) {
	if p.over || e.born != born {
		return
	}
	p.over = true
	e.running = slices.DeleteFunc(e.running, func(o *prompt) bool { return o == p })
	h.tables[p.instance].Answered(h.now, p.beganAt, p.parts)
	h.share(p.instance)
}

// crash ends a replica; each instance reports what it has lost.
func (h *history) crash(e *engine) {
	listed, lost := e.listed, e.running
	e.running, e.born, e.downFor = nil, e.born+1, h.now.Add(h.between(2*time.Second, 5*time.Second))
	if !h.stale {
		e.listed = e.born
	}
	reports := map[int]*Report{}
	for _, p := range lost {
		p.over = true
		if !p.beganAt.IsZero() && h.now.Sub(p.beganAt) >= 250*time.Millisecond {
			continue
		}
		r := reports[p.instance]
		if r == nil {
			r = &Report{Crash: h.tables[p.instance].Identify(e.id, listed, p.sentAt)}
			reports[p.instance] = r
		}
		if p.begun {
			r.Begun = append(r.Begun, p.parts...)
		} else {
			r.Waiting = append(r.Waiting, p.parts...)
		}
		if p.crashes++; p.crashes < 2 && h.r.IntN(2) == 0 { // may be resumed
			again := &prompt{parts: p.parts, bad: p.bad, instance: p.instance, crashes: p.crashes}
			h.after(h.between(time.Millisecond, 20*time.Millisecond), func() { h.send(again) })
		}
	}
	for i := range h.tables {
		if r := reports[i]; r != nil {
			h.after(h.between(2*time.Millisecond, 60*time.Millisecond), func() {
				h.tables[i].AddReport(h.now, *r, true)
				h.tables[i].Update(h.now)
				h.share(i)
				h.deliver(i, func(t *Table) {
					t.AddReport(h.now, *r, false)
					t.Update(h.now)
				})
			})
		}
	}
}

// share writes the records of an instance.
func (h *history) share(i int) {
	for _, r := range h.tables[i].TakeRecords() {
		switch {
		case r.Claim:
			h.claim(i, r)
		case !r.Drop:
			h.deliver(i, func(t *Table) { t.ApplyBlock(h.now, r.Trait, r.Block) })
		}
	}
}

// claim grants a trial if no other instance has claimed it.
func (h *history) claim(i int, r Record) {
	if h.now.Before(h.away[i]) || h.claims[r.Trait] >= r.Block.Trials {
		return
	}
	h.claims[r.Trait] = r.Block.Trials
	h.after(5*time.Millisecond, func() { h.tables[i].GrantTrial(h.now, r.Trait, r.Block.Trials) })
	h.deliver(i, func(t *Table) { t.ApplyBlock(h.now, r.Trait, r.Block) })
}

// deliver passes a record of an instance to all that reach the store; later if it does not.
func (h *history) deliver(from int, do func(*Table)) {
	wait := max(h.away[from].Sub(h.now), 0)
	for i, t := range h.tables {
		until := max(wait, h.away[i].Sub(h.now))
		h.after(until+h.between(4*time.Millisecond, 190*time.Millisecond), func() { do(t); h.share(i) })
	}
}

// disturb lets replicas crash for other reasons, and instances lose the store, now and then.
func (h *history) disturb() {
	h.after(h.between(2*time.Second, 15*time.Second), func() {
		switch h.r.IntN(3) {
		case 0:
			for _, e := range h.engines[:1+h.r.IntN(len(h.engines))] {
				h.crash(e)
			}
		case 1:
			for range 3 {
				e := h.engines[h.r.IntN(len(h.engines))]
				h.after(h.between(0, 2*time.Second), func() { h.crash(e) })
			}
		case 2:
			i := h.r.IntN(len(h.away))
			h.away[i] = h.now.Add(h.between(100*time.Millisecond, 2*time.Second))
		}
		h.disturb()
	})
}

func (h *history) update() {
	h.after(10*time.Millisecond, func() {
		for i, t := range h.tables {
			t.Update(h.now)
			for _, c := range t.TakeChanges() {
				if h.trace != nil {
					h.trace(i, c)
				}
			}
			h.share(i)
		}
		h.update()
	})
}

// late returns how many requests with a bad part reached replicas later than allowed.
func (h *history) late(p Trait) int {
	crashes := h.crashes[p]
	if len(crashes) < settledCrashes {
		return 0
	}
	return h.arrivedAfter(p, crashes[settledCrashes-1].Add(settling))
}

// arrivedAfter returns how many requests with a bad trait reached replicas after a time.
func (h *history) arrivedAfter(p Trait, after time.Time) int {
	n := 0
	for _, at := range h.arrivals[p] {
		if at.After(after) {
			n++
		}
	}
	return n
}

// TestRandomCrashHistories guards against requests with a bad part that go on after five crashes,
// and against sound requests that are kept back, in histories drawn from seeds.
func TestRandomCrashHistories(t *testing.T) {
	for seed := *historySeed; seed < *historySeed+uint64(*historyCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			h := newHistory(seed)
			h.play(100 * time.Second)
			for _, p := range h.bads {
				if n := h.late(p); n > allowedLate {
					t.Errorf("%d requests with %s came later than %v after its fifth crash, want %d at most; %d instances, %d crashes", n, p, settling, allowedLate, len(h.tables), len(h.crashes[p]))
				}
			}
			if h.refused*50 > h.sound {
				t.Errorf("%d of %d sound requests were kept back; %d instances, crashes %v", h.refused, h.sound, len(h.tables), len(h.crashes))
			}
		})
	}
}

// TestRandomRequestHistories guards against a request that goes on after it has crashed three
// replicas, and against sound requests that are kept back, in histories drawn from seeds.
func TestRandomRequestHistories(t *testing.T) {
	count := uint64(*historyCount)
	if testing.Short() {
		count = min(count, shortHistories)
	}
	for seed := *historySeed; seed < *historySeed+count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			h := newHistory(seed)
			h.makeRequestHistory()
			h.play(100 * time.Second)
			for _, p := range h.bads {
				crashes := h.crashes[p]
				if len(crashes) < settledRequestCrashes {
					continue
				}
				settled := crashes[settledRequestCrashes-1].Add(settling)
				if n := h.arrivedAfter(p, settled); n > allowedLate {
					t.Errorf("%s came %d times later than %v after its third crash, want %d at most; %d instances, plain %v, %d crashes", p, n, settling, allowedLate, len(h.tables), h.plain, len(crashes))
				}
			}
			if h.refused*50 > h.sound {
				t.Errorf("%d of %d sound requests were kept back; %d instances, plain %v, crashes %v", h.refused, h.sound, len(h.tables), h.plain, len(h.crashes))
			}
		})
	}
}

// TestRandomHistoriesOfStaleEntries guards against crashes that count once because the entries of replicas
// do not tell of new starts: then a replica that has crashed once cannot be counted again.
func TestRandomHistoriesOfStaleEntries(t *testing.T) {
	count := uint64(*historyCount)
	if testing.Short() {
		count = min(count, shortHistories)
	}
	for seed := *historySeed; seed < *historySeed+count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playStaleHistory(t, seed) })
	}
}

// TestHistoriesOfFewReplicas guards against sound parts and requests that are kept back for long because
// all of a few replicas crash again and again while they are in progress.
func TestHistoriesOfFewReplicas(t *testing.T) {
	for _, seed := range []uint64{93, 162, 243, 295} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playStaleHistory(t, seed) })
	}
}

// playStaleHistory plays a history of two to four replicas whose entries do not tell of new starts.
func playStaleHistory(t *testing.T, seed uint64) {
	t.Helper()
	t.Parallel()
	h := newHistory(seed)
	h.stale = true
	h.engines = h.engines[:2+seed%3]
	if seed%2 == 0 {
		h.makeRequestHistory()
	}
	h.play(100 * time.Second)
	for _, p := range h.bads {
		if n := h.late(p); n > allowedLate {
			t.Errorf("%d requests with %s came later than %v after its fifth crash, want %d at most; %d instances, %d replicas, %d crashes", n, p, settling, allowedLate, len(h.tables), len(h.engines), len(h.crashes[p]))
		}
	}
	if h.refused*50 > h.sound {
		t.Errorf("%d of %d sound requests were kept back; %d instances, crashes %v", h.refused, h.sound, len(h.tables), len(h.crashes))
	}
}

const settledRequestCrashes = 3

// shortHistories is the number of seeds in a short run.
const shortHistories = 6

// makeRequestHistory makes requests as a whole crash replicas, of a prompt or of a plain service
// with few replicas.
func (h *history) makeRequestHistory() {
	h.whole, h.plain = true, h.r.IntN(2) == 0
	for i := range h.bads {
		h.bads[i] = Trait(fmt.Sprint(requestPrefix, "bad-", i))
	}
	if h.plain {
		h.engines = h.engines[:3]
	}
}

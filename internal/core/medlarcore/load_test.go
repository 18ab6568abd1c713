package medlarcore

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of the load: prompts that share documents arrive through several instances,
// at replicas that compute one prompt after the other. The memory of a replica holds the
// parts that were fetched for the prompts that wait there; if more prompts wait than it
// holds, fetched parts are lost. During an outage some of the replicas are missing.
const (
	outageStart      = 3 * time.Second
	outageEnd        = 8 * time.Second
	loadEnd          = 20 * time.Second
	documentTokens   = 6000
	uniqueTokens     = 2000
	loadPrefill      = 80000.0
	memoryPrompts    = 5 // prompts that can wait before fetched parts are lost
	firstTokenTarget = 600 * time.Millisecond
	callerTimeout    = 2400 * time.Millisecond
)

// fleetSize is the size of a fleet and of its load.
type fleetSize struct {
	instances, replicas int
	lost                int     // replicas that are missing during the outage
	rate                float64 // prompts a second
	documents           int
}

var (
	fewInstances  = fleetSize{instances: 4, replicas: 12, lost: 4, rate: 225, documents: 240}
	manyInstances = fleetSize{instances: 35, replicas: 60, lost: 20, rate: 1125, documents: 1200}
)

// loadReplica computes prompts in the order of arrival and skips those whose caller has
// left.
type loadReplica struct {
	queue []*loadPrompt
	busy  bool
}

// loadPrompt is a prompt at a replica.
type loadPrompt struct {
	core    *Core
	start   medlarworld.StartAttempt
	arrived time.Time // at the instance
	begun   time.Time // at the replica
	took    time.Duration
}

// loadSim simulates the load in virtual time.
type loadSim struct {
	size      fleetSize
	now       time.Time
	queue     simQueue
	seq       int
	cores     []*Core
	replicas  map[medlarid.InstanceID]*loadReplica
	windows   bool                        // whether the cores are told when answers begin, so that windows adapt
	open      map[medlarid.RequestID]bool // callers that wait for an answer to begin
	inTime    map[int]int                 // by second of arrival
	sent      map[int]int                 // by second of arrival
	startTime time.Time
}

func (s *loadSim) at(t time.Time, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{t, s.seq, f})
}

// tick passes events to a core and runs its commands.
func (s *loadSim) tick(c *Core, events ...medlarworld.Event) {
	for _, cmd := range c.Tick(s.now, events) {
		switch cmd := cmd.(type) {
		case medlarworld.StartAttempt:
			s.start(c, cmd)
		case medlarworld.Refuse:
			delete(s.open, cmd.Run)
		}
	}
}

// start sends a prompt to a replica.
func (s *loadSim) start(c *Core, cmd medlarworld.StartAttempt) {
	u := s.replicas[cmd.Upstream]
	cold := float64(uniqueTokens)
	if len(u.queue) >= memoryPrompts {
		cold += documentTokens // the fetched part is lost before it is used
	}
	u.queue = append(u.queue, &loadPrompt{
		core: c, start: cmd, arrived: c.World().Runs[cmd.Run].Arrived, begun: s.now,
		took: time.Duration(cold / loadPrefill * float64(time.Second)),
	})
	if !u.busy {
		s.next(u)
	}
}

// next starts the computation of a replica's next prompt.
func (s *loadSim) next(u *loadReplica) {
	for len(u.queue) > 0 && !s.open[u.queue[0].start.Run] {
		u.queue = u.queue[1:]
	}
	u.busy = len(u.queue) > 0
	if !u.busy {
		return
	}
	p := u.queue[0]
	s.at(s.now.Add(p.took), func() {
		u.queue = u.queue[1:]
		s.answer(p)
		s.next(u)
	})
}

// answer begins an answer, and ends it 100 ms later.
func (s *loadSim) answer(p *loadPrompt) {
	if s.open[p.start.Run] && s.now.Sub(p.arrived) <= firstTokenTarget {
		s.inTime[int(p.arrived.Sub(s.startTime).Seconds())]++
	}
	delete(s.open, p.start.Run)
	if s.windows {
		s.tick(p.core, medlarworld.AnswerBegan{Run: p.start.Run, Attempt: p.start.Attempt, After: s.now.Sub(p.begun)})
	}
	s.at(s.now.Add(100*time.Millisecond), func() {
		s.tick(p.core, medlarworld.AttemptEnded{Run: p.start.Run, Attempt: p.start.Attempt, Cause: medlarkind.CauseDone, Reached: true})
	})
}

func (s *loadSim) list(from int) {
	var members []medlarupstream.Member
	for i := from; i < s.size.replicas; i++ {
		m := engineMember(i, "1")
		m.Slots, m.KVCapacity = 64, 0
		members = append(members, m)
	}
	members = append(members, medlarupstream.Member{ID: "store", Kind: "store", Address: "at-store", Capacity: 1 << 30, Rate: 1e12})
	for _, c := range s.cores {
		s.tick(c, medlarworld.InstancesListed{Members: members})
	}
}

// simulateLoad simulates the load and returns the share of answers that began in time, by
// second of arrival.
func simulateLoad(size fleetSize, seed uint64, windows bool) map[int]float64 {
	startTime := time.Unix(1000, 0)
	s := &loadSim{
		size: size, now: startTime, startTime: startTime, windows: windows, replicas: map[medlarid.InstanceID]*loadReplica{},
		open: map[medlarid.RequestID]bool{}, inTime: map[int]int{}, sent: map[int]int{},
	}
	rnd := rand.New(rand.NewPCG(seed, seed))
	for i := range size.replicas {
		s.replicas[engineMember(i, "1").ID] = &loadReplica{}
	}
	for i := range size.instances {
		s.cores = append(s.cores, New(medlarworld.Config{
			Self: medlarid.InstanceID(fmt.Sprint("i", i)), Zone: "a", Weighting: medlarkind.WeightingRecompute, MaxQueued: 4096,
			MaxAttempts: 1, Seed: seed + uint64(i), MaxHolders: 64,
		}))
		s.tick(s.cores[i], medlarworld.ListsApplied{Version: 1, Models: []medlarworld.Model{{ID: partsModel, Version: "1"}}})
	}
	s.list(0)
	s.at(startTime.Add(outageStart), func() { s.list(size.lost) })
	s.at(startTime.Add(outageEnd), func() { s.list(0) })
	for at := startTime; at.Before(startTime.Add(loadEnd)); at = at.Add(time.Duration(rnd.ExpFloat64() / size.rate * float64(time.Second))) {
		s.at(at, func() { s.submit(rnd) })
	}
	for at := startTime; at.Before(startTime.Add(loadEnd)); at = at.Add(10 * time.Millisecond) {
		s.at(at, func() {
			for _, c := range s.cores {
				s.reportStock(c)
				s.tick(c, medlarworld.Tick{})
			}
		})
	}
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	out := map[int]float64{}
	for sec, n := range s.sent {
		out[sec] = float64(s.inTime[sec]) / float64(n)
	}
	return out
}

// reportStock reports to a core that the store holds all documents.
func (s *loadSim) reportStock(c *Core) {
	e := medlarworld.InventoryReported{Store: "store", Epoch: 1, At: s.now}
	if s.now.Sub(s.startTime) < 10*time.Millisecond {
		e.Reset = true
		for i := range s.size.documents {
			e.Added = append(e.Added, medlarinventory.StoredPart{Key: document(i), Tokens: documentTokens})
		}
	}
	s.tick(c, e)
}

func document(i int) medlarkey.Key {
	return medlarkey.Part("v1", partsModel, fmt.Sprint("document-", i))
}

// submit submits a prompt to a random instance. Its caller leaves if no answer begins
// within callerTimeout.
func (s *loadSim) submit(rnd *rand.Rand) {
	c := s.cores[rnd.IntN(len(s.cores))]
	id := medlarid.RequestID(fmt.Sprint("q", len(s.open), "-", s.seq))
	k := document(rnd.IntN(s.size.documents))
	r := &medlarworld.Run{
		ID: id, Service: partsService, Model: partsModel, Version: "1", Arrived: s.now, MaxAttempts: 2,
		Deadline: s.now.Add(12 * time.Second), StartBy: s.now.Add(firstTokenTarget - 80*time.Millisecond), AbandonAt: s.now.Add(callerTimeout),
		Keys: []medlarkey.Key{k, medlarkey.Part("v1", partsModel, string(id))}, HomeKey: k,
		KeyTokens: []medlarid.Tokens{documentTokens, uniqueTokens}, PromptTokens: documentTokens + uniqueTokens,
	}
	s.open[id] = true
	s.sent[int(s.now.Sub(s.startTime).Seconds())]++
	s.tick(c, medlarworld.Submitted{Run: r})
	s.at(s.now.Add(callerTimeout), func() {
		if s.open[id] {
			delete(s.open, id)
			s.tick(c, medlarworld.CallerLeft{Run: id})
		}
	})
}

// TestRecoveryFromOverload checks that some seconds after the lost replicas are back,
// nearly all answers begin in time. With many instances this takes longer, because each
// one sees few answers. Without windows the overload sustains itself, which shows that the
// load is heavy enough for the test.
func TestRecoveryFromOverload(t *testing.T) {
	const settled = 19 // seconds
	for _, tc := range []struct {
		name  string
		size  fleetSize
		after int // seconds
		seeds uint64
	}{{"few instances", fewInstances, 10, 4}, {"many instances", manyInstances, 15, 2}} {
		if testing.Short() && tc.size == manyInstances {
			continue // takes seconds, and many times as long under the race detector
		}
		mean := func(share map[int]float64) float64 {
			sum := 0.0
			for sec := tc.after; sec < settled; sec++ {
				sum += share[sec]
			}
			return sum / float64(settled-tc.after)
		}
		for seed := range tc.seeds {
			t.Run(fmt.Sprint(tc.name, " ", seed), func(t *testing.T) {
				if got := mean(simulateLoad(tc.size, seed, true)); got < 0.95 {
					t.Errorf("after the overload %.2f of the answers begin in time, want at least 0.95", got)
				}
				if got := mean(simulateLoad(tc.size, seed, false)); got > 0.8 {
					t.Errorf("without windows %.2f of the answers begin in time, want at most 0.8: the load is too light for the test", got)
				}
			})
		}
	}
}

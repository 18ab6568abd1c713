package medlarcore

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarworld"
)

// The load: dossiers that return through several instances, at replicas that compute
// one prompt after the other and whose memory holds what waits. Parts that were
// fetched for a prompt are lost once more prompts wait than the memory holds. For a
// while a part of the replicas is gone.
const (
	loadFrom     = 3 * time.Second
	loadUntil    = 8 * time.Second
	loadEnd      = 20 * time.Second
	loadDossier  = 6000
	loadOwn      = 2000
	loadPrefill  = 80000.0
	loadMemory   = 5 // prompts that may wait before fetched parts are lost
	loadTarget   = 600 * time.Millisecond
	loadPatience = 2400 * time.Millisecond
)

// loadSize is the size of a fleet and of its load.
type loadSize struct {
	instances, replicas int
	gone                int     // replicas that are away for a while
	rate                float64 // prompts a second
	dossiers            int
}

var (
	fewInstances  = loadSize{instances: 4, replicas: 12, gone: 4, rate: 225, dossiers: 240}
	manyInstances = loadSize{instances: 35, replicas: 60, gone: 20, rate: 1125, dossiers: 1200}
)

// loadReplica computes prompts in the order of arrival, and leaves out those whose
// caller has left.
type loadReplica struct {
	queue []*loadPrompt
	busy  bool
}

// loadPrompt is a prompt at a replica.
type loadPrompt struct {
	core    *Core
	start   medlarworld.Start
	arrived time.Time // at the instance
	begun   time.Time // at the replica
	took    time.Duration
}

// loadSim plays the load in virtual time.
type loadSim struct {
	size     loadSize
	now      time.Time
	queue    simQueue
	seq      int
	cores    []*Core
	replicas map[medlarid.InstanceID]*loadReplica
	bounded  bool // whether the cores learn when answers begin
	open     map[medlarid.RequestID]bool
	inTime   map[int]int // by second of arrival
	asked    map[int]int
	begin    time.Time
}

func (s *loadSim) at(t time.Time, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{t, s.seq, f})
}

// tick hands events to a core and carries out what it orders.
func (s *loadSim) tick(c *Core, events ...medlarworld.Event) {
	for _, cmd := range c.Tick(s.now, events) {
		switch cmd := cmd.(type) {
		case medlarworld.Start:
			s.start(c, cmd)
		case medlarworld.Refuse:
			delete(s.open, cmd.Run)
		}
	}
}

// start hands a prompt to a replica.
func (s *loadSim) start(c *Core, cmd medlarworld.Start) {
	u := s.replicas[cmd.Upstream]
	cold := float64(loadOwn)
	if len(u.queue) >= loadMemory {
		cold += loadDossier // what was fetched is lost before it is used
	}
	u.queue = append(u.queue, &loadPrompt{
		core: c, start: cmd, arrived: c.World().Runs[cmd.Run].Arrived, begun: s.now,
		took: time.Duration(cold / loadPrefill * float64(time.Second)),
	})
	if !u.busy {
		s.next(u)
	}
}

// next computes the next prompt of a replica.
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

// answer is the begin of an answer, and its end a while later.
func (s *loadSim) answer(p *loadPrompt) {
	if s.open[p.start.Run] && s.now.Sub(p.arrived) <= loadTarget {
		s.inTime[int(p.arrived.Sub(s.begin).Seconds())]++
	}
	delete(s.open, p.start.Run)
	if s.bounded {
		s.tick(p.core, medlarworld.Began{Run: p.start.Run, Attempt: p.start.Attempt, After: s.now.Sub(p.begun)})
	}
	s.at(s.now.Add(100*time.Millisecond), func() {
		s.tick(p.core, medlarworld.Ended{Run: p.start.Run, Attempt: p.start.Attempt, Cause: medlarworld.CauseDone, Reached: true})
	})
}

func (s *loadSim) list(from int) {
	var members []medlarworld.Member
	for i := from; i < s.size.replicas; i++ {
		m := engineMember(i, "1")
		m.Slots, m.Memory = 64, 0
		members = append(members, m)
	}
	members = append(members, medlarworld.Member{ID: "store", Kind: "store", Address: "at-store", Capacity: 1 << 30, Rate: 1e12})
	for _, c := range s.cores {
		s.tick(c, medlarworld.Listed{Members: members})
	}
}

// playLoad plays the load and returns the share in time by second of arrival.
func playLoad(size loadSize, seed uint64, bounded bool) map[int]float64 {
	begin := time.Unix(1000, 0)
	s := &loadSim{
		size: size, now: begin, begin: begin, bounded: bounded, replicas: map[medlarid.InstanceID]*loadReplica{},
		open: map[medlarid.RequestID]bool{}, inTime: map[int]int{}, asked: map[int]int{},
	}
	rnd := rand.New(rand.NewPCG(seed, seed))
	for i := range size.replicas {
		s.replicas[engineMember(i, "1").ID] = &loadReplica{}
	}
	for i := range size.instances {
		s.cores = append(s.cores, New(medlarworld.Config{
			Self: medlarid.InstanceID(fmt.Sprint("i", i)), Zone: "a", Weighting: medlarworld.WeighShare, Queue: 4096,
			Attempts: 1, Seed: seed + uint64(i), Holders: 64,
		}))
		s.tick(s.cores[i], medlarworld.Applied{Version: 1, Models: []medlarworld.Model{{ID: partsModel, Version: "1"}}})
	}
	s.list(0)
	s.at(begin.Add(loadFrom), func() { s.list(size.gone) })
	s.at(begin.Add(loadUntil), func() { s.list(0) })
	for at := begin; at.Before(begin.Add(loadEnd)); at = at.Add(time.Duration(rnd.ExpFloat64() / size.rate * float64(time.Second))) {
		s.at(at, func() { s.ask(rnd) })
	}
	for at := begin; at.Before(begin.Add(loadEnd)); at = at.Add(10 * time.Millisecond) {
		s.at(at, func() {
			for _, c := range s.cores {
				s.stock(c)
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
	for sec, n := range s.asked {
		out[sec] = float64(s.inTime[sec]) / float64(n)
	}
	return out
}

// stock tells a core that the store holds all dossiers.
func (s *loadSim) stock(c *Core) {
	e := medlarworld.Stocked{Store: "store", Epoch: 1, At: s.now}
	if s.now.Sub(s.begin) < 10*time.Millisecond {
		e.Reset = true
		for i := range s.size.dossiers {
			e.Added = append(e.Added, medlarworld.StockPart{Key: dossier(i), Tokens: loadDossier})
		}
	}
	s.tick(c, e)
}

func dossier(i int) medlarkey.Key {
	return medlarkey.Part("v1", partsModel, fmt.Sprint("dossier-", i))
}

// ask submits a prompt to an instance; its caller leaves if no answer begins.
func (s *loadSim) ask(rnd *rand.Rand) {
	c := s.cores[rnd.IntN(len(s.cores))]
	id := medlarid.RequestID(fmt.Sprint("q", len(s.open), "-", s.seq))
	k := dossier(rnd.IntN(s.size.dossiers))
	r := &medlarworld.Run{
		ID: id, Service: partsService, Model: partsModel, Version: "1", Arrived: s.now, Attempts: 2,
		Deadline: s.now.Add(12 * time.Second), StartBy: s.now.Add(loadTarget - 80*time.Millisecond), GiveUp: s.now.Add(loadPatience),
		Keys: []medlarkey.Key{k, medlarkey.Part("v1", partsModel, string(id))}, Home: k,
		Sizes: []medlarid.Tokens{loadDossier, loadOwn}, Prompt: loadDossier + loadOwn,
	}
	s.open[id] = true
	s.asked[int(s.now.Sub(s.begin).Seconds())]++
	s.tick(c, medlarworld.Submitted{Run: r})
	s.at(s.now.Add(loadPatience), func() {
		if s.open[id] {
			delete(s.open, id)
			s.tick(c, medlarworld.Left{Run: id})
		}
	})
}

// TestRecoveryFromOverload asserts what callers get: some seconds after the replicas
// are back, nearly all answers begin in time. Of many instances each sees little, which
// takes longer. Without windows the overload keeps itself up, which shows that the load
// is one to withstand.
func TestRecoveryFromOverload(t *testing.T) {
	const settled = 19 // seconds
	for _, tc := range []struct {
		name  string
		size  loadSize
		after int // seconds
		seeds uint64
	}{{"few instances", fewInstances, 10, 4}, {"many instances", manyInstances, 15, 2}} {
		if testing.Short() && tc.size == manyInstances {
			continue // seconds of computation, many times that under the race detector
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
				if got := mean(playLoad(tc.size, seed, true)); got < 0.95 {
					t.Errorf("after the overload %.2f of the answers begin in time, want 0.95", got)
				}
				if got := mean(playLoad(tc.size, seed, false)); got > 0.8 {
					t.Errorf("without windows %.2f begin in time: the load is too light to show anything", got)
				}
			})
		}
	}
}

package medlarcore

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarload"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of the load on slots: many instances send prompts whose answers hold a slot for a while, to
// replicas that take few at once and let further ones wait. A quarter of the replicas is missing for a time.
const (
	slotInstances  = 38
	slotReplicas   = 67
	slotsLost      = 17
	slotsOfReplica = 8
	slotRate       = 350.0 // prompts a second
	slotHold       = 900 * time.Millisecond
	slotPrefill    = 25 * time.Millisecond
	slotEnd        = 8 * time.Second
	slotLossStart  = 2 * time.Second
	slotTarget     = 300 * time.Millisecond // within which an answer begins in time
	tellLatency    = 5 * time.Millisecond
)

// slotReplica answers as many prompts at once as it has slots.
type slotReplica struct {
	running int
	queue   []func()
}

// slotSim simulates the load in virtual time.
type slotSim struct {
	now      time.Time
	start    time.Time
	queue    simQueue
	seq      int
	rnd      *rand.Rand
	cores    []*Core
	replicas map[medlarid.InstanceID]*slotReplica
	inTime   map[int]int // by second of arrival
	sent     map[int]int
}

func (s *slotSim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.seq, f})
}

func (s *slotSim) tick(c *Core, events ...medlarworld.Event) {
	for _, cmd := range c.Tick(s.now, events) {
		switch cmd := cmd.(type) {
		case medlarworld.StartAttempt:
			s.send(c, cmd)
		case medlarworld.TellLoad:
			s.tell(c, cmd.Loads)
		}
	}
}

// tell passes a report to the other instances.
func (s *slotSim) tell(from *Core, loads []medlarload.Load) {
	e := medlarworld.PeerLoadReported{Peer: from.World().Config.Self, Loads: loads}
	for _, c := range s.cores {
		if c != from {
			s.after(tellLatency, func() { s.tick(c, e) })
		}
	}
}

// send sends a prompt to a replica, where it waits for a slot.
func (s *slotSim) send(c *Core, cmd medlarworld.StartAttempt) {
	u := s.replicas[cmd.Upstream]
	arrived, sent := c.World().Runs[cmd.Run].Arrived, s.now
	begin := func() {
		s.after(slotPrefill, func() {
			if s.now.Sub(arrived) <= slotTarget {
				s.inTime[int(arrived.Sub(s.start).Seconds())]++
			}
			s.tick(c, medlarworld.AnswerBegan{Run: cmd.Run, Attempt: cmd.Attempt, After: s.now.Sub(sent)})
		})
		s.after(slotPrefill+time.Duration(s.rnd.ExpFloat64()*float64(slotHold)), func() {
			s.release(u)
			s.tick(c, medlarworld.AttemptEnded{Run: cmd.Run, Attempt: cmd.Attempt, Cause: medlarkind.CauseDone, Reached: true})
		})
	}
	if u.running < slotsOfReplica {
		u.running++
		begin()
		return
	}
	u.queue = append(u.queue, begin)
}

// release gives a slot to the next prompt that waits.
func (s *slotSim) release(u *slotReplica) {
	if len(u.queue) == 0 {
		u.running--
		return
	}
	next := u.queue[0]
	u.queue = u.queue[1:]
	next()
}

func (s *slotSim) list(from int) {
	var members []medlarupstream.Member
	for i := from; i < slotReplicas; i++ {
		m := engineMember(i, "1")
		m.Slots, m.KVCapacity = slotsOfReplica, 0
		members = append(members, m)
	}
	for _, c := range s.cores {
		s.tick(c, medlarworld.InstancesListed{Members: members})
	}
}

func (s *slotSim) submit() {
	c := s.cores[s.rnd.IntN(len(s.cores))]
	id := medlarid.RequestID(fmt.Sprint("q", s.seq))
	k := medlarkey.Part("v1", partsModel, string(id))
	s.sent[int(s.now.Sub(s.start).Seconds())]++
	s.tick(c, medlarworld.Submitted{Run: &medlarworld.Run{
		ID: id, Service: partsService, Model: partsModel, Version: "1", Arrived: s.now, MaxAttempts: 1,
		Deadline: s.now.Add(10 * time.Second), StartBy: s.now.Add(slotTarget - slotPrefill), TargetTTFT: slotTarget,
		Keys: []medlarkey.Key{k}, HomeKey: k, KeyTokens: []medlarid.Tokens{2000}, PromptTokens: 2000,
	}})
}

// simulateSlots simulates the load and returns the share of answers that begin in time while replicas are
// missing.
func simulateSlots(seed uint64, tell bool) float64 {
	s := &slotSim{
		now: time.Unix(1000, 0), start: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(seed, 3)),
		replicas: map[medlarid.InstanceID]*slotReplica{}, inTime: map[int]int{}, sent: map[int]int{},
	}
	for i := range slotReplicas {
		s.replicas[engineMember(i, "1").ID] = &slotReplica{}
	}
	for i := range slotInstances {
		s.cores = append(s.cores, New(medlarworld.Config{
			Self: medlarid.InstanceID(fmt.Sprint("i", i)), Zone: "a", Weighting: medlarkind.WeightingRecompute, MaxQueued: 4096,
			MaxAttempts: 1, Seed: seed + uint64(i), MaxHolders: 64, TellLoad: tell,
		}))
		s.tick(s.cores[i], medlarworld.ListsApplied{Version: 1, Models: []medlarworld.Model{{ID: partsModel, Version: "1"}}})
	}
	s.list(0)
	s.after(slotLossStart, func() { s.list(slotsLost) })
	for at := time.Duration(0); at < slotEnd; at += time.Duration(s.rnd.ExpFloat64() / slotRate * float64(time.Second)) {
		s.after(at, s.submit)
	}
	for at := time.Duration(0); at < slotEnd; at += 10 * time.Millisecond {
		s.after(at, func() {
			for _, c := range s.cores {
				s.tick(c, medlarworld.Tick{})
			}
		})
	}
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	sent, inTime := 0, 0
	for sec := int(slotLossStart.Seconds()) + 1; sec < int(slotEnd.Seconds())-1; sec++ {
		sent, inTime = sent+s.sent[sec], inTime+s.inTime[sec]
	}
	return float64(inTime) / float64(sent)
}

// TestInstancesDoNotFillTheSameReplicas guards against answers that wait for a slot at one replica while others
// have free ones, since each of many instances knows only its own attempts. Without reports of the others many
// begin late, which shows that the load is heavy enough for the test.
func TestInstancesDoNotFillTheSameReplicas(t *testing.T) {
	seeds := uint64(3)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			with, without := simulateSlots(seed, true), simulateSlots(seed, false)
			t.Logf("%.3f of the answers begin in time, %.3f without reports", with, without)
			if with < 0.95 {
				t.Errorf("%.3f of the answers begin in time, want at least 0.95", with)
			}
			if without > 0.92 {
				t.Errorf("%.3f begin in time without reports, want at most 0.92: the load is too light for the test", without)
			}
		})
	}
}

package medlarcore

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Times of the replicas of a pace simulation.
const (
	paceStep    = 10 * time.Millisecond
	paceFirst   = 40 * time.Millisecond  // until the first event of a stream that has a slot
	paceService = 400 * time.Millisecond // until its end
	slowFactor  = 4
	slowTime    = 1500 * time.Millisecond
	paceAge     = time.Hour // of replicas that have not just started
)

// paceRun is a run at a replica.
type paceRun struct {
	instance int
	start    medlarworld.StartAttempt
	arrived  time.Time // at the instance
	sent     time.Time // to the replica
	begins   time.Time // the first event; zero while it waits for a slot
	begun    bool
	factor   time.Duration
}

// paceReplica serves as many runs at once as it has slots, and lets others wait. Runs that begin before warmAt take
// slowFactor times as long.
type paceReplica struct {
	warmAt           time.Time
	running, waiting []*paceRun
}

func (r *paceReplica) inFlight() int { return len(r.running) + len(r.waiting) }

// paceEvent is an event on its way to an instance.
type paceEvent struct {
	at       time.Time
	instance int
	e        medlarworld.Event
}

// paceSim is instances and replicas of an engine, without a network.
type paceSim struct {
	now      time.Time
	r        *rand.Rand
	slots    int
	cores    []*Core
	replicas map[medlarid.InstanceID]*paceReplica
	members  []medlarupstream.Member
	pending  []paceEvent
	arrived  map[medlarid.RequestID]time.Time
	told     time.Duration // delay of the others' load; 0 if it is not told at all
	late     time.Duration // delay of the list of replicas at an instance, at most
	runs     int
	first    []time.Duration // times to the first event since measure was set
	measure  bool
}

func newPaceSim(instances, slots int, pace bool, seed uint64) *paceSim {
	s := &paceSim{now: epoch, r: rand.New(rand.NewPCG(seed, uint64(instances))), slots: slots, replicas: map[medlarid.InstanceID]*paceReplica{}, arrived: map[medlarid.RequestID]time.Time{}}
	var ids []medlarid.InstanceID
	for i := range instances {
		ids = append(ids, medlarid.InstanceID(fmt.Sprintf("i%03d", i)))
	}
	for i, id := range ids {
		s.cores = append(s.cores, New(medlarworld.Config{
			Self: id, Zone: "a", Weighting: medlarkind.WeightingRecompute, MaxQueued: 1000, MaxAttempts: 1, TellLoad: true, Pace: pace, Seed: seed + uint64(i),
		}))
		s.tick(i, medlarworld.ListsApplied{Version: 1, Models: []medlarworld.Model{{ID: "m", Version: "1"}}}, medlarworld.NoticesRead{},
			medlarworld.InstancesAnnounced{Others: slices.Concat(ids[:i], ids[i+1:])})
	}
	return s
}

// add adds a replica that was born some time ago.
func (s *paceSim) add(id medlarid.InstanceID, age time.Duration) {
	s.replicas[id] = &paceReplica{}
	s.members = append(s.members, medlarupstream.Member{
		ID: id, Kind: "engine", Zone: "a", Address: "1", Model: "m", Version: "1", Slots: s.slots, PrefillRate: 80000, Incarnation: medlarid.Incarnation(s.now.Add(-age).UnixMilli()),
	})
}

// list lets the instances read the list of replicas, each with a delay of its own.
func (s *paceSim) list() {
	for i := range s.cores {
		s.send(time.Duration(s.r.Int64N(int64(s.late)+1)), i, medlarworld.InstancesListed{Members: slices.Clone(s.members)})
	}
}

func (s *paceSim) send(after time.Duration, instance int, e medlarworld.Event) {
	s.pending = append(s.pending, paceEvent{s.now.Add(after), instance, e})
}

// submit returns a new request.
func (s *paceSim) submit() medlarworld.Event {
	s.runs++
	id := medlarid.RequestID(fmt.Sprint("r", s.runs))
	s.arrived[id] = s.now
	return medlarworld.Submitted{Run: &medlarworld.Run{
		ID: id, Model: "m", Version: "1", PromptTokens: 80, Arrived: s.now, Deadline: s.now.Add(time.Hour), MaxAttempts: 1, TargetTTFT: time.Second,
	}}
}

// tick ticks an instance and carries out its commands.
func (s *paceSim) tick(instance int, events ...medlarworld.Event) {
	for _, c := range s.cores[instance].Tick(s.now, events) {
		switch c := c.(type) {
		case medlarworld.StartAttempt:
			r := s.replicas[c.Upstream]
			r.waiting = append(r.waiting, &paceRun{instance: instance, start: c, arrived: s.arrived[c.Run], sent: s.now})
		case medlarworld.TellLoad:
			for i := range s.cores {
				if s.told > 0 && i != instance {
					s.send(s.told, i, medlarworld.PeerLoadReported{Peer: s.cores[instance].World().Config.Self, Loads: slices.Clone(c.Loads)})
				}
			}
		}
	}
}

// serve lets the replicas go on.
func (s *paceSim) serve() {
	for _, id := range slices.Sorted(maps.Keys(s.replicas)) {
		r := s.replicas[id]
		r.running = slices.DeleteFunc(r.running, func(run *paceRun) bool {
			if !run.begun && !s.now.Before(run.begins) {
				run.begun = true
				s.send(0, run.instance, medlarworld.AnswerBegan{Run: run.start.Run, Attempt: run.start.Attempt, After: s.now.Sub(run.sent), Version: "1"})
				if s.measure {
					s.first = append(s.first, s.now.Sub(run.arrived))
				}
			}
			done := !s.now.Before(run.begins.Add(run.factor * (paceService - paceFirst)))
			if done {
				s.send(0, run.instance, medlarworld.AttemptEnded{Run: run.start.Run, Attempt: run.start.Attempt, Cause: medlarkind.CauseDone, Reached: true, Version: "1"})
			}
			return done
		})
	}
}

// fill lets runs that wait at replicas take free slots.
func (s *paceSim) fill() {
	for _, r := range s.replicas {
		for len(r.waiting) > 0 && len(r.running) < s.slots {
			run := r.waiting[0]
			r.waiting = r.waiting[1:]
			run.factor = 1
			if s.now.Before(r.warmAt) {
				run.factor = slowFactor
			}
			run.begins = s.now.Add(run.factor * paceFirst)
			r.running = append(r.running, run)
		}
	}
}

// play lets time pass; arrive returns how many requests come to an instance now, and each is called after each step.
func (s *paceSim) play(d time.Duration, arrive func(instance int) int, each func()) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(paceStep) {
		s.serve()
		due := make([][]medlarworld.Event, len(s.cores))
		s.pending = slices.DeleteFunc(s.pending, func(p paceEvent) bool {
			if p.at.After(s.now) {
				return false
			}
			due[p.instance] = append(due[p.instance], p.e)
			return true
		})
		for i := range s.cores {
			events := due[i]
			for range arrive(i) {
				events = append(events, s.submit())
			}
			if s.now.Sub(epoch)%time.Second == 0 {
				events = append(events, medlarworld.NoticesRead{})
			}
			s.tick(i, events...)
		}
		s.fill()
		each()
	}
}

// enough keeps requests waiting at each instance.
func (s *paceSim) enough(instance int) int { return max(2-len(s.cores[instance].World().Waiting), 0) }

// TestSlowStart guards against a replica that has just started and gets more requests from all instances together than it has slots,
// and against one that stands idle while requests wait.
func TestSlowStart(t *testing.T) {
	for _, tc := range []struct {
		instances, slots int
		told             time.Duration
	}{
		{1, 16, 0}, {1, 64, 0}, {36, 16, 0}, {36, 64, 0}, {36, 64, 600 * time.Millisecond}, {143, 16, 0}, {143, 64, 0}, {400, 16, 0}, {400, 64, 0},
	} {
		t.Run(fmt.Sprintf("%d instances, %d slots, load told after %v", tc.instances, tc.slots, tc.told), func(t *testing.T) {
			t.Parallel()
			s := newPaceSim(tc.instances, tc.slots, true, 1)
			s.told, s.late = tc.told, 300*time.Millisecond
			s.play(3*time.Second, func(int) int { return 0 }, func() {})
			s.add("e0", 0)
			s.list()
			begin, most, least := s.now, 0, tc.slots
			s.play(2900*time.Millisecond, s.enough, func() {
				r := s.replicas["e0"]
				most = max(most, r.inFlight())
				if s.now.Sub(begin) > 2*time.Second {
					least = min(least, len(r.running))
				}
			})
			t.Logf("%d in flight at most, %d run at least from 2 s on", most, least)
			if most > tc.slots {
				t.Errorf("%d requests in flight during the slow start, want %d at most", most, tc.slots)
			}
			if least < tc.slots/2 {
				t.Errorf("%d requests run 2 s after the start while others wait, want %d at least", least, tc.slots/2)
			}
		})
	}
}

// TestTimesAfterRestart logs the times to the first event of callers' requests in the 3 s after replicas have started, without
// the slow start and with it. They begin while requests wait, as the others have too little room.
func TestTimesAfterRestart(t *testing.T) {
	const replicas, restarted, slots = 12, 4, 16
	for _, tc := range []struct {
		instances int
		load      float64 // of the capacity of the replicas that have not restarted
		slow      bool    // the new replicas serve slowly at first
	}{
		{1, 1.15, false}, {36, 1.15, false}, {143, 1.15, false}, {36, 0.8, true}, {143, 0.8, true}, {36, 1.15, true}, {143, 1.15, true}, {36, 2, true}, {143, 2, true},
	} {
		for _, pace := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d instances, load %g, new replicas slow %v, slow start %v", tc.instances, tc.load, tc.slow, pace), func(t *testing.T) {
				s := newPaceSim(tc.instances, slots, pace, 1)
				s.late = 300 * time.Millisecond
				for i := range replicas - restarted {
					s.add(medlarid.InstanceID(fmt.Sprint("e", i)), paceAge)
				}
				s.list()
				perStep := tc.load * float64((replicas-restarted)*slots) / paceService.Seconds() * paceStep.Seconds() / float64(tc.instances)
				arrive := func(int) int {
					n := int(perStep)
					if s.r.Float64() < perStep-float64(n) {
						n++
					}
					return n
				}
				s.play(3*time.Second, arrive, func() {})
				s.measure = true
				most := 0
				for i := range restarted {
					id := medlarid.InstanceID(fmt.Sprint("new", i))
					s.add(id, 0)
					if tc.slow {
						s.replicas[id].warmAt = s.now.Add(slowTime)
					}
				}
				s.list()
				s.play(3*time.Second, arrive, func() {
					for i := range restarted {
						most = max(most, s.replicas[medlarid.InstanceID(fmt.Sprint("new", i))].inFlight())
					}
				})
				slices.Sort(s.first)
				at := func(q float64) time.Duration { return s.first[int(q*float64(len(s.first)-1))] }
				t.Logf("%d first events, median %v, 0.9 %v, 0.99 %v; %d in flight at most at a new replica of %d slots", len(s.first), at(0.5), at(0.9), at(0.99), most, slots)
			})
		}
	}
}

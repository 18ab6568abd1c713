package medlarcore

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarload"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of a large fleet whose instances send few requests each.
const (
	poolReplicas   = 90
	poolSlots      = 16
	poolRate       = 1429.0 // prompts a second
	poolHold       = 300 * time.Millisecond
	poolIdle       = 2 * time.Second // for which a connection stays open without requests
	poolContexts   = 600
	poolCached     = 30 // contexts that a replica keeps
	poolTokens     = 4000
	poolShort      = 0.4                   // share of the requests that have no context
	poolPrefill    = 50 * time.Millisecond // of a context
	poolFetch      = 5 * time.Millisecond  // of a context from a store
	poolEnd        = 14 * time.Second
	poolCountFrom  = 6 * time.Second
	poolSumLatency = 250 * time.Millisecond
)

// poolReplica computes one context after another, and keeps the latest ones.
type poolReplica struct {
	free   time.Time // when it has computed what it was given
	cached []int
}

// use returns whether a context is cached, and keeps it.
func (u *poolReplica) use(context int) bool {
	hit := false
	for i, c := range u.cached {
		if c == context {
			u.cached, hit = append(u.cached[:i], u.cached[i+1:]...), true
			break
		}
	}
	u.cached = append(u.cached, context)
	u.cached = u.cached[max(len(u.cached)-poolCached, 0):]
	return hit
}

// poolPath is an instance and a replica.
type poolPath struct{ instance, replica medlarid.InstanceID }

// poolSim simulates the fleet in virtual time.
type poolSim struct {
	now, start time.Time
	queue      simQueue
	seq        int
	rnd        *rand.Rand
	cores      []*Core
	replicas   map[medlarid.InstanceID]*poolReplica
	idle       map[poolPath][]time.Time // when idle connections came to be so
	contexts   map[medlarid.RequestID]int

	stores                               bool // a store holds all contexts
	requests, opened, short, openedShort int
	computed, late, answered             int
	sentTo                               map[medlarid.InstanceID]int
}

func (s *poolSim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.seq, f})
}

func (s *poolSim) counts(at time.Time) bool { return at.Sub(s.start) >= poolCountFrom }

func (s *poolSim) tick(c *Core, events ...medlarworld.Event) {
	for _, cmd := range c.Tick(s.now, events) {
		if cmd, ok := cmd.(medlarworld.StartAttempt); ok {
			s.send(c, cmd)
		}
	}
}

// connect takes an idle connection, or opens one.
func (s *poolSim) connect(p poolPath, short bool) {
	idle := s.idle[p]
	for len(idle) > 0 {
		since := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		if s.now.Sub(since) < poolIdle {
			s.idle[p] = idle
			return
		}
	}
	s.idle[p] = idle
	if s.counts(s.now) {
		s.opened++
		if short {
			s.openedShort++
		}
	}
}

func (s *poolSim) send(c *Core, cmd medlarworld.StartAttempt) {
	u, p := s.replicas[cmd.Upstream], poolPath{c.World().Config.Self, cmd.Upstream}
	arrived, sent, counted := c.World().Runs[cmd.Run].Arrived, s.now, s.counts(s.now)
	context, long := s.contexts[cmd.Run]
	s.connect(p, !long)
	took := time.Duration(0)
	computed, fetch := long && !u.use(context), time.Duration(0)
	if computed && len(cmd.Fetch) > 0 && cmd.Fetch[0] != "" {
		computed, fetch = false, poolFetch
	}
	if computed {
		took = poolPrefill
	}
	if s.now.After(u.free) {
		u.free = s.now
	}
	u.free = u.free.Add(took)
	begins := u.free.Sub(s.now) + 5*time.Millisecond + fetch
	s.after(begins, func() {
		if counted {
			s.answered++
			s.sentTo[cmd.Upstream]++
			if computed {
				s.computed++
			}
			if s.now.Sub(arrived) > 600*time.Millisecond {
				s.late++
			}
		}
		s.tick(c, medlarworld.AnswerBegan{Run: cmd.Run, Attempt: cmd.Attempt, After: s.now.Sub(sent)})
	})
	s.after(begins+time.Duration(s.rnd.ExpFloat64()*float64(poolHold)), func() {
		s.idle[p] = append(s.idle[p], s.now)
		s.tick(c, medlarworld.AttemptEnded{Run: cmd.Run, Attempt: cmd.Attempt, Cause: medlarkind.CauseDone, Reached: true})
	})
}

// sum passes the attempts of all instances to each, without its own.
func (s *poolSim) sum() {
	open := map[medlarid.InstanceID]int{}
	for _, c := range s.cores {
		for id, u := range c.World().Upstreams {
			open[id] += u.Open
		}
	}
	for _, c := range s.cores {
		var loads []medlarload.Load
		for id, u := range c.World().Upstreams {
			if n := open[id] - u.Open; n > 0 {
				loads = append(loads, medlarload.Load{Upstream: medlarid.HashOf(id), Open: n})
			}
		}
		s.after(poolSumLatency, func() {
			s.tick(c, medlarworld.PeerSumReported{Ranges: 1, Age: poolSumLatency, Loads: loads})
		})
	}
}

func (s *poolSim) submit() {
	c := s.cores[s.rnd.IntN(len(s.cores))]
	id := medlarid.RequestID(fmt.Sprint("q", s.seq))
	r := &medlarworld.Run{
		ID: id, Service: partsService, Model: partsModel, Version: "1", Arrived: s.now, MaxAttempts: 1, PromptTokens: 100,
		Deadline: s.now.Add(10 * time.Second), StartBy: s.now.Add(500 * time.Millisecond), TargetTTFT: 600 * time.Millisecond,
	}
	counted := s.counts(s.now)
	if counted {
		s.requests++
	}
	if s.rnd.Float64() < poolShort {
		if counted {
			s.short++
		}
	} else {
		context := int(math.Pow(poolContexts, s.rnd.Float64())) // the first ones are used most
		s.contexts[id] = context
		k := poolContext(context)
		r.Keys, r.HomeKey, r.KeyTokens, r.PromptTokens = []medlarkey.Key{k}, k, []medlarid.Tokens{poolTokens}, poolTokens+100
	}
	s.tick(c, medlarworld.Submitted{Run: r})
}

func poolContext(i int) medlarkey.Key {
	return medlarkey.Part("v1", partsModel, fmt.Sprint("context ", i))
}

// reportStock reports to all instances what the store holds; first is set for the first time.
func (s *poolSim) reportStock(first bool) {
	e := medlarworld.InventoryReported{Store: "store", Epoch: 1, At: s.now, Reset: first}
	for i := range poolContexts + 1 {
		if first {
			e.Added = append(e.Added, medlarinventory.StoredPart{Key: poolContext(i), Tokens: poolTokens})
		}
	}
	for _, c := range s.cores {
		s.tick(c, e)
	}
}

// poolResult is what a fleet does with its requests.
type poolResult struct {
	opened, openedShort float64 // new connections for each request, and for each of those without a context
	computed            float64 // share of the requests with a context that was computed
	late, unanswered    float64 // share of all requests
	most                float64 // requests of the replica with most, as a multiple of the mean
}

// simulatePool simulates a fleet; known is set if the instances know of one another, stores if a store holds all contexts.
func simulatePool(instances int, known, stores bool) poolResult {
	s := &poolSim{
		stores: stores, now: time.Unix(1000, 0), start: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(1, 3)), replicas: map[medlarid.InstanceID]*poolReplica{},
		idle: map[poolPath][]time.Time{}, contexts: map[medlarid.RequestID]int{}, sentTo: map[medlarid.InstanceID]int{},
	}
	var members []medlarupstream.Member
	for i := range poolReplicas {
		m := engineMember(i, "1")
		m.Slots = poolSlots
		members = append(members, m)
		s.replicas[m.ID] = &poolReplica{}
	}
	if stores {
		members = append(members, medlarupstream.Member{ID: "store", Kind: "store", Address: "at-store", Capacity: 1 << 30, Setup: poolFetch, Rate: 1e9})
	}
	var all []medlarid.InstanceID
	for i := range instances {
		all = append(all, medlarid.InstanceID(fmt.Sprint("i", i)))
	}
	for i, id := range all {
		c := New(medlarworld.Config{
			Self: id, Zone: "a", Weighting: medlarkind.WeightingRecompute, MaxQueued: 4096, MaxAttempts: 1, Seed: uint64(i), MaxHolders: 64, TellLoad: true,
		})
		s.cores = append(s.cores, c)
		others := append(append([]medlarid.InstanceID{}, all[:i]...), all[i+1:]...)
		s.tick(c, medlarworld.ListsApplied{Version: 1, Models: []medlarworld.Model{{ID: partsModel, Version: "1"}}}, medlarworld.InstancesListed{Members: members})
		if known {
			s.tick(c, medlarworld.InstancesAnnounced{Others: others})
		}
	}
	for at := time.Duration(0); at < poolEnd; at += time.Duration(s.rnd.ExpFloat64() / poolRate * float64(time.Second)) {
		s.after(at, s.submit)
	}
	for at := time.Duration(0); at < poolEnd; at += 10 * time.Millisecond {
		s.after(at, func() {
			for _, c := range s.cores {
				s.tick(c, medlarworld.Tick{})
			}
		})
	}
	for at := time.Duration(0); at < poolEnd; at += 100 * time.Millisecond {
		s.after(at, s.sum)
		if stores {
			s.after(at, func() { s.reportStock(at == 0) })
		}
	}
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	n := float64(s.requests)
	most := 0
	for _, sent := range s.sentTo {
		most = max(most, sent)
	}
	return poolResult{
		opened: float64(s.opened) / n, openedShort: float64(s.openedShort) / float64(s.short), computed: float64(s.computed) / float64(s.requests-s.short), late: float64(s.late) / n, unanswered: 1 - float64(s.answered)/n,
		most: float64(most) * poolReplicas / float64(s.answered),
	}
}

// TestLargeFleetReusesConnections guards against an instance of a large fleet that sends its few requests to all replicas, each
// over a new connection, and against one that has prompts computed anew to save connections.
func TestLargeFleetReusesConnections(t *testing.T) {
	for _, stores := range []bool{true, false} {
		if testing.Short() && !stores { // takes a minute with the race detector
			continue
		}
		t.Run(fmt.Sprint("stores ", stores), func(t *testing.T) {
			subsets, all := simulatePool(143, true, stores), simulatePool(143, false, stores)
			t.Logf("with subsets %+v", subsets)
			t.Logf("without      %+v", all)
			if subsets.openedShort > 0.5 || subsets.opened > all.opened {
				t.Errorf("%.3f connections are opened for each request, %.3f for each without a context; want at most %.3f as without subsets, and 0.5", subsets.opened, subsets.openedShort, all.opened)
			}
			if subsets.computed > all.computed+0.01 || subsets.late > 0.01 || subsets.unanswered > 0 {
				t.Errorf("%.3f of the contexts are computed, %.3f without subsets; %.3f of the answers are late, %.3f are missing",
					subsets.computed, all.computed, subsets.late, subsets.unanswered)
			}
		})
	}
}

// TestReplicasOutsideTheSubset guards against requests that are refused or wait while only replicas outside the subset are available,
// prompts that leave their home outside the subset, and requests that go outside without need.
func TestReplicasOutsideTheSubset(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(medlarworld.Config{Self: "i0", Zone: "a", Weighting: medlarkind.WeightingRecompute, MaxQueued: 4096, MaxAttempts: 1, MaxHolders: 64})
	var members []medlarupstream.Member
	for i := range poolReplicas {
		members = append(members, engineMember(i, "1"))
	}
	var others []medlarid.InstanceID
	for i := range 142 {
		others = append(others, medlarid.InstanceID(fmt.Sprint("i", i+1)))
	}
	c.Tick(now, []medlarworld.Event{
		medlarworld.ListsApplied{Version: 1, Models: []medlarworld.Model{{ID: partsModel, Version: "1"}}},
		medlarworld.InstancesListed{Members: members},
		medlarworld.InstancesAnnounced{Others: others},
	})
	seq := 0
	send := func(keys ...medlarkey.Key) *medlarupstream.Upstream {
		t.Helper()
		seq++
		r := &medlarworld.Run{
			ID: medlarid.RequestID(fmt.Sprint("q", seq)), Service: partsService, Model: partsModel, Version: "1", Arrived: now, MaxAttempts: 1,
			PromptTokens: 8000, Deadline: now.Add(10 * time.Second), Keys: keys,
		}
		if len(keys) > 0 {
			r.HomeKey, r.KeyTokens = keys[0], []medlarid.Tokens{8000}
		}
		for _, cmd := range c.Tick(now, []medlarworld.Event{medlarworld.Submitted{Run: r}}) {
			if cmd, ok := cmd.(medlarworld.StartAttempt); ok {
				c.Tick(now, []medlarworld.Event{medlarworld.AttemptEnded{Run: r.ID, Attempt: cmd.Attempt, Cause: medlarkind.CauseDone, Reached: true}})
				now = now.Add(time.Second)
				return c.World().Upstreams[cmd.Upstream]
			}
		}
		t.Fatal("the request is not sent")
		return nil
	}
	send()
	for range 20 {
		if u := send(); u.Far {
			t.Errorf("a request without a context is sent to %s, outside the subset", u.ID)
		}
	}
	homes := 0
	for i := range 40 {
		k := poolContext(i)
		var home medlarid.InstanceID
		for _, m := range members {
			if home == "" || medlarkey.Rendezvous(k, m.ID) > medlarkey.Rendezvous(k, home) {
				home = m.ID
			}
		}
		if u := send(k); u.ID == home {
			homes++
		}
	}
	if homes < 40 {
		t.Errorf("%d of 40 prompts are sent to their homes", homes)
	}
	for _, u := range c.World().Upstreams {
		if !u.Far {
			u.PausedUntil = now.Add(time.Minute)
		}
	}
	if u := send(); !u.Far {
		t.Errorf("a request is sent to %s, which is paused", u.ID)
	}
}

package medlarcore

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of the experiment: a dozen replicas, two stores and ten accounts.
// Conversations continue after their context was evicted from the replicas' caches.
const (
	expReplicas      = 12
	expStores        = 2
	expBlocks        = 600 // blocks of a replica's cache
	expSlots         = 16
	expPrefill       = 8000.0 // prompt tokens a second
	expDecode        = 2 * time.Second
	expBlockSize     = 4 << 20
	expLink          = 6e9 // bytes a second of a store's link
	expConversations = 400
	expPrompts       = 4000
	expGap           = 55 * time.Millisecond // between prompts
	expFind          = 2 * time.Millisecond
)

// policy is a method of choosing a replica.
type policy string

const (
	roundRobin  policy = "round robin"
	leastLoaded policy = "least loaded"
	affinity    policy = "prefix affinity, no stores"
	weighFirst  policy = "stores, weighting first token"
	weighShare  policy = "stores, weighting recomputed share"
	lowerBound  policy = "lower bound: unlimited memory and links"
)

// simReplica simulates a replica that computes prompts one after the other and answers
// concurrently.
type simReplica struct {
	id     medlarid.InstanceID
	freeAt time.Time // when all its prompts are computed
	active int
	cache  map[medlarkey.Key]int // value of clock at the last use
	clock  int
}

func (r *simReplica) depth(keys []medlarkey.Key) int {
	n := 0
	for _, k := range keys {
		if _, ok := r.cache[k]; !ok {
			break
		}
		n++
	}
	return n
}

// touch caches blocks and evicts the least recently used ones, from the end of a chain
// first.
func (r *simReplica) touch(keys []medlarkey.Key, size int) (evicted []medlarkey.Key) {
	for _, k := range slices.Backward(keys) {
		r.clock++
		r.cache[k] = r.clock
	}
	for len(r.cache) > size {
		oldest, at := medlarkey.Key{}, r.clock+1
		for k, c := range r.cache {
			if c < at {
				oldest, at = k, c
			}
		}
		delete(r.cache, oldest)
		evicted = append(evicted, oldest)
	}
	return evicted
}

// simStore simulates a store that holds blocks behind a link.
type simStore struct {
	blocks map[medlarkey.Key]bool
	freeAt time.Time // when the link is idle
	dead   bool
}

// simEvent is an action at a time.
type simEvent struct {
	at time.Time
	n  int // order of events at the same time
	do func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }

func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].n < q[j].n
}

func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *simQueue) Push(x any) { *q = append(*q, x.(simEvent)) }

// Pop implements heap.Interface.
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// experiment is one run of a policy over seeded load.
type experiment struct {
	policy      policy
	core        *Core
	rand        *rand.Rand
	now         time.Time
	queue       simQueue
	events      int
	replicas    []*simReplica
	stores      []*simStore
	nextReplica int
	ticking     bool
	prompts     map[medlarid.RequestID]*simPrompt

	seen     map[int]bool
	first    map[medlarid.RequestID]time.Duration // time to first token by prompt; nil if not recorded
	firsts   []time.Duration                      // times to first token of continued conversations
	computed int                                  // blocks
	total    int                                  // blocks
	moved    int64
	refused  int
}

// simPrompt is a prompt in flight.
type simPrompt struct {
	keys      []medlarkey.Key
	arrived   time.Time
	returning bool // continues a conversation
}

func newExperiment(p policy, seed uint64) *experiment {
	x := &experiment{policy: p, rand: rand.New(rand.NewPCG(seed, 1)), now: epoch, prompts: map[medlarid.RequestID]*simPrompt{}, seen: map[int]bool{}}
	weighting := medlarkind.WeightingTTFT
	if p == weighShare {
		weighting = medlarkind.WeightingRecompute
	}
	x.core = New(medlarworld.Config{
		Self: "entry-1", Zone: "z", Weighting: weighting, MaxQueued: 4096, MaxAttempts: 3, MaxWait: time.Minute,
		OffloadKV: p != affinity, Seed: seed,
	})
	l := medlarworld.InstancesListed{}
	for i := range expReplicas {
		r := &simReplica{id: engineName(i), cache: map[medlarkey.Key]int{}, freeAt: epoch}
		x.replicas = append(x.replicas, r)
		l.Members = append(l.Members, medlarupstream.Member{ID: r.id, Kind: "engine", Zone: "z", Address: "1", Model: "m"})
	}
	for i := range expStores {
		x.stores = append(x.stores, &simStore{blocks: map[medlarkey.Key]bool{}, freeAt: epoch})
		l.Members = append(l.Members, medlarupstream.Member{ID: storeName(i), Kind: "store", Zone: "z", Address: "1"})
	}
	x.tick(medlarworld.ListsApplied{Version: 1, Models: []medlarworld.Model{{ID: "m", Version: "v1"}}}, l)
	return x
}

func storeName(i int) medlarid.InstanceID { return medlarid.InstanceID(fmt.Sprint("store-", i)) }

func (x *experiment) at(t time.Time, do func()) {
	x.events++
	heap.Push(&x.queue, simEvent{t, x.events, do})
}

// run simulates all prompts; one store fails halfway through.
func (x *experiment) run() {
	lengths := make([]int, expConversations)
	for i := range lengths {
		lengths[i] = 16 + x.rand.IntN(112) // blocks: 1,000 to 8,000 tokens
	}
	for i := range expPrompts {
		d := x.rand.IntN(expConversations)
		lengths[d] += x.rand.IntN(3) // the conversation has grown
		n := lengths[d]
		x.at(epoch.Add(time.Duration(i)*expGap), func() { x.arrive(i, d, n) })
	}
	x.at(epoch.Add(expPrompts/2*expGap), x.failStore)
	for i := range expReplicas {
		x.at(epoch.Add(time.Duration(i)*20*time.Millisecond), func() { x.report(i) })
	}
	x.runUntil(epoch.Add(expPrompts*expGap + time.Minute))
}

// runUntil runs the events until end.
func (x *experiment) runUntil(end time.Time) {
	for len(x.queue) > 0 {
		e := heap.Pop(&x.queue).(simEvent)
		if e.at.After(end) {
			return
		}
		x.now = e.at
		e.do()
	}
}

func (x *experiment) failStore() {
	x.stores[0].dead = true
	x.stores[0].blocks = nil
}

// report reports a replica's load to the core, every 250 ms.
func (x *experiment) report(i int) {
	r := x.replicas[i]
	pending := max(r.freeAt.Sub(x.now).Seconds()*expPrefill, 0)
	x.tick(medlarworld.StatusReported{
		Upstream: r.id, Model: "m", Version: "v1", PrefillRate: expPrefill, BlockBytes: expBlockSize,
		Load: medlarupstream.Load{Running: r.active, Slots: expSlots, Pending: medlarid.Tokens(pending)},
	})
	x.at(x.now.Add(250*time.Millisecond), func() { x.report(i) })
}

func (x *experiment) arrive(i, conversation, blocks int) {
	keys := make([]medlarkey.Key, blocks)
	for b := range keys {
		keys[b] = medlarkey.Key{byte(conversation), byte(conversation >> 8), byte(b), byte(b >> 8), 1}
	}
	id := medlarid.RequestID(fmt.Sprint(i))
	p := &simPrompt{keys: keys, arrived: x.now, returning: x.seen[conversation]}
	x.seen[conversation] = true
	x.prompts[id] = p
	switch x.policy {
	case roundRobin:
		x.nextReplica++
		x.serve(id, x.replicas[x.nextReplica%expReplicas], 0, x.now)
	case leastLoaded, lowerBound:
		best := slices.MinFunc(x.replicas, func(a, b *simReplica) int { return a.freeAt.Compare(b.freeAt) })
		if x.policy == lowerBound {
			best = x.lowerBoundReplica(keys)
		}
		x.serve(id, best, 0, x.now)
	default:
		r := &medlarworld.Run{
			ID: id, Account: medlarid.AccountID(fmt.Sprint("a", conversation%10)), Model: "m", Version: "v1", Keys: keys,
			PromptTokens: medlarid.Tokens(blocks) * medlarkey.BlockTokens, Arrived: x.now, Deadline: x.now.Add(time.Minute),
		}
		x.tick(medlarworld.Submitted{Run: r})
	}
}

// lowerBoundReplica returns the replica that is free first: with unlimited memory and
// links a context is available everywhere once it was computed anywhere.
func (x *experiment) lowerBoundReplica(keys []medlarkey.Key) *simReplica {
	best := slices.MinFunc(x.replicas, func(a, b *simReplica) int { return a.freeAt.Compare(b.freeAt) })
	for _, k := range keys {
		if x.stores[1].blocks[k] {
			best.cache[k] = 0
		}
		x.stores[1].blocks[k] = true
	}
	return best
}

// serve computes a prompt on a replica, from ready on, with its first blocks imported.
func (x *experiment) serve(id medlarid.RequestID, r *simReplica, imported int, ready time.Time) {
	p := x.prompts[id]
	size := expBlocks
	if x.policy == lowerBound {
		size = 1 << 30
	}
	depth := max(r.depth(p.keys), imported)
	cold := len(p.keys) - depth
	start := ready
	if r.freeAt.After(start) {
		start = r.freeAt
	}
	r.freeAt = start.Add(time.Duration(float64(cold*int(medlarkey.BlockTokens)) / expPrefill * float64(time.Second)))
	r.active++
	if x.first != nil {
		x.first[id] = r.freeAt.Sub(p.arrived)
	}
	if p.returning {
		x.firsts = append(x.firsts, r.freeAt.Sub(p.arrived))
	}
	x.computed += cold
	x.total += len(p.keys)
	evicted := r.touch(p.keys, size)
	x.at(x.now.Add(200*time.Millisecond), func() {
		if x.usesCore() {
			x.tick(medlarworld.CacheChanged{Upstream: r.id, Evicted: evicted})
		}
	})
	x.at(r.freeAt.Add(expDecode), func() {
		r.active--
		if x.usesCore() {
			run := x.core.World().Runs[id]
			if run != nil {
				x.tick(medlarworld.AttemptEnded{Run: id, Attempt: run.Attempt, Cause: medlarkind.CauseDone, Reached: true})
			}
		}
	})
}

func (x *experiment) usesCore() bool {
	return x.policy == affinity || x.policy == weighFirst || x.policy == weighShare
}

func (x *experiment) tick(events ...medlarworld.Event) {
	for _, c := range append([]medlarworld.Command(nil), x.core.Tick(x.now, events)...) {
		switch c := c.(type) {
		case medlarworld.LookUp:
			x.at(x.now.Add(expFind), func() { x.find(c) })
		case medlarworld.StartAttempt:
			x.start(c)
		case medlarworld.Export:
			x.export(c)
		case medlarworld.Refuse:
			x.refused++
		}
	}
	if len(x.core.World().Waiting) > 0 && !x.ticking { // at most one tick is scheduled
		x.ticking = true
		x.at(x.now.Add(busyInterval), func() {
			x.ticking = false
			x.tick(medlarworld.Tick{})
		})
	}
}

func (x *experiment) store(id medlarid.InstanceID) *simStore {
	for i, s := range x.stores {
		if storeName(i) == id {
			return s
		}
	}
	return nil
}

func (x *experiment) find(c medlarworld.LookUp) {
	found := medlarworld.LookedUp{Run: c.Run}
	for _, a := range c.Stores {
		s := x.store(a.Store)
		if s.dead {
			x.tick(medlarworld.TransferEnded{Store: a.Store, Failed: true})
			continue
		}
		for _, k := range a.Keys {
			if s.blocks[k] {
				found.Handles = append(found.Handles, medlarinventory.Handle{Key: k, Store: a.Store, Length: expBlockSize})
			}
		}
	}
	x.tick(found)
}

// transfer moves bytes over a store's link and returns when the transfer ends.
func (x *experiment) transfer(s *simStore, bytes int64) time.Time {
	if s.freeAt.Before(x.now) {
		s.freeAt = x.now
	}
	s.freeAt = s.freeAt.Add(time.Duration(float64(bytes) / expLink * float64(time.Second)))
	x.moved += bytes
	return s.freeAt
}

func (x *experiment) start(c medlarworld.StartAttempt) {
	var r *simReplica
	for _, o := range x.replicas {
		if o.id == c.Upstream {
			r = o
		}
	}
	ready := x.now
	sizes := map[medlarid.InstanceID]int64{}
	for _, h := range c.Import {
		sizes[h.Store] += int64(h.Length)
	}
	imported := 0
	if len(c.Import) > 0 {
		imported = r.depth(x.prompts[c.Run].keys) + len(c.Import)
	}
	for id, n := range sizes {
		s := x.store(id)
		if s.dead {
			imported = 0
			continue
		}
		if done := x.transfer(s, n); done.After(ready) {
			ready = done
		}
	}
	if ready.Sub(x.now) > c.ImportTimeout { // the import timed out
		ready = x.now.Add(c.ImportTimeout)
		imported = 0
	}
	x.at(ready, func() {
		for id, n := range sizes {
			x.tick(medlarworld.TransferEnded{Store: id, Bytes: medlarid.Bytes(n), Took: max(ready.Sub(x.now), time.Duration(float64(n)/expLink*1e9)), Import: true})
		}
		x.serve(c.Run, r, imported, x.now)
	})
}

func (x *experiment) export(c medlarworld.Export) {
	for _, a := range c.Stores {
		s := x.store(a.Store)
		if s.dead {
			x.tick(medlarworld.TransferEnded{Store: a.Store, Failed: true})
			continue
		}
		for _, k := range a.Keys {
			if !s.blocks[k] {
				s.blocks[k] = true
				x.moved += expBlockSize // in the background, with lower priority than imports
			}
		}
	}
}

// result is the outcome of a run.
type result struct {
	p50, p95 time.Duration
	share    float64 // of blocks that were computed
	moved    int64   // bytes
	refused  int
}

func simulatePolicy(p policy, seed uint64) result {
	x := newExperiment(p, seed)
	x.run()
	slices.Sort(x.firsts)
	return result{
		p50:     x.firsts[len(x.firsts)/2],
		p95:     x.firsts[len(x.firsts)*95/100],
		share:   float64(x.computed) / float64(x.total),
		moved:   x.moved,
		refused: x.refused,
	}
}

// BenchmarkPolicies compares the policies on the same seeded load.
func BenchmarkPolicies(b *testing.B) {
	for _, p := range []policy{roundRobin, leastLoaded, affinity, weighFirst, weighShare, lowerBound} {
		b.Run(string(p), func(b *testing.B) {
			var r result
			for i := range b.N {
				r = simulatePolicy(p, uint64(i+1))
			}
			b.ReportMetric(float64(r.p50.Milliseconds()), "ms-p50")
			b.ReportMetric(float64(r.p95.Milliseconds()), "ms-p95")
			b.ReportMetric(100*r.share, "%-recomputed")
			b.ReportMetric(float64(r.moved)/(1<<30), "GB-moved")
			b.ReportMetric(float64(r.refused), "refused")
		})
	}
}

package medlarslope

import (
	"encoding/binary"
	"fmt"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarcacheindex"
	"medlarfield/internal/core/medlarcore"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/stand/medlarmeasure"
	"medlarfield/internal/stand/medlarpeerslope"
)

// Sizes of the planned deployment, and of the requests in the measurements.
const (
	models           = 18
	blocksPerRun     = 32 // blocks of a prompt of about 2,000 tokens
	requests         = 4000
	accountsInUse    = 18000
	plannedReplicas  = 760
	plannedMembers   = 410
	plannedAccounts  = 18000
	replicasPerStore = 30 // replicas of engines for each store
)

func coreMeasures() []measure {
	replicas := []int{12, 50, 200, plannedReplicas}
	return []measure{
		{"entry", "µs of core time per request", "replicas", replicas, requestTime},
		{"entry", "µs of a tick that applies an instance list", "replicas", replicas, listTime},
		{"entry", "bytes of the core's tables", "replicas", replicas, func(n int) (float64, error) {
			return medlarmeasure.Retained(func() any { return newCore(n) }), nil
		}},
		{"entry", "bytes of the core's tables", "accounts in use on the instance", []int{100, 1000, 6000, accountsInUse}, accountBytes},
		{"entry", "bytes of the cache index", "blocks in the index", []int{4096, 16384, 32768, 65536}, func(n int) (float64, error) {
			return medlarmeasure.Retained(func() any { return filledIndex(n) }), nil
		}},
		{"transfer", "µs to compute the keys of a prompt", "prompt tokens", []int{500, 2000, 8000, 32000}, func(n int) (float64, error) {
			text := string(make([]byte, 4*n))
			return medlarmeasure.Micros(medlarmeasure.SecondsPerCall(200, func(int) { medlarkey.Chain(medlarkey.Salt{}, text) })), nil
		}},
	}
}

// coreClock is the fixed time that the measurements pass to the core.
var coreClock = time.Unix(1_700_000_000, 0)

// newCore returns a core that has an instance list with stores and n replicas of up to
// 18 models, and a status report from each replica.
func newCore(n int) *medlarcore.Core {
	c := medlarcore.New(medlarworld.Config{
		Self: "entry-1", Zone: "z0", Weighting: medlarkind.WeightingTTFT, MaxQueued: 1024, MaxAttempts: 3, OffloadKV: true, Seed: 1,
	})
	modelTotal := modelCount(n)
	applied := medlarworld.ListsApplied{Version: 1}
	for i := range modelTotal {
		applied.Models = append(applied.Models, medlarworld.Model{ID: modelName(i), Version: "v1"})
	}
	c.Tick(coreClock, []medlarworld.Event{applied, instanceList(n)})
	var reports []medlarworld.Event
	for i := range n {
		reports = append(reports, medlarworld.StatusReported{
			Upstream: replicaName(i), Model: modelName(i % modelTotal), Version: "v1", PrefillRate: 8000, BlockBytes: 4 << 20,
			Load: medlarupstream.Load{Slots: 1 << 20},
		})
	}
	c.Tick(coreClock, reports)
	return c
}

// modelCount returns the number of models that n replicas serve: one for each 12
// replicas, from 1 to models.
func modelCount(n int) int { return max(min(models, n/12), 1) }

func modelName(i int) medlarid.ModelID { return medlarid.ModelID(fmt.Sprintf("model-%d", i)) }

func replicaName(i int) medlarid.InstanceID {
	return medlarid.InstanceID(fmt.Sprintf("replica-%d", i))
}

// instanceList returns an instance list with n engine replicas and their stores.
func instanceList(n int) medlarworld.InstancesListed {
	l := medlarworld.InstancesListed{Peers: plannedMembers}
	for i := range n {
		l.Members = append(l.Members, medlarupstream.Member{
			ID: replicaName(i), Kind: "engine", Zone: medlarid.Zone(fmt.Sprintf("z%d", i%7)),
			Address: "127.0.0.1:1", Model: modelName(i % modelCount(n)),
		})
	}
	for i := range max(n/replicasPerStore, 2) {
		l.Members = append(l.Members, medlarupstream.Member{
			ID: medlarid.InstanceID(fmt.Sprintf("store-%d", i)), Kind: "store", Zone: "z0", Address: "127.0.0.1:2",
		})
	}
	return l
}

// keys returns n cache keys that differ for each seed.
func keys(seed uint64, n int) []medlarkey.Key {
	out := make([]medlarkey.Key, n)
	for i := range out {
		binary.BigEndian.PutUint64(out[i][:8], seed*0x9e3779b97f4a7c15)
		binary.BigEndian.PutUint64(out[i][8:], uint64(i))
	}
	return out
}

// newRun returns the i-th request, for one of a number of models.
func newRun(i, modelTotal int) *medlarworld.Run {
	return &medlarworld.Run{
		ID:           medlarid.RequestID(fmt.Sprintf("r%d", i)),
		Account:      medlarid.AccountID(fmt.Sprintf("account-%d", i%accountsInUse)),
		Model:        modelName(i % modelTotal),
		Version:      "v1",
		Keys:         keys(uint64(i), blocksPerRun),
		PromptTokens: blocksPerRun * medlarkey.BlockTokens,
		Arrived:      coreClock,
		Deadline:     coreClock.Add(time.Minute),
	}
}

// requestTime returns the microseconds that the core takes for a request, over three
// ticks: submission, the cache lookup's result, which starts the attempt, and the end
// of the attempt.
func requestTime(n int) (float64, error) {
	c := newCore(n)
	runs := make([]*medlarworld.Run, requests)
	for i := range runs {
		runs[i] = newRun(i, modelCount(n))
	}
	begin := time.Now()
	for _, r := range runs {
		c.Tick(coreClock, []medlarworld.Event{medlarworld.Submitted{Run: r}})
		c.Tick(coreClock, []medlarworld.Event{medlarworld.LookedUp{Run: r.ID}})
		if r.Attempt != 1 {
			return 0, fmt.Errorf("request %s is in phase %s after %d attempts; want one attempt", r.ID, r.Phase, r.Attempt)
		}
		c.Tick(coreClock, []medlarworld.Event{medlarworld.AttemptEnded{Run: r.ID, Attempt: 1, Cause: medlarkind.CauseDone, Reached: true}})
	}
	return medlarmeasure.Micros(time.Since(begin).Seconds() / requests), nil
}

func listTime(n int) (float64, error) {
	c := newCore(n)
	l := []medlarworld.Event{instanceList(n)}
	return medlarmeasure.Micros(medlarmeasure.SecondsPerCall(50, func(int) { c.Tick(coreClock, l) })), nil
}

func accountBytes(n int) (float64, error) {
	c := newCore(12)
	return medlarmeasure.Retained(func() any {
		for i := range n {
			r := newRun(i, 1)
			r.Keys = nil
			r.Account = medlarid.AccountID(fmt.Sprintf("account-%d", i))
			c.Tick(coreClock, []medlarworld.Event{medlarworld.Submitted{Run: r, Limits: medlarworld.Limits{Rate: 10, Burst: 10}}})
			c.Tick(coreClock, []medlarworld.Event{medlarworld.AttemptEnded{Run: r.ID, Attempt: 1, Cause: medlarkind.CauseDone, Reached: true}})
		}
		return c
	}), nil
}

func filledIndex(n int) *medlarcacheindex.Index {
	t := medlarcacheindex.New(n, 0)
	for i := range n {
		t.Add(keys(uint64(i), 1)[0], "engine")
	}
	return t
}

func peerMeasures() []measure {
	members := []int{5, 50, 200, plannedMembers}
	accounts := []int{100, 1000, 6000, plannedAccounts}
	return []measure{
		{"peer", "bytes per second for membership", "members", members, func(n int) (float64, error) {
			bytes, _ := medlarpeerslope.Membership(n)
			return bytes, nil
		}},
		{"peer", "‰ of a core for membership", "members", members, func(n int) (float64, error) {
			_, share := medlarpeerslope.Membership(n)
			return 1000 * share, nil
		}},
		{"peer", "bytes of memory for a view of the members", "members", members, medlarpeerslope.ViewBytes},
		{"peer", "bytes of memory for sessions", "open sessions", []int{4, 8, 16, 32}, medlarpeerslope.SessionBytes},
		{"list fan-out", "ms from publication until all readers have applied it", "readers in 7 zones", members, medlarpeerslope.FanOut},
		{"list fan-out", "reads of the log per second, idle", "readers in 7 zones", members, medlarpeerslope.IdleReads},
		{"account home", "bytes of the share allocator", "accounts of the home", accounts, medlarpeerslope.AllocatorBytes},
		{"account home", "µs to grant a share", "accounts of the home", accounts, medlarpeerslope.GrantTime},
	}
}

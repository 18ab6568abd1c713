package medlarcore

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
)

// partsWorld is a core with engines and stores for runs that name parts.
type partsWorld struct {
	t    *testing.T
	core *Core
	now  time.Time
	runs int
}

const partsModel, partsService = "m", "engines"

func newParts(t *testing.T, engines int, change func(*medlarworld.Config)) *partsWorld {
	t.Helper()
	cfg := medlarworld.Config{
		Self: "self", Zone: "a", Weighting: medlarworld.WeighShare, Queue: 100, Attempts: 1, Seed: 1, Holders: 16,
		Retries: medlarworld.Budget{Share: 0.1, Most: 5, Start: 2}, OldVersions: 5 * time.Second,
	}
	if change != nil {
		change(&cfg)
	}
	p := &partsWorld{t: t, core: New(cfg), now: time.Unix(1000, 0)}
	p.want("1")
	var members []medlarworld.Member
	for i := range engines {
		members = append(members, engineMember(i, "1"))
	}
	for _, id := range []medlarid.InstanceID{"near", "far"} {
		members = append(members, medlarworld.Member{
			ID: id, Kind: "store", Address: medlarid.Address("at-" + id), Capacity: 100000, Rate: 1e9,
		})
	}
	p.tick(medlarworld.Listed{Members: members})
	return p
}

func engineMember(i int, v medlarid.WeightVersion) medlarworld.Member {
	return medlarworld.Member{
		ID: medlarid.InstanceID(fmt.Sprintf("e%02d", i)), Kind: "engine", Address: medlarid.Address(fmt.Sprintf("at-e%02d", i)),
		Model: partsModel, Service: partsService, Version: v, Slots: 8, Prefill: 80000, TokenBytes: 100, Memory: 200000,
	}
}

func (p *partsWorld) tick(events ...medlarworld.Event) []medlarworld.Command {
	return slices.Clone(p.core.Tick(p.now, events))
}

var partsVersion medlarid.Offset

func (p *partsWorld) want(v medlarid.WeightVersion) {
	partsVersion++
	p.tick(medlarworld.Applied{Version: partsVersion, Models: []medlarworld.Model{{ID: partsModel, Version: v}}})
}

// run returns a run whose prompt has parts of sizes, the last one its own.
func (p *partsWorld) run(parts ...int) *medlarworld.Run {
	p.runs++
	r := &medlarworld.Run{
		ID: medlarid.RequestID(fmt.Sprintf("r%d", p.runs)), Service: partsService, Model: partsModel, Version: "1",
		Arrived: p.now, Deadline: p.now.Add(10 * time.Second), Attempts: 2,
	}
	for i, n := range parts {
		id := fmt.Sprintf("part-%d", i)
		if i == len(parts)-1 {
			id = string(r.ID)
		}
		r.Keys = append(r.Keys, medlarkey.Part("v1", partsModel, id))
		r.LaterKeys = append(r.LaterKeys, medlarkey.Part("v2", partsModel, id))
		r.Sizes = append(r.Sizes, medlarid.Tokens(n))
		r.Prompt += medlarid.Tokens(n)
	}
	r.Home = r.Keys[max(len(r.Keys)-2, 0)]
	return r
}

// submit submits a run and returns how it was started, or nil.
func (p *partsWorld) submit(r *medlarworld.Run) *medlarworld.Start {
	return startOf(p.tick(medlarworld.Submitted{Run: r}))
}

func startOf(cs []medlarworld.Command) *medlarworld.Start {
	for _, c := range cs {
		if s, ok := c.(medlarworld.Start); ok {
			return &s
		}
	}
	return nil
}

func (p *partsWorld) stock(store medlarid.InstanceID, epoch uint64, reset bool, keys ...medlarkey.Key) {
	e := medlarworld.Stocked{Store: store, Epoch: epoch, At: p.now, Reset: reset}
	for _, k := range keys {
		e.Added = append(e.Added, medlarworld.StockPart{Key: k, Tokens: 8000})
	}
	p.tick(e)
}

func assertParts(t *testing.T, s *medlarworld.Start, want string) {
	t.Helper()
	if s == nil {
		t.Fatal("not started")
	}
	got := make([]byte, len(s.Parts))
	for i, c := range s.Parts {
		got[i] = byte(c)
	}
	if string(got) != want {
		t.Errorf("parts %q, want %q", got, want)
	}
}

// TestPartPlan asserts what is fetched, saved and computed by what stores told (R1 to R5
// of medlarplacement).
func TestPartPlan(t *testing.T) {
	const settled = 5 * time.Second
	for _, tc := range []struct {
		name  string
		setup func(p *partsWorld, r *medlarworld.Run)
		want  string
	}{
		{"unknown stores", func(*partsWorld, *medlarworld.Run) {}, "cco"},
		{"new stores are not saved to yet", func(p *partsWorld, _ *medlarworld.Run) { p.stock("near", 1, true) }, "cco"},
		{"settled stores are saved to", func(p *partsWorld, _ *medlarworld.Run) {
			p.stock("near", 1, true)
			p.now = p.now.Add(settled)
			p.stock("near", 1, false)
		}, "sso"},
		{"held parts are fetched", func(p *partsWorld, r *medlarworld.Run) { p.stock("near", 1, true, r.Keys[0], r.Keys[1]) }, "ffo"},
		{"a gap ends what is fetched", func(p *partsWorld, r *medlarworld.Run) { p.stock("near", 1, true, r.Keys[1]) }, "clo"},
		{"an old belief is not acted on", func(p *partsWorld, r *medlarworld.Run) {
			p.stock("near", 1, true, r.Keys[0], r.Keys[1])
			p.now = p.now.Add(2 * time.Second)
		}, "cco"},
		{"nothing is fetched by who has not heard lately which versions are wanted", func(p *partsWorld, r *medlarworld.Run) {
			p.tick(medlarworld.Heard{At: p.now})
			p.now = p.now.Add(3100 * time.Millisecond)
			p.stock("near", 1, true, r.Keys[0], r.Keys[1])
		}, "cco"},
		{"but by who got answers under the version from most replicas", func(p *partsWorld, r *medlarworld.Run) {
			p.tick(medlarworld.Heard{At: p.now})
			p.now = p.now.Add(3100 * time.Millisecond)
			p.stock("near", 1, true, r.Keys[0], r.Keys[1])
			other := p.run(700)
			s := p.submit(other)
			p.tick(medlarworld.Began{Run: other.ID, Attempt: s.Attempt, Version: s.Version})
			p.tick(medlarworld.Ended{Run: other.ID, Attempt: s.Attempt, Cause: medlarworld.CauseDone, Reached: true})
		}, "ffo"},
		{"parts of a version are fetched for a while after it was replaced", func(p *partsWorld, r *medlarworld.Run) {
			p.want("2")
			p.now = p.now.Add(1400 * time.Millisecond)
			p.tick(medlarworld.Heard{At: p.now})
			p.stock("near", 1, true, r.Keys[0], r.Keys[1])
		}, "ffo"},
		{"and then no more", func(p *partsWorld, r *medlarworld.Run) {
			p.want("2")
			p.now = p.now.Add(1600 * time.Millisecond)
			p.tick(medlarworld.Heard{At: p.now})
			p.stock("near", 1, true, r.Keys[0], r.Keys[1])
		}, "cco"},
		{"a store that started anew holds nothing", func(p *partsWorld, r *medlarworld.Run) {
			p.stock("near", 1, true, r.Keys[0], r.Keys[1])
			p.stock("near", 2, true)
		}, "cco"},
		{"a store that is full takes nothing", func(p *partsWorld, _ *medlarworld.Run) {
			var keys []medlarkey.Key
			for i := range 13 {
				keys = append(keys, medlarkey.Part("v1", partsModel, fmt.Sprint("other-", i)))
			}
			p.stock("near", 1, true, keys...)
			p.now = p.now.Add(settled)
			p.stock("near", 1, false)
		}, "cco"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newParts(t, 1, nil)
			r := p.run(500, 8000, 300)
			tc.setup(p, r)
			assertParts(t, p.submit(r), tc.want)
		})
	}
}

// TestFetchWithoutPlatformStore plays an instance of a large fleet that does not hear from the
// platform's store: answers from some of the replicas are what it gets in two seconds, and
// must do.
func TestFetchWithoutPlatformStore(t *testing.T) {
	const replicas = 60
	for _, tc := range []struct {
		name    string
		answers int
		want    string
	}{{"answers from a fifth of the replicas", replicas / 5, "cco"}, {"from one more", replicas/5 + 1, "ffo"}} {
		t.Run(tc.name, func(t *testing.T) {
			p := newParts(t, replicas, nil)
			r := p.run(500, 8000, 300)
			p.tick(medlarworld.Heard{At: p.now})
			p.now = p.now.Add(3100 * time.Millisecond)
			p.stock("near", 1, true, r.Keys[0], r.Keys[1])
			for i := range tc.answers {
				p.core.World().Upstreams[engineMember(i, "1").ID].Answered = p.now
			}
			assertParts(t, p.submit(r), tc.want)
		})
	}
}

func TestPartIsSavedOnce(t *testing.T) {
	p := newParts(t, 2, nil)
	p.stock("near", 1, true)
	p.stock("far", 1, true)
	p.now = p.now.Add(5 * time.Second)
	p.stock("near", 1, false)
	p.stock("far", 1, false)
	assertParts(t, p.submit(p.run(500, 8000, 300)), "sso")
	if s := p.submit(p.run(500, 8000, 300)); slices.Contains(s.Parts, medlarworld.PartSaved) {
		t.Errorf("saved again: %q", s.Parts)
	}
}

// TestLateAnswerDoesNotPenalizeStore plays an answer that begins late although its
// parts were fetched: with many instances and stores each instance sees few answers of a
// store, and the wait is mostly the replica's.
func TestLateAnswerDoesNotPenalizeStore(t *testing.T) {
	p := newParts(t, 2, nil)
	r := p.run(500, 8000, 300)
	p.stock("near", 1, true, r.Keys[0], r.Keys[1])
	s := p.submit(r)
	assertParts(t, s, "ffo")
	p.now = p.now.Add(time.Second)
	p.tick(medlarworld.Began{Run: r.ID, Attempt: s.Attempt, After: time.Second, Version: s.Version})
	p.tick(medlarworld.Ended{Run: r.ID, Attempt: s.Attempt, Cause: medlarworld.CauseDone, Reached: true})
	p.core.World().Upstreams[s.Upstream].EjectedTill = p.now.Add(time.Minute) // the other one caches nothing
	p.now = p.now.Add(100 * time.Millisecond)
	p.stock("near", 1, false)
	assertParts(t, p.submit(p.run(500, 8000, 300)), "ffo")
}

// TestHotFirstPart is the history of a first part that many replicas cache: what is
// behind it is fetched at each of them.
func TestHotFirstPart(t *testing.T) {
	p := newParts(t, 6, nil)
	var first *medlarworld.Run
	for i := range 6 {
		r := p.run(500, 300)
		if first == nil {
			first = r
		}
		s := p.submit(r)
		p.tick(medlarworld.Ended{Run: r.ID, Attempt: s.Attempt, Cause: medlarworld.CauseDone, Reached: true})
		u := p.core.World().Upstreams[medlarid.InstanceID(fmt.Sprintf("e%02d", i))]
		p.core.World().Warm.Add(first.Keys[0], u.ID)
	}
	r := p.run(500, 8000, 300)
	p.stock("near", 1, true, r.Keys[1])
	assertParts(t, p.submit(r), "wfo")
}

func TestWeightVersions(t *testing.T) {
	started := func(p *partsWorld) medlarid.WeightVersion {
		r := p.run(500, 300)
		r.Later = "2"
		s := p.submit(r)
		if s == nil {
			return ""
		}
		p.tick(medlarworld.Ended{Run: r.ID, Attempt: s.Attempt, Cause: medlarworld.CauseDone, Reached: true})
		return s.Version
	}
	t.Run("the ones that change next are spared", func(t *testing.T) {
		p := newParts(t, 6, nil)
		p.want("2")
		for range 20 {
			r := p.run(500, 300)
			s := p.submit(r)
			if s == nil || s.Upstream < "e02" {
				t.Fatalf("started at %v", s)
			}
			p.tick(medlarworld.Ended{Run: r.ID, Attempt: s.Attempt, Cause: medlarworld.CauseDone, Reached: true})
		}
	})
	t.Run("of many replicas, each is asked under the version it has", func(t *testing.T) {
		p := newParts(t, 40, nil)
		p.want("2")
		for range 20 {
			r := p.run(500, 300)
			r.Later = "2"
			s := p.submit(r)
			if s == nil || s.Version != "1" {
				t.Fatalf("started as %+v, want version 1", s)
			}
			p.tick(medlarworld.Ended{Run: r.ID, Attempt: s.Attempt, Cause: medlarworld.CauseDone, Reached: true})
		}
	})
	t.Run("a later version does not make an older one young again", func(t *testing.T) {
		p := newParts(t, 6, nil)
		p.want("2")
		p.now = p.now.Add(6 * time.Second)
		p.want("3")
		if v := started(p); v != "" {
			t.Errorf("started under version %s", v)
		}
	})
	t.Run("old weights serve nothing after a bound", func(t *testing.T) {
		p := newParts(t, 6, nil)
		p.want("2")
		p.now = p.now.Add(6 * time.Second)
		if v := started(p); v != "" {
			t.Errorf("started under version %s", v)
		}
		p.tick(medlarworld.Listed{Members: []medlarworld.Member{engineMember(0, "2"), engineMember(1, "1")}})
		if v := started(p); v != "2" {
			t.Errorf("started under version %q, want 2", v)
		}
	})
}

// TestUnexecutedAttemptsAreRetried asserts that attempts which did not run do not count
// against a run's bound, and that the budget of its service ends them.
func TestUnexecutedAttemptsAreRetried(t *testing.T) {
	p := newParts(t, 6, nil)
	r := p.run(500, 300)
	r.Attempts = 1
	s := p.submit(r)
	p.now = p.now.Add(30 * time.Millisecond)
	p.tick(medlarworld.Ended{Run: r.ID, Attempt: s.Attempt, Cause: medlarworld.CauseRetry, Reason: medlarreason.Busy})
	p.now = p.now.Add(30 * time.Millisecond)
	s2 := startOf(p.tick(medlarworld.Tick{}))
	if s2 == nil || s2.Upstream == s.Upstream {
		t.Fatalf("second attempt %v after %v", s2, s)
	}
	cs := p.tick(medlarworld.Ended{Run: r.ID, Attempt: s2.Attempt, Cause: medlarworld.CauseRetry, Reason: medlarreason.Truncated, Reached: true})
	if !slices.ContainsFunc(cs, func(c medlarworld.Command) bool { _, ok := c.(medlarworld.Refuse); return ok }) {
		t.Errorf("an attempt that may have run is repeated beyond the bound: %v", cs)
	}
}

// TestUnusableReplicasAreEjectedImmediately plays replicas to which there is no connection,
// and replicas that crashed and whose address has another one: a list names them for
// seconds.
func TestUnusableReplicasAreEjectedImmediately(t *testing.T) {
	for _, reason := range []medlarreason.Reason{medlarreason.Unreachable, medlarreason.Misdirected} {
		t.Run(string(reason), func(t *testing.T) {
			p := newParts(t, 6, nil)
			r := p.run(500, 300)
			s := p.submit(r)
			p.tick(medlarworld.Ended{Run: r.ID, Attempt: s.Attempt, Cause: medlarworld.CauseRetry, Reason: reason})
			if u := p.core.World().Upstreams[s.Upstream]; u.Usable(p.now) {
				t.Error("the replica is still used")
			}
		})
	}
}

// TestSaveTarget asserts where parts are saved (R3 of medlarplacement): transfers between
// zones and long setups are what slows fetches down where there are many.
func TestSaveTarget(t *testing.T) {
	const setup = 6 * time.Millisecond
	store := func(id medlarid.InstanceID, zone medlarid.Zone, setup time.Duration) medlarworld.Member {
		return medlarworld.Member{
			ID: id, Kind: "store", Zone: zone, Address: medlarid.Address(id), Capacity: 100000, Rate: 1e8, Setup: setup,
		}
	}
	all := []medlarworld.Member{
		store("quick-a", "a", 0), store("quick-b", "b", 0), store("long-a", "a", setup), store("long-b", "b", setup),
	}
	full := func(keys int) (out []medlarkey.Key) {
		for i := range keys {
			out = append(out, medlarkey.Part("v1", partsModel, fmt.Sprint("other-", i)))
		}
		return out
	}
	for _, tc := range []struct {
		name string
		size int // tokens of the part; 100 take 0.1 ms
		full []medlarid.InstanceID
		want medlarid.Address
	}{
		{"a large part bears a long setup", 20000, nil, "long-b"},
		{"a small one does not", 2000, nil, "quick-b"},
		{"the zone of the home replica goes before the setup", 20000, []medlarid.InstanceID{"long-b"}, "quick-b"},
		{"another zone where there is no room", 20000, []medlarid.InstanceID{"long-b", "quick-b"}, "long-a"},
		{"a small part goes to a quick store of another zone first", 2000, []medlarid.InstanceID{"quick-b"}, "quick-a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newParts(t, 1, nil)
			engine := engineMember(0, "1")
			engine.Zone = "b"
			p.tick(medlarworld.Listed{Members: append(slices.Clone(all), engine)})
			p.now = p.now.Add(5 * time.Second)
			for _, m := range all {
				p.stock(m.ID, 1, true)
			}
			p.now = p.now.Add(5 * time.Second)
			for _, m := range all {
				if slices.Contains(tc.full, m.ID) {
					p.stock(m.ID, 1, false, full(12)...)
					continue
				}
				p.stock(m.ID, 1, false)
			}
			s := p.submit(p.run(tc.size, 300))
			if s == nil || s.Save[0] != tc.want {
				t.Errorf("saved to %v, want %s", s, tc.want)
			}
		})
	}
}

// TestFetchAcrossZonesCostsMore asserts that of replicas that cache nothing the one in
// the zone of the store is chosen.
func TestFetchAcrossZonesCostsMore(t *testing.T) {
	zones := []medlarid.Zone{"b", "c", "d"}
	for i, zone := range zones {
		t.Run(string(zone), func(t *testing.T) {
			p := newParts(t, 1, nil)
			var members []medlarworld.Member
			for i, z := range zones {
				m := engineMember(i, "1")
				m.Zone = z
				members = append(members, m)
			}
			members = append(members, medlarworld.Member{ID: "slow", Kind: "store", Zone: zone, Address: "at-slow", Capacity: 100000, Rate: 5e6})
			p.tick(medlarworld.Listed{Members: members})
			r := p.run(8000, 300)
			p.stock("slow", 1, true, r.Keys[0])
			if s := p.submit(r); s == nil || s.Upstream != engineMember(i, "1").ID {
				t.Errorf("started as %+v, want at replica %d", s, i)
			}
		})
	}
}

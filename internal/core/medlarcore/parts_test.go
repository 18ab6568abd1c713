package medlarcore

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbudget"
	"medlarfield/internal/core/medlarchoice"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// partsHarness drives a core with engines and stores, for runs whose prompts have named
// parts.
type partsHarness struct {
	t    *testing.T
	core *Core
	now  time.Time
	runs int
}

const partsModel, partsService = "m", "engines"

func newPartsHarness(t *testing.T, engines int, change func(*medlarworld.Config)) *partsHarness {
	t.Helper()
	cfg := medlarworld.Config{
		Self: "self", Zone: "a", Weighting: medlarkind.WeightingRecompute, MaxQueued: 100, MaxAttempts: 1, Seed: 1, MaxHolders: 16,
		RetryBudget: medlarbudget.Retries{Ratio: 0.1, Max: 5, Initial: 2}, OldVersionGrace: 5 * time.Second,
	}
	if change != nil {
		change(&cfg)
	}
	p := &partsHarness{t: t, core: New(cfg), now: time.Unix(1000, 0)}
	p.setVersion("1")
	var members []medlarupstream.Member
	for i := range engines {
		members = append(members, engineMember(i, "1"))
	}
	for _, id := range []medlarid.InstanceID{"near", "far"} {
		members = append(members, medlarupstream.Member{
			ID: id, Kind: "store", Address: medlarid.Address("at-" + id), Capacity: 100000, Rate: 1e9,
		})
	}
	p.tick(medlarworld.InstancesListed{Members: members})
	return p
}

func engineMember(i int, v medlarid.WeightVersion) medlarupstream.Member {
	return medlarupstream.Member{
		ID: medlarid.InstanceID(fmt.Sprintf("e%02d", i)), Kind: "engine", Address: medlarid.Address(fmt.Sprintf("at-e%02d", i)),
		Model: partsModel, Service: partsService, Version: v, Slots: 8, PrefillRate: 80000, TokenBytes: 100, KVCapacity: 200000,
	}
}

func (p *partsHarness) tick(events ...medlarworld.Event) []medlarworld.Command {
	return slices.Clone(p.core.Tick(p.now, events))
}

var partsVersion medlarid.Offset

func (p *partsHarness) setVersion(v medlarid.WeightVersion) {
	partsVersion++
	p.tick(medlarworld.ListsApplied{Version: partsVersion, Models: []medlarworld.Model{{ID: partsModel, Version: v}}})
}

// newRun returns a run whose prompt has parts of the given sizes; the last part is
// specific to the run.
func (p *partsHarness) newRun(parts ...int) *medlarworld.Run {
	p.runs++
	r := &medlarworld.Run{
		ID: medlarid.RequestID(fmt.Sprintf("r%d", p.runs)), Service: partsService, Model: partsModel, Version: "1",
		Arrived: p.now, Deadline: p.now.Add(10 * time.Second), MaxAttempts: 2,
	}
	for i, n := range parts {
		id := fmt.Sprintf("part-%d", i)
		if i == len(parts)-1 {
			id = string(r.ID)
		}
		r.Keys = append(r.Keys, medlarkey.Part("v1", partsModel, id))
		r.DesiredKeys = append(r.DesiredKeys, medlarkey.Part("v2", partsModel, id))
		r.KeyTokens = append(r.KeyTokens, medlarid.Tokens(n))
		r.PromptTokens += medlarid.Tokens(n)
	}
	r.HomeKey = r.Keys[max(len(r.Keys)-2, 0)]
	return r
}

// submit submits a run and returns its Start command, or nil.
func (p *partsHarness) submit(r *medlarworld.Run) *medlarworld.StartAttempt {
	return startOf(p.tick(medlarworld.Submitted{Run: r}))
}

func startOf(cs []medlarworld.Command) *medlarworld.StartAttempt {
	for _, c := range cs {
		if s, ok := c.(medlarworld.StartAttempt); ok {
			return &s
		}
	}
	return nil
}

func (p *partsHarness) reportStock(store medlarid.InstanceID, epoch uint64, reset bool, keys ...medlarkey.Key) {
	p.reportStockAsOf(p.now, store, epoch, reset, keys...)
}

func (p *partsHarness) reportStockAsOf(at time.Time, store medlarid.InstanceID, epoch uint64, reset bool, keys ...medlarkey.Key) {
	e := medlarworld.InventoryReported{Store: store, Epoch: epoch, At: at, Reset: reset}
	for _, k := range keys {
		e.Added = append(e.Added, medlarinventory.StoredPart{Key: k, Tokens: 8000})
	}
	p.tick(e)
}

func assertParts(t *testing.T, s *medlarworld.StartAttempt, want string) {
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

// TestPartPlan checks which parts are fetched, saved and computed, depending on the
// reports of stores (R1 to R5 of medlarplacement).
func TestPartPlan(t *testing.T) {
	const settled = 5 * time.Second
	for _, tc := range []struct {
		name  string
		setup func(p *partsHarness, r *medlarworld.Run)
		want  string
	}{
		{"stores that have not reported", func(*partsHarness, *medlarworld.Run) {}, "cco"},
		{"nothing is saved to a store that just started", func(p *partsHarness, _ *medlarworld.Run) { p.reportStock("near", 1, true) }, "cco"},
		{"parts are saved to a store after the settle delay", func(p *partsHarness, _ *medlarworld.Run) {
			p.reportStock("near", 1, true)
			p.now = p.now.Add(settled)
			p.reportStock("near", 1, false)
		}, "sso"},
		{"the settle delay runs from the arrival of a report of an earlier time", func(p *partsHarness, _ *medlarworld.Run) {
			p.reportStockAsOf(p.now.Add(-1400*time.Millisecond), "near", 1, true)
			p.now = p.now.Add(2 * time.Second)
			p.reportStock("near", 1, false)
		}, "cco"},
		{"a report is used until its time, not its arrival, is too old", func(p *partsHarness, r *medlarworld.Run) {
			p.reportStockAsOf(p.now.Add(-1400*time.Millisecond), "near", 1, true, r.Keys[0], r.Keys[1])
			p.now = p.now.Add(200 * time.Millisecond)
		}, "cco"},
		{"parts that a store holds are fetched", func(p *partsHarness, r *medlarworld.Run) { p.reportStock("near", 1, true, r.Keys[0], r.Keys[1]) }, "ffo"},
		{"parts after a missing one are not fetched", func(p *partsHarness, r *medlarworld.Run) { p.reportStock("near", 1, true, r.Keys[1]) }, "clo"},
		{"an old report is not used", func(p *partsHarness, r *medlarworld.Run) {
			p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
			p.now = p.now.Add(2 * time.Second)
		}, "cco"},
		{"nothing is fetched if the desired versions were not read recently", func(p *partsHarness, r *medlarworld.Run) {
			p.tick(medlarworld.RecordsCurrent{At: p.now})
			p.now = p.now.Add(3100 * time.Millisecond)
			p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
		}, "cco"},
		{"an answer that was overtaken takes nothing back", func(p *partsHarness, r *medlarworld.Run) {
			p.tick(medlarworld.RecordsCurrent{At: p.now})
			p.tick(medlarworld.RecordsCurrent{At: p.now.Add(-3100 * time.Millisecond)})
			p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
		}, "ffo"},
		{"unless enough replicas answered under the version", func(p *partsHarness, r *medlarworld.Run) {
			p.tick(medlarworld.RecordsCurrent{At: p.now})
			p.now = p.now.Add(3100 * time.Millisecond)
			p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
			other := p.newRun(700)
			s := p.submit(other)
			p.tick(medlarworld.AnswerBegan{Run: other.ID, Attempt: s.Attempt, Version: s.Version})
			p.tick(medlarworld.AttemptEnded{Run: other.ID, Attempt: s.Attempt, Cause: medlarkind.CauseDone, Reached: true})
		}, "ffo"},
		{"parts of a replaced version are fetched during the grace period", func(p *partsHarness, r *medlarworld.Run) {
			p.setVersion("2")
			p.now = p.now.Add(1400 * time.Millisecond)
			p.tick(medlarworld.RecordsCurrent{At: p.now})
			p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
		}, "ffo"},
		{"parts of a replaced version are not fetched after the grace period", func(p *partsHarness, r *medlarworld.Run) {
			p.setVersion("2")
			p.now = p.now.Add(1600 * time.Millisecond)
			p.tick(medlarworld.RecordsCurrent{At: p.now})
			p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
		}, "cco"},
		{"a restarted store holds nothing", func(p *partsHarness, r *medlarworld.Run) {
			p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
			p.reportStock("near", 2, true)
		}, "cco"},
		{"nothing is saved to a full store", func(p *partsHarness, _ *medlarworld.Run) {
			var keys []medlarkey.Key
			for i := range 13 {
				keys = append(keys, medlarkey.Part("v1", partsModel, fmt.Sprint("other-", i)))
			}
			p.reportStock("near", 1, true, keys...)
			p.now = p.now.Add(settled)
			p.reportStock("near", 1, false)
		}, "cco"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, 1, nil)
			r := p.newRun(500, 8000, 300)
			tc.setup(p, r)
			assertParts(t, p.submit(r), tc.want)
		})
	}
}

// TestFetchWithoutPlatformStore checks an instance of a large fleet that gets no updates from
// the platform's store: within two seconds it gets answers from only some of the replicas,
// and these have to suffice to confirm a version.
func TestFetchWithoutPlatformStore(t *testing.T) {
	const replicas = 60
	for _, tc := range []struct {
		name    string
		answers int
		want    string
	}{{"answers from one fifth of the replicas", replicas / 5, "cco"}, {"answers from one replica more", replicas/5 + 1, "ffo"}} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, replicas, nil)
			r := p.newRun(500, 8000, 300)
			p.tick(medlarworld.RecordsCurrent{At: p.now})
			p.now = p.now.Add(3100 * time.Millisecond)
			p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
			for i := range tc.answers {
				p.core.World().Upstreams[engineMember(i, "1").ID].ConfirmedAt = p.now
			}
			assertParts(t, p.submit(r), tc.want)
		})
	}
}

// TestFetchOfReplacedVersion guards against prompts that are computed anew on replicas which have not loaded the
// next version yet, although stores hold their parts, and against a fetch of parts that are being freed.
func TestFetchOfReplacedVersion(t *testing.T) {
	const replicas = 20
	for _, tc := range []struct {
		name    string
		answers int // replicas that have answered under the replaced version
		after   time.Duration
		want    string
	}{
		{"soon after the change", 0, time.Second, "ffo"},
		{"later, without answers", 0, 3 * time.Second, "cco"},
		{"later, answers from a fifth of the replicas", replicas / 5, 3 * time.Second, "cco"},
		{"later, answers from one replica more", replicas/5 + 1, 3 * time.Second, "ffo"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, replicas, func(cfg *medlarworld.Config) { cfg.MaxHolders = 0 })
			r := p.newRun(500, 8000, 300)
			p.tick(medlarworld.RecordsCurrent{At: p.now})
			p.setVersion("2")
			p.now = p.now.Add(tc.after)
			p.tick(medlarworld.RecordsCurrent{At: p.now})
			p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
			for i := range tc.answers {
				p.core.World().Upstreams[engineMember(i, "1").ID].ConfirmedAt = p.now
			}
			assertParts(t, p.submit(r), tc.want)
		})
	}
}

func TestPartIsSavedOnce(t *testing.T) {
	p := newPartsHarness(t, 2, nil)
	p.reportStock("near", 1, true)
	p.reportStock("far", 1, true)
	p.now = p.now.Add(5 * time.Second)
	p.reportStock("near", 1, false)
	p.reportStock("far", 1, false)
	assertParts(t, p.submit(p.newRun(500, 8000, 300)), "sso")
	if s := p.submit(p.newRun(500, 8000, 300)); slices.Contains(s.Parts, medlarchoice.PartSaved) {
		t.Errorf("the part is saved again: %q", s.Parts)
	}
}

// TestLateAnswerDoesNotPenalizeStore checks that a store is still used after an answer
// that began late although its parts were fetched (R6 of medlarplacement): with many
// instances and stores, each instance sees few answers per store, and the delay is mostly
// the replica's.
func TestLateAnswerDoesNotPenalizeStore(t *testing.T) {
	p := newPartsHarness(t, 2, nil)
	r := p.newRun(500, 8000, 300)
	p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
	s := p.submit(r)
	assertParts(t, s, "ffo")
	p.now = p.now.Add(time.Second)
	p.tick(medlarworld.AnswerBegan{Run: r.ID, Attempt: s.Attempt, After: time.Second, Version: s.Version})
	p.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: s.Attempt, Cause: medlarkind.CauseDone, Reached: true})
	p.core.World().Upstreams[s.Upstream].EjectedUntil = p.now.Add(time.Minute) // the other replica caches nothing
	p.now = p.now.Add(100 * time.Millisecond)
	p.reportStock("near", 1, false)
	assertParts(t, p.submit(p.newRun(500, 8000, 300)), "ffo")
}

// TestHotFirstPart checks a first part that many replicas cache: the parts after it are
// fetched at whichever of them is chosen.
func TestHotFirstPart(t *testing.T) {
	p := newPartsHarness(t, 6, nil)
	var first *medlarworld.Run
	for i := range 6 {
		r := p.newRun(500, 300)
		if first == nil {
			first = r
		}
		s := p.submit(r)
		p.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: s.Attempt, Cause: medlarkind.CauseDone, Reached: true})
		u := p.core.World().Upstreams[medlarid.InstanceID(fmt.Sprintf("e%02d", i))]
		p.core.World().Warm.Add(first.Keys[0], u.ID)
	}
	r := p.newRun(500, 8000, 300)
	p.reportStock("near", 1, true, r.Keys[1])
	assertParts(t, p.submit(r), "wfo")
}

func TestWeightVersions(t *testing.T) {
	started := func(p *partsHarness) medlarid.WeightVersion {
		r := p.newRun(500, 300)
		r.DesiredVersion = "2"
		s := p.submit(r)
		if s == nil {
			return ""
		}
		p.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: s.Attempt, Cause: medlarkind.CauseDone, Reached: true})
		return s.Version
	}
	t.Run("replicas that swap weights next are avoided", func(t *testing.T) {
		p := newPartsHarness(t, 6, nil)
		p.setVersion("2")
		for range 20 {
			r := p.newRun(500, 300)
			s := p.submit(r)
			if s == nil || s.Upstream < "e02" {
				t.Fatalf("started at %v", s)
			}
			p.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: s.Attempt, Cause: medlarkind.CauseDone, Reached: true})
		}
	})
	t.Run("each of many replicas gets requests for the version it has", func(t *testing.T) {
		p := newPartsHarness(t, 40, nil)
		p.setVersion("2")
		for range 20 {
			r := p.newRun(500, 300)
			r.DesiredVersion = "2"
			s := p.submit(r)
			if s == nil || s.Version != "1" {
				t.Fatalf("started as %+v, want version 1", s)
			}
			p.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: s.Attempt, Cause: medlarkind.CauseDone, Reached: true})
		}
	})
	t.Run("a later version than this instance has read of is served", func(t *testing.T) {
		p := newPartsHarness(t, 2, func(cfg *medlarworld.Config) { cfg.VersionsIncrease = true })
		p.tick(medlarworld.InstancesListed{Members: []medlarupstream.Member{engineMember(0, "3"), engineMember(1, "3")}})
		if v := started(p); v != "3" {
			t.Errorf("started under version %q, want 3", v)
		}
	})
	t.Run("a later version is not served where operators may go back", func(t *testing.T) {
		p := newPartsHarness(t, 2, nil)
		p.tick(medlarworld.InstancesListed{Members: []medlarupstream.Member{engineMember(0, "3"), engineMember(1, "3")}})
		if v := started(p); v != "" {
			t.Errorf("started under version %s, want no start", v)
		}
	})
	t.Run("a replica that has denied its version gets nothing", func(t *testing.T) {
		p := newPartsHarness(t, 2, nil)
		denied := engineMember(0, "1")
		denied.VersionDenied = true
		p.tick(medlarworld.InstancesListed{Members: []medlarupstream.Member{denied, engineMember(1, "1")}})
		for range 10 {
			if s := p.submit(p.newRun(500, 300)); s == nil || s.Upstream != "e01" {
				t.Fatalf("started %+v, want a start at e01", s)
			}
		}
	})
	t.Run("another change does not extend the time of an older version", func(t *testing.T) {
		p := newPartsHarness(t, 6, nil)
		p.setVersion("2")
		p.now = p.now.Add(6 * time.Second)
		p.setVersion("3")
		if v := started(p); v != "" {
			t.Errorf("started under version %s, want no start", v)
		}
	})
	t.Run("old versions serve nothing after a time limit", func(t *testing.T) {
		p := newPartsHarness(t, 6, nil)
		p.setVersion("2")
		p.now = p.now.Add(6 * time.Second)
		if v := started(p); v != "" {
			t.Errorf("started under version %s, want no start", v)
		}
		p.tick(medlarworld.InstancesListed{Members: []medlarupstream.Member{engineMember(0, "2"), engineMember(1, "1")}})
		if v := started(p); v != "2" {
			t.Errorf("started under version %q, want 2", v)
		}
	})
}

// TestUnexecutedAttemptsAreRetried checks that attempts that were not executed do not
// count against a run's maximum number of attempts, and that its service's retry budget
// limits them.
func TestUnexecutedAttemptsAreRetried(t *testing.T) {
	p := newPartsHarness(t, 6, nil)
	r := p.newRun(500, 300)
	r.MaxAttempts = 1
	s := p.submit(r)
	p.now = p.now.Add(30 * time.Millisecond)
	p.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: s.Attempt, Cause: medlarkind.CauseRetry, Reason: medlarreason.Busy})
	p.now = p.now.Add(30 * time.Millisecond)
	s2 := startOf(p.tick(medlarworld.Tick{}))
	if s2 == nil || s2.Upstream == s.Upstream {
		t.Fatalf("second attempt %v after %v", s2, s)
	}
	cs := p.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: s2.Attempt, Cause: medlarkind.CauseRetry, Reason: medlarreason.Truncated, Reached: true})
	if !slices.ContainsFunc(cs, func(c medlarworld.Command) bool { _, ok := c.(medlarworld.Refuse); return ok }) {
		t.Errorf("an attempt that may have run is retried beyond the maximum: %v", cs)
	}
}

// TestUnusableReplicasAreEjectedImmediately checks replicas that cannot be connected
// to, and replicas that crashed and whose address now belongs to another one: instance
// lists still name them for seconds.
func TestUnusableReplicasAreEjectedImmediately(t *testing.T) {
	for _, reason := range []medlarreason.Reason{medlarreason.Unreachable, medlarreason.Misdirected} {
		t.Run(string(reason), func(t *testing.T) {
			p := newPartsHarness(t, 6, nil)
			r := p.newRun(500, 300)
			s := p.submit(r)
			p.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: s.Attempt, Cause: medlarkind.CauseRetry, Reason: reason})
			if u := p.core.World().Upstreams[s.Upstream]; u.Usable(p.now) {
				t.Error("the replica is still usable")
			}
		})
	}
}

// TestSaveTarget checks which store parts are saved to (R3 of medlarplacement): where there
// are many fetches, transfers between zones and long setups slow them down.
func TestSaveTarget(t *testing.T) {
	const setup = 6 * time.Millisecond
	store := func(id medlarid.InstanceID, zone medlarid.Zone, setup time.Duration) medlarupstream.Member {
		return medlarupstream.Member{
			ID: id, Kind: "store", Zone: zone, Address: medlarid.Address(id), Capacity: 100000, Rate: 1e8, Setup: setup,
		}
	}
	all := []medlarupstream.Member{
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
		{"a large part tolerates a long setup", 20000, nil, "long-b"},
		{"a small part does not", 2000, nil, "quick-b"},
		{"the zone of the home replica takes precedence over the setup", 20000, []medlarid.InstanceID{"long-b"}, "quick-b"},
		{"another zone if there is no room", 20000, []medlarid.InstanceID{"long-b", "quick-b"}, "long-a"},
		{"a small part prefers a short setup over the zone", 2000, []medlarid.InstanceID{"quick-b"}, "quick-a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, 1, nil)
			engine := engineMember(0, "1")
			engine.Zone = "b"
			p.tick(medlarworld.InstancesListed{Members: append(slices.Clone(all), engine)})
			p.now = p.now.Add(5 * time.Second)
			for _, m := range all {
				p.reportStock(m.ID, 1, true)
			}
			p.now = p.now.Add(5 * time.Second)
			for _, m := range all {
				if slices.Contains(tc.full, m.ID) {
					p.reportStock(m.ID, 1, false, full(12)...)
					continue
				}
				p.reportStock(m.ID, 1, false)
			}
			s := p.submit(p.newRun(tc.size, 300))
			if s == nil || s.Save[0] != tc.want {
				t.Errorf("saved to %v, want %s", s, tc.want)
			}
		})
	}
}

// TestFetchAcrossZonesCostsMore checks that, among replicas that cache nothing, the one in
// the zone of the store is chosen.
func TestFetchAcrossZonesCostsMore(t *testing.T) {
	zones := []medlarid.Zone{"b", "c", "d"}
	for i, zone := range zones {
		t.Run(string(zone), func(t *testing.T) {
			p := newPartsHarness(t, 1, nil)
			var members []medlarupstream.Member
			for i, z := range zones {
				m := engineMember(i, "1")
				m.Zone = z
				members = append(members, m)
			}
			members = append(members, medlarupstream.Member{ID: "slow", Kind: "store", Zone: zone, Address: "at-slow", Capacity: 100000, Rate: 5e6})
			p.tick(medlarworld.InstancesListed{Members: members})
			r := p.newRun(8000, 300)
			p.reportStock("slow", 1, true, r.Keys[0])
			if s := p.submit(r); s == nil || s.Upstream != engineMember(i, "1").ID {
				t.Errorf("started as %+v, want at replica %d", s, i)
			}
		})
	}
}

// TestLateAnswerConfirmsNoVersion guards against a fetch of parts that are being freed, by an instance that takes an answer which it
// reads late, as it was held up or the instance stood still, for the version that the replica runs then.
func TestLateAnswerConfirmsNoVersion(t *testing.T) {
	for _, tc := range []struct {
		name string
		late time.Duration // from the attempt to its answer
		want string
	}{
		{"at once", 100 * time.Millisecond, "ffo"},
		{"late", medlarplacement.ConfirmationTTL, "cco"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, 1, nil)
			other, r := p.newRun(700), p.newRun(500, 8000, 300)
			p.now = p.now.Add(2 * medlarplacement.MaxListAge)
			s := p.submit(other)
			p.setVersion("2")
			p.now = p.now.Add(tc.late)
			p.tick(medlarworld.AnswerBegan{Run: other.ID, Attempt: s.Attempt, After: tc.late, Version: s.Version})
			p.tick(medlarworld.AttemptEnded{Run: other.ID, Attempt: s.Attempt, Cause: medlarkind.CauseDone, Reached: true})
			p.tick(medlarworld.RecordsCurrent{At: p.now.Add(-2 * medlarplacement.DesiredVersionTTL)}) // the instance reads no records
			p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
			assertParts(t, p.submit(r), tc.want)
		})
	}
}

// TestFetchNeedsKnownReplicas guards against a fetch of parts that are being freed, by an instance that counts answers of replicas
// which those that free them do not know: it has not read the list for long, or they have just joined.
func TestFetchNeedsKnownReplicas(t *testing.T) {
	const replicas = 20
	for _, tc := range []struct {
		name      string
		list, new time.Duration // ages of the list and of the replicas
		want      string
	}{
		{"known", time.Second, 5 * time.Second, "ffo"},
		{"list is old", medlarplacement.ListTTL + time.Millisecond, time.Minute, "cco"},
		{"list is not too old", medlarplacement.ListTTL, time.Minute, "ffo"},
		{"replicas have just joined", 0, medlarplacement.UnseenTime, "cco"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, replicas, func(cfg *medlarworld.Config) { cfg.MaxHolders = 0 })
			r := p.newRun(500, 8000, 300)
			p.tick(medlarworld.RecordsCurrent{At: p.now})
			p.setVersion("2")
			p.now = p.now.Add(3 * time.Second)
			p.tick(medlarworld.RecordsCurrent{At: p.now}, medlarworld.ReplicasCurrent{At: p.now.Add(-tc.list)})
			p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
			for _, u := range p.core.World().Engines[partsModel] {
				u.ConfirmedAt, u.ListedAt = p.now, p.now.Add(-tc.new)
			}
			assertParts(t, p.submit(r), tc.want)
		})
	}
}

// TestReplacementReadLateEndsFetches guards against a fetch of parts that are being freed, by an instance that was cut off while
// their weights were replaced and takes the time at which it reads so for that of the change (MIXED).
func TestReplacementReadLateEndsFetches(t *testing.T) {
	const grace = 5 * time.Second
	for _, tc := range []struct {
		name     string
		cut      time.Duration
		settling time.Duration // that older versions are left after the cut
		want     string
	}{
		{"not cut off", 500 * time.Millisecond, grace - 500*time.Millisecond, "ffo"},
		{"cut off, a short time left", 20 * time.Second, 2 * time.Second, "cco"},
		{"cut off, nearly all of the time left", 20 * time.Second, grace - 500*time.Millisecond, "cco"},
		{"cut off, all of the time left", 20 * time.Second, grace, "cco"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, 1, func(cfg *medlarworld.Config) { cfg.OldVersionGrace, cfg.SettlingTime = grace, tc.settling })
			p.tick(medlarworld.RecordsCurrent{At: p.now})
			p.now = p.now.Add(tc.cut)
			r := p.newRun(500, 8000, 300)
			p.setVersion("2")
			p.tick(medlarworld.RecordsCurrent{At: p.now})
			p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
			assertParts(t, p.submit(r), tc.want)
		})
	}
}

// TestFetchCountsReplicasThatHaveJustLeft guards against a fetch of parts that are being freed, by an instance that knows
// before the one that frees them that replicas have left, and asks for a share of those that stay (MIXED).
func TestFetchCountsReplicasThatHaveJustLeft(t *testing.T) {
	const replicas, older, left = 12, 2, 3
	for _, tc := range []struct {
		name string
		ago  time.Duration
		want string
	}{
		{"just now", 100 * time.Millisecond, "cco"},
		{"as long ago as another instance may not know", medlarplacement.UnseenTime - time.Millisecond, "cco"},
		{"longer ago", medlarplacement.UnseenTime, "ffo"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, replicas, func(cfg *medlarworld.Config) { cfg.MaxHolders, cfg.OldVersionGrace = 0, time.Minute })
			p.setVersion("2")
			p.now = p.now.Add(3 * time.Second)
			members := []medlarupstream.Member{{ID: "near", Kind: "store", Address: "at-near", Capacity: 100000, Rate: 1e9}}
			for i := range replicas - left {
				members = append(members, engineMember(i, "1"))
			}
			p.tick(medlarworld.InstancesListed{Members: members})
			p.now = p.now.Add(tc.ago)
			r := p.newRun(500, 8000, 300)
			p.tick(medlarworld.RecordsCurrent{At: p.now}, medlarworld.ReplicasCurrent{At: p.now})
			p.reportStock("near", 1, true, r.Keys[0], r.Keys[1])
			for _, u := range p.core.World().Engines[partsModel][:older] {
				u.ConfirmedAt = p.now
			}
			assertParts(t, p.submit(r), tc.want)
		})
	}
}

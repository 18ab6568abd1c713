package medlardesired

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarhistory"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Times of the harness.
const (
	grace    = 5 * time.Second
	settling = 2 * time.Second
	interval = 500 * time.Millisecond // between two reads of the operators' records
)

const model medlarid.ModelID = "m"

// harness drives the system alone.
type harness struct {
	t     *testing.T
	world *medlarworld.World
}

// newHarness returns an instance that has just started and has read nothing.
func newHarness(t *testing.T) *harness {
	w := medlarworld.New(medlarworld.Config{OldVersionGrace: grace, SettlingTime: settling, VersionsIncrease: true})
	w.Now = time.Unix(1000, 0)
	return &harness{t: t, world: w}
}

// read reads the operators' records, which name a version.
func (h *harness) read(v medlarid.WeightVersion) {
	h.run(medlarworld.ListsApplied{Version: h.world.Version + 1, Models: []medlarworld.Model{{ID: model, Version: v}}}, medlarworld.RecordsCurrent{At: h.world.Now})
}

// follow reads the operators' records for a time, in which they name a version.
func (h *harness) follow(d time.Duration, v medlarid.WeightVersion) {
	for range d / interval {
		h.read(v)
		h.world.Now = h.world.Now.Add(interval)
	}
}

// tell passes what another instance tells of a change.
func (h *harness) tell(v medlarid.WeightVersion, age time.Duration) {
	h.run(medlarworld.PeerLoadReported{Peer: "other", Changes: []medlarhistory.ChangeAge{{Model: model, Version: v, Age: age}}})
}

func (h *harness) run(events ...medlarworld.Event) {
	h.world.Events = events
	New().Run(h.world)
}

// wait lets time pass in which the instance reads nothing.
func (h *harness) wait(d time.Duration) { h.world.Now = h.world.Now.Add(d) }

// assertLeft checks for how long a version still serves; 0 or less if no longer.
func (h *harness) assertLeft(v medlarid.WeightVersion, want time.Duration) {
	h.t.Helper()
	at, ok := h.world.Models[model].Versions.ReplacedAt(v)
	if got := at.Add(grace).Sub(h.world.Now); !ok || got != want {
		h.t.Errorf("version %s serves for %v more (replaced: %v), want %v", v, got, ok, want)
	}
}

// TestOlderVersionsEndAlike guards against an instance that reads late that weights are replaced, as it has started or was cut
// off, and lets older ones serve for longer than the others.
func TestOlderVersionsEndAlike(t *testing.T) {
	t.Run("read while the records are followed", func(t *testing.T) {
		h := newHarness(t)
		h.follow(10*interval, "1")
		h.read("2")
		h.assertLeft("1", grace)
		h.follow(4*interval, "2")
		h.assertLeft("1", grace-4*interval)
	})
	t.Run("read at the start", func(t *testing.T) {
		h := newHarness(t)
		h.read("2")
		h.assertLeft("1", settling)
		h.tell("2", 4*time.Second)
		h.assertLeft("1", grace-4*time.Second)
	})
	t.Run("made just before the start", func(t *testing.T) {
		h := newHarness(t)
		h.read("2")
		h.tell("2", time.Second)
		h.assertLeft("1", grace-time.Second)
	})
	t.Run("read after an outage", func(t *testing.T) {
		h := newHarness(t)
		h.follow(10*interval, "1")
		h.wait(2 * time.Second)
		h.read("2")
		h.assertLeft("1", grace-2*time.Second-interval)
	})
	t.Run("read after a long outage", func(t *testing.T) {
		h := newHarness(t)
		h.follow(10*interval, "1")
		h.wait(time.Minute)
		h.read("2")
		h.assertLeft("1", settling)
	})
	t.Run("others read it earlier", func(t *testing.T) {
		h := newHarness(t)
		h.follow(10*interval, "1")
		h.read("2")
		h.tell("2", 3*time.Second)
		h.tell("2", time.Second)
		h.assertLeft("1", grace-3*time.Second)
	})
	t.Run("a version between was not read", func(t *testing.T) {
		h := newHarness(t)
		h.read("3")
		h.tell("2", 4*time.Second)
		h.tell("3", time.Second)
		h.assertLeft("1", grace-4*time.Second)
		h.assertLeft("2", grace-time.Second)
	})
	t.Run("a version that is not read yet", func(t *testing.T) {
		h := newHarness(t)
		h.follow(10*interval, "1")
		h.tell("2", time.Hour)
		h.read("2")
		h.assertLeft("1", grace)
	})
	t.Run("odd ages", func(t *testing.T) {
		h := newHarness(t)
		h.follow(10*interval, "1")
		h.read("2")
		h.tell("2", -time.Second)
		h.tell("2", maxAge+1)
		h.tell("x", time.Second)
		h.assertLeft("1", grace)
	})
}

// TestAges guards against estimates that others take for times, and against changes that are told for no replica.
func TestAges(t *testing.T) {
	list := func(h *harness, versions ...medlarid.WeightVersion) {
		h.world.Engines[model] = nil
		for _, v := range versions {
			h.world.Engines[model] = append(h.world.Engines[model], &medlarupstream.Upstream{Model: model, Version: v})
		}
	}
	assertAges := func(h *harness, want ...medlarhistory.ChangeAge) {
		h.t.Helper()
		if d := cmp.Diff(want, Ages(h.world), cmpopts.EquateEmpty()); d != "" {
			h.t.Errorf("ages:\n%s", d)
		}
	}
	t.Run("estimate", func(t *testing.T) {
		h := newHarness(t)
		h.read("2")
		list(h, "1")
		assertAges(h)
		h.tell("2", time.Second)
		assertAges(h, medlarhistory.ChangeAge{Model: model, Version: "2", Age: time.Second})
	})
	t.Run("replicas of several versions", func(t *testing.T) {
		h := newHarness(t)
		h.follow(10*interval, "1")
		h.follow(interval, "2")
		h.follow(interval, "3")
		list(h, "3", "3")
		assertAges(h)
		list(h, "3", "1", "1", "2")
		assertAges(h, medlarhistory.ChangeAge{Model: model, Version: "2", Age: 2 * interval}, medlarhistory.ChangeAge{Model: model, Version: "3", Age: interval})
	})
}

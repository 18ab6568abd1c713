package medlarpeerload

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarload"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// harness drives the system alone.
type harness struct {
	t      *testing.T
	world  *medlarworld.World
	system *System
}

func newHarness(t *testing.T, upstreams ...medlarid.InstanceID) *harness {
	h := &harness{t: t, world: medlarworld.New(medlarworld.Config{Self: "self", TellLoad: true}), system: New()}
	h.world.Now = time.Unix(1000, 0)
	h.list(upstreams...)
	return h
}

func (h *harness) list(upstreams ...medlarid.InstanceID) {
	clear(h.world.Upstreams)
	for _, id := range upstreams {
		h.world.Upstreams[id] = &medlarupstream.Upstream{ID: id}
	}
	h.run(medlarworld.InstancesListed{})
}

func (h *harness) run(events ...medlarworld.Event) []medlarworld.Command {
	h.world.Events, h.world.Commands = events, nil
	h.system.Run(h.world)
	return h.world.Commands
}

func (h *harness) report(peer medlarid.InstanceID, loads ...medlarload.Load) {
	h.run(medlarworld.PeerLoadReported{Peer: peer, Loads: loads})
}

func load(id medlarid.InstanceID, open int, pending medlarid.Tokens) medlarload.Load {
	return medlarload.Load{Upstream: medlarid.HashOf(id), Open: open, Pending: pending}
}

func (h *harness) assert(id medlarid.InstanceID, open int, pending medlarid.Tokens) {
	h.t.Helper()
	if u := h.world.Upstreams[id]; u.PeerOpen != open || u.PeerPending != pending {
		h.t.Errorf("%s has %d attempts of others and %d tokens, want %d and %d", id, u.PeerOpen, u.PeerPending, open, pending)
	}
}

// TestReports guards against load that is counted twice, kept for too long, or lost when the upstreams are listed.
func TestReports(t *testing.T) {
	t.Run("reports of several peers add up", func(t *testing.T) {
		h := newHarness(t, "a", "b")
		h.report("p", load("a", 3, 1000), load("b", 1, 0))
		h.report("q", load("a", 2, 500))
		h.assert("a", 5, 1500)
		h.assert("b", 1, 0)
	})
	t.Run("a report replaces the earlier one", func(t *testing.T) {
		h := newHarness(t, "a", "b")
		h.report("p", load("a", 3, 1000))
		h.report("p", load("b", 2, 100))
		h.assert("a", 0, 0)
		h.assert("b", 2, 100)
	})
	t.Run("a report expires", func(t *testing.T) {
		h := newHarness(t, "a")
		h.report("p", load("a", 3, 1000))
		h.world.Now = h.world.Now.Add(reportTTL)
		h.run()
		h.assert("a", 3, 1000)
		h.world.Now = h.world.Now.Add(tellInterval + time.Millisecond)
		h.run()
		h.assert("a", 0, 0)
	})
	t.Run("upstreams that are listed later", func(t *testing.T) {
		h := newHarness(t, "a")
		h.report("p", load("a", 3, 1000), load("b", 2, 10))
		h.list("a", "b")
		h.assert("a", 3, 1000)
		h.assert("b", 2, 10)
		h.list("b")
		h.report("p")
		h.assert("b", 0, 0)
	})
	t.Run("its own report says nothing new", func(t *testing.T) {
		h := newHarness(t, "a")
		h.report("self", load("a", 3, 1000))
		h.assert("a", 0, 0)
	})
	t.Run("the number of peers is bounded", func(t *testing.T) {
		h := newHarness(t, "a")
		for i := range maxPeers + 50 {
			h.report(medlarid.InstanceID(fmt.Sprint("p", i)), load("a", 1, 0))
		}
		h.assert("a", maxPeers, 0)
	})
}

// TestSums guards against sums that are counted twice, kept for too long, or lost when the upstreams are listed.
func TestSums(t *testing.T) {
	sum := func(h *harness, ranges, index int, age time.Duration, loads ...medlarload.Load) {
		h.run(medlarworld.PeerSumReported{Ranges: ranges, Range: index, Age: age, Loads: loads})
	}
	t.Run("ranges add up, and a sum replaces the earlier one of its range", func(t *testing.T) {
		h := newHarness(t, "a", "b")
		sum(h, 2, 0, 0, load("a", 40, 1000))
		sum(h, 2, 1, 0, load("b", 30, 64))
		h.assert("a", 40, 1000)
		sum(h, 2, 0, 0, load("a", 5, 10))
		h.assert("a", 5, 10)
		h.assert("b", 30, 64)
		h.list("b")
		h.assert("b", 30, 64)
	})
	t.Run("a plain service counts only its peers' reports", func(t *testing.T) {
		h := newHarness(t, "a")
		h.world.Upstreams["a"].Kind = medlarkind.KindService
		sum(h, 1, 0, 0, load("a", 40, 0))
		h.assert("a", 0, 0)
		h.report("p", load("a", 3, 0))
		h.assert("a", 3, 0)
	})
	t.Run("another number of ranges", func(t *testing.T) {
		h := newHarness(t, "a", "b")
		sum(h, 2, 0, 0, load("a", 40, 1000))
		sum(h, 2, 1, 0, load("b", 30, 64))
		sum(h, 1, 0, 0, load("a", 7, 0))
		h.assert("a", 7, 0)
		h.assert("b", 0, 0)
	})
	t.Run("a sum expires by the age of its oldest report", func(t *testing.T) {
		h := newHarness(t, "a")
		sum(h, 1, 0, 300*time.Millisecond, load("a", 3, 1000))
		h.world.Now = h.world.Now.Add(300 * time.Millisecond)
		h.run()
		h.assert("a", 3, 1000)
		h.world.Now = h.world.Now.Add(tellInterval + time.Millisecond)
		h.run()
		h.assert("a", 0, 0)
	})
	t.Run("reports of single peers count beside", func(t *testing.T) {
		h := newHarness(t, "a")
		sum(h, 1, 0, 0, load("a", 3, 1000))
		h.report("p", load("a", 2, 10))
		h.assert("a", 5, 1010)
	})
}

// TestTold guards against reports without need, and against load of this instance that others go on to count.
func TestTold(t *testing.T) {
	told := func(cs []medlarworld.Command) (out []medlarworld.TellLoad) {
		for _, c := range cs {
			out = append(out, c.(medlarworld.TellLoad))
		}
		return out
	}
	assertTold := func(t *testing.T, got []medlarworld.Command, want ...medlarworld.TellLoad) {
		t.Helper()
		if d := cmp.Diff(want, told(got)); d != "" {
			t.Errorf("told:\n%s", d)
		}
	}
	h := newHarness(t, "a", "b")
	assertTold(t, h.run())
	h.world.Now = h.world.Now.Add(tellInterval)
	h.world.Upstreams["a"].Open = 2
	assertTold(t, h.run(), medlarworld.TellLoad{Loads: []medlarload.Load{load("a", 2, 0)}, Upstreams: 2})
	assertTold(t, h.run()) // not due yet
	h.world.Now = h.world.Now.Add(tellInterval)
	h.world.Upstreams["a"].Open = 0
	assertTold(t, h.run(), medlarworld.TellLoad{Upstreams: 2})
	h.world.Now = h.world.Now.Add(tellInterval)
	assertTold(t, h.run())

	var ids []medlarid.InstanceID
	for i := range maxLoads + 30 {
		ids = append(ids, medlarid.InstanceID(fmt.Sprint("u", i)))
	}
	h.list(ids...)
	for i, id := range ids {
		h.world.Upstreams[id].Open = 1 + i
	}
	h.world.Now = h.world.Now.Add(tellInterval)
	got := told(h.run())[0].Loads
	if len(got) != maxLoads || got[0] != load(ids[len(ids)-1], len(ids), 0) {
		t.Errorf("%d loads, the first %+v; want %d, the largest first", len(got), got[0], maxLoads)
	}
}

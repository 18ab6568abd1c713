package medlarcore

import (
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
)

// newZonesHarness returns a harness with an engine in each of two availability zones.
func newZonesHarness(t *testing.T) *harness {
	h := newHarness(t, 2, 1, nil)
	l := h.instanceList(2, "")
	l.Members[0].Zone, l.Members[1].Zone = "a", "b"
	h.tick(l)
	return h
}

func (h *harness) evacuate(zones ...medlarid.Zone) []medlarworld.Command {
	return h.tick(medlarworld.ZonesEvacuated{Zones: zones})
}

// TestEvacuatedZoneGetsNoAttempts guards against first attempts and retries at replicas of an evacuated availability zone
// (R11 of medlarfleet).
func TestEvacuatedZoneGetsNoAttempts(t *testing.T) {
	t.Run("first attempts", func(t *testing.T) {
		for range 20 {
			h := newZonesHarness(t)
			h.evacuate("a")
			h.submit(h.newRun("x"), medlarworld.Limits{})
			if s := h.started(); len(s) != 1 || s[0].Upstream != engineName(1) {
				t.Fatalf("started %+v, want one at %s", s, engineName(1))
			}
		}
	})
	t.Run("retries", func(t *testing.T) {
		h := newZonesHarness(t)
		h.submit(h.newRun("x"), medlarworld.Limits{})
		first := h.started()[0]
		other := map[medlarid.InstanceID]medlarid.Zone{engineName(0): "b", engineName(1): "a"}[first.Upstream]
		h.evacuate(other)
		h.tick(medlarworld.AttemptEnded{Run: first.Run, Attempt: 1, Cause: medlarkind.CauseRetry, Reason: medlarreason.Busy})
		for range 100 {
			for _, s := range h.advance(10 * time.Millisecond) {
				if s, ok := s.(medlarworld.StartAttempt); ok && s.Upstream != first.Upstream {
					t.Fatalf("started at %s, which is evacuated", s.Upstream)
				}
			}
		}
	})
	t.Run("replicas that are listed later", func(t *testing.T) {
		h := newHarness(t, 0, 1, nil)
		h.evacuate("z")
		h.tick(h.instanceList(2, ""))
		h.submit(h.newRun("x"), medlarworld.Limits{})
		h.assertRefused(medlarreason.Evacuated, medlarreason.RanNo)
	})
	t.Run("withdrawn", func(t *testing.T) {
		h := newZonesHarness(t)
		h.evacuate("a", "b")
		h.evacuate()
		h.submit(h.newRun("x"), medlarworld.Limits{})
		h.assertStarted("r1")
	})
}

// TestAllZonesEvacuated guards against requests that wait until their deadline while all replicas of their target are in
// evacuated availability zones (R11 of medlaradmission).
func TestAllZonesEvacuated(t *testing.T) {
	t.Run("new request", func(t *testing.T) {
		h := newZonesHarness(t)
		h.evacuate("a", "b")
		h.submit(h.newRun("x"), medlarworld.Limits{})
		h.assertRefused(medlarreason.Evacuated, medlarreason.RanNo)
	})
	t.Run("waiting request", func(t *testing.T) {
		h := newZonesHarness(t)
		for range 8 {
			h.submit(h.newRun("x"), medlarworld.Limits{})
		}
		if len(h.core.World().Waiting) == 0 {
			t.Fatal("no request waits")
		}
		h.evacuate("a", "b")
		for _, r := range h.refused() {
			if r.Reason != medlarreason.Evacuated || r.Ran != medlarreason.RanNo {
				t.Errorf("refused %+v, want evacuated", r)
			}
		}
		if n := len(h.core.World().Waiting); n != 0 || len(h.refused()) == 0 {
			t.Errorf("%d requests wait, %d were refused; want none and some", n, len(h.refused()))
		}
	})
	t.Run("attempt in progress", func(t *testing.T) {
		h := newZonesHarness(t)
		h.submit(h.newRun("x"), medlarworld.Limits{})
		h.evacuate("a", "b")
		if len(h.commands) != 0 {
			t.Errorf("commands %+v, want none", h.commands)
		}
		h.tick(medlarworld.AttemptEnded{Run: "r1", Attempt: 1, Cause: medlarkind.CauseRetry, Reason: medlarreason.Unreachable})
		h.assertRefused(medlarreason.Evacuated, medlarreason.RanNo)
	})
	t.Run("other service", func(t *testing.T) {
		h := newZonesHarness(t)
		h.evacuate("a", "b")
		r := h.newRun("x")
		r.Model, r.Service = "", "s"
		h.submit(r, medlarworld.Limits{})
		h.assertStarted("r1")
	})
}

package medlarcore

import (
	"fmt"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// newColdHarness returns a harness of an instance that knows that it is the only one, and of upstreams of a service that
// have just started.
func newColdHarness(t *testing.T, upstreams int) *harness {
	h := newHarness(t, 0, 1, func(c *medlarworld.Config) {
		c.TellLoad, c.ColdOver, c.ColdSlack, c.MaxQueued = true, 1.5, 5, 1000
	})
	h.tick(medlarworld.NoticesRead{})
	h.now = h.now.Add(3 * time.Second)
	l := medlarworld.InstancesListed{}
	for i := range upstreams {
		l.Members = append(l.Members, medlarupstream.Member{
			ID: medlarid.InstanceID(fmt.Sprint("u", i)), Kind: "service", Zone: "z", Address: "1", Service: "s", Slots: 64,
			Incarnation: medlarid.Incarnation(h.now.UnixMilli()), ColdRate: 11, ColdTime: 3 * time.Second,
		})
	}
	h.tick(medlarworld.NoticesRead{}, l)
	return h
}

func (h *harness) newServiceRun(timeout time.Duration) *medlarworld.Run {
	r := h.newRun("x")
	r.Model, r.Version, r.Service, r.Deadline, r.MaxAttempts = "", "", "s", h.now.Add(timeout), 10
	return r
}

// TestRetriesAtColdReplicasCount guards against retries that a cold replica gets beside the requests that it may get.
func TestRetriesAtColdReplicasCount(t *testing.T) {
	h := newColdHarness(t, 1)
	started := []time.Time{}
	var ends []medlarworld.Event
	for range 300 {
		h.now = h.now.Add(10 * time.Millisecond)
		h.tick(append(ends, medlarworld.NoticesRead{}, medlarworld.Submitted{Run: h.newServiceRun(time.Minute)})...)
		ends = nil
		for _, s := range h.started() {
			started = append(started, h.now)
			ends = append(ends, medlarworld.AttemptEnded{Run: s.Run, Attempt: s.Attempt, Cause: medlarkind.CauseRetry, Reason: medlarreason.Busy})
		}
	}
	most := 0
	for i, at := range started {
		n := 0
		for _, earlier := range started[:i+1] {
			if at.Sub(earlier) <= time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	if len(started) < 12 || most > 11 {
		t.Errorf("%d attempts in 3 s, %d in a second at most; want 12 at least, and 11 at most", len(started), most)
	}
}

// TestRequestsOfColdReplicas guards against requests that wait past their deadline for replicas that are all cold, and
// against ones that are refused although a token comes soon.
func TestRequestsOfColdReplicas(t *testing.T) {
	t.Run("a token is there", func(t *testing.T) {
		h := newColdHarness(t, 1)
		h.submit(h.newServiceRun(time.Second), medlarworld.Limits{})
		h.assertStarted("r1")
	})
	t.Run("it waits for the next token", func(t *testing.T) {
		h := newColdHarness(t, 1)
		h.submit(h.newServiceRun(time.Second), medlarworld.Limits{})
		h.submit(h.newServiceRun(time.Second), medlarworld.Limits{})
		if len(h.started())+len(h.refused()) > 0 {
			t.Fatalf("commands %+v, want none", h.commands)
		}
		h.advance(200 * time.Millisecond)
		h.assertStarted("r2")
	})
	t.Run("it would wait past its deadline", func(t *testing.T) {
		h := newColdHarness(t, 1)
		for range 8 {
			h.submit(h.newServiceRun(time.Minute), medlarworld.Limits{})
		}
		h.submit(h.newServiceRun(500*time.Millisecond), medlarworld.Limits{})
		h.assertRefused(medlarreason.Deadline, medlarreason.RanNo)
	})
	t.Run("another replica has a token", func(t *testing.T) {
		h := newColdHarness(t, 2)
		h.submit(h.newServiceRun(time.Second), medlarworld.Limits{})
		h.submit(h.newServiceRun(time.Second), medlarworld.Limits{})
		h.assertStarted("r2")
	})
}

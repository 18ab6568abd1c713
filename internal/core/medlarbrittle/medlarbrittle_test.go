package medlarbrittle

import (
	"fmt"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// newWorld returns the world of one of several instances, with brittle upstreams.
func newWorld(self, instances, upstreams, slots, most int) *medlarworld.World {
	w := medlarworld.New(medlarworld.Config{Self: name(self)})
	w.Now = time.Unix(1000, 0)
	for i := range instances {
		if i != self {
			w.Others = append(w.Others, name(i))
		}
	}
	for i := range upstreams {
		id := medlarid.InstanceID(fmt.Sprint("u", i))
		u := &medlarupstream.Upstream{ID: id, Service: "s", Load: medlarupstream.Load{Slots: slots}}
		w.Upstreams[id] = u
		w.Services["s"] = append(w.Services["s"], u)
		w.Events = append(w.Events, medlarworld.UpstreamBrittle{Upstream: id, Most: most})
	}
	New().Run(w)
	return w
}

func name(i int) medlarid.InstanceID { return medlarid.InstanceID(fmt.Sprint("i", i)) }

// TestBrittleUpstreamsAreShared guards against more instances at a brittle upstream than it can turn away, against
// more requests than it has slots, and against instances that may use none.
func TestBrittleUpstreamsAreShared(t *testing.T) {
	for _, tc := range []struct{ instances, upstreams, slots, most int }{
		{1, 3, 6, 3}, {5, 3, 6, 3}, {5, 12, 64, 3}, {5, 12, 64, 1}, {38, 67, 16, 5}, {35, 66, 64, 10}, {3, 1, 1, 1},
	} {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			sharing, slots := map[medlarid.InstanceID]int{}, map[medlarid.InstanceID]int{}
			for i := range tc.instances {
				w, shares := newWorld(i, tc.instances, tc.upstreams, tc.slots, tc.most), false
				for id, u := range w.Upstreams {
					if u.Brittle.Part > 0 {
						sharing[id]++
						slots[id] += u.Brittle.Part
						shares = true
					}
				}
				if !shares {
					t.Errorf("instance %d may use no upstream", i)
				}
			}
			over := 0 // instances beyond those that share an upstream, which have no other one
			for id, n := range sharing {
				over += max(n-max(tc.most, 1), 0)
				if slots[id] > tc.slots+n {
					t.Errorf("%d requests at once for %d slots of %s", slots[id], tc.slots, id)
				}
			}
			if covered := tc.upstreams * max(tc.most*sharersPart/100, 1); over > 0 && covered >= 2*tc.instances {
				t.Errorf("%d instances more than upstreams can turn away: %v", over, sharing)
			}
		})
	}
}

// TestRefusedInstanceHoldsBack guards against an instance that sends a brittle upstream more although it was just
// turned away, and against one that never sends it more again.
func TestRefusedInstanceHoldsBack(t *testing.T) {
	w := newWorld(0, 1, 1, 16, 2)
	u := w.Upstreams["u0"]
	u.Brittle.Room, u.Open = 6, 3
	r := &medlarworld.Run{ID: "r", Service: "s", Attempt: 1, Upstream: u}
	w.Runs["r"] = r
	w.Events = []medlarworld.Event{medlarworld.AttemptEnded{Run: "r", Attempt: 1, Reason: medlarreason.Busy}}
	New().Run(w)
	w.Events, u.Open = nil, 0
	assertRoom := func(after time.Duration, open int, want bool) {
		t.Helper()
		u.Open = open
		w.Now = time.Unix(1000, 0).Add(after)
		if got := HasRoom(w, r, u); got != want {
			t.Errorf("%v after the refusal, with %d open: room %v, want %v", after, open, got, want)
		}
	}
	assertRoom(minPause-1, 0, false)
	assertRoom(minPause, 1, true)
	assertRoom(minPause, 2, false) // a third less than the three that it had
	assertRoom((1+growthPauses)*minPause-1, 2, false)
	assertRoom((1+growthPauses)*minPause, 2, true)
	w.Events = []medlarworld.Event{medlarworld.UpstreamBrittle{Upstream: "u0", Most: 0}}
	New().Run(w)
	assertRoom((1+growthPauses)*minPause, 100, true) // no longer brittle
}

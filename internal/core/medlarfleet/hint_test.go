package medlarfleet

import (
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// listed returns the list of one upstream in an incarnation.
func listed(n medlarid.Incarnation) medlarworld.InstancesListed {
	return medlarworld.InstancesListed{Members: []medlarupstream.Member{{ID: "u", Kind: memberService, Service: "s", Address: "at", Incarnation: n}}}
}

// TestUpstreamIsAvoidedAsItAsked asserts for how long an upstream gets no new work after what
// it said in a response (R2, R9).
func TestUpstreamIsAvoidedAsItAsked(t *testing.T) {
	const forGood = 1000 * time.Hour
	leaving := medlarworld.UpstreamLeaving{Upstream: "u", Incarnation: 1}
	pause := func(d time.Duration) medlarworld.UpstreamPaused {
		return medlarworld.UpstreamPaused{Upstream: "u", Incarnation: 1, For: d}
	}
	passed := func(d time.Duration) medlarworld.UpstreamPaused {
		return medlarworld.UpstreamPaused{Upstream: "u", Incarnation: 1, For: d, From: "other"}
	}
	removed, draining := medlarworld.InstancesListed{}, listed(1)
	draining.Members[0].Leaving = true
	for _, tc := range []struct {
		name    string
		events  []medlarworld.Event
		avoided time.Duration
	}{
		{"leaving", []medlarworld.Event{leaving}, forGood},
		{"leaving, then listed again", []medlarworld.Event{leaving, listed(1)}, forGood},
		{"leaving, then started again", []medlarworld.Event{leaving, listed(2)}, 0},
		{"leaving, said by an earlier start", []medlarworld.Event{listed(2), leaving}, 0},
		{"leaving, then removed and listed again", []medlarworld.Event{leaving, removed, listed(1)}, forGood},
		{"leaving, then removed and started again", []medlarworld.Event{leaving, removed, listed(2)}, 0},
		{"leaving, as the list says too, then removed and listed as ready", []medlarworld.Event{draining, leaving, removed, listed(1)}, forGood},
		{"leaving, then removed and listed again, starts are not told apart", []medlarworld.Event{listed(0), medlarworld.UpstreamLeaving{Upstream: "u"}, removed, listed(0)}, 0},
		{"pause, then removed and listed again", []medlarworld.Event{pause(2 * time.Second), removed, listed(1)}, 2 * time.Second},
		{"pause", []medlarworld.Event{pause(2 * time.Second)}, 2 * time.Second},
		{"pause, then listed again", []medlarworld.Event{pause(2 * time.Second), listed(1)}, 2 * time.Second},
		{"pause, then a shorter one", []medlarworld.Event{pause(2 * time.Second), pause(time.Second)}, 2 * time.Second},
		{"pause, then a longer one", []medlarworld.Event{pause(2 * time.Second), pause(3 * time.Second)}, 3 * time.Second},
		{"pause, then the same one, passed on by another instance", []medlarworld.Event{pause(2 * time.Second), passed(2*time.Second + 50*time.Millisecond)}, 2 * time.Second},
		{"pause, then a longer one, passed on", []medlarworld.Event{pause(2 * time.Second), passed(3 * time.Second)}, 3 * time.Second},
		{"pause, passed on", []medlarworld.Event{passed(2 * time.Second)}, 2 * time.Second},
		{"pause, then started again", []medlarworld.Event{pause(2 * time.Second), listed(2)}, 0},
		{"huge pause", []medlarworld.Event{pause(forGood)}, maxPause},
		{"unknown upstream", []medlarworld.Event{medlarworld.UpstreamLeaving{Upstream: "other"}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := medlarworld.New(medlarworld.Config{})
			w.Now = time.Unix(1000, 0)
			w.Events = append([]medlarworld.Event{listed(1)}, tc.events...)
			New().Run(w)
			u := w.Upstreams["u"]
			if tc.avoided > 0 && u.Usable(w.Now.Add(tc.avoided-1)) {
				t.Errorf("the upstream is used before %v", tc.avoided)
			}
			if tc.avoided < forGood && !u.Usable(w.Now.Add(tc.avoided)) {
				t.Errorf("the upstream is not used after %v", tc.avoided)
			}
		})
	}
}

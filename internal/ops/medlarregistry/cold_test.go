package medlarregistry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarpool"
)

// coldEntry applies an entry that states for how long the replica stays cold.
func coldEntry(born int, remaining time.Duration) func(*Registry) {
	return func(r *Registry) {
		value := fmt.Appendf(nil, `{"Service":"s","Address":"10.0.0.1:1","MaxBatchSize":4,"Phase":"ready","born":%d,"ColdRemainingMs":%d}`, born, remaining.Milliseconds())
		r.ApplyReplicaEntries([]medlarfeed.Record{{Key: "r", Value: value}}, false)
	}
}

// TestColdTimeOfEntries guards against a replica that states that it is cold, and gets requests as if it were not.
func TestColdTimeOfEntries(t *testing.T) {
	const second = time.Second
	pause := func(*Registry) { time.Sleep(second) }
	for _, tc := range []struct {
		name  string
		steps []func(*Registry)
		want  time.Duration // from the start of the test until the replica is no longer cold
		posts int
	}{
		{"warm", []func(*Registry){coldEntry(7, 0)}, 0, 1},
		{"cold", []func(*Registry){coldEntry(7, 3*second)}, 3 * second, 1},
		{"heartbeats of a cold replica", []func(*Registry){coldEntry(7, 3*second), pause, coldEntry(7, 2*second), pause, coldEntry(7, second)}, 3 * second, 1},
		{"cold again", []func(*Registry){coldEntry(7, 0), pause, coldEntry(7, 3*second)}, 4 * second, 2},
		{"cold for longer", []func(*Registry){coldEntry(7, 3*second), pause, coldEntry(7, 3*second)}, 4 * second, 2},
		{"warm early", []func(*Registry){coldEntry(7, 3*second), pause, coldEntry(7, 0)}, 0, 2},
		{"started again, warm", []func(*Registry){coldEntry(7, 3*second), coldEntry(8, 0)}, 0, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin, posts := time.Now(), 0
				var last medlarupstream.Member
				r := New(zerolog.Nop(), medlarpool.NewDirect(), func(e medlarworld.Event) {
					if e, ok := e.(medlarworld.InstancesListed); ok {
						last = e.Members[0]
						posts++
					}
				}, ignoreMalformed)
				for _, step := range tc.steps {
					step(r)
				}
				want := begin.Add(tc.want)
				if tc.want == 0 {
					want = time.Time{}
				}
				if !last.ColdUntil.Equal(want) {
					t.Errorf("cold until %v, want %v", last.ColdUntil, want)
				}
				if posts != tc.posts {
					t.Errorf("posted %d times, want %d", posts, tc.posts)
				}
			})
		})
	}
}

// TestColdRateOfService guards against replicas whose cold rate the core does not know.
func TestColdRateOfService(t *testing.T) {
	var last medlarupstream.Member
	r := New(zerolog.Nop(), medlarpool.NewDirect(), func(e medlarworld.Event) {
		if e, ok := e.(medlarworld.InstancesListed); ok {
			last = e.Members[0]
		}
	}, ignoreMalformed)
	coldEntry(7, 0)(r)
	config := `{"Version":1,"Services":[{"Name":"s","ColdPerS":11,"ColdStartS":3}]}`
	r.ApplyOperatorRecords([]medlarfeed.Record{{Key: "config", Value: []byte(config)}}, false)
	if last.ColdRate != 11 || last.ColdTime != 3*time.Second {
		t.Errorf("cold rate %g for %v, want 11 for 3s", last.ColdRate, last.ColdTime)
	}
}

// TestFreshReplicas guards against replicas that count as having run for long although they have just started, as their
// clocks differ, and against old ones that count as new to an instance that reads them first, or again after an outage.
func TestFreshReplicas(t *testing.T) {
	entry := func(born int, first bool) func(*Registry) {
		return func(r *Registry) {
			value := fmt.Appendf(nil, `{"Service":"s","Address":"10.0.0.1:1","MaxBatchSize":4,"Phase":"ready","born":%d,"Models":[{"Name":"m","Version":1}]}`, born)
			r.ApplyReplicaEntries([]medlarfeed.Record{{Key: "r", Value: value}}, first)
		}
	}
	remove := func(r *Registry) {
		r.ApplyReplicaEntries([]medlarfeed.Record{{Key: "r", Removed: true}}, false)
	}
	reported := func(r *Registry) { r.ObserveVersion("r", "2") }
	for _, tc := range []struct {
		name  string
		steps []func(*Registry)
		want  bool
	}{
		{"first read", []func(*Registry){entry(7, true)}, false},
		{"heartbeat after the first read", []func(*Registry){entry(7, true), entry(7, false)}, false},
		{"listed later", []func(*Registry){entry(7, false)}, true},
		{"with changes since", []func(*Registry){entry(7, false), reported, entry(7, false)}, true},
		{"started again", []func(*Registry){entry(7, true), entry(8, false)}, true},
		{"back after its entry was removed", []func(*Registry){entry(7, true), remove, entry(7, false)}, false},
		{"started again after its entry was removed", []func(*Registry){entry(7, true), remove, entry(8, false)}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := false
			r := New(zerolog.Nop(), medlarpool.NewDirect(), func(e medlarworld.Event) {
				if e, ok := e.(medlarworld.InstancesListed); ok && len(e.Members) > 0 {
					got = e.Members[0].Fresh
				}
			}, ignoreMalformed)
			for _, step := range tc.steps {
				step(r)
			}
			if got != tc.want {
				t.Errorf("fresh %v, want %v", got, tc.want)
			}
		})
	}
}

package medlardialer

import (
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
)

// TestPauseOutlastsEntry guards against a relay that opens connections for others to a replica which has asked for a pause,
// once its entry has been gone for a moment.
func TestPauseOutlastsEntry(t *testing.T) {
	for _, listed := range []bool{true, false} { // when the replica asks
		d := New(Deps{Self: "a"})
		entries := map[medlarid.InstanceID]Replica{"r": {Incarnation: 3}, "other": {Incarnation: 1}}
		d.Connect(func(id medlarid.InstanceID) (Replica, bool) {
			r, ok := entries[id]
			return r, ok && (id != "r" || listed)
		}, func(medlarworld.Event) {}, nil)
		d.Avoid(medlarworld.Avoided{Upstream: "r", Incarnation: 3, For: time.Minute, Until: time.Now().Add(time.Minute)})
		listed = false
		d.Avoid(medlarworld.Avoided{Upstream: "other", Incarnation: 1, For: time.Minute, Until: time.Now().Add(time.Minute)})
		listed = true
		if !d.avoids("r", 3) || !d.Paused("r", 3) {
			t.Error("the pause is forgotten")
		}
		if d.Paused("r", 4) {
			t.Error("the pause of an earlier start holds")
		}
	}
}

// TestPausesOutOfTurn guards against a pause that ends early since the word of a shorter one is taken later.
func TestPausesOutOfTurn(t *testing.T) {
	d := New(Deps{Self: "a"})
	d.Connect(func(medlarid.InstanceID) (Replica, bool) { return Replica{Incarnation: 3}, true }, func(medlarworld.Event) {}, nil)
	for _, pause := range []time.Duration{time.Minute, time.Millisecond} {
		d.Avoid(medlarworld.Avoided{Upstream: "r", Incarnation: 3, For: pause, Until: time.Now().Add(pause)})
	}
	time.Sleep(5 * time.Millisecond)
	if !d.Paused("r", 3) {
		t.Error("the longer pause is forgotten")
	}
}

// TestPauseEndsWithThatOfTheCore guards against requests that are given up for a pause which the core has seen end, since its
// word was taken late.
func TestPauseEndsWithThatOfTheCore(t *testing.T) {
	d := New(Deps{Self: "a"})
	d.Connect(func(medlarid.InstanceID) (Replica, bool) { return Replica{Incarnation: 3}, true }, func(medlarworld.Event) {}, nil)
	d.Avoid(medlarworld.Avoided{Upstream: "r", Incarnation: 3, For: time.Second, Until: time.Now()})
	if d.Paused("r", 3) {
		t.Error("the pause goes on")
	}
}

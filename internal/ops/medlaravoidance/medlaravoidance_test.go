package medlaravoidance

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
		table := New(func(id medlarid.InstanceID) bool { return id != "r" || listed })
		table.Add(medlarworld.Avoided{Upstream: "r", Incarnation: 3, For: time.Minute, Until: time.Now().Add(time.Minute)})
		listed = false
		table.Add(medlarworld.Avoided{Upstream: "other", Incarnation: 1, For: time.Minute, Until: time.Now().Add(time.Minute)})
		listed = true
		if !table.Avoids("r", 3) || !table.Paused("r", 3) {
			t.Error("the pause is forgotten")
		}
		if table.Paused("r", 4) {
			t.Error("the pause of an earlier start holds")
		}
	}
}

// TestStatementsOutOfOrder guards against a pause that ends early since an earlier statement, or one of an earlier start, is
// recorded later.
func TestStatementsOutOfOrder(t *testing.T) {
	for _, late := range []medlarworld.Avoided{
		{Upstream: "r", Incarnation: 3, For: time.Millisecond, Until: time.Now()},
		{Upstream: "r", Incarnation: 2, For: time.Millisecond, Until: time.Now()},
	} {
		table := New(func(medlarid.InstanceID) bool { return true })
		table.Add(medlarworld.Avoided{Upstream: "r", Incarnation: 3, For: time.Minute, Until: time.Now().Add(time.Minute)})
		table.Add(late)
		if !table.Paused("r", 3) {
			t.Errorf("the pause ends with %+v", late)
		}
	}
}

// TestPauseEndsWithThatOfTheCore guards against requests that are given up for a pause which the core has seen end.
func TestPauseEndsWithThatOfTheCore(t *testing.T) {
	table := New(func(medlarid.InstanceID) bool { return true })
	table.Add(medlarworld.Avoided{Upstream: "r", Incarnation: 3, For: time.Second, Until: time.Now()})
	if table.Paused("r", 3) {
		t.Error("the pause goes on")
	}
}

package medlarheadroom

import (
	"fmt"
	"testing"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// TestFits guards against prompts that take the room which a replica keeps for urgent ones, against replicas that are left
// idle, and against small fleets that are served otherwise than before.
func TestFits(t *testing.T) {
	const capacity, mean = 10000, 1000
	for _, tc := range []struct {
		name      string
		instances int
		own       medlarid.Tokens // of own prompts in flight
		peers     int             // attempts of others
		pending   float64         // seconds
		priority  medlarid.Priority
		tokens    medlarid.Tokens
		want      bool
	}{
		{"room for any", 17, 1000, 5, 0, -1, 1500, true},
		{"one more than the others' share", 17, 1000, 5, 0, -1, 1501, false},
		{"an urgent one takes the rest", 17, 1000, 5, 0, 0, 3500, true},
		{"one more than the urgent share", 17, 1000, 5, 0, 0, 3501, false},
		{"much is still to be computed", 17, 1000, 0, maxWait, -1, 100, false},
		{"much is still to be computed, urgent", 17, 1000, 0, maxWait, 0, 100, true},
		{"nothing in flight", 17, 0, 0, 1, -1, 2 * capacity, true},
		{"small fleet", 16, 1000, 50, 1, -1, 5000, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := medlarworld.New(medlarworld.Config{})
			for i := range tc.instances - 1 {
				w.Others = append(w.Others, medlarid.InstanceID(fmt.Sprint(i)))
			}
			Add(w, "m", mean)
			u := &medlarupstream.Upstream{Model: "m", KVCapacity: capacity, InFlightTokens: tc.own, PeerOpen: tc.peers}
			if tc.own > 0 {
				u.Open = 1
			}
			r := &medlarworld.Run{Model: "m", Priority: tc.priority, PromptTokens: tc.tokens}
			for range 2 {
				if got := Fits(w, r, u, tc.pending); got != tc.want {
					t.Errorf("%v, want %v", got, tc.want)
				}
			}
			if counted := len(w.Commands) == 1; counted == tc.want || len(w.Commands) > 1 {
				t.Errorf("%d commands to count the request", len(w.Commands))
			}
		})
	}
}

package medlarattachednode_test

import (
	"testing"

	"medlarfield/internal/stand/medlarlink"
)

// TestInstancesCutBehindProxyServe guards against instances that take a path to a replica for one that works because
// connections open on it, as they do behind a proxy or a balancer, though no answer comes.
func TestInstancesCutBehindProxyServe(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		instances int
		cut       []int
		state     medlarlink.State
	}{
		{"one, silent", 3, []int{0}, medlarlink.OpensSilent},
		{"one, reset", 3, []int{0}, medlarlink.OpensReset},
		{"two of three, silent", 3, []int{0, 1}, medlarlink.OpensSilent},
		{"two of three, reset", 3, []int{0, 1}, medlarlink.OpensReset},
		{"two of five, silent", 5, []int{0, 1}, medlarlink.OpensSilent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			assertCutServes(t, tc.instances, tc.cut, steady(tc.state))
		})
	}
}

package medlarfleet

import (
	"testing"
	"time"

	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// TestStoreIsAvoidedAfterFailedTransfers guards against one failed transfer that makes a store
// count as down for seconds.
func TestStoreIsAvoidedAfterFailedTransfers(t *testing.T) {
	failed, succeeded := medlarworld.TransferEnded{Store: "s", Failed: true}, medlarworld.TransferEnded{Store: "s"}
	for _, tc := range []struct {
		name      string
		transfers []medlarworld.TransferEnded
		avoided   time.Duration // after the last transfer
	}{
		{"one failure", []medlarworld.TransferEnded{failed}, minStoreBackoff},
		{"two failures", []medlarworld.TransferEnded{failed, failed}, 2 * minStoreBackoff},
		{"many failures", []medlarworld.TransferEnded{failed, failed, failed, failed, failed, failed}, maxStoreBackoff},
		{"a success between two failures", []medlarworld.TransferEnded{failed, failed, succeeded, failed}, minStoreBackoff},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store := &medlarupstream.Store{ID: "s"}
			w := medlarworld.New(medlarworld.Config{})
			w.Now, w.Stores[store.ID] = time.Unix(1000, 0), store
			for _, e := range tc.transfers {
				w.Events = []medlarworld.Event{e}
				New().Run(w)
			}
			if store.Usable(w.Now.Add(tc.avoided - 1)) {
				t.Errorf("the store is used again before %v", tc.avoided)
			}
			if !store.Usable(w.Now.Add(tc.avoided)) {
				t.Errorf("the store is not used again after %v", tc.avoided)
			}
		})
	}
}

package medlarlimit

import (
	"testing"
	"time"

	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// TestHugeLimitEndsNothing guards against a limit beyond the range of whole numbers that ends the process.
func TestHugeLimitEndsNothing(t *testing.T) {
	for _, limit := range []float64{1e9, 1e308} {
		w := medlarworld.New(medlarworld.Config{Self: "i"})
		w.Now = time.Unix(1000, 0)
		w.Upstreams["u"] = &medlarupstream.Upstream{ID: "u", Service: "s", Incarnation: 1}
		s := New()
		s.rates["s"] = 5
		w.Events = []medlarworld.Event{medlarworld.LimitRecorded{Upstream: "u", Incarnation: 1, Limit: limit}}
		s.Run(w)
		w.Events = []medlarworld.Event{medlarworld.NeedRecorded{Instance: "i", Serial: s.serial, Rates: medlarworld.Rates{"s": 5}}}
		s.Run(w)
		if u := w.Upstreams["u"]; !u.Limited || u.Limit != limit {
			t.Errorf("limited %v to %v, want %v", u.Limited, u.Limit, limit)
		}
	}
}

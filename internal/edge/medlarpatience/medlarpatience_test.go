package medlarpatience_test

import (
	"testing"
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/edge/medlarpatience"
)

// event is an attempt at a replica, in ms; an attempt without an end is under way.
type event struct {
	replica    string
	begin, end int
	outcome    medlarpatience.Outcome
}

// TestUntil guards against attempts that are abandoned for others that cannot be answered in time either, and against
// those that wait for a replica that hangs although another one answers (R2, R3).
func TestUntil(t *testing.T) {
	const patience, deadline = 600, 800 // ms; of an attempt at replica a that begins at 10 s
	for _, tc := range []struct {
		name   string
		events []event
		want   int
	}{
		{"nothing is known of any other", nil, patience},
		{"the others answer in time", []event{{"b", 9000, 9050, medlarpatience.Answered}}, patience},
		{"the other one has answered late", []event{{"b", 9000, 9400, medlarpatience.Answered}}, deadline},
		{"one of two others has answered late", []event{{"b", 9000, 9400, medlarpatience.Answered}, {"c", 9000, 9040, medlarpatience.Answered}}, patience},
		{"it has answered late, and in time since", []event{{"b", 9000, 9400, medlarpatience.Answered}, {"b", 9500, 9530, medlarpatience.Answered}}, patience},
		{"it has answered late, long ago", []event{{"b", 5000, 5400, medlarpatience.Answered}}, patience},
		{"it stands still", []event{{"b", 9000, 9050, medlarpatience.Answered}, {"b", 9100, 0, medlarpatience.Nothing}}, deadline},
		{"an attempt that it has yet to answer has just begun", []event{{"b", 9950, 0, medlarpatience.Nothing}}, patience},
		{"it hangs on one request, and answers others", []event{{"b", 9000, 0, medlarpatience.Nothing}, {"b", 9900, 9950, medlarpatience.Answered}}, patience},
		{"it has hung on one request, and answered others", []event{{"b", 9000, 9600, medlarpatience.Silent}, {"b", 9700, 9730, medlarpatience.Answered}}, patience},
		{"it has answered none of several requests, each abandoned early", []event{{"b", 9500, 9620, medlarpatience.Silent}, {"b", 9650, 9770, medlarpatience.Silent}}, deadline},
		{"it has answered nothing, long ago", []event{{"b", 5000, 5600, medlarpatience.Silent}}, patience},
		{"it has answered nothing", []event{{"b", 9000, 9600, medlarpatience.Silent}}, deadline},
		{"it has turned the request away", []event{{"b", 9000, 9600, medlarpatience.Nothing}}, patience},
		{"the replica itself is slow", []event{{"a", 9000, 9700, medlarpatience.Answered}}, patience},
	} {
		t.Run(tc.name, func(t *testing.T) {
			route := &medlarcatalog.Route{Kind: medlarcatalog.KindIdempotent, TargetLatency: 150 * time.Millisecond}
			zero := time.Unix(1000, 0)
			at := func(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }
			table := medlarpatience.New()
			for _, e := range tc.events {
				end := table.Begin(route, "ledger", medlarid.InstanceID(e.replica), at(e.begin))
				if e.end > 0 {
					end(at(e.end), e.outcome)
				}
			}
			const begin = 10_000
			until := table.Until(route, "ledger", "a", at(begin), at(begin+deadline))
			if got := int(until.Sub(at(begin)).Milliseconds()); got != tc.want {
				t.Errorf("waits for %d ms, want %d", got, tc.want)
			}
		})
	}
}

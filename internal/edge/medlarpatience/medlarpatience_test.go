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

// TestMayAnswer guards against attempts that are abandoned for others that cannot be answered in time either, and against
// those that wait for a replica that hangs although another one answers (R2, R3).
func TestMayAnswer(t *testing.T) {
	const left = 200 * time.Millisecond // of a request whose attempt at replica a has waited until 10 s
	for _, tc := range []struct {
		name   string
		events []event
		want   bool
	}{
		{"nothing is known of any other", nil, true},
		{"the others answer in time", []event{{"b", 9000, 9050, medlarpatience.Answered}}, true},
		{"the other one has answered late", []event{{"b", 9000, 9400, medlarpatience.Answered}}, false},
		{"one of two others has answered late", []event{{"b", 9000, 9400, medlarpatience.Answered}, {"c", 9000, 9040, medlarpatience.Answered}}, true},
		{"it has answered late, and in time since", []event{{"b", 9000, 9400, medlarpatience.Answered}, {"b", 9500, 9530, medlarpatience.Answered}}, true},
		{"it has answered late, long ago", []event{{"b", 5000, 5400, medlarpatience.Answered}}, true},
		{"it stands still", []event{{"b", 9000, 9050, medlarpatience.Answered}, {"b", 9100, 0, medlarpatience.Nothing}}, false},
		{"an attempt that it has yet to answer has just begun", []event{{"b", 9950, 0, medlarpatience.Nothing}}, true},
		{"it hangs on one request, and answers others", []event{{"b", 9000, 0, medlarpatience.Nothing}, {"b", 9900, 9950, medlarpatience.Answered}}, true},
		{"it has hung on one request, and answered others", []event{{"b", 9000, 9600, medlarpatience.Silent}, {"b", 9700, 9730, medlarpatience.Answered}}, true},
		{"it has answered none of several requests, each abandoned early", []event{{"b", 9500, 9620, medlarpatience.Silent}, {"b", 9650, 9770, medlarpatience.Silent}}, false},
		{"it has answered nothing for a short while, and has had nothing to answer since", []event{{"b", 8000, 8100, medlarpatience.Silent}, {"b", 9950, 0, medlarpatience.Nothing}}, true},
		{"it has answered nothing, long ago", []event{{"b", 5000, 5600, medlarpatience.Silent}}, true},
		{"it has answered nothing", []event{{"b", 9000, 9600, medlarpatience.Silent}}, false},
		{"it has turned the request away", []event{{"b", 9000, 9600, medlarpatience.Nothing}}, true},
		{"the replica itself is slow", []event{{"a", 9000, 9700, medlarpatience.Answered}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			route := &medlarcatalog.Route{Kind: medlarcatalog.KindIdempotent}
			zero := time.Unix(1000, 0)
			at := func(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }
			table := medlarpatience.New()
			for _, e := range tc.events {
				end := table.Begin(route, "ledger", medlarid.InstanceID(e.replica), at(e.begin))
				if e.end > 0 {
					end(at(e.end), e.outcome)
				}
			}
			if got := table.MayAnswer("ledger", "a", at(10_000), left); got != tc.want {
				t.Errorf("another replica may answer: %t, want %t", got, tc.want)
			}
		})
	}
}

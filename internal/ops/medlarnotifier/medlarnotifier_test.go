package medlarnotifier

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/ops/medlarloop"
)

// TestReadThatWasOvertakenTakesNothingBack guards against records of a read for the core that arrive after the topic was
// followed past them, and put an address, a limit or a block of others back to what it was.
func TestReadThatWasOvertakenTakesNothingBack(t *testing.T) {
	limits := func(from medlarid.Offset, values ...float64) (out []medlarfeed.Record) {
		for i, v := range values {
			r, err := medlarnotice.EncodeLimit(medlarworld.RecordLimit{Upstream: "r", Limited: true, Limit: v})
			if err != nil {
				t.Fatal(err)
			}
			out = append(out, medlarfeed.Record{Key: r.Key, Value: r.Value, Offset: from + medlarid.Offset(i)})
		}
		return out
	}
	for _, tc := range []struct {
		name           string
		before, during []medlarfeed.Record // what the feed delivers before the read is made, and until it arrives
		restored       bool                // the store comes back from a copy before the read is made
		read           []medlarfeed.Record
		want           []float64
	}{
		{name: "nothing meanwhile", before: limits(0, 1), read: limits(1, 2, 3), want: []float64{1, 2, 3}},
		{name: "all of it meanwhile", before: limits(0, 1), during: limits(1, 2, 3, 4), read: limits(1, 2, 3), want: []float64{1, 2, 3, 4}},
		{name: "some of it meanwhile", before: limits(0, 1), during: limits(1, 2), read: limits(1, 2, 3), want: []float64{1, 2, 3}},
		{name: "offsets that are given out again", before: limits(0, 1, 2, 3), restored: true, read: limits(1, 4), want: []float64{1, 2, 3, 4}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var n *Notifier
			n = New(Deps{
				Log: zerolog.Nop(), Board: medlarnotice.New(medlarnotice.Deps{}), CallFailed: func() { t.Error("a call failed") },
				Read: func() ([]medlarfeed.Record, error) {
					n.Apply(tc.during, false)
					return tc.read, nil
				},
			})
			var got []float64
			n.SetPost(func(e medlarworld.Event) {
				if e, ok := e.(medlarworld.LimitRecorded); ok {
					got = append(got, e.Limit)
				}
			})
			n.Apply(tc.before, true)
			if tc.restored {
				n.Restore()
			}
			var d medlarloop.Deps
			n.AddTo(&d)
			d.ReadNotices(medlarworld.ReadNotices{})
			if d := cmp.Diff(tc.want, got); d != "" {
				t.Errorf("limits:\n%s", d)
			}
		})
	}
}

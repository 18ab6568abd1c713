package medlarlease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarfakelog"
	"medlarfield/internal/upstream/medlarlog"
)

const duty = Duty("loads")

func record(t *testing.T, offset medlarid.Offset, second int, author string, release bool) medlarlog.Entry {
	t.Helper()
	l := &medlarrecord.Lease{Duty: string(duty), Term: Term.Milliseconds(), Release: release}
	b, err := medlarrecord.Encode(&medlarrecord.Record{Body: &medlarrecord.Record_Lease{Lease: l}}, medlarid.NewRecordID(), author)
	if err != nil {
		t.Fatal(err)
	}
	return medlarlog.Entry{Offset: offset, Millis: int64(second) * 1000, Data: b}
}

func TestTable(t *testing.T) {
	type step struct {
		second  int
		author  string
		release bool
	}
	for _, tc := range []struct {
		name  string
		steps []step
		want  string
		fence medlarid.Offset
	}{
		{"first", []step{{0, "a", false}}, "a", 1},
		{"second comes too early", []step{{0, "a", false}, {5, "b", false}}, "a", 1},
		{"second comes after the term", []step{{0, "a", false}, {6, "b", false}}, "b", 2},
		{"renewed", []step{{0, "a", false}, {4, "a", false}, {7, "b", false}}, "a", 2},
		{"released", []step{{0, "a", false}, {1, "a", true}, {2, "b", false}}, "b", 3},
		{"released by another", []step{{0, "a", false}, {1, "b", true}, {2, "b", false}}, "a", 1},
		{"late renewal after another took over", []step{{0, "a", false}, {7, "b", false}, {8, "a", false}}, "b", 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := NewTable()
			for i, s := range tc.steps {
				table.Apply(time.Now(), record(t, medlarid.Offset(i+1), s.second, s.author, s.release))
			}
			if author, fence, _ := table.Holder(duty); author != tc.want || fence != tc.fence {
				t.Errorf("held by %q under %d, want %q under %d", author, fence, tc.want, tc.fence)
			}
		})
	}
}

// fleet is claimers over one log.
type fleet struct {
	log      *medlarfakelog.Log
	claimers []*Elector
	cancels  []context.CancelFunc
	wg       sync.WaitGroup
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{log: medlarfakelog.New(medlarfakelog.Settings{})}
	for i := range n {
		ctx, cancel := context.WithCancel(t.Context())
		add := func(records ...[]byte) (medlarid.Offset, error) { return f.log.Append(Stream, records...), nil }
		c := NewElector(duty, fmt.Sprintf("node-%d", i), add, func() int { return i }, func(error) {})
		f.claimers = append(f.claimers, c)
		f.cancels = append(f.cancels, cancel)
		f.wg.Go(func() { c.Run(ctx) })
		f.wg.Go(func() {
			for from := medlarid.Offset(1); ctx.Err() == nil; {
				for _, e := range f.log.Read(Stream, from, 100, 100*time.Millisecond).Records {
					c.Apply(e)
					from = e.Offset + 1
				}
			}
		})
	}
	return f
}

func (f *fleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.wg.Wait()
}

// holders returns who holds the duty now.
func (f *fleet) holders() (out []int) {
	for i, c := range f.claimers {
		if _, ok := c.Fence(); ok {
			out = append(out, i)
		}
	}
	return out
}

func TestAtMostOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.stop()
		held, last := 0, medlarid.Offset(0)
		for i := range 600 {
			time.Sleep(100 * time.Millisecond)
			h := f.holders()
			if len(h) > 1 {
				t.Fatalf("held by %v", h)
			}
			if len(h) == 1 {
				held++
				fence, _ := f.claimers[h[0]].Fence()
				if fence < last {
					t.Fatalf("the fencing number fell from %d to %d", last, fence)
				}
				last = fence
			}
			if i == 200 {
				f.cancels[0]() // stops gracefully
			}
		}
		if held < 540 {
			t.Errorf("held in %d of 600 looks", held)
		}
	})
}

func TestHolderThatStopsRenewingLosesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		time.Sleep(2 * time.Second)
		old, ok := f.claimers[0].Fence()
		if !ok {
			t.Fatal("the first in rank does not hold the duty")
		}
		f.cancels[0]() // no longer renews; its release is undone below
		time.Sleep(3 * Term)
		if _, ok := f.claimers[0].Fence(); ok {
			t.Error("a holder that did not renew still holds the duty")
		}
		fence, ok := f.claimers[1].Fence()
		if !ok || fence <= old {
			t.Errorf("the successor holds under %d after %d, %v", fence, old, ok)
		}
	})
}

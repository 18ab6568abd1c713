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
	return medlarlog.Entry{Offset: offset, UnixMillis: int64(second) * 1000, Data: b}
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
		{"first claim", []step{{0, "a", false}}, "a", 1},
		{"claim by another author within the term", []step{{0, "a", false}, {5, "b", false}}, "a", 1},
		{"claim by another author after the term", []step{{0, "a", false}, {6, "b", false}}, "b", 2},
		{"renewal", []step{{0, "a", false}, {4, "a", false}, {7, "b", false}}, "a", 2},
		{"release", []step{{0, "a", false}, {1, "a", true}, {2, "b", false}}, "b", 3},
		{"release by another author", []step{{0, "a", false}, {1, "b", true}, {2, "b", false}}, "a", 1},
		{"renewal after another author took over", []step{{0, "a", false}, {7, "b", false}, {8, "a", false}}, "b", 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := NewTable()
			for i, s := range tc.steps {
				table.Apply(time.Now(), record(t, medlarid.Offset(i+1), s.second, s.author, s.release))
			}
			if author, fence, _ := table.Holder(duty); author != tc.want || fence != tc.fence {
				t.Errorf("got holder %q with fencing number %d, want %q with %d", author, fence, tc.want, tc.fence)
			}
		})
	}
}

// cluster is a set of electors that share one log.
type cluster struct {
	log      *medlarfakelog.Log
	electors []*Elector
	cancels  []context.CancelFunc
	wg       sync.WaitGroup
}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	cl := &cluster{log: medlarfakelog.New(medlarfakelog.Settings{})}
	for i := range n {
		ctx, cancel := context.WithCancel(t.Context())
		add := func(records ...[]byte) (medlarid.Offset, error) { return cl.log.Append(Stream, records...), nil }
		c := NewElector(duty, fmt.Sprintf("node-%d", i), add, func() int { return i }, func(error) {})
		cl.electors = append(cl.electors, c)
		cl.cancels = append(cl.cancels, cancel)
		cl.wg.Go(func() { c.Run(ctx) })
		cl.wg.Go(func() {
			for from := medlarid.Offset(1); ctx.Err() == nil; {
				for _, e := range cl.log.Read(Stream, from, 100, 100*time.Millisecond).Records {
					c.Apply(e)
					from = e.Offset + 1
				}
			}
		})
	}
	return cl
}

func (cl *cluster) stop() {
	for _, cancel := range cl.cancels {
		cancel()
	}
	cl.wg.Wait()
}

// holders returns the indexes of the electors that hold the duty now.
func (cl *cluster) holders() (out []int) {
	for i, c := range cl.electors {
		if _, ok := c.Fence(); ok {
			out = append(out, i)
		}
	}
	return out
}

func TestAtMostOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 5)
		defer cl.stop()
		held, last := 0, medlarid.Offset(0)
		for i := range 600 {
			time.Sleep(100 * time.Millisecond)
			h := cl.holders()
			if len(h) > 1 {
				t.Fatalf("duty is held by electors %v at the same time", h)
			}
			if len(h) == 1 {
				held++
				fence, _ := cl.electors[h[0]].Fence()
				if fence < last {
					t.Fatalf("fencing number decreased from %d to %d", last, fence)
				}
				last = fence
			}
			if i == 200 {
				cl.cancels[0]() // releases the duty
			}
		}
		if held < 540 {
			t.Errorf("duty was held in %d of 600 checks, want at least 540", held)
		}
	})
}

func TestHolderThatStopsRenewingLosesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		time.Sleep(2 * time.Second)
		old, ok := cl.electors[0].Fence()
		if !ok {
			t.Fatal("elector of rank 0 does not hold the duty")
		}
		cl.cancels[0]() // releases the duty and no longer renews it
		time.Sleep(3 * Term)
		if _, ok := cl.electors[0].Fence(); ok {
			t.Error("elector that stopped renewing still holds the duty")
		}
		fence, ok := cl.electors[1].Fence()
		if !ok || fence <= old {
			t.Errorf("got fencing number %d of the successor after %d, held: %v", fence, old, ok)
		}
	})
}

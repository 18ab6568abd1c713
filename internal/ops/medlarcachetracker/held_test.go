package medlarcachetracker

import (
	"slices"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarworld"
)

// heldStore is a store that waits for changes as it is asked to, and whose answers are held up on their way.
type heldStore struct {
	fakeStore
	hold   time.Duration // of each answer
	stated []time.Time   // times of the state in each answer
	change func() bool   // whether there is a change
}

func (f *heldStore) list(at medlarid.Address) (ChangeBatch, error) {
	f.stated = append(f.stated, time.Now())
	defer time.Sleep(f.hold)
	return f.fakeStore.list(at)
}

func (f *heldStore) readChanges(_ medlarid.Address, since uint64, wait time.Duration) (ChangeBatch, error) {
	end := time.Now().Add(wait)
	c := ChangeBatch{Epoch: 1, Next: since}
	for len(c.Changes) == 0 && time.Now().Before(end) {
		if f.change() {
			c.Changes = []Change{{Part: part("1", "a"), Added: true}}
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.stated = append(f.stated, time.Now())
	time.Sleep(f.hold)
	return c, nil
}

// TestHeldUpAnswerIsNotDatedLater guards against contents that count as current for longer than reports may, because
// the answer was held up on its way or the process was suspended before it read the answer.
func TestHeldUpAnswerIsNotDatedLater(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func() bool
	}{
		{"no changes", func() bool { return false }},
		{"a change at once", func() bool { return true }},
		{"a change now and then", func() bool { return time.Now().UnixMilli()%700 < 5 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &heldStore{fakeStore: fakeStore{epoch: 1}, hold: 900 * time.Millisecond, change: tc.change}
			runTrackerOf(t, &f.fakeStore, f.list, f.readChanges, func(*fakeStore) time.Duration { return 20 * time.Second })
			dated := slices.DeleteFunc(f.posted, func(e medlarworld.InventoryReported) bool { return e.At.IsZero() }) // others say that an answer is overdue
			if len(dated) < 10 {
				t.Errorf("%d dated contents in 20 s", len(dated))
			}
			for i, p := range dated {
				if p.At.After(f.stated[i]) {
					t.Errorf("answer %d is dated %v after its state", i, p.At.Sub(f.stated[i]))
				}
			}
		})
	}
}

// TestContentsStayCurrentInCalm guards against contents that turn stale between two answers of a sound store,
// whenever in its wait the store has a change.
func TestContentsStayCurrentInCalm(t *testing.T) {
	for _, interval := range []int64{100, 300, 500, 700, 795, 900, 1300, 1700, 5000} {
		t.Run(time.Duration(interval*int64(time.Millisecond)).String(), func(t *testing.T) {
			f := &heldStore{fakeStore: fakeStore{epoch: 1}, hold: 5 * time.Millisecond}
			f.change = func() bool { return time.Now().UnixMilli()%interval < 5 }
			runTrackerOf(t, &f.fakeStore, f.list, f.readChanges, func(*fakeStore) time.Duration { return 30 * time.Second })
			for i := range f.posted[1:] {
				arrived := f.stated[i+1].Add(f.hold)
				if stale := arrived.Sub(f.posted[i].At) - medlarplacement.ReportTTL; stale > 0 {
					t.Errorf("stale for %v before answer %d of %d", stale, i+1, len(f.posted))
				}
			}
		})
	}
}

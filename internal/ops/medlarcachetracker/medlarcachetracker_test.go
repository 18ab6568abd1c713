package medlarcachetracker

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarworld"
)

// fakeStore is an in-memory store of parts. It runs on the fake clock of a synctest
// bubble.
type fakeStore struct {
	mu       sync.Mutex
	epoch    uint64
	events   []Change
	down     bool
	failNext bool      // the next call for changes fails
	failedAt time.Time // when it did
	lists    int
	calls    int
	freed    []Part
	refused  int // calls to free that came late
	posted   []medlarworld.InventoryReported
	postedAt []time.Time   // when they were
	toldAt   time.Time     // when a call for changes was first answered with a start later than 1
	silent   time.Duration // for which the next call for changes is not answered
	replaced time.Time     // when version 1 was replaced; zero if it was not
	changed  bool          // result of PartsUnused
	stands   time.Duration // for which the instance stands still while it decides to free
}

var (
	errDown = errors.New("down")
	errLate = errors.New("late")
)

func part(v, id string) Part {
	return Part{Salt: medlarkey.NewCacheSalt(medlarid.WeightVersion(v), ""), ID: id, Tokens: 100, Model: "m"}
}

func (f *fakeStore) add(v, id string) {
	f.events = append(f.events, Change{Part: part(v, id), Added: true})
}

func (f *fakeStore) list(medlarid.Address) (ChangeBatch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return ChangeBatch{}, errDown
	}
	f.lists++
	return ChangeBatch{Epoch: f.epoch, Next: uint64(len(f.events)), Changes: append([]Change(nil), f.events...)}, nil
}

func (f *fakeStore) readChanges(_ medlarid.Address, since uint64, wait time.Duration) (ChangeBatch, error) {
	f.mu.Lock()
	silent := f.silent
	f.silent = 0
	f.mu.Unlock()
	time.Sleep(wait/2 + silent)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.epoch > 1 && f.toldAt.IsZero() {
		f.toldAt = time.Now()
	}
	switch {
	case f.down:
		return ChangeBatch{}, errDown
	case f.failNext:
		f.failNext, f.failedAt = false, time.Now()
		return ChangeBatch{}, errDown
	case since > uint64(len(f.events)):
		return ChangeBatch{Epoch: f.epoch, Gap: true}, nil
	}
	return ChangeBatch{Epoch: f.epoch, Next: uint64(len(f.events)), Changes: append([]Change(nil), f.events[since:]...)}, nil
}

func (f *fakeStore) free(_ medlarid.Address, _ uint64, parts []Part, until time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !time.Now().Before(until) {
		f.refused++
		return errLate
	}
	f.freed = append(f.freed, parts...)
	return nil
}

// runTracker runs a tracker of a store through steps, each of which returns the time until
// the next one.
func runTracker(t *testing.T, f *fakeStore, steps ...func(*fakeStore) time.Duration) {
	t.Helper()
	runTrackerOf(t, f, f.list, f.readChanges, steps...)
}

// runTrackerOf runs a tracker through steps as runTracker does, with the given functions to read the store.
func runTrackerOf(t *testing.T, f *fakeStore, list func(medlarid.Address) (ChangeBatch, error),
	changes func(medlarid.Address, uint64, time.Duration) (ChangeBatch, error), steps ...func(*fakeStore) time.Duration,
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := New(0, Deps{
			Stores: func() []StoreRef { return []StoreRef{{ID: "store", Address: "at"}} },
			List:   list, Events: changes, Free: f.free,
			Post: func(e medlarworld.Event) {
				f.mu.Lock()
				defer f.mu.Unlock()
				if e, ok := e.(medlarworld.InventoryReported); ok {
					f.posted, f.postedAt = append(f.posted, e), append(f.postedAt, time.Now())
				}
			},
			ReplacedAt: func(_ medlarid.ModelID, v medlarid.WeightVersion) (time.Time, bool) {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.replaced, v == "1" && !f.replaced.IsZero()
			},
			PartsUnused: func(medlarid.ModelID, medlarid.WeightVersion) bool {
				f.mu.Lock()
				changed, stands := f.changed, f.stands
				f.mu.Unlock()
				time.Sleep(stands)
				return changed
			},
			OnUnavailable: func(StoreRef, error) {}, OnRecovered: func(StoreRef) {}, OnListed: func(StoreRef, uint64, int) {}, OnFreed: func(StoreRef, int, error) {}, OnMalformed: func(StoreRef, int, bool) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		for _, step := range steps {
			f.mu.Lock()
			d := step(f)
			f.mu.Unlock()
			time.Sleep(d)
		}
		cancel()
		time.Sleep(5 * time.Second) // lets calls in progress end
	})
}

func TestFollowChanges(t *testing.T) {
	f := &fakeStore{epoch: 1}
	f.add("1", "a")
	runTracker(t, f,
		func(*fakeStore) time.Duration { return time.Second },
		func(f *fakeStore) time.Duration { f.add("1", "b"); return 2 * time.Second },
	)
	added := 0
	for _, e := range f.posted {
		added += len(e.Added)
	}
	if added != 2 || f.lists != 1 || !f.posted[0].Reset {
		t.Errorf("%d parts posted, %d lists, first event %+v; want 2 parts, 1 list and a reset first", added, f.lists, f.posted[0])
	}
}

// TestPartAddedAndRemovedIsNotHeld guards against a part that is reported as held although the store removed it within
// the same changes that added it: the core applies the removals of a report first.
func TestPartAddedAndRemovedIsNotHeld(t *testing.T) {
	f := &fakeStore{epoch: 1}
	runTracker(t, f,
		func(*fakeStore) time.Duration { return time.Second },
		func(f *fakeStore) time.Duration {
			f.add("1", "a")
			f.events = append(f.events, Change{Part: part("1", "a")})
			f.add("1", "b")
			f.events = append(f.events, Change{Part: part("1", "b")})
			f.add("1", "b")
			return 3 * time.Second
		},
	)
	held := map[string]bool{}
	for _, e := range f.posted {
		for _, k := range e.Removed {
			delete(held, k.String())
		}
		for _, p := range e.Added {
			held[p.Key.String()] = true
		}
	}
	if len(held) != 1 || !held[part("1", "b").key().String()] {
		t.Errorf("held parts are %v, want only the one that was added again", held)
	}
}

func TestStoreRestartIsListedAgain(t *testing.T) {
	f := &fakeStore{epoch: 1}
	f.add("1", "a")
	runTracker(t, f,
		func(*fakeStore) time.Duration { return time.Second },
		func(f *fakeStore) time.Duration { f.epoch, f.events = 2, nil; return 3 * time.Second },
	)
	last := f.posted[len(f.posted)-1]
	resets := 0
	for _, e := range f.posted {
		if e.Reset {
			resets++
		}
	}
	if resets != 2 || last.Epoch != 2 {
		t.Errorf("%d resets, last epoch %d; want 2 and 2", resets, last.Epoch)
	}
}

// TestNewStartVoidsContentsAtOnce guards against fetches by what a store held before a start that the instance knows of: others
// may be writing the parts again (MIXED).
func TestNewStartVoidsContentsAtOnce(t *testing.T) {
	f := &fakeStore{epoch: 1}
	f.add("1", "a")
	runTracker(t, f,
		func(*fakeStore) time.Duration { return time.Second },
		func(f *fakeStore) time.Duration { f.epoch = 2; return 3 * time.Second },
	)
	for i, e := range f.posted {
		if e.Epoch == 2 {
			if late := f.postedAt[i].Sub(f.toldAt); late > 0 {
				t.Errorf("contents of the earlier start are void %v after the store told of the new one, want at once", late)
			}
			return
		}
	}
	t.Error("the new start is not noticed")
}

// TestOverdueAnswerMakesContentsStale guards against fetches by what a store held that has fallen silent: it may have started
// anew, and others may be writing the parts again (MIXED).
func TestOverdueAnswerMakesContentsStale(t *testing.T) {
	const silent = 1300 * time.Millisecond
	f := &fakeStore{epoch: 1}
	var since time.Time
	runTracker(t, f,
		func(*fakeStore) time.Duration { return time.Second },
		func(f *fakeStore) time.Duration { f.silent, since = silent, time.Now(); return 3 * time.Second },
	)
	for i, e := range f.posted {
		if e.At.IsZero() {
			if took := f.postedAt[i].Sub(since); took > contendedInterval+contendedWait+overdueAfter {
				t.Errorf("contents are stale %v after the store fell silent", took)
			}
			if last := f.posted[len(f.posted)-1]; last.At.IsZero() {
				t.Error("contents are not current again")
			}
			return
		}
	}
	t.Error("contents stay current")
}

func TestUnavailableStoreIsStale(t *testing.T) {
	f := &fakeStore{epoch: 1}
	runTracker(t, f,
		func(*fakeStore) time.Duration { return time.Second },
		func(f *fakeStore) time.Duration { f.down = true; return 2 * time.Second },
	)
	if last := f.posted[len(f.posted)-1]; !last.At.IsZero() {
		t.Errorf("the last posted contents are dated %v, want no date, which makes them stale", last.At)
	}
}

// TestContentsAreCurrentSoonAfterFailedCall guards against contents that stay stale for a long
// wait for changes after one failed call, such as a reset connection.
func TestContentsAreCurrentSoonAfterFailedCall(t *testing.T) {
	const bound = failurePause + contendedWait
	f := &fakeStore{epoch: 1}
	runTracker(t, f,
		func(*fakeStore) time.Duration { return 2 * contendedInitial },
		func(f *fakeStore) time.Duration { f.failNext = true; return 2 * time.Second },
	)
	for _, p := range f.posted {
		if took := p.At.Sub(f.failedAt); took > 0 {
			if took > bound {
				t.Errorf("contents are current again %v after the failed call, want %v at most", took, bound)
			}
			return
		}
	}
	t.Error("contents are not current again")
}

// TestFreeReplacedVersions checks when parts of an older version are freed.
func TestFreeReplacedVersions(t *testing.T) {
	for _, tc := range []struct {
		name     string
		replaced bool
		changed  bool
		after    time.Duration
		want     int
	}{
		{"not replaced", false, true, time.Minute, 0},
		{"just replaced", true, true, medlarplacement.FreeDelay - 2*time.Second, 0},
		{"replaced long ago, replicas still run it", true, false, time.Minute, 0},
		{"replaced long ago, replicas run a later version", true, true, medlarplacement.FreeDelay + 3*time.Second, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &fakeStore{epoch: 1, changed: tc.changed}
			f.add("1", "a")
			f.add("1", "b")
			f.add("2", "c")
			runTracker(t, f, func(f *fakeStore) time.Duration {
				if tc.replaced {
					f.replaced = time.Now()
				}
				return tc.after
			})
			if len(f.freed) != tc.want {
				t.Errorf("freed %v, want %d parts", f.freed, tc.want)
			}
		})
	}
}

// TestPartsAreNotFreedLate guards against parts that are freed long after the decision, as the instance stood still, when
// others may fetch them again (MIXED).
func TestPartsAreNotFreedLate(t *testing.T) {
	f := &fakeStore{epoch: 1, changed: true, stands: time.Second}
	f.add("1", "a")
	runTracker(t, f,
		func(f *fakeStore) time.Duration {
			f.replaced = time.Now().Add(-time.Hour)
			return 5 * time.Second
		},
		func(f *fakeStore) time.Duration {
			if len(f.freed) > 0 || f.refused == 0 {
				t.Errorf("parts are freed late: %v; calls that came late: %d", f.freed, f.refused)
			}
			f.stands = 0
			return 5 * time.Second
		})
	if len(f.freed) != 1 {
		t.Errorf("freed %v after a decision in time, want 1 part", f.freed)
	}
}

// places is the number of calls that may wait at a store at the same time.
const places = 12

// contendedStore is a store that refuses calls for which it has no place.
type contendedStore struct {
	mu      sync.Mutex
	waiting int
	calls   int
	charged int // calls that were refused or did not wait long enough to be free of charge
}

func (f *contendedStore) readChanges(_ medlarid.Address, since uint64, wait time.Duration) (ChangeBatch, error) {
	if !f.enter(wait) {
		return ChangeBatch{Throttled: true}, nil
	}
	time.Sleep(wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting--
	return ChangeBatch{Epoch: 1, Next: since}, nil
}

func (f *contendedStore) enter(wait time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	full := f.waiting == places
	if full || wait < 200*time.Millisecond {
		f.charged++
	}
	if !full {
		f.waiting++
	}
	return !full
}

// reset sets the counters to zero.
func (f *contendedStore) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls, f.charged = 0, 0
}

// TestManyReaders checks that readers of a contended store share its places once they have
// detected the contention: each polls often enough for its view of the store to be
// current nearly all the time, and few calls are refused.
func TestManyReaders(t *testing.T) {
	const readers, warmup, span = 35, 20 * time.Second, 60 * time.Second
	f := &contendedStore{}
	posted := make([][]time.Time, readers)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		for i := range readers {
			s := New(i, Deps{
				Stores: func() []StoreRef { return []StoreRef{{ID: "store", Address: "at"}} },
				List:   func(medlarid.Address) (ChangeBatch, error) { return ChangeBatch{Epoch: 1}, nil }, Events: f.readChanges,
				Post:          func(medlarworld.Event) { posted[i] = append(posted[i], time.Now()) },
				OnUnavailable: func(StoreRef, error) {}, OnRecovered: func(StoreRef) {}, OnListed: func(StoreRef, uint64, int) {}, OnFreed: func(StoreRef, int, error) {}, OnMalformed: func(StoreRef, int, bool) {},
			})
			go s.Run(ctx)
		}
		time.Sleep(warmup)
		f.reset()
		time.Sleep(span - warmup)
		cancel()
		time.Sleep(5 * time.Second) // lets calls in progress end
	})
	var stale time.Duration
	for _, at := range posted {
		for i := 1; i < len(at); i++ {
			stale += max(at[i].Sub(at[i-1])-1500*time.Millisecond, 0)
		}
	}
	if share := stale.Seconds() / (readers * span.Seconds()); share > 0.01 {
		t.Errorf("the view of the store is stale for %.3f of the time, want 0.01 at most", share)
	}
	if share := float64(f.charged) / float64(f.calls); share > 0.1 {
		t.Errorf("%d of %d calls were refused or did not wait long enough, want a tenth at most", f.charged, f.calls)
	}
}

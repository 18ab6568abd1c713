package medlarfeed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"medlarfield/internal/base/medlarid"
)

// Times of the faults in these tests.
const (
	callTimeout  = 800 * time.Millisecond // of a call that gets no response, after its wait
	maxWait      = 750 * time.Millisecond
	returnBound  = time.Second // from the store's return until its newest record is in force
	removalDelay = 2300 * time.Millisecond
	removalBound = time.Second // from a removal until it is in force
	storeLatency = 4 * time.Millisecond
)

// faultyStore is a topic behind connections that fail. Its fields are set between sleeps of
// the synctest bubble.
type faultyStore struct {
	fakeTopic
	silent  bool // calls that arrive get no response
	resets  int  // number of next calls that fail at once
	calls   int
	applied map[string]time.Time // when the latest record of each key was applied
}

// respond waits for a response of the store. A call that arrived while the store was silent
// fails after its timeout, even if the store has returned by then.
func (s *faultyStore) respond(ctx context.Context, wait time.Duration) error {
	s.mu.Lock()
	s.calls++
	silent, reset := s.silent, s.resets > 0
	if reset {
		s.resets--
	}
	s.mu.Unlock()
	switch {
	case silent:
		pause(ctx, wait+callTimeout)
		return errDown
	case reset:
		return errDown
	}
	pause(ctx, storeLatency)
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// set changes the store.
func (s *faultyStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// lastApplied returns when the latest record of key a was applied.
func (s *faultyStore) lastApplied() time.Time { return s.lastAppliedOf("a") }

func (s *faultyStore) lastAppliedOf(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applied[key]
}

// runFeed runs a feed of s while f runs.
func runFeed(t *testing.T, s *faultyStore, f func()) {
	t.Helper()
	s.applied = map[string]time.Time{}
	synctest.Test(t, func(t *testing.T) {
		feed := New(Deps{
			ReadLatest: func(ctx context.Context, after string) (Page, error) {
				if err := s.respond(ctx, 0); err != nil {
					return Page{}, err
				}
				return s.newest(ctx, after)
			},
			ReadFrom: s.follow,
			Apply: func(rs []Record, _ bool) {
				for _, r := range rs {
					s.set(func() { s.applied[r.Key] = time.Now() })
				}
			},
			OnCurrent:     func(Progress) {},
			OnUnavailable: func(error) {},
			OnRecovered:   func(time.Duration) {},
			OnEra:         func(medlarid.Era) {},
		}, Options{MaxWait: fixed(maxWait), PollInterval: fixed(400 * time.Millisecond), RemovalDelay: removalDelay, MinOutage: 900 * time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		s.put("a", "1")
		go feed.Run(ctx)
		time.Sleep(2 * time.Second)
		f()
		cancel()
		time.Sleep(2 * (maxWait + callTimeout)) // calls in flight end
		synctest.Wait()
	})
}

// follow waits for records at most as long as the call asks for.
func (s *faultyStore) follow(ctx context.Context, from medlarid.Offset, o ReadOptions) (Batch, error) {
	if err := s.respond(ctx, o.Wait); err != nil {
		return Batch{}, err
	}
	for end := time.Now().Add(o.Wait); ; pause(ctx, 10*time.Millisecond) {
		b, err := s.read(ctx, from)
		if err != nil || len(b.Records) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return b, err
		}
	}
}

// TestResetConnectionDelaysNoRemoval guards against a delay of removals, which is meant for
// outages of the store, after the reset of one connection.
func TestResetConnectionDelaysNoRemoval(t *testing.T) {
	for _, resets := range []int{1, 2, 3} {
		s := &faultyStore{}
		runFeed(t, s, func() {
			s.set(func() { s.resets = resets })
			time.Sleep(600 * time.Millisecond)
			s.set(func() { s.put("a", "") })
			begin := time.Now()
			time.Sleep(5 * time.Second)
			assertAppliedWithin(t, s.lastApplied(), begin, removalBound)
		})
	}
}

// TestOutageDelaysRemoval asserts that removals are delayed after a time without responses in
// which records can have expired.
func TestOutageDelaysRemoval(t *testing.T) {
	s := &faultyStore{}
	runFeed(t, s, func() {
		s.set(func() { s.silent = true })
		time.Sleep(1500 * time.Millisecond)
		s.set(func() { s.silent = false; s.put("a", "") })
		time.Sleep(2 * time.Second)
		if at := s.lastApplied(); time.Since(at) < 3*time.Second {
			t.Errorf("the removal was applied %v ago, within the delay", time.Since(at))
		}
	})
}

// TestDelayedRemovalIsAppliedInTime guards against a removal that is delayed longer than it has to be, until a read that
// waits for records has returned.
func TestDelayedRemovalIsAppliedInTime(t *testing.T) {
	for silence := 1500 * time.Millisecond; silence < 3*time.Second; silence += 110 * time.Millisecond {
		s := &faultyStore{}
		runFeed(t, s, func() {
			s.set(func() { s.silent = true })
			time.Sleep(silence)
			s.set(func() { s.silent = false; s.put("b", "1") })
			begin := time.Now()
			for s.lastAppliedOf("b").Before(begin) {
				time.Sleep(storeLatency)
			}
			returned := s.lastAppliedOf("b")
			s.set(func() { s.put("a", "") })
			time.Sleep(4 * time.Second)
			assertAppliedWithin(t, s.lastApplied(), returned, removalDelay+50*time.Millisecond)
		})
	}
}

// TestNewestRecordIsAppliedSoonAfterSilence guards against a call that began while the store was
// silent and holds up the reader until it times out, although the store answers again.
func TestNewestRecordIsAppliedSoonAfterSilence(t *testing.T) {
	for silence := 50 * time.Millisecond; silence < 8*time.Second; silence += 170 * time.Millisecond {
		s := &faultyStore{}
		runFeed(t, s, func() {
			s.set(func() { s.silent = true })
			time.Sleep(silence)
			s.set(func() { s.silent = false; s.put("a", "2") })
			begin := time.Now()
			time.Sleep(4 * time.Second)
			assertAppliedWithin(t, s.lastApplied(), begin, returnBound)
		})
	}
}

// TestFirstAnswerSoonAfterSilence guards against removals that are delayed from so late on, after a cut has healed, that
// the delay ends after the time in which an instance has to know what the store knows (DRAIN).
func TestFirstAnswerSoonAfterSilence(t *testing.T) {
	const stableWindow = 3 * time.Second // the users' bound
	for silence := 2 * time.Second; silence < 6*time.Second; silence += 10 * time.Millisecond {
		s := &faultyStore{}
		runFeed(t, s, func() {
			s.set(func() { s.silent = true })
			time.Sleep(silence)
			s.set(func() { s.silent = false; s.put("a", "") })
			begin := time.Now()
			time.Sleep(5 * time.Second)
			assertAppliedWithin(t, s.lastApplied(), begin, stableWindow)
		})
	}
}

// TestCallRateIsBounded bounds the calls of one reader, of which the store's rates and the number
// of instances in the largest deployment allow 4 a second.
func TestCallRateIsBounded(t *testing.T) {
	const most = 4 // calls per second
	for name, change := range map[string]func(*faultyStore){
		"idle":   func(*faultyStore) {},
		"silent": func(s *faultyStore) { s.silent = true },
		"reset":  func(s *faultyStore) { s.resets = 1 << 30 },
	} {
		t.Run(name, func(t *testing.T) {
			s := &faultyStore{}
			runFeed(t, s, func() {
				s.set(func() { change(s); s.calls = 0 })
				time.Sleep(20 * time.Second)
				s.set(func() {
					if s.calls > most*20 {
						t.Errorf("%d calls in 20 s, want %d a second at most", s.calls, most)
					}
				})
			})
		})
	}
}

func assertAppliedWithin(t *testing.T, at, since time.Time, bound time.Duration) {
	t.Helper()
	if at.Before(since) {
		t.Error("the record was not applied")
	} else if took := at.Sub(since); took > bound {
		t.Errorf("the record was applied after %v, want %v at most", took, bound)
	}
}

package medlarclaim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarlog"
)

// memoryLog is an in-memory log with injected append failures.
type memoryLog struct {
	records     []medlarlog.Entry
	failures    []medlarlog.Kind // failures of the next appends
	takesEffect bool             // failing appends take effect nevertheless
}

func (l *memoryLog) append(records ...[]byte) (medlarid.Offset, error) {
	var failure error
	if len(l.failures) > 0 {
		failure = &medlarlog.Error{Kind: l.failures[0], Err: errors.New("injected failure")}
		l.failures = l.failures[1:]
		if !l.takesEffect {
			return 0, failure
		}
	}
	first := medlarid.Offset(len(l.records) + 1)
	for _, r := range records {
		e := medlarlog.Entry{Offset: medlarid.Offset(len(l.records) + 1), UnixMillis: time.Now().UnixMilli(), Data: r}
		l.records = append(l.records, e)
	}
	return first, failure
}

// catchUp applies all records that the claimer has not read yet.
func (l *memoryLog) catchUp(c *Claimer) {
	for int(c.table.Next()) <= len(l.records) {
		c.Apply(l.records[c.table.Next()-1])
	}
}

func (l *memoryLog) claimer(name string) *Claimer {
	return New(name, testBounds, l.append, func() bool { return true })
}

func request(t *testing.T, name, body string) Request {
	t.Helper()
	r, err := NewRequest("account", fmt.Sprintf("%d-%s", time.Now().Unix(), name), []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// claim makes one claim, and reads the log after each append until it is decided.
func claim(t *testing.T, l *memoryLog, c *Claimer, r Request) (Grant, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			c.flush()
			l.catchUp(c)
			time.Sleep(10 * time.Millisecond)
		}
	})
	g, err := c.Claim(ctx, r)
	cancel()
	wg.Wait()
	return g, err
}

func TestClaimUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name        string
		failures    []medlarlog.Kind
		takesEffect bool
		want        Kind // empty if the claim is granted
	}{
		{"no fault", nil, false, ""},
		{"one append fails without effect", []medlarlog.Kind{medlarlog.KindUnavailable}, false, ""},
		{"response lost after one append", []medlarlog.Kind{medlarlog.KindUnknown}, true, ""},
		{"responses lost after two appends", []medlarlog.Kind{medlarlog.KindUnknown, medlarlog.KindUnknown}, true, ""},
		{"log unavailable", repeat(medlarlog.KindUnavailable, 1000), false, KindUnavailable},
		{"appends have no effect and unknown results", repeat(medlarlog.KindUnknown, 1000), false, KindUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &memoryLog{failures: tc.failures, takesEffect: tc.takesEffect}
				_, err := claim(t, l, l.claimer("n"), request(t, "k", "body"))
				assertKind(t, err, tc.want)
			})
		})
	}
}

func repeat(k medlarlog.Kind, n int) []medlarlog.Kind {
	out := make([]medlarlog.Kind, n)
	for i := range out {
		out[i] = k
	}
	return out
}

func assertKind(t *testing.T, err error, want Kind) {
	t.Helper()
	var e *Error
	switch {
	case want == "" && err != nil:
		t.Fatalf("claim was refused: %v", err)
	case want != "" && (!errors.As(err, &e) || e.Kind != want):
		t.Fatalf("got error %v, want kind %s", err, want)
	}
}

func TestSecondClaimReturnsState(t *testing.T) {
	for _, tc := range []struct {
		name   string
		record func(*Claimer, Grant)
		want   State
	}{
		{"in progress", func(*Claimer, Grant) {}, StateOpen},
		{"done", func(c *Claimer, g Grant) { c.RecordDone(g, 201, "text/plain", []byte("x")) }, StateDone},
		{"unknown", func(c *Claimer, g Grant) { c.RecordUnknown(g) }, StateUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &memoryLog{}
				one, two := l.claimer("one"), l.claimer("two")
				r := request(t, "k", "body")
				g, err := claim(t, l, one, r)
				assertKind(t, err, "")
				tc.record(one, g)
				one.flush()
				l.catchUp(two)
				_, err = claim(t, l, two, r)
				assertOwned(t, err, tc.want)
			})
		})
	}
}

func assertOwned(t *testing.T, err error, want State) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindOwned || e.Entry.State != want {
		t.Fatalf("got error %v, want an owned key in state %s", err, want)
	}
	if want == StateDone && (e.Entry.Outcome.Status != 201 || string(e.Entry.Outcome.Response) != "x" || !e.Entry.Outcome.Complete) {
		t.Errorf("unexpected recorded outcome: %+v", e.Entry.Outcome)
	}
}

func TestClaimRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		c := l.claimer("n")
		_, err := claim(t, l, c, request(t, "k", "body"))
		assertKind(t, err, "")
		_, err = claim(t, l, c, request(t, "k", "other body"))
		assertKind(t, err, KindConflict)
		old := request(t, "old", "body")
		old.Issued = time.Now().Add(-testBounds.Validity - time.Second)
		_, err = claim(t, l, c, old)
		assertKind(t, err, KindExpired)
		ahead := request(t, "ahead", "body")
		ahead.Issued = time.Now().Add(testBounds.Skew + time.Second)
		_, err = claim(t, l, c, ahead)
		assertKind(t, err, KindExpired)
	})
}

func TestIncompleteTableRefusesClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		c := l.claimer("n")
		c.Reset(5)
		_, err := claim(t, l, c, request(t, "k", "body"))
		assertKind(t, err, KindUnavailable)
	})
}

func TestVoidReleasesKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		c := l.claimer("n")
		g, err := claim(t, l, c, request(t, "k", "body"))
		assertKind(t, err, "")
		c.Void(g)
		c.flush()
		l.catchUp(c)
		_, err = claim(t, l, c, request(t, "k", "body"))
		assertKind(t, err, "")
	})
}

func TestAbandonedClaimIsVoidedWhenAppended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		c := l.claimer("n")
		id, w, err := c.enqueue(request(t, "k", "body"))
		assertKind(t, err, "")
		claims, outcomes, base := c.takeBatch()
		records, err := c.encodeBatch(claims, outcomes, base) // the append is in flight
		if err != nil {
			t.Fatal(err)
		}
		_, err = c.abandon(id, w)
		assertKind(t, err, KindUnavailable)
		_, _ = l.append(records...) // takes effect after the claim was abandoned
		l.catchUp(c)
		c.flush()
		l.catchUp(c)
		if c.table.Len() != 0 {
			t.Error("abandoned claim still owns its key")
		}
	})
}

func TestRepeatedClaimAfterVoidHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		c, other := l.claimer("n"), l.claimer("other")
		g, err := claim(t, l, c, request(t, "k", "body"))
		assertKind(t, err, "")
		repeated := l.records[0].Data
		c.Void(g)
		c.flush()
		_, _ = l.append(repeated)
		l.catchUp(other)
		if other.table.Len() != 0 || other.table.Counts.Repeated != 1 {
			t.Errorf("duplicate of a voided claim owns its key: %+v", other.table.Counts)
		}
	})
}

func TestLateClaimIsVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		c, other := l.claimer("n"), l.claimer("other")
		_, _, err := c.enqueue(request(t, "k", "body"))
		assertKind(t, err, "")
		claims, outcomes, base := c.takeBatch()
		records, err := c.encodeBatch(claims, outcomes, base)
		if err != nil {
			t.Fatal(err)
		}
		for range ClaimWindow + 1 {
			_, _ = l.append([]byte("another record"))
		}
		_, _ = l.append(records...)
		l.catchUp(other)
		if other.table.Len() != 0 || other.table.Counts.Late != 1 {
			t.Errorf("claim appended more than %d records after its base took effect: %+v", ClaimWindow, other.table.Counts)
		}
	})
}

func TestExpiredKeysArePruned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		c := l.claimer("n")
		for i := range 50 {
			_, err := claim(t, l, c, request(t, fmt.Sprint(i), "body"))
			assertKind(t, err, "")
		}
		time.Sleep(testBounds.Validity + testBounds.Skew + time.Second)
		_, _ = l.append([]byte("any record"))
		l.catchUp(c)
		if c.table.Len() != 0 || c.table.byClaimTime.Len() != 0 {
			t.Errorf("%d expired keys were not pruned", c.table.Len())
		}
	})
}

func TestGroupedAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		c := l.claimer("n")
		for i := range 300 {
			if _, _, err := c.enqueue(request(t, fmt.Sprint(i), "body")); err != nil {
				t.Fatal(err)
			}
		}
		c.flush()
		l.catchUp(c)
		if len(l.records) != 1 || c.table.Len() != 300 {
			t.Errorf("got %d records and %d keys for 300 claims, want one record", len(l.records), c.table.Len())
		}
	})
}

func TestNewRequest(t *testing.T) {
	for _, key := range []string{"", "abc", "1790000000", "1790000000-", "-x", "x-1", "-5-x"} {
		t.Run(key, func(t *testing.T) {
			_, err := NewRequest("a", key, nil)
			assertKind(t, err, KindInvalidKey)
		})
	}
	a, errA := NewRequest("a", "1-x", []byte("b"))
	b, errB := NewRequest("b", "1-x", []byte("b"))
	if errA != nil || errB != nil || a.Key == b.Key {
		t.Error("two accounts got the same key, or a valid key was refused")
	}
}

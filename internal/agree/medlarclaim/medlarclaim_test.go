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

// memoryLog is a log in memory that a desk reads by itself.
type memoryLog struct {
	records []medlarlog.Entry
	fail    []medlarlog.Kind // failures of the next appends
	effect  bool             // failing appends take effect all the same
}

func (l *memoryLog) append(records ...[]byte) (medlarid.Offset, error) {
	var failed error
	if len(l.fail) > 0 {
		failed = &medlarlog.Error{Kind: l.fail[0], Err: errors.New("drawn")}
		l.fail = l.fail[1:]
		if !l.effect {
			return 0, failed
		}
	}
	first := medlarid.Offset(len(l.records) + 1)
	for _, r := range records {
		e := medlarlog.Entry{Offset: medlarid.Offset(len(l.records) + 1), Millis: time.Now().UnixMilli(), Data: r}
		l.records = append(l.records, e)
	}
	return first, failed
}

// catchUp lets a desk read to the end.
func (l *memoryLog) catchUp(d *Claimer) {
	for int(d.table.Next()) <= len(l.records) {
		d.Apply(l.records[d.table.Next()-1])
	}
}

func (l *memoryLog) desk(name string) *Claimer {
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

// claim makes one claim with the log read after each append.
func claim(t *testing.T, l *memoryLog, d *Claimer, r Request) (Grant, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			d.flush()
			l.catchUp(d)
			time.Sleep(10 * time.Millisecond)
		}
	})
	g, err := d.Claim(ctx, r)
	cancel()
	wg.Wait()
	return g, err
}

func TestClaimUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fail   []medlarlog.Kind
		effect bool
		want   Kind // empty for granted
	}{
		{"no fault", nil, false, ""},
		{"one append not taken", []medlarlog.Kind{medlarlog.KindUnavailable}, false, ""},
		{"answer lost after effect", []medlarlog.Kind{medlarlog.KindUnknown}, true, ""},
		{"two answers lost after effect", []medlarlog.Kind{medlarlog.KindUnknown, medlarlog.KindUnknown}, true, ""},
		{"log down", repeat(medlarlog.KindUnavailable, 1000), false, KindUnavailable},
		{"log frozen without effect", repeat(medlarlog.KindUnknown, 1000), false, KindUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &memoryLog{fail: tc.fail, effect: tc.effect}
				_, err := claim(t, l, l.desk("n"), request(t, "k", "body"))
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
		t.Fatalf("refused: %v", err)
	case want != "" && (!errors.As(err, &e) || e.Kind != want):
		t.Fatalf("got %v, want kind %s", err, want)
	}
}

func TestSecondClaimReturnsState(t *testing.T) {
	for _, tc := range []struct {
		name   string
		settle func(*Claimer, Grant)
		want   State
	}{
		{"in progress", func(*Claimer, Grant) {}, StateOpen},
		{"done", func(d *Claimer, g Grant) { d.RecordDone(g, 201, "text/plain", []byte("x")) }, StateDone},
		{"unknown", func(d *Claimer, g Grant) { d.RecordUnknown(g) }, StateUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &memoryLog{}
				one, two := l.desk("one"), l.desk("two")
				r := request(t, "k", "body")
				g, err := claim(t, l, one, r)
				assertKind(t, err, "")
				tc.settle(one, g)
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
		t.Fatalf("got %v, want the state %s", err, want)
	}
	if want == StateDone && (e.Entry.Outcome.Status != 201 || string(e.Entry.Outcome.Response) != "x" || !e.Entry.Outcome.Complete) {
		t.Errorf("recorded outcome is %+v", e.Entry.Outcome)
	}
}

func TestClaimRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		d := l.desk("n")
		_, err := claim(t, l, d, request(t, "k", "body"))
		assertKind(t, err, "")
		_, err = claim(t, l, d, request(t, "k", "other body"))
		assertKind(t, err, KindConflict)
		old := request(t, "old", "body")
		old.Issued = time.Now().Add(-testBounds.Validity - time.Second)
		_, err = claim(t, l, d, old)
		assertKind(t, err, KindExpired)
		ahead := request(t, "ahead", "body")
		ahead.Issued = time.Now().Add(testBounds.Skew + time.Second)
		_, err = claim(t, l, d, ahead)
		assertKind(t, err, KindExpired)
	})
}

func TestIncompleteTableRefusesClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		d := l.desk("n")
		d.Reset(5)
		_, err := claim(t, l, d, request(t, "k", "body"))
		assertKind(t, err, KindUnavailable)
	})
}

func TestVoidReleasesKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		d := l.desk("n")
		g, err := claim(t, l, d, request(t, "k", "body"))
		assertKind(t, err, "")
		d.Void(g)
		d.flush()
		l.catchUp(d)
		_, err = claim(t, l, d, request(t, "k", "body"))
		assertKind(t, err, "")
	})
}

func TestAbandonedClaimIsVoidedWhenAppended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		d := l.desk("n")
		id, w, err := d.begin(request(t, "k", "body"))
		assertKind(t, err, "")
		claims, outcomes, base := d.take()
		records, err := d.encode(claims, outcomes, base) // on its way to the log
		if err != nil {
			t.Fatal(err)
		}
		_, err = d.giveUp(id, w)
		assertKind(t, err, KindUnavailable)
		_, _ = l.append(records...) // lands late
		l.catchUp(d)
		d.flush()
		l.catchUp(d)
		if d.table.Len() != 0 {
			t.Error("the key stays blocked by a claim that was given up")
		}
	})
}

func TestRepeatedClaimAfterVoidHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		d, other := l.desk("n"), l.desk("other")
		g, err := claim(t, l, d, request(t, "k", "body"))
		assertKind(t, err, "")
		repeated := l.records[0].Data
		d.Void(g)
		d.flush()
		_, _ = l.append(repeated)
		l.catchUp(other)
		if other.table.Len() != 0 || other.table.Counts.Repeated != 1 {
			t.Errorf("a repeated claim blocks its key: %+v", other.table.Counts)
		}
	})
}

func TestLateClaimIsVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		d, other := l.desk("n"), l.desk("other")
		_, _, err := d.begin(request(t, "k", "body"))
		assertKind(t, err, "")
		claims, outcomes, base := d.take()
		records, err := d.encode(claims, outcomes, base)
		if err != nil {
			t.Fatal(err)
		}
		for range ClaimWindow + 1 {
			_, _ = l.append([]byte("another record"))
		}
		_, _ = l.append(records...)
		l.catchUp(other)
		if other.table.Len() != 0 || other.table.Counts.Late != 1 {
			t.Errorf("a claim beyond %d records counts: %+v", ClaimWindow, other.table.Counts)
		}
	})
}

func TestExpiredKeysArePruned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		d := l.desk("n")
		for i := range 50 {
			_, err := claim(t, l, d, request(t, fmt.Sprint(i), "body"))
			assertKind(t, err, "")
		}
		time.Sleep(testBounds.Validity + testBounds.Skew + time.Second)
		_, _ = l.append([]byte("any record"))
		l.catchUp(d)
		if d.table.Len() != 0 || d.table.byAge.Len() != 0 {
			t.Errorf("%d keys are left", d.table.Len())
		}
	})
}

func TestGroupedAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		d := l.desk("n")
		for i := range 300 {
			if _, _, err := d.begin(request(t, fmt.Sprint(i), "body")); err != nil {
				t.Fatal(err)
			}
		}
		d.flush()
		l.catchUp(d)
		if len(l.records) != 1 || d.table.Len() != 300 {
			t.Errorf("%d records for %d claims", len(l.records), d.table.Len())
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
		t.Error("two accounts share a key")
	}
}

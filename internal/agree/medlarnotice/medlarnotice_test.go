package medlarnotice

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarworld"
)

var errDown = errors.New("store is down")

// topic is an in-memory topic.
type topic struct {
	records []Record
	down    atomic.Bool
	errs    []error
	others  []Record // that other instances write before the next claims, one before each
}

func (tp *topic) board() *Board {
	return New(Deps{
		Append: func(records []Record) (medlarid.Offset, error) {
			if tp.down.Load() {
				return 0, errDown
			}
			tp.records = append(tp.records, records...)
			return medlarid.Offset(len(tp.records) - len(records)), nil
		},
		AppendAt: func(at medlarid.Offset, r Record) error {
			if len(tp.others) > 0 {
				tp.records, tp.others = append(tp.records, tp.others[0]), tp.others[1:]
			}
			if tp.down.Load() || int(at) != len(tp.records) {
				return errDown
			}
			tp.records = append(tp.records, r)
			return nil
		},
		Read: func(from medlarid.Offset) (records []Record, end medlarid.Offset, err error) {
			if tp.down.Load() {
				return nil, 0, errDown
			}
			return tp.records[from:], medlarid.Offset(len(tp.records)), nil
		},
		OnError: func(err error) { tp.errs = append(tp.errs, err) },
	})
}

func (tp *topic) assertRecords(t *testing.T, want ...Record) {
	t.Helper()
	if d := cmp.Diff(want, tp.records); d != "" {
		t.Errorf("records:\n%s", d)
	}
}

// TestPutDuringOutage guards against notices that are lost while the store is away, and against
// older ones that are written after newer ones.
func TestPutDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := &topic{}
		tp.down.Store(true)
		b := tp.board()
		go b.Run(t.Context())
		b.Put(Record{Key: "a", Value: []byte("1")})
		b.Put(Record{Key: "b", Value: []byte("1")})
		time.Sleep(5 * time.Second)
		b.Put(Record{Key: "a", Value: []byte("2")})
		synctest.Wait()
		tp.down.Store(false)
		time.Sleep(maxBackoff)
		synctest.Wait()
		if len(tp.records) != 2 {
			t.Fatalf("records %+v, want one for each key", tp.records)
		}
		for _, r := range tp.records {
			if want := map[string]string{"a": "2", "b": "1"}[r.Key]; string(r.Value) != want {
				t.Errorf("%s has %s, want %s", r.Key, r.Value, want)
			}
		}
	})
}

func TestPutIsBounded(t *testing.T) {
	tp := &topic{}
	b := tp.board()
	for i := range 2 * maxPending {
		b.Put(Record{Key: fmt.Sprint(i), Value: []byte("1")})
	}
	if len(b.pending) != maxPending || len(tp.errs) != maxPending {
		t.Errorf("%d records wait, %d were reported as dropped; want %d of both", len(b.pending), len(tp.errs), maxPending)
	}
}

// TestClaim guards against two instances that both get the same trial.
func TestClaim(t *testing.T) {
	tp := &topic{}
	a, b := tp.board(), tp.board()
	if err := a.Claim(Record{Key: "x"}); err == nil {
		t.Error("a claim before the topic was read succeeds")
	}
	a.SetEnd(0)
	b.SetEnd(0)
	if err := a.Claim(Record{Key: "x", Value: []byte("1")}); err != nil {
		t.Error(err)
	}
	if err := b.Claim(Record{Key: "x", Value: []byte("1")}); err == nil {
		t.Error("a claim by an instance that has not read the first one succeeds")
	}
	tp.assertRecords(t, Record{Key: "x", Value: []byte("1")})
}

// TestClaimWhileOthersWrite guards against a claim that no instance is granted while others write records of other keys all the time, and
// against one by an instance that has not read the last one of its key.
func TestClaimWhileOthersWrite(t *testing.T) {
	other, same := Record{Key: "y", Value: []byte("1")}, Record{Key: "x", Value: []byte("2")}
	for _, tc := range []struct {
		name   string
		others []Record
		down   bool
		want   bool
	}{
		{"none", nil, false, true},
		{"other keys", []Record{other, other, other}, false, true},
		{"its key", []Record{same}, false, false},
		{"its key later", []Record{other, same}, false, false},
		{"its key is removed", []Record{other, {Key: "x"}}, false, false},
		{"without end", slices.Repeat([]Record{other}, 100), false, false},
		{"without the store", nil, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tp := &topic{others: tc.others}
			tp.down.Store(tc.down)
			b := tp.board()
			if err := b.ClaimKey(Record{Key: "x"}); err == nil {
				t.Error("a claim before the topic was read succeeds")
			}
			b.SetEnd(0)
			claim := Record{Key: "x", Value: []byte("1")}
			err := b.ClaimKey(claim)
			if (err == nil) != tc.want {
				t.Errorf("claim: %v, want one that succeeds: %v", err, tc.want)
			}
			if written := slices.ContainsFunc(tp.records, func(r Record) bool { return cmp.Equal(r, claim) }); written != tc.want {
				t.Errorf("claim is written: %v, want %v", written, tc.want)
			}
		})
	}
}

func TestRecordsKeepTheirMeaning(t *testing.T) {
	t.Run("crash", func(t *testing.T) {
		want := medlarsuspect.Report{
			Crash: medlarsuspect.CrashID{Replica: "r", Incarnation: 1774547982893},
			Begun: []medlarsuspect.Trait{"a/b", "\"x\""}, Waiting: []medlarsuspect.Trait{"c"},
		}
		value, err := EncodeCrash(want)
		if err != nil {
			t.Fatal(err)
		}
		e, err := Decode(Record{Key: CrashKey("entry-1", "3"), Value: value})
		if d := cmp.Diff(medlarworld.CrashReported{Report: want}, e); d != "" || err != nil {
			t.Error(d, err)
		}
	})
	t.Run("block", func(t *testing.T) {
		for _, b := range []medlarsuspect.Block{{}, {Trials: 2}, {Cleared: true}} {
			r, err := EncodeBlock(medlarsuspect.Record{Trait: "a/b", Block: b})
			if err != nil {
				t.Fatal(err)
			}
			e, err := Decode(r)
			if d := cmp.Diff(medlarworld.BlockRecorded{Trait: "a/b", Block: b}, e); d != "" || err != nil {
				t.Error(d, err)
			}
		}
	})
	t.Run("malformed", func(t *testing.T) {
		for _, r := range []Record{
			{Key: "block/a", Value: []byte("{")}, {Key: "block/a", Value: []byte(`{"trials":"many"}`)}, {Key: "crash/e/1", Value: []byte(`[1]`)},
		} {
			if e, err := Decode(r); err == nil {
				t.Errorf("decoded %s to %+v, want an error", r.Value, e)
			}
		}
	})
	t.Run("other keys", func(t *testing.T) {
		for _, r := range []Record{{Key: "other/a", Value: []byte("{")}, {Key: "block", Value: []byte("{")}, {Key: CrashKey("e", "1")}} {
			if e, err := Decode(r); e != nil || err != nil {
				t.Errorf("decoded %+v, %v; want nothing", e, err)
			}
		}
	})
}

// TestCrashRecordIsBounded guards against records that the store refuses, made from prompts of
// very many parts.
func TestCrashRecordIsBounded(t *testing.T) {
	const recordLimit = 262144 // bytes, the platform's limit
	var parts []medlarsuspect.Trait
	for i := range 50000 {
		parts = append(parts, medlarsuspect.PartTrait(fmt.Sprint(i, strings.Repeat("\"", 59))))
	}
	value, err := EncodeCrash(medlarsuspect.Report{Begun: parts, Waiting: parts})
	if err != nil || len(value) > recordLimit {
		t.Errorf("%d bytes, %v; want %d at most", len(value), err, recordLimit)
	}
}

func TestLimitRecordsKeepTheirMeaning(t *testing.T) {
	for _, tc := range []struct {
		name   string
		record func() (Record, error)
		want   medlarworld.Event
	}{
		{"limit", func() (Record, error) {
			return EncodeLimit(medlarworld.RecordLimit{Upstream: "r/1", Incarnation: 7, Limited: true, Limit: 0.25})
		}, medlarworld.LimitRecorded{Upstream: "r/1", Incarnation: 7, Limit: 0.25}},
		{"end of a limit", func() (Record, error) {
			return EncodeLimit(medlarworld.RecordLimit{Upstream: "r"})
		}, medlarworld.LimitRecorded{Upstream: "r", Dropped: true}},
		{"need", func() (Record, error) {
			return EncodeNeed("entry-1", medlarworld.RecordNeed{Serial: 1774547982893000001, Rates: medlarworld.Rates{"s": 2.5}})
		}, medlarworld.NeedRecorded{Instance: "entry-1", Serial: 1774547982893000001, Rates: medlarworld.Rates{"s": 2.5}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, err := tc.record()
			if err != nil {
				t.Fatal(err)
			}
			e, err := Decode(r)
			if d := cmp.Diff(tc.want, e); d != "" || err != nil {
				t.Error(d, err)
			}
		})
	}
	for _, r := range []Record{
		{Key: "limit/r", Value: []byte(`{"limit":-1}`)},
		{Key: "limit/r", Value: []byte(`{"limit":"x"}`)},
		{Key: "need/i", Value: []byte(`{"rates":{"s":-1}}`)},
		{Key: "need/i", Value: []byte(`[]`)},
	} {
		if e, err := Decode(r); err == nil {
			t.Errorf("decoded %s to %+v, want an error", r.Value, e)
		}
	}
}

// TestPeerRecord guards against an address of an instance that is lost or read otherwise.
func TestPeerRecord(t *testing.T) {
	want := Peer{Address: "10.0.0.1:7700", Key: 1<<63 + 1}
	r, err := EncodePeer("entry-1", want)
	if err != nil {
		t.Fatal(err)
	}
	id, got, ok, err := DecodePeer(r)
	if id != "entry-1" || got != want || !ok || err != nil {
		t.Errorf("got %q, %+v, %v, %v; want %+v", id, got, ok, err, want)
	}
	if id, got, ok, err = DecodePeer(RemovePeer("entry-1")); id != "entry-1" || got != (Peer{}) || !ok || err != nil {
		t.Errorf("got %q, %+v, %v, %v; want no address", id, got, ok, err)
	}
	if _, _, ok, _ = DecodePeer(Record{Key: "seen/entry-1", Value: []byte("{}")}); ok {
		t.Error("a record of another kind is read as an address")
	}
	if _, _, ok, err = DecodePeer(Record{Key: "peer/entry-1", Value: []byte("{")}); !ok || err == nil {
		t.Error("a broken record is read")
	}
}

package medlarstate

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarlog"
)

// log is an in-memory log of records with consecutive offsets.
type log struct {
	t       testing.TB
	first   medlarid.Offset
	records []medlarlog.Entry
}

func newLog(t testing.TB) *log {
	t.Helper()
	return &log{t: t, first: 1}
}

func (l *log) next() medlarid.Offset { return l.first + medlarid.Offset(len(l.records)) }

func (l *log) add(data []byte) medlarlog.Entry {
	e := medlarlog.Entry{Offset: l.next(), UnixMillis: 1000 * int64(l.next()), Data: data}
	l.records = append(l.records, e)
	return e
}

func (l *log) put(r *medlarrecord.Record, id medlarid.RecordID, author string) medlarlog.Entry {
	l.t.Helper()
	b, err := medlarrecord.Encode(r, id, author)
	if err != nil {
		l.t.Fatal(err)
	}
	return l.add(b)
}

// planChange returns a change that puts one plan with the given rate.
func planChange(name string, rate int) medlarlist.Change {
	value := fmt.Sprintf(`{"rate":%d}`, rate)
	return medlarlist.Change{Put: []medlarlist.Entry{{
		Name: medlarlist.EntryName{Table: medlarrecord.Table_TABLE_PLAN, Name: name}, Value: []byte(value),
	}}}
}

// publicationOn returns a publication of a change to the given lists.
func publicationOn(t testing.TB, base medlarid.Offset, on *medlarlist.Lists, c medlarlist.Change) *medlarrecord.Record {
	t.Helper()
	after, err := on.Apply(c)
	if err != nil {
		t.Fatal(err)
	}
	p := &medlarrecord.Publication{Base: uint64(base), User: "u", Digest: after.Digest.Bytes()}
	for _, e := range c.Put {
		p.Put = append(p.Put, EntryRecord(e))
	}
	for _, n := range c.Delete {
		p.Drop = append(p.Drop, NameRecord(n))
	}
	return &medlarrecord.Record{Body: &medlarrecord.Record_Publication{Publication: p}}
}

// publish appends a publication of a change to the state's lists.
func (l *log) publish(s *State, c medlarlist.Change) medlarlog.Entry {
	l.t.Helper()
	v := s.View()
	return l.put(publicationOn(l.t, v.Version, v.Lists, c), medlarid.NewRecordID(), "a")
}

// snapshot appends the parts of a snapshot of a view.
func (l *log) snapshot(v *View, author string) {
	l.t.Helper()
	records, err := v.Snapshot()
	if err != nil {
		l.t.Fatal(err)
	}
	for _, r := range records {
		l.put(r, medlarid.NewRecordID(), author)
	}
}

func apply(t testing.TB, s *State, e medlarlog.Entry) {
	t.Helper()
	if err := s.Apply(e); err != nil {
		t.Fatal(err)
	}
}

// readAll applies the log from its first offset on to a new state.
func (l *log) readAll() *State {
	l.t.Helper()
	s := New()
	if l.first > 1 {
		s.Restart(l.first)
	}
	for _, e := range l.records {
		apply(l.t, s, e)
	}
	return s
}

func (l *log) expire(n int) {
	l.records = l.records[n:]
	l.first += medlarid.Offset(n)
}

func TestVerdicts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		record func(*testing.T, *State) *medlarrecord.Record
		want   RejectReason
	}{
		{"accepted", func(t *testing.T, s *State) *medlarrecord.Record {
			return publicationOn(t, 1, s.View().Lists, planChange("p", 2))
		}, RejectNone},
		{"older base", func(t *testing.T, s *State) *medlarrecord.Record {
			return publicationOn(t, 0, s.View().Lists, planChange("p", 2))
		}, RejectBaseMismatch},
		{"base ahead of the version", func(t *testing.T, s *State) *medlarrecord.Record {
			return publicationOn(t, 9, s.View().Lists, planChange("p", 2))
		}, RejectBaseMismatch},
		{"empty change", func(t *testing.T, s *State) *medlarrecord.Record {
			return publicationOn(t, 1, s.View().Lists, medlarlist.Change{})
		}, RejectEmpty},
		{"digest mismatch", func(t *testing.T, _ *State) *medlarrecord.Record {
			return publicationOn(t, 1, medlarlist.New(), planChange("q", 2))
		}, RejectDigestMismatch},
		{"invalid value", func(t *testing.T, s *State) *medlarrecord.Record {
			r := publicationOn(t, 1, s.View().Lists, planChange("p", 2))
			r.GetPublication().Put[0].Value = []byte(`{"rate":-1}`)
			return r
		}, RejectInvalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, s := newLog(t), New()
			apply(t, s, l.publish(s, planChange("p", 1)))
			apply(t, s, l.put(tc.record(t, s), medlarid.NewRecordID(), "a"))
			assertLast(t, s.View(), tc.want)
		})
	}
}

func assertLast(t *testing.T, v *View, want RejectReason) {
	t.Helper()
	last := v.History[len(v.History)-1]
	if last.Reject != want {
		t.Errorf("verdict %q, want %q", last.Reject, want)
	}
	wantVersion := medlarid.Offset(1)
	if want == RejectNone {
		wantVersion = 2
	}
	if v.Version != wantVersion {
		t.Errorf("version %d is in force, want %d", v.Version, wantVersion)
	}
}

func TestConcurrentPublications(t *testing.T) {
	l, s := newLog(t), New()
	apply(t, s, l.publish(s, planChange("p", 1)))
	first, second := l.publish(s, planChange("p", 2)), l.publish(s, planChange("p", 3))
	apply(t, s, first)
	apply(t, s, second)
	v := s.View()
	if v.Version != first.Offset || v.Lists.Plans["p"].Rate != 2 || v.History[2].Reject != RejectBaseMismatch {
		t.Errorf("version %d, history %+v", v.Version, v.History)
	}
}

func TestIgnoredRecords(t *testing.T) {
	for _, tc := range []struct {
		name string
		add  func(*log, *State)
		want Counts
	}{
		{"duplicate publication", func(l *log, _ *State) { l.add(l.records[0].Data) }, Counts{Accepted: 1, Duplicates: 1}},
		{"malformed bytes", func(l *log, _ *State) { l.add([]byte("\xff\xff")) }, Counts{Accepted: 1, Malformed: 1}},
		{"record of another type", func(l *log, _ *State) {
			l.put(&medlarrecord.Record{Body: &medlarrecord.Record_Lease{Lease: &medlarrecord.Lease{}}}, medlarid.NewRecordID(), "a")
		}, Counts{Accepted: 1, Skipped: 1}},
		{"snapshot read by a ready reader", func(l *log, s *State) { l.snapshot(s.View(), "a") }, Counts{Accepted: 1, Snapshots: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, s := newLog(t), New()
			apply(t, s, l.publish(s, planChange("p", 1)))
			tc.add(l, s)
			for _, e := range l.records[1:] {
				apply(t, s, e)
			}
			if d := cmp.Diff(tc.want, s.Counts()); d != "" {
				t.Error(d)
			}
			if s.View().Version != 1 || s.View().NextOffset != l.next() {
				t.Errorf("version %d, next %d", s.View().Version, s.View().NextOffset)
			}
		})
	}
}

func TestOffsetGapIsAnError(t *testing.T) {
	l, s := newLog(t), New()
	l.publish(s, planChange("p", 1))
	err := s.Apply(l.publish(s, planChange("p", 2)))
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindGap {
		t.Errorf("got %v, want KindGap", err)
	}
}

func TestStartFromSnapshot(t *testing.T) {
	for _, tc := range []struct {
		name   string
		build  func(*log, *State)
		expire int
		ready  bool
	}{
		{"snapshot only", func(l *log, s *State) { l.snapshot(s.View(), "a") }, 2, true},
		{"publication after the snapshot", func(l *log, s *State) {
			l.snapshot(s.View(), "a")
			apply(l.t, s, l.records[2])
			apply(l.t, s, l.publish(s, planChange("p", 5)))
		}, 2, true},
		{"publication between version and snapshot", func(l *log, s *State) {
			old := s.View()
			apply(l.t, s, l.publish(s, planChange("p", 5)))
			l.snapshot(old, "a")
		}, 2, true},
		{"two snapshots", func(l *log, s *State) { l.snapshot(s.View(), "a"); l.snapshot(s.View(), "b") }, 2, true},
		{"no snapshot", func(*log, *State) {}, 1, false},
		{"publication after the snapshot's version has expired", func(l *log, s *State) {
			old := s.View()
			apply(l.t, s, l.publish(s, planChange("p", 5)))
			l.snapshot(old, "a")
		}, 3, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, s := newLog(t), New()
			apply(t, s, l.publish(s, planChange("p", 1)))
			apply(t, s, l.publish(s, planChange("q", 1)))
			tc.build(l, s)
			for int(s.View().NextOffset) <= len(l.records) {
				apply(t, s, l.records[s.View().NextOffset-1])
			}
			l.expire(tc.expire)
			assertSame(t, s, l.readAll(), tc.ready)
		})
	}
}

// assertSame checks that a reader restored from a snapshot has the same state as one
// that read the whole log.
func assertSame(t *testing.T, full, restored *State, ready bool) {
	t.Helper()
	f, r := full.View(), restored.View()
	if r.Ready != ready {
		t.Fatalf("ready is %v, want %v", r.Ready, ready)
	}
	if !ready {
		return
	}
	if f.Version != r.Version || f.Lists.Digest != r.Lists.Digest || f.NextOffset != r.NextOffset {
		t.Errorf("version %d after the whole log, version %d after the snapshot; or the digest or next offset differs", f.Version, r.Version)
	}
	if d := cmp.Diff(f.History, r.History); d != "" {
		t.Errorf("histories differ (-whole log +snapshot):\n%s", d)
	}
}

func TestSnapshotOfManyParts(t *testing.T) {
	l, s := newLog(t), New()
	c := medlarlist.Change{}
	for i := range 6000 {
		c.Put = append(c.Put, planChange(fmt.Sprintf("plan-%059d", i), i).Put...)
	}
	apply(t, s, l.publish(s, c))
	l.snapshot(s.View(), "a")
	if len(l.records) < 3 {
		t.Fatalf("the snapshot has %d parts", len(l.records)-1)
	}
	for _, e := range l.records[1:] {
		apply(t, s, e)
	}
	last := l.records[len(l.records)-1]
	l.records = l.records[:len(l.records)-1]
	l.expire(1)
	if l.readAll().View().Ready {
		t.Error("a reader is ready after a snapshot without its last part")
	}
	l.records = append(l.records, last)
	assertSame(t, s, l.readAll(), true)
}

func TestRestartNeverLowersVersion(t *testing.T) {
	l, s := newLog(t), New()
	apply(t, s, l.publish(s, planChange("p", 1)))
	old := s.View()
	apply(t, s, l.publish(s, planChange("p", 2)))
	l.snapshot(old, "a")
	s.Restart(3)
	apply(t, s, l.records[2])
	if v := s.View(); v.Version != 2 || v.Lists.Plans["p"].Rate != 2 {
		t.Errorf("version %d is in force after a restart, want 2", v.Version)
	}
}

func TestVerdictAt(t *testing.T) {
	l, s := newLog(t), New()
	for i := range 3 {
		apply(t, s, l.publish(s, planChange("p", i+1)))
	}
	for millis, want := range map[int64]medlarid.Offset{1000: 1, 1999: 1, 2000: 2, 99000: 3} {
		if v, ok := s.View().VerdictAt(time.UnixMilli(millis)); !ok || v.Offset != want {
			t.Errorf("at %d ms version %d was in force, want %d", millis, v.Offset, want)
		}
	}
	if _, ok := s.View().VerdictAt(time.UnixMilli(999)); ok {
		t.Error("a version was in force before the first publication")
	}
}

package medlarfeed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarfield/internal/base/medlarid"
)

// fakeTopic is an in-memory topic.
type fakeTopic struct {
	mu      sync.Mutex
	records []Record
	first   medlarid.Offset // records below this offset were truncated
	era     medlarid.Era
	down    bool
}

var errDown = errors.New("store unavailable")

func (f *fakeTopic) put(key, value string) {
	f.records = append(f.records, Record{Key: key, Value: []byte(value), Removed: value == "", Offset: medlarid.Offset(len(f.records))})
}

func (f *fakeTopic) newest(context.Context, string) (Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Page{}, errDown
	}
	last := map[string]Record{}
	for _, r := range f.records {
		last[r.Key] = r
	}
	p := Page{EndOffset: medlarid.Offset(len(f.records)), Era: f.era}
	for _, r := range last {
		if !r.Removed {
			p.Records = append(p.Records, r)
		}
	}
	return p, nil
}

func (f *fakeTopic) read(_ context.Context, from medlarid.Offset) (Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return Batch{}, errDown
	case from < f.first, int(from) > len(f.records):
		return Batch{Truncated: true, Era: f.era}, nil
	}
	return Batch{Records: slices.Clone(f.records[from:]), NextOffset: medlarid.Offset(len(f.records)), Era: f.era}, nil
}

func (f *fakeTopic) readLatest(ctx context.Context, after string) (Page, error) {
	return f.newest(ctx, after)
}

func (f *fakeTopic) readFrom(ctx context.Context, from medlarid.Offset, _ ReadOptions) (Batch, error) {
	return f.read(ctx, from)
}

// follow runs a feed with a removal delay of two seconds through steps, each followed
// by half a second, and returns the resulting value of each key.
func follow(t *testing.T, steps ...func(*fakeTopic)) map[string]string {
	t.Helper()
	state := map[string]string{}
	synctest.Test(t, func(t *testing.T) {
		topic := &fakeTopic{}
		feed := New(Deps{
			ReadLatest: topic.readLatest,
			ReadFrom:   topic.readFrom,
			Apply: func(rs []Record, _ bool) {
				for _, r := range rs {
					state[r.Key] = string(r.Value)
				}
			},
			OnCurrent:     func(Progress) {},
			OnUnavailable: func(error) {},
			OnRecovered:   func(time.Duration) {},
			OnEra:         func(medlarid.Era) {},
		}, Options{PollInterval: fixed(50 * time.Millisecond), RemovalDelay: 2 * time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		go feed.Run(ctx)
		for _, step := range steps {
			topic.mu.Lock()
			step(topic)
			topic.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
		}
		cancel()
		synctest.Wait()
	})
	return state
}

func put(key, value string) func(*fakeTopic) { return func(f *fakeTopic) { f.put(key, value) } }

func stopStore(f *fakeTopic) { f.down = true }

func startStore(f *fakeTopic) { f.down = false }

func wait(*fakeTopic) {}

// rewind makes the store come back from a copy that lacks its last n records.
func rewind(n int) func(*fakeTopic) {
	return func(f *fakeTopic) {
		f.records = f.records[:max(len(f.records)-n, 0)]
		f.first = min(f.first, medlarid.Offset(len(f.records)))
		f.era++
	}
}

// after runs several steps at once.
func after(steps ...func(*fakeTopic)) func(*fakeTopic) {
	return func(f *fakeTopic) {
		for _, step := range steps {
			step(f)
		}
	}
}

func truncate(f *fakeTopic) { f.first = medlarid.Offset(len(f.records)) + 1; f.put("x", "later") }

func TestFollow(t *testing.T) {
	for _, tc := range []struct {
		name  string
		steps []func(*fakeTopic)
		want  string
	}{
		{"initial and later records", []func(*fakeTopic){put("a", "1"), put("a", "2"), put("b", "1")}, "a=2 b=1"},
		{"removal", []func(*fakeTopic){put("a", "1"), put("a", "")}, "a="},
		{"outage removes nothing", []func(*fakeTopic){put("a", "1"), stopStore}, "a=1"},
		{"change during an outage", []func(*fakeTopic){put("a", "1"), stopStore, put("a", "2"), startStore, wait}, "a=2"},
		{"removal in an outage is delayed", []func(*fakeTopic){put("a", "1"), stopStore, put("a", ""), startStore, wait}, "a=1"},
		{"delayed removal is delivered after the delay", []func(*fakeTopic){put("a", "1"), stopStore, put("a", ""), startStore, wait, wait, wait, wait, wait, wait}, "a="},
		{"newer record cancels a delayed removal", []func(*fakeTopic){put("a", "1"), stopStore, put("a", ""), startStore, put("a", "2"), wait, wait, wait, wait, wait}, "a=2"},
		{"store from a copy, record written again", []func(*fakeTopic){put("a", "1"), put("a", "2"), after(rewind(1), put("a", "2"))}, "a=2"},
		{"store from a copy, other record at the offset", []func(*fakeTopic){put("a", "1"), put("a", "2"), after(rewind(1), put("a", "3"))}, "a=3"},
		{"store from a copy, offsets have passed", []func(*fakeTopic){put("a", "1"), put("b", "1"), after(rewind(1), put("a", "2"), put("a", "3"), put("a", "4"))}, "a=4 b=1"},
		{"store from a copy, value of the copy", []func(*fakeTopic){put("a", "1"), put("b", "1"), put("a", "2"), rewind(1), wait}, "a=1 b=1"},
		{"store from a copy, missing key is kept for a while", []func(*fakeTopic){put("a", "1"), put("b", "1"), rewind(1), wait}, "a=1 b=1"},
		{"store from a copy, missing key is removed later", []func(*fakeTopic){put("a", "1"), put("b", "1"), rewind(1), wait, wait, wait, wait, wait, wait}, "a=1 b="},
		{"store from a copy, removal is gone", []func(*fakeTopic){put("a", "1"), put("a", ""), rewind(1), wait}, "a=1"},
		{"store from a copy twice", []func(*fakeTopic){put("a", "1"), put("a", "2"), after(rewind(1), rewind(1), put("a", "3"))}, "a=3"},
		{"truncated history", []func(*fakeTopic){put("a", "1"), truncate, put("b", "1")}, "a=1 b=1 x=later"},
	} {
		t.Run(tc.name, func(t *testing.T) { assertState(t, follow(t, tc.steps...), tc.want) })
	}
}

func TestKeyDeletedInTruncatedHistory(t *testing.T) {
	got := follow(t, put("a", "1"), func(f *fakeTopic) {
		f.put("a", "")
		f.first = medlarid.Offset(len(f.records)) + 1
		f.put("b", "1")
	}, wait)
	assertState(t, got, "a= b=1")
}

func assertState(t *testing.T, got map[string]string, want string) {
	t.Helper()
	var parts []string
	for _, k := range []string{"a", "b", "x"} {
		if v, ok := got[k]; ok {
			parts = append(parts, fmt.Sprintf("%s=%s", k, v))
		}
	}
	if s := strings.Join(parts, " "); s != want {
		t.Errorf("state %q, want %q", s, want)
	}
}

// TestCurrentFollowsRecords guards against a reader that takes its records for complete before it has got them, in
// pages or one by one.
func TestCurrentFollowsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pages := []Page{
			{Records: []Record{{Key: "a", Offset: 1}}, EndOffset: 3, More: true},
			{Records: []Record{{Key: "b", Offset: 2}}, EndOffset: 4},
		}
		batches := []Batch{{Records: []Record{{Key: "c", Offset: 3}}, NextOffset: 4}, {NextOffset: 4}}
		var got []string
		read, cancel := context.WithCancel(t.Context())
		feed := New(Deps{
			ReadLatest: func(context.Context, string) (Page, error) {
				p := pages[0]
				pages = pages[1:]
				return p, nil
			},
			ReadFrom: func(context.Context, medlarid.Offset, ReadOptions) (Batch, error) {
				if len(batches) == 0 {
					cancel()
					return Batch{}, errDown
				}
				b := batches[0]
				batches = batches[1:]
				return b, nil
			},
			Apply: func(rs []Record, _ bool) {
				for _, r := range rs {
					got = append(got, r.Key)
				}
			},
			OnCurrent:     func(p Progress) { got = append(got, fmt.Sprint("current ", p.End)) },
			OnUnavailable: func(error) {},
			OnRecovered:   func(time.Duration) {},
			OnEra:         func(medlarid.Era) {},
		}, Options{PollInterval: fixed(50 * time.Millisecond)})
		feed.Run(read)
		want := []string{"a", "b", "current 3", "c", "current 4", "current 4"}
		if !slices.Equal(got, want) {
			t.Errorf("%q, want %q", got, want)
		}
	})
}

// TestSamePageAgainEndsRead guards against a read of all keys without an end, where a page's last key is changed on its way.
func TestSamePageAgainEndsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, applied := 0, 0
		feed := New(Deps{
			ReadLatest: func(context.Context, string) (Page, error) {
				if calls++; calls > 10 {
					return Page{}, errDown
				}
				return Page{Records: []Record{{Key: "\ufffd", Value: []byte("x")}}, More: true, EndOffset: 1}, nil
			},
			ReadFrom: func(_ context.Context, from medlarid.Offset, _ ReadOptions) (Batch, error) {
				return Batch{NextOffset: from}, nil
			},
			Apply: func([]Record, bool) { applied++ }, OnCurrent: func(Progress) {}, OnUnavailable: func(error) {}, OnRecovered: func(time.Duration) {},
			OnEra: func(medlarid.Era) {},
		}, Options{PollInterval: fixed(time.Second)})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		feed.Run(ctx)
		if calls != 2 || applied == 0 {
			t.Errorf("%d calls, %d deliveries; want 2 and one", calls, applied)
		}
	})
}

// fixed returns a function that returns a time.
func fixed(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

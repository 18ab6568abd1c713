package medlarcore

import (
	"slices"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbuild"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// TestStreamsBeginElsewhereOnlyIfRecorded guards against streams that begin at another build than all
// instances derive, at an instance that cannot tell the others: if it is killed, they go on at
// the wrong build.
func TestStreamsBeginElsewhereOnlyIfRecorded(t *testing.T) {
	for _, tc := range []struct {
		name    string
		leaving bool          // the only upstream of the derived build
		away    time.Duration // since the instance has read the store
		want    medlarid.InstanceID
	}{
		{"derived build", false, 0, "e00"},
		{"derived build, without the store", false, 10 * time.Second, "e00"},
		{"no upstream of the derived build", true, 0, "e01"},
		{"no upstream of the derived build, without the store", true, 10 * time.Second, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, 0, nil)
			first, second := engineMember(0, "1"), engineMember(1, "1")
			first.Build, second.Build, first.Leaving = "old", "new", tc.leaving
			p.tick(medlarworld.InstancesListed{Members: []medlarupstream.Member{first, second}})
			p.tick(medlarworld.NoticesRead{}, medlarworld.BuildsAssigned{Service: partsService, Assignment: allBuckets("old")})
			p.now = p.now.Add(tc.away)
			r := p.newRun(100, 100)
			r.Stream = medlarbuild.KeyOf("acme", r.ID)
			assertBegins(t, p.tick(medlarworld.Submitted{Run: r}), tc.want)
		})
	}
}

// TestEventsAwaitRecord guards against a caller that has the beginning of a stream which no other instance knows: if
// this one is killed, it cannot go on.
func TestEventsAwaitRecord(t *testing.T) {
	for _, tc := range []struct {
		name    string
		leaving bool // the only upstream of the derived build
		want    bool // the caller waits
	}{{"derived build", false, false}, {"another build", true, true}} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, 0, nil)
			first, second := engineMember(0, "1"), engineMember(1, "1")
			first.Build, second.Build, first.Leaving = "old", "new", tc.leaving
			p.tick(medlarworld.InstancesListed{Members: []medlarupstream.Member{first, second}})
			p.tick(medlarworld.NoticesRead{}, medlarworld.BuildsAssigned{Service: partsService, Assignment: allBuckets("old")})
			r := p.newRun(100, 100)
			r.Stream = medlarbuild.KeyOf("acme", r.ID)
			cs := p.tick(medlarworld.Submitted{Run: r})
			s := startOf(cs)
			if s == nil || s.AwaitRecord != tc.want {
				t.Fatalf("started %+v; want one that waits: %v", s, tc.want)
			}
			if !tc.want {
				return
			}
			p.now = p.now.Add(100 * time.Millisecond)
			serial := recordOf(t, append(cs, p.tick()...))
			assertTold := func(e medlarworld.Event, want bool) {
				t.Helper()
				told := slices.Contains(p.tick(e), medlarworld.Command(medlarworld.StreamRecorded{Run: r.ID, Attempt: s.Attempt}))
				if told != want {
					t.Errorf("after %+v the run is told that its stream is recorded: %v, want %v", e, told, want)
				}
			}
			assertTold(medlarworld.NoticesWritten{}, false)
			assertTold(medlarworld.NoticesWritten{Streams: serial}, true)
			assertTold(medlarworld.NoticesWritten{Streams: serial}, false)
		})
	}
}

// recordOf returns the serial number of the record of streams among commands.
func recordOf(t *testing.T, cs []medlarworld.Command) uint64 {
	t.Helper()
	for _, c := range cs {
		if r, ok := c.(medlarworld.RecordStreams); ok {
			return r.Serial
		}
	}
	t.Fatalf("no record of streams: %+v", cs)
	return 0
}

func allBuckets(b medlarid.Build) medlarbuild.Assignment {
	a := medlarbuild.Assignment{Serial: 1}
	for i := range a.To {
		a.From[i], a.To[i] = b, b
	}
	return a
}

// assertBegins asserts at which upstream a run starts, or that it is refused at once, as not run, if there is none.
func assertBegins(t *testing.T, cs []medlarworld.Command, want medlarid.InstanceID) {
	t.Helper()
	got, refused := startOf(cs), refusalOf(cs)
	switch {
	case want == "" && (got != nil || refused == nil || refused.Reason != medlarreason.Unresumable || refused.Ran != medlarreason.RanNo):
		t.Errorf("started %+v, refused %+v; want a refusal as unresumable", got, refused)
	case want != "" && (got == nil || got.Upstream != want):
		t.Errorf("started %+v, refused %+v; want a start at %s", got, refused, want)
	}
}

func refusalOf(cs []medlarworld.Command) *medlarworld.Refuse {
	for _, c := range cs {
		if r, ok := c.(medlarworld.Refuse); ok {
			return &r
		}
	}
	return nil
}

// TestResumedStreamsAwaitRecords guards against streams that go on at the derived build although another
// instance has recorded a moment ago that they began at another one.
func TestResumedStreamsAwaitRecords(t *testing.T) {
	key := medlarbuild.KeyOf("acme", "first")
	recorded := medlarworld.StreamsRecorded{Builds: map[medlarbuild.Key]medlarid.Build{key: "new"}}
	for _, tc := range []struct {
		name   string
		before []medlarworld.Event // what the instance has read before the request comes
		answer []medlarworld.Event // to its read; nil for none
		want   medlarid.InstanceID
	}{
		{"recorded just now", nil, []medlarworld.Event{recorded, medlarworld.NoticesCurrent{}}, "e01"},
		{"no record", nil, []medlarworld.Event{medlarworld.NoticesCurrent{}}, "e00"},
		{"the store cannot be read", nil, []medlarworld.Event{medlarworld.NoticesCurrent{Failed: true}}, ""},
		{"the store does not answer", nil, nil, ""},
		{"known before", []medlarworld.Event{recorded}, nil, "e01"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, 0, nil)
			first, second := engineMember(0, "1"), engineMember(1, "1")
			first.Build, second.Build = "old", "new"
			p.tick(medlarworld.InstancesListed{Members: []medlarupstream.Member{first, second}})
			p.tick(medlarworld.NoticesRead{}, medlarworld.BuildsAssigned{Service: partsService, Assignment: allBuckets("old")})
			p.tick(tc.before...)
			r := p.newRun(100, 100)
			r.Stream, r.Resumes = key, true
			cs := p.tick(medlarworld.Submitted{Run: r})
			for _, e := range tc.answer {
				if n, ok := e.(medlarworld.NoticesCurrent); ok {
					n.AsOf = readOf(t, cs)
					e = n
				}
				cs = append(cs, p.tick(e)...)
			}
			p.now = p.now.Add(time.Second)
			assertBegins(t, append(cs, p.tick()...), tc.want)
		})
	}
	t.Run("requests that come during a read wait for the next one", func(t *testing.T) {
		p := newPartsHarness(t, 0, nil)
		first, second := engineMember(0, "1"), engineMember(1, "1")
		first.Build, second.Build = "old", "new"
		p.tick(medlarworld.InstancesListed{Members: []medlarupstream.Member{first, second}})
		p.tick(medlarworld.NoticesRead{}, medlarworld.BuildsAssigned{Service: partsService, Assignment: allBuckets("old")})
		resumed := func(id medlarid.RequestID) []medlarworld.Command {
			r := p.newRun(100, 100)
			r.Stream, r.Resumes = medlarbuild.KeyOf("acme", id), true
			return p.tick(medlarworld.Submitted{Run: r})
		}
		at := readOf(t, resumed("a"))
		p.now = p.now.Add(time.Millisecond)
		assertNothing(t, resumed("b"))
		cs := p.tick(medlarworld.NoticesCurrent{AsOf: at})
		assertBegins(t, cs, "e00")
		if n := len(cs); n != 2 {
			t.Errorf("%d commands, want a start and a read: %+v", n, cs)
		}
		assertBegins(t, p.tick(medlarworld.NoticesCurrent{AsOf: readOf(t, cs)}), "e00")
	})
}

// readOf returns since when a read of the notices counts.
func readOf(t *testing.T, cs []medlarworld.Command) time.Time {
	t.Helper()
	for _, c := range cs {
		if r, ok := c.(medlarworld.ReadNotices); ok {
			return r.At
		}
	}
	t.Fatalf("no read of the notices: %+v", cs)
	return time.Time{}
}

func assertNothing(t *testing.T, cs []medlarworld.Command) {
	t.Helper()
	if len(cs) > 0 {
		t.Errorf("commands %+v, want none", cs)
	}
}

package medlarcore

import (
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbuild"
	"medlarfield/internal/core/medlarreason"
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
			p.tick(medlarworld.InstancesListed{Members: []medlarworld.Member{first, second}})
			p.tick(medlarworld.NoticesRead{}, medlarworld.BuildsAssigned{Service: partsService, Assignment: allBuckets("old")})
			p.now = p.now.Add(tc.away)
			r := p.newRun(100, 100)
			r.Stream = medlarbuild.KeyOf("acme", r.ID)
			assertBegins(t, p.tick(medlarworld.Submitted{Run: r}), tc.want)
		})
	}
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

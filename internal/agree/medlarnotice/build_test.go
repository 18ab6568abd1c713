package medlarnotice

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbuild"
	"medlarfield/internal/core/medlarworld"
)

// TestBuildRecordsKeepTheirMeaning guards against streams that go on at another software version since a
// record says something else to who reads it.
func TestBuildRecordsKeepTheirMeaning(t *testing.T) {
	var a medlarbuild.Assignment
	a.Serial = 1 << 60
	for i := range medlarbuild.NumBuckets {
		a.To[i] = medlarid.Build(fmt.Sprint("v", i%32))
		if i%2 == 0 {
			a.From[i] = "v1 \"x\"/"
		}
	}
	t.Run("assignment", func(t *testing.T) {
		r, err := EncodeAssignment(medlarworld.AssignBuilds{Service: "a/b", Assignment: a, Claim: true})
		if err != nil {
			t.Fatal(err)
		}
		e, err := Decode(r)
		if d := cmp.Diff(medlarworld.BuildsAssigned{Service: "a/b", Assignment: a}, e); d != "" || err != nil {
			t.Error(d, err)
		}
	})
	t.Run("assignment that is gone", func(t *testing.T) {
		e, err := Decode(Record{Key: "build/s"})
		if d := cmp.Diff(medlarworld.BuildsAssigned{Service: "s", Dropped: true}, e); d != "" || err != nil {
			t.Error(d, err)
		}
	})
	t.Run("streams", func(t *testing.T) {
		want := map[medlarbuild.Key]medlarid.Build{1: "v1", 1<<64 - 1: "v1", 7: medlarbuild.Unknown}
		r, err := EncodeStreams(StreamsKey("entry-1", "k2"), medlarworld.RecordStreams{Builds: want})
		if err != nil {
			t.Fatal(err)
		}
		e, err := Decode(r)
		if d := cmp.Diff(medlarworld.StreamsRecorded{Builds: want}, e); d != "" || err != nil {
			t.Error(d, err)
		}
	})
	t.Run("no streams any longer", func(t *testing.T) {
		r, err := EncodeStreams("streams/e/1", medlarworld.RecordStreams{})
		if err != nil || len(r.Value) > 0 {
			t.Errorf("record %s, %v; want a removal", r.Value, err)
		}
		if e, err := Decode(r); e != nil || err != nil {
			t.Errorf("decoded %+v, %v; want nothing", e, err)
		}
	})
	t.Run("malformed", func(t *testing.T) {
		buckets := strings.Repeat("0", medlarbuild.NumBuckets)
		for _, r := range []Record{
			{Key: "build/s", Value: []byte("{")},
			{Key: "build/s", Value: []byte(`{"serial":-1,"builds":["v1"],"from":"` + buckets + `","to":"` + buckets + `"}`)},
			{Key: "build/s", Value: []byte(`{"serial":1,"builds":["v1"],"from":"0","to":"` + buckets + `"}`)},
			{Key: "build/s", Value: []byte(`{"serial":1,"builds":[],"from":"` + buckets + `","to":"` + buckets + `"}`)},
			{Key: "build/s", Value: []byte(`{"serial":1,"builds":["v1"],"from":"` + buckets[1:] + `!","to":"` + buckets + `"}`)},
			{Key: "streams/e/1", Value: []byte(`{"builds":{"v1":["!"]}}`)},
			{Key: "streams/e/1", Value: []byte(`{"builds":["v1"]}`)},
		} {
			if e, err := Decode(r); err == nil {
				t.Errorf("decoded %s to %+v, want an error", r.Value, e)
			}
		}
	})
}

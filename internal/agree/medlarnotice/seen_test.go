package medlarnotice

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbuild"
	"medlarfield/internal/core/medlarworld"
)

// TestSeenRecordsKeepTheirMeaning guards against an instance that is taken to follow an assignment that it has
// not read.
func TestSeenRecordsKeepTheirMeaning(t *testing.T) {
	want := medlarbuild.Seen{Read: map[medlarid.ServiceID]uint64{"s": 4, "t": 1}, Used: map[medlarid.ServiceID]uint64{"s": 3}}
	r, err := EncodeSeen("entry-1", medlarworld.RecordSeen{Seen: want})
	if err != nil {
		t.Fatal(err)
	}
	e, err := Decode(r)
	if d := cmp.Diff(medlarworld.AssignmentsSeen{Instance: "entry-1", Seen: want}, e); d != "" || err != nil {
		t.Error(d, err)
	}
	for _, bad := range []string{"{", `{"read":{"s":-1}}`, `{"used":["s"]}`} {
		if e, err := Decode(Record{Key: r.Key, Value: []byte(bad)}); err == nil {
			t.Errorf("decoded %s to %+v, want an error", bad, e)
		}
	}
	if e, err := Decode(Record{Key: r.Key}); e != nil || err != nil {
		t.Errorf("decoded %+v, %v from a removal; want nothing", e, err)
	}
}

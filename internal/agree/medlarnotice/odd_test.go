package medlarnotice

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarworld"
)

// TestOddTraitHidesNoOther guards against the report of a crash that no other instance gets since a caller named a part that is no text.
func TestOddTraitHidesNoOther(t *testing.T) {
	value, err := EncodeCrash(medlarsuspect.Report{Begun: []medlarsuspect.Trait{"\xff", "aa"}, Waiting: []medlarsuspect.Trait{"bb", "\xfe"}})
	if err != nil {
		t.Fatal(err)
	}
	e, err := Decode(Record{Key: "crash/i/0", Value: value})
	if err != nil {
		t.Fatal(err)
	}
	want := medlarsuspect.Report{Begun: []medlarsuspect.Trait{"\ufffd", "aa"}, Waiting: []medlarsuspect.Trait{"bb", "\ufffd"}}
	if diff := cmp.Diff(want, e.(medlarworld.CrashReported).Report); diff != "" {
		t.Error(diff)
	}
}

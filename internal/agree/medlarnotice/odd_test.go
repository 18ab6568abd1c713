package medlarnotice

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/core/medlarbuild"
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

// TestOddNoticesAreRejected guards against notices of other writers or other versions of this software that are used or end the reader.
func TestOddNoticesAreRejected(t *testing.T) {
	buckets := strings.Repeat("-", len(medlarbuild.Buckets{}))
	outOfRange := map[string][]string{
		limitPrefix:      {`{"limit":1e308}`, `{"limit":-1}`},
		needPrefix:       {`{"rates":{"s":1e308}}`, `{"rates":{"s":-1}}`, `{"serial":18446744073709551615}`},
		blockPrefix:      {`{"trials":-1}`, `{"trials":9223372036854775807}`},
		assignmentPrefix: {fmt.Sprintf(`{"serial":18446744073709551615,"from":%q,"to":%q}`, buckets, buckets)},
	}
	deep := strings.Repeat("[", 100000) + strings.Repeat("]", 100000)
	for prefix, fields := range map[string][]string{
		crashPrefix: {"born", "end"}, blockPrefix: {"trials"}, limitPrefix: {"born", "limit"}, needPrefix: {"serial"}, assignmentPrefix: {"serial"}, seenPrefix: {"read"}, streamsPrefix: {"builds"}, peerPrefix: {"key"},
	} {
		values := []string{"x", "[]", deep, "{", "{}x", "\xff", "{\"a\":1,\"a\":2}"}
		values = append(values, outOfRange[prefix]...)
		for _, f := range fields {
			for _, odd := range []string{"1e400", "18446744073709551616", "{", "\"x\"", deep} {
				values = append(values, "{\""+f+"\":"+odd+"}")
			}
		}
		for _, v := range values {
			t.Run(prefix+v[:min(len(v), 30)], func(t *testing.T) {
				r := Record{Key: prefix + "i", Value: []byte(v)}
				e, err := Decode(r)
				if prefix == peerPrefix {
					_, _, _, err = DecodePeer(r)
				}
				if e != nil || err == nil {
					t.Errorf("decoded %+v, error %v; want an error only", e, err)
				}
			})
		}
	}
}

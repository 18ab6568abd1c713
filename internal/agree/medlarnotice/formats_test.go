package medlarnotice

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbuild"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarworld"
)

// exampleAssignment is an assignment whose first bucket keeps version v1, and all others get v2.
func exampleAssignment() medlarbuild.Assignment {
	a := medlarbuild.Assignment{Serial: 1774547982893000001}
	for i := range a.To {
		a.From[i], a.To[i] = "v1", "v2"
	}
	a.To[0] = "v1"
	return a
}

// TestRecordsOfOtherBuilds guards against records that an older instance beside this one cannot read, or this one not of an
// older. The texts were written by fb7fab7.
func TestRecordsOfOtherBuilds(t *testing.T) {
	crash := medlarsuspect.Report{
		Crash: medlarsuspect.CrashID{Replica: "r-1", Incarnation: 1774547982893, End: 2}, Begun: []medlarsuspect.Trait{"aa", "bb"}, Waiting: []medlarsuspect.Trait{"cc"},
	}
	assignment := medlarworld.AssignBuilds{Service: "s", Assignment: exampleAssignment()}
	streams := map[medlarbuild.Key]medlarid.Build{1234567890123: "v1"}
	seen := medlarbuild.Seen{Read: map[medlarid.ServiceID]uint64{"s": 7}, Used: map[medlarid.ServiceID]uint64{"s": 6}}
	for _, tc := range []struct {
		name   string
		encode func() (Record, error)
		key    string
		value  string
		event  medlarworld.Event
	}{
		{"crash", func() (Record, error) {
			v, err := EncodeCrash(crash)
			return Record{Key: CrashKey("entry-1", "3"), Value: v}, err
		}, "crash/entry-1/3", `{"replica":"r-1","born":1774547982893,"end":2,"begun":["aa","bb"],"waiting":["cc"]}`, medlarworld.CrashReported{Report: crash}},
		{"block", func() (Record, error) {
			return EncodeBlock(medlarsuspect.Record{Trait: "aa", Block: medlarsuspect.Block{Trials: 2}})
		}, "block/aa", `{"trials":2,"cleared":false}`, medlarworld.BlockRecorded{Trait: "aa", Block: medlarsuspect.Block{Trials: 2}}},
		{"limit", func() (Record, error) {
			return EncodeLimit(medlarworld.RecordLimit{Upstream: "r-1", Incarnation: 7, Limited: true, Limit: 0.25})
		}, "limit/r-1", `{"born":7,"limit":0.25}`, medlarworld.LimitRecorded{Upstream: "r-1", Incarnation: 7, Limit: 0.25}},
		{"need", func() (Record, error) {
			return EncodeNeed("entry-1", medlarworld.RecordNeed{Serial: 1774547982893000001, Rates: medlarworld.Rates{"s": 2.5}})
		}, "need/entry-1", `{"serial":1774547982893000001,"rates":{"s":2.5}}`, medlarworld.NeedRecorded{Instance: "entry-1", Serial: 1774547982893000001, Rates: medlarworld.Rates{"s": 2.5}}},
		{"assignment", func() (Record, error) { return EncodeAssignment(assignment) }, "build/s", `{"serial":1774547982893000001,"builds":["v1","v2"],"from":"` + strings.Repeat("0", 64) + `","to":"0` + strings.Repeat("1", 63) + `"}`, medlarworld.BuildsAssigned{Service: "s", Assignment: assignment.Assignment}},
		{"streams", func() (Record, error) {
			return EncodeStreams(StreamsKey("entry-1", "k2"), medlarworld.RecordStreams{Builds: streams})
		}, "streams/entry-1/k2", `{"builds":{"v1":["fr5hugnf"]}}`, medlarworld.StreamsRecorded{Builds: streams}},
		{"seen", func() (Record, error) { return EncodeSeen("entry-1", medlarworld.RecordSeen{Seen: seen}) }, "seen/entry-1", `{"read":{"s":7},"used":{"s":6}}`, medlarworld.AssignmentsSeen{Instance: "entry-1", Seen: seen}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, err := tc.encode()
			assertText(t, r, err, tc.key, tc.value)
			e, err := Decode(Record{Key: tc.key, Value: []byte(tc.value)})
			if d := cmp.Diff(tc.event, e); d != "" || err != nil {
				t.Error(d, err)
			}
		})
	}
	t.Run("peer", func(t *testing.T) {
		const key, value = "peer/entry-1", `{"at":"127.0.0.1:1","key":"18446744073709551615","relay":"127.0.0.1:2","zone":"z"}`
		want := Peer{Address: "127.0.0.1:1", Key: 1<<64 - 1, Relay: "127.0.0.1:2", Zone: "z"}
		r, err := EncodePeer("entry-1", want)
		assertText(t, r, err, key, value)
		id, p, ok, err := DecodePeer(Record{Key: key, Value: []byte(value)})
		if id != "entry-1" || p != want || !ok || err != nil {
			t.Errorf("decoded %s, %+v, %v, %v", id, p, ok, err)
		}
	})
}

func assertText(t *testing.T, r Record, err error, key, value string) {
	t.Helper()
	if err != nil || r.Key != key || string(r.Value) != value {
		t.Errorf("record %s %s, %v; want %s %s", r.Key, r.Value, err, key, value)
	}
}

// TestRecordsOfNewerBuilds guards against records that an instance does not read since a newer one has added a field.
func TestRecordsOfNewerBuilds(t *testing.T) {
	for key, value := range map[string]string{
		"crash/entry-1/3": `{"replica":"r-1","born":7,"added":{"a":[1]}}`, "block/aa": `{"added":1,"trials":2}`, "limit/r-1": `{"limit":1,"added":"x"}`,
		"need/entry-1": `{"rates":{},"added":null}`, "seen/entry-1": `{"added":[]}`, "streams/e/1": `{"builds":{},"added":true}`,
	} {
		t.Run(key, func(t *testing.T) {
			if e, err := Decode(Record{Key: key, Value: []byte(value)}); e == nil || err != nil {
				t.Errorf("decoded %+v, %v; want an event", e, err)
			}
		})
	}
	if _, p, _, err := DecodePeer(Record{Key: "peer/e", Value: []byte(`{"at":"127.0.0.1:1","key":"3","added":1}`)}); err != nil || p.Key != 3 {
		t.Errorf("decoded %+v, %v; want the peer", p, err)
	}
}

package medlarregistry

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarpool"
)

// TestEvacuations guards against records of evacuations that are ignored, or stay in force once they are removed.
func TestEvacuations(t *testing.T) {
	put := func(key string) medlarfeed.Record { return medlarfeed.Record{Key: key, Value: []byte("{}")} }
	remove := func(key string) medlarfeed.Record { return medlarfeed.Record{Key: key, Removed: true} }
	for _, tc := range []struct {
		name    string
		records []medlarfeed.Record
		want    []medlarid.Zone
		posts   int
	}{
		{"none", []medlarfeed.Record{remove("evacuate/a")}, nil, 0},
		{"one", []medlarfeed.Record{put("evacuate/a")}, []medlarid.Zone{"a"}, 1},
		{"written again", []medlarfeed.Record{put("evacuate/a"), put("evacuate/a")}, []medlarid.Zone{"a"}, 1},
		{"two", []medlarfeed.Record{put("evacuate/b"), put("evacuate/a")}, []medlarid.Zone{"a", "b"}, 2},
		{"withdrawn", []medlarfeed.Record{put("evacuate/a"), put("evacuate/b"), remove("evacuate/a")}, []medlarid.Zone{"b"}, 3},
		{"in force again", []medlarfeed.Record{put("evacuate/a"), remove("evacuate/a"), put("evacuate/a")}, []medlarid.Zone{"a"}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var last []medlarid.Zone
			posts := 0
			r := New(zerolog.Nop(), medlarpool.NewDirect(), func(e medlarworld.Event) {
				if e, ok := e.(medlarworld.ZonesEvacuated); ok {
					last = e.Zones
					posts++
				}
			}, ignoreMalformed)
			r.ApplyOperatorRecords(tc.records, false)
			if diff := cmp.Diff(tc.want, last); diff != "" || posts != tc.posts || r.EvacuatedZones() != len(tc.want) {
				t.Errorf("posted %d times, want %d; %d zones; diff %s", posts, tc.posts, r.EvacuatedZones(), diff)
			}
		})
	}
}

// TestNoRelayToEvacuatedZone guards against connections that are relayed to replicas of an evacuated availability zone
// for an instance that has not read the record.
func TestNoRelayToEvacuatedZone(t *testing.T) {
	r := New(zerolog.Nop(), medlarpool.NewDirect(), func(medlarworld.Event) {}, ignoreMalformed)
	value := `{"Service":"s","Zone":"a","Address":"10.0.0.1:1","MaxBatchSize":4,"Phase":"ready","born":7}`
	r.ApplyReplicaEntries([]medlarfeed.Record{{Key: "r", Value: []byte(value)}}, true)
	for _, evacuated := range []bool{false, true, false} {
		r.ApplyOperatorRecords([]medlarfeed.Record{{Key: "evacuate/a", Removed: !evacuated}}, false)
		if got, ok := r.Replica("r"); !ok || got.Leaving != evacuated {
			t.Errorf("leaving %v, want %v", got.Leaving, evacuated)
		}
	}
}

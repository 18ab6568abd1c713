package medlarorder

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"medlarfield/internal/base/medlarid"
)

var desired = map[medlarid.ModelID]medlarid.WeightVersion{"m": "v2", "n": "v1"}

func replica(id, model, version string, load int) Replica {
	return Replica{ID: medlarid.InstanceID(id), Model: medlarid.ModelID(model), Version: medlarid.WeightVersion(version), Load: load}
}

func TestPlan(t *testing.T) {
	loading := replica("a", "m", "v1", 0)
	loading.Loading = true
	leaving := replica("a", "m", "v1", 0)
	leaving.Leaving = true
	for _, tc := range []struct {
		name     string
		replicas []Replica
		want     []string
	}{
		{"all replicas have the version", []Replica{replica("a", "m", "v2", 0), replica("b", "m", "v2", 0)}, nil},
		{"least load first", []Replica{replica("a", "m", "v1", 3), replica("b", "m", "v1", 1), replica("c", "m", "v2", 0)}, []string{"b"}},
		{"the last replica keeps serving", []Replica{replica("a", "m", "v1", 0)}, nil},
		{"half of two replicas keep serving", []Replica{replica("a", "m", "v1", 0), replica("b", "m", "v1", 0)}, []string{"a"}},
		{"two loads at the same time", []Replica{
			replica("a", "m", "v1", 0), replica("b", "m", "v1", 0), replica("c", "m", "v1", 0), replica("d", "m", "v1", 0), replica("e", "m", "v1", 0),
		}, []string{"a", "b"}},
		{"one replica is loading already", []Replica{loading, replica("b", "m", "v1", 0), replica("c", "m", "v1", 0), replica("d", "m", "v1", 0)}, []string{"b"}},
		{"leaving replicas get no order", []Replica{leaving, replica("b", "m", "v2", 0), replica("c", "m", "v2", 0)}, nil},
		{"a model without a desired version", []Replica{replica("a", "x", "v1", 0), replica("b", "x", "v1", 0)}, nil},
		{"most load per serving replica first", []Replica{
			replica("a", "m", "v1", 1), replica("b", "m", "v1", 1), replica("c", "n", "v0", 9), replica("d", "n", "v0", 9),
		}, []string{"c", "a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, o := range New(DefaultOptions()).Plan(time.Unix(1000, 0), tc.replicas, desired) {
				got = append(got, string(o.Replica))
			}
			if d := cmp.Diff(tc.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

// TestRandomRollout lets replicas load the versions they are ordered to, some of them
// another one at first, and checks the limits on loading replicas at each step.
func TestRandomRollout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "replicas")
		replicas := make([]Replica, n)
		ends := make([]time.Time, n)
		for i := range replicas {
			replicas[i] = replica(fmt.Sprint("r", i), "m", "v1", 0)
		}
		p, now := New(DefaultOptions()), time.Unix(1000, 0)
		for range 400 {
			for _, o := range p.Plan(now, replicas, desired) {
				for i := range replicas {
					if replicas[i].ID == o.Replica {
						replicas[i].Loading = true
						ends[i] = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
					}
				}
			}
			assertBounds(t, replicas)
			now = now.Add(time.Second)
			for i := range replicas {
				if replicas[i].Loading && !now.Before(ends[i]) {
					replicas[i].Loading = false
					replicas[i].Version = rapid.SampledFrom([]medlarid.WeightVersion{"v2", "v2", "v2", "other"}).Draw(t, "loaded")
				}
			}
		}
		for _, r := range replicas {
			if !r.Loading && r.Version == "v1" {
				t.Fatalf("%s never got an order", r.ID)
			}
		}
	})
}

func assertBounds(t *rapid.T, replicas []Replica) {
	loading := 0
	for _, r := range replicas {
		if r.Loading {
			loading++
		}
	}
	if loading > DefaultMaxLoads || loading == len(replicas) {
		t.Fatalf("%d of %d replicas are loading", loading, len(replicas))
	}
}

package medlarsubset

import (
	"fmt"
	"slices"
	"testing"

	"medlarfield/internal/base/medlarid"
)

func ids(name string, n int) []medlarid.InstanceID {
	out := make([]medlarid.InstanceID, n)
	for i := range out {
		out[i] = medlarid.InstanceID(fmt.Sprint(name, "-", i))
	}
	return out
}

// TestSize guards against subsets that are too large to keep connections in use, too small for retries, or that change with each
// small change of the rate.
func TestSize(t *testing.T) {
	for _, tc := range []struct {
		rate             float64
		replicas, former int
		want             int
	}{
		{0, 90, 0, 4},
		{3, 90, 0, 4},
		{10, 90, 0, 12},
		{13, 90, 0, 16},
		{28, 90, 0, 32},
		{200, 90, 0, 90},
		{10, 3, 0, 3},
		{10, 12, 0, 12},
		{7.9, 90, 12, 12}, // 8 would only just be enough
		{6, 90, 12, 6},
		{1, 90, 32, 4},
		{12.5, 90, 12, 16},
	} {
		if got := Size(tc.rate, tc.replicas, tc.former); got != tc.want {
			t.Errorf("%v requests a second, %d replicas, %d before: %d, want %d", tc.rate, tc.replicas, tc.former, got, tc.want)
		}
	}
	for rate, size := 40.0, 48; rate > 0; rate -= 0.01 {
		next := Size(rate, 1000, size)
		if next > size {
			t.Fatalf("the size grows from %d to %d while the rate falls to %v", size, next, rate)
		}
		size = next
	}
}

var fleets = []struct{ instances, replicas, size int }{{70, 90, 24}, {143, 90, 12}, {300, 90, 4}, {300, 150, 12}, {410, 760, 16}}

// TestEven guards against replicas that are in far more subsets than others, or in none.
func TestEven(t *testing.T) {
	for _, f := range fleets {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			instances, replicas := ids("entry", f.instances), ids("replica", f.replicas)
			counts := map[medlarid.InstanceID]int{}
			for _, self := range instances {
				subset := Choose(self, instances, replicas, f.size)
				if len(subset) != f.size {
					t.Fatalf("%d replicas, want %d", len(subset), f.size)
				}
				for _, id := range subset {
					counts[id]++
				}
			}
			mean := float64(f.instances*f.size) / float64(f.replicas)
			least, most := f.instances, 0
			for _, id := range replicas {
				least, most = min(least, counts[id]), max(most, counts[id])
			}
			t.Logf("a replica is in %.1f subsets on average, in %d to %d", mean, least, most)
			if float64(most) > overload*mean+1 || least == 0 {
				t.Errorf("a replica is in %d to %d subsets, %.1f on average", least, most, mean)
			}
		})
	}
}

// TestEvenWithDifferentSizes guards against instances of different sizes that prefer the same replicas.
func TestEvenWithDifferentSizes(t *testing.T) {
	instances, replicas := ids("entry", 143), ids("replica", 90)
	counts, sum := map[medlarid.InstanceID]int{}, 0
	for i, self := range instances {
		for _, id := range Choose(self, instances, replicas, []int{4, 8, 12, 24}[i%4]) {
			counts[id]++
			sum++
		}
	}
	mean := float64(sum) / float64(len(replicas))
	least, most := sum, 0
	for _, id := range replicas {
		least, most = min(least, counts[id]), max(most, counts[id])
	}
	t.Logf("a replica is in %.1f subsets on average, in %d to %d", mean, least, most)
	if float64(most) > 1.6*mean || float64(least) < 0.4*mean {
		t.Errorf("a replica is in %d to %d subsets, %.1f on average", least, most, mean)
	}
}

// TestFewChange guards against a fleet that opens all its connections anew when one instance or replica joins or leaves.
func TestFewChange(t *testing.T) {
	for _, f := range fleets {
		if testing.Short() && f.instances > 143 { // takes most of a minute with the race detector
			continue
		}
		instances, replicas := ids("entry", f.instances), ids("replica", f.replicas)
		for name, after := range map[string]struct{ instances, replicas []medlarid.InstanceID }{
			"instance leaves": {instances[1:], replicas},
			"replica leaves":  {instances, replicas[1:]},
			"replica joins":   {instances, ids("replica", f.replicas+1)},
			"instance joins":  {ids("entry", f.instances+1), replicas},
		} {
			t.Run(fmt.Sprint(f, name), func(t *testing.T) {
				changed, sum := 0, 0
				for _, self := range instances[1:] {
					before, now := Choose(self, instances, replicas, f.size), Choose(self, after.instances, after.replicas, f.size)
					for _, id := range now {
						sum++
						if !slices.Contains(before, id) {
							changed++
						}
					}
				}
				t.Logf("%.4f of the choices change", float64(changed)/float64(sum))
				if float64(changed) > 0.05*float64(sum) {
					t.Errorf("%d of %d choices change, a twentieth allowed", changed, sum)
				}
			})
		}
	}
}

// TestUnlisted guards against an instance without replicas that has not read of itself yet.
func TestUnlisted(t *testing.T) {
	if got := Choose("other", ids("entry", 70), ids("replica", 90), 8); len(got) != 90 {
		t.Errorf("%d replicas, want all", len(got))
	}
}

func BenchmarkChoose(b *testing.B) {
	instances, replicas := ids("entry", 410), ids("replica", 760)
	for b.Loop() {
		Choose("entry-7", instances, replicas, 16)
	}
}

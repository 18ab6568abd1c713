package medlarregistry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/edge/medlarpool"
)

func ignoreMalformed(medlarmetric.Source) {}

// newRegistry returns a registry with one replica that runs version 1, and a function
// that returns the replica's version last posted to the core.
func newRegistry(t *testing.T) (registry *Registry, posted func() medlarid.WeightVersion) {
	t.Helper()
	var last medlarid.WeightVersion
	registry = New(zerolog.Nop(), medlarpool.NewDirect(), func(e medlarworld.Event) {
		if e, ok := e.(medlarworld.InstancesListed); ok {
			for _, m := range e.Members {
				last = m.Version
			}
		}
	}, ignoreMalformed)
	applyEntry(registry, 1, 7)
	return registry, func() medlarid.WeightVersion { return last }
}

func applyEntry(t *Registry, version, born int) {
	value := fmt.Appendf(nil, `{"Service":"s","Address":"10.0.0.1:1","MaxBatchSize":4,"Phase":"ready","Models":[{"Name":"m","Version":%d}],"born":%d}`, version, born)
	t.ApplyReplicaEntries([]medlarfeed.Record{{Key: "r", Value: value}}, true)
}

func setDesired(t *Registry, version int) {
	value := fmt.Appendf(nil, `{"Model":"m","Version":%d}`, version)
	t.ApplyOperatorRecords([]medlarfeed.Record{{Key: "version/m", Value: value}}, false)
}

// TestVersions checks which version requests to a replica name, and which version the
// rollout is given for it.
func TestVersions(t *testing.T) {
	for _, tc := range []struct {
		name           string
		steps          func(t *Registry)
		request, known medlarid.WeightVersion
	}{
		{"entry", func(*Registry) {}, "1", "1"},
		{"reported version is newer", func(t *Registry) { t.ObserveVersion("r", "2") }, "2", "2"},
		{"reported version is older", func(t *Registry) { t.ObserveVersion("r", "3"); t.ObserveVersion("r", "2") }, "3", "3"},
		{"older entry after a report", func(t *Registry) { t.ObserveVersion("r", "2"); applyEntry(t, 1, 7) }, "2", "2"},
		{"entry of another start", func(t *Registry) { t.ObserveVersion("r", "2"); applyEntry(t, 1, 8) }, "1", "1"},
		{"mismatch at the desired version", func(t *Registry) { t.ObserveVersionMismatch("r", "1") }, "1", "1"},
		{"mismatch at an older version than desired", func(t *Registry) { setDesired(t, 3); t.ObserveVersionMismatch("r", "1") }, "3", "1"},
		{"mismatch, then a report", func(t *Registry) { setDesired(t, 3); t.ObserveVersionMismatch("r", "1"); t.ObserveVersion("r", "2") }, "2", "2"},
		{"mismatch, then a report of the older version", func(t *Registry) { setDesired(t, 3); t.ObserveVersionMismatch("r", "1"); t.ObserveVersion("r", "1") }, "1", "1"},
		{"mismatch, then a mismatch at the assumed version", func(t *Registry) {
			setDesired(t, 3)
			t.ObserveVersionMismatch("r", "1")
			t.ObserveVersionMismatch("r", "3")
		}, "1", "1"},
		{"mismatch at a version that no request named", func(t *Registry) { setDesired(t, 3); t.ObserveVersionMismatch("r", "2") }, "1", "1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			registry, posted := newRegistry(t)
			tc.steps(registry)
			if got := posted(); got != tc.request {
				t.Errorf("requests name version %s, want %s", got, tc.request)
			}
			if got := registry.ModelReplicas()[0].Version; got != tc.known {
				t.Errorf("known version is %s, want %s", got, tc.known)
			}
		})
	}
}

func TestCatalogAndVersionsAreMonotonic(t *testing.T) {
	registry, _ := newRegistry(t)
	setDesired(registry, 3)
	setDesired(registry, 2)
	if v := registry.DesiredVersions()["m"]; v != "3" {
		t.Errorf("desired version is %s, want 3", v)
	}
	applyCatalog := func(version int) {
		registry.ApplyOperatorRecords([]medlarfeed.Record{{Key: "config", Value: fmt.Appendf(nil, `{"Version":%d}`, version)}}, false)
	}
	applyCatalog(5)
	applyCatalog(4)
	if c := registry.Catalog(); c == nil || c.Version != 5 {
		t.Errorf("catalog %+v, want version 5", c)
	}
}

func TestInvalidEntryRemovesReplica(t *testing.T) {
	registry, _ := newRegistry(t)
	registry.ApplyReplicaEntries([]medlarfeed.Record{{Key: "r", Value: []byte("{}")}}, false)
	if e := registry.ModelReplicas(); len(e) != 0 {
		t.Errorf("replicas after an invalid entry: %+v, want none", e)
	}
}

// TestMostReplicasPast checks when parts of an older weight version may be freed. The
// share of replicas that must run a later version and the share whose answers let an
// instance fetch parts must overlap in at least one replica.
func TestMostReplicasPast(t *testing.T) {
	if medlarplacement.SwappedShare+medlarplacement.ConfirmationShare <= 1 {
		t.Errorf("shares %v and %v may have no replica in common", medlarplacement.SwappedShare, medlarplacement.ConfirmationShare)
	}
	const replicas = 12
	for _, tc := range []struct {
		name    string
		changed int
		after   time.Duration
		want    bool
	}{
		{"five sixths, for longer than the minimum", 10, time.Second, true},
		{"one replica fewer", 9, time.Second, false},
		{"all, for the minimum only", 12, time.Second - time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registry := New(zerolog.Nop(), medlarpool.NewDirect(), func(medlarworld.Event) {}, ignoreMalformed)
				entry := func(i, version int) {
					value := fmt.Appendf(nil, `{"Service":"s","Address":"10.0.0.%d:1","MaxBatchSize":4,"Phase":"ready","Models":[{"Name":"m","Version":%d}],"born":7}`, i, version)
					registry.ApplyReplicaEntries([]medlarfeed.Record{{Key: fmt.Sprint("r-", i), Value: value}}, true)
				}
				for i := range replicas {
					entry(i, 1)
				}
				time.Sleep(medlarplacement.DepartedTTL)
				for i := range tc.changed {
					entry(i, 2)
				}
				time.Sleep(tc.after)
				if got := registry.MostReplicasPast("m", "1", time.Second-time.Millisecond); got != tc.want {
					t.Errorf("most replicas past version 1: %v, want %v", got, tc.want)
				}
			})
		})
	}
}

// TestSuccessiveVersions guards against parts of a replaced version that stay in full stores because the
// replicas go on to a further version before they may be freed.
func TestSuccessiveVersions(t *testing.T) {
	for _, tc := range []struct {
		name     string
		versions []int // one a second
		born     func(second int) int
		want     bool // past version 1 for longer than a second and a half
	}{
		{"two changes in quick succession", []int{1, 2, 3}, func(int) int { return 7 }, true},
		{"a single change", []int{1, 1, 2}, func(int) int { return 7 }, false},
		{"a restart after the change", []int{1, 2, 2}, func(second int) int { return 7 + second }, true},
		{"back to the first version", []int{1, 2, 1, 2}, func(second int) int { return 7 + second }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registry := New(zerolog.Nop(), medlarpool.NewDirect(), func(medlarworld.Event) {}, ignoreMalformed)
				for second, v := range tc.versions {
					applyEntry(registry, v, tc.born(second))
					time.Sleep(time.Second)
				}
				if got := registry.MostReplicasPast("m", "1", 1500*time.Millisecond); got != tc.want {
					t.Errorf("past version 1: %v, want %v", got, tc.want)
				}
			})
		})
	}
}

// TestDeniedVersions guards against a replica that refuses each request because it runs a version that this
// instance has not read of, and gets all of them as it looks idle.
func TestDeniedVersions(t *testing.T) {
	const v2, v3 = medlarid.WeightVersion("2"), medlarid.WeightVersion("3")
	for _, tc := range []struct {
		name   string
		steps  func(t *Registry)
		denied bool
		want   medlarid.WeightVersion
	}{
		{"the desired version", func(t *Registry) { t.ObserveVersionMismatch("r", v2) }, true, v2},
		{"then a report of the same, which may be out of date", func(t *Registry) {
			t.ObserveVersionMismatch("r", v2)
			time.Sleep(maxReportLag)
			t.ObserveVersion("r", v2)
		}, true, v2},
		{"then a later report of the same", func(t *Registry) {
			t.ObserveVersionMismatch("r", v2)
			time.Sleep(maxReportLag + time.Millisecond)
			t.ObserveVersion("r", v2)
		}, false, v2},
		{"then a report of a newer one", func(t *Registry) { t.ObserveVersionMismatch("r", v2); t.ObserveVersion("r", v3) }, false, v3},
		{"then its entry", func(t *Registry) { t.ObserveVersionMismatch("r", v2); applyEntry(t, 3, 7) }, false, v3},
		{"then its entry without news", func(t *Registry) { t.ObserveVersionMismatch("r", v2); applyEntry(t, 2, 7) }, true, v2},
		{"then it starts again", func(t *Registry) { t.ObserveVersionMismatch("r", v2); applyEntry(t, 2, 8) }, false, v2},
		{"of a request sent before a report", func(t *Registry) { t.ObserveVersion("r", v3); t.ObserveVersionMismatch("r", v2) }, false, v3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var last medlarupstream.Member
				registry := New(zerolog.Nop(), medlarpool.NewDirect(), func(e medlarworld.Event) {
					if e, ok := e.(medlarworld.InstancesListed); ok {
						last = e.Members[0]
					}
				}, ignoreMalformed)
				applyEntry(registry, 2, 7)
				setDesired(registry, 2)
				tc.steps(registry)
				if last.VersionDenied != tc.denied || last.Version != tc.want {
					t.Errorf("version %s, denied %v; want %s, %v", last.Version, last.VersionDenied, tc.want, tc.denied)
				}
				if got := registry.ModelReplicas()[0].Denied; got != tc.denied {
					t.Errorf("the rollout is told denied %v, want %v", got, tc.denied)
				}
			})
		})
	}
}

// TestEntryOfUnknownServiceIsNotUsed guards against orders to, and the counting of, a replica of a service that no catalog names.
func TestEntryOfUnknownServiceIsNotUsed(t *testing.T) {
	catalog := func(version int, service string) func(*Registry) {
		value := fmt.Appendf(nil, `{"Version":%d,"Routes":[],"Services":[{"Name":%q,"Engine":{"MaxBatchSize":4,"Models":[{"Name":"m"}]}}]}`, version, service)
		return func(t *Registry) {
			t.ApplyOperatorRecords([]medlarfeed.Record{{Key: "config", Value: value}}, false)
		}
	}
	for _, tc := range []struct {
		name  string
		steps []func(*Registry)
		want  int
	}{
		{"before the first catalog", nil, 1},
		{"named", []func(*Registry){catalog(1, "s")}, 1},
		{"unknown", []func(*Registry){catalog(1, "other")}, 0},
		{"named later", []func(*Registry){catalog(1, "other"), catalog(2, "s")}, 1},
		{"named before", []func(*Registry){catalog(1, "s"), catalog(2, "other")}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			posted := 0
			registry := New(zerolog.Nop(), medlarpool.NewDirect(), func(e medlarworld.Event) {
				if e, ok := e.(medlarworld.InstancesListed); ok {
					posted = len(e.Members)
				}
			}, ignoreMalformed)
			applyEntry(registry, 1, 7)
			for _, step := range tc.steps {
				step(registry)
			}
			if n := len(registry.ModelReplicas()); n != tc.want || posted != tc.want {
				t.Errorf("%d replicas for orders and %d for requests, want %d", n, posted, tc.want)
			}
		})
	}
}

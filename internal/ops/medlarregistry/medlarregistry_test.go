package medlarregistry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarstock"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarpool"
)

// newTable returns a table with a replica under version 1, and what the core was told
// last of the replica's version.
func newTable(t *testing.T) (table *Registry, told func() medlarid.WeightVersion) {
	t.Helper()
	var last medlarid.WeightVersion
	table = New(zerolog.Nop(), medlarpool.New(), func(e medlarworld.Event) {
		if e, ok := e.(medlarworld.Listed); ok {
			for _, m := range e.Members {
				last = m.Version
			}
		}
	})
	entry(table, 1, 7)
	return table, func() medlarid.WeightVersion { return last }
}

func entry(t *Registry, version, born int) {
	value := fmt.Appendf(nil, `{"Service":"s","Address":"10.0.0.1:1","MaxBatchSize":4,"Phase":"ready","Models":[{"Name":"m","Version":%d}],"born":%d}`, version, born)
	t.ApplyReplicaEntries([]medlarfeed.Record{{Key: "r", Value: value}}, true)
}

func want(t *Registry, version int) {
	value := fmt.Appendf(nil, `{"Model":"m","Version":%d}`, version)
	t.ApplyOperatorRecords([]medlarfeed.Record{{Key: "version/m", Value: value}}, false)
}

// TestVersions asserts under which version requests to a replica are made, and which
// one is known for orders.
func TestVersions(t *testing.T) {
	for _, tc := range []struct {
		name          string
		steps         func(t *Registry)
		served, known medlarid.WeightVersion
	}{
		{"entry", func(*Registry) {}, "1", "1"},
		{"told is newer", func(t *Registry) { t.ObserveVersion("r", "2") }, "2", "2"},
		{"told is older", func(t *Registry) { t.ObserveVersion("r", "3"); t.ObserveVersion("r", "2") }, "3", "3"},
		{"an older entry after it was told", func(t *Registry) { t.ObserveVersion("r", "2"); entry(t, 1, 7) }, "2", "2"},
		{"another start", func(t *Registry) { t.ObserveVersion("r", "2"); entry(t, 1, 8) }, "1", "1"},
		{"denied while it is wanted", func(t *Registry) { t.ObserveVersionMismatch("r", "1") }, "1", "1"},
		{"denied after another was wanted", func(t *Registry) { want(t, 3); t.ObserveVersionMismatch("r", "1") }, "3", "1"},
		{"and told", func(t *Registry) { want(t, 3); t.ObserveVersionMismatch("r", "1"); t.ObserveVersion("r", "2") }, "2", "2"},
		{"and told the older one", func(t *Registry) { want(t, 3); t.ObserveVersionMismatch("r", "1"); t.ObserveVersion("r", "1") }, "1", "1"},
		{"and denied again", func(t *Registry) { want(t, 3); t.ObserveVersionMismatch("r", "1"); t.ObserveVersionMismatch("r", "3") }, "1", "1"},
		{"denied what it was not asked for", func(t *Registry) { want(t, 3); t.ObserveVersionMismatch("r", "2") }, "1", "1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table, told := newTable(t)
			tc.steps(table)
			if got := told(); got != tc.served {
				t.Errorf("requests are made under %s, want %s", got, tc.served)
			}
			if got := table.ModelReplicas()[0].Version; got != tc.known {
				t.Errorf("known is %s, want %s", got, tc.known)
			}
		})
	}
}

func TestCatalogAndVersionsOnlyRise(t *testing.T) {
	table, _ := newTable(t)
	want(table, 3)
	want(table, 2)
	if v := table.DesiredVersions()["m"]; v != "3" {
		t.Errorf("wanted is %s, want 3", v)
	}
	config := func(version int) {
		table.ApplyOperatorRecords([]medlarfeed.Record{{Key: "config", Value: fmt.Appendf(nil, `{"Version":%d}`, version)}}, false)
	}
	config(5)
	config(4)
	if c := table.Catalog(); c == nil || c.Version != 5 {
		t.Errorf("catalog %+v, want version 5", c)
	}
}

func TestEntryThatNamesNoReplicaTakesItOut(t *testing.T) {
	table, _ := newTable(t)
	table.ApplyReplicaEntries([]medlarfeed.Record{{Key: "r", Value: []byte("{}")}}, false)
	if e := table.ModelReplicas(); len(e) != 0 {
		t.Errorf("still there: %+v", e)
	}
}

// TestMostReplicasPast asserts from when on parts of an older weight version may be freed: the
// share of replicas that must have changed, and the share whose answers let an instance
// fetch them, have a replica in common.
func TestMostReplicasPast(t *testing.T) {
	if medlarstock.SwapShare+medlarstock.HeardShare <= 1 {
		t.Errorf("shares %v and %v need not have a replica in common", medlarstock.SwapShare, medlarstock.HeardShare)
	}
	const replicas = 12
	for _, tc := range []struct {
		name    string
		changed int
		after   time.Duration
		want    bool
	}{
		{"all but a sixth, for long enough", 10, time.Second, true},
		{"one fewer", 9, time.Second, false},
		{"not for long enough", 12, time.Second - time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := New(zerolog.Nop(), medlarpool.New(), func(medlarworld.Event) {})
				for i := range replicas {
					version := 1
					if i < tc.changed {
						version = 2
					}
					value := fmt.Appendf(nil, `{"Service":"s","Address":"10.0.0.%d:1","MaxBatchSize":4,"Phase":"ready","Models":[{"Name":"m","Version":%d}],"born":7}`, i, version)
					table.ApplyReplicaEntries([]medlarfeed.Record{{Key: fmt.Sprint("r-", i), Value: value}}, true)
				}
				time.Sleep(tc.after)
				if got := table.MostReplicasPast("m", "1", time.Second-time.Millisecond); got != tc.want {
					t.Errorf("changed: %v, want %v", got, tc.want)
				}
			})
		})
	}
}

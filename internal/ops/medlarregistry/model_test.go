package medlarregistry

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarpool"
)

// TestEntryWithoutModels guards against an entry of another writer that makes a model replica a plain one, so that its
// requests name neither a weight version nor a salt (WALL).
func TestEntryWithoutModels(t *testing.T) {
	const start = `{"Service":"%s","Address":"10.0.0.1:1","MaxBatchSize":4,"Phase":"ready","born":7%s}`
	entry := func(service, models string) func(*Registry) {
		return func(r *Registry) {
			r.ApplyReplicaEntries([]medlarfeed.Record{{Key: "r", Value: fmt.Appendf(nil, start, service, models)}}, true)
		}
	}
	const models = `,"Models":[{"Name":"m","Version":1}]`
	unreadable := func(r *Registry) {
		r.ApplyReplicaEntries([]medlarfeed.Record{{Key: "r", Value: []byte("x")}}, true)
	}
	config := func(r *Registry) {
		value := `{"Version":1,"Services":[{"Name":"s","MaxConnections":8,"Engine":{"MaxBatchSize":4,"KvCapacity":90000,"KvTokenBytes":64,"Models":[{"Name":"m"}]}},{"Name":"plain"}]}`
		r.ApplyOperatorRecords([]medlarfeed.Record{{Key: "config", Value: []byte(value)}}, false)
	}
	for _, tc := range []struct {
		name  string
		steps []func(*Registry)
		want  string // kinds of the members that the core knows
	}{
		{"whole", []func(*Registry){config, entry("s", models)}, "engine"},
		{"plain service", []func(*Registry){config, entry("plain", "")}, "service"},
		{"without models", []func(*Registry){config, entry("s", "")}, ""},
		{"after one that cannot be read", []func(*Registry){config, entry("s", models), unreadable, entry("s", "")}, ""},
		{"in place of a whole one", []func(*Registry){config, entry("s", models), entry("s", "")}, ""},
		{"before the configuration", []func(*Registry){entry("s", ""), config}, ""},
		{"whole again", []func(*Registry){config, entry("s", ""), entry("s", models)}, "engine"},
		{"whole again, before the configuration", []func(*Registry){entry("s", ""), config, entry("s", models)}, "engine"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := ""
			r := New(zerolog.Nop(), medlarpool.NewDirect(), func(e medlarworld.Event) {
				if e, ok := e.(medlarworld.InstancesListed); ok {
					got = ""
					for _, m := range e.Members {
						got += m.Kind
					}
				}
			}, ignoreMalformed)
			for _, step := range tc.steps {
				step(r)
			}
			if got != tc.want {
				t.Errorf("the core knows %q, want %q", got, tc.want)
			}
		})
	}
}

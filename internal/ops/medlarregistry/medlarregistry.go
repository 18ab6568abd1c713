// Package medlarregistry holds what an attached instance believes of its platform: the
// catalog in force, the weight versions wanted and the replicas. It tells the core of
// each change.
//
// Rules:
//
//	R1  A catalog and a weight version only rise.
//	R2  A record that cannot be read has no effect; an entry that names no replica to
//	    use takes its replica out.
//	R3  What a replica told itself goes before its entry, if it is newer and of the same
//	    start.
package medlarregistry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarhistory"
	"medlarfield/internal/core/medlarstock"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/ops/medlarcachetracker"
	"medlarfield/internal/ops/medlarrollout"
	"medlarfield/platform"
)

// initialVersion is the weight version of a model for which none was named.
const initialVersion medlarid.WeightVersion = "1"

// Registry holds what the instance believes of the platform: the catalog in force, the
// weight versions wanted and the replicas. It tells the core of each change. It is
// safe for concurrent use.
type Registry struct {
	log  zerolog.Logger
	post func(medlarworld.Event)
	pool *medlarpool.Pool

	mu       sync.Mutex
	catalog  *medlarcatalog.Catalog
	wanted   medlarrollout.DesiredVersions
	replicas map[medlarid.InstanceID]*replica
	listed   bool                                       // the replicas were read once
	named    map[medlarid.ModelID]medlarhistory.History // versions that were wanted one after the other
	applied  medlarid.Offset
	behind   bool // the operators' records cannot be read
}

// replica is a replica's entry with what it told since.
type replica struct {
	medlarplatform.Replica
	told  medlarid.WeightVersion // newer than the entry's, or empty
	guess medlarid.WeightVersion // that it is taken to have for requests, or empty
	since time.Time              // when version was seen first
}

// version returns the newest weight version that the replica is known to have.
func (r *replica) version() medlarid.WeightVersion {
	if r.Member.Version.Before(r.told) {
		return r.told
	}
	return r.Member.Version
}

// served returns the weight version that requests to the replica are made under.
func (r *replica) served() medlarid.WeightVersion {
	if r.guess != "" {
		return r.guess
	}
	return r.version()
}

// New returns an empty table.
func New(log zerolog.Logger, pool *medlarpool.Pool, post func(medlarworld.Event)) *Registry {
	return &Registry{
		log: log, pool: pool, post: post,
		wanted: medlarrollout.DesiredVersions{}, replicas: map[medlarid.InstanceID]*replica{},
		named: map[medlarid.ModelID]medlarhistory.History{},
	}
}

// Catalog returns the catalog in force, or nil.
func (t *Registry) Catalog() *medlarcatalog.Catalog {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.catalog
}

// Ready reports whether the instance can serve: it has a catalog and has read the
// replicas once.
func (t *Registry) Ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.catalog != nil && t.listed
}

// SetOperatorUnavailable notes whether the operators' records cannot be read.
func (t *Registry) SetOperatorUnavailable(behind bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behind = behind
}

// Times after which a caller may come back that came before the first catalog. A
// process that starts reads it at once, unless the store does not answer.
const (
	readySoon  = 400 * time.Millisecond
	readyLater = 2 * time.Second
)

// RetryAfter returns when a caller may come back that came before the first catalog.
func (t *Registry) RetryAfter() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behind {
		return readyLater
	}
	return readySoon
}

// DesiredVersions returns the weight versions wanted.
func (t *Registry) DesiredVersions() medlarrollout.DesiredVersions {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.wanted)
}

// ModelReplicas returns the replicas with models, ordered by id.
func (t *Registry) ModelReplicas() []medlarrollout.Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []medlarrollout.Replica
	for _, r := range t.replicas {
		if m := r.Member; m.Model != "" {
			out = append(out, medlarrollout.Replica{
				ID: m.ID, Address: m.Address, Model: m.Model, Version: r.version(), Leaving: m.Leaving,
			})
		}
	}
	slices.SortFunc(out, func(a, b medlarrollout.Replica) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// ApplyOperatorRecords takes over records of the operator. What cannot be read, and an older
// catalog or weight version, has no effect.
func (t *Registry) ApplyOperatorRecords(records []medlarfeed.Record, _ bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, rec := range records {
		if rec.Removed {
			continue
		}
		op, err := medlarplatform.DecodeOperator(rec.Key, rec.Value)
		if err != nil {
			t.log.Warn().Str("event", "operator").Str("key", rec.Key).Uint64("offset", uint64(rec.Offset)).Err(err).Msg("record not understood")
			continue
		}
		if op == nil {
			continue
		}
		if op.Catalog != nil {
			changed = t.takeCatalog(op.Catalog, rec.Offset) || changed
		} else {
			changed = t.takeVersion(op.Model, rec.Offset) || changed
		}
	}
	if changed {
		t.tellCatalog()
		t.tellReplicas() // with the stores of the catalog
	}
}

func (t *Registry) takeCatalog(c *medlarcatalog.Catalog, at medlarid.Offset) bool {
	if t.catalog != nil && c.Version <= t.catalog.Version {
		return false
	}
	t.catalog = c
	t.log.Info().Str("event", "catalog").Uint64("version", c.Version).Uint64("offset", uint64(at)).Msg("configuration in force")
	return true
}

func (t *Registry) takeVersion(m medlarworld.Model, at medlarid.Offset) bool {
	if old := t.wanted[m.ID]; old != "" && !old.Before(m.Version) {
		return false
	}
	t.wanted[m.ID] = m.Version
	t.named[m.ID] = append(t.named[m.ID], medlarhistory.Named{Version: m.Version, At: time.Now()})
	t.log.Info().Str("event", "weights").Str("model", string(m.ID)).Str("version", string(m.Version)).
		Uint64("offset", uint64(at)).Msg("weight version wanted")
	return true
}

// tellCatalog tells the core of models and weight versions; the lock is held.
func (t *Registry) tellCatalog() {
	if t.catalog == nil {
		return
	}
	for _, s := range t.catalog.Services {
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			if t.wanted[m] == "" {
				t.wanted[m] = initialVersion
			}
		}
	}
	e := medlarworld.Applied{}
	for m, v := range t.wanted {
		e.Models = append(e.Models, medlarworld.Model{ID: m, Version: v})
	}
	t.applied++
	e.Version = t.applied
	t.post(e)
}

// ApplyReplicaEntries takes over entries of replicas. An entry that names no replica to use
// takes its replica out.
func (t *Registry) ApplyReplicaEntries(records []medlarfeed.Record, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = t.listed || first
	changed := first
	for _, rec := range records {
		changed = t.takeEntry(medlarid.InstanceID(rec.Key), rec) || changed
	}
	if changed {
		t.tellReplicas()
	}
}

// takeEntry takes over one entry and reports whether anything changed.
func (t *Registry) takeEntry(id medlarid.InstanceID, rec medlarfeed.Record) bool {
	old := t.replicas[id]
	if rec.Removed {
		return t.remove(id, old, rec.Offset, "entry removed")
	}
	next, err := medlarplatform.DecodeReplica(string(id), rec.Value)
	if err != nil {
		t.log.Warn().Str("event", "replica").Str("replica", string(id)).Uint64("offset", uint64(rec.Offset)).Err(err).Msg("entry not understood")
		return t.remove(id, old, rec.Offset, "entry not understood")
	}
	if old != nil && old.Born == next.Born && old.Member == next.Member {
		return false // a heartbeat
	}
	r := &replica{Replica: next, since: time.Now()}
	if old != nil && old.Born == next.Born {
		r.told = old.told
		if r.version() == old.version() {
			r.since = old.since
		}
	} else if old != nil {
		t.pool.Forget(old.Member.Address)
	}
	t.replicas[id] = r
	t.log.Info().Str("event", "replica").Str("replica", string(id)).Str("service", string(next.Member.Service)).
		Str("address", string(next.Member.Address)).Bool("leaving", next.Member.Leaving).
		Str("version", string(next.Member.Version)).Int64("born", next.Born).Uint64("offset", uint64(rec.Offset)).Msg("entry")
	return true
}

func (t *Registry) remove(id medlarid.InstanceID, old *replica, at medlarid.Offset, why string) bool {
	if old == nil {
		return false
	}
	delete(t.replicas, id)
	t.pool.Forget(old.Member.Address)
	t.log.Info().Str("event", "replica").Str("replica", string(id)).Uint64("offset", uint64(at)).Msg(why)
	return true
}

// ObserveVersion takes over the weight version that a replica answered under.
func (t *Registry) ObserveVersion(id medlarid.InstanceID, v medlarid.WeightVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[id]
	if r == nil || r.guess == "" && !r.version().Before(v) {
		return
	}
	r.guess = ""
	if r.version().Before(v) {
		r.told, r.since = v, time.Now()
	}
	t.log.Info().Str("event", "replica").Str("replica", string(id)).Str("version", string(v)).Msg("weight version told")
	t.tellReplicas()
}

// ObserveVersionMismatch takes over that a replica does not have a weight version. One that was
// believed to have an older version than wanted is guessed to have the wanted one,
// until it tells: a request names the version, so that a wrong guess shows at once. The
// guess is for requests only: who gives orders goes by what replicas tell.
func (t *Registry) ObserveVersionMismatch(id medlarid.InstanceID, v medlarid.WeightVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[id]
	if r == nil || r.served() != v {
		return
	}
	wanted := t.wanted[r.Member.Model]
	switch {
	case r.guess != "":
		r.guess = ""
	case v.Before(wanted):
		r.guess = wanted
	default:
		return
	}
	t.log.Info().Str("event", "replica").Str("replica", string(id)).Str("denied", string(v)).Str("version", string(r.served())).
		Msg("weight version guessed")
	t.tellReplicas()
}

// MostReplicasPast reports whether medlarstock.SwapShare of a model's replicas have had a later
// weight version than v for a time.
func (t *Registry) MostReplicasPast(m medlarid.ModelID, v medlarid.WeightVersion, lasting time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, changed := 0, 0
	for _, r := range t.replicas {
		if r.Member.Model != m {
			continue
		}
		all++
		if v.Before(r.version()) && time.Since(r.since) > lasting {
			changed++
		}
	}
	return all > 0 && float64(changed) >= medlarstock.SwapShare*float64(all)
}

// tellReplicas tells the core of all replicas; the lock is held.
func (t *Registry) tellReplicas() {
	e := medlarworld.Listed{Members: make([]medlarworld.Member, 0, len(t.replicas))}
	for _, r := range t.replicas {
		m := r.Member
		m.Version = r.served()
		if m.Model != "" {
			m.Prefill = prefill
			m.TokenBytes, m.Memory = t.memory(m.Service)
		}
		e.Members = append(e.Members, m)
	}
	e.Members = append(e.Members, t.stores()...)
	t.post(e)
}

// memory returns the size of a token in the memory of a service's replicas, and how
// many it holds.
func (t *Registry) memory(id medlarid.ServiceID) (medlarid.Bytes, medlarid.Tokens) {
	if t.catalog == nil || t.catalog.Services[id].Engine == nil {
		return 0, 0
	}
	e := t.catalog.Services[id].Engine
	return e.TokenBytes, e.Memory
}

// stores returns the stores of the catalog; the lock is held.
func (t *Registry) stores() []medlarworld.Member {
	if t.catalog == nil {
		return nil
	}
	var out []medlarworld.Member
	for id, s := range t.catalog.Services {
		if s.Store == nil || !s.Store.Managed {
			continue
		}
		out = append(out, medlarworld.Member{
			ID: medlarid.InstanceID(id), Kind: "store", Zone: s.Store.Zone, Address: s.Store.Address,
			Capacity: s.Store.Capacity, Rate: s.Store.Rate, Setup: s.Store.Setup,
		})
	}
	return out
}

// Stores returns the stores of the catalog.
func (t *Registry) Stores() []medlarcachetracker.StoreRef {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []medlarcachetracker.StoreRef
	for _, m := range t.stores() {
		out = append(out, medlarcachetracker.StoreRef{ID: m.ID, Address: m.Address})
	}
	return out
}

// ReplacedAt returns when a weight version of a model was first replaced by a later one,
// as this process saw it; ok is false if it was not.
func (t *Registry) ReplacedAt(m medlarid.ModelID, v medlarid.WeightVersion) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.named[m].Replaced(v)
}

// prefill is the number of prompt tokens a second that a replica is taken to
// compute.
const prefill = 80000

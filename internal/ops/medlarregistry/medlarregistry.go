// Package medlarregistry holds an attached instance's view of its platform: the catalog
// in force, the desired weight versions and the replicas. It posts each change to the
// core.
//
// Rules:
//
//	R1  Catalog and desired weight versions are monotonic: an older one is ignored.
//	R2  A record that cannot be decoded is ignored; an entry that does not describe a
//	    usable replica removes its replica. Both are counted; the first of a series of
//	    such entries under one id is logged.
//	R3  A weight version that a replica itself reported overrides the one in its entry,
//	    if it is newer and belongs to the same start of the replica.
//	R4  An entry of a service that no catalog has named is another writer's: it gets
//	    neither requests nor orders until a catalog names the service. An entry that names
//	    no model where the service has an engine describes no usable replica (R2).
//	R5  A replica whose entry is removed may still run, and serve other instances that know
//	    it: for some time it counts among those that have to run a later weight version before
//	    parts of an older one are freed. One that does run it, and has left or joined, makes up
//	    for no other: lists of other instances may lack it.
//	R6  An availability zone is evacuated as long as the operators' record of it exists, as of the last read.
package medlarregistry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarhistory"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/ops/medlarcachetracker"
	"medlarfield/internal/ops/medlardialer"
	"medlarfield/internal/ops/medlarrollout"
	"medlarfield/platform"
	"medlarfield/platform/medlarentries"
)

// initialVersion is the desired weight version of a model for which the operators have
// published none.
const initialVersion medlarid.WeightVersion = "1"

// Registry holds the instance's view of the platform: the catalog in force, the desired
// weight versions and the replicas. It posts each change to the core. It is safe for
// concurrent use.
type Registry struct {
	log         zerolog.Logger
	post        func(medlarworld.Event)
	pool        *medlarpool.Pool
	onMalformed func(medlarmetric.Source)

	mu                  sync.Mutex
	catalog             *medlarcatalog.Catalog
	desired             medlarrollout.DesiredVersions
	evacuated           map[medlarid.Zone]bool // availability zones (R6)
	replicas            map[medlarid.InstanceID]*replica
	services            map[medlarid.ServiceID]bool                // services that a catalog has named, and whether they have an engine; empty before the first one
	malformed           map[medlarid.InstanceID]bool               // ids whose latest entry cannot be decoded
	replicasRead        bool                                       // whether the replicas have been read once
	versionHistory      map[medlarid.ModelID]medlarhistory.History // successive desired versions
	departed            map[medlarid.InstanceID]departure          // replicas of models that were removed (R5)
	followedSince       time.Time                                  // when the replicas were read first
	replicasAsOf        time.Time                                  // time as of which the replicas are known
	revision            medlarid.Offset                            // number of catalog changes posted to the core
	operatorUnavailable bool                                       // whether the operators' records cannot be read
}

// New returns an empty registry that posts its changes to the core with post. onMalformed is
// called for each record that cannot be decoded.
func New(log zerolog.Logger, pool *medlarpool.Pool, post func(medlarworld.Event), onMalformed func(medlarmetric.Source)) *Registry {
	return &Registry{
		log: log, pool: pool, post: post, onMalformed: onMalformed,
		desired: medlarrollout.DesiredVersions{}, evacuated: map[medlarid.Zone]bool{}, replicas: map[medlarid.InstanceID]*replica{}, services: map[medlarid.ServiceID]bool{}, malformed: map[medlarid.InstanceID]bool{},
		versionHistory: map[medlarid.ModelID]medlarhistory.History{}, departed: map[medlarid.InstanceID]departure{},
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
	return t.catalog != nil && t.replicasRead
}

// SetOperatorUnavailable records whether the operators' records cannot be read.
func (t *Registry) SetOperatorUnavailable(unavailable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.operatorUnavailable = unavailable
}

// Retry delays for requests that arrive before the first catalog. A starting process
// reads the catalog immediately, unless the store is unavailable.
const (
	retrySoon  = 400 * time.Millisecond
	retryLater = 2 * time.Second
)

// RetryAfter returns the delay after which a caller may retry a request that arrived
// before the first catalog.
func (t *Registry) RetryAfter() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.operatorUnavailable {
		return retryLater
	}
	return retrySoon
}

// DesiredVersions returns a copy of the desired weight versions.
func (t *Registry) DesiredVersions() medlarrollout.DesiredVersions {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.desired)
}

// ModelReplicas returns the replicas that serve a model, ordered by id.
func (t *Registry) ModelReplicas() []medlarrollout.Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []medlarrollout.Replica
	for _, r := range t.replicas {
		if m := r.Member; m.Model != "" && t.serves(r) {
			out = append(out, medlarrollout.Replica{
				ID: m.ID, Incarnation: medlarid.Incarnation(r.StartedMs), Address: m.Address, Model: m.Model,
				Version: r.version(), Denied: r.denied(), Leaving: m.Leaving,
			})
		}
	}
	slices.SortFunc(out, func(a, b medlarrollout.Replica) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// ApplyOperatorRecords applies records of the operators. Records that cannot be decoded,
// and older catalogs and weight versions, are ignored (R1, R2).
func (t *Registry) ApplyOperatorRecords(records []medlarfeed.Record, _ bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, rec := range records {
		if zone, ok := medlarplatform.EvacuatedZone(rec.Key); ok {
			t.applyEvacuation(zone, !rec.Removed, rec.Offset)
			continue
		}
		if rec.Removed {
			continue
		}
		op, err := medlarplatform.DecodeOperatorRecord(rec.Key, rec.Value)
		if err != nil {
			t.onMalformed(medlarmetric.SourceOperators)
			t.log.Warn().Str("event", "operator").Str("key", rec.Key).Uint64("offset", uint64(rec.Offset)).Err(err).Msg("operator record cannot be decoded; ignoring it")
			continue
		}
		if op == nil {
			continue
		}
		if op.Catalog != nil {
			changed = t.applyCatalog(op.Catalog, rec.Offset) || changed
		} else {
			changed = t.applyDesiredVersion(op.Model, rec.Offset) || changed
		}
	}
	if changed {
		t.postCatalog()
		t.postReplicas() // includes the stores, which the catalog defines
	}
}

// applyEvacuation applies the record of an availability zone, or its end (R6). The caller holds t.mu.
func (t *Registry) applyEvacuation(zone medlarid.Zone, active bool, at medlarid.Offset) {
	if t.evacuated[zone] == active {
		return
	}
	text := "evacuation of the availability zone is withdrawn"
	if active {
		t.evacuated[zone] = true
		text = "availability zone is evacuated; its replicas get no new requests"
	} else {
		delete(t.evacuated, zone)
	}
	t.log.Info().Str("event", "evacuation").Str("zone", string(zone)).Bool("active", active).Uint64("offset", uint64(at)).Msg(text)
	t.post(medlarworld.ZonesEvacuated{Zones: slices.Sorted(maps.Keys(t.evacuated))})
}

// EvacuatedZones returns the number of availability zones that are evacuated.
func (t *Registry) EvacuatedZones() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.evacuated)
}

func (t *Registry) applyCatalog(c *medlarcatalog.Catalog, at medlarid.Offset) bool {
	if t.catalog != nil && c.Version <= t.catalog.Version {
		return false
	}
	t.catalog = c
	for id, s := range c.Services {
		t.services[id] = s.Engine != nil
	}
	t.log.Info().Str("event", "catalog").Uint64("version", c.Version).Uint64("offset", uint64(at)).Msg("configuration in force")
	return true
}

func (t *Registry) applyDesiredVersion(m medlarworld.Model, at medlarid.Offset) bool {
	if old := t.desired[m.ID]; old != "" && !old.Before(m.Version) {
		return false
	}
	t.desired[m.ID] = m.Version
	t.versionHistory[m.ID] = append(t.versionHistory[m.ID], medlarhistory.Change{Version: m.Version, At: time.Now()})
	t.log.Info().Str("event", "weights").Str("model", string(m.ID)).Str("version", string(m.Version)).
		Uint64("offset", uint64(at)).Msg("desired weight version set")
	return true
}

// postCatalog posts the models and their desired weight versions to the core. The caller
// holds t.mu.
func (t *Registry) postCatalog() {
	if t.catalog == nil {
		return
	}
	for _, s := range t.catalog.Services {
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			if t.desired[m] == "" {
				t.desired[m] = initialVersion
			}
		}
	}
	e := medlarworld.ListsApplied{}
	for m, v := range t.desired {
		e.Models = append(e.Models, medlarworld.Model{ID: m, Version: v})
	}
	t.revision++
	e.Version = t.revision
	t.post(e)
}

// ApplyReplicaEntries applies entries of replicas; first is set if the records are all the
// current ones. An entry that does not describe a usable replica removes its replica (R2).
func (t *Registry) ApplyReplicaEntries(records []medlarfeed.Record, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.replicasRead && first {
		t.replicasRead, t.followedSince = true, time.Now()
	}
	changed := first
	for _, rec := range records {
		changed = t.applyEntry(medlarid.InstanceID(rec.Key), rec, first) || changed
	}
	if changed {
		t.postReplicas()
	}
	t.postHeartbeats(records)
}

// postHeartbeats posts which replicas have written an entry, for services that configure a cold rate. The caller holds t.mu.
func (t *Registry) postHeartbeats(records []medlarfeed.Record) {
	var e medlarworld.HeartbeatsRead
	for _, rec := range records {
		id := medlarid.InstanceID(rec.Key)
		r := t.replicas[id]
		if r == nil {
			continue
		}
		if rate, _ := t.cold(r.Member.Service); rate > 0 {
			e.Heartbeats = append(e.Heartbeats, medlarupstream.Heartbeat{Upstream: id, Incarnation: medlarid.Incarnation(r.StartedMs)})
		}
	}
	if len(e.Heartbeats) > 0 {
		t.post(e)
	}
}

// applyEntry applies one entry and reports whether anything changed. first is set for an entry of the first read.
func (t *Registry) applyEntry(id medlarid.InstanceID, rec medlarfeed.Record, first bool) bool {
	old := t.replicas[id]
	if rec.Removed {
		delete(t.malformed, id)
		return t.remove(id, old, rec.Offset, "replica removed: entry deleted")
	}
	next, err := medlarentries.DecodeReplica(string(id), rec.Value)
	if err == nil && t.lacksModel(next.Member) {
		err = errNoModel
	}
	if err != nil {
		t.onMalformed(medlarmetric.SourceReplicas)
		if !t.malformed[id] {
			t.malformed[id] = true
			t.log.Warn().Str("event", "replica").Str("replica", string(id)).Uint64("offset", uint64(rec.Offset)).Err(err).Msg("replica entry cannot be decoded")
		}
		return t.remove(id, old, rec.Offset, "replica removed: entry cannot be decoded")
	}
	delete(t.malformed, id)
	if old != nil && old.StartedMs == next.StartedMs && old.Member == next.Member && !old.coldChanged(next.ColdRemaining) {
		return false // heartbeat without changes
	}
	r := &replica{Replica: next, listedAt: time.Now(), cold: coldUntil(next.ColdRemaining), fresh: !first && t.isFresh(id, old, next.StartedMs)}
	if old != nil {
		r.listedAt = old.listedAt
		r.history = slices.Clone(old.history) // a replica keeps its version when it starts again
	}
	if old != nil && old.StartedMs == next.StartedMs {
		r.reported = old.reported
		if r.version() == old.version() {
			r.deniedAt = old.deniedAt
		}
	} else if old != nil {
		t.pool.CloseIdle(old.Member.Address)
	}
	r.observe()
	t.replicas[id] = r
	delete(t.departed, id)
	t.log.Info().Str("event", "replica").Str("replica", string(id)).Str("service", string(next.Member.Service)).
		Str("address", string(next.Member.Address)).Bool("leaving", next.Member.Leaving).
		Str("build", string(next.Member.Build)).Str("version", string(next.Member.Version)).Int64("born", next.StartedMs).Uint64("offset", uint64(rec.Offset)).Msg("replica entry applied")
	return true
}

func (t *Registry) remove(id medlarid.InstanceID, old *replica, at medlarid.Offset, why string) bool {
	if old == nil {
		return false
	}
	delete(t.replicas, id)
	t.depart(id, old)
	t.pool.CloseIdle(old.Member.Address)
	t.log.Info().Str("event", "replica").Str("replica", string(id)).Uint64("offset", uint64(at)).Msg(why)
	return true
}

// errNoModel says why an entry is not used.
var errNoModel = eris.New("entry names no model, and its service has an engine")

// lacksModel reports whether a replica names no model though its service has an engine (R4). The caller holds t.mu.
func (t *Registry) lacksModel(m medlarupstream.Member) bool {
	return m.Model == "" && t.services[m.Service]
}

// serves reports whether a replica is of a service that a catalog has named, and has what that needs (R4). The caller
// holds t.mu.
func (t *Registry) serves(r *replica) bool {
	_, named := t.services[r.Member.Service]
	return len(t.services) == 0 || named && !t.lacksModel(r.Member)
}

// postReplicas posts all replicas and stores to the core. The caller holds t.mu.
func (t *Registry) postReplicas() {
	e := medlarworld.InstancesListed{Members: make([]medlarupstream.Member, 0, len(t.replicas))}
	for _, r := range t.replicas {
		if !t.serves(r) {
			continue
		}
		m := r.Member
		m.Version, m.VersionDenied = r.requestVersion(), r.denied()
		m.Incarnation, m.ColdUntil, m.Fresh = medlarid.Incarnation(r.StartedMs), r.cold, r.fresh
		m.ColdRate, m.ColdTime = t.cold(m.Service)
		if m.Model != "" {
			m.PrefillRate = prefill
			m.TokenBytes, m.KVCapacity = t.memory(m.Service)
		}
		e.Members = append(e.Members, m)
	}
	e.Members = append(e.Members, t.stores()...)
	t.post(e)
}

// memory returns the KV cache size of a token on a service's replicas, and the number of
// tokens that a replica's KV cache holds. The caller holds t.mu.
func (t *Registry) memory(id medlarid.ServiceID) (medlarid.Bytes, medlarid.Tokens) {
	if t.catalog == nil || t.catalog.Services[id].Engine == nil {
		return 0, 0
	}
	e := t.catalog.Services[id].Engine
	return e.BytesPerToken, e.CacheTokens
}

// isFresh reports whether an entry shows a start of a replica that was not listed before. The caller holds t.mu.
func (t *Registry) isFresh(id medlarid.InstanceID, old *replica, startedMs int64) bool {
	if old != nil && old.StartedMs == startedMs {
		return old.fresh
	}
	d, ok := t.departed[id]
	return !ok || d.StartedMs != startedMs
}

// cold returns how many requests per second a cold replica of a service gets from all instances, and how long after its
// start it is cold. The caller holds t.mu.
func (t *Registry) cold(id medlarid.ServiceID) (rate float64, lasting time.Duration) {
	if t.catalog == nil {
		return 0, 0
	}
	s := t.catalog.Services[id]
	return s.ColdRate, s.ColdTime
}

// stores returns the managed stores of the catalog. The caller holds t.mu.
func (t *Registry) stores() []medlarupstream.Member {
	if t.catalog == nil {
		return nil
	}
	var out []medlarupstream.Member
	for id, s := range t.catalog.Services {
		if s.KVStore == nil || !s.KVStore.Managed {
			continue
		}
		out = append(out, medlarupstream.Member{
			ID: medlarid.InstanceID(id), Kind: "store", Zone: s.KVStore.Zone, Address: s.KVStore.Address,
			Capacity: s.KVStore.Capacity, Rate: s.KVStore.BytesPerSecond, Setup: s.KVStore.TransferSetup,
		})
	}
	return out
}

// Replica returns what is known of a replica; ok is false if it is not listed. One in an evacuated availability zone is
// returned as leaving, so that connections to it are not relayed either.
func (t *Registry) Replica(id medlarid.InstanceID) (r medlardialer.Replica, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.replicas[id]
	if e == nil {
		return r, false
	}
	return medlardialer.Replica{Incarnation: medlarid.Incarnation(e.StartedMs), Address: e.Member.Address, Leaving: e.Member.Leaving || t.evacuated[e.Member.Zone]}, true
}

// Stores returns the managed stores of the catalog.
func (t *Registry) Stores() []medlarcachetracker.StoreRef {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []medlarcachetracker.StoreRef
	for _, m := range t.stores() {
		out = append(out, medlarcachetracker.StoreRef{ID: m.ID, Address: m.Address})
	}
	return out
}

// prefill is the assumed prefill throughput of a replica, in prompt tokens per second.
const prefill = 80000

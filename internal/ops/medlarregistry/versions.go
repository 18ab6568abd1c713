package medlarregistry

import (
	"maps"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarhistory"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/platform/medlarentries"
)

// replica is a replica's entry together with what was learned from its answers since.
type replica struct {
	medlarentries.Replica
	reported medlarid.WeightVersion // reported by the replica and newer than the entry's, or empty
	assumed  medlarid.WeightVersion // assumed for requests after a version mismatch, or empty
	history  medlarhistory.History  // successive values of version()
	listedAt time.Time              // since when the replica has been listed, whichever start of it
	fresh    bool                   // it has started since the first read of the replicas
	cold     time.Time              // until when the replica is cold, as its entry states; zero if it is not
	deniedAt time.Time              // when the replica denied to run any version that requests could name; zero if it did not
}

// observe extends the history after a change. A replica that went back to an earlier version starts it anew.
func (r *replica) observe() {
	v := r.version()
	if n := len(r.history); n > 0 {
		last := r.history[n-1].Version
		if v == last {
			return
		}
		if v.Before(last) {
			r.history = nil
		}
	}
	r.history = append(r.history, medlarhistory.Change{Version: v, At: time.Now()})
}

// past reports whether the replica has run later versions than v for longer than a time.
func (r *replica) past(v medlarid.WeightVersion, lasting time.Duration) bool {
	at, ok := r.history.ReplacedAt(v)
	return ok && time.Since(at) > lasting
}

// version returns the newest weight version that the replica is known to have.
func (r *replica) version() medlarid.WeightVersion {
	if r.Member.Version.Before(r.reported) {
		return r.reported
	}
	return r.Member.Version
}

// maxReportLag is the longest time by which the version that a replica reports may be out of date.
const maxReportLag = 500 * time.Millisecond

// coldTolerance is the difference up to which two entries state the same end of a replica's cold time: each is read
// some time after it was written.
const coldTolerance = 300 * time.Millisecond

// coldUntil returns until when a replica is cold whose entry states the remaining time. An entry is read after it was
// written, so that the replica is not cold for longer.
func coldUntil(remaining time.Duration) time.Time {
	if remaining <= 0 {
		return time.Time{}
	}
	return time.Now().Add(remaining)
}

// coldChanged reports whether an entry with the remaining cold time states another end of it than is known. An earlier
// end within coldTolerance is no change.
func (r *replica) coldChanged(remaining time.Duration) bool {
	next := coldUntil(remaining)
	if next.IsZero() {
		return !r.cold.IsZero()
	}
	return next.After(r.cold) || r.cold.Sub(next) > coldTolerance
}

// denied reports whether it is not known which version the replica runs.
func (r *replica) denied() bool { return !r.deniedAt.IsZero() }

// requestVersion returns the weight version to name in requests to the replica.
func (r *replica) requestVersion() medlarid.WeightVersion {
	if r.assumed != "" {
		return r.assumed
	}
	return r.version()
}

// ObserveVersion records the weight version that a replica reported or answered under.
// It clears an assumed version, and the denial of all known ones (see ObserveVersionMismatch).
func (t *Registry) ObserveVersion(id medlarid.InstanceID, v medlarid.WeightVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[id]
	if r == nil {
		return
	}
	newer := r.version().Before(v)
	resolved := r.denied() && (newer || time.Since(r.deniedAt) > maxReportLag)
	if r.assumed == "" && !newer && !resolved {
		return
	}
	r.assumed = ""
	if resolved {
		r.deniedAt = time.Time{}
	}
	if newer {
		r.reported = v
		r.observe()
	}
	t.log.Info().Str("event", "replica").Str("replica", string(id)).Str("version", string(v)).Msg("replica reported its weight version")
	t.postReplicas()
}

// ObserveVersionMismatch records that a replica rejected a request because it does not
// run weight version v. If v is older than the desired version, requests assume the
// desired one until the replica reports its version. Requests name the version, so that
// a wrong assumption is rejected at once and then dropped. The assumption applies to
// requests only: the rollout uses the versions that replicas report. A replica that denies
// the desired version too, or a later one, gets no requests until it reports which one it
// runs: it may have loaded one that this instance has not read of.
func (t *Registry) ObserveVersionMismatch(id medlarid.InstanceID, v medlarid.WeightVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[id]
	if r == nil || r.requestVersion() != v {
		return
	}
	desired := t.desired[r.Member.Model]
	switch {
	case r.assumed != "":
		r.assumed, r.deniedAt = "", time.Now()
	case v.Before(desired):
		r.assumed = desired
	default:
		r.deniedAt = time.Now()
	}
	t.log.Info().Str("event", "replica").Str("replica", string(id)).Str("denied", string(v)).Str("version", string(r.requestVersion())).Bool("known", !r.denied()).
		Msg("replica rejected the weight version; assumed version changed")
	t.postReplicas()
}

// MostReplicasPast reports whether at least medlarplacement.SwappedShare of a model's replicas
// have run later weight versions than v for longer than lasting. It holds for each list of the replicas within
// DepartedTTL: those that were listed all the time are in all of them, and any other that runs an older version may be (R5).
func (t *Registry) MostReplicasPast(m medlarid.ModelID, v medlarid.WeightVersion, lasting time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := func(r *replica) bool { return r.Member.Model == m && t.serves(r) }
	listed, always, older := false, 0, 0
	for _, r := range t.replicas {
		if !counts(r) {
			continue
		}
		listed = true
		if time.Since(r.listedAt) >= medlarplacement.DepartedTTL {
			always++
		}
		if !r.past(v, lasting) {
			older++
		}
	}
	for _, d := range t.departed {
		if time.Since(d.at) < medlarplacement.DepartedTTL && counts(d.replica) && !d.past(v, lasting) {
			older++
		}
	}
	return listed && float64(always-older) >= medlarplacement.SwappedShare*float64(always)
}

// departure is a replica that was removed.
type departure struct {
	*replica
	at time.Time
}

// depart records the removal of a replica (R5). The caller holds t.mu.
func (t *Registry) depart(id medlarid.InstanceID, r *replica) {
	maps.DeleteFunc(t.departed, func(_ medlarid.InstanceID, d departure) bool { return time.Since(d.at) >= medlarplacement.DepartedTTL })
	if r.Member.Model != "" {
		t.departed[id] = departure{replica: r, at: time.Now()}
	}
}

// ReplicasCurrent records that the replicas are known as of a time, which may be zero.
func (t *Registry) ReplicasCurrent(asOf time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asOf.After(t.replicasAsOf) {
		t.replicasAsOf = asOf
		t.post(medlarworld.ReplicasCurrent{At: asOf})
	}
}

// PartsUnused reports whether no instance fetches parts of an older weight version any more, as far as that depends
// on the replicas (medlarplacement R7, R8): this instance knows all that others may use, and most run a later version.
func (t *Registry) PartsUnused(m medlarid.ModelID, v medlarid.WeightVersion) bool {
	t.mu.Lock()
	known := time.Since(t.replicasAsOf) <= medlarplacement.MaxListAge && time.Since(t.followedSince) >= medlarplacement.DepartedTTL
	t.mu.Unlock()
	return known && t.MostReplicasPast(m, v, medlarplacement.SwapDelay)
}

// ReplacedAt returns when this process first saw a later desired version of a model
// replace v; ok is false if none has.
func (t *Registry) ReplacedAt(m medlarid.ModelID, v medlarid.WeightVersion) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versionHistory[m].ReplacedAt(v)
}

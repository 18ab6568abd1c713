// Package medlardesired dates the changes of the models' desired weight versions. Replicas with an older version
// serve for a bounded time after a change, at all instances alike, whenever each of them has read of it.
//
// Rules:
//
//	R1  A change that an instance reads while it follows the operators' records is dated with the read.
//	R2  After a start, or a time in which the records could not be read, an instance cannot know when the change
//	    was made: at any time since it read the records before. It takes the earliest such time, but leaves
//	    older versions Config.SettlingTime.
//	R3  Instances tell one another the ages of changes that they have dated by R1, while replicas run
//	    an older version. The earliest time counts, and goes before an estimate.
package medlardesired

import (
	"cmp"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarhistory"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Bounds of the rules.
const (
	maxVersions = 32             // versions of a model that are kept
	maxReadGap  = time.Second    // between two reads of the operators' records that follow one another (R1)
	maxTold     = 4              // changes that are told at a time (R3)
	maxAge      = 24 * time.Hour // of a change that another instance tells (R3)
)

// System dates the changes of the desired weight versions.
type System struct{}

// New returns a System.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.RecordsCurrent:
			if e.At.After(w.RecordsAsOf) { // answers overtake one another
				w.RecordsAsOf = e.At
			}
		case medlarworld.ListsApplied:
			applyLists(w, e)
		case medlarworld.PeerLoadReported:
			for _, c := range e.Changes {
				applyAge(w, c)
			}
		}
	}
}

// applyLists replaces the models; an older version of the lists is ignored.
func applyLists(w *medlarworld.World, e medlarworld.ListsApplied) {
	if w.Ready && e.Version <= w.Version {
		return
	}
	at, estimated := changedAt(w)
	w.Version = e.Version
	w.Ready = true
	old := w.Models
	w.Models = make(map[medlarid.ModelID]medlarworld.Model, len(e.Models))
	for _, m := range e.Models {
		m.Versions = old[m.ID].Versions
		if n := len(m.Versions); n == 0 || m.Versions[n-1].Version != m.Version {
			m.Versions = append(m.Versions[max(n-maxVersions, 0):], medlarhistory.Change{Version: m.Version, At: at, Estimated: estimated})
		}
		w.Models[m.ID] = m
	}
}

// changedAt returns the time of a change that has just been read (R1, R2). It is called before the lists are applied;
// RecordsAsOf is of the read before.
func changedAt(w *medlarworld.World) (at time.Time, estimated bool) {
	if w.Config.OldVersionGrace == 0 {
		return w.Now, false // nothing depends on it
	}
	earliest := w.Now.Add(min(w.Config.SettlingTime-w.Config.OldVersionGrace, 0))
	switch {
	case !w.Ready:
		return earliest, true
	case w.RecordsAsOf.IsZero() || w.Now.Sub(w.RecordsAsOf) <= maxReadGap: // zero where reads are not dated
		return w.Now, false
	case w.RecordsAsOf.Before(earliest):
		return earliest, true
	}
	return w.RecordsAsOf, true
}

// applyAge dates a change by what another instance tells of it (R3).
func applyAge(w *medlarworld.World, c medlarhistory.ChangeAge) {
	m, ok := w.Models[c.Model]
	if !ok || !w.Config.VersionsIncrease || c.Age < 0 || c.Age > maxAge {
		return
	}
	m.Versions = m.Versions.Dated(medlarhistory.Change{Version: c.Version, At: w.Now.Add(-c.Age)})
	w.Models[c.Model] = m
}

// Ages returns the ages of changes for other instances (R3): those by which versions were replaced that replicas
// still run. If there are too many, each call returns others.
func Ages(w *medlarworld.World) []medlarhistory.ChangeAge {
	if !w.Config.VersionsIncrease {
		return nil
	}
	var out []medlarhistory.ChangeAge
	for id, upstreams := range w.Engines {
		for _, c := range replacements(w.Models[id], upstreams) {
			out = append(out, medlarhistory.ChangeAge{Model: id, Version: c.Version, Age: w.Now.Sub(c.At)})
		}
	}
	slices.SortFunc(out, func(a, b medlarhistory.ChangeAge) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	if len(out) > maxTold {
		w.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	}
	return out[:min(len(out), maxTold)]
}

// replacements returns the changes of known time by which the versions of upstreams were replaced.
func replacements(m medlarworld.Model, upstreams []*medlarupstream.Upstream) []medlarhistory.Change {
	var out []medlarhistory.Change
	for _, u := range upstreams {
		if u.Version == "" || u.Version == m.Version {
			continue
		}
		c, ok := m.Versions.ReplacedBy(u.Version)
		if ok && !c.Estimated && !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

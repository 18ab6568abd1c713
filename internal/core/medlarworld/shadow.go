package medlarworld

import (
	"maps"
	"math/rand/v2"
	"slices"

	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarverdict"
)

// RouteAsked asks where a run would go now. The run is not admitted, and nothing that another decision depends on changes.
type RouteAsked struct {
	Run    *Run
	Limits Limits                      // of the account, by the lists in force
	Reply  func(medlarverdict.Verdict) // is called once, within the tick
}

func (RouteAsked) event() {}

// Shadow returns a world in which a run can be decided on as in w, without a change of w. It has copies of the run's account, of
// the upstreams of its target and of the queue, and draws the random numbers that w draws next. Everything else is shared with w
// and must not be changed, also what the copies and the map of backlogs point to.
func (w *World) Shadow(r *Run) *World {
	s := *w
	if w.source != nil {
		source := *w.source
		s.source, s.Rand = &source, rand.New(&source)
	}
	s.Events, s.Commands = nil, nil
	s.Waiting, s.Trials, s.Streams = slices.Clone(w.Waiting), slices.Clone(w.Trials), slices.Clone(w.Streams)
	s.Backlogs, s.Accounts = maps.Clone(w.Backlogs), maps.Clone(w.Accounts)
	if a := w.Accounts[r.Account]; a != nil {
		account := *a
		s.Accounts[r.Account] = &account
	}
	if t := r.Target(); t.Service != "" {
		s.Services = maps.Clone(w.Services)
		s.Services[t.Service] = cloneAll(w.Services[t.Service])
	} else {
		s.Engines = maps.Clone(w.Engines)
		s.Engines[t.Model] = cloneAll(w.Engines[t.Model])
	}
	return &s
}

func cloneAll(upstreams []*medlarupstream.Upstream) []*medlarupstream.Upstream {
	out := make([]*medlarupstream.Upstream, len(upstreams))
	for i, u := range upstreams {
		clone := *u
		if b := u.Pace.Bucket; b != nil {
			bucket := *b
			clone.Pace.Bucket = &bucket
		}
		out[i] = &clone
	}
	return out
}

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

// Shadow returns a world that states the same as w about a run, and in which the run can be decided on as in w: with copies of
// its account, of the upstreams of its target, of the queue and of the backlogs, and with the random numbers that w draws
// next. What else it holds is shared and must not be changed.
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
		out[i] = &clone
	}
	return out
}

// Package medlarlimit holds the limits of requests that upstreams in need name in their answers.
package medlarlimit

import "medlarfield/internal/core/medlarworld"

// System records the limits that upstreams name.
type System struct{}

// New returns a System.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		if e, ok := e.(medlarworld.UpstreamLimited); ok {
			record(w, e)
		}
	}
}

func record(w *medlarworld.World, e medlarworld.UpstreamLimited) {
	u := w.Upstreams[e.Upstream]
	if u == nil || u.Incarnation != e.Incarnation || u.Limited == e.Named && u.Limit == e.Limit {
		return
	}
	u.Limited, u.Limit = e.Named, e.Limit
	w.Emit(medlarworld.LimitChanged{Upstream: u.ID, Limited: u.Limited, Limit: u.Limit})
}

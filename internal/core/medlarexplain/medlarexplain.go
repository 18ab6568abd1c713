// Package medlarexplain tells where a request would go now, and why, without sending it.
//
// Rules:
//
//	R1  The verdict is the one that a request would get which is submitted at the same time and in the same state. It
//	    comes from the code that decides on requests: medlaradmission and medlarroute.
//	R2  Nothing that another decision depends on changes: no token, random number, place in the queue or counter of requests. The
//	    run is decided on in a shadow of the world.
//	R3  Questions are answered at the end of their tick, once all its events have been applied.
//	R4  A run that would be admitted is sent to the replica that it would get if it left the queue now. It waits if there is
//	    none, or if a run before it in the queue waits for an upstream with the same properties. The verdict has the number
//	    of runs that wait before it for the same target.
package medlarexplain

import (
	"medlarfield/internal/core/medlaradmission"
	"medlarfield/internal/core/medlarresume"
	"medlarfield/internal/core/medlarroute"
	"medlarfield/internal/core/medlarverdict"
	"medlarfield/internal/core/medlarworld"
)

// System answers questions about requests that are not sent.
type System struct{ admission *medlaradmission.System }

// New returns a System that decides on admission by a System of medlaradmission.
func New(admission *medlaradmission.System) *System { return &System{admission: admission} }

// Run answers the questions of one tick (R3).
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		if e, ok := e.(medlarworld.RouteAsked); ok {
			e.Reply(s.decide(w.Shadow(e.Run), e.Run, e.Limits))
		}
	}
}

// decide returns the verdict on a run in a shadow of the world (R1, R2).
func (s *System) decide(w *medlarworld.World, r *medlarworld.Run, l medlarworld.Limits) medlarverdict.Verdict {
	v := medlarverdict.Verdict{Outcome: medlarverdict.Waits}
	r.Build = medlarresume.BeginAt(w, r)
	a := s.admission.Assess(w, r, l)
	v.Ahead = a.Ahead
	medlarroute.Assess(w, r, a.Place, &v)
	switch {
	case a.Reason != "":
		v.Outcome, v.Replica, v.Reason, v.Retry = medlarverdict.Refused, "", a.Reason, a.After.Seconds()
	case v.Replica != "":
		v.Outcome = medlarverdict.Sent
	}
	return v
}

package medlarcrash

import (
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarworld"
)

// Times of R5.
const (
	outlivedDelay = 100 * time.Millisecond // after the answer: what is received later shows that its replica has outlived it
	confirmWindow = time.Second            // after outlivedDelay: a replica heard of later may have crashed and started again
)

// delimited is an answer that the end of its connection delimited (R5).
type delimited struct {
	id        medlarsuspect.CrashID // of the crash that may have cut it off
	address   medlarid.Address
	at, began time.Time
	traits    []medlarsuspect.Trait
	probed    bool
}

// delimitedAnswer remembers an answer until it is known whether its replica has outlived it (R5).
func (s *System) delimitedAnswer(w *medlarworld.World, r *medlarworld.Run, e medlarworld.AttemptEnded) {
	u := r.Upstream
	if u.Leaving { // it stops soon in any case, which shows no crash
		return
	}
	s.ends = append(s.ends, &delimited{
		id: w.Suspects.Identify(u.ID, u.Incarnation, e.Connected), address: u.Address,
		at: w.Now, began: w.Now.Add(-e.Began), traits: r.Traits,
	})
}

// confirm decides on the answers whose replica has crashed, or is known to have outlived them, and probes the replicas of the
// other answers (R5).
func (s *System) confirm(w *medlarworld.World) {
	s.ends = slices.DeleteFunc(s.ends, func(d *delimited) bool {
		l := s.find(d.id)
		switch age := w.Now.Sub(d.at); {
		case l != nil && l.crashed:
			l.begun = append(l.begun, d.traits...)
			s.report(w, l)
			return true
		case s.heardSince(d.id, d.at.Add(outlivedDelay)):
			w.Suspects.Answered(w.Now, d.began, d.traits)
			return true
		case age > lossWindow:
			return true
		case age >= outlivedDelay && !d.probed:
			d.probed = true
			s.probeAfter(w, d)
		}
		return false
	})
}

// Pending reports whether the replica of an answer is to be probed soon.
func (s *System) Pending() bool {
	return slices.ContainsFunc(s.ends, func(d *delimited) bool { return !d.probed })
}

// heardSince reports whether something was received from a replica in the confirmWindow from a time on.
func (s *System) heardSince(id medlarsuspect.CrashID, from time.Time) bool {
	at := s.seenAt(id)
	return !at.Before(from) && at.Sub(from) < confirmWindow
}

// probeAfter probes the replica of an answer, which is known to have been up when the answer began.
func (s *System) probeAfter(w *medlarworld.World, d *delimited) {
	l := s.lossOf(d.id, d.at)
	l.proven = true
	l.probe(w, d.address)
}

// outlived records that a replica has answered a call after an answer was delimited by the end of its connection.
func (s *System) outlived(w *medlarworld.World, id medlarsuspect.CrashID) {
	if u := w.Upstreams[id.Replica]; u != nil && u.Incarnation == id.Incarnation {
		s.seen[id.Replica] = seen{id.Incarnation, w.Now}
	}
}

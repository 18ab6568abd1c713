// Package medlarbrittle keeps brittle upstreams from crashing: ones that say that they do when they have to turn away
// more than a number of requests in a second for lack of room.
//
// Rules:
//
//	R1  An upstream is brittle while its answers say so. It may soon let no request wait, so that all
//	    instances together send it no more at once than it has slots. Fewer instances share it than the
//	    requests that it can turn away in a second, so that it survives if each of them is turned away
//	    once and some twice; a hash decides which. An instance that shares no upstream of a service may send one
//	    request at a time to the one for which it ranks highest.
//	R2  An upstream that turns a request away has less room than was assumed: this instance sends it nothing for a while,
//	    and then a third less at once than before. The pause is such that all instances together are turned away
//	    less often than the upstream can bear.
//	R3  An instance begins with one more at once than it has there when the upstream says that it is brittle. It tries one
//	    more soon after, up to its part, as long as none was turned away, and after several pauses once one was.
//	R4  Prompts fill the memory of an upstream before they fill its slots: that is divided in the same way.
package medlarbrittle

import (
	"time"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of the rules.
const (
	sharersPart  = 67                     // instances that share an upstream, in percent of the requests that it can turn away (R1)
	growthPauses = 4                      // R3
	firstGrowth  = 300 * time.Millisecond // before the first refusal (R3)
	minPause     = time.Second            // R2
	maxPause     = 8 * time.Second        // R2
	margin       = 1.2                    // R2
	memoryPart   = 0.8                    // of an upstream's memory that prompts may fill (R4)
)

// System follows which upstreams are brittle.
type System struct{}

// New returns a System.
func New() *System { return &System{} }

// Run handles the events of one tick.
func (s *System) Run(w *medlarworld.World) {
	changed := false
	for _, e := range w.Events {
		switch e := e.(type) {
		case medlarworld.InstancesAnnounced:
			w.Others, changed = e.Others, true
		case medlarworld.InstancesListed:
			changed = true
		case medlarworld.UpstreamBrittle:
			changed = said(w, e) || changed
		case medlarworld.AttemptEnded:
			ended(w, e)
		}
	}
	if changed {
		divide(w)
	}
}

// said applies what an upstream said in an answer (R1), and reports whether that is news.
func said(w *medlarworld.World, e medlarworld.UpstreamBrittle) bool {
	u := w.Upstreams[e.Upstream]
	if u == nil || u.Incarnation != e.Incarnation || u.Brittle.Most == e.Most {
		return false
	}
	if u.Brittle.Most == 0 {
		u.Brittle.Room = u.Open + 1
		u.Brittle.GrowsAt = w.Now.Add(firstGrowth)
	}
	u.Brittle.Most = e.Most
	w.Emit(medlarworld.BrittleChanged{Upstream: u.ID, Most: e.Most})
	return true
}

// ended lowers the room of a brittle upstream that turned a request away (R2).
func ended(w *medlarworld.World, e medlarworld.AttemptEnded) {
	r := w.Runs[e.Run]
	if r == nil || r.Attempt != e.Attempt || r.Upstream == nil || e.Reason != medlarreason.Busy {
		return
	}
	b := &r.Upstream.Brittle
	if b.Most == 0 {
		return
	}
	b.Room = max(min(b.Room, r.Upstream.Open)*2/3, 1)
	b.PausedUntil = w.Now.Add(pause(w, r.Upstream))
	b.GrowsAt = b.PausedUntil.Add(growthPauses * pause(w, r.Upstream))
}

// pause returns the time for which nothing is sent to an upstream that turned a request away (R2).
func pause(w *medlarworld.World, u *medlarupstream.Upstream) time.Duration {
	perSecond := float64(u.Brittle.Most) / float64(sharers(w, u)) // refusals of this instance that the upstream can bear
	return min(max(time.Duration(margin/perSecond*float64(time.Second)), minPause), maxPause)
}

// sharers returns the number of instances that send an upstream requests while it is brittle (R1).
func sharers(w *medlarworld.World, u *medlarupstream.Upstream) int {
	n := min(len(w.Others)+1, max(sharersPart*u.Brittle.Most/100, 1))
	if u.Load.Slots > 0 {
		n = min(n, u.Load.Slots)
	}
	return n
}

// divide sets this instance's part of each brittle upstream (R1).
func divide(w *medlarworld.World) {
	for _, upstreams := range w.Services {
		var first *medlarupstream.Upstream // where this instance ranks highest
		firstRank, shares := 0, false
		for _, u := range upstreams {
			if u.Brittle.Most == 0 {
				continue
			}
			rank := rankAt(w, u)
			u.Brittle.Part = 0
			if rank < sharers(w, u) {
				shares = true
				u.Brittle.Part = part(w, u)
			}
			if first == nil || rank < firstRank {
				first, firstRank = u, rank
			}
		}
		if first != nil && !shares {
			first.Brittle.Part = 1
		}
	}
}

// part returns how many requests one of the instances that share an upstream may send it at once.
func part(w *medlarworld.World, u *medlarupstream.Upstream) int {
	if u.Load.Slots == 0 {
		return 1
	}
	return u.Load.Slots / sharers(w, u)
}

// rankAt returns this instance's rank for an upstream among all instances, from 0 on.
func rankAt(w *medlarworld.World, u *medlarupstream.Upstream) int {
	weight := func(id medlarid.InstanceID) uint64 { return xxh3.HashString(string(id) + "\x00" + string(u.ID)) }
	own, rank := weight(w.Config.Self), 0
	for _, id := range w.Others {
		if weight(id) > own {
			rank++
		}
	}
	return rank
}

// HasRoom reports whether an upstream may get one more run of this instance.
func HasRoom(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream) bool {
	b := &u.Brittle
	if b.Most == 0 {
		return true
	}
	if w.Now.Before(b.PausedUntil) {
		return false
	}
	if b.Room < b.Part && !w.Now.Before(b.GrowsAt) {
		b.Room++ // R3
		b.GrowsAt = w.Now.Add(growthDelay(w, u))
	}
	return u.Open < min(b.Room, b.Part) && fits(w, r, u)
}

// growthDelay returns the time without a refusal after which one more is tried (R3).
func growthDelay(w *medlarworld.World, u *medlarupstream.Upstream) time.Duration {
	if u.Brittle.PausedUntil.IsZero() {
		return firstGrowth
	}
	return growthPauses * pause(w, u)
}

// fits reports whether a prompt fits in this instance's part of an upstream's memory, or is the only one (R4).
func fits(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream) bool {
	if u.KVCapacity == 0 || u.Open == 0 {
		return true
	}
	own := memoryPart * float64(u.KVCapacity) / float64(sharers(w, u))
	return float64(u.InFlightTokens+r.PromptTokens) <= own
}

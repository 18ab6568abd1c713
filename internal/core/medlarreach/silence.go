package medlarreach

import (
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
)

// Times and counts of R7 and R8.
const (
	minSilence      = 400 * time.Millisecond // of all replicas, from which on paths may be suspected
	minPathSilence  = time.Second            // of one replica, from which on its path may be
	mostLate        = 2                      // answers that have not come in time, one after the other, from which on it is
	silenceFactor   = 2                      // of the longest silence that ended with an answer, from which on they are
	maxPathSilence  = 4 * time.Second        // that counts as usual for one replica
	maxTotalSilence = 1200 * time.Millisecond
	silenceWindow   = 30 * time.Second // for which one counts, twice that at most
	examineInterval = time.Second      // between two examinations of a path
	examinedAtOnce  = 4                // paths; one at first, if it is not known that any is broken
	silencePoll     = 100 * time.Millisecond
)

// quiet is how long nothing is received while an answer is awaited.
type quiet struct {
	since           time.Time     // beginning of the silence
	longest, before time.Duration // silences that ended with an answer, in this window and in the one before; 0 for none
	windowAt        time.Time     // beginning of this window
}

// end records that the silence has ended with an answer.
func (q *quiet) end(now time.Time, most time.Duration) {
	if age := now.Sub(q.windowAt); age > silenceWindow {
		q.before, q.longest, q.windowAt = q.longest, 0, now
		if age > 2*silenceWindow {
			q.before = 0
		}
	}
	q.longest = max(q.longest, min(now.Sub(q.since), most), 1)
	q.since = now
}

// usual returns the longest silence that ended with an answer lately; 0 for none.
func (q *quiet) usual(now time.Time) time.Duration {
	if now.Sub(q.windowAt) > 2*silenceWindow {
		return 0
	}
	return max(q.longest, q.before)
}

// unusual reports whether the silence is longer than the usual one, and than a minimum.
func (q *quiet) unusual(now time.Time, usual, least time.Duration) bool {
	return now.Sub(q.since) >= max(least, silenceFactor*usual)
}

// Sent records that an answer is awaited on one more direct connection to a replica.
func (t *Table) Sent(now time.Time, id medlarid.InstanceID) {
	p := t.path(id)
	if p.waiting == 0 {
		p.quiet.since = now
		if t.waitingPaths++; t.waitingPaths <= minBroken {
			t.quiet.since = now
		}
	}
	p.waiting++
}

// Left records that no answer is awaited any longer on a direct connection: Unanswered if none has arrived in time, Ended if the
// connection was new and has ended before one arrived, or empty.
func (t *Table) Left(id medlarid.InstanceID, o Outcome) {
	p := t.paths[id]
	if p == nil {
		return
	}
	switch o {
	case Unanswered:
		p.late++
		t.late++
	case Ended:
		p.ended = true
	}
	t.left(p)
}

func (t *Table) left(p *path) {
	if p.waiting == 0 {
		return
	}
	if p.waiting--; p.waiting == 0 {
		t.waitingPaths--
	}
}

// Got records that a byte was received on a direct connection that was opened at a time; answers reports whether an
// answer was awaited on it (R7).
func (t *Table) Got(now, opened time.Time, id medlarid.InstanceID, answers bool) {
	p := t.path(id)
	if !t.cut && t.waitingPaths >= minBroken {
		t.quiet.end(now, maxTotalSilence)
	}
	t.quiet.since, t.gotAt = now, now
	if !p.broken && p.waiting > 0 {
		p.quiet.end(now, maxPathSilence)
	}
	p.quiet.since, p.gotAt, p.late, p.ended, t.late = now, now, 0, false, 0
	if answers {
		t.left(p)
	}
	if opened.After(t.openAt) {
		t.openAt = opened
	}
	if !opened.Before(p.brokenAt) {
		t.mend(now, id)
	}
	if !opened.Before(t.cutAt) {
		t.endCut(now)
	}
}

// GotSince reports whether a byte of a replica was received directly since a time.
func (t *Table) GotSince(id medlarid.InstanceID, since time.Time) bool {
	p := t.paths[id]
	return p != nil && p.gotAt.After(since)
}

// open reports whether an answer is awaited, or has not arrived since the last byte.
func (p *path) open() bool { return p.waiting > 0 || p.late > 0 || p.ended }

// suspected reports whether a path is suspected for what was seen of the replica alone (R7); usual is how long
// replicas are silent at most.
func (p *path) suspected(now time.Time, usual time.Duration) bool {
	silent := p.waiting > 0 && p.quiet.unusual(now, usual, minPathSilence)
	return silent || p.late >= mostLate || p.ended && now.Sub(p.gotAt) >= minSilence
}

// longestSilence returns how long replicas that have answered lately were silent at most.
func (t *Table) longestSilence(now time.Time) time.Duration {
	var out time.Duration
	for _, p := range t.paths {
		out = max(out, p.quiet.usual(now))
	}
	return out
}

// Suspects returns the replicas to which the path is to be examined now (R8), and the time until the next look; 0 if
// no answer is awaited or has failed to arrive.
func (t *Table) Suspects(now time.Time) (due []medlarid.InstanceID, next time.Duration) {
	if len(t.peers) == 0 || t.cut {
		return nil, 0
	}
	all := t.waitingPaths >= minBroken && t.quiet.unusual(now, t.quiet.usual(now), minSilence) || t.late >= mostLate
	usual := t.longestSilence(now)
	var suspected, silent []medlarid.InstanceID
	for id, p := range t.paths {
		if p.open() {
			next = silencePoll
		}
		switch {
		case p.broken || p.examining || now.Sub(p.examinedAt) < examineInterval:
		case p.suspected(now, usual):
			suspected = append(suspected, id)
		case all && p.open():
			silent = append(silent, id)
		}
	}
	slices.Sort(suspected)
	slices.Sort(silent)
	most := examinedAtOnce
	if len(suspected) == 0 && t.broken == 0 {
		most = 1
	}
	due = append(suspected, silent...)
	due = due[:min(len(due), max(most-t.examining, 0))]
	for _, id := range due {
		t.paths[id].examining, t.paths[id].examinedAt = true, now
		t.examining++
	}
	return due, next
}

// Examined records that the examination of a path has ended. direct is how the own call ended, and by the other
// instance that the replica answers; empty for none (R8).
func (t *Table) Examined(now time.Time, id, by medlarid.InstanceID, direct Outcome) {
	p := t.paths[id]
	if p == nil || !p.examining {
		return
	}
	p.examining, p.late, p.ended, t.late = false, 0, false, 0
	t.examining--
	if by != "" && !p.gotAt.After(p.examinedAt) {
		t.Asked(now, id, by, direct, Opened)
	}
}

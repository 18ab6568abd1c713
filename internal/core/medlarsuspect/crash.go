package medlarsuspect

import (
	"iter"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
)

// CrashID identifies a crash (R1).
type CrashID struct {
	Replica     medlarid.InstanceID
	Incarnation medlarid.Incarnation // that the entry of the replica names
	End         int                  // number of earlier ends under that incarnation
}

// Report is what one instance lost with a replica that crashed.
type Report struct {
	Crash   CrashID
	Begun   []Trait // of requests that the replica had begun to answer
	Waiting []Trait // of all others that were lost with it
	Earlier bool    // read when this instance started; the crash was at an unknown time before (R4)
	// LostFor is the time since the first loss. Unseen is the time before it for which the instance had received nothing
	// from the replica, if only a later start of it shows that it has crashed; 0 if it was up until the loss (R4).
	LostFor, Unseen time.Duration
}

// crash is a remembered crash.
type crash struct {
	id             CrashID
	at             time.Time // of the first report
	lostAt         time.Time // of the first loss, as the first report states
	upAt           time.Time // when the replica was up last before that, as far as is known
	begun, waiting map[Trait]bool
	cleared        map[Trait]bool // of begun and waiting
	begunPrompt    bool           // a prompt with parts is in begun
	own            bool           // this instance has reported it
	earlier        bool           // it was before the start of this instance
}

// suspects returns the traits that are suspected of the crash (R2).
func (c *crash) suspects() iter.Seq[Trait] {
	return func(yield func(Trait) bool) {
		for p := range c.begun {
			if !yield(p) {
				return
			}
		}
		for p := range c.waiting {
			if !c.begun[p] && c.suspected(p) && !yield(p) {
				return
			}
		}
	}
}

// suspected reports whether a trait is suspected of the crash (R2).
func (c *crash) suspected(p Trait) bool {
	return c.begun[p] || c.waiting[p] && (p.Whole() || !c.begunPrompt)
}

// AddReport adds what an instance reports of a crash; own tells that it is this one. It reports
// whether anything was new. The next Update evaluates it: reports come in large numbers when many replicas
// crash at once, and an evaluation takes all crashes into account.
func (t *Table) AddReport(now time.Time, r Report, own bool) bool {
	c := t.crash(now, r)
	added := add(c.begun, r.Begun) + add(c.waiting, r.Waiting)
	t.suspects += added
	c.begunPrompt = c.begunPrompt || slices.ContainsFunc(r.Begun, func(p Trait) bool { return !p.Whole() })
	c.own = c.own || own
	for p := range c.suspects() {
		if b := t.blocks[p]; b != nil {
			b.evidenceAt = now
		}
	}
	t.trim()
	t.evaluateAt = now
	return added > 0
}

// Identify returns the id of the crash of a replica under an incarnation with which an attempt was lost whose
// connection was established at a time (R1).
func (t *Table) Identify(replica medlarid.InstanceID, i medlarid.Incarnation, connected time.Time) CrashID {
	id := CrashID{Replica: replica, Incarnation: i}
	for _, c := range t.crashes { // in order of their first report
		if c.id.Replica != replica || c.id.Incarnation != i {
			continue
		}
		if !connected.After(c.at) {
			return c.id
		}
		id.End = max(id.End, c.id.End+1)
	}
	return id
}

// crash returns the remembered crash of a report, or one of that time (R1), and remembers it if it is new.
func (t *Table) crash(now time.Time, r Report) *crash {
	id := r.Crash
	for _, c := range t.crashes {
		if c.id == id || c.id.Replica == id.Replica && now.Sub(c.at) < minLife {
			c.observeUp(r)
			return c
		}
	}
	lostAt := now.Add(-r.LostFor)
	c := &crash{id: id, at: now, lostAt: lostAt, upAt: lostAt.Add(-r.Unseen), earlier: r.Earlier, begun: map[Trait]bool{}, waiting: map[Trait]bool{}, cleared: map[Trait]bool{}}
	t.crashes = append(t.crashes, c)
	return c
}

// observeUp applies what a further report of a crash states of when the replica was up last.
func (c *crash) observeUp(r Report) {
	if upAt := c.lostAt.Add(-r.Unseen); upAt.After(c.upAt) {
		c.upAt = upAt
	}
}

// add adds traits to a set and returns how many were new.
func add(set map[Trait]bool, traits []Trait) int {
	n := len(set)
	for _, p := range traits {
		set[p] = true
	}
	return len(set) - n
}

// trim forgets the oldest crashes beyond the bounds (R7).
func (t *Table) trim() {
	for len(t.crashes) > 1 && (len(t.crashes) > maxCrashes || t.suspects > maxSuspects) {
		t.forgetCrash()
	}
}

// forgetCrash forgets the oldest crash.
func (t *Table) forgetCrash() {
	c := t.crashes[0]
	t.suspects -= len(c.begun) + len(c.waiting)
	t.crashes = slices.Delete(t.crashes, 0, 1)
}

// sameCrash reports whether a crash counts once against a trait with the one that was counted before (R4).
func sameCrash(p Trait, before, c *crash) bool {
	unseen := c.upAt.Before(c.lostAt) && !c.upAt.After(before.lostAt)
	return c.earlier || unseen || !p.Whole() && c.at.Sub(before.at) <= sameMoment
}

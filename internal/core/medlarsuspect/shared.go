package medlarsuspect

import (
	"slices"
	"time"
)

// Answered reports that a prompt with these traits was answered in full. began is when its answer
// began. A block that the answer refutes is lifted, for all instances (R3, R6).
func (t *Table) Answered(now, began time.Time, traits []Trait) {
	for _, p := range traits {
		t.answers(p).set(p, began)
		t.clearCrashes(p, began.Add(clearingLead))
		if b := t.blocks[p]; b != nil && t.refuted(p, b.evidenceAt) {
			t.clear(now, p)
		}
	}
}

// clearCrashes clears a trait of all remembered crashes until a time, whether or not the time of the
// answer is remembered for as long as they are.
func (t *Table) clearCrashes(p Trait, until time.Time) {
	for _, c := range t.crashes {
		if !c.at.After(until) && (c.begun[p] || c.waiting[p]) {
			c.cleared[p] = true
		}
	}
}

// refuted reports whether this instance has had an answer with a trait that clears it of the last
// crash with it. last is the time of that crash if it is not remembered.
func (t *Table) refuted(p Trait, last time.Time) bool {
	for _, c := range slices.Backward(t.crashes) {
		if c.suspected(p) {
			if c.cleared[p] {
				return true
			}
			last = c.at
			break
		}
	}
	return !t.lastAnswer(p).Before(last.Add(-clearingLead))
}

// clear lifts the block of a trait and tells the other instances.
func (t *Table) clear(now time.Time, p Trait) {
	t.cleared.set(p, now)
	t.clearCrashes(p, now)
	if b := t.blocks[p]; b != nil {
		t.unblock(p, b)
	}
	t.records = append(t.records, Record{Trait: p, Block: Block{Cleared: true}})
	t.evaluate(now) // the crashes that the trait explained have another cause
}

// ApplyBlock applies the shared state of a trait, as an instance recorded it.
func (t *Table) ApplyBlock(now time.Time, p Trait, s Block) {
	if s.Cleared {
		t.cleared.set(p, now)
		t.clearCrashes(p, now)
		if b := t.blocks[p]; b != nil {
			t.unblock(p, b)
			t.evaluate(now)
		}
		return
	}
	if t.refuted(p, now) || t.blocks[p] == nil && t.lessSuspect(p) {
		t.clear(now, p) // the other instance has not had the answers that this one has (R5)
		return
	}
	b := t.block(now, p)
	b.recorded = true
	switch {
	case s.Trials > b.trials:
		b.trials, b.evidenceAt = s.Trials, now
	case s.Trials < b.trials:
		t.record(p, b) // the other instance, or the store, has lost trials
	}
}

// ApplyDrop handles that the shared state of a trait is gone: it was forgotten by an instance, or
// the store came back from a copy without it. An instance that still blocks the trait records it
// again.
func (t *Table) ApplyDrop(p Trait) {
	if b := t.blocks[p]; b != nil {
		b.recorded = false
	}
}

// Restore records all blocks again, since the store came back from a copy.
func (t *Table) Restore() {
	for _, p := range t.traits() {
		t.record(p, t.blocks[p])
	}
}

// Admit decides on a new request with these traits. If it is kept from replicas, it returns the
// trait and false. It claims a trial if one is due, and lets one request go on for each trial that
// was granted (R6).
func (t *Table) Admit(now time.Time, traits []Trait) (Trait, bool) {
	p, blocked := t.Blocked(traits)
	if !blocked {
		return "", true
	}
	b := t.blocks[p]
	b.askedAt = now
	if t.TrialGranted(now, traits) {
		b.grantUntil = time.Time{}
		return "", true
	}
	if t.trialDue(now, b) && !t.othersBlocked(traits, p) && !now.Before(b.claimUntil) && !now.Before(b.grantUntil) {
		b.claimUntil = now.Add(claimTimeout)
		t.records = append(t.records, Record{Trait: p, Block: Block{Trials: b.trials + 1}, Claim: true})
	}
	return p, false
}

// TrialGranted reports whether a request with these traits may go on as the trial of the one that is blocked.
func (t *Table) TrialGranted(now time.Time, traits []Trait) bool {
	p, blocked := t.Blocked(traits)
	return blocked && now.Before(t.blocks[p].grantUntil) && !t.othersBlocked(traits, p)
}

func (t *Table) trialDue(now time.Time, b *block) bool {
	if b.trials >= maxTrials {
		return false
	}
	delay := trialDelays[b.trials]
	if b.tied && b.trials == 0 {
		delay = tiedTrialDelay
	}
	return now.Sub(b.evidenceAt) >= delay
}

// Blocked returns the first blocked trait; ok is false if there is none.
func (t *Table) Blocked(traits []Trait) (p Trait, ok bool) {
	if len(t.blocks) == 0 {
		return "", false
	}
	for _, p := range traits {
		if b := t.blocks[p]; b != nil && b.active {
			return p, true
		}
	}
	return "", false
}

// Undecided reports whether one of the traits is about to be blocked (R5).
func (t *Table) Undecided(traits []Trait) bool {
	if len(t.blocks) == 0 {
		return false
	}
	return slices.ContainsFunc(traits, func(p Trait) bool {
		b := t.blocks[p]
		return b != nil && !b.active
	})
}

func (t *Table) othersBlocked(traits []Trait, but Trait) bool {
	for _, p := range traits {
		if b := t.blocks[p]; p != but && b != nil && b.active {
			return true
		}
	}
	return false
}

// GrantTrial grants the trial that was claimed.
func (t *Table) GrantTrial(now time.Time, p Trait, trials int) {
	b := t.blocks[p]
	if b == nil {
		return
	}
	b.trials = max(b.trials, trials)
	b.evidenceAt, b.claimUntil, b.grantUntil = now, time.Time{}, now.Add(trialTimeout)
}

// ReturnTrial returns the trial of a request with these traits that has reached no replica. Another
// request may go on instead.
func (t *Table) ReturnTrial(now time.Time, traits []Trait) {
	for _, p := range traits {
		if b := t.blocks[p]; b != nil && b.active {
			b.grantUntil = now.Add(trialTimeout)
		}
	}
}

// times remembers a time for each of the traits that were added last.
type times struct {
	at   map[Trait]time.Time
	ring []Trait
	next int // index of the oldest trait, once the ring is full
}

func newTimes(size int) *times {
	return &times{at: map[Trait]time.Time{}, ring: make([]Trait, 0, size)}
}

func (s *times) get(p Trait) time.Time { return s.at[p] }

// set raises the time of a trait.
func (s *times) set(p Trait, at time.Time) {
	last, known := s.at[p]
	if at.After(last) {
		s.at[p] = at
	}
	if known {
		return
	}
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, p)
		return
	}
	delete(s.at, s.ring[s.next])
	s.ring[s.next] = p
	s.next = (s.next + 1) % len(s.ring)
}

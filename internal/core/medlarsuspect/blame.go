package medlarsuspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evaluate blocks the traits that are suspected most, as long as there are enough moments of
// which they are suspected (R4).
func (t *Table) evaluate(now time.Time) {
	for {
		counts := t.counts(now)
		most := 0
		for _, n := range counts {
			most = max(most, n)
		}
		if most < blockingMoments {
			return
		}
		traits := t.mostSuspected(counts, most)
		for _, p := range traits {
			t.block(now, p).tied = len(traits) > 1
		}
	}
}

// counts returns how many crashes count against each trait that may be blocked (R4).
func (t *Table) counts(now time.Time) map[Trait]int {
	all, unexplained := map[Trait]int{}, map[Trait]int{} // of crashes
	last, replaces := map[Trait]*crash{}, map[Trait]bool{}
	for _, c := range t.crashes {
		byRequest, byOther := t.explained(c)
		if byOther {
			continue
		}
		settled := now.Sub(c.at) >= objectionDelay
		t.checkAgain(now, c, byRequest)
		for p := range c.suspects() {
			if t.isCleared(p, c) || t.blocks[p] != nil || all[p] > 0 && sameCrash(p, last[p], c) {
				continue
			}
			all[p]++
			last[p] = c
			if !byRequest {
				unexplained[p]++
				replaces[p] = replaces[p] || settled
			}
		}
	}
	maps.DeleteFunc(all, func(p Trait, _ int) bool { return unexplained[p] < blockingMoments && !replaces[p] })
	return all
}

// checkAgain makes Update evaluate a crash again that no blocked request explains, once all
// instances have had the time to report it.
func (t *Table) checkAgain(now time.Time, c *crash, explained bool) {
	if at := c.at.Add(objectionDelay); !explained && now.Before(at) {
		t.evaluateAt = at
	}
}

// explained reports whether a blocked trait explains a crash: a request as a whole, or another one.
func (t *Table) explained(c *crash) (byRequest, byOther bool) {
	if len(t.blocks) == 0 {
		return false, false
	}
	for p := range c.suspects() {
		if t.blocks[p] == nil {
			continue
		}
		byRequest = byRequest || p.scope() == scopeRequest
		byOther = byOther || p.scope() != scopeRequest
	}
	return byRequest, byOther
}

// moments returns at how many moments a trait is suspected; cleared crashes count if all is set.
func (t *Table) moments(p Trait, all bool) int {
	n := 0
	var last *crash
	for _, c := range t.crashes {
		if !c.suspected(p) || !all && t.isCleared(p, c) || n > 0 && sameCrash(p, last, c) {
			continue
		}
		n++
		last = c
	}
	return n
}

// mostSuspected returns the traits against which a number of crashes count, at most maxTied. The
// narrowest go first, and then those that are suspected of most crashes, explained ones included:
// a trait that is always the same, among others that change. Of these, the least recently answered
// ones remain.
func (t *Table) mostSuspected(counts map[Trait]int, moments int) []Trait {
	var out []Trait
	totals := map[Trait]int{}
	for p, n := range counts {
		if n == moments {
			out = append(out, p)
			totals[p] = t.moments(p, true)
		}
	}
	slices.SortFunc(out, func(a, b Trait) int {
		return cmp.Or(
			cmp.Compare(a.scope(), b.scope()),
			cmp.Compare(totals[b], totals[a]),
			t.lastAnswer(a).Compare(t.lastAnswer(b)),
			cmp.Compare(a, b),
		)
	})
	n := 1
	for n < min(len(out), maxTied) && out[n].scope() == out[0].scope() && t.lastAnswer(out[n]).Equal(t.lastAnswer(out[0])) {
		n++
	}
	return out[:n]
}

// lessSuspect reports whether another trait that is no wider is suspected of all crashes that a
// trait is suspected of, and its last answer is longer ago (R4).
func (t *Table) lessSuspect(p Trait) bool {
	var others map[Trait]bool
	for _, c := range t.crashes {
		if !c.suspected(p) || t.isCleared(p, c) {
			continue
		}
		if others == nil {
			others = map[Trait]bool{}
			for q := range c.suspects() {
				others[q] = q.scope() <= p.scope()
			}
		}
		maps.DeleteFunc(others, func(q Trait, narrow bool) bool { return !narrow || !c.suspected(q) })
	}
	for q := range others {
		if t.lastAnswer(q).Before(t.lastAnswer(p)) {
			return true
		}
	}
	return false
}

// isCleared reports whether a trait is cleared of a crash (R3).
func (t *Table) isCleared(p Trait, c *crash) bool {
	return c.cleared[p] || !t.lastAnswer(p).Before(c.at.Add(-clearingLead)) || !t.cleared.get(p).Before(c.at)
}

// answers returns the times of answers in which a trait's is remembered. Whole requests have their
// own, as they are many and would displace the parts.
func (t *Table) answers(p Trait) *times {
	if !p.Whole() {
		return t.answered
	}
	return t.whole
}

// lastAnswer returns when the last answer with a trait began; zero if it is not known.
func (t *Table) lastAnswer(p Trait) time.Time { return t.answers(p).get(p) }

// Package medlarsuspect finds the traits of requests that crash replicas, from what all instances
// report of crashes, and decides which requests are kept from replicas for that.
//
// Rules:
//
//	R1  A crash is one end of a replica, however many attempts were lost with it and whichever
//	    instances report it. A replica may end several times while its entry names the same
//	    incarnation: the entry lags behind a new start, or does not tell of it. An attempt was
//	    lost with the first end after its connection was established. Ends of one replica that
//	    are reported within minLife are the same one, as instances may know its entry of
//	    different times.
//	R2  Suspected of a crash are all requests that were lost with it, as a whole. Suspected
//	    are also the parts of the prompts that the replica had begun to answer; if no instance
//	    reports such a prompt, the parts of all prompts that were lost with it. The last part of
//	    a prompt is no trait.
//	R3  A trait is cleared of a crash by an answer with it that began after the crash or
//	    shortly before it.
//	R4  A trait is blocked after blockingMoments crashes of which it is not cleared. Crashes
//	    that a blocked trait explains do not count, with one exception: a wider trait may take
//	    the place of a blocked request as a whole after one more crash, which no instance
//	    has explained by that request within objectionDelay. Crashes at the same moment count
//	    once for parts of prompts, since a fault of many replicas has another cause; a request
//	    as a whole is seldom at several replicas at once. Crashes that the instance has read of
//	    when it started count once for all traits: it knows neither when they were nor what
//	    was answered since. Of traits that are equally suspected,
//	    the narrowest is blocked, and of these the ones whose last answer is longest ago: a
//	    part of prompts that always comes with another one has no later answer than that.
//	R5  A block takes effect after a delay, in which an instance that has had an answer with
//	    the trait objects by clearing it. Requests with the trait wait so long.
//	R6  A blocked trait gets maxTrials trials, of one request each, from all instances
//	    together: each is claimed through the store first. A trial that is answered clears
//	    the trait; otherwise the next one has to wait longer. Traits that were blocked together
//	    get their first trial sooner, since some of them may be sound.
//	R7  A block is forgotten when no request had the trait for forgetAfter. What instances
//	    hold in memory does not grow with the number of traits of requests.
package medlarsuspect

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
)

// Times and counts of the rules.
const (
	blockingMoments = 3
	minLife         = 400 * time.Millisecond // from one end of a replica to the next one (R1)
	sameMoment      = 150 * time.Millisecond // crashes within this time count once (R4)
	crashWindow     = 15 * time.Minute       // crashes count for this time: a trait may come seldom
	clearingLead    = 2 * time.Second        // an answer that began this long before a crash clears (R3)
	objectionDelay  = 400 * time.Millisecond // what a record takes to all instances, and another one back (R5)
	recordDelay     = 800 * time.Millisecond // after which an instance without evidence of its own records a block
	claimTimeout    = 2 * time.Second        // of a claim of a trial without an answer
	trialTimeout    = 30 * time.Second       // in which a granted trial has to begin
	forgetAfter     = time.Hour
	maxTrials       = 2
)

// trialDelays are the times from the last crash or trial to the next trial (R6).
var trialDelays = [maxTrials]time.Duration{30 * time.Second, 5 * time.Minute}

// tiedTrialDelay is the first of trialDelays for traits that were blocked together.
const tiedTrialDelay = 3 * time.Second

// Bounds of what is held in memory (R7).
const (
	maxPartLength = 64      // bytes; a longer id of a part is held by its hash
	maxCrashes    = 64      // crashes that are remembered
	maxSuspects   = 1 << 15 // traits in all remembered crashes together
	maxBlocked    = 512     // blocked traits
	maxTied       = 64      // equally suspected traits that are blocked together
	maxAnswered   = 4096    // traits whose last answer is remembered: as many parts as whole requests
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
}

// Block is the state of a trait that instances share.
type Block struct {
	Trials  int  // trials claimed so far
	Cleared bool // the trait is not blocked, or no longer
}

// Record is a state of a trait to be shared with all instances.
type Record struct {
	Trait Trait
	Block Block
	// Claim is set for a trial: the record counts only if no other instance has changed the
	// shared state meanwhile.
	Claim bool
	// Drop is set if the state is to be forgotten by all.
	Drop bool
}

// Change is a change of what the instance decides on a trait, for the log.
type Change struct {
	Trait   Trait
	Blocked bool
	Crashes int // of which the trait is suspected
	Trials  int
}

// crash is a remembered crash.
type crash struct {
	id             CrashID
	at             time.Time // of the first report
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

// block is what the instance knows of a blocked trait, or of one about to be blocked.
type block struct {
	active     bool
	activeFrom time.Time // the block takes effect then (R5)
	recorded   bool      // in the store, or on the way there
	recordFrom time.Time // the instance records the block itself from then on
	tied       bool      // blocked together with other traits
	trials     int
	evidenceAt time.Time // of the last crash with the trait, or trial of it
	askedAt    time.Time // of the last request with the trait
	claimUntil time.Time // a claim of a trial is in flight until then
	grantUntil time.Time // a request may go on as a trial until then
}

// Table holds crashes and blocked traits. It is not safe for concurrent use.
type Table struct {
	crashes  []*crash // in order of their first report
	suspects int      // traits in all crashes
	blocks   map[Trait]*block
	answered *times // when the last answer with a part began
	whole    *times // when the last answer to a request as a whole began
	cleared  *times // when another instance cleared a trait
	// evaluateAt is when the crashes are to be evaluated again; zero for not.
	evaluateAt time.Time
	records    []Record
	changes    []Change
}

// New returns an empty table.
func New() *Table {
	return &Table{blocks: map[Trait]*block{}, answered: newTimes(maxAnswered), whole: newTimes(maxAnswered), cleared: newTimes(maxAnswered)}
}

// TakeRecords returns the records that are to be shared since the last call.
func (t *Table) TakeRecords() []Record {
	out := t.records
	t.records = nil
	return out
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	out := t.changes
	t.changes = nil
	return out
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
			return c
		}
	}
	c := &crash{id: id, at: now, earlier: r.Earlier, begun: map[Trait]bool{}, waiting: map[Trait]bool{}, cleared: map[Trait]bool{}}
	t.crashes = append(t.crashes, c)
	return c
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
	last, replaces := map[Trait]time.Time{}, map[Trait]bool{}
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
			last[p] = c.at
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

// sameCrash reports whether a crash counts once against a trait with one at an earlier time (R4).
func sameCrash(p Trait, before time.Time, c *crash) bool {
	return c.earlier || !p.Whole() && c.at.Sub(before) <= sameMoment
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
	var last time.Time
	for _, c := range t.crashes {
		if !c.suspected(p) || !all && t.isCleared(p, c) || n > 0 && sameCrash(p, last, c) {
			continue
		}
		n++
		last = c.at
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

// block begins to block a trait.
func (t *Table) block(now time.Time, p Trait) *block {
	b := t.blocks[p]
	if b != nil {
		return b
	}
	t.makeRoom()
	b = &block{activeFrom: now.Add(objectionDelay), recordFrom: now, evidenceAt: now, askedAt: now}
	if !t.reported(p) {
		b.recordFrom = now.Add(recordDelay)
	}
	t.blocks[p] = b
	return b
}

// reported reports whether this instance itself has reported a crash of which a trait is suspected.
func (t *Table) reported(p Trait) bool {
	return slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.own && c.suspected(p) })
}

// makeRoom forgets the block whose trait was not asked for longest, if there are too many.
func (t *Table) makeRoom() {
	if len(t.blocks) < maxBlocked {
		return
	}
	oldest := slices.MinFunc(t.traits(), func(a, b Trait) int { return t.blocks[a].askedAt.Compare(t.blocks[b].askedAt) })
	t.unblock(oldest, t.blocks[oldest])
}

// traits returns the blocked traits in order.
func (t *Table) traits() []Trait { return slices.Sorted(maps.Keys(t.blocks)) }

// Update makes the changes that are due. It is called at each tick.
func (t *Table) Update(now time.Time) {
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].at) > crashWindow {
		t.forgetCrash()
	}
	if !t.evaluateAt.IsZero() && !now.Before(t.evaluateAt) {
		t.evaluateAt = time.Time{}
		t.evaluate(now)
	}
	for _, p := range t.traits() {
		b := t.blocks[p]
		switch {
		case now.Sub(b.askedAt) > forgetAfter:
			t.records = append(t.records, Record{Trait: p, Drop: true})
			t.unblock(p, b)
		case !b.active && !now.Before(b.activeFrom):
			t.activate(now, p, b)
		}
		if t.blocks[p] == b && !b.recorded && !now.Before(b.recordFrom) {
			t.record(p, b)
		}
	}
}

// activate makes a block take effect, unless later reports or answers have taken the suspicion
// away.
func (t *Table) activate(now time.Time, p Trait, b *block) {
	if !b.recorded && t.moments(p, false) < blockingMoments {
		delete(t.blocks, p)
		t.evaluate(now) // the crashes that the trait explained have another cause
		return
	}
	b.active = true
	t.changes = append(t.changes, Change{Trait: p, Blocked: true, Crashes: t.moments(p, true), Trials: b.trials})
}

func (t *Table) record(p Trait, b *block) {
	b.recorded = true
	t.records = append(t.records, Record{Trait: p, Block: Block{Trials: b.trials}})
}

// unblock removes a block.
func (t *Table) unblock(p Trait, b *block) {
	delete(t.blocks, p)
	if b.active {
		t.changes = append(t.changes, Change{Trait: p, Trials: b.trials})
	}
}

// Pending reports whether an update is due soon.
func (t *Table) Pending() bool {
	if !t.evaluateAt.IsZero() {
		return true
	}
	for _, b := range t.blocks {
		if !b.active || !b.recorded {
			return true
		}
	}
	return false
}

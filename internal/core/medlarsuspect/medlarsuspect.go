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
//	    was answered since. Neither does a crash count anew of which nobody knows that the replica was
//	    still up after the one before. Of traits that are equally suspected,
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
	"maps"
	"slices"
	"time"
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

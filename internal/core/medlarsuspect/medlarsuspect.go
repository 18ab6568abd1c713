// Package medlarsuspect finds the parts of prompts that crash replicas, from what all instances
// report of crashes, and decides which requests are kept from replicas for that.
//
// Rules:
//
//	R1  A crash is the end of one incarnation of a replica, however many attempts were lost
//	    with it and whichever instances report it.
//	R2  Suspected of a crash are the parts of the prompts that the replica had begun to
//	    answer without sending an event. If no instance reports such a prompt, the parts
//	    of the prompts that waited in the replica are suspected. The last part of a prompt
//	    is never suspected.
//	R3  A part is cleared of a crash by an answer with it that began after the crash or
//	    shortly before it.
//	R4  A part is blocked after crashes at blockingMoments different moments of which it is
//	    not cleared and which no other blocked part explains. Crashes at the same moment
//	    count once, since a fault of many replicas has another cause. Of parts that are
//	    equally suspected, those are blocked whose last answer is longest ago: a part that
//	    always comes with another one has no later answer than that.
//	R5  A block takes effect after a delay, in which an instance that has had an answer with
//	    the part objects by clearing it.
//	R6  A blocked part gets maxTrials trials, of one request each, from all instances
//	    together: each is claimed through the store first. A trial that is answered clears
//	    the part; otherwise the next one has to wait longer. Parts that were blocked together
//	    get their first trial sooner, since some of them may be sound.
//	R7  A block is forgotten when no request had the part for forgetAfter. What instances
//	    hold in memory does not grow with the number of parts in prompts.
package medlarsuspect

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
)

// Times and counts of the rules.
const (
	blockingMoments = 3
	sameMoment      = 150 * time.Millisecond // crashes within this time count once (R4)
	crashWindow     = 15 * time.Minute       // crashes count for this time: a part may come seldom
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

// tiedTrialDelay is the first of trialDelays for parts that were blocked together.
const tiedTrialDelay = 3 * time.Second

// Bounds of what is held in memory (R7).
const (
	maxPartLength = 64      // bytes; a longer part is held by its hash
	maxCrashes    = 64      // crashes that are remembered
	maxSuspects   = 1 << 15 // parts in all remembered crashes together
	maxBlocked    = 512     // blocked parts
	maxTied       = 64      // equally suspected parts that are blocked together
	maxAnswered   = 4096    // parts whose last answer is remembered
)

// Part identifies a part of a prompt, whatever prompt it is in.
type Part string

// NewPart returns the identity of a part with the given id.
func NewPart(id string) Part {
	if len(id) <= maxPartLength {
		return Part(id)
	}
	sum := sha256.Sum256([]byte(id))
	return Part("sha256-" + hex.EncodeToString(sum[:16]))
}

// CrashID identifies a crash (R1).
type CrashID struct {
	Replica     medlarid.InstanceID
	Incarnation medlarid.Incarnation
}

// Report is what one instance lost with a replica that crashed.
type Report struct {
	Crash   CrashID
	Begun   []Part // of prompts that the replica had begun to answer
	Waiting []Part // of prompts that waited in the replica
}

// Block is the state of a part that instances share.
type Block struct {
	Trials  int  // trials claimed so far
	Cleared bool // the part is not blocked, or no longer
}

// Record is a state of a part to be shared with all instances.
type Record struct {
	Part  Part
	Block Block
	// Claim is set for a trial: the record counts only if no other instance has changed the
	// shared state meanwhile.
	Claim bool
	// Drop is set if the state is to be forgotten by all.
	Drop bool
}

// Change is a change of what the instance decides on a part, for the log.
type Change struct {
	Part    Part
	Blocked bool
	Crashes int // of which the part is suspected
	Trials  int
}

// crash is a remembered crash.
type crash struct {
	id             CrashID
	at             time.Time // of the first report
	begun, waiting map[Part]bool
	cleared        map[Part]bool // of begun and waiting
	own            bool          // this instance has reported it
}

// suspects returns the parts that are suspected of the crash (R2).
func (c *crash) suspects() map[Part]bool {
	if len(c.begun) > 0 {
		return c.begun
	}
	return c.waiting
}

// block is what the instance knows of a blocked part, or of one about to be blocked.
type block struct {
	active     bool
	activeFrom time.Time // the block takes effect then (R5)
	recorded   bool      // in the store, or on the way there
	recordFrom time.Time // the instance records the block itself from then on
	tied       bool      // blocked together with other parts
	trials     int
	evidenceAt time.Time // of the last crash with the part, or trial of it
	askedAt    time.Time // of the last request with the part
	claimUntil time.Time // a claim of a trial is in flight until then
	grantUntil time.Time // a request may go on as a trial until then
}

// Table holds crashes and blocked parts. It is not safe for concurrent use.
type Table struct {
	crashes  []*crash // in order of their first report
	suspects int      // parts in all crashes
	blocks   map[Part]*block
	answered *times // when the last answer with a part began
	cleared  *times // when another instance cleared a part
	records  []Record
	changes  []Change
}

// New returns an empty table.
func New() *Table {
	return &Table{blocks: map[Part]*block{}, answered: newTimes(maxAnswered), cleared: newTimes(maxAnswered)}
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
// whether anything was new.
func (t *Table) AddReport(now time.Time, r Report, own bool) bool {
	c := t.crash(now, r.Crash)
	added := add(c.begun, r.Begun) + add(c.waiting, r.Waiting)
	t.suspects += added
	c.own = c.own || own
	for p := range c.suspects() {
		if b := t.blocks[p]; b != nil {
			b.evidenceAt = now
		}
	}
	t.trim()
	t.evaluate(now)
	return added > 0
}

// crash returns the remembered crash with an id, and remembers it if it is new.
func (t *Table) crash(now time.Time, id CrashID) *crash {
	for _, c := range t.crashes {
		if c.id == id {
			return c
		}
	}
	c := &crash{id: id, at: now, begun: map[Part]bool{}, waiting: map[Part]bool{}, cleared: map[Part]bool{}}
	t.crashes = append(t.crashes, c)
	return c
}

// add adds parts to a set and returns how many were new.
func add(set map[Part]bool, parts []Part) int {
	n := len(set)
	for _, p := range parts {
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

// evaluate blocks the parts that are suspected most, as long as there are enough moments of
// which they are suspected (R4).
func (t *Table) evaluate(now time.Time) {
	for {
		counts := t.unexplained()
		most := 0
		for _, n := range counts {
			most = max(most, n)
		}
		if most < blockingMoments {
			return
		}
		parts := t.mostSuspected(counts, most)
		for _, p := range parts {
			t.block(now, p).tied = len(parts) > 1
		}
	}
}

// unexplained returns at how many moments each part is suspected of a crash that no blocked
// part explains.
func (t *Table) unexplained() map[Part]int {
	counts, last := map[Part]int{}, map[Part]time.Time{}
	for _, c := range t.crashes {
		if t.explained(c) {
			continue
		}
		for p := range c.suspects() {
			if t.isCleared(p, c) || counts[p] > 0 && c.at.Sub(last[p]) <= sameMoment {
				continue
			}
			counts[p]++
			last[p] = c.at
		}
	}
	return counts
}

func (t *Table) explained(c *crash) bool {
	for p := range c.suspects() {
		if t.blocks[p] != nil {
			return true
		}
	}
	return false
}

// moments returns at how many moments a part is suspected; cleared crashes count if all is set.
func (t *Table) moments(p Part, all bool) int {
	n := 0
	var last time.Time
	for _, c := range t.crashes {
		if !c.suspects()[p] || !all && t.isCleared(p, c) || n > 0 && c.at.Sub(last) <= sameMoment {
			continue
		}
		n++
		last = c.at
	}
	return n
}

// mostSuspected returns the parts that are suspected at a number of moments, at most maxTied.
// Those go first that are suspected of most crashes, explained ones included: a part that is
// always the same, among others that change. Of these, the least recently answered ones remain.
func (t *Table) mostSuspected(counts map[Part]int, moments int) []Part {
	var out []Part
	totals := map[Part]int{}
	for p, n := range counts {
		if n == moments {
			out = append(out, p)
			totals[p] = t.moments(p, true)
		}
	}
	slices.SortFunc(out, func(a, b Part) int {
		return cmp.Or(
			cmp.Compare(totals[b], totals[a]),
			t.answered.get(a).Compare(t.answered.get(b)),
			cmp.Compare(a, b),
		)
	})
	n := 1
	for n < min(len(out), maxTied) && t.answered.get(out[n]).Equal(t.answered.get(out[0])) {
		n++
	}
	return out[:n]
}

// lessSuspect reports whether another part is suspected of all crashes that a part is suspected
// of, and its last answer is longer ago (R4).
func (t *Table) lessSuspect(p Part) bool {
	var others map[Part]bool
	for _, c := range t.crashes {
		if !c.suspects()[p] || t.isCleared(p, c) {
			continue
		}
		if others == nil {
			others = maps.Clone(c.suspects())
			continue
		}
		maps.DeleteFunc(others, func(q Part, _ bool) bool { return !c.suspects()[q] })
	}
	for q := range others {
		if t.answered.get(q).Before(t.answered.get(p)) {
			return true
		}
	}
	return false
}

// isCleared reports whether a part is cleared of a crash (R3).
func (t *Table) isCleared(p Part, c *crash) bool {
	return c.cleared[p] || !t.answered.get(p).Before(c.at.Add(-clearingLead)) || !t.cleared.get(p).Before(c.at)
}

// block begins to block a part.
func (t *Table) block(now time.Time, p Part) *block {
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

// reported reports whether this instance itself has reported a crash of which a part is suspected.
func (t *Table) reported(p Part) bool {
	return slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.own && c.suspects()[p] })
}

// makeRoom forgets the block whose part was not asked for longest, if there are too many.
func (t *Table) makeRoom() {
	if len(t.blocks) < maxBlocked {
		return
	}
	oldest := slices.MinFunc(t.parts(), func(a, b Part) int { return t.blocks[a].askedAt.Compare(t.blocks[b].askedAt) })
	t.unblock(oldest, t.blocks[oldest])
}

// parts returns the blocked parts in order.
func (t *Table) parts() []Part { return slices.Sorted(maps.Keys(t.blocks)) }

// Update makes the changes that are due. It is called at each tick.
func (t *Table) Update(now time.Time) {
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].at) > crashWindow {
		t.forgetCrash()
	}
	for _, p := range t.parts() {
		b := t.blocks[p]
		switch {
		case now.Sub(b.askedAt) > forgetAfter:
			t.records = append(t.records, Record{Part: p, Drop: true})
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
func (t *Table) activate(now time.Time, p Part, b *block) {
	if !b.recorded && t.moments(p, false) < blockingMoments {
		delete(t.blocks, p)
		t.evaluate(now) // the crashes that the part explained have another cause
		return
	}
	b.active = true
	t.changes = append(t.changes, Change{Part: p, Blocked: true, Crashes: t.moments(p, true), Trials: b.trials})
}

func (t *Table) record(p Part, b *block) {
	b.recorded = true
	t.records = append(t.records, Record{Part: p, Block: Block{Trials: b.trials}})
}

// unblock removes a block.
func (t *Table) unblock(p Part, b *block) {
	delete(t.blocks, p)
	if b.active {
		t.changes = append(t.changes, Change{Part: p, Trials: b.trials})
	}
}

// Pending reports whether an update is due soon.
func (t *Table) Pending() bool {
	for _, b := range t.blocks {
		if !b.active || !b.recorded {
			return true
		}
	}
	return false
}

// Package medlarreach decides by which path an instance opens connections to replicas: directly,
// or through another instance that reaches them. A connection that fails shows as little about the
// replica as about the instance's direct path to it; only what another instance sees tells them apart.
// One that opens shows nothing about the path either: a proxy or a balancer may accept it.
//
// Rules:
//
//	R1  A connection is opened directly, and another instance is asked once that has failed
//	    or takes longer than HedgeDelay. If the other instance reaches the replica, the direct path
//	    to it is broken, and its connections are relayed from then on.
//	R2  If minWitnesses other instances don't reach the replica either, it is down, and none is
//	    asked about it again for downTTL.
//	R3  If the paths to minBroken replicas are broken and no direct connection opened since
//	    the first of them broke has brought an answer, the instance is cut off: connections to all replicas are relayed.
//	    Where new connections open, an answer on an older one counts as well.
//	R4  A broken path is tried again with connections that serve no request, a few at a time. The
//	    first one that brings an answer ends the cut. A path that breaks again soon is tried later each time.
//	R5  A path on which connections hang holds back what is sent on connections that are
//	    already open, too; they are not used for further requests. Where new connections are refused,
//	    open ones may work and are used.
//	R6  Up to maxHelpful other instances share what is relayed, so that none gets all of it. Until there are so many
//	    one more is asked first each time, of the own availability zone if possible. One that could not
//	    help is asked last for a while.
//	R7  A path works when a byte of an answer has arrived over it. It is suspected when an answer is awaited and the replica
//	    has sent nothing for far longer than any replica usually takes, when none has for longer than they do together, when
//	    answers have not arrived in time one after the other, or when a new connection has ended without a byte.
//	R8  A suspected path is examined by a call that serves no request. If no answer to that arrives either, while the
//	    replica answers another instance, the path is broken.
package medlarreach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
)

// Times and counts of the rules.
const (
	// HedgeDelay is the time after which another instance is asked while a direct connection is
	// being opened (R1).
	HedgeDelay = 120 * time.Millisecond
	// MaxAsked is the number of other instances that are asked for one connection.
	MaxAsked = 4

	minWitnesses  = 2                      // R2
	downTTL       = 500 * time.Millisecond // R2
	minBroken     = 3                      // R3
	minRetryDelay = time.Second            // until a broken path is tried again; doubles if it breaks again soon (R4)
	maxRetryDelay = 8 * time.Second        // R4
	breaksSoon    = 10 * time.Second       // R4
	retriesAtOnce = 3                      // broken paths that are tried at once (R4)
	maxHelpful    = 4                      // instances that share what one relays (R6)
	helpfulTTL    = 10 * time.Second       // R6
	unhelpfulTTL  = 3 * time.Second        // R6
)

// Outcome is how an attempt to open a connection ended.
type Outcome string

// Outcomes.
const (
	Opened  Outcome = "opened"
	Refused Outcome = "refused" // by the replica, or by what answers at its address
	Silent  Outcome = "silent"  // nothing answers
	// Answered is the outcome if a byte of an answer arrived, Unanswered if the connection was opened and none arrived, and Ended if
	// it was opened and ended before one did (R8).
	Answered   Outcome = "answered"
	Unanswered Outcome = "unanswered"
	Ended      Outcome = "ended"
	// Unhelpful is the outcome at another instance that could not try: it does not know the replica, sends it
	// nothing at present, is cut off itself, or does not answer.
	Unhelpful Outcome = "unhelpful"
)

// Plan states how to open a connection to a replica.
type Plan struct {
	// Relay is set if another instance may be asked, and RelayFirst if a direct connection is opened only
	// if none of them helps.
	Relay, RelayFirst bool
}

// Peer is another instance that may relay.
type Peer struct {
	ID   medlarid.InstanceID
	Zone medlarid.Zone
}

// peer is what is known of another instance.
type peer struct {
	Peer
	helpedAt   time.Time // when it relayed last
	unhelpedAt time.Time // when it could not help last
}

// path is the state of the direct path to one replica.
type path struct {
	broken     bool
	hangs      bool      // connections hang rather than being refused (R5)
	brokenAt   time.Time // when it broke last
	mendedAt   time.Time // when it was found to work again
	retryAt    time.Time // R4
	retryDelay time.Duration
	retrying   bool
	downUntil  time.Time // R2
	retriedNow bool      // it is tried again at once, as a connection has opened since it broke

	quiet      quiet     // while an answer of the replica is awaited (R7)
	waiting    int       // direct connections on which one is
	gotAt      time.Time // when the last byte was received
	late       int       // answers that have not come in time since then
	ended      bool      // a new connection has ended without one since then
	examining  bool      // R8
	examinedAt time.Time // R8
}

// Change is a change of a path, or of the instance's state, for the log.
type Change struct {
	Replica medlarid.InstanceID // empty for a change of the instance's state
	Broken  bool                // the path is broken, or the instance is cut off
	Hangs   bool
	Opens   bool          // connections open, and no answer comes
	Paths   int           // broken paths at that time
	For     time.Duration // how long it was broken, if it is no longer
}

// Table holds the state of the direct paths to replicas. It is not safe for concurrent use.
type Table struct {
	zone    medlarid.Zone
	rand    *rand.Rand
	paths   map[medlarid.InstanceID]*path
	peers   map[medlarid.InstanceID]*peer
	broken  int       // broken paths
	gotAt   time.Time // when a byte was received directly last
	openAt  time.Time // when the direct connection was opened that brought an answer and was opened last
	firstAt time.Time // when the first of the broken paths broke
	cut     bool
	cutAt   time.Time
	changes []Change

	quiet        quiet // of all replicas (R7)
	waitingPaths int   // replicas of which an answer is awaited
	examining    int   // paths
	late         int   // answers that have not come in time since a byte was received directly
}

// New returns a Table of an instance in a zone that knows no replicas and no other instances.
func New(zone medlarid.Zone, r *rand.Rand) *Table {
	return &Table{zone: zone, rand: r, paths: map[medlarid.InstanceID]*path{}, peers: map[medlarid.InstanceID]*peer{}}
}

// SetPeer records another instance that may relay.
func (t *Table) SetPeer(p Peer) { t.peers[p.ID] = &peer{Peer: p} }

// RemovePeer removes another instance.
func (t *Table) RemovePeer(id medlarid.InstanceID) { delete(t.peers, id) }

// Cut reports whether the instance is cut off from the replicas (R3).
func (t *Table) Cut() bool { return t.cut }

// Broken returns the number of replicas to which the direct path is broken.
func (t *Table) Broken() int { return t.broken }

// Works reports whether the direct path to a replica is believed to work.
func (t *Table) Works(id medlarid.InstanceID) bool {
	p := t.paths[id]
	return !t.cut && (p == nil || !p.broken)
}

// KeepsOpen reports whether direct connections to a replica that are already open may be used (R5).
func (t *Table) KeepsOpen(id medlarid.InstanceID) bool {
	p := t.paths[id]
	if p != nil && p.broken {
		return !p.hangs
	}
	return !t.cut || !t.allHang()
}

// allHang reports whether connections hang on all broken paths.
func (t *Table) allHang() bool {
	for _, p := range t.paths {
		if p.broken && !p.hangs {
			return false
		}
	}
	return true
}

// Plan returns how to open a connection to a replica (R1 to R3).
func (t *Table) Plan(now time.Time, id medlarid.InstanceID) Plan {
	if len(t.peers) == 0 {
		return Plan{}
	}
	if !t.Works(id) {
		return Plan{Relay: true, RelayFirst: true}
	}
	p := t.paths[id]
	return Plan{Relay: p == nil || !now.Before(p.downUntil)}
}

// Peers returns the other instances to ask, in order (R6).
func (t *Table) Peers(now time.Time) []medlarid.InstanceID {
	var helpful, others []*peer
	for _, p := range t.peers {
		if p.helps(now) {
			helpful = append(helpful, p)
		} else {
			others = append(others, p)
		}
	}
	t.shuffle(helpful)
	t.shuffle(others)
	slices.SortStableFunc(others, func(a, b *peer) int { return cmp.Compare(t.rank(now, a), t.rank(now, b)) })
	if n := min(len(others), 1); len(helpful) < maxHelpful && n > 0 && !others[0].unhelpful(now) {
		helpful, others = append(others[:n:n], helpful...), others[n:]
	}
	var out []medlarid.InstanceID
	for _, p := range append(helpful, others...) {
		out = append(out, p.ID)
	}
	return out[:min(len(out), MaxAsked)]
}

// shuffle puts peers in an order that depends on the seed alone.
func (t *Table) shuffle(peers []*peer) {
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.ID, b.ID) })
	t.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// helps reports whether another instance has relayed lately.
func (p *peer) helps(now time.Time) bool {
	return !p.helpedAt.IsZero() && now.Sub(p.helpedAt) < helpfulTTL && !p.unhelpful(now)
}

// unhelpful reports whether another instance could not help lately.
func (p *peer) unhelpful(now time.Time) bool {
	return !p.unhelpedAt.IsZero() && now.Sub(p.unhelpedAt) < unhelpfulTTL
}

// rank returns the place in the order of another instance that has not relayed lately.
func (t *Table) rank(now time.Time, p *peer) int {
	rank := 0
	if p.Zone != t.zone {
		rank++
	}
	if p.unhelpful(now) {
		rank += 2
	}
	return rank
}

// Ended records how an attempt to open a direct connection ended. What is not opened breaks the path only once
// another instance has reached the replica. What is opened does not mend it: a broken path is tried again at once, but
// only once.
func (t *Table) Ended(now time.Time, id medlarid.InstanceID, o Outcome) {
	p := t.paths[id]
	if o != Opened || p == nil {
		return
	}
	p.downUntil = time.Time{}
	if p.broken && !p.retriedNow {
		p.retryAt, p.retriedNow = now, true
	}
}

// Asked records what another instance has stated about a replica; direct is how opening a direct connection has ended,
// Silent if it has not ended yet, or empty if it was not tried.
func (t *Table) Asked(now time.Time, id, asked medlarid.InstanceID, direct, o Outcome) {
	if p := t.peers[asked]; p != nil {
		switch o {
		case Opened:
			p.helpedAt, p.unhelpedAt = now, time.Time{}
		case Unhelpful:
			p.unhelpedAt = now
		}
	}
	switch direct {
	case Refused, Silent, Unanswered, Ended:
		if o == Opened {
			t.breakPath(now, id, direct)
		}
	}
}

// Unreached records that the replica is down if enough other instances did not reach it either (R2).
func (t *Table) Unreached(now time.Time, id medlarid.InstanceID, witnesses int) {
	if witnesses < min(minWitnesses, len(t.peers)) || witnesses == 0 {
		return
	}
	t.path(id).downUntil = now.Add(downTTL)
}

// Witnessed reports whether enough other instances have stated that they don't reach a replica (R2).
func Witnessed(n int) bool { return n >= minWitnesses }

func (t *Table) path(id medlarid.InstanceID) *path {
	p := t.paths[id]
	if p == nil {
		p = &path{}
		t.paths[id] = p
	}
	return p
}

// breakPath records that the direct path to a replica is broken (R1), and finds out whether the instance is cut off (R3).
func (t *Table) breakPath(now time.Time, id medlarid.InstanceID, direct Outcome) {
	p := t.path(id)
	hangs, opens := direct == Silent || direct == Unanswered, direct == Unanswered || direct == Ended
	if p.broken {
		p.hangs = hangs
		return
	}
	soon := !p.mendedAt.IsZero() && now.Sub(p.mendedAt) < breaksSoon
	p.retryDelay = min(2*p.retryDelay, maxRetryDelay)
	if !soon || p.retryDelay == 0 {
		p.retryDelay = minRetryDelay
	}
	p.broken, p.hangs, p.brokenAt, p.retryAt, p.retriedNow = true, hangs, now, now.Add(p.retryDelay), false
	t.broken++
	if t.broken == 1 {
		t.firstAt = now
	}
	t.changes = append(t.changes, Change{Replica: id, Broken: true, Hangs: hangs, Opens: opens, Paths: t.broken})
	answered := !t.openAt.Before(t.firstAt) || opens && t.gotAt.After(t.firstAt)
	if !t.cut && t.broken >= minBroken && !answered {
		t.cut, t.cutAt = true, now
		t.changes = append(t.changes, Change{Broken: true, Hangs: t.allHang(), Opens: opens, Paths: t.broken})
	}
}

// mend records that the direct path to a replica works.
func (t *Table) mend(now time.Time, id medlarid.InstanceID) {
	p := t.paths[id]
	if p == nil {
		return
	}
	p.downUntil = time.Time{}
	if !p.broken {
		return
	}
	p.broken, p.mendedAt, p.quiet.since = false, now, now
	t.broken--
	t.changes = append(t.changes, Change{Replica: id, Paths: t.broken, For: now.Sub(p.brokenAt)})
}

// endCut ends the cut: all other broken paths are tried again soon (R4).
func (t *Table) endCut(now time.Time) {
	if !t.cut {
		return
	}
	t.cut, t.quiet.since = false, now
	t.changes = append(t.changes, Change{Paths: t.broken, For: now.Sub(t.cutAt)})
	for _, p := range t.paths {
		if p.broken {
			p.retryAt = now
		}
	}
}

// Retries returns the replicas to which a direct connection is to be tried now (R4), and the time until the
// next ones; 0 if no path is broken.
func (t *Table) Retries(now time.Time) (due []medlarid.InstanceID, next time.Duration) {
	retrying := 0
	for id, p := range t.paths {
		switch {
		case !p.broken:
		case p.retrying:
			retrying++
		case !now.Before(p.retryAt):
			due = append(due, id)
		}
	}
	slices.Sort(due)
	t.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	due = due[:min(len(due), max(retriesAtOnce-retrying, 0))]
	for _, id := range due {
		t.paths[id].retrying = true
	}
	if t.broken == 0 {
		return nil, 0
	}
	return due, retryPoll
}

// retryPoll is the time between two looks for broken paths that are due.
const retryPoll = 100 * time.Millisecond

// Retried records how a try of a broken path ended (R4). An answer to it is recorded by Got before.
func (t *Table) Retried(now time.Time, id medlarid.InstanceID) {
	if p := t.paths[id]; p != nil {
		p.retrying, p.retryAt = false, now.Add(p.retryDelay)
	}
}

// Keep forgets the paths to replicas that are gone.
func (t *Table) Keep(exists func(medlarid.InstanceID) bool) {
	for id, p := range t.paths {
		if exists(id) {
			continue
		}
		if p.broken {
			t.broken--
		}
		if p.waiting > 0 {
			t.waitingPaths--
		}
		if p.examining {
			t.examining--
		}
		delete(t.paths, id)
	}
	if t.broken == 0 {
		t.cut = false
	}
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	out := t.changes
	t.changes = nil
	return out
}

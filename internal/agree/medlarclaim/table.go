package medlarclaim

import (
	"container/list"
	"time"

	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarlog"
)

// ClaimWindow is the number of records after its base offset within which a claim
// must be appended. A later claim is void (R3).
const ClaimWindow = 4096

// keyBytes is the length of keys and digests.
const keyBytes = 16

// Key identifies an unrepeatable request by its account and idempotency key.
type Key [keyBytes]byte

// Digest identifies the body of a request.
type Digest [keyBytes]byte

// ID identifies a claim.
type ID = medlarid.RecordID

// State is the state of a key.
type State string

// States of a key.
const (
	StateOpen    State = "open"    // claimed, no outcome yet
	StateDone    State = "done"    // the attempt ended with a response
	StateUnknown State = "unknown" // the attempt was made, its outcome is not known
)

// Outcome is the recorded result of an attempt.
type Outcome struct {
	Status      int
	ContentType string
	Response    []byte // empty if it was too large to store
	Digest      []byte // SHA-256 of the response
	Complete    bool   // Response holds the whole response
}

// Entry is the state of a key according to the log.
type Entry struct {
	Owner      ID
	BodyDigest Digest
	Offset     medlarid.Offset
	Claimed    time.Time // timestamp by the log service
	Issued     time.Time
	State      State
	Outcome    Outcome
}

// Bounds limits the time during which a key can be claimed. All instances must
// use the same values.
type Bounds struct {
	// Validity is the time after its issue during which a key can be claimed. It
	// must be shorter than the retention time of the log.
	Validity time.Duration
	// Skew is the time by which a key's time of issue may lie ahead of the log's
	// clock.
	Skew time.Duration
}

// recentClaim is a claim that was applied within the last ClaimWindow records.
type recentClaim struct {
	id     ID
	offset medlarid.Offset
}

// claimedKey is a key in the order of claims, with the claim that owned it then.
type claimedKey struct {
	key   Key
	owner ID
}

// Table is the state machine of the claims stream. The same records produce the
// same table on every instance (R1). It is not safe for concurrent use.
type Table struct {
	bounds      Bounds
	entries     map[Key]*Entry
	byClaimTime *list.List // of claimedKey, in the order of claims
	seen        map[ID]bool
	recent      []recentClaim
	next        medlarid.Offset
	firstTime   time.Time // timestamp of the first record applied
	fromStart   bool      // whether the stream was read from offset 1
	logTime     time.Time // latest timestamp of the records applied
	Counts      Counts
}

// Counts holds the counters of a Table. Its field names are part of the status
// response.
type Counts struct {
	Granted   int
	Lost      int // the key was already owned
	Late      int // appended outside ClaimWindow
	Expired   int
	Repeated  int
	Malformed int
	Void      int
}

// NewTable returns an empty table that starts at offset 1.
func NewTable(b Bounds) *Table {
	t := &Table{bounds: b}
	t.Reset(1)
	return t
}

// Reset empties the table and sets the offset to continue from, after records
// have expired.
func (t *Table) Reset(first medlarid.Offset) {
	t.entries = map[Key]*Entry{}
	t.byClaimTime = list.New()
	t.seen = map[ID]bool{}
	t.recent = nil
	t.next = first
	t.firstTime = time.Time{}
	t.fromStart = first <= 1
}

// Next returns the offset of the next record to apply.
func (t *Table) Next() medlarid.Offset { return t.next }

// Len returns the number of keys.
func (t *Table) Len() int { return len(t.entries) }

// Get returns the entry of a key.
func (t *Table) Get(k Key) (Entry, bool) {
	e, ok := t.entries[k]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Complete reports whether the table holds every claim that is still valid at the
// given time: the first record applied is older than any valid key, or the stream
// was read from its start (R5).
func (t *Table) Complete(now time.Time) bool {
	return t.fromStart || !t.firstTime.IsZero() && now.Sub(t.firstTime) > t.bounds.Validity+t.bounds.Skew
}

// Decision is the result of applying a claim from the log.
type Decision string

// Decisions.
const (
	DecisionGranted  Decision = "granted"
	DecisionLost     Decision = "lost"     // the key was already owned
	DecisionLate     Decision = "late"     // appended outside ClaimWindow
	DecisionExpired  Decision = "expired"  // the key was too old by the log's clock
	DecisionRepeated Decision = "repeated" // a duplicate of a claim that was decided before
)

// ClaimDecision is a claim and the decision about it.
type ClaimDecision struct {
	ID       ID
	Key      Key
	Decision Decision
}

// Apply applies one record. It returns the record's author and the decisions
// about its claims.
func (t *Table) Apply(e medlarlog.Entry) (author string, decisions []ClaimDecision) {
	t.next = e.Offset + 1
	if at := e.Time(); at.After(t.logTime) {
		t.logTime = at // the log's clock may step back, but ages must not decrease
	}
	if t.firstTime.IsZero() {
		t.firstTime = e.Time()
	}
	t.prune()
	r, _, err := medlarrecord.Decode(e.Data)
	if err != nil {
		t.Counts.Malformed++
		return "", nil
	}
	base := medlarid.Offset(r.GetClaims().GetBase())
	for _, c := range r.GetClaims().GetClaims() {
		id, ok := medlarid.ParseRecordID(c.GetId())
		key, okKey := parseKey(c.GetKey())
		if !ok || !okKey {
			t.Counts.Malformed++
			continue
		}
		decision := t.decide(e.Offset, base, id, key, c)
		t.Counts.add(decision)
		decisions = append(decisions, ClaimDecision{id, key, decision})
	}
	for _, o := range r.GetOutcomes().GetOutcomes() {
		t.applyOutcome(o)
	}
	return r.GetAuthor(), decisions
}

// decide applies one claim and returns the decision about it (R2, R3, R4).
func (t *Table) decide(offset, base medlarid.Offset, id ID, key Key, c *medlarrecord.Claim) Decision {
	issued := time.UnixMilli(c.GetIssued())
	switch {
	case t.seen[id]:
		return DecisionRepeated
	case offset > base+ClaimWindow:
		return DecisionLate
	case !t.bounds.valid(issued, t.logTime):
		return DecisionExpired
	}
	t.seen[id] = true
	t.recent = append(t.recent, recentClaim{id, offset})
	if t.entries[key] != nil {
		return DecisionLost
	}
	entry := &Entry{Owner: id, Offset: offset, Claimed: t.logTime, Issued: issued, State: StateOpen}
	copy(entry.BodyDigest[:], c.GetBody())
	t.entries[key] = entry
	t.byClaimTime.PushBack(claimedKey{key, id})
	return DecisionGranted
}

func (c *Counts) add(r Decision) {
	switch r {
	case DecisionGranted:
		c.Granted++
	case DecisionLost:
		c.Lost++
	case DecisionLate:
		c.Late++
	case DecisionExpired:
		c.Expired++
	case DecisionRepeated:
		c.Repeated++
	}
}

// applyOutcome applies the outcome of a claim. Only the first outcome by the
// owner of the key takes effect.
func (t *Table) applyOutcome(o *medlarrecord.Outcome) {
	key, ok := parseKey(o.GetKey())
	id, okID := medlarid.ParseRecordID(o.GetClaim())
	entry := t.entries[key]
	if !ok || !okID || entry == nil || entry.Owner != id || entry.State != StateOpen {
		return
	}
	switch o.GetState() {
	case medlarrecord.State_STATE_VOID:
		delete(t.entries, key)
		t.Counts.Void++
	case medlarrecord.State_STATE_DONE:
		entry.State = StateDone
		entry.Outcome = decodeOutcome(o)
	case medlarrecord.State_STATE_UNKNOWN:
		entry.State = StateUnknown
	}
}

// valid reports whether a key that was issued at the given time can be claimed
// now.
func (b Bounds) valid(issued, now time.Time) bool {
	age := now.Sub(issued)
	return age <= b.Validity && age >= -b.Skew
}

// prune removes what no later record can refer to: claims outside ClaimWindow,
// and keys that can no longer be claimed. A key is claimed at most Skew before
// its time of issue, so it expires at most Validity plus Skew after its claim.
func (t *Table) prune() {
	n := 0
	for n < len(t.recent) && t.recent[n].offset+ClaimWindow < t.next {
		delete(t.seen, t.recent[n].id)
		n++
	}
	t.recent = t.recent[n:]
	for el := t.byClaimTime.Front(); el != nil; el = t.byClaimTime.Front() {
		a := el.Value.(claimedKey)
		e := t.entries[a.key]
		if e != nil && e.Owner == a.owner {
			if t.logTime.Sub(e.Claimed) <= t.bounds.Validity+t.bounds.Skew {
				return
			}
			delete(t.entries, a.key)
		}
		t.byClaimTime.Remove(el)
	}
}

func parseKey(b []byte) (k Key, ok bool) {
	if len(b) != keyBytes {
		return Key{}, false
	}
	copy(k[:], b)
	return k, true
}

func decodeOutcome(o *medlarrecord.Outcome) Outcome {
	return Outcome{
		Status:      int(o.GetStatus()),
		ContentType: o.GetType(),
		Response:    o.GetAnswer(),
		Digest:      o.GetDigest(),
		Complete:    len(o.GetAnswer()) > 0,
	}
}

package medlarclaim

import (
	"container/list"
	"time"

	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarlog"
)

// ClaimWindow is the number of records after a claim's base within which the claim has
// to land; later it is void (R3).
const ClaimWindow = 4096

// keyBytes is the length of keys and digests.
const keyBytes = 16

// Key identifies an unrepeatable request: account and idempotency key.
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
	StateDone    State = "done"    // the attempt ended with an answer
	StateUnknown State = "unknown" // the attempt was made, its outcome is not known
)

// Outcome is the recorded end of an attempt.
type Outcome struct {
	Status      int
	ContentType string
	Response    []byte // empty when it was too large
	Digest      []byte // SHA-256 of the answer
	Complete    bool   // Answer is the whole answer
}

// Entry is what the log says about a key.
type Entry struct {
	Owner      ID
	BodyDigest Digest
	Offset     medlarid.Offset
	Claimed    time.Time // the log service's stamp
	Issued     time.Time
	State      State
	Outcome    Outcome
}

// Bounds are the times of keys. All instances must have the same.
type Bounds struct {
	// Validity is the time after its issue during which a key can be claimed. It
	// is shorter than the retention of the log.
	Validity time.Duration
	// Skew is how far a key's time of issue may lie ahead of the log's clock.
	Skew time.Duration
}

// seenClaim is a claim that was applied within the last Span records.
type seenClaim struct {
	id     ID
	offset medlarid.Offset
}

// aged is a key in the order of its time of issue or of its claim.
type aged struct {
	key   Key
	owner ID
}

// Table is the state machine of the claims stream: the same records give the
// same table on every instance (R1). It is not safe for concurrent use.
type Table struct {
	bounds  Bounds
	entries map[Key]*Entry
	byAge   *list.List // of aged, in the order of claims
	seen    map[ID]bool
	order   []seenClaim
	next    medlarid.Offset
	first   time.Time // stamp of the oldest record read
	whole   bool      // read from offset 1
	now     time.Time // stamp of the newest record read
	Counts  Counts
}

// Counts are totals of what the table has met.
type Counts struct {
	Granted   int
	Lost      int // the key had an owner already
	Late      int // landed beyond Span
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

// Reset empties the table to read from an offset on, after records have
// expired.
func (t *Table) Reset(first medlarid.Offset) {
	t.entries = map[Key]*Entry{}
	t.byAge = list.New()
	t.seen = map[ID]bool{}
	t.order = nil
	t.next = first
	t.first = time.Time{}
	t.whole = first <= 1
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

// Complete reports whether the table holds every claim that is still valid at a
// time: its first record is older than any valid key, or the stream was read
// from its start (R5).
func (t *Table) Complete(now time.Time) bool {
	return t.whole || !t.first.IsZero() && now.Sub(t.first) > t.bounds.Validity+t.bounds.Skew
}

// Decision is the fate of a claim in the log.
type Decision string

// Rulings.
const (
	DecisionGranted  Decision = "granted"
	DecisionLost     Decision = "lost"     // the key had an owner already
	DecisionLate     Decision = "late"     // landed beyond Span
	DecisionExpired  Decision = "expired"  // the key was too old by the log's clock
	DecisionRepeated Decision = "repeated" // the claim was ruled on before
)

// ClaimDecision is a claim with its ruling.
type ClaimDecision struct {
	ID       ID
	Key      Key
	Decision Decision
}

// Apply applies one record. It returns the record's author and the rulings on
// its claims.
func (t *Table) Apply(e medlarlog.Entry) (author string, ruled []ClaimDecision) {
	t.next = e.Offset + 1
	if at := e.Time(); at.After(t.now) {
		t.now = at // the log's clock may step back; ages only grow
	}
	if t.first.IsZero() {
		t.first = e.Time()
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
		key, okKey := keyOf(c.GetKey())
		if !ok || !okKey {
			t.Counts.Malformed++
			continue
		}
		ruling := t.rule(e.Offset, base, id, key, c)
		t.Counts.add(ruling)
		ruled = append(ruled, ClaimDecision{id, key, ruling})
	}
	for _, o := range r.GetOutcomes().GetOutcomes() {
		t.settle(o)
	}
	return r.GetAuthor(), ruled
}

// rule decides about one claim (R2, R3, R4).
func (t *Table) rule(offset, base medlarid.Offset, id ID, key Key, c *medlarrecord.Claim) Decision {
	issued := time.UnixMilli(c.GetIssued())
	switch {
	case t.seen[id]:
		return DecisionRepeated
	case offset > base+ClaimWindow:
		return DecisionLate
	case !t.bounds.valid(issued, t.now):
		return DecisionExpired
	}
	t.seen[id] = true
	t.order = append(t.order, seenClaim{id, offset})
	if t.entries[key] != nil {
		return DecisionLost
	}
	entry := &Entry{Owner: id, Offset: offset, Claimed: t.now, Issued: issued, State: StateOpen}
	copy(entry.BodyDigest[:], c.GetBody())
	t.entries[key] = entry
	t.byAge.PushBack(aged{key, id})
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

// settle applies the outcome of a claim; only the owner's counts, and only once.
func (t *Table) settle(o *medlarrecord.Outcome) {
	key, ok := keyOf(o.GetKey())
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
		entry.Outcome = outcomeOf(o)
	case medlarrecord.State_STATE_UNKNOWN:
		entry.State = StateUnknown
	}
}

// valid reports whether a key issued at a time can be claimed now.
func (b Bounds) valid(issued, now time.Time) bool {
	age := now.Sub(issued)
	return age <= b.Validity && age >= -b.Skew
}

// prune forgets what no later record can refer to: claims beyond Span, and keys
// that can no longer be claimed. A key is claimed at most Skew before its time
// of issue.
func (t *Table) prune() {
	n := 0
	for n < len(t.order) && t.order[n].offset+ClaimWindow < t.next {
		delete(t.seen, t.order[n].id)
		n++
	}
	t.order = t.order[n:]
	for el := t.byAge.Front(); el != nil; el = t.byAge.Front() {
		a := el.Value.(aged)
		e := t.entries[a.key]
		if e != nil && e.Owner == a.owner {
			if t.now.Sub(e.Claimed) <= t.bounds.Validity+t.bounds.Skew {
				return
			}
			delete(t.entries, a.key)
		}
		t.byAge.Remove(el)
	}
}

func keyOf(b []byte) (k Key, ok bool) {
	if len(b) != keyBytes {
		return Key{}, false
	}
	copy(k[:], b)
	return k, true
}

func outcomeOf(o *medlarrecord.Outcome) Outcome {
	return Outcome{
		Status:      int(o.GetStatus()),
		ContentType: o.GetType(),
		Response:    o.GetAnswer(),
		Digest:      o.GetDigest(),
		Complete:    len(o.GetAnswer()) > 0,
	}
}

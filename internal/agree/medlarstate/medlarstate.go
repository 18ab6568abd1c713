// Package medlarstate implements the replicated state machine that every reader of
// the lists stream runs: it applies records in the order of their offsets and
// yields the lists in force and their history.
//
// Rules:
//
//	R1  Records are applied in the order of their offsets; a gap is reported and
//	    never skipped.
//	R2  A publication is accepted if its base is the version in force, its change
//	    applies and its digest matches the result; otherwise it is rejected with a
//	    reason. The verdict depends only on the records, so all readers agree.
//	R3  The version in force is the offset of the last accepted publication. It
//	    never decreases.
//	R4  A publication whose record identifier is in the history is a duplicate and
//	    has no effect.
//	R5  A reader without state starts at offset 1, or from a complete snapshot
//	    followed by every publication after the snapshot's version.
//	R6  A reader that has lists ignores snapshots.
package medlarstate

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarlog"
)

// maxHistory is the maximum number of verdicts in the history.
const maxHistory = 4096

// Op identifies the operation that failed.
type Op string

// Operations.
const (
	OpApply    Op = "apply"
	OpSnapshot Op = "snapshot"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindGap      Kind = "gap"  // records before this one are missing
	KindNotReady Kind = "cold" // the state has no lists yet
)

// Error reports a record that cannot be applied or a snapshot that cannot be taken.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// RejectReason is the reason for which a publication was rejected; it is empty for
// an accepted one.
type RejectReason string

// Reasons of rejection.
const (
	RejectNone           RejectReason = ""
	RejectBaseMismatch   RejectReason = "base"   // the base is not the version in force
	RejectInvalid        RejectReason = "value"  // an entry or a reference is invalid
	RejectDigestMismatch RejectReason = "digest" // the result differs from the author's
	RejectEmpty          RejectReason = "empty"  // the change is empty
)

// Verdict is the recorded result of one publication: accepted, or rejected with a
// reason (R2).
type Verdict struct {
	Offset  medlarid.Offset
	Base    medlarid.Offset
	ID      medlarid.RecordID
	Time    time.Time // timestamp of the log service
	User    string
	Note    string
	Reject  RejectReason
	Changes int
}

// View is the state at one offset. It is immutable once stored.
type View struct {
	Lists      *medlarlist.Lists
	Version    medlarid.Offset // offset of the publication in force; 0 for none
	NextOffset medlarid.Offset // offset of the next record to apply
	Ready      bool            // false while a snapshot is awaited (R5)
	History    []Verdict       // in the order of their offsets
	// LastSnapshot is the offset of the newest record that holds the last part of a
	// snapshot; 0 for none.
	LastSnapshot medlarid.Offset
}

// Counts are the numbers of records applied, by outcome.
type Counts struct {
	Accepted   int
	Rejected   int
	Duplicates int
	Malformed  int
	Skipped    int // records of another type or of a newer format
	Snapshots  int
}

// State applies records. Apply and Restart must be called by a single goroutine;
// View and Counts may be called concurrently.
type State struct {
	view     atomic.Pointer[View]
	mu       sync.Mutex
	counts   Counts
	assembly *assembly
}

// New returns a state to which no record has been applied.
func New() *State {
	s := &State{}
	s.view.Store(&View{Lists: medlarlist.New(), NextOffset: 1, Ready: true})
	return s
}

// View returns the current state.
func (s *State) View() *View { return s.view.Load() }

// Counts returns the current counts.
func (s *State) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Restart makes the state await a snapshot from the oldest offset in the stream on,
// after a gap (R5). The lists in force remain until a snapshot replaces them, and
// an older snapshot never does (R3).
func (s *State) Restart(first medlarid.Offset) {
	v := *s.View()
	v.NextOffset = first
	v.Ready = false
	s.assembly = newAssembly(first)
	s.view.Store(&v)
}

// Apply applies one record (R1).
func (s *State) Apply(e medlarlog.Entry) error {
	v := s.View()
	if e.Offset != v.NextOffset {
		return &Error{Op: OpApply, Kind: KindGap, Err: eris.Errorf("got the record at offset %d, expected offset %d", e.Offset, v.NextOffset)}
	}
	next := *v
	next.NextOffset = e.Offset + 1
	r, id, err := medlarrecord.Decode(e.Data)
	if err != nil {
		s.count(func(c *Counts) { c.Malformed++ })
		s.view.Store(&next)
		return nil
	}
	switch body := r.GetBody().(type) {
	case *medlarrecord.Record_Publication:
		s.applyPublication(&next, publication{offset: e.Offset, id: id, time: e.Time(), body: body.Publication})
	case *medlarrecord.Record_Snapshot:
		s.applySnapshot(&next, e.Offset, r.GetAuthor(), body.Snapshot)
	default:
		s.count(func(c *Counts) { c.Skipped++ })
	}
	s.view.Store(&next)
	return nil
}

// publication is a decoded publication with its position in the log.
type publication struct {
	offset medlarid.Offset
	id     medlarid.RecordID
	time   time.Time
	body   *medlarrecord.Publication
}

func (s *State) applyPublication(v *View, p publication) {
	if s.assembly != nil {
		s.assembly.addPublication(p)
		return
	}
	s.decide(v, p)
}

// decide accepts or rejects a publication and records the verdict (R2); it ignores
// a duplicate (R4).
func (s *State) decide(v *View, p publication) {
	if v.hasRecord(p.id) {
		s.count(func(c *Counts) { c.Duplicates++ })
		return
	}
	lists, reject := evaluate(v, p)
	v.History = appendVerdict(v.History, Verdict{
		Offset:  p.offset,
		Base:    medlarid.Offset(p.body.GetBase()),
		ID:      p.id,
		Time:    p.time,
		User:    p.body.GetUser(),
		Note:    p.body.GetNote(),
		Reject:  reject,
		Changes: len(p.body.GetPut()) + len(p.body.GetDrop()),
	})
	if reject != RejectNone {
		s.count(func(c *Counts) { c.Rejected++ })
		return
	}
	s.count(func(c *Counts) { c.Accepted++ })
	v.Lists = lists
	v.Version = p.offset
}

func evaluate(v *View, p publication) (*medlarlist.Lists, RejectReason) {
	if medlarid.Offset(p.body.GetBase()) != v.Version {
		return nil, RejectBaseMismatch
	}
	change := ChangeOf(p.body)
	if change.Empty() {
		return nil, RejectEmpty
	}
	lists, err := v.Lists.Apply(change)
	if err != nil {
		return nil, RejectInvalid
	}
	if string(lists.Digest.Bytes()) != string(p.body.GetDigest()) {
		return nil, RejectDigestMismatch
	}
	return lists, RejectNone
}

// hasRecord reports whether the history holds a record with this identifier (R4).
func (v *View) hasRecord(id medlarid.RecordID) bool {
	_, ok := v.VerdictByID(id)
	return ok
}

// VerdictByID returns the verdict on the publication with a record identifier.
func (v *View) VerdictByID(id medlarid.RecordID) (Verdict, bool) {
	for i := len(v.History) - 1; i >= 0; i-- {
		if v.History[i].ID == id {
			return v.History[i], true
		}
	}
	return Verdict{}, false
}

// VerdictAt returns the verdict on the version that was in force at a time of the
// log service's clock; ok is false if there was none, or if the history does not
// reach back that far.
func (v *View) VerdictAt(t time.Time) (found Verdict, ok bool) {
	for _, h := range v.History {
		if h.Reject == RejectNone && !h.Time.After(t) {
			found, ok = h, true
		}
	}
	return found, ok
}

// appendVerdict returns a new slice, bounded by maxHistory. It does not modify the
// old one, which earlier views share.
func appendVerdict(old []Verdict, v Verdict) []Verdict {
	if drop := len(old) + 1 - maxHistory; drop > 0 {
		old = old[drop:]
	}
	return append(old[:len(old):len(old)], v)
}

func (s *State) count(f func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}

// ChangeOf decodes the change of a publication.
func ChangeOf(p *medlarrecord.Publication) medlarlist.Change {
	var c medlarlist.Change
	for _, e := range p.GetPut() {
		c.Put = append(c.Put, entryOf(e))
	}
	for _, n := range p.GetDrop() {
		c.Delete = append(c.Delete, nameOf(n))
	}
	return c
}

func entryOf(e *medlarrecord.Entry) medlarlist.Entry {
	return medlarlist.Entry{Name: nameOf(e.GetName()), Value: e.GetValue()}
}

func nameOf(n *medlarrecord.Name) medlarlist.EntryName {
	return medlarlist.EntryName{Table: n.GetTable(), Name: n.GetName()}
}

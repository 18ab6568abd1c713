package medlarstate

import (
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
)

// snapshotPartBytes limits the size of the entries and verdicts in one snapshot
// record.
const snapshotPartBytes = 256 << 10

// snapshotKey identifies a snapshot: several authors may write one of the same
// version.
type snapshotKey struct {
	author  string
	version medlarid.Offset
}

// assembly collects the publications and the parts of snapshots that a reader
// without state needs (R5).
type assembly struct {
	first        medlarid.Offset
	publications []publication
	snapshots    map[snapshotKey]map[uint32]*medlarrecord.Snapshot
}

func newAssembly(first medlarid.Offset) *assembly {
	return &assembly{first: first, snapshots: map[snapshotKey]map[uint32]*medlarrecord.Snapshot{}}
}

func (a *assembly) addPublication(p publication) { a.publications = append(a.publications, p) }

// addPart stores one part and returns all parts in order once the snapshot is
// complete.
func (a *assembly) addPart(author string, part *medlarrecord.Snapshot) []*medlarrecord.Snapshot {
	k := snapshotKey{author, medlarid.Offset(part.GetVersion())}
	parts := a.snapshots[k]
	if parts == nil {
		parts = map[uint32]*medlarrecord.Snapshot{}
		a.snapshots[k] = parts
	}
	parts[part.GetPart()] = part
	if len(parts) < int(part.GetParts()) {
		return nil
	}
	ordered := make([]*medlarrecord.Snapshot, 0, len(parts))
	for i := range part.GetParts() {
		p, ok := parts[i]
		if !ok {
			return nil
		}
		ordered = append(ordered, p)
	}
	return ordered
}

func (s *State) applySnapshot(v *View, offset medlarid.Offset, author string, part *medlarrecord.Snapshot) {
	s.count(func(c *Counts) { c.Snapshots++ })
	if part.GetPart()+1 == part.GetParts() {
		v.LastSnapshot = offset
	}
	if s.assembly == nil {
		return // R6
	}
	parts := s.assembly.addPart(author, part)
	if parts == nil {
		return
	}
	version := medlarid.Offset(part.GetVersion())
	if version < v.Version || version+1 < s.assembly.first {
		return // older than the version in force (R3), or records after it have expired (R5)
	}
	lists, history, ok := restore(parts)
	if !ok {
		s.count(func(c *Counts) { c.Malformed++ })
		return
	}
	publications := s.assembly.publications
	s.assembly = nil
	v.Lists, v.Version, v.History, v.Ready = lists, version, history, true
	for _, p := range publications {
		if p.offset > version {
			s.decide(v, p)
		}
	}
}

// restore rebuilds the lists and the history from the parts of a snapshot; ok is
// false if the entries are invalid or do not match the snapshot's digest.
func restore(parts []*medlarrecord.Snapshot) (l *medlarlist.Lists, history []Verdict, ok bool) {
	var change medlarlist.Change
	for _, p := range parts {
		for _, e := range p.GetEntries() {
			change.Put = append(change.Put, entryOf(e))
		}
		for _, v := range p.GetHistory() {
			history = append(history, verdictOf(v))
		}
	}
	l, err := medlarlist.New().Apply(change)
	if err != nil || string(l.Digest.Bytes()) != string(parts[0].GetDigest()) {
		return nil, nil, false
	}
	return l, history, true
}

// Snapshot returns the records of a snapshot of the view, without identifiers and
// author. It fails with KindNotReady if the view is not ready.
func (v *View) Snapshot() ([]*medlarrecord.Record, error) {
	if !v.Ready {
		return nil, &Error{Op: OpSnapshot, Kind: KindNotReady, Err: eris.New("the state has no lists yet")}
	}
	w := &snapshotWriter{version: v.Version, digest: v.Lists.Digest.Bytes()}
	for _, e := range v.Lists.Entries() {
		w.addEntry(e)
	}
	for _, h := range v.History {
		if h.Offset <= v.Version {
			w.addVerdict(h)
		}
	}
	return w.records(), nil
}

// snapshotWriter splits a snapshot into parts.
type snapshotWriter struct {
	version medlarid.Offset
	digest  []byte
	parts   []*medlarrecord.Snapshot
	size    int
}

func (w *snapshotWriter) addEntry(e medlarlist.Entry) {
	p := w.partFor(len(e.Name.Name) + len(e.Value))
	p.Entries = append(p.Entries, EntryRecord(e))
}

func (w *snapshotWriter) addVerdict(h Verdict) {
	p := w.partFor(len(h.User) + len(h.Note) + len(h.ID))
	p.History = append(p.History, verdictRecord(h))
}

// partFor returns the part to which n more bytes are added.
func (w *snapshotWriter) partFor(n int) *medlarrecord.Snapshot {
	if len(w.parts) == 0 || w.size+n > snapshotPartBytes {
		w.parts = append(w.parts, &medlarrecord.Snapshot{Version: uint64(w.version), Digest: w.digest})
		w.size = 0
	}
	w.size += n
	return w.parts[len(w.parts)-1]
}

func (w *snapshotWriter) records() []*medlarrecord.Record {
	w.partFor(0)
	out := make([]*medlarrecord.Record, len(w.parts))
	for i, p := range w.parts {
		p.Part = uint32(i)
		p.Parts = uint32(len(w.parts))
		out[i] = &medlarrecord.Record{Body: &medlarrecord.Record_Snapshot{Snapshot: p}}
	}
	return out
}

// EntryRecord converts an entry to its record type.
func EntryRecord(e medlarlist.Entry) *medlarrecord.Entry {
	return &medlarrecord.Entry{Name: NameRecord(e.Name), Value: e.Value}
}

// NameRecord converts a name to its record type.
func NameRecord(n medlarlist.EntryName) *medlarrecord.Name {
	return &medlarrecord.Name{Table: n.Table, Name: n.Name}
}

func verdictRecord(h Verdict) *medlarrecord.Verdict {
	return &medlarrecord.Verdict{
		Offset:  uint64(h.Offset),
		Base:    uint64(h.Base),
		Millis:  h.Time.UnixMilli(),
		User:    h.User,
		Note:    h.Note,
		Reject:  string(h.Reject),
		Id:      h.ID[:],
		Changes: uint32(h.Changes),
	}
}

func verdictOf(v *medlarrecord.Verdict) Verdict {
	id, _ := medlarid.ParseRecordID(v.GetId())
	return Verdict{
		Offset:  medlarid.Offset(v.GetOffset()),
		Base:    medlarid.Offset(v.GetBase()),
		ID:      id,
		Time:    time.UnixMilli(v.GetMillis()),
		User:    v.GetUser(),
		Note:    v.GetNote(),
		Reject:  RejectReason(v.GetReject()),
		Changes: int(v.GetChanges()),
	}
}

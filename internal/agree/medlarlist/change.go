package medlarlist

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"

	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
)

// digestLanes is the number of 64-bit lanes of a digest.
const digestLanes = sha256.Size / 8

// Digest is the lane-wise sum of the SHA-256 digests of all entries (R4).
type Digest [digestLanes]uint64

// Bytes returns the digest in big-endian order.
func (d Digest) Bytes() []byte {
	b := make([]byte, 0, sha256.Size)
	for _, lane := range d {
		b = binary.BigEndian.AppendUint64(b, lane)
	}
	return b
}

// EntryName identifies an entry.
type EntryName struct {
	Table medlarrecord.Table
	Name  string
}

// Entry is one entry with its JSON value (R1).
type Entry struct {
	Name  EntryName
	Value []byte
}

// Change is the difference between two versions of the lists (R3).
type Change struct {
	Put    []Entry
	Delete []EntryName
}

// Empty reports whether the change has no effect.
func (c Change) Empty() bool { return len(c.Put) == 0 && len(c.Delete) == 0 }

// Size returns the number of entries that the change puts or deletes.
func (c Change) Size() int { return len(c.Put) + len(c.Delete) }

// Entries returns all entries, ordered by table and name.
func (l *Lists) Entries() []Entry {
	out := make([]Entry, 0, l.Size())
	for name, v := range l.Accounts {
		out = append(out, newEntry(medlarrecord.Table_TABLE_ACCOUNT, string(name), v))
	}
	for name, v := range l.Plans {
		out = append(out, newEntry(medlarrecord.Table_TABLE_PLAN, string(name), v))
	}
	for name, v := range l.Models {
		out = append(out, newEntry(medlarrecord.Table_TABLE_MODEL, string(name), v))
	}
	for name, v := range l.Services {
		out = append(out, newEntry(medlarrecord.Table_TABLE_SERVICE, string(name), v))
	}
	slices.SortFunc(out, func(a, b Entry) int { return compareNames(a.Name, b.Name) })
	return out
}

// Diff returns the change that, applied to from, yields to.
func Diff(from, to *Lists) Change {
	var c Change
	old := map[EntryName]string{}
	for _, e := range from.Entries() {
		old[e.Name] = string(e.Value)
	}
	for _, e := range to.Entries() {
		if v, ok := old[e.Name]; !ok || v != string(e.Value) {
			c.Put = append(c.Put, e)
		}
		delete(old, e.Name)
	}
	c.Delete = slices.SortedFunc(maps.Keys(old), compareNames)
	return c
}

// Apply returns the lists after the change (R3). The kind of its error is
// KindValue, KindReference or KindNotFound.
func (l *Lists) Apply(c Change) (*Lists, error) {
	next := l.clone()
	for _, n := range c.Delete {
		if err := next.remove(n); err != nil {
			return nil, err
		}
	}
	for _, e := range c.Put {
		if err := next.put(e); err != nil {
			return nil, err
		}
	}
	if err := next.checkReferences(); err != nil {
		return nil, err
	}
	return next, nil
}

func (l *Lists) clone() *Lists {
	return &Lists{
		Accounts: maps.Clone(l.Accounts),
		Plans:    maps.Clone(l.Plans),
		Models:   maps.Clone(l.Models),
		Services: maps.Clone(l.Services),
		Digest:   l.Digest,
		byKey:    maps.Clone(l.byKey),
	}
}

// put validates an entry's value and stores the entry, in place of an earlier one
// of that name (R2).
func (l *Lists) put(e Entry) error {
	if l.has(e.Name) {
		if err := l.remove(e.Name); err != nil {
			return err
		}
	}
	var err error
	switch e.Name.Table {
	case medlarrecord.Table_TABLE_ACCOUNT:
		err = l.putAccount(e)
	case medlarrecord.Table_TABLE_PLAN:
		var v Plan
		if err = decodeValue(e, &v, func() error { return v.check() }); err == nil {
			l.Plans[medlarid.PlanID(e.Name.Name)] = v
		}
	case medlarrecord.Table_TABLE_MODEL:
		var v Model
		if err = decodeValue(e, &v, func() error { return v.check() }); err == nil {
			l.Models[medlarid.ModelID(e.Name.Name)] = v
		}
	case medlarrecord.Table_TABLE_SERVICE:
		var v Service
		if err = decodeValue(e, &v, func() error { return v.check() }); err == nil {
			l.Services[medlarid.ServiceID(e.Name.Name)] = v
		}
	default:
		err = &Error{Op: OpApply, Kind: KindValue, Err: eris.Errorf("entry %q has the unknown table %d", e.Name.Name, e.Name.Table)}
	}
	if err != nil {
		return err
	}
	l.Digest.add(l.entry(e.Name))
	return nil
}

func (l *Lists) putAccount(e Entry) error {
	var v Account
	if err := decodeValue(e, &v, func() error { return v.check() }); err != nil {
		return err
	}
	id := medlarid.AccountID(e.Name.Name)
	for _, k := range v.Keys {
		if other, ok := l.byKey[k]; ok && other != id {
			return &Error{Op: OpApply, Kind: KindReference, Err: eris.Errorf("accounts %q and %q have the same key", other, id)}
		}
		l.byKey[k] = id
	}
	l.Accounts[id] = v
	return nil
}

// remove deletes an entry; it fails with KindNotFound if there is none.
func (l *Lists) remove(n EntryName) error {
	if !l.has(n) {
		return &Error{Op: OpApply, Kind: KindNotFound, Err: eris.Errorf("%s %q to delete does not exist", TableName(n.Table), n.Name)}
	}
	l.Digest.subtract(l.entry(n))
	switch n.Table {
	case medlarrecord.Table_TABLE_ACCOUNT:
		id := medlarid.AccountID(n.Name)
		for _, k := range l.Accounts[id].Keys {
			delete(l.byKey, k)
		}
		delete(l.Accounts, id)
	case medlarrecord.Table_TABLE_PLAN:
		delete(l.Plans, medlarid.PlanID(n.Name))
	case medlarrecord.Table_TABLE_MODEL:
		delete(l.Models, medlarid.ModelID(n.Name))
	case medlarrecord.Table_TABLE_SERVICE:
		delete(l.Services, medlarid.ServiceID(n.Name))
	}
	return nil
}

func (l *Lists) has(n EntryName) (ok bool) {
	switch n.Table {
	case medlarrecord.Table_TABLE_ACCOUNT:
		_, ok = l.Accounts[medlarid.AccountID(n.Name)]
	case medlarrecord.Table_TABLE_PLAN:
		_, ok = l.Plans[medlarid.PlanID(n.Name)]
	case medlarrecord.Table_TABLE_MODEL:
		_, ok = l.Models[medlarid.ModelID(n.Name)]
	case medlarrecord.Table_TABLE_SERVICE:
		_, ok = l.Services[medlarid.ServiceID(n.Name)]
	}
	return ok
}

// entry returns a stored entry with its value in canonical JSON.
func (l *Lists) entry(n EntryName) Entry {
	switch n.Table {
	case medlarrecord.Table_TABLE_ACCOUNT:
		return newEntry(n.Table, n.Name, l.Accounts[medlarid.AccountID(n.Name)])
	case medlarrecord.Table_TABLE_PLAN:
		return newEntry(n.Table, n.Name, l.Plans[medlarid.PlanID(n.Name)])
	case medlarrecord.Table_TABLE_MODEL:
		return newEntry(n.Table, n.Name, l.Models[medlarid.ModelID(n.Name)])
	default:
		return newEntry(n.Table, n.Name, l.Services[medlarid.ServiceID(n.Name)])
	}
}

func newEntry(table medlarrecord.Table, name string, value any) Entry {
	b, err := json.Marshal(value, json.Deterministic(true))
	if err != nil {
		panic("medlarlist: cannot encode an entry as JSON: " + err.Error())
	}
	return Entry{Name: EntryName{Table: table, Name: name}, Value: b}
}

func decodeValue(e Entry, dst any, check func() error) error {
	if err := json.Unmarshal(e.Value, dst, json.RejectUnknownMembers(true)); err != nil {
		return &Error{Op: OpApply, Kind: KindValue, Err: eris.Wrapf(err, "%s %q", TableName(e.Name.Table), e.Name.Name)}
	}
	if err := checkName(e.Name.Name); err != nil {
		return &Error{Op: OpApply, Kind: KindValue, Err: err}
	}
	if err := check(); err != nil {
		return &Error{Op: OpApply, Kind: KindValue, Err: eris.Wrapf(err, "%s %q", TableName(e.Name.Table), e.Name.Name)}
	}
	return nil
}

func (d *Digest) add(e Entry) {
	for i, lane := range entryLanes(e) {
		d[i] += lane
	}
}

func (d *Digest) subtract(e Entry) {
	for i, lane := range entryLanes(e) {
		d[i] -= lane
	}
}

// entryLanes returns the lanes of an entry's SHA-256 digest, which covers the
// table, the length of the name, the name and the value.
func entryLanes(e Entry) (lanes [digestLanes]uint64) {
	b := make([]byte, 0, 16+len(e.Name.Name)+len(e.Value))
	b = binary.BigEndian.AppendUint32(b, uint32(e.Name.Table))
	b = binary.BigEndian.AppendUint32(b, uint32(len(e.Name.Name)))
	b = append(b, e.Name.Name...)
	b = append(b, e.Value...)
	sum := sha256.Sum256(b)
	for i := range lanes {
		lanes[i] = binary.BigEndian.Uint64(sum[8*i:])
	}
	return lanes
}

func compareNames(a, b EntryName) int {
	return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(a.Name, b.Name))
}

// TableName returns the display name of an entry of a table.
func TableName(t medlarrecord.Table) string {
	switch t {
	case medlarrecord.Table_TABLE_ACCOUNT:
		return "account"
	case medlarrecord.Table_TABLE_PLAN:
		return "plan"
	case medlarrecord.Table_TABLE_MODEL:
		return "model"
	case medlarrecord.Table_TABLE_SERVICE:
		return "service"
	default:
		return "entry"
	}
}

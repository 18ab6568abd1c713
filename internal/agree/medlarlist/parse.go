package medlarlist

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarjson"
)

// plansFile is the JSON schema of the plans list.
type plansFile struct {
	Accounts map[medlarid.AccountID]Account `json:"accounts"`
}

// usesFile is the JSON schema of the uses list.
type usesFile struct {
	Plans    map[medlarid.PlanID]Plan       `json:"plans"`
	Models   map[medlarid.ModelID]Model     `json:"models"`
	Services map[medlarid.ServiceID]Service `json:"services"`
}

// danglingReference is a reference to a missing entry.
type danglingReference struct {
	from   EntryName
	field  string // JSON pointer relative to the entry
	target string
}

// Parse decodes both lists and validates them (R2). An error in a file is a
// *medlarjson.Error with its line and column.
func Parse(plans, uses *medlarjson.Document) (*Lists, error) {
	var pf plansFile
	if err := plans.Decode(&pf); err != nil {
		return nil, err
	}
	var uf usesFile
	if err := uses.Decode(&uf); err != nil {
		return nil, err
	}
	l := New()
	for _, e := range fileEntries(pf, uf) {
		if err := l.put(e); err != nil {
			return nil, locate(plans, uses, e.Name, err)
		}
	}
	for _, d := range l.danglingReferences() {
		doc, pointer := pointerTo(plans, uses, d.from)
		return nil, doc.Errorf(pointer+d.field, "%s %q: %s does not exist", TableName(d.from.Table), d.from.Name, d.target)
	}
	return l, nil
}

func fileEntries(pf plansFile, uf usesFile) []Entry {
	l := &Lists{Accounts: pf.Accounts, Plans: uf.Plans, Models: uf.Models, Services: uf.Services}
	return l.Entries()
}

// locate adds the position of an entry in its file to the entry's error.
func locate(plans, uses *medlarjson.Document, n EntryName, err error) error {
	doc, pointer := pointerTo(plans, uses, n)
	cause := err
	var e *Error
	if errors.As(err, &e) {
		cause = e.Err
	}
	var f *fieldError
	if errors.As(err, &f) {
		pointer += "/" + f.field
		cause = fmt.Errorf("%s %q: %w", TableName(n.Table), n.Name, f)
	}
	return doc.Errorf(pointer, "%v", cause)
}

func pointerTo(plans, uses *medlarjson.Document, n EntryName) (*medlarjson.Document, string) {
	switch n.Table {
	case medlarrecord.Table_TABLE_ACCOUNT:
		return plans, "/accounts/" + n.Name
	case medlarrecord.Table_TABLE_PLAN:
		return uses, "/plans/" + n.Name
	case medlarrecord.Table_TABLE_MODEL:
		return uses, "/models/" + n.Name
	default:
		return uses, "/services/" + n.Name
	}
}

// danglingReferences returns all references to missing entries: those of accounts
// and then those of plans, each in the order of the names that contain them.
func (l *Lists) danglingReferences() []danglingReference {
	var out []danglingReference
	for _, id := range slices.Sorted(maps.Keys(l.Accounts)) {
		if plan := l.Accounts[id].Plan; !l.hasPlan(plan) {
			out = append(out, danglingReference{EntryName{medlarrecord.Table_TABLE_ACCOUNT, string(id)}, "/plan", fmt.Sprintf("plan %q", plan)})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.Plans)) {
		out = append(out, l.danglingPlanReferences(id)...)
	}
	return out
}

func (l *Lists) danglingPlanReferences(id medlarid.PlanID) []danglingReference {
	var out []danglingReference
	from := EntryName{medlarrecord.Table_TABLE_PLAN, string(id)}
	for i, m := range l.Plans[id].Models {
		if _, ok := l.Models[m]; !ok {
			out = append(out, danglingReference{from, fmt.Sprintf("/models/%d", i), fmt.Sprintf("model %q", m)})
		}
	}
	for i, s := range l.Plans[id].Services {
		if _, ok := l.Services[s]; !ok {
			out = append(out, danglingReference{from, fmt.Sprintf("/services/%d", i), fmt.Sprintf("service %q", s)})
		}
	}
	return out
}

func (l *Lists) hasPlan(id medlarid.PlanID) bool {
	_, ok := l.Plans[id]
	return ok
}

// Package medlarlist implements the two access lists that operators publish: the
// plans list, which assigns a plan to each client account, and the uses list,
// which defines what each plan may use.
//
// Rules:
//
//	R1  Both lists are tables of entries; an entry consists of its table, a name
//	    and a value.
//	R2  Each entry is validated on its own; then all references are validated.
//	R3  A change is a set of entries to put and of names to delete. Applying it
//	    returns a new Lists and does not modify the old one.
//	R4  The digest of a Lists depends only on its entries, not on their order or
//	    on the changes that produced them.
package medlarlist

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"medlarfield/internal/base/medlarid"
)

// Op identifies the operation that failed.
type Op string

// Operations.
const (
	OpParse Op = "parse"
	OpCheck Op = "check"
	OpApply Op = "apply"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindValue     Kind = "value"
	KindReference Kind = "reference"
	KindNotFound  Kind = "absent"
)

// Error reports an invalid list or change.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s lists: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Account is an entry of the plans list.
type Account struct {
	Plan medlarid.PlanID `json:"plan"`
	Keys []KeyDigest     `json:"keys"`
}

// KeyDigest is the SHA-256 digest of a bearer key. Its text form is hexadecimal.
type KeyDigest [sha256.Size]byte

// MarshalText encodes the digest in hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText decodes a hexadecimal digest.
func (d *KeyDigest) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(d)) {
		return errKeyDigest
	}
	if _, err := hex.Decode(d[:], b); err != nil {
		return errKeyDigest
	}
	return nil
}

// errKeyDigest reports a key digest that cannot be decoded. medlarjson adds the
// expected type to error texts that do not contain "want ".
var errKeyDigest = errors.New("want a SHA-256 digest of 64 hexadecimal digits")

// Plan is an entry of the uses list: the models and services that the accounts
// of a plan may use, and their limits.
type Plan struct {
	Models   []medlarid.ModelID   `json:"models,omitempty"`
	Services []medlarid.ServiceID `json:"services,omitempty"`
	// Rate limits the requests per second of each account; 0 means no limit.
	Rate float64 `json:"rate,omitzero"`
	// Burst is the number of requests that may arrive at once; 0 means Rate.
	Burst int `json:"burst,omitzero"`
	// MaxConcurrent limits the number of concurrent requests; 0 means no limit.
	MaxConcurrent int `json:"runs,omitzero"`
	// MaxTokens limits the number of tokens that one request may generate; 0
	// means the default.
	MaxTokens medlarid.Tokens `json:"tokens,omitzero"`
	// Weight is the account's share under contention; 0 means 1.
	Weight int `json:"weight,omitzero"`
	// Priority is passed to the engines; higher values are served first.
	Priority medlarid.Priority `json:"priority,omitzero"`
	// Timeout limits the duration of a whole request; 0 means the default.
	Timeout medlarid.Duration `json:"deadline,omitzero"`
}

// Model is an entry of the uses list: the weight version and the adapters to load
// for a model.
type Model struct {
	Version  medlarid.WeightVersion `json:"version"`
	Adapters []medlarid.AdapterID   `json:"adapters,omitempty"`
}

// Service is an entry of the uses list: a service without models.
type Service struct {
	// NonRepeatableMethods are the HTTP methods whose requests must not be repeated.
	NonRepeatableMethods []string `json:"once,omitempty"`
}

// Lists is one version of the two lists. It is immutable once built.
type Lists struct {
	Accounts map[medlarid.AccountID]Account
	Plans    map[medlarid.PlanID]Plan
	Models   map[medlarid.ModelID]Model
	Services map[medlarid.ServiceID]Service
	Digest   Digest

	byKey map[KeyDigest]medlarid.AccountID
}

// New returns empty lists.
func New() *Lists {
	return &Lists{
		Accounts: map[medlarid.AccountID]Account{},
		Plans:    map[medlarid.PlanID]Plan{},
		Models:   map[medlarid.ModelID]Model{},
		Services: map[medlarid.ServiceID]Service{},
		byKey:    map[KeyDigest]medlarid.AccountID{},
	}
}

// AccountByKey returns the account whose bearer key has the given digest.
func (l *Lists) AccountByKey(digest KeyDigest) (medlarid.AccountID, bool) {
	id, ok := l.byKey[digest]
	return id, ok
}

// PlanOf returns the plan of an account.
func (l *Lists) PlanOf(id medlarid.AccountID) (Plan, bool) {
	a, ok := l.Accounts[id]
	if !ok {
		return Plan{}, false
	}
	p, ok := l.Plans[a.Plan]
	return p, ok
}

// Size returns the total number of entries.
func (l *Lists) Size() int {
	return len(l.Accounts) + len(l.Plans) + len(l.Models) + len(l.Services)
}

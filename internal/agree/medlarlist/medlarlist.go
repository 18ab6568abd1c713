// Package medlarlist holds the two lists that operators publish: the plans of
// the client accounts, and what each plan may use.
//
// Rules:
//
//	R1  Both lists are tables of entries; an entry is a kind, a name and a value.
//	R2  Every entry is checked for itself, then all references are checked.
//	R3  A change is a set of entries put and names dropped; applying it yields a
//	    new Lists and leaves the old one as it was.
//	R4  The digest of a Lists depends on its entries alone, not on their order
//	    or on the changes that led to it.
package medlarlist

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"medlarfield/internal/base/medlarid"
)

// Op names the operation that failed.
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

// Error is a list or a change that is not valid.
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

// KeyDigest is the SHA-256 digest of a bearer key; it is written in hexadecimal.
type KeyDigest [sha256.Size]byte

// MarshalText writes the digest in hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText reads a digest in hexadecimal.
func (d *KeyDigest) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(d)) {
		return errKeyDigest
	}
	if _, err := hex.Decode(d[:], b); err != nil {
		return errKeyDigest
	}
	return nil
}

// errKeyDigest is a digest that cannot be read.
var errKeyDigest = errors.New("want a SHA-256 digest of 64 hexadecimal digits")

// Plan is an entry of the uses list: what the accounts of a plan may use.
type Plan struct {
	Models   []medlarid.ModelID   `json:"models,omitempty"`
	Services []medlarid.ServiceID `json:"services,omitempty"`
	// Rate is the number of requests a second for each account; 0 is no limit.
	Rate float64 `json:"rate,omitzero"`
	// Burst is the number of requests that may come at once; 0 means Rate.
	Burst int `json:"burst,omitzero"`
	// MaxConcurrent is the number of requests at the same time; 0 is no limit.
	MaxConcurrent int `json:"runs,omitzero"`
	// MaxTokens is the largest number of tokens that one request may generate; 0
	// means the default.
	MaxTokens medlarid.Tokens `json:"tokens,omitzero"`
	// Weight is the account's share under contention; 0 means 1.
	Weight int `json:"weight,omitzero"`
	// Priority is passed to the engines; higher is served first.
	Priority medlarid.Priority `json:"priority,omitzero"`
	// Timeout bounds a whole request; 0 means the default.
	Timeout medlarid.Duration `json:"deadline,omitzero"`
}

// Model is an entry of the uses list: a model and what is to be loaded.
type Model struct {
	Version  medlarid.WeightVersion `json:"version"`
	Adapters []medlarid.AdapterID   `json:"adapters,omitempty"`
}

// Service is an entry of the uses list: a plain service.
type Service struct {
	// NonRepeatableMethods are the HTTP methods whose requests are not repeatable.
	NonRepeatableMethods []string `json:"once,omitempty"`
}

// Lists is one version of the two lists. It is never changed once built.
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

// AccountByKey returns the account that holds the bearer key with a digest.
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

// Size returns the number of entries.
func (l *Lists) Size() int {
	return len(l.Accounts) + len(l.Plans) + len(l.Models) + len(l.Services)
}

package medlarsuspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"medlarfield/internal/base/medlarid"
)

// Trait identifies something that requests can have in common and that may be why they crash
// replicas: a part of their prompts, or what they are as a whole.
type Trait string

// Prefixes of the traits that are hashes. The id of a part that begins with one is hashed, too, so
// that no client can name a trait of another kind.
const (
	requestPrefix = "request-"
	contentPrefix = "content-"
	hashPrefix    = "sha256-"
)

// hashBytes is the length of the hash in a trait.
const hashBytes = 16

// PartTrait returns the trait of a part of prompts with the given id, whatever prompt it is in.
func PartTrait(id string) Trait {
	if len(id) > maxPartLength || strings.HasPrefix(id, requestPrefix) || strings.HasPrefix(id, contentPrefix) || strings.HasPrefix(id, hashPrefix) {
		return hashTrait(hashPrefix, []byte(id))
	}
	return Trait(id)
}

// Request is what a client sends but for its id and the time that it will wait.
type Request struct {
	Method  string
	Host    string
	Target  string // path and query
	Account medlarid.AccountID
	Prompt  string // model and parts of the prompt; empty for a plain service
	Body    []byte // without its framing
}

// Traits returns the traits of the request as a whole: the same request in all, and one with the
// same path, account and body, which may differ in the rest.
func (q *Request) Traits() []Trait {
	path, _, _ := strings.Cut(q.Target, "?")
	body := sha256.Sum256(q.Body)
	content := hashTrait(contentPrefix, []byte(path), []byte(q.Account), body[:])
	same := hashTrait(requestPrefix, []byte(q.Method), []byte(strings.ToLower(q.Host)), []byte(q.Target), []byte(q.Account), []byte(q.Prompt), body[:])
	return []Trait{same, content}
}

// hashTrait returns a trait with the hash of several fields.
func hashTrait(prefix string, fields ...[]byte) Trait {
	h := sha256.New()
	for _, f := range fields {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(f)))) // a hash takes all that is written to it
		_, _ = h.Write(f)
	}
	return Trait(prefix + hex.EncodeToString(h.Sum(nil)[:hashBytes]))
}

// scope tells how many requests have a trait: the narrowest first.
type scope int

const (
	scopeRequest scope = iota // the same request, sent again
	scopePart                 // prompts with a part
	scopeContent              // requests with the same path, account and body
)

// Whole reports whether the trait is one of a request as a whole.
func (t Trait) Whole() bool { return t.scope() != scopePart }

func (t Trait) scope() scope {
	switch {
	case strings.HasPrefix(string(t), requestPrefix):
		return scopeRequest
	case strings.HasPrefix(string(t), contentPrefix):
		return scopeContent
	}
	return scopePart
}

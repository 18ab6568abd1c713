// Package medlarid defines the named types for identifiers and units that all other
// packages share.
package medlarid

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

// AccountID identifies a client account.
type AccountID string

// PlanID identifies a plan.
type PlanID string

// ModelID is the name under which clients request a model.
type ModelID string

// AdapterID identifies an adapter of a model; it is empty for the base model.
type AdapterID string

// WeightVersion identifies one version of a model's weights.
type WeightVersion string

// Before reports whether v is numerically earlier than o. Versions that are not
// numbers are unordered.
func (v WeightVersion) Before(o WeightVersion) bool {
	a, errA := strconv.ParseUint(string(v), 10, 64)
	b, errB := strconv.ParseUint(string(o), 10, 64)
	return errA == nil && errB == nil && a < b
}

// ServiceID identifies a plain service, one without a model.
type ServiceID string

// Hash is a short hash of an InstanceID, for messages that name many. Two ids may have the same one.
type Hash uint32

// HashOf returns the hash of an id.
func HashOf(id InstanceID) Hash { return Hash(xxh3.HashString(string(id))) }

// InstanceID identifies an instance of the platform or of this system.
type InstanceID string

// Incarnation distinguishes the starts of an instance under the same ID; 0 if it is not
// known.
type Incarnation int64

// Era counts how often a store was restored from a copy that lacks its latest records.
type Era uint64

// Build identifies the version of the software that an instance runs, unlike the version of its
// weights; empty if it is not known.
type Build string

// Zone identifies an availability zone.
type Zone string

// Address is an IP address and port, such as "127.0.0.1:8080".
type Address string

// Offset is a position in a stream of the log service.
type Offset uint64

// Tokens counts tokens.
type Tokens int

// Bytes counts bytes.
type Bytes int64

// Priority orders runs; higher values are served first.
type Priority int

// idBytes is the length of a random identifier, in bytes.
const idBytes = 16

// RecordID identifies one record of the log. A record that is appended more than once
// keeps its identifier.
type RecordID [idBytes]byte

// NewRecordID returns a random record identifier.
func NewRecordID() RecordID {
	var id RecordID
	mustRead(id[:])
	return id
}

// ParseRecordID returns the identifier in b; ok is false if b has a different length.
func ParseRecordID(b []byte) (id RecordID, ok bool) {
	if len(b) != idBytes {
		return RecordID{}, false
	}
	copy(id[:], b)
	return id, true
}

// String returns the identifier in hexadecimal.
func (id RecordID) String() string { return hex.EncodeToString(id[:]) }

// RequestID identifies one client request.
type RequestID string

// NewRequestID returns a random request identifier.
func NewRequestID() RequestID {
	var b [idBytes]byte
	mustRead(b[:])
	return RequestID(hex.EncodeToString(b[:]))
}

// mustRead fills b with random bytes. The source never fails on a supported system.
// Without it no unique identifier can be made, so the program panics.
func mustRead(b []byte) {
	if _, err := rand.Read(b); err != nil {
		panic(fmt.Sprintf("medlarid: cannot read random bytes: %v", err))
	}
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration such as "250ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("want a duration such as \"1.5s\", got %q", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the text that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Package medlarid holds the named types for identifiers and units that all
// other packages share.
package medlarid

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"
)

// AccountID names a client account.
type AccountID string

// PlanID names a plan.
type PlanID string

// ModelID names a model as callers ask for it.
type ModelID string

// AdapterID names an adapter of a model; it is empty for the base model.
type AdapterID string

// WeightVersion names one version of a model's weights.
type WeightVersion string

// Before reports whether v is an earlier version than o, by number. Versions that are
// no numbers have no order.
func (v WeightVersion) Before(o WeightVersion) bool {
	a, errA := strconv.ParseUint(string(v), 10, 64)
	b, errB := strconv.ParseUint(string(o), 10, 64)
	return errA == nil && errB == nil && a < b
}

// ServiceID names a plain service.
type ServiceID string

// InstanceID names an instance of the platform or of this system.
type InstanceID string

// Zone names an availability zone.
type Zone string

// Address is an IP number and port, such as "127.0.0.1:8080".
type Address string

// Offset is a position in a stream of the log service.
type Offset uint64

// Tokens counts tokens.
type Tokens int

// Bytes counts bytes.
type Bytes int64

// Priority orders runs; a higher value is served first.
type Priority int

// idBytes is the length of a random identifier in bytes.
const idBytes = 16

// RecordID identifies one record of the log, whatever the number of times it
// was appended.
type RecordID [idBytes]byte

// NewRecordID returns a random record identifier.
func NewRecordID() RecordID {
	var id RecordID
	mustRead(id[:])
	return id
}

// ParseRecordID returns the identifier held in b; ok is false when b has
// another length.
func ParseRecordID(b []byte) (id RecordID, ok bool) {
	if len(b) != idBytes {
		return RecordID{}, false
	}
	copy(id[:], b)
	return id, true
}

// String returns the identifier in hexadecimal.
func (id RecordID) String() string { return hex.EncodeToString(id[:]) }

// RequestID identifies one request of a caller.
type RequestID string

// NewRequestID returns a random request identifier.
func NewRequestID() RequestID {
	var b [idBytes]byte
	mustRead(b[:])
	return RequestID(hex.EncodeToString(b[:]))
}

// mustRead fills b with random bytes. The source never fails on a supported
// system; a program without randomness cannot identify its work and stops.
func mustRead(b []byte) {
	if _, err := rand.Read(b); err != nil {
		panic(fmt.Sprintf("medlarid: no randomness: %v", err))
	}
}

// Duration is a time span written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText reads a span such as "250ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("want a time span such as \"1.5s\", got %q", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the span as text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// Std returns the span in the type of the standard library.
func (d Duration) Std() time.Duration { return time.Duration(d) }

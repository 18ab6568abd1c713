// Package medlarrecord defines the record types that instances and operators
// append to the log service.
package medlarrecord

import (
	"fmt"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"medlarfield/internal/base/medlarid"
)

//go:generate protoc --go_out=. --go_opt=paths=source_relative record.proto

// FormatVersion is the version of the record format that this build writes. It is
// also the newest version that this build reads.
const FormatVersion = 1

// Streams of the log service.
const (
	StreamLists  = "lists"
	StreamClaims = "claims"
)

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpEncode Op = "encode"
	OpDecode Op = "decode"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindMalformed   Kind = "malformed"
	KindNewerFormat Kind = "newer"
)

// Error reports a record that could not be encoded or decoded.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s record: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Decode decodes one record. For a record of a newer format version it returns an
// error of KindNewerFormat; readers skip and count such records.
func Decode(b []byte) (*Record, medlarid.RecordID, error) {
	r := &Record{}
	if err := proto.Unmarshal(b, r); err != nil {
		return nil, medlarid.RecordID{}, &Error{Op: OpDecode, Kind: KindMalformed, Err: err}
	}
	id, ok := medlarid.ParseRecordID(r.GetId())
	if !ok {
		return nil, medlarid.RecordID{}, &Error{Op: OpDecode, Kind: KindMalformed, Err: eris.New("record has no valid identifier")}
	}
	if r.GetFormat() > FormatVersion {
		return nil, id, &Error{Op: OpDecode, Kind: KindNewerFormat, Err: eris.Errorf("format version %d is newer than the supported version %d", r.GetFormat(), FormatVersion)}
	}
	return r, id, nil
}

// Encode sets the identifier, the format version and the author of r, and encodes
// it.
func Encode(r *Record, id medlarid.RecordID, author string) ([]byte, error) {
	r.Id = id[:]
	r.Format = FormatVersion
	r.Author = author
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		return nil, &Error{Op: OpEncode, Kind: KindMalformed, Err: err}
	}
	return b, nil
}

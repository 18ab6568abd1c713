// Package medlarrecord defines the typed records that the system and its
// operators keep in the log service.
package medlarrecord

import (
	"fmt"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"medlarfield/internal/base/medlarid"
)

//go:generate protoc --go_out=. --go_opt=paths=source_relative record.proto

// FormatVersion is the version of the record format that this build writes.
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

// Error is a record that could not be encoded or decoded.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s record: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Decode reads one record. A record of a newer format is an error of
// KindNewer, which readers skip and count.
func Decode(b []byte) (*Record, medlarid.RecordID, error) {
	r := &Record{}
	if err := proto.Unmarshal(b, r); err != nil {
		return nil, medlarid.RecordID{}, &Error{Op: OpDecode, Kind: KindMalformed, Err: err}
	}
	id, ok := medlarid.ParseRecordID(r.GetId())
	if !ok {
		return nil, medlarid.RecordID{}, &Error{Op: OpDecode, Kind: KindMalformed, Err: eris.New("no record identifier")}
	}
	if r.GetFormat() > FormatVersion {
		return nil, id, &Error{Op: OpDecode, Kind: KindNewerFormat, Err: eris.Errorf("format %d is newer than %d", r.GetFormat(), FormatVersion)}
	}
	return r, id, nil
}

// Encode writes r with the identifier id on behalf of author.
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

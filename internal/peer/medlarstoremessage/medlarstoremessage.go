// Package medlarstoremessage encodes the messages by which instances pass each other the contents of KV stores
// (see medlarstorerelay). What another instance can make a decoder hold is bounded.
package medlarstoremessage

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
)

// Fields of a request of a subscriber and of an answer of a reader. Both are protobuf messages with their length
// before them.
const (
	fieldNonce protowire.Number = 1 // varint, of the last request in an answer
	fieldWant  protowire.Number = 2 // message, for each store of a request
	fieldList  protowire.Number = 3 // message, for each piece of the contents of a store in an answer
	fieldState protowire.Number = 4 // message, for each store of an answer
)

// Fields of a store in a request or an answer.
const (
	fieldStore      protowire.Number = 1  // string
	fieldGeneration protowire.Number = 2  // varint, of the subscription
	fieldEpoch      protowire.Number = 3  // varint
	fieldSequence   protowire.Number = 4  // varint
	fieldBase       protowire.Number = 5  // varint, sequence number of the contents before the changes
	fieldStatus     protowire.Number = 6  // varint
	fieldAge        protowire.Number = 7  // varint, in µs
	fieldAdded      protowire.Number = 8  // bytes: key and varint of tokens, for each part
	fieldRemoved    protowire.Number = 9  // bytes: key, for each part
	fieldFirst      protowire.Number = 10 // varint, 1 in the first piece of a list
)

// Bounds of what another instance can make this one hold.
const (
	MaxRequest   = 16 << 10  // bytes of a request
	MaxAnswer    = 512 << 10 // bytes of an answer
	MaxStores    = 128       // stores of a connection
	maxName      = 128       // bytes of the name of a store
	MaxParts     = 1 << 17   // parts of a store
	maxTokens    = 1 << 30   // tokens of a part
	maxAge       = time.Hour // a greater age is decoded as this one
	listPiece    = 2048      // parts in a piece of a list
	keyBytes     = len(medlarkey.Key{})
	maxPartBytes = keyBytes + 5 // bytes of a part in a message, at most: maxTokens takes 5
)

// Status tells what a reader knows of a store.
type Status byte

// Statuses.
const (
	StatusUndated Status = 0 // its contents are stale
	StatusDated   Status = 1 // its contents are recent, and Age states how much
	StatusAbsent  Status = 2 // the instance does not read the store
)

// Want is a store that a subscriber asks for. A new generation asks for all contents.
type Want struct {
	Store      medlarid.InstanceID
	Generation uint64
}

// Request is a message of a subscriber, with all stores that it asks for.
type Request struct {
	Nonce uint64
	Wants []Want
}

// Report is a piece of a store's contents, or the store's state with the changes since an earlier one.
type Report struct {
	Store      medlarid.InstanceID
	Generation uint64
	Epoch      uint64
	Sequence   uint64 // of the contents after the changes
	Base       uint64 // of the contents before them
	Status     Status
	Age        time.Duration
	First      bool // the piece is the first one of a list
	Added      []medlarinventory.StoredPart
	Removed    []medlarkey.Key
}

// Answer is a message of a reader.
type Answer struct {
	Nonce  uint64 // of the last request that had been read when the ages were taken
	Lists  []Report
	States []Report
}

// Pieces returns a complete list of the contents of a store, in pieces.
func Pieces(epoch, sequence uint64, parts map[medlarkey.Key]medlarid.Tokens) []Report {
	list := []Report{{First: true, Epoch: epoch, Sequence: sequence}}
	for k, n := range parts {
		last := &list[len(list)-1]
		if len(last.Added) == listPiece {
			list = append(list, Report{Epoch: epoch, Sequence: sequence})
			last = &list[len(list)-1]
		}
		last.Added = append(last.Added, medlarinventory.StoredPart{Key: k, Tokens: n})
	}
	return list
}

// Errors of decoding.
var (
	errMalformed = eris.New("malformed message")
	errTooLong   = eris.New("message is too long")
)

func appendVarint(b []byte, n protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func appendBytes(b []byte, n protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}

// Encode returns the encoded request.
func (q Request) Encode() []byte {
	b := appendVarint(nil, fieldNonce, q.Nonce)
	for _, w := range q.Wants {
		b = appendBytes(b, fieldWant, Report{Store: w.Store, Generation: w.Generation}.encode())
	}
	return b
}

// Encode returns the encoded answer.
func (a Answer) Encode() []byte {
	b := appendVarint(nil, fieldNonce, a.Nonce)
	for _, r := range a.Lists {
		b = appendBytes(b, fieldList, r.encode())
	}
	for _, r := range a.States {
		b = appendBytes(b, fieldState, r.encode())
	}
	return b
}

func (r Report) encode() []byte {
	b := make([]byte, 0, 64+len(r.Store)+maxPartBytes*(len(r.Added)+len(r.Removed)))
	b = appendBytes(b, fieldStore, []byte(r.Store))
	for _, f := range []struct {
		number protowire.Number
		value  uint64
	}{
		{fieldGeneration, r.Generation},
		{fieldEpoch, r.Epoch},
		{fieldSequence, r.Sequence},
		{fieldBase, r.Base},
		{fieldStatus, uint64(r.Status)},
		{fieldAge, uint64(max(r.Age, 0).Microseconds())},
	} {
		if f.value != 0 {
			b = appendVarint(b, f.number, f.value)
		}
	}
	if r.First {
		b = appendVarint(b, fieldFirst, 1)
	}
	if len(r.Added) > 0 {
		var parts []byte
		for _, p := range r.Added {
			parts = protowire.AppendVarint(append(parts, p.Key[:]...), uint64(p.Tokens))
		}
		b = appendBytes(b, fieldAdded, parts)
	}
	if len(r.Removed) > 0 {
		var parts []byte
		for _, k := range r.Removed {
			parts = append(parts, k[:]...)
		}
		b = appendBytes(b, fieldRemoved, parts)
	}
	return b
}

// eachField calls f with the fields of a message that are varints or bytes. Others are skipped.
func eachField(b []byte, f func(n protowire.Number, v uint64, raw []byte) error) error {
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		var v uint64
		var raw []byte
		switch kind {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			raw, n = protowire.ConsumeBytes(b)
		default:
			number = 0
			n = protowire.ConsumeFieldValue(1, kind, b)
		}
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		if number == 0 {
			continue
		}
		if err := f(number, v, raw); err != nil {
			return err
		}
	}
	return nil
}

// DecodeRequest decodes a request.
func DecodeRequest(b []byte) (Request, error) {
	var q Request
	err := eachField(b, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case fieldNonce:
			q.Nonce = v
		case fieldWant:
			if len(q.Wants) == MaxStores {
				return errTooLong
			}
			r, err := decodeReport(raw)
			if err != nil {
				return err
			}
			q.Wants = append(q.Wants, Want{Store: r.Store, Generation: r.Generation})
		}
		return nil
	})
	return q, err
}

// DecodeAnswer decodes an answer.
func DecodeAnswer(b []byte) (Answer, error) {
	var a Answer
	err := eachField(b, func(n protowire.Number, v uint64, raw []byte) error {
		if n == fieldNonce {
			a.Nonce = v
		}
		if n != fieldList && n != fieldState {
			return nil
		}
		if len(a.Lists)+len(a.States) == 2*MaxStores {
			return errTooLong
		}
		r, err := decodeReport(raw)
		if err != nil {
			return err
		}
		if n == fieldList {
			a.Lists = append(a.Lists, r)
		} else {
			a.States = append(a.States, r)
		}
		return nil
	})
	return a, err
}

func decodeReport(b []byte) (Report, error) {
	var r Report
	err := eachField(b, r.setField)
	if err == nil && r.Store == "" {
		err = errMalformed
	}
	return r, err
}

// setField sets a field that was decoded.
func (r *Report) setField(n protowire.Number, v uint64, raw []byte) error {
	switch n {
	case fieldStore:
		if len(raw) > maxName {
			return errTooLong
		}
		r.Store = medlarid.InstanceID(raw)
	case fieldGeneration:
		r.Generation = v
	case fieldEpoch:
		r.Epoch = v
	case fieldSequence:
		r.Sequence = v
	case fieldBase:
		r.Base = v
	case fieldStatus:
		if v > uint64(StatusAbsent) {
			return errMalformed
		}
		r.Status = Status(v)
	case fieldAge:
		r.Age = maxAge
		if v < uint64(maxAge.Microseconds()) {
			r.Age = time.Duration(v) * time.Microsecond
		}
	case fieldFirst:
		r.First = v != 0
	case fieldAdded:
		return r.decodeAdded(raw)
	case fieldRemoved:
		return r.decodeRemoved(raw)
	}
	return nil
}

func (r *Report) decodeAdded(b []byte) error {
	for len(b) > 0 {
		if len(b) < keyBytes {
			return errMalformed
		}
		p := medlarinventory.StoredPart{Key: medlarkey.Key(b[:keyBytes])}
		v, n := protowire.ConsumeVarint(b[keyBytes:])
		if n < 0 || v > maxTokens {
			return errMalformed
		}
		p.Tokens = medlarid.Tokens(v)
		r.Added = append(r.Added, p)
		b = b[keyBytes+n:]
	}
	return nil
}

func (r *Report) decodeRemoved(b []byte) error {
	if len(b)%keyBytes != 0 {
		return errMalformed
	}
	for ; len(b) > 0; b = b[keyBytes:] {
		r.Removed = append(r.Removed, medlarkey.Key(b[:keyBytes]))
	}
	return nil
}

// Write writes a message with its length before it, in one call.
func Write(w io.Writer, b []byte) error {
	_, err := w.Write(append(protowire.AppendVarint(make([]byte, 0, len(b)+protowire.SizeVarint(uint64(len(b)))), uint64(len(b))), b...))
	return err
}

// Read reads a message of limited length.
func Read(r *bufio.Reader, limit int) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if n > uint64(limit) {
		return nil, errTooLong
	}
	b := make([]byte, n)
	_, err = io.ReadFull(r, b)
	return b, err
}

package medlarstorerelay

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
	maxRequest   = 16 << 10  // bytes of a request
	maxAnswer    = 512 << 10 // bytes of an answer
	maxStores    = 128       // stores of a connection
	maxName      = 128       // bytes of the name of a store
	maxParts     = 1 << 17   // parts of a store
	maxTokens    = 1 << 30   // tokens of a part
	maxAge       = time.Hour // older contents have no date
	listPiece    = 2048      // parts in a piece of a list
	maxRecent    = 2048      // changes that a reader keeps of a store for subscribers that are behind
	minRecent    = 1024      // changes that it keeps when it drops older ones
	keyBytes     = len(medlarkey.Key{})
	statePerPart = keyBytes + 5 // bytes of a part in a message, at most
)

// status tells what a reader knows of a store.
type status byte

const (
	statusUndated status = 0 // its contents are stale
	statusDated   status = 1
	statusAbsent  status = 2 // the instance does not read the store
)

// want is a store that a subscriber asks for. A new generation asks for all contents.
type want struct {
	store      medlarid.InstanceID
	generation uint64
}

// request is a message of a subscriber, with all stores that it asks for.
type request struct {
	nonce uint64
	wants []want
}

// report is a piece of a store's contents, or its state, with the changes since an earlier one.
type report struct {
	store      medlarid.InstanceID
	generation uint64
	epoch      uint64
	sequence   uint64 // of the contents after the changes
	base       uint64 // of the contents before them
	status     status
	age        time.Duration
	first      bool // the piece is the first one of a list
	added      []medlarinventory.StoredPart
	removed    []medlarkey.Key
}

// answer is a message of a reader.
type answer struct {
	nonce  uint64 // of the last request that had been read when the ages were taken
	lists  []report
	states []report
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

func (q request) encode() []byte {
	b := appendVarint(nil, fieldNonce, q.nonce)
	for _, w := range q.wants {
		b = appendBytes(b, fieldWant, report{store: w.store, generation: w.generation}.encode())
	}
	return b
}

func (a answer) encode() []byte {
	b := appendVarint(nil, fieldNonce, a.nonce)
	for _, r := range a.lists {
		b = appendBytes(b, fieldList, r.encode())
	}
	for _, r := range a.states {
		b = appendBytes(b, fieldState, r.encode())
	}
	return b
}

func (r report) encode() []byte {
	b := make([]byte, 0, 64+len(r.store)+statePerPart*(len(r.added)+len(r.removed)))
	b = appendBytes(b, fieldStore, []byte(r.store))
	for _, f := range []struct {
		number protowire.Number
		value  uint64
	}{
		{fieldGeneration, r.generation},
		{fieldEpoch, r.epoch},
		{fieldSequence, r.sequence},
		{fieldBase, r.base},
		{fieldStatus, uint64(r.status)},
		{fieldAge, uint64(max(r.age, 0).Microseconds())},
	} {
		if f.value != 0 {
			b = appendVarint(b, f.number, f.value)
		}
	}
	if r.first {
		b = appendVarint(b, fieldFirst, 1)
	}
	if len(r.added) > 0 {
		var parts []byte
		for _, p := range r.added {
			parts = protowire.AppendVarint(append(parts, p.Key[:]...), uint64(p.Tokens))
		}
		b = appendBytes(b, fieldAdded, parts)
	}
	if len(r.removed) > 0 {
		var parts []byte
		for _, k := range r.removed {
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

func decodeRequest(b []byte) (request, error) {
	var q request
	err := eachField(b, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case fieldNonce:
			q.nonce = v
		case fieldWant:
			if len(q.wants) == maxStores {
				return errTooLong
			}
			r, err := decodeReport(raw)
			if err != nil {
				return err
			}
			q.wants = append(q.wants, want{store: r.store, generation: r.generation})
		}
		return nil
	})
	return q, err
}

func decodeAnswer(b []byte) (answer, error) {
	var a answer
	err := eachField(b, func(n protowire.Number, v uint64, raw []byte) error {
		if n == fieldNonce {
			a.nonce = v
		}
		if n != fieldList && n != fieldState {
			return nil
		}
		if len(a.lists)+len(a.states) == 2*maxStores {
			return errTooLong
		}
		r, err := decodeReport(raw)
		if err != nil {
			return err
		}
		if n == fieldList {
			a.lists = append(a.lists, r)
		} else {
			a.states = append(a.states, r)
		}
		return nil
	})
	return a, err
}

func decodeReport(b []byte) (report, error) {
	var r report
	err := eachField(b, r.setField)
	if err == nil && r.store == "" {
		err = errMalformed
	}
	return r, err
}

// setField sets a field that was decoded.
func (r *report) setField(n protowire.Number, v uint64, raw []byte) error {
	switch n {
	case fieldStore:
		if len(raw) > maxName {
			return errTooLong
		}
		r.store = medlarid.InstanceID(raw)
	case fieldGeneration:
		r.generation = v
	case fieldEpoch:
		r.epoch = v
	case fieldSequence:
		r.sequence = v
	case fieldBase:
		r.base = v
	case fieldStatus:
		if v > uint64(statusAbsent) {
			return errMalformed
		}
		r.status = status(v)
	case fieldAge:
		r.age = maxAge
		if v < uint64(maxAge.Microseconds()) {
			r.age = time.Duration(v) * time.Microsecond
		}
	case fieldFirst:
		r.first = v != 0
	case fieldAdded:
		return r.decodeAdded(raw)
	case fieldRemoved:
		return r.decodeRemoved(raw)
	}
	return nil
}

func (r *report) decodeAdded(b []byte) error {
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
		r.added = append(r.added, p)
		b = b[keyBytes+n:]
	}
	return nil
}

func (r *report) decodeRemoved(b []byte) error {
	if len(b)%keyBytes != 0 {
		return errMalformed
	}
	for ; len(b) > 0; b = b[keyBytes:] {
		r.removed = append(r.removed, medlarkey.Key(b[:keyBytes]))
	}
	return nil
}

// writeMessage writes a message with its length before it, in one call.
func writeMessage(w io.Writer, b []byte) error {
	_, err := w.Write(append(protowire.AppendVarint(make([]byte, 0, len(b)+protowire.SizeVarint(uint64(len(b)))), uint64(len(b))), b...))
	return err
}

// readMessage reads a message of limited length.
func readMessage(r *bufio.Reader, limit int) ([]byte, error) {
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

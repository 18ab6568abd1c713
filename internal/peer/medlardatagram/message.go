package medlardatagram

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarhistory"
	"medlarfield/internal/core/medlarload"
)

// Fields of a datagram, which is a protobuf message. Each load is three varints: the hash of
// the upstream's id, the number of attempts, and their pending tokens in units.
const (
	fieldSender protowire.Number = 1 // string
	fieldKey    protowire.Number = 2 // fixed64
	fieldSerial protowire.Number = 3 // varint
	fieldLoads  protowire.Number = 4 // bytes, of all loads
	fieldChange protowire.Number = 5 // message, for each change of a desired weight version
)

// Fields of a change.
const (
	fieldModel   protowire.Number = 1 // string
	fieldVersion protowire.Number = 2 // string
	fieldAge     protowire.Number = 3 // varint, in ms
)

// tokenUnit is the unit of pending tokens in a datagram.
const tokenUnit = 64

// Bounds of what a datagram can state.
const (
	maxAge     = 1 << 40 // ms
	maxOpen    = 1 << 16
	maxPending = 1 << 24 // tokens
)

// message is the content of a datagram.
type message struct {
	Sender medlarid.InstanceID
	Key    Key
	Serial uint64 // increases with each datagram of the sender
	Loads  []medlarload.Load
	// Changes are the ages of changes of desired weight versions, at the time of the datagram.
	Changes []medlarhistory.ChangeAge
}

func encode(m message) []byte {
	b := protowire.AppendTag(nil, fieldSender, protowire.BytesType)
	b = protowire.AppendString(b, string(m.Sender))
	b = protowire.AppendTag(b, fieldKey, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, uint64(m.Key))
	b = protowire.AppendTag(b, fieldSerial, protowire.VarintType)
	b = protowire.AppendVarint(b, m.Serial)
	var loads []byte
	for _, l := range m.Loads {
		loads = protowire.AppendVarint(loads, uint64(l.Upstream))
		loads = protowire.AppendVarint(loads, uint64(l.Open))
		loads = protowire.AppendVarint(loads, uint64((l.Pending+tokenUnit/2)/tokenUnit))
	}
	b = protowire.AppendTag(b, fieldLoads, protowire.BytesType)
	b = protowire.AppendBytes(b, loads)
	for _, c := range m.Changes {
		b = protowire.AppendTag(b, fieldChange, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeChange(c))
	}
	return b
}

func encodeChange(c medlarhistory.ChangeAge) []byte {
	b := protowire.AppendTag(nil, fieldModel, protowire.BytesType)
	b = protowire.AppendString(b, string(c.Model))
	b = protowire.AppendTag(b, fieldVersion, protowire.BytesType)
	b = protowire.AppendString(b, string(c.Version))
	b = protowire.AppendTag(b, fieldAge, protowire.VarintType)
	return protowire.AppendVarint(b, uint64(max(c.Age, 0).Milliseconds()))
}

// decode decodes a datagram. Unknown fields are skipped.
func decode(b []byte) (message, error) {
	var m message
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return m, malformed(n)
		}
		b = b[n:]
		n, err := m.decodeField(num, typ, b)
		if err != nil {
			return m, err
		}
		b = b[n:]
	}
	if m.Sender == "" {
		return m, &Error{Op: OpDecode, Kind: KindMalformed, Err: eris.New("sender is missing")}
	}
	return m, nil
}

// decodeField decodes the field that b begins with and returns its length.
func (m *message) decodeField(num protowire.Number, typ protowire.Type, b []byte) (int, error) {
	var n int
	switch {
	case num == fieldSender && typ == protowire.BytesType:
		var v string
		v, n = protowire.ConsumeString(b)
		m.Sender = medlarid.InstanceID(v)
	case num == fieldKey && typ == protowire.Fixed64Type:
		var v uint64
		v, n = protowire.ConsumeFixed64(b)
		m.Key = Key(v)
	case num == fieldSerial && typ == protowire.VarintType:
		m.Serial, n = protowire.ConsumeVarint(b)
	case num == fieldLoads && typ == protowire.BytesType:
		var v []byte
		v, n = protowire.ConsumeBytes(b)
		if n >= 0 {
			loads, err := decodeLoads(v)
			if err != nil {
				return 0, err
			}
			m.Loads = loads
		}
	case num == fieldChange && typ == protowire.BytesType:
		var v []byte
		v, n = protowire.ConsumeBytes(b)
		if n >= 0 {
			c, err := decodeChange(v)
			if err != nil {
				return 0, err
			}
			m.Changes = append(m.Changes, c)
		}
	default:
		n = protowire.ConsumeFieldValue(num, typ, b)
	}
	if n < 0 {
		return 0, malformed(n)
	}
	return n, nil
}

func decodeChange(b []byte) (medlarhistory.ChangeAge, error) {
	var c medlarhistory.ChangeAge
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return c, malformed(n)
		}
		b = b[n:]
		switch {
		case num == fieldModel && typ == protowire.BytesType:
			var v string
			v, n = protowire.ConsumeString(b)
			c.Model = medlarid.ModelID(v)
		case num == fieldVersion && typ == protowire.BytesType:
			var v string
			v, n = protowire.ConsumeString(b)
			c.Version = medlarid.WeightVersion(v)
		case num == fieldAge && typ == protowire.VarintType:
			var v uint64
			v, n = protowire.ConsumeVarint(b)
			c.Age = time.Duration(min(v, maxAge)) * time.Millisecond
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return c, malformed(n)
		}
		b = b[n:]
	}
	return c, nil
}

func decodeLoads(b []byte) ([]medlarload.Load, error) {
	var out []medlarload.Load
	for len(b) > 0 {
		var v [3]uint64
		for i := range v {
			value, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return nil, malformed(n)
			}
			v[i], b = value, b[n:]
		}
		out = append(out, medlarload.Load{
			Upstream: medlarid.Hash(v[0]), Open: int(min(v[1], maxOpen)), Pending: medlarid.Tokens(min(v[2], maxPending/tokenUnit) * tokenUnit),
		})
	}
	return out, nil
}

func malformed(n int) error {
	return &Error{Op: OpDecode, Kind: KindMalformed, Err: protowire.ParseError(n)}
}

package medlardatagram

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarhistory"
	"medlarfield/internal/core/medlarload"
	"medlarfield/internal/core/medlarsum"
)

// Fields of a datagram, which is a protobuf message. Each load is three varints: the hash of
// the upstream's id, the number of attempts, and their pending tokens in units.
const (
	fieldSender protowire.Number = 1 // string
	fieldKey    protowire.Number = 2 // fixed64
	fieldSerial protowire.Number = 3 // varint
	fieldLoads  protowire.Number = 4 // bytes, of all loads
	fieldChange protowire.Number = 5 // message, for each change of a desired weight version
	fieldSum    protowire.Number = 6 // message of medlarsum; older builds skip it, and take the datagram for an empty report
)

// Fields of a message of medlarsum. Each load is three varints, as in a report, but for the hash: its difference to the hash
// before it.
const (
	fieldKind      protowire.Number = 1 // varint
	fieldRanges    protowire.Number = 2 // varint
	fieldRange     protowire.Number = 3 // varint
	fieldSumAge    protowire.Number = 4 // varint, in ms
	fieldReport    protowire.Number = 5 // fixed64
	fieldMembers   protowire.Number = 6 // varint
	fieldSumsLoads protowire.Number = 7 // bytes, of all loads
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
	Sum     *medlarsum.Message // instead of loads and changes, if it is set
}

func encode(m message) []byte {
	b := protowire.AppendTag(nil, fieldSender, protowire.BytesType)
	b = protowire.AppendString(b, string(m.Sender))
	b = protowire.AppendTag(b, fieldKey, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, uint64(m.Key))
	b = protowire.AppendTag(b, fieldSerial, protowire.VarintType)
	b = protowire.AppendVarint(b, m.Serial)
	if m.Sum != nil {
		b = protowire.AppendTag(b, fieldSum, protowire.BytesType)
		return protowire.AppendBytes(b, encodeSum(*m.Sum))
	}
	var loads []byte
	for _, l := range m.Loads {
		loads = protowire.AppendVarint(loads, uint64(l.Upstream))
		loads = appendLoad(loads, l)
	}
	b = protowire.AppendTag(b, fieldLoads, protowire.BytesType)
	b = protowire.AppendBytes(b, loads)
	for _, c := range m.Changes {
		b = protowire.AppendTag(b, fieldChange, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeChange(c))
	}
	return b
}

// appendLoad appends what a load states of its upstream.
func appendLoad(b []byte, l medlarload.Load) []byte {
	b = protowire.AppendVarint(b, uint64(l.Open))
	return protowire.AppendVarint(b, uint64((l.Pending+tokenUnit/2)/tokenUnit))
}

// encodeSum encodes a message of medlarsum, whose loads are ordered by hash.
func encodeSum(m medlarsum.Message) []byte {
	var b []byte
	number := func(num protowire.Number, v int64) {
		b = protowire.AppendTag(b, num, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(max(v, 0)))
	}
	number(fieldKind, int64(m.Kind))
	number(fieldRanges, int64(m.Ranges))
	number(fieldRange, int64(m.Range))
	number(fieldSumAge, m.Age.Milliseconds())
	number(fieldMembers, int64(m.Members))
	b = protowire.AppendTag(b, fieldReport, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, m.Report)
	var loads []byte
	last := medlarid.Hash(0)
	for _, l := range m.Loads {
		loads = protowire.AppendVarint(loads, uint64(l.Upstream-last))
		loads = appendLoad(loads, l)
		last = l.Upstream
	}
	b = protowire.AppendTag(b, fieldSumsLoads, protowire.BytesType)
	return protowire.AppendBytes(b, loads)
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
			loads, err := decodeLoads(v, false)
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
	case num == fieldSum && typ == protowire.BytesType:
		var v []byte
		v, n = protowire.ConsumeBytes(b)
		if n >= 0 {
			sum, err := decodeSum(v)
			if err != nil {
				return 0, err
			}
			m.Sum = &sum
		}
	default:
		n = protowire.ConsumeFieldValue(num, typ, b)
	}
	if n < 0 {
		return 0, malformed(n)
	}
	return n, nil
}

// decodeSum decodes a message of medlarsum. Unknown fields are skipped.
func decodeSum(b []byte) (medlarsum.Message, error) {
	var m medlarsum.Message
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return m, malformed(n)
		}
		b = b[n:]
		switch {
		case num == fieldReport && typ == protowire.Fixed64Type:
			m.Report, n = protowire.ConsumeFixed64(b)
		case num == fieldSumsLoads && typ == protowire.BytesType:
			var v []byte
			v, n = protowire.ConsumeBytes(b)
			if n >= 0 {
				var err error
				if m.Loads, err = decodeLoads(v, true); err != nil {
					return m, err
				}
			}
		case typ == protowire.VarintType:
			var v uint64
			v, n = protowire.ConsumeVarint(b)
			setSumNumber(&m, num, v)
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return m, malformed(n)
		}
		b = b[n:]
	}
	return m, nil
}

// setSumNumber sets the number of a field; unknown fields are skipped.
func setSumNumber(m *medlarsum.Message, num protowire.Number, v uint64) {
	n := int(min(v, maxOpen))
	switch num {
	case fieldKind:
		m.Kind = medlarsum.Kind(n)
	case fieldRanges:
		m.Ranges = n
	case fieldRange:
		m.Range = n
	case fieldSumAge:
		m.Age = time.Duration(min(v, maxAge)) * time.Millisecond
	case fieldMembers:
		m.Members = n
	}
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

// decodeLoads decodes loads; with differences set, their hashes are given as the differences to the hashes before them.
func decodeLoads(b []byte, differences bool) ([]medlarload.Load, error) {
	var out []medlarload.Load
	var last medlarid.Hash
	for len(b) > 0 {
		var v [3]uint64
		for i := range v {
			value, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return nil, malformed(n)
			}
			v[i], b = value, b[n:]
		}
		hash := medlarid.Hash(v[0])
		if differences {
			hash += last
			last = hash
		}
		out = append(out, medlarload.Load{
			Upstream: hash, Open: int(min(v[1], maxOpen)), Pending: medlarid.Tokens(min(v[2], maxPending/tokenUnit) * tokenUnit),
		})
	}
	return out, nil
}

func malformed(n int) error {
	return &Error{Op: OpDecode, Kind: KindMalformed, Err: protowire.ParseError(n)}
}

package medlarnotice

import (
	"slices"
	"strconv"

	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbuild"
	"medlarfield/internal/core/medlarworld"
)

// assignmentRecord is the assignment of a service's streams to software versions. From and To have a
// character for each bucket: the index of its version in Builds, with the digits 0 to 9 and a to z, or
// a dash for one that is not known.
type assignmentRecord struct {
	Serial uint64           `json:"serial"`
	Builds []medlarid.Build `json:"builds"`
	From   string           `json:"from"`
	To     string           `json:"to"`
}

const (
	indexBase    = 36 // of the characters in From and To
	unknownBuild = '-'
)

// streamsRecord is an instance's streams whose software version no other one can derive: for each
// version the streams, by their keys in base 36.
type streamsRecord struct {
	Builds map[medlarid.Build][]string `json:"builds"`
}

// maxStreams is the maximum number of streams in a record that is read.
const maxStreams = 1 << 14

// StreamsKey returns the key of the record of an instance's streams; start distinguishes the starts
// of the instance.
func StreamsKey(by medlarid.InstanceID, start string) string {
	return streamsPrefix + string(by) + "/" + start
}

// EncodeAssignment returns the record of the assignment of a service.
func EncodeAssignment(c medlarworld.AssignBuilds) (Record, error) {
	out := assignmentRecord{Serial: c.Assignment.Serial}
	out.From = out.encode(&c.Assignment.From)
	out.To = out.encode(&c.Assignment.To)
	b, err := json.Marshal(out)
	return Record{Key: assignmentPrefix + string(c.Service), Value: b}, err
}

// encode returns the text of buckets, and adds their software versions to Builds.
func (r *assignmentRecord) encode(buckets *medlarbuild.Buckets) string {
	text := make([]byte, len(buckets))
	for i, b := range buckets {
		text[i] = unknownBuild
		if b == "" {
			continue
		}
		n := slices.Index(r.Builds, b)
		if n < 0 {
			n = len(r.Builds)
			r.Builds = append(r.Builds, b)
		}
		if n < indexBase {
			text[i] = strconv.FormatInt(int64(n), indexBase)[0]
		}
	}
	return string(text)
}

// decode sets buckets from their text; ok is false if it cannot be used.
func (r *assignmentRecord) decode(text string, to *medlarbuild.Buckets) (ok bool) {
	if len(text) != len(to) {
		return false
	}
	for i := range text {
		if text[i] == unknownBuild {
			continue
		}
		n, err := strconv.ParseUint(text[i:i+1], indexBase, 8)
		if err != nil || n >= uint64(len(r.Builds)) {
			return false
		}
		to[i] = r.Builds[n]
	}
	return true
}

var errAssignment = eris.New("buckets or versions cannot be used")

func decodeAssignment(r Record, id medlarid.ServiceID) (medlarworld.Event, error) {
	if len(r.Value) == 0 {
		return medlarworld.BuildsAssigned{Service: id, Dropped: true}, nil
	}
	var in assignmentRecord
	if err := decode(r, &in); err != nil {
		return nil, err
	}
	if in.Serial > maxNumber {
		return nil, &Error{Op: OpDecode, Kind: KindMalformed, Err: errNumber}
	}
	out := medlarworld.BuildsAssigned{Service: id, Assignment: medlarbuild.Assignment{Serial: in.Serial}}
	if !in.decode(in.From, &out.Assignment.From) || !in.decode(in.To, &out.Assignment.To) {
		return nil, &Error{Op: OpDecode, Kind: KindMalformed, Err: errAssignment}
	}
	return out, nil
}

// seenRecord is which assignments an instance has read, and by which its streams begin: the serial number
// of each service's.
type seenRecord struct {
	Read map[medlarid.ServiceID]uint64 `json:"read,omitempty"`
	Used map[medlarid.ServiceID]uint64 `json:"used,omitempty"`
}

// EncodeSeen returns the record of how far an instance follows the assignments.
func EncodeSeen(by medlarid.InstanceID, c medlarworld.RecordSeen) (Record, error) {
	b, err := json.Marshal(seenRecord(c.Seen))
	return Record{Key: seenPrefix + string(by), Value: b}, err
}

func decodeSeen(r Record, by medlarid.InstanceID) (medlarworld.Event, error) {
	var in seenRecord
	if err := decode(r, &in); err != nil || len(r.Value) == 0 {
		return nil, err
	}
	return medlarworld.AssignmentsSeen{Instance: by, Seen: medlarbuild.Seen(in)}, nil
}

// EncodeStreams returns the record with a key of streams whose software version no other instance can
// derive.
func EncodeStreams(key string, c medlarworld.RecordStreams) (Record, error) {
	if len(c.Builds) == 0 {
		return Record{Key: key}, nil
	}
	out := streamsRecord{Builds: map[medlarid.Build][]string{}}
	for k, b := range c.Builds {
		out.Builds[b] = append(out.Builds[b], strconv.FormatUint(uint64(k), indexBase))
	}
	b, err := json.Marshal(out)
	return Record{Key: key, Value: b}, err
}

var errStreams = eris.New("streams are too many, or have no key")

func decodeStreams(r Record) (medlarworld.Event, error) {
	if len(r.Value) == 0 {
		return nil, nil
	}
	var in streamsRecord
	if err := decode(r, &in); err != nil {
		return nil, err
	}
	out := medlarworld.StreamsRecorded{Builds: map[medlarbuild.Key]medlarid.Build{}}
	for b, keys := range in.Builds {
		for _, text := range keys {
			k, err := strconv.ParseUint(text, indexBase, 64)
			if err != nil || len(out.Builds) >= maxStreams {
				return nil, &Error{Op: OpDecode, Kind: KindMalformed, Err: errStreams}
			}
			out.Builds[medlarbuild.Key(k)] = b
		}
	}
	return out, nil
}

package medlarnotice

import (
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarworld"
)

// Prefixes of the keys of records.
const (
	crashPrefix = "crash/" // followed by the reporting instance and the number of a slot
	blockPrefix = "block/" // followed by the trait
	limitPrefix = "limit/" // followed by the replica
	needPrefix  = "need/"  // followed by the instance
	// assignmentPrefix is followed by the service, and streamsPrefix by the instance and its start.
	assignmentPrefix = "build/"
	streamsPrefix    = "streams/"
	seenPrefix       = "seen/" // followed by the instance
	peerPrefix       = "peer/" // followed by the instance
)

// maxReportTraits is the maximum number of traits in a record of a crash, which bounds its size
// below the platform's limit.
const maxReportTraits = 2048

// maxNumber bounds serial numbers and counts in records, so that an instance can write a greater one.
const maxNumber = 1 << 62

var errNumber = eris.New("serial number or count is out of range")

// crashRecord is what one instance lost with a replica that crashed.
type crashRecord struct {
	Replica medlarid.InstanceID   `json:"replica"`
	Born    medlarid.Incarnation  `json:"born"`
	End     int                   `json:"end,omitempty"`
	Begun   []medlarsuspect.Trait `json:"begun,omitempty"`
	Waiting []medlarsuspect.Trait `json:"waiting,omitempty"`
	Lost    int64                 `json:"lost,omitzero"`   // ms since the first loss
	Unseen  int64                 `json:"unseen,omitzero"` // ms
}

// maxLossMs bounds the times of a loss in ms, so that they cannot overflow.
const maxLossMs = 3_600_000

// blockRecord is the shared state of a trait.
type blockRecord struct {
	Trials  int  `json:"trials"`
	Cleared bool `json:"cleared"`
}

// CrashKey returns the key of an instance's record of a crash in one of its slots.
func CrashKey(by medlarid.InstanceID, slot string) string {
	return crashPrefix + string(by) + "/" + slot
}

// EncodeCrash returns the value of the record of a crash. Traits beyond the maximum are left out,
// those of waiting requests first.
func EncodeCrash(r medlarsuspect.Report) ([]byte, error) {
	begun := unique(r.Begun, maxReportTraits)
	waiting := unique(r.Waiting, maxReportTraits-len(begun))
	out := crashRecord{Replica: r.Crash.Replica, Born: r.Crash.Incarnation, End: r.Crash.End, Begun: begun, Waiting: waiting, Lost: r.LostFor.Milliseconds(), Unseen: r.Unseen.Milliseconds()}
	return json.Marshal(out, jsontext.AllowInvalidUTF8(true)) // callers name the parts, which may be any bytes
}

// unique returns the different traits of a list, at most n.
func unique(traits []medlarsuspect.Trait, n int) []medlarsuspect.Trait {
	seen := map[medlarsuspect.Trait]bool{}
	var out []medlarsuspect.Trait
	for _, p := range traits {
		if !seen[p] && len(out) < n {
			seen[p] = true
			out = append(out, p)
		}
	}
	return out
}

// EncodeBlock returns the record of the shared state of a trait.
func EncodeBlock(r medlarsuspect.Record) (Record, error) {
	key := blockPrefix + string(r.Trait)
	if r.Drop {
		return Record{Key: key}, nil
	}
	b, err := json.Marshal(blockRecord(r.Block))
	return Record{Key: key, Value: b}, err
}

// Decode decodes a record into an event of the core; nil for a record of another kind. A record that
// was removed has no value.
func Decode(r Record) (medlarworld.Event, error) {
	if part, ok := strings.CutPrefix(r.Key, blockPrefix); ok {
		return decodeBlock(r, medlarsuspect.Trait(part))
	}
	if strings.HasPrefix(r.Key, crashPrefix) {
		return decodeCrash(r)
	}
	if id, ok := strings.CutPrefix(r.Key, limitPrefix); ok {
		return decodeLimit(r, medlarid.InstanceID(id))
	}
	if id, ok := strings.CutPrefix(r.Key, needPrefix); ok {
		return decodeNeed(r, medlarid.InstanceID(id))
	}
	if id, ok := strings.CutPrefix(r.Key, assignmentPrefix); ok {
		return decodeAssignment(r, medlarid.ServiceID(id))
	}
	if id, ok := strings.CutPrefix(r.Key, seenPrefix); ok {
		return decodeSeen(r, medlarid.InstanceID(id))
	}
	if strings.HasPrefix(r.Key, streamsPrefix) {
		return decodeStreams(r)
	}
	return nil, nil
}

func decodeBlock(r Record, p medlarsuspect.Trait) (medlarworld.Event, error) {
	var b blockRecord
	if err := decode(r, &b); err != nil {
		return nil, err
	}
	if b.Trials < 0 || b.Trials > maxNumber {
		return nil, &Error{Op: OpDecode, Kind: KindMalformed, Err: errNumber}
	}
	return medlarworld.BlockRecorded{Trait: p, Block: medlarsuspect.Block(b), Dropped: len(r.Value) == 0}, nil
}

func decodeCrash(r Record) (medlarworld.Event, error) {
	var c crashRecord
	if err := decode(r, &c); err != nil || len(r.Value) == 0 {
		return nil, err
	}
	return medlarworld.CrashReported{Report: medlarsuspect.Report{
		Crash:   medlarsuspect.CrashID{Replica: c.Replica, Incarnation: c.Born, End: c.End},
		LostFor: milliseconds(c.Lost), Unseen: milliseconds(c.Unseen),
		Begun: c.Begun[:min(len(c.Begun), maxReportTraits)], Waiting: c.Waiting[:min(len(c.Waiting), maxReportTraits)],
	}}, nil
}

// milliseconds returns a time of n ms, maxLossMs at most.
func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxLossMs)) * time.Millisecond
}

func decode(r Record, to any) error {
	if len(r.Value) == 0 {
		return nil
	}
	if err := json.Unmarshal(r.Value, to); err != nil {
		return &Error{Op: OpDecode, Kind: KindMalformed, Err: err}
	}
	return nil
}

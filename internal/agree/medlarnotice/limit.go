package medlarnotice

import (
	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
)

// limitRecord is the limit that a replica named.
type limitRecord struct {
	Born  medlarid.Incarnation `json:"born"`
	Limit float64              `json:"limit"` // requests per second
}

// needRecord is how many requests an instance gets.
type needRecord struct {
	Serial uint64            `json:"serial"`
	Rates  medlarworld.Rates `json:"rates"` // requests per second by service
}

// maxRates is the maximum number of services in a record of an instance's requests.
const maxRates = 256

// EncodeLimit returns the record of an upstream's limit.
func EncodeLimit(c medlarworld.RecordLimit) (Record, error) {
	key := limitPrefix + string(c.Upstream)
	if !c.Limited {
		return Record{Key: key}, nil
	}
	b, err := json.Marshal(limitRecord{Born: c.Incarnation, Limit: c.Limit})
	return Record{Key: key, Value: b}, err
}

// EncodeNeed returns the record of an instance's requests.
func EncodeNeed(by medlarid.InstanceID, c medlarworld.RecordNeed) (Record, error) {
	b, err := json.Marshal(needRecord{Serial: c.Serial, Rates: c.Rates})
	return Record{Key: needPrefix + string(by), Value: b}, err
}

// maxRate bounds a rate or limit, in requests per second, so that sums over instances stay finite.
const maxRate = 1e9

// errRate reports rates of requests that cannot be used.
var errRate = eris.New("rates are out of range or too many")

func decodeLimit(r Record, id medlarid.InstanceID) (medlarworld.Event, error) {
	var l limitRecord
	if err := decode(r, &l); err != nil {
		return nil, err
	}
	if !(l.Limit >= 0 && l.Limit <= maxRate) {
		return nil, &Error{Op: OpDecode, Kind: KindMalformed, Err: errRate}
	}
	return medlarworld.LimitRecorded{Upstream: id, Incarnation: l.Born, Limit: l.Limit, Dropped: len(r.Value) == 0}, nil
}

func decodeNeed(r Record, by medlarid.InstanceID) (medlarworld.Event, error) {
	var n needRecord
	if err := decode(r, &n); err != nil {
		return nil, err
	}
	if n.Serial > maxNumber {
		return nil, &Error{Op: OpDecode, Kind: KindMalformed, Err: errNumber}
	}
	bad := len(n.Rates) > maxRates
	for _, rate := range n.Rates {
		bad = bad || !(rate >= 0 && rate <= maxRate)
	}
	if bad {
		return nil, &Error{Op: OpDecode, Kind: KindMalformed, Err: errRate}
	}
	return medlarworld.NeedRecorded{Instance: by, Serial: n.Serial, Rates: n.Rates}, nil
}

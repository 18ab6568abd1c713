package medlarnotice

import (
	"strings"

	"github.com/go-json-experiment/json"

	"medlarfield/internal/base/medlarid"
)

// Peer is where an instance receives datagrams of others, and the key of its own.
type Peer struct {
	Address medlarid.Address `json:"at"`
	Key     uint64           `json:"key,string"` // differs with each start of the instance
}

// EncodePeer returns the record of an instance's address; nil removes it.
func EncodePeer(id medlarid.InstanceID, p *Peer) (Record, error) {
	r := Record{Key: peerPrefix + string(id)}
	if p == nil {
		return r, nil
	}
	b, err := json.Marshal(p)
	r.Value = b
	return r, err
}

// DecodePeer decodes the record of an instance's address; ok is false for a record of another kind. A
// record that was removed has no address.
func DecodePeer(r Record) (id medlarid.InstanceID, p Peer, ok bool, err error) {
	name, ok := strings.CutPrefix(r.Key, peerPrefix)
	if !ok {
		return "", p, false, nil
	}
	err = decode(r, &p)
	return medlarid.InstanceID(name), p, true, err
}

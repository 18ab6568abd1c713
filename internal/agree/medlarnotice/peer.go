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
	// Relay is where the instance takes requests to relay connections to replicas; empty if it takes none.
	Relay medlarid.Address `json:"relay,omitempty"`
	Zone  medlarid.Zone    `json:"zone,omitempty"`
}

// EncodePeer returns the record of an instance's address.
func EncodePeer(id medlarid.InstanceID, p Peer) (Record, error) {
	b, err := json.Marshal(p)
	return Record{Key: peerPrefix + string(id), Value: b}, err
}

// RemovePeer returns the record that removes an instance's address.
func RemovePeer(id medlarid.InstanceID) Record { return Record{Key: peerPrefix + string(id)} }

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

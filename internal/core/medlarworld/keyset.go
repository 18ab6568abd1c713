package medlarworld

import (
	"medlarfield/internal/core/medlarkey"
)

// maxKept bounds the segments that are remembered as kept in a store.
const maxKept = 1 << 14

// KeySet is a set of keys of bounded size: the oldest give way to new ones.
type KeySet struct {
	keys map[medlarkey.Key]bool
	ring []medlarkey.Key // keys in the order of arrival
	next int
}

// NewKeySet returns a set of at most size keys.
func NewKeySet(size int) *KeySet {
	return &KeySet{keys: map[medlarkey.Key]bool{}, ring: make([]medlarkey.Key, 0, size)}
}

// Has reports whether k is in the set.
func (s *KeySet) Has(k medlarkey.Key) bool { return s.keys[k] }

// Remove takes k out of the set.
func (s *KeySet) Remove(k medlarkey.Key) { delete(s.keys, k) }

// Add puts k into the set.
func (s *KeySet) Add(k medlarkey.Key) {
	if s.keys[k] {
		return
	}
	s.keys[k] = true
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, k)
		return
	}
	delete(s.keys, s.ring[s.next])
	s.ring[s.next] = k
	s.next = (s.next + 1) % len(s.ring)
}

package medlarkey

// Set is a set of keys of bounded size: new keys replace the oldest ones.
type Set struct {
	keys map[Key]bool // false for a key that was removed but is still in the ring
	ring *Ring
}

// NewSet returns a set of at most size keys.
func NewSet(size int) *Set {
	return &Set{keys: map[Key]bool{}, ring: NewRing(size)}
}

// Has reports whether k is in the set.
func (s *Set) Has(k Key) bool { return s.keys[k] }

// Remove removes k from the set. It stays in the ring, so that the ring holds k only
// once if it is added again.
func (s *Set) Remove(k Key) {
	if s.keys[k] {
		s.keys[k] = false
	}
}

// Add adds k to the set.
func (s *Set) Add(k Key) {
	_, inRing := s.keys[k]
	s.keys[k] = true
	if inRing {
		return
	}
	if oldest, full := s.ring.Push(k); full {
		delete(s.keys, oldest)
	}
}

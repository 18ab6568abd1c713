package medlarkey

// Set is a set of keys of bounded size: the oldest give way to new ones.
type Set struct {
	keys map[Key]bool
	ring *Ring
}

// NewSet returns a set of at most size keys.
func NewSet(size int) *Set {
	return &Set{keys: map[Key]bool{}, ring: NewRing(size)}
}

// Has reports whether k is in the set.
func (s *Set) Has(k Key) bool { return s.keys[k] }

// Remove takes k out of the set.
func (s *Set) Remove(k Key) { delete(s.keys, k) }

// Add puts k into the set.
func (s *Set) Add(k Key) {
	if s.keys[k] {
		return
	}
	s.keys[k] = true
	if oldest, full := s.ring.Push(k); full {
		delete(s.keys, oldest)
	}
}

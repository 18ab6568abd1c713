package medlarkey

// Set is a set of keys of bounded size: the oldest give way to new ones.
type Set struct {
	keys map[Key]bool
	ring []Key // keys in the order of arrival
	next int
}

// NewSet returns a set of at most size keys.
func NewSet(size int) *Set {
	return &Set{keys: map[Key]bool{}, ring: make([]Key, 0, size)}
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
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, k)
		return
	}
	delete(s.keys, s.ring[s.next])
	s.ring[s.next] = k
	s.next = (s.next + 1) % len(s.ring)
}

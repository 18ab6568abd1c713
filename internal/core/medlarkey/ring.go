package medlarkey

// Ring is a ring buffer of a bounded number of keys, in order of insertion.
type Ring struct {
	keys []Key
	next int // index of the oldest key, once the ring is full
}

// NewRing returns a ring of at most size keys.
func NewRing(size int) *Ring { return &Ring{keys: make([]Key, 0, size)} }

// Push adds a key. If the ring is full, the key replaces the oldest one, which is
// returned.
func (r *Ring) Push(k Key) (oldest Key, full bool) {
	if len(r.keys) < cap(r.keys) {
		r.keys = append(r.keys, k)
		return Key{}, false
	}
	oldest = r.keys[r.next]
	r.keys[r.next] = k
	r.next = (r.next + 1) % len(r.keys)
	return oldest, true
}

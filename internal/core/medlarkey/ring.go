package medlarkey

// Ring keeps a bounded number of keys in the order of their arrival.
type Ring struct {
	keys []Key
	next int // the oldest one, once the ring is full
}

// NewRing returns a ring of at most size keys.
func NewRing(size int) *Ring { return &Ring{keys: make([]Key, 0, size)} }

// Push adds a key. When the ring is full, the oldest key gives way and is returned.
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

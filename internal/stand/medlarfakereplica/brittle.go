package medlarfakereplica

import (
	"slices"
	"strconv"
	"time"
)

// brittleDelay is the time from when a replica first states that it is brittle until it takes fewer requests.
const brittleDelay = 3 * time.Second

// brittleWindow is the time in which the requests that are turned away for lack of room are counted.
const brittleWindow = time.Second

// brittleness is how a replica is brittle.
type brittleness struct {
	// It can turn most requests away in brittleWindow, 0 if it is not brittle, and serves slots at once from brittleDelay on.
	most, slots int
	from        time.Time
	rejected    []time.Time
}

// BeBrittle makes the replica state that it is brittle: brittleDelay later it serves slots requests at once and crashes
// when it has to turn away more than most in brittleWindow. With most 0 it is no longer brittle.
func (r *Replica) BeBrittle(most, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brittle = brittleness{most: most, slots: slots, from: time.Now().Add(brittleDelay)}
}

// slots returns the number of requests that the replica serves at once. The caller holds the lock.
func (r *Replica) slots() int {
	if r.brittle.most > 0 && time.Now().After(r.brittle.from) {
		return r.brittle.slots
	}
	return r.Settings.Slots
}

// brittleField returns the header field by which a response states that the replica is brittle. The caller holds
// the lock.
func (r *Replica) brittleField() string {
	if r.brittle.most == 0 {
		return ""
	}
	return "Server-Brittle: " + strconv.Itoa(r.brittle.most) + "\r\n"
}

// turnAway counts a request that is turned away for lack of room, and crashes the replica after too many.
func (r *Replica) turnAway() {
	now := time.Now()
	r.mu.Lock()
	b := &r.brittle
	if b.most > 0 && now.After(b.from) {
		b.rejected = append(b.rejected, now)
	}
	b.rejected = slices.DeleteFunc(b.rejected, func(at time.Time) bool { return now.Sub(at) >= brittleWindow })
	falls := len(b.rejected) > b.most
	r.mu.Unlock()
	if falls {
		r.Crash()
	}
}

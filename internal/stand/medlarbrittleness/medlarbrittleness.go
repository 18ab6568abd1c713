// Package medlarbrittleness emulates when a brittle replica crashes.
package medlarbrittleness

import (
	"slices"
	"strconv"
	"time"
)

// Delay is the time from when a replica first states that it is brittle until it takes fewer requests.
const Delay = 3 * time.Second

// window is the time in which the requests that are turned away for lack of room are counted.
const window = time.Second

// State is the state of a replica that may be brittle. In the zero value it is not. It is not safe for concurrent use.
type State struct {
	most     int         // requests that it can turn away within window; 0 if it is not brittle
	slots    int         // requests that it serves at once after from
	from     time.Time   // when it begins to serve fewer requests
	rejected []time.Time // times of the requests that were turned away within window
}

// New returns the state of a replica that states that it is brittle: Delay later it serves slots requests at once and
// crashes when it has to turn away more than most in a second. With most 0 it is not brittle.
func New(most, slots int) State {
	return State{most: most, slots: slots, from: time.Now().Add(Delay)}
}

// Slots returns the number of requests that the replica serves at once, which is usual if it is not brittle.
func (s *State) Slots(usual int) int {
	if s.most > 0 && time.Now().After(s.from) {
		return s.slots
	}
	return usual
}

// Field returns the header field by which a response states that the replica is brittle.
func (s *State) Field() string {
	if s.most == 0 {
		return ""
	}
	return "Server-Brittle: " + strconv.Itoa(s.most) + "\r\n"
}

// TurnAway counts a request that is turned away for lack of room, and reports whether the replica crashes of it.
func (s *State) TurnAway(now time.Time) (crashes bool) {
	if s.most > 0 && now.After(s.from) {
		s.rejected = append(s.rejected, now)
	}
	s.rejected = slices.DeleteFunc(s.rejected, func(at time.Time) bool { return now.Sub(at) >= window })
	return len(s.rejected) > s.most
}

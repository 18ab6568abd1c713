// Package medlarreadwait decides for how long a read of a topic waits for records at the platform's store. All instances
// share the store's rate of calls, and an idle topic costs each of them one call for each wait.
//
// Rules:
//
//	R1  Up to smallFleet instances a read waits for the topic's usual time.
//	R2  In larger fleets it waits longer in proportion, so that the fleet's calls stay as many. Records still arrive at once:
//	    the store answers a waiting read when there is one.
//	R3  A connection that has fallen silent is noticed only after the wait. It ends repeatMargin before the settling time has
//	    passed, after which bounds in time hold again, and no later than the topic allows.
package medlarreadwait

import "time"

const (
	smallFleet   = 16                     // instances (R1)
	repeatMargin = 600 * time.Millisecond // for the read that is repeated after a lost one (R3)
)

// Topic has the waits of one topic.
type Topic struct {
	Usual time.Duration // of small fleets
	// Longest is the longest wait that what is known of the topic may be old; 0 for no bound.
	Longest time.Duration
}

// Wait returns the wait of a read in a fleet. settling is the time after a fault from which on bounds in time hold again.
func (t Topic) Wait(instances int, settling time.Duration) time.Duration {
	longest := settling - repeatMargin
	if t.Longest > 0 {
		longest = min(longest, t.Longest)
	}
	wait := t.Usual * time.Duration(max(instances, smallFleet)) / smallFleet
	return max(min(wait, longest), t.Usual)
}

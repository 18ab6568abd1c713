// Package medlarreadwait decides how instances read the topics of the platform's store: for how long a read waits for records,
// and how soon the next one follows. All instances share the store's rate of calls. An idle topic costs each of them one call
// for each wait, and a busy one a call for each interval.
//
// Rules:
//
//	R1  Up to smallFleet instances a read waits for the topic's usual time, and follows the one before after its usual interval.
//	R2  In larger fleets both are longer in proportion, so that the fleet's calls stay as many. Records of an idle topic
//	    still arrive at once: the store answers a waiting read when there is one.
//	R3  A connection that has fallen silent is noticed only after the wait. It ends repeatMargin before the settling time has
//	    passed, after which bounds in time hold again, and no later than the topic allows.
//	R4  An interval is at most the topic's longest, by which what is read may be late.
package medlarreadwait

import "time"

const (
	smallFleet   = 8                      // instances (R1)
	repeatMargin = 600 * time.Millisecond // for the read that is repeated after a lost one (R3)
)

// Topic has the times of the reads of one topic.
type Topic struct {
	UsualWait time.Duration // of small fleets
	// LongestWait is the longest wait that what is known of the topic may be old; 0 for no bound.
	LongestWait time.Duration
	// UsualInterval is the least time between the starts of two reads in small fleets, LongestInterval that in any.
	UsualInterval, LongestInterval time.Duration
}

// Wait returns the wait of a read in a fleet. settling is the time after a fault from which on bounds in time hold again.
func (t Topic) Wait(instances int, settling time.Duration) time.Duration {
	longest := settling - repeatMargin
	if t.LongestWait > 0 {
		longest = min(longest, t.LongestWait)
	}
	return max(min(inProportion(t.UsualWait, instances), longest), t.UsualWait)
}

// Interval returns the least time between the starts of two reads in a fleet.
func (t Topic) Interval(instances int) time.Duration {
	return max(min(inProportion(t.UsualInterval, instances), t.LongestInterval), t.UsualInterval)
}

// inProportion returns a time of small fleets in proportion to the size of a fleet (R2).
func inProportion(usual time.Duration, instances int) time.Duration {
	return usual * time.Duration(max(instances, smallFleet)) / smallFleet
}

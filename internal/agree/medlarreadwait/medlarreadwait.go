// Package medlarreadwait decides how instances read the topics of the platform's store: for how long a read waits for records,
// and how soon the next one follows. The store's rate of calls is limited for all instances together. Each of them makes one call
// for each wait at an idle topic, and one call for each interval at a busy one.
//
// Rules:
//
//	R1  In fleets of up to smallFleet instances a read waits for the topic's usual wait, and starts the topic's usual interval
//	    after the one before.
//	R2  In larger fleets both are longer in proportion, so that all instances together make no more calls. Records of an idle
//	    topic still arrive at once: the store answers a waiting read as soon as there is a record.
//	R3  The loss of a read is noticed only after its wait, and the read is then repeated. A wait that is longer than the
//	    usual one leaves repeatMargin for that before the settling time has passed, after which bounds in time hold
//	    again. It is at most the topic's longest wait.
//	R4  An interval that is longer than the usual one is at most the topic's longest interval, which bounds how late records
//	    are read.
package medlarreadwait

import "time"

const (
	smallFleet   = 8                      // instances (R1)
	repeatMargin = 600 * time.Millisecond // for the read that is repeated after a lost one (R3)
)

// Topic has the times of the reads of one topic.
type Topic struct {
	UsualWait time.Duration // in small fleets
	// LongestWait bounds the wait, and so the age of what is known of an idle topic; 0 for no bound.
	LongestWait time.Duration
	// UsualInterval is the least time between the starts of two reads in small fleets, LongestInterval bounds it in large ones.
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

// inProportion returns the usual time of small fleets, made longer in proportion to the number of instances (R2).
func inProportion(usual time.Duration, instances int) time.Duration {
	return usual * time.Duration(max(instances, smallFleet)) / smallFleet
}

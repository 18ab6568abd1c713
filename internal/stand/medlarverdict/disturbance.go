package medlarverdict

import (
	"slices"

	"medlarfield/internal/stand/medlarsoak"
)

// Times, in ms.
const (
	stableWindow = 3000 // without a disturbance, after which an instance is in touch
	pauseGrace   = 500  // from a pause on in which requests may still reach a replica
)

// disturbances are the times at which instances were disturbed, or not.
type disturbances struct{ records medlarsoak.Records }

// during reports whether an instance ended, started, stood still, or was cut off from replicas within a span.
func (d disturbances) during(instance string, from, to int64) bool {
	return d.processDuring(instance, from, to) || d.stateDuring(instance, from, to)
}

// inTouch reports whether an instance was not disturbed for stableWindow, and reached the store. A cut from replicas is no
// disturbance here.
func (d disturbances) inTouch(instance string, at int64) bool {
	return !d.processDuring(instance, at-stableWindow, at) && !d.stateDuring("", at-stableWindow, at)
}

// processDuring reports whether the process of an instance was disturbed, or had been stopped before.
func (d disturbances) processDuring(instance string, from, to int64) bool {
	stopped := false
	for _, p := range d.records.Processes {
		disturbs := slices.Contains([]medlarsoak.Happening{
			medlarsoak.Started, medlarsoak.Killed, medlarsoak.Ended, medlarsoak.Stopped, medlarsoak.GoesOn, medlarsoak.Died, medlarsoak.Exit,
		}, p.What)
		if !disturbs || "entry-"+p.Args[0] != instance || p.At > to {
			continue
		}
		if p.At >= from {
			return true
		}
		stopped = p.What == medlarsoak.Stopped
	}
	return stopped
}

// stateDuring reports whether the link of an instance, or the store for an empty one, had a fault.
func (d disturbances) stateDuring(instance string, from, to int64) bool {
	faulty := false
	for _, s := range d.records.States {
		if s.Instance != instance || s.At > to {
			continue
		}
		up := s.State == medlarsoak.StateUp
		if s.At >= from && (faulty || !up) {
			return true
		}
		faulty = !up
	}
	return faulty
}

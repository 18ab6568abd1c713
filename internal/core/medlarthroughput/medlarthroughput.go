// Package medlarthroughput estimates how long a run waits for an upstream of its target.
//
// Rules:
//
//	R1  Each target has its own rate: runs of one service do not wait for another one's
//	    upstreams.
//	R2  The rate is the number of waiting runs that started, divided by the time during
//	    which runs waited. Both decay, so that an instance that gets few requests of a target
//	    still has an estimate, and an old one loses weight.
//	R3  Runs that can no longer be in time start only as far as others leave room, and have
//	    a rate of their own.
//	R4  Until runs have waited for minBusy, nothing is known and the estimate is zero.
package medlarthroughput

import (
	"math"
	"time"

	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of the estimates.
const (
	memory     = 5 * time.Second        // time constant of the decay (R2)
	minBusy    = 300 * time.Millisecond // R4
	firstStart = 0.5                    // starts that are assumed before the first one is seen
	maxWait    = time.Hour              // bound of an estimate
)

// Estimator measures the rates of all targets. It is not safe for concurrent use.
type Estimator struct {
	targets    map[medlarupstream.Target]*rates
	measuredAt time.Time
}

// rates are the rates of a target: of all its runs, and of those that can no longer be in time.
type rates struct{ all, late rate }

// rate is a number of starts and the time in which they happened, both decayed (R2).
type rate struct {
	starts float64
	busy   float64 // seconds during which runs waited
	active bool    // runs have waited since the last measurement
}

// New returns an Estimator that knows no rates.
func New() *Estimator { return &Estimator{targets: map[medlarupstream.Target]*rates{}} }

// Measure adds the time since the last call for the targets that runs were waiting for, and notes
// those that runs wait for now.
func (e *Estimator) Measure(now time.Time, waiting []*medlarworld.Run) {
	elapsed := min(now.Sub(e.measuredAt), memory).Seconds()
	e.measuredAt = now
	for _, t := range e.targets {
		t.all.pass(elapsed)
		t.late.pass(elapsed)
	}
	for _, r := range waiting {
		t := e.target(r.Target())
		t.all.active = true
		t.late.active = t.late.active || r.Late
	}
}

// pass adds a time during which runs waited.
func (r *rate) pass(seconds float64) {
	if !r.active {
		return
	}
	kept := math.Exp(-seconds / memory.Seconds())
	r.starts, r.busy, r.active = r.starts*kept, r.busy*kept+seconds, false
}

func (e *Estimator) target(id medlarupstream.Target) *rates {
	t := e.targets[id]
	if t == nil {
		t = &rates{}
		e.targets[id] = t
	}
	return t
}

// Started records that a run left the queue for an upstream.
func (e *Estimator) Started(r *medlarworld.Run) {
	t := e.targets[r.Target()]
	if t == nil {
		return
	}
	t.all.start()
	if r.Late {
		t.late.start()
	}
}

// start counts a start if runs were waiting. Others say nothing about how long runs wait.
func (r *rate) start() {
	if r.active {
		r.starts++
	}
}

// Wait returns how long a run of a target waits behind others.
func (e *Estimator) Wait(id medlarupstream.Target, ahead int) time.Duration {
	t := e.targets[id]
	if t == nil {
		return 0
	}
	return t.all.wait(ahead)
}

// LateWait returns how long a run that can no longer be in time waits behind others like it (R3).
func (e *Estimator) LateWait(id medlarupstream.Target, ahead int) time.Duration {
	t := e.targets[id]
	if t == nil {
		return 0
	}
	return t.late.wait(ahead)
}

func (r *rate) wait(ahead int) time.Duration {
	if ahead == 0 || r.busy < minBusy.Seconds() {
		return 0
	}
	seconds := float64(ahead) * r.busy / max(r.starts, firstStart)
	return min(time.Duration(seconds*float64(time.Second)), maxWait)
}

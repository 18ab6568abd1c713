// Package medlarpace determines how a fake replica treats its requests: how long they take, which of them get a fault,
// and when the replica stands still.
package medlarpace

import (
	"slices"
	"sync"
	"time"
)

// Pace is that of a replica. It is safe for concurrent use; the zero value is the usual pace.
type Pace struct {
	mu    sync.Mutex
	work  time.Duration // in place of the usual one; 0 for that
	still time.Time     // until when the replica neither reads nor answers
	fault string        // of each request whose number is a multiple of every
	every int           // 0 for no fault
	seen  int           // requests since fault was set
	armed []string      // faults of the next requests
}

// Arm gives the next n requests a fault.
func (p *Pace) Arm(fault string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = append(p.armed, slices.Repeat([]string{fault}, n)...)
}

// SetWork sets the duration of a request; 0 for the usual one.
func (p *Pace) SetWork(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work = d
}

// Stall makes the replica stand still for a time, as a process that is stopped: requests wait in its connections.
func (p *Pace) Stall(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.still = time.Now().Add(d)
}

// SetFault gives each n-th request a fault; none for 0. Faults that are armed go first.
func (p *Pace) SetFault(fault string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.every, p.seen = fault, n, 0
}

// Reset returns to the usual pace, without faults.
func (p *Pace) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work, p.still, p.armed = 0, time.Time{}, nil
	p.fault, p.every, p.seen = "", 0, 0
}

// Next returns the fault of the next request; empty for none.
func (p *Pace) Next() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.armed) > 0 {
		f := p.armed[0]
		p.armed = p.armed[1:]
		return f
	}
	if p.every == 0 {
		return ""
	}
	if p.seen++; p.seen%p.every != 0 {
		return ""
	}
	return p.fault
}

// Wait returns when the replica does not stand still.
func (p *Pace) Wait() {
	for {
		p.mu.Lock()
		left := time.Until(p.still)
		p.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// Work lets the duration of a request pass, which is usual unless another one is set.
func (p *Pace) Work(usual time.Duration) {
	p.mu.Lock()
	d := p.work
	p.mu.Unlock()
	if d == 0 {
		d = usual
	}
	time.Sleep(d)
	p.Wait()
}

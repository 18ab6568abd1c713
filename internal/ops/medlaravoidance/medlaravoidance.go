// Package medlaravoidance remembers which replicas have stated that they leave, or want no requests for a time.
//
// Rules:
//
//	R1  A statement holds for the start of the replica that made it.
//	R2  It is remembered for a time after the replica's entry has gone, since the entry may come back.
package medlaravoidance

import (
	"maps"
	"sync"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
)

// memory is how long statements of replicas are remembered that are no longer listed (R2): longer than any pause, and than
// a replica that leaves runs on.
const memory = 10 * time.Minute

// Table holds what replicas have stated. It is safe for concurrent use.
type Table struct {
	exists func(medlarid.InstanceID) bool // reports whether a replica is listed

	mu       sync.Mutex
	replicas map[medlarid.InstanceID]statement
}

// statement is why a replica is sent nothing.
type statement struct {
	incarnation medlarid.Incarnation
	leaving     bool
	until       time.Time // of a pause
	at          time.Time // when the replica stated it last
}

// New returns an empty table. exists reports whether a replica is listed.
func New(exists func(medlarid.InstanceID) bool) *Table {
	return &Table{exists: exists, replicas: map[medlarid.InstanceID]statement{}}
}

// Add records what a replica has stated.
func (t *Table) Add(c medlarworld.Avoided) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(t.replicas, func(id medlarid.InstanceID, s statement) bool {
		return now.Sub(s.at) > memory && !t.exists(id)
	})
	s := t.replicas[c.Upstream]
	switch {
	case c.Incarnation < s.incarnation:
		return // of an earlier start
	case c.Incarnation > s.incarnation:
		s = statement{incarnation: c.Incarnation}
	}
	s.leaving, s.at = s.leaving || c.Leaving, now
	if c.Until.After(s.until) { // statements may arrive out of order
		s.until = c.Until
	}
	t.replicas[c.Upstream] = s
}

// Avoids reports whether a replica is sent nothing because of what it stated.
func (t *Table) Avoids(id medlarid.InstanceID, incarnation medlarid.Incarnation) bool {
	s := t.get(id, incarnation)
	return s.leaving || time.Now().Before(s.until)
}

// Paused reports whether a replica wants no requests at present.
func (t *Table) Paused(id medlarid.InstanceID, incarnation medlarid.Incarnation) bool {
	return time.Now().Before(t.get(id, incarnation).until)
}

// get returns what a replica has stated in a start (R1).
func (t *Table) get(id medlarid.InstanceID, incarnation medlarid.Incarnation) statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.replicas[id]; s.incarnation == incarnation {
		return s
	}
	return statement{}
}

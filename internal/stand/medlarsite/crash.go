package medlarsite

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"medlarfield/internal/stand/medlarfakereplica"
)

// missedHeartbeats is the number of heartbeats after which the entry of a replica expires.
const missedHeartbeats = 3

// Crash is the crash of a replica.
type Crash struct {
	At      time.Time
	Replica string
}

// crasher decides which requests crash replicas, and records what they did.
type crasher struct {
	mu       sync.Mutex
	decide   func(medlarfakereplica.Run) medlarfakereplica.CrashPoint // nil for no request
	arrivals []time.Time                                              // of requests that crash a replica
	crashes  []Crash
}

// point returns where a request crashes a replica. It is called for each request that arrives at
// a replica.
func (c *crasher) point(r medlarfakereplica.Run) medlarfakereplica.CrashPoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.decide == nil {
		return medlarfakereplica.CrashNowhere
	}
	at := c.decide(r)
	if at != medlarfakereplica.CrashNowhere {
		c.arrivals = append(c.arrivals, time.Now())
	}
	return at
}

// CrashOn makes the replicas of the engine crash as they begin to answer a prompt with one of
// these parts, wherever it stands but at the end.
func (s *Site) CrashOn(parts ...string) { s.CrashOnAt(medlarfakereplica.CrashBegun, parts...) }

// CrashOnAt makes the replicas of the engine crash at a point of their answer to a prompt with one of these parts,
// wherever it stands but at the end.
func (s *Site) CrashOnAt(at medlarfakereplica.CrashPoint, parts ...string) {
	s.CrashOnRequest(func(r medlarfakereplica.Run) medlarfakereplica.CrashPoint {
		shared := r.Parts[:max(len(r.Parts)-1, 0)]
		if slices.ContainsFunc(shared, func(p string) bool { return slices.Contains(parts, p) }) {
			return at
		}
		return medlarfakereplica.CrashNowhere
	})
}

// CrashOnRequest makes replicas crash where decide returns so for a request that they run.
func (s *Site) CrashOnRequest(decide func(medlarfakereplica.Run) medlarfakereplica.CrashPoint) {
	s.crasher.mu.Lock()
	defer s.crasher.mu.Unlock()
	s.crasher.decide = decide
}

// Crashes returns the crashes of replicas so far.
func (s *Site) Crashes() []Crash {
	s.crasher.mu.Lock()
	defer s.crasher.mu.Unlock()
	return slices.Clone(s.crasher.crashes)
}

// ArrivalsSince returns how many requests that crash replicas have reached replicas since a time.
func (s *Site) ArrivalsSince(since time.Time) int {
	s.crasher.mu.Lock()
	defer s.crasher.mu.Unlock()
	n := 0
	for _, at := range s.crasher.arrivals {
		if !at.Before(since) {
			n++
		}
	}
	return n
}

// BeBrittle makes all replicas brittle, those that start later too: see medlarfakereplica.Replica.BeBrittle.
func (s *Site) BeBrittle(most, slots int) {
	s.mu.Lock()
	s.brittleMost, s.brittleSlots = most, slots
	s.mu.Unlock()
	for _, r := range s.Replicas() {
		r.BeBrittle(most, slots)
	}
}

// replace records the crash of a replica, lets its entry expire, and starts its successor, both
// after a while.
func (s *Site) replace(r *medlarfakereplica.Replica) {
	s.crasher.mu.Lock()
	s.crasher.crashes = append(s.crasher.crashes, Crash{At: time.Now(), Replica: r.Settings.ID})
	number := len(s.crasher.crashes)
	s.crasher.mu.Unlock()
	list := &s.Engines
	if r.Settings.Model == "" {
		list = &s.Plain
	}
	s.mu.Lock()
	*list = without(*list, r)
	s.mu.Unlock()
	s.after(missedHeartbeats*s.settings.HeartbeatInterval, func() {
		if !s.listed(r.Settings.ID) && !s.settings.StaleEntries {
			s.Store.Put(topicRep, r.Settings.ID, nil)
		}
	})
	if s.settings.RestartDelay == 0 {
		return
	}
	s.after(s.settings.RestartDelay, func() {
		next := r.Settings
		next.Build = cmp.Or(s.settings.NextBuild, next.Build)
		next.ColdTime = s.settings.ColdTime
		switch {
		case s.settings.StaleEntries:
			next.Listen = r.Address()
		case s.settings.KeepID:
			next.Born++
		default:
			next.Born++
			next.ID = fmt.Sprintf("%s-c%d", next.Service, number)
		}
		_ = s.addReplica(list, next) // without a port the site has one replica less
	})
}

// without returns a list of replicas without one.
func without(list []*medlarfakereplica.Replica, r *medlarfakereplica.Replica) []*medlarfakereplica.Replica {
	return slices.DeleteFunc(list, func(e *medlarfakereplica.Replica) bool { return e == r })
}

// listed reports whether a replica with an id runs.
func (s *Site) listed(id string) bool {
	return slices.ContainsFunc(s.Replicas(), func(r *medlarfakereplica.Replica) bool { return r.Settings.ID == id })
}

// after runs f after a delay, unless the site closes before.
func (s *Site) after(d time.Duration, f func()) {
	s.wg.Go(func() {
		select {
		case <-s.stop:
		case <-time.After(d):
			f()
		}
	})
}

package medlarsite

import (
	"fmt"
	"slices"
	"time"

	"medlarfield/internal/stand/medlarfakereplica"
)

// drainTime is the time for which a replica that leaves keeps serving.
const drainTime = 1200 * time.Millisecond

// Release replaces n replicas of the engine by ones of another software version, one at each
// interval: the new one starts, and one of an older version leaves and ends a while later.
func (s *Site) Release(build string, n int, interval time.Duration) {
	for i := range n {
		s.after(time.Duration(i)*interval, func() {
			old := s.oldReplica(build)
			if old == nil {
				return
			}
			next := old.Settings
			next.ID, next.Build = fmt.Sprintf("engine-%s-%d", build, i), build
			_ = s.addReplica(&s.Engines, next) // without a port the site has one replica less
			old.Leave()
			s.after(drainTime, func() { s.retire(old) })
		})
	}
}

// EngineReplicas returns the replicas of the engine.
func (s *Site) EngineReplicas() []*medlarfakereplica.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.Engines)
}

// oldReplica returns a replica of the engine that is of another software version than build and
// does not leave; nil if there is none.
func (s *Site) oldReplica(build string) *medlarfakereplica.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.Engines {
		if r.Settings.Build != build && !r.Leaving() {
			return r
		}
	}
	return nil
}

// retire removes a replica of the engine and ends it.
func (s *Site) retire(r *medlarfakereplica.Replica) {
	s.Remove(r)
	s.mu.Lock()
	s.Engines = without(s.Engines, r)
	s.mu.Unlock()
	r.Kill()
}

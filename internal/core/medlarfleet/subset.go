package medlarfleet

import (
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarsubset"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of the subsets of services' replicas (R6).
const (
	// maxFullFleet is the largest number of instances that use all replicas: each has enough requests to keep its
	// connections in use, and knows the load that each other one puts on replicas.
	maxFullFleet = 64
	// subsetInterval is the time between two updates of the subsets. An update takes milliseconds, and the instances of
	// a fleet that starts become known one by one.
	subsetInterval = time.Second
	rateGain1s     = 0.1 // weight of the last second in the moving mean of the rate
)

// subsets are the subsets of services' replicas that this instance usually sends to.
type subsets struct {
	services  map[medlarid.ServiceID]*subset
	instances []medlarid.InstanceID
	at        time.Time // of the last update
}

// subset is the subset of one service's replicas.
type subset struct {
	arrivals int     // requests since the last update
	rate     float64 // requests per second
	size     int
	replicas []medlarid.InstanceID // those that it was chosen from
	chosen   []medlarid.InstanceID
}

func newSubsets() subsets { return subsets{services: map[medlarid.ServiceID]*subset{}} }

// count counts a request to a service.
func (s *subsets) count(service medlarid.ServiceID) {
	if service == "" {
		return
	}
	if s.services[service] == nil {
		s.services[service] = &subset{}
	}
	s.services[service].arrivals++
}

// update chooses the subsets anew if what they depend on has changed.
func (s *subsets) update(w *medlarworld.World) {
	passed := w.Now.Sub(s.at)
	if passed < subsetInterval {
		return
	}
	first := s.at.IsZero()
	s.at = w.Now
	large := len(w.Others)+1 > maxFullFleet
	instances := slices.Concat(w.Others, []medlarid.InstanceID{w.Config.Self})
	slices.Sort(instances)
	moved := !slices.Equal(instances, s.instances)
	s.instances = instances
	for service, sub := range s.services {
		if len(w.Services[service]) == 0 {
			delete(s.services, service)
			continue
		}
		if !first {
			sub.observe(passed)
		}
		sub.update(w, service, instances, large, moved)
	}
}

// observe updates the rate by the requests since the last update.
func (s *subset) observe(passed time.Duration) {
	// An update may come late; a longer time weighs more.
	gain := min(rateGain1s*passed.Seconds(), 1)
	s.rate += gain * (float64(s.arrivals)/passed.Seconds() - s.rate)
	s.arrivals = 0
}

// update chooses a service's subset anew if what it depends on has changed, and marks the replicas outside it.
func (s *subset) update(w *medlarworld.World, service medlarid.ServiceID, instances []medlarid.InstanceID, large, moved bool) {
	upstreams := w.Services[service]
	if !large {
		s.size, s.replicas, s.chosen = 0, nil, nil
		for _, u := range upstreams {
			u.Far = false
		}
		return
	}
	replicas := make([]medlarid.InstanceID, 0, len(upstreams))
	for _, u := range upstreams {
		if !u.Leaving && !u.Delisted {
			replicas = append(replicas, u.ID)
		}
	}
	size := medlarsubset.Size(s.rate, len(replicas), s.size)
	if size != s.size || moved || !slices.Equal(replicas, s.replicas) {
		s.size, s.replicas = size, replicas
		s.chosen = medlarsubset.Choose(w.Config.Self, instances, replicas, size)
	}
	for _, u := range upstreams { // one that was listed anew has lost its mark
		u.Far = !slices.Contains(s.chosen, u.ID)
	}
}

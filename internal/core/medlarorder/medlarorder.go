// Package medlarorder plans which replicas are to load which weight version.
//
// Rules:
//
//	R1  An order is absolute: model and version wanted. A replica that has them,
//	    or is loading, gets none.
//	R2  At most a given number of replicas load at the same time.
//	R3  A model's last serving replica is never taken, and at least half of its
//	    replicas go on serving.
//	R4  Models with more demand for each serving replica come first; of a model's
//	    replicas those with the least load come first, or, for a planner in fixed
//	    order, those with the lowest id. Who knows the replicas then knows which
//	    ones come next.
//	R5  A replica that gets an order gets the next one only after a pause, so that
//	    one which loads something else is not ordered about without end.
package medlarorder

import (
	"cmp"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
)

// Parameters of orders.
const (
	// DefaultMaxLoads is the number of rule R2 where loads share a slow source.
	DefaultMaxLoads = 2

	// swapShare and swapPause are the share of a model's replicas that change weights at
	// the same time, and the pause of rule R5, where they do so fast.
	swapShare = 1.0 / 3
	swapPause = 600 * time.Millisecond

	// DefaultMinInterval is the pause of rule R5 where a load takes seconds.
	DefaultMinInterval = 5 * time.Second
)

// Replica is what is known of a replica.
type Replica struct {
	ID       medlarid.InstanceID
	Model    medlarid.ModelID
	Version  medlarid.WeightVersion
	Loading  bool
	Leaving  bool
	Deferred bool // serves on, and is not to be ordered yet
	Load     int  // runs computed and waiting
}

// Order tells a replica to load a version.
type Order struct {
	Replica medlarid.InstanceID
	Model   medlarid.ModelID
	Version medlarid.WeightVersion
}

// Planner plans orders. It is not safe for concurrent use.
type Planner struct {
	options Options
	ordered map[medlarid.InstanceID]time.Time
}

// Options vary how a planner orders.
type Options struct {
	MinInterval  time.Duration // between two orders to a replica
	MaxLoads     int           // at the same time
	MaxLoadShare float64       // of all replicas that may load at the same time, if that is more
	SortByID     bool          // in the order of ids, whatever the load
}

// DefaultOptions returns the options of a deployment whose loads take seconds.
func DefaultOptions() Options {
	return Options{MinInterval: DefaultMinInterval, MaxLoads: DefaultMaxLoads}
}

// FastSwapOptions returns the options of a deployment whose replicas change weights fast. Who
// gives orders and who routes requests both know by them which replicas come next.
func FastSwapOptions() Options {
	return Options{MinInterval: swapPause, MaxLoads: DefaultMaxLoads, MaxLoadShare: swapShare, SortByID: true}
}

// New returns a planner that has given no orders.
func New(o Options) *Planner {
	return &Planner{options: o, ordered: map[medlarid.InstanceID]time.Time{}}
}

// group is the replicas of one model.
type group struct {
	model   medlarid.ModelID
	wanted  medlarid.WeightVersion
	total   int // serving and loading
	serving int
	load    int
	stale   []Replica // not loading and under another version
}

// Plan returns the orders to give now.
func (p *Planner) Plan(now time.Time, replicas []Replica, wanted map[medlarid.ModelID]medlarid.WeightVersion) []Order {
	loading := 0
	for _, r := range replicas {
		if r.Loading || now.Sub(p.ordered[r.ID]) < p.options.MinInterval { // just ordered: it may not tell yet
			loading++
		}
	}
	loads := MaxConcurrentLoads(p.options, len(replicas))
	var out []Order
	for _, g := range groups(replicas, wanted, p.options.SortByID) {
		for _, r := range g.stale {
			if loading >= loads || !g.mayTake() { // R2, R3
				break
			}
			if now.Sub(p.ordered[r.ID]) < p.options.MinInterval {
				continue // R5
			}
			p.ordered[r.ID] = now
			g.serving--
			loading++
			out = append(out, Order{Replica: r.ID, Model: g.model, Version: g.wanted})
		}
	}
	return out
}

// MaxConcurrentLoads returns how many of n replicas may load at the same time (R2).
func MaxConcurrentLoads(o Options, n int) int { return max(o.MaxLoads, int(o.MaxLoadShare*float64(n))) }

// mayTake reports whether a serving replica may stop to serve (R3).
func (g *group) mayTake() bool {
	left := g.serving - 1
	return left >= 1 && 2*left >= g.total
}

// groups returns the models with stale replicas, in the order of rule R4.
func groups(replicas []Replica, wanted map[medlarid.ModelID]medlarid.WeightVersion, fixed bool) []*group {
	byModel := map[medlarid.ModelID]*group{}
	for _, r := range replicas {
		v, ok := wanted[r.Model]
		if !ok || r.Leaving {
			continue
		}
		g := byModel[r.Model]
		if g == nil {
			g = &group{model: r.Model, wanted: v}
			byModel[r.Model] = g
		}
		g.total++
		g.load += r.Load
		if r.Loading {
			continue
		}
		g.serving++
		if r.Version != v && !r.Deferred {
			g.stale = append(g.stale, r)
		}
	}
	var out []*group
	for _, g := range byModel {
		if len(g.stale) > 0 {
			slices.SortFunc(g.stale, func(a, b Replica) int {
				if fixed {
					return cmp.Compare(a.ID, b.ID)
				}
				return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
			})
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b *group) int {
		return cmp.Or(cmp.Compare(b.load*max(a.serving, 1), a.load*max(b.serving, 1)), cmp.Compare(a.model, b.model))
	})
	return out
}

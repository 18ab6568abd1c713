// Package medlarorder plans which replicas load which weight version.
//
// Rules:
//
//	R1  An order is absolute: it names the desired model and version. A replica that
//	    already has them, or is loading, gets none.
//	R2  At most a given number of replicas load at the same time.
//	R3  A model's last serving replica is never taken out of service, and at least half
//	    of the model's replicas keep serving.
//	R4  Models with more load per serving replica are first. Among a model's replicas,
//	    those with the least load are first, or those with the lowest ID if the
//	    planner sorts by ID: then everyone that knows the replicas also knows which
//	    ones are next.
//	R5  A replica that got an order gets another one only after a minimum interval, so
//	    that a replica that loads something else is not sent orders endlessly.
package medlarorder

import (
	"cmp"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
)

const (
	// DefaultMaxLoads is the limit of R2 where loads share a slow source.
	DefaultMaxLoads = 2

	// fastSwapShare and fastSwapInterval are the share of a model's replicas that swap
	// weights at the same time, and the interval of R5, where swaps are fast.
	fastSwapShare    = 1.0 / 3
	fastSwapInterval = 600 * time.Millisecond

	// DefaultMinInterval is the interval of R5 where a load takes seconds.
	DefaultMinInterval = 5 * time.Second
)

// Replica is what is known of a replica.
type Replica struct {
	ID       medlarid.InstanceID
	Model    medlarid.ModelID
	Version  medlarid.WeightVersion
	Loading  bool
	Leaving  bool
	Deferred bool // keeps serving and gets no order yet
	Load     int  // runs computed and waiting
}

// Order makes a replica load a weight version.
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

// Options configure a planner.
type Options struct {
	MinInterval  time.Duration // between two orders to a replica
	MaxLoads     int           // replicas that may load at the same time
	MaxLoadShare float64       // share of all replicas that may load at the same time, if that is more than MaxLoads
	SortByID     bool          // order replicas by ID instead of by load
}

// DefaultOptions returns the options for deployments where a load takes seconds.
func DefaultOptions() Options {
	return Options{MinInterval: DefaultMinInterval, MaxLoads: DefaultMaxLoads}
}

// FastSwapOptions returns the options for deployments whose replicas swap weights fast.
// The instance that gives orders and those that route requests both use them to tell
// which replicas are next.
func FastSwapOptions() Options {
	return Options{MinInterval: fastSwapInterval, MaxLoads: DefaultMaxLoads, MaxLoadShare: fastSwapShare, SortByID: true}
}

// New returns a planner that has given no orders.
func New(o Options) *Planner {
	return &Planner{options: o, ordered: map[medlarid.InstanceID]time.Time{}}
}

// group is the replicas of one model.
type group struct {
	model   medlarid.ModelID
	desired medlarid.WeightVersion
	total   int // serving and loading
	serving int
	load    int
	stale   []Replica // serving another version, not loading and not deferred
}

// Plan returns the orders to give now.
func (p *Planner) Plan(now time.Time, replicas []Replica, desired map[medlarid.ModelID]medlarid.WeightVersion) []Order {
	loading := 0
	for _, r := range replicas {
		if r.Loading || now.Sub(p.ordered[r.ID]) < p.options.MinInterval { // a replica that was just ordered may not report it yet
			loading++
		}
	}
	maxLoads := MaxConcurrentLoads(p.options, len(replicas))
	var out []Order
	for _, g := range groups(replicas, desired, p.options.SortByID) {
		for _, r := range g.stale {
			if loading >= maxLoads || !g.canSpare() { // R2, R3
				break
			}
			if now.Sub(p.ordered[r.ID]) < p.options.MinInterval {
				continue // R5
			}
			p.ordered[r.ID] = now
			g.serving--
			loading++
			out = append(out, Order{Replica: r.ID, Model: g.model, Version: g.desired})
		}
	}
	return out
}

// MaxConcurrentLoads returns how many of n replicas may load at the same time (R2).
func MaxConcurrentLoads(o Options, n int) int { return max(o.MaxLoads, int(o.MaxLoadShare*float64(n))) }

// canSpare reports whether one of the serving replicas may stop serving (R3).
func (g *group) canSpare() bool {
	left := g.serving - 1
	return left >= 1 && 2*left >= g.total
}

// groups returns the models with stale replicas, in the order of R4.
func groups(replicas []Replica, desired map[medlarid.ModelID]medlarid.WeightVersion, byID bool) []*group {
	byModel := map[medlarid.ModelID]*group{}
	for _, r := range replicas {
		v, ok := desired[r.Model]
		if !ok || r.Leaving {
			continue
		}
		g := byModel[r.Model]
		if g == nil {
			g = &group{model: r.Model, desired: v}
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
				if byID {
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

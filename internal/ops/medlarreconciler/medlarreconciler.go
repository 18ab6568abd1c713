// Package medlarreconciler orders engines to load weight versions: the instance
// that holds the lease compares the versions that engines have loaded with those
// that the lists want, and orders a load for each difference.
//
// Rules:
//
//	R1  Orders are given only while the lease is held, and carry its fencing token.
//	R2  Engine status is read before each order and again in the next round, so an
//	    order that was lost, delayed or executed wrongly is detected and given
//	    again.
//	R3  A holder that was paused may give an order after its lease expired. Engines
//	    that check the fencing token refuse it. Others load the version that was
//	    desired earlier, refuse runs under the version that is desired now, and get
//	    a new order from the next holder: the cost is one replica's capacity for the
//	    time of two loads.
//	R4  A weight version that the weight store does not have is not ordered.
package medlarreconciler

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarorder"
	"medlarfield/internal/ops/medlarpoller"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarweight"
)

// LeaseName names the lease whose holder gives the orders.
const LeaseName = "loads"

// Timing and concurrency of reconciliation.
const (
	reconcileInterval  = time.Second
	maxConcurrentReads = 16 // status calls to engines
	catalogTTL         = 10 * time.Second
)

// DesiredVersions maps each model to its desired weight version, as the lists set it.
type DesiredVersions map[medlarid.ModelID]medlarid.WeightVersion

// Deps are the parts of the instance that the reconciler uses.
type Deps struct {
	// LeaseFence returns the fencing token while the instance holds the lease.
	LeaseFence      func() (fence medlarid.Offset, ok bool)
	DesiredVersions func() DesiredVersions
	Engines         func() []medlarpoller.Engine
	EngineClient    *medlarengine.Client
	WeightClient    *medlarweight.Client
	// OnOrder is called after each order, with the error if it failed.
	OnOrder func(medlarorder.Order, error)
	// OnFailure is called with the part of the platform that a call failed to.
	OnFailure func(part string)
}

// Reconciler orders loads of weight versions. Only one goroutine may run it.
type Reconciler struct {
	deps          Deps
	planner       *medlarorder.Planner
	catalog       medlarweight.Catalog
	catalogReadAt time.Time
}

// New returns a reconciler.
func New(deps Deps) *Reconciler {
	return &Reconciler{deps: deps, planner: medlarorder.New(medlarorder.DefaultOptions())}
}

// Run reconciles at each interval until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.reconcile()
		}
	}
}

// reconcile compares loaded with desired versions and gives orders once (R1, R2).
func (r *Reconciler) reconcile() {
	if _, ok := r.deps.LeaseFence(); !ok {
		return
	}
	replicas, addresses := r.readReplicas()
	desired := r.available(r.deps.DesiredVersions())
	for _, o := range r.planner.Plan(time.Now(), replicas, desired) {
		fence, ok := r.deps.LeaseFence()
		if !ok {
			return
		}
		order := medlarengine.Order{FencingToken: uint64(fence), Model: o.Model, Version: o.Version}
		r.deps.OnOrder(o, r.deps.EngineClient.SendOrder(addresses[o.Replica], order))
	}
}

// available returns the desired versions that the weight store has (R4). It returns
// none, so that nothing is ordered, while the store does not answer.
func (r *Reconciler) available(desired DesiredVersions) DesiredVersions {
	if time.Since(r.catalogReadAt) > catalogTTL {
		catalog, err := r.deps.WeightClient.List()
		if err != nil {
			r.deps.OnFailure("weights")
			return nil
		}
		r.catalog, r.catalogReadAt = catalog, time.Now()
	}
	out := DesiredVersions{}
	for m, v := range desired {
		if r.catalog.Has(m, v) {
			out[m] = v
		}
	}
	return out
}

// readReplicas reads the status of all engines and returns the replicas that answered,
// with the addresses of all.
func (r *Reconciler) readReplicas() ([]medlarorder.Replica, map[medlarid.InstanceID]medlarid.Address) {
	engines := r.deps.Engines()
	addresses := make(map[medlarid.InstanceID]medlarid.Address, len(engines))
	var mu sync.Mutex
	var replicas []medlarorder.Replica
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReads)
	for _, e := range engines {
		addresses[e.ID] = e.Address
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			load, err := r.deps.EngineClient.Status(e.Address)
			if err != nil {
				r.deps.OnFailure("engine")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replicas = append(replicas, replicaOf(e.ID, load))
		})
	}
	wg.Wait()
	slices.SortFunc(replicas, func(a, b medlarorder.Replica) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return replicas, addresses
}

func replicaOf(id medlarid.InstanceID, load medlarengine.Load) medlarorder.Replica {
	return medlarorder.Replica{
		ID:      id,
		Model:   load.Model,
		Version: load.Version,
		Loading: load.Loading,
		Leaving: load.Leaving,
		Load:    load.Running + load.Queued,
	}
}

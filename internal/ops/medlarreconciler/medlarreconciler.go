// Package medlarreconciler carries out the duty of ordering weight versions: the
// instance that holds its lease compares what engines have loaded with what the
// lists want, and orders what differs.
//
// Rules:
//
//	R1  Orders are given only while the lease is held, with its fencing number.
//	R2  Engines are read before each order, and again in the next round: an order
//	    that was lost, late or carried out wrongly shows there and is given again.
//	R3  A holder that was paused may give a late order. Engines that check the
//	    number refuse it. Others load what was wanted earlier, refuse runs under
//	    the version that is wanted now, and are ordered anew by the next holder:
//	    the harm is a replica's capacity for two loads.
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
	"medlarfield/internal/ops/medlarwatch"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarweight"
)

// LeaseName is the name of the lease.
const LeaseName = "loads"

// Times of the rounds.
const (
	interval     = time.Second
	readers      = 16 // engines read at the same time
	catalogValid = 10 * time.Second
)

// WantedVersions maps each model to the weight version that the lists want.
type WantedVersions map[medlarid.ModelID]medlarid.WeightVersion

// Deps are what the duty uses of its instance.
type Deps struct {
	LeaseFence     func() (fence medlarid.Offset, ok bool)
	WantedVersions func() WantedVersions
	Engines        func() []medlarwatch.Engine
	EngineClient   *medlarengine.Client
	WeightClient   *medlarweight.Client
	// OnOrder is told of each order and its failure, if any.
	OnOrder   func(medlarorder.Order, error)
	OnFailure func(part string)
}

// Reconciler carries out the duty. One goroutine runs it.
type Reconciler struct {
	seams   Deps
	planner *medlarorder.Planner
	catalog medlarweight.Catalog
	read    time.Time // of the catalog
}

// New returns a reconciler.
func New(s Deps) *Reconciler {
	return &Reconciler{seams: s, planner: medlarorder.New(medlarorder.DefaultOptions())}
}

// Run works until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.round()
		}
	}
}

// round compares and orders once (R1, R2).
func (r *Reconciler) round() {
	if _, ok := r.seams.LeaseFence(); !ok {
		return
	}
	replicas, at := r.readAll()
	wanted := r.available(r.seams.WantedVersions())
	for _, o := range r.planner.Plan(time.Now(), replicas, wanted) {
		fence, ok := r.seams.LeaseFence()
		if !ok {
			return
		}
		order := medlarengine.Order{Fence: uint64(fence), Model: o.Model, Version: o.Version}
		r.seams.OnOrder(o, r.seams.EngineClient.Give(at[o.Replica], order))
	}
}

// available leaves out what the weight store does not have (R4). While the store
// does not answer, nothing is ordered.
func (r *Reconciler) available(wanted WantedVersions) WantedVersions {
	if time.Since(r.read) > catalogValid {
		c, err := r.seams.WeightClient.List()
		if err != nil {
			r.seams.OnFailure("weights")
			return nil
		}
		r.catalog, r.read = c, time.Now()
	}
	out := WantedVersions{}
	for m, v := range wanted {
		if r.catalog.Has(m, v) {
			out[m] = v
		}
	}
	return out
}

// readAll reads the status of all engines. Those that do not answer are left out.
func (r *Reconciler) readAll() ([]medlarorder.Replica, map[medlarid.InstanceID]medlarid.Address) {
	engines := r.seams.Engines()
	at := make(map[medlarid.InstanceID]medlarid.Address, len(engines))
	var mu sync.Mutex
	var out []medlarorder.Replica
	var wg sync.WaitGroup
	slots := make(chan struct{}, readers)
	for _, e := range engines {
		at[e.ID] = e.Address
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			l, err := r.seams.EngineClient.Status(e.Address)
			if err != nil {
				r.seams.OnFailure("engine")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, replicaOf(e.ID, l))
		})
	}
	wg.Wait()
	slices.SortFunc(out, func(a, b medlarorder.Replica) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out, at
}

func replicaOf(id medlarid.InstanceID, l medlarengine.Load) medlarorder.Replica {
	return medlarorder.Replica{
		ID:      id,
		Model:   l.Model,
		Version: l.Version,
		Loading: l.Loading,
		Leaving: l.Leaving,
		Load:    l.Running + l.Queued,
	}
}

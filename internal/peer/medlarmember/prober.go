package medlarmember

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
	"medlarfield/internal/peer/medlarmessage"
)

// Times of probing.
const (
	probeInterval = 1500 * time.Millisecond
	busyInterval  = probeInterval / 4 // while members are suspected
	probeTimeout  = 400 * time.Millisecond
	reachTimeout  = time.Second
	reachPeers    = 3
	deadEvery     = 5 // probes between two looks for a dead member
)

// CallFunc calls a peer.
type CallFunc func(context.Context, medlarid.InstanceID, *medlarmessage.Frame) (*medlarmessage.Reply, error)

// Prober probes neighbors and answers probes. It is safe for concurrent use.
type Prober struct {
	call    CallFunc
	changed func() // called when a member's state may have changed

	mu    sync.Mutex
	table *Table
}

// NewProber returns a prober for an instance. changed may be nil.
func NewProber(self medlarid.InstanceID, call CallFunc, changed func()) *Prober {
	if changed == nil {
		changed = func() {}
	}
	return &Prober{call: call, changed: changed, table: NewTable(self, uint64(time.Now().UnixNano()))}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	interval := probeInterval
	for round := 1; medlarpause.For(ctx, interval/2+rand.N(interval)); round++ {
		interval = probeInterval
		if p.round(ctx, round%deadEvery == 0) {
			interval = busyInterval
		}
	}
}

// round probes one neighbor, or all and the suspected members while there are any,
// and a dead member if asked. It reports whether members are suspected.
func (p *Prober) round(ctx context.Context, dead bool) (busy bool) {
	p.mu.Lock()
	p.table.ExpireSuspects(time.Now())
	target, ok := p.table.ProbeTarget()
	targets := p.table.SuspectTargets()
	if len(targets) > 0 { // many may have been lost at once
		targets = append(targets, p.table.Neighbors()...)
	}
	lost, lostOK := p.table.DeadTarget()
	p.mu.Unlock()
	var wg sync.WaitGroup
	if ok {
		wg.Go(func() { p.check(ctx, target) })
	}
	slices.Sort(targets)
	for _, id := range slices.Compact(targets) {
		if id != target {
			wg.Go(func() { p.check(ctx, id) })
		}
	}
	if dead && lostOK {
		wg.Go(func() { p.probe(ctx, lost) })
	}
	wg.Wait()
	p.changed()
	p.with(func(t *Table) { busy = len(t.SuspectTargets()) > 0 })
	return busy
}

// check probes a member, and through others if it does not answer.
func (p *Prober) check(ctx context.Context, id medlarid.InstanceID) {
	if !p.probe(ctx, id) && !p.reach(ctx, id) && ctx.Err() == nil {
		p.with(func(t *Table) { t.RecordFailure(time.Now(), id) })
	}
}

func (p *Prober) with(f func(*Table)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.table)
}

// probe sends a heartbeat and reports whether it was answered.
func (p *Prober) probe(ctx context.Context, id medlarid.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var rumors []*medlarmessage.Rumor
	p.with(func(t *Table) { rumors = t.RumorsFor(id) })
	frame := &medlarmessage.Frame{Body: &medlarmessage.Frame_Probe{Probe: &medlarmessage.Probe{Rumors: rumors}}}
	r, err := p.call(ctx, id, frame)
	if err != nil {
		p.with(func(t *Table) { t.RestoreRumors(rumors) })
		return false
	}
	p.with(func(t *Table) {
		t.RecordAnswer(time.Now(), id)
		t.ApplyRumors(time.Now(), r.GetProbe().GetRumors())
	})
	return true
}

// reach asks other neighbors to probe a member (R3).
func (p *Prober) reach(ctx context.Context, id medlarid.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	var others []medlarid.InstanceID
	p.with(func(t *Table) {
		for _, n := range t.Neighbors() {
			if n != id && len(others) < reachPeers {
				others = append(others, n)
			}
		}
	})
	answers := make(chan bool, len(others))
	for _, o := range others {
		go func() {
			r, err := p.call(ctx, o, &medlarmessage.Frame{Body: &medlarmessage.Frame_Reach{Reach: &medlarmessage.Reach{Node: string(id)}}})
			answers <- err == nil && r.GetReached().GetAlive()
		}()
	}
	alive := false
	for range others {
		alive = <-answers || alive
	}
	return alive
}

// Handle answers a probe or a request to reach a member; ok is false for other
// calls.
func (p *Prober) Handle(ctx context.Context, from medlarid.InstanceID, f *medlarmessage.Frame) (r *medlarmessage.Reply, ok bool) {
	switch body := f.GetBody().(type) {
	case *medlarmessage.Frame_Probe:
		var rumors []*medlarmessage.Rumor
		p.with(func(t *Table) {
			t.RecordAnswer(time.Now(), from)
			t.ApplyRumors(time.Now(), body.Probe.GetRumors())
			rumors = t.Rumors()
		})
		return &medlarmessage.Reply{Body: &medlarmessage.Reply_Probe{Probe: &medlarmessage.Probe{Rumors: rumors}}}, true
	case *medlarmessage.Frame_Reach:
		alive := p.probe(ctx, medlarid.InstanceID(body.Reach.GetNode()))
		return &medlarmessage.Reply{Body: &medlarmessage.Reply_Reached{Reached: &medlarmessage.Reached{Alive: alive}}}, true
	}
	return nil, false
}

// SetInstances takes over the instance list.
func (p *Prober) SetInstances(ids []medlarid.InstanceID) {
	p.with(func(t *Table) { t.SetInstances(time.Now(), ids) })
}

// Live returns the members that are not dead, ordered by name.
func (p *Prober) Live() (ids []medlarid.InstanceID) {
	p.with(func(t *Table) { ids = t.Live() })
	return ids
}

// ReportFailure notes that a call to a member failed; the next probe finds out why.
func (p *Prober) ReportFailure(id medlarid.InstanceID) {
	p.with(func(t *Table) { t.RecordFailure(time.Now(), id) })
}

// DeclaredDead returns how often a member was declared dead here.
func (p *Prober) DeclaredDead() (n int) {
	p.with(func(t *Table) { n = t.DeclaredDead })
	return n
}

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

// Probe parameters.
const (
	probeInterval        = 1500 * time.Millisecond
	suspectInterval      = probeInterval / 4 // while members are suspected
	probeTimeout         = 400 * time.Millisecond
	indirectProbeTimeout = time.Second
	indirectProbers      = 3
	deadProbeRounds      = 5 // a dead member is probed in one of these many rounds
)

// CallFunc calls a peer and returns its reply.
type CallFunc func(context.Context, medlarid.InstanceID, *medlarmessage.Frame) (*medlarmessage.Reply, error)

// Prober probes neighbors and answers the probes of others. It is safe for concurrent
// use.
type Prober struct {
	call     CallFunc
	onChange func() // called when the state of a member may have changed

	mu    sync.Mutex
	table *Table
}

// NewProber returns a prober for an instance. onChange is called when the state of a
// member may have changed; it may be nil.
func NewProber(self medlarid.InstanceID, call CallFunc, onChange func()) *Prober {
	if onChange == nil {
		onChange = func() {}
	}
	return &Prober{call: call, onChange: onChange, table: NewTable(self, uint64(time.Now().UnixNano()))}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	interval := probeInterval
	for round := 1; medlarpause.For(ctx, interval/2+rand.N(interval)); round++ {
		interval = probeInterval
		if p.round(ctx, round%deadProbeRounds == 0) {
			interval = suspectInterval
		}
	}
}

// round probes one neighbor, or all neighbors and the suspected members while
// there are any suspects. With probeDead it also probes a dead member. It reports
// whether any members are suspected.
func (p *Prober) round(ctx context.Context, probeDead bool) (suspects bool) {
	p.mu.Lock()
	p.table.ExpireSuspects(time.Now())
	target, ok := p.table.ProbeTarget()
	targets := p.table.SuspectTargets()
	if len(targets) > 0 { // several members may have failed at once
		targets = append(targets, p.table.Neighbors()...)
	}
	deadTarget, deadOK := p.table.DeadTarget()
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
	if probeDead && deadOK {
		wg.Go(func() { p.probe(ctx, deadTarget) })
	}
	wg.Wait()
	p.onChange()
	p.withTable(func(t *Table) { suspects = len(t.SuspectTargets()) > 0 })
	return suspects
}

// check probes a member, indirectly if it does not answer, and records a failure of
// both (R3).
func (p *Prober) check(ctx context.Context, id medlarid.InstanceID) {
	if !p.probe(ctx, id) && !p.probeIndirectly(ctx, id) && ctx.Err() == nil {
		p.withTable(func(t *Table) { t.RecordFailure(time.Now(), id) })
	}
}

func (p *Prober) withTable(f func(*Table)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.table)
}

// probe sends a probe with rumors to a member and reports whether it was answered.
func (p *Prober) probe(ctx context.Context, id medlarid.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var rumors []*medlarmessage.Rumor
	p.withTable(func(t *Table) { rumors = t.RumorsFor(id) })
	frame := &medlarmessage.Frame{Body: &medlarmessage.Frame_Probe{Probe: &medlarmessage.Probe{Rumors: rumors}}}
	r, err := p.call(ctx, id, frame)
	if err != nil {
		p.withTable(func(t *Table) { t.RestoreRumors(rumors) })
		return false
	}
	p.withTable(func(t *Table) {
		t.RecordAnswer(time.Now(), id)
		t.ApplyRumors(time.Now(), r.GetProbe().GetRumors())
	})
	return true
}

// probeIndirectly asks other neighbors to probe a member and reports whether any of
// them reached it (R3).
func (p *Prober) probeIndirectly(ctx context.Context, id medlarid.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, indirectProbeTimeout)
	defer cancel()
	var others []medlarid.InstanceID
	p.withTable(func(t *Table) {
		for _, n := range t.Neighbors() {
			if n != id && len(others) < indirectProbers {
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

// Handle answers a probe or a request for an indirect probe; ok is false for other
// calls.
func (p *Prober) Handle(ctx context.Context, from medlarid.InstanceID, f *medlarmessage.Frame) (r *medlarmessage.Reply, ok bool) {
	switch body := f.GetBody().(type) {
	case *medlarmessage.Frame_Probe:
		var rumors []*medlarmessage.Rumor
		p.withTable(func(t *Table) {
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

// SetInstances applies the instance list.
func (p *Prober) SetInstances(ids []medlarid.InstanceID) {
	p.withTable(func(t *Table) { t.SetInstances(time.Now(), ids) })
}

// Live returns the members that are not dead, sorted by name.
func (p *Prober) Live() (ids []medlarid.InstanceID) {
	p.withTable(func(t *Table) { ids = t.Live() })
	return ids
}

// ReportFailure records that a call to a member failed. A live member becomes
// suspected; the next probe determines its state.
func (p *Prober) ReportFailure(id medlarid.InstanceID) {
	p.withTable(func(t *Table) { t.RecordFailure(time.Now(), id) })
}

// DeclaredDead returns how many times this instance has set a member to dead.
func (p *Prober) DeclaredDead() (n int) {
	p.withTable(func(t *Table) { n = t.DeclaredDead })
	return n
}

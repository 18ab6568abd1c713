// Package medlarloop runs the core: it gathers events from the edges, ticks, and
// hands each command to who carries it out.
//
// Rules:
//
//	R1  One goroutine owns the core; all others post events and get commands.
//	R2  A tick runs when events have come, and otherwise when the core asks for
//	    one, so an idle instance costs almost nothing.
//	R3  Commands about a run go to its mailbox in order; a mailbox never blocks
//	    the loop.
package medlarloop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarcore"
	"medlarfield/internal/core/medlarfleet"
	"medlarfield/internal/core/medlarworld"
)

// Sizes of queues.
const (
	eventQueue   = 4096
	maxEvents    = 256 // events of one tick
	mailboxQueue = 16
)

// Deps carry out the commands that are not about one run's attempts.
type Deps struct {
	LookUp        func(medlarworld.LookUp)
	Export        func(medlarworld.Export)
	OnRetry       func(medlarworld.Retried)
	OnEjection    func(medlarworld.Ejected)
	RequestShares func(medlarworld.RequestShares)
	OnTick        func(waiting, open int)
}

// Versions are the weight versions of a model: the one that most replicas serve, and
// the one that is wanted.
type Versions struct {
	Serving medlarid.WeightVersion
	Wanted  medlarid.WeightVersion
}

// VersionsByModel tells under which weight versions new requests for a model are keyed.
type VersionsByModel map[medlarid.ModelID]Versions

// Summary is what the loop tells about the core.
type Summary struct {
	Waiting   int
	Open      int
	Upstreams []medlarworld.Upstream
	Stores    []medlarworld.Store
	Peers     int
	Version   medlarid.Offset
}

// Loop owns a core. All methods are safe for concurrent use.
type Loop struct {
	core    *medlarcore.Core
	seams   Deps
	events  chan medlarworld.Event
	asks    chan chan Summary
	serving atomic.Pointer[VersionsByModel]

	mu        sync.Mutex
	mailboxes map[medlarid.RequestID]chan medlarworld.Command
	empty     chan struct{} // closed when drained
	draining  bool
}

// New returns a loop over a core. Run must be running.
func New(core *medlarcore.Core, s Deps) *Loop {
	l := &Loop{
		core:      core,
		seams:     s,
		events:    make(chan medlarworld.Event, eventQueue),
		asks:      make(chan chan Summary),
		mailboxes: map[medlarid.RequestID]chan medlarworld.Command{},
		empty:     make(chan struct{}),
	}
	l.serving.Store(&VersionsByModel{})
	return l
}

// Post reports an event.
func (l *Loop) Post(e medlarworld.Event) { l.events <- e }

// Submit hands a run to the core and returns its mailbox.
func (l *Loop) Submit(r *medlarworld.Run, limits medlarworld.Limits) <-chan medlarworld.Command {
	box := make(chan medlarworld.Command, mailboxQueue)
	l.mu.Lock()
	l.mailboxes[r.ID] = box
	l.mu.Unlock()
	l.Post(medlarworld.Submitted{Run: r, Limits: limits})
	return box
}

// CloseMailbox closes the mailbox of a run.
func (l *Loop) CloseMailbox(id medlarid.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.mailboxes, id)
	l.checkEmpty()
}

// OpenRequests returns the number of requests that have a mailbox.
func (l *Loop) OpenRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.mailboxes)
}

// Drain makes the core refuse new runs; the channel is closed when no request is
// open any more.
func (l *Loop) Drain() <-chan struct{} {
	l.Post(medlarworld.StopRequested{})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	l.checkEmpty()
	return l.empty
}

// checkEmpty closes empty once; the lock is held.
func (l *Loop) checkEmpty() {
	if !l.draining || len(l.mailboxes) > 0 {
		return
	}
	select {
	case <-l.empty:
	default:
		close(l.empty)
	}
}

// ServingVersion returns the weight version that new requests for a model are keyed for.
func (l *Loop) ServingVersion(m medlarid.ModelID) medlarid.WeightVersion {
	return (*l.serving.Load())[m].Serving
}

// Versions returns the weight versions of a model.
func (l *Loop) Versions(m medlarid.ModelID) Versions { return (*l.serving.Load())[m] }

// Summary returns the state of the core, or an empty one when ctx ends first.
func (l *Loop) Summary(ctx context.Context) Summary {
	ask := make(chan Summary, 1)
	select {
	case l.asks <- ask:
		return <-ask
	case <-ctx.Done():
		return Summary{}
	}
}

// Run ticks until ctx ends (R1, R2).
func (l *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]medlarworld.Event, 0, maxEvents)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return
		case ask := <-l.asks:
			ask <- l.summary()
			continue
		case e := <-l.events:
			batch = l.gather(append(batch, e))
		case <-timer.C:
		}
		l.tick(batch)
		timer.Reset(l.core.Next())
	}
}

// gather adds the events that wait, up to one tick's worth.
func (l *Loop) gather(batch []medlarworld.Event) []medlarworld.Event {
	for len(batch) < maxEvents {
		select {
		case e := <-l.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

func (l *Loop) tick(batch []medlarworld.Event) {
	for _, c := range l.core.Tick(time.Now(), batch) {
		l.carry(c)
	}
	w := l.core.World()
	if changesServing(batch) {
		l.updateServing(w)
	}
	l.seams.OnTick(len(w.Waiting), len(w.Runs))
}

// carry hands a command to who carries it out (R3).
func (l *Loop) carry(c medlarworld.Command) {
	switch c := c.(type) {
	case medlarworld.StartAttempt:
		l.deliver(c.Run, c)
	case medlarworld.Refuse:
		l.deliver(c.Run, c)
	case medlarworld.Claim:
		l.deliver(c.Run, c)
	case medlarworld.LookUp:
		go l.seams.LookUp(c)
	case medlarworld.Export:
		l.seams.Export(c)
	case medlarworld.Retried:
		l.seams.OnRetry(c)
	case medlarworld.Ejected:
		l.seams.OnEjection(c)
	case medlarworld.RequestShares:
		go l.seams.RequestShares(c)
	}
}

// deliver puts a command into a run's mailbox. A start for a run whose mailbox
// is gone is reported as ended, so that the core forgets it.
func (l *Loop) deliver(id medlarid.RequestID, c medlarworld.Command) {
	l.mu.Lock()
	box := l.mailboxes[id]
	l.mu.Unlock()
	if box != nil {
		select {
		case box <- c:
			return
		default:
		}
	}
	if s, ok := c.(medlarworld.StartAttempt); ok {
		go l.Post(medlarworld.AttemptEnded{Run: id, Attempt: s.Attempt, Cause: medlarworld.CauseCallerLeft})
	}
}

func changesServing(batch []medlarworld.Event) bool {
	for _, e := range batch {
		switch e.(type) {
		case medlarworld.ListsApplied, medlarworld.InstancesListed, medlarworld.StatusReported:
			return true
		}
	}
	return false
}

func (l *Loop) updateServing(w *medlarworld.World) {
	s := make(VersionsByModel, len(w.Models))
	for id := range w.Models {
		s[id] = Versions{Serving: medlarfleet.ServingVersion(w, id), Wanted: w.Models[id].Version}
	}
	l.serving.Store(&s)
}

func (l *Loop) summary() Summary {
	w := l.core.World()
	s := Summary{Waiting: len(w.Waiting), Open: len(w.Runs), Peers: w.Peers, Version: w.Version}
	for _, u := range w.Upstreams {
		s.Upstreams = append(s.Upstreams, *u)
	}
	for _, st := range w.Stores {
		s.Stores = append(s.Stores, *st)
	}
	return s
}

// Package medlarloop runs the core: it collects events, runs ticks, and dispatches
// the resulting commands.
//
// Rules:
//
//	R1  One goroutine owns the core; all others post events and receive commands.
//	R2  A tick runs when events are queued, and otherwise when the core asks for
//	    one, so an idle instance uses almost no processor time.
//	R3  Commands about a run go to its mailbox in order; a full mailbox never
//	    blocks the loop.
package medlarloop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarcore"
	"medlarfield/internal/core/medlarfleet"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarverdict"
	"medlarfield/internal/core/medlarworld"
)

// Queue and batch sizes.
const (
	eventQueueSize   = 4096
	maxEventsPerTick = 256
	mailboxSize      = 16
)

// Deps are the functions that execute commands not delivered to a run's mailbox.
type Deps struct {
	LookUp        func(medlarworld.LookUp)
	Export        func(medlarworld.Export)
	OnRetry       func(medlarworld.Retried)
	OnEjection    func(medlarworld.Ejected)
	OnAvoided     func(medlarworld.Avoided)
	OnLimit       func(medlarworld.LimitChanged)
	OnBrittle     func(medlarworld.BrittleChanged)
	RequestShares func(medlarworld.RequestShares)
	// OnPace, OnPaceCount and OnHeldBack are needed where upstreams start slowly or can be cold.
	OnPace      func(medlarworld.PaceChanged)
	OnPaceCount func(medlarworld.PaceCounted)
	OnHeldBack  func()
	OnReserved  func() // needed in fleets of attached instances
	// ProbeUpstream, ReportCrash, RecordBlock and OnBlock are needed where prompts are divided
	// into parts.
	ProbeUpstream func(medlarworld.ProbeUpstream)
	ReportCrash   func(medlarworld.ReportCrash)
	RecordBlock   func(medlarworld.RecordBlock)
	OnBlock       func(medlarworld.BlockChanged)
	// RecordLimit and RecordNeed are needed where upstreams name limits.
	RecordLimit func(medlarworld.RecordLimit)
	RecordNeed  func(medlarworld.RecordNeed)
	// AssignBuilds, RecordStreams, RecordSeen and ReadNotices are needed where upstreams report their builds.
	AssignBuilds  func(medlarworld.AssignBuilds)
	RecordStreams func(medlarworld.RecordStreams)
	RecordSeen    func(medlarworld.RecordSeen)
	ReadNotices   func(medlarworld.ReadNotices)
	// TellLoad is needed where instances tell one another of the load on upstreams.
	TellLoad func(medlarworld.TellLoad)
	OnTick   func(waiting, open int)
}

// Versions are the weight versions of a model: the one that most replicas serve
// and the desired one, as the lists set it.
type Versions struct {
	Serving medlarid.WeightVersion
	Desired medlarid.WeightVersion
}

// VersionsByModel holds, for each model, the weight versions that the cache keys of
// new requests are computed for.
type VersionsByModel map[medlarid.ModelID]Versions

// Summary is a snapshot of the core's state.
type Summary struct {
	Waiting   int
	Open      int
	Upstreams []medlarupstream.Upstream
	Stores    []medlarupstream.Store
	Peers     int
	Version   medlarid.Offset
}

// Loop owns a core. All methods are safe for concurrent use.
type Loop struct {
	core            *medlarcore.Core
	deps            Deps
	events          chan medlarworld.Event
	summaryRequests chan chan Summary
	serving         atomic.Pointer[VersionsByModel]

	mu        sync.Mutex
	mailboxes map[medlarid.RequestID]chan medlarworld.Command

	withdraw func(medlarworld.Withdraw)
	drained  chan struct{} // closed once draining and no mailbox is open
	draining bool
}

// New returns a loop that owns core. Run must be running.
func New(core *medlarcore.Core, deps Deps) *Loop {
	l := &Loop{
		core:            core,
		deps:            deps,
		events:          make(chan medlarworld.Event, eventQueueSize),
		summaryRequests: make(chan chan Summary),
		mailboxes:       map[medlarid.RequestID]chan medlarworld.Command{},
		drained:         make(chan struct{}),
	}
	l.serving.Store(&VersionsByModel{})
	return l
}

// Post queues an event for the next tick.
func (l *Loop) Post(e medlarworld.Event) { l.events <- e }

// SetWithdraw sets the function that executes Withdraw, where the core is set up to withdraw attempts. It is called before Run.
func (l *Loop) SetWithdraw(f func(medlarworld.Withdraw)) { l.withdraw = f }

// Submit passes a run to the core and returns the run's mailbox.
func (l *Loop) Submit(r *medlarworld.Run, limits medlarworld.Limits) <-chan medlarworld.Command {
	mailbox := make(chan medlarworld.Command, mailboxSize)
	l.mu.Lock()
	l.mailboxes[r.ID] = mailbox
	l.mu.Unlock()
	l.Post(medlarworld.Submitted{Run: r, Limits: limits})
	return mailbox
}

// CloseMailbox removes the mailbox of a run; no more commands are delivered to it.
func (l *Loop) CloseMailbox(id medlarid.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.mailboxes, id)
	l.closeIfDrained()
}

// OpenRequests returns the number of requests with an open mailbox.
func (l *Loop) OpenRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.mailboxes)
}

// Drain makes the core refuse new runs and returns a channel that is closed once
// no request is open.
func (l *Loop) Drain() <-chan struct{} {
	l.Post(medlarworld.StopRequested{})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	l.closeIfDrained()
	return l.drained
}

// closeIfDrained closes the drained channel, once, when the loop is draining and no
// mailbox is open. The caller holds the lock.
func (l *Loop) closeIfDrained() {
	if !l.draining || len(l.mailboxes) > 0 {
		return
	}
	select {
	case <-l.drained:
	default:
		close(l.drained)
	}
}

// ServingVersion returns the weight version that the cache keys of new requests for
// a model are computed for.
func (l *Loop) ServingVersion(m medlarid.ModelID) medlarid.WeightVersion {
	return (*l.serving.Load())[m].Serving
}

// Versions returns the weight versions of a model.
func (l *Loop) Versions(m medlarid.ModelID) Versions { return (*l.serving.Load())[m] }

// Summary returns the state of the core, or the zero Summary if ctx ends first.
func (l *Loop) Summary(ctx context.Context) Summary {
	reply := make(chan Summary, 1)
	select {
	case l.summaryRequests <- reply:
		return <-reply
	case <-ctx.Done():
		return Summary{}
	}
}

// Ask returns where a run would go now, without submitting it; ok is false if ctx ends first.
func (l *Loop) Ask(ctx context.Context, r *medlarworld.Run, limits medlarworld.Limits) (v medlarverdict.Verdict, ok bool) {
	reply := make(chan medlarverdict.Verdict, 1)
	select {
	case l.events <- medlarworld.RouteAsked{Run: r, Limits: limits, Reply: func(v medlarverdict.Verdict) { reply <- v }}:
	case <-ctx.Done():
		return v, false
	}
	select {
	case v = <-reply:
		return v, true
	case <-ctx.Done():
		return v, false
	}
}

// Run runs ticks until ctx ends (R1, R2).
func (l *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]medlarworld.Event, 0, maxEventsPerTick)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return
		case reply := <-l.summaryRequests:
			reply <- l.summary()
			continue
		case e := <-l.events:
			batch = l.collect(append(batch, e))
		case <-timer.C:
		}
		l.tick(batch)
		timer.Reset(l.core.Next())
	}
}

// collect adds queued events to batch, up to the limit of one tick.
func (l *Loop) collect(batch []medlarworld.Event) []medlarworld.Event {
	for len(batch) < maxEventsPerTick {
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
		l.dispatch(c)
	}
	w := l.core.World()
	if changesServing(batch) {
		l.updateServing(w)
	}
	l.deps.OnTick(len(w.Waiting), len(w.Runs))
}

// dispatch passes a command to the run's mailbox or to the function that executes it
// (R3).
func (l *Loop) dispatch(c medlarworld.Command) {
	switch c := c.(type) {
	case medlarworld.StartAttempt:
		l.deliver(c.Run, c)
	case medlarworld.Refuse:
		l.deliver(c.Run, c)
	case medlarworld.StreamRecorded:
		l.deliver(c.Run, c)
	case medlarworld.Claim:
		l.deliver(c.Run, c)
	case medlarworld.Withdraw:
		l.withdraw(c)
	case medlarworld.LookUp:
		go l.deps.LookUp(c)
	case medlarworld.Export:
		l.deps.Export(c)
	case medlarworld.Retried:
		l.deps.OnRetry(c)
	case medlarworld.Ejected:
		l.deps.OnEjection(c)
	case medlarworld.Avoided:
		l.deps.OnAvoided(c)
	case medlarworld.LimitChanged:
		l.deps.OnLimit(c)
	case medlarworld.BrittleChanged:
		l.deps.OnBrittle(c)
	case medlarworld.PaceChanged:
		l.deps.OnPace(c)
	case medlarworld.PaceCounted:
		l.deps.OnPaceCount(c)
	case medlarworld.HeldBack:
		l.deps.OnHeldBack()
	case medlarworld.Reserved:
		l.deps.OnReserved()
	case medlarworld.RecordLimit:
		l.deps.RecordLimit(c)
	case medlarworld.RecordNeed:
		l.deps.RecordNeed(c)
	case medlarworld.AssignBuilds:
		l.deps.AssignBuilds(c)
	case medlarworld.RecordStreams:
		l.deps.RecordStreams(c)
	case medlarworld.RecordSeen:
		l.deps.RecordSeen(c)
	case medlarworld.ReadNotices:
		go l.deps.ReadNotices(c)
	case medlarworld.TellLoad:
		l.deps.TellLoad(c)
	case medlarworld.RequestShares:
		go l.deps.RequestShares(c)
	case medlarworld.ProbeUpstream:
		go l.deps.ProbeUpstream(c)
	case medlarworld.ReportCrash:
		l.deps.ReportCrash(c)
	case medlarworld.RecordBlock:
		l.deps.RecordBlock(c)
	case medlarworld.BlockChanged:
		l.deps.OnBlock(c)
	}
}

// deliver puts a command into a run's mailbox. A StartAttempt that cannot be
// delivered, because the mailbox is closed or full, is reported as ended so that
// the core drops it.
func (l *Loop) deliver(id medlarid.RequestID, c medlarworld.Command) {
	l.mu.Lock()
	mailbox := l.mailboxes[id]
	l.mu.Unlock()
	if mailbox != nil {
		select {
		case mailbox <- c:
			return
		default:
		}
	}
	if s, ok := c.(medlarworld.StartAttempt); ok {
		go l.Post(medlarworld.AttemptEnded{Run: id, Attempt: s.Attempt, Cause: medlarkind.CauseCallerLeft})
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
		s[id] = Versions{Serving: medlarfleet.ServingVersion(w, id), Desired: w.Models[id].Version}
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

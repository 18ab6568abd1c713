// Package medlarnotifier carries out the core's commands about what all instances have to know,
// through notices in the platform's store, and passes the notices of others to the core.
package medlarnotifier

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/ops/medlardialer"
	"medlarfield/internal/ops/medlarloop"
	"medlarfield/internal/ops/medlarpathstate"
	"medlarfield/internal/peer/medlardatagram"
)

// Times and sizes of notices.
const (
	crashSlots       = 16                    // records of crashes that an instance keeps in the store
	crashRecordLife  = 15 * time.Minute      // after which the record of a crash is removed; it no longer counts then
	callInterval     = time.Second           // between two calls to a replica that ends connections and is not down
	probeRepeatDelay = 50 * time.Millisecond // until a probe that succeeded is repeated: a process that ends may still accept for a moment
)

// Notifier writes and reads what instances tell one another.
type Notifier struct {
	deps Deps
	post func(medlarworld.Event)

	mu     sync.Mutex
	called map[medlarid.InstanceID]time.Time // when replicas were called to find out whether they are down
	slots  [crashSlots]medlarsuspect.CrashID // crashes that this instance has a record of in the store
	next   int                               // slot of the next crash
	own    announcement
	start  string // distinguishes the starts of this instance

	applying  sync.Mutex
	appliedTo medlarid.Offset // of the topic; all records before it have been applied
	restores  int             // of the store from a copy, which gives out offsets again
}

// Deps are what a Notifier depends on.
type Deps struct {
	Self    medlarid.InstanceID
	Log     zerolog.Logger
	Metrics *medlarmetric.Metrics
	Board   *medlarnotice.Board
	// Read returns what was written to the topic of notices since this instance has read it last.
	Read func() ([]medlarfeed.Record, error)
	// Socket tells other instances of the load on replicas.
	Socket *medlardatagram.Socket
	// Dialer opens connections to replicas.
	Dialer *medlardialer.Dialer
	// Spread is the time after which this instance writes its notices again once the store
	// came back from a copy; each instance has another one.
	Spread time.Duration
	// CallFailed counts a notice that cannot be decoded.
	CallFailed func()
}

// New returns a Notifier. SetPost is called before it is used.
func New(deps Deps) *Notifier {
	return &Notifier{deps: deps, called: map[medlarid.InstanceID]time.Time{}, start: strconv.FormatInt(time.Now().UnixMilli(), 36)}
}

// SetPost sets the function that passes events to the core.
func (n *Notifier) SetPost(post func(medlarworld.Event)) {
	n.post = post
	n.deps.Board.SetOnWritten(func(written []medlarnotice.Record, first medlarid.Offset) {
		e := medlarworld.NoticesWritten{}
		for i, r := range written {
			e.Streams = max(e.Streams, r.Serial)
			n.setWritten(r, first+medlarid.Offset(i))
		}
		post(e)
	})
}

// AddTo adds to d the functions that carry out the core's commands about what all instances have
// to know.
func (n *Notifier) AddTo(d *medlarloop.Deps) {
	d.ProbeUpstream = n.probe
	d.ReportCrash = n.reportCrash
	d.RecordBlock = n.recordBlock
	d.OnBlock = n.logBlock
	d.RecordLimit = n.recordLimit
	d.RecordNeed = n.recordNeed
	d.AssignBuilds = n.assignBuilds
	d.RecordStreams = n.recordStreams
	d.RecordSeen = n.recordSeen
	d.ReadNotices = n.read
	d.TellLoad = n.deps.Socket.Tell
}

// probe finds out whether a replica is down.
func (n *Notifier) probe(c medlarworld.ProbeUpstream) {
	t := medlarpool.Target{ID: c.Crash.Replica, Incarnation: c.Crash.Incarnation, Address: c.Address}
	call := n.mayCall(t.ID)
	state := n.deps.Dialer.Examine(t, false)
	if !state.Down() {
		time.Sleep(probeRepeatDelay)
		state = n.deps.Dialer.Examine(t, call)
	}
	n.post(medlarworld.UpstreamProbed{Crash: c.Crash, Down: state.Down(), Refused: state == medlarpathstate.StateRefuses, Answered: state == medlarpathstate.StateAnswered})
}

// mayCall reports whether a replica may be called now to find out whether it is down, and takes note that it is.
func (n *Notifier) mayCall(id medlarid.InstanceID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(n.called, func(_ medlarid.InstanceID, at time.Time) bool { return now.Sub(at) > callInterval })
	if _, recently := n.called[id]; recently {
		return false
	}
	n.called[id] = now
	return true
}

func (n *Notifier) reportCrash(c medlarworld.ReportCrash) {
	r := c.Report
	n.deps.Metrics.CrashSeen()
	n.deps.Log.Warn().Str("event", "crash").Str("replica", string(r.Crash.Replica)).Int64("born", int64(r.Crash.Incarnation)).Int("end", r.Crash.End).Float64("unseen", float64(r.Unseen.Milliseconds())).
		Strs("begun", traitNames(r.Begun)).Strs("queued", traitNames(r.Waiting)).Msg("replica crashed; parts and hashes of the requests that were lost with it")
	value, err := medlarnotice.EncodeCrash(r)
	if err != nil {
		n.deps.Log.Error().Str("event", "notice").Err(err).Msg("report of a crash cannot be encoded")
		return
	}
	slot, first := n.slot(r.Crash)
	n.deps.Board.Put(medlarnotice.Record{Key: n.slotKey(slot), Value: value})
	if first {
		time.AfterFunc(crashRecordLife, func() { n.freeSlot(slot, r.Crash) })
	}
}

// slot returns the slot of a crash; first tells that it has just got it, from the oldest one.
func (n *Notifier) slot(id medlarsuspect.CrashID) (slot int, first bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if i := slices.Index(n.slots[:], id); i >= 0 {
		return i, false
	}
	slot = n.next
	n.slots[slot] = id
	n.next = (n.next + 1) % crashSlots
	return slot, true
}

// freeSlot removes the record of a crash unless another crash has its slot.
func (n *Notifier) freeSlot(slot int, id medlarsuspect.CrashID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.slots[slot] == id {
		n.slots[slot] = medlarsuspect.CrashID{}
		n.deps.Board.Put(medlarnotice.Record{Key: n.slotKey(slot)})
	}
}

func (n *Notifier) slotKey(slot int) string {
	return medlarnotice.CrashKey(n.deps.Self, strconv.Itoa(slot))
}

// maxLoggedTraits is the number of traits that a log line names.
const maxLoggedTraits = 12

// traitNames returns the first traits of a list, for the log.
func traitNames(traits []medlarsuspect.Trait) []string {
	out := []string{}
	for _, p := range traits[:min(len(traits), maxLoggedTraits)] {
		out = append(out, string(p))
	}
	return out
}

// recordBlock shares the state of a trait; a claim of a trial is reported to the core if it is
// granted.
func (n *Notifier) recordBlock(c medlarworld.RecordBlock) {
	r, err := medlarnotice.EncodeBlock(c.Record)
	if err != nil {
		n.deps.Log.Error().Str("event", "notice").Err(err).Msg("state of a trait cannot be encoded")
		return
	}
	if !c.Record.Claim {
		n.deps.Board.Put(r)
		return
	}
	go func() {
		if err := n.deps.Board.Claim(r); err != nil {
			n.deps.Log.Info().Str("event", "trial").Str("part", string(c.Record.Trait)).Err(err).Msg("trial of a blocked part or request is not granted")
			return
		}
		n.deps.Log.Info().Str("event", "trial").Str("part", string(c.Record.Trait)).Int("trials", c.Record.Block.Trials).Msg("trial of a blocked part or request is granted")
		n.post(medlarworld.TrialGranted{Trait: c.Record.Trait, Trials: c.Record.Block.Trials})
	}()
}

func (n *Notifier) logBlock(c medlarworld.BlockChanged) {
	n.deps.Metrics.BlockChanged(c.Change.Blocked)
	text := "part of prompts, or request, is no longer blocked"
	if c.Change.Blocked {
		text = "part of prompts, or request, is blocked: it has crashed replicas"
	}
	n.deps.Log.Warn().Str("event", "block").Str("part", string(c.Change.Trait)).Bool("blocked", c.Change.Blocked).
		Int("crashes", c.Change.Crashes).Int("trials", c.Change.Trials).Msg(text)
}

func (n *Notifier) recordLimit(c medlarworld.RecordLimit) {
	r, err := medlarnotice.EncodeLimit(c)
	if err != nil {
		n.deps.Log.Error().Str("event", "notice").Err(err).Msg("limit of a replica cannot be encoded")
		return
	}
	n.deps.Board.Put(r)
}

func (n *Notifier) recordNeed(c medlarworld.RecordNeed) {
	r, err := medlarnotice.EncodeNeed(n.deps.Self, c)
	if err != nil {
		n.deps.Log.Error().Str("event", "notice").Err(err).Msg("rates of requests cannot be encoded")
		return
	}
	n.deps.Board.Put(r)
}

// read passes what others have recorded until now to the core.
func (n *Notifier) read(c medlarworld.ReadNotices) {
	err := n.applyRead()
	if err != nil {
		err = n.applyRead() // it may have been reset
	}
	if err != nil {
		n.deps.CallFailed()
		n.deps.Log.Warn().Str("event", "notice").Err(err).Msg("notices cannot be read; streams of other instances are not resumed")
	}
	n.post(medlarworld.NoticesCurrent{AsOf: c.At, Failed: err != nil})
}

// errRestored reports that the store came back from a copy during a read.
var errRestored = eris.New("the store came back from a copy during the read")

// applyRead reads and applies what was not followed meanwhile: applied again, it would put later records back.
func (n *Notifier) applyRead() error {
	n.applying.Lock()
	restores := n.restores
	n.applying.Unlock()
	records, err := n.deps.Read()
	if err != nil {
		return err
	}
	n.applying.Lock()
	defer n.applying.Unlock()
	if n.restores != restores {
		return errRestored
	}
	n.apply(slices.DeleteFunc(records, func(r medlarfeed.Record) bool { return r.Offset < n.appliedTo }), false)
	return nil
}

// Apply passes the records of other instances to the core; first is set if they are those that the store held
// when this instance started.
func (n *Notifier) Apply(records []medlarfeed.Record, first bool) {
	n.applying.Lock()
	defer n.applying.Unlock()
	n.apply(records, first)
}

// apply carries out Apply. The caller holds the lock.
func (n *Notifier) apply(records []medlarfeed.Record, first bool) {
	for _, r := range records {
		n.appliedTo = max(n.appliedTo, r.Offset+1)
		n.removeEarlier(r)
		n.setPeer(r)
		e, err := medlarnotice.Decode(medlarnotice.Record{Key: r.Key, Value: r.Value})
		switch {
		case err != nil:
			n.deps.CallFailed()
			n.deps.Log.Warn().Str("event", "notice").Str("key", r.Key).Err(err).Msg("notice is ignored")
		case e != nil:
			if a, ok := e.(medlarworld.BuildsAssigned); ok && !a.Dropped {
				n.logAssignment(a)
			}
			if c, ok := e.(medlarworld.CrashReported); ok {
				c.Report.Earlier = first
				e = c
			}
			n.post(e)
		}
	}
}

// Restore writes again what this instance has told the others, after the store came back from a
// copy. Instances spread their writes.
func (n *Notifier) Restore() {
	n.applying.Lock()
	n.appliedTo = 0
	n.restores++
	n.applying.Unlock()
	time.AfterFunc(n.deps.Spread, func() {
		n.post(medlarworld.RecordsRestored{})
		n.announce()
	})
}

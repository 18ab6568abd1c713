// Package medlarworld holds the state of the decision core, in the manner of an
// entity-component system: tables of entities that the systems of the core operate
// on, and the events and commands that connect the core with the I/O around it.
//
// Rules:
//
//	R1  Only the core's own goroutine accesses a World.
//	R2  What a table holds about other instances is a hint; whoever acts on it
//	    verifies it.
//	R3  A run is in the table from its submission until it was refused or has
//	    ended.
package medlarworld

import (
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbacklog"
	"medlarfield/internal/core/medlarbudget"
	"medlarfield/internal/core/medlarbuild"
	"medlarfield/internal/core/medlarcacheindex"
	"medlarfield/internal/core/medlarhistory"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarupstream"
)

// Config holds the settings of the core.
type Config struct {
	Self      medlarid.InstanceID
	Zone      medlarid.Zone
	Weighting medlarkind.Weighting
	// MaxQueued is the maximum number of runs that wait for an upstream.
	MaxQueued int
	// MaxAttempts is the maximum number of attempts of a run that may be repeated.
	MaxAttempts int
	// RetryBudget bounds the retries for each target.
	RetryBudget medlarbudget.Retries
	// DefaultDeadline is the deadline of a run whose plan sets none.
	DefaultDeadline time.Duration
	// DefaultMaxTokens is the maximum length of an answer under a plan that sets none.
	DefaultMaxTokens medlarid.Tokens
	// MaxWait is the longest time that a run waits for an upstream.
	MaxWait time.Duration
	// OffloadKV enables the offload of context to stores.
	OffloadKV bool
	// OldVersionGrace is the time from the change of a model's desired weight version to the last answer that may
	// begin under an older one; 0 for no bound.
	OldVersionGrace time.Duration
	// SettlingTime is the time for which older weight versions serve at least after an instance has read, late
	// or at its start, that they are replaced.
	SettlingTime time.Duration
	// TellLoad is set if instances tell one another of the load that they put on upstreams.
	TellLoad bool
	// VersionsIncrease is set if the operators never return to an earlier weight version.
	VersionsIncrease bool
	// ColdOver and ColdSlack set how many requests a cold upstream gets in any second from all instances together:
	// its cold rate times ColdOver, plus ColdSlack. ColdOver is 0 if cold upstreams are not protected.
	ColdOver, ColdSlack float64
	// Pace is set if upstreams start slowly also where their service configures no cold rate.
	Pace bool
	// MaxHolders is the maximum number of upstreams that are recorded as caching one
	// block or part; 0 for a small default.
	MaxHolders int
	// Seed seeds the random choice among upstreams of nearly equal cost.
	Seed uint64
}

// Limits are the limits that a plan sets for each of its accounts, over all entry
// instances together.
type Limits struct {
	Rate     float64 // requests per second; 0 for no limit
	Burst    float64 // capacity of the token bucket, in requests
	Runs     int     // concurrent requests; 0 for no limit
	Weight   float64 // share under contention
	Priority medlarid.Priority
}

// Account is a client account that has recently sent requests to this instance.
type Account struct {
	ID     medlarid.AccountID
	Limits Limits

	Bucket        float64            // tokens left in the token bucket
	RefilledAt    time.Time          // time of the last refill
	Open          int                // requests submitted and not ended
	VirtualFinish float64            // virtual finish time of the last queued run
	BucketFilled  bool               // the bucket has been filled once
	Arrivals      int                // requests since demands were last reported
	Share         medlarbudget.Share // of the limits, for this instance
}

// Model is a model as the lists configure it.
type Model struct {
	ID      medlarid.ModelID
	Version medlarid.WeightVersion
	// Versions holds the successive desired versions, Version the last, and when the
	// core first saw each.
	Versions medlarhistory.History
}

// Class returns the run's priority class.
func (r *Run) Class() int { return min(max(int(-r.Priority), 0), medlarbacklog.NumClasses-1) }

// Run is one request of a caller.
type Run struct {
	ID      medlarid.RequestID
	Account medlarid.AccountID
	Model   medlarid.ModelID
	Version medlarid.WeightVersion
	Service medlarid.ServiceID
	// Config is the version of the lists that the run was decided on by.
	Config     medlarid.Offset
	AtMostOnce bool // must not be repeated
	Claimed    bool
	Keys       []medlarkey.Key
	// KeyTokens holds the number of tokens of each key's part; nil for blocks of
	// equal size.
	KeyTokens    []medlarid.Tokens
	PromptTokens medlarid.Tokens
	// Traits are what other requests may have in common with this one.
	Traits []medlarsuspect.Trait
	// HomeKey identifies the context that the run shares with others; zero for the
	// conversation that Keys begin with.
	HomeKey medlarkey.Key
	// HomeZone is the availability zone of the home replica.
	HomeZone medlarid.Zone
	// DesiredVersion is the desired weight version where it differs from Version, and
	// DesiredKeys are the keys of the parts under it.
	DesiredVersion medlarid.WeightVersion
	DesiredKeys    []medlarkey.Key
	// MaxAttempts is the maximum number of attempts that may reach an upstream; 0 for
	// the deployment's maximum number of attempts.
	MaxAttempts int
	// Priority is added to the account's.
	Priority medlarid.Priority
	Arrived  time.Time
	Deadline time.Time

	Phase           medlarkind.Phase
	Attempt         int // number of the current attempt
	AttemptsReached int // attempts that may have run
	Upstream        *medlarupstream.Upstream
	Tried           []*medlarupstream.Upstream
	NotBefore       time.Time // earliest time of the next attempt
	VirtualStart    float64   // virtual start time, which orders the queue
	// LookupDeadline ends the wait for the stores.
	LookupDeadline time.Time
	StoredBlocks   []medlarinventory.Handle // blocks that stores hold: a prefix of Keys, in their order
	PinnedVersion  medlarid.WeightVersion   // version of the answer's first part, once there is one
	Reached        bool                     // an attempt may have run
	AttemptStarted time.Time                // start of the current attempt
	ExpectedTTFT   time.Duration            // expected time to first token of the current attempt
	ComputedTokens medlarid.Tokens          // prompt tokens computed by the upstream
	IdleTTFT       time.Duration            // expected time to first token on an idle upstream
	// StartBy is the latest time at which an attempt can still meet TargetTTFT, and
	// AbandonAt the time at which the caller leaves if no answer has begun; zero if they
	// are not known.
	TargetTTFT  time.Duration // longest time to first token of an answer in time; 0 if not known
	StartBy     time.Time
	AbandonAt   time.Time
	Late        bool // StartBy has passed
	HeldBack    bool // has been kept from an upstream that is cold or starts slowly (see medlarpace)
	Reserved    bool // has been kept from an upstream whose room is reserved (see medlarheadroom)
	LastFailure medlarreason.Reason
	// Stream identifies the stream that the run begins or resumes; 0 for one that cannot be resumed
	// elsewhere, or that the caller does not name.
	Stream   medlarbuild.Key
	Complete bool // the caller has the whole answer
	Resumes  bool // the run goes on with a stream that the caller has the beginning of
	// Build is where the stream is to begin, if an upstream there can take it, or where it has
	// to go on if BuildFixed is set; empty for any.
	Build      medlarid.Build
	BuildFixed bool
	// AwaitsNotices is set while the run waits for what other instances have recorded of its stream, AwaitsRecord while
	// the caller must get no event, since the stream is not recorded yet.
	AwaitsNotices, AwaitsRecord bool
	Crashes                     int                 // replicas that crashed before they sent a part of its answer
	Trial                       bool                // goes on although it has a blocked trait
	BlockedTrait                medlarsuspect.Trait // for which the run is refused
}

// World holds all tables.
type World struct {
	Config Config
	Now    time.Time
	Rand   *rand.Rand
	source *rand.PCG // of Rand

	Version      medlarid.Offset
	RecordsAsOf  time.Time // time as of which the operators' records are known
	ReplicasAsOf time.Time // time as of which the replicas' entries are known
	Ready        bool
	Evacuated    map[medlarid.Zone]bool // availability zones whose upstreams get no new attempts
	Draining     bool
	Ending       bool                  // no attempt begins any more
	Peers        int                   // live entry instances, including this one
	Others       []medlarid.InstanceID // other instances that have announced themselves

	Accounts  map[medlarid.AccountID]*Account
	Models    map[medlarid.ModelID]Model
	Upstreams map[medlarid.InstanceID]*medlarupstream.Upstream
	Engines   map[medlarid.ModelID][]*medlarupstream.Upstream
	Left      map[medlarid.ModelID][]time.Time // when engines were removed within medlarplacement.UnseenTime
	Services  map[medlarid.ServiceID][]*medlarupstream.Upstream
	Stores    map[medlarid.InstanceID]*medlarupstream.Store
	StoreList []*medlarupstream.Store // ordered by ID
	Runs      map[medlarid.RequestID]*Run
	LookingUp []*Run // runs whose context is being looked up in stores
	Waiting   []*Run // queue, in order
	Warm      *medlarcacheindex.Index
	Exported  *medlarkey.Set // last keys of exported segments

	Backlogs map[medlarupstream.Target]*medlarbacklog.Backlog // of all upstreams of a target together
	Builds   *medlarbuild.Table                               // at which builds streams begin and go on
	Streams  []*Run                                           // runs with a stream
	Suspects *medlarsuspect.Table                             // traits of requests that crash replicas
	Trials   []*Run                                           // runs that were admitted as trials of blocked traits

	VirtualTime float64                           // virtual time of the queue
	MeanPrompt  map[medlarid.ModelID]float64      // mean size of the prompts that were sent to a model lately, in tokens
	RetryTokens map[medlarupstream.Target]float64 // tokens left in the retry budgets

	Events   []Event
	Commands []Command
}

// Sizes of the tables of hints.
const (
	maxCachedKeys       = 1 << 15 // blocks and parts recorded as cached by upstreams
	maxExportedSegments = 1 << 14 // segments recorded as exported to a store
)

// maxJitter is the longest time by which an instance waits longer than others before it claims
// what several may claim.
const maxJitter = 200 * time.Millisecond

// New returns a world with empty tables.
func New(cfg Config) *World {
	source := rand.NewPCG(cfg.Seed, cfg.Seed)
	return &World{
		Config:      cfg,
		Rand:        rand.New(source),
		source:      source,
		Peers:       1,
		Accounts:    map[medlarid.AccountID]*Account{},
		Models:      map[medlarid.ModelID]Model{},
		Upstreams:   map[medlarid.InstanceID]*medlarupstream.Upstream{},
		Engines:     map[medlarid.ModelID][]*medlarupstream.Upstream{},
		Services:    map[medlarid.ServiceID][]*medlarupstream.Upstream{},
		Stores:      map[medlarid.InstanceID]*medlarupstream.Store{},
		Runs:        map[medlarid.RequestID]*Run{},
		Backlogs:    map[medlarupstream.Target]*medlarbacklog.Backlog{},
		Suspects:    medlarsuspect.New(),
		Builds:      medlarbuild.New(cfg.Self, time.Duration(xxh3.HashString(string(cfg.Self))%uint64(maxJitter))),
		RetryTokens: map[medlarupstream.Target]float64{},
		MeanPrompt:  map[medlarid.ModelID]float64{},
		Warm:        medlarcacheindex.New(maxCachedKeys, cfg.MaxHolders),
		Exported:    medlarkey.NewSet(maxExportedSegments),
	}
}

// Emit appends a command.
func (w *World) Emit(c Command) { w.Commands = append(w.Commands, c) }

// Refuse ends a run that gets no answer and reports why. A run that reached an
// upstream is reported as possibly run, whatever the reason.
func (w *World) Refuse(r *Run, reason medlarreason.Reason, after time.Duration) {
	row, _ := medlarreason.Lookup(reason)
	ran := row.Ran
	if r.Reached {
		ran = medlarreason.RanUnknown
	}
	w.Emit(Refuse{
		Run: r.ID, Reason: reason, Ran: ran, RetryAfter: after,
		Waiting: len(w.Waiting), Upstreams: len(w.UpstreamsFor(r.Target())), RetryTokens: w.RetryTokens[r.Target()], Trait: r.BlockedTrait,
	})
	w.Finish(r)
}

// Finish removes a run from the tables.
func (w *World) Finish(r *Run) {
	if r.Phase == medlarkind.PhaseDone {
		return
	}
	r.Phase = medlarkind.PhaseDone
	delete(w.Runs, r.ID)
	if a := w.Accounts[r.Account]; a != nil && a.Open > 0 {
		a.Open--
	}
}

// KeysUnder returns the run's keys under a weight version, or nil if they are not
// known.
func (r *Run) KeysUnder(v medlarid.WeightVersion) []medlarkey.Key {
	switch v {
	case r.Version:
		return r.Keys
	case r.DesiredVersion:
		return r.DesiredKeys
	}
	return nil
}

// Backlog returns the backlog of own attempts at all upstreams of a target.
func (w *World) Backlog(t medlarupstream.Target) *medlarbacklog.Backlog {
	b := w.Backlogs[t]
	if b == nil {
		b = &medlarbacklog.Backlog{}
		w.Backlogs[t] = b
	}
	return b
}

// RemoveFromBacklogs removes a run's attempt from the backlogs: its answer has begun,
// or will not come.
func (w *World) RemoveFromBacklogs(r *Run) {
	r.Upstream.Backlog.Remove(r.ID)
	w.Backlog(r.Target()).Remove(r.ID)
}

// AwaitingAnswer reports whether the run has an attempt whose answer has not begun.
func (r *Run) AwaitingAnswer() bool { return r.Upstream != nil && r.Upstream.Backlog.Has(r.ID) }

// IsLater reports whether a weight version is known to be later than another one.
func (w *World) IsLater(v, than medlarid.WeightVersion) bool {
	return w.Config.VersionsIncrease && than.Before(v)
}

// Release removes the run's attempt from its upstream.
func (w *World) Release(r *Run) {
	if r.Upstream == nil {
		return
	}
	r.Upstream.Open--
	r.Upstream.InFlightTokens -= r.PromptTokens
	w.RemoveFromBacklogs(r)
	r.Upstream = nil
}

// Target returns the run's target. A run that names a service is for the service,
// whatever model it names.
func (r *Run) Target() medlarupstream.Target { return medlarupstream.TargetOf(r.Model, r.Service) }

// PrefixTokens returns the prompt tokens of the first n keys.
func (r *Run) PrefixTokens(n int) medlarid.Tokens {
	if r.KeyTokens == nil {
		return medlarid.Tokens(n) * medlarkey.BlockTokens
	}
	var sum medlarid.Tokens
	for _, t := range r.KeyTokens[:n] {
		sum += t
	}
	return sum
}

// UpstreamsFor returns the upstreams that serve a target.
func (w *World) UpstreamsFor(t medlarupstream.Target) []*medlarupstream.Upstream {
	if t.Service != "" {
		return w.Services[t.Service]
	}
	return w.Engines[t.Model]
}

// AllEvacuated reports whether a target has upstreams that could get work if their availability zones were not all
// evacuated.
func (w *World) AllEvacuated(t medlarupstream.Target) bool {
	found := false
	for _, u := range w.UpstreamsFor(t) {
		if u.Leaving || u.Delisted {
			continue
		}
		if !u.Evacuated {
			return false
		}
		found = true
	}
	return found
}

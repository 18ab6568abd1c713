// Package medlarworld holds the tables of entities that the systems of the core
// run over, and the events and commands that connect them with the edges.
//
// Rules:
//
//	R1  Only the core's own goroutine touches a World.
//	R2  What a table holds about other instances is a hint; whoever acts on it
//	    verifies it.
//	R3  A run is in the table from its submission until it was refused or has
//	    ended.
package medlarworld

import (
	"math/rand/v2"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbacklog"
	"medlarfield/internal/core/medlarcacheindex"
	"medlarfield/internal/core/medlardecay"
	"medlarfield/internal/core/medlarhistory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarreason"
)

// Weighting says which measure a deployment weighs most.
type Weighting string

// Weightings.
const (
	WeightingTTFT      Weighting = "first" // time to first token
	WeightingRecompute Weighting = "share" // share of context recomputed
)

// Config are the settings of the core.
type Config struct {
	Self      medlarid.InstanceID
	Zone      medlarid.Zone
	Weighting Weighting
	// MaxQueued is the number of runs that may wait for an upstream.
	MaxQueued int
	// MaxAttempts is the number of attempts of a repeatable run.
	MaxAttempts int
	// RetryBudget bounds the repeated attempts of each target.
	RetryBudget RetryBudget
	// DefaultDeadline bounds a run whose plan names none.
	DefaultDeadline time.Duration
	// DefaultMaxTokens is the largest answer of a plan that names none.
	DefaultMaxTokens medlarid.Tokens
	// MaxWait is the longest time that a run waits for an upstream.
	MaxWait time.Duration
	// OffloadKV tells whether context is kept in stores.
	OffloadKV bool
	// OldVersionGrace is the time after which a replica under another weight version than
	// the wanted one gets no more work; 0 for no bound.
	OldVersionGrace time.Duration
	// MaxHolders bounds the upstreams that are remembered to cache one block or part; 0
	// for a few.
	MaxHolders int
	// Seed starts the choice among upstreams of nearly equal cost.
	Seed uint64
}

// RetryBudget bounds repeated attempts to a share of requests.
type RetryBudget struct {
	Ratio   float64 // attempts that each request adds
	Max     float64 // attempts that may be saved up
	Initial float64 // attempts at the start
}

// Limits are what a plan allows each of its accounts, over all entry instances.
type Limits struct {
	Rate     float64 // requests a second; 0 is no limit
	Burst    float64 // requests at once
	Runs     int     // requests at the same time; 0 is no limit
	Weight   float64 // share under contention
	Priority medlarid.Priority
}

// Account is a client account that has sent requests to this instance lately.
type Account struct {
	ID     medlarid.AccountID
	Limits Limits

	Bucket        float64   // tokens left in the token bucket
	RefilledAt    time.Time // time of the last refill
	Open          int       // requests submitted and not ended
	VirtualFinish float64   // virtual time of the last queued run
	BucketFilled  bool      // the bucket has been filled once
	Arrivals      int       // requests since the last demand was told
	Share         Share     // of the limits, for this instance
}

// Share is an instance's part of an account's limits, from 0 to 1.
type Share struct {
	Account medlarid.AccountID
	Rate    float64
	Runs    float64
	Until   time.Time // an equal part holds from then on
}

// Model is what the lists want of a model.
type Model struct {
	ID      medlarid.ModelID
	Version medlarid.WeightVersion
	// Versions are the versions that were wanted one after the other, Version the last, and
	// when the core saw each first.
	Versions medlarhistory.History
}

// Kind tells what an upstream is.
type Kind string

// Kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Load is what an upstream last reported.
type Load struct {
	Running int // runs being computed
	Queued  int // runs waiting
	Slots   int // runs computed at the same time; 0 is no limit
	// Pending is the number of prompt tokens waiting for computation.
	Pending medlarid.Tokens
}

// Upstream is a replica of a model engine or an instance of a plain service.
type Upstream struct {
	ID       medlarid.InstanceID
	Kind     Kind
	Zone     medlarid.Zone
	Address  medlarid.Address
	Leaving  bool
	Delisted bool // no longer in the instance list
	// ReportedLeaving tells that the upstream itself said that it leaves.
	ReportedLeaving bool

	Model    medlarid.ModelID
	Version  medlarid.WeightVersion
	Service  medlarid.ServiceID
	InSubset bool // one of the replicas that this instance works with
	// SwapUntil is the time until which the replica is taken to be about to load another
	// weight version.
	SwapUntil time.Time
	// SwapExpected tells that Next is running or has run out for this change.
	SwapExpected bool
	Lag          medlardecay.Value // of first parts of answers
	// ConfirmedAt is when the answer to an attempt under Version, begun since Version is
	// known, came last.
	ConfirmedAt    time.Time
	KVCapacity     medlarid.Tokens       // of the KV cache; 0 is not known
	InFlightTokens medlarid.Tokens       // prompts of own attempts in flight
	Backlog        medlarbacklog.Backlog // own attempts whose answer has not begun

	Load       Load
	ReportedAt time.Time
	// PrefillRate is the number of prompt tokens computed a second.
	PrefillRate float64
	// BlockBytes is the size of one KV block.
	BlockBytes medlarid.Bytes
	// TokenBytes is the size of one token's part of the KV cache.
	TokenBytes medlarid.Bytes

	Open            int       // own attempts in flight
	SentSinceReport int       // own attempts since the report
	BusyUntil       time.Time // end of the prompts that wait, by the report and what was sent since
	Failures        int       // consecutive failures
	EjectedUntil    time.Time
	Ejections       int
}

// Store is a store instance with the link to it.
type Store struct {
	ID       medlarid.InstanceID
	Zone     medlarid.Zone
	Address  medlarid.Address
	Leaving  bool
	Delisted bool

	Rate          float64        // bytes a second
	InFlightBytes medlarid.Bytes // bytes of own imports in flight
	DownUntil     time.Time
	Stock         Inventory // of a store that keeps parts of prompts
}

// Class returns the run's class of urgency.
func (r *Run) Class() int { return min(max(int(-r.Priority), 0), medlarbacklog.NumClasses-1) }

// Inventory is what a store that keeps parts of prompts is believed to hold.
type Inventory struct {
	Capacity     medlarid.Tokens // 0 for a store that keeps no parts
	Setup        time.Duration   // before each transfer
	Epoch        uint64          // of the store's start
	FreshUntil   time.Time       // until when the belief may be acted on
	SaveFrom     time.Time       // from when on parts may be saved
	Parts        map[medlarkey.Key]medlarid.Tokens
	HeldTokens   medlarid.Tokens               // sum of Parts
	PendingSaves map[medlarkey.Key]PendingSave // parts that were asked to be saved
}

// PendingSave is a part that was asked to be saved.
type PendingSave struct {
	Tokens medlarid.Tokens
	Until  time.Time // until when it counts
}

// Phase is the state of a run.
type Phase string

// Phases of a run.
const (
	PhaseNew      Phase = "new"
	PhaseLookup   Phase = "finding"  // stores are asked for its context
	PhaseWaiting  Phase = "waiting"  // waits for an upstream
	PhaseClaiming Phase = "claiming" // its one attempt is being claimed
	PhaseRunning  Phase = "running"
	PhaseDone     Phase = "done"
)

// Run is one request of a caller.
type Run struct {
	ID      medlarid.RequestID
	Account medlarid.AccountID
	Model   medlarid.ModelID
	Version medlarid.WeightVersion
	Service medlarid.ServiceID
	// Config is the version of the lists that decided about the run.
	Config     medlarid.Offset
	AtMostOnce bool // must not be repeated
	Claimed    bool
	Keys       []medlarkey.Key
	// KeyTokens are the tokens of each key's part; nil for blocks of equal size.
	KeyTokens    []medlarid.Tokens
	PromptTokens medlarid.Tokens
	// HomeKey stands for what the run shares with others; zero for the conversation
	// that Keys begin with.
	HomeKey medlarkey.Key
	// HomeZone is the availability zone of the home replica.
	HomeZone medlarid.Zone
	// WantedVersion is the weight version that is wanted, where it is not Version, and
	// LaterKeys are the keys of the parts under it.
	WantedVersion medlarid.WeightVersion
	WantedKeys    []medlarkey.Key
	// MaxAttempts bounds the upstreams that the run may run on; 0 for the deployment's
	// number of attempts.
	MaxAttempts int
	// Priority is added to the account's.
	Priority medlarid.Priority
	Arrived  time.Time
	Deadline time.Time

	Phase           Phase
	Attempt         int
	AttemptsReached int // attempts that may have run
	Upstream        *Upstream
	Tried           []*Upstream
	NotBefore       time.Time // earliest time of the next attempt
	VirtualStart    float64   // place in the queue
	// LookupDeadline ends the wait for the stores.
	LookupDeadline time.Time
	StoredBlocks   []Handle               // kept blocks, in the order of Keys, from the first on
	PinnedVersion  medlarid.WeightVersion // version of the answer's first part, once there is one
	Reached        bool                   // an attempt may have run
	AttemptStarted time.Time              // start of the current attempt
	ExpectedTTFT   time.Duration          // until the first part of its answer
	ComputedTokens medlarid.Tokens        // of the prompt, by the upstream
	IdleTTFT       time.Duration          // until the first part, on an idle upstream
	// StartBy is the time until which an attempt can still be in time, and GiveUp the
	// one at which the caller leaves if no answer has begun; zero if they are not
	// known.
	TargetTTFT  time.Duration // until the first part of an answer in time; 0 is not known
	StartBy     time.Time
	AbandonAt   time.Time
	Late        bool // StartBy has passed
	LastFailure medlarreason.Reason
}

// Handle locates one kept KV block in a store.
type Handle struct {
	Key        medlarkey.Key
	Store      medlarid.InstanceID
	Slot       uint64
	Generation uint64
	Length     medlarid.Bytes
	Checksum   uint64
}

// World is all tables.
type World struct {
	Config Config
	Now    time.Time
	Rand   *rand.Rand

	Version     medlarid.Offset
	RecordsAsOf time.Time // as of when the operators' records are known
	Ready       bool
	Draining    bool
	Peers       int // live entry instances, this one included

	Accounts  map[medlarid.AccountID]*Account
	Models    map[medlarid.ModelID]Model
	Upstreams map[medlarid.InstanceID]*Upstream
	Engines   map[medlarid.ModelID][]*Upstream
	Services  map[medlarid.ServiceID][]*Upstream
	Stores    map[medlarid.InstanceID]*Store
	StoreList []*Store // ordered by ID
	Runs      map[medlarid.RequestID]*Run
	LookingUp []*Run // runs whose context the stores are asked for
	Waiting   []*Run // ordered queue
	Warm      *medlarcacheindex.Index
	Exported  *medlarkey.Set // last keys of segments that were exported

	Backlogs map[Target]*medlarbacklog.Backlog // of the upstreams of a target together

	VirtualTime float64            // virtual time of the queue
	RetryTokens map[Target]float64 // repeated attempts that may still be made

	Events   []Event
	Commands []Command
}

// Sizes of tables of hints.
const (
	maxWarm = 1 << 15 // blocks and parts that upstreams cache
	maxKept = 1 << 14 // segments that are remembered as kept in a store
)

// New returns a world with empty tables.
func New(cfg Config) *World {
	return &World{
		Config:      cfg,
		Rand:        rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		Peers:       1,
		Accounts:    map[medlarid.AccountID]*Account{},
		Models:      map[medlarid.ModelID]Model{},
		Upstreams:   map[medlarid.InstanceID]*Upstream{},
		Engines:     map[medlarid.ModelID][]*Upstream{},
		Services:    map[medlarid.ServiceID][]*Upstream{},
		Stores:      map[medlarid.InstanceID]*Store{},
		Runs:        map[medlarid.RequestID]*Run{},
		Backlogs:    map[Target]*medlarbacklog.Backlog{},
		RetryTokens: map[Target]float64{},
		Warm:        medlarcacheindex.New(maxWarm, cfg.MaxHolders),
		Exported:    medlarkey.NewSet(maxKept),
	}
}

// Emit adds a command for the edges.
func (w *World) Emit(c Command) { w.Commands = append(w.Commands, c) }

// Refuse ends a run that gets no answer and reports why. A run that reached an
// upstream is not reported as not run.
func (w *World) Refuse(r *Run, reason medlarreason.Reason, after time.Duration) {
	row, _ := medlarreason.Lookup(reason)
	ran := row.Ran
	if r.Reached {
		ran = medlarreason.RanUnknown
	}
	w.Emit(Refuse{
		Run: r.ID, Reason: reason, Ran: ran, RetryAfter: after,
		Waiting: len(w.Waiting), Upstreams: len(w.UpstreamsFor(r.Target())), RetryTokens: w.RetryTokens[r.Target()],
	})
	w.Finish(r)
}

// Finish takes a run out of the tables.
func (w *World) Finish(r *Run) {
	if r.Phase == PhaseDone {
		return
	}
	r.Phase = PhaseDone
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
	case r.WantedVersion:
		return r.WantedKeys
	}
	return nil
}

// Backlog returns what waits at all upstreams of a target, of own attempts.
func (w *World) Backlog(t Target) *medlarbacklog.Backlog {
	b := w.Backlogs[t]
	if b == nil {
		b = &medlarbacklog.Backlog{}
		w.Backlogs[t] = b
	}
	return b
}

// RemoveFromBacklogs notes that the answer to a run's attempt has begun, or will not come.
func (w *World) RemoveFromBacklogs(r *Run) {
	r.Upstream.Backlog.Remove(r.ID)
	w.Backlog(r.Target()).Remove(r.ID)
}

// AwaitingAnswer reports whether the run has an attempt whose answer has not begun.
func (r *Run) AwaitingAnswer() bool { return r.Upstream != nil && r.Upstream.Backlog.Has(r.ID) }

// Release takes the run's attempt off its upstream.
func (w *World) Release(r *Run) {
	if r.Upstream == nil {
		return
	}
	r.Upstream.Open--
	r.Upstream.InFlightTokens -= r.PromptTokens
	w.RemoveFromBacklogs(r)
	r.Upstream = nil
}

// Target is what a run asks for: a model, or a service.
type Target struct {
	Model   medlarid.ModelID
	Service medlarid.ServiceID
}

// Target returns what the run asks for. A run that names a service is for it,
// whatever model it names.
func (r *Run) Target() Target { return targetOf(r.Model, r.Service) }

func targetOf(m medlarid.ModelID, s medlarid.ServiceID) Target {
	if s != "" {
		return Target{Service: s}
	}
	return Target{Model: m}
}

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

// Target returns what the upstream serves.
func (u *Upstream) Target() Target { return targetOf(u.Model, u.Service) }

// UpstreamsFor returns the upstreams that serve a target.
func (w *World) UpstreamsFor(t Target) []*Upstream {
	if t.Service != "" {
		return w.Services[t.Service]
	}
	return w.Engines[t.Model]
}

// PrefillTime returns the time that an upstream takes to compute n prompt tokens.
func (u *Upstream) PrefillTime(n medlarid.Tokens) time.Duration {
	return time.Duration(float64(n) / max(u.PrefillRate, 1) * float64(time.Second))
}

// Usable reports whether an upstream may get new work now.
func (u *Upstream) Usable(now time.Time) bool {
	return !u.Leaving && !u.Delisted && !now.Before(u.EjectedUntil)
}

// Usable reports whether a store may be asked now.
func (s *Store) Usable(now time.Time) bool {
	return !s.Leaving && !s.Delisted && !now.Before(s.DownUntil)
}

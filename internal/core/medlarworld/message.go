package medlarworld

import (
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarreason"
)

// Event is something that the edges report to the core.
type Event interface{ event() }

// Command is something that the core asks the edges to do.
type Command interface{ command() }

// Submitted reports a new request.
type Submitted struct {
	Run    *Run
	Limits Limits // of the account, by the lists in force
}

// Cause tells how an attempt ended.
type Cause string

// Causes.
const (
	CauseDone          Cause = "done"    // the answer is whole
	CauseRetry         Cause = "retry"   // failed; Reason says why
	CauseUpstreamError Cause = "answer"  // the upstream answered with an error of its own
	CauseCallerLeft    Cause = "left"    // the caller went away
	CauseUnknown       Cause = "unknown" // an unrepeatable attempt failed after it was sent
)

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Run     medlarid.RequestID
	Attempt int
	Cause   Cause
	Reason  medlarreason.Reason // with CauseRetry
	// Reached tells whether the attempt may have run.
	Reached bool
	// Version is the weight version of the part that the caller has; empty when
	// the caller has none.
	Version medlarid.WeightVersion
}

// LookedUp reports the kept blocks of a run.
type LookedUp struct {
	Run     medlarid.RequestID
	Handles []Handle
}

// ClaimGranted reports that the run's one attempt belongs to this instance.
type ClaimGranted struct {
	Run medlarid.RequestID
}

// ClaimDenied reports that the run's attempt was not granted.
type ClaimDenied struct {
	Run    medlarid.RequestID
	Reason medlarreason.Reason
}

// SharesGranted reports shares of accounts' limits.
type SharesGranted struct {
	Shares []Share
}

// CallerLeft reports that the caller of a run went away.
type CallerLeft struct {
	Run medlarid.RequestID
}

// ListsApplied reports the lists in force.
type ListsApplied struct {
	Version medlarid.Offset
	Models  []Model
}

// Member is one instance of the platform's list.
type Member struct {
	ID      medlarid.InstanceID
	Kind    string // "entry", "engine", "service" or "store"
	Zone    medlarid.Zone
	Address medlarid.Address
	Leaving bool
	Model   medlarid.ModelID
	Service medlarid.ServiceID
	// Version, Slots and Prefill are what the list tells of an engine; empty where it
	// tells nothing.
	Version     medlarid.WeightVersion
	Slots       int
	PrefillRate float64         // prompt tokens a second
	TokenBytes  medlarid.Bytes  // of one token in its memory
	KVCapacity  medlarid.Tokens // of its KV cache
	// Capacity, Rate and Setup are of a store that keeps parts of prompts.
	Capacity medlarid.Tokens
	Rate     float64 // bytes a second
	Setup    time.Duration
}

// InstancesListed reports the platform's instance list.
type InstancesListed struct {
	Members []Member
	// Peers is the number of live entry instances where that is known better
	// than from the list; 0 otherwise.
	Peers int
}

// StatusReported is a status of an engine.
type StatusReported struct {
	Upstream    medlarid.InstanceID
	Model       medlarid.ModelID
	Version     medlarid.WeightVersion
	Load        Load
	PrefillRate float64
	BlockBytes  medlarid.Bytes
	Leaving     bool
}

// CacheChanged reports changes of an engine's prefix cache. Reset forgets all before.
type CacheChanged struct {
	Upstream medlarid.InstanceID
	Reset    bool
	Stored   []medlarkey.Key
	Evicted  []medlarkey.Key
}

// AnswerBegan reports that the first part of an attempt's answer has come.
type AnswerBegan struct {
	Run     medlarid.RequestID
	Attempt int
	After   time.Duration // since the attempt was begun
	// Version is the weight version under which the attempt was made; the answer shows
	// that the upstream has it.
	Version medlarid.WeightVersion
}

// StoredPart is a part that a store holds.
type StoredPart struct {
	Key    medlarkey.Key
	Tokens medlarid.Tokens
}

// InventoryReported reports what a store says of its parts, as of a time. Reset forgets all
// that was known before.
type InventoryReported struct {
	Store   medlarid.InstanceID
	Epoch   uint64
	At      time.Time
	Reset   bool
	Added   []StoredPart
	Removed []medlarkey.Key
}

// RecordsCurrent reports that the operators' records are known as of a time.
type RecordsCurrent struct{ At time.Time }

// WeightsLoading reports that an upstream is loading other weights.
type WeightsLoading struct{ Upstream medlarid.InstanceID }

// TransferEnded reports the end of a transfer over the link to a store.
type TransferEnded struct {
	Store  medlarid.InstanceID
	Bytes  medlarid.Bytes
	Took   time.Duration
	Failed bool
	Import bool // an import that the core had counted as in flight
}

// StopRequested reports that the instance is to stop.
type StopRequested struct{}

// Tick reports that time has passed.
type Tick struct{}

func (Submitted) event()         {}
func (AttemptEnded) event()      {}
func (LookedUp) event()          {}
func (ClaimGranted) event()      {}
func (ClaimDenied) event()       {}
func (SharesGranted) event()     {}
func (CallerLeft) event()        {}
func (ListsApplied) event()      {}
func (InstancesListed) event()   {}
func (StatusReported) event()    {}
func (CacheChanged) event()      {}
func (TransferEnded) event()     {}
func (InventoryReported) event() {}
func (RecordsCurrent) event()    {}
func (WeightsLoading) event()    {}
func (AnswerBegan) event()       {}
func (StopRequested) event()     {}
func (Tick) event()              {}

// StartAttempt asks for an attempt of a run.
type StartAttempt struct {
	Run      medlarid.RequestID
	Attempt  int
	Upstream medlarid.InstanceID
	Address  medlarid.Address
	Version  medlarid.WeightVersion
	Priority medlarid.Priority
	// CachedKeys is the number of the run's keys that the upstream is believed to cache.
	CachedKeys int
	// Import lists kept blocks to import before the attempt.
	Import []Handle
	// ImportTimeout is the time after which the attempt goes on without the import.
	ImportTimeout time.Duration
	// Fetch and Save name, for each of the run's keys, the store that its part is
	// fetched from and saved to; empty for none. A fetch has to end by FetchTill.
	Fetch         []medlarid.Address
	Save          []medlarid.Address
	FetchDeadline time.Time
	// Parts tells what was believed of each part when this was decided.
	Parts    []PartState
	Decision Decision
}

// Decision is what a choice of an upstream was made from, for the log.
type Decision struct {
	Candidates int     // upstreams that could take the run
	Pending    float64 // work that waits at the chosen one, of this instance, in tokens
	Window     float64 // bound of Pending; 0 for none
	// TotalPending and TotalWindow are the same at all upstreams that serve what the run asks for.
	TotalPending, TotalWindow float64
	Lag                       float64 // seconds by which it answers later than expected
}

// PartState is what is believed of a part of a prompt.
type PartState byte

// States of parts.
const (
	PartCold     PartState = 'c' // computed by the upstream
	PartWarm     PartState = 'w' // cached by the upstream
	PartFetched  PartState = 'f' // fetched from a store
	PartSkipped  PartState = 'l' // held by a store, and cheaper to compute
	PartSaved    PartState = 's' // computed, and saved to a store
	PartUnshared PartState = 'o' // the request's own
)

// Refuse asks to tell the caller that the run gets no answer.
type Refuse struct {
	Run        medlarid.RequestID
	Reason     medlarreason.Reason
	Ran        medlarreason.Ran
	RetryAfter time.Duration // when to come back; 0 is not said
	// Waiting is the number of runs that waited, Kin the number of upstreams, and Budget
	// what was left for repeated attempts when this was decided.
	Waiting     int
	Upstreams   int
	RetryTokens float64
}

// LookUp asks the stores for a run's kept blocks.
type LookUp struct {
	Run    medlarid.RequestID
	Stores []StoreKeys
}

// StoreKeys is the part of a chain of keys that one store may hold.
type StoreKeys struct {
	Store   medlarid.InstanceID
	Address medlarid.Address
	Keys    []medlarkey.Key
}

// Claim asks for the run's one attempt.
type Claim struct {
	Run medlarid.RequestID
}

// Export asks to keep the blocks of a finished run.
type Export struct {
	Upstream medlarid.InstanceID
	Address  medlarid.Address
	Account  medlarid.AccountID
	Stores   []StoreKeys
}

// Retried reports a retry, for the counters.
type Retried struct {
	Reason medlarreason.Reason
}

// Demand is what this instance wants of an account's limits.
type Demand struct {
	Account medlarid.AccountID
	Rate    float64 // requests a second that came
	Open    int
}

// RequestShares asks for shares of accounts' limits.
type RequestShares struct {
	Demands []Demand
}

// Ejected reports that an upstream was ejected or came back.
type Ejected struct {
	Upstream   medlarid.InstanceID
	Readmitted bool
}

func (StartAttempt) command()  {}
func (Refuse) command()        {}
func (LookUp) command()        {}
func (Claim) command()         {}
func (Export) command()        {}
func (Retried) command()       {}
func (RequestShares) command() {}
func (Ejected) command()       {}

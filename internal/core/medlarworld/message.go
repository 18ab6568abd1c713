package medlarworld

import (
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbudget"
	"medlarfield/internal/core/medlarbuild"
	"medlarfield/internal/core/medlarchoice"
	"medlarfield/internal/core/medlarhistory"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarload"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarupstream"
)

// Event is an input of the core: something that the I/O layers report.
type Event interface{ event() }

// Command is an output of the core: something that the I/O layers are to do.
type Command interface{ command() }

// Submitted reports a new request.
type Submitted struct {
	Run    *Run
	Limits Limits // of the account, by the lists in force
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Run     medlarid.RequestID
	Attempt int
	Cause   medlarkind.Cause
	Reason  medlarreason.Reason // set with CauseRetry
	// Reached is set if the attempt may have run.
	Reached bool
	// Version is the weight version of the part of the answer that the caller has;
	// empty when the caller has none.
	Version medlarid.WeightVersion
	// Lost is set if the upstream ended the connection before the answer was complete.
	Lost bool
	// Connected is when the connection of the attempt was established; zero if there was none.
	Connected time.Time
	// Head is set if a byte of a response was received.
	Head bool
	// Began is the time since the first event of a stream, or since another answer was known to be
	// too long to be kept; 0 if there was neither.
	Began time.Duration
	// Delimited is set if the end of the connection delimited a complete answer. One that a crash cut off between two
	// events looks the same.
	Delimited bool
}

// LookedUp reports which of a run's blocks are held in stores.
type LookedUp struct {
	Run     medlarid.RequestID
	Handles []medlarinventory.Handle
}

// ClaimGranted reports that the run's only attempt is granted to this instance.
type ClaimGranted struct{ Run medlarid.RequestID }

// ClaimDenied reports that the run's attempt was not granted.
type ClaimDenied struct {
	Run    medlarid.RequestID
	Reason medlarreason.Reason
}

// SharesGranted reports the granted shares of accounts' limits.
type SharesGranted struct {
	Shares []medlarbudget.Share
}

// CallerLeft reports that the caller of a run went away.
type CallerLeft struct{ Run medlarid.RequestID }

// ListsApplied reports the lists in force.
type ListsApplied struct {
	Version medlarid.Offset
	Models  []Model
}

// InstancesListed reports the platform's instance list.
type InstancesListed struct {
	Members []medlarupstream.Member
	// Peers is the number of live entry instances where a better source than the list
	// is available; 0 otherwise.
	Peers int
}

// StatusReported carries the status of an engine.
type StatusReported struct {
	Upstream    medlarid.InstanceID
	Model       medlarid.ModelID
	Version     medlarid.WeightVersion
	Load        medlarupstream.Load
	PrefillRate float64
	BlockBytes  medlarid.Bytes
	Leaving     bool
}

// CacheChanged reports changes of an engine's prefix cache. Reset discards all
// earlier changes.
type CacheChanged struct {
	Upstream medlarid.InstanceID
	Reset    bool
	Stored   []medlarkey.Key
	Evicted  []medlarkey.Key
}

// AnswerBegan reports the first part of an attempt's answer.
type AnswerBegan struct {
	Run     medlarid.RequestID
	Attempt int
	After   time.Duration // since the start of the attempt
	// Version is the weight version under which the attempt was made; the answer
	// confirms that the upstream has it.
	Version medlarid.WeightVersion
}

// InventoryReported carries what a store reports about its parts.
// Reset discards all that was known before.
type InventoryReported struct {
	Store   medlarid.InstanceID
	Epoch   uint64
	At      time.Time // the contents are at least as recent; zero if they are stale
	Reset   bool
	Added   []medlarinventory.StoredPart
	Removed []medlarkey.Key
}

// ZonesEvacuated carries the availability zones that the operators evacuate: their upstreams get no new attempts.
type ZonesEvacuated struct{ Zones []medlarid.Zone }

// RecordsCurrent reports that the operators' records are known as of a time. What was read until then was
// reported before.
type RecordsCurrent struct{ At time.Time }

// ReplicasCurrent reports the same of the replicas' entries.
type ReplicasCurrent struct{ At time.Time }

// HeartbeatsRead reports heartbeats of upstreams whose service configures a cold rate.
type HeartbeatsRead struct{ Heartbeats []medlarupstream.Heartbeat }

// WeightsLoading reports that an upstream is loading other weights.
type WeightsLoading struct{ Upstream medlarid.InstanceID }

// UpstreamLeaving reports that an upstream said in a response that it leaves.
type UpstreamLeaving struct {
	Upstream    medlarid.InstanceID
	Incarnation medlarid.Incarnation
	From        medlarid.InstanceID // that passed it on; empty for a response to this instance
}

// UpstreamPaused reports that an upstream turned a request away and asked for no further ones
// for some time.
type UpstreamPaused struct {
	Upstream    medlarid.InstanceID
	Incarnation medlarid.Incarnation
	For         time.Duration
	From        medlarid.InstanceID // as in UpstreamLeaving
}

// UpstreamProbed reports whether an upstream that ended connections is down: it refuses new ones, or they end without an
// answer behind a proxy or a balancer.
type UpstreamProbed struct {
	Crash   medlarsuspect.CrashID // that the upstream is suspected of
	Down    bool
	Refused bool // it refuses new connections, so that it was up when it accepted those that it ended
	// Answered is set if it has answered a call. Without that an upstream that is not down is not known to be up either.
	Answered bool
}

// CrashReported carries what another instance lost with a replica that crashed.
type CrashReported struct{ Report medlarsuspect.Report }

// BlockRecorded carries the shared state of a trait. Dropped is set if the state is gone.
type BlockRecorded struct {
	Trait   medlarsuspect.Trait
	Block   medlarsuspect.Block
	Dropped bool
}

// TrialGranted reports that a claimed trial of a blocked trait is granted to this instance.
type TrialGranted struct {
	Trait  medlarsuspect.Trait
	Trials int
}

// RecordsRestored reports that the store came back from a copy and may lack shared state.
type RecordsRestored struct{}

// UpstreamLimited reports what an upstream said in an answer of its limit of requests.
type UpstreamLimited struct {
	Upstream    medlarid.InstanceID
	Incarnation medlarid.Incarnation
	Named       bool    // the answer named a limit
	Limit       float64 // requests per second from all instances together
	// AttemptStarted is when the attempt started that was answered so.
	AttemptStarted time.Time
}

// UpstreamBrittle reports whether an upstream said in an answer that it is brittle.
type UpstreamBrittle struct {
	Upstream    medlarid.InstanceID
	Incarnation medlarid.Incarnation
	Most        int // requests that it can turn away in a second for lack of room; 0 if it did not say so
}

// InstancesAnnounced carries the instances that have announced themselves, without this one.
type InstancesAnnounced struct{ Others []medlarid.InstanceID }

// Rates are requests per second by service.
type Rates map[medlarid.ServiceID]float64

// PeerLoadReported carries the load that another instance puts on upstreams, and the ages of changes of
// desired weight versions that it knows.
type PeerLoadReported struct {
	Peer    medlarid.InstanceID
	Loads   []medlarload.Load
	Changes []medlarhistory.ChangeAge
}

// PeerSumReported carries the load that all other instances together put on upstreams whose hashes are in one of several
// ranges.
type PeerSumReported struct {
	Ranges, Range int
	Age           time.Duration // of the oldest report in the sum
	Loads         []medlarload.Load
}

// LimitRecorded carries the shared limit of an upstream. Dropped is set if there is none any longer.
type LimitRecorded struct {
	Upstream    medlarid.InstanceID
	Incarnation medlarid.Incarnation
	Limit       float64 // requests per second from all instances together
	Dropped     bool
}

// NeedRecorded carries how many requests an instance gets for services with limited upstreams.
type NeedRecorded struct {
	Instance medlarid.InstanceID
	Serial   uint64 // increases with each record of the instance
	Rates    Rates
}

// NoticesRead reports that the records of all instances are known as of now.
type NoticesRead struct{}

// NoticesCurrent answers ReadNotices: the core has got what all instances have recorded until AsOf, unless
// the read has failed.
type NoticesCurrent struct {
	AsOf   time.Time
	Failed bool
}

// NoticesWritten reports that the store has accepted records of this instance. Streams is the serial number of
// the latest record of its streams among them; 0 for none.
type NoticesWritten struct{ Streams uint64 }

// BuildsAssigned carries the assignment of a service's streams to builds. Dropped is set if it is
// gone.
type BuildsAssigned struct {
	Service    medlarid.ServiceID
	Assignment medlarbuild.Assignment
	Dropped    bool
}

// StreamsRecorded carries streams of another instance and the builds at which they go on.
type StreamsRecorded struct {
	Builds map[medlarbuild.Key]medlarid.Build
}

// AssignmentsSeen carries which assignments an instance, which may be this one, has read.
type AssignmentsSeen struct {
	Instance medlarid.InstanceID
	Seen     medlarbuild.Seen
}

// TransferEnded reports the end of a transfer over the link to a store.
type TransferEnded struct {
	Store  medlarid.InstanceID
	Bytes  medlarid.Bytes
	Took   time.Duration
	Failed bool
	Import bool // an import that the core had counted as in flight
}

// StopRequested reports that the instance is to stop, and takes no further runs. Near is set if it is about to
// stop: an attempt that begins would not end before.
type StopRequested struct{ Near bool }

// Tick reports that time has passed.
type Tick struct{}

func (Submitted) event()          {}
func (AttemptEnded) event()       {}
func (LookedUp) event()           {}
func (ClaimGranted) event()       {}
func (ClaimDenied) event()        {}
func (SharesGranted) event()      {}
func (CallerLeft) event()         {}
func (ListsApplied) event()       {}
func (InstancesListed) event()    {}
func (StatusReported) event()     {}
func (CacheChanged) event()       {}
func (TransferEnded) event()      {}
func (UpstreamLeaving) event()    {}
func (UpstreamPaused) event()     {}
func (UpstreamLimited) event()    {}
func (UpstreamBrittle) event()    {}
func (InstancesAnnounced) event() {}
func (LimitRecorded) event()      {}
func (NeedRecorded) event()       {}
func (UpstreamProbed) event()     {}
func (CrashReported) event()      {}
func (BlockRecorded) event()      {}
func (TrialGranted) event()       {}
func (RecordsRestored) event()    {}
func (NoticesRead) event()        {}
func (PeerLoadReported) event()   {}
func (PeerSumReported) event()    {}
func (NoticesCurrent) event()     {}
func (NoticesWritten) event()     {}
func (BuildsAssigned) event()     {}
func (StreamsRecorded) event()    {}
func (AssignmentsSeen) event()    {}
func (InventoryReported) event()  {}
func (ZonesEvacuated) event()     {}
func (RecordsCurrent) event()     {}
func (ReplicasCurrent) event()    {}
func (HeartbeatsRead) event()     {}
func (WeightsLoading) event()     {}
func (AnswerBegan) event()        {}
func (StopRequested) event()      {}
func (Tick) event()               {}

// StartAttempt asks for an attempt of a run.
type StartAttempt struct {
	Run      medlarid.RequestID
	Attempt  int
	Upstream medlarid.InstanceID
	Address  medlarid.Address
	// Incarnation and Build of the upstream.
	Incarnation medlarid.Incarnation
	Build       medlarid.Build
	Version     medlarid.WeightVersion
	Priority    medlarid.Priority
	// CachedKeys is the number of the run's keys that the upstream is believed to cache.
	CachedKeys int
	// Import lists the blocks to import from stores before the attempt.
	Import []medlarinventory.Handle
	// ImportTimeout is the time after which the attempt goes on without the import.
	ImportTimeout time.Duration
	// Fetch and Save hold, for each of the run's keys, the address of the store that its
	// part is fetched from and saved to; empty for none. A fetch has to end by
	// FetchDeadline.
	Fetch         []medlarid.Address
	Save          []medlarid.Address
	FetchDeadline time.Time
	// Limited is set if the upstream is known to have a limit of requests, Brittle if it is known to be brittle.
	Limited, Brittle bool
	// AwaitRecord is set if the first event of the stream must not be passed on before StreamRecorded: no
	// other instance could tell at which build it goes on.
	AwaitRecord bool
	// Parts holds the state of each part that the decision assumed.
	Parts    []medlarchoice.PartState
	Decision medlarchoice.Decision
}

// Refuse asks to tell the caller that the run gets no answer.
type Refuse struct {
	Run        medlarid.RequestID
	Reason     medlarreason.Reason
	Ran        medlarreason.Ran
	RetryAfter time.Duration // delay before the caller should retry; 0 if not given
	// Waiting is the number of runs that waited, Upstreams the number of upstreams of
	// the target, and RetryTokens what was left of the target's retry budget at the time
	// of the decision.
	Waiting     int
	Upstreams   int
	RetryTokens float64
	// Trait is the blocked trait for which the run is refused; empty for another reason.
	Trait medlarsuspect.Trait
}

// LookUp asks the stores for a run's blocks.
type LookUp struct {
	Run    medlarid.RequestID
	Stores []StoreKeys
}

// StoreKeys is the part of a chain of keys that belongs in one store.
type StoreKeys struct {
	Store   medlarid.InstanceID
	Address medlarid.Address
	Keys    []medlarkey.Key
}

// Claim asks for the grant of the run's only attempt.
type Claim struct{ Run medlarid.RequestID }

// Withdraw asks to end an attempt whose answer has not begun. One whose answer has begun goes on.
type Withdraw struct {
	Run     medlarid.RequestID
	Attempt int
}

// Export asks to copy the blocks of a finished run to stores.
type Export struct {
	Upstream medlarid.InstanceID
	Address  medlarid.Address
	Account  medlarid.AccountID
	Stores   []StoreKeys
}

// Retried reports a retry, for the metrics.
type Retried struct{ Reason medlarreason.Reason }

// Demand is this instance's use of an account's limits.
type Demand struct {
	Account medlarid.AccountID
	Rate    float64 // arrived requests per second
	Open    int
}

// RequestShares asks for shares of accounts' limits.
type RequestShares struct{ Demands []Demand }

// Avoided reports that an upstream gets no new work because of what it said in a response.
type Avoided struct {
	Upstream    medlarid.InstanceID
	Incarnation medlarid.Incarnation
	Leaving     bool                // for good; otherwise for a pause
	For         time.Duration       // the pause
	Until       time.Time           // when it ends
	From        medlarid.InstanceID // that passed it on; empty for a response to this instance
}

// Ejected reports that an upstream was ejected or readmitted.
type Ejected struct {
	Upstream   medlarid.InstanceID
	Readmitted bool
}

// LimitChanged reports that an upstream named another limit, or none any longer, for the log.
type LimitChanged struct {
	Upstream medlarid.InstanceID
	Limited  bool
	Limit    float64 // requests per second from all instances together
}

// BrittleChanged reports that an upstream says that it is brittle, or does no longer, for the log.
type BrittleChanged struct {
	Upstream medlarid.InstanceID
	Most     int // requests that it can turn away in a second; 0 if it is not brittle
}

// PaceChanged reports that an upstream has entered another phase of medlarpace, for the log.
type PaceChanged struct {
	Upstream medlarid.InstanceID
	Phase    medlarupstream.PacePhase
	For      time.Duration // for which the phase is expected to last
	Rate     float64       // requests per second that this instance may send it while it is cold
}

// PaceCounted reports the number of upstreams that are cold or start slowly, for the metrics.
type PaceCounted struct{ Upstreams int }

// HeldBack reports, once for each run, that it was kept from an upstream that is cold or starts slowly, for the metrics.
type HeldBack struct{}

// Reserved reports, once for each run, that it was kept from an upstream whose room is reserved for more urgent runs
// (see medlarheadroom), for the metrics.
type Reserved struct{}

// RecordLimit asks to share the limit of an upstream with all instances, or its end.
type RecordLimit struct {
	Upstream    medlarid.InstanceID
	Incarnation medlarid.Incarnation
	Limited     bool
	Limit       float64 // requests per second from all instances together
}

// RecordNeed asks to tell all instances how many requests this one gets.
type RecordNeed struct {
	Serial uint64
	Rates  Rates
}

// TellLoad asks to tell other instances of the load that this one puts on upstreams, and of the ages of changes of
// desired weight versions.
type TellLoad struct {
	Loads     []medlarload.Load
	Changes   []medlarhistory.ChangeAge
	Upstreams int // number of upstreams that are listed
}

// AssignBuilds asks to record the assignment of a service's streams to builds for all instances. With
// Claim set it counts only if no other instance has recorded anything meanwhile.
type AssignBuilds struct {
	Service    medlarid.ServiceID
	Assignment medlarbuild.Assignment
	Claim      bool
}

// RecordStreams asks to record this instance's streams whose build no other one can derive.
type RecordStreams struct {
	Builds map[medlarbuild.Key]medlarid.Build
	Serial uint64 // increases with each record of this instance
}

// StreamRecorded tells a run whose attempt was started with AwaitRecord that its stream is recorded.
type StreamRecorded struct {
	Run     medlarid.RequestID
	Attempt int
}

// ReadNotices asks to read what all instances have recorded until now, which is At.
type ReadNotices struct{ At time.Time }

// RecordSeen asks to record which assignments this instance has read.
type RecordSeen struct{ Seen medlarbuild.Seen }

// ProbeUpstream asks whether an upstream that ended connections is down.
type ProbeUpstream struct {
	Crash   medlarsuspect.CrashID // that the upstream is suspected of
	Address medlarid.Address
}

// ReportCrash asks to report to all instances what this one lost with a replica that crashed.
type ReportCrash struct{ Report medlarsuspect.Report }

// RecordBlock asks to share the state of a trait with all instances.
type RecordBlock struct{ Record medlarsuspect.Record }

// BlockChanged reports that a trait is blocked or no longer blocked, for the log.
type BlockChanged struct{ Change medlarsuspect.Change }

func (StartAttempt) command()   {}
func (Withdraw) command()       {}
func (LimitChanged) command()   {}
func (BrittleChanged) command() {}
func (PaceChanged) command()    {}
func (PaceCounted) command()    {}
func (HeldBack) command()       {}
func (Reserved) command()       {}
func (RecordLimit) command()    {}
func (RecordNeed) command()     {}
func (ProbeUpstream) command()  {}
func (ReportCrash) command()    {}
func (RecordBlock) command()    {}
func (AssignBuilds) command()   {}
func (RecordStreams) command()  {}
func (StreamRecorded) command() {}
func (RecordSeen) command()     {}
func (ReadNotices) command()    {}
func (TellLoad) command()       {}
func (BlockChanged) command()   {}
func (Refuse) command()         {}
func (LookUp) command()         {}
func (Claim) command()          {}
func (Export) command()         {}
func (Retried) command()        {}
func (RequestShares) command()  {}
func (Ejected) command()        {}
func (Avoided) command()        {}

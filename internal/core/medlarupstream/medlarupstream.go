// Package medlarupstream defines what the core knows of upstreams and stores, and what the platform lists of them.
package medlarupstream

import (
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbacklog"
	"medlarfield/internal/core/medlardecay"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkind"
)

// Load is the load that an upstream last reported.
type Load struct {
	Running int // runs being computed
	Queued  int // runs waiting
	Slots   int // maximum number of runs computed concurrently; 0 for no limit
	// Pending is the number of prompt tokens waiting for computation.
	Pending medlarid.Tokens
}

// Brittleness is the state of a brittle upstream, which crashes when it has to turn away too many requests for lack of room.
type Brittleness struct {
	Most int // requests that it can turn away in a second; 0 if it is not brittle
	Part int // own attempts that it gets at most at once
	Room int // own attempts that it takes at once, as far as is known
	// The upstream gets no attempts before PausedUntil. From GrowsAt on this instance may try a larger Room.
	PausedUntil, GrowsAt time.Time
}

// Pacing is the limit on what an upstream gets that is cold, has just started, or is back after failures (see medlarpace).
type Pacing struct {
	ColdRate    float64       // requests per second while it is cold; 0 if its service configures none
	ColdTime    time.Duration // from its start, for which it is cold
	Fresh       bool          // it has started since this instance read the list of upstreams for the first time
	StatedUntil time.Time     // until when it is cold, as it has stated itself
	FailedAt    time.Time     // when it last could not be reached, or crashed; zero if a later heartbeat shows the same start

	ColdUntil time.Time // until when it counts as cold
	SlowFrom  time.Time // when its slow start begins; zero for none
	Instances int       // that are known, including this one
	Known     bool      // the other instances are known well enough to share the upstream with them
	Rank      int       // of this instance among them, from 0 on
	RankedBy  int       // number of the list of instances that Rank was computed from; 0 for none
	Rate      float64   // this instance's part of the cold rate, in requests per second
	Bucket    *Bucket   // of tokens for attempts while it is cold; nil before that
	Window    int       // own attempts that it may have in flight in the slow start
}

// Bucket holds tokens, one for each attempt that may start, as of FilledAt.
type Bucket struct {
	Tokens   float64
	FilledAt time.Time
}

// PacePhase is the reason for which an upstream gets fewer requests (see medlarpace).
type PacePhase string

// Phases.
const (
	PaceNone PacePhase = ""     // it gets requests without a limit
	PaceCold PacePhase = "cold" // it gets a limited number of requests per second
	PaceSlow PacePhase = "slow" // it starts slowly
)

// Upstream is a replica of a model engine or an instance of a plain service.
type Upstream struct {
	ID       medlarid.InstanceID
	Kind     medlarkind.Kind
	Zone     medlarid.Zone
	Address  medlarid.Address
	Leaving  bool
	Delisted bool // no longer in the instance list
	// Evacuated is set if the operators evacuate the upstream's availability zone.
	Evacuated bool
	// ReportedLeaving is set once the upstream itself reported that it leaves.
	ReportedLeaving bool
	Incarnation     medlarid.Incarnation
	Build           medlarid.Build
	// PausedUntil is the time until which the upstream asked for no requests.
	PausedUntil time.Time
	// Limit is how many requests a second the upstream takes from all instances together, if
	// Limited is set.
	Limit   float64
	Limited bool
	// LimitShare is this instance's share of the limit in requests per second, and LimitTokens
	// how many attempts it may start now. LimitSettled is set if the share is agreed with the other instances.
	LimitShare   float64
	LimitTokens  float64
	LimitSettled bool

	Brittle Brittleness
	Pace    Pacing

	Model   medlarid.ModelID
	Version medlarid.WeightVersion
	// VersionDenied is set if the replica has denied that it runs Version.
	VersionDenied bool
	Service       medlarid.ServiceID
	InSubset      bool // in the subset of replicas that this instance uses
	// Far is set if the upstream is outside the subset of its service's replicas that this instance usually sends to, as one
	// of a large fleet (medlarsubset).
	Far bool
	// SwapUntil is the time until which the replica is assumed to be about to load
	// another weight version.
	SwapUntil time.Time
	// SwapExpected is set once SwapUntil was set for the current change of weights, also
	// after that time has passed.
	SwapExpected bool
	Lag          medlardecay.Value // lag of the first part of answers
	// ConfirmedAt is the start of the latest attempt under Version that was answered. It
	// started after Version became known.
	ConfirmedAt    time.Time
	ListedAt       time.Time             // when it was first listed in its present start
	KVCapacity     medlarid.Tokens       // capacity of the KV cache; 0 if not known
	InFlightTokens medlarid.Tokens       // prompt tokens of own attempts in flight
	Backlog        medlarbacklog.Backlog // own attempts whose answer has not begun

	Load       Load
	ReportedAt time.Time
	// PrefillRate is the number of prompt tokens computed per second.
	PrefillRate float64
	// BlockBytes is the size of one KV block.
	BlockBytes medlarid.Bytes
	// TokenBytes is the size of one token in the KV cache.
	TokenBytes medlarid.Bytes

	Open            int             // own attempts in flight
	PeerOpen        int             // attempts of other instances in flight, as they told last
	PeerPending     medlarid.Tokens // prompt tokens of these that are still to be computed before answers begin
	SentSinceReport int             // own attempts started since the last report
	BusyUntil       time.Time       // estimated end of the pending prompts: those reported and those sent since
	Failures        int             // consecutive failures
	EjectedUntil    time.Time
	Ejections       int
}

// Store is a store instance and the link to it.
type Store struct {
	ID       medlarid.InstanceID
	Zone     medlarid.Zone
	Address  medlarid.Address
	Leaving  bool
	Delisted bool // no longer in the instance list

	Rate          float64        // bytes per second
	InFlightBytes medlarid.Bytes // bytes of own imports in flight
	DownUntil     time.Time
	Failures      int                       // consecutive failed transfers
	Stock         medlarinventory.Inventory // of a store that keeps parts of prompts
}

// Target is what a run is addressed to: a model or a service.
type Target struct {
	Model   medlarid.ModelID
	Service medlarid.ServiceID
}

// TargetOf returns the target of a run or upstream of a model or a service. If there is a service, it is the target,
// whatever the model.
func TargetOf(m medlarid.ModelID, s medlarid.ServiceID) Target {
	if s != "" {
		return Target{Service: s}
	}
	return Target{Model: m}
}

// Target returns the target that the upstream serves.
func (u *Upstream) Target() Target { return TargetOf(u.Model, u.Service) }

// PrefillTime returns the time that the upstream takes to compute n prompt tokens.
func (u *Upstream) PrefillTime(n medlarid.Tokens) time.Duration {
	return time.Duration(float64(n) / max(u.PrefillRate, 1) * float64(time.Second))
}

// TotalOpen returns the number of attempts in flight, of all instances.
func (u *Upstream) TotalOpen() int { return u.Open + u.PeerOpen }

// Usable reports whether an upstream may get new work now.
func (u *Upstream) Usable(now time.Time) bool {
	return !u.Leaving && !u.Delisted && !u.Evacuated && !now.Before(u.EjectedUntil) && !now.Before(u.PausedUntil)
}

// Usable reports whether a store may be sent requests now.
func (s *Store) Usable(now time.Time) bool {
	return !s.Leaving && !s.Delisted && !now.Before(s.DownUntil)
}

// Member is one instance of the platform's instance list.
type Member struct {
	ID medlarid.InstanceID
	// Incarnation changes when the instance starts again.
	Incarnation medlarid.Incarnation
	Kind        string // "entry", "engine", "service" or "store"
	Zone        medlarid.Zone
	Address     medlarid.Address
	Leaving     bool
	Model       medlarid.ModelID
	Service     medlarid.ServiceID
	// Version, Slots and PrefillRate are what the list says about an engine; zero where
	// it says nothing.
	Version medlarid.WeightVersion
	Slots   int
	Build   medlarid.Build
	// VersionDenied is set if the engine has denied that it runs Version, and which one it runs is not known.
	VersionDenied bool
	PrefillRate   float64         // prompt tokens per second
	TokenBytes    medlarid.Bytes  // size of one token in the KV cache
	KVCapacity    medlarid.Tokens // capacity of the KV cache
	// Capacity, Rate and Setup describe a store that keeps parts of prompts.
	Capacity medlarid.Tokens
	Rate     float64 // bytes per second
	Setup    time.Duration
	// ColdRate, ColdTime and ColdUntil describe how long a replica is cold, and how many requests per second it gets
	// then; zero where nothing is known.
	ColdRate  float64
	ColdTime  time.Duration // from its start
	ColdUntil time.Time     // as the replica itself has stated
	Fresh     bool          // it has started since this instance read the list for the first time
}

// Heartbeat reports that an upstream runs.
type Heartbeat struct {
	Upstream    medlarid.InstanceID
	Incarnation medlarid.Incarnation
}

// Package medlarcall holds what is said of a request between the doors, the adapters
// and the log: by the caller, to an upstream, by the upstream, and of its end.
package medlarcall

import (
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
)

// Part is one part of a prompt, which other prompts may share.
type Part struct {
	ID     string
	Tokens medlarid.Tokens
}

// Call is what a request says of itself.
type Call struct {
	ID           medlarid.RequestID
	Key          string        // of the client account
	Timeout      time.Duration // for which the caller waits; 0 if it does not say
	Model        medlarid.ModelID
	PromptTokens medlarid.Tokens
	Parts        []Part
	LastEventID  string // id of the last event that the caller has
}

// Forward is what an upstream is told beside the request.
type Forward struct {
	Target      medlarid.InstanceID
	Account     medlarid.AccountID
	Timeout     time.Duration
	LastEventID string                 // event after which a stream goes on
	Version     medlarid.WeightVersion // that the replica must have; empty for any
	Salt        medlarkey.CacheSalt    // of the prompt's parts
	Priority    medlarid.Priority
	// Fetch and Save name, for each part, the store it is fetched from and saved to;
	// empty for none. A fetch has to end by FetchTill.
	Fetch         []medlarid.Address
	Save          []medlarid.Address
	FetchDeadline time.Time
}

// Reply is what an upstream's answer says of itself.
type Reply struct {
	ID          medlarid.RequestID
	Signed      bool
	NotRun      bool // the upstream did not run the request
	Misdirected bool // not the replica named, or not under the weight version named
	// Instance is the replica that answered, where it says so.
	Instance medlarid.InstanceID
	// Version is the weight version of the replica, where it says so.
	Version        medlarid.WeightVersion
	ContentEncoded bool // the body is not as the caller asked for it
	KeepAlive      time.Duration
}

// Attempt is an attempt that has ended.
type Attempt struct {
	ID       medlarid.RequestID
	Number   int
	Upstream medlarid.InstanceID
	Version  medlarid.WeightVersion
	Cause    medlarworld.Cause
	Reason   medlarreason.Reason
	Reached  bool
	Reused   bool // of the connection
	Status   int
	Decision medlarworld.Decision // of the choice of the upstream
	Duration time.Duration
	Err      error
}

// Summary is a request that has ended.
type Summary struct {
	ID            medlarid.RequestID
	Account       medlarid.AccountID
	Route         string
	Kind          medlarcatalog.RouteKind // of the route; empty before it is known
	Service       medlarid.ServiceID
	Model         medlarid.ModelID
	ConfigVersion uint64
	Status        int                 // 0 if the connection ended without an answer
	Reason        medlarreason.Reason // of a refusal
	Ran           medlarreason.Ran    // of a refusal
	RetryAfter    time.Duration       // when the caller may come back
	// Waiting, Kin and Budget are what a refusal was decided from: runs that waited,
	// upstreams of the service, repeated attempts that were left.
	Waiting     int
	Upstreams   int
	RetryTokens float64
	Decision    medlarworld.Decision // of the last choice of an upstream
	Attempts    int
	Upstream    medlarid.InstanceID
	// Parts tells what was believed of each part of the prompt at the last attempt.
	Parts       []medlarworld.PartState
	QueueTime   time.Duration // until the first attempt
	ConnectTime time.Duration // until the last attempt had a connection, from its start on
	FirstByte   time.Duration // until the first byte of the answer
	MaxWriteGap time.Duration // longest pause between two writes of the answer
	Duration    time.Duration
	Complete    bool          // the answer is whole
	wrote       time.Duration // until the last write of the answer
}

// RecordWrite notes that a part of the answer is written, a time after the request's arrival.
func (s *Summary) RecordWrite(after time.Duration) {
	if s.FirstByte == 0 {
		s.FirstByte = after
	} else {
		s.MaxWriteGap = max(s.MaxWriteGap, after-s.wrote)
	}
	s.wrote = after
}

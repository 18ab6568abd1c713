// Package medlarcall defines the metadata of a request that the proxy, the platform
// adapter and the log exchange: what the client sent, what is sent to an upstream, what
// the upstream responded, and the result.
package medlarcall

import (
	"strconv"
	"strings"
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarchoice"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarworld"
)

// Part is a part of a prompt, which other prompts may share.
type Part struct {
	ID     string
	Tokens medlarid.Tokens
}

// Call is the metadata in a client's request.
type Call struct {
	ID           medlarid.RequestID
	Key          string        // API key of the client account
	Timeout      time.Duration // set by the client; 0 if it sets none
	Model        medlarid.ModelID
	PromptTokens medlarid.Tokens
	Parts        []Part
	LastEventID  string // id of the last event that the client has received
	// Resumes is the id of the client's request that brought the first event of the stream that
	// this one takes up; empty if the client names none.
	Resumes medlarid.RequestID
}

// PartKeys returns the keys of the prompt's parts under a salt.
func (c *Call) PartKeys(salt medlarkey.CacheSalt) []medlarkey.Key {
	out := make([]medlarkey.Key, len(c.Parts))
	for i, p := range c.Parts {
		out[i] = medlarkey.Part(salt, c.Model, p.ID)
	}
	return out
}

// SharedParts returns the parts of the prompt but the last one, which no other prompt shares.
func (c *Call) SharedParts() []medlarsuspect.Trait {
	var out []medlarsuspect.Trait
	for _, p := range c.Parts[:max(len(c.Parts)-1, 0)] {
		out = append(out, medlarsuspect.PartTrait(p.ID))
	}
	return out
}

// Prompt returns the model and the parts of the prompt as one text; empty for a request that has
// none.
func (c *Call) Prompt() string {
	if c.Model == "" && len(c.Parts) == 0 {
		return ""
	}
	b := strings.Builder{}
	b.WriteString(string(c.Model))
	for _, p := range c.Parts {
		b.WriteByte(',')
		b.WriteString(p.ID)
		b.WriteByte(':')
		b.WriteString(strconv.Itoa(int(p.Tokens)))
	}
	return b.String()
}

// Forward is the metadata that is added to a request to an upstream.
type Forward struct {
	Target      medlarid.InstanceID
	Account     medlarid.AccountID
	Timeout     time.Duration
	LastEventID string                 // event after which the stream is resumed
	Version     medlarid.WeightVersion // required of the replica; empty for any
	Salt        medlarkey.CacheSalt    // of the keys of the prompt's parts
	Priority    medlarid.Priority
	// Fetch and Save hold, for each part, the address of the store that its KV cache is
	// fetched from and saved to; empty for none. A fetch must finish by FetchDeadline.
	Fetch         []medlarid.Address
	Save          []medlarid.Address
	FetchDeadline time.Time
}

// Sharing is with which accounts an account shares cached context: when its request arrived, and now.
type Sharing struct {
	Account      medlarid.AccountID
	Arrived, Now medlarkey.CacheGroup
}

// Forward returns what is added to the request of an attempt. The salt is that of the accounts that share cached context
// now, which may be others than when the request arrived: what was planned to be fetched and saved then has another salt.
func (s Sharing) Forward(cmd *medlarworld.StartAttempt, timeout time.Duration, lastEventID string) Forward {
	f := Forward{
		Target:      cmd.Upstream,
		Account:     s.Account,
		Timeout:     timeout,
		LastEventID: lastEventID,
		Version:     cmd.Version,
		Salt:        medlarkey.NewCacheSalt(cmd.Version, s.Now),
		Priority:    cmd.Priority,
	}
	if s.Now == s.Arrived {
		f.Fetch, f.Save, f.FetchDeadline = cmd.Fetch, cmd.Save, cmd.FetchDeadline
	}
	return f
}

// Proof is what shows that a response belongs to an attempt.
type Proof string

// Proofs.
const (
	ProofID   Proof = "id"   // it names the request
	ProofConn Proof = "conn" // it names none, and the connection has carried no other request
	ProofNone Proof = "none" // it names none, and the connection has carried other requests
)

// Reply is the metadata in an upstream's response.
type Reply struct {
	ID          medlarid.RequestID
	Proof       Proof // that the response belongs to the attempt
	Signed      bool
	NotRun      bool // the upstream did not run the request
	Misdirected bool // status 421: not the requested replica or weight version
	// Instance is the replica that responded, if it names itself.
	Instance medlarid.InstanceID
	// Version is the weight version of the replica, if the response names it.
	Version        medlarid.WeightVersion
	ContentEncoded bool // the body has a coding that the client did not request
	KeepAlive      time.Duration
	Leaving        bool          // the replica says that it leaves
	RetryAfter     time.Duration // for which the replica asks for no requests; 0 for none
	// Limit is how many requests a second the replica takes from all instances together, if
	// LimitNamed is set. LimitMalformed is set if it names one that cannot be used.
	Limit          float64
	LimitNamed     bool
	LimitMalformed bool
	// Brittle is how many requests the replica can turn away in a second for lack of room before it
	// crashes; 0 if it does not state that it is brittle.
	Brittle       int
	MalformedHint bool // Leaving, RetryAfter, Limit or Brittle was given with an invalid value
}

// Rejected reports whether the response states that the request did not run.
func (r *Reply) Rejected() bool { return r.NotRun || r.Misdirected }

// Hints returns what the response to an attempt at an upstream states about further requests. Only a response to the
// request itself can state that a hint no longer holds.
func (r *Reply) Hints(id medlarid.RequestID, cmd *medlarworld.StartAttempt, started time.Time) []medlarworld.Event {
	var out []medlarworld.Event
	own := r.ID == id && (r.Signed || r.NotRun)
	if r.LimitNamed || cmd.Limited && own && !r.LimitMalformed {
		out = append(out, medlarworld.UpstreamLimited{
			Upstream: cmd.Upstream, Incarnation: cmd.Incarnation, Named: r.LimitNamed, Limit: r.Limit, AttemptStarted: started,
		})
	}
	if r.Brittle > 0 || cmd.Brittle && own {
		out = append(out, medlarworld.UpstreamBrittle{Upstream: cmd.Upstream, Incarnation: cmd.Incarnation, Most: r.Brittle})
	}
	if r.Leaving {
		out = append(out, medlarworld.UpstreamLeaving{Upstream: cmd.Upstream, Incarnation: cmd.Incarnation})
	}
	if r.RetryAfter > 0 {
		out = append(out, medlarworld.UpstreamPaused{Upstream: cmd.Upstream, Incarnation: cmd.Incarnation, For: r.RetryAfter})
	}
	return out
}

// BodyEnd describes the end of the body of an upstream's response.
type BodyEnd struct {
	Received bool // a response head was received; otherwise the other fields are zero
	Framing  medlarhead.Framing
	Complete bool // the body ended as its framing requires
	// PartialBytes is the length of the incomplete event at the end of a stream.
	PartialBytes int
	// Followed is set if further bytes had arrived on the connection when the body ended.
	Followed bool
}

// Attempt is the result of an attempt.
type Attempt struct {
	ID       medlarid.RequestID
	Number   int
	Upstream medlarid.InstanceID
	Build    medlarid.Build
	Version  medlarid.WeightVersion
	Cause    medlarkind.Cause
	Reason   medlarreason.Reason
	Reached  bool
	Reused   bool                // the connection had served a request before
	Via      medlarid.InstanceID // that relayed it; empty for none
	Status   int
	Body     BodyEnd
	Decision medlarchoice.Decision // by which the upstream was selected
	Duration time.Duration
	Err      error
	// Lost is set if the upstream ended the connection before its response was complete.
	Lost bool
	// Proof shows that the response belongs to the attempt; empty if none was received. Rejected is set if
	// the response states that the request did not run.
	Proof    Proof
	Rejected bool
	// Unnamed is set if a rejection that names no request was read over.
	Unnamed bool
	// Began is the time from the first whole event of the response until the attempt ended;
	// 0 if there was none.
	Began time.Duration
	// Parts are the parts of the prompt.
	Parts []Part
	// Traits are what other requests may have in common with this one, and BodyBytes is the length
	// of its body.
	Traits    []medlarsuspect.Trait
	BodyBytes int
}

// Summary is the result of a request.
type Summary struct {
	ID            medlarid.RequestID
	Account       medlarid.AccountID
	Route         string
	Kind          medlarcatalog.RouteKind // of the route; empty if no route was found
	Service       medlarid.ServiceID
	Model         medlarid.ModelID // of the request, if the operators have it; callers may name anything
	ConfigVersion uint64
	Status        int                 // 0 if the connection was closed without a response
	Reason        medlarreason.Reason // why the request was refused
	Ran           medlarreason.Ran    // whether a refused request ran
	RetryAfter    time.Duration       // delay after which the client may retry
	// Waiting, Upstreams and RetryTokens are the inputs of a refusal: queued runs,
	// upstreams of the service, and attempts left in the retry budget.
	Waiting     int
	Upstreams   int
	RetryTokens float64
	// BlockedTrait is the trait for which the request was refused.
	BlockedTrait medlarsuspect.Trait
	Decision     medlarchoice.Decision // by which the last upstream was selected
	Attempts     int
	Upstream     medlarid.InstanceID
	Build        medlarid.Build // of Upstream
	// LastEventID and Resumes are those of the client's request.
	LastEventID string
	Resumes     medlarid.RequestID
	Body        BodyEnd // of the response to the last attempt
	// Parts holds the expected cache state of each part of the prompt at the last attempt.
	Parts       []medlarchoice.PartState
	QueueTime   time.Duration       // from the request's arrival until the first attempt
	ConnectTime time.Duration       // from the start of the last attempt until it had a connection
	Reused      bool                // the connection of the last attempt had served a request before
	Via         medlarid.InstanceID // that relayed it; empty for none
	FirstByte   time.Duration       // from the request's arrival until the first byte of the response
	MaxWriteGap time.Duration       // longest time between two writes of the response
	Duration    time.Duration
	Complete    bool          // the response was written in full
	wrote       time.Duration // from the request's arrival until the last write
}

// RecordWrite records a write of a part of the response; after is the time since the
// request's arrival.
func (s *Summary) RecordWrite(after time.Duration) {
	if s.FirstByte == 0 {
		s.FirstByte = after
	} else {
		s.MaxWriteGap = max(s.MaxWriteGap, after-s.wrote)
	}
	s.wrote = after
}

// Package medlarproxy is the reverse proxy of an attached instance. The core selects an
// upstream for each request; the proxy forwards requests and responses unmodified.
//
// Rules:
//
//	R1  A status that states that a request did not run (408, 421, 429, 503) is sent only
//	    if no upstream can have run the request, or if the request may be repeated.
//	R2  A successful response is relayed only with the id of its request, the
//	    upstream's signature and its complete body. An incomplete response is never
//	    terminated as if it were complete: its final chunk is not sent. A stream is
//	    incomplete if it ends within an event, whatever its framing says, if its
//	    connection ends before the first event, or from the first block on that is
//	    not an event. Any other body that the end of its connection delimits is
//	    incomplete if it holds the head of a further response. Any that the end of its
//	    connection delimits is incomplete if the request was not written in full before.
//	R3  A client that disconnects cancels the work for its request.
//	R4  A request is answered by its deadline, the earlier of the client's and the
//	    route's.
//	R5  A resumable stream is resumed at another upstream after its last complete
//	    event, within the same response and only after the first upstream connection
//	    is closed. A response that does not begin after that event is not relayed;
//	    neither is one to a client that resumes its stream.
//	R6  A request is not sent to an upstream that has asked for a pause since it was selected.
//	R7  An attempt at a stream that may be resumed ends when the core withdraws it before its first event. It may have
//	    run. What had arrived by then is relayed.
package medlarproxy

import (
	"strconv"
	"sync/atomic"
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarmemory"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarcall"
	"medlarfield/internal/edge/medlardeadline"
	"medlarfield/internal/edge/medlarpatience"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/edge/medlarrefusal"
	"medlarfield/internal/edge/medlarserver"
	"medlarfield/internal/edge/medlarwithdrawal"
)

// Deps are the functions of the instance that the proxy depends on.
type Deps struct {
	Catalog func() *medlarcatalog.Catalog // nil before the first catalog is loaded
	// UnreadyRetryAfter returns the delay after which a client may retry a request that
	// arrived before the first catalog was loaded.
	UnreadyRetryAfter func() time.Duration
	// Versions returns the serving and the desired weight version of a model.
	Versions func(medlarid.ModelID) (serving, desired medlarid.WeightVersion)
	Submit   func(*medlarworld.Run, medlarworld.Limits) <-chan medlarworld.Command
	Done     func(medlarid.RequestID)
	Post     func(medlarworld.Event)
	// OnVersionReported is called when a replica responds under another weight version than
	// the requested one, and OnVersionDenied when it does not have the requested one.
	OnVersionReported func(medlarid.InstanceID, medlarid.WeightVersion)
	OnVersionDenied   func(medlarid.InstanceID, medlarid.WeightVersion)
	// OnMalformedHint is called when a replica says with an invalid value that it leaves or
	// wants a pause; the value is ignored.
	OnMalformedHint func(medlarid.InstanceID)
	// Paused reports whether an upstream wants no requests at present, as it has said under its incarnation.
	Paused func(medlarid.InstanceID, medlarid.Incarnation) bool
	Pool   *medlarpool.Pool
	Memory *medlarmemory.Account // nil for no bound
	// Decode parses the metadata of a request.
	Decode func(*medlarhead.Head) (medlarcall.Call, error)
	// Forward appends the header fields of a request to an upstream.
	Forward func([]byte, *medlarhead.Head, medlarcall.Forward) []byte
	// Reply parses the metadata of a response.
	Reply func(*medlarhead.Head) medlarcall.Reply
	// Refusal appends the header fields of a response that the proxy generates.
	Refusal medlarrefusal.Fields
	// Observer receives the result of each attempt and each request.
	Observer Observer
	Rand     func() float64
}

// Observer receives the results of attempts and requests.
type Observer struct {
	AttemptEnded func(*medlarcall.Attempt)
	RequestEnded func(*medlarcall.Summary)
}

// memoryRetryAfter is the delay after which a client may retry a request that was refused for lack of memory. Requests
// and answers that stall are given up within 10 s, and most release their memory far earlier.
const memoryRetryAfter = time.Second

// Proxy serves the requests of clients.
type Proxy struct {
	deps     Deps
	server   *medlarserver.Server
	serial   atomic.Uint64
	open     *medlardeadline.Group // connections of attempts in progress
	patience *medlarpatience.Table
	attempts *medlarwithdrawal.Attempts
}

// New returns a proxy. The caller passes listeners to its Server.
func New(deps Deps) *Proxy {
	p := &Proxy{deps: deps, open: medlardeadline.New(), patience: medlarpatience.New(), attempts: medlarwithdrawal.New()}
	p.server = medlarserver.New(medlarserver.Deps{Limits: func() medlarcatalog.Limits { return deps.Catalog().CallerLimits() }, Memory: deps.Memory, Serve: p.serve, Reject: p.reject})
	return p
}

// EndAttempts makes the attempts in progress, and those that begin later, fail as if their time were up.
func (p *Proxy) EndAttempts() { p.open.End() }

// Withdraw ends an attempt whose answer has not begun (R7).
func (p *Proxy) Withdraw(c medlarworld.Withdraw) { p.attempts.Withdraw(c) }

// Server returns the server that accepts client connections.
func (p *Proxy) Server() *medlarserver.Server { return p.server }

// serve handles one request and reports whether its connection can be reused.
func (p *Proxy) serve(r medlarserver.Request) bool {
	x := newExchange(p, r)
	defer x.close()
	return x.serve()
}

// reject responds to a request that cannot be read.
func (p *Proxy) reject(c *medlarserver.Conn, method string, status int, reason medlarreason.Reason) {
	summary := &medlarcall.Summary{Status: status, Reason: reason, Ran: medlarreason.RanNo}
	if reason == medlarreason.Memory {
		summary.RetryAfter = memoryRetryAfter
	}
	summary.Complete = c.Send(medlarrefusal.Format{Last: true, Head: method == "HEAD"}.Append(nil, summary, p.deps.Refusal)) == nil
	p.deps.Observer.RequestEnded(summary)
}

// runID returns a run id that is unique in the process, even if clients send the same
// request id.
func (p *Proxy) runID(id medlarid.RequestID) medlarid.RequestID {
	return id + "/" + medlarid.RequestID(strconv.FormatUint(p.serial.Add(1), 10))
}

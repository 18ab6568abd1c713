// Package medlarproxy answers the callers of an attached instance: it has the core
// choose an upstream, and passes requests and answers on unchanged.
//
// Rules:
//
//	R1  A status that promises that a request did not run (408, 429, 503) goes out
//	    only if no upstream can have run it.
//	R2  An answer of success is passed on only with the id of its request, the
//	    upstream's signature and its whole body. What is not whole ends without its
//	    end, never with a false one.
//	R3  A caller that leaves ends the work for it.
//	R4  A request has its answer by its deadline, the earlier one of the caller's and
//	    the route's.
//	R5  A stream that may be resumed goes on at another upstream after its last whole
//	    event, within the same answer and once the first connection is closed.
package medlarproxy

import (
	"strconv"
	"sync/atomic"
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarcall"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/edge/medlarserver"
)

// Deps are what the door uses of its instance.
type Deps struct {
	Catalog func() *medlarcatalog.Catalog // nil before the first one
	// UnreadyRetryAfter returns when a caller may come back that came before the first catalog.
	UnreadyRetryAfter func() time.Duration
	// Versions returns the weight versions of a model that are served and wanted.
	Versions func(medlarid.ModelID) (serving, wanted medlarid.WeightVersion)
	Submit   func(*medlarworld.Run, medlarworld.Limits) <-chan medlarworld.Command
	Done     func(medlarid.RequestID)
	Post     func(medlarworld.Event)
	// OnVersionReported is told of the weight version that a replica answers under, and Denied of one
	// that it does not have.
	OnVersionReported func(medlarid.InstanceID, medlarid.WeightVersion)
	OnVersionDenied   func(medlarid.InstanceID, medlarid.WeightVersion)
	Pool              *medlarpool.Pool
	// Decode reads what a request says of itself.
	Decode func(*medlarhead.Head) (medlarcall.Call, error)
	// Forward appends the fields of a request to an upstream.
	Forward func([]byte, *medlarhead.Head, medlarcall.Forward) []byte
	// Reply reads what an answer says of itself.
	Reply func(*medlarhead.Head) medlarcall.Reply
	// Refusal appends the fields of an answer of the system's own.
	Refusal func(b []byte, id medlarid.RequestID, after time.Duration) []byte
	// Observer is told of each attempt and each request that has ended.
	Observer Observer
	Rand     func() float64
}

// Observer are told what the door did.
type Observer struct {
	AttemptEnded func(*medlarcall.Attempt)
	RequestEnded func(*medlarcall.Summary)
}

// Sizes.
const (
	readBuffer = 4096     // bytes
	wholeLimit = 64 << 10 // bytes of an answer that is passed on at once
)

// defaultLimits hold before the first catalog.
var defaultLimits = medlarcatalog.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Proxy answers callers.
type Proxy struct {
	seams  Deps
	door   *medlarserver.Server
	serial atomic.Uint64
}

// New returns what answers callers; its Door is to be given listeners.
func New(s Deps) *Proxy {
	p := &Proxy{seams: s}
	p.door = medlarserver.New(medlarserver.Deps{Limits: p.limits, Serve: p.serve, Reject: p.refuseUnread})
	return p
}

// Server returns the door.
func (p *Proxy) Server() *medlarserver.Server { return p.door }

func (p *Proxy) limits() medlarcatalog.Limits {
	if cat := p.seams.Catalog(); cat != nil {
		return cat.Limits
	}
	return defaultLimits
}

// serve answers one request.
func (p *Proxy) serve(r medlarserver.Request) bool {
	x := newExchange(p, r)
	defer x.release()
	return x.serve()
}

// refuseUnread answers a request that cannot be read.
func (p *Proxy) refuseUnread(c *medlarserver.Conn, status int, reason medlarreason.Reason) {
	s := &medlarcall.Summary{Status: status, Reason: reason, Ran: medlarreason.RanNo}
	s.Complete = c.Send(p.refusalText(s, true)) == nil
	p.seams.Observer.RequestEnded(s)
}

// refusalText returns an answer of the system's own.
func (p *Proxy) refusalText(s *medlarcall.Summary, last bool) []byte {
	row, _ := medlarreason.Lookup(s.Reason)
	b := medlarhead.AppendStatus(make([]byte, 0, 256), s.Status)
	b = medlarhead.AppendField(b, "Content-Type", "text/plain")
	if last {
		b = medlarhead.AppendField(b, "Connection", "close")
	}
	b = p.seams.Refusal(b, s.ID, s.RetryAfter)
	b = medlarhead.AppendLength(b, len(row.Text)+1)
	b = medlarhead.AppendEnd(b)
	b = append(b, row.Text...)
	return append(b, '\n')
}

// runID returns an id for a run that no other run of the process has, whatever id
// the caller sent.
func (p *Proxy) runID(id medlarid.RequestID) medlarid.RequestID {
	return id + "/" + medlarid.RequestID(strconv.FormatUint(p.serial.Add(1), 10))
}

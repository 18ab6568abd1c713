// Package medlarproof reads the response to an attempt from a connection to an upstream, and decides whether it
// belongs to the attempt. A faulty upstream may write an earlier response once more, when the next request has
// been sent on the connection.
//
// Rules:
//
//	R1  A response belongs to the attempt if it names the request. A rejection that names none does if the
//	    connection has carried no other request.
//	R2  An id stands for one attempt on each connection (medlarpool, R7).
//	R3  Only a rejection that belongs to the attempt proves that the attempt did not run.
//	R4  A response that names another request is read over, and so is a rejection that belongs to no attempt
//	    (R1) if the request may run once only: its own response may follow. One whose end is that of the connection
//	    leaves no response for the attempt.
package medlarproof

import (
	"bufio"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/edge/medlarcall"
)

// Limits of responses.
const (
	maxHead         = 16 << 10 // bytes of a head
	maxForeign      = 2        // responses that are read over
	maxInterim      = 8        // interim responses that are skipped
	maxForeignBody  = 64 << 10 // bytes of the body of a response that is read over
	statusFinalFrom = 200      // lower ones are interim responses
)

// Op names the operation that failed.
type Op string

// OpRead is the reading of a response.
const OpRead Op = "read"

// Kind classifies a failure.
type Kind string

// KindForeign is the failure of an attempt that gets only responses that do not belong to it.
const KindForeign Kind = "foreign"

// Error is a failed operation.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("response: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Attempt is an attempt whose response is read.
type Attempt struct {
	ID     medlarid.RequestID
	Method string
	Reused bool // the connection has carried another request before
	Once   bool // the request may run once only
	Decode func(*medlarhead.Head) medlarcall.Reply
	// OnUnnamed is called with a rejection that is read over since it names no request.
	OnUnnamed func(medlarcall.Reply)
}

// Read reads the response to an attempt up to the end of its head.
func (a Attempt) Read(br *bufio.Reader) (*medlarhead.Head, medlarcall.Reply, error) {
	for range maxForeign + 1 {
		h, err := a.readFinal(br)
		if err != nil {
			return nil, medlarcall.Reply{}, err
		}
		reply := a.Decode(h)
		reply.Proof = a.proof(reply)
		if a.accepts(reply) {
			return h, reply, nil
		}
		if reply.ID == "" {
			a.OnUnnamed(reply)
		}
		if h.Framing == medlarhead.FramingClose {
			break
		}
		body := medlarframing.NewBody(br, h)
		body.Limit(maxForeignBody)
		if _, err := io.Copy(io.Discard, body); err != nil {
			return nil, medlarcall.Reply{}, err
		}
	}
	return nil, medlarcall.Reply{}, &Error{Op: OpRead, Kind: KindForeign, Err: eris.New("received no response that belongs to the attempt")}
}

// readFinal reads the next head that is not of an interim response.
func (a Attempt) readFinal(br *bufio.Reader) (*medlarhead.Head, error) {
	for range maxInterim + 1 {
		h, err := medlarhead.ReadResponse(br, maxHead, a.Method)
		if err != nil || h.Status >= statusFinalFrom {
			return h, err
		}
	}
	return nil, &Error{Op: OpRead, Kind: KindForeign, Err: eris.New("received only interim responses")}
}

// accepts reports whether a response ends the attempt. One that names no request does, unless it is a rejection
// that has to be the attempt's own (R4).
func (a Attempt) accepts(reply medlarcall.Reply) bool {
	if reply.ID == "" {
		return reply.Proof == medlarcall.ProofConn || !reply.Rejected() || !a.Once
	}
	return reply.ID == a.ID
}

// proof returns what shows that a response belongs to the attempt.
func (a Attempt) proof(reply medlarcall.Reply) medlarcall.Proof {
	switch {
	case reply.ID != "":
		return medlarcall.ProofID
	case !a.Reused:
		return medlarcall.ProofConn
	}
	return medlarcall.ProofNone
}

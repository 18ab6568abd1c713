// Package medlarpath opens direct connections to replicas, and reports what arrives over them.
//
// Rules:
//
//	R1  Of each connection it is reported when an answer is awaited on it, when a byte arrives, and whether it ends before.
//	R2  A path is proved by a call that serves no request, on a connection of its own. That a connection opens does not
//	    prove it.
package medlarpath

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreach"
)

// FailedHere is the outcome of failures of this instance alone, which show nothing about the path to a replica.
const FailedHere medlarreach.Outcome = "failed"

// Deps are what Paths depend on.
type Deps struct {
	// Dial opens a connection.
	Dial func(context.Context, medlarid.Address) (net.Conn, error)
	// Prove makes a call on a new connection to a replica, and returns nil once a byte of the answer has arrived.
	Prove func(net.Conn) error
	// OnDial and OnProof are called with how each attempt to open a connection, and each call of Prove, has ended.
	OnDial, OnProof func(medlarreach.Outcome)
	// Sent is called when an answer is awaited on one more connection. Left is called when it is no longer, without a
	// byte: Unanswered if none has arrived in time, Ended if the connection was new and has ended, or empty.
	Sent func(replica medlarid.InstanceID)
	Left func(replica medlarid.InstanceID, o medlarreach.Outcome)
	// Got is called with each part that is received on a connection that was opened at a time; answers reports whether an
	// answer was awaited on it.
	Got func(opened time.Time, replica medlarid.InstanceID, answers bool)
}

// Paths opens direct connections to replicas. It is safe for concurrent use.
type Paths struct{ deps Deps }

// New returns Paths.
func New(deps Deps) *Paths { return &Paths{deps: deps} }

// Dial opens a connection for requests, and returns how that has ended.
func (p *Paths) Dial(ctx context.Context, replica medlarid.InstanceID, at medlarid.Address) (net.Conn, medlarreach.Outcome, error) {
	c, err := p.deps.Dial(ctx, at)
	outcome := outcomeOf(err)
	p.deps.OnDial(outcome)
	if err != nil {
		return nil, outcome, err
	}
	return &conn{Conn: c, paths: p, replica: replica, opened: time.Now()}, outcome, nil
}

// Prove makes a call to a replica and returns how it has ended (R2).
func (p *Paths) Prove(ctx context.Context, replica medlarid.InstanceID, at medlarid.Address, timeout time.Duration) medlarreach.Outcome {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	opened := time.Now()
	c, err := p.deps.Dial(ctx, at)
	outcome := outcomeOf(err)
	p.deps.OnDial(outcome)
	if err == nil {
		end, _ := ctx.Deadline()
		_ = c.SetDeadline(end)
		outcome = proofOutcome(p.deps.Prove(c))
		_ = c.Close()
	}
	p.deps.OnProof(outcome)
	if outcome == medlarreach.Answered {
		p.deps.Got(opened, replica, false)
	}
	return outcome
}

// proofOutcome returns how a call on an open connection ended.
func proofOutcome(err error) medlarreach.Outcome {
	switch {
	case err == nil:
		return medlarreach.Answered
	case errors.Is(err, os.ErrDeadlineExceeded):
		return medlarreach.Unanswered
	}
	return medlarreach.Ended
}

// outcomeOf returns the outcome of an attempt to open a connection.
func outcomeOf(err error) medlarreach.Outcome {
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return medlarreach.Opened
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return medlarreach.Refused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout(),
		errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return medlarreach.Silent
	}
	return FailedHere
}

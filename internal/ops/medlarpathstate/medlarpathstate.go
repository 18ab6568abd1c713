// Package medlarpathstate has what an instance finds out about a replica and its paths to it, and how instances state it to
// each other.
package medlarpathstate

import (
	"errors"

	"medlarfield/internal/core/medlarreach"
	"medlarfield/internal/peer/medlartunnel"
)

// State is whether a replica is down, as far as this instance and those that it asks can tell.
type State string

// States.
const (
	StateUp       State = "up"       // or it cannot be told
	StateAnswered State = "answered" // it has answered a call
	StateRefuses  State = "refuses"  // it refuses connections
	StateEnds     State = "ends"     // connections open, and end without an answer, as behind a proxy or a balancer
)

// Down reports whether a replica in this state is down.
func (s State) Down() bool { return s == StateRefuses || s == StateEnds }

// AskedOutcome returns what another instance has stated.
func AskedOutcome(err error) medlarreach.Outcome {
	var e *medlartunnel.Error
	switch {
	case err == nil:
		return medlarreach.Opened
	case errors.As(err, &e) && e.Result == medlartunnel.ResultRefused:
		return medlarreach.Refused
	case errors.As(err, &e) && e.Result == medlartunnel.ResultSilent:
		return medlarreach.Silent
	}
	return medlarreach.Unhelpful
}

// IsOlder reports whether another instance has opened a connection as it was asked whether a replica answers it: its build
// does not know the question.
func IsOlder(err error) bool {
	var e *medlartunnel.Error
	return errors.As(err, &e) && e.Result == medlartunnel.ResultOpened
}

// ProofResult returns the answer to another instance for a call that has ended.
func ProofResult(o medlarreach.Outcome) medlartunnel.Result {
	switch o {
	case medlarreach.Answered:
		return medlartunnel.ResultAnswers
	case medlarreach.Refused, medlarreach.Ended:
		return medlartunnel.ResultRefused
	case medlarreach.Silent, medlarreach.Unanswered:
		return medlartunnel.ResultSilent
	}
	return medlartunnel.ResultDenied
}

// DialResult returns the answer to another instance for a connection that could not be opened.
func DialResult(o medlarreach.Outcome) medlartunnel.Result {
	switch o {
	case medlarreach.Refused:
		return medlartunnel.ResultRefused
	case medlarreach.Silent:
		return medlartunnel.ResultSilent
	}
	return medlartunnel.ResultDenied
}

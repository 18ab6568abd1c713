// Package medlarpathstate defines the states of a replica as an instance finds them out, and translates outcomes of calls and
// connections to and from the results that instances send each other.
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
	StateUp       State = "up"       // it is up, or its state is not known
	StateAnswered State = "answered" // it has answered a call
	StateRefuses  State = "refuses"  // it refuses connections
	StateEnds     State = "ends"     // connections open and end without an answer, as those through a proxy or a load balancer do
)

// Down reports whether a replica in this state is down.
func (s State) Down() bool { return s == StateRefuses || s == StateEnds }

// AskedOutcome returns the outcome that another instance has stated, from the error of the call to it.
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

// IsOlder reports whether another instance has an older build, which opens a connection to a replica when it is asked whether
// the replica answers.
func IsOlder(err error) bool {
	var e *medlartunnel.Error
	return errors.As(err, &e) && e.Result == medlartunnel.ResultOpened
}

// ProofResult returns the result that is sent to another instance for the outcome of a call to a replica.
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

// DialResult returns the result that is sent to another instance for a connection to a replica that could not be opened.
func DialResult(o medlarreach.Outcome) medlartunnel.Result {
	switch o {
	case medlarreach.Refused:
		return medlartunnel.ResultRefused
	case medlarreach.Silent:
		return medlartunnel.ResultSilent
	}
	return medlartunnel.ResultDenied
}

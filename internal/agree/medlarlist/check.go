package medlarlist

import (
	"regexp"
	"slices"

	"github.com/rotisserie/eris"
)

// Bounds of the fields of the lists.
const (
	maxRate     = 1e6     // requests a second
	maxBurst    = 1e6     // requests
	maxRuns     = 100_000 // requests at the same time
	maxTokens   = 1 << 20 // tokens a request
	maxWeight   = 1000
	maxPriority = 100
	maxDeadline = 24 * 60 * 60 // seconds
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// onceMethods are the methods that a service may name as not repeatable.
var onceMethods = []string{"DELETE", "PATCH", "POST", "PUT"}

func checkName(name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return eris.Errorf("name %q: want 1 to 64 letters, digits, dots, dashes or underscores, first a letter or digit", name)
}

// fieldError is a value out of range, with the name of its field.
type fieldError struct {
	field string
	err   error
}

func (e *fieldError) Error() string { return e.field + ": " + e.err.Error() }

func (e *fieldError) Unwrap() error { return e.err }

func fieldErrorf(field, format string, args ...any) error {
	return &fieldError{field: field, err: eris.Errorf(format, args...)}
}

func (a Account) check() error {
	if a.Plan == "" {
		return fieldErrorf("plan", "want the name of a plan")
	}
	return nil
}

func (p Plan) check() error {
	switch {
	case p.Rate < 0 || p.Rate > maxRate:
		return fieldErrorf("rate", "want 0 to %d requests a second, got %g", int(maxRate), p.Rate)
	case p.Burst < 0 || p.Burst > maxBurst:
		return fieldErrorf("burst", "want 0 to %d requests, got %d", int(maxBurst), p.Burst)
	case p.MaxConcurrent < 0 || p.MaxConcurrent > maxRuns:
		return fieldErrorf("runs", "want 0 to %d requests, got %d", maxRuns, p.MaxConcurrent)
	case p.MaxTokens < 0 || p.MaxTokens > maxTokens:
		return fieldErrorf("tokens", "want 0 to %d tokens, got %d", maxTokens, p.MaxTokens)
	case p.Weight < 0 || p.Weight > maxWeight:
		return fieldErrorf("weight", "want 0 to %d, got %d", maxWeight, p.Weight)
	case p.Priority < 0 || p.Priority > maxPriority:
		return fieldErrorf("priority", "want 0 to %d, got %d", maxPriority, p.Priority)
	case p.Timeout < 0 || p.Timeout.Std().Seconds() > maxDeadline:
		return fieldErrorf("deadline", "want 0s to 24h, got %v", p.Timeout.Std())
	}
	return nil
}

func (m Model) check() error {
	if m.Version == "" {
		return fieldErrorf("version", "want a weight version")
	}
	return nil
}

func (s Service) check() error {
	for _, m := range s.NonRepeatableMethods {
		if !slices.Contains(onceMethods, m) {
			return fieldErrorf("once", "want methods among %v, got %q", onceMethods, m)
		}
	}
	return nil
}

// checkReferences reports the first entry, in order of names, that names an
// entry which is not there.
func (l *Lists) checkReferences() error {
	for _, d := range l.dangling() {
		return &Error{Op: OpCheck, Kind: KindReference, Err: eris.Errorf("%s %q: no %s", TableName(d.from.Table), d.from.Name, d.want)}
	}
	return nil
}

package medlarlist

import (
	"regexp"
	"slices"

	"github.com/rotisserie/eris"
)

// Upper bounds of the fields of entries.
const (
	maxRate       = 1e6     // requests per second
	maxBurst      = 1e6     // requests
	maxConcurrent = 100_000 // concurrent requests
	maxTokens     = 1 << 20 // tokens per request
	maxWeight     = 1000
	maxPriority   = 100
	maxTimeout    = 24 * 60 * 60 // seconds
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// nonRepeatableMethods are the HTTP methods that a service may list as non-repeatable.
var nonRepeatableMethods = []string{"DELETE", "PATCH", "POST", "PUT"}

func checkName(name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return eris.Errorf("name %q: want 1 to 64 letters, digits, dots, dashes or underscores, starting with a letter or digit", name)
}

// fieldError reports an invalid value together with the name of its field.
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
		return fieldErrorf("rate", "want 0 to %d requests per second, got %g", int(maxRate), p.Rate)
	case p.Burst < 0 || p.Burst > maxBurst:
		return fieldErrorf("burst", "want 0 to %d requests, got %d", int(maxBurst), p.Burst)
	case p.MaxConcurrent < 0 || p.MaxConcurrent > maxConcurrent:
		return fieldErrorf("runs", "want 0 to %d requests, got %d", maxConcurrent, p.MaxConcurrent)
	case p.MaxTokens < 0 || p.MaxTokens > maxTokens:
		return fieldErrorf("tokens", "want 0 to %d tokens, got %d", maxTokens, p.MaxTokens)
	case p.Weight < 0 || p.Weight > maxWeight:
		return fieldErrorf("weight", "want 0 to %d, got %d", maxWeight, p.Weight)
	case p.Priority < 0 || p.Priority > maxPriority:
		return fieldErrorf("priority", "want 0 to %d, got %d", maxPriority, p.Priority)
	case p.Timeout < 0 || p.Timeout.Std().Seconds() > maxTimeout:
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
		if !slices.Contains(nonRepeatableMethods, m) {
			return fieldErrorf("once", "want methods among %v, got %q", nonRepeatableMethods, m)
		}
	}
	return nil
}

// checkReferences reports the first entry, in the order of names, that refers to
// a missing entry.
func (l *Lists) checkReferences() error {
	for _, d := range l.danglingReferences() {
		return &Error{Op: OpCheck, Kind: KindReference, Err: eris.Errorf("%s %q: %s does not exist", TableName(d.from.Table), d.from.Name, d.target)}
	}
	return nil
}

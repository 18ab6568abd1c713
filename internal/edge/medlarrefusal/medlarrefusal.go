// Package medlarrefusal formats the responses of an instance to requests that it refuses.
package medlarrefusal

import (
	"time"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/edge/medlarcall"
)

// Fields appends the header fields of the platform: the request's id, and the delay after which the client may retry.
type Fields func(b []byte, id medlarid.RequestID, after time.Duration) []byte

// Statuses that do not state whether a request ran.
const (
	statusFailed  = 502
	statusTimeout = 504
)

// Status returns the status of the response to a request that is refused for a reason: one that states that the
// request did not run only if that is certain. late reports that the request's deadline has passed.
func Status(reason medlarreason.Reason, ran medlarreason.Ran, late bool) int {
	row, _ := medlarreason.Lookup(reason)
	uncertain := ran != medlarreason.RanNo && medlarreason.MeansNotRun(row.Status)
	switch {
	case !uncertain && row.Status != statusFailed:
		return row.Status
	case late:
		return statusTimeout
	}
	return statusFailed
}

// Format says how a response is written.
type Format struct {
	Last bool // the connection is closed after the response
	Head bool // the request has the method HEAD, so that the response has no body
}

// Append appends the response to a request whose result is s.
func (f Format) Append(b []byte, s *medlarcall.Summary, fields Fields) []byte {
	row, _ := medlarreason.Lookup(s.Reason)
	b = medlarhead.AppendStatus(b, s.Status)
	b = medlarhead.AppendField(b, "Content-Type", "text/plain")
	if f.Last {
		b = medlarhead.AppendField(b, "Connection", "close")
	}
	b = fields(b, s.ID, s.RetryAfter)
	b = medlarhead.AppendEnd(medlarhead.AppendLength(b, len(row.Text)+1))
	if f.Head {
		return b
	}
	return append(append(b, row.Text...), '\n')
}

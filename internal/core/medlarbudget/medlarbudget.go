// Package medlarbudget defines what bounds how much an instance may use: a budget of retries, and its share of
// the limits of an account.
package medlarbudget

import (
	"time"

	"medlarfield/internal/base/medlarid"
)

// Retries is a token bucket that limits retries to a ratio of requests.
type Retries struct {
	Ratio   float64 // tokens added by each request; a retry takes one
	Max     float64 // capacity of the bucket
	Initial float64 // tokens in a new bucket
}

// Share is an instance's part of an account's limits, from 0 to 1.
type Share struct {
	Account medlarid.AccountID
	Rate    float64
	Runs    float64
	Until   time.Time // an equal part applies from then on
}

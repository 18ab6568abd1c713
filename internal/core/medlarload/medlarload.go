// Package medlarload defines the load that instances report to one another.
package medlarload

import "medlarfield/internal/base/medlarid"

// Load is the load that one instance puts on an upstream.
type Load struct {
	Upstream medlarid.Hash
	Open     int             // attempts in flight
	Pending  medlarid.Tokens // of attempts whose answer has not begun, still to be computed
}

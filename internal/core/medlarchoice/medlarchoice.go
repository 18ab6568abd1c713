// Package medlarchoice holds what the log says of the choice of an upstream for an attempt.
package medlarchoice

// Decision holds the inputs of a choice of an upstream, for the log.
type Decision struct {
	Candidates int     // upstreams that could take the run
	Pending    float64 // pending work of this instance at the chosen upstream, in tokens
	Window     float64 // bound of Pending; 0 for none
	// TotalPending and TotalWindow are the same over all upstreams of the target.
	TotalPending, TotalWindow float64
	Lag                       float64 // seconds by which the upstream answers later than expected
	Others                    int     // attempts of other instances at the chosen upstream, as they told last
	Wait                      float64 // seconds to the first part of the answer, as expected, without Lag; 0 if not estimated
}

// PartState is the assumed state of a part of a prompt.
type PartState byte

// States of parts.
const (
	PartCold     PartState = 'c' // computed by the upstream
	PartWarm     PartState = 'w' // cached by the upstream
	PartFetched  PartState = 'f' // fetched from a store
	PartSkipped  PartState = 'l' // held by a store, but cheaper to compute
	PartSaved    PartState = 's' // computed, and saved to a store
	PartUnshared PartState = 'o' // belongs to this request alone
)

// Package medlarverdict defines the reply of the core to the question where a request would go now, and why. The request is
// not sent.
package medlarverdict

import (
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
)

// Outcome is what would happen to a request.
type Outcome string

// Outcomes.
const (
	Sent    Outcome = "sent"    // to the replica that is chosen
	Waits   Outcome = "waits"   // until a replica can take it
	Refused Outcome = "refused" // at once, for Verdict.Reason
)

// Exclusion is why a replica is no candidate for a request.
type Exclusion string

// Exclusions. A replica has the first one that holds, in this order.
const (
	None       Exclusion = ""
	Outside    Exclusion = "subset"     // not in the subset of replicas that the instance uses
	Tried      Exclusion = "tried"      // an earlier attempt of the request went there
	Unanswered Exclusion = "unanswered" // has not answered since it was ejected
	Build      Exclusion = "build"      // the stream begins at another software version
	Leaving    Exclusion = "leaving"
	Delisted   Exclusion = "delisted"
	Ejected    Exclusion = "ejected"
	Evacuated  Exclusion = "evacuated" // its availability zone is evacuated
	Paused     Exclusion = "paused"
	Limited    Exclusion = "limited" // no token of its limit is left
	Brittle    Exclusion = "brittle" // this instance's part of a brittle replica is in use
	Full       Exclusion = "full"    // no capacity by its last report
	Cold       Exclusion = "cold"    // it is cold, or starts slowly, and this instance's part of it is in use
	Model      Exclusion = "model"
	Weights    Exclusion = "weights"  // another weight version, or one that may not answer in time
	Headroom   Exclusion = "headroom" // room in its KV cache, and in what waits to be computed, is kept for urgent prompts
	Window     Exclusion = "window"   // the work that waits there fills the window
)

// Candidate is a replica that the request could go to. Times are in seconds.
type Candidate struct {
	Replica  medlarid.InstanceID `json:"replica"`
	Zone     medlarid.Zone       `json:"zone"`
	Home     bool                `json:"home"`     // of the prompt
	Cost     float64             `json:"cost"`     // by which replicas are compared: the terms, weighted, with the home's discount and the cost of a new connection
	Expected float64             `json:"expected"` // until the first event: the sum of the terms
	Waiting  float64             `json:"waiting"`
	Fetch    float64             `json:"fetch"`
	Compute  float64             `json:"compute"`
	Distance float64             `json:"distance"` // of another availability zone
	Loading  float64             `json:"loading"`  // of other weights, which the replica is about to load
	Cached   int                 `json:"cached"`   // parts of the prompt
	Held     int                 `json:"held"`     // parts that are cached or can be fetched
	Because  string              `json:"because"`  // term that most exceeds the same of the chosen replica; empty for none
}

// Excluded is a replica that is no candidate.
type Excluded struct {
	Replica medlarid.InstanceID `json:"replica"`
	Home    bool                `json:"home"`
	Reason  Exclusion           `json:"reason"`
}

// Verdict is the decision on a request that is not sent.
type Verdict struct {
	Outcome    Outcome             `json:"outcome"`
	Reason     medlarreason.Reason `json:"reason"`     // of a refusal
	Retry      float64             `json:"retry"`      // seconds after which a refused caller may come back
	Ahead      int                 `json:"ahead"`      // waiting requests before this one
	Replica    medlarid.InstanceID `json:"replica"`    // that is chosen
	Candidates []Candidate         `json:"candidates"` // the chosen one first, then by cost
	Excluded   []Excluded          `json:"excluded"`
	Absent     []int               `json:"absent"` // parts of the prompt, from 0 on, that neither the chosen replica nor a store has
}

// Package medlarheadroom bounds how far the prompts of all instances fill the KV cache of a replica. A replica whose cache is
// full preempts the newest of its least urgent prompts for each more urgent one, and computes them anew later. If long prompts
// arrive faster than replicas compute them, replicas spend their time on prompts that they had computed already, and urgent
// ones wait. In a large fleet each instance sends few prompts, so that a bound on its own ones does not prevent that.
//
// Rules:
//
//	R1  A replica's cache is assumed to hold the prompts that this instance has in flight there, and for each attempt that
//	    others report a prompt of the mean size of the prompts that this instance has sent to the model lately.
//	R2  A prompt starts only if the cache is then filled to the share of its priority class at most. The most urgent class
//	    may fill nearly all, the others leave room for it.
//	R3  A prompt of another class starts only if the prompts that the replica still has to compute take less than
//	    maxWait: it computes prompts in the order in which it has admitted them, so that an urgent one waits as long.
//	R4  A replica that has nothing in flight takes any prompt.
//	R5  In fleets of up to smallFleet instances the bound on each instance's own prompts is enough.
package medlarheadroom

import (
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

const (
	smallFleet  = 16       // instances (R5)
	urgentShare = 0.95     // of the cache, for the most urgent class (R2); answers take up the rest
	otherShare  = 0.75     // for the others (R2)
	maxWait     = 0.2      // seconds of computation (R3), less than the time within which short answers are to begin
	meanWeight  = 1.0 / 32 // of each prompt in the moving mean of sizes (R1)
)

// Add adds a prompt that is sent to a model to the mean size (R1).
func Add(w *medlarworld.World, m medlarid.ModelID, n medlarid.Tokens) {
	mean, known := w.MeanPrompt[m]
	if !known {
		mean = float64(n)
	}
	w.MeanPrompt[m] = mean + meanWeight*(float64(n)-mean)
}

// Fits reports whether a run may start at a replica that needs some seconds for the prompts that it still has to
// compute (R2 to R5).
func Fits(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream, pending float64) bool {
	if u.KVCapacity <= 0 || len(w.Others) < smallFleet || u.TotalOpen() == 0 {
		return true
	}
	share := urgentShare
	if r.Class() > 0 {
		share = otherShare
	}
	waits := r.Class() > 0 && pending >= maxWait
	if !waits && held(w, u)+float64(r.PromptTokens) <= share*float64(u.KVCapacity) {
		return true
	}
	if !r.Reserved {
		r.Reserved = true
		w.Emit(medlarworld.Reserved{})
	}
	return false
}

// held returns the tokens of prompts that a replica's cache is assumed to hold (R1).
func held(w *medlarworld.World, u *medlarupstream.Upstream) float64 {
	return float64(u.InFlightTokens) + float64(u.PeerOpen)*w.MeanPrompt[u.Model]
}

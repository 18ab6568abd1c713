// Package medlarreason is the table of all reasons for which a request is refused or
// an attempt is retried. Metrics, error responses and the operators' documentation are
// generated from it.
package medlarreason

// Reason is why a request was refused or an attempt retried.
type Reason string

// Reasons of refusals.
const (
	Unauthenticated Reason = "unauthenticated"
	Forbidden       Reason = "forbidden"
	Malformed       Reason = "malformed"
	Oversized       Reason = "oversized"
	Slow            Reason = "slow"
	Absent          Reason = "absent"
	Unready         Reason = "unready"
	Draining        Reason = "draining"
	Rate            Reason = "rate"
	Concurrency     Reason = "concurrency"
	Overload        Reason = "overload"
	Deadline        Reason = "deadline"
	Capacity        Reason = "capacity"
	Failed          Reason = "failed"
	Keyless         Reason = "keyless"
	Expired         Reason = "expired"
	Conflict        Reason = "conflict"
	Pending         Reason = "pending"
	Unknown         Reason = "unknown"
	Unclaimed       Reason = "unclaimed"
	Recorded        Reason = "recorded"
	Gone            Reason = "gone"
	Crashing        Reason = "crashing"
	Unresumable     Reason = "unresumable"
	Evacuated       Reason = "evacuated"
	Memory          Reason = "memory"
)

// Reasons of retries.
const (
	Unreachable Reason = "unreachable"
	Broken      Reason = "broken"
	Timeout     Reason = "timeout"
	Busy        Reason = "busy"
	Paused      Reason = "paused"
	Version     Reason = "version"
	Truncated   Reason = "truncated"
	Misdirected Reason = "misdirected"
	Failure     Reason = "failure"
	Outdated    Reason = "outdated"
)

// Ran states whether a refused request ran on an upstream.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Row describes one reason.
type Row struct {
	Reason Reason
	// Status is the HTTP status of a refusal; 0 for a retry.
	Status int
	// Ran is what a refusal reports unless the run reached an upstream.
	Ran Ran
	// Retryable is set if the caller may send the same request again.
	Retryable bool `json:"Again"`
	// Text states what happened, in one sentence for the caller.
	Text string
	// Advice states what an operator can publish or inspect.
	Advice string
}

// Refusals lists the reasons for which a request is refused.
var Refusals = []Row{
	{Unauthenticated, 401, RanNo, false, "the bearer key is missing or belongs to no client account", "add the key's digest to the account in the plans list"},
	{Forbidden, 403, RanNo, false, "the plan does not allow this model or service", "add the model or service to the plan in the uses list"},
	{Malformed, 400, RanNo, false, "the request cannot be read", "none; the caller's program is at fault"},
	{Oversized, 413, RanNo, false, "the request is larger than the limit", "raise limits.body in the settings if such requests are wanted"},
	{Slow, 408, RanNo, true, "the request took too long to arrive", "raise limits.read in the settings if callers are slow"},
	{Absent, 404, RanNo, false, "there is no such model, service or path", "add the model or service to the uses list"},
	{Unready, 503, RanNo, true, "this instance has no configuration yet", "look at the log service: the instance cannot read the lists stream"},
	{Draining, 503, RanNo, true, "this instance is stopping", "none; the balancer moves callers to another instance"},
	{Rate, 429, RanNo, true, "the account sends more requests a second than its plan allows", "raise rate or burst of the plan"},
	{Concurrency, 429, RanNo, true, "the account has more requests open than its plan allows", "raise runs of the plan"},
	{Overload, 503, RanNo, true, "too many requests are waiting", "add replicas, or lower the rates of the plans that send most"},
	{Deadline, 503, RanNo, true, "the request cannot be answered before its deadline", "add replicas, or raise deadline of the plan"},
	{Capacity, 503, RanNo, true, "no upstream can take the request", "look at the instance list and at the weight versions in the uses list"},
	{Failed, 502, RanUnknown, true, "the upstreams failed and no attempt is left", "look at the retry counters for the cause"},
	{Keyless, 400, RanNo, false, "a request that must not be repeated needs an Idempotency-Key", "none; the caller's program is at fault"},
	{Expired, 400, RanNo, false, "the idempotency key's time of issue is too old or lies ahead", "none; the caller issues a new key, or sets its clock"},
	{Conflict, 409, RanNo, false, "the idempotency key was used for another request", "none; the caller's program is at fault"},
	{Pending, 409, RanUnknown, true, "an attempt with this idempotency key is in progress", "none; the caller asks again for the outcome"},
	{Unknown, 502, RanUnknown, false, "the one attempt was made and its outcome is not known", "look up the request in the service's own records"},
	{Unclaimed, 503, RanNo, true, "the attempt could not be claimed in the log", "look at the log service: appends fail or are slow"},
	{Recorded, 409, RanYes, false, "the one attempt was made; its answer is too large to be kept", "look up the request in the service's own records"},
	{Crashing, 503, RanNo, false, "the request, or a part of its prompt, has crashed replicas", "look for lines with the event block: they name the part, or the hash of the request; fix or withdraw what has it"},
	{Unresumable, 503, RanNo, true, "the software version that began the stream is not known here, or has no replica", "look for lines with the event builds, and for replicas of that software version; a caller names what it resumes by the id of the request that began it"},
	{Evacuated, 503, RanNo, true, "all replicas are in availability zones that are evacuated", "withdraw the record evacuate/ZONE, or add replicas in another availability zone"},
	{Memory, 503, RanNo, true, "the instance has no memory left for the request", "look at medlar_memory_bytes for what takes it; raise memory in the settings, or add instances"},
	{Gone, 499, RanUnknown, true, "the caller went away", "none"},
}

// Retries lists the reasons for which an attempt is retried.
var Retries = []Row{
	{Reason: Unreachable, Text: "no connection to the upstream; nothing was sent", Advice: "look at the upstream instance"},
	{Reason: Broken, Text: "the connection to the upstream broke", Advice: "look at the upstream instance"},
	{Reason: Timeout, Text: "the upstream did not answer in time", Advice: "look at the upstream's load"},
	{Reason: Busy, Text: "the upstream refused for lack of room", Advice: "add replicas"},
	{Reason: Paused, Text: "the upstream asked for a pause before the request was sent", Advice: "add replicas"},
	{Reason: Version, Text: "the upstream has another weight version than the lists want", Advice: "none while a version is being rolled out"},
	{Reason: Truncated, Text: "the upstream's answer was not whole", Advice: "look at the upstream instance"},
	{Reason: Misdirected, Text: "another replica has the address now", Advice: "none while replicas are replaced"},
	{Reason: Failure, Text: "the upstream answered that it failed", Advice: "look at the upstream instance"},
	{Reason: Outdated, Text: "the answer had not begun when the time of older weights had passed", Advice: "look at who orders the weights, and at the upstream's load"},
}

// MeansNotRun reports whether an HTTP status states that the request did not run.
func MeansNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// Lookup returns the row of a reason; ok is false if there is none.
func Lookup(r Reason) (row Row, ok bool) {
	for _, table := range [][]Row{Refusals, Retries} {
		for i := range table {
			if table[i].Reason == r {
				return table[i], true
			}
		}
	}
	return Row{}, false
}

package medlarschedule

import (
	"fmt"
	"time"

	"medlarfield/internal/stand/medlarfakereplica"
)

// repeatsLast is how long the faults last that make attempts be made again. They follow one another without a gap, so
// that a window of repeats is full of them.
const repeatsLast = aloneEvery

// slowReplicas lets plain requests take about as long as a first attempt waits, or as its request has left then. All could
// be served in time.
func (d *draw) slowReplicas() []Step {
	const least, spread = 900, 1700 // ms
	return []Step{post(0, "slow?ms=%d", least+d.IntN(spread)), post(repeatsLast, "slow?ms=0")}
}

// stalledReplicas lets one plain replica after the other stand still for about a second and go on.
func (d *draw) stalledReplicas() []Step {
	const least, spread = 900, 600 // ms
	var out []Step
	first := d.IntN(aloneFaults)
	for i, at := 0, time.Duration(0); at < repeatsLast; i, at = i+1, at+time.Second {
		out = append(out, post(at, "stall?from=%d&n=1&ms=%d", first+i, least+d.IntN(spread)))
	}
	return out
}

// halfBroken lets plain replicas fail every second request, in one way.
func (d *draw) halfBroken() []Step {
	faults := []medlarfakereplica.Fault{
		medlarfakereplica.FaultLost, medlarfakereplica.FaultFail, medlarfakereplica.FaultCut, medlarfakereplica.FaultShed,
		medlarfakereplica.FaultHang, medlarfakereplica.FaultMisdirected,
	}
	return []Step{post(0, "every?fault=%s&n=2", faults[d.IntN(len(faults))]), post(repeatsLast, "every?fault=&n=0")}
}

// halfBrokenRestarts kills an instance and starts it again each interval, with replicas as in halfBroken.
func (d *draw) halfBrokenRestarts() []Step { return d.restarts(d.halfBroken(), 500*time.Millisecond) }

// refusedRestarts does the same more often, with replicas that reject all requests.
func (d *draw) refusedRestarts() []Step {
	rejecting := []Step{post(0, "every?fault=%s&n=1", medlarfakereplica.FaultShed), post(repeatsLast, "every?fault=&n=0")}
	return d.restarts(rejecting, 250*time.Millisecond)
}

// restarts adds kills and starts of one instance after the other.
func (d *draw) restarts(steps []Step, interval time.Duration) []Step {
	const down = 50 * time.Millisecond
	for i, at := 0, time.Duration(0); at < repeatsLast; i, at = i+1, at+interval {
		one := []string{fmt.Sprint(i%d.nodes + 1)}
		steps = append(steps, Step{at, VerbKill, one}, Step{at + down, VerbStart, one})
	}
	return steps
}

// pressingCallers lets callers press, with replicas as in halfBroken.
func (d *draw) pressingCallers() []Step {
	return append(d.halfBroken(), Step{0, VerbPress, nil}, Step{repeatsLast, VerbEase, nil})
}

package medlarcore

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of the overload experiment.
const (
	promptBlocks  = 32 // blocks of a prompt: 2,048 tokens, 0.256 s of computation
	overloadTime  = 60 * time.Second
	usefulWithin  = 5 * time.Second // an answer whose first token comes later is useless
	smallAccounts = 9               // number of small accounts, besides one large account
	smallShare    = 0.2             // share of the capacity that all small accounts send together
	smallWeight   = 1
)

// capacity is the number of prompts per second that the replicas can compute.
const capacity = expReplicas * expPrefill / float64(promptBlocks*medlarkey.BlockTokens)

// overloadResult is the result of one run.
type overloadResult struct {
	goodput  float64       // useful answers per second
	small    float64       // useful answers per second of small accounts
	smallP95 time.Duration // time to first token of small accounts
	refused  float64       // share of prompts
}

// simulateOverload sends factor times the capacity; the small accounts always send the
// same rate. baseline has no limit on the wait, and one queue for all accounts.
func simulateOverload(factor float64, baseline bool) overloadResult {
	x := newExperiment(affinity, 1)
	w := x.core.World()
	w.Config.MaxQueued, w.Config.MaxWait = 256, 4*time.Second
	if baseline {
		w.Config.MaxQueued, w.Config.MaxWait = 1<<30, 0
	}
	for i := range expReplicas {
		x.at(epoch, func() { x.report(i) })
	}
	sent := 0
	send := func(at time.Time, account medlarid.AccountID) {
		sent++
		id := medlarid.RequestID(fmt.Sprint(account, "/", sent))
		x.at(at, func() {
			x.prompts[id] = &simPrompt{keys: make([]medlarkey.Key, promptBlocks), arrived: x.now}
			for b := range x.prompts[id].keys {
				x.prompts[id].keys[b] = medlarkey.Key{byte(len(x.prompts)), byte(len(x.prompts) >> 8), byte(len(x.prompts) >> 16), byte(b), 2}
			}
			r := &medlarworld.Run{
				ID: id, Account: account, Model: "m", Version: "v1", PromptTokens: promptBlocks * medlarkey.BlockTokens,
				Arrived: x.now, Deadline: x.now.Add(time.Hour),
			}
			if baseline {
				r.Account = "all"
			}
			x.tick(medlarworld.Submitted{Run: r, Limits: medlarworld.Limits{Weight: smallWeight}})
		})
	}
	smallGap := gap(capacity * smallShare)
	for i, at := 0, epoch; at.Before(epoch.Add(overloadTime)); i, at = i+1, at.Add(smallGap) {
		send(at, medlarid.AccountID(fmt.Sprint("small-", i%smallAccounts)))
	}
	largeGap := gap(capacity * max(factor-smallShare, 0.01))
	for at := epoch; at.Before(epoch.Add(overloadTime)); at = at.Add(largeGap) {
		send(at, "large")
	}
	return x.runLoad(sent)
}

// gap returns the time between two prompts at a rate.
func gap(perSecond float64) time.Duration { return time.Duration(float64(time.Second) / perSecond) }

func (x *experiment) runLoad(sent int) overloadResult {
	x.first = map[medlarid.RequestID]time.Duration{}
	x.runUntil(epoch.Add(overloadTime + time.Second))
	var o overloadResult
	var smallFirsts []time.Duration
	for id, first := range x.first {
		small := id[0] == 's'
		if small {
			smallFirsts = append(smallFirsts, first)
		}
		if first <= usefulWithin {
			o.goodput++
			if small {
				o.small++
			}
		}
	}
	o.goodput /= overloadTime.Seconds()
	o.small /= overloadTime.Seconds()
	o.refused = float64(x.refused) / float64(sent)
	if len(smallFirsts) > 0 {
		slices.Sort(smallFirsts)
		o.smallP95 = smallFirsts[len(smallFirsts)*95/100]
	}
	return o
}

// BenchmarkOverload reports goodput below, at and above the capacity, with and without
// admission control.
func BenchmarkOverload(b *testing.B) {
	for _, baseline := range []bool{false, true} {
		for _, factor := range []float64{0.5, 1, 2, 4} {
			name := fmt.Sprintf("admission control/load=%.1f", factor)
			if baseline {
				name = fmt.Sprintf("plain queue/load=%.1f", factor)
			}
			b.Run(name, func(b *testing.B) {
				var o overloadResult
				for range b.N {
					o = simulateOverload(factor, baseline)
				}
				b.ReportMetric(o.goodput, "useful/s")
				b.ReportMetric(o.small, "useful-small/s")
				b.ReportMetric(float64(o.smallP95.Milliseconds()), "ms-small-p95")
				b.ReportMetric(100*o.refused, "%-refused")
			})
		}
	}
}

// minGoodputShare is the share of the goodput at capacity that goodput may not fall below
// at four times the capacity.
const minGoodputShare = 0.9

func TestGoodputStaysUnderOverload(t *testing.T) {
	atCapacity, overloaded := simulateOverload(1, false), simulateOverload(4, false)
	t.Logf("useful answers per second: %.1f at capacity, %.1f at four times; small accounts %.1f and %.1f, p95 %v and %v",
		atCapacity.goodput, overloaded.goodput, atCapacity.small, overloaded.small, atCapacity.smallP95, overloaded.smallP95)
	if overloaded.goodput < minGoodputShare*atCapacity.goodput {
		t.Errorf("%.1f useful answers per second at four times the capacity, %.1f at capacity", overloaded.goodput, atCapacity.goodput)
	}
	if overloaded.small < minGoodputShare*atCapacity.small {
		t.Errorf("small accounts get %.1f useful answers per second while a large account overloads the system, %.1f otherwise", overloaded.small, atCapacity.small)
	}
}

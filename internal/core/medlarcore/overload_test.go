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

// Size of the overload experiment.
const (
	loadBlocks  = 32 // blocks of a prompt: 2,048 tokens, 0.256 s of computation
	loadTime    = 60 * time.Second
	loadUseful  = 5 * time.Second // an answer whose first token comes later is of no use
	loadSmall   = 9               // small accounts, beside a large one
	smallShare  = 0.2             // of the load at capacity, that all small accounts send
	smallWeight = 1
)

// capacity is the number of prompts a second that the replicas can compute.
const capacity = expReplicas * expPrefill / float64(loadBlocks*medlarkey.BlockTokens)

// overload is the result of one run.
type overload struct {
	goodput  float64 // useful answers a second
	small    float64 // useful answers a second of small accounts
	smallP95 time.Duration
	refused  float64 // share of prompts
}

// playOverload sends factor times the capacity; the small accounts always send the
// same. plain is the baseline: no bound on the wait, and one queue for all.
func playOverload(factor float64, plain bool) overload {
	x := newExperiment(affinity, 1)
	w := x.core.World()
	w.Config.Queue, w.Config.Wait = 256, 4*time.Second
	if plain {
		w.Config.Queue, w.Config.Wait = 1<<30, 0
	}
	for i := range expReplicas {
		x.at(epoch, func() { x.report(i) })
	}
	sent := 0
	send := func(at time.Time, account medlarid.AccountID) {
		sent++
		id := medlarid.RequestID(fmt.Sprint(account, "/", sent))
		x.at(at, func() {
			x.prompts[id] = &simPrompt{keys: make([]medlarkey.Key, loadBlocks), arrived: x.now}
			for b := range x.prompts[id].keys {
				x.prompts[id].keys[b] = medlarkey.Key{byte(len(x.prompts)), byte(len(x.prompts) >> 8), byte(len(x.prompts) >> 16), byte(b), 2}
			}
			r := &medlarworld.Run{
				ID: id, Account: account, Model: "m", Version: "v1", Prompt: loadBlocks * medlarkey.BlockTokens,
				Arrived: x.now, Deadline: x.now.Add(time.Hour),
			}
			if plain {
				r.Account = "all"
			}
			x.tick(medlarworld.Submitted{Run: r, Limits: medlarworld.Limits{Weight: smallWeight}})
		})
	}
	smallGap := gap(capacity * smallShare)
	for i, at := 0, epoch; at.Before(epoch.Add(loadTime)); i, at = i+1, at.Add(smallGap) {
		send(at, medlarid.AccountID(fmt.Sprint("small-", i%loadSmall)))
	}
	largeGap := gap(capacity * max(factor-smallShare, 0.01))
	for at := epoch; at.Before(epoch.Add(loadTime)); at = at.Add(largeGap) {
		send(at, "large")
	}
	return x.playLoad(sent)
}

// gap returns the time between two prompts of a rate.
func gap(perSecond float64) time.Duration { return time.Duration(float64(time.Second) / perSecond) }

func (x *experiment) playLoad(sent int) overload {
	x.useful = map[medlarid.RequestID]time.Duration{}
	x.drain(epoch.Add(loadTime + time.Second))
	var o overload
	var smallFirsts []time.Duration
	for id, first := range x.useful {
		small := id[0] == 's'
		if small {
			smallFirsts = append(smallFirsts, first)
		}
		if first <= loadUseful {
			o.goodput++
			if small {
				o.small++
			}
		}
	}
	o.goodput /= loadTime.Seconds()
	o.small /= loadTime.Seconds()
	o.refused = float64(x.refused) / float64(sent)
	if len(smallFirsts) > 0 {
		slices.Sort(smallFirsts)
		o.smallP95 = smallFirsts[len(smallFirsts)*95/100]
	}
	return o
}

// BenchmarkOverload reports goodput at parts and multiples of the capacity, with
// admission and without.
func BenchmarkOverload(b *testing.B) {
	for _, plain := range []bool{false, true} {
		for _, factor := range []float64{0.5, 1, 2, 4} {
			name := fmt.Sprintf("ours/load=%.1f", factor)
			if plain {
				name = fmt.Sprintf("plain queue/load=%.1f", factor)
			}
			b.Run(name, func(b *testing.B) {
				var o overload
				for range b.N {
					o = playOverload(factor, plain)
				}
				b.ReportMetric(o.goodput, "useful/s")
				b.ReportMetric(o.small, "useful-small/s")
				b.ReportMetric(float64(o.smallP95.Milliseconds()), "ms-small-p95")
				b.ReportMetric(100*o.refused, "%-refused")
			})
		}
	}
}

// goodputKept is the share of the peak's goodput that four times the capacity may
// not fall below.
const goodputKept = 0.9

func TestGoodputStaysUnderOverload(t *testing.T) {
	peak, four := playOverload(1, false), playOverload(4, false)
	t.Logf("useful answers a second: %.1f at capacity, %.1f at four times; small accounts %.1f and %.1f, p95 %v and %v",
		peak.goodput, four.goodput, peak.small, four.small, peak.smallP95, four.smallP95)
	if four.goodput < goodputKept*peak.goodput {
		t.Errorf("%.1f useful answers a second at four times the capacity, %.1f at capacity", four.goodput, peak.goodput)
	}
	if four.small < goodputKept*peak.small {
		t.Errorf("small accounts get %.1f useful answers a second while a large one floods, %.1f else", four.small, peak.small)
	}
}

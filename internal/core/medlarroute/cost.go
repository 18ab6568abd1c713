package medlarroute

import (
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarlag"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// load returns how many runs an upstream is known to have, by its last report and what was sent since. A plain
// service queues requests itself, so that those of other instances do not count there.
func load(u *medlarupstream.Upstream) int {
	reported := u.Load.Running + u.Load.Queued + u.SentSinceReport
	if u.Kind == medlarkind.KindService {
		return max(reported, u.Open)
	}
	return max(reported, u.TotalOpen())
}

// evaluate returns the cheaper of computing and importing what u does not cache
// (R2, R3).
func evaluate(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream) option {
	c := option{upstream: u, cost: zoneCost(w, u) + queueSeconds(w, u)}
	if u.Kind == medlarkind.KindService {
		c.cost += float64(u.TotalOpen()) * slotWaitSeconds
		return c
	}
	if r.KeyTokens != nil {
		c.cost += partsCost(w, r, u, &c)
		if w.Now.Before(u.SwapUntil) {
			c.cost += swapCost
		}
		return c
	}
	if u.Version == r.Version {
		c.cachedBlocks = w.Warm.Depth(r.Keys, u.ID)
	}
	uncached := r.PromptTokens - r.PrefixTokens(c.cachedBlocks)
	compute := prefillCost(w, u, uncached)
	if u.Version == r.Version && len(r.StoredBlocks) > c.cachedBlocks {
		imports := r.StoredBlocks[c.cachedBlocks:]
		remainingCost := prefillCost(w, u, r.PromptTokens-r.PrefixTokens(c.cachedBlocks+len(imports)))
		importSeconds := transferSeconds(w, imports)
		if importSeconds+remainingCost < compute {
			c.imports, c.importSeconds = imports, importSeconds
			c.importTimeout = importTimeoutSeconds(importSeconds, compute-remainingCost)
			compute = importSeconds + remainingCost
		}
	}
	c.cost += compute
	return c
}

// partsCost returns the cost in seconds of the prefill of a prompt that is divided
// into parts. Parts that the upstream caches cost nothing, parts that stores hold can
// be fetched, and everything after the last of these is computed. The cheapest
// length of the cached or fetched prefix counts.
func partsCost(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream, c *option) float64 {
	best := prefillCost(w, u, r.PromptTokens)
	fetchSeconds := 0.0
	for i, k := range r.KeysUnder(u.Version) {
		warm := w.Warm.Has(k, u.ID)
		if !warm {
			s := medlarplacement.FindStore(w, k)
			if s == nil {
				break
			}
			fetchSeconds += medlarplacement.TransferSeconds(s, u, r.KeyTokens[i])
		}
		if cost := fetchSeconds + prefillCost(w, u, r.PromptTokens-r.PrefixTokens(i+1)); cost <= best {
			best, c.fetchSeconds, c.availableParts = cost, fetchSeconds, i+1
			if warm {
				c.cachedBlocks = i + 1
			}
		}
	}
	c.idleTTFT = c.fetchSeconds + u.PrefillTime(r.PromptTokens-r.PrefixTokens(c.availableParts)).Seconds()
	c.ttft = c.idleTTFT + pendingSeconds(w, u)
	return best + medlarlag.Estimate(w, u)
}

// importTimeoutSeconds returns the seconds after which an import times out that is
// expected to take importSeconds and to save savedSeconds of computation.
func importTimeoutSeconds(importSeconds, savedSeconds float64) float64 {
	return min(max(importTimeoutFactor*importSeconds, importSavedShare*savedSeconds), savedSeconds)
}

// prefillCost returns the weighted seconds that computing n prompt tokens takes.
func prefillCost(w *medlarworld.World, u *medlarupstream.Upstream, n medlarid.Tokens) float64 {
	seconds := float64(max(n, 0)) / max(u.PrefillRate, 1)
	if w.Config.Weighting == medlarkind.WeightingRecompute {
		return seconds * (1 + recomputeWeight)
	}
	return seconds
}

// transferSeconds returns the seconds until all blocks are imported: the links work in
// parallel, each after what is already in flight on it.
func transferSeconds(w *medlarworld.World, handles []medlarinventory.Handle) float64 {
	longest := 0.0
	for _, s := range w.StoreList {
		var n medlarid.Bytes
		for _, h := range handles {
			if h.Store == s.ID {
				n += h.Length
			}
		}
		if n > 0 {
			longest = max(longest, float64(n+s.InFlightBytes)/max(s.Rate, 1))
		}
	}
	return importSetupSeconds + longest
}

// pendingSeconds returns the seconds that an engine needs for its pending prompts.
func pendingSeconds(w *medlarworld.World, u *medlarupstream.Upstream) float64 {
	return max(u.BusyUntil.Sub(w.Now).Seconds(), 0) + u.PrefillTime(u.PeerPending).Seconds()
}

// queueSeconds returns the seconds until an upstream begins with a new run.
func queueSeconds(w *medlarworld.World, u *medlarupstream.Upstream) float64 {
	wait := pendingSeconds(w, u)
	if excess := load(u) - u.Load.Slots; u.Load.Slots > 0 && excess >= 0 {
		wait += slotWaitSeconds * float64(excess+1) / float64(u.Load.Slots)
	}
	return wait
}

func zoneCost(w *medlarworld.World, u *medlarupstream.Upstream) float64 {
	if u.Zone == w.Config.Zone {
		return 0
	}
	return crossZoneCost
}

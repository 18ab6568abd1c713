package medlarroute

import (
	"cmp"
	"slices"

	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarlag"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarverdict"
	"medlarfield/internal/core/medlarworld"
)

// Assess fills a verdict with the replica that a run would be sent to now, the other candidates and the excluded replicas.
// place is the run's place in the queue; the runs that wait there have no candidate. It decides as for a run that leaves the
// queue, and changes only w, which is a shadow.
func Assess(w *medlarworld.World, r *medlarworld.Run, place int, v *medlarverdict.Verdict) {
	why := map[*medlarupstream.Upstream]medlarverdict.Exclusion{}
	s := &System{excluded: func(u *medlarupstream.Upstream, reason medlarverdict.Exclusion) { why[u] = reason }}
	s.findOptions(w, r)
	options := slices.Clone(s.options)
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	upstreams := w.UpstreamsFor(r.Target())
	home := homeOf(r, upstreams, r.Build)
	if len(options) > 0 {
		best := s.pickCheapest(w)
		if !held(w, r) && !mustWait(w, r, w.Waiting[:place]) {
			v.Replica = best.upstream.ID
		}
		slices.SortStableFunc(options, func(a, b option) int { return compareBool(b.upstream == best.upstream, a.upstream == best.upstream) })
		v.Absent = absent(w, r, best.upstream)
	}
	for _, c := range options {
		delete(why, c.upstream)
		next := terms(w, r, c)
		next.Home = c.upstream == home
		if len(v.Candidates) > 0 {
			next.Because = dearest(&v.Candidates[0], &next)
		}
		v.Candidates = append(v.Candidates, next)
	}
	for _, u := range upstreams {
		if reason := why[u]; reason != medlarverdict.None {
			v.Excluded = append(v.Excluded, medlarverdict.Excluded{Replica: u.ID, Home: u == home, Reason: reason})
		}
	}
}

// mustWait reports whether a run waits because one before it in the queue has the same requirements: that one has no
// candidate.
func mustWait(w *medlarworld.World, r *medlarworld.Run, before []*medlarworld.Run) bool {
	need, _ := requirementsOf(w, r)
	return slices.ContainsFunc(before, func(other *medlarworld.Run) bool {
		same, untried := requirementsOf(w, other)
		return untried && same == need && !held(w, other)
	})
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// terms returns the terms of the expected time of an option.
func terms(w *medlarworld.World, r *medlarworld.Run, c option) medlarverdict.Candidate {
	u := c.upstream
	out := medlarverdict.Candidate{
		Replica: u.ID, Zone: u.Zone, Cost: c.cost, Waiting: queueSeconds(w, u), Fetch: c.fetchSeconds + c.importSeconds, Distance: zoneCost(w, u),
		Cached: c.cachedBlocks, Held: max(c.availableParts, c.cachedBlocks+len(c.imports)),
	}
	switch {
	case u.Kind == medlarkind.KindService:
		out.Waiting += float64(u.TotalOpen()) * slotWaitSeconds
	case r.KeyTokens != nil:
		out.Waiting += medlarlag.Estimate(w, u)
		if w.Now.Before(u.SwapUntil) {
			out.Loading = swapCost
		}
	}
	if u.Kind != medlarkind.KindService {
		out.Compute = u.PrefillTime(max(r.PromptTokens-r.PrefixTokens(out.Held), 0)).Seconds()
	}
	out.Expected = out.Waiting + out.Fetch + out.Compute + out.Distance + out.Loading
	return out
}

// dearest returns the term in which a candidate most exceeds the chosen one, or "home" if there is none and
// the chosen one costs less as the home; empty for neither.
func dearest(chosen, c *medlarverdict.Candidate) string {
	name, most := "", 0.0
	for _, t := range []struct {
		name string
		more float64
	}{
		{"waiting", c.Waiting - chosen.Waiting},
		{"fetch", c.Fetch - chosen.Fetch},
		{"compute", c.Compute - chosen.Compute},
		{"distance", c.Distance - chosen.Distance},
		{"loading", c.Loading - chosen.Loading},
	} {
		if t.more > most {
			name, most = t.name, t.more
		}
	}
	if name == "" && c.Cost > chosen.Cost && chosen.Home {
		return "home"
	}
	return name
}

// absent returns the parts of a run's prompt that neither an upstream nor a store has. The last part is left out, as it
// is the prompt's own.
func absent(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream) []int {
	if r.KeyTokens == nil || u.Kind != medlarkind.KindEngine {
		return nil
	}
	var out []int
	keys := r.KeysUnder(u.Version)
	for i, k := range keys[:max(len(keys)-1, 0)] {
		if !w.Warm.Has(k, u.ID) && medlarplacement.FindStore(w, k) == nil {
			out = append(out, i)
		}
	}
	return out
}

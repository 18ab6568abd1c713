// Package medlarroute sends waiting runs to upstreams.
//
// Rules:
//
//	R1  A candidate is usable, serves the model under the wanted or the serving
//	    weight version, has room, and was not tried by the run unless all were.
//	    An answer that has begun goes on under its own version only. After a bound a
//	    version that is no longer wanted serves nothing.
//	R2  The cost of a candidate is the expected time to first token: its backlog,
//	    the computation of what it does not cache, and the distance. A deployment
//	    that weighs the recomputed share adds the computation again.
//	R3  Kept blocks are imported when that, with the queue on their link, costs
//	    less than computing them. An import is given up when it takes several
//	    times what was expected, or as long as the computation that it saves.
//	R4  Among candidates of nearly the lowest cost the one with fewer own attempts
//	    of two drawn at random gets the run, so instances do not all choose alike.
//	R5  An unrepeatable run is claimed when there is a candidate, and sent only
//	    once the claim is granted.
//	R6  A run that finds no candidate does not keep those behind it waiting.
//	R7  The home of a conversation is the replica of the highest rank for it, the
//	    same for all instances. It is a candidate beside the near ones, even
//	    unheard of, and its cost is a little lower, so that prompts which return
//	    through any instance meet their context.
package medlarroute

import (
	"math"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarlag"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarwindow"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of the cost.
const (
	zoneCost       = 2e-3 // seconds for an upstream in another availability zone
	shareWeight    = 4.0  // seconds for each second of computation, when share is weighed
	importSetup    = 5e-3 // seconds
	nearShare      = 0.05 // candidates within this share of the lowest cost are equal
	nearSeconds    = 5e-3
	slotSeconds    = 0.5  // seconds until a slot comes free
	queueShare     = 0.25 // share of an engine's slots that may wait inside it
	homeShare      = 0.1  // of the computation, by which a home costs less
	maxBacklog     = 0.5  // seconds of computation that may wait inside an engine
	memoryShare    = 0.3  // of a replica's memory that own attempts fill
	nextCost       = 1.0  // seconds, for a replica that is about to change weights
	maxOpenNoSlot  = 256  // attempts in flight at an upstream that reports no slots
	importPatience = 2    // an import is given up after this many times its cost
	savedShare     = 0.5  // of the computation that an import saves
)

// System routes runs.
type System struct {
	started func(*medlarworld.Run) // called for each run that leaves the queue
	choices []choice
	count   int      // choices of the last run, before one was picked
	full    []target // targets without a candidate in this tick
}

// target is what a run that has not been tried yet needs.
type target struct {
	model   medlarid.ModelID
	service medlarid.ServiceID
	version medlarid.WeightVersion
}

// choice is one way to serve a run.
type choice struct {
	upstream *medlarworld.Upstream
	depth    int                  // blocks that the upstream caches
	imports  []medlarworld.Handle // blocks to import after those
	stocked  int                  // parts that the upstream caches or stores hold
	expected float64              // seconds to the first part of the answer
	service  float64              // the same on an idle upstream
	cost     float64              // seconds
	transfer float64              // seconds of cost that are the import's
	patience float64              // seconds after which the import is given up
}

// New returns the system; started is called for each run that leaves the queue.
func New(started func(*medlarworld.Run)) *System { return &System{started: started} }

// Run handles the events of one tick and sends what can be sent.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		if e, ok := e.(medlarworld.ClaimGranted); ok {
			s.claimed(w, e)
		}
	}
	s.drainQueue(w)
}

// drainQueue sends the waiting runs that have a candidate (R6).
func (s *System) drainQueue(w *medlarworld.World) {
	s.full = s.full[:0]
	kept := w.Waiting[:0]
	for _, r := range w.Waiting {
		if w.Now.Before(r.NotBefore) || !s.try(w, r) {
			kept = append(kept, r)
		}
	}
	clear(w.Waiting[len(kept):])
	w.Waiting = kept
}

// try sends or claims a run and reports whether it left the queue.
func (s *System) try(w *medlarworld.World, r *medlarworld.Run) bool {
	t := target{model: r.Model, service: r.Service, version: r.Version}
	untried := len(r.Tried) == 0 && r.PinnedVersion == ""
	if untried && slices.Contains(s.full, t) {
		return false
	}
	best, ok := s.choose(w, r)
	if !ok {
		if untried {
			s.full = append(s.full, t)
		}
		return false
	}
	w.VirtualTime = max(w.VirtualTime, r.VirtualStart)
	s.started(r)
	if r.AtMostOnce && !r.Claimed {
		r.Phase = medlarworld.PhaseClaiming // R5
		w.Emit(medlarworld.Claim{Run: r.ID})
		return true
	}
	s.start(w, r, best)
	return true
}

// claimed sends a run whose claim was granted, or lets it wait again.
func (s *System) claimed(w *medlarworld.World, e medlarworld.ClaimGranted) {
	r := w.Runs[e.Run]
	if r == nil || r.Phase != medlarworld.PhaseClaiming {
		return
	}
	r.Claimed = true
	r.Phase = medlarworld.PhaseWaiting
	if best, ok := s.choose(w, r); ok {
		s.start(w, r, best)
		return
	}
	w.Waiting = slices.Insert(w.Waiting, 0, r)
}

func (s *System) start(w *medlarworld.World, r *medlarworld.Run, c choice) {
	u := c.upstream
	r.Attempt++
	r.Phase = medlarworld.PhaseRunning
	r.Upstream = u
	r.AttemptStarted = w.Now
	if !slices.Contains(r.Tried, u) {
		r.Tried = append(r.Tried, u)
	}
	why := medlarworld.Decision{Candidates: s.count, Lag: medlarlag.Estimate(w, u)}
	medlarwindow.Explain(w, r, u, &why)
	u.Open++
	u.InFlightTokens += r.PromptTokens
	r.ExpectedTTFT = time.Duration(c.expected * float64(time.Second))
	if r.KeyTokens != nil && u.Kind == medlarworld.KindEngine {
		medlarwindow.AddAttempt(w, r, u, r.PrefixTokens(c.stocked), time.Duration(c.service*float64(time.Second)))
	}
	if !u.ReportedAt.IsZero() { // a report replaces the count
		u.SentSinceReport++
	}
	if u.BusyUntil.Before(w.Now) {
		u.BusyUntil = w.Now
	}
	known := r.PrefixTokens(max(c.depth+len(c.imports), c.stocked))
	u.BusyUntil = u.BusyUntil.Add(u.PrefillTime(max(r.PromptTokens-known, 0)))
	for _, h := range c.imports {
		if store := w.Stores[h.Store]; store != nil {
			store.InFlightBytes += h.Length
		}
	}
	cmd := medlarworld.StartAttempt{
		Run:           r.ID,
		Attempt:       r.Attempt,
		Upstream:      u.ID,
		Address:       u.Address,
		Version:       versionOf(w, u),
		Priority:      priorityOf(w, r),
		CachedKeys:    c.depth,
		Import:        c.imports,
		ImportTimeout: importTime(c),
		Decision:      why,
	}
	if r.KeyTokens != nil && u.Kind == medlarworld.KindEngine {
		medlarplacement.Plan(w, r, u, c.stocked, &cmd)
	}
	w.Emit(cmd)
}

func importTime(c choice) time.Duration {
	return time.Duration(c.patience * float64(time.Second))
}

func priorityOf(w *medlarworld.World, r *medlarworld.Run) medlarid.Priority {
	if a := w.Accounts[r.Account]; a != nil {
		return a.Limits.Priority + r.Priority
	}
	return r.Priority
}

// choose returns the best way to serve a run now; ok is false when there is no
// candidate.
func (s *System) choose(w *medlarworld.World, r *medlarworld.Run) (best choice, ok bool) {
	s.collect(w, r, scope{})
	if len(s.choices) == 0 && len(w.Engines[r.Model]) > 0 {
		s.collect(w, r, scope{far: true})
	}
	if len(s.choices) == 0 && len(r.Tried) > 0 {
		s.collect(w, r, scope{far: true, tried: true})
	}
	if len(s.choices) == 0 {
		return choice{}, false
	}
	s.count = len(s.choices)
	lowest := s.choices[0].cost
	for i := range s.choices {
		lowest = min(lowest, s.choices[i].cost)
	}
	// The cost of a home may be below 0.
	return s.pick(w, lowest+nearShare*math.Abs(lowest)+nearSeconds), true
}

// pick draws two of the choices up to a cost and takes the one whose upstream
// has fewer own attempts (R4).
func (s *System) pick(w *medlarworld.World, bound float64) choice {
	n := 0
	for _, c := range s.choices {
		if c.cost <= bound {
			s.choices[n] = c
			n++
		}
	}
	a, b := s.choices[w.Rand.IntN(n)], s.choices[w.Rand.IntN(n)]
	if b.upstream.Open < a.upstream.Open {
		return b
	}
	return a
}

// scope says which upstreams are looked at.
type scope struct {
	far   bool // also replicas that are not near
	tried bool // also upstreams that the run has tried
}

// collect fills the candidates of a run (R1).
func (s *System) collect(w *medlarworld.World, r *medlarworld.Run, in scope) {
	s.choices = s.choices[:0]
	upstreams := w.UpstreamsFor(r.Target())
	home := homeOf(r, upstreams)
	if home != nil {
		r.HomeZone = home.Zone
	}
	for _, u := range upstreams {
		near := u.InSubset || in.far || u == home || r.Service != ""
		fresh := in.tried || !slices.Contains(r.Tried, u)
		if !near || !fresh || !candidate(w, r, u) {
			continue
		}
		c := evaluate(w, r, u)
		if r.KeyTokens != nil && u.Kind == medlarworld.KindEngine && !medlarwindow.Fits(w, r, u, r.PrefixTokens(c.stocked)) {
			continue
		}
		if u == home {
			c.cost -= homeShare * computeCost(w, u, r.PromptTokens)
		}
		s.choices = append(s.choices, c)
	}
}

// homeOf returns the replica of the highest rank for a run's conversation, which
// its first segment of blocks stands for, or nil for a short prompt (R7).
func homeOf(r *medlarworld.Run, us []*medlarworld.Upstream) *medlarworld.Upstream {
	if len(r.Keys) == 0 {
		return nil
	}
	k := r.HomeKey
	if k == (medlarkey.Key{}) {
		k = medlarkey.Conversation(r.Keys)
	}
	var best *medlarworld.Upstream
	var most uint64
	for _, u := range us {
		if u.Leaving || u.Delisted {
			continue
		}
		if rank := medlarkey.Rendezvous(k, u.ID); best == nil || rank > most {
			best, most = u, rank
		}
	}
	return best
}

func candidate(w *medlarworld.World, r *medlarworld.Run, u *medlarworld.Upstream) bool {
	if !u.Usable(w.Now) || !hasRoom(w, u) {
		return false
	}
	if u.Kind == medlarworld.KindService {
		return true
	}
	if u.Model != r.Model {
		return false
	}
	v := versionOf(w, u)
	if r.PinnedVersion != "" {
		return v == r.PinnedVersion
	}
	m := w.Models[r.Model]
	if v == m.Version {
		return v != ""
	}
	return v != "" && v == r.Version && !outdated(w, &m, v)
}

// outdated reports whether a weight version was replaced too long ago.
func outdated(w *medlarworld.World, m *medlarworld.Model, v medlarid.WeightVersion) bool {
	at, ok := m.Versions.ReplacedAt(v)
	return ok && w.Config.OldVersionGrace > 0 && w.Now.Sub(at) > w.Config.OldVersionGrace
}

// versionOf returns the weight version that a replica is taken to have: what it
// told, or the wanted one for a replica that told nothing yet. A replica refuses
// a run under another version, so that a wrong guess costs a retry.
func versionOf(w *medlarworld.World, u *medlarworld.Upstream) medlarid.WeightVersion {
	if u.Version == "" && u.ReportedAt.IsZero() && !u.InSubset {
		return w.Models[u.Model].Version
	}
	return u.Version
}

// hasRoom reports whether an upstream can take one more run by its last report
// and what was sent since.
func hasRoom(w *medlarworld.World, u *medlarworld.Upstream) bool {
	if u.Load.Slots == 0 {
		return u.Open < maxOpenNoSlot
	}
	if u.KVCapacity > 0 && u.Open > 0 && float64(u.InFlightTokens) > memoryShare*float64(u.KVCapacity) {
		return false
	}
	if pendingTime(w, u) >= maxBacklog && u.Open > 0 {
		return false // it waits here, where the queue is fair, and not inside the engine
	}
	load := max(u.Load.Running+u.Load.Queued+u.SentSinceReport, u.Open)
	return float64(load) < float64(u.Load.Slots)*(1+queueShare)
}

// evaluate returns the cheaper of computing and importing what u lacks (R2, R3).
func evaluate(w *medlarworld.World, r *medlarworld.Run, u *medlarworld.Upstream) choice {
	c := choice{upstream: u, cost: distance(w, u) + backlog(w, u)}
	if u.Kind == medlarworld.KindService {
		c.cost += float64(u.Open) * slotSeconds
		return c
	}
	if r.KeyTokens != nil {
		c.cost += partsCost(w, r, u, &c)
		if w.Now.Before(u.SwapUntil) {
			c.cost += nextCost
		}
		return c
	}
	if u.Version == r.Version {
		c.depth = w.Warm.Depth(r.Keys, u.ID)
	}
	cold := r.PromptTokens - r.PrefixTokens(c.depth)
	compute := computeCost(w, u, cold)
	if u.Version == r.Version && len(r.StoredBlocks) > c.depth {
		imports := r.StoredBlocks[c.depth:]
		rest := computeCost(w, u, r.PromptTokens-r.PrefixTokens(c.depth+len(imports)))
		transfer := transferTime(w, imports)
		if transfer+rest < compute {
			c.imports, c.transfer = imports, transfer
			c.patience = patience(transfer, compute-rest)
			compute = transfer + rest
		}
	}
	c.cost += compute
	return c
}

// partsCost returns the seconds until a prompt that is named by its parts is
// computed. Parts that the upstream caches cost nothing, parts that stores hold can
// be fetched, and behind the last one of these all is computed. Of all lengths of
// what is cached or fetched the cheapest counts.
func partsCost(w *medlarworld.World, r *medlarworld.Run, u *medlarworld.Upstream, c *choice) float64 {
	best := computeCost(w, u, r.PromptTokens)
	transfer, chosen := 0.0, 0.0
	for i, k := range r.KeysUnder(u.Version) {
		warm := w.Warm.Has(k, u.ID)
		if !warm {
			s := medlarplacement.FindStore(w, k)
			if s == nil {
				break
			}
			transfer += medlarplacement.TransferSeconds(s, u, r.KeyTokens[i])
		}
		if cost := transfer + computeCost(w, u, r.PromptTokens-r.PrefixTokens(i+1)); cost <= best {
			best, chosen, c.stocked = cost, transfer, i+1
			if warm {
				c.depth = i + 1
			}
		}
	}
	c.service = chosen + u.PrefillTime(r.PromptTokens-r.PrefixTokens(c.stocked)).Seconds()
	c.expected = c.service + pendingTime(w, u)
	return best + medlarlag.Estimate(w, u)
}

// patience returns the seconds after which an import is given up that is expected
// to take transfer and saves saved.
func patience(transfer, saved float64) float64 {
	return min(max(importPatience*transfer, savedShare*saved), saved)
}

// computeCost returns the weighted seconds that computing n prompt tokens takes.
func computeCost(w *medlarworld.World, u *medlarworld.Upstream, n medlarid.Tokens) float64 {
	seconds := float64(max(n, 0)) / max(u.PrefillRate, 1)
	if w.Config.Weighting == medlarworld.WeightingRecompute {
		return seconds * (1 + shareWeight)
	}
	return seconds
}

// transferTime returns the seconds until all handles have come: the links work
// side by side, each behind what is in flight on it.
func transferTime(w *medlarworld.World, handles []medlarworld.Handle) float64 {
	slowest := 0.0
	for _, s := range w.StoreList {
		var n medlarid.Bytes
		for _, h := range handles {
			if h.Store == s.ID {
				n += h.Length
			}
		}
		if n > 0 {
			slowest = max(slowest, float64(n+s.InFlightBytes)/max(s.Rate, 1))
		}
	}
	return importSetup + slowest
}

// pendingTime returns the seconds that an engine needs for the prompts it has.
func pendingTime(w *medlarworld.World, u *medlarworld.Upstream) float64 {
	return max(u.BusyUntil.Sub(w.Now).Seconds(), 0)
}

// backlog returns the seconds until an upstream turns to a new run.
func backlog(w *medlarworld.World, u *medlarworld.Upstream) float64 {
	wait := pendingTime(w, u)
	if full := u.Load.Running + u.Load.Queued + u.SentSinceReport - u.Load.Slots; u.Load.Slots > 0 && full >= 0 {
		wait += slotSeconds * float64(full+1) / float64(u.Load.Slots)
	}
	return wait
}

func distance(w *medlarworld.World, u *medlarworld.Upstream) float64 {
	if u.Zone == w.Config.Zone {
		return 0
	}
	return zoneCost
}

// Package medlarroute chooses the upstreams of waiting runs.
//
// Rules:
//
//	R1  A candidate is usable, serves the model under the desired or the serving
//	    weight version, has capacity, and was not tried by the run unless all were. A
//	    further attempt does not go to one that has not answered since it was ejected
//	    unless there is no other.
//	    Where versions only increase, a later one than this instance knows to be
//	    desired will do: the operators have published it, and the instance is cut off.
//	    An answer that has begun continues under its own version only, and a stream at
//	    upstreams of its software version. Under a weight version that is no longer desired
//	    an attempt starts only if its answer is expected to begin within the grace period.
//	R2  The cost of a candidate is the expected time to first token: its backlog,
//	    the prefill of what it does not cache, and the zone cost. A deployment that
//	    optimizes for the recomputed share adds a multiple of the prefill.
//	R3  Stored blocks are imported when the transfer, including the queue on the
//	    links, costs less than computing them. An import times out when it takes
//	    several times the expected time, or as long as the computation that it saves.
//	R4  Among candidates of nearly the lowest cost two are drawn at random and the
//	    one with fewer attempts gets the run, so that instances do not all make the same
//	    choice. What other instances have in flight counts as far as they have told of it.
//	R5  An unrepeatable run is claimed when there is a candidate, and sent only
//	    once the claim is granted.
//	R6  A run without a candidate does not block those behind it in the queue. Neither does
//	    one that may be about to be refused since it crashes replicas: it waits.
//	R7  The home of a conversation is the replica with the highest rendezvous rank
//	    for it, the same for all instances. It is a candidate in addition to the
//	    subset, even before it has reported, and its cost is discounted, so that a
//	    prompt which returns through any instance finds its context cached.
//	R8  In a large fleet an instance prefers a subset of a service's replicas, to which it has connections in use. Another
//	    replica, also if it is the home, gets a run only if its cost with that of a new connection is clearly lower.
package medlarroute

import (
	"math"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbrittle"
	"medlarfield/internal/core/medlarchoice"
	"medlarfield/internal/core/medlarheadroom"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarlag"
	"medlarfield/internal/core/medlarlimit"
	"medlarfield/internal/core/medlarpace"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarresume"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarverdict"
	"medlarfield/internal/core/medlarwindow"
	"medlarfield/internal/core/medlarwithdraw"
	"medlarfield/internal/core/medlarworld"
)

// Parameters of the cost model.
const (
	crossZoneCost       = 2e-3 // seconds, for an upstream in another availability zone
	recomputeWeight     = 4.0  // additional seconds per second of prefill, with WeightingRecompute
	importSetupSeconds  = 5e-3 // seconds
	tieRatio            = 0.05 // costs within this ratio of the lowest one, plus tieSeconds, are equal
	tieSeconds          = 8e-3 // with less, instances that know the same make the same choice
	slotWaitSeconds     = 0.5  // estimated seconds until a slot becomes free
	engineQueueRatio    = 0.25 // runs that may queue inside an engine, as a share of its slots
	homeDiscount        = 0.1  // share of the prefill cost deducted for the home
	maxPendingSeconds   = 0.5  // seconds of prefill that may be pending inside an engine
	maxKVShare          = 0.3  // share of a replica's KV cache that own attempts may fill
	swapCost            = 1.0  // seconds, for a replica that is about to load other weights
	maxOpenWithoutSlots = 256  // maximum number of attempts in flight at an upstream that reports no slots
	importTimeoutFactor = 2    // an import times out after this many times its expected duration
	importSavedShare    = 0.5  // an import may take at least this share of the computation that it saves

	// connectionCost is what a new connection to a replica outside the subset costs (R8): a round trip between availability
	// zones and the replica's work to accept it. With 20 ms prompts leave their homes and are computed anew.
	connectionCost = 5e-3 // seconds
	// homeHitShare is the assumed probability that a home outside the subset has cached the context of a prompt because of
	// prompts that other instances have sent there. With 0 only an instance's own prompts count, and each context is
	// computed in many subsets.
	homeHitShare = 0.5

	// Time kept for waits at replicas that are longer than expected, before answers under replaced weights end.
	waitMargin      = 400 * time.Millisecond  // of attempts that are withdrawn then
	fixedWaitMargin = 1000 * time.Millisecond // of others, which begin whenever the replica comes to them
)

// System routes runs.
type System struct {
	onDequeue  func(*medlarworld.Run) // called for each run that leaves the queue
	options    []option
	excluded   func(*medlarupstream.Upstream, medlarverdict.Exclusion) // called for each upstream that is no candidate; may be nil
	candidates int                                                     // number of options of the last run, before one was picked
	exhausted  []requirements                                          // requirements without a candidate in this tick
}

// requirements are what a run that has not been tried yet needs of an upstream.
type requirements struct {
	model   medlarid.ModelID
	service medlarid.ServiceID
	version medlarid.WeightVersion
	build   medlarid.Build
	fixed   bool // the build
	class   int  // of priority

	withdrawable bool // where the version is replaced
}

// option is one way to serve a run.
type option struct {
	upstream       *medlarupstream.Upstream
	cachedBlocks   int                      // leading blocks that the upstream caches
	imports        []medlarinventory.Handle // blocks to import after those
	availableParts int                      // leading parts that the upstream caches or that are fetched from stores
	fetchSeconds   float64                  // until the parts among these that are not cached are fetched
	ttft           float64                  // expected seconds to the first part of the answer
	idleTTFT       float64                  // the same on an idle upstream
	cost           float64                  // seconds
	importSeconds  float64                  // seconds of the cost that the import takes
	importTimeout  float64                  // seconds after which the import times out
}

// New returns a System that calls onDequeue for each run that leaves the queue.
func New(onDequeue func(*medlarworld.Run)) *System {
	return &System{onDequeue: onDequeue}
}

// Run handles the events of one tick and dispatches the waiting runs that have a
// candidate.
func (s *System) Run(w *medlarworld.World) {
	for _, e := range w.Events {
		if e, ok := e.(medlarworld.ClaimGranted); ok {
			s.claimGranted(w, e)
		}
	}
	s.dispatchQueue(w)
}

// dispatchQueue dispatches the waiting runs that have a candidate (R6).
func (s *System) dispatchQueue(w *medlarworld.World) {
	s.exhausted = s.exhausted[:0]
	remaining := w.Waiting[:0]
	for _, r := range w.Waiting {
		if held(w, r) || !s.dispatch(w, r) {
			remaining = append(remaining, r)
		}
	}
	clear(w.Waiting[len(remaining):])
	w.Waiting = remaining
}

// held reports whether a run waits for something other than a candidate (R6).
func held(w *medlarworld.World, r *medlarworld.Run) bool {
	return w.Now.Before(r.NotBefore) || w.Suspects.Undecided(r.Traits)
}

// requirementsOf returns what a run needs of an upstream, and whether it has not been tried yet.
func requirementsOf(w *medlarworld.World, r *medlarworld.Run) (need requirements, untried bool) {
	need = requirements{model: r.Model, service: r.Service, version: r.Version, build: r.Build, fixed: r.BuildFixed, class: r.Class()}
	if r.Version != w.Models[r.Model].Version {
		need.withdrawable = medlarwithdraw.Allowed(r)
	}
	return need, len(r.Tried) == 0 && r.PinnedVersion == ""
}

// dispatch starts or claims a run and reports whether it left the queue.
func (s *System) dispatch(w *medlarworld.World, r *medlarworld.Run) bool {
	need, untried := requirementsOf(w, r)
	if untried && slices.Contains(s.exhausted, need) {
		return false
	}
	best, ok := s.choose(w, r)
	if !ok {
		if untried {
			s.exhausted = append(s.exhausted, need)
		}
		return false
	}
	w.VirtualTime = max(w.VirtualTime, r.VirtualStart)
	s.onDequeue(r)
	if r.AtMostOnce && !r.Claimed {
		r.Phase = medlarkind.PhaseClaiming // R5
		w.Emit(medlarworld.Claim{Run: r.ID})
		return true
	}
	s.startAttempt(w, r, best)
	return true
}

// claimGranted starts an attempt of a run whose claim was granted, or puts the run at the
// front of the queue if it has no candidate.
func (s *System) claimGranted(w *medlarworld.World, e medlarworld.ClaimGranted) {
	r := w.Runs[e.Run]
	if r == nil || r.Phase != medlarkind.PhaseClaiming {
		return
	}
	r.Claimed = true
	r.Phase = medlarkind.PhaseWaiting
	if best, ok := s.choose(w, r); ok {
		s.startAttempt(w, r, best)
		return
	}
	w.Waiting = slices.Insert(w.Waiting, 0, r)
}

func (s *System) startAttempt(w *medlarworld.World, r *medlarworld.Run, c option) {
	u := c.upstream
	r.Attempt++
	r.Phase = medlarkind.PhaseRunning
	r.Upstream = u
	r.AttemptStarted = w.Now
	if !slices.Contains(r.Tried, u) {
		r.Tried = append(r.Tried, u)
	}
	decision := medlarchoice.Decision{Candidates: s.candidates, Lag: medlarlag.Estimate(w, u), Others: u.PeerOpen, Wait: c.ttft}
	medlarwindow.Explain(w, r, u, &decision)
	medlarlimit.Take(u)
	medlarpace.Take(w, u)
	awaitRecord := medlarresume.Started(w, r, u)
	u.Open++
	u.InFlightTokens += r.PromptTokens
	r.ExpectedTTFT = time.Duration(c.ttft * float64(time.Second))
	if r.KeyTokens != nil && u.Kind == medlarkind.KindEngine {
		medlarheadroom.Add(w, r.Model, r.PromptTokens)
		medlarwindow.AddAttempt(w, r, u, r.PrefixTokens(c.availableParts), time.Duration(c.idleTTFT*float64(time.Second)))
	}
	if !u.ReportedAt.IsZero() { // the next report replaces the count
		u.SentSinceReport++
	}
	if u.BusyUntil.Before(w.Now) {
		u.BusyUntil = w.Now
	}
	reusable := r.PrefixTokens(max(c.cachedBlocks+len(c.imports), c.availableParts))
	u.BusyUntil = u.BusyUntil.Add(u.PrefillTime(max(r.PromptTokens-reusable, 0)))
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
		Incarnation:   u.Incarnation,
		Build:         u.Build,
		Version:       assumedVersion(w, u),
		Priority:      priorityOf(w, r),
		CachedKeys:    c.cachedBlocks,
		Import:        c.imports,
		ImportTimeout: importTimeout(c),
		Limited:       u.Limited,
		Brittle:       u.Brittle.Most > 0,
		AwaitRecord:   awaitRecord,
		Decision:      decision,
	}
	if r.KeyTokens != nil && u.Kind == medlarkind.KindEngine {
		medlarplacement.Plan(w, r, u, c.availableParts, &cmd)
	}
	w.Emit(cmd)
}

func importTimeout(c option) time.Duration {
	return time.Duration(c.importTimeout * float64(time.Second))
}

func priorityOf(w *medlarworld.World, r *medlarworld.Run) medlarid.Priority {
	if a := w.Accounts[r.Account]; a != nil {
		return a.Limits.Priority + r.Priority
	}
	return r.Priority
}

// choose returns the option to serve a run by now; ok is false when there is no
// candidate.
func (s *System) choose(w *medlarworld.World, r *medlarworld.Run) (best option, ok bool) {
	if s.findOptions(w, r); len(s.options) == 0 {
		return option{}, false
	}
	return s.pickCheapest(w), true
}

// findOptions fills s.options with the candidates of a run.
func (s *System) findOptions(w *medlarworld.World, r *medlarworld.Run) {
	s.collectAll(w, r, r.Build)
	if len(s.options) == 0 && medlarresume.MayOverflow(w, r) {
		s.collectAll(w, r, "")
	}
}

// pickCheapest returns one of the options that cost nearly the least (R4).
func (s *System) pickCheapest(w *medlarworld.World) option {
	s.candidates = len(s.options)
	lowest, lowestNear := math.Inf(1), math.Inf(1)
	for i := range s.options {
		lowest = min(lowest, s.options[i].cost)
		if !s.options[i].upstream.Far {
			lowestNear = min(lowestNear, s.options[i].cost)
		}
	}
	// The discount of the home may make its cost negative.
	bound := tieBound(lowest)
	if lowestNear <= bound { // R8
		s.options = slices.DeleteFunc(s.options, func(c option) bool { return c.upstream.Far })
		bound = tieBound(lowestNear)
	}
	return s.pick(w, bound)
}

// tieBound returns the highest cost that counts as equal to the lowest one.
func tieBound(lowest float64) float64 { return lowest + tieRatio*math.Abs(lowest) + tieSeconds }

// collectAll fills s.options with the candidates of a run of a build, or of any if it is empty, in the
// narrowest scope that has some.
func (s *System) collectAll(w *medlarworld.World, r *medlarworld.Run, build medlarid.Build) {
	s.collect(w, r, scope{build: build})
	if len(s.options) == 0 && len(w.Engines[r.Model]) > 0 {
		s.collect(w, r, scope{build: build, wholeFleet: true})
	}
	if len(s.options) == 0 && len(r.Tried) > 0 {
		s.collect(w, r, scope{build: build, wholeFleet: true, includeEjected: true})
	}
	if len(s.options) == 0 && len(r.Tried) > 0 {
		s.collect(w, r, scope{build: build, wholeFleet: true, includeEjected: true, includeTried: true})
	}
}

// pick draws two of the options that cost at most bound and returns the one whose
// upstream has fewer own attempts (R4).
func (s *System) pick(w *medlarworld.World, bound float64) option {
	n := 0
	for _, c := range s.options {
		if c.cost <= bound {
			s.options[n] = c
			n++
		}
	}
	a, b := s.options[w.Rand.IntN(n)], s.options[w.Rand.IntN(n)]
	if b.upstream.TotalOpen() < a.upstream.TotalOpen() {
		return b
	}
	return a
}

// scope selects the upstreams to consider.
type scope struct {
	wholeFleet   bool // also replicas outside the subset
	includeTried bool // also upstreams that the run has tried
	// includeEjected is set for a further attempt: also upstreams that have not answered since they were ejected.
	includeEjected bool
	build          medlarid.Build // of the upstreams; empty for any
}

// collect fills s.options with the candidates of a run (R1).
func (s *System) collect(w *medlarworld.World, r *medlarworld.Run, sc scope) {
	s.options = s.options[:0]
	upstreams := w.UpstreamsFor(r.Target())
	home := homeOf(r, upstreams, sc.build)
	if home != nil {
		r.HomeZone = home.Zone
	}
	for _, u := range upstreams {
		c, why := consider(w, r, u, sc, u == home)
		if why == medlarverdict.None {
			s.options = append(s.options, c)
		} else if s.excluded != nil {
			s.excluded(u, why)
		}
	}
}

// consider returns the option to serve a run by an upstream, or why that is none (R1).
func consider(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream, sc scope, isHome bool) (option, medlarverdict.Exclusion) {
	if why := sc.exclusion(r, u, isHome); why != medlarverdict.None {
		return option{}, why
	}
	if why := exclusion(w, r, u); why != medlarverdict.None {
		return option{}, why
	}
	c := evaluate(w, r, u)
	if u.Kind == medlarkind.KindEngine && u.Version != w.Models[r.Model].Version &&
		!beginsInTime(w, r, u.Version, c.idleTTFT+queueSeconds(w, u)+medlarlag.Estimate(w, u)) {
		return option{}, medlarverdict.Weights
	}
	if r.KeyTokens != nil && u.Kind == medlarkind.KindEngine {
		if !medlarheadroom.Fits(w, r, u, pendingSeconds(w, u)) {
			return option{}, medlarverdict.Headroom
		}
		if !medlarwindow.Fits(w, r, u, r.PrefixTokens(c.availableParts)) {
			return option{}, medlarverdict.Window
		}
	}
	if isHome {
		c.cost -= homeDiscount * prefillCost(w, u, r.PromptTokens)
	}
	if u.Far {
		c.cost += connectionCost
		if isHome && c.availableParts == 0 {
			c.cost -= homeHitShare * prefillCost(w, u, r.PromptTokens)
		}
	}
	return c, medlarverdict.None
}

// exclusion returns why an upstream is not in the scope.
func (sc scope) exclusion(r *medlarworld.Run, u *medlarupstream.Upstream, isHome bool) medlarverdict.Exclusion {
	switch {
	case !u.InSubset && !sc.wholeFleet && !isHome && r.Service == "":
		return medlarverdict.Outside
	case !sc.includeTried && slices.Contains(r.Tried, u):
		return medlarverdict.Tried
	case !sc.includeEjected && len(r.Tried) > 0 && u.Ejections > 0:
		return medlarverdict.Unanswered
	case sc.build != "" && u.Build != sc.build:
		return medlarverdict.Build
	}
	return medlarverdict.None
}

// homeOf returns the replica of a build, or of any, with the highest rank for a run's home key or, without
// one, for its conversation, which the first segment of blocks identifies. It returns
// nil for a short prompt (R7).
func homeOf(r *medlarworld.Run, upstreams []*medlarupstream.Upstream, build medlarid.Build) *medlarupstream.Upstream {
	if len(r.Keys) == 0 {
		return nil
	}
	k := r.HomeKey
	if k == (medlarkey.Key{}) {
		k = medlarkey.Conversation(r.Keys)
	}
	var best *medlarupstream.Upstream
	var highest uint64
	for _, u := range upstreams {
		if u.Leaving || u.Delisted || u.Evacuated || build != "" && u.Build != build {
			continue
		}
		if rank := medlarkey.Rendezvous(k, u.ID); best == nil || rank > highest {
			best, highest = u, rank
		}
	}
	return best
}

// exclusion returns why an upstream may not get a run in any scope.
func exclusion(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream) medlarverdict.Exclusion {
	switch {
	case u.Leaving:
		return medlarverdict.Leaving
	case u.Delisted:
		return medlarverdict.Delisted
	case w.Now.Before(u.EjectedUntil):
		return medlarverdict.Ejected
	case u.Evacuated:
		return medlarverdict.Evacuated
	case !u.Usable(w.Now):
		return medlarverdict.Paused
	case !medlarlimit.HasToken(u):
		return medlarverdict.Limited
	case !medlarbrittle.HasRoom(w, r, u):
		return medlarverdict.Brittle
	case !hasCapacity(w, u):
		return medlarverdict.Full
	case !medlarpace.Admits(w, r, u):
		return medlarverdict.Cold
	case u.Kind == medlarkind.KindService:
		return medlarverdict.None
	case u.Model != r.Model:
		return medlarverdict.Model
	case !servesWeights(w, r, u):
		return medlarverdict.Weights
	}
	return medlarverdict.None
}

// servesWeights reports whether a replica has a weight version that may serve a run.
func servesWeights(w *medlarworld.World, r *medlarworld.Run, u *medlarupstream.Upstream) bool {
	if u.VersionDenied {
		return false
	}
	v := assumedVersion(w, u)
	if r.PinnedVersion != "" {
		return v == r.PinnedVersion
	}
	m := w.Models[r.Model]
	if v == m.Version || w.IsLater(v, m.Version) {
		return v != ""
	}
	return v != "" && v == r.Version && beginsInTime(w, r, v, 0)
}

// beginsInTime reports whether the answer of a run that is expected to wait at a replica for some seconds begins
// while the weight version may serve (R1).
func beginsInTime(w *medlarworld.World, r *medlarworld.Run, v medlarid.WeightVersion, seconds float64) bool {
	m := w.Models[r.Model]
	by, ok := m.Versions.BeginBy(v, w.Config.OldVersionGrace)
	if !ok || r.PinnedVersion != "" {
		return true
	}
	margin := waitMargin
	if !medlarwithdraw.Allowed(r) {
		margin = fixedWaitMargin
	}
	return !w.Now.Add(margin + time.Duration(seconds*float64(time.Second))).After(by)
}

// assumedVersion returns the weight version that a replica is assumed to have: the
// reported one, or the desired one for a replica outside the subset that has not
// reported yet. A replica refuses a run under another version, so a wrong assumption
// costs a retry.
func assumedVersion(w *medlarworld.World, u *medlarupstream.Upstream) medlarid.WeightVersion {
	if u.Version == "" && u.ReportedAt.IsZero() && !u.InSubset {
		return w.Models[u.Model].Version
	}
	return u.Version
}

// hasCapacity reports whether an upstream can take one more run, by its last report
// and what was sent since.
func hasCapacity(w *medlarworld.World, u *medlarupstream.Upstream) bool {
	if u.Load.Slots == 0 {
		return u.Open < maxOpenWithoutSlots
	}
	if u.KVCapacity > 0 && u.Open > 0 && float64(u.InFlightTokens) > maxKVShare*float64(u.KVCapacity) {
		return false
	}
	if pendingSeconds(w, u) >= maxPendingSeconds && u.TotalOpen() > 0 {
		return false // queue here, where queueing is fair, and not inside the engine
	}
	return float64(load(u)) < float64(u.Load.Slots)*(1+engineQueueRatio)
}

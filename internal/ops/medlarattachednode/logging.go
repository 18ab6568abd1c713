package medlarattachednode

import (
	"math"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/xxh3"

	"medlarfield/internal/agree/medlarterm"
	"medlarfield/internal/core/medlarchoice"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarcall"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/edge/medlarproxy"
	"medlarfield/internal/ops/medlarcachetracker"
	"medlarfield/internal/ops/medlarloop"
	"medlarfield/internal/ops/medlarregistry"
	"medlarfield/internal/ops/medlarrollout"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/platform"
	"medlarfield/platform/medlarcalls"
)

// requestLog returns the functions that log attempts and requests and count them in the
// metrics.
func requestLog(log zerolog.Logger, m *medlarmetric.Metrics) medlarproxy.Observer {
	return medlarproxy.Observer{
		AttemptEnded: func(a *medlarcall.Attempt) {
			countResponse(m, a.Body)
			if a.Cause == medlarworld.CauseDone { // logged with the request
				return
			}
			l := log.Info().Str("event", "attempt").Str("id", string(a.ID)).Int("attempt", a.Number).
				Str("replica", string(a.Upstream)).Str("build", string(a.Build)).Str("version", string(a.Version)).Str("cause", string(a.Cause)).
				Str("reason", string(a.Reason)).Bool("reached", a.Reached).Bool("reused", a.Reused).
				Int("status", a.Status).Float64("took", ms(a.Duration)).Dict("why", choiceFields(a.Decision)).AnErr("error", a.Err)
			if a.Via != "" {
				l = l.Str("via", string(a.Via))
			}
			if a.Lost {
				m.AttemptLost(a.Began > 0)
				l = l.Bool("lost", true).Float64("began", ms(a.Began)).Strs("prompt", loggedParts(a.Parts)).
					Strs("print", wholeTraits(a.Traits)).Int("size", a.BodyBytes)
			}
			addBodyEnd(l, a.Body).Send()
		},
		RequestEnded: func(s *medlarcall.Summary) {
			countRequest(m, s)
			l := log.Info().Str("event", "request").Str("id", string(s.ID)).Str("account", string(s.Account)).
				Str("route", s.Route).Str("service", string(s.Service)).Uint64("config", s.ConfigVersion).
				Int("status", s.Status).Bool("whole", s.Complete).Int("attempts", s.Attempts).Str("replica", string(s.Upstream)).
				Float64("waited", ms(s.QueueTime)).Float64("connect", ms(s.ConnectTime)).Bool("reused", s.Reused).Float64("first", ms(s.FirstByte)).
				Float64("gap", ms(s.MaxWriteGap)).Float64("took", ms(s.Duration))
			if s.Via != "" {
				l = l.Str("via", string(s.Via))
			}
			if s.Build != "" {
				l = l.Str("build", string(s.Build))
			}
			if s.LastEventID != "" {
				l = l.Str("last", s.LastEventID).Str("resumes", string(s.Resumes))
			}
			if len(s.Parts) > 0 {
				l = l.Str("parts", partText(s.Parts))
			}
			if s.Attempts > 0 {
				l = l.Dict("why", choiceFields(s.Decision))
			}
			if s.Reason != "" {
				l = l.Str("reason", string(s.Reason)).Str("ran", string(s.Ran)).Float64("after", ms(s.RetryAfter)).
					Int("waiting", s.Waiting).Int("kin", s.Upstreams).Float64("budget", s.RetryTokens)
			}
			if s.BlockedTrait != "" {
				l = l.Str("part", string(s.BlockedTrait))
			}
			addBodyEnd(l, s.Body).Send()
		},
	}
}

// maxLoggedParts is the number of parts of a prompt that a log line names.
const maxLoggedParts = 12

// loggedParts returns the first parts of a prompt but its last one, which no other prompt shares.
func loggedParts(parts []medlarcall.Part) []string {
	out := []string{}
	for _, p := range parts[:min(max(len(parts)-1, 0), maxLoggedParts)] {
		out = append(out, p.ID)
	}
	return out
}

// wholeTraits returns the traits of a request as a whole.
func wholeTraits(traits []medlarsuspect.Trait) []string {
	out := []string{}
	for _, t := range traits {
		if t.Whole() {
			out = append(out, string(t))
		}
	}
	return out
}

// addBodyEnd adds the log fields of the end of an upstream's response.
func addBodyEnd(l *zerolog.Event, end medlarcall.BodyEnd) *zerolog.Event {
	if !end.Received {
		return l
	}
	l = l.Stringer("framing", end.Framing)
	if end.PartialBytes > 0 {
		l = l.Int("partial", end.PartialBytes)
	}
	return l
}

// countResponse counts an upstream's response by its framing and its end.
func countResponse(m *medlarmetric.Metrics, end medlarcall.BodyEnd) {
	if !end.Received {
		return
	}
	kind := medlarmetric.EndBroken
	switch {
	case end.Complete && end.PartialBytes > 0:
		kind = medlarmetric.EndPartial
	case end.Complete:
		kind = medlarmetric.EndComplete
	}
	m.ResponseEnded(end.Framing.String(), kind)
}

// logAvoided logs and counts that a replica gets no new work because of what it said.
func logAvoided(log zerolog.Logger, m *medlarmetric.Metrics, a medlarworld.Avoided) {
	hint, text := medlarmetric.HintPause, "replica asked for a pause"
	if a.Leaving {
		hint, text = medlarmetric.HintLeaving, "replica said that it leaves"
	}
	m.HintReceived(hint)
	log.Info().Str("event", "avoid").Str("replica", string(a.Upstream)).Bool("leaving", a.Leaving).Float64("after", ms(a.For)).Msg(text)
}

// logLimit logs and counts that a replica named another limit of requests, or none any longer.
func logLimit(log zerolog.Logger, m *medlarmetric.Metrics, c medlarworld.LimitChanged) {
	text := "replica no longer names a limit of requests"
	if c.Limited {
		m.HintReceived(medlarmetric.HintLimit)
		text = "replica named a limit of requests"
	}
	log.Info().Str("event", "limit").Str("replica", string(c.Upstream)).Bool("limited", c.Limited).Float64("limit", c.Limit).Msg(text)
}

// choiceFields returns the log fields of the figures that an upstream was chosen by.
func choiceFields(y medlarchoice.Decision) *zerolog.Event {
	return zerolog.Dict().Int("choices", y.Candidates).Float64("pending", math.Round(y.Pending)).
		Float64("window", math.Round(y.Window)).Float64("all", math.Round(y.TotalPending)).
		Float64("bound", math.Round(y.TotalWindow)).Float64("lag", math.Round(1000*y.Lag)).Int("others", y.Others)
}

// partText returns the states of a prompt's parts, one letter each.
func partText(parts []medlarchoice.PartState) string {
	b := make([]byte, len(parts))
	for i, p := range parts {
		b[i] = byte(p)
	}
	return string(b)
}

// countRequest counts a request that has ended.
func countRequest(m *medlarmetric.Metrics, s *medlarcall.Summary) {
	switch {
	case s.Reason != "" && s.Reason != medlarreason.Gone:
		m.Refused(s.Reason)
	case s.Complete:
		m.Answered(s.Route)
		m.ObserveTTFT(s.Model, s.FirstByte)
		m.ObserveStage(string(s.Kind), medlarmetric.StageWait, s.QueueTime)
		m.ObserveStage(string(s.Kind), medlarmetric.StageConnect, s.ConnectTime)
		m.ObserveStage(string(s.Kind), medlarmetric.StageFirstByte, s.FirstByte)
		m.ObserveStage(string(s.Kind), medlarmetric.StageLongestGap, s.MaxWriteGap)
		m.ObserveStage(string(s.Kind), medlarmetric.StageTotal, s.Duration)
	}
}

// rankOf returns a number derived from the instance's name, by which instances stagger work
// that only one of them needs to do.
func rankOf(cfg medlarsettings.Attached) int { return int(xxh3.HashString(string(cfg.Name)) >> 1) }

func newTracker(cfg medlarsettings.Attached, log zerolog.Logger, m *medlarmetric.Metrics, loop *medlarloop.Loop,
	registry *medlarregistry.Registry, kvStores *medlarcalls.KVStores,
) *medlarcachetracker.Tracker {
	event := func(r medlarcachetracker.StoreRef) *zerolog.Event {
		return log.Info().Str("event", "stock").Str("store", string(r.ID)).Str("address", string(r.Address))
	}
	return medlarcachetracker.New(rankOf(cfg), medlarcachetracker.Deps{
		Stores:           registry.Stores,
		List:             kvStores.List,
		Events:           kvStores.Events,
		Free:             kvStores.Free,
		Post:             loop.Post,
		ReplacedAt:       registry.ReplacedAt,
		MostReplicasPast: registry.MostReplicasPast,
		OnUnavailable: func(r medlarcachetracker.StoreRef, err error) {
			m.CallFailed("stock")
			event(r).AnErr("error", err).Msg("KV cache store is unavailable")
		},
		OnRecovered: func(r medlarcachetracker.StoreRef) { event(r).Msg("KV cache store is available again") },
		OnListed: func(r medlarcachetracker.StoreRef, epoch uint64, parts int) {
			event(r).Uint64("epoch", epoch).Int("parts", parts).Msg("KV cache store listed")
		},
		OnFreed: func(r medlarcachetracker.StoreRef, parts int, err error) {
			event(r).Int("parts", parts).AnErr("error", err).Msg("freeing parts of replaced weight versions")
		},
	})
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func newRollout(cfg medlarsettings.Attached, log zerolog.Logger, m *medlarmetric.Metrics, loop *medlarloop.Loop, term *medlarterm.Elector,
	registry *medlarregistry.Registry, replicas *medlarcalls.Replicas,
) *medlarrollout.Rollout {
	return medlarrollout.New(term, rankOf(cfg), medlarrollout.Deps{
		Replicas:        registry.ModelReplicas,
		DesiredVersions: registry.DesiredVersions,
		QueryState: func(r medlarrollout.Replica) (medlarrollout.State, error) {
			p, err := replicas.Report(r.Address)
			return medlarrollout.State{
				Model: p.Model, Version: p.Version, Loading: p.Loading, AcceptedOrders: p.AcceptedOrders, Load: p.Waiting + p.Running, Leaving: p.Leaving,
			}, err
		},
		SendOrder: func(o medlarrollout.Order) error {
			return replicas.SendOrder(o.Replica.Address, medlarcalls.Order{
				Replica: o.Replica.ID, Model: o.Replica.Model, Version: o.Version,
				Holder: cfg.Name, Fence: o.Fence, ExpectedOrders: o.ExpectedOrders,
			})
		},
		OnState: func(r medlarrollout.Replica, s medlarrollout.State) {
			registry.ObserveVersion(r.ID, s.Version)
			if s.Loading {
				loop.Post(medlarworld.WeightsLoading{Upstream: r.ID})
			}
			if s.Leaving {
				loop.Post(medlarworld.UpstreamLeaving{Upstream: r.ID, Incarnation: r.Incarnation})
			}
		},
		OnOrder: func(o medlarrollout.Order, err error) {
			m.Ordered(err == nil)
			log.Info().Str("event", "order").Str("replica", string(o.Replica.ID)).Str("model", string(o.Replica.Model)).
				Str("from", string(o.Replica.Version)).Str("version", string(o.Version)).Uint64("fence", o.Fence).
				Uint64("orders", o.ExpectedOrders).AnErr("error", err).Msg("weight version ordered")
		},
		OnQueryError: func(r medlarrollout.Replica, err error) {
			log.Info().Str("event", "report").Str("replica", string(r.ID)).AnErr("error", err).Msg("replica state query failed")
		},
		OnTermChange: func(fence uint64, held bool) {
			log.Info().Str("event", "term").Bool("held", held).Uint64("fence", fence).Msg("term for weight orders acquired or ended")
		},
		OnTermError: func(err error) {
			m.CallFailed(medlarplatform.TopicTerm)
			log.Warn().Str("event", "term").Err(err).Msg("terms cannot be read or appended")
		},
	})
}

// feedOutageFuncs returns the functions that log when a topic becomes unavailable and when it
// is available again; failed counts the failures by topic.
func feedOutageFuncs(log zerolog.Logger, topic string, failed func(string)) (onUnavailable func(error), onRecovered func(time.Duration)) {
	onUnavailable = func(err error) {
		failed(topic)
		log.Warn().Str("event", "lost").Str("dependency", topic).Err(err).Msg("topic is unavailable")
	}
	onRecovered = func(after time.Duration) {
		log.Info().Str("event", "regained").Str("dependency", topic).Dur("after", after).Msg("topic is available again")
	}
	return onUnavailable, onRecovered
}

// trackOperatorFeed wraps onUnavailable and onRecovered so that the registry also records whether the
// operators' records can be read.
func trackOperatorFeed(registry *medlarregistry.Registry, onUnavailable func(error), onRecovered func(time.Duration)) (func(error), func(time.Duration)) {
	return func(err error) {
			registry.SetOperatorUnavailable(true)
			onUnavailable(err)
		}, func(after time.Duration) {
			registry.SetOperatorUnavailable(false)
			onRecovered(after)
		}
}

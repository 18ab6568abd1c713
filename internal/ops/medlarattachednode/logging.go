package medlarattachednode

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/xxh3"

	"medlarfield/internal/agree/medlarterm"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/ops/medlarcachetracker"
	"medlarfield/internal/ops/medlardialer"
	"medlarfield/internal/ops/medlarloop"
	"medlarfield/internal/ops/medlarregistry"
	"medlarfield/internal/ops/medlarrollout"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/platform"
	"medlarfield/platform/medlarcalls"
)

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

// logBrittle logs and counts that a replica says that it is brittle, or does no longer.
func logBrittle(log zerolog.Logger, m *medlarmetric.Metrics, c medlarworld.BrittleChanged) {
	text := "replica no longer says that it is brittle"
	if c.Most > 0 {
		m.HintReceived(medlarmetric.HintBrittle)
		text = "replica says that it is brittle"
	}
	log.Info().Str("event", "brittle").Str("replica", string(c.Upstream)).Int("most", c.Most).Msg(text)
}

// logPace logs that a replica is spared in another way, since it is cold or has just started, or is no longer.
func logPace(log zerolog.Logger, c medlarworld.PaceChanged) {
	text := map[medlarupstream.PacePhase]string{
		medlarupstream.PaceNone: "replica gets requests without a limit",
		medlarupstream.PaceCold: "replica may be cold; all instances together limit its requests",
		medlarupstream.PaceSlow: "replica has started or is back; increasing its requests",
	}[c.Phase]
	log.Info().Str("event", "pace").Str("replica", string(c.Upstream)).Str("phase", string(c.Phase)).Float64("for", ms(c.For)).Float64("rate", c.Rate).Msg(text)
}

// rankOf returns a number derived from the instance's name, by which instances stagger work
// that only one of them needs to do.
func rankOf(cfg medlarsettings.Attached) int { return int(xxh3.HashString(string(cfg.Name)) >> 1) }

func newTracker(cfg medlarsettings.Attached, log zerolog.Logger, m *medlarmetric.Metrics,
	registry *medlarregistry.Registry, kvStores *medlarcalls.KVStores, stores *storeReads,
) *medlarcachetracker.Tracker {
	event := func(r medlarcachetracker.StoreRef) *zerolog.Event {
		return log.Info().Str("event", "stock").Str("store", string(r.ID)).Str("address", string(r.Address))
	}
	return stores.track(medlarcachetracker.New(rankOf(cfg), medlarcachetracker.Deps{
		Stores:      stores.direct,
		List:        stores.list(kvStores.List),
		Events:      stores.events(kvStores.Events),
		Free:        kvStores.Free,
		Post:        stores.report,
		Few:         stores.relay.Few,
		ReplacedAt:  registry.ReplacedAt,
		PartsUnused: registry.PartsUnused,
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
		OnMalformed: func(r medlarcachetracker.StoreRef, rows int, first bool) {
			m.Malformed(medlarmetric.SourceStores, rows)
			if first {
				event(r).Int("rows", rows).Msg("KV cache store reports rows that describe no part; ignoring them")
			}
		},
	}))
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func newRollout(cfg medlarsettings.Attached, log zerolog.Logger, m *medlarmetric.Metrics, loop *medlarloop.Loop, term *medlarterm.Elector,
	registry *medlarregistry.Registry, replicas *medlarcalls.Replicas, d *medlardialer.Dialer,
) *medlarrollout.Rollout {
	return medlarrollout.New(term, rankOf(cfg), medlarrollout.Deps{
		Replicas:        registry.ModelReplicas,
		DesiredVersions: registry.DesiredVersions,
		Reaches:         func() bool { return !d.Cut() },
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

package medlarattachednode

import (
	"time"

	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarterm"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/ops/medlardialer"
	"medlarfield/internal/ops/medlarloop"
	"medlarfield/internal/ops/medlarregistry"
	"medlarfield/internal/ops/medlarrollout"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/platform"
	"medlarfield/platform/medlarcalls"
)

func newRollout(cfg medlarsettings.Attached, log zerolog.Logger, m *medlarmetric.Metrics, loop *medlarloop.Loop, term *medlarterm.Elector,
	registry *medlarregistry.Registry, replicas *medlarcalls.Replicas, d *medlardialer.Dialer,
) *medlarrollout.Rollout {
	return medlarrollout.New(term, cfg.Rank(), medlarrollout.Deps{
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

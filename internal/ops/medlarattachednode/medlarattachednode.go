// Package medlarattachednode builds and runs an instance that is attached to the users'
// platform.
//
// Rules:
//
//	R1  The instance is ready while it has a catalog, has read the replicas once and
//	    is not stopping. Losing the store does not make it unready.
//	R2  A graceful stop takes these steps in order: the instance reports unready; it
//	    serves requests, each as the last one on its connection, until the platform
//	    has taken the instance out of rotation; it accepts no new connections; open
//	    requests, and connections that it relays, end; connections close.
//	R3  A request that is read after the listener was closed is refused. Before the end of the grace period
//	    requests that still wait are refused, and those that are in progress get an answer that promises nothing,
//	    so that none ends without an answer.
package medlarattachednode

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/agree/medlarreadwait"
	"medlarfield/internal/agree/medlarterm"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarmemory"
	"medlarfield/internal/core/medlarbudget"
	"medlarfield/internal/core/medlarcore"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/edge/medlarproxy"
	"medlarfield/internal/edge/medlarserver"
	"medlarfield/internal/ops/medlarcachetracker"
	"medlarfield/internal/ops/medlarchangelog"
	"medlarfield/internal/ops/medlardialer"
	"medlarfield/internal/ops/medlarlogger"
	"medlarfield/internal/ops/medlarloop"
	"medlarfield/internal/ops/medlarnotifier"
	"medlarfield/internal/ops/medlarregistry"
	"medlarfield/internal/ops/medlarreport"
	"medlarfield/internal/ops/medlarrequestlog"
	"medlarfield/internal/ops/medlarrollout"
	"medlarfield/internal/ops/medlarroutequery"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/ops/medlarstoreread"
	"medlarfield/internal/peer/medlardatagram"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/platform"
	"medlarfield/platform/medlarcalls"
)

// Timeouts, margins and sizes.
const (
	storeTimeout       = 800 * time.Millisecond // of a call to the store
	replicaTimeout     = 500 * time.Millisecond // of a control call to a replica
	restoreSpread      = 300 * time.Millisecond // over which instances write notices again after the store came back from a copy
	returnMargin       = 300 * time.Millisecond // added to bounds.return, the time for removed entries to return after an outage
	controlIdleTimeout = 5 * time.Second        // of connections for control calls
	maxHolders         = 64                     // maximum number of replicas recorded as caching one part
	versionMargin      = 400 * time.Millisecond // subtracted from the bound on old weight versions: the change is read, and requests arrive and are withdrawn, with a delay
	queueLength        = 4096                   // requests that may wait for an upstream
	outageShare        = 0.75                   // fraction of the heartbeat interval from which on a time without responses counts as an outage
	retryShare         = 0.8                    // fraction used of the configured bound on retries
	retryBurst         = 4                      // maximum accumulated retry budget, in attempts
	retryStart         = 2                      // initial retry budget, in attempts
)

// Times of reads of topics. A lost read is noticed soon after its wait.
var (
	operatorReads = medlarreadwait.Topic{UsualWait: 750 * time.Millisecond, LongestWait: medlarplacement.DesiredVersionTTL - versionMargin}
	replicaReads  = medlarreadwait.Topic{UsualWait: 750 * time.Millisecond, UsualInterval: 400 * time.Millisecond, LongestInterval: 800 * time.Millisecond}
	// Notices are rare, but many come at once.
	noticeReads = medlarreadwait.Topic{UsualWait: 2 * time.Second, UsualInterval: 150 * time.Millisecond, LongestInterval: 300 * time.Millisecond}
)

// Instance is an instance attached to the users' platform.
type Instance struct {
	cfg       medlarsettings.Attached
	log       zerolog.Logger
	logWriter *medlarlogger.Writer
	metrics   *medlarmetric.Metrics
	loop      *medlarloop.Loop
	registry  *medlarregistry.Registry
	proxy     *medlarproxy.Proxy
	server    *medlarserver.Server
	feeds     []*medlarfeed.Feed
	rollout   *medlarrollout.Rollout
	tracker   *medlarcachetracker.Tracker
	stores    *medlarstoreread.Reads
	board     *medlarnotice.Board
	notifier  *medlarnotifier.Notifier
	socket    *medlardatagram.Socket
	dialer    *medlardialer.Dialer

	stopping       atomic.Bool
	listener       net.Listener
	statusListener net.Listener
}

// output is the destination of log lines, as a type of its own for dependency injection.
type output struct{ io.Writer }

// New builds an instance that logs to w.
func New(cfg medlarsettings.Attached, w io.Writer) (*Instance, error) {
	c := dig.New()
	providers := []any{
		func() medlarsettings.Attached { return cfg },
		func() output { return output{w} },
		func(o output) *medlarlogger.Writer { return medlarlogger.NewWriter(o) },
		func(lines *medlarlogger.Writer) zerolog.Logger {
			return medlarlogger.New(lines, cfg.Log.Level, cfg.Name, cfg.Zone)
		},
		func() *medlarhttp.Client { return medlarhttp.New(controlIdleTimeout) },
		func(h *medlarhttp.Client) *medlarcalls.Store {
			return medlarcalls.NewStore(h, cfg.Store, storeTimeout)
		},
		func(h *medlarhttp.Client) *medlarcalls.Replicas {
			return medlarcalls.NewReplicas(h, replicaTimeout)
		},
		func(h *medlarhttp.Client, c *medlarplatform.Clock) *medlarcalls.KVStores {
			return medlarcalls.NewKVStores(h, replicaTimeout, c)
		},
		medlarplatform.NewClock, medlarmetric.New, newAccount, newPool,
		newPeerKey, medlarstoreread.NewPublisher, newTunnelClient, medlarstoreread.New, newDialer, newSocket, newBoard, newNotifier, newLoop, newRegistry, newProxy, newFeeds, newTerm, newRollout, medlarstoreread.NewTracker, newInstance,
	}
	for _, p := range providers {
		if err := c.Provide(p); err != nil {
			return nil, err
		}
	}
	var instance *Instance
	err := c.Invoke(func(i *Instance) { instance = i })
	return instance, dig.RootCause(err)
}

func newInstance(cfg medlarsettings.Attached, log zerolog.Logger, logWriter *medlarlogger.Writer, m *medlarmetric.Metrics,
	loop *medlarloop.Loop, registry *medlarregistry.Registry, proxy *medlarproxy.Proxy, feeds []*medlarfeed.Feed, rollout *medlarrollout.Rollout,
	tracker *medlarcachetracker.Tracker, stores *medlarstoreread.Reads, board *medlarnotice.Board, notifier *medlarnotifier.Notifier, socket *medlardatagram.Socket,
	dialer *medlardialer.Dialer,
) *Instance {
	return &Instance{
		cfg: cfg, log: log, logWriter: logWriter, metrics: m, loop: loop, registry: registry, proxy: proxy, server: proxy.Server(), feeds: feeds, rollout: rollout, tracker: tracker, stores: stores, board: board,
		notifier: notifier, socket: socket, dialer: dialer,
	}
}

// accountShare is the share of the instance's memory that its peers can make it hold. It keeps the live heap below the
// share at which the garbage collector runs more often (memoryShare in medlardaemon): the difference is left for garbage.
const accountShare = 0.25

func newAccount(cfg medlarsettings.Attached, m *medlarmetric.Metrics) *medlarmemory.Account {
	account := medlarmemory.New(int64(accountShare * float64(cfg.MemoryMB) * (1 << 20)))
	m.RegisterMemory(account)
	return account
}

func newLoop(cfg medlarsettings.Attached, m *medlarmetric.Metrics, log zerolog.Logger, n *medlarnotifier.Notifier, socket *medlardatagram.Socket,
	d *medlardialer.Dialer,
) *medlarloop.Loop {
	core := medlarcore.New(medlarworld.Config{
		Self:            cfg.Name,
		Zone:            cfg.Zone,
		Weighting:       medlarkind.WeightingRecompute,
		MaxQueued:       queueLength,
		MaxAttempts:     1,
		MaxHolders:      maxHolders,
		OldVersionGrace: cfg.Bounds.OldVersionGrace.Std() - versionMargin, VersionsIncrease: true,
		SettlingTime: max(cfg.Bounds.SettlingTime.Std()-versionMargin, 0),
		TellLoad:     cfg.HasPeers(),
		RetryBudget:  medlarbudget.Retries{Ratio: retryShare * cfg.Bounds.RetryRatio, Max: retryBurst, Initial: retryStart},
		ColdOver:     cfg.Bounds.ColdOver, ColdSlack: cfg.Bounds.ColdSlack, Pace: cfg.Pace,
		Seed: rand.Uint64(),
	})
	deps := medlarloop.Deps{
		LookUp:  func(medlarworld.LookUp) {},
		Export:  func(medlarworld.Export) {},
		OnRetry: func(r medlarworld.Retried) { m.Retried(r.Reason) },
		OnEjection: func(e medlarworld.Ejected) {
			m.Ejected()
			log.Info().Str("event", "ejection").Str("replica", string(e.Upstream)).Bool("back", e.Readmitted).Msg("upstream ejected or readmitted")
		},
		OnAvoided: func(a medlarworld.Avoided) {
			medlarchangelog.Avoided(log, m, a)
			go d.Avoid(a) // the registry may wait for the loop
		},
		OnLimit:       func(c medlarworld.LimitChanged) { medlarchangelog.Limit(log, m, c) },
		OnPace:        func(c medlarworld.PaceChanged) { medlarchangelog.Pace(log, c) },
		OnPaceCount:   func(c medlarworld.PaceCounted) { m.SetPaced(c.Upstreams) },
		OnHeldBack:    m.HeldBack,
		OnReserved:    m.Reserved,
		OnBrittle:     func(c medlarworld.BrittleChanged) { medlarchangelog.Brittle(log, m, c) },
		RequestShares: func(medlarworld.RequestShares) {},
		OnTick:        m.Ticked,
	}
	n.AddTo(&deps)
	loop := medlarloop.New(core, deps)
	n.SetPost(loop.Post)
	socket.SetOnLoad(func(e medlarworld.PeerLoadReported) { loop.Post(e) })
	socket.SetOnSum(func(e medlarworld.PeerSumReported) { loop.Post(e) })
	return loop
}

func newProxy(log zerolog.Logger, m *medlarmetric.Metrics, loop *medlarloop.Loop, registry *medlarregistry.Registry, pool *medlarpool.Pool, clock *medlarplatform.Clock,
	d *medlardialer.Dialer, memory *medlarmemory.Account,
) *medlarproxy.Proxy {
	proxy := medlarproxy.New(medlarproxy.Deps{
		Catalog:           registry.Catalog,
		UnreadyRetryAfter: registry.RetryAfter,
		Versions: func(m medlarid.ModelID) (serving, desired medlarid.WeightVersion) {
			v := loop.Versions(m)
			return v.Serving, v.Desired
		},
		Submit:            loop.Submit,
		Done:              loop.CloseMailbox,
		Post:              loop.Post,
		OnVersionReported: registry.ObserveVersion,
		OnVersionDenied:   registry.ObserveVersionMismatch,
		OnMalformedHint:   func(medlarid.InstanceID) { m.HintReceived(medlarmetric.HintMalformed) },
		Paused:            d.Paused,
		Pool:              pool,
		Memory:            memory,
		Decode:            medlarplatform.DecodeCall,
		Forward:           clock.AppendForward,
		Reply:             medlarplatform.DecodeReply,
		Refusal:           medlarplatform.AppendRefusal,
		Observer:          medlarrequestlog.New(log, m),
		Rand:              rand.Float64,
	})
	loop.SetWithdraw(proxy.Withdraw)
	return proxy
}

func newFeeds(cfg medlarsettings.Attached, log zerolog.Logger, m *medlarmetric.Metrics, loop *medlarloop.Loop,
	s *medlarcalls.Store, registry *medlarregistry.Registry, n *medlarnotifier.Notifier, board *medlarnotice.Board, d *medlardialer.Dialer,
) []*medlarfeed.Feed {
	feed := func(topic string, apply func([]medlarfeed.Record, bool), t medlarreadwait.Topic, o medlarfeed.Options) *medlarfeed.Feed {
		o.MaxWait = func() time.Duration { return t.Wait(len(d.Peers())+1, cfg.Bounds.SettlingTime.Std()) }
		o.PollInterval = func() time.Duration { return t.Interval(len(d.Peers()) + 1) }
		onUnavailable, onRecovered := medlarchangelog.FeedOutageFuncs(log, topic, m.CallFailed)
		if topic == medlarplatform.TopicOperator {
			onUnavailable, onRecovered = trackOperatorFeed(registry, onUnavailable, onRecovered)
		}
		f := medlarfeed.New(medlarfeed.Deps{
			ReadLatest: func(_ context.Context, after string) (medlarfeed.Page, error) {
				return s.Newest(topic, after)
			},
			ReadFrom: func(_ context.Context, from medlarid.Offset, o medlarfeed.ReadOptions) (medlarfeed.Batch, error) {
				return s.Follow(topic, from, o)
			},
			OnCurrent: func(p medlarfeed.Progress) {
				switch topic {
				case medlarplatform.TopicOperator:
					loop.Post(medlarworld.RecordsCurrent{At: p.AsOf})
				case medlarplatform.TopicReplicas:
					registry.ReplicasCurrent(p.AsOf)
				case medlarplatform.TopicNotices:
					board.SetEnd(p.End)
					n.KeepAnnounced(p.End)
					loop.Post(medlarworld.NoticesRead{})
				}
			},
			Apply: apply, OnUnavailable: onUnavailable, OnRecovered: onRecovered,
			OnEra: func(era medlarid.Era) {
				m.SetEra(era)
				if topic == medlarplatform.TopicNotices {
					n.Restore()
				}
				log.Warn().Str("event", "era").Str("dependency", topic).Uint64("era", uint64(era)).Msg("store came back from a copy; reading the topic anew")
			},
		}, o)
		m.RegisterAge(topic, f.LastResponse)
		return f
	}
	operator := func(records []medlarfeed.Record, first bool) {
		registry.ApplyOperatorRecords(records, first)
		if c := registry.Catalog(); c != nil {
			m.SetVersion(medlarid.Offset(c.Version))
		}
		m.SetEvacuatedZones(registry.EvacuatedZones())
	}
	return []*medlarfeed.Feed{
		feed(medlarplatform.TopicOperator, operator, operatorReads, medlarfeed.Options{}),
		feed(medlarplatform.TopicReplicas, registry.ApplyReplicaEntries, replicaReads, medlarfeed.Options{
			RemovalDelay: cfg.Bounds.RemovalDelay.Std() + returnMargin,
			MinOutage:    time.Duration(outageShare * float64(cfg.Bounds.HeartbeatInterval)),
		}),
		feed(medlarplatform.TopicNotices, n.Apply, noticeReads, medlarfeed.Options{}),
	}
}

// Start opens the listeners and starts serving. It waits for an address that is in use, for bounds.grace at
// most. The instance runs until stop is called; stop returns when the instance has ended.
func (i *Instance) Start() (stop func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		i.logWriter.Run(ctx)
	}()
	end := func() {
		cancel()
		<-logDone
	}
	if i.listener, err = i.listen("callers", i.cfg.Listen); err != nil {
		end()
		return nil, err
	}
	if i.statusListener, err = i.listen("status requests", i.cfg.Status); err != nil {
		_ = i.listener.Close()
		end()
		return nil, err
	}
	go i.loop.Run(ctx)
	for _, f := range i.feeds {
		go f.Run(ctx)
	}
	go i.board.Run(ctx)
	i.openPeers()
	go i.dialer.Run(ctx)
	go i.rollout.Run(ctx)
	go i.tracker.Run(ctx)
	go i.stores.Run(ctx)
	go i.serve("callers", func() error { return i.server.Serve(i.listener) })
	go i.serve("status", func() error { return i.statusServer().Serve(i.statusListener) })
	i.log.Info().Str("event", "start").Str("listen", string(i.cfg.Listen)).Str("store", string(i.cfg.Store)).Msg("started")
	return func() {
		i.stop()
		end()
	}, nil
}

// Address returns the address of the listener for callers. It is valid once Start has
// returned.
func (i *Instance) Address() medlarid.Address { return medlarid.Address(i.listener.Addr().String()) }

// StatusAddress returns the address that serves readiness and metrics. It is valid once
// Start has returned.
func (i *Instance) StatusAddress() medlarid.Address {
	return medlarid.Address(i.statusListener.Addr().String())
}

func (i *Instance) serve(what string, f func() error) {
	if err := f(); err != nil && !i.stopping.Load() {
		i.log.Error().Str("event", "listener").Str("listener", what).Err(err).Msg("listener failed")
	}
}

// Ready reports whether the instance is ready for requests (R1).
func (i *Instance) Ready() bool { return !i.stopping.Load() && i.registry.Ready() }

func (i *Instance) statusServer() *fasthttp.Server {
	metrics, route := i.metrics.Handler(), medlarroutequery.New(i.registry, i.loop)
	return &fasthttp.Server{Name: "medlarfield", NoDefaultServerHeader: true, Handler: func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case medlarplatform.PathReady:
			if !i.Ready() {
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		case "/metrics":
			metrics(ctx)
		case medlarreport.RoutePath:
			route.Serve(ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}}
}

// Reload reads and checks the settings file again, without applying it: settings are fixed
// while the instance runs. Configuration that can change comes from the store.
func (i *Instance) Reload(file string) {
	cfg, err := medlarsettings.ReadAttached(file)
	if err != nil {
		i.log.Error().Str("event", "reload").Err(err).Msg("settings file cannot be read or is invalid; keeping the current settings")
		return
	}
	i.log.Info().Str("event", "reload").Bool("changed", cfg != i.cfg).Msg("settings file is valid")
}

func newTerm(cfg medlarsettings.Attached, h *medlarhttp.Client) *medlarterm.Elector {
	s := medlarcalls.NewStore(h, cfg.Store, medlarterm.Term) // an answer after the term is useless
	return medlarterm.New(cfg.Name, cfg.Bounds.HandoverDelay.Std(), medlarterm.Deps{
		Append: func(_ context.Context, at medlarid.Offset) (medlarid.Era, error) {
			a, err := s.Append(medlarplatform.TopicTerm, at, medlarcalls.EncodeTerm(cfg.Name))
			if medlarcalls.IsKind(err, medlarcalls.KindOffsetMismatch) {
				return 0, medlarterm.ErrOffsetMismatch
			}
			return a.Era, err
		},
		Read: func(_ context.Context, from medlarid.Offset) (medlarterm.Terms, error) { return readTerms(s, from) },
	})
}

// readTerms returns the terms from an offset on. If the topic does not have that offset, it
// starts at the first one that it has.
func readTerms(s *medlarcalls.Store, from medlarid.Offset) (medlarterm.Terms, error) {
	raw, err := s.Read(medlarplatform.TopicTerm, from, medlarfeed.ReadOptions{})
	if first, ok := medlarcalls.FirstRetained(err); ok {
		from = first
		raw, err = s.Read(medlarplatform.TopicTerm, from, medlarfeed.ReadOptions{})
	}
	if err != nil {
		return medlarterm.Terms{}, err
	}
	out := medlarterm.Terms{End: from + medlarid.Offset(len(raw.Records)), Era: raw.Era}
	for _, r := range raw.Records {
		out.Records = append(out.Records, medlarterm.Record{Holder: medlarcalls.DecodeTerm(r.Data), Offset: r.Offset})
	}
	return out, nil
}

package medlarnode

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"medlarfield/internal/agree/medlaraudit"
	"medlarfield/internal/agree/medlarclaim"
	"medlarfield/internal/agree/medlarfollower"
	"medlarfield/internal/agree/medlarlease"
	"medlarfield/internal/agree/medlarpublish"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/agree/medlarstate"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarcore"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarapi"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/edge/medlarsession"
	"medlarfield/internal/edge/medlartransfer"
	"medlarfield/internal/ops/medlarlogger"
	"medlarfield/internal/ops/medlarloop"
	"medlarfield/internal/ops/medlarpeers"
	"medlarfield/internal/ops/medlarpoller"
	"medlarfield/internal/ops/medlarreconciler"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarinstance"
	"medlarfield/internal/upstream/medlarlog"
	"medlarfield/internal/upstream/medlarservice"
	"medlarfield/internal/upstream/medlarstore"
	"medlarfield/internal/upstream/medlarweight"
)

// transferTimeout is the limit for one KV export or import.
const transferTimeout = 30 * time.Second

// logOutput is the destination of log lines, as a type of its own for dig.
type logOutput struct{ io.Writer }

// author identifies this process in the records that it appends: the instance's
// name with a suffix that differs at each start.
type author string

// New builds an instance that logs to w.
func New(cfg medlarsettings.Settings, w io.Writer) (*Node, error) {
	c := dig.New()
	providers := []any{
		func() medlarsettings.Settings { return cfg },
		func() logOutput { return logOutput{w} },
		newAuthor, newLogger, newHTTP, newLogClient, newInstances, newEngines, newStores, newServices, newWeights,
		medlarmetric.New, medlarstate.New,
		newCore, medlarpeers.New, newLoopParts, newFollowers, newClaimer, newNode,
	}
	for _, p := range providers {
		if err := c.Provide(p); err != nil {
			return nil, err
		}
	}
	var node *Node
	err := c.Invoke(func(n *Node) { node = n })
	return node, dig.RootCause(err)
}

func newAuthor(cfg medlarsettings.Settings) author {
	return author(string(cfg.Name) + "/" + medlarid.NewRecordID().String()[:8])
}

func newLogger(cfg medlarsettings.Settings, w logOutput) zerolog.Logger {
	return medlarlogger.New(w, cfg.Log.Level, cfg.Name, cfg.Zone)
}

func newHTTP(cfg medlarsettings.Settings) *medlarhttp.Client {
	return medlarhttp.New(cfg.Routing.UpstreamIdleTimeout.Std())
}

func newLogClient(cfg medlarsettings.Settings, h *medlarhttp.Client) *medlarlog.Client {
	return medlarlog.New(h, cfg.Platform.Log, cfg.Platform.Timeout.Std())
}

func newInstances(cfg medlarsettings.Settings, h *medlarhttp.Client) *medlarinstance.Client {
	return medlarinstance.New(h, cfg.Platform.Instances, cfg.Platform.Timeout.Std())
}

func newEngines(cfg medlarsettings.Settings, h *medlarhttp.Client) *medlarengine.Client {
	return medlarengine.New(h, cfg.Platform.Timeout.Std(), transferTimeout)
}

func newStores(cfg medlarsettings.Settings, h *medlarhttp.Client) *medlarstore.Client {
	return medlarstore.New(h, cfg.Platform.Timeout.Std())
}

func newWeights(cfg medlarsettings.Settings, h *medlarhttp.Client) *medlarweight.Client {
	return medlarweight.New(h, cfg.Platform.Weights, cfg.Platform.Timeout.Std())
}

func newServices(h *medlarhttp.Client) *medlarservice.Client { return medlarservice.New(h) }

func newCore(cfg medlarsettings.Settings) *medlarcore.Core {
	return medlarcore.New(medlarworld.Config{
		Self:        cfg.Name,
		Zone:        cfg.Zone,
		Weighting:   cfg.Routing.Weighting,
		MaxQueued:   cfg.Limits.MaxQueued,
		MaxAttempts: cfg.Routing.MaxAttempts,
		MaxWait:     cfg.Limits.MaxWait.Std(),
		OffloadKV:   cfg.Routing.Contexts,
		Seed:        uint64(time.Now().UnixNano()),
	})
}

// loopParts holds the parts with a cyclic dependency: the loop executes commands with
// the transfer, and the transfer posts events to the loop.
type loopParts struct {
	loop     *medlarloop.Loop
	poller   *medlarpoller.Poller
	transfer *medlartransfer.Transfer
}

func newLoopParts(
	cfg medlarsettings.Settings,
	log zerolog.Logger,
	core *medlarcore.Core,
	m *medlarmetric.Metrics,
	instances *medlarinstance.Client,
	engines *medlarengine.Client,
	stores *medlarstore.Client,
	p *medlarpeers.Peers,
) *loopParts {
	l := &loopParts{}
	post := func(e medlarworld.Event) { l.loop.Post(e) }
	l.poller = medlarpoller.New(cfg.Name, medlarpoller.Deps{
		Post: post, Instances: instances, Engines: engines, OnReadError: m.CallFailed, OnEntries: p.UpdateEntries,
	}, cfg.Platform.PollInterval.Std(), cfg.Platform.MaxCallsPerSecond)
	p.OnSharesGranted(func(s medlarworld.SharesGranted) { post(s) })
	l.transfer = medlartransfer.New(medlartransfer.Deps{
		Post:          post,
		Engines:       engines,
		Stores:        stores,
		BlockBytes:    l.poller.BlockBytes,
		BytesMoved:    m.BytesMoved,
		CallFailed:    m.CallFailed,
		ExportDropped: m.ExportDropped,
	})
	l.loop = medlarloop.New(core, medlarloop.Deps{
		LookUp:        l.transfer.LookUp,
		Export:        l.transfer.Export,
		OnRetry:       func(r medlarworld.Retried) { m.Retried(r.Reason) },
		OnEjection:    func(e medlarworld.Ejected) { onEjection(log, m, e) },
		OnAvoided:     func(medlarworld.Avoided) {}, // engines report that they leave in their status
		RequestShares: p.RequestShares,
		OnTick:        m.Ticked,
	})
	return l
}

func onEjection(log zerolog.Logger, m *medlarmetric.Metrics, e medlarworld.Ejected) {
	if !e.Readmitted {
		m.Ejected()
	}
	log.Warn().Str("upstream", string(e.Upstream)).Bool("back", e.Readmitted).Msg("upstream ejection changed")
}

// nodeRef holds the node that the followers call; it is set after they are built.
type nodeRef struct{ node *Node }

// followersOut provides the followers and the nodeRef that they call.
type followersOut struct {
	dig.Out

	Followers *StreamFollowers
	NodeRef   *nodeRef
}

func newFollowers(lc *medlarlog.Client, state *medlarstate.State, m *medlarmetric.Metrics, p *medlarpeers.Peers) followersOut {
	h := &nodeRef{}
	lists := medlarfollower.New(medlarfollower.Deps{
		Read: p.ListsReader(readStream(lc, medlarrecord.StreamLists)),
		Apply: func(e medlarlog.Entry) {
			if err := state.Apply(e); err != nil {
				state.Restart(e.Offset)
				_ = state.Apply(e)
			}
		},
		OnGap:       state.Restart,
		OnRead:      func(bool) { h.node.reportLists() },
		OnReadError: func(error) { m.CallFailed("log") },
	}, 1)
	claims := medlarfollower.New(medlarfollower.Deps{
		Read:  readStream(lc, medlarrecord.StreamClaims),
		Apply: func(e medlarlog.Entry) { h.node.claimer.Apply(e) },
		OnGap: func(first medlarid.Offset) { h.node.claimer.Reset(first) },
		OnRead: func(caughtUp bool) {
			if caughtUp {
				h.node.claimsRead.Store(true)
			}
		},
		OnReadError: func(error) { m.CallFailed("log") },
	}, 1)
	return followersOut{Followers: &StreamFollowers{Lists: lists, Claims: claims}, NodeRef: h}
}

func readStream(lc *medlarlog.Client, stream string) medlarfollower.ReadFunc {
	return func(from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error) {
		return lc.Read(stream, from, limit, wait)
	}
}

func appendTo(lc *medlarlog.Client, stream string) medlarlog.AppendFunc {
	return func(records ...[]byte) (medlarid.Offset, error) { return lc.Append(stream, records...) }
}

func newClaimer(cfg medlarsettings.Settings, a author, lc *medlarlog.Client, r *StreamFollowers) *medlarclaim.Claimer {
	bounds := medlarclaim.Bounds{Validity: cfg.Idempotency.Validity.Std(), Skew: cfg.Idempotency.ClockSkew.Std()}
	ready := func() bool {
		st := r.Claims.Status()
		return !st.LastRead.IsZero() && st.NextOffset >= st.EndOffset
	}
	return medlarclaim.New(string(a), bounds, appendTo(lc, medlarrecord.StreamClaims), ready)
}

// nodeIn holds the dependencies of a node.
type nodeIn struct {
	dig.In

	Cfg       medlarsettings.Settings
	Author    author
	Log       zerolog.Logger
	Metrics   *medlarmetric.Metrics
	State     *medlarstate.State
	LoopParts *loopParts
	Followers *StreamFollowers
	NodeRef   *nodeRef
	Claimer   *medlarclaim.Claimer
	Peers     *medlarpeers.Peers
	LogClient *medlarlog.Client
	Engines   *medlarengine.Client
	Services  *medlarservice.Client
	Weights   *medlarweight.Client
}

func newNode(in nodeIn) *Node {
	n := &Node{
		cfg:       in.Cfg,
		log:       in.Log,
		metrics:   in.Metrics,
		loop:      in.LoopParts.loop,
		poller:    in.LoopParts.poller,
		transfer:  in.LoopParts.transfer,
		state:     in.State,
		claimer:   in.Claimer,
		followers: in.Followers,
	}
	in.NodeRef.node = n
	if in.Peers.Enabled() {
		n.peers = in.Peers
	}
	logFailure := func(err error) { n.log.Warn().Err(err).Msg("failed to write a snapshot of the lists") }
	n.snapshotter = medlarpublish.NewSnapshotter(string(in.Author), appendTo(in.LogClient, medlarrecord.StreamLists),
		n.state.View, n.followers.Lists.Status, n.rank, logFailure)
	n.reporter = medlaraudit.NewReporter(string(in.Author), in.Cfg.Name, in.Cfg.Zone,
		appendTo(in.LogClient, medlaraudit.Stream), func(error) { n.metrics.CallFailed("log") })
	n.elector = medlarlease.NewElector(medlarreconciler.LeaseName, string(in.Author), appendTo(in.LogClient, medlarlease.Stream),
		func() int { return n.rank(0) }, func(error) { n.metrics.CallFailed("log") })
	n.followers.Leases = newLeaseFollower(in.LogClient, n)
	n.reconciler = newReconciler(n, in)
	n.api = newAPI(n, in)
	n.server = n.api.Server()
	n.status = n.statusServer()
	return n
}

// newLeaseFollower returns the follower of the leases stream. A gap needs no handling:
// a lease whose record has expired from the log has expired too.
func newLeaseFollower(lc *medlarlog.Client, n *Node) *medlarfollower.Follower {
	return medlarfollower.New(medlarfollower.Deps{
		Read:        readStream(lc, medlarlease.Stream),
		Apply:       n.elector.Apply,
		OnGap:       func(medlarid.Offset) {},
		OnRead:      func(bool) {},
		OnReadError: func(error) { n.metrics.CallFailed("log") },
	}, 1)
}

func newReconciler(n *Node, in nodeIn) *medlarreconciler.Reconciler {
	return medlarreconciler.New(medlarreconciler.Deps{
		LeaseFence:      n.elector.Fence,
		DesiredVersions: n.desiredVersions,
		Engines:         n.poller.Engines,
		EngineClient:    in.Engines,
		WeightClient:    in.Weights,
		OnOrder:         n.onOrder,
		OnFailure:       n.metrics.CallFailed,
	})
}

func newAPI(n *Node, in nodeIn) *medlarapi.API {
	cfg := in.Cfg.Limits
	limits := medlarapi.Limits{
		MaxBodyBytes:     cfg.MaxBodyBytes,
		MaxHeaderBytes:   cfg.MaxHeaderBytes,
		ReadTimeout:      cfg.ReadTimeout.Std(),
		IdleTimeout:      cfg.IdleTimeout.Std(),
		DefaultDeadline:  cfg.DefaultDeadline.Std(),
		DefaultMaxTokens: cfg.DefaultMaxTokens,
	}
	return medlarapi.New(limits, medlarapi.Deps{
		View:           n.state.View,
		Ready:          n.Ready,
		ServingVersion: n.loop.ServingVersion,
		Submit:         n.loop.Submit,
		Done:           n.loop.CloseMailbox,
		Metrics:        in.Metrics,
		Session: medlarsession.Deps{
			Post:         n.loop.Post,
			Engines:      in.Engines,
			Services:     in.Services,
			Claimer:      in.Claimer,
			StoreAddress: n.poller.StoreAddress,
			BytesMoved:   in.Metrics.BytesMoved,
		},
	})
}

// statusServer returns the server of metrics, health and status.
func (n *Node) statusServer() *fasthttp.Server {
	return &fasthttp.Server{Handler: n.statusHandler(), CloseOnShutdown: true, NoDefaultServerHeader: true}
}

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
	"medlarfield/internal/edge/medlarcaller"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/edge/medlarsession"
	"medlarfield/internal/edge/medlartransfer"
	"medlarfield/internal/ops/medlarlogger"
	"medlarfield/internal/ops/medlarloop"
	"medlarfield/internal/ops/medlarpeers"
	"medlarfield/internal/ops/medlarreconciler"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/ops/medlarwatch"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarinstance"
	"medlarfield/internal/upstream/medlarlog"
	"medlarfield/internal/upstream/medlarservice"
	"medlarfield/internal/upstream/medlarstore"
	"medlarfield/internal/upstream/medlarweight"
)

// transferTimeout bounds one export or import.
const transferTimeout = 30 * time.Second

// logOutput is where log lines go.
type logOutput struct{ io.Writer }

// author is the name under which this process appends: the instance's name with
// a part that differs at each start.
type author string

// New builds an instance that logs to w.
func New(cfg medlarsettings.Settings, w io.Writer) (*Node, error) {
	c := dig.New()
	providers := []any{
		func() medlarsettings.Settings { return cfg },
		func() logOutput { return logOutput{w} },
		newAuthor, newLogger, newHTTP, newLogClient, newInstances, newEngines, newStores, newServices, newWeights,
		medlarmetric.New, medlarstate.New,
		newCore, medlarpeers.New, newLinks, newReaders, newDesk, newNode,
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
	return medlarhttp.New(cfg.Routing.Quiet.Std())
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
		MaxQueued:   cfg.Limits.Queue,
		MaxAttempts: cfg.Routing.Attempts,
		MaxWait:     cfg.Limits.Wait.Std(),
		OffloadKV:   cfg.Routing.Contexts,
		Seed:        uint64(time.Now().UnixNano()),
	})
}

// links are the parts that depend on each other in a circle: the loop carries
// commands out with the transfer, which posts events to the loop.
type links struct {
	loop     *medlarloop.Loop
	watch    *medlarwatch.Watch
	transfer *medlartransfer.Transfer
}

func newLinks(
	cfg medlarsettings.Settings,
	log zerolog.Logger,
	core *medlarcore.Core,
	m *medlarmetric.Metrics,
	instances *medlarinstance.Client,
	engines *medlarengine.Client,
	stores *medlarstore.Client,
	p *medlarpeers.Peers,
) *links {
	l := &links{}
	post := func(e medlarworld.Event) { l.loop.Post(e) }
	l.watch = medlarwatch.New(cfg.Name, medlarwatch.Seams{
		Post: post, Instances: instances, Engines: engines, Failed: m.Failed, Entries: p.UpdateEntries,
	}, cfg.Platform.Poll.Std(), cfg.Platform.Calls)
	p.OnSharesGranted(func(s medlarworld.SharesGranted) { post(s) })
	l.transfer = medlartransfer.New(medlartransfer.Seams{
		Post:       post,
		Engines:    engines,
		Stores:     stores,
		BlockBytes: l.watch.BlockBytes,
		Moved:      m.Moved,
		Failed:     m.Failed,
		Dropped:    m.ExportDropped,
	})
	l.loop = medlarloop.New(core, medlarloop.Deps{
		LookUp:        l.transfer.Find,
		Export:        l.transfer.Export,
		OnRetry:       func(r medlarworld.Retried) { m.Retried(r.Reason) },
		OnEjection:    func(e medlarworld.Ejected) { ejected(log, m, e) },
		RequestShares: p.RequestShares,
		OnTick:        m.Ticked,
	})
	return l
}

func ejected(log zerolog.Logger, m *medlarmetric.Metrics, e medlarworld.Ejected) {
	if !e.Readmitted {
		m.Ejected()
	}
	log.Warn().Str("upstream", string(e.Upstream)).Bool("back", e.Readmitted).Msg("upstream ejection changed")
}

// holder lets the followers call the node, which is built after them.
type holder struct{ node *Node }

// readersOut are the readers with the holder that they call.
type readersOut struct {
	dig.Out

	Readers *StreamFollowers
	Holder  *holder
}

func newReaders(lc *medlarlog.Client, state *medlarstate.State, m *medlarmetric.Metrics, p *medlarpeers.Peers) readersOut {
	h := &holder{}
	lists := medlarfollower.New(medlarfollower.Callbacks{
		Read: p.ListsReader(read(lc, medlarrecord.StreamLists)),
		Apply: func(e medlarlog.Entry) {
			if err := state.Apply(e); err != nil {
				state.Restart(e.Offset)
				_ = state.Apply(e)
			}
		},
		OnGap:       state.Restart,
		OnRead:      func(bool) { h.node.inForce() },
		OnReadError: func(error) { m.Failed("log") },
	}, 1)
	claims := medlarfollower.New(medlarfollower.Callbacks{
		Read:        read(lc, medlarrecord.StreamClaims),
		Apply:       func(e medlarlog.Entry) { h.node.desk.Apply(e) },
		OnGap:       func(first medlarid.Offset) { h.node.desk.Reset(first) },
		OnRead:      func(bool) {},
		OnReadError: func(error) { m.Failed("log") },
	}, 1)
	return readersOut{Readers: &StreamFollowers{Lists: lists, Claims: claims}, Holder: h}
}

func read(lc *medlarlog.Client, stream string) medlarfollower.ReadFunc {
	return func(from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error) {
		return lc.Read(stream, from, limit, wait)
	}
}

func appendTo(lc *medlarlog.Client, stream string) medlarlog.AppendFunc {
	return func(records ...[]byte) (medlarid.Offset, error) { return lc.Append(stream, records...) }
}

func newDesk(cfg medlarsettings.Settings, a author, lc *medlarlog.Client, r *StreamFollowers) *medlarclaim.Claimer {
	bounds := medlarclaim.Bounds{Validity: cfg.Once.Validity.Std(), Skew: cfg.Once.Skew.Std()}
	ready := func() bool {
		st := r.Claims.Status()
		return !st.LastRead.IsZero() && st.NextOffset >= st.EndOffset
	}
	return medlarclaim.New(string(a), bounds, appendTo(lc, medlarrecord.StreamClaims), ready)
}

// nodeIn are the parts of a node.
type nodeIn struct {
	dig.In

	Cfg      medlarsettings.Settings
	Author   author
	Log      zerolog.Logger
	Metrics  *medlarmetric.Metrics
	State    *medlarstate.State
	Links    *links
	Readers  *StreamFollowers
	Holder   *holder
	Desk     *medlarclaim.Claimer
	Peers    *medlarpeers.Peers
	LogC     *medlarlog.Client
	Engines  *medlarengine.Client
	Services *medlarservice.Client
	Weights  *medlarweight.Client
}

func newNode(in nodeIn) *Node {
	n := &Node{
		cfg:      in.Cfg,
		log:      in.Log,
		metrics:  in.Metrics,
		loop:     in.Links.loop,
		watch:    in.Links.watch,
		transfer: in.Links.transfer,
		state:    in.State,
		desk:     in.Desk,
		readers:  in.Readers,
	}
	in.Holder.node = n
	if in.Peers.Enabled() {
		n.peers = in.Peers
	}
	failed := func(err error) { n.log.Warn().Err(err).Msg("snapshot not written") }
	n.keeper = medlarpublish.NewSnapshotter(string(in.Author), appendTo(in.LogC, medlarrecord.StreamLists),
		n.state.View, n.readers.Lists.Status, n.rank, failed)
	n.reporter = medlaraudit.NewReporter(string(in.Author), in.Cfg.Name, in.Cfg.Zone,
		appendTo(in.LogC, medlaraudit.Stream), func(error) { n.metrics.Failed("log") })
	n.lease = medlarlease.NewElector(medlarreconciler.LeaseName, string(in.Author), appendTo(in.LogC, medlarlease.Stream),
		func() int { return n.rank(0) }, func(error) { n.metrics.Failed("log") })
	n.readers.Leases = newLeaseReader(in.LogC, n)
	n.duty = newDuty(n, in)
	n.caller = newCaller(n, in)
	n.server = n.caller.Server()
	n.status = n.statusServer()
	return n
}

// newLeaseReader returns the reader of the leases stream. A gap needs no care: a
// lease that has expired from the log has run out.
func newLeaseReader(lc *medlarlog.Client, n *Node) *medlarfollower.Follower {
	return medlarfollower.New(medlarfollower.Callbacks{
		Read:        read(lc, medlarlease.Stream),
		Apply:       n.lease.Apply,
		OnGap:       func(medlarid.Offset) {},
		OnRead:      func(bool) {},
		OnReadError: func(error) { n.metrics.Failed("log") },
	}, 1)
}

func newDuty(n *Node, in nodeIn) *medlarreconciler.Reconciler {
	return medlarreconciler.New(medlarreconciler.Deps{
		LeaseFence:     n.lease.Fence,
		WantedVersions: n.wanted,
		Engines:        n.watch.Engines,
		EngineClient:   in.Engines,
		WeightClient:   in.Weights,
		OnOrder:        n.ordered,
		OnFailure:      n.metrics.Failed,
	})
}

func newCaller(n *Node, in nodeIn) *medlarcaller.Caller {
	l := in.Cfg.Limits
	limits := medlarcaller.Limits{
		Body:     l.Body,
		Header:   l.Header,
		Read:     l.Read.Std(),
		Idle:     l.Idle.Std(),
		Deadline: l.Deadline.Std(),
		Tokens:   l.Tokens,
	}
	return medlarcaller.New(limits, medlarcaller.Seams{
		View:    n.state.View,
		Ready:   n.Ready,
		Serving: n.loop.ServingVersion,
		Submit:  n.loop.Submit,
		Done:    n.loop.CloseMailbox,
		Metrics: in.Metrics,
		Session: medlarsession.Seams{
			Post:         n.loop.Post,
			Engines:      in.Engines,
			Services:     in.Services,
			Desk:         in.Desk,
			StoreAddress: n.watch.StoreAddress,
			Moved:        in.Metrics.Moved,
		},
	})
}

// statusServer serves metrics and health.
func (n *Node) statusServer() *fasthttp.Server {
	return &fasthttp.Server{Handler: n.statusHandler(), CloseOnShutdown: true, NoDefaultServerHeader: true}
}

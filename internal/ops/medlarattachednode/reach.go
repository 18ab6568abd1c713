package medlarattachednode

import (
	"math/rand/v2"

	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/base/medlarmemory"
	"medlarfield/internal/core/medlarreach"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/ops/medlardialer"
	"medlarfield/internal/ops/medlarloop"
	"medlarfield/internal/ops/medlarregistry"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/peer/medlardatagram"
	"medlarfield/internal/peer/medlarstorerelay"
	"medlarfield/internal/peer/medlartunnel"
	"medlarfield/platform/medlarcalls"
)

// peerKey is the key that other instances need to talk to this start of the instance.
type peerKey uint64

func newPeerKey() peerKey { return peerKey(rand.Uint64()) }

func newTunnelClient(cfg medlarsettings.Attached) *medlartunnel.Client {
	return medlartunnel.NewClient(cfg.Name, medlarpool.SetUserTimeout)
}

func newDialer(cfg medlarsettings.Attached, log zerolog.Logger, m *medlarmetric.Metrics, key peerKey, client *medlartunnel.Client,
	p *medlarstorerelay.Publisher, memory *medlarmemory.Account,
) *medlardialer.Dialer {
	return medlardialer.New(medlardialer.Deps{
		Self: cfg.Name, Zone: cfg.Zone, Key: medlartunnel.Key(key),
		Client:    client,
		Memory:    memory,
		Dial:      medlarpool.Dial,
		Prove:     medlarcalls.Prove,
		Publish:   p.Serve,
		OnDial:    func(o medlarreach.Outcome) { m.Connected(string(o)) },
		OnProof:   func(o medlarreach.Outcome) { m.Proved(string(o)) },
		OnAsked:   func(o medlarreach.Outcome) { m.Asked(string(o)) },
		OnRequest: func(r medlartunnel.Result) { m.Relayed(r == medlartunnel.ResultOpened) },
		OnChange:  func(c medlarreach.Change) { logReach(log, m, c) },
	})
}

func newPool(d *medlardialer.Dialer) *medlarpool.Pool {
	return medlarpool.New(medlarpool.Deps{Dial: d.Dial, Usable: d.Usable})
}

func newRegistry(log zerolog.Logger, m *medlarmetric.Metrics, pool *medlarpool.Pool, loop *medlarloop.Loop, d *medlardialer.Dialer) *medlarregistry.Registry {
	registry := medlarregistry.New(log, pool, loop.Post, func(s medlarmetric.Source) { m.Malformed(s, 1) })
	d.Connect(registry.Replica, loop.Post, pool)
	return registry
}

// logReach logs and counts that this instance no longer reaches a replica, or any, that others reach, or does again.
func logReach(log zerolog.Logger, m *medlarmetric.Metrics, c medlarreach.Change) {
	m.SetBrokenPaths(c.Paths)
	if c.Replica != "" {
		text := "replica is reached directly again"
		if c.Broken {
			text = "replica is not reached directly, while another instance reaches it; relaying its connections"
		}
		log.Info().Str("event", "reach").Str("replica", string(c.Replica)).Bool("broken", c.Broken).Bool("hangs", c.Hangs).Bool("opens", c.Opens).
			Int("paths", c.Paths).Float64("for", ms(c.For)).Msg(text)
		return
	}
	m.SetCut(c.Broken)
	text := "replicas are reached directly again"
	if c.Broken {
		text = "no replica is reached directly, while other instances reach them; relaying all connections"
	}
	log.Warn().Str("event", "cut").Bool("cut", c.Broken).Bool("hangs", c.Hangs).Bool("opens", c.Opens).Int("paths", c.Paths).Float64("for", ms(c.For)).Msg(text)
}

// openPeers opens the listeners for other instances and announces them. Without them the instance goes by what it
// sees itself, and reaches replicas by its direct path only.
func (i *Instance) openPeers() {
	if !i.cfg.HasPeers() {
		return
	}
	failed := func(listener string, err error) {
		i.log.Error().Str("event", "listener").Str("listener", listener).Err(err).Msg("listener for other instances cannot be opened; going on without")
	}
	if err := i.socket.Listen(i.cfg.Peers); err != nil {
		failed("peers", err)
		return
	}
	p := medlarnotice.Peer{Address: i.socket.Address(), Key: uint64(i.socket.Key()), Zone: i.cfg.Zone}
	if err := i.dialer.Server().Listen(i.cfg.Peers); err != nil {
		failed("relay", err)
	} else {
		p.Relay = i.dialer.Server().Address()
	}
	i.notifier.Announce(&p)
}

// socketKey returns the key of datagrams.
func (k peerKey) socketKey() medlardatagram.Key { return medlardatagram.Key(k) }

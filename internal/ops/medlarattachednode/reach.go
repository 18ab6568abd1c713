package medlarattachednode

import (
	"math/rand/v2"

	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/base/medlarmemory"
	"medlarfield/internal/core/medlarreach"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/ops/medlarchangelog"
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
		OnChange:  func(c medlarreach.Change) { medlarchangelog.Reach(log, m, c) },
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

// Package medlarpeers joins what rests on the sessions between entry instances:
// membership, relays of the lists, and shares of limits.
package medlarpeers

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarfollower"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/ops/medlarwatch"
	"medlarfield/internal/peer/medlarmember"
	"medlarfield/internal/peer/medlarmessage"
	"medlarfield/internal/peer/medlarrelay"
	"medlarfield/internal/peer/medlarshare"
	"medlarfield/internal/peer/medlartransport"
)

// Peers are an instance's sessions with other entry instances and what rests on
// them. Without settings for them they do nothing.
type Peers struct {
	self    medlarid.InstanceID
	zone    medlarid.Zone
	metrics *medlarmetric.Metrics

	link   *medlartransport.Transport
	prober *medlarmember.Prober
	relay  *medlarrelay.Relay
	sharer *medlarshare.Manager
	shared func(medlarworld.SharesGranted)
	ln     net.Listener

	mu      sync.Mutex
	entries map[medlarid.InstanceID]medlarwatch.Entry
}

// New returns the peers of an instance.
func New(cfg medlarsettings.Settings, log zerolog.Logger, m *medlarmetric.Metrics) (*Peers, error) {
	p := &Peers{self: cfg.Name, zone: cfg.Zone, metrics: m, entries: map[medlarid.InstanceID]medlarwatch.Entry{}}
	if !cfg.Peers.Enabled() {
		return p, nil
	}
	files := medlartransport.CredentialFiles{Certificate: cfg.Peers.Certificate, Key: cfg.Peers.Key, Authority: cfg.Peers.Authority}
	keys, err := medlartransport.NewCredentials(files, func(err error) { log.Warn().Err(err).Msg("changed keys cannot be used") })
	if err != nil {
		return nil, err
	}
	p.link = medlartransport.New(keys, p.address, p.handle, func() { m.Failed("peer") })
	p.prober = medlarmember.NewProber(cfg.Name, p.call, nil)
	p.sharer = medlarshare.New(medlarshare.Deps{
		Self:        cfg.Name,
		Live:        p.prober.Live,
		Call:        p.call,
		ApplyShares: p.takeShares,
		Failed:      func() { m.Failed("peer") },
	})
	return p, nil
}

// call calls a peer; a failure makes its state uncertain.
func (p *Peers) call(ctx context.Context, id medlarid.InstanceID, f *medlarmessage.Frame) (*medlarmessage.Reply, error) {
	return p.link.Call(ctx, id, f)
}

// Enabled reports whether the instance has peers.
func (p *Peers) Enabled() bool { return p.link != nil }

// OnSharesGranted sets who takes over granted shares. It is to be called before Start.
func (p *Peers) OnSharesGranted(f func(medlarworld.SharesGranted)) { p.shared = f }

// Address returns the address for peers, once Listen has returned.
func (p *Peers) Address() medlarid.Address { return medlarid.Address(p.ln.Addr().String()) }

// address returns the address of a peer.
func (p *Peers) address(id medlarid.InstanceID) medlarid.Address {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries[id].Peer
}

// UpdateEntries takes over the entry instances of the instance list and returns how
// many are known to live, or 0 without peers.
func (p *Peers) UpdateEntries(entries []medlarwatch.Entry) int {
	if p.link == nil {
		return 0
	}
	ids := make([]medlarid.InstanceID, 0, len(entries))
	p.mu.Lock()
	clear(p.entries)
	for _, e := range entries {
		p.entries[e.ID] = e
		ids = append(ids, e.ID)
	}
	p.mu.Unlock()
	p.prober.SetInstances(ids)
	return len(p.sharer.RefreshLive())
}

// zonePeers returns the live entry instances of the own availability zone.
func (p *Peers) zonePeers() []medlarid.InstanceID {
	live := p.prober.Live()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []medlarid.InstanceID{p.self}
	for _, id := range live {
		if e, ok := p.entries[id]; ok && e.Zone == p.zone && id != p.self && e.Peer != "" {
			out = append(out, id)
		}
	}
	return out
}

// ListsReader returns the reader of the lists stream: through relays where there are
// peers.
func (p *Peers) ListsReader(direct medlarfollower.ReadFunc) medlarfollower.ReadFunc {
	if p.link == nil {
		return direct
	}
	p.relay = medlarrelay.New(medlarrecord.StreamLists, medlarrelay.Deps{
		Self:      p.self,
		Zone:      p.zonePeers,
		Call:      p.call,
		Read:      medlarrelay.ReadFunc(direct),
		CountRead: p.metrics.ListsRead,
	})
	return p.relay.Read
}

// RequestShares asks for shares of limits.
func (p *Peers) RequestShares(c medlarworld.RequestShares) {
	if p.link == nil {
		return
	}
	demands := make([]medlarshare.Demand, len(c.Demands))
	for i, d := range c.Demands {
		demands[i] = medlarshare.Demand{Account: d.Account, Rate: d.Rate, Open: d.Open}
	}
	p.sharer.RequestShares(demands)
}

func (p *Peers) takeShares(shares []medlarshare.Share) {
	out := medlarworld.SharesGranted{}
	for _, s := range shares {
		out.Shares = append(out.Shares, medlarworld.Share{Account: s.Account, Rate: s.Rate, Runs: s.Runs, Until: s.Until})
	}
	p.shared(out)
}

// handle answers the calls of peers.
func (p *Peers) handle(ctx context.Context, from medlarid.InstanceID, f *medlarmessage.Frame) *medlarmessage.Reply {
	if r, ok := p.prober.Handle(ctx, from, f); ok {
		return r
	}
	if r, ok := p.relay.Handle(ctx, f); ok {
		return r
	}
	if r, ok := p.sharer.Handle(from, f); ok {
		return r
	}
	return &medlarmessage.Reply{Error: "unknown call"}
}

// Listen opens the listener for peers.
func (p *Peers) Listen(at medlarid.Address) error {
	var err error
	if p.ln, err = net.Listen("tcp", string(at)); err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	return nil
}

// Start serves and probes peers until ctx ends.
func (p *Peers) Start(ctx context.Context) {
	go p.link.Serve(ctx, p.ln)
	go p.prober.Run(ctx)
}

// Close ends all sessions.
func (p *Peers) Close() {
	_ = p.ln.Close()
	p.link.Close()
}

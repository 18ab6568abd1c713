// Package medlarpeers combines what runs over the sessions between entry instances:
// membership, relaying of the lists, and shares of limits.
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
	"medlarfield/internal/core/medlarbudget"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/ops/medlarpoller"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/peer/medlarmember"
	"medlarfield/internal/peer/medlarmessage"
	"medlarfield/internal/peer/medlarrelay"
	"medlarfield/internal/peer/medlarshare"
	"medlarfield/internal/peer/medlartransport"
)

// Peers manages an instance's sessions with other entry instances and what runs
// over them. It does nothing if the settings configure no peers.
type Peers struct {
	self    medlarid.InstanceID
	zone    medlarid.Zone
	metrics *medlarmetric.Metrics

	transport       *medlartransport.Transport
	prober          *medlarmember.Prober
	relay           *medlarrelay.Relay
	shares          *medlarshare.Manager
	onSharesGranted func(medlarworld.SharesGranted)
	listener        net.Listener

	mu      sync.Mutex
	entries map[medlarid.InstanceID]medlarpoller.Entry
}

// New returns the Peers of an instance.
func New(cfg medlarsettings.Settings, log zerolog.Logger, m *medlarmetric.Metrics) (*Peers, error) {
	p := &Peers{self: cfg.Name, zone: cfg.Zone, metrics: m, entries: map[medlarid.InstanceID]medlarpoller.Entry{}}
	if !cfg.Peers.Enabled() {
		return p, nil
	}
	files := medlartransport.CredentialFiles{Certificate: cfg.Peers.CertificateFile, Key: cfg.Peers.KeyFile, Authority: cfg.Peers.CAFile}
	credentials, err := medlartransport.NewCredentials(files, func(err error) {
		log.Warn().Err(err).Msg("failed to load changed peer certificate files; keeping the previous ones")
	})
	if err != nil {
		return nil, err
	}
	p.transport = medlartransport.New(credentials, p.addressOf, p.handle, func() { m.CallFailed("peer") })
	p.prober = medlarmember.NewProber(cfg.Name, p.call, nil)
	p.shares = medlarshare.New(medlarshare.Deps{
		Self:        cfg.Name,
		Live:        p.prober.Live,
		Call:        p.call,
		ApplyShares: p.reportShares,
		Failed:      func() { m.CallFailed("peer") },
	})
	return p, nil
}

// call sends a frame to a peer and returns its reply. After a failure it is
// uncertain whether the peer has handled the frame.
func (p *Peers) call(ctx context.Context, id medlarid.InstanceID, f *medlarmessage.Frame) (*medlarmessage.Reply, error) {
	return p.transport.Call(ctx, id, f)
}

// Enabled reports whether the instance has peers.
func (p *Peers) Enabled() bool { return p.transport != nil }

// OnSharesGranted sets the callback for granted shares. It must be called before
// Start.
func (p *Peers) OnSharesGranted(f func(medlarworld.SharesGranted)) { p.onSharesGranted = f }

// Address returns the address that peers connect to. Listen must have returned.
func (p *Peers) Address() medlarid.Address { return medlarid.Address(p.listener.Addr().String()) }

// addressOf returns the address of a peer, empty if it is not listed.
func (p *Peers) addressOf(id medlarid.InstanceID) medlarid.Address {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries[id].Peer
}

// UpdateEntries replaces the known entry instances with those of the instance list
// and returns how many are known to be alive, or 0 without peers.
func (p *Peers) UpdateEntries(entries []medlarpoller.Entry) int {
	if p.transport == nil {
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
	return len(p.shares.RefreshLive())
}

// zonePeers returns this instance and the live entry instances of its availability
// zone that have a peer address.
func (p *Peers) zonePeers() []medlarid.InstanceID {
	live := p.prober.Live()
	p.mu.Lock()
	defer p.mu.Unlock()
	peers := []medlarid.InstanceID{p.self}
	for _, id := range live {
		if e, ok := p.entries[id]; ok && e.Zone == p.zone && id != p.self && e.Peer != "" {
			peers = append(peers, id)
		}
	}
	return peers
}

// ListsReader returns the function that reads the lists stream: through relays with
// peers, direct without.
func (p *Peers) ListsReader(direct medlarfollower.ReadFunc) medlarfollower.ReadFunc {
	if p.transport == nil {
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

// RequestShares asks the peers for shares of accounts' limits. It does nothing
// without peers.
func (p *Peers) RequestShares(c medlarworld.RequestShares) {
	if p.transport == nil {
		return
	}
	demands := make([]medlarshare.Demand, len(c.Demands))
	for i, d := range c.Demands {
		demands[i] = medlarshare.Demand{Account: d.Account, Rate: d.Rate, Open: d.Open}
	}
	p.shares.RequestShares(demands)
}

func (p *Peers) reportShares(shares []medlarshare.Share) {
	granted := medlarworld.SharesGranted{}
	for _, s := range shares {
		granted.Shares = append(granted.Shares, medlarbudget.Share{Account: s.Account, Rate: s.Rate, Runs: s.Runs, Until: s.Until})
	}
	p.onSharesGranted(granted)
}

// handle answers a call from a peer.
func (p *Peers) handle(ctx context.Context, from medlarid.InstanceID, f *medlarmessage.Frame) *medlarmessage.Reply {
	if r, ok := p.prober.Handle(ctx, from, f); ok {
		return r
	}
	if r, ok := p.relay.Handle(ctx, f); ok {
		return r
	}
	if r, ok := p.shares.Handle(from, f); ok {
		return r
	}
	return &medlarmessage.Reply{Error: "unknown call"}
}

// Listen opens the listener for peers.
func (p *Peers) Listen(at medlarid.Address) error {
	var err error
	if p.listener, err = net.Listen("tcp", string(at)); err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	return nil
}

// Start begins to serve and probe peers, until ctx ends.
func (p *Peers) Start(ctx context.Context) {
	go p.transport.Serve(ctx, p.listener)
	go p.prober.Run(ctx)
}

// Close closes the listener and all sessions.
func (p *Peers) Close() {
	_ = p.listener.Close()
	p.transport.Close()
}

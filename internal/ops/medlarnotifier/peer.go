package medlarnotifier

import (
	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/peer/medlardatagram"
)

// Announce tells all instances where this one receives datagrams; nil that it stops.
func (n *Notifier) Announce(p *medlarnotice.Peer) {
	n.mu.Lock()
	n.self = p
	n.mu.Unlock()
	n.announce()
}

// announce records where this instance receives datagrams.
func (n *Notifier) announce() {
	n.mu.Lock()
	p := n.self
	n.mu.Unlock()
	if p == nil {
		n.deps.Board.Put(medlarnotice.RemovePeer(n.deps.Self))
		return
	}
	r, err := medlarnotice.EncodePeer(n.deps.Self, *p)
	if err != nil {
		n.deps.Log.Error().Str("event", "notice").Err(err).Msg("address of this instance cannot be encoded")
		return
	}
	n.deps.Board.Put(r)
}

// keepAnnounced announces this instance again if its address was removed: others have not heard of it for long.
func (n *Notifier) keepAnnounced(removed bool) {
	n.mu.Lock()
	announced := n.self != nil
	n.mu.Unlock()
	if removed && announced {
		n.announce()
	}
}

// setPeer passes the address of another instance to the socket.
func (n *Notifier) setPeer(r medlarfeed.Record) {
	id, p, ok, err := medlarnotice.DecodePeer(medlarnotice.Record{Key: r.Key, Value: r.Value})
	if !ok {
		return
	}
	if id == n.deps.Self {
		n.keepAnnounced(len(r.Value) == 0)
		return
	}
	if err != nil {
		n.deps.CallFailed()
		n.deps.Log.Warn().Str("event", "notice").Str("key", r.Key).Err(err).Msg("address of an instance is ignored")
		return
	}
	n.deps.Socket.SetPeer(id, medlardatagram.Peer{Address: p.Address, Key: medlardatagram.Key(p.Key)})
	n.deps.Dialer.SetPeer(id, p)
	n.post(medlarworld.InstancesAnnounced{Others: n.deps.Dialer.Peers()})
}

package medlarnotifier

import (
	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/peer/medlardatagram"
)

// announcement is the record of where this instance receives datagrams.
type announcement struct {
	peer    *medlarnotice.Peer // nil for nowhere
	written bool               // the store has accepted the record
	at      medlarid.Offset    // of the record that was written
	reads   int                // reads of the topic that have ended since
	listed  bool               // the topic has the record, as it was read last
}

// readsThatShow is the number of reads after which one has begun since the record was written.
const readsThatShow = 2

// lost reports whether the record is missing in a topic that was read up to an offset. One that ends before
// the record has lost it with the store if it was read since.
func (a *announcement) lost(end medlarid.Offset) bool {
	return a.peer != nil && a.written && !a.listed && (end > a.at || a.reads >= readsThatShow)
}

// Announce tells all instances where this one receives datagrams; nil that it stops.
func (n *Notifier) Announce(p *medlarnotice.Peer) {
	n.mu.Lock()
	n.own.peer = p
	n.mu.Unlock()
	n.announce()
}

// announce records where this instance receives datagrams.
func (n *Notifier) announce() {
	n.mu.Lock()
	p := n.own.peer
	n.own.written = false
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

// setWritten takes note of a record that the store has accepted at an offset.
func (n *Notifier) setWritten(r medlarnotice.Record, at medlarid.Offset) {
	if r.Key != medlarnotice.RemovePeer(n.deps.Self).Key {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.own.written, n.own.at, n.own.reads = true, at, 0
}

// KeepAnnounced announces this instance again if the topic, read up to an offset, lacks its address: others have not
// heard of it for long, or an earlier process of it has stopped late. It is called after each read.
func (n *Notifier) KeepAnnounced(end medlarid.Offset) {
	n.mu.Lock()
	n.own.reads++
	lost := n.own.lost(end)
	n.mu.Unlock()
	if lost {
		n.announce()
	}
}

// setListed takes note of whether the topic has the address of this instance.
func (n *Notifier) setListed(listed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.own.listed = listed
}

// setPeer passes the address of another instance to the socket.
func (n *Notifier) setPeer(r medlarfeed.Record) {
	id, p, ok, err := medlarnotice.DecodePeer(medlarnotice.Record{Key: r.Key, Value: r.Value})
	if !ok {
		return
	}
	if id == n.deps.Self {
		n.setListed(len(r.Value) > 0)
		return
	}
	if err != nil {
		n.deps.CallFailed()
		n.deps.Log.Warn().Str("event", "notice").Str("key", r.Key).Err(err).Msg("address of an instance is ignored")
		return
	}
	n.deps.Socket.SetPeer(id, medlardatagram.Peer{Address: p.Address, Key: medlardatagram.Key(p.Key), Zone: p.Zone})
	n.deps.Dialer.SetPeer(id, p)
	n.post(medlarworld.InstancesAnnounced{Others: n.deps.Dialer.Peers()})
}

package medlardialer

import (
	"context"
	"maps"
	"net"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreach"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/ops/medlarpathstate"
	"medlarfield/internal/peer/medlartunnel"
)

// forPeer returns a replica to which this instance may connect for another one, or why it does not.
func (d *Dialer) forPeer(id medlarid.InstanceID, incarnation medlarid.Incarnation) (Replica, medlartunnel.Result) {
	r, ok := d.lookup(id)
	if !ok || r.Incarnation != incarnation || r.Leaving || d.avoided.Avoids(id, incarnation) {
		return r, medlartunnel.ResultUnused
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.table.Works(id) {
		return r, medlartunnel.ResultCut
	}
	return r, 0
}

// dialForPeer opens a direct connection to a replica for another instance, unless this one would send it no
// request itself.
func (d *Dialer) dialForPeer(ctx context.Context, id medlarid.InstanceID, incarnation medlarid.Incarnation) (net.Conn, medlartunnel.Result) {
	r, refusal := d.forPeer(id, incarnation)
	if refusal != 0 {
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, forPeerTimeout)
	defer cancel()
	if result := d.provenFor(ctx, id, r); result != medlartunnel.ResultAnswers {
		return nil, result
	}
	c, outcome, _ := d.paths.Dial(ctx, id, r.Address)
	d.ended(id, outcome)
	if outcome != medlarreach.Opened {
		return nil, medlarpathstate.DialResult(outcome)
	}
	if d.avoided.Avoids(id, incarnation) { // since it was asked
		_ = c.Close()
		return nil, medlartunnel.ResultUnused
	}
	medlarpool.OutlastSilence(c) // the instance that asked decides how long to wait
	return c, medlartunnel.ResultOpened
}

// Paused reports whether a replica wants no requests from this instance at present, as it has stated under its incarnation.
func (d *Dialer) Paused(id medlarid.InstanceID, incarnation medlarid.Incarnation) bool {
	return d.avoided.Paused(id, incarnation)
}

// Avoid records that this instance sends nothing more to a replica because of what that stated, and passes it
// on (R3).
func (d *Dialer) Avoid(c medlarworld.Avoided) {
	d.avoided.Add(c)
	d.mu.Lock()
	maps.DeleteFunc(d.relayed, func(_ relay, at time.Time) bool { return time.Since(at) > relayMemory })
	tell := d.concerned(c)
	d.mu.Unlock()
	h := medlartunnel.Hint{Replica: c.Upstream, Incarnation: c.Incarnation, Leaving: c.Leaving, Pause: max(time.Until(c.Until), 0)}
	for _, p := range tell {
		if p.Address != "" {
			go d.tell(p, h)
		}
	}
}

// concerned returns the instances to which is passed on what a replica has stated (R3). The caller holds the lock.
func (d *Dialer) concerned(c medlarworld.Avoided) map[medlarid.InstanceID]medlartunnel.Peer {
	out := map[medlarid.InstanceID]medlartunnel.Peer{}
	for _, id := range d.server.Users(c.Upstream) {
		out[id] = d.peers[id]
	}
	delete(out, c.From)
	for r := range d.relayed {
		if c.From == "" && r.replica == c.Upstream {
			out[r.by] = d.peers[r.by]
		}
	}
	return out
}

// exists reports whether a replica is known.
func (d *Dialer) exists(id medlarid.InstanceID) bool {
	_, ok := d.lookup(id)
	return ok
}

// tell passes on what a replica has stated. One that does not get it learns it from the replica.
func (d *Dialer) tell(p medlartunnel.Peer, h medlartunnel.Hint) {
	ctx, cancel := context.WithTimeout(context.Background(), hintTimeout)
	defer cancel()
	_ = d.deps.Client.Tell(ctx, p, h)
}

// takeHint takes what a replica has stated to another instance.
func (d *Dialer) takeHint(sender medlarid.InstanceID, h medlartunnel.Hint) {
	if r, ok := d.lookup(h.Replica); !ok || r.Incarnation != h.Incarnation {
		return
	}
	if h.Leaving {
		d.post(medlarworld.UpstreamLeaving{Upstream: h.Replica, Incarnation: h.Incarnation, From: sender})
	}
	if h.Pause > 0 {
		d.post(medlarworld.UpstreamPaused{Upstream: h.Replica, Incarnation: h.Incarnation, For: h.Pause, From: sender})
	}
}

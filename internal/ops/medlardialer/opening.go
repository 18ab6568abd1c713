package medlardialer

import (
	"context"
	"net"
	"sync"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreach"
	"medlarfield/internal/edge/medlarpath"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/ops/medlarpathstate"
	"medlarfield/internal/peer/medlartunnel"
)

// opening is one call of Dial.
type opening struct {
	dialer  *Dialer
	ctx     context.Context
	target  medlarpool.Target
	results chan result
	pending int // results to come

	directStarted, relayStarted bool

	mu     sync.Mutex
	direct medlarreach.Outcome // of the direct connection, Silent while it is being opened, empty before
}

// result is how one path was tried, and with which outcome.
type result struct {
	conn      net.Conn
	via       medlarid.InstanceID
	err       error
	witnesses int // other instances that don't reach the replica
}

// open opens a connection by the paths of a plan, the second one when the first has failed or is late.
func (o *opening) open(plan medlarreach.Plan) result {
	var hedge <-chan time.Time
	if plan.RelayFirst {
		o.startRelay()
	} else {
		o.startDirect()
		if plan.Relay {
			hedge = time.After(medlarreach.HedgeDelay)
		}
	}
	failed := result{err: errUnreached}
	for o.pending > 0 {
		select {
		case r := <-o.results:
			o.pending--
			if r.err == nil {
				go o.discard(o.pending)
				return r
			}
			failed = r
			if plan.Relay && !o.relayStarted && o.directOutcome() != medlarpath.FailedHere {
				o.startRelay()
			}
			if !o.directStarted {
				o.startDirect()
			}
		case <-hedge:
			if !o.relayStarted {
				o.startRelay()
			}
		case <-o.ctx.Done():
			go o.discard(o.pending)
			return result{err: o.ctx.Err()}
		}
	}
	return failed
}

// discard closes the connections that come too late.
func (o *opening) discard(pending int) {
	for range pending {
		if r := <-o.results; r.err == nil {
			_ = r.conn.Close()
		}
	}
}

func (o *opening) startDirect() {
	o.directStarted = true
	o.pending++
	ctx := context.WithoutCancel(o.ctx) // R2
	go func() { o.results <- o.dialDirect(ctx) }()
}

func (o *opening) startRelay() {
	o.relayStarted = true
	o.pending++
	ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), relayTimeout)
	go func() {
		defer cancel()
		o.results <- o.askPeers(ctx)
	}()
}

// dialDirect opens a direct connection.
func (o *opening) dialDirect(ctx context.Context) result {
	o.setDirect(medlarreach.Silent)
	c, outcome, err := o.dialer.paths.Dial(ctx, o.target.ID, o.target.Address)
	o.setDirect(outcome)
	o.dialer.ended(o.target.ID, outcome)
	return result{conn: c, err: err}
}

func (o *opening) setDirect(outcome medlarreach.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.direct = outcome
}

// directOutcome returns how opening the direct connection has ended.
func (o *opening) directOutcome() medlarreach.Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.direct
}

// Instances that are asked at once: one if the direct path is known to be broken, and several while it is not
// known whether the replica is down, as each then takes as long as a connection that hangs.
const (
	askedAtOnce     = 1
	witnessesAtOnce = 2
)

// answer is what another instance has stated.
type answer struct {
	conn    net.Conn
	by      medlarid.InstanceID
	outcome medlarreach.Outcome
	older   bool // the other instance does not know the question
}

// askPeers asks other instances until one opens a connection, or enough state that they don't reach the replica
// either.
func (o *opening) askPeers(ctx context.Context) result {
	peers := o.dialer.peersToAsk()
	answers := make(chan answer, len(peers))
	atOnce := askedAtOnce
	if o.directOutcome() != "" {
		atOnce = witnessesAtOnce
	}
	pending, witnesses := 0, 0
	for {
		for ; pending < atOnce && len(peers) > 0 && ctx.Err() == nil; pending++ {
			p := peers[0]
			peers = peers[1:]
			go func() { answers <- o.dialer.ask(ctx, p, o.target) }()
		}
		if pending == 0 || medlarreach.Witnessed(witnesses) {
			break
		}
		a := <-answers
		pending--
		o.dialer.asked(o.target.ID, a.by, o.directOutcome(), a.outcome)
		switch a.outcome {
		case medlarreach.Opened:
			go discardAnswers(answers, pending)
			return result{conn: a.conn, via: a.by}
		case medlarreach.Refused, medlarreach.Silent:
			witnesses++
		}
	}
	go discardAnswers(answers, pending)
	o.dialer.unreached(o.target.ID, witnesses)
	return result{err: errUnreached, witnesses: witnesses}
}

// discardAnswers closes the connections that come too late.
func discardAnswers(answers <-chan answer, pending int) {
	for range pending {
		if a := <-answers; a.conn != nil {
			_ = a.conn.Close()
		}
	}
}

// peer is another instance to ask.
type peer struct {
	id medlarid.InstanceID
	at medlartunnel.Peer
}

// peersToAsk returns the other instances to ask, in order.
func (d *Dialer) peersToAsk() []peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []peer
	for _, id := range d.table.Peers(time.Now()) {
		out = append(out, peer{id: id, at: d.peers[id]})
	}
	return out
}

// ask asks one other instance for a connection.
func (d *Dialer) ask(ctx context.Context, p peer, t medlarpool.Target) answer {
	c, err := d.deps.Client.Open(ctx, p.at, t.ID, t.Incarnation)
	outcome := medlarpathstate.AskedOutcome(err)
	d.deps.OnAsked(outcome)
	if err != nil {
		return answer{by: p.id, outcome: outcome}
	}
	return answer{conn: c, by: p.id, outcome: outcome}
}

// ended records how an attempt to open a direct connection ended.
func (d *Dialer) ended(id medlarid.InstanceID, outcome medlarreach.Outcome) {
	d.mu.Lock()
	defer d.unlock()
	d.table.Ended(time.Now(), id, outcome)
}

// asked records what another instance has stated.
func (d *Dialer) asked(replica, by medlarid.InstanceID, direct, outcome medlarreach.Outcome) {
	d.mu.Lock()
	defer d.unlock()
	d.table.Asked(time.Now(), replica, by, direct, outcome)
	if outcome == medlarreach.Opened {
		d.relayed[relay{replica, by}] = time.Now()
	}
}

// unreached records how many other instances don't reach a replica.
func (d *Dialer) unreached(id medlarid.InstanceID, witnesses int) {
	d.mu.Lock()
	defer d.unlock()
	d.table.Unreached(time.Now(), id, witnesses)
}

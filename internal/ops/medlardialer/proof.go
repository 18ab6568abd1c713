package medlardialer

import (
	"context"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreach"
	"medlarfield/internal/edge/medlarpath"
	"medlarfield/internal/ops/medlarpathstate"
	"medlarfield/internal/peer/medlartunnel"
)

// examine finds out whether the path to a replica is broken (R8 of medlarreach). The own call continues while others
// are asked: a replica that was silent for a while then answers both.
func (d *Dialer) examine(ctx context.Context, id medlarid.InstanceID) {
	r, ok := d.lookup(id)
	if !ok {
		d.examined(id, "", "")
		return
	}
	own := make(chan medlarreach.Outcome, 1)
	go func() { own <- d.paths.Prove(ctx, id, r.Address, ownProofTimeout) }()
	outcome := await(own, proofPatience)
	if outcome == medlarreach.Answered || outcome == medlarpath.FailedHere {
		d.examined(id, "", outcome)
		return
	}
	by, _ := d.answersPeer(ctx, id, r.Incarnation)
	if by != "" {
		outcome = d.proveAgain(ctx, id, r, own, outcome)
	}
	if outcome == medlarreach.Answered {
		by = ""
	}
	d.examined(id, by, outcome)
}

// await returns how a call ended, or that it is unanswered after a time.
func await(own <-chan medlarreach.Outcome, d time.Duration) medlarreach.Outcome {
	select {
	case o := <-own:
		return o
	case <-time.After(d):
		return medlarreach.Unanswered
	}
}

// proveAgain returns how the own call ends now that the replica has answered another instance. One that has failed is made
// once more.
func (d *Dialer) proveAgain(ctx context.Context, id medlarid.InstanceID, r Replica, own <-chan medlarreach.Outcome, before medlarreach.Outcome) medlarreach.Outcome {
	if before == medlarreach.Unanswered {
		return await(own, proofGrace)
	}
	return d.paths.Prove(ctx, id, r.Address, proofPatience)
}

func (d *Dialer) examined(id, by medlarid.InstanceID, outcome medlarreach.Outcome) {
	d.mu.Lock()
	defer d.unlock()
	d.table.Examined(time.Now(), id, by, outcome)
}

// answersPeer asks other instances whether a replica answers them now, and returns one that it does; empty for none. ends
// reports whether connections of one of them were refused, or ended.
func (d *Dialer) answersPeer(ctx context.Context, id medlarid.InstanceID, incarnation medlarid.Incarnation) (by medlarid.InstanceID, ends bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	peers := d.peersToAsk()
	for len(peers) > 0 && ctx.Err() == nil {
		asked := peers[:min(len(peers), witnessesAtOnce)]
		peers = peers[len(asked):]
		answers := make(chan answer, len(asked))
		for _, p := range asked {
			go func() {
				err := d.deps.Client.Prove(ctx, p.at, id, incarnation)
				answers <- answer{by: p.id, outcome: medlarpathstate.AskedOutcome(err), older: medlarpathstate.IsOlder(err)}
			}()
		}
		for range asked {
			a := <-answers
			d.deps.OnAsked(a.outcome)
			if a.outcome == medlarreach.Opened {
				return a.by, ends
			}
			ends = ends || a.outcome == medlarreach.Refused
			if a.older {
				continue // it may relay nevertheless
			}
			d.mu.Lock()
			d.table.Asked(time.Now(), id, a.by, "", a.outcome)
			d.mu.Unlock()
		}
	}
	return "", ends
}

// proveForPeer informs another instance whether a replica answers this one now.
func (d *Dialer) proveForPeer(ctx context.Context, id medlarid.InstanceID, incarnation medlarid.Incarnation) medlartunnel.Result {
	r, refusal := d.forPeer(id, incarnation)
	if refusal != 0 {
		return refusal
	}
	return medlarpathstate.ProofResult(d.paths.Prove(ctx, id, r.Address, peerProofTimeout))
}

// provenFor returns ResultAnswers if a replica has answered this instance lately, or does now.
func (d *Dialer) provenFor(ctx context.Context, id medlarid.InstanceID, r Replica) medlartunnel.Result {
	d.mu.Lock()
	proven := d.table.GotSince(id, time.Now().Add(-provenTTL))
	d.mu.Unlock()
	if proven {
		return medlartunnel.ResultAnswers
	}
	return medlarpathstate.ProofResult(d.paths.Prove(ctx, id, r.Address, forPeerTimeout))
}

// sent records that an answer is awaited on one more connection.
func (d *Dialer) sent(replica medlarid.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Sent(time.Now(), replica)
	if !d.polling {
		d.polling = true
		d.signal()
	}
}

// got records that a part of an answer was received.
func (d *Dialer) got(opened time.Time, replica medlarid.InstanceID, answers bool) {
	d.mu.Lock()
	defer d.unlock()
	d.table.Got(time.Now(), opened, replica, answers)
}

// left records that no answer is awaited any longer on a connection.
func (d *Dialer) left(replica medlarid.InstanceID, o medlarreach.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Left(replica, o)
}

package medlardialer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"medlarfield/internal/core/medlarreach"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/ops/medlarpathstate"
)

// Examine finds out whether a replica that has ended connections is down. It makes a call where connections open if call is
// set.
func (d *Dialer) Examine(t medlarpool.Target, call bool) medlarpathstate.State {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	d.mu.Lock()
	plan := d.table.Plan(time.Now(), t.ID)
	d.mu.Unlock()
	o := &opening{dialer: d, ctx: ctx, target: t, results: make(chan result, 2)}
	direct := o.dialDirect(ctx)
	switch {
	case direct.err == nil:
		_ = direct.conn.Close()
		return d.examineOpen(ctx, t, plan, call)
	case o.directOutcome() != medlarreach.Refused:
		return medlarpathstate.StateUp
	case errors.Is(direct.err, syscall.ECONNRESET): // the connection was opened, by a proxy or a balancer as it may be
		return d.examineOpen(ctx, t, plan, call)
	case !plan.Relay:
		return medlarpathstate.StateRefuses
	}
	relayed := o.askPeers(ctx)
	switch {
	case relayed.err == nil:
		_ = relayed.conn.Close()
		if by, ends := d.answersPeer(ctx, t.ID, t.Incarnation); by == "" && ends {
			return medlarpathstate.StateEnds
		}
	case relayed.witnesses > 0 || !plan.RelayFirst:
		return medlarpathstate.StateRefuses
	}
	return medlarpathstate.StateUp
}

// examineOpen finds out whether a replica is down to which connections open.
func (d *Dialer) examineOpen(ctx context.Context, t medlarpool.Target, plan medlarreach.Plan, call bool) medlarpathstate.State {
	if plan.RelayFirst || !call {
		return medlarpathstate.StateUp
	}
	switch d.paths.Prove(ctx, t.ID, t.Address, proofPatience) {
	case medlarreach.Answered:
		return medlarpathstate.StateAnswered
	case medlarreach.Ended:
	default:
		return medlarpathstate.StateUp
	}
	if by, _ := d.answersPeer(ctx, t.ID, t.Incarnation); by != "" {
		return medlarpathstate.StateUp
	}
	return medlarpathstate.StateEnds
}

package medlarclaim

import (
	"context"
	"time"

	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
)

// Parameters of grouped appends.
const (
	maxAnswer    = 2 << 10 // bytes of an answer that an outcome keeps
	maxGroup     = 512     // claims or outcomes of one append
	maxOutcomes  = 1 << 14 // outcomes that wait for the log during an outage
	windowShare  = 0.25    // of the time of an append; gathers claims when the log is slow
	maxWindow    = 20 * time.Millisecond
	failurePause = 50 * time.Millisecond
	latencyGain  = 0.2
)

// Run appends what gathers until ctx ends (R7). It then appends what is left
// once more.
func (d *Claimer) Run(ctx context.Context) {
	var latency time.Duration
	for {
		select {
		case <-ctx.Done():
			d.flush()
			return
		case <-d.wake:
		}
		medlarpause.For(ctx, min(time.Duration(windowShare*float64(latency)), maxWindow))
		start := time.Now()
		if !d.flush() {
			medlarpause.For(ctx, failurePause)
			d.signal()
			continue
		}
		latency += time.Duration(latencyGain * float64(time.Since(start)-latency))
	}
}

// signal wakes Run.
func (d *Claimer) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// flush appends one group and reports whether that succeeded. After a failure
// the group is kept and appended again: a repeat has no effect (R4).
func (d *Claimer) flush() bool {
	claims, outcomes, base := d.take()
	if len(claims)+len(outcomes) == 0 {
		return true
	}
	records, err := d.encode(claims, outcomes, base)
	if err == nil {
		_, err = d.add(records...)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.Appends++
	if err == nil {
		if len(d.claims)+len(d.outcomes) > 0 {
			d.signal()
		}
		return true
	}
	d.stats.Failures++
	d.claims = append(d.stillWanted(claims), d.claims...)
	d.outcomes = append(outcomes, d.outcomes...)
	if excess := len(d.outcomes) - maxOutcomes; excess > 0 {
		d.outcomes = d.outcomes[excess:]
	}
	return false
}

// take removes one group from what waits.
func (d *Claimer) take() ([]*medlarrecord.Claim, []*medlarrecord.Outcome, medlarid.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claims = d.stillWanted(d.claims)
	nc, no := min(len(d.claims), maxGroup), min(len(d.outcomes), maxGroup)
	claims, outcomes := d.claims[:nc:nc], d.outcomes[:no:no]
	d.claims, d.outcomes = d.claims[nc:], d.outcomes[no:]
	return claims, outcomes, d.table.Next()
}

// stillWanted leaves out claims that were decided or given up; the lock is held.
func (d *Claimer) stillWanted(claims []*medlarrecord.Claim) []*medlarrecord.Claim {
	var out []*medlarrecord.Claim
	for _, c := range claims {
		id, _ := medlarid.ParseRecordID(c.GetId())
		if d.waiting[id] != nil {
			out = append(out, c)
		}
	}
	return out
}

func (d *Claimer) encode(claims []*medlarrecord.Claim, outcomes []*medlarrecord.Outcome, base medlarid.Offset) ([][]byte, error) {
	var out [][]byte
	if len(outcomes) > 0 {
		r := &medlarrecord.Record{Body: &medlarrecord.Record_Outcomes{Outcomes: &medlarrecord.Outcomes{Outcomes: outcomes}}}
		b, err := medlarrecord.Encode(r, medlarid.NewRecordID(), d.author)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	if len(claims) > 0 {
		body := &medlarrecord.Claims{Base: uint64(base), Claims: claims}
		r := &medlarrecord.Record{Body: &medlarrecord.Record_Claims{Claims: body}}
		b, err := medlarrecord.Encode(r, medlarid.NewRecordID(), d.author)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

func claimRecord(id ID, r Request) *medlarrecord.Claim {
	return &medlarrecord.Claim{Id: id[:], Key: r.Key[:], Body: r.BodyDigest[:], Issued: r.Issued.UnixMilli()}
}

func outcomeRecord(g Grant, s medlarrecord.State) *medlarrecord.Outcome {
	return &medlarrecord.Outcome{Claim: g.ID[:], Key: g.Request.Key[:], State: s}
}

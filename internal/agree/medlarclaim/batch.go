package medlarclaim

import (
	"context"
	"time"

	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
)

// Parameters of batched appends.
const (
	maxResponse        = 2 << 10 // bytes of a response body stored with its outcome
	maxBatch           = 512     // claims, and outcomes, in one append
	maxPendingOutcomes = 1 << 14 // outcomes queued while the log is unavailable
	batchDelayRatio    = 0.25    // batching delay as a fraction of the append latency, so that batches grow when the log is slow
	maxBatchDelay      = 20 * time.Millisecond
	retryDelay         = 50 * time.Millisecond
	latencySmoothing   = 0.2 // weight of a new sample in the moving average of the append latency
)

// Run appends queued claims and outcomes in batches until ctx is done (R7). It
// then makes one last attempt to append what is left.
func (c *Claimer) Run(ctx context.Context) {
	var latency time.Duration
	for {
		select {
		case <-ctx.Done():
			c.flush()
			return
		case <-c.wake:
		}
		medlarpause.For(ctx, min(time.Duration(batchDelayRatio*float64(latency)), maxBatchDelay))
		start := time.Now()
		if !c.flush() {
			medlarpause.For(ctx, retryDelay)
			c.signal()
			continue
		}
		latency += time.Duration(latencySmoothing * float64(time.Since(start)-latency))
	}
}

// signal wakes Run without blocking.
func (c *Claimer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// flush appends one batch and reports whether that succeeded. After a failure
// the batch is queued again; a duplicate append has no effect (R4).
func (c *Claimer) flush() bool {
	claims, outcomes, base := c.takeBatch()
	if len(claims)+len(outcomes) == 0 {
		return true
	}
	records, err := c.encodeBatch(claims, outcomes, base)
	if err == nil {
		_, err = c.appendRecords(records...)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Appends++
	if err == nil {
		if len(c.claims)+len(c.outcomes) > 0 {
			c.signal()
		}
		return true
	}
	c.stats.Failures++
	c.claims = append(c.filterPending(claims), c.claims...)
	c.outcomes = append(outcomes, c.outcomes...)
	if excess := len(c.outcomes) - maxPendingOutcomes; excess > 0 {
		c.outcomes = c.outcomes[excess:]
	}
	return false
}

// takeBatch removes one batch from the queues.
func (c *Claimer) takeBatch() ([]*medlarrecord.Claim, []*medlarrecord.Outcome, medlarid.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claims = c.filterPending(c.claims)
	nc, no := min(len(c.claims), maxBatch), min(len(c.outcomes), maxBatch)
	claims, outcomes := c.claims[:nc:nc], c.outcomes[:no:no]
	c.claims, c.outcomes = c.claims[nc:], c.outcomes[no:]
	return claims, outcomes, c.table.Next()
}

// filterPending returns the claims that are neither decided nor abandoned. The
// caller holds the lock.
func (c *Claimer) filterPending(claims []*medlarrecord.Claim) []*medlarrecord.Claim {
	var out []*medlarrecord.Claim
	for _, claim := range claims {
		id, _ := medlarid.ParseRecordID(claim.GetId())
		if c.pending[id] != nil {
			out = append(out, claim)
		}
	}
	return out
}

func (c *Claimer) encodeBatch(claims []*medlarrecord.Claim, outcomes []*medlarrecord.Outcome, base medlarid.Offset) ([][]byte, error) {
	var out [][]byte
	if len(outcomes) > 0 {
		r := &medlarrecord.Record{Body: &medlarrecord.Record_Outcomes{Outcomes: &medlarrecord.Outcomes{Outcomes: outcomes}}}
		b, err := medlarrecord.Encode(r, medlarid.NewRecordID(), c.author)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	if len(claims) > 0 {
		body := &medlarrecord.Claims{Base: uint64(base), Claims: claims}
		r := &medlarrecord.Record{Body: &medlarrecord.Record_Claims{Claims: body}}
		b, err := medlarrecord.Encode(r, medlarid.NewRecordID(), c.author)
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

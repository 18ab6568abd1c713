package medlarslope

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/agree/medlarclaim"
	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/agree/medlarstate"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarfakelog"
	"medlarfield/internal/stand/medlarmeasure"
	"medlarfield/internal/upstream/medlarlog"
)

// Parameters of the measurements of claims.
const (
	logRate   = 300 // appends per second that the log accepts
	claimTime = 2 * time.Second
)

func agreeMeasures() []measure {
	accounts := []int{100, 1000, 6000, plannedAccounts}
	claims := []int{1000, 10000, 50000, 100000}
	callers := []int{1, 16, 128, 512}
	return []measure{
		{"lists", "bytes of the lists in memory", "accounts", accounts, listBytes},
		{"lists", "µs to apply a change of one account", "accounts", accounts, applyTime},
		{"lists", "bytes of the record of a change of one account", "accounts", accounts, changeBytes},
		{"lists", "bytes of a snapshot", "accounts", accounts, snapshotBytes},
		{"lists", "ms for a cold reader to be ready", "accounts", accounts, coldTime},
		{"claims", "bytes of the table", "valid claims", claims, claimBytes},
		{"claims", "µs to apply a claim", "valid claims", claims, claimApplyTime},
		{"claims", "claims per second, grouped, on a log of 300 appends/s", "concurrent callers", callers, func(n int) (float64, error) {
			rate, _, err := claimRate(n, false)
			return rate, err
		}},
		{"claims", "p95 ms of a claim, grouped", "concurrent callers", callers, func(n int) (float64, error) {
			_, p95, err := claimRate(n, false)
			return p95, err
		}},
		{"claims", "claims per second, one append each", "concurrent callers", callers, func(n int) (float64, error) {
			rate, _, err := claimRate(n, true)
			return rate, err
		}},
	}
}

// newLists returns lists with n accounts on 100 plans.
func newLists(n int) (*medlarlist.Lists, error) {
	var c medlarlist.Change
	put := func(t medlarrecord.Table, name, value string) {
		c.Put = append(c.Put, medlarlist.Entry{Name: medlarlist.EntryName{Table: t, Name: name}, Value: []byte(value)})
	}
	for i := range models {
		put(medlarrecord.Table_TABLE_MODEL, string(modelName(i)), `{"version":"v1"}`)
	}
	for i := range 100 {
		put(medlarrecord.Table_TABLE_PLAN, fmt.Sprintf("plan-%d", i), fmt.Sprintf(`{"models":["model-%d"],"rate":10,"runs":8}`, i%models))
	}
	for i := range n {
		put(medlarrecord.Table_TABLE_ACCOUNT, fmt.Sprintf("account-%d", i), fmt.Sprintf(`{"plan":"plan-%d","keys":["%064x"]}`, i%100, i))
	}
	return medlarlist.New().Apply(c)
}

// accountChange returns a change that moves one account to another plan.
func accountChange(i int) medlarlist.Change {
	return medlarlist.Change{Put: []medlarlist.Entry{{
		Name:  medlarlist.EntryName{Table: medlarrecord.Table_TABLE_ACCOUNT, Name: "account-1"},
		Value: fmt.Appendf(nil, `{"plan":"plan-%d","keys":["%064x"]}`, i%100, 1),
	}}}
}

func listBytes(n int) (float64, error) {
	var err error
	bytes := medlarmeasure.Retained(func() any {
		var l *medlarlist.Lists
		l, err = newLists(n)
		return l
	})
	return bytes, err
}

func applyTime(n int) (float64, error) {
	l, err := newLists(n)
	if err != nil {
		return 0, err
	}
	return medlarmeasure.Micros(medlarmeasure.SecondsPerCall(50, func(i int) {
		if next, applyErr := l.Apply(accountChange(i + 2)); applyErr == nil {
			l = next
		} else {
			err = applyErr
		}
	})), err
}

// publicationOf returns the encoded record that publishes a change to the lists.
func publicationOf(base medlarid.Offset, l *medlarlist.Lists, c medlarlist.Change) ([]byte, error) {
	next, err := l.Apply(c)
	if err != nil {
		return nil, err
	}
	p := &medlarrecord.Publication{Base: uint64(base), User: "operator", Note: "measurement", Digest: next.Digest.Bytes()}
	for _, e := range c.Put {
		p.Put = append(p.Put, medlarstate.EntryRecord(e))
	}
	r := &medlarrecord.Record{Body: &medlarrecord.Record_Publication{Publication: p}}
	return medlarrecord.Encode(r, medlarid.NewRecordID(), "measurement")
}

func changeBytes(n int) (float64, error) {
	l, err := newLists(n)
	if err != nil {
		return 0, err
	}
	b, err := publicationOf(1, l, accountChange(2))
	return float64(len(b)), err
}

// snapshotRecords returns the encoded records of a snapshot of lists with n accounts.
func snapshotRecords(n int) ([][]byte, error) {
	l, err := newLists(n)
	if err != nil {
		return nil, err
	}
	v := &medlarstate.View{Lists: l, Version: 1, Ready: true}
	records, err := v.Snapshot()
	if err != nil {
		return nil, err
	}
	var out [][]byte
	for _, r := range records {
		b, err := medlarrecord.Encode(r, medlarid.NewRecordID(), "measurement")
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

func snapshotBytes(n int) (float64, error) {
	records, err := snapshotRecords(n)
	total := 0
	for _, r := range records {
		total += len(r)
	}
	return float64(total), err
}

// coldTime returns the milliseconds that a cold reader takes to apply a snapshot and
// become ready.
func coldTime(n int) (float64, error) {
	records, err := snapshotRecords(n)
	if err != nil {
		return 0, err
	}
	s := medlarstate.New()
	begin := time.Now()
	s.Restart(2)
	for i, r := range records {
		if err := s.Apply(medlarlog.Entry{Offset: medlarid.Offset(i + 2), Data: r}); err != nil {
			return 0, err
		}
	}
	if !s.View().Ready {
		return 0, eris.New("the reader is not ready after the snapshot")
	}
	return time.Since(begin).Seconds() * 1e3, nil
}

var bounds = medlarclaim.Bounds{Validity: 15 * time.Minute, Skew: time.Minute}

// claimEntries returns log entries with n claims, 50 in each record.
func claimEntries(n int) ([]medlarlog.Entry, error) {
	var out []medlarlog.Entry
	now := time.Now()
	for len(out)*50 < n {
		var group []*medlarrecord.Claim
		for i := range 50 {
			r, err := medlarclaim.NewRequest("account", fmt.Sprintf("%d-%d-%d", now.Unix(), len(out), i), []byte("body"))
			if err != nil {
				return nil, err
			}
			id := medlarid.NewRecordID()
			group = append(group, &medlarrecord.Claim{Id: id[:], Key: r.Key[:], Body: r.BodyDigest[:], Issued: now.UnixMilli()})
		}
		offset := medlarid.Offset(len(out) + 1)
		body := &medlarrecord.Claims{Base: uint64(offset), Claims: group}
		b, err := medlarrecord.Encode(&medlarrecord.Record{Body: &medlarrecord.Record_Claims{Claims: body}}, medlarid.NewRecordID(), "measurement")
		if err != nil {
			return nil, err
		}
		out = append(out, medlarlog.Entry{Offset: offset, UnixMillis: now.UnixMilli(), Data: b})
	}
	return out, nil
}

func claimBytes(n int) (float64, error) {
	entries, err := claimEntries(n)
	if err != nil {
		return 0, err
	}
	bytes := medlarmeasure.Retained(func() any {
		t := medlarclaim.NewTable(bounds)
		for _, e := range entries {
			t.Apply(e)
		}
		if t.Len() != n {
			err = eris.Errorf("the claim table holds %d claims, want %d", t.Len(), n)
		}
		return t
	})
	return bytes, err
}

func claimApplyTime(n int) (float64, error) {
	entries, err := claimEntries(n)
	if err != nil {
		return 0, err
	}
	t := medlarclaim.NewTable(bounds)
	begin := time.Now()
	for _, e := range entries {
		t.Apply(e)
	}
	return medlarmeasure.Micros(time.Since(begin).Seconds() / float64(n)), nil
}

// claimRate returns the claims per second and the 95th percentile of their latency in
// milliseconds, with a number of callers that claim at one instance as fast as they
// can. With single, each caller has a claimer of its own, so that each claim is an
// append of its own.
func claimRate(callers int, single bool) (perSecond, p95 float64, err error) {
	log := medlarfakelog.New(medlarfakelog.Settings{AppendRate: logRate})
	ctx, cancel := context.WithTimeout(context.Background(), claimTime)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var took []time.Duration
	var failed atomic.Int64
	claimers := 1
	if single {
		claimers = callers
	}
	for d := range claimers {
		claimer := newClaimer(ctx, log, fmt.Sprintf("claimer-%d", d))
		for c := range callers / claimers {
			wg.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					d, ok := claimOnce(ctx, claimer, fmt.Sprintf("%p-%d-%d", claimer, c, i))
					if !ok {
						failed.Add(1)
						continue
					}
					mu.Lock()
					took = append(took, d)
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	if len(took) == 0 {
		return 0, 0, eris.Errorf("no claim was granted; %d claims failed", failed.Load())
	}
	slices.Sort(took)
	return float64(len(took)) / claimTime.Seconds(), took[len(took)*95/100].Seconds() * 1e3, nil
}

func claimOnce(ctx context.Context, claimer *medlarclaim.Claimer, name string) (time.Duration, bool) {
	r, err := medlarclaim.NewRequest("account", fmt.Sprintf("%d-%s", time.Now().Unix(), name), []byte("body"))
	if err != nil {
		return 0, false
	}
	begin := time.Now()
	_, err = claimer.Claim(ctx, r)
	return time.Since(begin), err == nil
}

// newClaimer returns a claimer that appends claims to a log and applies its entries
// until ctx is done.
func newClaimer(ctx context.Context, log *medlarfakelog.Log, name string) *medlarclaim.Claimer {
	add := func(records ...[]byte) (medlarid.Offset, error) {
		return log.Append(medlarrecord.StreamClaims, records...), nil
	}
	claimer := medlarclaim.New(name, bounds, add, func() bool { return true })
	go claimer.Run(ctx)
	go func() {
		for from := medlarid.Offset(1); ctx.Err() == nil; {
			for _, e := range log.Read(medlarrecord.StreamClaims, from, 512, 100*time.Millisecond).Records {
				claimer.Apply(e)
				from = e.Offset + 1
			}
		}
	}()
	return claimer
}

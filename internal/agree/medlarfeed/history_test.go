package medlarfeed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarfield/internal/base/medlarid"
)

// Parameters of the generated histories.
const (
	historySteps   = 40
	historyKeys    = 6
	historyPage    = 2 // records
	historyDelay   = 2 * time.Second
	historyRewrite = 1500 * time.Millisecond // longest time after an outage until an expired key is written again
	historyExpiry  = time.Second             // shortest outage in which keys expire
	historySettle  = 8 * time.Second
	historySeeds   = 10000
)

// topicHistory is a topic that changes, fails and truncates its history, together
// with the changes that a feed delivered from it. All times are those of the synctest
// bubble.
type topicHistory struct {
	mu            sync.Mutex
	topic         fakeTopic
	rnd           *rand.Rand
	outageStart   time.Time       // start of the current outage
	expired       map[string]bool // keys that expired in an outage and will be written again
	rewinds       bool            // the store comes back from copies
	hideEra       bool            // mutation: responses do not name the era
	skipTruncated bool            // mutation: truncated records are skipped without notice
	delivered     map[string]Record
	highest       map[string]medlarid.Offset // highest delivered offset of each key
	initialized   bool
	violations    []string
}

func (h *topicHistory) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// newest returns a page of the latest records; the topic may change between pages.
func (h *topicHistory) newest(ctx context.Context, after string) (Page, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, err := h.topic.newest(ctx, "")
	if err != nil {
		return p, err
	}
	if h.hideEra {
		p.Era = 0
	}
	p.Records = slices.DeleteFunc(p.Records, func(r Record) bool { return r.Key <= after })
	slices.SortFunc(p.Records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Records) > historyPage {
		p.Records, p.More = p.Records[:historyPage], true
	}
	return p, nil
}

func (h *topicHistory) read(ctx context.Context, from medlarid.Offset, _ ReadOptions) (Batch, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.skipTruncated {
		from = max(from, h.topic.first)
	}
	b, err := h.topic.read(ctx, from)
	if h.hideEra {
		b.Era = 0
	}
	return b, err
}

// beginEra forgets the offsets of the era before.
func (h *topicHistory) beginEra(medlarid.Era) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.highest)
}

// rewind makes the store come back from a copy. Owners write keys that are lost by that again.
func (h *topicHistory) rewind() {
	var existing []string
	for i := range historyKeys {
		if key := fmt.Sprint("key-", i); h.exists(key) {
			existing = append(existing, key)
		}
	}
	rewind(1 + h.rnd.IntN(6))(&h.topic)
	for _, key := range existing {
		if !h.exists(key) {
			h.expired[key] = true
			time.AfterFunc(time.Duration(h.rnd.Int64N(int64(historyRewrite))), func() { h.rewrite(key) })
		}
	}
}

// apply records and checks the changes that the feed delivers.
func (h *topicHistory) apply(records []Record, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if first == h.initialized {
		h.addViolation("a delivery has first = %v; deliveries before it: %v", first, h.initialized)
	}
	h.initialized = true
	for _, r := range records {
		if r.Removed {
			if h.expired[r.Key] {
				h.addViolation("%s was removed, but only expired in an outage", r.Key)
			}
			delete(h.delivered, r.Key)
			continue
		}
		if at, ok := h.highest[r.Key]; ok && r.Offset <= at {
			h.addViolation("%s was delivered at offset %d after offset %d", r.Key, r.Offset, at)
		}
		h.highest[r.Key], h.delivered[r.Key] = r.Offset, r
	}
}

// step performs one random event of the topic.
func (h *topicHistory) step() {
	key := fmt.Sprint("key-", h.rnd.IntN(historyKeys))
	if h.rewinds && h.rnd.IntN(6) == 0 {
		h.rewind()
		return
	}
	switch h.rnd.IntN(8) {
	case 0, 1, 2:
		if !h.topic.down {
			h.topic.put(key, fmt.Sprint("value-", len(h.topic.records)))
		}
	case 3:
		if !h.topic.down {
			h.topic.put(key, "")
		}
	case 4:
		h.topic.first = medlarid.Offset(len(h.topic.records))
	default:
		h.toggleOutage()
	}
}

// toggleOutage begins or ends an outage. In an outage of at least historyExpiry some
// keys expire; their owners write them again soon after it.
func (h *topicHistory) toggleOutage() {
	h.topic.down = !h.topic.down
	if h.topic.down {
		h.outageStart = time.Now()
		return
	}
	for i := range historyKeys {
		key := fmt.Sprint("key-", i)
		if time.Since(h.outageStart) >= historyExpiry && h.rnd.IntN(3) == 0 && h.exists(key) {
			h.topic.put(key, "")
			h.expired[key] = true
		}
		if h.expired[key] {
			time.AfterFunc(time.Duration(h.rnd.Int64N(int64(historyRewrite))), func() { h.rewrite(key) })
		}
	}
}

// exists reports whether a key's latest record has a value.
func (h *topicHistory) exists(key string) bool {
	for _, r := range slices.Backward(h.topic.records) {
		if r.Key == key {
			return !r.Removed
		}
	}
	return false
}

// rewrite writes an expired key again, unless the next outage has begun.
func (h *topicHistory) rewrite(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.topic.down || !h.expired[key] {
		return
	}
	h.topic.put(key, "rewritten")
	delete(h.expired, key)
}

// settle ends the current outage, if any.
func (h *topicHistory) settle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.topic.down {
		h.toggleOutage()
	}
}

// compare checks that the delivered state equals the state of the topic.
func (h *topicHistory) compare() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range historyKeys {
		key := fmt.Sprint("key-", i)
		_, delivered := h.delivered[key]
		if exists := h.exists(key); delivered != exists {
			h.addViolation("%s: exists is %v after the deliveries, %v in the topic", key, delivered, exists)
		} else if exists && h.delivered[key].Offset != h.highest[key] {
			h.addViolation("%s has an older value than one delivered before", key)
		}
	}
}

// historyOptions are the options of a history.
type historyOptions struct {
	removalDelay                    time.Duration
	rewinds, hideEra, skipTruncated bool
}

// runHistory runs one history and returns the violations that it found.
func runHistory(t *testing.T, seed uint64, o historyOptions) []string {
	t.Helper()
	h := &topicHistory{
		rnd: rand.New(rand.NewPCG(seed, seed)), skipTruncated: o.skipTruncated, rewinds: o.rewinds, hideEra: o.hideEra,
		expired: map[string]bool{}, delivered: map[string]Record{}, highest: map[string]medlarid.Offset{},
	}
	synctest.Test(t, func(t *testing.T) {
		feed := New(Deps{
			ReadLatest: h.newest, ReadFrom: h.read, Apply: h.apply, OnCurrent: func(Progress) {}, OnUnavailable: func(error) {}, OnRecovered: func(time.Duration) {}, OnEra: h.beginEra,
		}, Options{PollInterval: fixed(100 * time.Millisecond), RemovalDelay: o.removalDelay, MinOutage: historyExpiry})
		ctx, cancel := context.WithCancel(t.Context())
		go feed.Run(ctx)
		for range historySteps {
			time.Sleep(time.Duration(h.rnd.IntN(600)) * time.Millisecond)
			h.mu.Lock()
			h.step()
			h.mu.Unlock()
		}
		h.settle()
		time.Sleep(historySettle)
		h.compare()
		cancel()
		synctest.Wait()
	})
	return h.violations
}

// TestRandomHistories runs topics that change, fail and truncate their history, and whose keys
// expire in outages. No key is delivered with an older offset than before, no key that
// only expired in an outage is removed, and the final delivered state is that of the topic.
func TestRandomHistories(t *testing.T) {
	seeds := uint64(historySeeds)
	if testing.Short() { // the run under the race detector
		seeds /= 10
	}
	for seed := range seeds {
		if violations := runHistory(t, seed, historyOptions{removalDelay: historyDelay + historyRewrite}); len(violations) > 0 {
			t.Fatalf("seed %d: %v", seed, violations)
		}
	}
}

// TestRandomHistoriesWithRewinds runs such topics whose store also comes back from copies.
func TestRandomHistoriesWithRewinds(t *testing.T) {
	seeds := uint64(historySeeds)
	if testing.Short() { // the run under the race detector
		seeds /= 10
	}
	for seed := range seeds {
		if violations := runHistory(t, seed, historyOptions{removalDelay: historyDelay + historyRewrite, rewinds: true}); len(violations) > 0 {
			t.Fatalf("seed %d: %v", seed, violations)
		}
	}
}

// TestHistoriesDetectMutants checks that the histories fail when one of the safeguards is
// disabled.
func TestHistoriesDetectMutants(t *testing.T) {
	for _, tc := range []struct {
		name    string
		options historyOptions
	}{
		{"removals are not delayed", historyOptions{}},
		{"truncated records are skipped", historyOptions{removalDelay: historyDelay + historyRewrite, skipTruncated: true}},
		{"eras are not noticed", historyOptions{removalDelay: historyDelay + historyRewrite, rewinds: true, hideEra: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(200) {
				if len(runHistory(t, seed, tc.options)) > 0 {
					return
				}
			}
			t.Error("no history fails with the safeguard disabled")
		})
	}
}

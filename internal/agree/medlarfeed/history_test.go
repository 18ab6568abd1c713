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

// Sizes of a history.
const (
	historySteps = 40
	historyKeys  = 6
	historyPage  = 2 // records
	historyHold  = 2 * time.Second
	historyBack  = 1500 * time.Millisecond // in which entries that lapsed come back
	historyLapse = time.Second             // of an outage, after which entries lapse
	historyCalm  = 8 * time.Second
	historySeeds = 10000
)

// topicHistory is a topic that changes, fails and drops its history, and what a feed
// told of it. All times are those of the test's bubble.
type topicHistory struct {
	mu      sync.Mutex
	topic   fakeTopic
	rnd     *rand.Rand
	since   time.Time       // of the outage
	lapsed  map[string]bool // keys that come back after the outage
	blind   bool            // mutant: dropped records are passed over
	told    map[string]Record
	highest map[string]medlarid.Offset // of each key's values that were told
	begun   bool
	faults  []string
}

func (h *topicHistory) fail(format string, args ...any) {
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

// newest returns a page of the newest records; the topic may change between two.
func (h *topicHistory) newest(ctx context.Context, after string) (Page, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, err := h.topic.newest(ctx, "")
	if err != nil {
		return p, err
	}
	p.Records = slices.DeleteFunc(p.Records, func(r Record) bool { return r.Key <= after })
	slices.SortFunc(p.Records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Records) > historyPage {
		p.Records, p.More = p.Records[:historyPage], true
	}
	return p, nil
}

func (h *topicHistory) read(ctx context.Context, from medlarid.Offset) (Batch, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.blind {
		from = max(from, h.topic.first)
	}
	return h.topic.read(ctx, from)
}

// apply takes over what the feed tells, and checks it.
func (h *topicHistory) apply(records []Record, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if first == h.begun {
		h.fail("told as the first: %v, after another: %v", first, h.begun)
	}
	h.begun = true
	for _, r := range records {
		if r.Removed {
			if h.lapsed[r.Key] {
				h.fail("%s is told as removed, and only lapsed in an outage", r.Key)
			}
			delete(h.told, r.Key)
			continue
		}
		if at, ok := h.highest[r.Key]; ok && r.Offset <= at {
			h.fail("%s is told at %d after %d", r.Key, r.Offset, at)
		}
		h.highest[r.Key], h.told[r.Key] = r.Offset, r
	}
}

// step is one event of the topic.
func (h *topicHistory) step() {
	key := fmt.Sprint("key-", h.rnd.IntN(historyKeys))
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
		h.turn()
	}
}

// turn begins or ends an outage. Entries lapse in one that lasts, and their owners write
// them again soon after it.
func (h *topicHistory) turn() {
	h.topic.down = !h.topic.down
	if h.topic.down {
		h.since = time.Now()
		return
	}
	for i := range historyKeys {
		key := fmt.Sprint("key-", i)
		if time.Since(h.since) >= historyLapse && h.rnd.IntN(3) == 0 && h.alive(key) {
			h.topic.put(key, "")
			h.lapsed[key] = true
		}
		if h.lapsed[key] {
			time.AfterFunc(time.Duration(h.rnd.Int64N(int64(historyBack))), func() { h.back(key) })
		}
	}
}

// alive reports whether a key's newest record has a value.
func (h *topicHistory) alive(key string) bool {
	for _, r := range slices.Backward(h.topic.records) {
		if r.Key == key {
			return !r.Removed
		}
	}
	return false
}

// back writes a lapsed entry again, unless the next outage has begun.
func (h *topicHistory) back(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.topic.down || !h.lapsed[key] {
		return
	}
	h.topic.put(key, "back")
	delete(h.lapsed, key)
}

// settle ends all outages.
func (h *topicHistory) settle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.topic.down {
		h.turn()
	}
}

// compare checks that what was told is what the topic holds.
func (h *topicHistory) compare() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range historyKeys {
		key := fmt.Sprint("key-", i)
		_, told := h.told[key]
		if alive := h.alive(key); told != alive {
			h.fail("%s: told %v, in the topic %v", key, told, alive)
		} else if alive && h.told[key].Offset != h.highest[key] {
			h.fail("%s went back", key)
		}
	}
}

// playHistory plays one history and returns what was broken.
func playHistory(t *testing.T, seed uint64, hold time.Duration, blind bool) []string {
	t.Helper()
	h := &topicHistory{
		rnd: rand.New(rand.NewPCG(seed, seed)), blind: blind,
		lapsed: map[string]bool{}, told: map[string]Record{}, highest: map[string]medlarid.Offset{},
	}
	synctest.Test(t, func(t *testing.T) {
		feed := New(Callbacks{
			ReadLatest: h.newest, ReadFrom: h.read, Apply: h.apply, OnUnavailable: func(error) {}, OnRecovered: func(time.Duration) {},
		}, Options{PollInterval: 100 * time.Millisecond, RemovalDelay: hold})
		ctx, cancel := context.WithCancel(t.Context())
		go feed.Run(ctx)
		for range historySteps {
			time.Sleep(time.Duration(h.rnd.IntN(600)) * time.Millisecond)
			h.mu.Lock()
			h.step()
			h.mu.Unlock()
		}
		h.settle()
		time.Sleep(historyCalm)
		h.compare()
		cancel()
		synctest.Wait()
	})
	return h.faults
}

// TestHistories plays topics that change, fail, drop their history, and whose entries
// lapse in outages. A key is never told to go back, an entry that only lapsed is never
// told as removed, and in the end what was told is what the topic holds.
func TestHistories(t *testing.T) {
	seeds := uint64(historySeeds)
	if testing.Short() { // the run under the race detector
		seeds /= 10
	}
	for seed := range seeds {
		if faults := playHistory(t, seed, historyHold+historyBack, false); len(faults) > 0 {
			t.Fatalf("seed %d: %v", seed, faults)
		}
	}
}

// TestHistoriesDetectMutants asserts that histories show the loss of each guard.
func TestHistoriesDetectMutants(t *testing.T) {
	for _, tc := range []struct {
		name  string
		hold  time.Duration
		blind bool
	}{{"removals are held around an outage", 0, false}, {"dropped records are noticed", historyHold + historyBack, true}} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(200) {
				if len(playHistory(t, seed, tc.hold, tc.blind)) > 0 {
					return
				}
			}
			t.Error("no history shows that the guard matters")
		})
	}
}

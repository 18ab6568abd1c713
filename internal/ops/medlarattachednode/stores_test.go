package medlarattachednode_test

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/stand/medlarsite"
)

// kvStore is a store of kept context that answers calls for its contents and changes, and lets 12 calls wait.
type kvStore struct {
	mu      sync.Mutex
	began   time.Time
	events  []string // ids of parts that were added
	changed chan struct{}
	waiting int
	calls   int
	refused int
}

func startKVStore(t *testing.T) (s *kvStore, address string) {
	t.Helper()
	s = &kvStore{began: time.Now(), changed: make(chan struct{})}
	h, err := medlarhost.New("kv", "127.0.0.1:0", medlarfault.New(), s.handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return s, string(h.Address)
}

func (s *kvStore) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	out := map[string]any{"BootEpoch": 1}
	if strings.HasSuffix(string(ctx.Path()), "kv-list") {
		held := []any{}
		for _, id := range s.events {
			held = append(held, []any{"v1", id, 100, medlarsite.Model})
		}
		out["Held"] = held
	} else {
		if s.waiting == 12 {
			s.refused++
			ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
			return
		}
		since, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("Since")))
		wait, _ := strconv.Atoi(string(ctx.Request.Header.Peek("Wait-Ms")))
		s.waiting++
		if since == len(s.events) {
			changed := s.changed
			s.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			}
			s.mu.Lock()
		}
		s.waiting--
		events := []any{}
		for i, id := range s.events[min(since, len(s.events)):] {
			events = append(events, []any{since + i, "+", "v1", id, 100, medlarsite.Model})
		}
		out["Events"] = events
	}
	out["Next"] = len(s.events)
	out["clock_ms"] = float64(time.Since(s.began).Microseconds())/1000 + 1
	b, _ := json.Marshal(out)
	ctx.SetBody(b)
}

// add adds a part.
func (s *kvStore) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, id)
	close(s.changed)
	s.changed = make(chan struct{})
}

// reset returns the number of calls and of those refused since the last time.
func (s *kvStore) reset() (calls, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, refused = s.calls, s.refused
	s.calls, s.refused = 0, 0
	return calls, refused
}

// TestCallsToKVStores guards against stores that all instances of a large fleet call, and against instances that do not know
// what others read. Up to 12 instances read each store themselves.
func TestCallsToKVStores(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 28 instances and measures for 16 s")
	}
	const (
		settling = 8 * time.Second // stores count as contended for 5 s
		measured = 8 * time.Second
	)
	for _, tc := range []struct{ instances, readers int }{{12, 12}, {16, 2}} {
		t.Run(fmt.Sprint(tc.instances), func(t *testing.T) {
			s, address := startKVStore(t)
			f := startFleet(t, tc.instances, func(c *medlarsite.Settings) { c.Engines, c.Plain = 1, 1 })
			err := f.site.Change(func(c *medlarsite.Config) {
				c.Services = append(c.Services, medlarsite.Service{Name: "kv", KVStore: &medlarsite.KVStore{
					KvStoreAddr: address, Zone: "a", KvCapacity: 1e6, MaxInflight: 12, Managed: true, LinkMbps: 100,
				}})
			})
			if err != nil {
				t.Fatal(err)
			}
			f.awaitAcquaintance()
			time.Sleep(settling)
			s.reset()
			for i := range int(measured / (500 * time.Millisecond)) {
				s.add(fmt.Sprint("part-", i))
				time.Sleep(500 * time.Millisecond)
			}
			calls, refused := s.reset()
			t.Logf("%d instances: %.1f calls a second, %d of %d refused", tc.instances, float64(calls)/measured.Seconds(), refused, calls)
			if most := float64(tc.readers) * 4.5 * measured.Seconds(); float64(calls) > most { // 4 a second at most for each reader
				t.Errorf("%d calls, want %.0f at most", calls, most)
			}
			if refused > 0 {
				t.Errorf("%d calls are refused", refused)
			}
			direct, relayed := 0, 0
			for _, w := range f.members {
				if counter(w.metrics(), `medlar_store_reads_total{source="peer"}`) > 10 {
					relayed++
				}
			}
			first := make([]float64, len(f.members))
			for i, w := range f.members {
				first[i] = counter(w.metrics(), `medlar_store_reads_total{source="store"}`)
			}
			time.Sleep(3 * time.Second)
			for i, w := range f.members {
				if counter(w.metrics(), `medlar_store_reads_total{source="store"}`) > first[i] {
					direct++
				}
			}
			if direct != tc.readers || relayed != tc.instances-tc.readers {
				t.Errorf("%d instances read the store and %d get its contents from others, want %d and %d", direct, relayed, tc.readers, tc.instances-tc.readers)
			}
		})
	}
}

// counter returns the value of a metric in a text; 0 if it is missing.
func counter(text, name string) float64 {
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			v, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			return v
		}
	}
	return 0
}

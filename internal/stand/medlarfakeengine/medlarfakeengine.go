// Package medlarfakeengine implements a fake model engine.
//
// Simulated durations, all divided by Settings.Speed:
//
//	prefill   one prompt at a time, at Prefill tokens per second
//	decode    Decode per token and run, with up to Slots concurrent runs
//	transfer  BlockBytes per block at the rate of the store's link
//	load      LoadTime for each order that changes the model or the version
//
// The output for a prompt is a function of the model, the weight version, the
// prompt and the content of the KV blocks used, so that a foreign, stale or corrupt
// block changes the output.
package medlarfakeengine

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/stand/medlarcache"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarhttp"
)

// Settings holds the sizes and rates of an engine.
type Settings struct {
	Name       string
	Model      medlarid.ModelID
	Version    medlarid.WeightVersion
	Prefill    float64        // prompt tokens per second
	Decode     time.Duration  // per output token
	Slots      int            // concurrent runs
	Queue      int            // maximum number of queued runs
	Blocks     int            // capacity of the prefix cache in blocks
	BlockBytes medlarid.Bytes // size of a block in a transfer
	Speed      float64        // divides all durations
	Lag        time.Duration  // age of the data that /status and /events report
	LoadTime   time.Duration
	Fenced     bool // refuse orders with an outdated fencing number
}

// Defaults returns the settings of a replica of typical size.
func Defaults(name string) Settings {
	return Settings{
		Name:       name,
		Model:      "casework",
		Version:    "v1",
		Prefill:    8000,
		Decode:     20 * time.Millisecond,
		Slots:      16,
		Queue:      64,
		Blocks:     4096,
		BlockBytes: 4 << 20,
		Speed:      1,
		Lag:        200 * time.Millisecond,
		LoadTime:   20 * time.Second,
	}
}

// Engine is a fake replica of a model engine. It is safe for concurrent use.
type Engine struct {
	cfg      Settings
	injector *medlarfault.Injector
	http     *medlarhttp.Client

	mu      sync.Mutex
	version medlarid.WeightVersion
	model   medlarid.ModelID
	loading bool
	leaving bool
	fence   uint64
	epoch   string
	cache   *medlarcache.Cache
	staged  map[string]stagedBlocks
	runs    map[string]*run
	counts  map[medlarid.RequestID]int
	running int
	queued  int
	pending medlarid.Tokens
	totals  Totals
	events  []timedEvent
	reports []timedLoad

	slots   chan struct{}
	prefill *medlarcache.PriorityLock
}

// Totals holds the cumulative counters of an engine.
type Totals struct {
	Runs     int             `json:"runs"`
	Prompt   medlarid.Tokens `json:"prompt"`
	Computed medlarid.Tokens `json:"computed"`
	Imported int             `json:"imported"` // blocks
	Exported int             `json:"exported"` // blocks
	Moved    medlarid.Bytes  `json:"moved"`    // bytes transferred over links
}

// stagedBlocks holds imported blocks until the run with their ticket starts.
type stagedBlocks struct {
	version medlarid.WeightVersion
	blocks  []medlarcache.Block
}

type timedEvent struct {
	at    time.Time
	event medlarengine.CacheEvent
}

type timedLoad struct {
	at   time.Time
	load medlarengine.Load
}

// New returns an engine with an empty cache.
func New(cfg Settings, injector *medlarfault.Injector) *Engine {
	return &Engine{
		cfg:      cfg,
		injector: injector,
		http:     medlarhttp.New(time.Minute),
		version:  cfg.Version,
		model:    cfg.Model,
		epoch:    string(medlarid.NewRequestID()),
		cache:    medlarcache.New(cfg.Blocks),
		staged:   map[string]stagedBlocks{},
		runs:     map[string]*run{},
		counts:   map[medlarid.RequestID]int{},
		slots:    make(chan struct{}, cfg.Slots),
		prefill:  medlarcache.NewPriorityLock(),
	}
}

// Evict empties the prefix cache.
func (e *Engine) Evict() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addEvent(medlarengine.CacheEvent{Evicted: e.cache.Clear()})
}

// Leave makes the engine report that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Totals returns the current counters.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totals
}

// Counts returns the number of runs per request.
func (e *Engine) Counts() map[medlarid.RequestID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[medlarid.RequestID]int, len(e.counts))
	for k, n := range e.counts {
		out[k] = n
	}
	return out
}

// Load returns the engine's current load, without the lag.
func (e *Engine) Load() medlarengine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load()
}

func (e *Engine) load() medlarengine.Load {
	return medlarengine.Load{
		Model:         e.model,
		Version:       e.version,
		Running:       e.running,
		Queued:        e.queued,
		Slots:         e.cfg.Slots,
		PendingTokens: e.pending,
		PrefillRate:   e.cfg.Prefill * e.cfg.Speed,
		BlockBytes:    e.cfg.BlockBytes,
		Leaving:       e.leaving,
		Loading:       e.loading,
	}
}

// laggedLoad returns the newest load report that is at least as old as Settings.Lag,
// or the oldest report if none is.
func (e *Engine) laggedLoad(now time.Time) medlarengine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = append(e.reports, timedLoad{now, e.load()})
	i := 0
	for i+1 < len(e.reports) && now.Sub(e.reports[i+1].at) >= e.cfg.Lag {
		i++
	}
	e.reports = e.reports[i:]
	return e.reports[0].load
}

// addEvent records a cache event. e.mu must be held.
func (e *Engine) addEvent(ev medlarengine.CacheEvent) {
	if len(ev.Stored)+len(ev.Evicted) == 0 || e.injector.Triggered(e.cfg.Name, medlarfault.Gap) {
		return
	}
	e.events = append(e.events, timedEvent{time.Now(), ev})
}

// eventsFrom returns the events from index from that are at least as old as
// Settings.Lag.
func (e *Engine) eventsFrom(from int, now time.Time) medlarengine.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := medlarengine.CacheEvents{Epoch: e.epoch, Next: from}
	for i := from; i < len(e.events) && now.Sub(e.events[i].at) >= e.cfg.Lag; i++ {
		out.Events = append(out.Events, e.events[i].event)
		out.Next = i + 1
	}
	return out
}

// scaled divides a duration by Settings.Speed.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.cfg.Speed)
}

// computedContent returns the content of a correctly computed block.
func computedContent(k medlarkey.Key) uint64 { return xxh3.Hash(k[:]) }

// Package medlarfakeengine is the stand-in of a model engine.
//
// Model of time, all divided by Settings.Speed:
//
//	prefill   one prompt at a time, Prefill tokens a second
//	decode    Decode for each token and run, up to Slots runs at the same time
//	transfer  BlockBytes for each block at the rate of the store's link
//	load      LoadTime for each order that changes model or version
//
// The answer to a prompt is a function of model, weight version, prompt and the
// content of the KV blocks that were used, so a foreign, stale or corrupt block
// shows as another answer.
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

// Settings are the sizes and rates of an engine.
type Settings struct {
	Name       string
	Model      medlarid.ModelID
	Version    medlarid.WeightVersion
	Prefill    float64        // prompt tokens a second
	Decode     time.Duration  // for each token
	Slots      int            // runs at the same time
	Queue      int            // runs that may wait
	Blocks     int            // blocks of the prefix cache
	BlockBytes medlarid.Bytes // size of a block on a link
	Speed      float64        // divides all times
	Lag        time.Duration  // age of what /status and /events tell
	LoadTime   time.Duration
	Fenced     bool // refuses orders with an old fencing number
}

// Defaults returns the settings of a replica of ordinary size.
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

// Engine is the state of one replica. It is safe for concurrent use.
type Engine struct {
	cfg   Settings
	board *medlarfault.Injector
	http  *medlarhttp.Client

	mu      sync.Mutex
	version medlarid.WeightVersion
	model   medlarid.ModelID
	loading bool
	leaving bool
	fence   uint64
	epoch   string
	cache   *medlarcache.Cache
	staged  map[string]staged
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

// Totals count an engine's work.
type Totals struct {
	Runs     int             `json:"runs"`
	Prompt   medlarid.Tokens `json:"prompt"`
	Computed medlarid.Tokens `json:"computed"`
	Imported int             `json:"imported"` // blocks
	Exported int             `json:"exported"` // blocks
	Moved    medlarid.Bytes  `json:"moved"`    // bytes over links
}

// staged are imported blocks that wait for their run.
type staged struct {
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
func New(cfg Settings, board *medlarfault.Injector) *Engine {
	return &Engine{
		cfg:     cfg,
		board:   board,
		http:    medlarhttp.New(time.Minute),
		version: cfg.Version,
		model:   cfg.Model,
		epoch:   string(medlarid.NewRequestID()),
		cache:   medlarcache.New(cfg.Blocks),
		staged:  map[string]staged{},
		runs:    map[string]*run{},
		counts:  map[medlarid.RequestID]int{},
		slots:   make(chan struct{}, cfg.Slots),
		prefill: medlarcache.NewPriorityLock(),
	}
}

// Evict empties the prefix cache.
func (e *Engine) Evict() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addEvent(medlarengine.CacheEvent{Evicted: e.cache.Clear()})
}

// Leave makes the engine report that it leaves.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Totals returns the counts so far.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totals
}

// Counts returns how often each request was run.
func (e *Engine) Counts() map[medlarid.RequestID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[medlarid.RequestID]int, len(e.counts))
	for k, n := range e.counts {
		out[k] = n
	}
	return out
}

// Load returns the engine's state without lag.
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

// lagged returns the newest report that is at least as old as the lag.
func (e *Engine) lagged(now time.Time) medlarengine.Load {
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

// addEvent notes a cache event; the lock is held.
func (e *Engine) addEvent(ev medlarengine.CacheEvent) {
	if len(ev.Stored)+len(ev.Evicted) == 0 || e.board.Triggered(e.cfg.Name, medlarfault.Gap) {
		return
	}
	e.events = append(e.events, timedEvent{time.Now(), ev})
}

// eventsFrom returns the events from a number on that are old enough to be told.
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

// scaled divides a time by the speed.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.cfg.Speed)
}

// content returns what a correctly computed block holds.
func content(k medlarkey.Key) uint64 { return xxh3.Hash(k[:]) }

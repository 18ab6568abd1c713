package medlarfakeengine

import (
	"bufio"
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/stand/medlarcache"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/upstream/medlarengine"
)

// run is the execution of one prompt.
type run struct {
	prompt medlarengine.RunRequest
	quit   chan struct{} // closed when the run is canceled
	ended  bool
	seed   uint64 // determines the output text
	cached medlarid.Tokens
	total  medlarid.Tokens
}

// words is the vocabulary of the output text.
var words = [...]string{"the ", "fund ", "pays ", "for ", "each ", "letter ", "read ", "and ", "kept ", "in ", "order ", "by ", "date ", "of ", "entry ", "now "}

// word returns word i of the output text for a seed.
func word(seed uint64, i int) string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], seed)
	binary.BigEndian.PutUint64(b[8:], uint64(i))
	h := xxh3.Hash(b[:])
	return words[h%uint64(len(words))]
}

// admit registers a run, or returns nil and the HTTP status of the refusal.
func (e *Engine) admit(p medlarengine.RunRequest) (*run, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.loading || p.Model != e.model || p.Version != e.version:
		return nil, fasthttp.StatusConflict
	case e.running+e.queued >= e.cfg.Slots+e.cfg.Queue:
		return nil, fasthttp.StatusServiceUnavailable
	}
	r := &run{prompt: p, quit: make(chan struct{}), total: medlarkey.CountTokens(p.Prompt)}
	e.runs[p.RunID] = r
	e.counts[p.RequestID]++
	e.queued++
	e.pending += r.total
	e.totals.Runs++
	return r, fasthttp.StatusOK
}

// cancel cancels a run if it is in progress.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.runs[id]; r != nil && !r.ended {
		r.ended = true
		close(r.quit)
	}
}

// compute waits for a slot, looks up the prompt's blocks in the cache and computes
// the rest. It returns false if the run was canceled. If it returns true, the caller
// must release the slot.
func (e *Engine) compute(r *run) bool {
	select {
	case e.slots <- struct{}{}:
	case <-r.quit:
		e.dequeue(r)
		return false
	}
	if !e.prefill.Acquire(r.prompt.Priority, r.quit) {
		<-e.slots
		e.dequeue(r)
		return false
	}
	cold := e.lookUpPrefix(r)
	ok := sleep(time.Duration(float64(cold)/(e.cfg.Prefill*e.cfg.Speed)*float64(time.Second)), r.quit)
	e.prefill.Release()
	e.cacheComputed(r, cold)
	if !ok {
		e.endRunning()
		<-e.slots
	}
	return ok
}

func (e *Engine) dequeue(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued--
	e.pending -= r.total
}

func (e *Engine) endRunning() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// lookUpPrefix adds the run's staged blocks to the cache, finds the longest cached
// prefix of the prompt and returns the number of tokens to compute. The seed of the
// output text depends on the content of every block.
func (e *Engine) lookUpPrefix(r *run) medlarid.Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued--
	e.running++
	e.cacheStaged(r.prompt.Ticket)
	keys := medlarkey.Chain(saltOf(r.prompt), r.prompt.Prompt)
	h := xxh3.HashString(string(e.model) + "/" + string(e.version) + "/" + r.prompt.Prompt)
	hit := true
	for _, k := range keys {
		b, ok := e.cache.Get(k)
		hit = hit && ok
		if !hit {
			b = medlarcache.Block{Key: k, Content: computedContent(k)}
		} else {
			r.cached += medlarkey.BlockTokens
		}
		h = h*31 + b.Content
	}
	r.seed = h
	return r.total - r.cached
}

// cacheStaged moves the blocks staged under a ticket into the cache. Blocks that
// were staged under another weight version are dropped. e.mu must be held.
func (e *Engine) cacheStaged(ticket string) {
	s, ok := e.staged[ticket]
	if !ok {
		return
	}
	delete(e.staged, ticket)
	if s.version != e.version {
		return
	}
	ev := medlarengine.CacheEvent{}
	for _, b := range s.blocks {
		ev.Evicted = append(ev.Evicted, e.cache.Put(b)...)
		ev.Stored = append(ev.Stored, b.Key)
	}
	e.addEvent(ev)
}

// cacheComputed adds the computed blocks of a run to the cache and counts its tokens.
func (e *Engine) cacheComputed(r *run, computed medlarid.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending -= r.total
	e.totals.Prompt += r.total
	e.totals.Computed += computed
	if r.prompt.Version != e.version {
		return // other weights were loaded since the run was admitted
	}
	ev := medlarengine.CacheEvent{}
	keys := medlarkey.Chain(saltOf(r.prompt), r.prompt.Prompt)
	for _, k := range slices.Backward(keys) { // in reverse, so that the last block is evicted first
		if _, ok := e.cache.Get(k); ok {
			continue
		}
		ev.Evicted = append(ev.Evicted, e.cache.Put(medlarcache.Block{Key: k, Content: computedContent(k)})...)
		ev.Stored = append(ev.Stored, k)
	}
	e.addEvent(ev)
}

func saltOf(p medlarengine.RunRequest) medlarkey.Salt {
	var k medlarkey.Key
	_ = k.UnmarshalText([]byte(p.CacheSalt))
	return medlarkey.Salt(k)
}

// serveRun serves POST /v1/completions.
func (e *Engine) serveRun(ctx *fasthttp.RequestCtx) {
	var p medlarengine.RunRequest
	if err := json.Unmarshal(ctx.PostBody(), &p); err != nil || p.MaxTokens <= 0 {
		ctx.Error("malformed prompt", fasthttp.StatusBadRequest)
		return
	}
	if e.injector.Triggered(e.cfg.Name, medlarfault.Version) {
		ctx.Error("another weight version is loaded", fasthttp.StatusConflict)
		return
	}
	r, status := e.admit(p)
	if r == nil {
		ctx.Error("run was not admitted", status)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { e.streamRun(w, r) })
}

// streamRun computes a run and writes its event stream.
func (e *Engine) streamRun(w *bufio.Writer, r *run) {
	defer e.removeRun(r)
	_ = w.Flush() // send the header before the computation
	if !e.compute(r) {
		return
	}
	defer func() { e.endRunning(); <-e.slots }()
	out := &eventWriter{w: w, e: e, r: r}
	for i := r.prompt.ResumeParts; i < int(r.prompt.MaxTokens); i++ {
		if !sleep(e.scaled(e.cfg.Decode), r.quit) || !out.writeEvent(i) {
			return
		}
	}
	out.close(int(r.prompt.MaxTokens))
}

func (e *Engine) removeRun(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.prompt.RunID] == r {
		delete(e.runs, r.prompt.RunID)
	}
}

// eventWriter writes the events of a run and injects the faults of streams.
type eventWriter struct {
	w    *bufio.Writer
	e    *Engine
	r    *run
	held []byte // event delayed by medlarfault.Shuffle
	buf  []byte
}

// writeEvent writes event i. It returns false if a fault breaks the stream or the
// peer closed the connection.
func (o *eventWriter) writeEvent(i int) bool {
	name := o.e.cfg.Name
	if o.e.injector.Triggered(name, medlarfault.Break) {
		return false
	}
	o.buf = o.appendEvent(o.buf[:0], i)
	if o.held == nil && o.e.injector.Triggered(name, medlarfault.Shuffle) {
		o.held = append([]byte(nil), o.buf...)
		return true
	}
	if o.e.injector.Triggered(name, medlarfault.Skip) {
		return true
	}
	_, _ = o.w.Write(o.buf)
	if o.e.injector.Triggered(name, medlarfault.Repeat) {
		_, _ = o.w.Write(o.buf)
	}
	if o.held != nil {
		_, _ = o.w.Write(o.held)
		o.held = nil
	}
	return o.w.Flush() == nil
}

func (o *eventWriter) appendEvent(b []byte, i int) []byte {
	b = append(b, `data: {"request":"`...)
	b = append(b, o.r.prompt.RequestID...)
	b = append(b, `","version":"`...)
	b = append(b, o.r.prompt.Version...)
	b = append(b, `","seq":`...)
	b = strconv.AppendInt(b, int64(i), 10)
	b = append(b, `,"choices":[{"text":"`...)
	b = append(b, word(o.r.seed, i)...)
	return append(b, "\"}]}\n\n"...)
}

func (o *eventWriter) close(total int) {
	if o.held != nil {
		_, _ = o.w.Write(o.held)
	}
	load := o.e.Load()
	last := medlarengine.Event{
		Load:      &load,
		RequestID: o.r.prompt.RequestID,
		Version:   o.r.prompt.Version,
		Seq:       total,
		Choices:   []medlarengine.EventChoice{{FinishReason: "length"}},
		Usage: &medlarengine.Usage{
			Prompt:     o.r.total,
			Cached:     o.r.cached,
			Completion: medlarid.Tokens(total),
		},
	}
	b, err := json.Marshal(last)
	if err != nil {
		return
	}
	_, _ = o.w.WriteString("data: " + string(b) + "\n\ndata: [DONE]\n\n")
	_ = o.w.Flush()
}

// sleep waits for d. It returns false if quit is closed first.
func sleep(d time.Duration, quit <-chan struct{}) bool {
	if d <= 0 {
		select {
		case <-quit:
			return false
		default:
			return true
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-quit:
		return false
	}
}

package medlarfakeengine

import (
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarcache"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarhttp"
)

// transferTimeout is the timeout for writing one block to a store.
const transferTimeout = 30 * time.Second

// maxTransfers is the maximum number of concurrent block transfers.
const maxTransfers = 16

// Headers that describe a block in a transfer between engine and store.
const (
	HeaderContent    = "X-Block-Content"
	HeaderGeneration = "X-Block-Generation"
	HeaderLength     = "X-Block-Length"
)

type blocksMessage struct {
	Ticket string               `json:"ticket,omitempty"`
	Blocks []medlarengine.Block `json:"blocks"`
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/completions", e.serveRun)
	r.DELETE("/v1/runs/{run}", e.serveCancel)
	r.GET("/status", e.serveStatus)
	r.GET("/events", e.serveEvents)
	r.POST("/kv/export", e.serveExport)
	r.POST("/kv/import", e.serveImport)
	r.DELETE("/kv/staged/{ticket}", e.serveDiscard)
	r.POST("/orders", e.serveOrder)
	return r.Handler
}

func (e *Engine) serveCancel(ctx *fasthttp.RequestCtx) {
	e.cancel(medlarhost.Param(ctx, "run"))
}

func (e *Engine) serveStatus(ctx *fasthttp.RequestCtx) {
	medlarhost.WriteJSON(ctx, e.laggedLoad(time.Now()))
}

func (e *Engine) serveEvents(ctx *fasthttp.RequestCtx) {
	medlarhost.WriteJSON(ctx, e.eventsFrom(ctx.QueryArgs().GetUintOrZero("from"), time.Now()))
}

func (e *Engine) serveDiscard(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.staged, medlarhost.Param(ctx, "ticket"))
}

// serveExport writes cached blocks to store slots and responds with those before the
// first block that could not be written, for example as it is no longer cached.
func (e *Engine) serveExport(ctx *fasthttp.RequestCtx) {
	var req blocksMessage
	if !medlarhost.ReadJSON(ctx, &req) {
		return
	}
	out := blocksMessage{Blocks: e.transferAll(req.Blocks, e.exportBlock)}
	e.mu.Lock()
	e.totals.Exported += len(out.Blocks)
	e.totals.Moved += medlarid.Bytes(len(out.Blocks)) * e.cfg.BlockBytes
	e.mu.Unlock()
	medlarhost.WriteJSON(ctx, out)
}

// transferAll transfers blocks concurrently and returns those before the first
// failed transfer.
func (e *Engine) transferAll(blocks []medlarengine.Block, move func(medlarengine.Block) (medlarengine.Block, error)) []medlarengine.Block {
	done := make([]medlarengine.Block, len(blocks))
	failed := make([]bool, len(blocks))
	var g errgroup.Group
	g.SetLimit(maxTransfers)
	for i, b := range blocks {
		g.Go(func() error {
			var err error
			done[i], err = move(b)
			failed[i] = err != nil
			return nil
		})
	}
	_ = g.Wait()
	for i := range done {
		if failed[i] {
			return done[:i]
		}
	}
	return done
}

// exportBlock writes one cached block to its store slot.
func (e *Engine) exportBlock(b medlarengine.Block) (medlarengine.Block, error) {
	e.mu.Lock()
	c, ok := e.cache.Get(b.Key)
	e.mu.Unlock()
	if !ok {
		return b, eris.New("block is no longer cached")
	}
	b.Length, b.Checksum = e.cfg.BlockBytes, c.Content
	return b, e.writeBlock(b, c)
}

func (e *Engine) writeBlock(b medlarengine.Block, c medlarcache.Block) error {
	a, err := e.http.Do(medlarhttp.Request{
		Method:  "PUT",
		Address: b.Store,
		Path:    slotPath(b),
		Headers: []medlarhttp.Header{
			{Name: HeaderContent, Value: strconv.FormatUint(c.Content, 16)},
			{Name: HeaderLength, Value: strconv.FormatInt(int64(e.cfg.BlockBytes), 10)},
		},
		Timeout: transferTimeout,
	})
	if err == nil && a.Status != fasthttp.StatusOK {
		err = medlarhttp.StatusError(a.Status, a.Body)
	}
	return err
}

func slotPath(b medlarengine.Block) string {
	return "/blocks/" + strconv.FormatUint(b.Slot, 10) + "?generation=" + strconv.FormatUint(b.Generation, 10)
}

// serveImport reads blocks from store slots and stages them under the ticket. The
// response describes the data that was read; the caller compares it with the
// blocks it requested.
func (e *Engine) serveImport(ctx *fasthttp.RequestCtx) {
	var req blocksMessage
	if !medlarhost.ReadJSON(ctx, &req) {
		return
	}
	e.mu.Lock()
	s := stagedBlocks{version: e.version}
	e.mu.Unlock()
	out := blocksMessage{Blocks: e.transferAll(req.Blocks, e.importBlock)}
	for _, b := range out.Blocks {
		s.blocks = append(s.blocks, medlarcache.Block{Key: b.Key, Content: b.Checksum})
	}
	e.mu.Lock()
	e.staged[req.Ticket] = s
	e.totals.Imported += len(out.Blocks)
	e.totals.Moved += medlarid.Bytes(len(out.Blocks)) * e.cfg.BlockBytes
	e.mu.Unlock()
	medlarhost.WriteJSON(ctx, out)
}

// importBlock reads one block from its store slot. The returned generation, length
// and sum are those of the data received.
func (e *Engine) importBlock(b medlarengine.Block) (medlarengine.Block, error) {
	s, err := e.http.Open(medlarhttp.Request{Method: "GET", Address: b.Store, Path: slotPath(b)})
	if err != nil {
		return b, err
	}
	defer s.Close()
	if s.Status != fasthttp.StatusOK {
		return b, medlarhttp.StatusError(s.Status, nil)
	}
	b.Generation, _ = strconv.ParseUint(s.Header(HeaderGeneration), 10, 64)
	length, _ := strconv.ParseInt(s.Header(HeaderLength), 10, 64)
	b.Length = medlarid.Bytes(length)
	b.Checksum, _ = strconv.ParseUint(s.Header(HeaderContent), 16, 64)
	return b, nil
}

// serveOrder starts to load a model or version. The load continues after the
// response.
func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var o medlarengine.Order
	if !medlarhost.ReadJSON(ctx, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fenced && o.FencingToken < e.fence {
		ctx.Error("outdated fencing number", fasthttp.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.FencingToken)
	if e.loading || o.Model == e.model && o.Version == e.version {
		return
	}
	e.loading = true
	time.AfterFunc(e.scaled(e.cfg.LoadTime), func() { e.finishLoad(o) })
}

// finishLoad completes a load and clears the cache, whose blocks were computed with
// the old weights.
func (e *Engine) finishLoad(o medlarengine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	e.model, e.version = o.Model, o.Version
	if e.injector.Triggered(e.cfg.Name, medlarfault.Misload) {
		e.version = "other"
	}
	e.addEvent(medlarengine.CacheEvent{Evicted: e.cache.Clear()})
	clear(e.staged)
}

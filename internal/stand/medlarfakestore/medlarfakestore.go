// Package medlarfakestore implements a fake store instance with a memory tier and
// a disk tier behind a link of limited rate.
//
// A transfer takes the length of the block at the rate of the link, plus its length
// at the rate of the disk if the block is no longer in memory. Transfers run one at
// a time in the order of arrival. All durations are divided by Settings.Speed. The
// data of a block is represented by a number.
package medlarfakestore

import (
	"container/list"
	"strconv"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/stand/medlarfakeengine"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/upstream/medlarstore"
)

// Settings holds the sizes and rates of a store.
type Settings struct {
	Name     string
	Memory   medlarid.Bytes
	Size     medlarid.Bytes // capacity of memory and disk together
	LinkRate float64        // bytes per second
	DiskRate float64        // bytes per second
	Speed    float64        // divides all durations
}

// Defaults returns the settings of a store of typical size.
func Defaults(name string) Settings {
	return Settings{Name: name, Memory: 64 << 30, Size: 512 << 30, LinkRate: 10e9, DiskRate: 2e9, Speed: 1}
}

// slot holds one block. A slot is reserved, filled and committed in that order.
// Reserving a freed slot number again raises its generation.
type slot struct {
	number     uint64
	generation uint64
	key        medlarkey.Key
	length     medlarid.Bytes
	content    uint64
	filled     bool
	committed  bool
	inMemory   bool
	lruElement *list.Element
}

// Store is a fake store instance. It is safe for concurrent use.
type Store struct {
	cfg      Settings
	injector *medlarfault.Injector

	mu          sync.Mutex
	slots       map[uint64]*slot
	byKey       map[medlarkey.Key]*slot
	lru         *list.List        // of *slot, most recently used first
	lastNumber  uint64            // highest slot number assigned
	freeNumbers []uint64          // slot numbers to be reused
	generations map[uint64]uint64 // latest generation of each slot number
	used        medlarid.Bytes
	memoryUsed  medlarid.Bytes
	linkFreeAt  time.Time // time until which the link is busy
	moved       medlarid.Bytes
}

// New returns an empty store.
func New(cfg Settings, injector *medlarfault.Injector) *Store {
	return &Store{
		cfg:         cfg,
		injector:    injector,
		slots:       map[uint64]*slot{},
		byKey:       map[medlarkey.Key]*slot{},
		lru:         list.New(),
		generations: map[uint64]uint64{},
	}
}

// Moved returns the number of bytes transferred over the link.
func (s *Store) Moved() medlarid.Bytes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moved
}

// Blocks returns the number of committed blocks.
func (s *Store) Blocks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committedBlocks()
}

func (s *Store) committedBlocks() int {
	n := 0
	for _, sl := range s.slots {
		if sl.committed {
			n++
		}
	}
	return n
}

// Handler returns the HTTP handler of the store.
func (s *Store) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/blocks/reserve", s.serveReserve)
	r.POST("/blocks/commit", s.serveCommit)
	r.POST("/blocks/find", s.serveFind)
	r.POST("/blocks/free", s.serveFree)
	r.PUT("/blocks/{slot}", s.servePut)
	r.GET("/blocks/{slot}", s.serveGet)
	r.GET("/status", s.serveStatus)
	return r.Handler
}

type reserveRequest struct {
	Account medlarid.AccountID  `json:"account"`
	Blocks  []medlarstore.Block `json:"blocks"`
}

type findRequest struct {
	Keys []medlarkey.Key `json:"keys"`
}

type blocksMessage struct {
	Blocks []medlarstore.Block `json:"blocks"`
}

func (s *Store) serveReserve(ctx *fasthttp.RequestCtx) {
	var req reserveRequest
	if !medlarhost.ReadJSON(ctx, &req) {
		return
	}
	if s.injector.Triggered(s.cfg.Name, medlarfault.Full) {
		ctx.Error("full", fasthttp.StatusInsufficientStorage)
		return
	}
	var out blocksMessage
	s.mu.Lock()
	for _, b := range req.Blocks {
		out.Blocks = append(out.Blocks, s.reserve(b))
	}
	s.mu.Unlock()
	medlarhost.WriteJSON(ctx, out)
}

// reserve reserves a slot for a block. If the store already has the block, it
// returns the existing slot with Kept set. s.mu must be held.
func (s *Store) reserve(b medlarstore.Block) medlarstore.Block {
	if sl := s.byKey[b.Key]; sl != nil {
		s.touch(sl)
		return medlarstore.Block{Key: b.Key, Slot: sl.number, Generation: sl.generation, Stored: true}
	}
	s.makeRoom(b.Length)
	number := s.nextNumber()
	s.generations[number]++
	sl := &slot{number: number, generation: s.generations[number], key: b.Key, length: b.Length}
	sl.lruElement = s.lru.PushFront(sl)
	s.slots[sl.number] = sl
	s.byKey[b.Key] = sl
	s.used += b.Length
	return medlarstore.Block{Key: b.Key, Slot: sl.number, Generation: sl.generation}
}

// nextNumber returns an unused slot number, preferably one that was freed before.
func (s *Store) nextNumber() uint64 {
	if n := len(s.freeNumbers); n > 0 {
		number := s.freeNumbers[n-1]
		s.freeNumbers = s.freeNumbers[:n-1]
		return number
	}
	s.lastNumber++
	return s.lastNumber
}

// makeRoom frees the least recently used slots until n more bytes fit.
func (s *Store) makeRoom(n medlarid.Bytes) {
	for s.used+n > s.cfg.Size && s.lru.Len() > 0 {
		s.free(s.lru.Back().Value.(*slot))
	}
}

func (s *Store) free(sl *slot) {
	s.lru.Remove(sl.lruElement)
	delete(s.slots, sl.number)
	if s.byKey[sl.key] == sl {
		delete(s.byKey, sl.key)
	}
	s.freeNumbers = append(s.freeNumbers, sl.number)
	s.used -= sl.length
	if sl.inMemory {
		s.memoryUsed -= sl.length
	}
}

func (s *Store) touch(sl *slot) { s.lru.MoveToFront(sl.lruElement) }

func (s *Store) serveCommit(ctx *fasthttp.RequestCtx) {
	var req blocksMessage
	if !medlarhost.ReadJSON(ctx, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range req.Blocks {
		sl := s.slots[b.Slot]
		if sl == nil || sl.generation != b.Generation || !sl.filled || sl.content != b.Checksum || sl.length != b.Length {
			ctx.Error("slot does not match the block to commit", fasthttp.StatusConflict)
			return
		}
		sl.committed = true
		s.moveToMemory(sl)
	}
}

// moveToMemory moves a block into the memory tier, and the least recently used other
// blocks to disk while the tier exceeds its size.
func (s *Store) moveToMemory(sl *slot) {
	if sl.inMemory {
		return
	}
	sl.inMemory = true
	s.memoryUsed += sl.length
	for el := s.lru.Back(); el != nil && s.memoryUsed > s.cfg.Memory; el = el.Prev() {
		if other := el.Value.(*slot); other.inMemory && other != sl {
			other.inMemory = false
			s.memoryUsed -= other.length
		}
	}
}

func (s *Store) serveFind(ctx *fasthttp.RequestCtx) {
	var req findRequest
	if !medlarhost.ReadJSON(ctx, &req) {
		return
	}
	var out blocksMessage
	stale := s.injector.Triggered(s.cfg.Name, medlarfault.Stale)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range req.Keys {
		sl := s.byKey[k]
		if sl == nil || !sl.committed && !stale {
			continue
		}
		s.touch(sl)
		b := medlarstore.Block{Key: k, Slot: sl.number, Generation: sl.generation, Length: sl.length, Checksum: sl.content}
		if stale {
			b.Generation--
		}
		out.Blocks = append(out.Blocks, b)
	}
	medlarhost.WriteJSON(ctx, out)
}

func (s *Store) serveFree(ctx *fasthttp.RequestCtx) {
	var req blocksMessage
	if !medlarhost.ReadJSON(ctx, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range req.Blocks {
		if sl := s.slots[b.Slot]; sl != nil && sl.generation == b.Generation {
			s.free(sl)
		}
	}
}

func (s *Store) servePut(ctx *fasthttp.RequestCtx) {
	number, generation := slotFromRequest(ctx)
	content, _ := strconv.ParseUint(string(ctx.Request.Header.Peek(medlarfakeengine.HeaderContent)), 16, 64)
	length, _ := strconv.ParseInt(string(ctx.Request.Header.Peek(medlarfakeengine.HeaderLength)), 10, 64)
	s.transfer(medlarid.Bytes(length), false)
	s.mu.Lock()
	defer s.mu.Unlock()
	sl := s.slots[number]
	if sl == nil || sl.generation != generation || sl.committed {
		ctx.Error("slot is not reserved under this generation", fasthttp.StatusConflict)
		return
	}
	sl.content = content
	sl.filled = true
}

// serveGet serves the content of a committed slot. A freed or uncommitted slot is
// refused with 409.
func (s *Store) serveGet(ctx *fasthttp.RequestCtx) {
	number, generation := slotFromRequest(ctx)
	s.mu.Lock()
	sl := s.slots[number]
	if sl == nil || sl.generation != generation || !sl.committed {
		s.mu.Unlock()
		ctx.Error("slot was freed or is not committed", fasthttp.StatusConflict)
		return
	}
	fromDisk := !sl.inMemory
	length, content := sl.length, sl.content
	s.touch(sl)
	s.moveToMemory(sl)
	s.mu.Unlock()
	s.transfer(length, fromDisk)
	if s.injector.Triggered(s.cfg.Name, medlarfault.Corrupt) {
		content++
	}
	ctx.Response.Header.Set(medlarfakeengine.HeaderGeneration, strconv.FormatUint(generation, 10))
	ctx.Response.Header.Set(medlarfakeengine.HeaderLength, strconv.FormatInt(int64(length), 10))
	ctx.Response.Header.Set(medlarfakeengine.HeaderContent, strconv.FormatUint(content, 16))
}

// transfer blocks until the link is free and n bytes have been transferred, after
// reading them from disk if fromDisk is set.
func (s *Store) transfer(n medlarid.Bytes, fromDisk bool) {
	seconds := float64(n) / s.cfg.LinkRate
	if fromDisk {
		seconds += float64(n) / s.cfg.DiskRate
	}
	s.mu.Lock()
	now := time.Now()
	if s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(time.Duration(seconds / s.cfg.Speed * float64(time.Second)))
	wait := s.linkFreeAt.Sub(now)
	s.moved += n
	s.mu.Unlock()
	time.Sleep(wait)
}

func (s *Store) serveStatus(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	medlarhost.WriteJSON(ctx, medlarstore.Load{Used: s.used, Capacity: s.cfg.Size, Blocks: s.committedBlocks()})
}

func slotFromRequest(ctx *fasthttp.RequestCtx) (number, generation uint64) {
	number, _ = strconv.ParseUint(medlarhost.Param(ctx, "slot"), 10, 64)
	generation, _ = strconv.ParseUint(string(ctx.QueryArgs().Peek("generation")), 10, 64)
	return number, generation
}

// Package medlarfakestore is the stand-in of a store instance with a memory and
// a disk tier behind a link of limited rate.
//
// Model of time, divided by Settings.Speed: a block's length at the rate of the
// link, one transfer at a time in the order of arrival, and again at the rate of
// the disk when the block has left memory. The data of a block is a number that
// stands for it.
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

// Settings are the sizes and rates of a store.
type Settings struct {
	Name     string
	Memory   medlarid.Bytes
	Size     medlarid.Bytes // memory and disk together
	LinkRate float64        // bytes a second
	DiskRate float64        // bytes a second
	Speed    float64        // divides all times
}

// Defaults returns the settings of a store of ordinary size.
func Defaults(name string) Settings {
	return Settings{Name: name, Memory: 64 << 30, Size: 512 << 30, LinkRate: 10e9, DiskRate: 2e9, Speed: 1}
}

// slot holds one block. A slot is reserved, filled and committed in that order;
// freeing it raises its generation.
type slot struct {
	number     uint64
	generation uint64
	key        medlarkey.Key
	length     medlarid.Bytes
	content    uint64
	filled     bool
	committed  bool
	inMemory   bool
	used       *list.Element
}

// Store is the state of a store instance. It is safe for concurrent use.
type Store struct {
	cfg   Settings
	board *medlarfault.Injector

	mu     sync.Mutex
	slots  map[uint64]*slot
	byKey  map[medlarkey.Key]*slot
	order  *list.List        // of *slot; front was used most recently
	last   uint64            // highest slot number given out
	freed  []uint64          // slot numbers to be given out again
	gens   map[uint64]uint64 // last generation of each slot
	used   medlarid.Bytes
	memory medlarid.Bytes
	linkAt time.Time // the link is busy until then
	moved  medlarid.Bytes
}

// New returns an empty store.
func New(cfg Settings, board *medlarfault.Injector) *Store {
	return &Store{
		cfg:   cfg,
		board: board,
		slots: map[uint64]*slot{},
		byKey: map[medlarkey.Key]*slot{},
		order: list.New(),
		gens:  map[uint64]uint64{},
	}
}

// Moved returns the bytes that went over the link.
func (s *Store) Moved() medlarid.Bytes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moved
}

// Blocks returns the number of committed blocks.
func (s *Store) Blocks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committed()
}

func (s *Store) committed() int {
	n := 0
	for _, sl := range s.slots {
		if sl.committed {
			n++
		}
	}
	return n
}

// Handler serves the store.
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
	if s.board.Triggered(s.cfg.Name, medlarfault.Full) {
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

// reserve takes a slot for a block, or tells that it is kept.
func (s *Store) reserve(b medlarstore.Block) medlarstore.Block {
	if sl := s.byKey[b.Key]; sl != nil {
		s.touch(sl)
		return medlarstore.Block{Key: b.Key, Slot: sl.number, Generation: sl.generation, Stored: true}
	}
	s.makeRoom(b.Length)
	number := s.number()
	s.gens[number]++
	sl := &slot{number: number, generation: s.gens[number], key: b.Key, length: b.Length}
	sl.used = s.order.PushFront(sl)
	s.slots[sl.number] = sl
	s.byKey[b.Key] = sl
	s.used += b.Length
	return medlarstore.Block{Key: b.Key, Slot: sl.number, Generation: sl.generation}
}

// number returns a slot number, one that was freed before if there is any.
func (s *Store) number() uint64 {
	if n := len(s.freed); n > 0 {
		number := s.freed[n-1]
		s.freed = s.freed[:n-1]
		return number
	}
	s.last++
	return s.last
}

// makeRoom frees the slots used least recently.
func (s *Store) makeRoom(n medlarid.Bytes) {
	for s.used+n > s.cfg.Size && s.order.Len() > 0 {
		s.free(s.order.Back().Value.(*slot))
	}
}

func (s *Store) free(sl *slot) {
	s.order.Remove(sl.used)
	delete(s.slots, sl.number)
	if s.byKey[sl.key] == sl {
		delete(s.byKey, sl.key)
	}
	s.freed = append(s.freed, sl.number)
	s.used -= sl.length
	if sl.inMemory {
		s.memory -= sl.length
	}
}

func (s *Store) touch(sl *slot) { s.order.MoveToFront(sl.used) }

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
			ctx.Error("slot is not what was committed", fasthttp.StatusConflict)
			return
		}
		sl.committed = true
		s.toMemory(sl)
	}
}

// toMemory brings a block into the memory tier and sends others to disk.
func (s *Store) toMemory(sl *slot) {
	if sl.inMemory {
		return
	}
	sl.inMemory = true
	s.memory += sl.length
	for el := s.order.Back(); el != nil && s.memory > s.cfg.Memory; el = el.Prev() {
		if other := el.Value.(*slot); other.inMemory && other != sl {
			other.inMemory = false
			s.memory -= other.length
		}
	}
}

func (s *Store) serveFind(ctx *fasthttp.RequestCtx) {
	var req findRequest
	if !medlarhost.ReadJSON(ctx, &req) {
		return
	}
	var out blocksMessage
	stale := s.board.Triggered(s.cfg.Name, medlarfault.Stale)
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
	number, generation := slotOf(ctx)
	content, _ := strconv.ParseUint(string(ctx.Request.Header.Peek(medlarfakeengine.HeaderContent)), 16, 64)
	length, _ := strconv.ParseInt(string(ctx.Request.Header.Peek(medlarfakeengine.HeaderLength)), 10, 64)
	s.transfer(medlarid.Bytes(length), false)
	s.mu.Lock()
	defer s.mu.Unlock()
	sl := s.slots[number]
	if sl == nil || sl.generation != generation || sl.committed {
		ctx.Error("no such reservation", fasthttp.StatusConflict)
		return
	}
	sl.content = content
	sl.filled = true
}

// serveGet reads a committed slot; a freed or uncommitted one is refused.
func (s *Store) serveGet(ctx *fasthttp.RequestCtx) {
	number, generation := slotOf(ctx)
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
	s.toMemory(sl)
	s.mu.Unlock()
	s.transfer(length, fromDisk)
	if s.board.Triggered(s.cfg.Name, medlarfault.Corrupt) {
		content++
	}
	ctx.Response.Header.Set(medlarfakeengine.HeaderGeneration, strconv.FormatUint(generation, 10))
	ctx.Response.Header.Set(medlarfakeengine.HeaderLength, strconv.FormatInt(int64(length), 10))
	ctx.Response.Header.Set(medlarfakeengine.HeaderContent, strconv.FormatUint(content, 16))
}

// transfer waits for the link and moves n bytes over it.
func (s *Store) transfer(n medlarid.Bytes, fromDisk bool) {
	seconds := float64(n) / s.cfg.LinkRate
	if fromDisk {
		seconds += float64(n) / s.cfg.DiskRate
	}
	s.mu.Lock()
	now := time.Now()
	if s.linkAt.Before(now) {
		s.linkAt = now
	}
	s.linkAt = s.linkAt.Add(time.Duration(seconds / s.cfg.Speed * float64(time.Second)))
	wait := s.linkAt.Sub(now)
	s.moved += n
	s.mu.Unlock()
	time.Sleep(wait)
}

func (s *Store) serveStatus(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	medlarhost.WriteJSON(ctx, medlarstore.Load{Used: s.used, Capacity: s.cfg.Size, Blocks: s.committed()})
}

func slotOf(ctx *fasthttp.RequestCtx) (number, generation uint64) {
	number, _ = strconv.ParseUint(medlarhost.Param(ctx, "slot"), 10, 64)
	generation, _ = strconv.ParseUint(string(ctx.QueryArgs().Peek("generation")), 10, 64)
	return number, generation
}

// Package medlarcache has the parts of the model engine's stand-in that are about
// memory and turns: a prefix cache, and a turnstile that lets in by priority.
package medlarcache

import (
	"container/heap"
	"container/list"
	"sync"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
)

// Block is one KV block with its content.
type Block struct {
	Key     medlarkey.Key
	Content uint64
}

// Cache is a prefix cache that evicts the block used least recently. It is not
// safe for concurrent use.
type Cache struct {
	size   int
	order  *list.List // of Block; front is used most recently
	blocks map[medlarkey.Key]*list.Element
}

// New returns an empty cache of size blocks.
func New(size int) *Cache {
	return &Cache{size: size, order: list.New(), blocks: map[medlarkey.Key]*list.Element{}}
}

// Get returns a block and marks it as used.
func (c *Cache) Get(k medlarkey.Key) (Block, bool) {
	el, ok := c.blocks[k]
	if !ok {
		return Block{}, false
	}
	c.order.MoveToFront(el)
	return el.Value.(Block), true
}

// Put stores a block and returns the keys that it pushed out.
func (c *Cache) Put(b Block) (evicted []medlarkey.Key) {
	if el, ok := c.blocks[b.Key]; ok {
		c.order.MoveToFront(el)
		return nil
	}
	c.blocks[b.Key] = c.order.PushFront(b)
	for c.order.Len() > c.size {
		last := c.order.Back()
		k := last.Value.(Block).Key
		c.order.Remove(last)
		delete(c.blocks, k)
		evicted = append(evicted, k)
	}
	return evicted
}

// Clear empties the cache and returns its keys.
func (c *Cache) Clear() []medlarkey.Key {
	keys := make([]medlarkey.Key, 0, len(c.blocks))
	for k := range c.blocks {
		keys = append(keys, k)
	}
	*c = *New(c.size)
	return keys
}

// PriorityLock lets one holder in at a time, by priority and then by arrival. It is
// safe for concurrent use.
type PriorityLock struct {
	mu      sync.Mutex
	busy    bool
	arrival int
	waiting waiters
}

type waiter struct {
	priority medlarid.Priority
	arrival  int
	turn     chan struct{}
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiters) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push is part of heap.Interface.
func (w *waiters) Push(x any) { *w = append(*w, x.(*waiter)) }

// Pop is part of heap.Interface.
func (w *waiters) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}

// NewPriorityLock returns a turnstile that is free.
func NewPriorityLock() *PriorityLock { return &PriorityLock{} }

// Acquire waits for the turn; it returns false when quit closes first.
func (t *PriorityLock) Acquire(p medlarid.Priority, quit <-chan struct{}) bool {
	t.mu.Lock()
	if !t.busy {
		t.busy = true
		t.mu.Unlock()
		return true
	}
	t.arrival++
	w := &waiter{priority: p, arrival: t.arrival, turn: make(chan struct{}, 1)}
	heap.Push(&t.waiting, w)
	t.mu.Unlock()
	select {
	case <-w.turn:
		return true
	case <-quit:
		t.abandon(w)
		return false
	}
}

// abandon takes a waiter out; if its turn came meanwhile, it is passed on.
func (t *PriorityLock) abandon(w *waiter) {
	t.mu.Lock()
	for i, other := range t.waiting {
		if other == w {
			heap.Remove(&t.waiting, i)
			t.mu.Unlock()
			return
		}
	}
	t.mu.Unlock()
	t.Release()
}

// Release passes the turn on.
func (t *PriorityLock) Release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.busy = false
		return
	}
	heap.Pop(&t.waiting).(*waiter).turn <- struct{}{}
}

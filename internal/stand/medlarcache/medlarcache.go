// Package medlarcache provides a prefix cache and a priority lock for the fake model
// engine.
package medlarcache

import (
	"container/heap"
	"container/list"
	"sync"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
)

// Block is a KV block and its content.
type Block struct {
	Key     medlarkey.Key
	Content uint64
}

// Cache is a prefix cache that evicts the least recently used block. It is not safe
// for concurrent use.
type Cache struct {
	size   int
	lru    *list.List // of Block, most recently used first
	blocks map[medlarkey.Key]*list.Element
}

// New returns an empty cache with a capacity of size blocks.
func New(size int) *Cache {
	return &Cache{size: size, lru: list.New(), blocks: map[medlarkey.Key]*list.Element{}}
}

// Get returns a block and marks it as used.
func (c *Cache) Get(k medlarkey.Key) (Block, bool) {
	el, ok := c.blocks[k]
	if !ok {
		return Block{}, false
	}
	c.lru.MoveToFront(el)
	return el.Value.(Block), true
}

// Put stores a block and returns the keys of the blocks evicted for it.
func (c *Cache) Put(b Block) (evicted []medlarkey.Key) {
	if el, ok := c.blocks[b.Key]; ok {
		c.lru.MoveToFront(el)
		return nil
	}
	c.blocks[b.Key] = c.lru.PushFront(b)
	for c.lru.Len() > c.size {
		last := c.lru.Back()
		k := last.Value.(Block).Key
		c.lru.Remove(last)
		delete(c.blocks, k)
		evicted = append(evicted, k)
	}
	return evicted
}

// Clear empties the cache and returns the keys of the removed blocks.
func (c *Cache) Clear() []medlarkey.Key {
	keys := make([]medlarkey.Key, 0, len(c.blocks))
	for k := range c.blocks {
		keys = append(keys, k)
	}
	*c = *New(c.size)
	return keys
}

// PriorityLock is a mutual exclusion lock that waiters acquire in order of priority,
// then of arrival. It is safe for concurrent use.
type PriorityLock struct {
	mu      sync.Mutex
	locked  bool
	arrival int
	waiting waiters
}

type waiter struct {
	priority medlarid.Priority
	arrival  int
	granted  chan struct{}
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

// Push implements heap.Interface.
func (w *waiters) Push(x any) { *w = append(*w, x.(*waiter)) }

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}

// NewPriorityLock returns an unlocked lock.
func NewPriorityLock() *PriorityLock { return &PriorityLock{} }

// Acquire acquires the lock. It returns false if quit is closed first.
func (t *PriorityLock) Acquire(p medlarid.Priority, quit <-chan struct{}) bool {
	t.mu.Lock()
	if !t.locked {
		t.locked = true
		t.mu.Unlock()
		return true
	}
	t.arrival++
	w := &waiter{priority: p, arrival: t.arrival, granted: make(chan struct{}, 1)}
	heap.Push(&t.waiting, w)
	t.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-quit:
		t.cancelWait(w)
		return false
	}
}

// cancelWait removes a waiter from the queue. If the waiter was granted the lock in
// the meantime, it is released to the next waiter.
func (t *PriorityLock) cancelWait(w *waiter) {
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

// Release releases the lock, to the next waiter if there is one.
func (t *PriorityLock) Release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.locked = false
		return
	}
	heap.Pop(&t.waiting).(*waiter).granted <- struct{}{}
}

package medlarfakeengine

import (
	"container/heap"
	"container/list"
	"sync"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
)

// cachedBlock is one KV block with its content.
type cachedBlock struct {
	key     medlarkey.Key
	content uint64
}

// cache is a prefix cache that evicts the block used least recently.
type cache struct {
	size   int
	order  *list.List // of cachedBlock; front is used most recently
	blocks map[medlarkey.Key]*list.Element
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), blocks: map[medlarkey.Key]*list.Element{}}
}

// get returns a block and marks it as used.
func (c *cache) get(k medlarkey.Key) (cachedBlock, bool) {
	el, ok := c.blocks[k]
	if !ok {
		return cachedBlock{}, false
	}
	c.order.MoveToFront(el)
	return el.Value.(cachedBlock), true
}

// put stores a block and returns the keys that it pushed out.
func (c *cache) put(b cachedBlock) (evicted []medlarkey.Key) {
	if el, ok := c.blocks[b.key]; ok {
		c.order.MoveToFront(el)
		return nil
	}
	c.blocks[b.key] = c.order.PushFront(b)
	for c.order.Len() > c.size {
		last := c.order.Back()
		k := last.Value.(cachedBlock).key
		c.order.Remove(last)
		delete(c.blocks, k)
		evicted = append(evicted, k)
	}
	return evicted
}

// clear empties the cache and returns its keys.
func (c *cache) clear() []medlarkey.Key {
	keys := make([]medlarkey.Key, 0, len(c.blocks))
	for k := range c.blocks {
		keys = append(keys, k)
	}
	*c = *newCache(c.size)
	return keys
}

// turnstile lets one holder in at a time, by priority and then by arrival.
type turnstile struct {
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

func newTurnstile() *turnstile { return &turnstile{} }

// enter waits for the turn; it returns false when quit closes first.
func (t *turnstile) enter(p medlarid.Priority, quit <-chan struct{}) bool {
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
func (t *turnstile) abandon(w *waiter) {
	t.mu.Lock()
	for i, other := range t.waiting {
		if other == w {
			heap.Remove(&t.waiting, i)
			t.mu.Unlock()
			return
		}
	}
	t.mu.Unlock()
	t.leave()
}

// leave passes the turn on.
func (t *turnstile) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.busy = false
		return
	}
	heap.Pop(&t.waiting).(*waiter).turn <- struct{}{}
}

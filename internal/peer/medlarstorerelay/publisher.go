package medlarstorerelay

import (
	"bufio"
	"cmp"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/peer/medlarstoremessage"
)

// Times of a connection at a reader.
const (
	requestTimeout = 5 * time.Second // without a request, after which the connection is closed
	writeTimeout   = time.Second     // to write an answer
)

// maxSubscribers is the largest number of connections that a reader serves at once.
const maxSubscribers = 512

// Numbers of changes of a store that a reader keeps for subscribers that lack them.
const (
	maxRecent = 2048 // above which it drops the oldest ones; also bounds the changes in an answer
	minRecent = 1024 // that it keeps then
)

// Publisher passes the contents of the stores that this instance reads to subscribers (R1 to R4). It is safe for
// concurrent use.
type Publisher struct {
	suspended func() time.Duration

	mu          sync.Mutex
	stores      map[medlarid.InstanceID]*published
	began       map[medlarid.InstanceID]time.Duration // time suspended when the last call to a store began
	subscribers map[*subscriber]bool
	sequence    uint64 // number of the last report with a list or changes, of any store
}

// published is the contents of a store as the last report had them.
type published struct {
	epoch     uint64
	at        time.Time     // zero if the contents are stale
	suspended time.Duration // total time suspended when the call began that at belongs to
	sequence  uint64        // of the contents
	parts     map[medlarkey.Key]medlarid.Tokens
	recent    []change // those with a sequence number above oldest, in order
	oldest    uint64
	list      []medlarstoremessage.Report // pieces of a complete list, shared by subscribers; nil until it is needed
	listed    uint64                      // sequence number of the list
}

// change is one change of a store's contents.
type change struct {
	sequence uint64
	part     medlarinventory.StoredPart
	removed  bool
}

// subscriber is a connection of another instance.
type subscriber struct {
	conn  net.Conn
	wake  chan struct{}
	nonce uint64 // of the last request
	wants []medlarstoremessage.Want
	// sent has what the subscriber has been sent of each store.
	sent map[medlarid.InstanceID]position
}

// position tells which contents of a store a subscriber has been sent.
type position struct {
	generation uint64
	sequence   uint64
}

// NewPublisher returns a Publisher without contents. suspended returns the total time for which the instance has been
// suspended.
func NewPublisher(suspended func() time.Duration) *Publisher {
	return &Publisher{
		suspended: suspended, stores: map[medlarid.InstanceID]*published{}, began: map[medlarid.InstanceID]time.Duration{},
		subscribers: map[*subscriber]bool{},
	}
}

// Began records that a call to a store begins, whose answer is reported next.
func (p *Publisher) Began(store medlarid.InstanceID) {
	now := least(p.suspended)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.began[store] = now
}

// least returns the lower of two readings of the time suspended. A reading is the difference of two clocks, and too high if
// the process is not scheduled between reading them: contents would appear newer than they are.
func least(suspended func() time.Duration) time.Duration { return min(suspended(), suspended()) }

// Report records what this instance has read from a store.
func (p *Publisher) Report(e medlarworld.InventoryReported) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stores[e.Store]
	if e.Reset {
		p.sequence++
		s = &published{sequence: p.sequence, oldest: p.sequence, parts: map[medlarkey.Key]medlarid.Tokens{}}
		p.stores[e.Store] = s
	}
	if s == nil {
		return // the contents are not known: not listed yet, or too many
	}
	s.epoch, s.at, s.suspended = e.Epoch, e.At, p.began[e.Store]
	if len(e.Added)+len(e.Removed) > 0 && !e.Reset {
		p.sequence++
		s.sequence = p.sequence
	}
	s.apply(e)
	if len(s.parts) > medlarstoremessage.MaxParts {
		delete(p.stores, e.Store) // subscribers would refuse it
	}
	for c := range p.subscribers {
		c.signal()
	}
}

// apply applies the changes of a report.
func (s *published) apply(e medlarworld.InventoryReported) {
	for _, k := range e.Removed {
		delete(s.parts, k)
	}
	for _, a := range e.Added {
		s.parts[a.Key] = a.Tokens
	}
	if e.Reset {
		return
	}
	for _, k := range e.Removed {
		s.recent = append(s.recent, change{sequence: s.sequence, part: medlarinventory.StoredPart{Key: k}, removed: true})
	}
	for _, a := range e.Added {
		s.recent = append(s.recent, change{sequence: s.sequence, part: a})
	}
	if len(s.recent) > maxRecent {
		n := len(s.recent) - minRecent
		s.oldest = s.recent[n-1].sequence
		for n < len(s.recent) && s.recent[n].sequence == s.oldest {
			n++
		}
		s.recent = slices.Clone(s.recent[n:])
	}
}

// Keep forgets the contents of stores that this instance does not read any more.
func (p *Publisher) Keep(reads func(medlarid.InstanceID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.stores)
	maps.DeleteFunc(p.stores, func(id medlarid.InstanceID, _ *published) bool { return !reads(id) })
	maps.DeleteFunc(p.began, func(id medlarid.InstanceID, _ time.Duration) bool { return !reads(id) })
	if len(p.stores) == n {
		return
	}
	for c := range p.subscribers {
		c.signal()
	}
}

// Serve serves a subscriber until the connection ends, and closes it.
func (p *Publisher) Serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c := &subscriber{conn: conn, wake: make(chan struct{}, 1), sent: map[medlarid.InstanceID]position{}}
	p.mu.Lock()
	full := len(p.subscribers) >= maxSubscribers
	if !full {
		p.subscribers[c] = true
	}
	p.mu.Unlock()
	if full {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.write(c)
		_ = conn.Close()
	}()
	p.read(c)
	p.mu.Lock()
	delete(p.subscribers, c)
	p.mu.Unlock()
	_ = conn.Close()
	close(c.wake)
	<-done
}

// read reads requests until the connection ends.
func (p *Publisher) read(c *subscriber) {
	r := bufio.NewReader(c.conn)
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(requestTimeout))
		b, err := medlarstoremessage.Read(r, medlarstoremessage.MaxRequest)
		if err != nil {
			return
		}
		q, err := medlarstoremessage.DecodeRequest(b)
		if err != nil {
			return
		}
		p.mu.Lock()
		c.nonce, c.wants = q.Nonce, q.Wants
		c.signal()
		p.mu.Unlock()
	}
}

// signal causes an answer to be sent. The caller holds the publisher's lock and has found the subscriber registered.
func (c *subscriber) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// write sends an answer whenever there is a request or a report.
func (p *Publisher) write(c *subscriber) {
	for range c.wake {
		lists, states := p.collect(c)
		for _, a := range lists {
			if !c.send(a) {
				return
			}
		}
		if states == nil {
			continue
		}
		if !c.send(*states) {
			return
		}
	}
}

// send sends one answer.
func (c *subscriber) send(a medlarstoremessage.Answer) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return medlarstoremessage.Write(c.conn, a.Encode()) == nil
}

// collect returns the pieces of the lists that a subscriber needs, and an answer with the state of each store, which is sent
// after them. If the changes exceed maxRecent, the states of the remaining stores are left to another collection.
func (p *Publisher) collect(c *subscriber) (lists []medlarstoremessage.Answer, states *medlarstoremessage.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	states = &medlarstoremessage.Answer{Nonce: c.nonce}
	for id := range c.sent {
		if !slices.ContainsFunc(c.wants, func(w medlarstoremessage.Want) bool { return w.Store == id }) {
			delete(c.sent, id)
		}
	}
	size := 0
	for _, w := range c.wants {
		s := p.stores[w.Store]
		if s == nil {
			delete(c.sent, w.Store)
			states.States = append(states.States, medlarstoremessage.Report{Store: w.Store, Generation: w.Generation, Status: medlarstoremessage.StatusAbsent})
			continue
		}
		at, ok := c.sent[w.Store]
		if !ok || at.generation != w.Generation || at.sequence < s.oldest {
			for _, r := range s.pieces() {
				r.Store, r.Generation = w.Store, w.Generation
				lists = append(lists, medlarstoremessage.Answer{Nonce: c.nonce, Lists: []medlarstoremessage.Report{r}})
			}
			at = position{generation: w.Generation, sequence: s.listed}
		}
		r := s.state(at.sequence, p.suspended())
		r.Store, r.Generation = w.Store, w.Generation
		if size += len(r.Added) + len(r.Removed); size > maxRecent && len(states.States) > 0 {
			if p.subscribers[c] {
				c.signal() // the rest follows
			}
			break
		}
		states.States = append(states.States, r)
		c.sent[w.Store] = position{generation: w.Generation, sequence: s.sequence}
	}
	return lists, states
}

// pieces returns a complete list of the contents. It may be of an earlier sequence number if the changes since are kept.
func (s *published) pieces() []medlarstoremessage.Report {
	if s.list != nil && s.listed >= s.oldest {
		return s.list
	}
	s.list, s.listed = medlarstoremessage.Pieces(s.epoch, s.sequence, s.parts), s.sequence
	return s.list
}

// state returns the state with the changes since a sequence number. suspended is the total time suspended until now.
func (s *published) state(since uint64, suspended time.Duration) medlarstoremessage.Report {
	r := medlarstoremessage.Report{Epoch: s.epoch, Base: since, Sequence: s.sequence}
	if !s.at.IsZero() {
		r.Age = time.Since(s.at) + suspended - s.suspended
		if r.Age < medlarplacement.ReportTTL {
			r.Status = medlarstoremessage.StatusDated
		}
	}
	if since == s.sequence {
		return r
	}
	last := map[medlarkey.Key]change{}
	from, _ := slices.BinarySearchFunc(s.recent, since+1, func(c change, n uint64) int { return cmp.Compare(c.sequence, n) })
	for _, c := range s.recent[from:] {
		last[c.part.Key] = c
	}
	for k, c := range last {
		if c.removed {
			r.Removed = append(r.Removed, k)
		} else {
			r.Added = append(r.Added, c.part)
		}
	}
	return r
}

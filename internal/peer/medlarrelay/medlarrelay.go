// Package medlarrelay lets a few instances of each availability zone read a stream
// of the log and relay it to the others, so that the log service does not have a
// reader for each instance.
//
// Rules:
//
//	R1  The live instances of an availability zone form a tree by rank. The
//	    highest-ranked ones, the relays, read from the log directly.
//	R2  Any other instance reads from its parent, from the relays if that fails, and
//	    from the log if no source is left. Each instance therefore serves a bounded
//	    number of others.
//	R3  A relay serves the records that it has read, with the offsets and timestamps
//	    of the log. It serves requests for older records from the log.
//	R4  A reader that receives a batch that ends before the reader's own position
//	    tries another source, since a relay may lag behind.
package medlarrelay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/peer/medlarmember"
	"medlarfield/internal/peer/medlarmessage"
	"medlarfield/internal/upstream/medlarlog"
)

// Relay parameters.
const (
	relaysPerZone = 2
	fanOut        = 2 // instances that read from one parent
	cacheRecords  = 256
	cacheBytes    = 1 << 20
	avoidTime     = 5 * time.Second         // how long a source is skipped after a failure
	maxWait       = 2500 * time.Millisecond // of a read from an instance, so that a hung one is abandoned soon
	callSlack     = 500 * time.Millisecond  // added to the wait of a read for the timeout of the call
)

// ReadFunc reads up to limit records of a stream of the log, and waits up to wait if
// there are none.
type ReadFunc func(from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error)

// Deps are the functions that a relay uses of its instance.
type Deps struct {
	Self medlarid.InstanceID
	// Zone returns the live entry instances of the availability zone of Self.
	Zone func() []medlarid.InstanceID
	Call medlarmember.CallFunc
	Read ReadFunc // reads from the log
	// CountRead counts a read by its source: "log" or "relay".
	CountRead func(source string)
}

// Relay reads one stream and relays it to peers. It is safe for concurrent use.
type Relay struct {
	stream string
	deps   Deps

	mu         sync.Mutex
	cache      []medlarlog.Entry // the newest records, with contiguous offsets
	first      medlarid.Offset   // first offset of the stream, as of the last read
	next       medlarid.Offset   // offset after the cache; 0 before the first read
	size       int               // bytes of data in the cache
	grown      chan struct{}     // closed when the cache grows
	avoidUntil map[medlarid.InstanceID]time.Time
}

// New returns a relay of a stream.
func New(stream string, d Deps) *Relay {
	return &Relay{stream: stream, deps: d, grown: make(chan struct{}), avoidUntil: map[medlarid.InstanceID]time.Time{}}
}

// Relays returns the instances among ids that read the stream from the log directly
// (R1).
func Relays(stream string, ids []medlarid.InstanceID) []medlarid.InstanceID {
	ranked := rankInstances(stream, ids)
	return ranked[:min(relaysPerZone, len(ranked))]
}

// Sources returns the instances that self reads from, in the order in which they are
// tried, or none if self is a relay (R2).
func Sources(stream string, self medlarid.InstanceID, ids []medlarid.InstanceID) []medlarid.InstanceID {
	ranked := rankInstances(stream, ids)
	i := slices.Index(ranked, self)
	if i < relaysPerZone {
		return nil
	}
	parent := ranked[(i-relaysPerZone)/fanOut]
	sources := []medlarid.InstanceID{parent}
	for _, r := range ranked[:relaysPerZone] {
		if r != parent {
			sources = append(sources, r)
		}
	}
	return sources
}

// rankInstances returns ids sorted by rank, highest first.
func rankInstances(stream string, ids []medlarid.InstanceID) []medlarid.InstanceID {
	ranked := slices.Clone(ids)
	rank := func(id medlarid.InstanceID) uint64 { return xxh3.HashString(stream + "\x00" + string(id)) }
	slices.SortFunc(ranked, func(a, b medlarid.InstanceID) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b))
	})
	return ranked
}

// Read reads records starting at an offset, from another instance or from the log (R2).
func (r *Relay) Read(from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error) {
	for _, id := range r.sources() {
		b, err := r.fetch(id, from, limit, wait)
		if err == nil && b.Next >= from { // R4
			r.deps.CountRead("relay")
			r.add(from, b)
			return b, nil
		}
		r.mu.Lock()
		r.avoidUntil[id] = time.Now().Add(avoidTime)
		r.mu.Unlock()
	}
	b, err := r.deps.Read(from, limit, wait)
	if err == nil {
		r.deps.CountRead("log")
		r.add(from, b)
	}
	return b, err
}

// sources returns the instances to try, without those that failed within avoidTime.
func (r *Relay) sources() []medlarid.InstanceID {
	sources := Sources(r.stream, r.deps.Self, r.deps.Zone())
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return slices.DeleteFunc(sources, func(id medlarid.InstanceID) bool { return now.Before(r.avoidUntil[id]) })
}

func (r *Relay) fetch(id medlarid.InstanceID, from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error) {
	wait = min(wait, maxWait)
	ctx, cancel := context.WithTimeout(context.Background(), wait+callSlack)
	defer cancel()
	f := &medlarmessage.Fetch{
		Stream: r.stream,
		From:   uint64(from),
		Limit:  uint32(limit),
		Wait:   uint32(wait.Milliseconds()),
	}
	reply, err := r.deps.Call(ctx, id, &medlarmessage.Frame{Body: &medlarmessage.Frame_Fetch{Fetch: f}})
	if err != nil {
		return medlarlog.Batch{}, err
	}
	return batchOf(reply.GetFetched()), nil
}

// add appends a batch to the cache, for other instances (R3).
func (r *Relay) add(from medlarid.Offset, b medlarlog.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != 0 && from != r.next {
		if len(b.Records) == 0 || b.Records[0].Offset != r.next {
			return // a read of another offset, which does not extend the cache
		}
	}
	r.first = b.First
	if r.next == 0 {
		r.next = max(from, b.First)
	}
	for _, e := range b.Records {
		if e.Offset != r.next {
			r.cache, r.size = nil, 0 // a gap: records have expired
		}
		r.cache = append(r.cache, e)
		r.size += len(e.Data)
		r.next = e.Offset + 1
	}
	r.trim()
	if len(b.Records) > 0 {
		close(r.grown)
		r.grown = make(chan struct{})
	}
}

func (r *Relay) trim() {
	n := 0
	for n < len(r.cache) && (len(r.cache)-n > cacheRecords || r.size > cacheBytes) {
		r.size -= len(r.cache[n].Data)
		n++
	}
	r.cache = slices.Clone(r.cache[n:])
}

// Handle answers a peer that reads the stream from this instance; ok is false for
// other calls.
func (r *Relay) Handle(ctx context.Context, f *medlarmessage.Frame) (reply *medlarmessage.Reply, ok bool) {
	q := f.GetFetch()
	if q == nil || q.GetStream() != r.stream {
		return nil, false
	}
	from := medlarid.Offset(q.GetFrom())
	b, err := r.serve(ctx, from, int(q.GetLimit()), time.Duration(q.GetWait())*time.Millisecond)
	if err != nil {
		return &medlarmessage.Reply{Error: err.Error()}, true
	}
	return &medlarmessage.Reply{Body: &medlarmessage.Reply_Fetched{Fetched: fetchedOf(b)}}, true
}

// serve returns records from the cache. At its end it waits for new records, and it
// reads older ones from the log.
func (r *Relay) serve(ctx context.Context, from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, grown, ok := r.cached(from, limit)
		if !ok {
			return r.deps.Read(from, limit, 0)
		}
		if len(b.Records) > 0 {
			return b, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return b, nil
		case <-ctx.Done():
			return b, nil
		}
	}
}

// cached returns the cached records starting at an offset, and a channel that is
// closed when the cache grows; ok is false before the first read and if the cache starts
// after the offset.
func (r *Relay) cached(from medlarid.Offset, limit int) (b medlarlog.Batch, grown <-chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := r.next - medlarid.Offset(len(r.cache))
	if r.next == 0 || from < start {
		return medlarlog.Batch{}, nil, false
	}
	b = medlarlog.Batch{First: r.first, Next: r.next}
	if from < r.next {
		rest := r.cache[from-start:]
		b.Records = slices.Clone(rest[:min(limit, len(rest))])
	}
	return b, r.grown, true
}

func batchOf(f *medlarmessage.Fetched) medlarlog.Batch {
	b := medlarlog.Batch{First: medlarid.Offset(f.GetFirst()), Next: medlarid.Offset(f.GetNext())}
	for _, e := range f.GetEntries() {
		b.Records = append(b.Records, medlarlog.Entry{Offset: medlarid.Offset(e.GetOffset()), UnixMillis: e.GetMillis(), Data: e.GetData()})
	}
	return b
}

func fetchedOf(b medlarlog.Batch) *medlarmessage.Fetched {
	f := &medlarmessage.Fetched{First: uint64(b.First), Next: uint64(b.Next)}
	for _, e := range b.Records {
		f.Entries = append(f.Entries, &medlarmessage.Entry{Offset: uint64(e.Offset), Millis: e.UnixMillis, Data: e.Data})
	}
	return f
}

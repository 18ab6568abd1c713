// Package medlarrelay lets a few instances of each availability zone read a
// stream of the log and pass it on to the others, so that the log service does
// not have a reader for each instance.
//
// Rules:
//
//	R1  The live instances of an availability zone form a tree by rank. The first
//	    ones, the relays, read the log itself.
//	R2  Any other instance reads through its parent, through the relays when that
//	    fails, and from the log itself when none is left. So an instance serves a
//	    bounded number of others.
//	R3  A relay passes on what it has read, with the log's offsets and stamps; it
//	    reads the log for whoever asks for older records.
//	R4  A reader that gets a batch which ends before what it has read already
//	    tries another source: a relay may be behind.
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

// Parameters of relays.
const (
	relaysPerZone = 2
	fanOut        = 2 // instances that read through one
	cacheRecords  = 256
	cacheBytes    = 1 << 20
	avoidTime     = 5 * time.Second         // after a failure
	maxWait       = 2500 * time.Millisecond // of a read through an instance: a frozen one is left soon
	callSlack     = 500 * time.Millisecond  // beyond the time that a read waits
)

// ReadFunc reads a stream of the log.
type ReadFunc func(from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error)

// Deps are what a relay uses of its instance.
type Deps struct {
	Self medlarid.InstanceID
	// Zone returns the live entry instances of the own availability zone.
	Zone func() []medlarid.InstanceID
	Call medlarmember.CallFunc
	Read ReadFunc // the log itself
	// CountRead counts a read by its source: "log" or "relay".
	CountRead func(source string)
}

// Relay reads one stream and passes it on. It is safe for concurrent use.
type Relay struct {
	stream string
	seams  Deps

	mu    sync.Mutex
	cache []medlarlog.Entry // the newest records, without a hole
	first medlarid.Offset   // of the stream, at the last read
	next  medlarid.Offset   // end of the cache; 0 before the first read
	size  int
	news  chan struct{} // closed when the cache grows
	avoid map[medlarid.InstanceID]time.Time
}

// New returns a relay of a stream.
func New(stream string, s Deps) *Relay {
	return &Relay{stream: stream, seams: s, news: make(chan struct{}), avoid: map[medlarid.InstanceID]time.Time{}}
}

// Relays returns the instances among ids that read the stream from the log (R1).
func Relays(stream string, ids []medlarid.InstanceID) []medlarid.InstanceID {
	ranked := order(stream, ids)
	return ranked[:min(relaysPerZone, len(ranked))]
}

// Sources returns the instances that self reads through, in the order in which
// they are tried; none when it is a relay (R2).
func Sources(stream string, self medlarid.InstanceID, ids []medlarid.InstanceID) []medlarid.InstanceID {
	ranked := order(stream, ids)
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

// order sorts ids by rank, the highest first.
func order(stream string, ids []medlarid.InstanceID) []medlarid.InstanceID {
	ranked := slices.Clone(ids)
	rank := func(id medlarid.InstanceID) uint64 { return xxh3.HashString(stream + "\x00" + string(id)) }
	slices.SortFunc(ranked, func(a, b medlarid.InstanceID) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b))
	})
	return ranked
}

// Read reads records from an offset on, from a relay or from the log (R2).
func (r *Relay) Read(from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error) {
	for _, id := range r.sources() {
		b, err := r.fetch(id, from, limit, wait)
		if err == nil && b.Next >= from { // R4
			r.seams.CountRead("relay")
			r.add(from, b)
			return b, nil
		}
		r.mu.Lock()
		r.avoid[id] = time.Now().Add(avoidTime)
		r.mu.Unlock()
	}
	b, err := r.seams.Read(from, limit, wait)
	if err == nil {
		r.seams.CountRead("log")
		r.add(from, b)
	}
	return b, err
}

// sources returns the instances to try, but for those that failed lately.
func (r *Relay) sources() []medlarid.InstanceID {
	sources := Sources(r.stream, r.seams.Self, r.seams.Zone())
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return slices.DeleteFunc(sources, func(id medlarid.InstanceID) bool { return now.Before(r.avoid[id]) })
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
	reply, err := r.seams.Call(ctx, id, &medlarmessage.Frame{Body: &medlarmessage.Frame_Fetch{Fetch: f}})
	if err != nil {
		return medlarlog.Batch{}, err
	}
	return batchOf(reply.GetFetched()), nil
}

// add keeps what was read for others (R3).
func (r *Relay) add(from medlarid.Offset, b medlarlog.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != 0 && from != r.next {
		if len(b.Records) == 0 || b.Records[0].Offset != r.next {
			return // not the end of the cache: a read for an older offset
		}
	}
	r.first = b.First
	if r.next == 0 {
		r.next = max(from, b.First)
	}
	for _, e := range b.Records {
		if e.Offset != r.next {
			r.cache, r.size = nil, 0 // a hole: records have expired
		}
		r.cache = append(r.cache, e)
		r.size += len(e.Data)
		r.next = e.Offset + 1
	}
	r.trim()
	if len(b.Records) > 0 {
		close(r.news)
		r.news = make(chan struct{})
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

// Handle answers a peer that reads through this instance; ok is false for other
// calls.
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

// serve returns records from the cache, waits for news at its end, and reads the
// log for older ones.
func (r *Relay) serve(ctx context.Context, from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, news, ok := r.look(from, limit)
		if !ok {
			return r.seams.Read(from, limit, 0)
		}
		if len(b.Records) > 0 {
			return b, nil
		}
		select {
		case <-news:
		case <-timer.C:
			return b, nil
		case <-ctx.Done():
			return b, nil
		}
	}
}

// look returns what the cache has from an offset on; ok is false when it does
// not reach back so far.
func (r *Relay) look(from medlarid.Offset, limit int) (b medlarlog.Batch, news <-chan struct{}, ok bool) {
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
	return b, r.news, true
}

func batchOf(f *medlarmessage.Fetched) medlarlog.Batch {
	b := medlarlog.Batch{First: medlarid.Offset(f.GetFirst()), Next: medlarid.Offset(f.GetNext())}
	for _, e := range f.GetEntries() {
		b.Records = append(b.Records, medlarlog.Entry{Offset: medlarid.Offset(e.GetOffset()), Millis: e.GetMillis(), Data: e.GetData()})
	}
	return b
}

func fetchedOf(b medlarlog.Batch) *medlarmessage.Fetched {
	f := &medlarmessage.Fetched{First: uint64(b.First), Next: uint64(b.Next)}
	for _, e := range b.Records {
		f.Entries = append(f.Entries, &medlarmessage.Entry{Offset: uint64(e.Offset), Millis: e.Millis, Data: e.Data})
	}
	return f
}

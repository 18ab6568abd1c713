// Package medlarfaketopic is a stand-in of the platform's store: topics of records,
// of which keyed ones keep the newest record of each key.
package medlarfaketopic

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
)

// Fault is what a door of the store does instead of serving.
type Fault string

// Faults.
const (
	FaultNone    Fault = ""
	FaultRefuse  Fault = "refuse" // answers 503
	FaultLimit   Fault = "limit"  // answers 429
	FaultSilent  Fault = "silent" // answers nothing in time
	FaultReset   Fault = "reset"  // closes the connection
	FaultLose    Fault = "lose"   // does what is asked and closes the connection
	silentAnswer       = 3 * time.Second
)

// Store holds topics. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	more   chan struct{} // closed and replaced at each append
	calls  int
}

type topic struct {
	records [][]byte
	first   int            // records before it were dropped
	newest  map[string]int // of a keyed topic: offset of each key's newest record
}

// New returns an empty store.
func New() *Store { return &Store{topics: map[string]*topic{}, more: make(chan struct{})} }

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

// Put writes a key of a keyed topic; an empty value removes it.
func (s *Store) Put(name, key string, value []byte) medlarid.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := append([]byte{byte(len(key))}, key...)
	return medlarid.Offset(s.append(name, append(rec, value...)))
}

// append appends a record and returns its offset; the lock is held.
func (s *Store) append(name string, rec []byte) int {
	t := s.topic(name)
	at := len(t.records)
	t.records = append(t.records, rec)
	if strings.HasPrefix(name, "keyed.") {
		if key, value := split(rec); len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = at
		}
	}
	close(s.more)
	s.more = make(chan struct{})
	return at
}

func split(rec []byte) (key string, value []byte) {
	n := 1 + int(rec[0])
	return string(rec[1:n]), rec[n:]
}

// Compact drops the records of a topic up to now. The newest of each key stays.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = len(t.records)
}

// Records returns the records of a topic.
func (s *Store) Records(name string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.topic(name).records)
}

// Endpoint is an address of the store. Its faults are seen by those only who call there.
type Endpoint struct {
	store *Store
	mu    sync.Mutex
	fault Fault
}

// NewEndpoint returns a door without faults.
func (s *Store) NewEndpoint() *Endpoint { return &Endpoint{store: s} }

// SetFault makes the door do a fault, or serve again.
func (d *Endpoint) SetFault(f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// Handle serves a call.
func (d *Endpoint) Handle(ctx *fasthttp.RequestCtx) {
	d.mu.Lock()
	fault := d.fault
	d.mu.Unlock()
	switch fault {
	case FaultRefuse:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case FaultLimit:
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	case FaultSilent:
		time.Sleep(silentAnswer)
		drop(ctx)
		return
	case FaultReset:
		drop(ctx)
		return
	}
	d.store.handle(ctx)
	if fault == FaultLose {
		drop(ctx)
	}
}

// drop closes the connection without an answer.
func drop(ctx *fasthttp.RequestCtx) {
	_ = ctx.Conn().Close()
}

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	switch string(ctx.Path()) {
	case "/-/log-append":
		s.serveAppend(ctx)
	case "/-/log-read":
		s.serveRead(ctx)
	case "/-/log-newest":
		s.serveNewest(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

type appended struct {
	Offset int
	End    int
}

func (s *Store) serveAppend(ctx *fasthttp.RequestCtx) {
	name := string(ctx.QueryArgs().Peek("Topic"))
	body := ctx.PostBody()
	if len(body) < 4 || len(body) != 4+int(binary.BigEndian.Uint32(body)) || strings.HasPrefix(name, "keyed.") {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topic(name).records)
	if at, err := ctx.QueryArgs().GetUint("At"); err == nil && at != end {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		reply(ctx, appended{End: end})
		return
	}
	at := s.append(name, slices.Clone(body[4:]))
	reply(ctx, appended{Offset: at, End: at + 1})
}

type dropped struct{ First int }

func (s *Store) serveRead(ctx *fasthttp.RequestCtx) {
	name := string(ctx.QueryArgs().Peek("Topic"))
	from, err := ctx.QueryArgs().GetUint("From")
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("WaitMs")))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(name)
		if from < t.first {
			ctx.SetStatusCode(fasthttp.StatusGone)
			reply(ctx, dropped{First: t.first})
			s.mu.Unlock()
			return
		}
		if from < len(t.records) || wait == 0 {
			writeRecords(ctx, t, from)
			s.mu.Unlock()
			return
		}
		more := s.more
		s.mu.Unlock()
		select {
		case <-more:
		case <-until:
			wait = 0
		}
	}
}

func writeRecords(ctx *fasthttp.RequestCtx, t *topic, from int) {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	b = binary.BigEndian.AppendUint64(b, uint64(t.first))
	for _, rec := range t.records[min(from, len(t.records)):] {
		b = binary.BigEndian.AppendUint32(b, uint32(len(rec)))
		b = append(b, rec...)
	}
	ctx.SetBody(b)
}

type item struct {
	Key    string
	Value  string
	Offset int
}

type newest struct {
	Items []item `json:"items"`
	More  bool
	End   int
}

// pageItems is the number of keys of one page.
const pageItems = 500

func (s *Store) serveNewest(ctx *fasthttp.RequestCtx) {
	after := string(ctx.QueryArgs().Peek("after"))
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(string(ctx.QueryArgs().Peek("Topic")))
	out := newest{Items: []item{}, End: len(t.records)}
	for key, at := range t.newest {
		if key > after {
			_, value := split(t.records[at])
			out.Items = append(out.Items, item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: at})
		}
	}
	slices.SortFunc(out.Items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	if out.More = len(out.Items) > pageItems; out.More {
		out.Items = out.Items[:pageItems]
	}
	reply(ctx, out)
}

func reply(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

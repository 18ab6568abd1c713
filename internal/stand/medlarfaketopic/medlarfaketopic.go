// Package medlarfaketopic implements a fake of the platform's store, which holds
// topics of records. A topic whose name begins with "keyed." retains the newest
// record of each key.
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

// Fault is a fault of an endpoint, injected instead of or after serving a call.
type Fault string

// Faults of an endpoint.
const (
	FaultNone   Fault = ""
	FaultRefuse Fault = "refuse" // responds with 503
	FaultLimit  Fault = "limit"  // responds with 429
	FaultSilent Fault = "silent" // sends no response in time: closes the connection after silentDelay
	FaultReset  Fault = "reset"  // closes the connection
	FaultLose   Fault = "lose"   // serves the call, then closes the connection without a response
	FaultUnread Fault = "unread" // responds to reads with 503
	silentDelay       = 3 * time.Second
)

// Store holds topics. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced on each append
	calls   int
	conns   int
	era     int // number of rewinds
	limiter limiter
}

type topic struct {
	records [][]byte
	first   int            // offset of the first record that is not dropped
	newest  map[string]int // in a keyed topic: offset of the newest record of each key
}

// New returns an empty store.
func New() *Store { return &Store{topics: map[string]*topic{}, changed: make(chan struct{})} }

// Conns returns the number of connections on which calls were received.
func (s *Store) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// Calls returns the number of calls received.
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

// Put writes a record for a key of a keyed topic. An empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) medlarid.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := append([]byte{byte(len(key))}, key...)
	return medlarid.Offset(s.append(name, append(rec, value...)))
}

// append appends a record and returns its offset. s.mu must be held.
func (s *Store) append(name string, rec []byte) int {
	t := s.topic(name)
	at := len(t.records)
	t.records = append(t.records, rec)
	if strings.HasPrefix(name, "keyed.") {
		if key, value := splitRecord(rec); len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = at
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return at
}

func splitRecord(rec []byte) (key string, value []byte) {
	n := 1 + int(rec[0])
	return string(rec[1:n]), rec[n:]
}

// Compact drops all current records of a topic. The newest record of each key stays
// available.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = len(t.records)
}

// Rewind restores the store from a copy that lacks the last n records of each topic.
func (s *Store) Rewind(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for _, t := range s.topics {
		t.records = t.records[:max(len(t.records)-n, 0)]
		t.first = min(t.first, len(t.records))
		clear(t.newest)
	}
	for name, t := range s.topics {
		if !strings.HasPrefix(name, "keyed.") {
			continue
		}
		for at, rec := range t.records {
			if key, value := splitRecord(rec); len(value) > 0 {
				t.newest[key] = at
			} else {
				delete(t.newest, key)
			}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Records returns all records ever appended to a topic, including dropped ones.
func (s *Store) Records(name string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.topic(name).records)
}

// Endpoint is an address of the store. Its fault affects only the calls made there.
type Endpoint struct {
	store *Store
	mu    sync.Mutex
	fault Fault
	view  View
}

// View returns the value of a record of a keyed topic as readers at an endpoint get it.
type View func(topic, key string, value []byte) []byte

// NewEndpoint returns an endpoint without a fault.
func (s *Store) NewEndpoint() *Endpoint {
	return &Endpoint{store: s, view: func(_, _ string, value []byte) []byte { return value }}
}

// SetView sets how readers at the endpoint see the records of keyed topics. It is called before the
// endpoint serves.
func (e *Endpoint) SetView(v View) { e.view = v }

// SetFault sets the fault of the endpoint. FaultNone makes it serve again.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Handle serves a call, or injects the fault of the endpoint.
func (e *Endpoint) Handle(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	fault := e.fault
	e.mu.Unlock()
	if fault == FaultUnread && ctx.IsGet() {
		fault = FaultRefuse
	}
	switch fault {
	case FaultRefuse:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case FaultLimit:
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	case FaultSilent:
		time.Sleep(silentDelay)
		closeConn(ctx)
		return
	case FaultReset:
		closeConn(ctx)
		return
	}
	if !e.store.admit(ctx) {
		return
	}
	e.store.handle(ctx, e.view)
	if fault == FaultLose {
		closeConn(ctx)
	}
}

// closeConn closes the connection without a response.
func closeConn(ctx *fasthttp.RequestCtx) {
	_ = ctx.Conn().Close()
}

func (s *Store) handle(ctx *fasthttp.RequestCtx, view View) {
	s.mu.Lock()
	s.calls++
	if ctx.ConnRequestNum() == 1 {
		s.conns++
	}
	s.mu.Unlock()
	switch string(ctx.Path()) {
	case "/-/log-append":
		s.serveAppend(ctx)
	case "/-/log-read":
		s.serveRead(ctx, view)
	case "/-/log-newest":
		s.serveNewest(ctx, view)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// writeEra adds the header that every response has. The caller holds s.mu.
func (s *Store) writeEra(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set("Store-Era", strconv.Itoa(s.era))
}

type appendResponse struct {
	Offset int
	End    int
}

func (s *Store) serveAppend(ctx *fasthttp.RequestCtx) {
	name := string(ctx.QueryArgs().Peek("Topic"))
	body := ctx.PostBody()
	if name == "keyed.op" || name == "keyed.servers" { // the operator's and the replicas'
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	records, ok := splitBody(body)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeEra(ctx)
	end := len(s.topic(name).records)
	if at, err := ctx.QueryArgs().GetUint("At"); err == nil && at != end {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		writeJSON(ctx, appendResponse{End: end})
		return
	}
	for _, rec := range records {
		s.append(name, rec)
	}
	writeJSON(ctx, appendResponse{Offset: end, End: end + len(records)})
}

// splitBody returns the records in the body of an append.
func splitBody(body []byte) (records [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 || len(body) < 4+int(binary.BigEndian.Uint32(body)) {
			return nil, false
		}
		n := 4 + int(binary.BigEndian.Uint32(body))
		records = append(records, slices.Clone(body[4:n]))
		body = body[n:]
	}
	return records, len(records) > 0
}

type goneResponse struct{ First int }

func (s *Store) serveRead(ctx *fasthttp.RequestCtx, view View) {
	name := string(ctx.QueryArgs().Peek("Topic"))
	from, err := ctx.QueryArgs().GetUint("From")
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("WaitMs")))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.writeEra(ctx)
		t := s.topic(name)
		if from < t.first || from > len(t.records) {
			ctx.SetStatusCode(fasthttp.StatusGone)
			writeJSON(ctx, goneResponse{First: t.first})
			s.mu.Unlock()
			return
		}
		if from < len(t.records) || wait == 0 {
			writeRecords(ctx, t, from, func(rec []byte) []byte { return viewRecord(name, rec, view) })
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		}
	}
}

// viewRecord returns a record as a reader gets it.
func viewRecord(topic string, rec []byte, view View) []byte {
	if !strings.HasPrefix(topic, "keyed.") {
		return rec
	}
	key, value := splitRecord(rec)
	if len(value) == 0 {
		return rec
	}
	return append(append([]byte{byte(len(key))}, key...), view(topic, key, value)...)
}

func writeRecords(ctx *fasthttp.RequestCtx, t *topic, from int, seen func([]byte) []byte) {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	b = binary.BigEndian.AppendUint64(b, uint64(t.first))
	for _, rec := range t.records[min(from, len(t.records)):] {
		rec = seen(rec)
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

type newestResponse struct {
	Items []item `json:"items"`
	More  bool
	End   int
}

// maxPageKeys is the maximum number of keys per page.
const maxPageKeys = 500

func (s *Store) serveNewest(ctx *fasthttp.RequestCtx, view View) {
	name, after := string(ctx.QueryArgs().Peek("Topic")), string(ctx.QueryArgs().Peek("after"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeEra(ctx)
	t := s.topic(name)
	out := newestResponse{Items: []item{}, End: len(t.records)}
	for key, at := range t.newest {
		if key > after {
			_, value := splitRecord(t.records[at])
			value = view(name, key, value)
			out.Items = append(out.Items, item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: at})
		}
	}
	slices.SortFunc(out.Items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	if out.More = len(out.Items) > maxPageKeys; out.More {
		out.Items = out.Items[:maxPageKeys]
	}
	writeJSON(ctx, out)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

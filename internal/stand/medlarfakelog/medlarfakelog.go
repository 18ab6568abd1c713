// Package medlarfakelog implements a fake of the log service: streams of records
// with offsets, limited retention and a limited rate of appends. Outages are
// injected by package medlarhost when it serves the log.
package medlarfakelog

import (
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/upstream/medlarlog"
)

// Settings holds the limits of the log.
type Settings struct {
	// MaxRecords is the number of records that a stream retains; 0 means no limit.
	MaxRecords int
	// AppendRate is the maximum number of appends per second; 0 means no limit.
	AppendRate float64
}

// stream is a sequence of records; records[0] has the offset first.
type stream struct {
	first    medlarid.Offset
	records  []medlarlog.Entry
	appended chan struct{} // closed on the next append
}

// Log is a fake log service. It is safe for concurrent use.
type Log struct {
	cfg Settings

	mu      sync.Mutex
	streams map[string]*stream
	nextAt  time.Time
	appends int
	bytes   int
}

// New returns an empty log.
func New(cfg Settings) *Log {
	return &Log{cfg: cfg, streams: map[string]*stream{}}
}

// Handler returns the HTTP handler of the log.
func (l *Log) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/streams/{name}", l.serveAppend)
	r.GET("/streams/{name}", l.serveRead)
	return r.Handler
}

// Append appends records in one append and returns the offset of the first. It
// waits as long as the limit on the rate of appends requires.
func (l *Log) Append(name string, records ...[]byte) medlarid.Offset {
	time.Sleep(l.reserve())
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.next()
	for _, r := range records {
		e := medlarlog.Entry{Offset: s.next(), UnixMillis: time.Now().UnixMilli(), Data: append([]byte(nil), r...)}
		s.records = append(s.records, e)
		l.bytes += len(r)
	}
	l.appends++
	l.applyRetention(s)
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// Read returns up to limit records from an offset on. If there are none, it waits
// for new records, for at most wait.
func (l *Log) Read(name string, from medlarid.Offset, limit int, wait time.Duration) medlarlog.Batch {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, appended := l.readAvailable(name, from, limit)
		if len(b.Records) > 0 {
			return b
		}
		select {
		case <-appended:
		case <-timer.C:
			return b
		}
	}
}

// Expire drops all records of a stream below an offset, as retention would.
func (l *Log) Expire(name string, below medlarid.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.dropFirst(int(min(below, s.next()) - min(s.first, below)))
}

// Appends returns the number of appends and the number of bytes appended.
func (l *Log) Appends() (appends, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

func (l *Log) readAvailable(name string, from medlarid.Offset, limit int) (medlarlog.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	b := medlarlog.Batch{First: s.first, Next: s.next()}
	start := max(from, s.first)
	if start < s.next() {
		rest := s.records[start-s.first:]
		b.Records = append(b.Records, rest[:min(limit, len(rest))]...)
	}
	return b, s.appended
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// reserve reserves the next append under the rate limit and returns how long to wait
// for it.
func (l *Log) reserve() time.Duration {
	if l.cfg.AppendRate == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.nextAt.Before(now) {
		l.nextAt = now
	}
	wait := l.nextAt.Sub(now)
	l.nextAt = l.nextAt.Add(time.Duration(float64(time.Second) / l.cfg.AppendRate))
	return wait
}

func (l *Log) applyRetention(s *stream) {
	if l.cfg.MaxRecords > 0 {
		s.dropFirst(len(s.records) - l.cfg.MaxRecords)
	}
}

func (s *stream) next() medlarid.Offset { return s.first + medlarid.Offset(len(s.records)) }

func (s *stream) dropFirst(n int) {
	if n <= 0 {
		return
	}
	s.records = append([]medlarlog.Entry(nil), s.records[n:]...)
	s.first += medlarid.Offset(n)
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	First medlarid.Offset `json:"first"`
}

func (l *Log) serveAppend(ctx *fasthttp.RequestCtx) {
	var req appendRequest
	if !medlarhost.ReadJSON(ctx, &req) {
		return
	}
	medlarhost.WriteJSON(ctx, appendResponse{First: l.Append(medlarhost.Param(ctx, "name"), req.Records...)})
}

func (l *Log) serveRead(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	from := medlarid.Offset(args.GetUintOrZero("from"))
	limit := args.GetUintOrZero("max")
	wait := time.Duration(args.GetUintOrZero("wait")) * time.Millisecond
	medlarhost.WriteJSON(ctx, l.Read(medlarhost.Param(ctx, "name"), from, max(limit, 1), wait))
}

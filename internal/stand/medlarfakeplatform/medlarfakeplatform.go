// Package medlarfakeplatform implements fakes of the platform's instance list and
// weight store.
package medlarfakeplatform

import (
	"fmt"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/upstream/medlarinstance"
	"medlarfield/internal/upstream/medlarweight"
)

// weightWindow is the window over which the weight store limits the number of
// calls.
const weightWindow = time.Second

// List is a fake instance list. Each change becomes visible after a lag.
type List struct {
	lag time.Duration

	mu        sync.Mutex
	instances map[medlarid.InstanceID]medlarinstance.Instance
	visible   map[medlarid.InstanceID]medlarinstance.Instance
}

// NewList returns an empty list whose changes become visible after lag.
func NewList(lag time.Duration) *List {
	return &List{
		lag:       lag,
		instances: map[medlarid.InstanceID]medlarinstance.Instance{},
		visible:   map[medlarid.InstanceID]medlarinstance.Instance{},
	}
}

// Put adds or replaces an instance.
func (l *List) Put(i medlarinstance.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances[i.ID] = i
	l.publish(func() { l.visible[i.ID] = i })
}

// Leave marks an instance as leaving.
func (l *List) Leave(id medlarid.InstanceID) {
	l.mu.Lock()
	i, ok := l.instances[id]
	l.mu.Unlock()
	if ok {
		i.Leaving = true
		l.Put(i)
	}
}

// Remove removes an instance from the list.
func (l *List) Remove(id medlarid.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.instances, id)
	l.publish(func() { delete(l.visible, id) })
}

// publish applies change to the visible list after the lag. l.mu must be held.
func (l *List) publish(change func()) {
	if l.lag == 0 {
		change()
		return
	}
	time.AfterFunc(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		change()
	})
}

// Handler returns the HTTP handler of the list.
func (l *List) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/instances", l.serveList)
	r.POST("/instances", l.servePut)
	return r.Handler
}

// serveList responds with the visible list, or with 304 if the caller's ETag
// matches.
func (l *List) serveList(ctx *fasthttp.RequestCtx) {
	medlarhost.WriteJSON(ctx, l.list())
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxh3.Hash(ctx.Response.Body()), 16))
	ctx.Response.Header.Set("ETag", tag)
	if string(ctx.Request.Header.Peek("If-None-Match")) == tag {
		ctx.Response.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	}
}

// servePut lets a process that was started separately add itself to the list.
func (l *List) servePut(ctx *fasthttp.RequestCtx) {
	var i medlarinstance.Instance
	if medlarhost.ReadJSON(ctx, &i) {
		l.Put(i)
	}
}

func (l *List) list() medlarinstance.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := medlarinstance.List{}
	for _, i := range l.visible {
		out.Instances = append(out.Instances, i)
	}
	sort.Slice(out.Instances, func(a, b int) bool { return out.Instances[a].ID < out.Instances[b].ID })
	return out
}

// Weights is a fake weight store that limits the number of calls per second.
type Weights struct {
	perSecond int

	mu          sync.Mutex
	catalog     medlarweight.Catalog
	calls       int
	windowStart time.Time
}

// NewWeights returns a weight store that serves a catalog of weights and accepts
// perSecond calls per second.
func NewWeights(perSecond int, weights ...medlarweight.Weights) *Weights {
	return &Weights{perSecond: perSecond, catalog: medlarweight.Catalog{Weights: weights}}
}

// Handler returns the HTTP handler of the store.
func (s *Weights) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/weights", s.serveList)
	return r.Handler
}

func (s *Weights) serveList(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.windowStart) > weightWindow {
		s.windowStart = now
		s.calls = 0
	}
	s.calls++
	if s.calls > s.perSecond {
		ctx.Error("too many calls", fasthttp.StatusTooManyRequests)
		return
	}
	medlarhost.WriteJSON(ctx, s.catalog)
}

package medlarsite

import (
	"fmt"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/stand/medlarfaketopic"
)

// topicNotices is the topic in which instances report to one another what they know.
const topicNotices = "keyed.medlar"

// Sizes of the history that writeHistory writes.
const (
	historySlots    = 16 // crashes that each instance has recorded
	historyReplicas = 60
	historyParts    = 16 // different shared parts of prompts
)

// ControlHandler returns the handler of a control address. All figures are in the query:
//
//	POST /store?fault=F           injects a fault into all calls to the store; none for an empty F
//	POST /store-speed?delay=MS&reads=N&writes=N  delays calls, and limits their number a second
//	POST /compact                 drops the history of all topics
//	POST /crash                   crashes all replicas; they start again after the restart delay
//	POST /release?build=B&n=N&ms=MS  replaces N replicas of the engine, one each MS
//	POST /weights?version=V       names a weight version
//	POST /change                  writes a configuration with a higher version
//	POST /history?n=N&prompts=N   writes records as of N earlier instances that are gone, each crash with N prompts
//	GET  /calls                   returns the number of calls to the store so far
func (s *Site) ControlHandler() fasthttp.RequestHandler {
	r := router.New()
	query := func(ctx *fasthttp.RequestCtx, name string) int { return ctx.QueryArgs().GetUintOrZero(name) }
	r.POST("/store", func(ctx *fasthttp.RequestCtx) {
		for _, e := range s.endpoints {
			e.SetFault(medlarfaketopic.Fault(ctx.QueryArgs().Peek("fault")))
		}
	})
	r.POST("/store-speed", func(ctx *fasthttp.RequestCtx) {
		s.Store.SetDelay(time.Duration(query(ctx, "delay")) * time.Millisecond)
		s.Store.SetLimits(float64(query(ctx, "reads")), float64(query(ctx, "writes")))
	})
	r.POST("/compact", func(*fasthttp.RequestCtx) {
		for _, topic := range []string{topicOp, topicRep, topicNotices} {
			s.Store.Compact(topic)
		}
	})
	r.POST("/crash", func(*fasthttp.RequestCtx) {
		for _, replica := range s.Replicas() {
			replica.Crash()
		}
	})
	r.POST("/release", func(ctx *fasthttp.RequestCtx) {
		s.Release(string(ctx.QueryArgs().Peek("build")), query(ctx, "n"), time.Duration(query(ctx, "ms"))*time.Millisecond)
	})
	r.POST("/weights", func(ctx *fasthttp.RequestCtx) { s.SetWeightVersion(uint64(query(ctx, "version"))) })
	r.POST("/change", func(ctx *fasthttp.RequestCtx) {
		if err := s.Change(func(*Config) {}); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		}
	})
	r.POST("/history", func(ctx *fasthttp.RequestCtx) { s.writeHistory(query(ctx, "n"), query(ctx, "prompts")) })
	r.GET("/calls", func(ctx *fasthttp.RequestCtx) { _, _ = fmt.Fprintln(ctx, s.Store.Calls()) })
	return r.Handler
}

// writeHistory writes the records that n earlier instances have left: their addresses, and crashes of replicas with
// which each has lost a number of prompts.
func (s *Site) writeHistory(n, prompts int) {
	for i := range n {
		name := fmt.Sprintf("gone-%d", i)
		s.Store.Put(topicNotices, "peer/"+name, fmt.Appendf(nil, `{"at":"127.0.0.1:%d","key":"%d","relay":"127.0.0.1:%d","zone":"a"}`, 20000+i, i+1, 20000+i))
		for slot := range historySlots {
			at := i*historySlots + slot
			traits := fmt.Appendf(nil, `"aa"`)
			for k := range max(prompts, 1) {
				traits = fmt.Appendf(traits, `,"b%x","request-%016x%016x","content-%016x%016x"`, (at+k)%historyParts, at, k, at, k)
			}
			s.Store.Put(topicNotices, fmt.Sprintf("crash/%s/%d", name, slot),
				fmt.Appendf(nil, `{"replica":"old-%d","born":1,"begun":[%s]}`, at%historyReplicas, traits))
		}
	}
}

package medlartestbed

import (
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
)

// runsAnswer is the answer to GET /runs.
type runsAnswer struct {
	Requests map[medlarid.RequestID]int `json:"requests"` // runs by request identifier
	Bodies   map[string]int             `json:"bodies"`   // service calls by body
}

// faultsAnswer is the answer to GET /fault.
type faultsAnswer struct {
	Armed []medlarfault.Fault `json:"armed"`
	Known []medlarfault.Doc   `json:"known"`
}

// controlHandler serves what a trial or a person does to the stand-ins:
//
//	POST /fault        arm or clear a fault
//	GET  /fault        armed and known faults
//	GET  /runs         how often each request ran
//	POST /evict        empty the prefix caches
//	POST /kill/{part}  end a part as if its instance had failed
func (s *Testbed) controlHandler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/fault", s.serveFault)
	r.GET("/fault", func(ctx *fasthttp.RequestCtx) {
		medlarhost.Reply(ctx, faultsAnswer{Armed: s.Board.Armed(), Known: medlarfault.Table})
	})
	r.GET("/runs", func(ctx *fasthttp.RequestCtx) {
		medlarhost.Reply(ctx, runsAnswer{Requests: s.Runs(), Bodies: s.Bodies()})
	})
	r.POST("/evict", func(*fasthttp.RequestCtx) { s.Evict() })
	r.POST("/kill/{part}", s.serveKill)
	return r.Handler
}

func (s *Testbed) serveFault(ctx *fasthttp.RequestCtx) {
	var f medlarfault.Fault
	if !medlarhost.Read(ctx, &f) {
		return
	}
	if err := s.Board.Arm(f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

func (s *Testbed) serveKill(ctx *fasthttp.RequestCtx) {
	if err := s.Kill(medlarhost.Param(ctx, "part")); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusNotFound)
	}
}

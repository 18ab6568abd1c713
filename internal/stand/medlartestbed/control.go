package medlartestbed

import (
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
)

// runsResponse is the response to GET /runs.
type runsResponse struct {
	Requests map[medlarid.RequestID]int `json:"requests"` // number of runs by request identifier
	Bodies   map[string]int             `json:"bodies"`   // number of service calls by body
}

// faultsResponse is the response to GET /fault.
type faultsResponse struct {
	Armed []medlarfault.Fault `json:"armed"`
	Known []medlarfault.Doc   `json:"known"`
}

// controlHandler returns the handler of the control address, through which a trial or
// an operator controls the fakes:
//
//	POST /fault        arms or clears a fault
//	GET  /fault        returns the armed and the known faults
//	GET  /runs         returns how often each request ran
//	POST /evict        empties the prefix caches
//	POST /kill/{part}  ends a part as if its instance had failed
func (s *Testbed) controlHandler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/fault", s.serveFault)
	r.GET("/fault", func(ctx *fasthttp.RequestCtx) {
		medlarhost.WriteJSON(ctx, faultsResponse{Armed: s.Injector.Armed(), Known: medlarfault.Table})
	})
	r.GET("/runs", func(ctx *fasthttp.RequestCtx) {
		medlarhost.WriteJSON(ctx, runsResponse{Requests: s.Runs(), Bodies: s.Bodies()})
	})
	r.POST("/evict", func(*fasthttp.RequestCtx) { s.Evict() })
	r.POST("/kill/{part}", s.serveKill)
	return r.Handler
}

func (s *Testbed) serveFault(ctx *fasthttp.RequestCtx) {
	var f medlarfault.Fault
	if !medlarhost.ReadJSON(ctx, &f) {
		return
	}
	if err := s.Injector.Arm(f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

func (s *Testbed) serveKill(ctx *fasthttp.RequestCtx) {
	if err := s.Kill(medlarhost.Param(ctx, "part")); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusNotFound)
	}
}

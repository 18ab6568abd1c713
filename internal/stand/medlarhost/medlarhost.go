// Package medlarhost serves a fake on a loopback address and injects the faults that
// are common to all fakes.
package medlarhost

import (
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarreservation"
)

// freezePoll is the interval at which a frozen call checks whether the fault is
// cleared.
const freezePoll = 10 * time.Millisecond

// maxBody is the maximum size of a request body in bytes.
const maxBody = 64 << 20

// Server is a running server of a fake.
type Server struct {
	Part    string
	Address medlarid.Address

	srv      *fasthttp.Server
	ln       net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	reserved *medlarreservation.Reservation // of the address of a killed server; nil for none
}

// New serves handler at address, an IP address and a port, where port 0 selects a free
// one. Faults that are armed for part are injected into its calls.
func New(part, address string, injector *medlarfault.Injector, handler fasthttp.RequestHandler) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s", part)
	}
	s := &Server{Part: part, Address: medlarid.Address(ln.Addr().String()), ln: ln, conns: map[net.Conn]bool{}}
	s.srv = &fasthttp.Server{
		Handler:               withFaults(part, injector, handler),
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ConnState:             s.trackConn,
		Logger:                discardLogger{},
	}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

// discardLogger discards the log messages of fasthttp, as broken connections are
// expected here.
type discardLogger struct{}

// Printf discards a message.
func (discardLogger) Printf(string, ...any) {}

func (s *Server) trackConn(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == fasthttp.StateClosed {
		delete(s.conns, c)
		return
	}
	s.conns[c] = true
}

// Kill closes the listener and all connections immediately. The address stays
// reserved until Close: connections to it are refused, and it is not assigned to
// another fake.
func (s *Server) Kill() error {
	s.closeAll()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved != nil {
		return nil
	}
	reserved, err := medlarreservation.New(s.Address)
	if err != nil {
		return eris.Wrapf(err, "reserve the address of %s", s.Part)
	}
	s.reserved = reserved
	return nil
}

// Close stops the server and releases its address.
func (s *Server) Close() {
	s.closeAll()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved != nil {
		s.reserved.Close()
		s.reserved = nil
	}
}

// closeAll closes the listener and all connections.
func (s *Server) closeAll() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// withFaults wraps next with a handler that injects the faults armed for part. A delayed
// read has no effect and is not carried out.
func withFaults(part string, injector *medlarfault.Injector, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if injectBefore(part, injector, ctx) {
			return
		}
		if f, ok := injector.Trigger(part, medlarfault.Late); ok {
			if !ctx.IsGet() {
				copied := copyRequest(ctx)
				injector.RunLater(f.Delay, func() { next(copied) })
			}
			closeWithoutResponse(ctx)
			return
		}
		if injector.Triggered(part, medlarfault.Double) {
			next(copyRequest(ctx))
		}
		next(ctx)
		injectAfter(part, injector, ctx)
	}
}

// injectBefore injects the faults that take effect before the call, and reports
// whether one of them has responded to it.
func injectBefore(part string, injector *medlarfault.Injector, ctx *fasthttp.RequestCtx) bool {
	for injector.Triggered(part, medlarfault.Freeze) {
		time.Sleep(freezePoll)
	}
	if f, ok := injector.Trigger(part, medlarfault.Slow); ok {
		time.Sleep(f.Delay)
	}
	switch {
	case injector.Triggered(part, medlarfault.Down):
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
	case injector.Triggered(part, medlarfault.Refuse):
		ctx.Error("refused", fasthttp.StatusConflict)
	case injector.Triggered(part, medlarfault.Malformed):
		ctx.SetBodyString("{not json")
	default:
		return false
	}
	return true
}

func injectAfter(part string, injector *medlarfault.Injector, ctx *fasthttp.RequestCtx) {
	switch {
	case injector.Triggered(part, medlarfault.Lost):
		closeWithoutResponse(ctx)
	case !ctx.Response.IsBodyStream() && injector.Triggered(part, medlarfault.Cut):
		truncate(ctx)
	}
}

// closeWithoutResponse closes the connection without a response.
func closeWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// truncate sends the header and the first half of the response body, then closes the
// connection.
func truncate(ctx *fasthttp.RequestCtx) {
	whole := ctx.Response.String()
	body := strings.Index(whole, "\r\n\r\n")
	half := body + (len(whole)-body)/2
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = c.Write([]byte(whole[:half]))
		_ = c.Close()
	})
}

func copyRequest(ctx *fasthttp.RequestCtx) *fasthttp.RequestCtx {
	copied := &fasthttp.RequestCtx{}
	copied.Init(&fasthttp.Request{}, ctx.RemoteAddr(), discardLogger{})
	ctx.Request.CopyTo(&copied.Request)
	return copied
}

// WriteJSON responds with v encoded as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v, json.Deterministic(true))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// ReadJSON decodes the JSON request body into v. If that fails, it responds with 400
// and returns false.
func ReadJSON(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// Param returns a path parameter.
func Param(ctx *fasthttp.RequestCtx, name string) string {
	s, _ := ctx.UserValue(name).(string)
	return s
}

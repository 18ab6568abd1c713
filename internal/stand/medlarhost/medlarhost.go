// Package medlarhost serves one stand-in on a loopback address and carries out
// the faults that are the same for all of them.
package medlarhost

import (
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarfault"
)

// freezePoll is the time between two looks at whether a freeze is over.
const freezePoll = 10 * time.Millisecond

// maxBody is the largest request body in bytes.
const maxBody = 64 << 20

// Server is a running stand-in.
type Server struct {
	Part    string
	Address medlarid.Address

	srv  *fasthttp.Server
	ln   net.Listener
	mu   sync.Mutex
	open map[net.Conn]bool
	held int // socket that keeps the address of a killed host; 0 for none
}

// New serves handler at address, an IP number with port 0 for a free one. The
// faults of board that are armed for part strike its calls.
func New(part, address string, board *medlarfault.Injector, handler fasthttp.RequestHandler) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s", part)
	}
	h := &Server{Part: part, Address: medlarid.Address(ln.Addr().String()), ln: ln, open: map[net.Conn]bool{}}
	h.srv = &fasthttp.Server{
		Handler:               withFaults(part, board, handler),
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ConnState:             h.track,
		Logger:                quiet{},
	}
	go func() { _ = h.srv.Serve(ln) }()
	return h, nil
}

// quiet drops the server's own messages: broken connections are expected here.
type quiet struct{}

// Printf drops the message.
func (quiet) Printf(string, ...any) {}

func (h *Server) track(c net.Conn, s fasthttp.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == fasthttp.StateClosed {
		delete(h.open, c)
		return
	}
	h.open[c] = true
}

// Kill closes the listener and all connections at once. The address stays the host's:
// connections to it are refused, and no other stand-in is given it, until Close.
func (h *Server) Kill() error {
	h.end()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held != 0 {
		return nil
	}
	fd, err := hold(h.Address)
	if err != nil {
		return eris.Wrapf(err, "hold the address of %s", h.Part)
	}
	h.held = fd
	return nil
}

// Close ends the host and gives its address back.
func (h *Server) Close() {
	h.end()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held != 0 {
		_ = unix.Close(h.held)
		h.held = 0
	}
}

// end closes the listener and all connections.
func (h *Server) end() {
	_ = h.ln.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.open {
		_ = c.Close()
	}
}

// hold returns a socket that is bound to an address and does not listen.
func hold(at medlarid.Address) (int, error) {
	addr, err := netip.ParseAddrPort(string(at))
	if err != nil {
		return 0, err
	}
	family, socket := unix.AF_INET6, unix.Sockaddr(&unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()})
	if addr.Addr().Is4() {
		family, socket = unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	// Connections of the host that just ended still have the address.
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(fd, socket)
	}
	if err != nil {
		_ = unix.Close(fd)
	}
	return fd, err
}

// withFaults lets the faults of part strike before, around and after next.
func withFaults(part string, board *medlarfault.Injector, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if strikeBefore(part, board, ctx) {
			return
		}
		if f, ok := board.Trigger(part, medlarfault.Late); ok {
			later(ctx, f.Delay, next)
			hangUp(ctx)
			return
		}
		if board.Triggered(part, medlarfault.Double) {
			next(copyOf(ctx))
		}
		next(ctx)
		strikeAfter(part, board, ctx)
	}
}

// strikeBefore reports whether a fault has answered the call.
func strikeBefore(part string, board *medlarfault.Injector, ctx *fasthttp.RequestCtx) bool {
	for board.Triggered(part, medlarfault.Freeze) {
		time.Sleep(freezePoll)
	}
	if f, ok := board.Trigger(part, medlarfault.Slow); ok {
		time.Sleep(f.Delay)
	}
	switch {
	case board.Triggered(part, medlarfault.Down):
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
	case board.Triggered(part, medlarfault.Refuse):
		ctx.Error("refused", fasthttp.StatusConflict)
	case board.Triggered(part, medlarfault.Malformed):
		ctx.SetBodyString("{not json")
	default:
		return false
	}
	return true
}

func strikeAfter(part string, board *medlarfault.Injector, ctx *fasthttp.RequestCtx) {
	switch {
	case board.Triggered(part, medlarfault.Lost):
		hangUp(ctx)
	case !ctx.Response.IsBodyStream() && board.Triggered(part, medlarfault.Cut):
		cut(ctx)
	}
}

// hangUp closes the connection without an answer.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// cut sends the first half of the answer and closes the connection.
func cut(ctx *fasthttp.RequestCtx) {
	whole := ctx.Response.String()
	body := strings.Index(whole, "\r\n\r\n")
	half := body + (len(whole)-body)/2
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = c.Write([]byte(whole[:half]))
		_ = c.Close()
	})
}

func later(ctx *fasthttp.RequestCtx, delay time.Duration, next fasthttp.RequestHandler) {
	again := copyOf(ctx)
	time.AfterFunc(delay, func() { next(again) })
}

func copyOf(ctx *fasthttp.RequestCtx) *fasthttp.RequestCtx {
	again := &fasthttp.RequestCtx{}
	again.Init(&fasthttp.Request{}, ctx.RemoteAddr(), quiet{})
	ctx.Request.CopyTo(&again.Request)
	return again
}

// WriteJSON answers with v as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v, json.Deterministic(true))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// ReadJSON reads the JSON body into v; when it cannot, it answers 400 and returns
// false.
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

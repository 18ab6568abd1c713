// Package medlarfakeservice implements a fake plain service. It executes every call
// that it receives, repeated ones too, and counts the calls by request.
package medlarfakeservice

import (
	"sync"

	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/upstream/medlarservice"
)

// Service is a fake service that counts calls. It is safe for concurrent use.
type Service struct {
	name string

	mu       sync.Mutex
	counts   map[medlarid.RequestID]int
	bodies   map[string]int
	accounts map[medlarid.AccountID]int
}

// New returns a service.
func New(name string) *Service {
	return &Service{
		name:     name,
		counts:   map[medlarid.RequestID]int{},
		bodies:   map[string]int{},
		accounts: map[medlarid.AccountID]int{},
	}
}

// Counts returns the number of calls per request.
func (s *Service) Counts() map[medlarid.RequestID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[medlarid.RequestID]int, len(s.counts))
	for k, n := range s.counts {
		out[k] = n
	}
	return out
}

// Bodies returns the number of calls per request body.
func (s *Service) Bodies() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.bodies))
	for k, n := range s.bodies {
		out[k] = n
	}
	return out
}

// response is the body of the service's response.
type response struct {
	Service string             `json:"service"`
	Account medlarid.AccountID `json:"account"`
	Method  string             `json:"method"`
	Path    string             `json:"path"`
	Body    string             `json:"body"`
}

// Handler returns an HTTP handler that serves any method and path.
func (s *Service) Handler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		id := medlarid.RequestID(ctx.Request.Header.Peek(medlarservice.HeaderRequestID))
		account := medlarid.AccountID(ctx.Request.Header.Peek(medlarservice.HeaderAccount))
		body := string(ctx.PostBody())
		s.mu.Lock()
		s.counts[id]++
		s.bodies[body]++
		s.accounts[account]++
		s.mu.Unlock()
		medlarhost.WriteJSON(ctx, response{
			Service: s.name,
			Account: account,
			Method:  string(ctx.Method()),
			Path:    string(ctx.RequestURI()),
			Body:    body,
		})
	}
}

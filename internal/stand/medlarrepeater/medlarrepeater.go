// Package medlarrepeater is a server that writes its previous response once more on a connection
// that is kept open.
//
// Rules:
//
//	R1  Each request gets its own response, in the order of the requests of all connections.
//	R2  A response that is not the first of its connection is preceded by a copy of the one before it, unless the
//	    form is None.
package medlarrepeater

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
)

// Limits and times.
const (
	maxHead  = 16 << 10              // bytes
	maxBody  = 1 << 20               // bytes
	copyWait = 20 * time.Millisecond // from a response until a copy that comes early
	partWait = 2 * time.Millisecond  // between two parts of a copy
	parts    = 4                     // of a copy that comes in parts
)

// Form is how the copy of a response is written.
type Form string

// Forms.
const (
	Whole   Form = "whole"   // at once, after the next request has been read
	Parts   Form = "parts"   // in several writes, after the next request has been read
	Chunked Form = "chunked" // as Whole, all responses in chunks
	Early   Form = "early"   // at once, before the next request is written
	None    Form = "none"    // there is no copy
)

// Forms are all forms of a copy.
var Forms = []Form{Whole, Parts, Chunked, Early}

// Response is a response of the server.
type Response struct {
	Status int
	Header string // further lines of the head, each with its line end
	Body   string
}

// Server is a running server.
type Server struct {
	Address medlarid.Address

	ln     net.Listener
	form   Form
	answer func(n int) Response

	mu       sync.Mutex
	requests int
	conns    int
}

// New starts a server on a loopback address. answer returns the response to the request with
// number n, which starts at 0.
func New(form Form, answer func(n int) Response) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Address: medlarid.Address(ln.Addr().String()), ln: ln, form: form, answer: answer}
	go s.accept()
	return s, nil
}

// Close stops the server. Open connections end with their next request.
func (s *Server) Close() { _ = s.ln.Close() }

// Conns returns the number of connections so far.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve answers the requests of a connection (R2).
func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	previous := ""
	for {
		req, err := medlarhead.ReadRequest(r, maxHead)
		if err != nil {
			return
		}
		if _, err := medlarframing.ReadBody(r, req, maxBody); err != nil {
			return
		}
		next := s.encode(s.respond())
		if s.form != Early && s.form != None {
			s.writeCopy(c, previous)
		}
		if _, err := c.Write([]byte(next)); err != nil {
			return
		}
		if previous = next; s.form == Early {
			time.Sleep(copyWait)
			s.writeCopy(c, previous)
		}
		if req.Close {
			return
		}
	}
}

// respond returns the response to the next request (R1).
func (s *Server) respond() Response {
	s.mu.Lock()
	n := s.requests
	s.requests++
	s.mu.Unlock()
	return s.answer(n)
}

func (s *Server) writeCopy(c net.Conn, response string) {
	n := len(response)
	if s.form == Parts {
		n = n/parts + 1
	}
	for len(response) > 0 {
		part := response[:min(n, len(response))]
		_, _ = c.Write([]byte(part))
		if response = response[len(part):]; response != "" {
			time.Sleep(partWait)
		}
	}
}

func (s *Server) encode(r Response) string {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\n%s", r.Status, r.Header)
	if s.form != Chunked {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(r.Body), r.Body)
	}
	body := "0\r\n\r\n"
	if r.Body != "" {
		body = fmt.Sprintf("%x\r\n%s\r\n%s", len(r.Body), r.Body, body)
	}
	return strings.Join([]string{head, "Transfer-Encoding: chunked\r\n\r\n", body}, "")
}

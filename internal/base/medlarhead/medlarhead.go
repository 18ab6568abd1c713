// Package medlarhead reads and writes HTTP/1.1 messages so that they can be passed
// on unchanged, and refuses what two programs could read in two ways.
//
// Rules:
//
//	R1  Lines end with CR LF. A line that continues the one before, a space before
//	    the colon, and control characters are refused.
//	R2  A message has one length at most: a second length, or a length beside a
//	    transfer coding, is refused, as is every coding but chunked.
//	R3  A body is whole only if its own framing says so. One that ends with its
//	    connection is whole only if the connection was closed in order.
//	R4  A head is bounded in bytes; a chunk's size line and the trailers as well.
package medlarhead

import (
	"bufio"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpRequest  Op = "request"
	OpResponse Op = "response"
	OpBody     Op = "body"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindClosed    Kind = "closed"    // the connection ended before the first byte
	KindBroken    Kind = "broken"    // the connection ended or failed within a message
	KindMalformed Kind = "malformed" // not HTTP/1.1, or ambiguous
	KindOversized Kind = "oversized" // larger than the limit
)

// Error is a message that could not be read.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, or an empty one.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Framing tells how the end of a body is found.
type Framing int

// Framings.
const (
	FramingNone    Framing = iota // there is no body
	FramingLength                 // Length bytes
	FramingChunked                // chunks
	FramingClose                  // the end of the connection; responses only
)

// Field is one line of a head, as it was sent.
type Field struct {
	Name  string
	Value string // without the white space around it
}

// Head is the head of a request or a response.
type Head struct {
	Method string // of a request
	Target string // of a request: path and query
	Status int    // of a response
	Fields []Field

	Framing Framing
	Length  int64 // bytes, with FramingLength
	// Close tells that the sender closes the connection after this message.
	Close bool
	// ExpectContinue tells that the sender waits for leave to send the body.
	ExpectContinue bool
}

// Path returns the target without its query.
func (h *Head) Path() string {
	path, _, _ := strings.Cut(h.Target, "?")
	return path
}

// Get returns the value of the first field with a name, in any case, and the
// number of fields that have it.
func (h *Head) Get(name string) (value string, count int) {
	for i := range h.Fields {
		if !strings.EqualFold(h.Fields[i].Name, name) {
			continue
		}
		if count == 0 {
			value = h.Fields[i].Value
		}
		count++
	}
	return value, count
}

// CheckFields reads the fields of a request's head, as they were sent, and returns an
// error if they are malformed or ambiguous. It is for a door whose HTTP library
// accepts more.
func CheckFields(raw string) error {
	raw = strings.TrimSuffix(raw, "\r\n")
	if strings.Count(raw, "\n") != strings.Count(raw, "\r\n") {
		return malformed(OpRequest, "line without CR LF")
	}
	return (&Head{}).parse(raw, "HTTP/1.1", OpRequest)
}

// usualFields is the number of fields that room is made for at first.
const usualFields = 16

// ReadRequest reads the head of a request of at most limit bytes. Its error is of
// KindClosed when the connection ended between two requests.
func ReadRequest(br *bufio.Reader, limit int) (*Head, error) {
	text, err := readText(br, limit, OpRequest)
	if err != nil {
		return nil, err
	}
	line, rest, _ := strings.Cut(text, "\r\n")
	method, line, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(line, " ")
	if !ok || !ok2 || !isToken(method) || !isTarget(target) {
		return nil, malformed(OpRequest, "request line")
	}
	h := &Head{Method: method, Target: target}
	if err := h.parse(rest, version, OpRequest); err != nil {
		return nil, err
	}
	if _, n := h.Get("Host"); n != 1 {
		return nil, malformed(OpRequest, "not exactly one Host field")
	}
	return h, nil
}

// ReadResponse reads the head of a response of at most limit bytes to a request
// with a method.
func ReadResponse(br *bufio.Reader, limit int, method string) (*Head, error) {
	text, err := readText(br, limit, OpResponse)
	if err != nil {
		return nil, err
	}
	line, rest, _ := strings.Cut(text, "\r\n")
	version, line, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(line, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return nil, malformed(OpResponse, "status line")
	}
	h := &Head{Status: status}
	if err := h.parse(rest, version, OpResponse); err != nil {
		return nil, err
	}
	bodiless := method == "HEAD" || status < 200 || status == 204 || status == 304
	switch {
	case bodiless:
		h.Framing, h.Length = FramingNone, 0
	case h.Framing == FramingNone && !h.hasLength():
		h.Framing, h.Close = FramingClose, true
	}
	return h, nil
}

// hasLength reports whether a length was sent.
func (h *Head) hasLength() bool {
	_, n := h.Get("Content-Length")
	return n > 0
}

// readText reads up to the empty line and returns the lines before it, the last
// one with its line end (R1, R4).
func readText(br *bufio.Reader, limit int, op Op) (string, error) {
	var b []byte
	for {
		part, err := br.ReadSlice('\n')
		b = append(b, part...)
		switch {
		case len(b) > limit:
			return "", &Error{Op: op, Kind: KindOversized, Err: eris.Errorf("head of more than %d bytes", limit)}
		case err == bufio.ErrBufferFull:
			continue
		case err != nil && len(b) == 0:
			return "", &Error{Op: op, Kind: KindClosed, Err: err}
		case err != nil:
			return "", &Error{Op: op, Kind: KindBroken, Err: err}
		case len(b) < 2 || b[len(b)-2] != '\r':
			return "", malformed(op, "line without CR LF")
		}
		if len(part) == 2 && part[0] == '\r' && (len(b) == 2 || b[len(b)-3] == '\n') {
			return string(b[:len(b)-2]), nil
		}
	}
}

// parse reads the fields of a head and finds how its body ends (R1, R2).
func (h *Head) parse(text, version string, op Op) error {
	if version != "HTTP/1.1" && (version != "HTTP/1.0" || op == OpRequest) {
		return malformed(op, "version")
	}
	h.Close = version == "HTTP/1.0"
	h.Fields = make([]Field, 0, usualFields)
	for text != "" {
		var line string
		line, text, _ = strings.Cut(text, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !ok || !isToken(name) || !isValue(value) {
			return malformed(op, "field")
		}
		h.Fields = append(h.Fields, Field{Name: name, Value: value})
		if err := h.note(name, value, op); err != nil {
			return err
		}
	}
	return nil
}

// note takes over what a field says about the message itself.
func (h *Head) note(name, value string, op Op) error {
	switch len(name) { // spares the comparisons of most fields
	case len("Content-Length"):
		if strings.EqualFold(name, "Content-Length") {
			return h.noteLength(value, op)
		}
	case len("Transfer-Encoding"):
		if strings.EqualFold(name, "Transfer-Encoding") {
			return h.noteCoding(value, op)
		}
	case len("Connection"):
		if strings.EqualFold(name, "Connection") && listHas(value, "close") {
			h.Close = true
		}
	case len("Expect"):
		if strings.EqualFold(name, "Expect") {
			h.ExpectContinue = strings.EqualFold(value, "100-continue")
		}
	}
	return nil
}

func (h *Head) noteLength(value string, op Op) error {
	n, err := strconv.ParseUint(value, 10, 62)
	if err != nil || value[0] == '+' {
		return malformed(op, "length")
	}
	if h.Framing != FramingNone || h.Length < 0 {
		return malformed(op, "second length")
	}
	h.Length = int64(n)
	if n > 0 || op == OpResponse {
		h.Framing = FramingLength
	} else {
		h.Length = noBody
	}
	return nil
}

// noBody marks a request whose length is 0 while its head is read.
const noBody = -1

func (h *Head) noteCoding(value string, op Op) error {
	if h.Framing != FramingNone || h.Length < 0 || !strings.EqualFold(value, "chunked") {
		return malformed(op, "transfer coding")
	}
	h.Framing = FramingChunked
	return nil
}

func malformed(op Op, what string) error {
	return &Error{Op: op, Kind: KindMalformed, Err: eris.New(what)}
}

// isToken reports whether s is a method or the name of a field.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-':
		case strings.IndexByte("!#$%&'*+.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return s != ""
}

// isTarget reports whether s is a path, with a query or without.
func isTarget(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f || s[i] == '#' {
			return false
		}
	}
	return strings.HasPrefix(s, "/")
}

// isValue reports whether s has no control characters but tabs.
func isValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// listHas reports whether a comma-separated list has a word, in any case.
func listHas(list, word string) bool {
	for list != "" {
		var item string
		item, list, _ = strings.Cut(list, ",")
		if strings.EqualFold(strings.Trim(item, " \t"), word) {
			return true
		}
	}
	return false
}

// hopFields are the fields that concern one connection only.
var hopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// EndToEnd calls add for each field that is to be passed on: not those that concern
// one connection, nor those that the sender declared to be such.
func (h *Head) EndToEnd(add func(Field)) {
	declared, _ := h.Get("Connection")
	for _, f := range h.Fields {
		if !isHop(f.Name) && (declared == "" || !listHas(declared, f.Name)) {
			add(f)
		}
	}
}

func isHop(name string) bool {
	for _, hop := range hopFields {
		if strings.EqualFold(name, hop) {
			return true
		}
	}
	return false
}

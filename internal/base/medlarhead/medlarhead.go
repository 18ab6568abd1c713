// Package medlarhead reads and writes the heads of HTTP/1.1 messages, and writes chunks, so that messages can be forwarded
// unchanged. It rejects messages that two implementations could parse differently,
// which would allow request smuggling.
//
// Rules:
//
//	R1  Lines end with CR LF. Folded lines, whitespace before the colon, and control
//	    characters are rejected. So is a response head with a status line within a line: another
//	    response began before it ended. So is a status outside 100 to 599.
//	R2  A message has at most one length: a second Content-Length, a Content-Length
//	    together with a Transfer-Encoding, and any coding but chunked are rejected.
//	R3  The size of a head is limited.
//
// Package medlarframing reads bodies.
package medlarhead

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"syscall"

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
	// KindUnreserved means that there is no memory for the message.
	KindUnreserved Kind = "unreserved"
)

// Error reports a message that could not be read.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ConnectionEnded reports whether an error means that the peer ended the connection before the
// message was complete.
func ConnectionEnded(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// KindOf returns the kind of an error of this package, or "" for other errors.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Framing is how the end of a body is determined.
type Framing int

// Framings.
const (
	FramingNone    Framing = iota // no body
	FramingLength                 // a body of Head.Length bytes
	FramingChunked                // chunked transfer coding
	FramingClose                  // until the connection is closed; responses only
)

// framingNames are the names of the framings in logs and metrics.
var framingNames = [...]string{FramingNone: "none", FramingLength: "length", FramingChunked: "chunked", FramingClose: "close"}

// String returns the name of the framing.
func (f Framing) String() string { return framingNames[f] }

// Field is one header field, as it was sent.
type Field struct {
	Name  string
	Value string // without surrounding whitespace
}

// Head is the head of a request or a response.
type Head struct {
	Method string // of a request
	Target string // of a request: the path and query
	Status int    // of a response
	Fields []Field

	Framing Framing
	Length  int64 // bytes, with FramingLength
	// Close means that the sender closes the connection after this message.
	Close bool
	// ExpectContinue means that the sender waits for a 100 response before it sends
	// the body.
	ExpectContinue bool
}

// Path returns the target without the query.
func (h *Head) Path() string {
	path, _, _ := strings.Cut(h.Target, "?")
	return path
}

// Get returns the value of the first field with the given name and the number of such
// fields. Names are case-insensitive.
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

// CheckFields parses the raw header fields of a request and returns an error if they
// are malformed or ambiguous. It is for listeners whose HTTP library is less strict.
func CheckFields(raw string) error {
	raw = strings.TrimSuffix(raw, "\r\n")
	if strings.Count(raw, "\n") != strings.Count(raw, "\r\n") {
		return Malformed(OpRequest, "line without CR LF")
	}
	return (&Head{}).parse(raw, "HTTP/1.1", OpRequest)
}

// initialFieldCapacity is the number of fields for which memory is allocated at first.
const initialFieldCapacity = 16

// ReadRequest reads a request head of at most limit bytes. The error has KindClosed if
// the connection ended before the first byte of a request.
func ReadRequest(br *bufio.Reader, limit int) (*Head, error) {
	text, err := readHead(br, limit, OpRequest)
	if err != nil {
		return nil, err
	}
	line, rest, _ := strings.Cut(text, "\r\n")
	method, line, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(line, " ")
	if !ok || !ok2 || !IsToken(method) || !isTarget(target) {
		return nil, Malformed(OpRequest, "request line")
	}
	h := &Head{Method: method, Target: target}
	if err := h.parse(rest, version, OpRequest); err != nil {
		return nil, err
	}
	if _, n := h.Get("Host"); n != 1 {
		return nil, Malformed(OpRequest, "not exactly one Host field")
	}
	return h, nil
}

// maxStatus is the highest status that HTTP knows a class of.
const maxStatus = 599

// versionPrefix begins each status line.
const versionPrefix = "HTTP/1."

// ReadResponse reads a response head of at most limit bytes; method is the method of
// the request.
func ReadResponse(br *bufio.Reader, limit int, method string) (*Head, error) {
	text, err := readHead(br, limit, OpResponse)
	if err != nil {
		return nil, err
	}
	if strings.LastIndex(text, versionPrefix) > 0 { // R1
		return nil, Malformed(OpResponse, "status line within a line")
	}
	line, rest, _ := strings.Cut(text, "\r\n")
	version, line, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(line, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || status > maxStatus {
		return nil, Malformed(OpResponse, "status line")
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

// hasLength reports whether the head has a Content-Length field.
func (h *Head) hasLength() bool {
	_, n := h.Get("Content-Length")
	return n > 0
}

// readHead reads up to and including the empty line and returns the lines before it,
// each with its CR LF (R1, R3).
func readHead(br *bufio.Reader, limit int, op Op) (string, error) {
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
			return "", Malformed(op, "line without CR LF")
		}
		if len(part) == 2 && part[0] == '\r' && (len(b) == 2 || b[len(b)-3] == '\n') {
			return string(b[:len(b)-2]), nil
		}
	}
}

// parse parses the fields of a head and determines the framing of its body (R1, R2).
func (h *Head) parse(text, version string, op Op) error {
	if version != "HTTP/1.1" && (version != "HTTP/1.0" || op == OpRequest) {
		return Malformed(op, "version")
	}
	h.Close = version == "HTTP/1.0"
	h.Fields = make([]Field, 0, initialFieldCapacity)
	for text != "" {
		var line string
		line, text, _ = strings.Cut(text, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !ok || !IsToken(name) || !IsValue(value) {
			return Malformed(op, "field")
		}
		h.Fields = append(h.Fields, Field{Name: name, Value: value})
		if err := h.applyField(name, value, op); err != nil {
			return err
		}
	}
	return nil
}

// applyField applies a field that describes the framing or the connection of the message.
func (h *Head) applyField(name, value string, op Op) error {
	switch len(name) { // avoids the string comparisons for most fields
	case len("Content-Length"):
		if strings.EqualFold(name, "Content-Length") {
			return h.applyContentLength(value, op)
		}
	case len("Transfer-Encoding"):
		if strings.EqualFold(name, "Transfer-Encoding") {
			return h.applyTransferEncoding(value, op)
		}
	case len("Connection"):
		if strings.EqualFold(name, "Connection") && listContains(value, "close") {
			h.Close = true
		}
	case len("Expect"):
		if strings.EqualFold(name, "Expect") {
			h.ExpectContinue = strings.EqualFold(value, "100-continue")
		}
	}
	return nil
}

func (h *Head) applyContentLength(value string, op Op) error {
	n, err := strconv.ParseUint(value, 10, 62)
	if err != nil || value[0] == '+' {
		return Malformed(op, "length")
	}
	if h.Framing != FramingNone || h.Length < 0 {
		return Malformed(op, "second length")
	}
	h.Length = int64(n)
	if n > 0 || op == OpResponse {
		h.Framing = FramingLength
	} else {
		h.Length = zeroLength
	}
	return nil
}

// zeroLength marks a request with a Content-Length of 0 while its head is parsed, so
// that a second length or a transfer coding is still detected.
const zeroLength = -1

func (h *Head) applyTransferEncoding(value string, op Op) error {
	if h.Framing != FramingNone || h.Length < 0 || !strings.EqualFold(value, "chunked") {
		return Malformed(op, "transfer coding")
	}
	h.Framing = FramingChunked
	return nil
}

// Malformed returns an error of KindMalformed.
func Malformed(op Op, reason string) error {
	return &Error{Op: op, Kind: KindMalformed, Err: eris.New(reason)}
}

// IsToken reports whether s is an HTTP token, the syntax of methods and field names.
func IsToken(s string) bool {
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

// isTarget reports whether s is a request target in origin form: a path with an
// optional query.
func isTarget(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f || s[i] == '#' {
			return false
		}
	}
	return strings.HasPrefix(s, "/")
}

// IsValue reports whether s has no control characters other than tabs.
func IsValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// listContains reports whether a comma-separated list contains word, ignoring case.
func listContains(list, word string) bool {
	for list != "" {
		var item string
		item, list, _ = strings.Cut(list, ",")
		if strings.EqualFold(strings.Trim(item, " \t"), word) {
			return true
		}
	}
	return false
}

// hopByHopFields apply to a single connection and are not forwarded. The framing
// fields are among them, as each connection frames the body by itself.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// EndToEnd calls add for each field that is to be forwarded. It skips the hop-by-hop
// fields and those that the Connection field declares as such.
func (h *Head) EndToEnd(add func(Field)) {
	declared, _ := h.Get("Connection")
	for _, f := range h.Fields {
		if !isHopByHop(f.Name) && (declared == "" || !listContains(declared, f.Name)) {
			add(f)
		}
	}
}

func isHopByHop(name string) bool {
	for _, hop := range hopByHopFields {
		if strings.EqualFold(name, hop) {
			return true
		}
	}
	return false
}

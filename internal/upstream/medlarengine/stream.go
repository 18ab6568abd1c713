package medlarengine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"

	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarevent"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarsequence"
)

// HTTP statuses that engines return.
const (
	statusOK          = 200
	statusConflict    = 409
	statusTooMany     = 429
	statusServerError = 500
	statusUnavailable = 503
)

// Sizes in bytes of the read buffer and of the longest line.
const (
	lineBufferSize = 4 << 10
	maxLineSize    = 1 << 20
)

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
)

// Chunk holds the next parts of an answer, in order.
type Chunk struct {
	Texts []string
	// Last marks the end of a complete answer; Usage and FinishReason are set then.
	Last         bool
	FinishReason string
	Usage        Usage
	Load         *Load // load of the engine at the end of the run, if reported
	Version      medlarid.WeightVersion
}

// Event is one server-sent event of an engine's answer.
type Event struct {
	RequestID medlarid.RequestID     `json:"request"`
	Version   medlarid.WeightVersion `json:"version"`
	Seq       int                    `json:"seq"`
	Choices   []EventChoice          `json:"choices"`
	// Usage is set in the final event only, where Seq is the number of parts.
	Usage *Usage `json:"usage,omitempty"`
	// Load is optional in the final event.
	Load *Load `json:"load,omitempty"`
}

// EventChoice carries the text of an event.
type EventChoice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Stream reads the streamed answer of one run.
type Stream struct {
	http    *medlarhttp.Stream
	request medlarid.RequestID
	reader  *bufio.Reader
	buffer  *medlarsequence.Buffer
	texts   []string
	final   *Event // the final event, kept until [DONE] arrives
}

func newLineReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, lineBufferSize) }

// Buffered reports whether data is buffered that Next can read without waiting.
func (s *Stream) Buffered() bool { return s.reader.Buffered() > 0 }

// Next returns the next parts of the answer in order. A stream that ends without
// its final event, or with a part missing, is an error of KindTruncated. An event that names another
// request, or a line that is none of a stream, such as the head of a further response, is one of KindMalformed.
func (s *Stream) Next() (Chunk, error) {
	for {
		data, err := s.nextData()
		if err != nil {
			return Chunk{}, streamError(err)
		}
		if bytes.Equal(data, doneData) {
			return s.finish()
		}
		var e Event
		if err := json.Unmarshal(data, &e); err != nil {
			return Chunk{}, &Error{Op: OpRun, Kind: KindMalformed, Err: eris.Wrap(err, "event")}
		}
		if e.RequestID != "" && e.RequestID != s.request {
			return Chunk{}, &Error{Op: OpRun, Kind: KindMalformed, Err: eris.New("event of another request")}
		}
		if e.Usage != nil {
			s.final = &e
			continue
		}
		if len(e.Choices) != 1 {
			return Chunk{}, &Error{Op: OpRun, Kind: KindMalformed, Err: eris.New("event does not have exactly one choice")}
		}
		s.texts, err = s.buffer.Push(s.texts[:0], medlarsequence.Part{Number: e.Seq, Text: e.Choices[0].Text})
		if err != nil {
			return Chunk{}, &Error{Op: OpRun, Kind: KindTruncated, Err: err}
		}
		if len(s.texts) > 0 {
			return Chunk{Texts: s.texts, Version: e.Version}, nil
		}
	}
}

func (s *Stream) finish() (Chunk, error) {
	if s.final == nil {
		return Chunk{}, &Error{Op: OpRun, Kind: KindTruncated, Err: eris.New("[DONE] without a final event")}
	}
	if err := s.buffer.CheckComplete(s.final.Seq); err != nil {
		return Chunk{}, &Error{Op: OpRun, Kind: KindTruncated, Err: err}
	}
	c := Chunk{Last: true, Usage: *s.final.Usage, Load: s.final.Load, Version: s.final.Version}
	if len(s.final.Choices) == 1 {
		c.FinishReason = s.final.Choices[0].FinishReason
	}
	return c, nil
}

// nextData returns the data of the next event.
func (s *Stream) nextData() ([]byte, error) {
	for {
		line, err := s.reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			line, err = s.readLongLine(line)
		}
		if err != nil {
			return nil, err
		}
		line = bytes.TrimSpace(line)
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(data), nil
		}
		if !medlarevent.IsLine(line) {
			return nil, &Error{Op: OpRun, Kind: KindMalformed, Err: eris.New("line of no event")}
		}
	}
}

// readLongLine reads the rest of a line that is longer than the buffer.
func (s *Stream) readLongLine(prefix []byte) ([]byte, error) {
	line := bytes.Clone(prefix)
	for {
		rest, err := s.reader.ReadSlice('\n')
		line = append(line, rest...)
		if err != bufio.ErrBufferFull || len(line) > maxLineSize {
			return line, err
		}
	}
}

// Close closes the stream and releases its connection.
func (s *Stream) Close() { s.http.Close() }

func streamError(err error) error {
	var own *Error
	if errors.As(err, &own) {
		return own
	}
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return &Error{Op: OpRun, Kind: KindTimeout, Err: err}
	}
	if errors.Is(err, io.EOF) {
		return &Error{Op: OpRun, Kind: KindTruncated, Err: eris.New("stream ended before [DONE]")}
	}
	return &Error{Op: OpRun, Kind: KindBroken, Err: err}
}

func jsonRequest(method string, at medlarid.Address, path string, v any) (medlarhttp.Request, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return medlarhttp.Request{}, err
	}
	return medlarhttp.Request{Method: method, Address: at, Path: path, ContentType: "application/json", Body: body}, nil
}

// responseError returns the error for a response with an error status, with the
// start of its body.
func responseError(s *medlarhttp.Stream) error {
	var text []byte
	if s.Body != nil {
		text, _ = io.ReadAll(io.LimitReader(s.Body, lineBufferSize))
	}
	return medlarhttp.StatusError(s.Status, text)
}

// wrap converts an error of the HTTP client into an Error of this package.
func wrap(op Op, err error) error {
	if err == nil {
		return nil
	}
	var e *medlarhttp.Error
	if !errors.As(err, &e) {
		return &Error{Op: op, Kind: KindBroken, Err: err}
	}
	return &Error{Op: op, Kind: httpErrorKind(e), Err: err}
}

func httpErrorKind(e *medlarhttp.Error) Kind {
	switch e.Kind {
	case medlarhttp.KindUnreachable:
		return KindUnreachable
	case medlarhttp.KindTimeout:
		return KindTimeout
	case medlarhttp.KindMalformed:
		return KindMalformed
	case medlarhttp.KindStatus:
		return statusKind(e.Status)
	default:
		return KindBroken
	}
}

func statusKind(status int) Kind {
	switch {
	case status == statusTooMany, status == statusUnavailable:
		return KindBusy
	case status == statusConflict:
		return KindVersion
	case status < statusServerError:
		return KindRefused
	default:
		return KindBroken
	}
}

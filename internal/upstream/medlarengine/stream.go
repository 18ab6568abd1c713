package medlarengine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"

	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarsequence"
)

// HTTP statuses of engines.
const (
	statusOK          = 200
	statusConflict    = 409
	statusTooMany     = 429
	statusServerError = 500
	statusUnavailable = 503
)

// Sizes of the reading buffers in bytes.
const (
	lineBuffer = 4 << 10
	maxLine    = 1 << 20
)

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// Chunk is the next part of an answer, in order.
type Chunk struct {
	Texts []string
	// Last tells that the answer is whole; Usage and Finish are set then.
	Last    bool
	Finish  string
	Usage   Usage
	Load    *Load // the engine's state at the end of the run, if it tells it
	Version medlarid.WeightVersion
}

// Event is one event of an engine's answer on the wire.
type Event struct {
	Request medlarid.RequestID     `json:"request"`
	Version medlarid.WeightVersion `json:"version"`
	Seq     int                    `json:"seq"`
	Choices []EventChoice          `json:"choices"`
	// Usage comes with the last event; Seq is then the number of parts.
	Usage *Usage `json:"usage,omitempty"`
	// Load may come with it.
	Load *Load `json:"load,omitempty"`
}

// EventChoice is the text of an event.
type EventChoice struct {
	Text   string `json:"text"`
	Finish string `json:"finish_reason,omitempty"`
}

// Stream reads the answer of one run.
type Stream struct {
	http  *medlarhttp.Stream
	lines *bufio.Reader
	order *medlarsequence.Buffer
	texts []string
	last  *Event // the closing event, until [DONE] has come
}

func newLines(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, lineBuffer) }

// Buffered reports whether the next call of Next can go on without waiting.
func (s *Stream) Buffered() bool { return s.lines.Buffered() > 0 }

// Next returns the next parts of the answer that are in order. A stream that
// ends without its closing event, or with a part missing, is an error of
// KindTruncated.
func (s *Stream) Next() (Chunk, error) {
	for {
		data, err := s.data()
		if err != nil {
			return Chunk{}, streamError(err)
		}
		if bytes.Equal(data, doneMark) {
			return s.finish()
		}
		var e Event
		if err := json.Unmarshal(data, &e); err != nil {
			return Chunk{}, &Error{Op: OpRun, Kind: KindMalformed, Err: eris.Wrap(err, "event")}
		}
		if e.Usage != nil {
			s.last = &e
			continue
		}
		if len(e.Choices) != 1 {
			return Chunk{}, &Error{Op: OpRun, Kind: KindMalformed, Err: eris.New("an event without a choice")}
		}
		s.texts, err = s.order.Push(s.texts[:0], medlarsequence.Part{Number: e.Seq, Text: e.Choices[0].Text})
		if err != nil {
			return Chunk{}, &Error{Op: OpRun, Kind: KindTruncated, Err: err}
		}
		if len(s.texts) > 0 {
			return Chunk{Texts: s.texts, Version: e.Version}, nil
		}
	}
}

func (s *Stream) finish() (Chunk, error) {
	if s.last == nil {
		return Chunk{}, &Error{Op: OpRun, Kind: KindTruncated, Err: eris.New("no closing event")}
	}
	if err := s.order.CheckComplete(s.last.Seq); err != nil {
		return Chunk{}, &Error{Op: OpRun, Kind: KindTruncated, Err: err}
	}
	c := Chunk{Last: true, Usage: *s.last.Usage, Load: s.last.Load, Version: s.last.Version}
	if len(s.last.Choices) == 1 {
		c.Finish = s.last.Choices[0].Finish
	}
	return c, nil
}

// data returns the data of the next event.
func (s *Stream) data() ([]byte, error) {
	for {
		line, err := s.lines.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			line, err = s.longLine(line)
		}
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix); ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

// longLine reads the rest of a line that is longer than the buffer.
func (s *Stream) longLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for {
		more, err := s.lines.ReadSlice('\n')
		line = append(line, more...)
		if err != bufio.ErrBufferFull || len(line) > maxLine {
			return line, err
		}
	}
}

// Close ends the stream and releases its connection.
func (s *Stream) Close() { s.http.Close() }

func streamError(err error) error {
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return &Error{Op: OpRun, Kind: KindTimeout, Err: err}
	}
	if errors.Is(err, io.EOF) {
		return &Error{Op: OpRun, Kind: KindTruncated, Err: eris.New("the stream ended early")}
	}
	return &Error{Op: OpRun, Kind: KindBroken, Err: err}
}

func jsonCall(method string, at medlarid.Address, path string, v any) (medlarhttp.Request, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return medlarhttp.Request{}, err
	}
	return medlarhttp.Request{Method: method, Address: at, Path: path, ContentType: "application/json", Body: body}, nil
}

// refusal reads the text of an answer that is no stream.
func refusal(s *medlarhttp.Stream) error {
	var text []byte
	if s.Body != nil {
		text, _ = io.ReadAll(io.LimitReader(s.Body, lineBuffer))
	}
	return medlarhttp.StatusError(s.Status, text)
}

// wrap turns an error of the HTTP client into one of this package.
func wrap(op Op, err error) error {
	if err == nil {
		return nil
	}
	var e *medlarhttp.Error
	if !errors.As(err, &e) {
		return &Error{Op: op, Kind: KindBroken, Err: err}
	}
	return &Error{Op: op, Kind: kindOfHTTP(e), Err: err}
}

func kindOfHTTP(e *medlarhttp.Error) Kind {
	switch e.Kind {
	case medlarhttp.KindUnreachable:
		return KindUnreachable
	case medlarhttp.KindTimeout:
		return KindTimeout
	case medlarhttp.KindMalformed:
		return KindMalformed
	case medlarhttp.KindStatus:
		return kindOfStatus(e.Status)
	default:
		return KindBroken
	}
}

func kindOfStatus(status int) Kind {
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

// Package medlarclient is an HTTP client of entry instances for trials, tests and
// measurements.
package medlarclient

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarhttp"
)

// lineBuffer is the size of the read buffer of a stream in bytes, and so the maximum
// length of a line.
const lineBuffer = 64 << 10

// Client sends requests as one client account. It is safe for concurrent use.
type Client struct {
	http *medlarhttp.Client
	key  string
}

// New returns a client that authenticates with a bearer key. With an empty key it sends
// no Authorization header.
func New(key string) *Client { return &Client{http: medlarhttp.New(time.Minute), key: key} }

// Prompt is the body of a text completion request.
type Prompt struct {
	Model     string `json:"model"`
	Text      string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// Stream requests the response as server-sent events.
	Stream bool `json:"stream"`
}

// Result is the response to a request, as the caller received it.
type Result struct {
	Status           int
	Request          medlarid.RequestID
	Version          medlarid.Offset // version of the configuration that handled the request
	Text             string
	Parts            int // text events of a streamed response
	TimeToFirstToken time.Duration
	Total            time.Duration
	Usage            medlarengine.Usage
	Complete         bool // the response ended normally, and was neither truncated nor refused
	Reason           medlarreason.Reason
	Ran              medlarreason.Ran
	RetryAfter       time.Duration
	Body             []byte // body of a response that is not streamed
	Replay           bool
}

type errorBody struct {
	Error struct {
		Reason medlarreason.Reason `json:"reason"`
		Ran    medlarreason.Ran    `json:"ran"`
		After  float64             `json:"after"`
	} `json:"error"`
}

type completionBody struct {
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage medlarengine.Usage `json:"usage"`
}

// Complete requests a completion from an entry instance. An error reports a failure of
// the connection; a refusal is a Result with a reason.
func (c *Client) Complete(at medlarid.Address, p Prompt) (Result, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return Result{}, err
	}
	return c.Send(medlarhttp.Request{
		Method: "POST", Address: at, Path: "/v1/completions", ContentType: "application/json", Body: body,
	})
}

// Send sends a request and reads the whole response.
func (c *Client) Send(call medlarhttp.Request) (Result, error) {
	if c.key != "" {
		call.Headers = append(call.Headers, medlarhttp.Header{Name: "Authorization", Value: "Bearer " + c.key})
	}
	begin := time.Now()
	s, err := c.http.OpenPooled(call)
	if err != nil {
		return Result{}, err
	}
	defer s.Close()
	r := Result{Status: s.Status, Request: medlarid.RequestID(s.Header("X-Request-Id")), Replay: s.Header("Medlar-Replayed") == "yes"}
	version, _ := strconv.ParseUint(s.Header("Medlar-Version"), 10, 64)
	r.Version = medlarid.Offset(version)
	if strings.HasPrefix(s.Header("Content-Type"), "text/event-stream") {
		err = r.readStream(s.Body, begin)
	} else {
		err = r.readBody(s.Body)
	}
	r.Total = time.Since(begin)
	if r.TimeToFirstToken == 0 {
		r.TimeToFirstToken = r.Total
	}
	return r, err
}

func (r *Result) readBody(body io.Reader) error {
	var err error
	if r.Body, err = io.ReadAll(body); err != nil {
		return err
	}
	if r.Status >= 300 {
		r.readError(r.Body)
		return nil
	}
	var c completionBody
	if json.Unmarshal(r.Body, &c) == nil && len(c.Choices) == 1 {
		r.Text, r.Usage = c.Choices[0].Text, c.Usage
		r.Complete = c.Choices[0].Finish != nil
	}
	return nil
}

// readError reads the reason, the execution state and the delay before a retry from an
// error body.
func (r *Result) readError(body []byte) {
	var e errorBody
	if json.Unmarshal(body, &e) == nil {
		r.Reason, r.Ran = e.Error.Reason, e.Error.Ran
		r.RetryAfter = time.Duration(e.Error.After * float64(time.Second))
	}
}

// readStream reads server-sent events until the stream ends. A stream that ends with
// neither [DONE] nor an error event is an error only if reading it failed before the
// end of the body.
func (r *Result) readStream(body io.Reader, begin time.Time) error {
	lines := bufio.NewReaderSize(body, lineBuffer)
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	failed := false
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			if r.Complete || failed || err == io.EOF {
				return nil
			}
			return eris.Wrap(err, "read event stream")
		}
		line = bytes.TrimSpace(line)
		if bytes.Equal(line, []byte("event: error")) {
			failed = true
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !ok:
		case failed:
			r.readError(data)
		case string(data) == "[DONE]":
			r.Complete = true
		default:
			if r.TimeToFirstToken == 0 {
				r.TimeToFirstToken = time.Since(begin)
			}
			r.readEvent(data, &text)
		}
	}
}

func (r *Result) readEvent(data []byte, text *strings.Builder) {
	var c completionBody
	if json.Unmarshal(data, &c) != nil || len(c.Choices) != 1 {
		return
	}
	if c.Choices[0].Finish != nil {
		r.Usage = c.Usage
		return
	}
	r.Parts++
	text.WriteString(c.Choices[0].Text)
}

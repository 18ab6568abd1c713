// Package medlarprompt reads the bodies of completion requests.
//
// Rules:
//
//	R1  Members that the package does not name are left to their defaults, as
//	    callers' libraries send many.
//	R2  A conversation is rendered so that one which goes on starts with the same
//	    text: its blocks match.
package medlarprompt

import (
	"fmt"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarengine"
)

// OpParse reads a body.
const OpParse Op = "parse"

// Op names the operation that failed.
type Op string

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindSyntax Kind = "syntax"
	KindValue  Kind = "value"
)

// Error is a body that cannot be used.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns the cause, for the caller.
func (e *Error) Error() string { return fmt.Sprint(e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is a completion request.
type Request struct {
	Model     medlarid.ModelID
	Adapter   medlarid.AdapterID
	Text      string          // the prompt
	MaxTokens medlarid.Tokens // 0 when the request names none
	Stream    bool
	Sampling  medlarengine.Sampling
}

// body is the body of both kinds of completion (R1).
type body struct {
	Model       string    `json:"model"`
	Prompt      string    `json:"prompt"`
	Messages    []message `json:"messages"`
	Max         *int      `json:"max_tokens"`
	Stream      bool      `json:"stream"`
	Temperature *float64  `json:"temperature"`
	TopP        *float64  `json:"top_p"`
	Seed        *int64    `json:"seed"`
}

type message struct {
	Role    string         `json:"role"`
	Content jsontext.Value `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Parse reads the body of a conversation or of a text completion.
func Parse(data []byte, chat bool) (*Request, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, &Error{Op: OpParse, Kind: KindSyntax, Err: err}
	}
	text, err := b.text(chat)
	if err == nil && b.Max != nil && *b.Max < 1 {
		err = eris.Errorf("max_tokens: want 1 or more, got %d", *b.Max)
	}
	if err != nil {
		return nil, &Error{Op: OpParse, Kind: KindValue, Err: err}
	}
	model, adapter, _ := strings.Cut(b.Model, "/")
	r := &Request{
		Model:    medlarid.ModelID(model),
		Adapter:  medlarid.AdapterID(adapter),
		Text:     text,
		Stream:   b.Stream,
		Sampling: medlarengine.Sampling{Temperature: b.Temperature, TopP: b.TopP, Seed: b.Seed},
	}
	if b.Max != nil {
		r.MaxTokens = medlarid.Tokens(*b.Max)
	}
	return r, nil
}

// text returns the prompt as one text.
func (b *body) text(chat bool) (string, error) {
	if chat {
		return renderChat(b.Messages)
	}
	if b.Prompt == "" {
		return "", eris.New("prompt: want a text")
	}
	return b.Prompt, nil
}

// renderChat writes a conversation as one text (R2).
func renderChat(messages []message) (string, error) {
	if len(messages) == 0 {
		return "", eris.New("messages: want at least one")
	}
	var b strings.Builder
	for i, m := range messages {
		content, err := m.text()
		if err != nil || m.Role == "" {
			return "", eris.Errorf("messages: number %d: want a role and a text", i+1)
		}
		b.WriteString("<|" + m.Role + "|>\n" + content + "\n")
	}
	return b.String() + "<|assistant|>\n", nil
}

// text returns the content, which is a text or a list of texts.
func (m message) text() (string, error) {
	var s string
	if err := json.Unmarshal(m.Content, &s); err == nil {
		return s, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", err
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", eris.Errorf("content of type %q", p.Type)
		}
		s += p.Text
	}
	return s, nil
}

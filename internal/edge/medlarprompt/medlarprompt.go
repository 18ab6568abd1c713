// Package medlarprompt parses the bodies of completion requests. Clients receive the
// texts of its errors.
//
// Rules:
//
//	R1  JSON members that the package does not know are ignored and left to their
//	    defaults, as client libraries send many of them.
//	R2  A conversation is rendered so that its text is a prefix of the text of any
//	    continuation of it: then the KV blocks of the two match.
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

// OpParse parses a body.
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

// Error reports a body that is not a valid request.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns the text of the cause, which clients receive.
func (e *Error) Error() string { return fmt.Sprint(e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is a completion request.
type Request struct {
	Model     medlarid.ModelID
	Adapter   medlarid.AdapterID
	Text      string          // the prompt
	MaxTokens medlarid.Tokens // 0 if the request sets none
	Stream    bool
	Sampling  medlarengine.Sampling
}

// body is the JSON body of a chat or text completion request (R1). The names of this
// package, body and message occur in the texts of syntax errors, which clients receive.
type body struct {
	Model       string    `json:"model"`
	Prompt      string    `json:"prompt"`
	Messages    []message `json:"messages"`
	MaxTokens   *int      `json:"max_tokens"`
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

// Parse parses the body of a chat completion request if chat is set, else of a text
// completion request.
func Parse(data []byte, chat bool) (*Request, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, &Error{Op: OpParse, Kind: KindSyntax, Err: err}
	}
	text, err := b.promptText(chat)
	if err == nil && b.MaxTokens != nil && *b.MaxTokens < 1 {
		err = eris.Errorf("max_tokens: want 1 or more, got %d", *b.MaxTokens)
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
	if b.MaxTokens != nil {
		r.MaxTokens = medlarid.Tokens(*b.MaxTokens)
	}
	return r, nil
}

// promptText returns the text of the prompt.
func (b *body) promptText(chat bool) (string, error) {
	if chat {
		return renderChat(b.Messages)
	}
	if b.Prompt == "" {
		return "", eris.New("prompt: want a text")
	}
	return b.Prompt, nil
}

// renderChat renders a conversation as the text of a prompt (R2).
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

// text returns the text of the content, which is a string or a list of parts of
// type text.
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

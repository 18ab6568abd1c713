// Package medlaranswer has the forms of answers to completion requests: whole, and
// as server-sent events.
package medlaranswer

import (
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarengine"
)

// ModelList is the answer to GET /v1/models.
type ModelList struct {
	Object string       `json:"object"`
	Data   []ModelEntry `json:"data"`
}

// ModelEntry is one model of a list.
type ModelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// Completion is an answer, or the first or last event of one.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   medlarid.ModelID   `json:"model"`
	Choices []choice           `json:"choices"`
	Usage   medlarengine.Usage `json:"usage"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitzero"`
	Message *chatOut `json:"message,omitzero"`
	Delta   *chatOut `json:"delta,omitzero"`
	Finish  *string  `json:"finish_reason"`
}

type chatOut struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Formatter writes the answer to one request.
type Formatter struct {
	id      medlarid.RequestID
	model   medlarid.ModelID
	chat    bool
	created int64
	head    []byte // start of every event
}

// New returns the form of an answer that begins at a time.
func New(id medlarid.RequestID, m medlarid.ModelID, chat bool, begun time.Time) *Formatter {
	f := &Formatter{id: id, model: m, chat: chat, created: begun.Unix()}
	f.head = f.eventHead()
	return f
}

// Response returns the whole answer.
func (f *Formatter) Response(text, finish string, u medlarengine.Usage) Completion {
	c := f.completion(false)
	c.Usage = u
	c.Choices = []choice{{Finish: &finish}}
	if f.chat {
		c.Choices[0].Message = &chatOut{Role: "assistant", Content: text}
	} else {
		c.Choices[0].Text = &text
	}
	return c
}

// FinalChunk returns the last event of a stream.
func (f *Formatter) FinalChunk(finish string, u medlarengine.Usage) Completion {
	c := f.completion(true)
	c.Usage = u
	c.Choices = []choice{{Finish: &finish}}
	empty := ""
	if f.chat {
		c.Choices[0].Delta = &chatOut{}
	} else {
		c.Choices[0].Text = &empty
	}
	return c
}

func (f *Formatter) completion(stream bool) Completion {
	object := "text_completion"
	switch {
	case f.chat && stream:
		object = "chat.completion.chunk"
	case f.chat:
		object = "chat.completion"
	}
	return Completion{ID: string(f.id), Object: object, Created: f.created, Model: f.model}
}

// eventHead returns the bytes that all events of the stream start with.
func (f *Formatter) eventHead() []byte {
	b, err := json.Marshal(f.completion(true))
	if err != nil {
		return nil
	}
	s := string(b)
	return []byte("data: " + s[:strings.Index(s, `"choices":`)])
}

// AppendEvents appends one event for each text.
func (f *Formatter) AppendEvents(b []byte, texts []string) []byte {
	for _, t := range texts {
		b = append(b, f.head...)
		if f.chat {
			b = append(b, `"choices":[{"index":0,"delta":{"content":`...)
		} else {
			b = append(b, `"choices":[{"index":0,"text":`...)
		}
		b, _ = jsontext.AppendQuote(b, t) // what is not UTF-8 is replaced
		if f.chat {
			b = append(b, '}')
		}
		b = append(b, ",\"finish_reason\":null}]}\n\n"...)
	}
	return b
}

// Event returns one event with v as its data; name may be empty.
func Event(name string, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	var b []byte
	if name != "" {
		b = append(b, "event: "+name+"\n"...)
	}
	b = append(b, "data: "...)
	b = append(b, data...)
	return append(b, "\n\n"...)
}

// Package medlaranswer formats the responses to completion requests, as one response
// or as server-sent events.
package medlaranswer

import (
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarengine"
)

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string       `json:"object"`
	Data   []ModelEntry `json:"data"`
}

// ModelEntry is one model of a ModelList.
type ModelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// Completion is a response, or a chunk of a streamed response.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   medlarid.ModelID   `json:"model"`
	Choices []choice           `json:"choices"`
	Usage   medlarengine.Usage `json:"usage"`
}

type choice struct {
	Index   int          `json:"index"`
	Text    *string      `json:"text,omitzero"`
	Message *chatMessage `json:"message,omitzero"`
	Delta   *chatMessage `json:"delta,omitzero"`
	Finish  *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Formatter formats the response to one request.
type Formatter struct {
	id      medlarid.RequestID
	model   medlarid.ModelID
	chat    bool
	created int64
	prefix  []byte // what every text event starts with
}

// New returns a Formatter for a response created at the given time.
func New(id medlarid.RequestID, m medlarid.ModelID, chat bool, created time.Time) *Formatter {
	f := &Formatter{id: id, model: m, chat: chat, created: created.Unix()}
	f.prefix = f.eventPrefix()
	return f
}

// Response returns the response for a request that is not streamed.
func (f *Formatter) Response(text, finish string, u medlarengine.Usage) Completion {
	c := f.completion(false)
	c.Usage = u
	c.Choices = []choice{{Finish: &finish}}
	if f.chat {
		c.Choices[0].Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Choices[0].Text = &text
	}
	return c
}

// FinalChunk returns the last chunk of a stream, with the finish reason and usage.
func (f *Formatter) FinalChunk(finish string, u medlarengine.Usage) Completion {
	c := f.completion(true)
	c.Usage = u
	c.Choices = []choice{{Finish: &finish}}
	empty := ""
	if f.chat {
		c.Choices[0].Delta = &chatMessage{}
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

// eventPrefix returns the bytes that every text event of the stream starts with.
func (f *Formatter) eventPrefix() []byte {
	b, err := json.Marshal(f.completion(true))
	if err != nil {
		return nil
	}
	s := string(b)
	return []byte("data: " + s[:strings.Index(s, `"choices":`)])
}

// AppendEvents appends one event per text to b.
func (f *Formatter) AppendEvents(b []byte, texts []string) []byte {
	for _, t := range texts {
		b = append(b, f.prefix...)
		if f.chat {
			b = append(b, `"choices":[{"index":0,"delta":{"content":`...)
		} else {
			b = append(b, `"choices":[{"index":0,"text":`...)
		}
		b, _ = jsontext.AppendQuote(b, t) // invalid UTF-8 is replaced
		if f.chat {
			b = append(b, '}')
		}
		b = append(b, ",\"finish_reason\":null}]}\n\n"...)
	}
	return b
}

// Event returns an event with v as its JSON data; name may be empty.
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

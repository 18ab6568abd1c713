package medlarprompt

import (
	"errors"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for _, tc := range []struct {
		name string
		chat bool
		body string
		want string // the text of the prompt, or "!" and the error text
	}{
		{"text completion", false, `{"model":"m","prompt":"Dear parish,"}`, "Dear parish,"},
		{"unknown members", false, `{"prompt":"x","logit_bias":{"1":2}}`, "x"},
		{"chat completion", true, `{"messages":[{"role":"user","content":"hi"}]}`, "<|user|>\nhi\n<|assistant|>\n"},
		{"content in parts", true, `{"messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, "<|user|>\nab\n<|assistant|>\n"},
		{"content of another type", true, `{"messages":[{"role":"user","content":[{"type":"image"}]}]}`, "!messages: number 1: want a role and a text"},
		{"no role", true, `{"messages":[{"content":"hi"}]}`, "!messages: number 1: want a role and a text"},
		{"no messages", true, `{}`, "!messages: want at least one"},
		{"no prompt", false, `{}`, "!prompt: want a text"},
		{"max_tokens of zero", false, `{"prompt":"x","max_tokens":0}`, "!max_tokens: want 1 or more, got 0"},
	} {
		t.Run(tc.name, func(t *testing.T) { checkParse(t, tc.body, tc.chat, tc.want) })
	}
}

func checkParse(t *testing.T, body string, chat bool, want string) {
	t.Helper()
	r, err := Parse([]byte(body), chat)
	wantText, wantErr := strings.CutPrefix(want, "!")
	var e *Error
	switch {
	case wantErr && (!errors.As(err, &e) || e.Error() != wantText):
		t.Errorf("Parse error = %v, want %s", err, wantText)
	case !wantErr && (err != nil || r.Text != want):
		t.Errorf("Parse = %+v, %v, want text %q", r, err, want)
	}
}

func TestExtendedConversationKeepsPrefix(t *testing.T) {
	conversation, err := Parse([]byte(`{"messages":[{"role":"user","content":"hi"}]}`), true)
	if err != nil {
		t.Fatal(err)
	}
	extended, err := Parse([]byte(`{"messages":[{"role":"user","content":"hi"},{"role":"assistant","content":"yes"},{"role":"user","content":"go on"}]}`), true)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(extended.Text, conversation.Text) {
		t.Errorf("text of the extended conversation %q does not start with %q", extended.Text, conversation.Text)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m/a","prompt":"x","max_tokens":3}`), false)
	f.Add([]byte(`{"messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`), true)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		if r, err := Parse(data, chat); err == nil && (r.Text == "" || r.MaxTokens < 0) {
			t.Errorf("Parse accepted an invalid request: %+v", r)
		}
	})
}

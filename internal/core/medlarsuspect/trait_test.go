package medlarsuspect

import (
	"slices"
	"strings"
	"testing"
)

// TestSameRequest guards against a request that is sent again and not recognized, and against
// others that are taken for it.
func TestSameRequest(t *testing.T) {
	base := Request{Method: "POST", Host: "letters.example", Target: "/read/x?n=1", Account: "acme", Prompt: "m,aa:100,own:5", Body: []byte("{}")}
	for _, tc := range []struct {
		name          string
		change        func(*Request)
		same, content bool
	}{
		{"nothing", func(*Request) {}, true, true},
		{"case of the host", func(q *Request) { q.Host = "Letters.Example" }, true, true},
		{"host", func(q *Request) { q.Host = "other.example" }, false, true},
		{"method", func(q *Request) { q.Method = "PUT" }, false, true},
		{"query", func(q *Request) { q.Target = "/read/x?n=2" }, false, true},
		{"prompt", func(q *Request) { q.Prompt = "m,aa:100,other:5" }, false, true},
		{"path", func(q *Request) { q.Target = "/read/y?n=1" }, false, false},
		{"account", func(q *Request) { q.Account = "acm" }, false, false},
		{"body", func(q *Request) { q.Body = []byte("{ }") }, false, false},
		{"bytes moved from the path to the account", func(q *Request) { q.Target, q.Account = "/read/", "xacme" }, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := base
			tc.change(&q)
			a, b := base.Traits(), q.Traits()
			if got := a[0] == b[0]; got != tc.same {
				t.Errorf("the same request: %v, want %v", got, tc.same)
			}
			if got := a[1] == b[1]; got != tc.content {
				t.Errorf("the same content: %v, want %v", got, tc.content)
			}
		})
	}
}

// TestPartIsNoRequest guards against a client that names a part of a prompt like another
// client's request, to have that blocked or cleared.
func TestPartIsNoRequest(t *testing.T) {
	q := Request{Target: "/read/x"}
	for _, trait := range append(q.Traits(), PartTrait(strings.Repeat("x", maxPartLength+1))) {
		if got := PartTrait(string(trait)); slices.Contains(q.Traits(), got) || got == trait {
			t.Errorf("a part with the id %s is the trait %s", trait, got)
		}
	}
	if got := PartTrait("5c1e07a2"); got != "5c1e07a2" {
		t.Errorf("trait %s of a part, want its id", got)
	}
}

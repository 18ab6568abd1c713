package medlarhttp_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/stand/medlarrepeater"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarinstance"
	"medlarfield/internal/upstream/medlarlog"
	"medlarfield/internal/upstream/medlarservice"
	"medlarfield/internal/upstream/medlarstore"
	"medlarfield/internal/upstream/medlarweight"
)

// repeatPause is the time between two calls, in which a copy that comes early arrives.
const repeatPause = 60 * time.Millisecond

// caller returns a function that makes a call to one peer and returns what its answer states.
type caller func(h *medlarhttp.Client, at medlarid.Address) func() any

// TestRepeatedResponseIsNotTakenForTheNext guards against the answer to an earlier call that is taken for the present
// one because the peer wrote its last response once more.
func TestRepeatedResponseIsNotTakenForTheNext(t *testing.T) {
	for _, tc := range []struct {
		name    string
		call    caller
		answers [2]medlarrepeater.Response
		want    []any
	}{
		{"run", callRun, [2]medlarrepeater.Response{stream("one"), stream("two")}, []any{"one", "two"}},
		{"rejected run", callRun, [2]medlarrepeater.Response{{Status: 429}, stream("two")}, []any{medlarengine.KindBusy, "two"}},
		{"cancellation", callCancel, [2]medlarrepeater.Response{{Status: 200}, {Status: 503}}, []any{"", medlarengine.KindBusy}},
		{"status of an engine", callStatus, bodies(`{"running":1}`, `{"running":2}`), []any{1, 2}},
		{"events of an engine", callEvents, bodies(`{"epoch":"a","next":1}`, `{"epoch":"b","next":1}`), []any{"a", "b"}},
		{"order to an engine", callOrder, [2]medlarrepeater.Response{{Status: 200}, {Status: 409}}, []any{"", medlarengine.KindFenced}},
		{"export", callExport, bodies(`{"blocks":[{"slot":1}]}`, `{"blocks":[{"slot":2}]}`), []any{uint64(1), uint64(2)}},
		{"import", callImport, bodies(`{"blocks":[]}`, `{"blocks":[{"slot":2}]}`), []any{"", medlarengine.KindMismatch}},
		{"service", callService, bodies("one", "two"), []any{"200 one", "200 two"}},
		{"rejection by a service", callService, [2]medlarrepeater.Response{{Status: 503}, {Status: 200, Body: "two"}}, []any{"503 ", "200 two"}},
		{"reservation in a store", callReserve, bodies(`{"blocks":[{"slot":1}]}`, `{"blocks":[{"slot":2}]}`), []any{uint64(1), uint64(2)}},
		{"commit to a store", callCommit, [2]medlarrepeater.Response{{Status: 200}, {Status: 409}}, []any{"", medlarstore.KindStale}},
		{"search in a store", callFind, bodies(`{"blocks":[{"slot":1}]}`, `{"blocks":[]}`), []any{1, 0}},
		{"append to the log", callAppend, bodies(`{"first":1}`, `{"first":2}`), []any{medlarid.Offset(1), medlarid.Offset(2)}},
		{"read of the log", callRead, bodies(`{"next":1}`, `{"next":2}`), []any{medlarid.Offset(1), medlarid.Offset(2)}},
		{"instance list", callInstances, bodies(`{"instances":[]}`, `{"instances":[{"id":"a","address":"127.0.0.1:1","role":"store"}]}`), []any{0, 1}},
		{"catalog of weights", callWeights, bodies(`{"loading":1}`, `{"loading":2}`), []any{1, 2}},
	} {
		for _, form := range medlarrepeater.Forms {
			t.Run(fmt.Sprintf("%s/%s", tc.name, form), func(t *testing.T) {
				t.Parallel()
				assertOwnResponses(t, form, tc.call, tc.answers, tc.want)
			})
		}
	}
}

func assertOwnResponses(t *testing.T, form medlarrepeater.Form, call caller, answers [2]medlarrepeater.Response, want []any) {
	t.Helper()
	s, err := medlarrepeater.New(form, func(n int) medlarrepeater.Response { return answers[n] })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	next := call(medlarhttp.New(time.Second), s.Address)
	var got []any
	for range answers {
		got = append(got, next())
		time.Sleep(repeatPause)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("stated by the calls, (-) wanted, (+) got:\n%s", diff)
	}
}

func bodies(first, second string) [2]medlarrepeater.Response {
	return [2]medlarrepeater.Response{{Status: 200, Body: first}, {Status: 200, Body: second}}
}

// stream returns a whole answer of an engine with one part.
func stream(text string) medlarrepeater.Response {
	events := []string{fmt.Sprintf(`{"seq":0,"choices":[{"text":%q}]}`, text), `{"seq":1,"choices":[{}],"usage":{}}`, "[DONE]"}
	return medlarrepeater.Response{
		Status: 200, Header: "Content-Type: text/event-stream\r\n", Body: "data: " + strings.Join(events, "\n\ndata: ") + "\n\n",
	}
}

// engineKind returns the kind of an error of an engine call; empty for none.
func engineKind(err error) any {
	if err == nil {
		return ""
	}
	return medlarengine.KindOf(err)
}

func newEngines(h *medlarhttp.Client) *medlarengine.Client {
	return medlarengine.New(h, time.Second, time.Second)
}

func callRun(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any {
		s, err := newEngines(h).Run(at, medlarengine.RunRequest{RequestID: "r"})
		if err != nil {
			return engineKind(err)
		}
		defer s.Close()
		text := ""
		for {
			c, err := s.Next()
			if err != nil {
				return err.Error()
			}
			if c.Last {
				return text
			}
			text += strings.Join(c.Texts, "")
		}
	}
}

func callCancel(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any { return engineKind(newEngines(h).Cancel(at, "r")) }
}

func callStatus(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any {
		l, err := newEngines(h).Status(at)
		if err != nil {
			return err.Error()
		}
		return l.Running
	}
}

func callEvents(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any {
		ev, err := newEngines(h).Events(at, 1)
		if err != nil {
			return err.Error()
		}
		return ev.Epoch
	}
}

func callOrder(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any { return engineKind(newEngines(h).SendOrder(at, medlarengine.Order{})) }
}

func callExport(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any {
		blocks, err := newEngines(h).Export(at, nil)
		if err != nil || len(blocks) != 1 {
			return fmt.Sprint(blocks, err)
		}
		return blocks[0].Slot
	}
}

func callImport(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any { return engineKind(newEngines(h).Import(at, "ticket", nil, time.Second)) }
}

func callService(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any {
		r, err := medlarservice.New(h).Call(at, medlarservice.Request{ID: "r", Method: "GET", Path: "/"}, time.Second)
		if err != nil {
			return err.Error()
		}
		return fmt.Sprintf("%d %s", r.Status, r.Body)
	}
}

func newStores(h *medlarhttp.Client) *medlarstore.Client { return medlarstore.New(h, time.Second) }

func callReserve(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any {
		blocks, err := newStores(h).Reserve(at, "a", []medlarkey.Key{{}}, 1)
		if err != nil || len(blocks) != 1 {
			return fmt.Sprint(blocks, err)
		}
		return blocks[0].Slot
	}
}

func callCommit(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any {
		if err := newStores(h).Commit(at, nil); err != nil {
			return medlarstore.KindOf(err)
		}
		return ""
	}
}

func callFind(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any {
		blocks, err := newStores(h).Find(at, []medlarkey.Key{{}}, time.Second)
		if err != nil {
			return err.Error()
		}
		return len(blocks)
	}
}

func callAppend(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any {
		o, err := medlarlog.New(h, at, time.Second).Append("s", []byte("x"))
		if err != nil {
			return err.Error()
		}
		return o
	}
}

func callRead(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any {
		b, err := medlarlog.New(h, at, time.Second).Read("s", 1, 10, 0)
		if err != nil {
			return err.Error()
		}
		return b.Next
	}
}

func callInstances(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any {
		l, err := medlarinstance.New(h, at, time.Second).List()
		if err != nil {
			return err.Error()
		}
		return len(l.Instances)
	}
}

func callWeights(h *medlarhttp.Client, at medlarid.Address) func() any {
	return func() any {
		c, err := medlarweight.New(h, at, time.Second).List()
		if err != nil {
			return err.Error()
		}
		return c.Loading
	}
}

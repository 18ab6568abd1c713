package medlarstorerelay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/peer/medlartunnel"
)

func fullAnswer() answer {
	parts := []medlarinventory.StoredPart{{Key: medlarkey.Key{1}, Tokens: 100}, {Key: medlarkey.Key{2}, Tokens: maxTokens}}
	return answer{
		nonce: 7,
		lists: []report{{store: "a", generation: 1, epoch: 1 << 60, sequence: 5, first: true, added: parts}},
		states: []report{
			{store: "a", generation: 1, epoch: 2, sequence: 6, base: 5, status: statusDated, age: 1234 * time.Microsecond, added: parts[:1], removed: []medlarkey.Key{{3}, {4}}},
			{store: "b", status: statusAbsent},
		},
	}
}

// TestMessages guards against messages that another instance understands otherwise.
func TestMessages(t *testing.T) {
	a := fullAnswer()
	unknown := protowire.AppendFixed64(protowire.AppendTag(a.encode(), 99, protowire.Fixed64Type), 1) // of a later build
	for _, b := range [][]byte{a.encode(), unknown} {
		if got, err := decodeAnswer(b); err != nil || !reflect.DeepEqual(got, a) {
			t.Errorf("answer is decoded as %+v, %v, want %+v", got, err, a)
		}
	}
	q := request{nonce: 3, wants: []want{{"a", 1}, {"b", 2}}}
	if got, err := decodeRequest(q.encode()); err != nil || !reflect.DeepEqual(got, q) {
		t.Errorf("request is decoded as %+v, %v, want %+v", got, err, q)
	}
}

// TestMessagesBeyondBounds guards against an instance that holds whatever another one sends it.
func TestMessagesBeyondBounds(t *testing.T) {
	many := answer{states: make([]report, 2*maxStores+1)}
	wants := request{wants: make([]want, maxStores+1)}
	for i := range many.states {
		many.states[i].store = "a"
	}
	for i := range wants.wants {
		wants.wants[i].store = "a"
	}
	long := report{store: medlarid.InstanceID(strings.Repeat("x", maxName+1))}
	for name, b := range map[string][]byte{
		"reports":             many.encode(),
		"name":                answer{states: []report{long}}.encode(),
		"no name":             answer{states: []report{{}}}.encode(),
		"tokens":              answer{lists: []report{{store: "a", added: []medlarinventory.StoredPart{{Tokens: maxTokens + 1}}}}}.encode(),
		"status":              answer{states: []report{{store: "a", status: 3}}}.encode(),
		"part of a key":       appendBytes(nil, fieldState, appendBytes(report{store: "a"}.encode(), fieldRemoved, make([]byte, 17))),
		"part without tokens": appendBytes(nil, fieldState, appendBytes(report{store: "a"}.encode(), fieldAdded, make([]byte, 16))),
		"cut off":             fullAnswer().encode()[:30],
	} {
		if _, err := decodeAnswer(b); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := decodeRequest(wants.encode()); err == nil {
		t.Error("too many stores in a request: no error")
	}
	if _, err := readMessage(bufio.NewReader(bytes.NewReader(protowire.AppendVarint(nil, maxAnswer+1))), maxAnswer); err == nil {
		t.Error("too long a message: no error")
	}
}

func FuzzDecodeAnswer(f *testing.F) {
	f.Add(fullAnswer().encode())
	f.Add(request{nonce: 1, wants: []want{{"a", 1}}}.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if a, err := decodeAnswer(b); err == nil {
			if again, err := decodeAnswer(a.encode()); err != nil || len(again.states) != len(a.states) {
				t.Errorf("%+v is decoded as %+v, %v", a, again, err)
			}
		}
		_, _ = decodeRequest(b)
	})
}

// reader is a reader under the control of the test.
type reader struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
	last request
}

// request reads the next request.
func (r *reader) request() request {
	b, err := readMessage(r.in, maxRequest)
	if err != nil {
		r.t.Fatal(err)
	}
	r.last, err = decodeRequest(b)
	if err != nil {
		r.t.Fatal(err)
	}
	return r.last
}

// list sends a list of a store with one part, and state its state.
func (r *reader) list(sequence uint64) error {
	w := r.last.wants[0]
	return writeMessage(r.conn, answer{nonce: r.last.nonce, lists: []report{{
		store: w.store, generation: w.generation, epoch: 1, sequence: sequence, first: true, added: []medlarinventory.StoredPart{{Key: medlarkey.Key{1}, Tokens: 100}},
	}}}.encode())
}

func (r *reader) state(base, sequence uint64, s status, age time.Duration) error {
	w := r.last.wants[0]
	return writeMessage(r.conn, answer{nonce: r.last.nonce, states: []report{{
		store: w.store, generation: w.generation, epoch: 1, base: base, sequence: sequence, status: s, age: age,
	}}}.encode())
}

// TestReports checks what an instance makes of the messages of a reader.
func TestReports(t *testing.T) {
	for _, tc := range []struct {
		name      string
		suspended time.Duration // time for which the instance is suspended between a request and its answer
		play      func(*reader)
		want      string // reports: complete or not, age at the request, which was sent 100 ms before the answer
	}{
		{"list and state", 0, func(r *reader) {
			_ = r.list(5)
			_ = r.state(5, 5, statusDated, 300*time.Millisecond)
		}, "all 300ms"},
		{"no state yet", 0, func(r *reader) { _ = r.list(5) }, ""},
		{"no recent contents", 0, func(r *reader) {
			_ = r.list(5)
			_ = r.state(5, 5, statusUndated, 0)
		}, ""},
		{"state without a list", 0, func(r *reader) { _ = r.state(5, 5, statusDated, 0) }, ""},
		{"contents become stale", 0, func(r *reader) {
			_ = r.list(5)
			_ = r.state(5, 5, statusDated, 0)
			_ = r.state(5, 5, statusUndated, 0)
			_ = r.state(5, 5, statusUndated, 0)
		}, "all 0s, stale"},
		{"gap", 0, func(r *reader) {
			_ = r.list(5)
			_ = r.state(5, 5, statusDated, 0)
			_ = r.state(6, 7, statusDated, 0)
			_ = r.state(5, 5, statusDated, 0)
		}, "all 0s, stale"},
		{"piece of another list", 0, func(r *reader) {
			_ = r.list(5)
			w := r.last.wants[0]
			_ = writeMessage(r.conn, answer{nonce: r.last.nonce, lists: []report{{store: w.store, generation: w.generation, sequence: 6}}}.encode())
			_ = r.state(6, 6, statusDated, 0)
		}, ""},
		{"answer to no request", 0, func(r *reader) {
			r.last.nonce += 9
			_ = r.list(5)
			_ = r.state(5, 5, statusDated, 0)
		}, ""},
		{"earlier subscription", 0, func(r *reader) {
			r.last.wants[0].generation += 9
			_ = r.list(5)
			_ = r.state(5, 5, statusDated, 0)
		}, ""},
		{"suspended meanwhile", time.Second, func(r *reader) {
			_ = r.list(5)
			_ = r.state(5, 5, statusDated, 300*time.Millisecond)
		}, "all 1.3s"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var suspended time.Duration
				var reports []string
				var asked time.Time
				near, far := net.Pipe()
				fleet := []Instance{}
				for i := range 20 {
					fleet = append(fleet, Instance{ID: medlarid.InstanceID(fmt.Sprintf("entry-%02d", i))})
				}
				r := New(Deps{
					Self: "self", Instances: func() []Instance { return fleet }, Stores: func() []medlarid.InstanceID { return []medlarid.InstanceID{"kv"} },
					Suspended: func() time.Duration { return suspended }, Publisher: NewPublisher(func() time.Duration { return 0 }), OnDirect: func() {}, OnRead: func() {},
					Subscribe: func(context.Context, medlartunnel.Peer) (net.Conn, error) { return near, nil },
					Post: func(e medlarworld.Event) {
						r := e.(medlarworld.InventoryReported)
						switch {
						case r.At.IsZero():
							reports = append(reports, "stale")
						case r.Reset:
							reports = append(reports, fmt.Sprint("all ", asked.Sub(r.At)))
						default:
							reports = append(reports, fmt.Sprint("more ", asked.Sub(r.At)))
						}
					},
				})
				r.update(t.Context())
				reader := &reader{t: t, conn: far, in: bufio.NewReader(far)}
				asked = time.Now()
				reader.request()
				time.Sleep(100 * time.Millisecond)
				r.mu.Lock()
				suspended = tc.suspended
				r.mu.Unlock()
				done := make(chan struct{})
				go func() {
					defer close(done)
					_, _ = io.Copy(io.Discard, far)
				}()
				tc.play(reader)
				synctest.Wait()
				if got := strings.Join(reports, ", "); got != tc.want {
					t.Errorf("reports are %q, want %q", got, tc.want)
				}
				_ = near.Close()
				_ = far.Close()
				<-done
			})
		})
	}
}

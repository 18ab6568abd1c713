package medlarstorerelay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/peer/medlarstoremessage"
	"medlarfield/internal/peer/medlartunnel"
)

// subscriberTest is an instance that gets the contents of one store from readers that the test plays.
type subscriberTest struct {
	t     *testing.T
	relay *Relay
	began time.Time

	mu        sync.Mutex
	suspended time.Duration
	others    int // live instances
	reports   []string
	conns     chan net.Conn
}

const testStore = medlarid.InstanceID("kv")

// newSubscriberTest returns an instance of a fleet with 20 others, which has looked at the readers once.
func newSubscriberTest(t *testing.T) *subscriberTest {
	f := &subscriberTest{t: t, began: time.Now(), others: 20, conns: make(chan net.Conn, 8)}
	none := func() time.Duration { return 0 }
	f.relay = New(Deps{
		Self: "self", Publisher: NewPublisher(none), OnDirect: func() {}, OnRead: func() {}, Post: f.post,
		Instances: func() (out []Instance) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for i := range f.others {
				out = append(out, Instance{ID: medlarid.InstanceID(fmt.Sprintf("entry-%02d", i))})
			}
			return out
		},
		Stores: func() []medlarid.InstanceID { return []medlarid.InstanceID{testStore} },
		Suspended: func() time.Duration {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.suspended
		},
		Subscribe: func(context.Context, medlartunnel.Peer) (net.Conn, error) {
			near, far := net.Pipe()
			f.conns <- far
			return near, nil
		},
	})
	f.relay.update(t.Context())
	return f
}

// post records a report as text: all contents, changes or that they are stale, the date since the begin of the test, and
// the start of the store unless it is the first one.
func (f *subscriberTest) post(e medlarworld.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := e.(medlarworld.InventoryReported)
	text := "more"
	if r.Reset {
		text = "all"
	}
	if r.At.IsZero() {
		text += " stale"
	} else {
		text += fmt.Sprint(" ", r.At.Sub(f.began))
	}
	if r.Epoch != 1 {
		text += fmt.Sprint(" start ", r.Epoch)
	}
	f.reports = append(f.reports, text)
}

// setOthers sets the number of other instances, and makes the instance look at the readers.
func (f *subscriberTest) setOthers(n int) {
	f.mu.Lock()
	f.others = n
	f.mu.Unlock()
	f.relay.update(f.t.Context())
}

// want asserts which reports there have been since the last call.
func (f *subscriberTest) want(want string) {
	f.t.Helper()
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if got := strings.Join(f.reports, ", "); got != want {
		f.t.Errorf("reports are %q, want %q", got, want)
	}
	f.reports = nil
}

// reader is a reader that the test plays.
type reader struct {
	conn net.Conn
	last medlarstoremessage.Request // first one; later ones are discarded
}

// accept returns the next reader that the instance has chosen, with the first request.
func (f *subscriberTest) accept() *reader {
	f.t.Helper()
	conn := <-f.conns
	f.t.Cleanup(func() {
		_ = conn.Close()
		time.Sleep(time.Second)
	})
	b, err := medlarstoremessage.Read(bufio.NewReader(conn), medlarstoremessage.MaxRequest)
	if err != nil {
		f.t.Fatal(err)
	}
	q, err := medlarstoremessage.DecodeRequest(b)
	if err != nil {
		f.t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	return &reader{conn: conn, last: q}
}

// list sends the contents of the store: one part.
func (r *reader) list(sequence uint64, first bool) {
	w := r.last.Wants[0]
	_ = medlarstoremessage.Write(r.conn, medlarstoremessage.Answer{Nonce: r.last.Nonce, Lists: []medlarstoremessage.Report{{
		Store: w.Store, Generation: w.Generation, Epoch: 1, Sequence: sequence, First: first, Added: []medlarinventory.StoredPart{{Key: medlarkey.Key{1}, Tokens: 100}},
	}}}.Encode())
}

// state sends the state of the store.
func (r *reader) state(p medlarstoremessage.Report) {
	p.Store, p.Generation = r.last.Wants[0].Store, r.last.Wants[0].Generation
	_ = medlarstoremessage.Write(r.conn, medlarstoremessage.Answer{Nonce: r.last.Nonce, States: []medlarstoremessage.Report{p}}.Encode())
}

// dated sends that the contents are recent.
func (r *reader) dated(base, sequence uint64, age time.Duration) {
	r.state(medlarstoremessage.Report{Epoch: 1, Base: base, Sequence: sequence, Status: medlarstoremessage.StatusDated, Age: age})
}

// TestReports checks what an instance makes of the messages of a reader, which come 100 ms after its request.
func TestReports(t *testing.T) {
	for _, tc := range []struct {
		name      string
		suspended time.Duration // time for which the instance is suspended between a request and its answer
		play      func(*reader)
		want      string
	}{
		{"list and state", 0, func(r *reader) {
			r.list(5, true)
			r.dated(5, 5, 300*time.Millisecond)
		}, "all -300ms"},
		{"no state yet", 0, func(r *reader) { r.list(5, true) }, ""},
		{"no recent contents", 0, func(r *reader) {
			r.list(5, true)
			r.state(medlarstoremessage.Report{Epoch: 1, Base: 5, Sequence: 5})
		}, ""},
		{"state without a list", 0, func(r *reader) { r.dated(5, 5, 0) }, ""},
		{"contents become stale", 0, func(r *reader) {
			r.list(5, true)
			r.dated(5, 5, 0)
			r.state(medlarstoremessage.Report{Epoch: 1, Base: 5, Sequence: 5})
			r.state(medlarstoremessage.Report{Epoch: 1, Base: 5, Sequence: 5})
		}, "all 0s, more stale"},
		{"new start while contents are stale", 0, func(r *reader) {
			r.list(5, true)
			r.dated(5, 5, 0)
			r.state(medlarstoremessage.Report{Epoch: 1, Base: 5, Sequence: 5})
			r.state(medlarstoremessage.Report{Epoch: 2, Base: 5, Sequence: 5})
		}, "all 0s, more stale, more stale start 2"},
		{"gap", 0, func(r *reader) {
			r.list(5, true)
			r.dated(5, 5, 0)
			r.dated(6, 7, 0)
			r.dated(5, 5, 0)
		}, "all 0s, more stale"},
		{"piece of another list", 0, func(r *reader) {
			r.list(5, true)
			r.list(6, false)
			r.dated(6, 6, 0)
		}, ""},
		{"answer to no request", 0, func(r *reader) {
			r.last.Nonce += 9
			r.list(5, true)
			r.dated(5, 5, 0)
		}, ""},
		{"earlier subscription", 0, func(r *reader) {
			r.last.Wants[0].Generation += 9
			r.list(5, true)
			r.dated(5, 5, 0)
		}, ""},
		{"suspended meanwhile", time.Second, func(r *reader) {
			r.list(5, true)
			r.dated(5, 5, 300*time.Millisecond)
		}, "all -1.3s"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSubscriberTest(t)
				r := f.accept()
				time.Sleep(100 * time.Millisecond)
				f.mu.Lock()
				f.suspended = tc.suspended
				f.mu.Unlock()
				tc.play(r)
				f.want(tc.want)
			})
		})
	}
}

// TestNextReaderHasOlderContents guards against a next reader whose older contents replace what is known: they may have
// parts that were freed since.
func TestNextReaderHasOlderContents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSubscriberTest(t)
		first := f.accept()
		time.Sleep(100 * time.Millisecond)
		first.list(5, true)
		first.dated(5, 5, 0)
		f.want("all 0s")
		_ = first.conn.Close()
		synctest.Wait()
		f.relay.update(t.Context())
		next := f.accept() // asked at 100 ms
		next.list(9, true)
		next.dated(9, 9, 150*time.Millisecond)
		f.want("")
		next.state(medlarstoremessage.Report{Epoch: 1, Base: 9, Sequence: 10, Status: medlarstoremessage.StatusDated, Age: 40 * time.Millisecond, Removed: []medlarkey.Key{{1}}})
		f.want("all 60ms")
	})
}

// TestNextReaderIsBehindNewStart guards against a next reader that makes contents current which had become stale after
// it read them.
func TestNextReaderIsBehindNewStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSubscriberTest(t)
		first := f.accept()
		first.list(5, true)
		first.dated(5, 5, 300*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		first.state(medlarstoremessage.Report{Epoch: 2, Base: 5, Sequence: 5})
		f.want("all -300ms, more stale start 2")
		_ = first.conn.Close()
		synctest.Wait()
		f.relay.update(t.Context())
		next := f.accept() // asked at 100 ms
		next.list(9, true)
		next.dated(9, 9, 50*time.Millisecond)
		f.want("")
	})
}

// TestOwnReportsWhileOthersAreTheSource guards against a call that was in progress when another instance became the source,
// and whose report is mixed with those of that one.
func TestOwnReportsWhileOthersAreTheSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSubscriberTest(t)
		r := f.accept()
		r.list(5, true)
		r.dated(5, 5, 0)
		f.want("all 0s")
		f.relay.Report(medlarworld.InventoryReported{Store: testStore, Epoch: 1, At: time.Now(), Reset: true})
		f.relay.Report(medlarworld.InventoryReported{Store: testStore, Epoch: 1, At: time.Now()})
		f.want("")
	})
}

// TestOwnReadingFollowsOthers guards against own contents that are older than those of another instance and replace
// them, and against a store that is not listed when the instance reads it again.
func TestOwnReadingFollowsOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSubscriberTest(t)
		begin := time.Now()
		r := f.accept()
		r.list(5, true)
		time.Sleep(100 * time.Millisecond)
		r.dated(5, 5, 0)
		f.want("all 0s")
		before, ok := f.relay.Reads(testStore)
		if ok {
			t.Error("the instance reads the store although another one is the source")
		}
		f.setOthers(0)
		f.relay.Report(medlarworld.InventoryReported{Store: testStore, Epoch: 1, At: begin.Add(-time.Millisecond), Reset: true})
		f.want("all stale")
		f.relay.Report(medlarworld.InventoryReported{Store: testStore, Epoch: 1, At: begin.Add(90 * time.Millisecond)})
		f.want("more 90ms")
		f.setOthers(20)
		next := f.accept()
		next.list(5, true)
		next.dated(5, 5, 0)
		f.want("all 100ms")
		f.setOthers(20)
		f.setOthers(0)
		if after, ok := f.relay.Reads(testStore); !ok || after == before {
			t.Errorf("turn %d follows %d, want another one", after, before)
		}
	})
}

// TestReaderThatWasSuspended guards against a reader that relays contents without the time for which it was suspended since
// its call to the store began.
func TestReaderThatWasSuspended(t *testing.T) {
	var suspended time.Duration
	p := NewPublisher(func() time.Duration { return suspended })
	c := &subscriber{wake: make(chan struct{}, 1), sent: map[medlarid.InstanceID]position{}, wants: []medlarstoremessage.Want{{Store: testStore, Generation: 1}}}
	p.Began(testStore)
	suspended = 300 * time.Millisecond // in the call
	p.Report(medlarworld.InventoryReported{Store: testStore, Epoch: 1, At: time.Now(), Reset: true})
	for _, tc := range []struct {
		suspended time.Duration
		want      medlarstoremessage.Status
	}{{300 * time.Millisecond, medlarstoremessage.StatusDated}, {800 * time.Millisecond, medlarstoremessage.StatusDated}, {2 * time.Second, medlarstoremessage.StatusUndated}} {
		suspended = tc.suspended
		_, a := p.collect(c)
		if got := a.States[0]; got.Status != tc.want || got.Age < tc.suspended || got.Age > tc.suspended+time.Second {
			t.Errorf("suspended for %v: status %d, age %v", tc.suspended, got.Status, got.Age)
		}
	}
}

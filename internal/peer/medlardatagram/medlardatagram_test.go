package medlardatagram

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarhistory"
	"medlarfield/internal/core/medlarload"
	"medlarfield/internal/core/medlarsum"
	"medlarfield/internal/core/medlarworld"
)

var (
	loads   = []medlarload.Load{{Upstream: 7, Open: 3, Pending: 1280}, {Upstream: 1 << 31, Open: 1}}
	changes = []medlarhistory.ChangeAge{{Model: "m", Version: "12", Age: 3300 * time.Millisecond}, {Model: "n", Version: "2"}}
	report  = medlarworld.TellLoad{Loads: loads, Changes: changes}
)

// TestMessage guards against a datagram that is read otherwise than it was written, or not refused.
func TestMessage(t *testing.T) {
	want := message{Sender: "entry-1", Key: 1<<63 + 5, Serial: 42, Loads: loads}
	b := encode(want)
	got, err := decode(b)
	if d := cmp.Diff(want, got); d != "" || err != nil {
		t.Errorf("error %v, message:\n%s", err, d)
	}
	for n := range b {
		if m, err := decode(b[:n]); err == nil && len(m.Loads) > 0 {
			t.Errorf("the first %d of %d bytes are read as %+v", n, len(b), m)
		}
	}
	if _, err := decode(nil); err == nil {
		t.Error("an empty datagram is read")
	}
	huge := encode(message{Sender: "x", Loads: []medlarload.Load{{Upstream: 1, Open: 1 << 40, Pending: 1 << 50}}})
	if m, err := decode(huge); err != nil || m.Loads[0].Open != maxOpen || m.Loads[0].Pending != maxPending {
		t.Errorf("loads %+v, error %v; want them bounded", m.Loads, err)
	}
}

// TestMessageWithChanges guards against ages of changes that are read otherwise than they were written, or in part.
func TestMessageWithChanges(t *testing.T) {
	want := message{Sender: "entry-1", Key: 5, Serial: 42, Loads: loads, Changes: changes}
	b := encode(want)
	got, err := decode(b)
	if d := cmp.Diff(want, got); d != "" || err != nil {
		t.Errorf("error %v, message:\n%s", err, d)
	}
	for n := range b {
		m, err := decode(b[:n])
		if kept := len(m.Changes); err == nil && (kept == len(changes) || cmp.Diff(changes[:kept], m.Changes, cmpopts.EquateEmpty()) != "") {
			t.Errorf("the first %d of %d bytes are read as %+v", n, len(b), m)
		}
	}
	huge := encode(message{Sender: "x", Changes: []medlarhistory.ChangeAge{{Model: "m", Version: "2", Age: math.MaxInt64}}})
	if m, err := decode(huge); err != nil || m.Changes[0].Age <= 0 {
		t.Errorf("changes %+v, error %v; want a bounded age", m.Changes, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(message{Sender: "entry-1", Key: 5, Serial: 42, Loads: loads}))
	f.Add(encode(message{Sender: "entry-1", Key: 5, Serial: 42, Loads: loads, Changes: changes}))
	f.Add(encode(message{Sender: "entry-1", Key: 5, Serial: 42, Sum: &medlarsum.Message{Kind: medlarsum.KindTotal, Ranges: 2, Range: 1, Report: 9, Loads: loads}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decode(b)
		if err != nil {
			return
		}
		again, err := decode(encode(m))
		if d := cmp.Diff(m.Sender, again.Sender); d != "" || err != nil {
			t.Errorf("error %v, sender:\n%s", err, d)
		}
	})
}

// node is an open socket and what it has received.
type node struct {
	*Socket
	got     chan medlarworld.PeerLoadReported
	ignored chan error
}

func newNode(t *testing.T, id medlarid.InstanceID, key Key) *node {
	t.Helper()
	n := &node{got: make(chan medlarworld.PeerLoadReported, 8), ignored: make(chan error, 8)}
	n.Socket = New(Deps{Self: id, Key: key, OnForgotten: func(medlarid.InstanceID) {}, OnIgnored: func(err error) { n.ignored <- err }})
	n.SetOnLoad(func(e medlarworld.PeerLoadReported) { n.got <- e })
	if err := n.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

func (n *node) peer() Peer { return Peer{Address: n.Address(), Key: n.Key()} }

const (
	soon    = 2 * time.Second
	nothing = 100 * time.Millisecond
)

func (n *node) assertGot(t *testing.T, want medlarworld.PeerLoadReported) {
	t.Helper()
	select {
	case got := <-n.got:
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("received:\n%s", d)
		}
	case <-time.After(soon):
		t.Error("nothing received")
	}
}

func (n *node) assertNothing(t *testing.T) {
	t.Helper()
	select {
	case got := <-n.got:
		t.Errorf("received %+v, want nothing", got)
	case <-time.After(nothing):
	}
}

// TestSocket guards against datagrams of an earlier start, of strangers, and of ones that overtook one another.
func TestSocket(t *testing.T) {
	a, b := newNode(t, "a", 1), newNode(t, "b", 2)
	a.SetPeer("b", b.peer())
	a.SetPeer("a", a.peer())
	a.Tell(report)
	b.assertNothing(t) // b does not know a yet
	b.SetPeer("a", a.peer())
	a.Tell(report)
	b.assertGot(t, medlarworld.PeerLoadReported{Peer: "a", Loads: loads, Changes: changes})
	a.assertNothing(t)

	a.serial -= 2
	a.Tell(report)
	b.assertNothing(t) // an earlier datagram
	a.serial += 2
	a.Tell(medlarworld.TellLoad{})
	b.assertGot(t, medlarworld.PeerLoadReported{Peer: "a"})

	b.SetPeer("a", Peer{Address: a.Address(), Key: 9}) // a has started again
	a.Tell(report)
	b.assertNothing(t)

	a.SetPeer("b", Peer{})
	b.SetPeer("a", a.peer())
	a.Tell(report)
	b.assertNothing(t) // b has stopped
	if _, err := a.conn.WriteToUDPAddrPort([]byte{255}, netip.MustParseAddrPort(string(a.Address()))); err != nil {
		t.Fatal(err)
	}
	select {
	case <-a.ignored:
	case <-time.After(soon):
		t.Error("a malformed datagram is not reported")
	}
}

// TestTargets guards against a growing fleet in which each instance tells all others, and against peers that are
// gone and get datagrams for ever.
func TestTargets(t *testing.T) {
	s := New(Deps{Self: "self"})
	for i := range maxTargets {
		s.SetPeer(medlarid.InstanceID(rune('a'+i)), Peer{Address: "127.0.0.1:9"})
	}
	now := time.Now()
	assertTargets := func(what string, at time.Time, want int, wantFew bool) {
		t.Helper()
		if out, few := s.targets(at); len(out) != want || few != wantFew {
			t.Errorf("%s: %d targets, few %v; want %d, %v", what, len(out), few, want, wantFew)
		}
	}
	assertTargets("as many peers as are told", now, maxTargets, false)
	s.SetPeer("one more", Peer{Address: "127.0.0.1:9"})
	assertTargets("more peers than are told", now, keepAliveTargets, true)
	assertTargets("a moment later", now.Add(keepAliveInterval/2), 0, true)
	assertTargets("an interval later", now.Add(keepAliveInterval), keepAliveTargets, true)
	s.SetPeer("one more", Peer{})
	later := now.Add(silence + time.Second)
	assertTargets("silent peers are tried", later, maxTargets, false)
	assertTargets("but not each time", later.Add(time.Second), 0, false)
	assertTargets("and again", later.Add(retryInterval), maxTargets, false)
	if out := s.forget(now.Add(forgetAfter - time.Second)); len(out) != 0 {
		t.Errorf("%d peers are forgotten too soon", len(out))
	}
	if out := s.forget(now.Add(forgetAfter + time.Second)); len(out) != maxTargets || len(s.peers) != 0 {
		t.Errorf("%d peers are forgotten, %d are left; want all gone", len(out), len(s.peers))
	}
}

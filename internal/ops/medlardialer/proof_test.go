package medlardialer

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreach"
	"medlarfield/internal/edge/medlarpath"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/ops/medlarpathstate"
	"medlarfield/internal/peer/medlartunnel"
)

// newDialer returns a Dialer that knows one replica, to which connections open, and on which calls end as prove does.
func newDialer(prove func(net.Conn) error) *Dialer {
	d := New(Deps{
		Dial: func(context.Context, medlarid.Address) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			return near, nil
		},
		Prove: prove, OnDial: func(medlarreach.Outcome) {}, OnProof: func(medlarreach.Outcome) {},
	})
	d.Connect(func(medlarid.InstanceID) (Replica, bool) { return Replica{Incarnation: 1}, true }, nil, nil)
	return d
}

// TestRelayProvesItsPath guards against an instance that relays over a path on which connections open and no answer
// arrives, and against a call for each connection that it relays.
func TestRelayProvesItsPath(t *testing.T) {
	for _, tc := range []struct {
		name  string
		err   error         // of the call
		got   time.Duration // since the last byte of the replica; 0 for none
		want  medlartunnel.Result
		calls int
	}{
		{"answered", nil, 0, medlartunnel.ResultOpened, 1},
		{"unanswered", os.ErrDeadlineExceeded, 0, medlartunnel.ResultSilent, 1},
		{"ended", io.EOF, 0, medlartunnel.ResultRefused, 1},
		{"a byte came lately", io.EOF, provenTTL / 2, medlartunnel.ResultOpened, 0},
		{"a byte came long ago", io.EOF, 2 * provenTTL, medlartunnel.ResultRefused, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			calls := 0
			d := newDialer(func(net.Conn) error { calls++; return tc.err })
			if tc.got > 0 {
				at := time.Now().Add(-tc.got)
				d.table.Got(at, at, "r", false)
			}
			c, got := d.dialForPeer(t.Context(), "r", 1)
			if c != nil {
				_ = c.Close()
			}
			if got != tc.want || calls != tc.calls {
				t.Errorf("result %d after %d calls, want %d after %d", got, calls, tc.want, tc.calls)
			}
		})
	}
}

// TestResetIsNoRefusal guards against a replica that is taken to have crashed with a request, as a connection to it was reset:
// a proxy or a balancer opens and resets it where the replica was down before.
func TestResetIsNoRefusal(t *testing.T) {
	for _, tc := range []struct {
		name        string
		open, prove error
		want        medlarpathstate.State
	}{
		{"answers", nil, nil, medlarpathstate.StateAnswered},
		{"does not answer in time", nil, os.ErrDeadlineExceeded, medlarpathstate.StateUp},
		{"opens, and ends", nil, io.EOF, medlarpathstate.StateEnds},
		{"opens, and is reset", nil, syscall.ECONNRESET, medlarpathstate.StateEnds},
		{"is reset", syscall.ECONNRESET, nil, medlarpathstate.StateUp},
		{"is refused", syscall.ECONNREFUSED, nil, medlarpathstate.StateRefuses},
	} {
		d := newDialer(func(net.Conn) error { return tc.prove })
		open := d.deps.Dial
		d.deps.Dial = func(ctx context.Context, at medlarid.Address) (net.Conn, error) {
			if tc.open != nil {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", tc.open)}
			}
			return open(ctx, at)
		}
		d.paths = medlarpath.New(medlarpath.Deps{
			Dial: d.deps.Dial, Prove: d.deps.Prove, OnDial: d.deps.OnDial, OnProof: d.deps.OnProof, Sent: d.sent, Got: d.got, Left: d.left,
		})
		if got := d.Examine(medlarpool.Target{ID: "r"}, true); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
	}
}

// TestOlderRelayIsAskedOn guards against an instance of an earlier build that is asked last for a connection, as it does not
// know the question whether a replica answers it.
func TestOlderRelayIsAskedOn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			_, _ = c.Write([]byte{byte(medlartunnel.ResultOpened)})
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	d := New(Deps{Zone: "z", Client: medlartunnel.NewClient("self", nil), OnAsked: func(medlarreach.Outcome) {}})
	d.Connect(func(medlarid.InstanceID) (Replica, bool) { return Replica{Incarnation: 1}, true }, nil, nil)
	d.SetPeer("older", medlarnotice.Peer{Relay: medlarid.Address(ln.Addr().String()), Zone: "far"})
	d.SetPeer("unreached", medlarnotice.Peer{Relay: "127.0.0.1:1", Zone: "z"})
	if by, _ := d.answersPeer(t.Context(), "r", 1); by != "" {
		t.Errorf("the replica answers %s", by)
	}
	if peers := d.peersToAsk(); len(peers) != 2 || peers[0].id != "older" {
		t.Errorf("asked next: %+v, want the one that relays first", peers)
	}
}

package medlardialer

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreach"
	"medlarfield/internal/edge/medlarpath"
	"medlarfield/internal/edge/medlarpool"
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
// comes, and against a call for each connection that it relays.
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
	for err, want := range map[error]bool{nil: false, syscall.ECONNRESET: false, syscall.ECONNREFUSED: true} {
		d := newDialer(nil)
		open := d.deps.Dial
		d.deps.Dial = func(ctx context.Context, at medlarid.Address) (net.Conn, error) {
			if err != nil {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}
			}
			return open(ctx, at)
		}
		d.paths = medlarpath.New(medlarpath.Deps{Dial: d.deps.Dial, OnDial: d.deps.OnDial, Sent: d.sent, Got: d.got, Left: d.left})
		if got := d.Down(medlarpool.Target{ID: "r"}); got != want {
			t.Errorf("%v: down %v, want %v", err, got, want)
		}
	}
}

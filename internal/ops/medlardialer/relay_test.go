package medlardialer

import (
	"context"
	"net"
	"testing"
	"time"

	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreach"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarpath"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/peer/medlartunnel"
)

// TestLaterPauseReachesTheRelay guards against a relay that is told of the first pause only which a replica asks for on a
// connection that is kept.
func TestLaterPauseReachesTheRelay(t *testing.T) {
	d := newDialer(nil)
	d.deps.OnAsked, d.deps.OnChange = func(medlarreach.Outcome) {}, func(medlarreach.Change) {}
	d.SetPeer("b", medlarnotice.Peer{Relay: "127.0.0.1:1"})
	d.asked("r", "b", medlarreach.Refused, medlarreach.Opened)
	kept := &medlarpool.Conn{Target: medlarpool.Target{ID: "r"}, Via: "b"}
	for n := range 2 {
		if !d.Usable(kept) {
			t.Fatal("the connection is not kept")
		}
		if _, told := d.concerned(medlarworld.Avoided{Upstream: "r"})["b"]; !told {
			t.Errorf("the relay is not told of pause %d", n+1)
		}
	}
}

// TestPauseWhileRelayConnects guards against a connection for another instance to a replica that has asked for a pause while
// the connection was being opened.
func TestPauseWhileRelayConnects(t *testing.T) {
	d := newDialer(nil)
	open := d.deps.Dial
	d.paths = medlarpath.New(medlarpath.Deps{
		Dial: func(ctx context.Context, at medlarid.Address) (net.Conn, error) {
			d.avoided.Add(medlarworld.Avoided{Upstream: "r", Incarnation: 1, For: time.Minute, Until: time.Now().Add(time.Minute)})
			return open(ctx, at)
		},
		OnDial: d.deps.OnDial, Left: d.left,
	})
	at := time.Now()
	d.table.Sent(at, "r")
	d.table.Got(at, at, "r", true) // the path is proven
	if c, got := d.dialForPeer(t.Context(), "r", 1); c != nil || got != medlartunnel.ResultUnused {
		t.Errorf("result %d, connection %v; want %d and none", got, c, medlartunnel.ResultUnused)
	}
}

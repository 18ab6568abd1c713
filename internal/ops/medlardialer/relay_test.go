package medlardialer

import (
	"testing"

	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/core/medlarreach"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarpool"
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

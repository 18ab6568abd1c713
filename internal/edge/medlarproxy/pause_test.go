package medlarproxy_test

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbrittle"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/edge/medlarproxy"
	"medlarfield/internal/stand/medlarfakereplica"
)

// TestPauseWhileConnectionOpens guards against a request that reaches a replica which has asked for a pause while the
// connection for the request was being opened.
func TestPauseWhileConnectionOpens(t *testing.T) {
	r, err := medlarfakereplica.New(medlarfakereplica.Settings{ID: "one", Service: "s", Slots: 64}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Kill)
	opening, opened, ended := make(chan bool), make(chan bool), make(chan medlarworld.AttemptEnded, 1)
	var paused atomic.Bool
	_, addr := newServer(t, r, func(d *medlarproxy.Deps) {
		d.Paused = func(medlarid.InstanceID, medlarid.Incarnation) bool { return paused.Load() }
		d.Post = func(e medlarworld.Event) {
			if e, ok := e.(medlarworld.AttemptEnded); ok {
				ended <- e
			}
		}
		d.Pool = medlarpool.New(medlarpool.Deps{
			Dial: func(ctx context.Context, to medlarpool.Target) (net.Conn, medlarid.InstanceID, error) {
				opening <- true
				<-opened
				c, err := medlarpool.Dial(ctx, to.Address)
				return c, "", err
			},
			Usable: func(*medlarpool.Conn) bool { return true },
		})
	})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	go request(c, bufio.NewReader(c), "a")
	<-opening
	paused.Store(true)
	close(opened)
	select {
	case e := <-ended:
		if e.Cause != medlarkind.CauseRetry || e.Reason != medlarreason.Paused || e.Reached {
			t.Errorf("the attempt ended with %s, %s, reached %v; want another one, as this one reached nothing", e.Cause, e.Reason, e.Reached)
		}
		if room := roomAfter(e); room != 6 {
			t.Errorf("a brittle upstream has room for %d at once afterwards, want 6: it has turned none away", room)
		}
	case <-time.After(2 * time.Second):
		t.Error("the attempt has not ended")
	}
	if n := len(r.Arrivals()); n != 0 {
		t.Errorf("%d requests reached the replica, want none", n)
	}
}

// roomAfter returns for how many requests at once a brittle upstream that had room for 6 still has it after an attempt.
func roomAfter(e medlarworld.AttemptEnded) int {
	w := medlarworld.New(medlarworld.Config{})
	u := &medlarupstream.Upstream{ID: "one", Open: 3}
	u.Brittle.Most, u.Brittle.Room = 2, 6
	w.Runs[e.Run] = &medlarworld.Run{ID: e.Run, Attempt: e.Attempt, Upstream: u}
	w.Events = []medlarworld.Event{e}
	medlarbrittle.New().Run(w)
	return u.Brittle.Room
}

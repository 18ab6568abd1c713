package medlarproxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarcall"
	"medlarfield/internal/edge/medlarpool"
	"medlarfield/internal/edge/medlarproxy"
	"medlarfield/internal/edge/medlarserver"
	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/platform"
)

// newServer returns a server, and its address, whose core starts each run at one replica at once. change changes what it
// depends on, and may be nil.
func newServer(t *testing.T, r *medlarfakereplica.Replica, change func(*medlarproxy.Deps)) (*medlarserver.Server, string) {
	t.Helper()
	return newServerOf(t, r.Settings.ID, r.Address(), change)
}

// maxBody is the longest body of a request that the server takes, in bytes.
const maxBody = 8 << 20

// newServerOf is newServer for the replica with an id at an address.
func newServerOf(t *testing.T, replica, address string, change func(*medlarproxy.Deps)) (*medlarserver.Server, string) {
	t.Helper()
	cat := medlarcatalog.New(1, []medlarcatalog.Route{{
		Name: "r", Host: "a.example", Prefix: "/", Kind: medlarcatalog.KindAtMostOnce, AllowAnonymous: true, MaxAttempts: 1,
		Timeout: 5 * time.Second, Backends: []medlarcatalog.Backend{{Service: "s", Weight: 1}},
	}}, nil, nil, false, medlarcatalog.Limits{MaxHeaderBytes: 8192, MaxBodyBytes: maxBody, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second})
	deps := medlarproxy.Deps{
		UnreadyRetryAfter: func() time.Duration { return time.Second },
		Catalog:           func() *medlarcatalog.Catalog { return cat },
		Submit: func(run *medlarworld.Run, _ medlarworld.Limits) <-chan medlarworld.Command {
			commands := make(chan medlarworld.Command, 2)
			commands <- medlarworld.StartAttempt{
				Run: run.ID, Attempt: 1, Upstream: medlarid.InstanceID(replica), Address: medlarid.Address(address),
			}
			commands <- medlarworld.Refuse{Run: run.ID, Reason: medlarreason.Failed, Ran: medlarreason.RanUnknown} // after a failed attempt
			return commands
		},
		Done:              func(medlarid.RequestID) {},
		Post:              func(medlarworld.Event) {},
		OnVersionReported: func(medlarid.InstanceID, medlarid.WeightVersion) {},
		OnVersionDenied:   func(medlarid.InstanceID, medlarid.WeightVersion) {},
		OnMalformedHint:   func(medlarid.InstanceID) {},
		Paused:            func(medlarid.InstanceID, medlarid.Incarnation) bool { return false },
		Pool:              medlarpool.NewDirect(),
		Decode:            medlarplatform.DecodeCall,
		Forward:           medlarplatform.NewClock().AppendForward,
		Reply:             medlarplatform.DecodeReply,
		Refusal:           medlarplatform.AppendRefusal,
		Observer:          medlarproxy.Observer{AttemptEnded: func(*medlarcall.Attempt) {}, RequestEnded: func(*medlarcall.Summary) {}},
		Rand:              func() float64 { return 0 },
	}
	if change != nil {
		change(&deps)
	}
	server := medlarproxy.New(deps).Server()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = server.Serve(ln) }()
	return server, ln.Addr().String()
}

// TestCloseIdleDuringRequests closes idle connections while requests arrive on them. It
// guards against the close of a connection whose request has just been read: the request
// would run and its response would be lost.
func TestCloseIdleDuringRequests(t *testing.T) {
	r, err := medlarfakereplica.New(medlarfakereplica.Settings{ID: "one", Service: "s", Slots: 64}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Kill)
	server, addr := newServer(t, r, nil)
	unanswered := 0
	for n := range 1500 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		br := bufio.NewReader(c)
		if !request(c, br, fmt.Sprintf("warm-%d", n)) {
			t.Fatal("no response on a new connection")
		}
		var answered bool
		var wg sync.WaitGroup
		wg.Go(func() { answered = request(c, br, fmt.Sprintf("race-%d", n)) })
		time.Sleep(time.Duration(n%40) * 2 * time.Microsecond)
		server.CloseIdle()
		wg.Wait()
		_ = c.Close()
		runs := r.Runs()
		if ran := runs[len(runs)-1].ID == fmt.Sprintf("race-%d", n); ran && !answered {
			unanswered++
		}
	}
	if unanswered > 0 {
		t.Errorf("%d requests ran and got no response", unanswered)
	}
}

func request(c net.Conn, br *bufio.Reader, id string) bool {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	text := "GET / HTTP/1.1\r\nHost: a.example\r\nMedlarfield-Request-Id: " + id + "\r\nMedlarfield-Timeout-Ms: 4000\r\n\r\n"
	if _, err := io.WriteString(c, text); err != nil {
		return false
	}
	h, err := medlarhead.ReadResponse(br, 8192, "GET")
	if err != nil {
		return false
	}
	_, err = io.ReadAll(medlarframing.NewBody(br, h))
	return err == nil && h.Status == 200
}

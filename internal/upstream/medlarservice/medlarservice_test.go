package medlarservice_test

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"time"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/stand/medlarfakeservice"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarservice"
)

const timeout = 150 * time.Millisecond

func TestCall(t *testing.T) {
	for _, tc := range []struct {
		name       string
		faults     []medlarfault.Name
		kill       bool
		want       medlarservice.Kind // empty for a response
		status     int
		mayHaveRun bool
		runs       int
	}{
		{name: "no fault", status: 200, runs: 1},
		{name: "error status", faults: []medlarfault.Name{medlarfault.Refuse}, status: 409},
		{name: "unavailable", faults: []medlarfault.Name{medlarfault.Down}, status: 503},
		{name: "response lost after the effect", faults: []medlarfault.Name{medlarfault.Lost}, want: medlarservice.KindBroken, mayHaveRun: true, runs: 1},
		{name: "delayed effect", faults: []medlarfault.Name{medlarfault.Late}, want: medlarservice.KindBroken, mayHaveRun: true, runs: 1},
		{name: "truncated response", faults: []medlarfault.Name{medlarfault.Cut}, want: medlarservice.KindBroken, mayHaveRun: true, runs: 1},
		{name: "no response", faults: []medlarfault.Name{medlarfault.Freeze}, want: medlarservice.KindTimeout, mayHaveRun: true},
		{name: "killed", kill: true, want: medlarservice.KindUnreachable},
	} {
		for _, once := range []bool{false, true} {
			name := tc.name + ", repeatable"
			if once {
				name = tc.name + ", once"
			}
			t.Run(name, func(t *testing.T) {
				f := newFixture(t, tc.faults...)
				if tc.kill {
					if err := f.server.Kill(); err != nil {
						t.Error(err)
					}
				}
				r := medlarservice.Request{ID: "r1", Account: "a", Method: "PUT", Path: "/x?y=1", Body: []byte("b"), Once: once}
				resp, err := f.client.Call(f.server.Address, r, timeout)
				assertFailure(t, err, tc.want, tc.mayHaveRun)
				assertStatus(t, resp, tc.status)
				assertRunCount(t, f.service, tc.runs)
			})
		}
	}
}

type fixture struct {
	client  *medlarservice.Client
	server  *medlarhost.Server
	service *medlarfakeservice.Service
}

func newFixture(t *testing.T, faults ...medlarfault.Name) *fixture {
	t.Helper()
	injector := medlarfault.New()
	service := medlarfakeservice.New("ledger")
	server, err := medlarhost.New("ledger", "127.0.0.1:0", injector, service.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	for _, n := range faults {
		if err := injector.Arm(medlarfault.Fault{Part: "ledger", Name: n, Count: 0}); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = injector.Arm(medlarfault.Fault{Part: "ledger", Name: n, Clear: true}) })
	}
	return &fixture{medlarservice.New(medlarhttp.New(time.Second)), server, service}
}

func assertFailure(t *testing.T, err error, want medlarservice.Kind, mayHaveRun bool) {
	t.Helper()
	if want == "" {
		if err != nil {
			t.Fatalf("failed: %v", err)
		}
		return
	}
	var e *medlarservice.Error
	if !errors.As(err, &e) || e.Kind != want {
		t.Fatalf("got %v, want kind %s", err, want)
	}
	if e.MayHaveRun() != mayHaveRun {
		t.Errorf("MayHaveRun is %v, want %v", e.MayHaveRun(), mayHaveRun)
	}
}

func assertStatus(t *testing.T, resp medlarservice.Response, want int) {
	t.Helper()
	if resp.Status != want {
		t.Errorf("status %d, want %d", resp.Status, want)
	}
}

func assertRunCount(t *testing.T, s *medlarfakeservice.Service, want int) {
	t.Helper()
	time.Sleep(20 * time.Millisecond) // time for a delayed effect or a retry
	if n := s.Counts()[medlarid.RequestID("r1")]; n != want {
		t.Errorf("ran %d times, want %d", n, want)
	}
}

// TestEndingsOfResponses guards against a response that a service has broken off and that is
// returned as if it were complete.
func TestEndingsOfResponses(t *testing.T) {
	for _, e := range medlarending.All {
		t.Run(e.Name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			go serveEnding(ln, e)
			client := medlarservice.New(medlarhttp.New(time.Second))
			resp, err := client.Call(medlarid.Address(ln.Addr().String()), medlarservice.Request{ID: "r", Method: "POST", Path: "/post", Once: true}, timeout)
			if (err == nil) != e.Whole || e.Whole && string(resp.Body) != e.Body {
				t.Errorf("got %q, %v; want a complete response: %v", resp.Body, err, e.Whole)
			}
			var failed *medlarservice.Error
			if err != nil && (!errors.As(err, &failed) || !failed.MayHaveRun()) {
				t.Errorf("got %v, want an error of a request that may have run", err)
			}
		})
	}
}

// serveEnding answers one request.
func serveEnding(ln net.Listener, e medlarending.Ending) {
	c, err := ln.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := medlarhead.ReadRequest(bufio.NewReader(c), 1<<14); err != nil {
		return
	}
	e.Write(c, medlarending.Request{})
}

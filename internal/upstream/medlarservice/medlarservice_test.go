package medlarservice_test

import (
	"errors"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarfakeservice"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarservice"
)

const within = 150 * time.Millisecond

func TestCall(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  []medlarfault.Name
		kill    bool
		want    medlarservice.Kind // empty for an answer
		status  int
		reached bool
		ran     int
	}{
		{name: "no fault", status: 200, ran: 1},
		{name: "refused", faults: []medlarfault.Name{medlarfault.Refuse}, status: 409},
		{name: "down", faults: []medlarfault.Name{medlarfault.Down}, status: 503},
		{name: "answer lost after effect", faults: []medlarfault.Name{medlarfault.Lost}, want: medlarservice.KindBroken, reached: true, ran: 1},
		{name: "late effect", faults: []medlarfault.Name{medlarfault.Late}, want: medlarservice.KindBroken, reached: true, ran: 1},
		{name: "answer cut", faults: []medlarfault.Name{medlarfault.Cut}, want: medlarservice.KindBroken, reached: true, ran: 1},
		{name: "frozen", faults: []medlarfault.Name{medlarfault.Freeze}, want: medlarservice.KindTimeout, reached: true},
		{name: "killed", kill: true, want: medlarservice.KindUnreachable},
	} {
		for _, once := range []bool{false, true} {
			name := tc.name + ", repeatable"
			if once {
				name = tc.name + ", once"
			}
			t.Run(name, func(t *testing.T) {
				f := start(t, tc.faults...)
				if tc.kill {
					if err := f.host.Kill(); err != nil {
						t.Error(err)
					}
				}
				r := medlarservice.Request{ID: "r1", Account: "a", Method: "PUT", Path: "/x?y=1", Body: []byte("b"), Once: once}
				answer, err := f.client.Call(f.host.Address, r, within)
				assertFailure(t, err, tc.want, tc.reached)
				assertStatus(t, answer, tc.status)
				assertRan(t, f.service, tc.ran)
			})
		}
	}
}

type fixture struct {
	client  *medlarservice.Client
	host    *medlarhost.Host
	service *medlarfakeservice.Service
}

func start(t *testing.T, faults ...medlarfault.Name) *fixture {
	t.Helper()
	board := medlarfault.New()
	service := medlarfakeservice.New("ledger")
	host, err := medlarhost.New("ledger", "127.0.0.1:0", board, service.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	for _, n := range faults {
		if err := board.Arm(medlarfault.Fault{Part: "ledger", Name: n, Count: 0}); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = board.Arm(medlarfault.Fault{Part: "ledger", Name: n, Clear: true}) })
	}
	return &fixture{medlarservice.New(medlarhttp.New(time.Second)), host, service}
}

func assertFailure(t *testing.T, err error, want medlarservice.Kind, reached bool) {
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
	if e.MayHaveRun() != reached {
		t.Errorf("reached is %v, want %v", e.MayHaveRun(), reached)
	}
}

func assertStatus(t *testing.T, a medlarservice.Response, want int) {
	t.Helper()
	if a.Status != want {
		t.Errorf("status %d, want %d", a.Status, want)
	}
}

func assertRan(t *testing.T, s *medlarfakeservice.Service, want int) {
	t.Helper()
	time.Sleep(20 * time.Millisecond) // a late effect or a repeat
	if n := s.Counts()[medlarid.RequestID("r1")]; n != want {
		t.Errorf("ran %d times, want %d", n, want)
	}
}

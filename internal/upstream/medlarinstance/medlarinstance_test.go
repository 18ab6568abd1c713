package medlarinstance_test

import (
	"errors"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"medlarfield/internal/stand/medlarfakeplatform"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarinstance"
	"medlarfield/internal/upstream/medlarweight"
)

const timeout = 150 * time.Millisecond

func newClient(t *testing.T, injector *medlarfault.Injector, h fasthttp.RequestHandler) *medlarinstance.Client {
	t.Helper()
	server, err := medlarhost.New("instances", "127.0.0.1:0", injector, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return medlarinstance.New(medlarhttp.New(time.Second), server.Address, timeout)
}

func TestListFaults(t *testing.T) {
	for name, want := range map[medlarfault.Name]medlarinstance.Kind{
		medlarfault.Down:      medlarinstance.KindUnavailable,
		medlarfault.Refuse:    medlarinstance.KindUnavailable,
		medlarfault.Lost:      medlarinstance.KindUnavailable,
		medlarfault.Cut:       medlarinstance.KindUnavailable,
		medlarfault.Freeze:    medlarinstance.KindUnavailable,
		medlarfault.Malformed: medlarinstance.KindMalformed,
	} {
		t.Run(string(name), func(t *testing.T) {
			injector := medlarfault.New()
			c := newClient(t, injector, medlarfakeplatform.NewList(0).Handler())
			if err := injector.Arm(medlarfault.Fault{Part: "instances", Name: name}); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = injector.Arm(medlarfault.Fault{Part: "instances", Name: name, Clear: true}) })
			_, err := c.List()
			assertKind(t, err, want)
		})
	}
}

func TestListNotModified(t *testing.T) {
	list := medlarfakeplatform.NewList(0)
	sentBytes := 0
	handler := list.Handler()
	c := newClient(t, medlarfault.New(), func(ctx *fasthttp.RequestCtx) {
		handler(ctx)
		sentBytes += len(ctx.Response.Body())
	})
	list.Put(medlarinstance.Instance{ID: "a", Role: medlarinstance.RoleStore, Address: "127.0.0.1:1"})
	first, err := c.List()
	if err != nil {
		t.Fatal(err)
	}
	firstBytes := sentBytes
	for range 5 {
		list, err := c.List()
		if err != nil || len(list.Instances) != len(first.Instances) {
			t.Fatalf("got %+v, %v", list, err)
		}
	}
	if sentBytes != firstBytes {
		t.Errorf("%d bytes sent for five reads of an unchanged list", sentBytes-firstBytes)
	}
	list.Leave("a")
	if l, err := c.List(); err != nil || !l.Instances[0].Leaving {
		t.Errorf("the change was not read: %+v, %v", l, err)
	}
}

func TestInvalidEntryRejectsList(t *testing.T) {
	const good = `{"id":"a","role":"engine","zone":"z","address":"127.0.0.1:1"}`
	for _, tc := range []struct {
		name   string
		second string
	}{
		{"missing id", `{"id":"","role":"engine","zone":"z","address":"127.0.0.1:1"}`},
		{"host name as address", `{"id":"b","role":"engine","zone":"z","address":"localhost:1"}`},
		{"unknown role", `{"id":"b","role":"printer","zone":"z","address":"127.0.0.1:1"}`},
		{"duplicate", good},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newClient(t, medlarfault.New(), func(ctx *fasthttp.RequestCtx) {
				ctx.SetBodyString(`{"instances":[` + good + `,` + tc.second + `]}`)
			})
			_, err := c.List()
			assertKind(t, err, medlarinstance.KindMalformed)
		})
	}
}

func TestListLagsBehindChanges(t *testing.T) {
	list := medlarfakeplatform.NewList(50 * time.Millisecond)
	c := newClient(t, medlarfault.New(), list.Handler())
	list.Put(medlarinstance.Instance{ID: "a", Role: medlarinstance.RoleStore, Address: "127.0.0.1:1"})
	if l, err := c.List(); err != nil || len(l.Instances) != 0 {
		t.Fatalf("got %+v, %v within the lag", l, err)
	}
	time.Sleep(80 * time.Millisecond)
	list.Leave("a")
	if l, err := c.List(); err != nil || len(l.Instances) != 1 || l.Instances[0].Leaving {
		t.Fatalf("got %+v, %v after the lag", l, err)
	}
}

func assertKind(t *testing.T, err error, want medlarinstance.Kind) {
	t.Helper()
	var e *medlarinstance.Error
	if !errors.As(err, &e) || e.Kind != want {
		t.Errorf("got %v, want kind %s", err, want)
	}
}

func TestWeightFaults(t *testing.T) {
	for name, want := range map[medlarfault.Name]medlarweight.Kind{
		medlarfault.Down:      medlarweight.KindUnavailable,
		medlarfault.Refuse:    medlarweight.KindUnavailable,
		medlarfault.Lost:      medlarweight.KindUnavailable,
		medlarfault.Late:      medlarweight.KindUnavailable,
		medlarfault.Cut:       medlarweight.KindUnavailable,
		medlarfault.Malformed: medlarweight.KindUnavailable,
		medlarfault.Freeze:    medlarweight.KindUnavailable,
		medlarfault.Slow:      "",
		medlarfault.Double:    "",
	} {
		t.Run(string(name), func(t *testing.T) {
			injector := medlarfault.New()
			store := medlarfakeplatform.NewWeights(10, medlarweight.Weights{Model: "m", Version: "v1"})
			server, err := medlarhost.New("weights", "127.0.0.1:0", injector, store.Handler())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			if err := injector.Arm(medlarfault.Fault{Part: "weights", Name: name, DelayText: "20ms"}); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = injector.Arm(medlarfault.Fault{Part: "weights", Name: name, Clear: true}) })
			c, err := medlarweight.New(medlarhttp.New(time.Second), server.Address, timeout).List()
			assertWeights(t, c, err, want)
		})
	}
}

func assertWeights(t *testing.T, c medlarweight.Catalog, err error, want medlarweight.Kind) {
	t.Helper()
	var e *medlarweight.Error
	switch {
	case want == "" && (err != nil || !c.Has("m", "v1")):
		t.Errorf("got %+v, %v", c, err)
	case want != "" && (!errors.As(err, &e) || e.Kind != want):
		t.Errorf("got %v, want kind %s", err, want)
	}
}

func TestWeightListRateLimit(t *testing.T) {
	store := medlarfakeplatform.NewWeights(2, medlarweight.Weights{Model: "m", Version: "v1"})
	server, err := medlarhost.New("weights", "127.0.0.1:0", medlarfault.New(), store.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	c := medlarweight.New(medlarhttp.New(time.Second), server.Address, timeout)
	for i := range 3 {
		catalog, err := c.List()
		var e *medlarweight.Error
		switch {
		case i < 2 && (err != nil || !catalog.Has("m", "v1") || catalog.Has("m", "v2")):
			t.Errorf("call %d: got %+v, %v", i, catalog, err)
		case i == 2 && (!errors.As(err, &e) || e.Kind != medlarweight.KindLimited):
			t.Errorf("call %d: got %v, want the rate limit", i, err)
		}
	}
}

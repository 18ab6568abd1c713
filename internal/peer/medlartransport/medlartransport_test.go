package medlartransport_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/peer/medlarmessage"
	"medlarfield/internal/peer/medlartransport"
	"medlarfield/internal/stand/medlarkeys"
)

func authority(t *testing.T) *medlarkeys.Authority {
	t.Helper()
	a, err := medlarkeys.New()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// peer is a link that listens.
type peer struct {
	link    *medlartransport.Transport
	at      medlarid.Address
	files   medlartransport.CredentialFiles
	refused atomic.Int32
}

// start starts a peer; everyone's address is that of to.
func start(t *testing.T, a *medlarkeys.Authority, name medlarid.InstanceID, validity time.Duration, to *peer) *peer {
	t.Helper()
	files, err := a.Write(t.TempDir(), name, validity)
	if err != nil {
		t.Fatal(err)
	}
	keys, err := medlartransport.NewCredentials(files, func(err error) { t.Log(err) })
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{files: files}
	address := func(medlarid.InstanceID) medlarid.Address { return to.at }
	handle := func(_ context.Context, from medlarid.InstanceID, _ *medlarmessage.Frame) *medlarmessage.Reply {
		if from == "refused" {
			return &medlarmessage.Reply{Error: "not for you"}
		}
		fetched := &medlarmessage.Fetched{Next: 7}
		return &medlarmessage.Reply{Body: &medlarmessage.Reply_Fetched{Fetched: fetched}}
	}
	p.link = medlartransport.New(keys, address, handle, func() { p.refused.Add(1) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.at = medlarid.Address(ln.Addr().String())
	go p.link.Serve(t.Context(), ln)
	t.Cleanup(func() { _ = ln.Close(); p.link.Close() })
	return p
}

func call(t *testing.T, from *peer, to medlarid.InstanceID) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	r, err := from.link.Call(ctx, to, &medlarmessage.Frame{Body: &medlarmessage.Frame_Fetch{Fetch: &medlarmessage.Fetch{}}})
	if err == nil && r.GetFetched().GetNext() != 7 {
		t.Errorf("got %v", r)
	}
	return err
}

func assertKind(t *testing.T, err error, want medlartransport.Kind) {
	t.Helper()
	var e *medlartransport.Error
	switch {
	case want == "" && err != nil:
		t.Fatalf("failed: %v", err)
	case want != "" && (!errors.As(err, &e) || e.Kind != want):
		t.Fatalf("got %v, want kind %s", err, want)
	}
}

func TestCallerAuthentication(t *testing.T) {
	ours := authority(t)
	for _, tc := range []struct {
		name   string
		caller func(*testing.T, *peer) *peer
		to     medlarid.InstanceID
		ok     bool
	}{
		{"peer of the same authority", func(t *testing.T, to *peer) *peer { return start(t, ours, "a", time.Hour, to) }, "b", true},
		{"another authority", func(t *testing.T, to *peer) *peer { return start(t, authority(t), "a", time.Hour, to) }, "b", false},
		{"expired certificate", func(t *testing.T, to *peer) *peer { return start(t, ours, "a", -time.Minute, to) }, "b", false},
		{"call to another name", func(t *testing.T, to *peer) *peer { return start(t, ours, "a", time.Hour, to) }, "c", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := start(t, ours, "b", time.Hour, &peer{})
			err := call(t, tc.caller(t, b), tc.to)
			if (err == nil) != tc.ok {
				t.Errorf("got %v, want ok=%v", err, tc.ok)
			}
		})
	}
}

func TestCallerWithoutCertificateIsRefused(t *testing.T) {
	b := start(t, authority(t), "b", time.Hour, &peer{})
	c, err := tls.Dial("tcp", string(b.at), &tls.Config{InsecureSkipVerify: true})
	if err == nil {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err = c.Read(make([]byte, 1)); err == nil {
			t.Fatal("a caller without a certificate was served")
		}
	}
	for until := time.Now().Add(time.Second); b.refused.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the refusal was not counted")
		}
	}
}

func TestRefusedCall(t *testing.T) {
	a := authority(t)
	b := start(t, a, "b", time.Hour, &peer{})
	assertKind(t, call(t, start(t, a, "refused", time.Hour, b), "b"), medlartransport.KindRefused)
}

func TestUnknownAddress(t *testing.T) {
	assertKind(t, call(t, start(t, authority(t), "a", time.Hour, &peer{}), "b"), medlartransport.KindUnreachable)
}

func TestSessionIsReusedAndReplaced(t *testing.T) {
	a := authority(t)
	b := start(t, a, "b", time.Hour, &peer{})
	c := start(t, a, "a", time.Hour, b)
	for range 20 {
		assertKind(t, call(t, c, "b"), "")
	}
	if n := c.link.Sessions(); n != 1 {
		t.Errorf("%d sessions for one peer", n)
	}
	b.link.Close()
	b2 := start(t, a, "b", time.Hour, &peer{})
	b.at = b2.at
	for until := time.Now().Add(3 * time.Second); call(t, c, "b") != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("no call succeeds after the peer came back")
		}
	}
}

func TestCredentialsAreReloaded(t *testing.T) {
	old, next := authority(t), authority(t)
	b := start(t, next, "b", time.Hour, &peer{})
	a := start(t, old, "a", time.Hour, b)
	assertKind(t, call(t, a, "b"), medlartransport.KindUntrusted)
	if _, err := next.Write(dirOf(a.files.Certificate), "a", time.Hour); err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(4 * time.Second); call(t, a, "b") != nil; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("new keys are not taken up")
		}
	}
}

func dirOf(file string) string { return file[:len(file)-len("/a.crt")] }

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
	"medlarfield/internal/stand/medlartestca"
)

func newAuthority(t *testing.T) *medlartestca.Authority {
	t.Helper()
	a, err := medlartestca.New()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// testPeer is a transport with a listener.
type testPeer struct {
	transport *medlartransport.Transport
	addr      medlarid.Address
	files     medlartransport.CredentialFiles
	refused   atomic.Int32 // refused inbound connections
}

// startPeer starts a peer that resolves every instance to the address of to.
func startPeer(t *testing.T, a *medlartestca.Authority, name medlarid.InstanceID, validity time.Duration, to *testPeer) *testPeer {
	t.Helper()
	files, err := a.Write(t.TempDir(), name, validity)
	if err != nil {
		t.Fatal(err)
	}
	credentials, err := medlartransport.NewCredentials(files, func(err error) { t.Log(err) })
	if err != nil {
		t.Fatal(err)
	}
	p := &testPeer{files: files}
	address := func(medlarid.InstanceID) medlarid.Address { return to.addr }
	handle := func(_ context.Context, from medlarid.InstanceID, _ *medlarmessage.Frame) *medlarmessage.Reply {
		if from == "refused" {
			return &medlarmessage.Reply{Error: "call refused"}
		}
		fetched := &medlarmessage.Fetched{Next: 7}
		return &medlarmessage.Reply{Body: &medlarmessage.Reply_Fetched{Fetched: fetched}}
	}
	p.transport = medlartransport.New(credentials, address, handle, func() { p.refused.Add(1) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = medlarid.Address(ln.Addr().String())
	go p.transport.Serve(t.Context(), ln)
	t.Cleanup(func() { _ = ln.Close(); p.transport.Close() })
	return p
}

func call(t *testing.T, from *testPeer, to medlarid.InstanceID) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	r, err := from.transport.Call(ctx, to, &medlarmessage.Frame{Body: &medlarmessage.Frame_Fetch{Fetch: &medlarmessage.Fetch{}}})
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
	ca := newAuthority(t)
	for _, tc := range []struct {
		name   string
		caller func(*testing.T, *testPeer) *testPeer
		to     medlarid.InstanceID
		ok     bool
	}{
		{"peer of the same authority", func(t *testing.T, to *testPeer) *testPeer { return startPeer(t, ca, "a", time.Hour, to) }, "b", true},
		{"another authority", func(t *testing.T, to *testPeer) *testPeer { return startPeer(t, newAuthority(t), "a", time.Hour, to) }, "b", false},
		{"expired certificate", func(t *testing.T, to *testPeer) *testPeer { return startPeer(t, ca, "a", -time.Minute, to) }, "b", false},
		{"call to another name", func(t *testing.T, to *testPeer) *testPeer { return startPeer(t, ca, "a", time.Hour, to) }, "c", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := startPeer(t, ca, "b", time.Hour, &testPeer{})
			err := call(t, tc.caller(t, b), tc.to)
			if (err == nil) != tc.ok {
				t.Errorf("got %v, want ok=%v", err, tc.ok)
			}
		})
	}
}

func TestCallerWithoutCertificateIsRefused(t *testing.T) {
	b := startPeer(t, newAuthority(t), "b", time.Hour, &testPeer{})
	c, err := tls.Dial("tcp", string(b.addr), &tls.Config{InsecureSkipVerify: true})
	if err == nil {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err = c.Read(make([]byte, 1)); err == nil {
			t.Fatal("a caller without a certificate was accepted")
		}
	}
	for until := time.Now().Add(time.Second); b.refused.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the refused connection was not counted")
		}
	}
}

func TestRefusedCall(t *testing.T) {
	a := newAuthority(t)
	b := startPeer(t, a, "b", time.Hour, &testPeer{})
	assertKind(t, call(t, startPeer(t, a, "refused", time.Hour, b), "b"), medlartransport.KindRefused)
}

func TestUnknownAddress(t *testing.T) {
	assertKind(t, call(t, startPeer(t, newAuthority(t), "a", time.Hour, &testPeer{}), "b"), medlartransport.KindUnreachable)
}

func TestSessionIsReusedAndReplaced(t *testing.T) {
	a := newAuthority(t)
	b := startPeer(t, a, "b", time.Hour, &testPeer{})
	c := startPeer(t, a, "a", time.Hour, b)
	for range 20 {
		assertKind(t, call(t, c, "b"), "")
	}
	if n := c.transport.Sessions(); n != 1 {
		t.Errorf("%d sessions for one peer, want 1", n)
	}
	b.transport.Close()
	b2 := startPeer(t, a, "b", time.Hour, &testPeer{})
	b.addr = b2.addr
	for until := time.Now().Add(3 * time.Second); call(t, c, "b") != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("no call succeeded within 3s after the peer restarted")
		}
	}
}

func TestCredentialsAreReloaded(t *testing.T) {
	oldCA, newCA := newAuthority(t), newAuthority(t)
	b := startPeer(t, newCA, "b", time.Hour, &testPeer{})
	a := startPeer(t, oldCA, "a", time.Hour, b)
	assertKind(t, call(t, a, "b"), medlartransport.KindUntrusted)
	if _, err := newCA.Write(credentialDir(a.files.Certificate), "a", time.Hour); err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(4 * time.Second); call(t, a, "b") != nil; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("changed credentials were not loaded within 4s")
		}
	}
}

func credentialDir(file string) string { return file[:len(file)-len("/a.crt")] }

package medlartunnel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarprobe"
)

const soon = 2 * time.Second

// fixture is a server with one replica, whose connections it passes on.
type fixture struct {
	t        *testing.T
	server   *Server
	peer     Peer
	client   *Client
	accepted chan net.Conn
	hints    chan Hint
	result   Result // of opening a connection to the replica
	proof    Result // of asking whether it answers
	// writeBuffer is the size of the send buffer of connections to the replica, in bytes; 0 for the system's.
	writeBuffer int
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, accepted: make(chan net.Conn, 8), hints: make(chan Hint, 8), client: NewClient("c", nil), result: ResultOpened, proof: ResultAnswers}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.accepted <- c
		}
	}()
	f.server = NewServer(Deps{
		Key: 7,
		Dial: func(context.Context, medlarid.InstanceID, medlarid.Incarnation) (net.Conn, Result) {
			if f.result != ResultOpened {
				return nil, f.result
			}
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				return nil, ResultRefused
			}
			if f.writeBuffer > 0 {
				_ = c.(*net.TCPConn).SetWriteBuffer(f.writeBuffer)
			}
			return c, ResultOpened
		},
		Prove:     func(context.Context, medlarid.InstanceID, medlarid.Incarnation) Result { return f.proof },
		OnHint:    func(_ medlarid.InstanceID, h Hint) { f.hints <- h },
		OnRequest: func(medlarid.InstanceID, medlarid.InstanceID, Result) {},
	})
	if err := f.server.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	f.peer = Peer{Address: f.server.Address(), Key: 7}
	t.Cleanup(func() { f.server.Close(); _ = ln.Close() })
	return f
}

// open opens a connection and returns both ends of it.
func (f *fixture) open() (near *Conn, far net.Conn) {
	f.t.Helper()
	near, err := f.client.Open(f.t.Context(), f.peer, "r", 1)
	if err != nil {
		f.t.Fatal(err)
	}
	far = <-f.accepted
	f.t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	_ = near.SetDeadline(time.Now().Add(soon))
	_ = far.SetDeadline(time.Now().Add(soon))
	return near, far
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func assertReads(t *testing.T, c io.Reader, want string) {
	t.Helper()
	b := make([]byte, len(want))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != want {
		t.Errorf("read %q, %v; want %q", b, err, want)
	}
}

// TestProve guards against an instance that takes another one's open connection to a replica for an answer of it.
func TestProve(t *testing.T) {
	for proof, want := range map[Result]bool{
		ResultAnswers: true, ResultSilent: false, ResultCut: false,
		ResultOpened: false, // of an instance that does not know the question
	} {
		f := newFixture(t)
		f.proof = proof
		err := f.client.Prove(t.Context(), f.peer, "r", 1)
		var e *Error
		if got := err == nil; got != want || !got && (!errors.As(err, &e) || e.Result != proof) {
			t.Errorf("answer %d: %v, want success %v", proof, err, want)
		}
		if len(f.accepted) > 0 {
			t.Error("a connection to the replica was opened")
		}
	}
}

// TestBytesPassUnchanged guards against bytes that are lost, changed or put in another order.
func TestBytesPassUnchanged(t *testing.T) {
	f := newFixture(t)
	near, far := f.open()
	send(t, near, "request")
	assertReads(t, far, "request")
	long := strings.Repeat("0123456789", 20_000)
	go func() { _, _ = io.WriteString(far, long) }()
	assertReads(t, near, long)
	send(t, far, "more")
	assertReads(t, near, "more")
}

// TestEnds guards against an answer that was broken off on the way and looks complete, and against one that is
// complete and does not.
func TestEnds(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(f *fixture, far net.Conn)
		want error
	}{
		{"by the replica", func(_ *fixture, far net.Conn) { _ = far.Close() }, io.EOF},
		{"reset by the replica", func(_ *fixture, far net.Conn) {
			_ = far.(*net.TCPConn).SetLinger(0)
			_ = far.Close()
		}, io.ErrUnexpectedEOF},
		{"with the instance between", func(f *fixture, _ net.Conn) { f.server.Close() }, io.ErrUnexpectedEOF},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			near, far := f.open()
			send(t, far, "half")
			assertReads(t, near, "half")
			tc.end(f, far)
			if n, err := near.Read(make([]byte, 8)); n != 0 || !errors.Is(err, tc.want) && !(tc.want != io.EOF && errors.Is(err, syscall.ECONNRESET)) {
				t.Errorf("read %d bytes, %v; want %v", n, err, tc.want)
			}
		})
	}
}

// TestEndedConnectionIsNotIdle guards against a connection that is used again although the replica has ended it.
func TestEndedConnectionIsNotIdle(t *testing.T) {
	f := newFixture(t)
	near, far := f.open()
	send(t, far, "answer")
	assertReads(t, near, "answer")
	if !medlarprobe.Idle(near) {
		t.Error("an open connection without unread bytes is not idle")
	}
	send(t, far, "rest")
	_ = far.Close()
	assertReads(t, near, "r") // what follows was received with it
	if medlarprobe.Idle(near) {
		t.Error("a connection with unread bytes is idle")
	}
	assertReads(t, near, "est")
	for end := time.Now().Add(soon); medlarprobe.Idle(near); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection that the replica has ended is idle")
		}
	}
}

// TestCloseReachesReplica guards against a replica that works on for a caller that has left.
func TestCloseReachesReplica(t *testing.T) {
	f := newFixture(t)
	near, far := f.open()
	if got := f.server.Users("r"); len(got) != 1 || got[0] != "c" {
		t.Errorf("users %v, want the client", got)
	}
	_ = near.Close()
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the replica reads %v, want the end of the connection", err)
	}
	for end := time.Now().Add(soon); f.server.Open() > 0 || len(f.server.Users("r")) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, users %v", f.server.Open(), f.server.Users("r"))
		}
	}
}

func assertAnswer(t *testing.T, err error, want Result) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindAnswered || e.Result != want {
		t.Errorf("error %v, want the answer %d", err, want)
	}
}

// TestAnswers guards against connections for strangers, and against an answer that is taken for another one.
func TestAnswers(t *testing.T) {
	for _, want := range []Result{ResultRefused, ResultSilent, ResultCut, ResultUnused, ResultDenied} {
		f := newFixture(t)
		f.result = want
		_, err := f.client.Open(t.Context(), f.peer, "r", 1)
		assertAnswer(t, err, want)
	}
	f := newFixture(t)
	_, err := f.client.Open(t.Context(), Peer{Address: f.peer.Address, Key: 8}, "r", 1)
	assertAnswer(t, err, ResultDenied)
	assertAnswer(t, f.client.Tell(t.Context(), Peer{Address: f.peer.Address, Key: 8}, Hint{Replica: "r", Leaving: true}), ResultDenied)
	if len(f.accepted) > 0 || len(f.hints) > 0 {
		t.Error("a stranger has got a connection, or a hint of it was taken")
	}
	f.server.Close()
	var e *Error
	if _, err := f.client.Open(t.Context(), f.peer, "r", 1); !errors.As(err, &e) || e.Kind != KindUnreachable {
		t.Errorf("error %v, want unreachable", err)
	}
}

// TestSilentPeer guards against a request that waits for an instance that does not answer.
func TestSilentPeer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	begin := time.Now()
	_, err = NewClient("c", nil).Open(t.Context(), Peer{Address: medlarid.Address(ln.Addr().String())}, "r", 1)
	if took := time.Since(begin); err == nil || took > 2*answerTimeout {
		t.Errorf("error %v after %v, want one within %v", err, took, 2*answerTimeout)
	}
}

// TestHint guards against what a replica has stated that does not reach the other side, or reaches it changed.
func TestHint(t *testing.T) {
	for _, want := range []Hint{
		{Replica: "r", Incarnation: 1 << 40, Leaving: true},
		{Replica: "r", Incarnation: 3, Pause: 1500 * time.Millisecond},
	} {
		f := newFixture(t)
		if err := f.client.Tell(t.Context(), f.peer, want); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(want, <-f.hints); d != "" {
			t.Errorf("hint:\n%s", d)
		}
	}
}

// TestMalformedRequest guards against a connection that is kept open by bytes that are no request.
func TestMalformedRequest(t *testing.T) {
	for _, b := range [][]byte{{0xff, 0xff, 0xff}, {5, 0xff, 0xff, 0xff, 0xff, 0xff}, bytes.Repeat([]byte{0x80}, 20), {3}} {
		f := newFixture(t)
		c, err := net.Dial("tcp", string(f.peer.Address))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(b)
		_ = c.SetDeadline(time.Now().Add(2 * helloTimeout))
		if n, err := c.Read(make([]byte, 1)); n != 0 || errors.Is(err, context.DeadlineExceeded) || err == nil {
			t.Errorf("%x: read %d bytes, %v; want the end of the connection", b, n, err)
		}
		_ = c.Close()
	}
}

func FuzzDecodeRequest(f *testing.F) {
	q := request{sender: "entry-1", key: 5, hint: Hint{Replica: "r", Incarnation: 9, Leaving: true, Pause: time.Second}}
	f.Add(q.encode()[1:])
	f.Fuzz(func(t *testing.T, b []byte) {
		q, err := decodeRequest(b)
		if err != nil {
			return
		}
		again, err := readRequest(bytes.NewReader(q.encode()))
		if len(q.encode()) <= maxRequest && (err != nil || again.hint.Pause != q.hint.Pause || again.sender != q.sender) {
			t.Errorf("%+v is read as %+v, %v", q, again, err)
		}
	})
}

// TestUserIsKnownWhileConnecting guards against an instance that is not told what a replica states while a connection to it is
// being opened for that instance.
func TestUserIsKnownWhileConnecting(t *testing.T) {
	f := newFixture(t)
	users := make(chan []medlarid.InstanceID, 1)
	dial := f.server.deps.Dial
	f.server.deps.Dial = func(ctx context.Context, id medlarid.InstanceID, i medlarid.Incarnation) (net.Conn, Result) {
		users <- f.server.Users(id)
		return dial(ctx, id, i)
	}
	f.open()
	if got := <-users; len(got) != 1 || got[0] != "c" {
		t.Errorf("users %v, want the client", got)
	}
}

// TestSubscribe guards against contents of stores that go to an instance that does not know the key, against an older
// build that is taken for one that passes them on, and against connections that delay a stop.
func TestSubscribe(t *testing.T) {
	f := newFixture(t)
	f.result = ResultUnused // as for a replica without an id
	wantResult := func(p Peer, want Result) {
		t.Helper()
		var e *Error
		if _, err := f.client.Subscribe(t.Context(), p); !errors.As(err, &e) || e.Result != want {
			t.Errorf("answer is %v, want result %d", err, want)
		}
	}
	wantResult(f.peer, ResultUnused)
	published := make(chan net.Conn, 1)
	server := NewServer(Deps{Key: 7, Publish: func(c net.Conn) {
		published <- c
		_, _ = io.Copy(c, c)
	}})
	if err := server.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	wantResult(Peer{Address: server.Address(), Key: 8}, ResultDenied)
	near, err := f.client.Subscribe(t.Context(), Peer{Address: server.Address(), Key: 7})
	if err != nil {
		t.Fatal(err)
	}
	<-published
	b := make([]byte, 4)
	_, _ = near.Write([]byte("ping"))
	if _, err := io.ReadFull(near, b); err != nil || string(b) != "ping" {
		t.Errorf("%q passed on, %v", b, err)
	}
	if n := server.Open(); n != 0 {
		t.Errorf("%d open connections delay a stop, want 0", n)
	}
	server.Stop()
	_ = near.SetReadDeadline(time.Now().Add(soon))
	if _, err := near.Read(b); err != io.EOF && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("connection does not end with the stop: %v", err)
	}
}

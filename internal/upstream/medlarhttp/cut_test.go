package medlarhttp_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/upstream/medlarhttp"
)

// cutFields are the fields of responses that are cut in their heads, and longestHead is the length of the longest of these.
const (
	cutFields   = "Medlarfield-Request-Id: r\r\n"
	longestHead = 110
)

// reply is what a call returns.
type reply struct {
	status int
	body   string
	err    error
}

// calls are the ways in which a request is sent.
var calls = map[string]func(*medlarhttp.Client, medlarhttp.Request) reply{
	"own connection":  func(c *medlarhttp.Client, r medlarhttp.Request) reply { return whole(c.Do(r)) },
	"kept connection": func(c *medlarhttp.Client, r medlarhttp.Request) reply { return whole(c.DoKept(r)) },
	"stream":          func(c *medlarhttp.Client, r medlarhttp.Request) reply { return read(c.Open(r)) },
	"kept stream":     func(c *medlarhttp.Client, r medlarhttp.Request) reply { return read(c.OpenPooled(r)) },
}

func whole(r medlarhttp.Response, err error) reply {
	return reply{status: r.Status, body: string(r.Body), err: err}
}

func read(s *medlarhttp.Stream, err error) reply {
	if err != nil {
		return reply{err: err}
	}
	defer s.Close()
	body, err := io.ReadAll(s.Body)
	return reply{status: s.Status, body: string(body), err: err}
}

// TestCutHeads guards against a response whose peer stopped in the head and that counts as complete, or as that to which
// the rest of another head belongs.
func TestCutHeads(t *testing.T) {
	for name, call := range calls {
		for _, end := range medlarending.HeadEnds {
			t.Run(fmt.Sprintf("%s/%s", name, end.Name), func(t *testing.T) {
				t.Parallel()
				for missing := 1; missing < longestHead; missing++ {
					for _, e := range []medlarending.Ending{end.CutHead(missing, false), end.CutHead(missing, true), end.CutHeadAndAgain(missing)} {
						assertNoReply(t, call, e)
					}
				}
			})
		}
	}
}

// TestFurtherHeadsInBodies guards against a body that counts as whole with the head of a further response, or a part of
// one, in it.
func TestFurtherHeadsInBodies(t *testing.T) {
	for name, call := range calls {
		for _, e := range slices.Concat(medlarending.WithAnother, medlarending.BegunAgain, medlarending.StoppedAndAgain) {
			t.Run(name+"/"+e.Name, func(t *testing.T) {
				t.Parallel()
				assertNoReply(t, call, e)
			})
		}
	}
}

// TestBrokenOffDuringUpload guards against a body that counts as whole although its peer broke it off before it had received the
// request.
func TestBrokenOffDuringUpload(t *testing.T) {
	const uploadBytes, rounds = 600_000, 5
	for name, call := range calls {
		for _, e := range medlarending.BrokenOffEarly {
			t.Run(name+"/"+e.Name, func(t *testing.T) {
				t.Parallel()
				for range rounds {
					assertNoReplyTo(t, call, e, bytes.Repeat([]byte{'u'}, uploadBytes))
				}
			})
		}
	}
}

func assertNoReply(t *testing.T, call func(*medlarhttp.Client, medlarhttp.Request) reply, e medlarending.Ending) {
	t.Helper()
	assertNoReplyTo(t, call, e, nil)
}

// assertNoReplyTo is assertNoReply for a request with a body.
func assertNoReplyTo(t *testing.T, call func(*medlarhttp.Client, medlarhttp.Request) reply, e medlarending.Ending, body []byte) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go serveOnce(ln, e)
	client := medlarhttp.New(5 * time.Second)
	defer client.CloseKept()
	r := medlarhttp.Request{Method: "GET", Address: medlarid.Address(ln.Addr().String()), Path: "/", Timeout: 5 * time.Second}
	if body != nil {
		r.Method, r.Body = "POST", body
	}
	got := call(client, r)
	if got.err == nil {
		t.Errorf("status %d, body %q for %q", got.status, got.body, e.Text(medlarending.Request{ID: "r", Fields: cutFields}))
	}
}

// serveOnce answers one request.
func serveOnce(ln net.Listener, e medlarending.Ending) {
	c, err := ln.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := medlarhead.ReadRequest(bufio.NewReader(c), 1<<14); err == nil {
		e.Write(c, medlarending.Request{ID: "r", Fields: cutFields})
	}
}

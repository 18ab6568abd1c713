package medlarproxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/stand/medlarfakereplica"
)

// longestHead is the length of the longest head of a replica's response, or more.
const longestHead = 230

// TestCutHeads guards against a response whose replica stopped in the head and that a client gets as complete, or joined
// with a further one.
func TestCutHeads(t *testing.T) {
	for _, end := range medlarending.HeadEnds {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept connection %v", end.Name, kept), func(t *testing.T) {
				t.Parallel()
				r, err := medlarfakereplica.New(medlarfakereplica.Settings{ID: "one", Service: "s", Slots: 64}, func() {})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(r.Kill)
				_, addr := newServer(t, r, nil)
				for missing := 1; missing < longestHead; missing++ {
					for n, e := range []medlarending.Ending{end.CutHead(missing, false), end.CutHead(missing, true), end.CutHeadAndAgain(missing)} {
						id := fmt.Sprintf("cut-%d-%d", missing, n)
						if kept {
							assertSuccess(t, addr, "warm-"+id, true)
						}
						r.ArmEnding(e)
						assertSuccess(t, addr, id, false)
					}
				}
			})
		}
	}
}

// assertSuccess sends a request on a new connection and asserts that the response is a success, or a whole failure.
func assertSuccess(t *testing.T, addr, id string, want bool) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	text := "POST / HTTP/1.1\r\nHost: a.example\r\nMedlarfield-Request-Id: " + id + "\r\nMedlarfield-Timeout-Ms: 4000\r\n\r\n"
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	h, err := medlarhead.ReadResponse(br, 8192, "POST")
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	body, err := io.ReadAll(medlarframing.NewBody(br, h))
	if err != nil || h.Status != 200 && h.Status < 500 || (h.Status == 200) != want {
		t.Errorf("%s: status %d, body %q, error %v; want a success: %v", id, h.Status, body, err, want)
	}
}

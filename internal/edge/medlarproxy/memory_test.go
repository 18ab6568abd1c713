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
	"medlarfield/internal/base/medlarmemory"
	"medlarfield/internal/edge/medlarproxy"
	"medlarfield/internal/stand/medlarfakereplica"
)

// TestAnswersWithinMemory guards against answers that are lost because there is no memory to read them in one piece, and
// against memory that stays reserved after them.
func TestAnswersWithinMemory(t *testing.T) {
	const bound = 4 << 20
	for _, tc := range []struct {
		name    string
		length  int
		full    bool // no memory is left for answers
		framing medlarhead.Framing
	}{
		{"short", 1000, false, medlarhead.FramingLength},
		{"short, without memory", 1000, true, medlarhead.FramingLength},
		{"long", 50_000, false, medlarhead.FramingLength},
		{"long, without memory", 50_000, true, medlarhead.FramingChunked},
		{"longer than the buffer", 300_000, false, medlarhead.FramingChunked},
		{"longer than the buffer, without memory", 300_000, true, medlarhead.FramingChunked},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, err := medlarfakereplica.New(medlarfakereplica.Settings{ID: "one", Service: "s", Slots: 4, AnswerBytes: tc.length}, func() {})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Kill)
			account := medlarmemory.New(bound)
			held := int64(0)
			for tc.full {
				if _, err := account.Reserve(medlarmemory.KindAnswers, 1000); err != nil {
					held = account.Held(medlarmemory.KindAnswers)
					break
				}
			}
			_, addr := newServer(t, r, func(d *medlarproxy.Deps) { d.Memory = account })
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a.example\r\nMedlarfield-Request-Id: m\r\nMedlarfield-Timeout-Ms: 4000\r\n\r\n")
			br := bufio.NewReader(c)
			h, err := medlarhead.ReadResponse(br, 8192, "GET")
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(medlarframing.NewBody(br, h))
			if err != nil || h.Status != 200 || len(body) != tc.length || h.Framing != tc.framing {
				t.Errorf("%d, %d bytes, framing %s, %v; want 200, %d bytes, framing %s", h.Status, len(body), h.Framing, err, tc.length, tc.framing)
			}
			for end := time.Now().Add(5 * time.Second); account.Held(medlarmemory.KindAnswers) != held || account.Held(medlarmemory.KindRequests) != 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes stay reserved for answers, want %d", account.Held(medlarmemory.KindAnswers), held)
				}
			}
		})
	}
}

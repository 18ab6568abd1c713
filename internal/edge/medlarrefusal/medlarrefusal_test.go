package medlarrefusal

import (
	"bytes"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/edge/medlarcall"
)

// TestRefusalOfHeadHasNoBody guards against bytes that a client reads as its next response.
func TestRefusalOfHeadHasNoBody(t *testing.T) {
	for _, head := range []bool{true, false} {
		s := &medlarcall.Summary{Status: 404, Reason: medlarreason.Absent}
		b := Format{Head: head}.Append(nil, s, func(b []byte, _ medlarid.RequestID, _ time.Duration) []byte { return b })
		_, body, _ := bytes.Cut(b, []byte("\r\n\r\n"))
		if (len(body) == 0) != head {
			t.Errorf("method HEAD: %v, body %q", head, body)
		}
	}
}

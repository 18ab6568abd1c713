package medlarproof

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/edge/medlarcall"
)

// Heads of responses, without their framing.
const (
	rejection   = "HTTP/1.1 503 Busy\r\nRejected: 1\r\n"
	misdirected = "HTTP/1.1 421 Elsewhere\r\n"
	failure     = "HTTP/1.1 500 Failed\r\n"
	answer      = "HTTP/1.1 200 OK\r\n"
)

// Framings of responses.
const (
	withLength = "Content-Length: 4\r\n\r\nbody"
	inChunks   = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	toClose    = "\r\nbody"
)

const (
	own     = "Id: mine\r\n"
	foreign = "Id: other\r\n"
	none    = ""
)

func decode(h *medlarhead.Head) medlarcall.Reply {
	id, _ := h.Get("Id")
	_, n := h.Get("Rejected")
	return medlarcall.Reply{ID: medlarid.RequestID(id), NotRun: n > 0, Misdirected: h.Status == 421}
}

// result is what Read finds.
type result struct {
	Status  int
	Proof   medlarcall.Proof
	Unnamed int  // rejections that were read over since they name no request
	Foreign bool // all responses belong to others
	Ended   bool // the connection ended
}

// TestRead guards against a response that is taken for the one to an attempt to which it does not belong.
func TestRead(t *testing.T) {
	for _, tc := range []struct {
		name   string
		reused bool
		sent   string
		want   result
	}{
		{"several interim responses, then own answer", true, strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 5) + answer + own + withLength, result{Status: 200, Proof: medlarcall.ProofID}},
		{"interim responses only", true, strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", maxInterim+1), result{Foreign: true}},
		{"own answer", true, answer + own + withLength, result{Status: 200, Proof: medlarcall.ProofID}},
		{"own rejection", true, rejection + own + withLength, result{Status: 503, Proof: medlarcall.ProofID}},
		{"unnamed rejection, new connection", false, rejection + none + withLength, result{Status: 503, Proof: medlarcall.ProofConn}},
		{"unnamed 421, new connection", false, misdirected + none + withLength, result{Status: 421, Proof: medlarcall.ProofConn}},
		{"unnamed rejection, then own answer", true, rejection + none + withLength + answer + own + withLength, result{Status: 200, Proof: medlarcall.ProofID, Unnamed: 1}},
		{"unnamed 421, then own answer", true, misdirected + none + inChunks + answer + own + withLength, result{Status: 200, Proof: medlarcall.ProofID, Unnamed: 1}},
		{"unnamed rejection, then own rejection", true, rejection + none + inChunks + rejection + own + withLength, result{Status: 503, Proof: medlarcall.ProofID, Unnamed: 1}},
		{"unnamed rejection only", true, rejection + none + withLength, result{Unnamed: 1, Ended: true}},
		{"unnamed rejection to the close", true, rejection + none + toClose, result{Unnamed: 1, Foreign: true}},
		{"foreign rejection, then own answer", true, rejection + foreign + withLength + answer + own + withLength, result{Status: 200, Proof: medlarcall.ProofID}},
		{"foreign rejection, new connection", false, rejection + foreign + withLength, result{Ended: true}},
		{"foreign answer to the close", true, answer + foreign + toClose, result{Foreign: true}},
		{"many foreign answers", true, strings.Repeat(answer+foreign+withLength, maxForeign+1) + answer + own + withLength, result{Foreign: true}},
		{"part of a foreign rejection", true, rejection + foreign + "Content-Length: 9\r\n\r\nbody", result{Ended: true}},
		{"unnamed failure", true, failure + none + withLength, result{Status: 500, Proof: medlarcall.ProofNone}},
		{"unnamed answer", true, answer + none + withLength, result{Status: 200, Proof: medlarcall.ProofNone}},
		{"interim response, then own answer", true, "HTTP/1.1 100 Continue\r\n\r\n" + answer + own + withLength, result{Status: 200, Proof: medlarcall.ProofID}},
	} {
		t.Run(tc.name, func(t *testing.T) { assertRead(t, Attempt{Reused: tc.reused, Once: true}, tc.sent, tc.want) })
	}
	t.Run("unnamed rejection of a request that may be repeated", func(t *testing.T) {
		assertRead(t, Attempt{Reused: true}, rejection+none+withLength, result{Status: 503, Proof: medlarcall.ProofNone})
	})
}

func assertRead(t *testing.T, a Attempt, sent string, want result) {
	t.Helper()
	var got result
	a.ID, a.Method, a.Decode, a.OnUnnamed = "mine", "GET", decode, func(medlarcall.Reply) { got.Unnamed++ }
	h, reply, err := a.Read(bufio.NewReader(strings.NewReader(sent)))
	var e *Error
	switch {
	case errors.As(err, &e):
		got.Foreign = e.Kind == KindForeign
	case err != nil:
		got.Ended = medlarhead.ConnectionEnded(err) || errors.Is(err, io.EOF)
	default:
		got.Status, got.Proof = h.Status, reply.Proof
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("want -, got +:\n%s", diff)
	}
}

// Package medlarbuffer reserves the memory of the responses and events that are read before they are relayed.
package medlarbuffer

import (
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarmemory"
)

// Sizes of buffers.
const (
	Read    = 4096     // bytes; part of what is reserved for the request
	MaxBody = 64 << 10 // bytes; a longer response body is relayed in chunks as it arrives

	// answerCopies is the number of buffers of the size of a response that are held at once while it is relayed: a response
	// of an earlier attempt, the one that is read, and the bytes that are written.
	answerCopies = 3
	// eventCopies is the same for an event of a stream: its buffer, which is doubled, and the bytes that are written.
	eventCopies = 3
)

// Buffers is the memory that is reserved for the responses to a request.
type Buffers struct {
	account    *medlarmemory.Account
	request    *medlarmemory.Reservation // of the request
	eventBytes int                       // bytes that are reserved in request for events longer than Read
	answer     *medlarmemory.Reservation // of the responses that are relayed or kept; nil for none
}

// New returns the memory for the responses to a request, from an account and with the reservation of the request.
func New(a *medlarmemory.Account, request *medlarmemory.Reservation) Buffers {
	return Buffers{account: a, request: request}
}

// Release releases what was reserved for responses.
func (b *Buffers) Release() { b.answer.Release() }

// BeginStream makes the memory of the request count as that of a stream.
func (b *Buffers) BeginStream() { b.request.SetKind(medlarmemory.KindStreams) }

// ReserveAnswer returns how many bytes of a response are read before it is relayed, and reserves memory for them. If there
// is none, these are Read bytes: a longer response is relayed in chunks then, and is not retried if it is truncated.
func (b *Buffers) ReserveAnswer(h *medlarhead.Head) int {
	limit := MaxBody
	if h.Framing == medlarhead.FramingLength {
		limit = int(min(h.Length, MaxBody))
	}
	if limit <= Read || h.Framing == medlarhead.FramingNone { // part of what is reserved for the request
		return Read
	}
	if b.answer != nil { // an earlier response is kept
		if b.answer.Grow(answerCopies*limit) != nil {
			return Read
		}
		return limit
	}
	r, err := b.account.Reserve(medlarmemory.KindAnswers, answerCopies*limit)
	if err != nil {
		return Read
	}
	b.answer = r
	return limit
}

// ReserveEvent reserves the memory of an event that has not ended and of which n bytes are buffered. Up to Read bytes are part
// of what is reserved for the request.
func (b *Buffers) ReserveEvent(n int) error {
	need := eventCopies * n
	if need <= eventCopies*Read || need <= b.eventBytes {
		return nil
	}
	err := b.request.Grow(need - b.eventBytes)
	if err == nil {
		b.eventBytes = need
	}
	return err
}

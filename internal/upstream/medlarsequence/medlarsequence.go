// Package medlarsequence restores the order of the numbered parts of a stream.
//
// Rules:
//
//	R1  Parts are delivered in the order of their numbers, each exactly once.
//	R2  A duplicate part is dropped.
//	R3  A part that arrives early is buffered until all earlier parts have
//	    arrived; at most maxHeld parts are buffered.
package medlarsequence

import (
	"fmt"
)

// maxHeld bounds the number of parts buffered ahead of a missing one.
const maxHeld = 256

// Op names the operation that failed.
type Op string

// OpPush adds a part to the buffer.
const OpPush Op = "push"

// Kind classifies a failure.
type Kind string

// KindGap means that a part has not arrived.
const KindGap Kind = "gap"

// Error reports a stream whose order cannot be restored.
type Error struct {
	Op   Op
	Kind Kind
	Want int // number of the missing part
}

// Error returns the operation, the kind and the number of the missing part.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: part %d is missing", e.Op, e.Kind, e.Want)
}

// Part is one numbered part of a stream.
type Part struct {
	Number int
	Text   string
}

// Buffer is a reorder buffer. The zero value expects part 0 first.
type Buffer struct {
	next int
	held map[int]string
}

// New returns a buffer that expects the part numbered first.
func New(first int) *Buffer { return &Buffer{next: first} }

// Next returns the number of the next part to be delivered.
func (b *Buffer) Next() int { return b.next }

// Push adds a part and appends to dst the texts that can now be delivered (R1).
// It returns an error of KindGap if too many parts are buffered (R3).
func (b *Buffer) Push(dst []string, p Part) ([]string, error) {
	switch {
	case p.Number < b.next:
		return dst, nil // R2
	case p.Number > b.next:
		return dst, b.hold(p)
	}
	dst = append(dst, p.Text)
	b.next++
	for len(b.held) > 0 {
		text, ok := b.held[b.next]
		if !ok {
			break
		}
		delete(b.held, b.next)
		dst = append(dst, text)
		b.next++
	}
	return dst, nil
}

// CheckComplete returns an error of KindGap unless exactly the parts numbered
// below total have been delivered.
func (b *Buffer) CheckComplete(total int) error {
	if b.next != total || len(b.held) > 0 {
		return &Error{Op: OpPush, Kind: KindGap, Want: b.next}
	}
	return nil
}

func (b *Buffer) hold(p Part) error {
	if len(b.held) >= maxHeld {
		return &Error{Op: OpPush, Kind: KindGap, Want: b.next}
	}
	if b.held == nil {
		b.held = map[int]string{}
	}
	b.held[p.Number] = p.Text
	return nil
}

// Package medlarsequence puts the numbered parts of a stream in order.
//
// Rules:
//
//	R1  Parts leave in the order of their numbers, each once.
//	R2  A repeated part is dropped.
//	R3  A part that comes early is held until those before it have come; at most
//	    maxHeld parts are held.
package medlarsequence

import (
	"fmt"
)

// maxHeld bounds the parts that wait for an earlier one.
const maxHeld = 256

// Op names the operation that failed.
type Op string

// OpPush takes a part.
const OpPush Op = "push"

// Kind classifies a failure.
type Kind string

// KindGap is a part that did not come.
const KindGap Kind = "gap"

// Error is a stream whose parts cannot be put in order.
type Error struct {
	Op   Op
	Kind Kind
	Want int // number of the missing part
}

// Error returns operation, kind and the missing number.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: part %d is missing", e.Op, e.Kind, e.Want)
}

// Part is one part of a stream.
type Part struct {
	Number int
	Text   string
}

// Buffer holds parts until their turn. The zero value starts at number 0.
type Buffer struct {
	next int
	held map[int]string
}

// New returns an order whose first part has the number first.
func New(first int) *Buffer { return &Buffer{next: first} }

// Next returns the number of the part that is due.
func (o *Buffer) Next() int { return o.next }

// Push takes a part and appends to dst the texts that are due now (R1). It
// returns an error of KindGap when too many parts wait (R3).
func (o *Buffer) Push(dst []string, p Part) ([]string, error) {
	switch {
	case p.Number < o.next:
		return dst, nil // R2
	case p.Number > o.next:
		return dst, o.hold(p)
	}
	dst = append(dst, p.Text)
	o.next++
	for len(o.held) > 0 {
		text, ok := o.held[o.next]
		if !ok {
			break
		}
		delete(o.held, o.next)
		dst = append(dst, text)
		o.next++
	}
	return dst, nil
}

// CheckComplete returns an error of KindGap unless exactly the parts below total have
// left.
func (o *Buffer) CheckComplete(total int) error {
	if o.next != total || len(o.held) > 0 {
		return &Error{Op: OpPush, Kind: KindGap, Want: o.next}
	}
	return nil
}

func (o *Buffer) hold(p Part) error {
	if len(o.held) >= maxHeld {
		return &Error{Op: OpPush, Kind: KindGap, Want: o.next}
	}
	if o.held == nil {
		o.held = map[int]string{}
	}
	o.held[p.Number] = p.Text
	return nil
}

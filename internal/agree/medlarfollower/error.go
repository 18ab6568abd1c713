package medlarfollower

import (
	"fmt"

	"medlarfield/internal/base/medlarid"
)

// Op names the operation that failed.
type Op string

// OpRead reads the stream.
const OpRead Op = "read"

// Kind classifies a failure.
type Kind string

// KindBehind is a log that ends before what was read already.
const KindBehind Kind = "behind"

// Error is a read whose result cannot be used.
type Error struct {
	Op        Op
	Kind      Kind
	Requested medlarid.Offset // offset that was asked for
	EndOffset medlarid.Offset // end of the stream
}

// Error returns operation, kind and offsets.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: the stream ends at %d, read up to %d", e.Op, e.Kind, e.EndOffset, e.Requested)
}

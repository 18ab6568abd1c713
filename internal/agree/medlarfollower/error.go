package medlarfollower

import (
	"fmt"

	"medlarfield/internal/base/medlarid"
)

// Op identifies the operation that failed.
type Op string

// OpRead is a read of the stream.
const OpRead Op = "read"

// Kind classifies a failure.
type Kind string

// KindBehind means that the log ends before the offset that was already reached.
const KindBehind Kind = "behind"

// Error reports a read whose result cannot be used.
type Error struct {
	Op        Op
	Kind      Kind
	Requested medlarid.Offset // first offset that was requested
	EndOffset medlarid.Offset // end of the stream
}

// Error returns the operation, the kind and the offsets.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: the stream ends at offset %d, before the requested offset %d", e.Op, e.Kind, e.EndOffset, e.Requested)
}

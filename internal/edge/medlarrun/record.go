package medlarrun

import (
	"context"
	"time"

	"medlarfield/internal/core/medlarworld"
)

// recordTimeout is the longest time for which the first event of a stream is held back until the stream is recorded.
const recordTimeout = 400 * time.Millisecond

// AwaitRecord waits until the core reports that the stream of an attempt is recorded, so that other instances know where
// it continues. While an attempt is in progress the core sends its run nothing else.
func AwaitRecord(ctx context.Context, commands <-chan medlarworld.Command, attempt int) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for {
		select {
		case cmd := <-commands:
			if r, ok := cmd.(medlarworld.StreamRecorded); ok && r.Attempt == attempt {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

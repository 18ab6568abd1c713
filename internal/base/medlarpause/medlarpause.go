// Package medlarpause waits for a time that a context can cut short.
package medlarpause

import (
	"context"
	"time"
)

// For waits for d; it returns false when ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

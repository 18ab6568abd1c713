// Package medlarpause sleeps until a duration has passed or a context is done.
package medlarpause

import (
	"context"
	"time"
)

// For sleeps for d; it returns false if ctx is done first.
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

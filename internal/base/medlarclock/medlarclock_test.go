package medlarclock

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestAnsweredFrom guards against an answer that counts as newer than it can be.
func TestAnsweredFrom(t *testing.T) {
	const wait = 800 * time.Millisecond
	for _, tc := range []struct {
		name    string
		took    time.Duration
		changed bool
		want    time.Duration // after the begin
	}{
		{"changes at once", 10 * time.Millisecond, true, 0},
		{"changes, held up", 2 * time.Second, true, 0},
		{"no changes", wait + 5*time.Millisecond, false, wait},
		{"no changes, held up", 2 * time.Second, false, wait},
		{"no changes, without a wait", 10 * time.Millisecond, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				time.Sleep(tc.took)
				if got := AnsweredFrom(begin, wait, tc.changed).Sub(begin); got != tc.want {
					t.Errorf("%v after the begin, want %v", got, tc.want)
				}
			})
		})
	}
}

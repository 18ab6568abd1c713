// Package medlarclock tells how long the instance was suspended. The runtime's
// monotonic clock does not count that time, so a belief that was young before a
// suspension still looks young after it.
package medlarclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns the total time for which the instance was suspended since it
// was started: the clock that counts suspension less the one that does not. It is
// 0 where the system tells no such time.
func Suspended() time.Duration {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - mono.Nano())
}

// Package medlarclock measures how long the instance has been suspended. The
// runtime's monotonic clock does not count that time, so data that was recent before
// a suspension still appears recent after it.
package medlarclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns the total time for which the instance has been suspended since
// boot: CLOCK_BOOTTIME, which includes suspension, minus CLOCK_MONOTONIC, which does
// not. It is 0 where the system does not provide these clocks.
func Suspended() time.Duration {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - mono.Nano())
}

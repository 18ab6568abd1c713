// Package medlarclock measures how long the instance has been suspended, and dates the
// answers to calls that wait for changes. The runtime's monotonic clock does not count a
// suspension, so data that was recent before it still appears recent after it.
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

// AnsweredFrom returns the earliest time at which a peer can have answered a call that began
// at a time and has just returned. The peer waits for a first change, so that an answer without
// one was given after the wait. An answer with changes may have been held up on its way since
// the call began.
func AnsweredFrom(begin time.Time, wait time.Duration, changed bool) time.Time {
	if changed || time.Since(begin) < wait {
		return begin
	}
	return begin.Add(wait)
}

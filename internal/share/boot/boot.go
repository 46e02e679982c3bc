// Package boot reads a clock that includes the time for which the process or its machine was paused, and detects such
// pauses.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed point in time.
type Clock func() time.Duration

// Now reads CLOCK_BOOTTIME. Unlike the monotonic clock it includes the time for which the machine was suspended, and
// unlike the wall clock it does not jump.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// On kernels without CLOCK_BOOTTIME, the monotonic clock includes pauses of the process, but not suspension.
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

var processStart = time.Now()

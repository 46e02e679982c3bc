// Package boot reads the clock that goes on while the process or its machine stands still.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since some fixed moment.
type Clock func() time.Duration

// Now reads CLOCK_BOOTTIME. Unlike the steady clock it counts the time for which the machine was suspended, and unlike the
// time of day it does not jump.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Kernels without the clock: the steady one counts pauses of the process, but no suspension.
		return time.Since(started)
	}
	return time.Duration(now.Nano())
}

var started = time.Now()

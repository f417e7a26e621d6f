package cluster

import (
	"time"

	"golang.org/x/sys/unix"
)

// now returns the time since the machine started, including suspended time, so that pauses of the
// process and sleep of the machine count (CLOCK_BOOTTIME of clock_gettime(2)). Setting the wall
// clock does not change it.
func now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is what SinceBoot counts from on a host that has no clock for the time since its boot.
var processStart = time.Now()

// SinceBoot returns the time since the boot of the host, with the time for which it was suspended. The time of day does not
// matter to it.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

package clocker

import (
	"time"

	"golang.org/x/sys/unix"

	"buckthorndrum/identifier"
)

// Now returns the time since the machine started, time in suspension included.
// The time of day may jump and Go's steady clock stands still while a machine is
// suspended, so that neither can tell how old a proof is.
func Now() identifier.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return identifier.Instant(time.Since(started))
	}
	return identifier.Instant(t.Nano())
}

var started = time.Now()

package wasabiclock

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/wasabiridge/wasabiridge"
)

type bootClock struct {
	wall  wasabiridge.Millis
	start int64
}

// Boot returns a clock that starts at the wall-clock time of the call and then
// follows CLOCK_BOOTTIME, which never goes back and, unlike the clock of System,
// advances while the machine is suspended. Ages that are measured with it include
// suspensions and are thus never underestimated. It is safe for concurrent use.
func Boot() wasabiridge.Clock {
	return bootClock{wall: wasabiridge.MillisAt(time.Now()), start: bootNanos()}
}

// Now returns the current time.
func (b bootClock) Now() wasabiridge.Millis {
	return b.wall + wasabiridge.Millis((bootNanos()-b.start)/int64(time.Millisecond))
}

// bootNanos returns the nanoseconds since boot, including suspensions. The error is
// ignored, because ClockGettime cannot fail for a supported clock.
func bootNanos() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return t.Nano()
}

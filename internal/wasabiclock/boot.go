package wasabiclock

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/wasabiridge/wasabiridge"
)

type boot struct {
	wall  wasabiridge.Millis
	start int64
}

// Boot returns a clock that starts at the system's wall clock and goes on
// while the machine is suspended, unlike that of System. Ages measured by it
// are never too young. It is safe for concurrent use.
func Boot() wasabiridge.Clock {
	return boot{wall: wasabiridge.MillisAt(time.Now()), start: bootNanos()}
}

// Now returns the current point in time.
func (b boot) Now() wasabiridge.Millis {
	return b.wall + wasabiridge.Millis((bootNanos()-b.start)/int64(time.Millisecond))
}

// bootNanos returns the time since the machine started, suspensions included.
// The call cannot fail for a clock that the system knows.
func bootNanos() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return t.Nano()
}

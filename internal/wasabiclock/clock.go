// Package wasabiclock provides the implementations of wasabiridge.Clock: System and
// Boot follow clocks of the operating system, and Virtual is advanced by tests.
//
// # Usage
//
//	clock := wasabiclock.System()
//	now := clock.Now()
//
// A test advances a virtual clock:
//
//	clock := wasabiclock.NewVirtual(0)
//	clock.Advance(3 * wasabiridge.Second)
package wasabiclock

import (
	"sync/atomic"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

type systemClock struct {
	start time.Time
}

// System returns a clock that starts at the wall-clock time of the call and then
// follows the monotonic clock, so that it never goes back, also when the wall clock
// is set. It is safe for concurrent use.
func System() wasabiridge.Clock {
	return systemClock{start: time.Now()}
}

// Now returns the current time.
func (s systemClock) Now() wasabiridge.Millis {
	return wasabiridge.MillisAt(s.start) + wasabiridge.MillisOf(time.Since(s.start))
}

// Virtual is a clock that changes only through Advance. It is safe for concurrent
// use. The zero value is at the epoch.
type Virtual struct {
	now atomic.Int64
}

// NewVirtual returns a virtual clock that is set to the given time.
func NewVirtual(at wasabiridge.Millis) *Virtual {
	v := &Virtual{}
	v.now.Store(int64(at))
	return v
}

// Now returns the time to which the clock is set.
func (v *Virtual) Now() wasabiridge.Millis {
	return wasabiridge.Millis(v.now.Load())
}

// Advance advances the clock and returns the new time. A negative duration is
// ignored, because clocks never go back.
func (v *Virtual) Advance(by wasabiridge.Millis) wasabiridge.Millis {
	if by <= 0 {
		return v.Now()
	}
	return wasabiridge.Millis(v.now.Add(int64(by)))
}

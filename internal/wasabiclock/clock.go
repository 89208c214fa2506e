// Package wasabiclock provides the clocks behind wasabiridge.Clock: one that
// follows the system and one that tests move by hand.
//
// # Usage
//
//	clock := wasabiclock.System()
//	now := clock.Now()
//
// A test steps its own time:
//
//	clock := wasabiclock.NewVirtual(0)
//	clock.Advance(3 * wasabiridge.Second)
package wasabiclock

import (
	"sync/atomic"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

type system struct {
	start time.Time
}

// System returns a clock that starts at the system's wall clock and then
// follows the monotonic clock, so that it never goes back. It is safe for
// concurrent use.
func System() wasabiridge.Clock {
	return system{start: time.Now()}
}

// Now returns the current point in time.
func (s system) Now() wasabiridge.Millis {
	return wasabiridge.MillisAt(s.start) + wasabiridge.MillisOf(time.Since(s.start))
}

// Virtual is a clock that stands still until it is moved. It is safe for
// concurrent use. The zero value stands at the epoch.
type Virtual struct {
	now atomic.Int64
}

// NewVirtual returns a virtual clock that stands at the given time.
func NewVirtual(at wasabiridge.Millis) *Virtual {
	v := &Virtual{}
	v.now.Store(int64(at))
	return v
}

// Now returns the point in time at which the clock stands.
func (v *Virtual) Now() wasabiridge.Millis {
	return wasabiridge.Millis(v.now.Load())
}

// Advance moves the clock forward and returns the new time. A negative span
// is ignored, because clocks never go back.
func (v *Virtual) Advance(by wasabiridge.Millis) wasabiridge.Millis {
	if by <= 0 {
		return v.Now()
	}
	return wasabiridge.Millis(v.now.Add(int64(by)))
}

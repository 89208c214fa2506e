package wasabiridge

import "time"

// Millis is a point in time or a length of time, in milliseconds. Points in
// time count from the Unix epoch. The zero Millis is both the epoch and the
// empty length.
type Millis int64

// Common lengths of time.
const (
	// Second is the length of one second.
	Second Millis = 1000
	// Minute is the length of one minute.
	Minute = 60 * Second
	// Hour is the length of one hour.
	Hour = 60 * Minute
	// Day is the length of one day of 24 hours.
	Day = 24 * Hour
)

// MillisOf converts a length of time of the standard library. It rounds
// towards zero.
func MillisOf(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// MillisAt converts a point in time of the standard library.
func MillisAt(t time.Time) Millis {
	return Millis(t.UnixMilli())
}

// Duration converts a length of time for use with the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts a point in time for use with the standard library. The result
// is in UTC.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m)).UTC()
}

// Clock tells the time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current point in time. Successive calls never go back.
	Now() Millis
}

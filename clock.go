package wasabiridge

import "time"

// Millis is a point in time or a duration, in milliseconds. Points in time count from
// the Unix epoch. The zero Millis is both the epoch and the zero duration.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
	// Day is 24 hours.
	Day = 24 * Hour
)

// MillisOf converts a time.Duration. It rounds towards zero.
func MillisOf(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// MillisAt converts a time.Time.
func MillisAt(t time.Time) Millis {
	return Millis(t.UnixMilli())
}

// Duration converts m, taken as a duration, to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts m, taken as a point in time, to a time.Time in UTC.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m)).UTC()
}

// Clock returns the current time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current point in time. Successive calls never return an earlier
	// time.
	Now() Millis
}

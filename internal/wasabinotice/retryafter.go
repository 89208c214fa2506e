package wasabinotice

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

// maxRetryAfterSeconds bounds a Retry-After time. Longer ones count as this one.
const maxRetryAfterSeconds = 1e6

// RetryAfter parses the Retry-After time in the header of a response: a number of
// seconds, which may have fractions, or a date, which counts from the Date of the
// response. It reports false if the header has none, and returns ErrInvalid for a
// malformed one.
func RetryAfter(h http.Header) (wasabiridge.Millis, bool, error) {
	values := h.Values("Retry-After")
	switch {
	case len(values) == 0:
		return 0, false, nil
	case len(values) > 1:
		return 0, true, wasabiridge.ErrInvalid.New("notice: %d Retry-After times in one response", len(values))
	}
	text := strings.TrimSpace(values[0])
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return retryDate(text, h.Get("Date"))
	}
	if seconds < 0 || math.IsNaN(seconds) || math.IsInf(seconds, 0) {
		return 0, true, wasabiridge.ErrInvalid.New("notice: Retry-After %.40q is not a time to wait", text)
	}
	return wasabiridge.Millis(math.Ceil(min(seconds, maxRetryAfterSeconds) * float64(wasabiridge.Second))), true, nil
}

// retryDate returns the time from the date of a response to the date in its Retry-After.
func retryDate(text, date string) (wasabiridge.Millis, bool, error) {
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, true, wasabiridge.ErrInvalid.New("notice: Retry-After %.40q is neither seconds nor a date", text)
	}
	from, err := http.ParseTime(date)
	if err != nil {
		return 0, true, wasabiridge.ErrInvalid.New("notice: Retry-After %.40q in a response without a Date", text)
	}
	return wasabiridge.Millis(max(0, min(until.Sub(from).Milliseconds(), maxRetryAfterSeconds*1000))), true, nil
}

// Package wasabiheadroom decides whether an instance has headroom: whether its processor
// runs what is due in time.
//
// What is measured is how late a regular timer fires. It is late when the process waits
// for its share of the processor, whatever the share is and whoever uses it, and on
// the way of every request it costs as much.
//
// # Hysteresis
//
// Headroom is lost when the timer was late, on average, for some seconds, and returns when
// it was in time for a longer time. With each loss soon after a return that time doubles,
// so that callers who are sent away and return do not move an instance back and forth.
// Time in which the process did not run at all says nothing.
//
// # Usage
//
//	var meter wasabiheadroom.Meter
//	for tick := range ticks {
//		if meter.Observe(now, late) {
//			announce(meter.Strained())
//		}
//	}
package wasabiheadroom

import "github.com/wasabiridge/wasabiridge"

// Interval is the interval of the timer whose delays are observed.
const Interval = 50 * wasabiridge.Millis(1)

const (
	// smoothing is the weight of one delay in the moving average, which spans a second.
	smoothing = 0.05
	// strainedDelay is the average delay from which headroom is lost, in milliseconds, and
	// easyDelay that below which it returns. A delay of the first takes all that an
	// instance may add to a request, and more.
	strainedDelay = 15.0
	easyDelay     = 4.0
	// strainTime is how long the delay must be long, and minEase how long it must be short
	// again at least. The latter doubles up to maxEase.
	strainTime = 2 * wasabiridge.Second
	minEase    = 10 * wasabiridge.Second
	maxEase    = 5 * wasabiridge.Minute
	// countedDelay bounds what one delay counts, in milliseconds, so that a few long ones do
	// not look like many.
	countedDelay = 30.0
	// maxDelay is the longest delay that counts. In a longer one the process did not run.
	maxDelay = wasabiridge.Second
)

// Meter decides from delays of a timer. The zero value has headroom. It is not safe for
// concurrent use.
type Meter struct {
	delay    float64
	strained bool
	// since is when the delay began to speak for a change, or zero.
	since wasabiridge.Millis
	// ease is how long the delay must be short, and endedAt when headroom last returned.
	ease    wasabiridge.Millis
	endedAt wasabiridge.Millis
}

// Strained reports whether the instance has no headroom.
func (m *Meter) Strained() bool { return m.strained }

// Observe takes by how much a timer of Interval was late. It reports whether Strained has
// changed.
func (m *Meter) Observe(now, late wasabiridge.Millis) bool {
	if late > maxDelay {
		m.since = 0
		return false
	}
	m.delay += smoothing * (min(float64(max(late, 0)), countedDelay) - m.delay)
	speaks, span := m.delay >= strainedDelay, strainTime
	if m.strained {
		speaks, span = m.delay <= easyDelay, m.ease
	}
	switch {
	case !speaks:
		m.since = 0
		return false
	case m.since == 0:
		m.since = now
	}
	if now-m.since < span {
		return false
	}
	m.change(now)
	return true
}

func (m *Meter) change(now wasabiridge.Millis) {
	m.since = 0
	m.strained = !m.strained
	if !m.strained {
		m.endedAt = now
		return
	}
	if m.ease > 0 && now-m.endedAt < 2*m.ease {
		m.ease = min(2*m.ease, maxEase)
		return
	}
	m.ease = minEase
}

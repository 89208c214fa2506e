// Package wasabifetch estimates what it saves to fetch a part of a prompt from where it
// is held, instead of computing it again, from the first bytes of answers.
//
// # Model
//
// A fetch that takes its expected time saves the time to compute the part, less that of
// the transfer. The yield of a fetch is the part of this saving that is seen in the
// time to the first byte: one if the fetch took what was expected, zero if it took as
// long as computing the part, and less if it took even longer. First bytes do not show
// why a saving is missing. An engine that computes the part in spite of the order and a
// link that is ten times as slow look the same, and the same decision is right for both.
//
// # Estimate
//
// The estimate is a quantile of the yields of the last fetches, from the upper half,
// because other work of an engine only ever adds time. As long as it is above
// expectedYield, a fetch counts as taking exactly what is expected. Below uselessYield,
// it saves nothing and should not be ordered.
//
// # Tests
//
// While fetches are worse than expected, one of them at a time is expected to be good
// again, at intervals that double from minTestInterval to maxTestInterval. Two good
// fetches in a row reset the estimate.
//
// # Usage
//
//	e := wasabifetch.New()
//	f := wasabifetch.Fetch{Transfer: 15, Computing: 95}
//	if e.Useful(now) && e.Time(now, f) < f.Computing {
//		e.Sent(now)
//		...
//		e.Observe(f, 17)
//	}
//
// An Estimator is deterministic and not safe for concurrent use.
package wasabifetch

import (
	"math"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// window is the greatest number of fetches behind an estimate, and minFetches the
	// least.
	window     = 12
	minFetches = 6
	// quantile is the part of the yields in the window that are below the estimate.
	// Three quarters of the fetches may be delayed by other work, and a quarter of
	// those that save nothing may seem good because less work was queued than assumed.
	quantile = 0.75
	// expectedYield is the yield from which on fetches count as taking what is
	// expected. Expected times are inaccurate by that much.
	expectedYield = 0.5
	// uselessYield is the yield below which fetches save nothing.
	uselessYield = 0.15
	// minGain is the least expected saving, in milliseconds, that can be distinguished from the
	// other differences between first bytes.
	minGain = 8.0
	// minYield bounds the yield of a single fetch.
	minYield = -8.0
	// goodTests is the number of good fetches in a row that reset an estimate.
	goodTests = 2
	// Tests are at least minTestInterval apart. The interval doubles with each bad
	// one, up to maxTestInterval.
	minTestInterval = wasabiridge.Second
	maxTestInterval = 8 * wasabiridge.Second
)

// Fetch is what a fetch is expected to take, and what it takes to compute the same part
// instead, in milliseconds.
type Fetch struct{ Transfer, Computing float64 }

// gain returns the expected saving in milliseconds.
func (f Fetch) gain() float64 { return f.Computing - f.Transfer }

// Estimator estimates the yield of similar fetches. Use New to create one.
type Estimator struct {
	// yields are those of the last fetches, oldest first, and yield the estimate.
	yields []float64
	yield  float64
	// good is the number of good fetches in a row.
	good int
	// lastSent is when a fetch was last sent, and interval the time from then to the
	// next test.
	lastSent, interval wasabiridge.Millis
	// ordered is the number of fetches that were sent.
	ordered int
}

// New returns an Estimator that assumes that fetches take what is expected.
func New() *Estimator { return &Estimator{yield: 1, interval: minTestInterval} }

// Yield returns the estimated part of the expected saving that fetches save. It is one
// as long as they take what is expected.
func (e *Estimator) Yield() float64 { return e.yield }

// Ordered returns the number of fetches that were sent.
func (e *Estimator) Ordered() int { return e.ordered }

// Saves reports whether fetches are estimated to save time.
func (e *Estimator) Saves() bool { return e.yield >= uselessYield }

// Useful reports whether a fetch may be ordered now: because fetches save time, or as a
// test.
func (e *Estimator) Useful(now wasabiridge.Millis) bool {
	return e.Saves() || e.testDue(now)
}

// Time returns the expected time of a fetch that is sent now, in milliseconds.
func (e *Estimator) Time(now wasabiridge.Millis, f Fetch) float64 {
	if e.yield >= expectedYield || f.gain() <= 0 || e.testDue(now) {
		return f.Transfer
	}
	return f.Transfer + (1-e.yield)*f.gain()
}

func (e *Estimator) testDue(now wasabiridge.Millis) bool {
	return e.yield < expectedYield && now-e.lastSent >= e.interval
}

// Sent records that a fetch is ordered.
func (e *Estimator) Sent(now wasabiridge.Millis) {
	if e.testDue(now) {
		e.interval = min(2*e.interval, maxTestInterval)
	}
	e.lastSent = now
	e.ordered++
}

// Observe updates the estimate with the time that a fetch took, in milliseconds. It
// ignores fetches whose expected saving is too small, and times that are not finite.
func (e *Estimator) Observe(f Fetch, took float64) {
	if f.gain() < minGain || math.IsNaN(took) || math.IsInf(took, 0) {
		return
	}
	e.add(min(max((f.Computing-took)/f.gain(), minYield), 1))
}

// ObserveFailure updates the estimate with a fetch whose request failed.
func (e *Estimator) ObserveFailure() { e.add(minYield) }

func (e *Estimator) add(yield float64) {
	if e.good++; yield < expectedYield {
		e.good = 0
	}
	if e.yield < expectedYield && e.good > 0 {
		// The next fetch is a test at once.
		e.interval = 0
		if e.good >= goodTests {
			*e = Estimator{yield: 1, interval: minTestInterval, lastSent: e.lastSent, ordered: e.ordered}
			return
		}
	}
	if e.good == 0 {
		e.interval = max(e.interval, minTestInterval)
	}
	if len(e.yields) == window {
		e.yields = slices.Delete(e.yields, 0, 1)
	}
	e.yields = append(e.yields, yield)
	e.estimate()
}

func (e *Estimator) estimate() {
	e.yield = 1
	if len(e.yields) < minFetches {
		return
	}
	sorted := slices.Sorted(slices.Values(e.yields))
	if y := sorted[int(quantile*float64(len(sorted)))]; y < expectedYield {
		e.yield = y
	}
}

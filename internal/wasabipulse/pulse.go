// Package wasabipulse provides tickers that wake a process rarely.
//
// A process with a ticker for each of its parts wakes up as often as all of them tick
// together, and each time costs more than what the parts do. The tickers of this package tick
// at the multiples of their intervals since the start of the process, so that tickers with
// intervals that divide one another tick together. Each tick is requested for itself, so that a
// part which has nothing to do can ask for a later one.
//
// # Usage
//
//	ticker := wasabipulse.New(100 * time.Millisecond)
//	defer ticker.Stop()
//	for range ticker.C {
//		next := work()
//		ticker.Next(next)
//	}
package wasabipulse

import "time"

// started is the time that all intervals are counted from.
var started = time.Now()

// Ticker sends the time on C after New, and again after each call of Next. It is used by one
// goroutine.
type Ticker struct {
	C     <-chan time.Time
	timer *time.Timer
}

// New returns a Ticker that ticks at the next multiple of an interval.
func New(interval time.Duration) *Ticker {
	timer := time.NewTimer(wait(interval))
	return &Ticker{C: timer.C, timer: timer}
}

// Next requests the next tick at the next multiple of an interval, in place of one that was
// requested before.
func (t *Ticker) Next(interval time.Duration) { t.timer.Reset(wait(interval)) }

// Stop ends the Ticker.
func (t *Ticker) Stop() { t.timer.Stop() }

// wait returns the time until the next multiple of an interval.
func wait(interval time.Duration) time.Duration {
	since := time.Since(started)
	return (since/interval+1)*interval - since
}

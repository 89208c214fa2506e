// Package wasabilife detects when a backend server restarts under its name,
// from reports of several sources that arrive with different delays.
//
// # Order
//
// An incarnation is identified by the time of its start. A later start is a new
// incarnation. An earlier one is usually a late report of an incarnation that
// has ended; but the server's clock may have been set back between two starts.
// So an earlier one is accepted as new when it is the only one reported for
// longer than any source lags. Time in which this process did not run does not count:
// it received no report that could have contradicted.
//
// # Usage
//
//	var tracker wasabilife.Tracker
//	switch tracker.Observe(now, entry.Incarnation) {
//	case wasabilife.Restarted:
//		forget()
//	case wasabilife.Ended:
//		return
//	}
package wasabilife

import "github.com/wasabiridge/wasabiridge"

// RollbackDelay is how long an earlier incarnation must be the only one reported until
// it is accepted as new: servers send a heartbeat every second or so, and
// instances receive the report within another second.
const RollbackDelay = 4 * wasabiridge.Second

// Verdict classifies a report by the incarnation that it refers to.
type Verdict uint8

// Verdicts of Tracker.Observe.
const (
	// Same means the known incarnation, or a report that names none.
	Same Verdict = iota
	// Restarted means that the server has restarted.
	Restarted
	// Ended means an incarnation that has ended, as far as is known.
	Ended
)

// Tracker tracks the incarnation of one backend server. The zero value knows none.
// It is not safe for concurrent use.
type Tracker struct {
	known wasabiridge.Incarnation
	// earlier is an incarnation that started before the known one, and since
	// when it has been the only one reported. Zero means none.
	earlier wasabiridge.Incarnation
	since   wasabiridge.Millis
}

// Current returns the current incarnation. Zero means that none was reported yet.
func (l *Tracker) Current() wasabiridge.Incarnation { return l.known }

// Observe records the incarnation that a report refers to; zero means that the
// report names none. The first incarnation that is reported is taken to be the
// one that all earlier reports meant.
func (l *Tracker) Observe(now wasabiridge.Millis, reported wasabiridge.Incarnation) Verdict {
	switch {
	case reported == 0:
		return Same
	case reported == l.known || l.known == 0:
		l.known, l.earlier = reported, 0
		return Same
	case reported > l.known:
		l.known, l.earlier = reported, 0
		return Restarted
	case reported != l.earlier:
		l.earlier, l.since = reported, now
		return Ended
	case now-l.since < RollbackDelay:
		return Ended
	}
	l.known, l.earlier = reported, 0
	return Restarted
}

// Postpone makes an earlier incarnation wait longer until it is accepted, by a time in
// which no report could be received.
func (l *Tracker) Postpone(by wasabiridge.Millis) {
	l.since += by
}

// AcceptedRollback returns an earlier incarnation that has been the only one reported for
// long enough to be accepted as new. It reports false when there is none.
func (l *Tracker) AcceptedRollback(now wasabiridge.Millis) (wasabiridge.Incarnation, bool) {
	return l.earlier, l.earlier != 0 && now-l.since >= RollbackDelay
}

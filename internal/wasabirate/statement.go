package wasabirate

import (
	"github.com/wasabiridge/wasabiridge"
)

const (
	// silenceBound is how long a statement may go unconfirmed before instances test it with
	// single requests.
	silenceBound = 10 * wasabiridge.Second
	// unansweredBound is how long an instance waits for the effect of its own test.
	unansweredBound = 30 * wasabiridge.Second
	// probeInterval is the time between the requests of two instances that test a statement,
	// so that the answer to the first reaches the others before they send theirs.
	probeInterval = wasabiridge.Second
)

// Statement is what a server states in its answers for as long as it holds, such as that it
// has a limit. The zero value holds nothing.
//
// Since answers may arrive out of order, an answer without the statement ends it only if its
// request was sent after the statement was last received. Time alone does not end it: it would
// end at all instances at the same moment, and the server would receive whatever they have.
// Instead, instances that may not send test it in turn, with one request each.
type Statement struct {
	holds bool
	// receivedAt is when it was last received, liftedAt the sending time of the request whose
	// answer ended it, and probedAt when this instance last tested it.
	receivedAt, liftedAt, probedAt wasabiridge.Millis
}

// Report records that the answer to a request sent at sentAt states it. It reports whether it
// did not hold before. The answer to a request that was sent no later than the one whose answer
// ended it is ignored.
func (s *Statement) Report(now, sentAt wasabiridge.Millis) bool {
	return s.set(sentAt, now)
}

// Receive records that another instance has received it. The update may have been in flight for
// long, so the statement is only known to be as recent as the request.
func (s *Statement) Receive(sentAt wasabiridge.Millis) bool {
	return s.set(sentAt, sentAt)
}

func (s *Statement) set(sentAt, receivedAt wasabiridge.Millis) bool {
	if !s.holds && sentAt <= s.liftedAt && s.liftedAt > 0 {
		return false
	}
	isNew := !s.holds
	s.holds, s.receivedAt = true, max(s.receivedAt, receivedAt)
	return isNew
}

// Clear records that the answer to a request sent at sentAt does not state it. It reports
// whether that ends it.
func (s *Statement) Clear(sentAt wasabiridge.Millis) bool {
	if !s.holds || sentAt <= s.receivedAt {
		return false
	}
	s.holds, s.liftedAt, s.probedAt = false, sentAt, 0
	return true
}

// Holds reports whether the statement holds.
func (s *Statement) Holds() bool { return s.holds }

// Age returns how long ago the statement was last received.
func (s *Statement) Age(now wasabiridge.Millis) wasabiridge.Millis { return now - s.receivedAt }

// EndAge returns how long ago the request was sent whose answer ended the statement.
func (s *Statement) EndAge(now wasabiridge.Millis) wasabiridge.Millis { return now - s.liftedAt }

// ProbeWait returns how long this instance, of the given rank, has to wait before it may test
// the statement with one request. Zero means that it may now.
func (s *Statement) ProbeWait(now wasabiridge.Millis, rank int) wasabiridge.Millis {
	due := s.receivedAt + silenceBound
	if s.probedAt > 0 {
		due = max(due, s.probedAt+unansweredBound)
	}
	return max(0, due+wasabiridge.Millis(rank)*probeInterval-now)
}

// RecordProbe records that this instance tests the statement.
func (s *Statement) RecordProbe(now wasabiridge.Millis) { s.probedAt = now }

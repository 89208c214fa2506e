package wasabigateway

import "github.com/wasabiridge/wasabiridge"

// ledger knows what may be said about the execution of one request. All
// answers to its caller read it. The zero value says that nothing ran. It is
// not safe for concurrent use.
type ledger struct {
	settled wasabiridge.Disposition
	// sent lists attempts whose first byte was about to be handed over and
	// whose end is not known yet.
	sent []wasabiridge.AttemptID
}

// markSent is called before the first byte of an attempt is handed over.
func (l *ledger) markSent(id wasabiridge.AttemptID) {
	l.sent = append(l.sent, id)
}

// markEnded takes the result of an attempt. An attempt that was sent and that
// the backend server says it did not run leaves no trace.
func (l *ledger) markEnded(id wasabiridge.AttemptID, result wasabiridge.AttemptResult) {
	wasSent := l.remove(id)
	switch {
	case result == wasabiridge.AttemptCompleted:
		l.advance(wasabiridge.Ran)
	case result != wasabiridge.AttemptNotRun && wasSent:
		l.advance(wasabiridge.MaybeRun)
	}
}

func (l *ledger) remove(id wasabiridge.AttemptID) bool {
	for i, sent := range l.sent {
		if sent == id {
			l.sent = append(l.sent[:i], l.sent[i+1:]...)
			return true
		}
	}
	return false
}

func (l *ledger) advance(d wasabiridge.Disposition) {
	l.settled = l.settled.Advance(d)
}

func (l *ledger) disposition() wasabiridge.Disposition {
	if len(l.sent) > 0 {
		return l.settled.Advance(wasabiridge.MaybeRun)
	}
	return l.settled
}

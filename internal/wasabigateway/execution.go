package wasabigateway

import "github.com/wasabiridge/wasabiridge"

// execution tracks what is known about the execution of one request. Every
// disposition sent to the caller is derived from it. The zero value means that
// nothing ran. It is not safe for concurrent use.
type execution struct {
	settled wasabiridge.Disposition
	// sent lists attempts that were marked before their first byte was sent and
	// whose end is not known yet.
	sent []wasabiridge.AttemptID
}

// markSent must be called before the first byte of an attempt is sent.
func (e *execution) markSent(id wasabiridge.AttemptID) {
	e.sent = append(e.sent, id)
}

// markEnded records the result of an attempt. An attempt that the backend
// server states it did not run does not affect the disposition.
func (e *execution) markEnded(id wasabiridge.AttemptID, result wasabiridge.AttemptResult) {
	wasSent := e.remove(id)
	switch {
	case result == wasabiridge.AttemptCompleted:
		e.advance(wasabiridge.Ran)
	case result != wasabiridge.AttemptNotRun && wasSent:
		e.advance(wasabiridge.MaybeRun)
	}
}

func (e *execution) remove(id wasabiridge.AttemptID) bool {
	for i, sent := range e.sent {
		if sent == id {
			e.sent = append(e.sent[:i], e.sent[i+1:]...)
			return true
		}
	}
	return false
}

func (e *execution) advance(d wasabiridge.Disposition) {
	e.settled = e.settled.Advance(d)
}

func (e *execution) disposition() wasabiridge.Disposition {
	if len(e.sent) > 0 {
		return e.settled.Advance(wasabiridge.MaybeRun)
	}
	return e.settled
}

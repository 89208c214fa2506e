package wasabicore

import "github.com/wasabiridge/wasabiridge"

// endsMost is how many servers may end under a request between its arrival and its
// answer.
const endsMost = 2

// entry is what the core knows of one open request.
type entry struct {
	request  wasabiridge.Request
	attempts []attempt
	// excluded lists servers at which the request failed.
	excluded []wasabiridge.BackendServerID
	// delivered counts output tokens that the caller has.
	delivered int
	// weights is the version that began to answer. A resumed stream must
	// come from the same version. Zero before the first token.
	weights wasabiridge.WeightsVersion
	// resumeBy is until when a broken stream waits for a server that can
	// continue it.
	resumeBy wasabiridge.Millis
	joined   bool
	// quota is how the account stood when the request was judged.
	quota wasabiridge.QuotaState
	// answered says that the final answer was given; the entry stays until
	// every attempt has ended.
	answered bool
}

// attempt is one try of a request.
type attempt struct {
	id          wasabiridge.AttemptID
	backend     wasabiridge.BackendServerID
	disposition wasabiridge.Disposition
	over        bool
	cancelled   bool
	firstToken  bool
	// moved says that the run goes on at another server.
	moved bool
	// serverEnded says that the server ended while it had the attempt.
	serverEnded bool
}

func (e *entry) find(id wasabiridge.AttemptID) *attempt {
	for i := range e.attempts {
		if e.attempts[i].id == id {
			return &e.attempts[i]
		}
	}
	return nil
}

func (e *entry) running() int {
	n := 0
	for i := range e.attempts {
		if !e.attempts[i].over {
			n++
		}
	}
	return n
}

// disposition is what may be said about the request as a whole: the furthest
// that any of its attempts got.
func (e *entry) disposition() wasabiridge.Disposition {
	d := wasabiridge.NotRun
	for i := range e.attempts {
		d = d.Advance(e.attempts[i].disposition)
	}
	return d
}

// tries counts the attempts, those that go on elsewhere left out.
func (e *entry) tries() int {
	n := 0
	for i := range e.attempts {
		if !e.attempts[i].moved {
			n++
		}
	}
	return n
}

// endsUsedUp reports whether as many servers have ended under the request as may end
// before its caller sends it again.
//
// The failure it guards against: each end is followed by a send to the next server
// within milliseconds, before anything tells the request from those that ran beside it.
func (e *entry) endsUsedUp() bool {
	n := 0
	for i := range e.attempts {
		if e.attempts[i].serverEnded {
			n++
		}
	}
	return n >= endsMost
}

// usedUp reports whether as many attempts may have run as the rule allows.
// Attempts that did not run do not count.
func (e *entry) usedUp() bool {
	limit := e.request.Action.Attempts
	if limit == 0 {
		return false
	}
	n := 0
	for i := range e.attempts {
		if e.attempts[i].disposition != wasabiridge.NotRun && !e.attempts[i].moved {
			n++
		}
	}
	return n >= limit
}

func (e *entry) event(now wasabiridge.Millis, kind wasabiridge.TimelineKind) wasabiridge.TimelineEvent {
	return wasabiridge.TimelineEvent{
		At:      now,
		Kind:    kind,
		Request: e.request.ID,
		Account: e.request.Account,
		Rule:    e.request.Rule,
	}
}

package wasabicore

import "github.com/wasabiridge/wasabiridge"

// maxServerCrashes is the number of backend servers that may terminate while running a
// request before the request is refused instead of sent to another server.
const maxServerCrashes = 2

// requestState is the state of one open request.
type requestState struct {
	request  wasabiridge.Request
	attempts []attempt
	// excluded lists the servers at which attempts of the request failed.
	excluded []wasabiridge.BackendServerID
	// delivered is the number of output tokens that the caller has received.
	delivered int
	// weights is the version of the weights that produced the delivered tokens. A
	// resumed stream must come from the same version. Zero before the first token.
	weights wasabiridge.WeightsVersion
	// origin is where the stream of the delivered tokens began. Nil before the first one.
	origin *wasabiridge.StreamOrigin
	// resumeBy is the time until which a broken stream waits for a server that
	// can continue it.
	resumeBy wasabiridge.Millis
	// joined is set once the request has waited for another request to compute
	// their common prefix. It waits only once.
	joined bool
	// quota is the state of the account's rate limit when the request was checked.
	quota wasabiridge.QuotaState
	// share is what a refusal for the share of the account was based on.
	share wasabiridge.ShareState
	// answered is set when the final answer has been decided. The state is kept
	// until every attempt has ended.
	answered bool
}

// attempt is the state of one attempt of a request at a backend server.
type attempt struct {
	id          wasabiridge.AttemptID
	backend     wasabiridge.BackendServerID
	origin      wasabiridge.StreamOrigin
	disposition wasabiridge.Disposition
	// ended is set when the driver has reported the result.
	ended      bool
	cancelled  bool
	firstToken bool
	// moved is set when the run continues at another server, with its KV cache.
	moved bool
	// serverCrashed is set when the server terminated while it ran the attempt.
	serverCrashed bool
}

func (e *requestState) find(id wasabiridge.AttemptID) *attempt {
	for i := range e.attempts {
		if e.attempts[i].id == id {
			return &e.attempts[i]
		}
	}
	return nil
}

func (e *requestState) running() int {
	n := 0
	for i := range e.attempts {
		if !e.attempts[i].ended {
			n++
		}
	}
	return n
}

// disposition returns the disposition of the whole request, which is the most
// advanced disposition of its attempts.
func (e *requestState) disposition() wasabiridge.Disposition {
	d := wasabiridge.NotRun
	for i := range e.attempts {
		d = d.Advance(e.attempts[i].disposition)
	}
	return d
}

// countedAttempts returns the number of attempts, not counting those whose run was
// moved to another server.
func (e *requestState) countedAttempts() int {
	n := 0
	for i := range e.attempts {
		if !e.attempts[i].moved {
			n++
		}
	}
	return n
}

// serverEndsExhausted reports whether maxServerCrashes servers have terminated while
// running the request. The caller then has to send it again.
//
// Without this limit a request that crashes servers would be sent to the next server
// within milliseconds of each crash, before the quarantine can distinguish it from the
// requests that ran on the same servers at the same time.
func (e *requestState) serverEndsExhausted() bool {
	n := 0
	for i := range e.attempts {
		if e.attempts[i].serverCrashed {
			n++
		}
	}
	return n >= maxServerCrashes
}

// attemptsExhausted reports whether the attempts that ran or may have run have
// reached the limit of the rule. Attempts that did not run do not count.
func (e *requestState) attemptsExhausted() bool {
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

// event returns a timeline event that is filled in with the request, account and rule.
func (e *requestState) event(now wasabiridge.Millis, kind wasabiridge.TimelineKind) wasabiridge.TimelineEvent {
	return wasabiridge.TimelineEvent{
		At:      now,
		Kind:    kind,
		Request: e.request.ID,
		Account: e.request.Account,
		Rule:    e.request.Rule,
	}
}

package wasabicore

import "github.com/wasabiridge/wasabiridge"

// open returns an attempt that has not ended, with its request. Both are nil
// when there is none: news of an attempt that is over changes nothing.
func (c *Core) open(r wasabiridge.RequestID, id wasabiridge.AttemptID) (*entry, *attempt) {
	en := c.requests[r]
	if en == nil {
		return nil, nil
	}
	a := en.find(id)
	if a == nil || a.over {
		return nil, nil
	}
	return en, a
}

// sent moves an attempt forward before its first byte is handed to a
// connection. From here on nobody may call the request "not run" unless the
// backend server itself says so.
func (c *Core) sent(now wasabiridge.Millis, e wasabiridge.AttemptSent) {
	en, a := c.open(e.Request, e.Attempt)
	if a == nil {
		return
	}
	a.disposition = a.disposition.Advance(wasabiridge.MaybeRun)
	line := en.event(now, wasabiridge.EventSent)
	line.Attempt = a.id
	line.Backend = a.backend
	c.record(line)
}

// firstToken lets the first attempt that answers win and cancels the others.
func (c *Core) firstToken(now wasabiridge.Millis, e wasabiridge.AttemptFirstToken) {
	en, a := c.open(e.Request, e.Attempt)
	if a == nil || a.cancelled {
		return
	}
	a.firstToken = true
	a.disposition = a.disposition.Advance(wasabiridge.MaybeRun)
	line := en.event(now, wasabiridge.EventFirstToken)
	line.Attempt = a.id
	line.Backend = a.backend
	line.Value = int64(now - en.request.Arrived)
	c.record(line)
	c.cancelOthers(en, a.id)
}

func (c *Core) cancelOthers(en *entry, winner wasabiridge.AttemptID) {
	for i := range en.attempts {
		a := &en.attempts[i]
		if a.id == winner || a.over || a.cancelled {
			continue
		}
		a.cancelled = true
		c.emit(wasabiridge.Cancel{Request: en.request.ID, Attempt: a.id})
	}
}

// ended takes the result of an attempt and decides what follows.
func (c *Core) ended(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	en, a := c.open(e.Request, e.Attempt)
	if a == nil {
		return
	}
	a.over, a.serverEnded = true, e.ServerEnded
	if e.Result == wasabiridge.AttemptNotRun {
		a.disposition = wasabiridge.NotRun
	}
	if e.Delivered > en.delivered {
		en.delivered = e.Delivered
		en.weights = e.Usage.Weights
	}
	if en.answered || a.cancelled {
		c.settleLate(now, en, a)
		return
	}
	if e.Result == wasabiridge.AttemptCompleted {
		c.complete(now, en, a, e)
		return
	}
	c.recover(now, en, a, e)
}

// settleLate ends an attempt whose result no longer matters. When it was the
// last one of a request without an answer, the request is refused.
func (c *Core) settleLate(now wasabiridge.Millis, en *entry, a *attempt) {
	if !en.answered && en.running() == 0 {
		c.refuse(now, en, wasabiridge.RefusedBroken, 0)
		return
	}
	if a.cancelled && !en.answered {
		return
	}
	c.forget(en)
}

func (c *Core) complete(now wasabiridge.Millis, en *entry, a *attempt, e wasabiridge.AttemptEnded) {
	a.disposition = a.disposition.Advance(wasabiridge.Ran)
	en.answered = true
	c.cancelOthers(en, a.id)
	line := en.event(now, wasabiridge.EventEnded)
	line.Attempt = a.id
	line.Backend = a.backend
	line.Value = int64(e.Usage.OutputTokens)
	c.record(line)
	c.forget(en)
}

// recover decides between a retry, a resumption and giving up. A request that
// may have run goes out again only when it is idempotent and its rule allows
// it; one that did not run may always go out again.
func (c *Core) recover(now wasabiridge.Millis, en *entry, a *attempt, e wasabiridge.AttemptEnded) {
	line := en.event(now, wasabiridge.EventBroken)
	line.Attempt = a.id
	line.Backend = a.backend
	line.Cause = e.Result.String()
	line.Value = int64(en.delivered)
	c.record(line)
	en.excluded = append(en.excluded, a.backend)
	if en.running() > 0 {
		return
	}
	if e.Moved.Memory != "" && en.delivered > 0 {
		a.moved = true
		c.goOn(now, en, e.Moved)
		return
	}
	why, allowed := recovery(en)
	if !allowed || en.tries() >= c.options.MaxAttempts || en.usedUp() || en.endsUsedUp() {
		c.refuse(now, en, wasabiridge.RefusedBroken, e.RetryAfter)
		return
	}
	if now >= en.request.Deadline && en.delivered == 0 && en.request.Deadline > 0 {
		c.refuse(now, en, wasabiridge.RefusedDeadline, e.RetryAfter)
		return
	}
	if c.bar(now, en) {
		return
	}
	if !c.options.Limiter.MayRetry(now, en.request) {
		c.refuse(now, en, wasabiridge.RefusedRetryBudget, max(e.RetryAfter, defaultRetryAfter))
		return
	}
	en.resumeBy = now + resumeWait
	c.place(now, en, why)
}

// goOn sends an attempt to where the memory of the one before was moved. It is the
// same run, so that neither the budget nor the attempts of the rule are used up.
func (c *Core) goOn(now wasabiridge.Millis, en *entry, m wasabiridge.Moved) {
	if c.bar(now, en) {
		return
	}
	c.dispatch(now, en, wasabiridge.Placement{Backend: m.To, Weights: en.weights, Why: wasabiridge.WhyMoved, MemoryFrom: m.Memory}, placeResume)
}

// recovery says which kind of further attempt the request allows.
func recovery(en *entry) (placeReason, bool) {
	action := en.request.Action
	switch {
	case en.disposition() == wasabiridge.NotRun:
		return placeRetry, true
	case action.NonIdempotent:
		return placeRetry, false
	case en.delivered > 0:
		return placeResume, action.Resume
	default:
		return placeRetry, action.Retry
	}
}

// callerGone ends the work of a caller that closed its connection. Claimed
// non-idempotent work goes on, because its first answer is kept for the
// repeat that will ask for it, unless nobody can ask for it.
func (c *Core) callerGone(now wasabiridge.Millis, id wasabiridge.RequestID) {
	en := c.requests[id]
	if en == nil || en.answered {
		return
	}
	if en.request.Action.NonIdempotent && !en.request.EndsWithCaller && en.running() > 0 {
		return
	}
	en.answered = true
	c.options.Limiter.Withdraw(id)
	c.cancelOthers(en, 0)
	line := en.event(now, wasabiridge.EventEnded)
	line.Cause = "caller_gone"
	c.record(line)
	c.forget(en)
}

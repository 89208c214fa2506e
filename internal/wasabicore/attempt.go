package wasabicore

import "github.com/wasabiridge/wasabiridge"

// findRunning returns an attempt that has not ended, together with the state of
// its request. Both are nil if there is no such attempt; events about attempts
// that have already ended are ignored.
func (c *Core) findRunning(r wasabiridge.RequestID, id wasabiridge.AttemptID) (*requestState, *attempt) {
	rs := c.requests[r]
	if rs == nil {
		return nil, nil
	}
	a := rs.find(id)
	if a == nil || a.ended {
		return nil, nil
	}
	return rs, a
}

// attemptSent records that the first byte of an attempt is about to be written
// to a connection. From here on the request may only be reported as "not run"
// if the backend server itself states that it did not run it.
func (c *Core) attemptSent(now wasabiridge.Millis, e wasabiridge.AttemptSent) {
	rs, a := c.findRunning(e.Request, e.Attempt)
	if a == nil {
		return
	}
	a.disposition = a.disposition.Advance(wasabiridge.MaybeRun)
	line := rs.event(now, wasabiridge.EventSent)
	line.Attempt = a.id
	line.Backend = a.backend
	c.record(line)
}

// attemptFirstToken selects the first attempt that answers as the winner and
// cancels the other attempts of the request.
func (c *Core) attemptFirstToken(now wasabiridge.Millis, e wasabiridge.AttemptFirstToken) {
	rs, a := c.findRunning(e.Request, e.Attempt)
	if a == nil || a.cancelled {
		return
	}
	a.firstToken = true
	a.disposition = a.disposition.Advance(wasabiridge.MaybeRun)
	line := rs.event(now, wasabiridge.EventFirstToken)
	line.Attempt = a.id
	line.Backend = a.backend
	line.Value = int64(now - rs.request.Arrived)
	c.record(line)
	c.cancelOthers(rs, a.id)
}

func (c *Core) cancelOthers(rs *requestState, winner wasabiridge.AttemptID) {
	for i := range rs.attempts {
		a := &rs.attempts[i]
		if a.id == winner || a.ended || a.cancelled {
			continue
		}
		a.cancelled = true
		c.emit(wasabiridge.Cancel{Request: rs.request.ID, Attempt: a.id})
	}
}

// attemptEnded records the result of an attempt and decides whether the request
// is complete, retried, resumed or refused.
func (c *Core) attemptEnded(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	rs, a := c.findRunning(e.Request, e.Attempt)
	if a == nil {
		return
	}
	a.ended, a.serverCrashed = true, e.ServerCrashed
	if e.Result == wasabiridge.AttemptNotRun {
		a.disposition = wasabiridge.NotRun
	}
	if e.Delivered > rs.delivered {
		rs.delivered = e.Delivered
		rs.weights = e.Usage.Weights
		origin := a.origin
		rs.origin = &origin
	}
	if rs.answered || a.cancelled {
		c.handleLateResult(now, rs, a)
		return
	}
	if e.Result == wasabiridge.AttemptCompleted {
		c.complete(now, rs, a, e)
		return
	}
	c.handleFailure(now, rs, a, e)
}

// handleLateResult handles the end of an attempt that was cancelled, or whose
// request already has its final answer. If it was the last running attempt of a
// request without an answer, the request is refused.
func (c *Core) handleLateResult(now wasabiridge.Millis, rs *requestState, a *attempt) {
	if !rs.answered && rs.running() == 0 {
		c.refuse(now, rs, wasabiridge.RefusedBroken, 0)
		return
	}
	if a.cancelled && !rs.answered {
		return
	}
	c.removeIfDone(rs)
}

func (c *Core) complete(now wasabiridge.Millis, rs *requestState, a *attempt, e wasabiridge.AttemptEnded) {
	a.disposition = a.disposition.Advance(wasabiridge.Ran)
	rs.answered = true
	c.cancelOthers(rs, a.id)
	line := rs.event(now, wasabiridge.EventEnded)
	line.Attempt = a.id
	line.Backend = a.backend
	line.Value = int64(e.Usage.OutputTokens)
	c.record(line)
	c.removeIfDone(rs)
}

// handleFailure decides whether a failed attempt is followed by a retry, a
// resumption or a refusal. A request that may have run is sent again only if it
// is idempotent and its rule allows it; one that did not run may always be sent
// again.
func (c *Core) handleFailure(now wasabiridge.Millis, rs *requestState, a *attempt, e wasabiridge.AttemptEnded) {
	line := rs.event(now, wasabiridge.EventBroken)
	line.Attempt = a.id
	line.Backend = a.backend
	line.Cause = e.Result.String()
	line.Value = int64(rs.delivered)
	c.record(line)
	rs.excluded = append(rs.excluded, a.backend)
	if rs.running() > 0 {
		return
	}
	if e.Moved.Handle != "" && rs.delivered > 0 {
		a.moved = true
		c.resumeMoved(now, rs, e.Moved)
		return
	}
	why, allowed := furtherAttempt(rs)
	if !allowed || rs.countedAttempts() >= c.options.MaxAttempts || rs.attemptsExhausted() || rs.serverEndsExhausted() {
		c.refuse(now, rs, wasabiridge.RefusedBroken, e.RetryAfter)
		return
	}
	if now >= rs.request.Deadline && rs.delivered == 0 && rs.request.Deadline > 0 {
		c.refuse(now, rs, wasabiridge.RefusedDeadline, e.RetryAfter)
		return
	}
	if c.refuseQuarantined(now, rs) {
		return
	}
	// An attempt that was not sent is none at the server, so the next one is no retry.
	if !e.Unsent && !c.options.Limiter.MayRetry(now, rs.request) {
		c.refuse(now, rs, wasabiridge.RefusedRetryBudget, max(e.RetryAfter, defaultRetryAfter))
		return
	}
	rs.resumeBy = now + resumeTimeout
	c.place(now, rs, why)
}

// resumeMoved dispatches an attempt to the server to which the KV cache of the
// previous attempt was migrated. It continues the same run, so it counts neither
// against the retry budget nor against the attempts that the rule allows.
func (c *Core) resumeMoved(now wasabiridge.Millis, rs *requestState, m wasabiridge.MigrationResult) {
	if c.refuseQuarantined(now, rs) {
		return
	}
	c.dispatch(now, rs, rs.origin.Pool, wasabiridge.Placement{Backend: m.To, Weights: rs.weights, Why: wasabiridge.WhyMoved, CacheHandle: m.Handle}, placeResume)
}

// furtherAttempt returns the kind of the next attempt after a failure, and whether
// the rule of the request allows one.
func furtherAttempt(rs *requestState) (placeReason, bool) {
	action := rs.request.Action
	switch {
	case rs.disposition() == wasabiridge.NotRun:
		return placeRetry, true
	case action.NonIdempotent:
		return placeRetry, false
	case rs.delivered > 0:
		return placeResume, action.Resume
	default:
		return placeRetry, action.Retry
	}
}

// callerGone cancels the attempts of a request whose caller closed its
// connection. A running non-idempotent request continues, because its first answer
// is stored for a repeated request with the same key. It is cancelled like any other
// if EndsWithCaller says that no repeat can fetch the answer.
func (c *Core) callerGone(now wasabiridge.Millis, id wasabiridge.RequestID) {
	rs := c.requests[id]
	if rs == nil || rs.answered {
		return
	}
	if rs.request.Action.NonIdempotent && !rs.request.EndsWithCaller && rs.running() > 0 {
		return
	}
	rs.answered = true
	c.options.Limiter.Withdraw(id)
	c.cancelOthers(rs, 0)
	line := rs.event(now, wasabiridge.EventEnded)
	line.Cause = "caller_gone"
	c.record(line)
	c.removeIfDone(rs)
}

// forwarded ends a request that another instance serves.
func (c *Core) forwarded(now wasabiridge.Millis, id wasabiridge.RequestID) {
	rs := c.requests[id]
	if rs == nil || rs.answered {
		return
	}
	rs.answered = true
	c.options.Limiter.Withdraw(id)
	line := rs.event(now, wasabiridge.EventEnded)
	line.Cause = "forwarded"
	c.record(line)
	c.removeIfDone(rs)
}

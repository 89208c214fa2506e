package wasabicore

import "github.com/wasabiridge/wasabiridge"

// placeReason says why a request needs a backend server.
type placeReason uint8

const (
	placeFirst placeReason = iota
	placeAfterJoin
	placeRetry
	placeResume
	placeHedge
)

const (
	// maxFullServers bounds how many servers without room one decision looks
	// past.
	maxFullServers = 8
	// roomRetry is when a request that found no room anywhere is placed again.
	roomRetry = 20 * wasabiridge.Millis(1)
	// resumeWait bounds how long a broken stream waits until some server can
	// continue it. An engine that restarted is known again within about a
	// second; the caller sees a pause.
	resumeWait = 5 * wasabiridge.Second
)

func (c *Core) arrive(now wasabiridge.Millis, r wasabiridge.Request) {
	en := &entry{request: r}
	c.record(en.event(now, wasabiridge.EventArrived))
	matched := en.event(now, wasabiridge.EventMatched)
	matched.Value = int64(r.Chain.Tokens)
	c.record(matched)
	if _, ok := c.requests[r.ID]; ok {
		return
	}
	c.requests[r.ID] = en
	if r.Action.Refuse != "" {
		c.refuse(now, en, wasabiridge.RefusedByRule, 0)
		return
	}
	if c.bar(now, en) || c.isOverLimit(now, en) {
		return
	}
	switch a := c.options.Limiter.Offer(now, r); a.Verdict {
	case wasabiridge.Admitted:
		c.place(now, en, placeFirst)
	case wasabiridge.Queued:
		c.record(en.event(now, wasabiridge.EventQueued))
	default:
		c.refuse(now, en, a.Reason, a.RetryAfter)
	}
}

// place finds a backend server and sends an attempt there. It reports false
// when none may serve; then the request has its final answer, unless another
// attempt of it still runs.
func (c *Core) place(now wasabiridge.Millis, en *entry, why placeReason) bool {
	if c.bar(now, en) {
		return false
	}
	never := false
	for _, id := range [...]wasabiridge.PoolID{en.request.Action.Pool, en.request.Action.Fallback} {
		pool, ok := c.config.Pool(id)
		if !ok {
			continue
		}
		p, found, full := c.choose(now, en, pool)
		never = never || p.Never
		if found {
			c.dispatch(now, en, p, why)
			return true
		}
		if full {
			c.timers.add(now+roomRetry, timer{kind: timerRoom, request: en.request.ID, why: why})
			return true
		}
	}
	if en.running() > 0 {
		return false
	}
	// Engines of a pool may die shortly after each other. A stream that breaks
	// while none of them is known to serve would be cut, although one is just
	// coming back. It waits and is placed again, for a bounded time, unless none
	// can come.
	if why == placeResume && now < en.resumeBy && !never {
		c.timers.add(now+roomRetry, timer{kind: timerRoom, request: en.request.ID, why: why})
		return true
	}
	c.refuse(now, en, wasabiridge.RefusedNoBackend, defaultRetryAfter)
	return false
}

// choose asks the placer until it names a server with room. It reports full
// when there are servers, but none with room.
func (c *Core) choose(now wasabiridge.Millis, en *entry, pool wasabiridge.Pool) (p wasabiridge.Placement, found, full bool) {
	q := wasabiridge.PlaceQuery{Request: en.request, Pool: pool, Excluded: en.excluded, Isolate: c.isolation(now, en)}
	if en.delivered > 0 {
		q.Weights = en.weights
	}
	for range maxFullServers {
		if p, found = c.options.Placer.Place(now, q); !found {
			return p, false, full
		}
		if c.options.Limiter.HasRoom(now, p.Backend) {
			return p, true, false
		}
		full = true
		q.Excluded = append(q.Excluded[:len(q.Excluded):len(q.Excluded)], p.Backend.ID)
	}
	return p, false, true
}

func (c *Core) dispatch(now wasabiridge.Millis, en *entry, p wasabiridge.Placement, why placeReason) {
	if p.Join > now && !en.joined && why == placeFirst {
		en.joined = true
		c.timers.add(p.Join, timer{kind: timerJoin, request: en.request.ID})
		return
	}
	c.lastID++
	id := c.lastID
	en.attempts = append(en.attempts, attempt{id: id, backend: p.Backend.ID})
	c.options.Limiter.Sent(now, en.request, id, p.Backend.ID)
	c.options.Placer.Sent(now, en.request, id, p)
	if c.options.Quarantine != nil {
		c.options.Quarantine.Sent(now, en.request, id, p.Backend)
	}
	c.charge(now, en, id, p)
	c.recordPlaced(now, en, id, p, why)
	c.emit(wasabiridge.Dispatch{
		Request:       en.request.ID,
		Attempt:       id,
		Backend:       p.Backend,
		Weights:       max(c.wantedWeights(en), p.Weights),
		Incarnation:   p.Incarnation,
		ClaimedTokens: p.ClaimedTokens,
		HeldTokens:    p.HeldTokens,
		ResumeFrom:    en.delivered,
		Hedge:         why == placeHedge,
		FetchFrom:     p.FetchFrom,
		SaveTo:        p.SaveTo,
		MemoryFrom:    p.MemoryFrom,
		FirstByte:     p.FirstByte,
		ExpectedWait:  p.ExpectedWait,
		Why:           p.Why,
		Quota:         en.quota,
	})
	if en.request.Action.Hedge && !en.request.Action.NonIdempotent && why != placeHedge {
		delay := max(p.ExpectedWait*wasabiridge.Millis(c.options.HedgeFactor), c.options.HedgeFloor)
		c.timers.add(now+delay, timer{kind: timerHedge, request: en.request.ID, attempt: id})
	}
}

// wantedWeights is the version that the answer must come from. A stream that
// already delivered tokens continues with the same version, because tokens of
// two versions do not make one answer.
func (c *Core) wantedWeights(en *entry) wasabiridge.WeightsVersion {
	if en.delivered > 0 && en.weights != 0 {
		return en.weights
	}
	return en.request.Action.Weights
}

func (c *Core) recordPlaced(now wasabiridge.Millis, en *entry, id wasabiridge.AttemptID, p wasabiridge.Placement, why placeReason) {
	kind := wasabiridge.EventPlaced
	switch why {
	case placeRetry:
		kind = wasabiridge.EventRetried
	case placeResume:
		kind = wasabiridge.EventResumed
	case placeHedge:
		kind = wasabiridge.EventHedged
	}
	e := en.event(now, kind)
	e.Attempt = id
	e.Backend = p.Backend.ID
	e.Cause = p.Why
	e.Value = int64(p.ClaimedTokens)
	c.record(e)
}

func (c *Core) refuse(now wasabiridge.Millis, en *entry, reason wasabiridge.RefuseReason, after wasabiridge.Millis) {
	if en.answered {
		return
	}
	en.answered = true
	c.options.Limiter.Withdraw(en.request.ID)
	e := en.event(now, wasabiridge.EventRefused)
	e.Cause = string(reason)
	e.Value = int64(after)
	c.record(e)
	c.emit(wasabiridge.Refuse{
		Request:     en.request.ID,
		Reason:      reason,
		Disposition: en.disposition(),
		RetryAfter:  after,
		Quota:       en.quota,
	})
	c.forget(en)
}

// forget drops a request that has its final answer and no running attempt.
func (c *Core) forget(en *entry) {
	if en.answered && en.running() == 0 {
		delete(c.requests, en.request.ID)
	}
}

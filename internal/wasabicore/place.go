package wasabicore

import "github.com/wasabiridge/wasabiridge"

// placeReason is the reason for which a request is placed.
type placeReason uint8

const (
	placeFirst placeReason = iota
	placeAfterJoin
	placeRetry
	placeResume
	placeHedge
)

const (
	// maxFullServers is the number of servers without free capacity that one
	// placement skips before it reports the pool as full.
	maxFullServers = 8
	// fullRetryInterval is the delay before a request is placed again that found no
	// server with free capacity.
	fullRetryInterval = 20 * wasabiridge.Millis(1)
	// resumeTimeout limits how long a broken stream waits for a server that can
	// continue it. A restarted engine is listed again within about a second, so
	// the caller usually sees only a pause in the stream.
	resumeTimeout = 5 * wasabiridge.Second
)

func (c *Core) arrive(now wasabiridge.Millis, r wasabiridge.Request) {
	rs := &requestState{request: r}
	c.record(rs.event(now, wasabiridge.EventArrived))
	matched := rs.event(now, wasabiridge.EventMatched)
	matched.Value = int64(r.Chain.Tokens)
	c.record(matched)
	if _, ok := c.requests[r.ID]; ok {
		return
	}
	c.requests[r.ID] = rs
	if r.Action.Refuse != "" {
		c.refuse(now, rs, wasabiridge.RefusedByRule, 0)
		return
	}
	if c.refuseQuarantined(now, rs) || c.refuseOverQuota(now, rs) {
		return
	}
	switch a := c.options.Limiter.Offer(now, r); a.Verdict {
	case wasabiridge.Admitted:
		c.place(now, rs, placeFirst)
	case wasabiridge.Queued:
		c.record(rs.event(now, wasabiridge.EventQueued))
	default:
		rs.share = a.Share
		c.refuse(now, rs, a.Reason, a.RetryAfter)
	}
}

// place selects a backend server and dispatches an attempt, or schedules another
// placement if no server has free capacity. It reports false if no server may serve
// the request; the request has its final answer then, unless another of its attempts
// is still running.
func (c *Core) place(now wasabiridge.Millis, rs *requestState, why placeReason) bool {
	if c.refuseQuarantined(now, rs) {
		return false
	}
	never := false
	for _, id := range [...]wasabiridge.PoolID{rs.request.Action.Pool, rs.request.Action.Fallback} {
		pool, ok := c.config.Pool(id)
		if !ok {
			continue
		}
		p, found, full := c.choose(now, rs, pool)
		never = never || p.Unplaceable
		if found {
			c.dispatch(now, rs, pool.ID, p, why)
			return true
		}
		if full {
			c.timers.add(now+fullRetryInterval, timer{kind: timerRetryPlacement, request: rs.request.ID, why: why})
			return true
		}
	}
	if rs.running() > 0 {
		return false
	}
	// Engines of a pool may crash shortly after each other. A stream that breaks
	// while no server is available is not cut immediately, because a restarting
	// engine may be listed again soon. The placement is retried until resumeBy,
	// unless the placer reports that no server can ever continue the stream.
	if why == placeResume && now < rs.resumeBy && !never {
		c.timers.add(now+fullRetryInterval, timer{kind: timerRetryPlacement, request: rs.request.ID, why: why})
		return true
	}
	c.refuse(now, rs, wasabiridge.RefusedNoBackend, defaultRetryAfter)
	return false
}

// choose queries the placer until it returns a server with free capacity, for at most
// maxFullServers servers. It reports full if there are servers, but none with free
// capacity.
func (c *Core) choose(now wasabiridge.Millis, rs *requestState, pool wasabiridge.Pool) (p wasabiridge.Placement, found, full bool) {
	q := wasabiridge.PlaceQuery{Request: rs.request, Pool: pool, Origin: rs.request.Origin, Excluded: rs.excluded, IsolationKey: c.isolation(now, rs)}
	if rs.delivered > 0 {
		q.Weights, q.Origin = rs.weights, rs.origin
	}
	if q.Origin != nil && q.Origin.Pool != pool.ID {
		return wasabiridge.Placement{}, false, false
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

func (c *Core) dispatch(now wasabiridge.Millis, rs *requestState, pool wasabiridge.PoolID, p wasabiridge.Placement, why placeReason) {
	if p.WaitUntil > now && !rs.joined && why == placeFirst {
		rs.joined = true
		c.timers.add(p.WaitUntil, timer{kind: timerJoin, request: rs.request.ID})
		return
	}
	c.lastID++
	id := c.lastID
	rs.attempts = append(rs.attempts, attempt{
		id: id, backend: p.Backend.ID, origin: wasabiridge.StreamOrigin{Pool: pool, Software: p.Backend.Software},
	})
	c.options.Limiter.Sent(now, rs.request, id, p.Backend.ID)
	c.options.Placer.Sent(now, rs.request, id, p)
	if c.options.Quarantine != nil {
		c.options.Quarantine.Sent(now, rs.request, id, p.Backend)
	}
	c.chargeQuota(now, rs, id, p)
	c.recordPlaced(now, rs, id, p, why)
	c.emit(wasabiridge.Dispatch{
		Request:       rs.request.ID,
		Attempt:       id,
		Backend:       p.Backend,
		Pool:          pool,
		Weights:       max(c.requiredWeights(rs), p.Weights),
		Incarnation:   p.Incarnation,
		ClaimedTokens: p.ClaimedTokens,
		HeldTokens:    p.HeldTokens,
		ResumeFrom:    rs.delivered,
		Hedge:         why == placeHedge,
		ImportFrom:    p.ImportFrom,
		ExportTo:      p.ExportTo,
		CacheHandle:   p.CacheHandle,
		FirstByte:     p.FirstByte,
		ExpectedWait:  p.ExpectedWait,
		Slowness:      p.Slowness,
		Allotment:     p.Allotment,
		Why:           p.Why,
		Quota:         rs.quota,
	})
	if rs.request.Action.Hedge && !rs.request.Action.NonIdempotent && why != placeHedge {
		delay := max(p.ExpectedWait*wasabiridge.Millis(c.options.HedgeFactor), c.options.HedgeFloor)
		c.timers.add(now+delay, timer{kind: timerHedge, request: rs.request.ID, attempt: id})
	}
}

// requiredWeights returns the version of the weights that must produce the answer.
// A stream that has already delivered tokens continues with the same version, because
// an answer must not mix tokens of two versions. Zero means any version.
func (c *Core) requiredWeights(rs *requestState) wasabiridge.WeightsVersion {
	if rs.delivered > 0 && rs.weights != 0 {
		return rs.weights
	}
	return rs.request.Action.Weights
}

func (c *Core) recordPlaced(now wasabiridge.Millis, rs *requestState, id wasabiridge.AttemptID, p wasabiridge.Placement, why placeReason) {
	kind := wasabiridge.EventPlaced
	switch why {
	case placeRetry:
		kind = wasabiridge.EventRetried
	case placeResume:
		kind = wasabiridge.EventResumed
	case placeHedge:
		kind = wasabiridge.EventHedged
	}
	e := rs.event(now, kind)
	e.Attempt = id
	e.Backend = p.Backend.ID
	e.Cause = p.Why
	e.Value = int64(p.ClaimedTokens)
	c.record(e)
}

func (c *Core) refuse(now wasabiridge.Millis, rs *requestState, reason wasabiridge.RefuseReason, after wasabiridge.Millis) {
	if rs.answered {
		return
	}
	rs.answered = true
	c.options.Limiter.Withdraw(rs.request.ID)
	e := rs.event(now, wasabiridge.EventRefused)
	e.Cause = string(reason)
	e.Value = int64(after)
	c.record(e)
	c.emit(wasabiridge.Refuse{
		Request:     rs.request.ID,
		Reason:      reason,
		Disposition: rs.disposition(),
		RetryAfter:  after,
		Quota:       rs.quota,
		Share:       rs.share,
	})
	c.removeIfDone(rs)
}

// removeIfDone removes the state of a request that has its final answer and no
// running attempt.
func (c *Core) removeIfDone(rs *requestState) {
	if rs.answered && rs.running() == 0 {
		delete(c.requests, rs.request.ID)
	}
}

package wasabicore

import "github.com/wasabiridge/wasabiridge"

// quarantineVerdict returns the quarantine state of a request. It is checked before every
// dispatch: a first attempt, a retry, a resumption, a hedge, and the continuation of a
// moved run. The transport never resends a request by itself, so no other dispatches
// exist.
//
// Without this check a request that crashes the server that runs it would be sent to one
// server after the other, by this instance or, after its caller repeats it, by another
// instance, until all servers of the pool have terminated and the streams of all callers
// are cut.
func (c *Core) quarantineVerdict(now wasabiridge.Millis, rs *requestState) wasabiridge.QuarantineVerdict {
	if c.options.Quarantine == nil {
		return wasabiridge.QuarantineFree
	}
	return c.options.Quarantine.Check(now, rs.request)
}

// deferredRetryAfter is the Retry-After time of a suspect request that is already being
// tried at another server. The first token of that trial takes less time, and it clears
// the suspicion against a harmless request.
const deferredRetryAfter = 400 * wasabiridge.Millis(1)

// refuseQuarantined refuses a request that is blocked by the quarantine, or deferred
// because it is being tried at another server. It reports whether the request was
// refused. A blocked request gets no Retry-After time, because a repeat would be refused
// as well.
func (c *Core) refuseQuarantined(now wasabiridge.Millis, rs *requestState) bool {
	switch c.quarantineVerdict(now, rs) {
	case wasabiridge.QuarantineBlocked:
		c.refuse(now, rs, wasabiridge.RefusedQuarantined, 0)
	case wasabiridge.QuarantineDeferred:
		c.refuse(now, rs, wasabiridge.RefusedSuspect, deferredRetryAfter)
	default:
		return false
	}
	return true
}

// isolation returns the fingerprint of a suspect request, for which the placer selects
// the server that all instances use for this fingerprint. It returns zero for others.
func (c *Core) isolation(now wasabiridge.Millis, rs *requestState) wasabiridge.Fingerprint {
	if c.quarantineVerdict(now, rs) != wasabiridge.QuarantineSuspect {
		return 0
	}
	return rs.request.Fingerprint
}

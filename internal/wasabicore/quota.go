package wasabicore

import "github.com/wasabiridge/wasabiridge"

// refuseOverQuota refuses a request that exceeds the rate limit of its client account. It
// reports whether the request was refused. Each request is checked once, on arrival: an
// admitted request is never refused for the limit later, so no stream is cut because of
// it.
func (c *Core) refuseOverQuota(now wasabiridge.Millis, rs *requestState) bool {
	if c.options.Quota == nil {
		return false
	}
	v := c.options.Quota.Check(now, rs.request)
	rs.quota = v.State
	if v.Allowed {
		return false
	}
	c.refuse(now, rs, wasabiridge.RefusedQuota, v.RetryAfter)
	return true
}

// chargeQuota counts a dispatched attempt against the rate limit of its client account. A
// run that continues where its KV cache was moved is not charged again.
func (c *Core) chargeQuota(now wasabiridge.Millis, rs *requestState, id wasabiridge.AttemptID, p wasabiridge.Placement) {
	if c.options.Quota != nil && p.Why != wasabiridge.WhyMoved {
		c.options.Quota.Sent(now, rs.request, id)
	}
}

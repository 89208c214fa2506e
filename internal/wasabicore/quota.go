package wasabicore

import "github.com/wasabiridge/wasabiridge"

// isOverLimit refuses a request that the limit of its client account does not let in. It
// reports whether it did. A request is asked about once: what was let in is not refused
// later, so that no stream is cut for a limit.
func (c *Core) isOverLimit(now wasabiridge.Millis, en *entry) bool {
	if c.options.Quota == nil {
		return false
	}
	v := c.options.Quota.Judge(now, en.request)
	en.quota = v.State
	if v.Allowed {
		return false
	}
	c.refuse(now, en, wasabiridge.RefusedQuota, v.RetryAfter)
	return true
}

// charge counts an attempt against the limit of its account, on every way to a server. A
// run that goes on where its memory was moved is the same run.
func (c *Core) charge(now wasabiridge.Millis, en *entry, id wasabiridge.AttemptID, p wasabiridge.Placement) {
	if c.options.Quota != nil && p.Why != wasabiridge.WhyMoved {
		c.options.Quota.Sent(now, en.request, id)
	}
}

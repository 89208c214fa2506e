package wasabicore

import "github.com/wasabiridge/wasabiridge"

// standing is asked on every way to a server: before a first attempt, a retry, a
// resumption, a hedge, and before a moved run goes on. The connections below never send
// a request again by themselves, so there is no other way.
//
// The failure it guards against: a request ends the server that runs it, and is sent to
// the next one, by this instance or by another where its caller sends it again, until
// all servers of the pool have ended. Callers see their streams cut one after the other.
func (c *Core) standing(now wasabiridge.Millis, en *entry) wasabiridge.Standing {
	if c.options.Quarantine == nil {
		return wasabiridge.StandingFree
	}
	return c.options.Quarantine.Judge(now, en.request)
}

// trialWait is when a request may come back that is being tried elsewhere. A first
// token takes less, and with it goes what is held against a proper request.
const trialWait = 400 * wasabiridge.Millis(1)

// bar refuses a request that reaches no server now. It reports whether it did. Nothing
// invites the caller of a barred one back: it would be refused again.
func (c *Core) bar(now wasabiridge.Millis, en *entry) bool {
	switch c.standing(now, en) {
	case wasabiridge.StandingBarred:
		c.refuse(now, en, wasabiridge.RefusedQuarantined, 0)
	case wasabiridge.StandingDeferred:
		c.refuse(now, en, wasabiridge.RefusedSuspect, trialWait)
	default:
		return false
	}
	return true
}

// isolation names the request to the placer if it must go where all instances send it.
func (c *Core) isolation(now wasabiridge.Millis, en *entry) wasabiridge.Fingerprint {
	if c.standing(now, en) != wasabiridge.StandingSuspect {
		return 0
	}
	return en.request.Fingerprint
}

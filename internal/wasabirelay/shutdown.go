package wasabirelay

import (
	"slices"
	"sync"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// durationSamples is the number of requests of a rule whose durations are kept.
	durationSamples = 32
	// maxTimedRules bounds the rules for which they are kept.
	maxTimedRules = 4096
	// reasonShutdown is the reason of refusals of requests that cannot end before the instance.
	reasonShutdown = "instance shuts down before the request would end"
)

// Shutdown states when an instance that is shutting down stops accepting requests, and when it
// ends. The zero value means that it is not shutting down.
type Shutdown struct{ AcceptUntil, End wasabiridge.Millis }

// durations holds how long the last requests of each rule took at their backend servers. It is
// safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	byRule map[wasabiridge.RuleID]*durationRing
}

// durationRing holds the last durations in a ring.
type durationRing struct {
	samples [durationSamples]wasabiridge.Millis
	count   int
}

// add records the duration of a request that was answered completely.
func (d *durations) add(rule wasabiridge.RuleID, took wasabiridge.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.byRule[rule]
	if r == nil {
		if d.byRule == nil || len(d.byRule) >= maxTimedRules {
			// The rules of earlier configurations are dropped with the others.
			d.byRule = map[wasabiridge.RuleID]*durationRing{}
		}
		r = &durationRing{}
		d.byRule[rule] = r
	}
	r.samples[r.count%durationSamples] = took
	r.count++
}

// longest returns the longest duration that is kept of a rule. The result is false if there is
// none.
func (d *durations) longest(rule wasabiridge.RuleID) (wasabiridge.Millis, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.byRule[rule]
	if r == nil {
		return 0, false
	}
	return slices.Max(r.samples[:min(r.count, durationSamples)]), true
}

// endsTooLate reports whether the request, if it were passed on now, would probably not end before
// an instance that is shutting down. No request lasts beyond its deadline.
//
// The failure it guards against: a request whose body arrives slowly, or that waits for a server,
// is passed on near the end of the grace period and is cut off without an answer. Another instance
// could have completed it.
func (c *call) endsTooLate() bool {
	shutdown := c.shutdown()
	if shutdown.End == 0 || c.until <= shutdown.End {
		return false
	}
	now := c.relay.options.Clock.Now()
	if longest, known := c.relay.durations.longest(c.rule.ID); known {
		return now+longest > shutdown.End
	}
	return now > shutdown.AcceptUntil
}

// shutdown returns the state of the instance.
func (c *call) shutdown() Shutdown {
	if c.relay.options.Shutdown == nil {
		return Shutdown{}
	}
	return c.relay.options.Shutdown()
}

// checkShutdown refuses a request that would be cut off by the end of the instance.
func (c *call) checkShutdown() *wasabiridge.Refusal {
	if !c.endsTooLate() {
		return nil
	}
	return c.refuseForShutdown()
}

// refuseForShutdown returns a refusal of a request that has not run. Its caller may use another
// instance at once.
func (c *call) refuseForShutdown() *wasabiridge.Refusal {
	c.w.Header().Set("Connection", "close")
	return &wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Reason: reasonShutdown, RetryAfter: minRetryAfter}
}

// refuseLate refuses a request of which no attempt is in flight, if it would be cut off by the end
// of the instance. It reports whether it did. A stream of which the caller has a part goes on.
func (x *exchange) refuseLate() bool {
	if x.headSent || !x.endsTooLate() {
		return false
	}
	refusal := x.refuseForShutdown()
	if x.disposition != wasabiridge.NotRun {
		refusal = &wasabiridge.Refusal{Kind: wasabiridge.RefusalBroken, Reason: reasonShutdown}
	}
	x.refuse(*refusal)
	return true
}

package wasabirelay

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

// notRun is a refusal with a time to come back that lies within what the
// caller has left and differs from caller to caller, so that those that are
// refused together do not come back together.
func (c *call) notRun(cause string) *wasabiridge.Refusal {
	return &wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Cause: cause, RetryAfter: c.comeBack(0)}
}

// awaits is a refusal until something is known that has not been since a time. What
// has lasted long will last long: the caller comes back after as much time again, or
// after the longest that it waits.
//
// The failure it guards against: the platform is silent for seconds after a restart
// of all instances. Callers come back within moments, are refused once more, and do
// not ask a third time.
func (c *call) awaits(cause string, since wasabiridge.Millis) *wasabiridge.Refusal {
	lasted := max(0, c.relay.options.Clock.Now()-since)
	return &wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Cause: cause, RetryAfter: c.comeBack(lasted)}
}

// comeBack spreads the return over the second half of the time that the caller
// would wait, or from the advised time on.
func (c *call) comeBack(advice wasabiridge.Millis) wasabiridge.Millis {
	left := c.until - c.relay.options.Clock.Now()
	most := wasabiridge.Millis(returnShare * float64(left))
	least := min(max(returnLeast, advice), most)
	if most <= 0 {
		return 0
	}
	spread := min(most-least, max(advice, most/4))
	return least + wasabiridge.Millis(rand.Int64N(int64(spread)+1))
}

// comeBackApart is comeBack for an advice that may be longer than the caller waits. Those
// for whom it is come back apart from each other too.
func (c *call) comeBackApart(advice wasabiridge.Millis) wasabiridge.Millis {
	left := c.until - c.relay.options.Clock.Now()
	most := wasabiridge.Millis(apartShare * returnShare * float64(left))
	return c.comeBack(min(advice, most))
}

func (c *call) refuse(f wasabiridge.Refusal) {
	outcome := OutcomeBroken
	if f.Kind != wasabiridge.RefusalBroken && f.Kind != wasabiridge.RefusalTimeout {
		outcome = OutcomeRefused
	}
	c.relay.counts.add(outcome, f.Cause, c.relay.options.Clock.Now()-c.arrived)
	c.relay.options.Log.Info().
		Str(wasabilog.RequestField, string(c.asked.ID)).
		Str("account", string(c.account.ID)).
		Str("rule", string(c.rule.ID)).
		Stringer("fingerprint", c.named).
		Str("kind", string(f.Kind)).
		Str("cause", f.Cause).
		Int64("retry_after_ms", int64(f.RetryAfter)).
		Uint64("config_version", uint64(c.view.Config.Version)).
		Int64("config_age_ms", int64(c.arrived-c.view.Proven)).
		Int64("took_ms", int64(c.relay.options.Clock.Now()-c.arrived)).
		Msg("Request refused.")
	c.relay.options.Protocol.Refuse(c.w, f)
}

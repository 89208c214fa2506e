package wasabirelay

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

// notRun returns a refusal of a request that has not run. Its Retry-After time lies
// within the caller's remaining time and is randomized, so that callers that are refused
// at the same time do not retry at the same time.
func (c *call) notRun(cause string) *wasabiridge.Refusal {
	return &wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Reason: cause, RetryAfter: c.retryAfter(0)}
}

// notRunSince returns a refusal of a request that has not run, because some information
// has been missing since the given time. The Retry-After time is at least as long as the
// outage has lasted so far, up to the longest time that the caller waits, because an
// outage that has lasted long is expected to last as long again.
//
// Without this, callers would retry within moments while the platform does not respond
// for seconds after a restart of all instances. They would be refused a second time and
// not retry a third time.
func (c *call) notRunSince(cause string, since wasabiridge.Millis) *wasabiridge.Refusal {
	lasted := max(0, c.relay.options.Clock.Now()-since)
	return &wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Reason: cause, RetryAfter: c.retryAfter(lasted)}
}

// retryAfter returns a random Retry-After time. It is at least minRetryAfter and at least
// the advised time, but never more than maxRetryShare of the caller's remaining time. The
// random part spans up to a quarter of that maximum, or up to the advised time if that is
// longer. If no time remains, retryAfter returns zero.
func (c *call) retryAfter(advice wasabiridge.Millis) wasabiridge.Millis {
	left := c.until - c.relay.options.Clock.Now()
	longest := wasabiridge.Millis(maxRetryShare * float64(left))
	shortest := min(max(minRetryAfter, advice), longest)
	if longest <= 0 {
		return 0
	}
	spread := min(longest-shortest, max(advice, longest/4))
	return shortest + wasabiridge.Millis(rand.Int64N(int64(spread)+1))
}

// cappedRetryAfter is like retryAfter, but for an advised time that may be longer than
// the caller waits. It caps the advised time at cappedAdviceShare of the maximum, so that
// the retries of these callers are spread as well.
func (c *call) cappedRetryAfter(advice wasabiridge.Millis) wasabiridge.Millis {
	left := c.until - c.relay.options.Clock.Now()
	longest := wasabiridge.Millis(cappedAdviceShare * maxRetryShare * float64(left))
	return c.retryAfter(min(advice, longest))
}

func (c *call) refuse(f wasabiridge.Refusal) {
	outcome := OutcomeBroken
	if f.Kind.IsNotRun() {
		outcome = OutcomeRefused
	}
	c.relay.counts.add(outcome, f.Reason, c.relay.options.Clock.Now()-c.arrived)
	line := c.relay.options.Log.Info().
		Str(wasabilog.RequestField, string(c.parsed.ID)).
		Str("kind", string(f.Kind)).
		Str("cause", f.Reason).
		Int64("retry_after_ms", int64(f.RetryAfter)).
		Uint64("config_version", uint64(c.view.Config.Version)).
		Int64("config_age_ms", int64(c.arrived-c.view.ConfirmedAt)).
		Int64("took_ms", int64(c.relay.options.Clock.Now()-c.arrived)).
		Str("account", string(c.account.ID)).
		Str("rule", string(c.rule.ID)).
		Stringer("fingerprint", c.fingerprint)
	if f.Reason == string(wasabiridge.RefusedQuarantined) {
		line = line.Strs("parts", partNames(c.request().Chain))
	}
	line.Msg("Request refused.")
	if c.received != nil {
		c.received.result.Result, c.received.result.Refusal, c.received.result.Reason = wasabiridge.AttemptNotRun, f, f.Reason
		if outcome == OutcomeBroken {
			c.received.result.Result = wasabiridge.AttemptBroken
		}
		return
	}
	c.relay.options.Protocol.Refuse(c.w, f)
}

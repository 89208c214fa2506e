package wasabigateway

import (
	"github.com/wasabiridge/wasabiridge"
)

// settle records the outcome of a request and, in the background, the result of
// its claim.
func (g *Gateway) settle(x *exchange, t claimTicket) {
	x.close()
	g.recordOutcome(x)
	if !t.granted {
		return
	}
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		g.finishClaim(x, t)
	}()
}

func (g *Gateway) recordOutcome(x *exchange) {
	if g.options.Outcomes == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	o := wasabiridge.Outcome{
		Account:      x.request.Account,
		Rule:         x.request.Rule,
		Model:        x.request.Model,
		At:           g.options.Clock.Now(),
		PromptTokens: x.usage.PromptTokens,
		CachedTokens: x.usage.CachedTokens,
		OutputTokens: x.tokens,
		Disposition:  x.execution.disposition(),
	}
	if x.relay != nil {
		o.Truncated = x.relay.truncated
		o.Refused = x.relay.refused
	}
	if x.firstToken > 0 {
		o.FirstToken = x.firstToken - x.request.Arrived
	}
	if x.tokens > 1 {
		o.BetweenMicros = int64(x.lastToken-x.firstToken) * 1000 / int64(x.tokens-1)
	}
	g.options.Outcomes.RecordOutcome(o)
}

package wasabirelay

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabistream"
)

const (
	// originMargin is how much longer than its caller may wait a stream is remembered, since
	// messages take time.
	originMargin = 2 * wasabiridge.Second
	// A stream is assumed not to be older than lifeFactor times the time limit of its rule,
	// or than longestLife if the rule has none.
	lifeFactor  = 4
	longestLife = 2 * wasabiridge.Minute
)

// Causes of refusals of callers that resume a stream.
const (
	causeStreamUnknown    = "stream_unknown"
	causeStreamUnanswered = "stream_unanswered"
	causeStreamPool       = "stream_pool"
)

// findOrigin finds where the stream began that the caller resumes, and restricts the request
// to servers that can continue it. It refuses the request if that is not known.
func (x *exchange) findOrigin() *wasabiridge.Refusal {
	streams := x.relay.options.Streams
	if streams == nil || !x.request.Action.Stream || x.parsed.LastEvent == "" {
		return nil
	}
	window := longestLife
	if t := x.rule.Then.Timeout; t > 0 {
		window = min(window, lifeFactor*t)
	}
	f := streams.Find(x.ctx, x.account.ID, x.parsed.Resumes, x.request.Action.Pool, window)
	pools := x.pools()
	if f.ByVersion() && len(pools) > 1 {
		f.Result = wasabistream.Unknown
	}
	refusal := &wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun}
	switch {
	case f.Result == wasabistream.Unanswered:
		refusal.Reason, refusal.RetryAfter = causeStreamUnanswered, x.retryAfter(0)
	case !f.Known():
		// No Retry-After time: the stream will not become known.
		refusal.Reason = causeStreamUnknown
	case !slices.Contains(pools, f.Origin.Pool):
		refusal.Reason = causeStreamPool
	default:
		refusal = nil
		x.request = x.request.WithOrigin(f.Origin)
	}
	x.logOrigin(f, refusal == nil)
	return refusal
}

// pools returns the pools that the rule of the request sends requests to.
func (x *exchange) pools() []wasabiridge.PoolID {
	then := x.rule.Then
	pools := []wasabiridge.PoolID{then.Pool}
	if then.Fallback != "" {
		pools = append(pools, then.Fallback)
	}
	for _, share := range then.Split {
		pools = append(pools, share.Pool)
	}
	slices.Sort(pools)
	return slices.Compact(pools)
}

// rememberOrigin records where the stream of the request begins, before the first event is
// sent to the caller. If the caller resumes a stream, that one is remembered for longer.
func (x *exchange) rememberOrigin(d wasabiridge.Dispatch) {
	streams := x.relay.options.Streams
	if streams == nil || !x.request.Action.Resume {
		return
	}
	began := x.request.ID
	if x.parsed.LastEvent != "" {
		began = x.parsed.Resumes
	}
	if began == "" {
		return
	}
	life := x.arrived + x.parsed.Timeout - x.relay.options.Clock.Now() + originMargin
	streams.Begin(x.account.ID, began, wasabiridge.StreamOrigin{Pool: d.Pool, Software: d.Backend.Software}, life)
}

func (x *exchange) logOrigin(f wasabistream.Finding, resumed bool) {
	x.relay.options.Log.Info().
		Str(wasabilog.RequestField, string(x.request.ID)).
		Str("account", string(x.request.Account)).
		Str("rule", string(x.request.Rule)).
		Str("resumes", string(x.parsed.Resumes)).
		Str("after_event", x.parsed.LastEvent).
		Str("found", string(f.Result)).
		Str("from", string(f.From)).
		Str("pool", string(f.Origin.Pool)).
		Str("software", string(f.Origin.Software)).
		Int("asked", f.Asked).
		Int("answered", f.Answered).
		Bool("resumed", resumed).
		Msg("Origin of a stream searched.")
}

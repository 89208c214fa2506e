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
		x.request, x.begun.sequence = x.request.WithOrigin(f.Origin), f.Sequence
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

// begun holds where other instances were notified that the stream of a request begins.
type begun struct {
	announced bool
	origin    wasabiridge.StreamOrigin
	sequence  int
	notified  []string
}

// forwardedSequence is added to the sequences of a request that another instance passed on,
// so that they are higher than those of the other one.
const forwardedSequence = 1000

// announceOrigin notifies other instances where the stream of the request begins, before an
// attempt is sent. It reports false if the attempt must not be sent, because another instance
// could report the origin of an earlier attempt.
func (x *exchange) announceOrigin(d wasabiridge.Dispatch) bool {
	if x.relay.options.Streams == nil || !x.request.Action.Resume || x.events > 0 {
		return true
	}
	origin := wasabiridge.StreamOrigin{Pool: d.Pool, Software: d.Backend.Software}
	u := wasabiridge.StreamUpdate{
		Key: wasabistream.Key(x.account.ID, x.request.ID), Origin: origin, Sequence: 1,
		Life: x.arrived + x.parsed.Timeout - x.relay.options.Clock.Now() + originMargin,
	}
	if x.received != nil {
		u.Sequence += forwardedSequence
	}
	if x.request.Origin != nil {
		// The stream has begun, and is only remembered for longer.
		if x.parsed.Resumes == "" || x.begun.announced {
			return true
		}
		u.Key, u.Sequence = wasabistream.Key(x.account.ID, x.parsed.Resumes), x.begun.sequence
	}
	switch {
	case !x.begun.announced:
		x.begun = begun{announced: true, origin: origin, sequence: u.Sequence, notified: x.relay.options.Streams.Begin(u)}
		return true
	case x.begun.origin == origin:
		return true
	}
	return x.replaceOrigin(u)
}

// withdrawOrigin withdraws what other instances were notified of, because another instance
// will serve the request. It reports false if one of them
// may not have received that.
func (x *exchange) withdrawOrigin() bool {
	if !x.begun.announced || x.request.Origin != nil {
		return true
	}
	return x.replaceOrigin(wasabiridge.StreamUpdate{Key: wasabistream.Key(x.account.ID, x.request.ID), Life: x.parsed.Timeout + originMargin})
}

func (x *exchange) replaceOrigin(u wasabiridge.StreamUpdate) bool {
	u.Sequence = x.begun.sequence + 1
	ok := x.relay.options.Streams.Replace(x.ctx, u, x.begun.notified)
	x.relay.options.Log.Info().
		Str(wasabilog.RequestField, string(x.request.ID)).
		Str("software_before", string(x.begun.origin.Software)).
		Str("software", string(u.Origin.Software)).
		Int("notified", len(x.begun.notified)).
		Bool("acknowledged", ok).
		Msg("Origin of a stream replaced.")
	x.begun.origin, x.begun.sequence = u.Origin, u.Sequence
	if !ok {
		// The next attempt has to be acknowledged again, also at the same version.
		x.begun.origin = wasabiridge.StreamOrigin{}
	}
	return ok
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

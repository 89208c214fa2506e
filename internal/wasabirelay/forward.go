package wasabirelay

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabievent"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

const (
	// maxForwards is the number of instances that are asked to serve one request.
	maxForwards = 3
	// forwardMargin is how much earlier than this instance the other one gives up, so
	// that its answer arrives in time.
	forwardMargin = 25 * wasabiridge.Millis(1)
	// reasonNoPath is the reason of refusals while there is no path to the servers.
	reasonNoPath = "no path to the backend servers"
)

// Detour passes requests on to other instances while this one has no path to the backend
// servers. Implementations are safe for concurrent use.
type Detour interface {
	wasabiridge.Forwarder
	// Detached reports whether this instance has no path to the servers of a pool.
	Detached(pool wasabiridge.PoolID) bool
	// Isolated reports whether neither this instance nor any other one that it knows of has
	// a path to the servers of a pool.
	Isolated(pool wasabiridge.PoolID) bool
	// Instances returns other instances that may serve a request for a pool, in the order
	// in which to try them. It returns none while this instance has a path to the pool, and
	// it is not in doubt.
	Instances(pool wasabiridge.PoolID) []wasabiridge.InstanceEntry
	// Answered records whether another instance relayed the response of a server of a pool.
	Answered(pool wasabiridge.PoolID, answered bool)
	// Declined records that an instance cannot serve requests for a pool either.
	Declined(pool wasabiridge.PoolID, by wasabiridge.InstanceID)
}

// forward has another instance serve the request. It reports false if none takes it; then
// nothing of it has run there.
//
// It must be called only while the request has not run here, or while it is being retried
// with the consent of the decider. Once another instance may have run it, it is passed on
// to no further one, so that a request reaches no more servers than its rule allows.
func (x *exchange) forward() bool {
	d := x.relay.options.Detour
	if d == nil || x.received != nil || x.headSent {
		return false
	}
	pool := x.request.Action.Pool
	instances := d.Instances(pool)
	if len(instances) == 0 || !x.withdrawOrigin() {
		return false
	}
	left := 0
	if n := x.request.Action.Attempts; n > 0 {
		if left = n - x.possibleRuns; left <= 0 {
			return false
		}
	}
	for i, to := range instances {
		timeout := x.until - forwardMargin - x.relay.options.Clock.Now()
		if i >= maxForwards || timeout <= 0 || x.account.ID != "" && !x.keyInForce() {
			return false
		}
		before, started := x.disposition, x.relay.options.Clock.Now()
		x.disposition = x.disposition.Advance(wasabiridge.MaybeRun)
		result := d.Forward(x.ctx, to.PeerAddress, wasabiridge.ForwardedRequest{
			From: x.relay.options.Instance, Config: x.view.Config.Version, Attempts: left, Method: x.r.Method, Host: x.r.Host,
			Target: wasabirule.TargetOf(x.r), Header: x.r.Header, Body: x.body, Timeout: timeout,
		}, &forwardSink{exchange: x})
		x.logForwarded(to, result, started)
		if result.Result == wasabiridge.AttemptNotRun {
			d.Answered(pool, false)
		}
		if result.Declined {
			x.disposition = before
			d.Declined(pool, to.ID)
			continue
		}
		x.finishForwarded(result, before)
		return true
	}
	return false
}

// isIsolated reports whether no instance has a path to the servers of the request. It is
// refused at once then.
func (x *exchange) isIsolated() bool {
	d := x.relay.options.Detour
	return d != nil && x.received == nil && d.Isolated(x.request.Action.Pool)
}

// mayForwardRefused reports whether another instance may serve a request that the decider
// refused for the given reason.
func (x *exchange) mayForwardRefused(reason wasabiridge.RefuseReason) bool {
	switch reason {
	case wasabiridge.RefusedByRule, wasabiridge.RefusedQuota, wasabiridge.RefusedQuarantined:
		return false
	}
	return x.disposition == wasabiridge.NotRun && x.status == 0
}

// mayForward reports whether another instance may run an attempt in place of this one.
func (x *exchange) mayForward(d wasabiridge.Dispatch) bool {
	return d.Why != wasabiridge.WhyMoved && x.events == 0 && x.status == 0 && (x.disposition == wasabiridge.NotRun || !x.request.Action.NonIdempotent)
}

// finishForwarded answers the caller after another instance has served or refused the
// request.
func (x *exchange) finishForwarded(result wasabiridge.ForwardResult, before wasabiridge.Disposition) {
	if result.Result == wasabiridge.AttemptNotRun {
		x.disposition = before
	}
	switch {
	case result.Result == wasabiridge.AttemptCompleted:
		x.disposition = wasabiridge.Ran
		x.finish()
	case x.ctx.Err() != nil:
		if !x.headSent {
			x.status = 0
		}
		x.contextDone()
	case x.headSent:
		x.abort("forwarded")
	case result.Refusal.Kind == "" || x.disposition != wasabiridge.NotRun && result.Result == wasabiridge.AttemptNotRun:
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalBroken, Reason: "forwarded"})
	default:
		x.refuse(result.Refusal)
	}
}

func (x *exchange) logForwarded(to wasabiridge.InstanceEntry, result wasabiridge.ForwardResult, started wasabiridge.Millis) {
	outcome := result.Result.String()
	if result.Declined {
		outcome = "declined"
	}
	x.relay.counts.addForward(outcome)
	x.relay.options.Log.Info().
		Str(wasabilog.RequestField, string(x.request.ID)).
		Str("outcome", outcome).
		Str("kind", string(result.Refusal.Kind)).
		Str("to", string(to.ID)).
		Str("cause", result.Reason).
		Int("status", x.status).
		Int64("took_ms", int64(x.relay.options.Clock.Now()-started)).
		Str("account", string(x.request.Account)).
		Str("rule", string(x.request.Rule)).
		Msg("Request forwarded.")
}

// forwardSink receives the answer to a request that another instance serves.
type forwardSink struct {
	exchange *exchange
	stream   bool
}

var _ wasabiridge.ForwardSink = (*forwardSink)(nil)

// Head implements wasabiridge.ForwardSink.
func (s *forwardSink) Head(status int, h http.Header) error {
	s.stream = wasabievent.IsStream(h)
	s.exchange.status, s.exchange.head = status, h
	s.exchange.discardBuffered()
	s.exchange.relay.options.Detour.Answered(s.exchange.request.Action.Pool, true)
	return nil
}

// Chunk implements wasabiridge.ForwardSink.
func (s *forwardSink) Chunk(data []byte) error {
	s.exchange.countFirstByte(s.stream)
	return s.exchange.deliver(s.stream, data)
}

// received is a request that another instance passed on to this one.
type received struct {
	wasabiridge.ForwardedRequest
	// result is the refusal of this instance, if it refused the request.
	result wasabiridge.ForwardResult
}

// ServeForwarded serves a request that another instance passes on, as if its caller had
// sent it here. It is not passed on again. A configuration that is older than that of the
// other instance is not applied, since the caller has been served by the newer one.
func (l *Relay) ServeForwarded(ctx context.Context, in wasabiridge.ForwardedRequest, sink wasabiridge.ForwardSink) (result wasabiridge.ForwardResult) {
	l.open.Add(1)
	defer l.open.Add(-1)
	r, err := forwardedRequest(ctx, in)
	if err != nil {
		return wasabiridge.ForwardResult{Result: wasabiridge.AttemptNotRun, Refusal: wasabiridge.Refusal{Kind: wasabiridge.RefusalInvalid, Reason: "unreadable request"}}
	}
	w := &forwardWriter{sink: sink, header: http.Header{}}
	c := &call{relay: l, w: w, r: r, arrived: l.options.Clock.Now(), view: l.options.View(), received: &received{ForwardedRequest: in}, body: in.Body}
	defer c.release()
	defer func() {
		if aborted := recover(); aborted != nil && aborted != http.ErrAbortHandler {
			panic(aborted)
		} else if aborted != nil {
			result = wasabiridge.ForwardResult{Result: wasabiridge.AttemptBroken, Reason: "answer cut off"}
		}
	}()
	if refusal := c.prepare(); refusal != nil {
		c.received.result.Declined = refusal.Kind == wasabiridge.RefusalNotRun
		c.refuse(*refusal)
		return c.received.result
	}
	if refusal := c.checkPath(); refusal != nil {
		c.received.result.Declined = true
		c.refuse(*refusal)
		return c.received.result
	}
	newExchange(c).run()
	if c.received.result.Refusal.Kind != "" {
		return c.received.result
	}
	return wasabiridge.ForwardResult{Result: wasabiridge.AttemptCompleted}
}

// forwardedRequest returns a request that another instance passes on, as a server would have
// received it from its caller.
func forwardedRequest(ctx context.Context, in wasabiridge.ForwardedRequest) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, in.Method, "/", http.NoBody)
	if err != nil {
		return nil, err
	}
	r.Header, r.Host, r.RequestURI = in.Header, in.Host, in.Target
	r.URL, err = url.ParseRequestURI(in.Target)
	return r, err
}

// checkVersion refuses a request that another instance accepted by a newer configuration.
func (c *call) checkVersion() *wasabiridge.Refusal {
	if c.received != nil && c.view.Config.Version < c.received.Config {
		return c.notRun("configuration older than that of the forwarding instance")
	}
	return nil
}

// checkPath refuses a forwarded request if this instance has no path to its pool either.
func (c *call) checkPath() *wasabiridge.Refusal {
	if d := c.relay.options.Detour; d != nil && d.Detached(c.request().Action.Pool) {
		return c.notRun(reasonNoPath)
	}
	return nil
}

// forwardWriter passes an answer on to the instance that forwarded the request.
type forwardWriter struct {
	sink   wasabiridge.ForwardSink
	header http.Header
	// err is the error of WriteHeader, which cannot return it.
	err error
}

var _ http.ResponseWriter = (*forwardWriter)(nil)

// Header implements http.ResponseWriter.
func (w *forwardWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *forwardWriter) WriteHeader(status int) { w.err = w.sink.Head(status, w.header) }

// Write implements http.ResponseWriter.
func (w *forwardWriter) Write(data []byte) (int, error) {
	if w.err == nil {
		w.err = w.sink.Chunk(data)
	}
	if w.err != nil {
		return 0, w.err
	}
	return len(data), nil
}

// FlushError is called by http.ResponseController. Each Write is sent at once.
func (w *forwardWriter) FlushError() error { return w.err }

var _ io.Writer = (*forwardWriter)(nil)

// Package wasabibackend sends attempts to backend servers over HTTP, relays
// their answers, and polls their load reports and cache events.
//
// A Runner does not retry where that could run a request twice, and it reports
// an answer as completed only when the answer is complete. docs/BACKENDS.md
// specifies the protocol between the router and backend servers.
//
// # Usage
//
//	runner := wasabibackend.New(wasabibackend.Options{})
//	defer runner.Close()
//	ended := runner.Run(ctx, attempt, sink)
//	if ended.Result == wasabiridge.AttemptNotRun {
//		// The request did not run; it can be sent to another backend server.
//	}
package wasabibackend

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiending"
	"github.com/wasabiridge/wasabiridge/internal/wasabihead"
)

// Defaults of Options.
const (
	defaultDialTimeout      = 2 * wasabiridge.Second
	defaultMaxIdlePerServer = 256
	defaultSilence          = 20 * wasabiridge.Second
	defaultMaxEventBytes    = 1 << 20
	defaultMaxAnswerBytes   = 16 << 20
	maxHeaderBytes          = 64 << 10
	// idleTimeout is below the 5 s after which the HTTP servers commonly used
	// by engines close idle connections. A request sent at the moment when the
	// server closes the connection fails, and whether it ran is unknown. The
	// router avoids this by closing idle connections first.
	idleTimeout = 4 * time.Second
)

// keepAlive detects a peer that disappeared without closing its connection, such
// as a machine that lost power. Without it the stream would just stall; with
// these probes the connection fails within about 10 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// Options are the limits of a Runner. Zero values mean the defaults.
type Options struct {
	// DialTimeout limits the time to open a connection, and that of a TLS
	// handshake. Zero means 2 s.
	DialTimeout wasabiridge.Millis
	// MaxIdlePerServer limits the idle connections kept to one backend server.
	// Zero means 256.
	MaxIdlePerServer int
	// MaxEventBytes limits the size of one event of a stream. Zero means 1 MiB.
	MaxEventBytes int
	// MaxAnswerBytes limits the size of an engine's answer that is not a stream,
	// which is buffered in memory until it is complete. Zero means 16 MiB.
	MaxAnswerBytes int
	// StreamIdleTimeout is the idle time-out of a stream: the longest time between two
	// events, after the first event. Zero means 20 s.
	StreamIdleTimeout wasabiridge.Millis
	// Observe takes reports of malformed responses. It must not block. Nil ignores them.
	Observe func(wasabiridge.ResponseMalformed)
}

// Runner implements wasabiridge.AttemptRunner over net/http. It keeps a pool
// of idle connections for each backend server. It is safe for concurrent use.
type Runner struct {
	opts Options
	// pooled reuses connections; singleUse opens one for each attempt.
	pooled    *http.Transport
	singleUse *http.Transport

	endings wasabiending.Checker
}

var _ wasabiridge.AttemptRunner = (*Runner)(nil)

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxIdlePerServer == 0 {
		o.MaxIdlePerServer = defaultMaxIdlePerServer
	}
	if o.MaxEventBytes == 0 {
		o.MaxEventBytes = defaultMaxEventBytes
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if o.StreamIdleTimeout == 0 {
		o.StreamIdleTimeout = defaultSilence
	}
	return o
}

// New returns a runner.
func New(o Options) *Runner {
	o = o.withDefaults()
	pooled := newTransport(o)
	// http.Transport sends a request a second time when a reused connection
	// turns out to be closed and the request is considered replayable, for which
	// an Idempotency-Key header is enough. A backend server that had already
	// read the first request would run a booking twice. The transport never
	// resends a request on a connection that was not used before, so each
	// non-idempotent attempt gets a new connection that is not reused.
	singleUse := newTransport(o)
	singleUse.DisableKeepAlives = true
	return &Runner{opts: o, pooled: pooled, singleUse: singleUse}
}

func newTransport(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout.Duration(), KeepAliveConfig: keepAlive}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		TLSHandshakeTimeout:    o.DialTimeout.Duration(),
		MaxIdleConnsPerHost:    o.MaxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// Close closes the idle connections. It does not affect attempts in flight.
func (r *Runner) Close() {
	r.pooled.CloseIdleConnections()
	r.singleUse.CloseIdleConnections()
}

// Run sends an attempt, relays the answer to the sink, and returns when the
// attempt has ended. Once the context is done or a method of the sink has
// returned an error, Run does not call the sink again and closes the connection
// to the backend server.
func (r *Runner) Run(ctx context.Context, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &exchange{
		ctx:     attemptCtx,
		cancel:  cancel,
		opts:    r.opts,
		attempt: a,
		sink:    sink,
		ended: wasabiridge.AttemptEnded{
			Request:   a.Request,
			Attempt:   a.ID,
			Backend:   a.Backend.ID,
			Delivered: a.ResumeFrom,
		},
	}
	x.ended.Result = x.run(r.transport(a))
	// A cancelled attempt that is known not to have run keeps that result,
	// because only AttemptNotRun allows the request's claim to be released.
	if x.ended.Result == wasabiridge.AttemptBroken && (ctx.Err() != nil || x.sinkFailed) {
		x.ended.Result = wasabiridge.AttemptCancelled
	}
	if x.ended.Result == wasabiridge.AttemptBroken {
		x.ended.ServerCrashed = r.hasEnded(ctx, a.Backend)
	}
	return x.ended
}

// hasEnded reports whether the process of a backend server has ended. It is
// called for attempts that broke without being cancelled.
func (r *Runner) hasEnded(ctx context.Context, b wasabiridge.BackendServer) bool {
	u, err := url.Parse(b.URL)
	return err == nil && u.Port() != "" && r.endings.HasEnded(ctx, u.Host)
}

func (r *Runner) transport(a wasabiridge.Attempt) http.RoundTripper {
	if a.NonIdempotent {
		return wasabihead.Transport(r.singleUse)
	}
	return wasabihead.Transport(r.pooled)
}

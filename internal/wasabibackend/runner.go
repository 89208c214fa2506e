// Package wasabibackend sends attempts to backend servers over HTTP and hands
// back what they answer.
//
// A Runner never retries on its own where that could run a request twice, and
// it reports an answer as completed only when it is whole. What it sends and
// what it expects is written down in docs/BACKENDS.md.
//
// # Usage
//
//	runner := wasabibackend.New(wasabibackend.Options{})
//	defer runner.Close()
//	ended := runner.Run(ctx, attempt, sink)
//	if ended.Result == wasabiridge.AttemptNotRun {
//		// Nothing ran; another backend server may be tried.
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
)

// Defaults of Options.
const (
	defaultDialTimeout   = 2 * wasabiridge.Second
	defaultIdlePerServer = 256
	defaultSilence       = 20 * wasabiridge.Second
	defaultEventBytes    = 1 << 20
	defaultAnswerBytes   = 16 << 20
	maxHeaderBytes       = 64 << 10
	// idleTimeout is below the five seconds after which common servers of
	// engines close idle connections. A request that goes out just then meets
	// a closed connection and may have run; closing first avoids it.
	idleTimeout = 4 * time.Second
)

// keepAlive ends a connection whose other end vanished without a word, such as
// a machine without power. It shows as a stream that stands still; a few
// probes without an answer break it within about ten seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// Options are the limits of a Runner. Zero values mean the defaults.
type Options struct {
	// DialTimeout bounds how long a connection may take to open. Zero means
	// two seconds.
	DialTimeout wasabiridge.Millis
	// IdlePerServer bounds the idle connections kept to one backend server.
	// Zero means 256.
	IdlePerServer int
	// EventBytes bounds one event of a stream. Zero means 1 MiB.
	EventBytes int
	// AnswerBytes bounds an engine's answer that is not a stream, which is
	// held in memory until it is whole. Zero means 16 MiB.
	AnswerBytes int
	// Silence is how long a stream may stop between two events after its
	// first one. Zero means 20 seconds.
	Silence wasabiridge.Millis
}

// Runner implements wasabiridge.AttemptRunner over net/http. It keeps a pool
// of idle connections for each backend server. It is safe for concurrent use.
type Runner struct {
	opts   Options
	pooled *http.Transport
	fresh  *http.Transport

	endings wasabiending.Checker
}

var _ wasabiridge.AttemptRunner = (*Runner)(nil)

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdlePerServer == 0 {
		o.IdlePerServer = defaultIdlePerServer
	}
	if o.EventBytes == 0 {
		o.EventBytes = defaultEventBytes
	}
	if o.AnswerBytes == 0 {
		o.AnswerBytes = defaultAnswerBytes
	}
	if o.Silence == 0 {
		o.Silence = defaultSilence
	}
	return o
}

// New returns a runner.
func New(o Options) *Runner {
	o = o.withDefaults()
	pooled := newTransport(o)
	// The transport of the standard library sends a request a second time
	// when a kept connection turns out to be closed and the request looks
	// replayable, which an Idempotency-Key header is enough for. A backend
	// server that had already read the first one would run a booking twice.
	// The transport never does so on a connection that was not used before,
	// so non-idempotent attempts get connections that are never reused.
	fresh := newTransport(o)
	fresh.DisableKeepAlives = true
	return &Runner{opts: o, pooled: pooled, fresh: fresh}
}

func newTransport(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout.Duration(), KeepAliveConfig: keepAlive}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		TLSHandshakeTimeout:    o.DialTimeout.Duration(),
		MaxIdleConnsPerHost:    o.IdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// Close drops the idle connections. Attempts that run are not touched.
func (r *Runner) Close() {
	r.pooled.CloseIdleConnections()
	r.fresh.CloseIdleConnections()
}

// Run carries out an attempt and returns after its end. After the context is
// done or a method of the sink reported an error, the sink is not called any
// more and the backend server's connection is closed.
func (r *Runner) Run(ctx context.Context, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
	own, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &exchange{
		ctx:     own,
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
	// An attempt that was given up and is known not to have run stays so: a
	// claim can only be released by that.
	if x.ended.Result == wasabiridge.AttemptBroken && (ctx.Err() != nil || x.sinkFailed) {
		x.ended.Result = wasabiridge.AttemptCancelled
	}
	if x.ended.Result == wasabiridge.AttemptBroken {
		x.ended.ServerEnded = r.hasEnded(ctx, a.Backend)
	}
	return x.ended
}

// hasEnded reports whether a server has ended, of an attempt that broke by itself.
func (r *Runner) hasEnded(ctx context.Context, b wasabiridge.BackendServer) bool {
	at, err := url.Parse(b.URL)
	return err == nil && at.Port() != "" && r.endings.HasEnded(ctx, at.Host)
}

func (r *Runner) transport(a wasabiridge.Attempt) http.RoundTripper {
	if a.NonIdempotent {
		return r.fresh
	}
	return r.pooled
}

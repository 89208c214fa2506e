// Package wasabirelay implements the HTTP handler for callers whose requests are
// forwarded without interpreting them. It finds the rule of a request by host and
// path, and relays the bodies of the request and the answer unchanged.
//
// A request passes a chain of filters, which read its header and check the
// configuration, size limits, rule, account and freshness of the key, and finally read
// the body. Each filter either refuses the request or passes it on. Then the request is
// submitted to the decider. Its attempts run one after the other in the goroutine of
// the request.
//
// # Refusals of requests that have not run
//
// A refusal of the kind wasabiridge.RefusalNotRun guarantees that the request has
// not run and never will. It is sent only if no byte of the request was written to a
// connection, or if all backend servers that received the request reported that they
// did not run it.
//
// # Instances without a path to the backend servers
//
// An instance that has no path to the backend servers of a request passes it on to another
// instance, which decides and answers as if the caller had sent the request there. A
// request is passed on once at most. See Detour.
//
// # Shutdown
//
// An instance that is shutting down passes a request on only if it will probably end before the
// instance does, as far as the last requests of its rule show. Others are refused as not run at
// once, so that their callers use another instance. This is decided when a request is about to be
// passed on, since its body may arrive slowly and it may wait for a server.
//
// # Revoked keys
//
// A request with a key is accepted only if the configuration with the account's keys
// was confirmed to be in force a short time ago. This is checked on arrival and again
// right before the first byte is sent, so that an instance that was paused in between
// sends nothing for a key that may have been revoked.
//
// # Callers that do not read
//
// What a request holds is counted while it is served: its body, and the part of its answer
// that is buffered. If all of them together hold too much, requests are refused before
// their bodies are read, answers are streamed instead of buffered, and requests that wait
// for their callers are cut off. Their connections are reset. See wasabiheld.
//
// # Usage
//
//	relay := wasabirelay.New(wasabirelay.Options{
//		Clock: clock, Loop: loop, Runner: runner, Protocol: protocol, View: view, MaxKeyAge: keyLife, MaxDenyAge: denyLife,
//	})
//	server := &http.Server{Handler: relay}
package wasabirelay

import (
	"net/http"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifingerprint"
	"github.com/wasabiridge/wasabiridge/internal/wasabiheld"
	"github.com/wasabiridge/wasabiridge/internal/wasabikey"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabistream"
)

const (
	// maxRetryShare is the longest Retry-After time, as a share of the caller's
	// remaining time. Callers wait for at most a third of that time.
	maxRetryShare = 0.3
	// cappedAdviceShare caps the advised Retry-After time, as a share of the longest one, for
	// callers that would have to wait for longer than that.
	cappedAdviceShare = 0.6
	// minRetryAfter is the shortest Retry-After time. An immediate retry would only be
	// refused again.
	minRetryAfter = 40 * wasabiridge.Millis(1)
	// defaultTimeLimit is the time limit of requests that do not state one.
	defaultTimeLimit = 30 * wasabiridge.Second
	// defaultBodyBytes is the body size limit if the configuration sets none.
	defaultBodyBytes = 8 << 20
	// defaultHeaderBytes is the header size limit if the configuration sets none.
	defaultHeaderBytes = 32 << 10
)

// View is a snapshot of the parts of the catalog that the relay uses.
type View struct {
	// Config is the configuration in force with its backend servers. It must not
	// be nil. Its version is zero if no configuration has been received yet.
	Config *wasabiridge.Config
	// ConfirmedAt is the time at which Config was last confirmed to be in force, by the
	// clock of the relay.
	ConfirmedAt wasabiridge.Millis
	// Sharing identifies the set of accounts that share cached prefix segments.
	Sharing string
}

// Options configures a Relay. Clock, Loop, Runner, Protocol, View, MaxKeyAge and
// MaxDenyAge are required.
type Options struct {
	Instance wasabiridge.InstanceID
	Clock    wasabiridge.Clock
	Log      zerolog.Logger
	Loop     *wasabiloop.Loop
	Runner   wasabiridge.AttemptRunner
	Protocol wasabiridge.CallerProtocol
	// View returns the current snapshot. It must be safe for concurrent use.
	View func() View
	// MaxKeyAge returns the maximum age of View.ConfirmedAt for requests with a key. It
	// must be safe for concurrent use, like MaxDenyAge.
	MaxKeyAge func() wasabiridge.Millis
	// MaxDenyAge returns the maximum age of View.ConfirmedAt at which a request is
	// rejected because its route or key does not exist. With an older
	// configuration, the route or key may have been added since, so the request
	// is refused as not run instead and may be retried.
	MaxDenyAge func() wasabiridge.Millis
	// Mover moves running answers between engines. Nil disables moves.
	Mover wasabiridge.RequestMigrator
	// Hasher computes the fingerprints of requests. The zero value uses an empty key.
	Hasher wasabifingerprint.Hasher
	// Accepts reports whether a backend server accepts requests of this instance, as far
	// as the server itself has stated. It must be safe for concurrent use. Nil means
	// always.
	Accepts func(b wasabiridge.BackendServer) bool
	// Streams remembers where streams began. With nil, callers that resume a stream may be
	// sent any server.
	Streams *wasabistream.Controller
	// Detour passes requests on to other instances. Nil disables that.
	Detour Detour
	// Held bounds what all requests hold. Nil means no bound.
	Held *wasabiheld.Keeper
	// Leaving reports whether the instance is shutting down. Nil means never.
	Leaving func() bool
	// Shutdown returns when it stops accepting requests and ends. It must be safe for
	// concurrent use. Nil means that requests are passed on until the end.
	Shutdown func() Shutdown
}

// Relay is an http.Handler. It is safe for concurrent use.
type Relay struct {
	options Options
	index   ruleIndex
	keys    wasabikey.Index
	open    atomic.Int64
	counts  *Counts
	running *activeRuns
	// durations are those of the requests that were answered.
	durations durations
	// started is the time at which the relay was created.
	started wasabiridge.Millis
}

// New returns a Relay.
func New(o Options) *Relay {
	return &Relay{options: o, counts: newCounts(), running: newActiveRuns(), started: o.Clock.Now()}
}

// Open returns the number of requests that are being served.
func (l *Relay) Open() int { return int(l.open.Load()) }

// Counts returns the counters of request outcomes.
func (l *Relay) Counts() *Counts { return l.counts }

// ServeHTTP implements http.Handler.
func (l *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.open.Add(1)
	defer l.open.Add(-1)
	if l.options.Leaving != nil && l.options.Leaving() {
		// The server cannot close an idle connection safely, because the caller
		// may be sending a request on it. Have the caller close it instead.
		w.Header().Set("Connection", "close")
	}
	c := &call{relay: l, w: w, r: r, arrived: l.options.Clock.Now(), view: l.options.View()}
	defer c.release()
	if refusal := c.prepare(); refusal != nil {
		c.refuse(*refusal)
		return
	}
	newExchange(c).run()
	c.release()
	if c.held.WasCut() {
		c.resetCaller()
	}
}

// Package wasabigateway is the caller-facing HTTP handler of the router. It
// implements the OpenAI-compatible API for completions and forwards all other
// requests as plain HTTP.
//
// A request passes through these stages: request identifier, limits,
// authentication, rule, claim (for non-idempotent requests), decision, relay,
// settlement. Each stage either answers the caller or passes the request on.
//
// # Dispositions
//
// Every answer of the router carries the header Wasabi-Disposition with
// "not_run", "maybe_run" or "ran". It is derived from one state per request,
// which is kept together with the attempts: the state leaves "not_run" before
// the first byte is sent to a backend server, and returns to it only when that
// backend server itself states that it did not run the request.
//
// # Streams
//
// Attempts pass their output to the caller through a bounded buffer. A slow
// caller blocks its own attempt only. When an attempt breaks in the middle of a
// stream and the rule allows resuming, the next attempt continues after the
// last token that was passed on. A stream that cannot be resumed ends with an
// error event and an aborted connection, never with a clean end.
//
// # Usage
//
//	g := wasabigateway.New(wasabigateway.Options{
//		Instance: "pos-1",
//		Clock:    clock,
//		Loop:     loop,
//		Runner:   runner,
//		Config:   controller.Current,
//	})
//	server := &http.Server{Handler: g}
//	...
//	g.Wait() // After the server was shut down.
package wasabigateway

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabifingerprint"
	"github.com/wasabiridge/wasabiridge/internal/wasabiheld"
	"github.com/wasabiridge/wasabiridge/internal/wasabikey"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

// Options configures a Gateway. Clock, Loop, Runner and Config are required.
type Options struct {
	Instance    wasabiridge.InstanceID
	Incarnation wasabiridge.Incarnation
	Clock       wasabiridge.Clock
	// Log receives one line for each request that is refused or whose answer is
	// truncated. The zero value discards them.
	Log    zerolog.Logger
	Loop   *wasabiloop.Loop
	Runner wasabiridge.AttemptRunner
	// Config returns the current configuration. Its version is zero while no
	// configuration has been received. The result must never be modified.
	// Config must be safe for concurrent use.
	Config func() *wasabiridge.Config
	// Hasher computes the fingerprints of requests. The zero value uses an empty
	// key.
	Hasher wasabifingerprint.Hasher
	// Claimer grants the claims of non-idempotent requests. If it is nil, such
	// requests are refused as not run.
	Claimer wasabiridge.Claimer
	// Outcomes records the outcomes of requests. Nil discards them.
	Outcomes wasabiridge.OutcomeRecorder
	// Addresses answers GET /v1/addresses. If it is nil, the answer is 404.
	Addresses *wasabiaddress.Selector
	Limits    wasabisettings.Limits
	// Held bounds what the bodies and heads of all requests take. Nil means no bound.
	Held *wasabiheld.Keeper
	// Leaving reports whether the instance is about to shut down. Callers are
	// then asked to close their connections. Nil means never.
	Leaving func() bool
}

// Gateway is an http.Handler for callers. It is safe for concurrent use.
type Gateway struct {
	options  Options
	router   chi.Router
	keys     wasabikey.Index
	requests atomic.Uint64
	open     atomic.Int64
	// work counts attempts and claim results in progress, which may outlive
	// their request.
	work sync.WaitGroup
}

// New returns a Gateway.
func New(o Options) *Gateway {
	o.Limits = o.Limits.WithDefaults()
	g := &Gateway{options: o}
	router := chi.NewRouter()
	router.Use(g.identify, g.limit, g.authenticate)
	router.Get("/v1/models", g.serveModels)
	router.Get("/v1/addresses", g.serveAddresses)
	router.HandleFunc("/*", g.serve)
	g.router = router
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.router.ServeHTTP(w, r)
}

// OpenRequests returns the number of requests being served.
func (g *Gateway) OpenRequests() int {
	return int(g.open.Load())
}

// Wait waits until all attempts have ended and all claim results are recorded.
// It must be called after the last request was answered.
func (g *Gateway) Wait() {
	g.work.Wait()
}

// nextID returns a request identifier that is unique across instances and
// restarts.
func (g *Gateway) nextID() wasabiridge.RequestID {
	id := make([]byte, 0, len(g.options.Instance)+24)
	id = append(id, g.options.Instance...)
	id = append(id, '-')
	id = strconv.AppendUint(id, uint64(g.options.Incarnation), 36)
	id = append(id, '-')
	id = strconv.AppendUint(id, g.requests.Add(1), 36)
	return wasabiridge.RequestID(id)
}

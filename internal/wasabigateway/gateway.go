// Package wasabigateway is the side of the router that callers see: an HTTP
// handler that speaks the OpenAI-compatible API for completions and plain HTTP
// for everything else.
//
// A request passes a chain of filters: limits, request identifier,
// authentication, rule, claim (for requests that run at most once), decision,
// relay, settlement. Each filter either answers the caller or hands on.
//
// # Dispositions
//
// Every answer of the router carries the header Wasabi-Disposition with
// "not_run", "maybe_run" or "ran". All of them read one value, which is kept
// beside the attempts of the request: it leaves "not_run" before the first
// byte is handed to a backend server and goes back only when that backend
// server itself says that it did not run the request.
//
// # Streams
//
// Attempts hand their output over through a bounded buffer. A caller that
// reads slowly holds up its own attempt and nothing else. When an attempt
// breaks in the middle and the rule allows it, the next one continues behind
// the last token that was handed over. A stream that cannot be continued ends
// with an error event and a broken connection, never with a clean end.
//
// # Usage
//
//	g := wasabigateway.New(wasabigateway.Options{
//		Instance: "pos-1",
//		Clock:    clock,
//		Loop:     loop,
//		Runner:   runner,
//		Config:   keeper.Current,
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
	"github.com/wasabiridge/wasabiridge/internal/wasabikey"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

// Options are the parts of a Gateway. Clock, Loop, Runner and Config are
// needed.
type Options struct {
	Instance    wasabiridge.InstanceID
	Incarnation wasabiridge.Incarnation
	Clock       wasabiridge.Clock
	// Log takes one line for each request that is refused or cut. The zero
	// value is silent.
	Log    zerolog.Logger
	Loop   *wasabiloop.Loop
	Runner wasabiridge.AttemptRunner
	// Config returns the configuration in force, whose version is zero when
	// none is known. What it points to is never changed. It is safe for
	// concurrent use.
	Config func() *wasabiridge.Config
	// Names makes the fingerprints of requests. The zero value has an empty key.
	Names wasabifingerprint.Namer
	// Claimer decides on requests that run at most once. Nil refuses them as
	// not run.
	Claimer wasabiridge.Claimer
	// Outcomes counts finished requests. Nil drops them.
	Outcomes wasabiridge.OutcomeRecorder
	// Addresses answers GET /v1/addresses. Nil answers that there is none.
	Addresses *wasabiaddress.Book
	Limits    wasabisettings.Limits
	// Leaving reports whether the instance is about to go. Answers then ask
	// callers to close their connection. Nil means that it never is.
	Leaving func() bool
}

// Gateway is an http.Handler. It is safe for concurrent use.
type Gateway struct {
	options  Options
	router   chi.Router
	keys     wasabikey.Index
	requests atomic.Uint64
	open     atomic.Int64
	// work counts attempts and claims that outlive their request.
	work sync.WaitGroup
}

// New returns a gateway.
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

// Open returns how many requests are being served.
func (g *Gateway) Open() int {
	return int(g.open.Load())
}

// Wait returns when all attempts and claims have ended. It is called after
// the last request was answered.
func (g *Gateway) Wait() {
	g.work.Wait()
}

// nextID returns an identifier that no other request of any instance has.
func (g *Gateway) nextID() wasabiridge.RequestID {
	id := make([]byte, 0, len(g.options.Instance)+24)
	id = append(id, g.options.Instance...)
	id = append(id, '-')
	id = strconv.AppendUint(id, uint64(g.options.Incarnation), 36)
	id = append(id, '-')
	id = strconv.AppendUint(id, g.requests.Add(1), 36)
	return wasabiridge.RequestID(id)
}

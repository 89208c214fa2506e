// Package wasabiengine is an HTTP stand-in of a model engine, for the demo,
// tests and experiments.
//
// It speaks the OpenAI-compatible API with the extensions that
// docs/BACKENDS.md lists. Its answers are made up but repeatable: the same
// prompt under the same weights gives the same tokens at every engine, so that
// a resumed answer can be compared token by token.
//
// # Usage
//
//	engine := wasabiengine.New(wasabiengine.Options{Clock: wasabiclock.System()})
//	if err := engine.Start("127.0.0.1:0"); err != nil {
//		return err
//	}
//	defer engine.Close()
//	fmt.Println(engine.URL())
//
// A test makes an engine fail at a chosen point:
//
//	engine.Inject(wasabiengine.Fault{Point: wasabiengine.AtToken, Token: 7})
package wasabiengine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wasabiridge/wasabiridge"
)

// Options describe an engine. The zero value of each field but Clock has a
// sensible meaning.
type Options struct {
	ID    wasabiridge.BackendServerID
	Model wasabiridge.ModelID
	Clock wasabiridge.Clock
	// Weights is the version that serves at first. Zero means 1.
	Weights wasabiridge.WeightsVersion
	// Decode is the time between two tokens. Zero means no pause.
	Decode wasabiridge.Millis
}

// Engine is one stand-in of a model engine with its own listener. It is safe
// for concurrent use.
type Engine struct {
	opts   Options
	router http.Handler

	mu          sync.Mutex
	server      *http.Server
	address     string
	incarnation wasabiridge.Incarnation
	weights     wasabiridge.WeightsVersion
	faults      []Fault
	cancelled   int
	served      int
}

// New returns an engine that does not listen yet.
func New(o Options) *Engine {
	if o.Weights == 0 {
		o.Weights = 1
	}
	if o.Model == "" {
		o.Model = "stand-in"
	}
	e := &Engine{opts: o, weights: o.Weights}
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.handleChat)
	r.Post("/v1/completions", e.handleText)
	r.Get("/v1/models", e.handleModels)
	e.router = r
	return e
}

// Start begins a new life of the engine on the given address. A later Start
// after Crash listens on the same address again.
func (e *Engine) Start(address string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.address != "" {
		address = e.address
	}
	var listener net.Listener
	var err error
	if listener, err = new(net.ListenConfig).Listen(context.Background(), "tcp", address); err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "engine: listen")
	}
	e.address = listener.Addr().String()
	e.incarnation++
	server := &http.Server{Handler: e.router, ReadHeaderTimeout: 10 * time.Second}
	e.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Crash ends the current life at once: open connections are cut.
func (e *Engine) Crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Close ends the engine for good.
func (e *Engine) Close() { e.Crash() }

// URL returns the base address of the engine.
func (e *Engine) URL() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return "http://" + e.address
}

// Backend describes the engine as a configuration would.
func (e *Engine) Backend() wasabiridge.BackendServer {
	return wasabiridge.BackendServer{ID: e.opts.ID, Kind: wasabiridge.BackendEngine, URL: e.URL()}
}

// Incarnation returns the current life.
func (e *Engine) Incarnation() wasabiridge.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Served counts the answers that were begun.
func (e *Engine) Served() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served
}

// Cancelled counts the answers that their caller gave up.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

func (e *Engine) countServed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served++
}

func (e *Engine) countCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
}

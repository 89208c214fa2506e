// Package wasabiengine is an HTTP stand-in of a model engine, for the demo,
// tests and experiments.
//
// It speaks the OpenAI-compatible API with the extensions that
// docs/BACKENDS.md lists, over the model of package wasabifake: a bounded
// prefix cache, prefill and decode costs, slots and a queue. Its answers are
// made up but repeatable: the same prompt under the same weights gives the
// same tokens at every engine, so that a resumed answer can be compared token
// by token.
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
//	engine.Inject(wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 7})
package wasabiengine

import (
	"net/http"
	"sync/atomic"

	"github.com/go-chi/chi/v5"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
)

const (
	defaultCacheBlocks = 256
	defaultSlots       = 256
	defaultQueue       = 1024
)

// Options describe an engine.
type Options struct {
	// Spec holds the costs and limits of the engine. Zero cache blocks, slots
	// and queue limit mean 256, 256 and 1024; zero weights mean version 1.
	Spec  wasabifake.Spec
	Model wasabiridge.ModelID
	Clock wasabiridge.Clock
	// LoadLag is how old a load report may be.
	LoadLag wasabiridge.Millis
	// EventDelay is how late cache events are sent.
	EventDelay wasabiridge.Millis
	// LoadTime is how long it takes to load weights.
	LoadTime wasabiridge.Millis
	// IgnoresFencing makes the engine carry out orders of any fencing number.
	IgnoresFencing bool
	// CrashOn is a text in a prompt that ends the engine's life once it begins to run the
	// request. Empty means that none does.
	CrashOn string
}

// Engine is one stand-in of a model engine with its own listener. It is safe
// for concurrent use.
type Engine struct {
	wasabiserver.Faults
	opts      Options
	server    *wasabiserver.Server
	core      *core
	report    atomic.Pointer[wasabiridge.LoadReport]
	served    atomic.Int64
	cancelled atomic.Int64
	written   atomic.Int64
	ends      atomic.Int64
}

// New returns an engine that does not listen yet. It must be closed.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{opts: o, core: newCore(o.Clock, o.Spec)}
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.handleChat)
	r.Post("/v1/completions", e.handleText)
	r.Get("/v1/models", e.handleModels)
	r.Get("/load", e.handleLoad)
	r.Get("/cache/events", e.handleEvents)
	r.Get("/weights", e.handleWeights)
	r.Post("/weights", e.handleOrder)
	e.server = wasabiserver.New(r)
	return e
}

func (o Options) withDefaults() Options {
	if o.Spec.Weights == 0 {
		o.Spec.Weights = 1
	}
	if o.Spec.CacheBlocks == 0 {
		o.Spec.CacheBlocks = defaultCacheBlocks
	}
	if o.Spec.Slots == 0 {
		o.Spec.Slots = defaultSlots
	}
	if o.Spec.QueueLimit == 0 {
		o.Spec.QueueLimit = defaultQueue
	}
	if o.Model == "" {
		o.Model = "stand-in"
	}
	return o
}

// Start begins a life of the engine. The address, such as "127.0.0.1:0", is
// where it listens; after a crash it listens where it did before, with a new
// incarnation and a cold cache.
func (e *Engine) Start(address string) error {
	e.core.revive()
	return e.server.Start(address)
}

// Crash ends the current life: the cache is lost and open connections are cut.
func (e *Engine) Crash() {
	e.core.crash()
	e.server.Crash()
}

// Close ends the engine for good.
func (e *Engine) Close() {
	e.Crash()
	e.core.close()
}

// URL returns the base address of the engine.
func (e *Engine) URL() string { return e.server.URL() }

// Backend describes the engine as a configuration would.
func (e *Engine) Backend() wasabiridge.BackendServer {
	return wasabiridge.BackendServer{
		ID: e.opts.Spec.ID, Kind: wasabiridge.BackendEngine, URL: e.URL(),
		Slots: e.opts.Spec.Slots, ChecksFencing: !e.opts.IgnoresFencing,
	}
}

// Incarnation returns the current life.
func (e *Engine) Incarnation() wasabiridge.Incarnation {
	life, _ := e.core.versions()
	return life
}

// Weights returns the version that serves.
func (e *Engine) Weights() wasabiridge.WeightsVersion {
	_, weights := e.core.versions()
	return weights
}

// Load tells what is inside the engine now, without lag.
func (e *Engine) Load() wasabiridge.LoadReport { return e.core.load() }

// Ends counts the lives that a request has ended.
func (e *Engine) Ends() int { return int(e.ends.Load()) }

// Served counts the answers that were begun.
func (e *Engine) Served() int { return int(e.served.Load()) }

// Cancelled counts the answers that their caller gave up.
func (e *Engine) Cancelled() int { return int(e.cancelled.Load()) }

// Written counts the tokens that were written to streams.
func (e *Engine) Written() int { return int(e.written.Load()) }

// Leave makes the engine ask for no new work in its load reports. It still
// takes what comes.
func (e *Engine) Leave() {
	e.core.mu.Lock()
	defer e.core.mu.Unlock()
	e.core.model.Leave()
}

// LoseEvents makes the next cache events be lost on their way.
func (e *Engine) LoseEvents(count int) {
	e.core.mu.Lock()
	defer e.core.mu.Unlock()
	e.core.loseEvents += count
}

// loadReport returns a load report that is at most LoadLag old.
func (e *Engine) loadReport() wasabiridge.LoadReport {
	if r := e.report.Load(); r != nil && e.opts.Clock.Now()-r.Taken < e.opts.LoadLag {
		return *r
	}
	r := e.core.load()
	e.report.Store(&r)
	return r
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	r := e.loadReport()
	writeJSON(w, http.StatusOK, loadBody{
		Incarnation:   uint64(r.Incarnation),
		AgeMillis:     int64(e.opts.Clock.Now() - r.Taken),
		Running:       r.Running,
		Waiting:       r.Waiting,
		WaitingTokens: r.WaitingTokens,
		Weights:       uint64(r.Weights),
		Leaving:       r.Leaving,
	})
}
